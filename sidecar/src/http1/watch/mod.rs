//! The watch of the list: followed while the module has asked for it, told to the module as it comes. A call that is slow is not given
//! up: another is made beside it, the first whole line of either counts, and the other is cancelled.
mod call;
pub mod pacing;
mod progress;

use crate::accord::AccordHandle;
use crate::endpoint_registry::{lock, SharedRegistry};
use crate::list_deadline::ListDeadline;
use crate::list_freshness::ListFreshness;
use crate::metrics::{ListRequestOutcome, Metrics};
use crate::start_time::ListArrival;
use crate::timers::Clock;
use crate::workers::{CommandBroadcaster, WorkerCommand};
use async_channel::Receiver;
use async_io::Timer;
use call::{CallEvent, CallFailure, ListCall, Request};
use futures_lite::future;
use oakhollow::types::{ListKind, Micros};
use oakhollow::SeededRng;
use oakhollow_terms::{read_json, DiscoveryList, ListIndex, SidecarConfig};
use pacing::pause_after_rejection;
use progress::LineArrival;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Discovery sends an empty line every 2 s while nothing changes: two of them have failed to come. What a silent watch
/// misses counts as told 6 s after it fell silent, so the second that is left is for another call.
const SILENCE: Duration = Duration::from_millis(5_000);
/// A call that tells nothing gets another beside it between this and that, by lot: guards against a whole fleet, started or cut
/// off in one moment, that calls again in one.
const LEAST_SILENCE: Duration = Duration::from_millis(4_000);
/// How long a pause within a line may be that takes longer than that.
const FLOWS: Duration = Duration::from_millis(500);
/// A call that told nothing for the longest back-off has been a pause itself. Guards against the sum of both, which may
/// come to more than what is missed counts as told after.
const PAUSE: Duration = Duration::from_micros(SidecarConfig::MAX_LIST_REQUEST_INTERVAL.0);
/// The slowest pace of a line, in bytes a second, that needs no other call beside it.
const SLOWEST: f64 = 48_000.0;
/// Calls that may be under way at a time: guards against a fleet whose calls pile up at a discovery that is slow for all.
const MOST_CALLS: usize = 2;

/// What a watch is made of.
pub struct Parts {
    /// Where the list is watched at first.
    pub discovery: SocketAddr,
    /// The version of the list that is known at first.
    pub known: ListIndex,
    /// All workers.
    pub orders: CommandBroadcaster,
    /// What the program knows by name.
    pub registry: SharedRegistry,
    /// The other instances, where instances agree.
    pub accord: Option<AccordHandle>,
    /// One for each time that the module asks.
    pub subscriptions: Receiver<()>,
    /// One for each time that the file was read again.
    pub reloads: Receiver<Reload>,
    /// Until when workers may use the list.
    pub deadline: ListDeadline,
    /// How long after it was notified of a drain an instance may send, as the settings have it; 0 where they don't state it.
    pub drain_grace: Micros,
    /// How many instances the tier has, as the settings have it.
    pub instances: u32,
    /// By which times are told to workers.
    pub clock: Clock,
    /// Where calls are counted.
    pub metrics: Arc<Metrics>,
    /// By which its calls are spread.
    pub seed: u64,
    /// The longest line that is taken, in bytes.
    pub max_line_bytes: usize,
    /// Where lines go that say what happens.
    pub log: Logger,
}

/// What holds for the watch once the file was read again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Reload {
    /// Where the list is watched from then on.
    pub discovery: SocketAddr,
    /// As [`Parts::drain_grace`].
    pub drain_grace: Micros,
    /// As [`Parts::instances`].
    pub instances: u32,
}

/// The watch of the list.
pub struct Watch {
    parts: Parts,
    discovery: SocketAddr,
    /// The version of the list that was told last.
    told: ListIndex,
    /// Calls under way, the newest last.
    calls: Vec<ListCall>,
    /// When the last whole line came.
    last_line: Option<Instant>,
    /// When a call is made again that had to wait.
    retry_at: Option<Instant>,
    /// No call is made before this, though the module asks.
    not_before: Option<Instant>,
    /// When this discovery last told something, or that nothing has changed.
    up_to_date: Option<Instant>,
    freshness: ListFreshness,
    /// Workers were told that the list may not be used.
    is_stale: bool,
    chance: SeededRng,
}

/// What the watch waits for.
enum Event {
    Asked,
    Reloaded(Reload),
    /// Of the call in that place.
    Call(usize, Result<CallEvent, CallFailure>),
    /// A moment has come that was waited for.
    Due,
    /// The program ends.
    Over,
}

