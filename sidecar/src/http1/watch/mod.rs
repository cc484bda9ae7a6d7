//! The watch of discovery's endpoint list. It runs once the decision module has subscribed, and passes each update
//! on to the workers. A slow list request is not given up: another is sent beside it (a hedge). The one that delivers
//! the first whole line becomes the watch, and the other is cancelled.
mod list_request;
pub mod pacing;
mod progress;

use crate::agreement::AgreementHandle;
use crate::endpoint_registry::{lock, SharedRegistry};
use crate::list_deadline::ListDeadline;
use crate::list_freshness::ListFreshness;
use crate::metrics::{ListRequestOutcome, Metrics};
use crate::start_time::ListArrival;
use crate::timers::Clock;
use crate::workers::{CommandBroadcaster, WorkerCommand};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use list_request::{ListEvent, ListQuery, ListRequest, ListRequestFailure};
use oakhollow::types::{ListKind, Micros};
use oakhollow::SeededRng;
use oakhollow_config::{read_json, DiscoveryList, ListIndex, SidecarConfig};
use pacing::{pause_after_rejection, skips_backoff};
use progress::LineArrival;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a watch may be silent. Discovery sends an empty line every 2 s while nothing changes, so by then two are
/// missing. A change that a silent watch misses counts as notified 6 s after the silence began, which leaves 1 s for
/// another request.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// If a request has delivered nothing, another is sent beside it after a random time between this and
/// [`SILENCE_TIMEOUT`]: guards against a fleet whose instances start, or lose discovery, all at once and then repeat
/// their requests all at once.
const MIN_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The longest pause within a line that takes longer to arrive than the request's hedge delay.
const MAX_PAUSE_IN_LINE: Duration = Duration::from_millis(500);
/// A request that delivered nothing for as long as the longest backoff is not followed by a backoff: the two together
/// could take longer than the time after which a missed change counts as notified.
const SKIP_BACKOFF_AFTER: Duration = Duration::from_micros(SidecarConfig::MAX_LIST_REQUEST_INTERVAL.0);
/// The slowest rate at which a long line may come before another request is sent.
const MIN_LINE_BYTES_PER_S: f64 = 48_000.0;
/// The most requests at a time: guards against a fleet whose requests pile up while discovery is slow for all.
const MAX_REQUESTS: usize = 2;

/// What a watch is built from.
pub struct Parts {
    /// Discovery's address at first.
    pub discovery: SocketAddr,
    /// The version of the list that is known at first.
    pub initial_version: ListIndex,
    /// Sends commands to all workers.
    pub workers: CommandBroadcaster,
    /// The endpoints by name.
    pub registry: SharedRegistry,
    /// The lease protocol with the other instances, if it is configured.
    pub agreement: Option<AgreementHandle>,
    /// Receives a message each time the decision module subscribes to the list.
    pub subscriptions: Receiver<()>,
    /// Receives the new settings each time the configuration file is reloaded.
    pub reloads: Receiver<Reload>,
    /// Until when workers may use the list.
    pub deadline: ListDeadline,
    /// How long an instance may still send to an endpoint after it was notified of the endpoint's drain; 0 if the
    /// settings don't state it.
    pub drain_grace: Micros,
    /// How many instances the tier has.
    pub instances: u32,
    /// The clock that workers use.
    pub clock: Clock,
    /// Counts the requests.
    pub metrics: Arc<Metrics>,
    /// Seeds the random delays between requests.
    pub seed: u64,
    /// The longest line that is accepted, in bytes.
    pub max_line_bytes: usize,
    pub log: Logger,
}

/// The watch's settings after a reload of the configuration file.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reload {
    /// Discovery's address from now on.
    pub discovery: SocketAddr,
    /// See [`Parts::drain_grace`].
    pub drain_grace: Micros,
    /// See [`Parts::instances`].
    pub instances: u32,
}

/// The watch of the endpoint list.
pub struct Watch {
    parts: Parts,
    discovery: SocketAddr,
    /// The version of the list that was last passed on to the workers.
    version: ListIndex,
    /// Requests in progress, the newest last.
    requests: Vec<ListRequest>,
    /// When the last whole line came.
    last_line: Option<Instant>,
    /// When the next request is sent, if one is due.
    retry_at: Option<Instant>,
    /// No request is sent before this time, even if the module subscribes.
    not_before: Option<Instant>,
    /// When discovery at the current address last sent an update or said that nothing has changed.
    complete_until: Option<Instant>,
    freshness: ListFreshness,
    /// Whether workers have been told that the list may not be used.
    is_stale: bool,
    rng: SeededRng,
}

