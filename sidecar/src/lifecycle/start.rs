//! Builds a program from its configuration: its limits, its workers, and the tasks of the main thread.
use super::phases::Phase;
use super::shutdown::{grace_period, log_if_requests_are_cut_short, longest_request_time};
use super::Program;
use crate::agreement;
use crate::console::{self, Console};
use crate::endpoint_registry::{lock, EndpointRegistry, SharedRegistry};
use crate::handover::{HandoverLinks, HandoverTask, Predecessor};
use crate::http1::request_ids::RequestIds;
use crate::http1::watch::{self, Watch};
use crate::lease::Lease;
use crate::limits::SharedLimit;
use crate::list_deadline::ListDeadline;
use crate::listeners::descriptor_limit;
use crate::maintenance_store::MaintenanceStore;
use crate::metrics::Metrics;
use crate::stall_detector::{Progress, StallDetector};
use crate::tasks::Tasks;
use crate::timers::{duration, Clock};
use crate::workers::{run_worker, WorkerPool, WorkerSetup};
use async_channel::bounded;
use oakhollow_config::{MaintenanceMarks, OperatorConfig, SidecarConfig};
use slog::{info, Logger};
use std::io::{Error, ErrorKind};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Descriptors reserved for anything but connections of clients and to endpoints, such as the watch of the list, and
/// for each further worker. Those of the console and of the links between instances come on top.
const RESERVED_DESCRIPTORS: usize = 24;
const DESCRIPTORS_PER_WORKER: usize = 4;
/// The memory that one connection may take at worst: a head, a body and buffers. Copies of these are short-lived.
const CONNECTION_MEMORY_KB: f64 = 96.0;
/// The share of the memory that one line of the list may take: it is held as bytes, as text and as entries.
const LIST_LINE_MEMORY_SHARE: f64 = 1.0 / 32.0;

/// The descriptors that are reserved for anything but connections of clients and to endpoints.
fn reserved_descriptors(name: &str, has_console: bool, operator: &OperatorConfig) -> usize {
    let console_descriptors = if has_console { console::DESCRIPTORS } else { 0 };
    let agreement_descriptors = operator
        .accord
        .as_ref()
        .map_or(0, |accord_config| agreement::descriptors_needed(accord_config, name));
    RESERVED_DESCRIPTORS
        + DESCRIPTORS_PER_WORKER * (operator.workers - 1)
        + console_descriptors
        + agreement_descriptors
}

/// How many connections of clients there may be, and as many to endpoints, since most requests have one attempt
/// running.
fn max_connections(
    descriptors: usize, reserved: usize, memory_mb: f64,
) -> std::result::Result<usize, String> {
    let by_memory = (memory_mb * 0.75 * 1024.0 / CONNECTION_MEMORY_KB) as usize;
    let max_connections = descriptors.saturating_sub(reserved).min(by_memory) / 2;
    if max_connections == 0 {
        return Err(format!(
            "limits.sockets: of {descriptors}, {reserved} are reserved and none is left for requests"
        ));
    }
    Ok(max_connections)
}

impl Program {
    /// Starts the workers and the tasks of the main thread. An error is one line of text.
    pub(super) fn build(
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
        let descriptors = limits.sockets.min(descriptor_limit());
        let reserved = reserved_descriptors(&config.name, config.console.is_some(), &operator);
        let max_connections = max_connections(descriptors, reserved, limits.memory_mb)?;
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
        let request_ids = Arc::<RequestIds>::default();
        let main_thread = Progress::not_watched();
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
            main_thread: main_thread.clone(),
            metrics: metrics.clone(),
            subscribe,
            ids: request_ids.clone(),
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
            let links = handover_links.clone();
            request_ids.set_announce(move |hash| links.send_unsafe_request(hash));
            let handover_task = HandoverTask {
                links: handover_links,
                registry,
                commands,
                store,
                connection_limits,
                request_ids,
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
            shutdown: None,
            stall_detector: StallDetector::start(&tasks, main_thread, clock, log.clone()),
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
}
