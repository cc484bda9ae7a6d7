//! The lifecycle of the process, from start to exit, as a state machine of named phases.
use crate::agreement::{self, AgreementHandle};
use crate::console::{self, Console};
use crate::endpoint_registry::{lock, EndpointRegistry, SharedRegistry};
use crate::handover::{self, HandoverLinks, HandoverTask, Predecessor};
use crate::http1::watch::{self, Reload, Watch};
use crate::lease::Lease;
use crate::limits::SharedLimit;
use crate::list_deadline::ListDeadline;
use crate::listeners::{bind, descriptor_limit, passed_listeners};
use crate::maintenance_store::MaintenanceStore;
use crate::metrics::Metrics;
use crate::tasks::Tasks;
use crate::timers::{duration, Clock};
use crate::workers::{
    run_worker, take_last_panic, CommandBroadcaster, WorkerCommand, WorkerFailure, WorkerPool, WorkerSetup,
};
use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use async_io::{block_on, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, Stream, StreamExt};
use oakhollow::types::Micros;
use oakhollow_config::{KeySet, MaintenanceMarks, OperatorConfig, Settings, SidecarConfig};
use slog::{info, warn, Logger};
use std::io::{Error, ErrorKind, Result};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long new connections are accepted after the stop signal: whatever routes clients here takes a moment to notice
/// that `/ready` has changed.
const UNREADY_NOTICE: Duration = Duration::from_millis(600);
/// The platform's rule for planned restarts: after the stop signal the process lives for the longest time that a
/// request may take, limited to `MAX_GRACE`, and `EXTRA_GRACE` more, before it may be killed.
const MAX_GRACE: Micros = Micros::millis(3_000);
const EXTRA_GRACE: Micros = Micros::millis(700);
/// How long before the end of the grace period, when the process may be killed, the last answer is due.
const LAST_ANSWER_MARGIN: Micros = Micros::millis(150);
/// The share of the grace period for which clients are still served: alone, and while a successor accepts the new
/// ones.
const SERVING_SHARE: f64 = 0.5;
const SERVING_SHARE_WITH_SUCCESSOR: f64 = 0.65;
/// How long a start waits for the list from discovery and for a lease while the predecessor still serves.
const TAKEOVER_WAIT: Duration = Duration::from_millis(2_000);
/// How often a condition is polled, such as whether all connections are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Descriptors reserved for anything but connections of clients and to endpoints, such as the watch of the list, and
/// for each further worker. Those of the console and of the links between instances come on top.
const RESERVED_DESCRIPTORS: usize = 24;
const DESCRIPTORS_PER_WORKER: usize = 4;
/// The memory that one connection may take at worst: a head, a body and buffers. Copies of these are short-lived.
const CONNECTION_MEMORY_KB: f64 = 96.0;
/// The share of the memory that one line of the list may take: it is held as bytes, as text and as entries.
const LIST_LINE_MEMORY_SHARE: f64 = 1.0 / 32.0;

/// The phases of the process. The log names them by their identifiers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Listening, and not accepting yet.
    Starting,
    /// Accepting and serving clients.
    Serving,
    /// After the stop signal: `/ready` reports not ready, but clients that connect or stay are served. The clients of
    /// another sidecar that leaves soon after may have no other sidecar to go to.
    Leaving,
    /// No connection is accepted; open requests are finished, and each answer ends its connection.
    Finishing,
    /// The process exits.
    Over,
}

/// What may end a phase, or change something within it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Event {
    /// The listeners are bound; during a handover, also the list is known and sending is allowed.
    Bound,
    /// The stop signal has come.
    StopRequested,
    /// The configuration file has changed.
    FileChanged,
    /// The time for which clients are still served after the stop signal is over.
    ServingTimeOver,
    /// No client connection is left.
    ConnectionsClosed,
    /// The longest that any request may take has passed.
    TimeLimitReached,
    /// A worker, or the main thread's own tasks, has failed.
    WorkerFailed,
}

impl Event {
    /// The event's name in the log.
    fn log_name(self) -> &'static str {
        match self {
            Event::Bound => "Bound",
            Event::StopRequested => "Told",
            Event::FileChanged => "Changed",
            Event::ServingTimeOver => "Spent",
            Event::ConnectionsClosed => "Empty",
            Event::TimeLimitReached => "Overdue",
            Event::WorkerFailed => "Lost",
        }
    }
}