/// What the watch reacts to.
enum Event {
    Subscribed,
    Reloaded(Reload),
    /// An event, or the end, of the request at this index.
    Request(usize, Result<ListEvent, ListRequestFailure>),
    /// The time returned by [`Watch::next_due`] has come.
    Due,
    /// The program ends.
    Shutdown,
}

impl Watch {
    /// A watch that sends its first request when the module subscribes.
    pub fn new(parts: Parts) -> Watch {
        Watch {
            discovery: parts.discovery,
            version: parts.initial_version,
            requests: Vec::with_capacity(MAX_REQUESTS),
            last_line: None,
            retry_at: None,
            not_before: None,
            complete_until: None,
            freshness: ListFreshness::started_at(parts.clock.now()),
            is_stale: false,
            rng: SeededRng::new(parts.seed),
            parts,
        }
    }

    /// Follows the list until the program ends.
    pub async fn run(mut self) {
        loop {
            let event = self.next_event().await;
            // Before the event is handled: workers must stop using a stale list before they receive the next one.
            self.check_deadline().await;
            match event {
                Event::Subscribed => self.on_subscribed(),
                Event::Reloaded(reload) => self.on_reloaded(reload),
                Event::Request(index, Ok(event)) => self.on_list_event(index, event).await,
                Event::Request(index, Err(failure)) => self.on_failure(index, failure).await,
                Event::Due => self.on_due().await,
                Event::Shutdown => return,
            }
            self.parts.deadline.set(self.usable_until());
        }
    }

    fn usable_until(&self) -> Option<Micros> {
        self.freshness.usable_until(self.parts.drain_grace)
    }

    /// Makes all workers stop sending by a list that has not been updated for too long.
    async fn check_deadline(&mut self) {
        let clock = self.parts.clock;
        if self.is_stale || !self.parts.deadline.has_passed(|| clock.now()) {
            return;
        }
        self.is_stale = true;
        self.parts.metrics.count_stale_list();
        lock(&self.parts.registry).list_fresh = false;
        warn!(
            self.parts.log,
            "no list update in time, nothing is sent by the list any more: version {}", self.version.0
        );
        self.parts.workers.send(WorkerCommand::RecheckDeadlines).await;
    }

    fn mark_fresh(&mut self) {
        if std::mem::take(&mut self.is_stale) {
            lock(&self.parts.registry).list_fresh = true;
            info!(self.parts.log, "list updates come again, the list is used: version {}", self.version.0);
        }
    }

    async fn next_event(&mut self) -> Event {
        let due = self.next_due();
        let (subscriptions, reloads) = (&self.parts.subscriptions, &self.parts.reloads);
        let subscribed = async { subscriptions.recv().await.map_or(Event::Shutdown, |()| Event::Subscribed) };
        let reloaded = async { reloads.recv().await.map_or(Event::Shutdown, Event::Reloaded) };
        let mut requests = self.requests.iter_mut();
        let (older, newer) = (requests.next(), requests.next());
        let event_of =
            |index: usize, request| async move { Event::Request(index, next_event_of(request).await) };
        let progressed = future::or(event_of(0, older), event_of(1, newer));
        let due = async {
            match due {
                Some(due) => _ = Timer::at(due).await,
                None => future::pending().await,
            }
            Event::Due
        };
        future::or(reloaded, future::or(progressed, future::or(subscribed, due))).await
    }

    /// When the watch next has to act without an event from outside.
    fn next_due(&self) -> Option<Instant> {
        let hedge_at = self.requests.last().map(|newest| self.hedge_at(newest));
        let clock = self.parts.clock;
        let stale_at = self.usable_until().filter(|_| !self.is_stale).map(|until| clock.instant_at(until));
        hedge_at.into_iter().chain(self.retry_at).chain(stale_at).min()
    }

