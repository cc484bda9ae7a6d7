//! The threads that carry the calls. Each worker has an executor, a listener and an instance of the decisions of its own,
//! and counts as one of the sidecars in all that is shared out among them; nothing of a call ever crosses from one to
//! another. Phases, reloads and the watch of the list are the program's, which tells its workers by orders.
use crate::dispatcher::Parts;
use crate::endpoint_list::Elsewhere;
use crate::endpoint_registry::Mark;
use crate::generations::{ClassId, Classes, Generations, Left, WorkloadIds};
use crate::http1::acceptor::Acceptor;
use crate::http1::connections::{Connections, OpenRequestIds};
use crate::http1::pool::Pool;
use crate::http1::{Dispatcher, DispatcherHandle, DispatcherMessage, Fence, Http1, RequestSettings};
use crate::lease::Lease;
use crate::limits::{Gauge, LimitShare, SharedLimit};
use crate::list_deadline::ListDeadline;
use crate::metrics::Metrics;
use crate::monitor::{self, Monitor};
use crate::reactor::{self, Async};
use crate::start_time::ListArrival;
use crate::tasks::Tasks;
use crate::timers::Clock;
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use fnv::FnvHashMap;
use futures_lite::future;
use oakhollow::types::{BalancerConfig, ListKind, Micros};
use oakhollow_terms::{DiscoveryList, LearnedHealth, MaintenanceMarks, Settings};
use slog::{o, Logger};
use std::cell::RefCell;
use std::future::Future;
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

/// Orders that may wait for a worker.
const MOST_ORDERS: usize = 64;

/// What the program tells its workers.
#[derive(Clone)]
pub enum WorkerCommand {
    ApplyList(ListKind, Arc<DiscoveryList>, ListArrival),
    /// Its sender is dropped when that holds.
    ApplyMaintenance(Mark, Sender<()>),
    /// Take callers in. Its sender is dropped when that holds.
    StartAccepting(Sender<()>),
    /// What the modules have learnt is asked for.
    ExportLearned(Sender<LearnedHealth>),
    /// Settings that hold from now on. Its sender is dropped when they do.
    ApplySettings(Arc<Settings>, Sender<()>),
    /// Whom others' lists let drain. Its sender is dropped when that holds.
    ApplyPeerDrains(Arc<Elsewhere>, Sender<()>),
    /// The lease has begun or run out, or the list may not be used any more.
    RecheckDeadlines,
    /// What is shared out with another process of this sidecar.
    SetSharing(Shared),
    /// Take nobody in any more, and end each connection with its next answer, due by then.
    Handover(Micros),
    /// `/ready` says no; calls that come from now on have their answers by then.
    ReportNotReady(Micros),
    /// Take nobody in any more. Its sender is dropped when that holds.
    StopAccepting(Sender<()>),
}

/// Whether another process of this sidecar lives beside this one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shared {
    Alone,
    WithSuccessor,
    WithPredecessor,
}

/// The way to all workers, each with a queue of its own: guards against one that is busy for a moment keeping the others
/// from a drain.
#[derive(Clone)]
pub struct CommandBroadcaster(Vec<Sender<WorkerCommand>>);

impl CommandBroadcaster {
    #[cfg(test)]
    pub fn new(workers: Vec<Sender<WorkerCommand>>) -> CommandBroadcaster {
        CommandBroadcaster(workers)
    }

    /// Tells an order and waits until the last worker has carried it out, or has ended.
    pub async fn send_and_wait(&self, order: impl FnOnce(Sender<()>) -> WorkerCommand) {
        let (done, all) = bounded(1);
        self.send(order(done)).await;
        let _ = all.recv().await;
    }

    /// Waits for those whose queue is full. One that has ended is told of elsewhere.
    pub async fn send(&self, order: WorkerCommand) {
        for worker in &self.0 {
            let _ = worker.send(order.clone()).await;
        }
    }
}

/// How much a worker holds.
#[derive(Clone, Default)]
pub struct Gauges {
    pub calls: Gauge,
    pub connections: Gauge,
}

/// A worker that has ended unasked.
pub struct WorkerFailure(pub String);

/// What a worker is started with.
pub struct WorkerContext {
    pub number: usize,
    pub commands: Receiver<WorkerCommand>,
    pub gauges: Gauges,
}

struct Worker {
    orders: Sender<WorkerCommand>,
    gauges: Gauges,
    thread: Option<JoinHandle<()>>,
}