/// What a transition does.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Action {
    StartAccepting,
    /// Reports not ready and, if there is a successor, stops accepting.
    StartLeaving,
    /// Reads the configuration file again.
    Reload,
    StopAccepting,
    Nothing,
}

/// The transitions. A pair of phase and event that is not listed changes nothing.
const TRANSITIONS: &[(Phase, Event, Phase, Action)] = &[
    (Phase::Starting, Event::Bound, Phase::Serving, Action::StartAccepting),
    (Phase::Serving, Event::StopRequested, Phase::Leaving, Action::StartLeaving),
    (Phase::Serving, Event::FileChanged, Phase::Serving, Action::Reload),
    (Phase::Leaving, Event::FileChanged, Phase::Leaving, Action::Reload),
    (Phase::Leaving, Event::ServingTimeOver, Phase::Finishing, Action::StopAccepting),
    (Phase::Finishing, Event::ConnectionsClosed, Phase::Over, Action::Nothing),
    (Phase::Finishing, Event::TimeLimitReached, Phase::Over, Action::Nothing),
    // A process that lost a worker ends: a supervisor can only restart one that has exited.
    (Phase::Serving, Event::WorkerFailed, Phase::Over, Action::Nothing),
    (Phase::Leaving, Event::WorkerFailed, Phase::Over, Action::Nothing),
    (Phase::Finishing, Event::WorkerFailed, Phase::Over, Action::Nothing),
];

/// One sidecar from its start to its end.
struct Program {
    phase: Phase,
    /// When the current phase began.
    phase_since: Instant,
    log: Logger,
    tasks: Tasks,
    worker_pool: WorkerPool,
    commands: CommandBroadcaster,
    clock: Clock,
    /// The longest that any request may take.
    longest_request: Duration,
    /// How long the process may live after the stop signal.
    grace: Micros,
    /// Tells the watch of the list about a reloaded configuration.
    reloads: Sender<Reload>,
    worker_failure: Option<WorkerFailure>,
    /// The keys of the current configuration file.
    keys: KeySet,
    registry: SharedRegistry,
    handover_links: HandoverLinks,
    /// The agreement of instances on settings, where it is configured.
    agreement: Option<AgreementHandle>,
    /// Whether the predecessor process still serves.
    has_predecessor: bool,
    /// Whether a successor serves from now on.
    has_successor: bool,
}

/// A command to the running sidecar from outside.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ControlCommand {
    /// Shuts down gracefully.
    Stop,
    /// Reads the configuration file again.
    Reload,
}

/// The commands that arrive as signals: SIGTERM and SIGINT stop, SIGHUP reads the configuration file again.
pub fn signals() -> Result<impl Stream<Item = ControlCommand>> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    // An error of the stream is not a signal. The pause avoids a busy loop on one that persists.
    let signals = signals.then(|signal| async {
        if signal.is_err() {
            Timer::after(POLL_INTERVAL).await;
        }
        signal
    });
    Ok(signals.filter_map(Result::ok).map(|signal| match signal {
        Signal::Hup => ControlCommand::Reload,
        _ => ControlCommand::Stop,
    }))
}

/// Runs one sidecar until `control` yields [`ControlCommand::Stop`] or ends, and then until the sidecar has shut down
/// gracefully. `reload_config` reads the current configuration. The text of an error is one line.
pub fn run(
    config: SidecarConfig, operator: OperatorConfig,
    reload_config: impl Fn(&KeySet) -> std::result::Result<SidecarConfig, String>, log: Logger,
    control: impl Stream<Item = ControlCommand>,
) -> std::result::Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::new(&executor);
    block_on(executor.run(async {
        let (address, mut config) = (config.listen, config);
        let (listeners, listener_passed) = match passed_listeners(operator.workers) {
            Some(listeners) => (listeners, true),
            None => (bind(address, operator.workers).await, false),
        };
        let listeners = listeners.map_err(|error| format!("listen: {address}: {error}"))?;
        let local_address =
            listeners[0].local_addr().map_err(|error| format!("listen: {address}: {error}"))?;
        let clock = Clock::start();
        let store = MaintenanceStore::new(local_address, clock).map(Arc::new);
        let predecessor = match &store {
            Some(store) if listener_passed => handover::fetch_snapshot(store, &log).await,
            _ => None,
        };
        if let Some(list) = predecessor.as_ref().and_then(|predecessor| predecessor.state.list.clone()) {
            config.known_list = list;
        }
        let program = Program::build(
            config,
            operator,
            log,
            tasks,
            (listeners, listener_passed),
            (store, clock, predecessor),
        );
        program?.run(reload_config, control).await
    }))
}