impl Watch {
    /// A watch that waits to be asked for.
    pub fn new(parts: Parts) -> Watch {
        Watch {
            discovery: parts.discovery,
            told: parts.known,
            calls: Vec::with_capacity(MOST_CALLS),
            last_line: None,
            retry_at: None,
            not_before: None,
            up_to_date: None,
            freshness: ListFreshness::started_at(parts.clock.now()),
            is_stale: false,
            chance: SeededRng::new(parts.seed),
            parts,
        }
    }

    /// Follows the list until the program ends.
    pub async fn run(mut self) {
        loop {
            let event = self.next().await;
            // Before what has come is told: workers stop using the list ahead of hearing the next one.
            self.look_at_deadline().await;
            match event {
                Event::Asked => self.asked(),
                Event::Reloaded(reload) => self.reload(reload),
                Event::Call(at, Ok(event)) => self.heard(at, event).await,
                Event::Call(at, Err(failure)) => self.failed(at, failure).await,
                Event::Due => self.due().await,
                Event::Over => return,
            }
            self.parts.deadline.set(self.usable_until());
        }
    }

    fn usable_until(&self) -> Option<Micros> {
        self.freshness.usable_until(self.parts.drain_grace)
    }

    /// Has all workers send nothing more by a list that has not been heard for too long.
    async fn look_at_deadline(&mut self) {
        let clock = self.parts.clock;
        if self.is_stale || !self.parts.deadline.has_passed(|| clock.now()) {
            return;
        }
        self.is_stale = true;
        self.parts.metrics.count_stale_list();
        lock(&self.parts.registry).list_fresh = false;
        warn!(
            self.parts.log,
            "list not heard in time, nothing is sent by it any more: version {}", self.told.0
        );
        self.parts.orders.send(WorkerCommand::RecheckDeadlines).await;
    }

    fn became_fresh(&mut self) {
        if std::mem::take(&mut self.is_stale) {
            lock(&self.parts.registry).list_fresh = true;
            info!(self.parts.log, "list heard again, it is used: version {}", self.told.0);
        }
    }

    async fn next(&mut self) -> Event {
        let due = self.next_due();
        let (subscriptions, reloads) = (&self.parts.subscriptions, &self.parts.reloads);
        let asked = async { subscriptions.recv().await.map_or(Event::Over, |()| Event::Asked) };
        let reloaded = async { reloads.recv().await.map_or(Event::Over, Event::Reloaded) };
        let mut calls = self.calls.iter_mut();
        let (older, newer) = (calls.next(), calls.next());
        let event_of = |at: usize, call| async move { Event::Call(at, next_of(call).await) };
        let called = future::or(event_of(0, older), event_of(1, newer));
        let due = async {
            match due {
                Some(due) => _ = Timer::at(due).await,
                None => future::pending().await,
            }
            Event::Due
        };
        future::or(reloaded, future::or(called, future::or(asked, due))).await
    }

    /// When something is to be done that nobody tells of.
    fn next_due(&self) -> Option<Instant> {
        let patience = self.calls.last().map(|newest| self.patience_ends(newest));
        let clock = self.parts.clock;
        let stale = self.usable_until().filter(|_| !self.is_stale).map(|until| clock.instant_at(until));
        patience.into_iter().chain(self.retry_at).chain(stale).min()
    }

    /// Until when the older of two calls is waited for, whatever the newer does: it is in the middle of its line.
    fn older_flows_until(&self) -> Option<Instant> {
        let older = self.calls.first().filter(|_| self.calls.len() >= MOST_CALLS)?.progress();
        (older.line_bytes() > 0).then(|| older.last_sign() + SILENCE)
    }

    /// When another call is made beside the newest.
    fn patience_ends(&self, newest: &ListCall) -> Instant {
        // Counted from the last whole line: guards against bytes that drip, by which nothing is ever told. A long line has
        // longer, but only while it flows: guards against waiting on for one that was cut off.
        let due = self.waits_since(newest) + newest.patience;
        let progress = newest.progress();
        let longest = due + Duration::from_secs_f64(progress.line_bytes() as f64 / SLOWEST);
        let ends = longest.min(due.max(progress.last_sign() + FLOWS));
        self.older_flows_until().map_or(ends, |until| ends.max(until))
    }

    /// Since when a whole line of a call has been waited for.
    fn waits_since(&self, call: &ListCall) -> Instant {
        let begun = call.progress().begun();
        self.last_line.filter(|_| call.has_told).unwrap_or(begun)
    }