/// All workers of the program. Dropping it ends them.
pub struct WorkerPool {
    workers: Vec<Worker>,
    lost: Receiver<WorkerFailure>,
}

thread_local! {
    static PANIC: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Has panics kept for the one line in which the program says why it ends, instead of written out at once.
pub fn capture_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let text = panic.to_string().replace('\n', " ");
        PANIC.with_borrow_mut(|kept| *kept = Some(text));
    }));
}

impl WorkerPool {
    /// Starts `count` workers; `work` is the whole life of one. A worker that ends with a fault, or panics, is told by
    /// [`WorkerPool::failure`].
    pub fn start(
        count: usize, work: impl Fn(WorkerContext) -> std::io::Result<()> + Clone + Send + 'static,
    ) -> std::io::Result<WorkerPool> {
        let (tell, lost) = bounded(count);
        let mut workers = Vec::new();
        for number in 0..count {
            let ((sender, commands), gauges) = (bounded(MOST_ORDERS), Gauges::default());
            let hand = WorkerContext { number, commands, gauges: gauges.clone() };
            let (work, tell) = (work.clone(), tell.clone());
            let life = move || {
                let why = match catch_unwind(AssertUnwindSafe(|| work(hand))) {
                    Ok(Ok(())) => return,
                    Ok(Err(fault)) => fault.to_string(),
                    Err(_) => panic_kept(),
                };
                let _ = tell.try_send(WorkerFailure(format!("worker {number} ended: {why}")));
            };
            let thread = Builder::new().name(format!("worker {number}")).spawn(life)?;
            workers.push(Worker { orders: sender, gauges, thread: Some(thread) });
        }
        Ok(WorkerPool { workers, lost })
    }

    pub fn commands(&self) -> CommandBroadcaster {
        CommandBroadcaster(self.workers.iter().map(|worker| worker.orders.clone()).collect())
    }

    pub async fn failure(&self) -> WorkerFailure {
        self.lost.recv().await.unwrap_or_else(|_| WorkerFailure("all workers ended".into()))
    }

    pub fn calls(&self) -> usize {
        self.workers.iter().map(|worker| worker.gauges.calls.get()).sum()
    }

    /// What each worker holds.
    pub fn gauges(&self) -> Vec<Gauges> {
        self.workers.iter().map(|worker| worker.gauges.clone()).collect()
    }

    pub fn connections(&self) -> usize {
        self.workers.iter().map(|worker| worker.gauges.connections.get()).sum()
    }
}

impl Drop for WorkerPool {
    fn drop(&mut self) {
        self.workers.iter().for_each(|worker| _ = worker.orders.close());
        for worker in &mut self.workers {
            if let Some(thread) = worker.thread.take() {
                let _ = thread.join();
            }
        }
    }
}

/// What all workers carry calls by.
#[derive(Clone)]
pub struct Kit {
    pub place: Settings,
    pub seed: u64,
    pub known: Arc<DiscoveryList>,
    pub marks: MaintenanceMarks,
    /// What another process learnt in this one's place, for each worker.
    pub taught: LearnedHealth,
    pub workers: usize,
    pub callers: SharedLimit,
    pub links: SharedLimit,
    pub clock: Clock,
    pub log: Logger,
    pub lease: Lease,
    /// Until when the list may be used.
    pub list_deadline: ListDeadline,
    pub metrics: Arc<Metrics>,
    /// Asks for a subscription to the list.
    pub ask: Sender<()>,
    pub ids: Arc<OpenRequestIds>,
    /// The listener is the platform's: what waits in its queue is for whoever comes next.
    pub passed: bool,
    /// Another process of this sidecar has told its snapshot and goes on beside this one.
    pub beside: bool,
}

/// The whole life of a worker that carries calls.
pub fn carry(kit: Kit, hand: WorkerContext, listener: TcpListener) -> std::io::Result<()> {
    run_on_this_thread(|tasks| obey(kit, hand, listener, tasks))
}

/// Runs a worker's life with an executor of its own; ends when that does, or when any of its tasks panics.
pub fn run_on_this_thread<F: Future<Output = std::io::Result<()>>>(
    life: impl FnOnce(Tasks) -> F,
) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(&executor);
    let doomed = async {
        tasks.panicked().await;
        Err(std::io::Error::other(panic_kept()))
    };
    reactor::block_on(executor.run(future::or(doomed, life(tasks.clone()))))?
}

