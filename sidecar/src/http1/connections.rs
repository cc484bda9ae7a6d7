//! What the connections of clients share: how many there may be, which have no request open and may be closed, the ids of open
//! requests, and whether the process still takes requests.
use super::{DispatcherHandle, RequestSettings};
use crate::eviction::{self, IdleConnection};
use crate::limits::{Gauge, LimitShare, Slot};
use crate::monitor::Monitor;
use crate::oneshot;
use async_channel::{bounded, Receiver, Sender};
use oakhollow::types::Micros;
use oakhollow_guard::CloseReason;
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::BuildHasher;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// One stay of a connection among those with no request open; the longer ago it began, the lower.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct StayId(u64);

/// A connection with no request open; dropping it closes the connection.
struct Stay {
    source: IpAddr,
    /// It has had an answer before.
    known: bool,
    /// When its last byte came, or it did.
    since: Instant,
    begun: bool,
    _told: oneshot::Sender<()>,
}

/// Says that a client's connection is closed, and why: no path ends one without.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Closed(CloseReason);

impl Closed {
    /// For that reason.
    pub fn by(reason: CloseReason) -> Closed {
        Closed(reason)
    }

    /// Why.
    pub fn reason(self) -> CloseReason {
        self.0
    }
}

/// A connection that is held, and where it comes from.
pub struct Held {
    /// What it shares with the others.
    pub shared: Rc<Connections>,
    /// Where it comes from.
    pub source: IpAddr,
    slot: Option<Slot>,
}

impl Held {
    /// It is closed.
    pub fn closed(self, closed: Closed) {
        self.shared.monitor.connection_closed(closed.reason());
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut sources = self.shared.sources.borrow_mut();
        // Guards against one entry for every address that ever came.
        if let Some(count) = sources.get_mut(&self.source).filter(|count| **count > 1) {
            *count -= 1;
        } else {
            sources.remove(&self.source);
        }
        drop(sources);
        drop(self.slot.take());
        self.shared.connections.decrement();
        self.shared.stir();
    }
}

/// The id of a request that is open; given up when it is answered.
pub struct OpenId<'a> {
    shared: &'a Connections,
    id: String,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.shared.ids.shut(&self.id);
    }
}

/// The ids of all open requests, of all workers: parted, so that workers seldom meet.
#[derive(Default)]
pub struct OpenRequestIds {
    parts: [Mutex<HashSet<Box<str>>>; 16],
    hash: RandomState,
}

impl OpenRequestIds {
    fn shard(&self, id: &str) -> MutexGuard<'_, HashSet<Box<str>>> {
        let part = &self.parts[self.hash.hash_one(id) as usize % self.parts.len()];
        part.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// False if it is open already.
    fn open(&self, id: &str) -> bool {
        self.shard(id).insert(id.into())
    }

    fn shut(&self, id: &str) {
        self.shard(id).remove(id);
    }
}

/// What the connections of callers share.
pub struct Connections {
    pub desk: Rc<DispatcherHandle>,
    request_settings: RefCell<Rc<RequestSettings>>,
    /// What is told all that happens.
    pub monitor: Rc<Monitor>,
    /// Slots for connections, and how many connections there are.
    open: Rc<LimitShare>,
    connections: Gauge,
    stays: Cell<StayId>,
    idle: RefCell<BTreeMap<StayId, Stay>>,
    /// How many connections each address has.
    sources: RefCell<HashMap<IpAddr, usize>>,
    ids: Arc<OpenRequestIds>,
    stirred: (Sender<()>, Receiver<()>),
    /// Others wait to be taken in.
    crowded: Cell<bool>,
    able: Cell<bool>,
    closing: Cell<bool>,
    /// Each answer ends its connection: whoever has another call takes it to our successor.
    parting: Cell<bool>,
    answer_deadline: Cell<Micros>,
}

impl Connections {
    pub fn new(
        desk: Rc<DispatcherHandle>, request_settings: RequestSettings, monitor: Rc<Monitor>,
        open: (Rc<LimitShare>, Gauge), ids: Arc<OpenRequestIds>,
    ) -> Rc<Connections> {
        let (open, connections) = open;
        Rc::new(Connections {
            desk,
            request_settings: RefCell::new(Rc::new(request_settings)),
            monitor,
            open,
            connections,
            stays: Cell::default(),
            idle: RefCell::default(),
            sources: RefCell::default(),
            ids,
            stirred: bounded(1),
            crowded: Cell::new(false),
            able: Cell::new(false),
            closing: Cell::new(false),
            parting: Cell::new(false),
            answer_deadline: Cell::new(Micros::NEVER),
        })
    }

