//! The lifecycle of the process, from start to exit: carries out what the table of phases says.
mod phases;
pub mod shutdown;
mod start;

use self::phases::{transition, Action, Event, Phase};
use self::shutdown::{grace_period, longest_request_time, Shutdown};
use crate::agreement::AgreementHandle;
use crate::endpoint_registry::{lock, SharedRegistry};
use crate::handover::{self, HandoverLinks};
use crate::http1::watch::Reload;
use crate::listeners::{bind, passed_listeners};
use crate::maintenance_store::MaintenanceStore;
use crate::stall_detector::StallDetector;
use crate::tasks::Tasks;
use crate::timers::{duration, Clock};
use crate::workers::{take_last_panic, CommandBroadcaster, WorkerCommand, WorkerFailure, WorkerPool};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{block_on, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, Stream, StreamExt};
use oakhollow::types::Micros;
use oakhollow_config::{KeySet, OperatorConfig, SidecarConfig};
use slog::{info, warn, Logger};
use std::io::Result;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a start waits for the list from discovery and for a lease while the predecessor still serves.
const TAKEOVER_WAIT: Duration = Duration::from_millis(2_000);
/// How often a condition is polled, such as whether all connections are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

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
    /// The times of the shutdown, once the stop signal has come.
    shutdown: Option<Shutdown>,
    /// Tells how long ago the stop signal may have been sent.
    stall_detector: StallDetector,
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

impl Program {
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
                            if let Some(shutdown) = &self.shutdown {
                                Timer::at(shutdown.serving_ends_at(self.has_successor)).await;
                            }
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
        let Some((next_phase, action)) = transition(self.phase, event) else { return };
        match action {
            Action::StartAccepting => {
                self.commands.send_and_wait(WorkerCommand::StartAccepting).await;
                lock(&self.registry).accepting = true;
            }
            Action::StartLeaving => {
                lock(&self.registry).accepting = false;
                let noticed_at = Instant::now();
                let signal_sent_at = self.stall_detector.earliest_occurrence(noticed_at);
                let shutdown = Shutdown::new(signal_sent_at, noticed_at, self.grace);
                self.shutdown = Some(shutdown);
                let deadline = self.clock.micros_at(shutdown.last_answer_at());
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
            Action::StopAccepting => {
                let until = self.shutdown.map_or_else(Instant::now, |shutdown| shutdown.accepting_ends_at());
                self.commands.send_and_wait(|done| WorkerCommand::StopAccepting(until, done)).await
            }
            Action::Reload => self.reload(reload_config(&self.keys)).await,
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

    /// Applies a configuration that was read again. A bad one changes nothing: the previous settings stay, all of
    /// them.
    async fn reload(&mut self, config: std::result::Result<SidecarConfig, String>) {
        let config = match config {
            Ok(config) => config,
            Err(error) => {
                return warn!(self.log, "configuration file rejected, the previous settings stay: {}", error)
            }
        };
        if let Some(agreement) = &self.agreement {
            if let Err(error) = agreement.propose(config.clone()).await {
                warn!(self.log, "configuration file rejected, the previous settings stay: {}", error);
                return;
            }
        }
        let (longest_request, drain_grace) =
            (longest_request_time(&config.settings), config.settings.drain_grace);
        let instances = config.settings.balancer.instances;
        // After the stop signal, the grace period stays that of the settings in use then.
        if self.phase == Phase::Serving {
            (self.longest_request, self.grace) = (duration(longest_request), grace_period(longest_request));
        }
        self.keys = config.keys;
        // Where instances agree on settings, these apply once they are agreed.
        if self.agreement.is_none() {
            let settings = Arc::new(config.settings);
            self.commands.send_and_wait(|done| WorkerCommand::ApplySettings(settings, done)).await;
        }
        info!(self.log, "configuration file read again, watching the list at {}", config.discovery);
        let _ = self.reloads.send(Reload { discovery: config.discovery, drain_grace, instances }).await;
    }
}
