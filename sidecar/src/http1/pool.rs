//! Connections to servers: opened when none is free, kept while idle, bounded all together. One carries one
//! request at a time.
use super::attempt::write;
use crate::limits::{LimitShare, Slot};
use crate::reactor::{Async, Timer};
use crate::system_errors::is_our_shortage;
use crate::tasks::Tasks;
use crate::timers::duration;
use futures_lite::future;
use oakhollow::types::{Micros, Outcome};
use oakhollow_guard::SendPermit;
use slog::{info, Logger};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// How often idle connections are looked through for those that have ended or are old.
const SWEEP: Duration = Duration::from_millis(20);

/// How long a connection rests after an answer before it carries another request: a second answer may come some milliseconds
/// late. Guards against giving it to the next request.
const REST: Duration = Duration::from_millis(10);

/// How many may wait at an address for a connection to have rested, where no server was seen to send more than an answer;
/// others use theirs at once: guards against a busy process that waits, or opens a connection, at each request.
const MOST_WAITING: usize = 2;

/// One open connection; dropping it closes it.
pub struct Link {
    stream: Async<TcpStream>,
    _slot: Slot,
    /// Whether connections of that time to that address are still to be kept.
    wanted: Rc<Cell<bool>>,
}

impl Link {
    /// Writes the beginning of an attempt, or all of it. There is no other way to write a first byte.
    pub async fn begin(&self, _permit: SendPermit, bytes: &[u8]) -> Result<()> {
        write(&self.stream, bytes).await
    }

    /// Writes more of an attempt that was begun.
    pub async fn go_on(&self, bytes: &[u8]) -> Result<()> {
        write(&self.stream, bytes).await
    }

    /// As [`Async::read_buf`].
    pub async fn read_buf(&self, into: &mut Vec<u8>) -> Result<usize> {
        self.stream.read_buf(into).await
    }

    /// What has come between requests, where anything but nothing means the end; also what the thread has not been told of.
    fn come(&self) -> Come {
        match self.stream.get_ref().peek(&mut [0]) {
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => Come::Nothing,
            Ok(count) if count > 0 => Come::Bytes,
            _ => Come::End,
        }
    }
}

/// Why there is no connection; either outcome proves that nothing ran.
pub struct ConnectFailure {
    /// What that says of the server.
    pub outcome: Outcome,
    /// The kernel's error, if that is what it was.
    pub error: Option<Error>,
}

impl ConnectFailure {
    fn by(outcome: Outcome, error: Option<Error>) -> ConnectFailure {
        ConnectFailure { outcome, error }
    }
}

#[derive(PartialEq, Eq)]
enum Come {
    Nothing,
    /// Of nobody: more than an answer.
    Bytes,
    End,
}

/// One stay of a connection in the pool; the longer ago it began, the lower.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct LinkId(u64);

struct Parked {
    link: Rc<Link>,
    id: LinkId,
    since: Instant,
}

/// A connection that is free, and how long until it has rested if that is waited for.
enum Idle {
    Usable(Rc<Link>),
    Resting(Rc<Link>, Duration),
}

/// One who waits for a connection to have rested, for as long as it does.
struct Waiting<'a> {
    pool: &'a Pool,
    to: SocketAddr,
}

impl<'a> Waiting<'a> {
    fn begin(pool: &'a Pool, to: SocketAddr) -> Waiting<'a> {
        if let Some(shelf) = pool.shelves.borrow_mut().get_mut(&to) {
            shelf.waiting += 1;
        }
        Waiting { pool, to }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(shelf) = self.pool.shelves.borrow_mut().get_mut(&self.to) {
            shelf.waiting = shelf.waiting.saturating_sub(1);
        }
    }
}

/// The connections to one address, since it was last retired.
struct Shelf {
    idle: Vec<Parked>,
    /// How many wait for one of them to have rested.
    waiting: usize,
    wanted: Rc<Cell<bool>>,
}

impl Default for Shelf {
    fn default() -> Shelf {
        Shelf { idle: Vec::new(), waiting: 0, wanted: Rc::new(Cell::new(true)) }
    }
}

pub struct Pool {
    me: Weak<Pool>,
    tasks: Tasks,
    shelves: RefCell<HashMap<SocketAddr, Shelf>>,
    /// The idle ones by how long they have been so.
    ages: RefCell<BTreeMap<LinkId, SocketAddr>>,
    /// Connections that are open or on their way.
    open: Rc<LimitShare>,
    parked: Cell<LinkId>,
    /// A task sweeps it.
    watched: Cell<bool>,
    connect_within: Cell<Micros>,
    keep: Cell<Micros>,
    /// A server has sent more than an answer.
    strays: Cell<bool>,
    log: Logger,
}

impl Pool {
    /// As many connections as `open` has places; `idle_close` is when the servers close one that has stood idle.
    pub fn new(
        tasks: Tasks, open: Rc<LimitShare>, (connect_within, idle_close): (Micros, Micros), log: Logger,
    ) -> Rc<Pool> {
        Rc::new_cyclic(|me| Pool {
            me: me.clone(),
            tasks,
            shelves: RefCell::default(),
            ages: RefCell::default(),
            open,
            parked: Cell::default(),
            watched: Cell::default(),
            connect_within: Cell::new(connect_within),
            keep: Cell::new(keep(idle_close)),
            strays: Cell::default(),
            log,
        })
    }

