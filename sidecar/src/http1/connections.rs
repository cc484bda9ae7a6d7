//! What all client connections of a worker share: how many there may be, which have no open request and may be
//! closed, the ids of open requests, and whether the process still takes requests.
use super::request_ids::{IdConflict, RegisteredId, RequestIds};
use super::{AnswerDeadline, DispatcherHandle, RequestSettings};
use crate::eviction::{self, IdleConnection, SendingProgress};
use crate::limits::{Gauge, LimitShare, Slot};
use crate::monitor::Monitor;
use crate::oneshot;
use async_channel::{bounded, Receiver, Sender};
use oakhollow::types::Micros;
use oakhollow_guard::CloseReason;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// Numbers idle connections in the order in which they became idle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct IdleId(u64);

/// Why a connection should be closed that has no whole request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseRequest {
    /// A new connection needs its slot.
    Evicted,
    /// The process stops taking requests.
    ShuttingDown,
}

/// A connection without a whole request.
struct IdleEntry {
    source: IpAddr,
    /// It has had an answer before.
    answered_before: bool,
    progress: SendingProgress,
    /// Tells the connection's task that it is evicted. Dropping it tells that the process stops taking requests.
    evict: oneshot::Sender<CloseRequest>,
}

/// Proof that a client connection ended with a stated reason: every path that ends one has to return it.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Closed(CloseReason);

impl Closed {
    /// A connection closed for this reason.
    pub fn new(reason: CloseReason) -> Closed {
        Closed(reason)
    }

    /// Why the connection was closed.
    pub fn reason(self) -> CloseReason {
        self.0
    }
}

/// An open client connection. Dropping it frees the connection's slot.
pub struct ConnectionGuard {
    /// What it shares with the other connections.
    pub shared: Rc<Connections>,
    /// The client's address.
    pub source: IpAddr,
    slot: Option<Slot>,
}

impl ConnectionGuard {
    /// Records why the connection was closed, and frees its slot.
    pub fn record_close(self, closed: Closed) {
        self.shared.monitor.connection_closed(closed.reason());
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut sources = self.shared.sources.borrow_mut();
        // Guards against an entry kept for every address that ever connected.
        if let Some(count) = sources.get_mut(&self.source).filter(|count| **count > 1) {
            *count -= 1;
        } else {
            sources.remove(&self.source);
        }
        drop(sources);
        drop(self.slot.take());
        self.shared.gauge.decrement();
        self.shared.notify_waiting();
    }
}

/// What all client connections of a worker share.
pub struct Connections {
    pub dispatcher: Rc<DispatcherHandle>,
    request_settings: RefCell<Rc<RequestSettings>>,
    /// Records what happens.
    pub monitor: Rc<Monitor>,
    /// Limits the number of connections.
    limit: Rc<LimitShare>,
    /// How many connections are open, for the metrics.
    gauge: Gauge,
    next_idle_id: Cell<IdleId>,
    idle: RefCell<BTreeMap<IdleId, IdleEntry>>,
    /// How many connections each address has.
    sources: RefCell<HashMap<IpAddr, usize>>,
    request_ids: Arc<RequestIds>,
    /// Wakes the acceptor when there may be a slot.
    slot_freed: (Sender<()>, Receiver<()>),
    /// Whether new connections wait for a slot.
    slot_awaited: Cell<bool>,
    serving: Cell<bool>,
    closing: Cell<bool>,
    /// Each answer closes its connection, so that the client's next request goes to the successor process.
    closing_after_answers: Cell<bool>,
    answer_deadline: AnswerDeadline,
}

impl Connections {
    pub fn new(
        dispatcher: Rc<DispatcherHandle>, request_settings: RequestSettings, monitor: Rc<Monitor>,
        limit: (Rc<LimitShare>, Gauge), request_ids: Arc<RequestIds>, answer_deadline: AnswerDeadline,
    ) -> Rc<Connections> {
        let (limit, gauge) = limit;
        Rc::new(Connections {
            dispatcher,
            request_settings: RefCell::new(Rc::new(request_settings)),
            monitor,
            limit,
            gauge,
            next_idle_id: Cell::default(),
            idle: RefCell::default(),
            sources: RefCell::default(),
            request_ids,
            slot_freed: bounded(1),
            slot_awaited: Cell::new(false),
            serving: Cell::new(false),
            closing: Cell::new(false),
            closing_after_answers: Cell::new(false),
            answer_deadline,
        })
    }

    /// Counts one more connection until the returned guard is dropped.
    pub fn register(shared: &Rc<Connections>, source: IpAddr, slot: Slot) -> ConnectionGuard {
        shared.gauge.increment();
        *shared.sources.borrow_mut().entry(source).or_default() += 1;
        ConnectionGuard { shared: shared.clone(), source, slot: Some(slot) }
    }

    /// How many connections are open.
    pub fn open_count(&self) -> usize {
        self.limit.held()
    }

    /// Takes a slot for one more connection, if there is any.
    pub fn free_slot(&self) -> Option<Slot> {
        self.limit.try_acquire()
    }

    /// Takes a slot for one more connection. If there is none, closes one idle connection, and until the next
    /// successful call each answer closes its connection.
    pub fn try_slot(&self) -> Option<Slot> {
        let slot = self.free_slot();
        self.slot_awaited.set(slot.is_none());
        if slot.is_none() {
            self.evict_idle();
        }
        slot
    }

