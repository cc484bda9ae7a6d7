//! The worker threads, which carry the requests. Each worker has its own executor, listener and decision module, and
//! counts as one sidecar wherever something is divided among sidecars; a request never moves between workers. The
//! lifecycle, reloads and the watch of the list belong to the main thread, which sends its workers commands.
use crate::dispatcher::Parts;
use crate::endpoint_list::PeerDrains;
use crate::endpoint_registry::MaintenanceMark;
use crate::http1::acceptor::Acceptor;
use crate::http1::connections::Connections;
use crate::http1::pool::Pool;
use crate::http1::request_ids::RequestIds;
use crate::http1::{
    AnswerDeadline, Dispatcher, DispatcherHandle, DispatcherMessage, Fence, Http1, RequestSettings,
};
use crate::lease::Lease;
use crate::limits::{Gauge, LimitShare, SharedLimit};
use crate::list_deadline::ListDeadline;
use crate::metrics::Metrics;
use crate::monitor::{self, Monitor};
use crate::reactor::{self, Async};
use crate::stall_detector::Progress;
use crate::start_time::ListArrival;
use crate::tasks::Tasks;
use crate::timers::Clock;
use crate::workload_ids::{ClassId, KnownClasses, KnownWorkloads, Restriction, WorkloadIds};
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use fnv::FnvHashMap;
use futures_lite::future;
use oakhollow::types::{BalancerConfig, ListKind, Micros};
use oakhollow_config::{DiscoveryList, LearnedHealth, MaintenanceMarks, Settings};
use slog::{o, Logger};
use std::cell::RefCell;
use std::future::Future;
use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Instant;

/// Commands that may be queued for a worker.
const MAX_QUEUED_COMMANDS: usize = 64;

/// A command from the main thread to the workers. Where one has a sender, it is dropped once the command is carried
/// out.
#[derive(Clone)]
pub enum WorkerCommand {
    /// A list from discovery, or the failure to get one.
    ApplyList(ListKind, Arc<DiscoveryList>, ListArrival),
    /// An operator's mark on an endpoint.
    ApplyMaintenance(MaintenanceMark, Sender<()>),
    /// Accept clients.
    StartAccepting(Sender<()>),
    /// Report what the decision module has learned about the endpoints.
    ExportLearned(Sender<LearnedHealth>),
    /// New settings.
    ApplySettings(Arc<Settings>, Sender<()>),
    /// The endpoints that drain by other instances' lists.
    ApplyPeerDrains(Arc<PeerDrains>, Sender<()>),
    /// The lease has begun or expired, or the list may no longer be used.
    RecheckDeadlines,
    /// Whether limits and budgets are shared with another process of this sidecar.
    SetSharing(Sharing),
    /// A successor takes over: stop accepting, answer every request by this time, and close each connection after its
    /// next answer.
    Handover(Micros),
    /// Report not ready at `/ready`, and answer every request by this time.
    ReportNotReady(Micros),
    /// Stop accepting once no connection waits in the kernel's queue, or at this time, and close each connection after its
    /// next answer.
    StopAccepting(Instant, Sender<()>),
}

/// Whether another process of this sidecar runs beside this one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Sharing {
    /// No other process runs.
    Alone,
    /// A successor is taking over from this process.
    WithSuccessor,
    /// This process is taking over from its predecessor.
    WithPredecessor,
}

/// Sends commands to all workers, each through its own queue, so that a busy worker does not delay a drain at the
/// others.
#[derive(Clone)]
pub struct CommandBroadcaster(Vec<Sender<WorkerCommand>>);

impl CommandBroadcaster {
    /// Sends commands to these queues.
    #[cfg(test)]
    pub fn new(workers: Vec<Sender<WorkerCommand>>) -> CommandBroadcaster {
        CommandBroadcaster(workers)
    }

    /// Sends a command and waits until every worker has carried it out, or has ended.
    pub async fn send_and_wait(&self, command: impl FnOnce(Sender<()>) -> WorkerCommand) {
        let (done, all_done) = bounded(1);
        self.send(command(done)).await;
        let _ = all_done.recv().await;
    }