    /// The same figures, from now on.
    pub fn set_timeouts(&self, connect_within: Micros, idle_close: Micros) {
        self.connect_within.set(connect_within);
        self.keep.set(keep(idle_close));
    }

    /// A connection that was used before, if one is free. It has rested, but where several wait for that already.
    pub async fn rested(&self, to: SocketAddr) -> Option<Rc<Link>> {
        loop {
            let (link, left) = match self.idle_by(to, Instant::now())? {
                Idle::Usable(link) => return Some(link),
                Idle::Resting(link, left) => (link, left),
            };
            let waiting = Waiting::begin(self, to);
            Timer::after(left).await;
            drop(waiting);
            if self.still_usable(&link) {
                return Some(link);
            }
        }
    }

    fn idle_by(&self, to: SocketAddr, now: Instant) -> Option<Idle> {
        loop {
            let (parked, crowded) = {
                let mut shelves = self.shelves.borrow_mut();
                let shelf = shelves.get_mut(&to)?;
                let rested = shelf.idle.iter().rposition(|parked| parked.since + REST <= now);
                let longest = Some(0).filter(|_| !shelf.idle.is_empty() && !self.strays.get());
                let crowded = shelf.waiting >= MOST_WAITING;
                (shelf.idle.remove(rested.or(longest)?), crowded)
            };
            self.ages.borrow_mut().remove(&parked.id);
            if self.still_usable(&parked.link) {
                let left = (parked.since + REST).saturating_duration_since(now);
                return Some(match left.is_zero() || crowded {
                    true => Idle::Usable(parked.link),
                    false => Idle::Resting(parked.link, left),
                });
            }
        }
    }

    /// Nothing has come on it since its answer.
    fn still_usable(&self, link: &Link) -> bool {
        match link.come() {
            Come::Nothing => true,
            Come::Bytes => {
                self.stray();
                false
            }
            Come::End => false,
        }
    }

    /// A server has sent more than an answer: others may come later.
    pub fn stray(&self) {
        if !self.strays.replace(true) {
            info!(
                self.log,
                "a server sent more than an answer: connections rest {} ms between requests",
                REST.as_millis()
            );
        }
    }

    /// Whether connections to that address are to be kept, and hops to begin there: false once it is retired.
    pub fn wanted(&self, to: SocketAddr) -> Rc<Cell<bool>> {
        let wanted = self.shelves.borrow_mut().entry(to).or_default().wanted.clone();
        self.be_watched();
        wanted
    }

    /// Opens a connection for one who has asked whether it is [`Pool::wanted`]. The outcome of a failure proves that
    /// nothing ran.
    pub async fn connect(
        &self, to: SocketAddr, wanted: Rc<Cell<bool>>,
    ) -> std::result::Result<Rc<Link>, ConnectFailure> {
        // Before the first wait, so that connections on their way keep to the bound too.
        let slot = match self.open.try_acquire() {
            Some(slot) => slot,
            None => {
                drop(self.take_oldest());
                self.open.try_acquire().ok_or(ConnectFailure::by(Outcome::NotSent, None))?
            }
        };
        let connected = async { Some(Async::<TcpStream>::connect(to).await) };
        let late = async {
            Timer::after(duration(self.connect_within.get())).await;
            None
        };
        match future::or(connected, late).await {
            Some(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                Ok(Rc::new(Link { stream, _slot: slot, wanted }))
            }
            Some(Err(error)) if is_our_shortage(&error) => {
                Err(ConnectFailure::by(Outcome::NotSent, Some(error)))
            }
            Some(Err(error)) => Err(ConnectFailure::by(Outcome::NoConnection, Some(error))),
            None => Err(ConnectFailure::by(Outcome::NoConnection, None)),
        }
    }

    /// Keeps a connection whose answer has come whole.
    pub fn park(&self, to: SocketAddr, link: Rc<Link>) {
        // Guards against keeping one whose server has been replaced at that address, or has left, meanwhile.
        if !link.wanted.get() {
            return;
        }
        let id = self.parked.replace(LinkId(self.parked.get().0 + 1));
        if let Some(shelf) = self.shelves.borrow_mut().get_mut(&to) {
            shelf.idle.push(Parked { link, id, since: Instant::now() });
            self.ages.borrow_mut().insert(id, to);
        }
    }

