//! The door for callers: takes connections in, holds no more than it may, and closes those with no request open when
//! room is wanted or the program leaves.
use super::callers::Caller;
use super::{Desk, Names};
use crate::bounds::{Gauge, Place, Share};
use crate::oneshot;
use crate::reactor::{Async, Timer};
use crate::tasks::Tasks;
use crate::yielding::{self, Holder};
use async_channel::{bounded, Receiver, Sender};
use futures_lite::future;
use oakhollow::types::Micros;
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::BuildHasher;
use std::net::{IpAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// After a failed accept: what made it fail, such as a lack of descriptors, does not pass in an instant.
const PAUSE: Duration = Duration::from_millis(50);

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

/// Where a connection comes from.
pub struct Source {
    door: Rc<Door>,
    at: IpAddr,
    place: Option<Place>,
}

impl Drop for Source {
    fn drop(&mut self) {
        let mut sources = self.door.sources.borrow_mut();
        // Guards against one entry for every address that ever came.
        if let Some(count) = sources.get_mut(&self.at).filter(|count| **count > 1) {
            *count -= 1;
        } else {
            sources.remove(&self.at);
        }
        drop(sources);
        drop(self.place.take());
        self.door.connections.down();
        self.door.stir();
    }
}

/// The id of a request that is open; given up when it is answered.
pub struct OpenId<'a> {
    door: &'a Door,
    id: String,
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.door.ids.shut(&self.id);
    }
}

/// The ids of all open requests, of all workers: parted, so that workers seldom meet.
#[derive(Default)]
pub struct Ids {
    parts: [Mutex<HashSet<Box<str>>>; 16],
    hash: RandomState,
}

impl Ids {
    fn part(&self, id: &str) -> MutexGuard<'_, HashSet<Box<str>>> {
        let part = &self.parts[self.hash.hash_one(id) as usize % self.parts.len()];
        part.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// False if it is open already.
    fn open(&self, id: &str) -> bool {
        self.part(id).insert(id.into())
    }

    fn shut(&self, id: &str) {
        self.part(id).remove(id);
    }
}

/// What the connections of callers share.
pub struct Door {
    pub desk: Rc<Desk>,
    names: RefCell<Rc<Names>>,
    tasks: Tasks,
    log: Logger,
    /// Places for connections, and how many connections there are.
    open: Rc<Share>,
    connections: Gauge,
    stays: Cell<StayId>,
    idle: RefCell<BTreeMap<StayId, Stay>>,
    /// How many connections each address has.
    sources: RefCell<HashMap<IpAddr, usize>>,
    ids: Arc<Ids>,
    stirred: (Sender<()>, Receiver<()>),
    /// Others wait to be taken in.
    crowded: Cell<bool>,
    able: Cell<bool>,
    closing: Cell<bool>,
    /// Each answer ends its connection: whoever has another call takes it to our successor.
    parting: Cell<bool>,
    answer_by: Cell<Micros>,
}

impl Door {
    pub fn new(
        desk: Rc<Desk>, names: Names, tasks: Tasks, log: Logger, open: (Rc<Share>, Gauge), ids: Arc<Ids>,
    ) -> Rc<Door> {
        let (open, connections) = open;
        Rc::new(Door {
            desk,
            names: RefCell::new(Rc::new(names)),
            tasks,
            log,
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
            answer_by: Cell::new(Micros::NEVER),
        })
    }

    /// What requests call things by, from now on.
    pub fn rename(&self, names: Names) {
        self.names.replace(Rc::new(names));
    }

    pub fn names(&self) -> Rc<Names> {
        self.names.borrow().clone()
    }

    /// Whether this phase wants callers at all.
    pub fn set_able(&self, able: bool) {
        self.able.set(able);
    }

    /// What `/ready` says.
    pub fn ready(&self) -> bool {
        self.able.get() && self.desk.listed.get()
    }

    /// Whether a connection may be kept after an answer.
    pub fn keeps(&self) -> bool {
        !self.closing.get() && !self.crowded.get() && !self.parting.get()
    }