    /// Sends a command, and waits for workers whose queue is full. One that has ended is reported by
    /// [`WorkerPool::failure`].
    pub async fn send(&self, command: WorkerCommand) {
        for worker in &self.0 {
            let _ = worker.send(command.clone()).await;
        }
    }
}

/// The current counts of one worker.
#[derive(Clone, Default)]
pub struct WorkerGauges {
    /// Requests submitted and not yet answered.
    pub requests: Gauge,
    /// Connections of clients.
    pub connections: Gauge,
}

/// Why a worker has ended unexpectedly.
pub struct WorkerFailure(pub String);

/// What a worker is started with.
pub struct WorkerContext {
    /// Its number among the workers, from 0.
    pub number: usize,
    pub commands: Receiver<WorkerCommand>,
    pub gauges: WorkerGauges,
}

struct Worker {
    commands: Sender<WorkerCommand>,
    gauges: WorkerGauges,
    thread: Option<JoinHandle<()>>,
}

/// All workers of the process. Dropping it ends them.
pub struct WorkerPool {
    workers: Vec<Worker>,
    failures: Receiver<WorkerFailure>,
}

thread_local! {
    static LAST_PANIC: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Makes the panic hook store the panic's message instead of printing it, for the one line that says why the process
/// ends.
pub fn capture_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let text = panic.to_string().replace('\n', " ");
        LAST_PANIC.with_borrow_mut(|last| *last = Some(text));
    }));
}

impl WorkerPool {
    /// Starts `count` workers, each of which runs `work`. [`WorkerPool::failure`] reports one that ends with an
    /// error or panics.
    pub fn start(
        count: usize, work: impl Fn(WorkerContext) -> std::io::Result<()> + Clone + Send + 'static,
    ) -> std::io::Result<WorkerPool> {
        let (report, failures) = bounded(count);
        let mut workers = Vec::new();
        for number in 0..count {
            let ((sender, commands), gauges) = (bounded(MAX_QUEUED_COMMANDS), WorkerGauges::default());
            let context = WorkerContext { number, commands, gauges: gauges.clone() };
            let (work, report) = (work.clone(), report.clone());
            let run = move || {
                let reason = match catch_unwind(AssertUnwindSafe(|| work(context))) {
                    Ok(Ok(())) => return,
                    Ok(Err(error)) => error.to_string(),
                    Err(_) => take_last_panic(),
                };
                let _ = report.try_send(WorkerFailure(format!("worker {number} ended: {reason}")));
            };
            let thread = Builder::new().name(format!("worker {number}")).spawn(run)?;
            workers.push(Worker { commands: sender, gauges, thread: Some(thread) });
        }
        Ok(WorkerPool { workers, failures })
    }

    /// Sends commands to these workers.
    pub fn commands(&self) -> CommandBroadcaster {
        CommandBroadcaster(self.workers.iter().map(|worker| worker.commands.clone()).collect())
    }

    /// Waits until a worker fails.
    pub async fn failure(&self) -> WorkerFailure {
        self.failures.recv().await.unwrap_or_else(|_| WorkerFailure("all workers ended".into()))
    }

    /// The number of open requests, over all workers.
    pub fn open_requests(&self) -> usize {
        self.workers.iter().map(|worker| worker.gauges.requests.get()).sum()
    }

    /// The gauges of each worker.
    pub fn gauges(&self) -> Vec<WorkerGauges> {
        self.workers.iter().map(|worker| worker.gauges.clone()).collect()
    }

    /// The number of client connections, over all workers.
    pub fn connections(&self) -> usize {
        self.workers.iter().map(|worker| worker.gauges.connections.get()).sum()
    }
}

impl Drop for WorkerPool {
    fn drop(&mut self) {
        self.workers.iter().for_each(|worker| _ = worker.commands.close());
        for worker in &mut self.workers {
            if let Some(thread) = worker.thread.take() {
                let _ = thread.join();
            }
        }
    }
}