/// The longest that any request may take.
fn longest_request_time(settings: &Settings) -> Micros {
    settings.workloads.iter().map(|workload| workload.max_client_wait).max().unwrap_or_default()
}

/// How long the process may live after the stop signal.
fn grace_period(longest_request: Micros) -> Micros {
    longest_request.min(MAX_GRACE) + EXTRA_GRACE
}

/// Logs that a restart cuts requests short, if they may take longer than the grace period.
fn log_if_requests_are_cut_short(log: &Logger, longest_request: Micros) {
    let last_answer = grace_period(longest_request) - LAST_ANSWER_MARGIN;
    if longest_request > last_answer {
        let (longest_request, last_answer) = (longest_request.0 / 1000, last_answer.0 / 1000);
        info!(
            log,
            "requests may take {} ms: one open at a restart is answered at most {} ms after the stop signal",
            longest_request,
            last_answer
        );
    }
}

impl Program {
    fn build(
        config: SidecarConfig, operator: OperatorConfig, log: Logger, tasks: Tasks,
        listeners: (Vec<TcpListener>, bool),
        state: (Option<Arc<MaintenanceStore>>, Clock, Option<Predecessor>),
    ) -> std::result::Result<Program, String> {
        let failed = |error: Error| format!("cannot start: {error}");
        let ((listeners, listener_passed), (store, clock, predecessor)) = (listeners, state);
        let lease = operator
            .accord
            .as_ref()
            .map_or_else(Lease::unlimited, |accord| Lease::not_yet_granted(accord.no_lease_policy));
        let accord_config = operator.accord.clone().map(|accord| (accord, config.clone()));
        let SidecarConfig { settings, limits, known_list, .. } = config;
        let workers = operator.workers;
        // Half of the connections are for clients: most requests have one attempt running.
        let by_memory = (limits.memory_mb * 0.75 * 1024.0 / CONNECTION_MEMORY_KB) as usize;
        let console_descriptors = config.console.map_or(0, |_| console::DESCRIPTORS);
        let agreement_descriptors = operator
            .accord
            .as_ref()
            .map_or(0, |accord_config| agreement::descriptors_needed(accord_config, &config.name));
        let reserved = RESERVED_DESCRIPTORS
            + DESCRIPTORS_PER_WORKER * (workers - 1)
            + console_descriptors
            + agreement_descriptors;
        let descriptors = limits.sockets.min(descriptor_limit());
        let max_connections = descriptors.saturating_sub(reserved).min(by_memory) / 2;
        if max_connections == 0 {
            return Err(format!(
                "limits.sockets: of {descriptors}, {reserved} are reserved and none is left for requests"
            ));
        }
        info!(log, "listening on {}", listeners[0].local_addr().map_err(failed)?; "tier" => &settings.tier, "workers" => workers);
        if descriptors < limits.sockets {
            info!(log, "the machine allows {} descriptors, under limits.sockets", descriptors);
        }
        let (subscribe, subscriptions) = bounded(1);
        let (deadline, drain_grace) = (ListDeadline::none(), settings.drain_grace);
        let instances = settings.balancer.instances;
        let (reload_sender, reloads) = bounded(1);
        let longest_request = longest_request_time(&settings);
        log_if_requests_are_cut_short(&log, longest_request);
        let known_index = known_list.index;
        let marks = match (&predecessor, &store) {
            (Some(predecessor), _) => predecessor.marks.clone(),
            (None, Some(store)) => store.load(&log)?,
            (None, None) => MaintenanceMarks::default(),
        };
        let learned =
            predecessor.as_ref().map(|predecessor| predecessor.state.learned.clone()).unwrap_or_default();
        let (handover_links, has_predecessor) = (HandoverLinks::default(), predecessor.is_some());
        let registry: SharedRegistry =
            Arc::new(Mutex::new(EndpointRegistry::new(&known_list, marks.clone())));
        let known_list = Arc::new(known_list);
        let connection_limits =
            [SharedLimit::new(max_connections, workers), SharedLimit::new(max_connections, workers)];
        let metrics = Arc::new(Metrics::new());
        let setup = WorkerSetup {
            settings,
            seed: config.seed,
            known_list: known_list.clone(),
            marks,
            learned,
            workers,
            client_limit: connection_limits[0].clone(),
            server_limit: connection_limits[1].clone(),
            clock,
            log: log.clone(),
            lease: lease.clone(),
            list_deadline: deadline.clone(),
            metrics: metrics.clone(),
            subscribe,
            ids: Arc::default(),
            listener_passed,
            has_predecessor,
        };
        let listeners = Arc::new(Mutex::new(listeners));
        let worker_pool = WorkerPool::start(workers, move |context| {
            // Each worker takes one listener.
            let listener = listeners.lock().ok().and_then(|mut listeners| listeners.pop());
            run_worker(setup.clone(), context, listener.ok_or(ErrorKind::AddrNotAvailable)?)
        })
        .map_err(failed)?;
        let max_line_bytes = (limits.memory_mb * 1024.0 * 1024.0 * LIST_LINE_MEMORY_SHARE) as usize;
        let commands = worker_pool.commands();
        let mut agreement_handle = None;
        if let Some((accord_config, config)) = accord_config {
            lock(&registry).lease_ok = false;
            let (commands, registry, log) = (commands.clone(), registry.clone(), log.clone());
            let (store, handover_links) = (store.clone(), handover_links.clone());
            let parts = agreement::Parts {
                config: accord_config,
                lease,
                commands,
                registry,
                store,
                handover_links,
                clock,
                log,
            };
            let (handle, task) = agreement::start(&config, known_list, parts)?;
            tasks.spawn_detached(task);
            agreement_handle = Some(handle);
        }
        if let Some(address) = config.console {
            let (registry, commands, handover_links) =
                (registry.clone(), commands.clone(), handover_links.clone());
            let (store, agreement) = (store.clone(), agreement_handle.clone());
            let (metrics, gauges) = (metrics.clone(), worker_pool.gauges());
            let log = log.clone();
            let console =
                Console { registry, commands, clock, log, store, handover_links, agreement, metrics, gauges };
            console.listen(address, listener_passed).map_err(failed)?;
        }
        if let Some(store) = store.filter(|_| listener_passed) {
            let (handover_links, registry, commands) =
                (handover_links.clone(), registry.clone(), commands.clone());
            let handover_task = HandoverTask {
                links: handover_links,
                registry,
                commands,
                store,
                connection_limits,
                clock,
                log: log.clone(),
            };
            tasks.spawn_detached(handover_task.run(predecessor));
        }
        let watch = Watch::new(watch::Parts {
            discovery: config.discovery,
            initial_version: known_index,
            workers: commands.clone(),
            registry: registry.clone(),
            agreement: agreement_handle.clone(),
            subscriptions,
            reloads,
            deadline,
            drain_grace,
            instances,
            clock,
            metrics,
            // Inverted, so that list requests are not spread by the same draws as anything else that uses this seed.
            seed: !config.seed,
            max_line_bytes,
            log: log.clone(),
        });
        tasks.spawn_detached(watch.run());
        Ok(Program {
            phase: Phase::Starting,
            phase_since: Instant::now(),
            worker_pool,
            commands,
            clock,
            longest_request: duration(longest_request),
            grace: grace_period(longest_request),
            keys: config.keys,
            reloads: reload_sender,
            worker_failure: None,
            registry,
            handover_links,
            agreement: agreement_handle,
            has_predecessor,
            has_successor: false,
            log,
            tasks,
        })
    }