    /// Holds one more connection; given up when what this returns is dropped.
    pub fn hold(shared: &Rc<Connections>, source: IpAddr, slot: Slot) -> Held {
        shared.connections.increment();
        *shared.sources.borrow_mut().entry(source).or_default() += 1;
        Held { shared: shared.clone(), source, slot: Some(slot) }
    }

    /// How many are held.
    pub fn held(&self) -> usize {
        self.open.held()
    }

    /// A slot for one more. Where there is none, one connection with no request open is closed, and others are closed with
    /// their next answer until there is.
    pub fn slot(&self) -> Option<Slot> {
        let slot = self.open.try_acquire();
        self.crowded.set(slot.is_none());
        if slot.is_none() {
            self.make_room();
        }
        slot
    }

    /// A slot for one that is here already and can't be sent away.
    pub fn slot_anyway(&self) -> Slot {
        self.open.acquire_over_limit()
    }

    /// Waits until there may be a slot.
    pub async fn room_made(&self) {
        let _ = self.stirred.1.recv().await;
    }

    /// What requests call things by, from now on.
    pub fn set_request_settings(&self, request_settings: RequestSettings) {
        self.request_settings.replace(Rc::new(request_settings));
    }

    pub fn request_settings(&self) -> Rc<RequestSettings> {
        self.request_settings.borrow().clone()
    }

    /// Whether this phase wants callers at all.
    pub fn set_serving(&self, able: bool) {
        self.able.set(able);
    }

    /// What `/ready` says.
    pub fn ready(&self) -> bool {
        self.able.get() && self.desk.has_ready_endpoint.get()
    }

    /// Whether a connection may be kept after an answer.
    pub fn keeps(&self) -> bool {
        !self.closing.get() && !self.crowded.get() && !self.parting.get()
    }

    /// No API call that comes from now on may take longer than until then.
    pub fn set_answer_deadline(&self, then: Micros) {
        self.answer_deadline.set(then);
    }

    pub fn answer_deadline(&self) -> Micros {
        self.answer_deadline.get()
    }

    /// From now on each answer ends its connection.
    pub fn close_after_answers(&self) {
        self.parting.set(true);
    }

    /// From now on no connection outlives the answer it waits for.
    pub fn close(&self) {
        self.closing.set(true);
        self.idle.borrow_mut().clear();
    }

    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Closes one connection with no request open. Guards against kept connections shutting out new clients, and
    /// against one source, or many that say nothing, taking what the usual callers need.
    pub fn make_room(&self) {
        let (mut idle, sources) = (self.idle.borrow_mut(), self.sources.borrow());
        let holder = |stay: &Stay| IdleConnection {
            answered_before: stay.known,
            request_started: stay.begun,
            silent_for: stay.since.elapsed(),
            same_source: sources.get(&stay.source).copied().unwrap_or(0),
        };
        let first = eviction::next_to_evict(idle.iter().map(|(id, stay)| (*id, holder(stay))));
        drop(first.and_then(|id| idle.remove(&id)));
    }

    /// Closes idle connections that another process of this sidecar is short of.
    pub fn close_excess_idle(&self) {
        let idle = self.idle.borrow().len();
        (0..idle).take_while(|_| self.open.exceeds_half()).for_each(|_| self.make_room());
    }

    /// Has room looked for again, where others wait for it.
    fn stir(&self) {
        if self.crowded.get() {
            let _ = self.stirred.0.try_send(());
        }
    }

    /// Counts an id among the open ones; none if it is there already.
    pub fn open_id(&self, id: &str) -> Option<OpenId<'_>> {
        self.ids.open(id).then(|| OpenId { shared: self, id: id.to_string() })
    }

    /// A connection has no request open from now on, until what this returns is dropped. It tells by its end that
    /// the connection should be closed.
    pub fn stay(&self, source: IpAddr, known: bool) -> Staying<'_> {
        let id = self.stays.replace(StayId(self.stays.get().0 + 1));
        let (sender, told) = oneshot::oneshot();
        if !self.closing.get() {
            let stay = Stay { source, known, since: Instant::now(), begun: false, _told: sender };
            self.idle.borrow_mut().insert(id, stay);
            self.stir();
        }
        Staying { shared: self, id, told }
    }
}

/// A connection's place among those with no request open; given up when it has one.
pub struct Staying<'a> {
    shared: &'a Connections,
    id: StayId,
    told: oneshot::Receiver<()>,
}

impl Staying<'_> {
    /// Bytes of a request have come.
    pub fn stirs(&self) {
        if let Some(stay) = self.shared.idle.borrow_mut().get_mut(&self.id) {
            (stay.begun, stay.since) = (true, Instant::now());
        }
    }

    pub async fn told_to_close(&self) {
        let _ = (&self.told).await;
    }
}

impl Drop for Staying<'_> {
    fn drop(&mut self) {
        self.shared.idle.borrow_mut().remove(&self.id);
        self.shared.stir();
    }
}
