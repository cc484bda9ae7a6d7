//! Connections to endpoints: opened when none is idle, kept for reuse while idle, and limited in number over all
//! endpoints. A connection carries one request at a time.
use super::attempt::write_all;
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

/// How often idle connections are searched for those that the endpoint has closed or that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// How long a connection stays unused after an answer. Some endpoints send a second answer a few milliseconds late,
/// which must not be taken for the answer to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// How many requests to one address may wait for a connection's [`REUSE_DELAY`], as long as no endpoint has been seen
/// to send more than an answer. Further requests reuse a connection at once: guards against a busy process that waits,
/// or opens a connection, for each request.
const MAX_WAITERS: usize = 2;

/// An open connection to an endpoint. Dropping it closes it.
pub struct EndpointConnection {
    stream: Async<TcpStream>,
    _slot: Slot,
    /// False once the address has been retired since this connection was requested. It is then not kept for reuse.
    active: Rc<Cell<bool>>,
}

impl EndpointConnection {
    /// Writes the beginning of a request, or all of it. The only way to write a first byte, which takes a permit.
    pub async fn write_first(&self, _permit: SendPermit, bytes: &[u8]) -> Result<()> {
        write_all(&self.stream, bytes).await
    }

    /// Writes more of a request whose beginning is written.
    pub async fn write_more(&self, bytes: &[u8]) -> Result<()> {
        write_all(&self.stream, bytes).await
    }

    /// See [`Async::read_buf`].
    pub async fn read_buf(&self, destination: &mut Vec<u8>) -> Result<usize> {
        self.stream.read_buf(destination).await
    }

    /// What the socket has received between requests. Asks the kernel, which may know more than the reactor.
    fn idle_state(&self) -> IdleSocketState {
        match self.stream.get_ref().peek(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => IdleSocketState::Quiet,
            Ok(count) if count > 0 => IdleSocketState::UnsolicitedBytes,
            _ => IdleSocketState::Closed,
        }
    }
}

/// Why a connection could not be opened. Every outcome in it proves that the endpoint did not run the request.
pub struct ConnectFailure {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The error of the system call, if one failed.
    pub error: Option<Error>,
}

impl ConnectFailure {
    fn new(outcome: Outcome, error: Option<Error>) -> ConnectFailure {
        ConnectFailure { outcome, error }
    }
}

/// What an idle connection has received. Only one that is [`IdleSocketState::Quiet`] may be reused.
#[derive(PartialEq, Eq)]
enum IdleSocketState {
    Quiet,
    /// Bytes that belong to no request.
    UnsolicitedBytes,
    Closed,
}

/// Numbers idle connections in the order in which they became idle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct IdleId(u64);

struct IdleConnection {
    connection: Rc<EndpointConnection>,
    id: IdleId,
    since: Instant,
}

/// An idle connection, and the rest of its [`REUSE_DELAY`] if the request has to wait for that.
enum Candidate {
    Usable(Rc<EndpointConnection>),
    Delayed(Rc<EndpointConnection>, Duration),
}

/// Counts a request that waits for a connection's [`REUSE_DELAY`], until it is dropped.
struct Waiter<'a> {
    pool: &'a Pool,
    address: SocketAddr,
}