    fn asked(&mut self) {
        // An ask meanwhile changes nothing, since each watch ends by itself: guards against giving one up, again and
        // again, that discovery has not come to yet.
        if self.calls.is_empty() && self.retry_at.is_none() {
            self.retry_at = Some(self.not_before.unwrap_or_else(Instant::now));
        }
    }

    fn reload(&mut self, reload: Reload) {
        let Reload { discovery, drain_grace, instances } = reload;
        (self.parts.drain_grace, self.parts.instances) = (drain_grace, instances);
        if discovery != self.discovery {
            // The version stays: it is the platform's, whose files name one list and, from file to file, its address.
            (self.discovery, self.up_to_date, self.not_before) = (discovery, None, None);
            self.calls.clear();
            self.freshness.watch_ended(self.parts.clock.now());
            self.note_watch();
        }
        // Guards against beginning anew, from nothing, a call that the file does not change.
        if self.calls.is_empty() {
            self.retry_at = Some(self.not_before.unwrap_or_else(Instant::now));
        }
    }

    fn open_call(&mut self) {
        let lot = (SILENCE - LEAST_SILENCE).mul_f64(self.chance.uniform());
        info!(self.parts.log, "list asked for at {} from version {}", self.discovery, self.told.0);
        let request =
            Request { discovery: self.discovery, from: self.told, max_line_bytes: self.parts.max_line_bytes };
        (self.retry_at, self.not_before) = (None, None);
        self.calls.push(ListCall::begin(request, LEAST_SILENCE + lot));
    }

    async fn due(&mut self) {
        let now = Instant::now();
        if self.retry_at.is_some_and(|at| at <= now) {
            return self.open_call();
        }
        let Some(newest) = self.calls.last().filter(|newest| self.patience_ends(newest) <= now) else {
            return;
        };
        let silent = newest.patience.as_millis();
        info!(
            self.parts.log,
            "watch of the list silent for {} ms, another call beside it: {}",
            silent,
            newest.progress()
        );
        if !newest.has_told {
            self.fails().await;
        }
        if self.calls.len() >= MOST_CALLS {
            // Whichever has come further stays: it may be at the head of the queue, or in the middle of its line.
            let dropped =
                usize::from(self.calls[0].progress().last_sign() > self.calls[1].progress().last_sign());
            self.calls.remove(dropped);
            self.parts.metrics.count_list_request(ListRequestOutcome::Cancelled);
        }
        self.open_call();
    }

    async fn heard(&mut self, at: usize, event: CallEvent) {
        match event {
            CallEvent::Connected(after) => {
                let (begun, endpoints) = (self.begun(at), lock(&self.parts.registry).len());
                let came_up = begun + Micros(after.as_micros() as u64);
                self.freshness.connected(begun, came_up, endpoints);
            }
            CallEvent::Answered => self.freshness.answered(self.begun(at)),
            CallEvent::Line(line, arrival) => {
                let first = !self.calls[at].has_told;
                match self.tell(&line, first, arrival).await {
                    Ok(()) => self.line_told(at, arrival),
                    Err(why) => self.failed(at, CallFailure::Malformed(why)).await,
                }
            }
        }
    }

    /// When the call in that place was begun.
    fn begun(&self, at: usize) -> Micros {
        self.parts.clock.micros_at(self.calls[at].progress().begun())
    }

    /// The call has told a whole line: it is the one that is followed.
    fn line_told(&mut self, at: usize, arrival: LineArrival) {
        self.freshness.heard(self.parts.clock.micros_at(arrival.first_byte_at));
        let mut call = self.calls.swap_remove(at);
        for slower in self.calls.drain(..) {
            self.parts.metrics.count_list_request(ListRequestOutcome::Cancelled);
            info!(self.parts.log, "call for the list cancelled, another was faster: {}", slower.progress());
        }
        if !call.has_told {
            self.parts.metrics.count_list_request(ListRequestOutcome::LineReceived);
        }
        (call.has_told, call.patience) = (true, SILENCE);
        self.calls.push(call);
        self.last_line = Some(Instant::now());
        self.up_to_date = Some(arrival.first_byte_at);
        self.became_fresh();
        self.note_watch();
    }