    /// No API call that comes from now on may take longer than until then.
    pub fn answer_by(&self, then: Micros) {
        self.answer_by.set(then);
    }

    pub fn latest(&self) -> Micros {
        self.answer_by.get()
    }

    /// From now on each answer ends its connection.
    pub fn part(&self) {
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

    /// Takes connections in until dropped.
    pub async fn welcome(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        let mut failures = 0_u32;
        loop {
            let place = loop {
                if let Some(place) = self.open.take() {
                    break place;
                }
                self.crowded.set(true);
                self.make_room();
                let stirred = async { _ = self.stirred.1.recv().await };
                future::or(stirred, async { _ = Timer::after(PAUSE).await }).await;
            };
            self.crowded.set(false);
            match listener.accept().await {
                Ok((stream, _)) => {
                    if std::mem::take(&mut failures) > 0 {
                        info!(self.log, "connections are taken in again, {} open", self.open.held());
                    }
                    self.take_in(stream, place);
                }
                Err(fault) => {
                    // Guards against spinning: the connection that can't be taken in stays readable.
                    failures += 1;
                    drop(place);
                    if failures == 1 {
                        warn!(self.log, "cannot take connections in, {} open: {}", self.open.held(), fault);
                    }
                    self.make_room();
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// Takes in what the machine has accepted already: those clients may have written their requests.
    pub fn take_rest(self: &Rc<Self>, listener: &Async<TcpListener>) {
        while let Ok((stream, _)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::connected(stream) {
                self.take_in(stream, self.open.take_anyway());
            }
        }
    }

    fn take_in(self: &Rc<Self>, stream: Async<TcpStream>, place: Place) {
        let _ = stream.get_ref().set_nodelay(true);
        // One that has gone already has no address, and nothing to say.
        let Ok(peer) = stream.get_ref().peer_addr() else { return };
        self.connections.up();
        *self.sources.borrow_mut().entry(peer.ip()).or_default() += 1;
        let source = Source { door: self.clone(), at: peer.ip(), place: Some(place) };
        self.tasks.run(async move { Caller::new(&source.door, stream, source.at).serve().await });
    }

    /// Closes one connection with no request open. Guards against kept connections shutting out new clients, and
    /// against one source, or many that say nothing, taking what the usual callers need.
    fn make_room(&self) {
        let (mut idle, sources) = (self.idle.borrow_mut(), self.sources.borrow());
        let holder = |stay: &Stay| Holder {
            known: stay.known,
            begun: stay.begun,
            silent: stay.since.elapsed(),
            like: sources.get(&stay.source).copied().unwrap_or(0),
        };
        let first = yielding::first(idle.iter().map(|(id, stay)| (*id, holder(stay))));
        drop(first.and_then(|id| idle.remove(&id)));
    }

    /// Closes idle connections that another process of this sidecar is short of.
    pub fn give_way(&self) {
        let idle = self.idle.borrow().len();
        (0..idle).take_while(|_| self.open.over()).for_each(|_| self.make_room());
    }

    /// Has room looked for again, where others wait for it.
    fn stir(&self) {
        if self.crowded.get() {
            let _ = self.stirred.0.try_send(());
        }
    }

    /// Counts an id among the open ones; none if it is there already.
    pub fn open_id(&self, id: &str) -> Option<OpenId<'_>> {
        self.ids.open(id).then(|| OpenId { door: self, id: id.to_string() })
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
        Staying { door: self, id, told }
    }
}

/// A connection's place among those with no request open; given up when it has one.
pub struct Staying<'a> {
    door: &'a Door,
    id: StayId,
    told: oneshot::Receiver<()>,
}

impl Staying<'_> {
    /// Bytes of a request have come.
    pub fn stirs(&self) {
        if let Some(stay) = self.door.idle.borrow_mut().get_mut(&self.id) {
            (stay.begun, stay.since) = (true, Instant::now());
        }
    }

    pub async fn told_to_close(&self) {
        let _ = (&self.told).await;
    }
}

impl Drop for Staying<'_> {
    fn drop(&mut self) {
        self.door.idle.borrow_mut().remove(&self.id);
        self.door.stir();
    }
}