    /// Until when the older of two requests is kept, whatever the newer one does, if the older one is in the middle of
    /// a line.
    fn older_kept_until(&self) -> Option<Instant> {
        let older = self.requests.first().filter(|_| self.requests.len() >= MAX_REQUESTS)?.progress();
        (older.line_bytes() > 0).then(|| older.last_activity() + SILENCE_TIMEOUT)
    }

    /// When another request is sent beside the newest.
    fn hedge_at(&self, newest: &ListRequest) -> Instant {
        // Counted from the last whole line: guards against single bytes that never make up a line. A long line has more
        // time, but only while its bytes keep arriving: guards against waiting for one that was cut off.
        let earliest = self.waiting_since(newest) + newest.hedge_delay;
        let progress = newest.progress();
        let latest = earliest + Duration::from_secs_f64(progress.line_bytes() as f64 / MIN_LINE_BYTES_PER_S);
        let hedge_at = latest.min(earliest.max(progress.last_activity() + MAX_PAUSE_IN_LINE));
        self.older_kept_until().map_or(hedge_at, |until| hedge_at.max(until))
    }

    /// Since when a whole line of a request has been awaited.
    fn waiting_since(&self, request: &ListRequest) -> Instant {
        let started = request.progress().started();
        self.last_line.filter(|_| request.has_delivered).unwrap_or(started)
    }

    fn on_subscribed(&mut self) {
        // A request in progress is kept, since each ends by itself: guards against repeatedly giving up a request that
        // still waits in discovery's queue.
        if self.requests.is_empty() && self.retry_at.is_none() {
            self.retry_at = Some(self.not_before.unwrap_or_else(Instant::now));
        }
    }

    fn on_reloaded(&mut self, reload: Reload) {
        let Reload { discovery, drain_grace, instances } = reload;
        (self.parts.drain_grace, self.parts.instances) = (drain_grace, instances);
        if discovery != self.discovery {
            // The version is kept: the platform has only one list, and its versions don't depend on the address.
            (self.discovery, self.complete_until, self.not_before) = (discovery, None, None);
            self.requests.clear();
            self.freshness.watch_ended(self.parts.clock.now());
            self.publish_state();
        }
        // A request that the reload does not concern goes on.
        if self.requests.is_empty() {
            self.retry_at = Some(self.not_before.unwrap_or_else(Instant::now));
        }
    }

    fn send_request(&mut self) {
        let jitter = (SILENCE_TIMEOUT - MIN_FIRST_LINE_TIMEOUT).mul_f64(self.rng.uniform());
        info!(self.parts.log, "list requested from {} after version {}", self.discovery, self.version.0);
        let query = ListQuery {
            discovery: self.discovery,
            after_version: self.version,
            max_line_bytes: self.parts.max_line_bytes,
        };
        (self.retry_at, self.not_before) = (None, None);
        self.requests.push(ListRequest::start(query, MIN_FIRST_LINE_TIMEOUT + jitter));
    }

    async fn on_due(&mut self) {
        let now = Instant::now();
        if self.retry_at.is_some_and(|at| at <= now) {
            return self.send_request();
        }
        let Some(newest) = self.requests.last().filter(|newest| self.hedge_at(newest) <= now) else {
            return;
        };
        let silent = newest.hedge_delay.as_millis();
        info!(
            self.parts.log,
            "watch of the list silent for {} ms, another request beside it: {}",
            silent,
            newest.progress()
        );
        if !newest.has_delivered {
            self.report_unavailable().await;
        }
        if self.requests.len() >= MAX_REQUESTS {
            // The request with the later activity is kept: it may be first in discovery's queue, or in the middle of
            // a line.
            let dropped_index = usize::from(
                self.requests[0].progress().last_activity() > self.requests[1].progress().last_activity(),
            );
            self.requests.remove(dropped_index);
            self.parts.metrics.count_list_request(ListRequestOutcome::Cancelled);
        }
        self.send_request();
    }

    async fn on_list_event(&mut self, index: usize, event: ListEvent) {
        match event {
            ListEvent::Connected(connect_time) => {
                let (started, endpoints) = (self.started(index), lock(&self.parts.registry).len());
                let connected = started + Micros(connect_time.as_micros() as u64);
                self.freshness.connected(started, connected, endpoints);
            }
            ListEvent::Answered => self.freshness.answered(self.started(index)),
            ListEvent::Line(line, arrival) => {
                let is_first_line = !self.requests[index].has_delivered;
                match self.apply_line(&line, is_first_line, arrival).await {
                    Ok(()) => self.on_line_applied(index, arrival),
                    Err(fault) => self.on_failure(index, ListRequestFailure::Malformed(fault)).await,
                }
            }
        }
    }