    async fn failed(&mut self, at: usize, failure: CallFailure) {
        let call = self.calls.remove(at);
        let progress = call.progress();
        self.weigh(&call, &failure);
        if !self.calls.is_empty() {
            info!(self.parts.log, "a call for the list ended: {}: {}", failure, progress);
            return;
        }
        let waited = self.waits_since(&call).elapsed();
        self.note_watch();
        if waited >= PAUSE {
            // By lot, within the time that is left: guards against all that a discovery holds unanswered, and
            // resets when it is back.
            let most = if call.has_told { SILENCE } else { SILENCE + FLOWS };
            let wait = most.saturating_sub(waited).mul_f64(self.chance.uniform());
            info!(self.parts.log, "watch of the list {}, opened anew: {}", failure, progress);
            let at = Instant::now() + wait;
            self.retry_at = Some(self.not_before.map_or(at, |not_before| not_before.max(at)));
            if !call.has_told {
                self.fails().await;
            }
            return;
        }
        info!(self.parts.log, "watch of the list ended: {}: {}", failure, progress);
        // What was asked while a watch was under way has had its answer. Before the module hears: guards
        // against losing the ask with which it answers this.
        while self.parts.subscriptions.try_recv().is_ok() {}
        let failed = WorkerCommand::ApplyList(ListKind::Failed, Arc::default(), ListArrival::now());
        self.parts.orders.send(failed).await;
        self.fails().await;
    }

    /// What the end of a call says of discovery.
    fn weigh(&mut self, call: &ListCall, failure: &CallFailure) {
        match failure {
            CallFailure::Rejected(_) => {
                let waited = call.progress().begun().elapsed();
                let pause = pause_after_rejection(waited, self.parts.instances, self.chance.uniform());
                self.not_before = Some(Instant::now() + pause);
            }
            CallFailure::Unreachable(_) => self.freshness.unreachable(self.parts.clock.now()),
            _ if call.has_told => self.freshness.watch_ended(self.parts.clock.now()),
            _ => {}
        }
        if !call.has_told {
            self.parts.metrics.count_list_request(failure.outcome());
        }
    }

    /// Whether the watch is open, for whoever asks at the console.
    fn note_watch(&self) {
        let open = self.calls.iter().any(|call| call.has_told);
        let mut registry = lock(&self.parts.registry);
        registry.watch_open = open;
        if open {
            registry.last_heard = self.up_to_date;
        }
    }

    /// Discovery has been called, and has told nothing.
    async fn fails(&self) {
        lock(&self.parts.registry).list_settled = true;
        if let Some(accord) = &self.parts.accord {
            accord.list_unavailable().await;
        }
    }

