//! Sockets and timers of one thread, for that thread alone: each socket is registered once, edge by edge, and wakes whoever
//! waits for it without a lock or another thread. It stands beside async-io, whose one reactor is shared by all threads and
//! registers a socket anew for each wait; `docs/scale.md` has the measured difference. Where the names are async-io's they
//! mean the same.
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Events taken from the machine at a time.
const BATCH: usize = 256;
/// What the machine was asked for no longer ago than that counts as now.
const FRESH: Duration = Duration::from_millis(10);
/// How long a socket of which a read left room may wait, on a thread that has no time to sleep, until it is tried again.
const CONFIRM_AFTER: Duration = Duration::from_millis(1);
/// Marks the bell among the registered.
const BELL: u64 = u64::MAX;

thread_local! {
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; 16 * 1024].into());
    static REACTOR: RefCell<Option<Rc<Reactor>>> = const { RefCell::new(None) };
}

struct Reactor {
    epoll: OwnedFd,
    sources: RefCell<Slab<Rc<Source>>>,
    timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    /// Numbers given to sources and timers, so that none is taken for another.
    given: Cell<u64>,
    /// When the machine was last asked: what it told may be as old as that.
    asked: Cell<Instant>,
    /// Sockets that wait for more after a read that left room, and since when.
    unconfirmed: RefCell<Vec<(Instant, Rc<Source>)>>,
    bell: Arc<Bell>,
}

/// Wakes the thread, also from another one.
struct Bell {
    rung: AtomicBool,
    asleep: AtomicBool,
    fd: OwnedFd,
}

impl Wake for Bell {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        // Only one who sleeps in the machine needs more than the mark.
        if !self.rung.swap(true, Ordering::SeqCst) && self.asleep.load(Ordering::SeqCst) {
            let _ = rustix::io::write(&self.fd, &1_u64.to_ne_bytes());
        }
    }
}

/// What is known of one socket's readiness, and who waits for more.
struct Source {
    slot: Cell<usize>,
    number: u64,
    reads: Side,
    writes: Side,
    /// The last read left room, and nothing has been told since: there may be more all the same.
    unconfirmed: Cell<bool>,
    /// It is among those that are tried again for that.
    listed: Cell<bool>,
    /// The other side has ended its sending, or the connection is broken: reads tell at once, from now on.
    ended: Cell<bool>,
    /// Who waits for that, whatever is still to be read before it.
    end_awaited: Cell<Option<Waker>>,
}

/// Reading or writing: whether it may be tried, and who waits for that.
struct Side {
    ready: Cell<bool>,
    waiting: Cell<Option<Waker>>,
}

impl Side {
    fn new(ready: bool) -> Side {
        Side { ready: Cell::new(ready), waiting: Cell::default() }
    }

