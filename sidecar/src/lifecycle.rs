//! The program's life from start to exit, as named phases of one object.
use crate::accord::{self, AccordHandle};
use crate::console::{self, Console};
use crate::endpoint_registry::{lock, EndpointRegistry, SharedRegistry};
use crate::handover::{self, HandoverLinks, Linking, Predecessor};
use crate::http1::watch::{self, Reload, Watch};
use crate::lease::Lease;
use crate::limits::SharedLimit;
use crate::list_deadline::ListDeadline;
use crate::listeners::{bind, descriptors, passed_on};
use crate::maintenance_store::MaintenanceStore;
use crate::metrics::Metrics;
use crate::tasks::Tasks;
use crate::timers::{duration, Clock};
use crate::workers::{carry, panic_kept, CommandBroadcaster, Kit, WorkerCommand, WorkerFailure, WorkerPool};
use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use async_io::{block_on, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, Stream, StreamExt};
use oakhollow::types::Micros;
use oakhollow_terms::{KeySet, MaintenanceMarks, OperatorConfig, Settings, SidecarConfig};
use slog::{info, warn, Logger};
use std::io::{Error, ErrorKind, Result};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long new connections are still taken in after the word to stop: those who send clients here take a
/// moment to notice.
const NOTICE: Duration = Duration::from_millis(600);
/// The platform's word on planned restarts: after the word to stop, the longest that a call may take, yet no more
/// than this, and a moment besides pass before the program may be killed.
const MOST_GRACE: Micros = Micros::millis(3_000);
const GRACE_BESIDES: Micros = Micros::millis(700);
/// How long before that moment the last answer is due.
const MARGIN: Micros = Micros::millis(150);
/// The part of the time before the program may be killed for which callers are served: alone, and while another process
/// takes in those that come.
const STAYS: f64 = 0.5;
const STAYS_BESIDE: f64 = 0.65;
/// How long discovery may take to tell the list while another process serves.
const SETTLES: Duration = Duration::from_millis(2_000);
/// How often it is looked whether all have left.
const LOOK: Duration = Duration::from_millis(10);
/// Descriptors that are neither a caller's connection nor a server's, the watch of the list among them, and those of each
/// further worker. The console and the links of instances that agree have their own besides.
const OWN_SOCKETS: usize = 24;
const WORKER_SOCKETS: usize = 4;
/// What one connection may take of the memory at worst: a head, a body and buffers. Copies of these are short-lived.
const CONNECTION_KB: f64 = 96.0;
/// The part of the memory that one line of the list may take: it is held as bytes, as text and as entries.
const LINE_PART: f64 = 1.0 / 32.0;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Bound, and nobody sent here yet.
    Starting,
    Serving,
    /// Told to stop: `/ready` says no, whoever still comes or stays is served. Guards against a gap where another
    /// sidecar leaves soon after: its callers may have nobody else.
    Leaving,
    /// Nobody new is taken in; what was taken is finished, each answer ends its connection.
    Finishing,
    Over,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Event {
    Bound,
    Told,
    /// The file is to be read again.
    Changed,
    /// Those who send clients here have noticed, and half of the time before the program may be killed is gone.
    Spent,
    Empty,
    Overdue,
    /// A worker has ended unasked.
    Lost,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Action {
    Open,
    SayNo,
    Reread,
    Shut,
    Nothing,
}

/// What is not listed here changes nothing.
const LIFE: &[(Phase, Event, Phase, Action)] = &[
    (Phase::Starting, Event::Bound, Phase::Serving, Action::Open),
    (Phase::Serving, Event::Told, Phase::Leaving, Action::SayNo),
    (Phase::Serving, Event::Changed, Phase::Serving, Action::Reread),
    (Phase::Leaving, Event::Changed, Phase::Leaving, Action::Reread),
    (Phase::Leaving, Event::Spent, Phase::Finishing, Action::Shut),
    (Phase::Finishing, Event::Empty, Phase::Over, Action::Nothing),
    (Phase::Finishing, Event::Overdue, Phase::Over, Action::Nothing),
    // Guards against a program that is half alive: whoever watches over it can only mend one that has ended.
    (Phase::Serving, Event::Lost, Phase::Over, Action::Nothing),
    (Phase::Leaving, Event::Lost, Phase::Over, Action::Nothing),
    (Phase::Finishing, Event::Lost, Phase::Over, Action::Nothing),
];

/// One sidecar from its start to its end.
struct Program {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    log: Logger,
    tasks: Tasks,
    crew: WorkerPool,
    orders: CommandBroadcaster,
    clock: Clock,
    /// The longest that any API call may take.
    longest: Duration,
    /// How long after the word to stop the program is sure to live.
    grace: Micros,
    /// What the watch of the list is told once the file was read again.
    reloads: Sender<Reload>,
    lost: Option<WorkerFailure>,
    /// The keys of the file that holds.
    shape: KeySet,
    registry: SharedRegistry,
    peers: HandoverLinks,
    /// How instances agree on settings, where they do.
    accord: Option<AccordHandle>,
    /// Another process serves meanwhile.
    takes_over: bool,
    /// Another process serves from now on.
    parts: bool,
}

/// What a running sidecar may be told from outside.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Word {
    Stop,
    /// Its file has changed.
    Reread,
}