    fn be_watched(&self) {
        if !self.watched.replace(true) {
            self.tasks.spawn_detached(watch(self.me.clone()));
        }
    }

    /// Closes idle connections that have turned readable or are old; false if there is none at all.
    fn sweep(&self) -> bool {
        let (keep, now) = (duration(self.keep.get()), Instant::now());
        let (mut shelves, mut ages) = (self.shelves.borrow_mut(), self.ages.borrow_mut());
        shelves.retain(|_, shelf| {
            shelf.idle.retain(|idle| {
                let stirred = idle.link.stream.stirred();
                if stirred && idle.link.come() == Come::Bytes {
                    self.stray();
                }
                let stays = !stirred && now - idle.since < keep;
                if !stays {
                    ages.remove(&idle.id);
                }
                stays
            });
            // Guards against a shelf kept for every address that ever was.
            !shelf.idle.is_empty() || Rc::strong_count(&shelf.wanted) > 1
        });
        !shelves.is_empty()
    }

    /// Closes what stands idle to a server that wants nothing new, and keeps none of the connections it still uses.
    pub fn retire(&self, at: SocketAddr) {
        if let Some(shelf) = self.shelves.borrow_mut().remove(&at) {
            shelf.wanted.set(false);
            let mut ages = self.ages.borrow_mut();
            shelf.idle.iter().for_each(|idle| _ = ages.remove(&idle.id));
        }
    }

    fn take_oldest(&self) -> Option<Parked> {
        let (_, at) = self.ages.borrow_mut().pop_first()?;
        Some(self.shelves.borrow_mut().get_mut(&at)?.idle.remove(0))
    }
}

/// Guards against writing a request to a connection that the server is about to close.
fn keep(idle_close: Micros) -> Micros {
    idle_close.times(0.5)
}

/// Sweeps a pool for as long as it has idle connections: one task for all of them, which the machine tells of none.
async fn watch(pool: Weak<Pool>) {
    while let Some(there) = pool.upgrade() {
        let begun = Instant::now();
        if !there.sweep() {
            return there.watched.set(false);
        }
        drop(there);
        // Guards against thousands of idle connections taking more than a hundredth of the thread.
        Timer::after(SWEEP.max(begun.elapsed() * 100)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::limits::SharedLimit;
    use crate::reactor::block_on;
    use async_executor::LocalExecutor;
    use slog::{o, Discard};
    use std::io::Write;
    use std::net::TcpListener;

    #[test]
    fn a_connection_rests_after_its_answer_and_one_with_a_late_second_answer_is_used_no_more() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("bound");
        let executor = Rc::new(LocalExecutor::new());
        let (open, times) =
            (LimitShare::new(SharedLimit::new(8, 1)), (Micros::millis(1_000), Micros::millis(60_000)));
        let pool = Pool::new(Tasks::new(&executor), open, times, Logger::root(Discard, o!()));
        let connect =
            || block_on(pool.connect(to, pool.wanted(to))).expect("a reactor").ok().expect("connected");
        let parked = |link: &Rc<Link>| {
            let before = Instant::now();
            pool.park(to, link.clone());
            (before, Instant::now())
        };
        let rested = |one: Option<Idle>, other: &Rc<Link>| match one {
            Some(Idle::Usable(one)) => Rc::ptr_eq(&one, other),
            _ => false,
        };
        let resting = |one: Option<Idle>, other: &Rc<Link>| match one {
            Some(Idle::Resting(one, left)) => Rc::ptr_eq(&one, other) && left <= REST && !left.is_zero(),
            _ => false,
        };
        let (first, second) = (connect(), connect());
        let (mut server, _) = listener.accept().expect("accepted");
        // Nothing odd was seen: one that has rested first, the one that rests longest is waited for.
        let (_, then) = parked(&first);
        let (before, _) = parked(&second);
        assert!(resting(pool.idle_by(to, before + REST / 2), &first));
        // Who comes while as many wait as may uses it at once.
        let waiting: Vec<Waiting> = (0..MOST_WAITING).map(|_| Waiting::begin(&pool, to)).collect();
        assert!(rested(pool.idle_by(to, before), &second));
        drop(waiting);
        parked(&second);
        let (_, last) = parked(&first);
        assert!(rested(pool.idle_by(to, last + REST), &first) && then < last);
        parked(&first);
        // The second answer comes: that connection carries nothing more, and none is used before it has rested.
        server.write_all(b"HTTP/1.1 200 OK\r\n").expect("written");
        while first.come() == Come::Nothing {}
        assert!(rested(pool.idle_by(to, Instant::now() + REST), &second) && pool.strays.get());
        let (before, then) = parked(&second);
        assert!(
            pool.idle_by(to, before + REST / 2).is_none() && rested(pool.idle_by(to, then + REST), &second)
        );
    }
}