/// What every worker is set up with.
#[derive(Clone)]
pub struct WorkerSetup {
    pub settings: Settings,
    pub seed: u64,
    pub known_list: Arc<DiscoveryList>,
    pub marks: MaintenanceMarks,
    /// What the predecessor process learned about the endpoints.
    pub learned: LearnedHealth,
    pub workers: usize,
    pub client_limit: SharedLimit,
    pub server_limit: SharedLimit,
    pub clock: Clock,
    pub log: Logger,
    pub lease: Lease,
    /// The time until which the list may be used.
    pub list_deadline: ListDeadline,
    /// Whether the main thread is up to date.
    pub main_thread: Progress,
    pub metrics: Arc<Metrics>,
    /// Requests a subscription to the list.
    pub subscribe: Sender<()>,
    pub ids: Arc<RequestIds>,
    /// The listener is the platform's, so connections that wait in its queue are left to the next process.
    pub listener_passed: bool,
    /// The predecessor process has sent its snapshot and still runs.
    pub has_predecessor: bool,
}

/// Runs a worker until its command queue is closed.
pub fn run_worker(setup: WorkerSetup, context: WorkerContext, listener: TcpListener) -> std::io::Result<()> {
    run_on_this_thread(|tasks| serve(setup, context, listener, tasks))
}

/// Runs `main` on an executor of this thread, until it ends or any task panics.
pub fn run_on_this_thread<F: Future<Output = std::io::Result<()>>>(
    main: impl FnOnce(Tasks) -> F,
) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(&executor);
    let panicked = async {
        tasks.panicked().await;
        Err(std::io::Error::other(take_last_panic()))
    };
    reactor::block_on(executor.run(future::or(panicked, main(tasks.clone()))))?
}

/// Takes the message of the last panic on this thread.
pub fn take_last_panic() -> String {
    LAST_PANIC.take().unwrap_or_else(|| "panicked".into())
}

/// The settings of one worker. The decision module counts each worker of each sidecar as one instance.
fn worker_settings(mut settings: Settings, number: usize, workers: usize) -> Settings {
    settings.balancer.instance_index =
        settings.balancer.instance_index.saturating_mul(workers as u32).saturating_add(number as u32);
    settings.balancer.instances = settings.balancer.instances.saturating_mul(workers as u32);
    // The fixed allowance of extra attempts is per process: it is divided among the workers, and the remainder goes
    // to the first ones.
    if let Some(budget) = &mut settings.balancer.retry_budget {
        let (base, workers) = (budget.base, workers as f64);
        budget.base = (base / workers).floor() + f64::from(u8::from((number as f64) < base % workers));
    }
    settings
}

/// The settings of this process while another process of this sidecar runs beside it: each of the two counts as a
/// sidecar of its own.
fn with_sharing(mut config: BalancerConfig, sharing: Sharing) -> BalancerConfig {
    let (sidecars, number) = match sharing {
        Sharing::Alone => return config,
        Sharing::WithPredecessor => (2, 0),
        Sharing::WithSuccessor => (2, 1),
    };
    config.instance_index = config.instance_index.saturating_mul(sidecars).saturating_add(number);
    config.instances = config.instances.saturating_mul(sidecars);
    if sharing == Sharing::WithPredecessor {
        forbid_extra_attempts(&mut config);
    }
    config
}

/// Allows no attempts beyond requests' first ones. While two processes of one sidecar run, only the earlier one may
/// make extra attempts, until it leaves. Together they would exceed the budget, also during the window after the
/// change.
fn forbid_extra_attempts(config: &mut BalancerConfig) {
    if let Some(budget) = &mut config.retry_budget {
        (budget.base, budget.ratio) = (0.0, 0.0);
    }
}

/// The class ids of the settings' workloads, and the restrictions on open requests of all others.
fn update_classes(
    known_classes: &mut KnownClasses, settings: &Settings,
) -> (Vec<ClassId>, FnvHashMap<ClassId, Restriction>) {
    let idempotencies = settings.balancer.workloads.iter().map(|workload| workload.idempotency);
    let current: Vec<_> =
        settings.workloads.iter().map(|workload| workload.name.clone()).zip(idempotencies).collect();
    known_classes.update(&current)
}