    async fn run(
        mut self, reload_config: impl Fn(&KeySet) -> std::result::Result<SidecarConfig, String>,
        control: impl Stream<Item = ControlCommand>,
    ) -> std::result::Result<(), String> {
        // Held until the end, so that a late signal is ignored and does not kill the process.
        let mut control = Box::pin(control);
        while self.phase != Phase::Over {
            let command = async {
                match control.next().await {
                    Some(ControlCommand::Reload) => Event::FileChanged,
                    Some(ControlCommand::Stop) | None => Event::StopRequested,
                }
            };
            let next_event = async {
                match self.phase {
                    // Until this process knows the list and may send, the predecessor serves the clients better.
                    Phase::Starting if self.has_predecessor => {
                        let is_ready_to_serve = || {
                            let registry = lock(&self.registry);
                            registry.list_settled && registry.lease_ok
                        };
                        while !is_ready_to_serve() && self.phase_since.elapsed() < TAKEOVER_WAIT {
                            Timer::after(POLL_INTERVAL).await;
                        }
                        Event::Bound
                    }
                    Phase::Starting => Event::Bound,
                    Phase::Serving => command.await,
                    Phase::Leaving => {
                        let serving_time_over = async {
                            let share =
                                if self.has_successor { SERVING_SHARE_WITH_SUCCESSOR } else { SERVING_SHARE };
                            Timer::at(
                                self.phase_since + UNREADY_NOTICE.max(duration(self.grace.times(share))),
                            )
                            .await;
                            Event::ServingTimeOver
                        };
                        future::or(serving_time_over, command).await
                    }
                    Phase::Finishing | Phase::Over => loop {
                        if self.worker_pool.connections() == 0 {
                            break Event::ConnectionsClosed;
                        }
                        if self.phase_since.elapsed() > self.longest_request {
                            break Event::TimeLimitReached;
                        }
                        Timer::after(POLL_INTERVAL).await;
                    },
                }
            };
            let panicked = async {
                self.tasks.panicked().await;
                WorkerFailure(format!("the main thread: {}", take_last_panic()))
            };
            let failed = async { Err(future::or(panicked, self.worker_pool.failure()).await) };
            let event = match future::or(failed, async { Ok(next_event.await) }).await {
                Ok(event) => event,
                Err(worker_failure) => {
                    self.worker_failure = Some(worker_failure);
                    Event::WorkerFailed
                }
            };
            self.handle(event, &reload_config).await;
        }
        self.worker_failure.take().map_or(Ok(()), |WorkerFailure(reason)| Err(reason))
    }