/// What the last panic of this thread said.
pub fn panic_kept() -> String {
    PANIC.take().unwrap_or_else(|| "panicked".into())
}

/// What this worker is among all workers of all sidecars.
fn placed(mut place: Settings, number: usize, workers: usize) -> Settings {
    place.balancer.instance_index =
        place.balancer.instance_index.saturating_mul(workers as u32).saturating_add(number as u32);
    place.balancer.instances = place.balancer.instances.saturating_mul(workers as u32);
    // The few hops on top of a share are the program's: parted among its workers, the odd ones to the first.
    if let Some(bound) = &mut place.balancer.retry_budget {
        let (few, workers) = (bound.base, workers as f64);
        bound.base = (few / workers).floor() + f64::from(u8::from((number as f64) < few % workers));
    }
    place
}

/// As one of two sidecars, while another process is the other.
fn shared(mut terms: BalancerConfig, shared: Shared) -> BalancerConfig {
    let (sidecars, number) = match shared {
        Shared::Alone => return terms,
        Shared::WithPredecessor => (2, 0),
        Shared::WithSuccessor => (2, 1),
    };
    terms.instance_index = terms.instance_index.saturating_mul(sidecars).saturating_add(number);
    terms.instances = terms.instances.saturating_mul(sidecars);
    if shared == Shared::WithPredecessor {
        none_beyond(&mut terms);
    }
    terms
}

/// Hops beyond calls' first stay with the process that was there before, until it parts: guards against two that each grant
/// them, and against a window that holds what the one sent and the other sends.
fn none_beyond(terms: &mut BalancerConfig) {
    if let Some(bound) = &mut terms.retry_budget {
        (bound.base, bound.ratio) = (0.0, 0.0);
    }
}

/// What is offered from now on by name, and what is left to calls of all else.
fn classes_of(classes: &mut Classes, place: &Settings) -> (Vec<ClassId>, FnvHashMap<ClassId, Left>) {
    let kinds = place.balancer.workloads.iter().map(|workload| workload.idempotency);
    let named: Vec<_> = place.workloads.iter().map(|named| named.name.clone()).zip(kinds).collect();
    classes.take(&named)
}

/// What requests call things by.
fn names_of(place: &mut Settings, numbers: Vec<WorkloadIds>, classes: Vec<ClassId>) -> RequestSettings {
    let class_names = place.workloads.iter().map(|named| named.name.as_str().into()).collect();
    RequestSettings {
        class_names,
        effects: numbers
            .iter()
            .map(|number| monitor::effect(place.balancer.workloads[number.buffered.0].idempotency))
            .collect(),
        workloads: std::mem::take(&mut place.workloads),
        workload_ids: numbers,
        classes,
        tenants: std::mem::take(&mut place.tenants),
        uses_affinity_keys: place.balancer.key_affinity,
        max_attempts: place.balancer.max_hops as usize,
    }
}