impl<'a> Waiter<'a> {
    fn register(pool: &'a Pool, address: SocketAddr) -> Waiter<'a> {
        if let Some(address_pool) = pool.addresses.borrow_mut().get_mut(&address) {
            address_pool.waiters += 1;
        }
        Waiter { pool, address }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if let Some(address_pool) = self.pool.addresses.borrow_mut().get_mut(&self.address) {
            address_pool.waiters = address_pool.waiters.saturating_sub(1);
        }
    }
}

/// The connections to one address since it was last retired.
struct AddressPool {
    idle: Vec<IdleConnection>,
    /// Requests that wait for the [`REUSE_DELAY`] of one of them.
    waiters: usize,
    active: Rc<Cell<bool>>,
}

impl Default for AddressPool {
    fn default() -> AddressPool {
        AddressPool { idle: Vec::new(), waiters: 0, active: Rc::new(Cell::new(true)) }
    }
}

/// The connections of one worker to all endpoints.
pub struct Pool {
    this: Weak<Pool>,
    tasks: Tasks,
    addresses: RefCell<HashMap<SocketAddr, AddressPool>>,
    /// All idle connections, the one that has been idle the longest first.
    idle_by_age: RefCell<BTreeMap<IdleId, SocketAddr>>,
    /// Limits the connections that are open or being opened.
    limit: Rc<LimitShare>,
    next_idle_id: Cell<IdleId>,
    /// Whether the task that sweeps the pool is running.
    sweeping: Cell<bool>,
    connect_timeout: Cell<Micros>,
    max_idle_time: Cell<Micros>,
    /// Whether an endpoint has sent more than an answer.
    saw_unsolicited_bytes: Cell<bool>,
    log: Logger,
}

impl Pool {
    /// A pool with at most as many connections as `limit` has slots. `server_idle_timeout` is the time after which the
    /// endpoints close an idle connection.
    pub fn new(
        tasks: Tasks, limit: Rc<LimitShare>, (connect_timeout, server_idle_timeout): (Micros, Micros),
        log: Logger,
    ) -> Rc<Pool> {
        Rc::new_cyclic(|this| Pool {
            this: this.clone(),
            tasks,
            addresses: RefCell::default(),
            idle_by_age: RefCell::default(),
            limit,
            next_idle_id: Cell::default(),
            sweeping: Cell::default(),
            connect_timeout: Cell::new(connect_timeout),
            max_idle_time: Cell::new(max_idle_time(server_idle_timeout)),
            saw_unsolicited_bytes: Cell::default(),
            log,
        })
    }

    /// Replaces the timeouts given to [`Pool::new`].
    pub fn set_timeouts(&self, connect_timeout: Micros, server_idle_timeout: Micros) {
        self.connect_timeout.set(connect_timeout);
        self.max_idle_time.set(max_idle_time(server_idle_timeout));
    }

    /// Takes an idle connection to this address, if there is one. Waits for the rest of its reuse delay, unless
    /// too many requests wait for that already.
    pub async fn take_idle(&self, address: SocketAddr) -> Option<Rc<EndpointConnection>> {
        loop {
            let (connection, delay) = match self.candidate(address, Instant::now())? {
                Candidate::Usable(connection) => return Some(connection),
                Candidate::Delayed(connection, delay) => (connection, delay),
            };
            let waiter = Waiter::register(self, address);
            Timer::after(delay).await;
            drop(waiter);
            if self.still_usable(&connection) {
                return Some(connection);
            }
        }
    }

    /// Takes out the idle connection that is best reused at `now`: the newest whose reuse delay is over, or else the
    /// oldest. Once an endpoint has sent more than an answer, only a connection whose delay is over is taken.
    fn candidate(&self, address: SocketAddr, now: Instant) -> Option<Candidate> {
        loop {
            let (idle, enough_waiters) = {
                let mut addresses = self.addresses.borrow_mut();
                let address_pool = addresses.get_mut(&address)?;
                let ready = address_pool.idle.iter().rposition(|idle| idle.since + REUSE_DELAY <= now);
                let oldest =
                    Some(0).filter(|_| !address_pool.idle.is_empty() && !self.saw_unsolicited_bytes.get());
                let enough_waiters = address_pool.waiters >= MAX_WAITERS;
                (address_pool.idle.remove(ready.or(oldest)?), enough_waiters)
            };
            self.idle_by_age.borrow_mut().remove(&idle.id);
            // The sweep has not closed it yet if this thread did not run for a while.
            let idle_too_long =
                now.saturating_duration_since(idle.since) >= duration(self.max_idle_time.get());
            if !idle_too_long && self.still_usable(&idle.connection) {
                let delay = (idle.since + REUSE_DELAY).saturating_duration_since(now);
                return Some(match delay.is_zero() || enough_waiters {
                    true => Candidate::Usable(idle.connection),
                    false => Candidate::Delayed(idle.connection, delay),
                });
            }
        }
    }

    /// Whether a connection has received nothing since its last answer.
    fn still_usable(&self, connection: &EndpointConnection) -> bool {
        match connection.idle_state() {
            IdleSocketState::Quiet => true,
            IdleSocketState::UnsolicitedBytes => {
                self.note_unsolicited_bytes();
                false
            }
            IdleSocketState::Closed => false,
        }
    }