    /// Waits until there may be a slot.
    pub async fn slot_freed(&self) {
        let _ = self.slot_freed.1.recv().await;
    }

    /// Replaces the settings by which requests are read.
    pub fn set_request_settings(&self, request_settings: RequestSettings) {
        self.request_settings.replace(Rc::new(request_settings));
    }

    pub fn request_settings(&self) -> Rc<RequestSettings> {
        self.request_settings.borrow().clone()
    }

    /// Sets whether the process is in a phase in which it takes requests.
    pub fn set_serving(&self, serving: bool) {
        self.serving.set(serving);
    }

    /// Whether `/ready` answers yes.
    pub fn ready(&self) -> bool {
        self.serving.get() && self.dispatcher.has_ready_endpoint.get()
    }

    /// Whether a connection may be kept after an answer.
    pub fn keeps_alive(&self) -> bool {
        !self.closing.get() && !self.slot_awaited.get() && !self.closing_after_answers.get()
    }

    /// The time by which every request must be answered.
    pub fn answer_deadline(&self) -> Micros {
        self.answer_deadline.get()
    }

    /// From now on each answer closes its connection.
    pub fn close_after_answers(&self) {
        self.closing_after_answers.set(true);
    }

    /// Closes all idle connections of which no request has begun. The others are closed after their answer.
    pub fn close(&self) {
        self.closing.set(true);
        self.idle.borrow_mut().retain(|_, entry| entry.progress.request_started);
    }

    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Closes one connection without a whole request. Guards against idle connections that keep new clients out, and against one source,
    /// or many silent ones, that takes the slots which other clients need. Returns false if none is idle.
    pub fn evict_idle(&self) -> bool {
        let (mut idle, sources) = (self.idle.borrow_mut(), self.sources.borrow());
        let candidate = |entry: &IdleEntry| IdleConnection {
            answered_before: entry.answered_before,
            request_started: entry.progress.request_started,
            resumed: entry.progress.resumed,
            silent_for: entry.progress.last_byte_at.elapsed(),
            same_source: sources.get(&entry.source).copied().unwrap_or(0),
        };
        let evicted = eviction::next_to_evict(idle.iter().map(|(id, entry)| (*id, candidate(entry))));
        let entry = evicted.and_then(|id| idle.remove(&id));
        entry.map(|entry| entry.evict.send(CloseRequest::Evicted)).is_some()
    }

    /// Closes idle connections while this worker holds more than it may because another process of this sidecar has
    /// half of the limit.
    pub fn close_excess_idle(&self) {
        // Slots are freed later, by the connections' tasks.
        (0..self.limit.excess_over_half()).take_while(|_| self.evict_idle()).count();
    }

    /// Whether new connections wait for a slot.
    pub fn slot_awaited(&self) -> bool {
        self.slot_awaited.get()
    }

    /// Wakes the acceptor if it waits for a slot.
    fn notify_waiting(&self) {
        if self.slot_awaited.get() {
            let _ = self.slot_freed.0.try_send(());
        }
    }

    /// Registers the id of a request until the returned guard is dropped.
    pub fn register_request_id(&self, id: &str) -> Result<RegisteredId, IdConflict> {
        self.request_ids.register(id, Instant::now())
    }

    /// Registers a connection without an open request as idle, until the returned guard is dropped. The guard reports
    /// when the connection should be closed.
    pub fn enter_idle(
        &self, source: IpAddr, answered_before: bool, progress: SendingProgress,
    ) -> IdleGuard<'_> {
        match self.closing.get() {
            true => IdleGuard { shared: self, id: self.next_idle_id(), close: oneshot::oneshot().1 },
            false => self.enter_sending(source, answered_before, progress),
        }
    }

    /// Registers a connection as one that gives way to those that wait to be accepted, also while the process stops:
    /// its client is still sending a request, or may do so.
    pub fn enter_sending(
        &self, source: IpAddr, answered_before: bool, progress: SendingProgress,
    ) -> IdleGuard<'_> {
        let (id, (evict, close)) = (self.next_idle_id(), oneshot::oneshot());
        self.idle.borrow_mut().insert(id, IdleEntry { source, answered_before, progress, evict });
        self.notify_waiting();
        IdleGuard { shared: self, id, close }
    }

    fn next_idle_id(&self) -> IdleId {
        self.next_idle_id.replace(IdleId(self.next_idle_id.get().0 + 1))
    }
}

/// Keeps a connection registered as idle. Dropped when it has a whole request.
pub struct IdleGuard<'a> {
    shared: &'a Connections,
    id: IdleId,
    close: oneshot::Receiver<CloseRequest>,
}

impl IdleGuard<'_> {
    /// Records that bytes have come.
    pub fn bytes_received(&self, progress: SendingProgress) {
        if let Some(entry) = self.shared.idle.borrow_mut().get_mut(&self.id) {
            entry.progress = progress;
        }
        // A new connection that was silent until now may have protected others from eviction.
        self.shared.notify_waiting();
    }

    /// Waits until the connection should be closed.
    pub async fn close_requested(&self) -> CloseRequest {
        (&self.close).await.unwrap_or(CloseRequest::ShuttingDown)
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        // An evicted connection has not freed its slot yet: waking the acceptor would evict another one for the same
        // client.
        if self.shared.idle.borrow_mut().remove(&self.id).is_some() {
            self.shared.notify_waiting();
        }
    }
}