/// The words that come as signals: SIGTERM and SIGINT to stop, SIGHUP to read the file again.
pub fn signals() -> Result<impl Stream<Item = Word>> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    // An error of the stream is no signal; guards against spinning on one that lasts.
    let signals = signals.then(|signal| async {
        if signal.is_err() {
            Timer::after(LOOK).await;
        }
        signal
    });
    Ok(signals.filter_map(Result::ok).map(|signal| match signal {
        Signal::Hup => Word::Reread,
        _ => Word::Stop,
    }))
}

/// Runs one sidecar until `words` say stop, or end, and then as long as it takes to part in good order. `reread`
/// gives what it is to be started with by now. A fault is one line.
pub fn run(
    start: SidecarConfig, operator: OperatorConfig,
    reread: impl Fn(&KeySet) -> std::result::Result<SidecarConfig, String>, log: Logger,
    words: impl Stream<Item = Word>,
) -> std::result::Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(&executor);
    block_on(executor.run(async {
        let (address, mut start) = (start.listen, start);
        let (listeners, passed) = match passed_on(operator.workers) {
            Some(listeners) => (listeners, true),
            None => (bind(address, operator.workers).await, false),
        };
        let listeners = listeners.map_err(|fault| format!("listen: {address}: {fault}"))?;
        let place = listeners[0].local_addr().map_err(|fault| format!("listen: {address}: {fault}"))?;
        let clock = Clock::start();
        let store = MaintenanceStore::new(place, clock).map(Arc::new);
        let before = match &store {
            Some(store) if passed => handover::greet(store, &log).await,
            _ => None,
        };
        if let Some(list) = before.as_ref().and_then(|before| before.rest.list.clone()) {
            start.known_list = list;
        }
        let program =
            Program::build(start, operator, log, tasks, (listeners, passed), (store, clock, before));
        program?.live(reread, words).await
    }))
}

/// The longest that any API call may take.
fn longest(place: &Settings) -> Micros {
    place.workloads.iter().map(|workload| workload.max_client_wait).max().unwrap_or_default()
}

/// How long after the word to stop the program is sure to live.
fn grace(longest: Micros) -> Micros {
    longest.min(MOST_GRACE) + GRACE_BESIDES
}

/// Says what a restart does to calls that may take longer than it.
fn say_if_cut_short(log: &Logger, longest: Micros) {
    let last = grace(longest) - MARGIN;
    if longest > last {
        let (longest, last) = (longest.0 / 1000, last.0 / 1000);
        info!(
            log,
            "calls may take {} ms: one open at a restart has its answer {} ms after the word to stop at the latest",
            longest,
            last
        );
    }
}