    /// When the request at this index started.
    fn started(&self, index: usize) -> Micros {
        self.parts.clock.micros_at(self.requests[index].progress().started())
    }

    /// A request has delivered a whole line: it becomes the watch, and the other request is cancelled.
    fn on_line_applied(&mut self, index: usize, arrival: LineArrival) {
        self.freshness.heard(self.parts.clock.micros_at(arrival.first_byte_at));
        let mut request = self.requests.swap_remove(index);
        for slower in self.requests.drain(..) {
            self.parts.metrics.count_list_request(ListRequestOutcome::Cancelled);
            info!(self.parts.log, "list request cancelled, another was faster: {}", slower.progress());
        }
        if !request.has_delivered {
            self.parts.metrics.count_list_request(ListRequestOutcome::LineReceived);
        }
        (request.has_delivered, request.hedge_delay) = (true, SILENCE_TIMEOUT);
        self.requests.push(request);
        self.last_line = Some(Instant::now());
        self.complete_until = Some(arrival.first_byte_at);
        self.mark_fresh();
        self.publish_state();
    }

    async fn on_failure(&mut self, index: usize, failure: ListRequestFailure) {
        let request = self.requests.remove(index);
        let progress = request.progress();
        self.record_failure(&request, &failure);
        if !self.requests.is_empty() {
            info!(self.parts.log, "a list request ended: {}: {}", failure, progress);
            return;
        }
        let waited = self.waiting_since(&request).elapsed();
        self.publish_state();
        if matches!(failure, ListRequestFailure::Rejected(_)) && skips_backoff(waited, self.parts.instances) {
            info!(self.parts.log, "list request rejected, requested again: {}: {}", failure, progress);
            self.retry_at = Some(self.not_before.unwrap_or_else(Instant::now));
            return self.report_unavailable().await;
        }
        if waited >= SKIP_BACKOFF_AFTER {
            // After a random part of the time that is left: guards against requests of all instances at once when
            // discovery, after leaving their requests unanswered and resetting them, is available again.
            let longest_wait =
                if request.has_delivered { SILENCE_TIMEOUT } else { SILENCE_TIMEOUT + MAX_PAUSE_IN_LINE };
            let pause = longest_wait.saturating_sub(waited).mul_f64(self.rng.uniform());
            info!(self.parts.log, "watch of the list lost, requested again: {}: {}", failure, progress);
            let retry_at = Instant::now() + pause;
            self.retry_at = Some(self.not_before.map_or(retry_at, |not_before| not_before.max(retry_at)));
            if !request.has_delivered {
                self.report_unavailable().await;
            }
            return;
        }
        info!(self.parts.log, "watch of the list ended: {}: {}", failure, progress);
        // Subscriptions made while this watch was open need no other watch. They are dropped before the module receives
        // the failure: guards against losing the subscription with which it reacts.
        while self.parts.subscriptions.try_recv().is_ok() {}
        let failed = WorkerCommand::ApplyList(ListKind::Failed, Arc::default(), ListArrival::now());
        self.parts.workers.send(failed).await;
        self.report_unavailable().await;
    }

    /// Records what the failure of a request shows about discovery.
    fn record_failure(&mut self, request: &ListRequest, failure: &ListRequestFailure) {
        match failure {
            ListRequestFailure::Rejected(_) => {
                let waited = request.progress().started().elapsed();
                let pause = pause_after_rejection(waited, self.parts.instances, self.rng.uniform());
                self.not_before = Some(Instant::now() + pause);
            }
            ListRequestFailure::Unreachable(_) => self.freshness.unreachable(self.parts.clock.now()),
            _ if request.has_delivered => self.freshness.watch_ended(self.parts.clock.now()),
            _ => {}
        }
        if !request.has_delivered {
            self.parts.metrics.count_list_request(failure.outcome());
        }
    }