    async fn handle(
        &mut self, event: Event,
        reload_config: &impl Fn(&KeySet) -> std::result::Result<SidecarConfig, String>,
    ) {
        let transition =
            TRANSITIONS.iter().find(|(phase, trigger, ..)| *phase == self.phase && *trigger == event);
        let Some(&(_, _, next_phase, action)) = transition else { return };
        match action {
            Action::StartAccepting => {
                self.commands.send_and_wait(WorkerCommand::StartAccepting).await;
                lock(&self.registry).accepting = true;
            }
            Action::StartLeaving => {
                lock(&self.registry).accepting = false;
                let deadline = self.clock.now() + (self.grace - LAST_ANSWER_MARGIN);
                self.has_successor = self.handover_links.any();
                self.handover_links.announce_stop();
                self.commands
                    .send(if self.has_successor {
                        WorkerCommand::Handover(deadline)
                    } else {
                        WorkerCommand::ReportNotReady(deadline)
                    })
                    .await
            }
            Action::StopAccepting => self.commands.send_and_wait(WorkerCommand::StopAccepting).await,
            Action::Reload => match reload_config(&self.keys) {
                Ok(config) => {
                    if let Some(agreement) = &self.agreement {
                        if let Err(error) = agreement.propose(config.clone()).await {
                            warn!(
                                self.log,
                                "configuration file rejected, the previous settings stay: {}", error
                            );
                            return;
                        }
                    }
                    let (longest_request, drain_grace) =
                        (longest_request_time(&config.settings), config.settings.drain_grace);
                    let instances = config.settings.balancer.instances;
                    // After the stop signal, the grace period stays that of the settings in use then.
                    if self.phase == Phase::Serving {
                        (self.longest_request, self.grace) =
                            (duration(longest_request), grace_period(longest_request));
                    }
                    self.keys = config.keys;
                    // Where instances agree on settings, these apply once they are agreed.
                    if self.agreement.is_none() {
                        let settings = Arc::new(config.settings);
                        self.commands
                            .send_and_wait(|done| WorkerCommand::ApplySettings(settings, done))
                            .await;
                    }
                    info!(
                        self.log,
                        "configuration file read again, watching the list at {}", config.discovery
                    );
                    let _ = self
                        .reloads
                        .send(Reload { discovery: config.discovery, drain_grace, instances })
                        .await;
                }
                // A bad file changes nothing: the previous settings stay, all of them.
                Err(error) => {
                    warn!(self.log, "configuration file rejected, the previous settings stay: {}", error)
                }
            },
            Action::Nothing => {}
        }
        if next_phase == self.phase {
            return;
        }
        let (requests, connections) = (self.worker_pool.open_requests(), self.worker_pool.connections());
        let phase_ms = self.phase_since.elapsed().as_millis();
        info!(
            self.log,
            "{:?}: {} after {} ms, {} requests open, {} connections",
            next_phase,
            event.log_name(),
            phase_ms,
            requests,
            connections
        );
        (self.phase, self.phase_since) = (next_phase, Instant::now());
    }
}