impl Program {
    fn build(
        start: SidecarConfig, operator: OperatorConfig, log: Logger, tasks: Tasks,
        listeners: (Vec<TcpListener>, bool),
        kept: (Option<Arc<MaintenanceStore>>, Clock, Option<Predecessor>),
    ) -> std::result::Result<Program, String> {
        let failed = |fault: Error| format!("cannot start: {fault}");
        let ((listeners, passed), (store, clock, before)) = (listeners, kept);
        let lease = operator
            .accord
            .as_ref()
            .map_or_else(Lease::off, |operated| Lease::none(operated.no_lease_policy));
        let agrees = operator.accord.clone().map(|operated| (operated, start.clone()));
        let SidecarConfig { settings: place, limits, known_list: known, .. } = start;
        let workers = operator.workers;
        // Half of the connections are for callers: each call of theirs has mostly one hop out.
        let by_memory = (limits.memory_mb * 0.75 * 1024.0 / CONNECTION_KB) as usize;
        let consoles = start.console.map_or(0, |_| console::SOCKETS);
        let links = operator.accord.as_ref().map_or(0, |operated| accord::sockets(operated, &start.name));
        let own = OWN_SOCKETS + WORKER_SOCKETS * (workers - 1) + consoles + links;
        let descriptors = limits.sockets.min(descriptors());
        let most = descriptors.saturating_sub(own).min(by_memory) / 2;
        if most == 0 {
            return Err(format!(
                "limits.sockets: of {descriptors}, {own} are kept back and none is left for calls"
            ));
        }
        info!(log, "listening on {}", listeners[0].local_addr().map_err(failed)?; "tier" => &place.tier, "workers" => workers);
        if descriptors < limits.sockets {
            info!(log, "the machine allows {} descriptors, under limits.sockets", descriptors);
        }
        let (ask, asks) = bounded(1);
        let (deadline, drain_grace) = (ListDeadline::none(), place.drain_grace);
        let instances = place.balancer.instances;
        let (reload, reloads) = bounded(1);
        let longest = longest(&place);
        say_if_cut_short(&log, longest);
        let told = known.index;
        let marks = match (&before, &store) {
            (Some(before), _) => before.marks.clone(),
            (None, Some(store)) => store.load(&log)?,
            (None, None) => MaintenanceMarks::default(),
        };
        let taught = before.as_ref().map(|before| before.rest.learned.clone()).unwrap_or_default();
        let (peers, takes_over) = (HandoverLinks::default(), before.is_some());
        let registry: SharedRegistry = Arc::new(Mutex::new(EndpointRegistry::new(&known, marks.clone())));
        let known = Arc::new(known);
        let bounds = [SharedLimit::new(most, workers), SharedLimit::new(most, workers)];
        let metrics = Arc::new(Metrics::new());
        let kit = Kit {
            place,
            seed: start.seed,
            known: known.clone(),
            marks,
            taught,
            workers,
            callers: bounds[0].clone(),
            links: bounds[1].clone(),
            clock,
            log: log.clone(),
            lease: lease.clone(),
            list_deadline: deadline.clone(),
            metrics: metrics.clone(),
            ask,
            ids: Arc::default(),
            passed,
            beside: takes_over,
        };
        let listeners = Arc::new(Mutex::new(listeners));
        let crew = WorkerPool::start(workers, move |hand| {
            // Each worker takes one; none has been there before.
            let listener = listeners.lock().ok().and_then(|mut listeners| listeners.pop());
            carry(kit.clone(), hand, listener.ok_or(ErrorKind::AddrNotAvailable)?)
        })
        .map_err(failed)?;
        let most_line = (limits.memory_mb * 1024.0 * 1024.0 * LINE_PART) as usize;
        let orders = crew.commands();
        let mut agreed = None;
        if let Some((operated, start)) = agrees {
            lock(&registry).sure = false;
            let (orders, registry, log) = (orders.clone(), registry.clone(), log.clone());
            let (store, peers) = (store.clone(), peers.clone());
            let parts = accord::Parts { operated, lease, orders, registry, store, peers, clock, log };
            let (accord, agreeing) = accord::begin(&start, known, parts)?;
            tasks.spawn_detached(agreeing);
            agreed = Some(accord);
        }
        if let Some(at) = start.console {
            let (registry, orders, peers) = (registry.clone(), orders.clone(), peers.clone());
            let (store, accord) = (store.clone(), agreed.clone());
            let (metrics, gauges) = (metrics.clone(), crew.gauges());
            let log = log.clone();
            let console = Console { registry, orders, clock, log, store, peers, accord, metrics, gauges };
            console.listen(at, passed).map_err(failed)?;
        }
        if let Some(store) = store.filter(|_| passed) {
            let (peers, registry, orders) = (peers.clone(), registry.clone(), orders.clone());
            let linking = Linking { peers, registry, orders, store, bounds, clock, log: log.clone() };
            tasks.spawn_detached(linking.run(before));
        }
        let watch = Watch::new(watch::Parts {
            discovery: start.discovery,
            initial_version: told,
            workers: orders.clone(),
            registry: registry.clone(),
            accord: agreed.clone(),
            subscriptions: asks,
            reloads,
            deadline,
            drain_grace,
            instances,
            clock,
            metrics,
            // Guards against calls that are spread as something else is that this seed draws.
            seed: !start.seed,
            max_line_bytes: most_line,
            log: log.clone(),
        });
        tasks.spawn_detached(watch.run());
        Ok(Program {
            phase: Phase::Starting,
            since: Instant::now(),
            crew,
            orders,
            clock,
            longest: duration(longest),
            grace: grace(longest),
            shape: start.keys,
            reloads: reload,
            lost: None,
            registry,
            peers,
            accord: agreed,
            takes_over,
            parts: false,
            log,
            tasks,
        })
    }