    /// Publishes in the registry, for the console, whether the watch is open.
    fn publish_state(&self) {
        let open = self.requests.iter().any(|request| request.has_delivered);
        let mut registry = lock(&self.parts.registry);
        registry.watch_open = open;
        if open {
            registry.last_heard = self.complete_until;
        }
    }

    /// Reports that discovery was asked for the list and has sent nothing.
    async fn report_unavailable(&self) {
        lock(&self.parts.registry).list_settled = true;
        if let Some(agreement) = &self.parts.agreement {
            agreement.list_unavailable().await;
        }
    }

    /// Passes a line on to the registry, the workers and the other instances.
    async fn apply_line(
        &mut self, line: &[u8], is_first_line: bool, arrival: LineArrival,
    ) -> Result<(), String> {
        let unchanged = || DiscoveryList { index: self.version, ..DiscoveryList::default() };
        let list: Result<DiscoveryList, String> = match line {
            // The first line is passed on even if nothing has changed: the module waits for an answer, and would
            // otherwise subscribe again and again.
            b"" if is_first_line || self.is_stale => Ok(unchanged()),
            b"" => {
                if let Some(agreement) = &self.parts.agreement {
                    agreement.apply_list(Arc::new(unchanged())).await;
                }
                return Ok(());
            }
            _ => read_json(line),
        };
        let list = list.and_then(|list| check_version(list, self.version)).map_err(|fault| {
            // The changes in a malformed line are unknown, so the next request asks for the whole list.
            self.version = ListIndex::default();
            info!(self.parts.log, "a line of the list is malformed: {}", fault);
            fault
        })?;
        {
            let mut registry = lock(&self.parts.registry);
            registry.apply(&list);
            registry.list_settled = true;
        }
        let kind = if list.snapshot { ListKind::Whole } else { ListKind::Changes };
        let entries = list.endpoints.len();
        info!(
            self.parts.log,
            "list received: version {}, {:?}, {} entries, {}", list.index.0, kind, entries, arrival
        );
        let (index, list) = (list.index, Arc::new(list));
        let list_arrival = ListArrival { at: Instant::now(), complete_until: self.complete_until };
        let agreement_has_list = match &self.parts.agreement {
            Some(agreement) => agreement.apply_list_before_workers(&list).await,
            None => false,
        };
        // Removing the deadline does not make workers use the list again: those that were told that it has passed
        // remember that until they apply this list.
        self.parts.deadline.set(None);
        self.parts.workers.send(WorkerCommand::ApplyList(kind, list.clone(), list_arrival)).await;
        if let Some(agreement) = self.parts.agreement.as_ref().filter(|_| !agreement_has_list) {
            agreement.apply_list(list).await;
        }
        let delay_ms = list_arrival.at.elapsed().as_millis();
        info!(self.parts.log, "list passed on: version {}, {} ms after it came", index.0, delay_ms);
        // Set last: if this future is dropped midway, the change is requested again.
        self.version = index;
        Ok(())
    }
}

/// The next event of a request, if there is one.
async fn next_event_of(request: Option<&mut ListRequest>) -> Result<ListEvent, ListRequestFailure> {
    match request {
        Some(request) => request.next().await,
        None => future::pending().await,
    }
}