    /// Records that an endpoint has sent more than an answer. From now on no connection is reused before its
    /// reuse delay is over, since another such answer may come late.
    pub fn note_unsolicited_bytes(&self) {
        if !self.saw_unsolicited_bytes.replace(true) {
            info!(
                self.log,
                "an endpoint sent more than an answer: connections are reused no sooner than {} ms after an answer",
                REUSE_DELAY.as_millis()
            );
        }
    }

    /// A flag that is true until this address is retired: attempts may be sent there, and connections to it are kept.
    pub fn active_flag(&self, address: SocketAddr) -> Rc<Cell<bool>> {
        let active = self.addresses.borrow_mut().entry(address).or_default().active.clone();
        self.ensure_sweeping();
        active
    }

    /// Opens a connection. `active` is the address's [`Pool::active_flag`]. The outcome of a failure proves that the
    /// endpoint did not run the request.
    pub async fn connect(
        &self, address: SocketAddr, active: Rc<Cell<bool>>,
    ) -> std::result::Result<Rc<EndpointConnection>, ConnectFailure> {
        // Taken before the first wait, so that connections being opened count against the limit.
        let slot = match self.limit.try_acquire() {
            Some(slot) => slot,
            None => {
                drop(self.take_oldest_idle());
                self.limit.try_acquire().ok_or(ConnectFailure::new(Outcome::NotSent, None))?
            }
        };
        let connected = async { Some(Async::<TcpStream>::connect(address).await) };
        let timeout = async {
            Timer::after(duration(self.connect_timeout.get())).await;
            None
        };
        match future::or(connected, timeout).await {
            Some(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                Ok(Rc::new(EndpointConnection { stream, _slot: slot, active }))
            }
            Some(Err(error)) if is_our_shortage(&error) => {
                Err(ConnectFailure::new(Outcome::NotSent, Some(error)))
            }
            Some(Err(error)) => Err(ConnectFailure::new(Outcome::NoConnection, Some(error))),
            None => Err(ConnectFailure::new(Outcome::NoConnection, None)),
        }
    }

    /// Keeps a connection for reuse after its answer was read completely.
    pub fn put_back(&self, address: SocketAddr, connection: Rc<EndpointConnection>) {
        // The address may have been retired meanwhile, since its endpoint has left or another has replaced it.
        if !connection.active.get() {
            return;
        }
        let id = self.next_idle_id.replace(IdleId(self.next_idle_id.get().0 + 1));
        if let Some(address_pool) = self.addresses.borrow_mut().get_mut(&address) {
            address_pool.idle.push(IdleConnection { connection, id, since: Instant::now() });
            self.idle_by_age.borrow_mut().insert(id, address);
        }
    }

    fn ensure_sweeping(&self) {
        if !self.sweeping.replace(true) {
            self.tasks.spawn_detached(sweep_while_used(self.this.clone()));
        }
    }

    /// Closes idle connections that have received anything or have been idle for too long. Returns false if the pool is
    /// empty.
    fn sweep(&self) -> bool {
        let (max_idle_time, now) = (duration(self.max_idle_time.get()), Instant::now());
        let (mut addresses, mut idle_by_age) = (self.addresses.borrow_mut(), self.idle_by_age.borrow_mut());
        addresses.retain(|_, address_pool| {
            address_pool.idle.retain(|idle| {
                let readable = idle.connection.stream.is_readable();
                if readable && idle.connection.idle_state() == IdleSocketState::UnsolicitedBytes {
                    self.note_unsolicited_bytes();
                }
                let keep = !readable && now - idle.since < max_idle_time;
                if !keep {
                    idle_by_age.remove(&idle.id);
                }
                keep
            });
            // Guards against an entry kept for every address that was ever used.
            !address_pool.idle.is_empty() || Rc::strong_count(&address_pool.active) > 1
        });
        !addresses.is_empty()
    }