    async fn live(
        mut self, reread: impl Fn(&KeySet) -> std::result::Result<SidecarConfig, String>,
        words: impl Stream<Item = Word>,
    ) -> std::result::Result<(), String> {
        // Held until the end: a word that is late by a phase is heard by nobody, and ends nothing.
        let mut words = Box::pin(words);
        while self.phase != Phase::Over {
            let word = async {
                match words.next().await {
                    Some(Word::Reread) => Event::Changed,
                    Some(Word::Stop) | None => Event::Told,
                }
            };
            let usual = async {
                match self.phase {
                    // Guards against taking callers from the other process, which knows the list and may act, before this
                    // one does.
                    Phase::Starting if self.takes_over => {
                        let knows = || {
                            let registry = lock(&self.registry);
                            registry.list_settled && registry.sure
                        };
                        while !knows() && self.since.elapsed() < SETTLES {
                            Timer::after(LOOK).await;
                        }
                        Event::Bound
                    }
                    Phase::Starting => Event::Bound,
                    Phase::Serving => word.await,
                    Phase::Leaving => {
                        let spent = async {
                            let part = if self.parts { STAYS_BESIDE } else { STAYS };
                            Timer::at(self.since + NOTICE.max(duration(self.grace.times(part)))).await;
                            Event::Spent
                        };
                        future::or(spent, word).await
                    }
                    Phase::Finishing | Phase::Over => loop {
                        if self.crew.connections() == 0 {
                            break Event::Empty;
                        }
                        if self.since.elapsed() > self.longest {
                            break Event::Overdue;
                        }
                        Timer::after(LOOK).await;
                    },
                }
            };
            let doomed = async {
                self.tasks.panicked().await;
                WorkerFailure(format!("the program's own thread: {}", panic_kept()))
            };
            let died = async { Err(future::or(doomed, self.crew.failure()).await) };
            let event = match future::or(died, async { Ok(usual.await) }).await {
                Ok(event) => event,
                Err(lost) => {
                    self.lost = Some(lost);
                    Event::Lost
                }
            };
            self.step(event, &reread).await;
        }
        self.lost.take().map_or(Ok(()), |WorkerFailure(why)| Err(why))
    }

    async fn step(
        &mut self, event: Event, reread: &impl Fn(&KeySet) -> std::result::Result<SidecarConfig, String>,
    ) {
        let row = LIFE.iter().find(|(phase, given, ..)| *phase == self.phase && *given == event);
        let Some(&(_, _, phase, action)) = row else { return };
        match action {
            Action::Open => {
                self.orders.send_and_wait(WorkerCommand::StartAccepting).await;
                lock(&self.registry).able = true;
            }
            Action::SayNo => {
                lock(&self.registry).able = false;
                let by = self.clock.now() + (self.grace - MARGIN);
                self.parts = self.peers.any();
                self.peers.part();
                self.orders
                    .send(if self.parts {
                        WorkerCommand::Handover(by)
                    } else {
                        WorkerCommand::ReportNotReady(by)
                    })
                    .await
            }
            Action::Shut => self.orders.send_and_wait(WorkerCommand::StopAccepting).await,
            Action::Reread => match reread(&self.shape) {
                Ok(start) => {
                    if let Some(accord) = &self.accord {
                        if let Err(fault) = accord.written(start.clone()).await {
                            warn!(self.log, "file not taken, all stays as it was: {}", fault);
                            return;
                        }
                    }
                    let (longest, drain_grace) = (longest(&start.settings), start.settings.drain_grace);
                    let instances = start.settings.balancer.instances;
                    // Once the end has been ordered, its time is that of the settings which held then.
                    if self.phase == Phase::Serving {
                        (self.longest, self.grace) = (duration(longest), grace(longest));
                    }
                    self.shape = start.keys;
                    // Where instances agree, the settings hold once that is settled.
                    if self.accord.is_none() {
                        let place = Arc::new(start.settings);
                        self.orders.send_and_wait(|done| WorkerCommand::ApplySettings(place, done)).await;
                    }
                    info!(self.log, "file read again, the list is watched at {}", start.discovery);
                    let _ = self
                        .reloads
                        .send(Reload { discovery: start.discovery, drain_grace, instances })
                        .await;
                }
                // Guards against serving by half a file: what held before holds on, whole.
                Err(fault) => warn!(self.log, "file not taken, all stays as it was: {}", fault),
            },
            Action::Nothing => {}
        }
        if phase == self.phase {
            return;
        }
        let (held, open) = (self.crew.calls(), self.crew.connections());
        let after = self.since.elapsed().as_millis();
        info!(
            self.log,
            "{:?}: {:?} after {} ms, {} calls held, {} connections", phase, event, after, held, open
        );
        (self.phase, self.since) = (phase, Instant::now());
    }
}