/// Rejects changes that end before the version after which they were requested: their versions must be those of another
/// list.
fn check_version(list: DiscoveryList, after_version: ListIndex) -> Result<DiscoveryList, String> {
    if !list.snapshot && list.index.0 < after_version.0 {
        return Err(format!(
            "index: changes up to version {}, after version {}",
            list.index.0, after_version.0
        ));
    }
    Ok(list)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::endpoint_registry::EndpointRegistry;
    use async_channel::bounded;
    use oakhollow_config::MaintenanceMarks;
    use slog::{o, Discard};
    use std::pin::pin;

    fn watch(
        discovery: SocketAddr, workers: Vec<async_channel::Sender<WorkerCommand>>,
        subscriptions: Receiver<()>, reloads: Receiver<Reload>,
    ) -> Watch {
        let registry: SharedRegistry = Arc::new(std::sync::Mutex::new(EndpointRegistry::new(
            &DiscoveryList::default(),
            MaintenanceMarks::default(),
        )));
        Watch::new(Parts {
            discovery,
            initial_version: ListIndex(41),
            workers: CommandBroadcaster::new(workers),
            registry,
            agreement: None,
            subscriptions,
            reloads,
            deadline: ListDeadline::none(),
            drain_grace: Micros(0),
            instances: 1,
            clock: Clock::start(),
            metrics: Arc::default(),
            seed: 1,
            max_line_bytes: 1 << 20,
            log: Logger::root(Discard, o!()),
        })
    }

    #[test]
    fn a_subscription_made_while_the_end_of_a_watch_is_reported_is_not_lost() {
        let closed_port =
            std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let ((subscribe, subscriptions), (_reload, reloads)) = (bounded(1), bounded(1));
        let ((first_sender, first), (second_sender, second)) = (bounded(1), bounded(1));
        let mut watch = pin!(watch(
            closed_port.expect("a port"),
            vec![first_sender, second_sender.clone()],
            subscriptions,
            reloads
        )
        .run());
        // The second worker's queue is full, so the first worker receives the failure, and subscribes, before the
        // second one does.
        second_sender.try_send(WorkerCommand::RecheckDeadlines).expect("space in the queue");
        let mut receives_failure = |queue: &Receiver<WorkerCommand>| {
            let received =
                async { matches!(queue.recv().await, Ok(WorkerCommand::ApplyList(ListKind::Failed, ..))) };
            let watch_ended = async {
                (&mut watch).await;
                false
            };
            let timeout = async {
                Timer::after(Duration::from_secs(10)).await;
                false
            };
            async_io::block_on(future::or(received, future::or(watch_ended, timeout)))
        };
        subscribe.try_send(()).expect("space in the queue");
        assert!(receives_failure(&first));
        subscribe.try_send(()).expect("space in the queue");
        assert!(matches!(second.try_recv(), Ok(WorkerCommand::RecheckDeadlines)));
        assert!(receives_failure(&second) && receives_failure(&first));
    }

    #[test]
    fn a_change_dropped_while_it_was_passed_on_is_requested_again() {
        let (sender, commands) = bounded(1);
        let (subscriptions, reloads) = (bounded(1).1, bounded(1).1);
        let discovery = "127.0.0.1:1".parse().expect("an address");
        let mut watch = watch(discovery, vec![sender.clone()], subscriptions, reloads);
        let line = br#"{"index":42,"snapshot":false,"endpoints":[]}"#;
        let arrival = progress::Progress::started_at(Instant::now()).line_ended(Instant::now());
        // The worker's queue is full, so the line waits to be passed on, and is dropped meanwhile.
        sender.try_send(WorkerCommand::RecheckDeadlines).expect("space in the queue");
        let dropped = future::block_on(future::poll_once(watch.apply_line(line, true, arrival)));
        assert!(dropped.is_none() && watch.version == ListIndex(41), "{:?}", watch.version);
        commands.try_recv().expect("the one before");
        assert!(
            future::block_on(watch.apply_line(line, true, arrival)).is_ok() && watch.version == ListIndex(42)
        );
        assert!(matches!(commands.try_recv(), Ok(WorkerCommand::ApplyList(ListKind::Changes, ..))));
    }

    #[test]
    fn after_changes_that_end_before_the_requested_version_the_whole_list_is_requested() {
        let (sender, commands) = bounded(1);
        let (subscriptions, reloads) = (bounded(1).1, bounded(1).1);
        let discovery = "127.0.0.1:1".parse().expect("an address");
        let mut watch = watch(discovery, vec![sender], subscriptions, reloads);
        let arrival = progress::Progress::started_at(Instant::now()).line_ended(Instant::now());
        let lower = br#"{"index":40,"snapshot":false,"endpoints":[]}"#;
        assert!(
            future::block_on(watch.apply_line(lower, true, arrival)).is_err()
                && watch.version == ListIndex(0)
        );
        assert!(commands.try_recv().is_err());
        // A whole list is accepted whatever its version.
        let whole = br#"{"index":40,"snapshot":true,"endpoints":[]}"#;
        assert!(
            future::block_on(watch.apply_line(whole, true, arrival)).is_ok()
                && watch.version == ListIndex(40)
        );
        assert!(matches!(commands.try_recv(), Ok(WorkerCommand::ApplyList(ListKind::Whole, ..))));
    }
}