    fn told(&self) {
        self.ready.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    fn wait(&self, context: &Context) {
        let waker = match self.waiting.take() {
            Some(waker) if waker.will_wake(context.waker()) => waker,
            _ => context.waker().clone(),
        };
        self.waiting.set(Some(waker));
    }

    /// Tries `work` until it does not block any more, waiting to be ready between.
    fn poll<R>(&self, context: &Context, mut work: impl FnMut() -> Result<R>) -> Poll<Result<R>> {
        loop {
            if !self.ready.get() {
                self.wait(context);
                return Poll::Pending;
            }
            match work() {
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => self.ready.set(false),
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl Reactor {
    fn here() -> Result<Rc<Reactor>> {
        REACTOR.with_borrow_mut(|reactor| match reactor {
            Some(reactor) => Ok(reactor.clone()),
            None => {
                let made = Rc::new(Reactor::new()?);
                *reactor = Some(made.clone());
                Ok(made)
            }
        })
    }

    fn new() -> Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(&epoll, &fd, EventData::new_u64(BELL), EventFlags::IN)?;
        let bell = Bell { rung: AtomicBool::new(false), asleep: AtomicBool::new(false), fd };
        Ok(Reactor {
            epoll,
            sources: RefCell::default(),
            timers: RefCell::default(),
            given: Cell::new(0),
            asked: Cell::new(Instant::now()),
            unconfirmed: RefCell::default(),
            bell: Arc::new(bell),
        })
    }

    fn number(&self) -> u64 {
        self.given.replace(self.given.get() + 1)
    }

    fn register(&self, fd: impl AsFd, writable: bool) -> Result<Rc<Source>> {
        let source = Rc::new(Source {
            slot: Cell::new(0),
            number: self.number() & 0xFFFF_FFFF,
            // The machine tells at the next turn what there is, and then whether its sender has gone since.
            reads: Side::new(false),
            writes: Side::new(writable),
            unconfirmed: Cell::new(false),
            listed: Cell::new(false),
            ended: Cell::new(false),
            end_awaited: Cell::default(),
        });
        let slot = self.sources.borrow_mut().insert(source.clone());
        source.slot.set(slot);
        let data = EventData::new_u64(source.number << 32 | slot as u64);
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        if let Err(fault) = epoll::add(&self.epoll, fd, data, flags) {
            self.sources.borrow_mut().remove(slot);
            return Err(fault.into());
        }
        Ok(source)
    }

    /// Takes what the machine has to tell, waiting for it until the next timer if `wait`, and wakes those concerned.
    fn turn(&self, wait: bool) -> Result<()> {
        let wait = !self.confirm_drained(wait) && wait;
        let next = self.timers.borrow().first_key_value().map(|((at, _), _)| *at);
        let timeout = if wait {
            next.map(|at| at.saturating_duration_since(Instant::now()))
        } else {
            Some(Duration::ZERO)
        };
        self.ask(timeout)?;
        self.ring_due();
        Ok(())
    }

    fn confirm_later(&self, source: &Rc<Source>) {
        if !source.listed.replace(true) {
            self.unconfirmed.borrow_mut().push((self.asked.get(), source.clone()));
        }
    }

    /// Has the sockets tried again that wait for more after a read that left room: all of them before the thread sleeps, else
    /// those that have waited for a moment. Returns whether there was any. Guards against bytes that no event tells of, since
    /// a read may be short; put off, so that a socket which tells of more meanwhile needs no second read.
    fn confirm_drained(&self, sleeps: bool) -> bool {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        if unconfirmed.is_empty() {
            return false;
        }
        let (now, mut any) = (self.asked.get(), false);
        unconfirmed.retain(|(since, source)| {
            let due = sleeps || now.saturating_duration_since(*since) >= CONFIRM_AFTER;
            if due {
                source.listed.set(false);
            }
            if due && source.unconfirmed.replace(false) {
                any = true;
                source.reads.told();
            }
            !due
        });
        any
    }

    /// Asks the machine again if it was not asked a moment ago. Guards against acting on what was so before the thread stood
    /// still: it may have been told of one thing that happened, and be let run again long after others did.
    fn catch_up(&self) {
        if self.asked.get().elapsed() >= FRESH {
            while self.ask(Some(Duration::ZERO)).is_ok_and(|told| told == BATCH) {}
        }
    }

    /// Takes what the machine has to tell within that time, and wakes those concerned. Returns how much that was.
    fn ask(&self, timeout: Option<Duration>) -> Result<usize> {
        let timeout = timeout
            .map(|length| Timespec { tv_sec: length.as_secs() as _, tv_nsec: length.subsec_nanos() as _ });
        let mut events = [const { std::mem::MaybeUninit::uninit() }; BATCH];
        self.asked.set(Instant::now());
        let waited = epoll::wait(&self.epoll, &mut events, timeout.as_ref());
        // Whoever is woken from here on is polled next: guards against a bell that this thread rings for itself.
        self.bell.asleep.store(false, Ordering::SeqCst);
        let told = match waited {
            Ok((told, _)) => told,
            Err(Errno::INTR) => return Ok(0),
            Err(fault) => return Err(fault.into()),
        };
        let count = told.len();
        for event in told {
            let (flags, data) = (event.flags, event.data.u64());
            if data == BELL {
                let _ = rustix::io::read(&self.bell.fd, &mut [0; 8]);
                continue;
            }
            // Guards against waking one that took the place of another which is closed by now.
            let source = self.sources.borrow().get(data as u32 as usize).cloned();
            if let Some(source) = source.filter(|source| source.number == data >> 32) {
                source.told(flags);
            }
        }
        Ok(count)
    }

    fn ring_due(&self) {
        if self.timers.borrow().is_empty() {
            return;
        }
        let now = Instant::now();
        loop {
            let due = {
                let mut timers = self.timers.borrow_mut();
                let first = timers.first_entry().filter(|first| first.key().0 <= now);
                first.map(|first| first.remove())
            };
            match due {
                Some(waker) => waker.wake(),
                None => return,
            }
        }
    }
}

impl Source {
    fn end(&self) {
        self.ended.set(true);
        if let Some(waker) = self.end_awaited.take() {
            waker.wake();
        }
    }

    fn told(&self, flags: EventFlags) {
        if flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            self.end();
        }
        if flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            self.unconfirmed.set(false);
            self.reads.told();
        }
        if flags.intersects(EventFlags::OUT | EventFlags::HUP | EventFlags::ERR) {
            self.writes.told();
        }
    }
}

/// A socket of this thread.
pub struct Async<T: AsFd> {
    inner: T,
    source: Rc<Source>,
    reactor: Rc<Reactor>,
    /// Another process may hold the same socket.
    shared: bool,
}

/// Tells of the end of a socket, also to one that doesn't hold it.
#[derive(Clone)]
pub struct EndOf {
    source: Rc<Source>,
    reactor: Rc<Reactor>,
}

impl EndOf {
    /// As [`Async::has_ended`], but by what the machine tells now.
    pub fn has_come(&self) -> bool {
        self.reactor.catch_up();
        self.source.ended.get()
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // The close, which follows, ends the registration of a socket that no other process holds.
        if self.shared {
            let _ = epoll::delete(&self.reactor.epoll, &self.inner);
        }
        self.reactor.sources.borrow_mut().try_remove(self.source.slot.get());
    }
}

impl<T: AsFd> Async<T> {
    fn registered(inner: T, writable: bool, shared: bool) -> Result<Async<T>> {
        let reactor = Reactor::here()?;
        let source = reactor.register(&inner, writable)?;
        Ok(Async { inner, source, reactor, shared })
    }

    pub fn get_ref(&self) -> &T {
        &self.inner
    }
}

impl Async<TcpListener> {
    pub fn listening(listener: TcpListener) -> Result<Async<TcpListener>> {
        listener.set_nonblocking(true)?;
        Async::registered(listener, false, true)
    }

    pub async fn accept(&self) -> Result<(Async<TcpStream>, SocketAddr)> {
        let (stream, peer) =
            poll_fn(|context| self.source.reads.poll(context, || self.inner.accept())).await?;
        Ok((Async::connected(stream)?, peer))
    }
}

impl Async<TcpStream> {
    pub fn connected(stream: TcpStream) -> Result<Async<TcpStream>> {
        stream.set_nonblocking(true)?;
        Async::registered(stream, true, false)
    }

    pub async fn connect(to: SocketAddr) -> Result<Async<TcpStream>> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        let under_way = match rustix::net::connect(&socket, &to) {
            Ok(()) => false,
            Err(Errno::INPROGRESS) => true,
            Err(fault) => return Err(fault.into()),
        };
        let stream = Async::registered(TcpStream::from(socket), !under_way, false)?;
        if under_way {
            // Writable once it is up, or broken.
            poll_fn(|context| stream.source.writes.poll(context, || Ok(()))).await?;
            sockopt::socket_error(&stream.inner)??;
        }
        Ok(stream)
    }

    /// Reads what there is, up to the size of the thread's one buffer, behind what `into` holds. Nothing is the end. Guards
    /// against a buffer in each of thousands of tasks, cleared and copied with them.
    pub async fn read_behind(&self, into: &mut Vec<u8>) -> Result<usize> {
        poll_fn(|context| {
            BUFFER.with_borrow_mut(|buffer| {
                let read = pin!(self).as_mut().poll_read(context, buffer);
                if let Poll::Ready(Ok(count)) = read {
                    into.extend_from_slice(&buffer[..count]);
                }
                read
            })
        })
        .await
    }

    /// Whether the other side has ended its sending, or the connection is broken, as far as the thread has been told.
    /// Bytes that came before that may still be unread.
    pub fn has_ended(&self) -> bool {
        self.source.ended.get()
    }

    pub fn end(&self) -> EndOf {
        EndOf { source: self.source.clone(), reactor: self.reactor.clone() }
    }

    /// Waits for that, without reading.
    pub async fn ended(&self) {
        poll_fn(|context| match self.has_ended() {
            true => Poll::Ready(()),
            false => {
                self.source.end_awaited.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }

    /// Whether something has come, an end or a fault included, as far as the thread has been told.
    pub fn stirred(&self) -> bool {
        self.source.reads.ready.get()
    }
}

impl AsyncRead for &Async<TcpStream> {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut [u8]) -> Poll<Result<usize>> {
        let room = buffer.len();
        let read = self.source.reads.poll(context, || (&self.inner).read(buffer));
        // A read that leaves room has mostly taken all there was, and what comes after it is told anew; a short one has not, and
        // is told of nothing. After an end nothing is told.
        if matches!(read, Poll::Ready(Ok(count)) if count > 0 && count < room) && !self.source.ended.get() {
            self.source.reads.ready.set(false);
            self.source.unconfirmed.set(true);
        }
        if read.is_pending() && self.source.unconfirmed.get() {
            self.reactor.confirm_later(&self.source);
        }
        if matches!(read, Poll::Ready(Ok(0) | Err(_))) && room > 0 {
            self.source.end();
        }
        read
    }
}

impl AsyncWrite for &Async<TcpStream> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<Result<usize>> {
        self.source.writes.poll(context, || (&self.inner).write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(self.inner.shutdown(std::net::Shutdown::Write))
    }
}

/// A point in time to wait for, on this thread. The machine rounds up to whole milliseconds.
pub struct Timer {
    at: Option<Instant>,
    set: Option<(Instant, u64)>,
    reactor: Option<Rc<Reactor>>,
}

impl Timer {
    pub fn never() -> Timer {
        Timer { at: None, set: None, reactor: None }
    }

    pub fn at(at: Instant) -> Timer {
        Timer { at: Some(at), set: None, reactor: None }
    }

    pub fn after(length: Duration) -> Timer {
        Timer { at: Instant::now().checked_add(length), set: None, reactor: None }
    }

    /// One moved to a later time stays registered at the earlier one, and looks again then: guards against the cost of
    /// moving one that hardly ever rings.
    pub fn set_at(&mut self, at: Instant) {
        if self.set.is_some_and(|(set, _)| set > at) {
            self.unset();
        }
        self.at = Some(at);
    }

    fn unset(&mut self) {
        if let (Some(key), Some(reactor)) = (self.set.take(), &self.reactor) {
            reactor.timers.borrow_mut().remove(&key);
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.unset();
    }
}

impl Future for Timer {
    type Output = Instant;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Instant> {
        let Some(at) = self.at else { return Poll::Pending };
        let now = Instant::now();
        if now >= at {
            self.unset();
            return Poll::Ready(now);
        }
        if self.reactor.is_none() {
            // A thread without a reactor can't wait at all: its first socket has failed already.
            self.reactor = Reactor::here().ok();
        }
        let Some(reactor) = self.reactor.clone() else { return Poll::Pending };
        if self.set.is_some_and(|(set, _)| set <= now) {
            self.unset();
        }
        let key = *self.set.get_or_insert_with(|| (at, reactor.number()));
        let mut timers = reactor.timers.borrow_mut();
        match timers.get(&key) {
            Some(waker) if waker.will_wake(context.waker()) => {}
            _ => _ = timers.insert(key, context.waker().clone()),
        }
        Poll::Pending
    }
}

/// Runs a future to its end on this thread, with its sockets and timers.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let reactor = Reactor::here()?;
    let bell = reactor.bell.clone();
    let waker = Waker::from(bell.clone());
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        bell.rung.store(false, Ordering::SeqCst);
        if let Poll::Ready(done) = future.as_mut().poll(&mut context) {
            return Ok(done);
        }
        // Guards against a sleep that misses a ring: who rings from now on sees that the thread sleeps.
        bell.asleep.store(true, Ordering::SeqCst);
        let wait = !bell.rung.load(Ordering::SeqCst);
        let turned = reactor.turn(wait);
        bell.asleep.store(false, Ordering::SeqCst);
        turned?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

    fn pair() -> (Async<TcpStream>, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("connects");
        (Async::connected(listener.accept().expect("accepted").0).expect("registered"), one)
    }

    #[test]
    fn an_end_behind_bytes_is_told() {
        let (here, mut there) = pair();
        there.write_all(b"abc").expect("written");
        there.shutdown(std::net::Shutdown::Write).expect("shut");
        let read = block_on(async {
            let (mut buffer, mut counts) = ([0; 64], Vec::new());
            while counts.last() != Some(&0) {
                counts.push((&here).read(&mut buffer).await.expect("read"));
            }
            counts
        });
        assert_eq!(read.expect("a reactor"), [3, 0]);
    }

    #[test]
    fn an_end_is_seen_behind_bytes_that_nobody_reads_and_on_one_just_taken_in() {
        let (here, mut there) = pair();
        there.write_all(b"abc").expect("written");
        let soon = async { _ = Timer::after(Duration::from_millis(20)).await };
        block_on(soon).expect("a reactor");
        assert!(!here.has_ended());
        there.shutdown(std::net::Shutdown::Write).expect("shut");
        block_on(here.ended()).expect("a reactor");
        // The first read of one that came with its end finds that told.
        let (here, mut there) = pair();
        there.write_all(b"abc").expect("written");
        drop(there);
        let read =
            block_on(async { (&here).read(&mut [0; 64]).await.map(|count| (count, here.has_ended())) });
        assert_eq!(read.expect("a reactor").expect("read"), (3, true));
    }

    #[test]
    fn an_end_is_seen_that_came_since_the_machine_was_asked() {
        let (here, there) = pair();
        block_on(async { _ = Timer::after(Duration::from_millis(20)).await }).expect("a reactor");
        let end = here.end();
        assert!(!end.has_come());
        drop(there);
        std::thread::sleep(FRESH);
        assert!(!here.has_ended() && end.has_come() && here.has_ended());
    }

    #[test]
    fn more_than_the_buffer_and_more_than_the_machine_holds_goes_through() {
        let (here, mut there) = pair();
        let sent: Vec<u8> = (0..8_000_000_u32).map(|at| at as u8).collect();
        let echo = std::thread::spawn(move || {
            let (mut got, mut buffer) = (Vec::new(), [0; 5000]);
            while got.len() < 8_000_000 {
                let count = there.read(&mut buffer).expect("read");
                got.extend_from_slice(&buffer[..count]);
            }
            there.write_all(&got).expect("written");
            got
        });
        let back = block_on(async {
            (&here).write_all(&sent).await.expect("written");
            let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
            while got.len() < sent.len() {
                let count = (&here).read(&mut buffer).await.expect("read");
                got.extend_from_slice(&buffer[..count]);
            }
            got
        });
        assert!(back.expect("a reactor") == sent && echo.join().expect("ended") == sent);
    }

    #[test]
    fn a_timer_that_is_dropped_or_moved_rings_no_more() {
        let begun = Instant::now();
        let order = block_on(async {
            let mut moved = Timer::after(Duration::from_millis(5));
            let first = future::or(async { _ = (&mut moved).await }, future::ready(())).await;
            moved.set_at(begun + Duration::from_millis(60));
            let late = moved;
            let lost = async { Timer::after(Duration::from_secs(60)).await };
            (first, future::or(async { _ = late.await }, async { _ = lost.await }).await)
        });
        let _ = order.expect("a reactor");
        assert!(begun.elapsed() >= Duration::from_millis(60) && begun.elapsed() < Duration::from_secs(30));
        let left = Reactor::here().expect("a reactor").timers.borrow().len();
        assert_eq!(left, 0);
    }

    #[test]
    fn another_thread_wakes_one_that_sleeps() {
        let (sender, told) = async_channel::bounded(1);
        let other = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(30));
            sender.send_blocking(7).expect("heard");
        });
        assert_eq!(block_on(told.recv()).expect("a reactor"), Ok(7));
        other.join().expect("ended");
    }

    /// What the machine counts of this thread's calls of `write`; those of `send` are not among them.
    fn writes() -> u64 {
        let io = std::fs::read_to_string("/proc/thread-self/io").expect("the machine tells");
        io.lines().find_map(|line| line.strip_prefix("syscw: ")?.parse().ok()).expect("a count")
    }

    #[test]
    fn a_thread_that_is_awake_rings_no_bell_for_itself() {
        let before = writes();
        let timers = async {
            for _ in 0..50 {
                Timer::after(Duration::from_millis(1)).await;
            }
        };
        block_on(timers).expect("a reactor");
        let rung = writes() - before;
        assert!(rung < 5, "{rung} writes for 50 timers");
    }

    #[test]
    fn nobody_there_is_told() {
        let free =
            TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port");
        let fault = block_on(Async::<TcpStream>::connect(free)).expect("a reactor").err();
        assert_eq!(fault.expect("nobody listens").kind(), ErrorKind::ConnectionRefused);
    }
}