/// What client connections need of the settings to read requests.
fn build_request_settings(
    settings: &mut Settings, workload_ids: Vec<WorkloadIds>, classes: Vec<ClassId>,
) -> RequestSettings {
    let class_names = settings.workloads.iter().map(|workload| workload.name.as_str().into()).collect();
    RequestSettings {
        class_names,
        repeat_safety: workload_ids
            .iter()
            .map(|ids| monitor::repeat_safety(settings.balancer.workloads[ids.buffered.0].idempotency))
            .collect(),
        workloads: std::mem::take(&mut settings.workloads),
        workload_ids,
        classes,
        tenants: std::mem::take(&mut settings.tenants),
        uses_affinity_keys: settings.balancer.key_affinity,
        max_attempts: settings.balancer.max_hops as usize,
    }
}

/// Sets up a worker and carries out its commands.
async fn serve(
    setup: WorkerSetup, context: WorkerContext, listener: TcpListener, tasks: Tasks,
) -> std::io::Result<()> {
    let WorkerContext { number, commands, gauges } = context;
    let mut settings = worker_settings(setup.settings, number, setup.workers);
    let (mut known_workloads, mut known_classes) = (KnownWorkloads::default(), KnownClasses::default());
    let (class_ids, mut restrictions) = update_classes(&mut known_classes, &settings);
    let workload_ids;
    (settings.balancer, workload_ids) = known_workloads.update(settings.balancer);
    let log = if setup.workers > 1 { setup.log.new(o!("worker" => number)) } else { setup.log };
    let (dispatcher, messages) = DispatcherHandle::new(setup.clock, gauges.requests);
    let limits = monitor::limits(&settings.balancer, settings.drain_grace);
    let monitor = Monitor::new(limits, setup.metrics, setup.clock, log.clone());
    let server_connections = LimitShare::new(setup.server_limit);
    let pool = Pool::new(
        tasks.clone(),
        server_connections,
        (settings.connect_timeout, settings.server_idle_timeout),
        log.clone(),
    );
    let answer_deadline = AnswerDeadline::none();
    // There is one watch for all workers: the first worker subscribes, and all receive the list.
    let subscribe = if number == 0 { setup.subscribe } else { bounded(1).0 };
    let parts = Parts {
        protocol: Rc::new(Http1 {
            pool: pool.clone(),
            reads_load_reports: settings.balancer.load_reports,
            fence: Fence {
                lease: setup.lease.clone(),
                list_deadline: setup.list_deadline.clone(),
                answer_deadline: answer_deadline.clone(),
                main_thread: setup.main_thread,
                clock: setup.clock,
            },
            monitor: monitor.clone(),
        }),
        handle: dispatcher.clone(),
        tasks: tasks.clone(),
        log: log.clone(),
        subscribe,
        lease: setup.lease,
        list_deadline: setup.list_deadline,
        monitor: monitor.clone(),
        learned: setup.learned,
    };
    let seed = setup.seed ^ (number as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mut config = settings.balancer.clone();
    // Set here and not only by the later `SetSharing` command: a request may arrive before that.
    if setup.has_predecessor {
        forbid_extra_attempts(&mut settings.balancer);
    }
    let dispatcher_task = Dispatcher::new(&settings, seed, (&setup.known_list, setup.marks), parts);
    tasks.spawn_detached(dispatcher_task.run(messages));
    let request_settings = build_request_settings(&mut settings, workload_ids, class_ids);
    let mut sharing = if setup.has_predecessor { Sharing::WithPredecessor } else { Sharing::Alone };
    let client_connections = (LimitShare::new(setup.client_limit), gauges.connections);
    let connections = Connections::new(
        dispatcher.clone(),
        request_settings,
        monitor.clone(),
        client_connections,
        setup.ids,
        answer_deadline.clone(),
    );
    let acceptor = Acceptor::new(connections.clone(), tasks.clone(), log);
    let mut listener = Some(Rc::new(Async::from_listener(listener)?));
    let mut accepting = None;
    while let Ok(command) = commands.recv().await {
        match command {
            WorkerCommand::ApplyList(kind, list, arrival) => {
                dispatcher.send(DispatcherMessage::ApplyList(kind, list, arrival)).await
            }
            WorkerCommand::ApplyMaintenance(mark, done) => {
                dispatcher.send(DispatcherMessage::ApplyMaintenance(mark, done)).await
            }
            WorkerCommand::StartAccepting(done) => {
                let accept_all = listener.clone().map(|listener| acceptor.clone().accept_all(listener));
                accepting = accept_all.and_then(|accepting| tasks.spawn(accepting));
                connections.set_serving(true);
                drop(done);
            }
            WorkerCommand::ExportLearned(reply_to) => {
                dispatcher.send(DispatcherMessage::ExportLearned(reply_to)).await
            }
            WorkerCommand::ApplyPeerDrains(drains, done) => {
                dispatcher.send(DispatcherMessage::ApplyPeerDrains(drains, done)).await
            }
            WorkerCommand::RecheckDeadlines => dispatcher.send(DispatcherMessage::RecheckDeadlines).await,
            WorkerCommand::ApplySettings(settings, done) => {
                let mut settings = worker_settings(Settings::clone(&settings), number, setup.workers);
                let (workload_ids, class_ids);
                (class_ids, restrictions) = update_classes(&mut known_classes, &settings);
                (settings.balancer, workload_ids) = known_workloads.update(settings.balancer);
                pool.set_timeouts(settings.connect_timeout, settings.server_idle_timeout);
                monitor.set_limits(monitor::limits(&settings.balancer, settings.drain_grace));
                let request_settings = build_request_settings(&mut settings, workload_ids, class_ids);
                config = settings.balancer;
                // The module gets the settings before the connections do: it must know the workload ids of the requests
                // that are read by them.
                let config = Box::new(with_sharing(config.clone(), sharing));
                dispatcher
                    .send(DispatcherMessage::ApplySettings(config, restrictions.clone(), Some(done)))
                    .await;
                connections.set_request_settings(request_settings);
            }
            WorkerCommand::SetSharing(new_sharing) => {
                sharing = new_sharing;
                let config = Box::new(with_sharing(config.clone(), sharing));
                dispatcher.send(DispatcherMessage::ApplySettings(config, restrictions.clone(), None)).await;
                connections.close_excess_idle();
            }
            WorkerCommand::Handover(deadline) => {
                if let Some(accepting) = accepting.take() {
                    accepting.cancel().await;
                }
                listener = None;
                if sharing != Sharing::Alone && config.retry_budget.is_some() {
                    let mut final_config = with_sharing(config.clone(), sharing);
                    forbid_extra_attempts(&mut final_config);
                    dispatcher
                        .send(DispatcherMessage::ApplySettings(
                            Box::new(final_config),
                            restrictions.clone(),
                            None,
                        ))
                        .await;
                }
                connections.close_after_answers();
                answer_deadline.set(deadline);
                dispatcher.send(DispatcherMessage::SetAnswerDeadline(deadline)).await;
            }
            WorkerCommand::ReportNotReady(deadline) => {
                connections.set_serving(false);
                // The deadline also holds for requests that are already open: the process may be killed soon after it.
                answer_deadline.set(deadline);
                dispatcher.send(DispatcherMessage::SetAnswerDeadline(deadline)).await;
            }
            WorkerCommand::StopAccepting(until, done) => {
                if let Some(accepting) = accepting.take() {
                    accepting.cancel().await;
                }
                connections.close();
                if let Some(listener) = listener.take().filter(|_| !setup.listener_passed) {
                    let acceptor = acceptor.clone();
                    tasks.spawn_detached(async move {
                        acceptor.accept_backlog(&listener, until).await;
                        // At once: while it is open, the kernel goes on accepting connections that are never served.
                        drop(listener);
                        drop(done);
                    });
                }
            }
        }
    }
    Ok(())
}