    /// Closes the idle connections to an address whose endpoint takes no new requests. Connections to it that are
    /// in use are closed after their answer.
    pub fn retire(&self, address: SocketAddr) {
        if let Some(address_pool) = self.addresses.borrow_mut().remove(&address) {
            address_pool.active.set(false);
            let mut idle_by_age = self.idle_by_age.borrow_mut();
            address_pool.idle.iter().for_each(|idle| _ = idle_by_age.remove(&idle.id));
        }
    }

    fn take_oldest_idle(&self) -> Option<IdleConnection> {
        let (_, address) = self.idle_by_age.borrow_mut().pop_first()?;
        Some(self.addresses.borrow_mut().get_mut(&address)?.idle.remove(0))
    }
}

/// Half of the time after which endpoints close an idle connection: guards against writing a request to a
/// connection that the endpoint is about to close.
fn max_idle_time(server_idle_timeout: Micros) -> Micros {
    server_idle_timeout.times(0.5)
}

/// Sweeps a pool for as long as it is in use. This one task checks all idle connections, so that no task per connection
/// waits for events.
async fn sweep_while_used(pool: Weak<Pool>) {
    while let Some(pool) = pool.upgrade() {
        let sweep_started = Instant::now();
        if !pool.sweep() {
            return pool.sweeping.set(false);
        }
        drop(pool);
        // Guards against sweeps of thousands of idle connections taking more than a hundredth of the thread's time.
        Timer::after(SWEEP_INTERVAL.max(sweep_started.elapsed() * 100)).await;
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
    fn connections_are_reused_after_a_delay_and_never_after_a_late_second_answer() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let executor = Rc::new(LocalExecutor::new());
        let (limit, timeouts) =
            (LimitShare::new(SharedLimit::new(8, 1)), (Micros::millis(1_000), Micros::millis(60_000)));
        let pool = Pool::new(Tasks::new(&executor), limit, timeouts, Logger::root(Discard, o!()));
        let connect = || {
            block_on(pool.connect(address, pool.active_flag(address)))
                .expect("a reactor")
                .ok()
                .expect("connected")
        };
        let put_back = |connection: &Rc<EndpointConnection>| {
            let started = Instant::now();
            pool.put_back(address, connection.clone());
            (started, Instant::now())
        };
        let usable = |candidate: Option<Candidate>, expected: &Rc<EndpointConnection>| match candidate {
            Some(Candidate::Usable(connection)) => Rc::ptr_eq(&connection, expected),
            _ => false,
        };
        let delayed = |candidate: Option<Candidate>, expected: &Rc<EndpointConnection>| match candidate {
            Some(Candidate::Delayed(connection, delay)) => {
                Rc::ptr_eq(&connection, expected) && delay <= REUSE_DELAY && !delay.is_zero()
            }
            _ => false,
        };
        let (first, second) = (connect(), connect());
        let (mut server, _) = listener.accept().expect("accepted");
        // No surplus bytes seen: a connection past its delay is preferred, else the one that has been idle the longest.
        let (_, first_returned) = put_back(&first);
        let (second_before, _) = put_back(&second);
        assert!(delayed(pool.candidate(address, second_before + REUSE_DELAY / 2), &first));
        // With `MAX_WAITERS` requests waiting, a connection is used at once.
        let waiters: Vec<Waiter> = (0..MAX_WAITERS).map(|_| Waiter::register(&pool, address)).collect();
        assert!(usable(pool.candidate(address, second_before), &second));
        drop(waiters);
        put_back(&second);
        let (_, last_returned) = put_back(&first);
        assert!(
            usable(pool.candidate(address, last_returned + REUSE_DELAY), &first)
                && first_returned < last_returned
        );
        put_back(&first);
        // A second answer arrives: its connection is not reused, and no other one before its delay is over.
        server.write_all(b"HTTP/1.1 200 OK\r\n").expect("written");
        while first.idle_state() == IdleSocketState::Quiet {}
        assert!(
            usable(pool.candidate(address, Instant::now() + REUSE_DELAY), &second)
                && pool.saw_unsolicited_bytes.get()
        );
        let (second_before, second_returned) = put_back(&second);
        assert!(
            pool.candidate(address, second_before + REUSE_DELAY / 2).is_none()
                && usable(pool.candidate(address, second_returned + REUSE_DELAY), &second)
        );
    }
}