    async fn tell(&mut self, line: &[u8], first: bool, arrival: LineArrival) -> Result<(), String> {
        let unchanged = || DiscoveryList { index: self.told, ..DiscoveryList::default() };
        let list: Result<DiscoveryList, String> = match line {
            // Guards against asking again and again where nothing has changed: the module waits for an answer.
            b"" if first || self.is_stale => Ok(unchanged()),
            b"" => {
                if let Some(accord) = &self.parts.accord {
                    accord.apply_list(Arc::new(unchanged())).await;
                }
                return Ok(());
            }
            _ => read_json(line),
        };
        let list = list.and_then(|list| follows(list, self.told)).map_err(|fault| {
            // What a line that can't be read would have told is unknown: the next call starts from the whole list.
            self.told = ListIndex::default();
            info!(self.parts.log, "a line of the list makes no sense: {}", fault);
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
            "list heard: version {}, {:?}, {} entries, {}", list.index.0, kind, entries, arrival
        );
        let (index, list) = (list.index, Arc::new(list));
        let heard = ListArrival { at: Instant::now(), complete_until: self.up_to_date };
        let before = match &self.parts.accord {
            Some(accord) => accord.apply_list_before_workers(&list).await,
            None => false,
        };
        // Workers look at it when they hear of the list, not before: they were told that it had passed.
        self.parts.deadline.set(None);
        self.parts.orders.send(WorkerCommand::ApplyList(kind, list.clone(), heard)).await;
        if let Some(accord) = self.parts.accord.as_ref().filter(|_| !before) {
            accord.apply_list(list).await;
        }
        let after = heard.at.elapsed().as_millis();
        info!(self.parts.log, "list passed on: version {}, {} ms after it came", index.0, after);
        // Not before all have been told: guards against a change that nobody asks for any more if this is given up between.
        self.told = index;
        Ok(())
    }
}

/// Of a call, if there is one.
async fn next_of(call: Option<&mut ListCall>) -> Result<CallEvent, CallFailure> {
    match call {
        Some(call) => call.next().await,
        None => future::pending().await,
    }
}

/// Changes follow the version that was asked from. Guards against following another list by this one's versions.
fn follows(list: DiscoveryList, told: ListIndex) -> Result<DiscoveryList, String> {
    if !list.snapshot && list.index.0 < told.0 {
        return Err(format!("index: changes up to version {}, after version {}", list.index.0, told.0));
    }
    Ok(list)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::endpoint_registry::EndpointRegistry;
    use async_channel::bounded;
    use oakhollow_terms::MaintenanceMarks;
    use slog::{o, Discard};
    use std::pin::pin;

    fn watch(
        at: SocketAddr, workers: Vec<async_channel::Sender<WorkerCommand>>, subscriptions: Receiver<()>,
        reloads: Receiver<Reload>,
    ) -> Watch {
        let registry: SharedRegistry = Arc::new(std::sync::Mutex::new(EndpointRegistry::new(
            &DiscoveryList::default(),
            MaintenanceMarks::default(),
        )));
        Watch::new(Parts {
            discovery: at,
            known: ListIndex(41),
            orders: CommandBroadcaster::new(workers),
            registry,
            accord: None,
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
    fn what_the_module_asks_while_the_end_of_a_watch_is_told_is_not_lost() {
        let nobody = std::net::TcpListener::bind("127.0.0.1:0").and_then(|one| one.local_addr());
        let ((ask, subscriptions), (_moves, moves)) = (bounded(1), bounded(1));
        let ((sender, first), (last, others)) = (bounded(1), bounded(1));
        let mut watch =
            pin!(watch(nobody.expect("a port"), vec![sender, last.clone()], subscriptions, moves).run());
        // Another worker's queue is full, so that the end is told to the first, who asks, and not yet to all.
        last.try_send(WorkerCommand::RecheckDeadlines).expect("room");
        let mut fails = |queue: &Receiver<WorkerCommand>| {
            let told =
                async { matches!(queue.recv().await, Ok(WorkerCommand::ApplyList(ListKind::Failed, ..))) };
            let over = async {
                (&mut watch).await;
                false
            };
            let late = async {
                Timer::after(Duration::from_secs(10)).await;
                false
            };
            async_io::block_on(future::or(told, future::or(over, late)))
        };
        ask.try_send(()).expect("room");
        assert!(fails(&first));
        ask.try_send(()).expect("room");
        assert!(matches!(others.try_recv(), Ok(WorkerCommand::RecheckDeadlines)));
        assert!(fails(&others) && fails(&first));
    }

    #[test]
    fn a_change_that_was_given_up_while_it_was_told_is_asked_for_again() {
        let (sender, orders) = bounded(1);
        let (subscriptions, moves) = (bounded(1).1, bounded(1).1);
        let at = "127.0.0.1:1".parse().expect("an address");
        let mut watch = watch(at, vec![sender.clone()], subscriptions, moves);
        let line = br#"{"index":42,"snapshot":false,"endpoints":[]}"#;
        let arrival = progress::Progress::begun_at(Instant::now()).line_ended(Instant::now());
        // The worker's queue is full, so that telling it waits, and meanwhile the watch is moved.
        sender.try_send(WorkerCommand::RecheckDeadlines).expect("room");
        let given_up = future::block_on(future::poll_once(watch.tell(line, true, arrival)));
        assert!(given_up.is_none() && watch.told == ListIndex(41), "{:?}", watch.told);
        orders.try_recv().expect("the one before");
        assert!(future::block_on(watch.tell(line, true, arrival)).is_ok() && watch.told == ListIndex(42));
        assert!(matches!(orders.try_recv(), Ok(WorkerCommand::ApplyList(ListKind::Changes, ..))));
    }

    #[test]
    fn changes_that_end_before_the_version_asked_from_are_followed_by_a_call_for_the_whole_list() {
        let (sender, orders) = bounded(1);
        let (subscriptions, reloads) = (bounded(1).1, bounded(1).1);
        let at = "127.0.0.1:1".parse().expect("an address");
        let mut watch = watch(at, vec![sender], subscriptions, reloads);
        let arrival = progress::Progress::begun_at(Instant::now()).line_ended(Instant::now());
        let lower = br#"{"index":40,"snapshot":false,"endpoints":[]}"#;
        assert!(future::block_on(watch.tell(lower, true, arrival)).is_err() && watch.told == ListIndex(0));
        assert!(orders.try_recv().is_err());
        // A whole list holds whatever its number.
        let whole = br#"{"index":40,"snapshot":true,"endpoints":[]}"#;
        assert!(future::block_on(watch.tell(whole, true, arrival)).is_ok() && watch.told == ListIndex(40));
        assert!(matches!(orders.try_recv(), Ok(WorkerCommand::ApplyList(ListKind::Whole, ..))));
    }
}