async fn obey(kit: Kit, hand: WorkerContext, listener: TcpListener, tasks: Tasks) -> std::io::Result<()> {
    let WorkerContext { number, commands, gauges } = hand;
    let mut place = placed(kit.place, number, kit.workers);
    let (mut generations, mut classes) = (Generations::default(), Classes::default());
    let (named, mut left) = classes_of(&mut classes, &place);
    let numbers;
    (place.balancer, numbers) = generations.take(place.balancer);
    let log = if kit.workers > 1 { kit.log.new(o!("worker" => number)) } else { kit.log };
    let (desk, notes) = DispatcherHandle::new(kit.clock, gauges.calls);
    let limits = monitor::limits(&place.balancer, place.drain_grace);
    let monitor = Monitor::new(limits, kit.metrics, kit.clock, log.clone());
    let links = LimitShare::new(kit.links);
    let pool =
        Pool::new(tasks.clone(), links, (place.connect_timeout, place.server_idle_timeout), log.clone());
    // One watch feeds all: the first asks for all of them, and they hear the same.
    let ask = if number == 0 { kit.ask } else { bounded(1).0 };
    let parts = Parts {
        protocol: Rc::new(Http1 {
            pool: pool.clone(),
            reads_load_reports: place.balancer.load_reports,
            fence: Fence {
                lease: kit.lease.clone(),
                list_deadline: kit.list_deadline.clone(),
                clock: kit.clock,
            },
            monitor: monitor.clone(),
        }),
        desk: desk.clone(),
        tasks: tasks.clone(),
        log: log.clone(),
        ask,
        lease: kit.lease,
        list_deadline: kit.list_deadline,
        monitor: monitor.clone(),
        taught: kit.taught,
    };
    let seed = kit.seed ^ (number as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut terms = place.balancer.clone();
    // Not to be left to the order that follows: a call may come before it.
    if kit.beside {
        none_beyond(&mut place.balancer);
    }
    let dispatcher = Dispatcher::new(&place, seed, (&kit.known, kit.marks), parts);
    tasks.spawn_detached(dispatcher.run(notes));
    let names = names_of(&mut place, numbers, named);
    let mut with = if kit.beside { Shared::WithPredecessor } else { Shared::Alone };
    let callers = (LimitShare::new(kit.callers), gauges.connections);
    let connections = Connections::new(desk.clone(), names, monitor.clone(), callers, kit.ids);
    let acceptor = Acceptor::new(connections.clone(), tasks.clone(), log);
    let mut listener = Some(Rc::new(Async::from_listener(listener)?));
    let mut accepting = None;
    while let Ok(order) = commands.recv().await {
        match order {
            WorkerCommand::ApplyList(kind, list, heard) => {
                desk.send(DispatcherMessage::ApplyList(kind, list, heard)).await
            }
            WorkerCommand::ApplyMaintenance(mark, done) => {
                desk.send(DispatcherMessage::ApplyMaintenance(mark, done)).await
            }
            WorkerCommand::StartAccepting(done) => {
                let accept_all = listener.clone().map(|listener| acceptor.clone().accept_all(listener));
                accepting = accept_all.and_then(|taking| tasks.spawn(taking));
                connections.set_serving(true);
                drop(done);
            }
            WorkerCommand::ExportLearned(to) => desk.send(DispatcherMessage::ExportLearned(to)).await,
            WorkerCommand::ApplyPeerDrains(elsewhere, done) => {
                desk.send(DispatcherMessage::ApplyPeerDrains(elsewhere, done)).await
            }
            WorkerCommand::RecheckDeadlines => desk.send(DispatcherMessage::RecheckDeadlines).await,
            WorkerCommand::ApplySettings(place, done) => {
                let mut place = placed(Settings::clone(&place), number, kit.workers);
                let (numbers, named);
                (named, left) = classes_of(&mut classes, &place);
                (place.balancer, numbers) = generations.take(place.balancer);
                pool.set_timeouts(place.connect_timeout, place.server_idle_timeout);
                monitor.set_limits(monitor::limits(&place.balancer, place.drain_grace));
                let names = names_of(&mut place, numbers, named);
                terms = place.balancer;
                // The module first: a call that comes by the new names must find its number there.
                let terms = Box::new(shared(terms.clone(), with));
                desk.send(DispatcherMessage::ApplySettings(terms, left.clone(), Some(done))).await;
                connections.set_request_settings(names);
            }
            WorkerCommand::SetSharing(now) => {
                with = now;
                let terms = Box::new(shared(terms.clone(), with));
                desk.send(DispatcherMessage::ApplySettings(terms, left.clone(), None)).await;
                connections.close_excess_idle();
            }
            WorkerCommand::Handover(by) => {
                if let Some(accepting) = accepting.take() {
                    accepting.cancel().await;
                }
                listener = None;
                if with != Shared::Alone && terms.retry_budget.is_some() {
                    let mut last = shared(terms.clone(), with);
                    none_beyond(&mut last);
                    desk.send(DispatcherMessage::ApplySettings(Box::new(last), left.clone(), None)).await;
                }
                connections.close_after_answers();
                connections.set_answer_deadline(by);
                desk.send(DispatcherMessage::SetAnswerDeadline(by)).await;
            }
            WorkerCommand::ReportNotReady(by) => {
                connections.set_serving(false);
                // Guards against a kill that finds an API call without its answer, also one taken before.
                connections.set_answer_deadline(by);
                desk.send(DispatcherMessage::SetAnswerDeadline(by)).await;
            }
            WorkerCommand::StopAccepting(done) => {
                if let Some(accepting) = accepting.take() {
                    accepting.cancel().await;
                }
                connections.close();
                // Dropped at once after: a listener left open would go on accepting for nobody.
                if let Some(listener) = listener.take().filter(|_| !kit.passed) {
                    acceptor.accept_backlog(&listener);
                }
                drop(done);
            }
        }
    }
    Ok(())
}
