//! The thread's one loop: it asks the kernel what has become ready, and wakes whoever waits for that or for a moment.
use super::readiness::{Side, Source};
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::Result;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

/// Events taken from the kernel at a time.
const BATCH: usize = 256;
/// What the kernel was asked for no longer ago than that counts as now.
pub(super) const FRESH: Duration = Duration::from_millis(10);
/// How long a socket of which a read left room may wait, on a thread that has no time to sleep, until it is tried again.
const CONFIRM_AFTER: Duration = Duration::from_millis(1);
/// Marks the thread_waker among the registered.
const THREAD_WAKER: u64 = u64::MAX;

thread_local! {
    static REACTOR: RefCell<Option<Rc<Reactor>>> = const { RefCell::new(None) };
}

pub(super) struct Reactor {
    pub(super) epoll: OwnedFd,
    pub(super) sources: RefCell<Slab<Rc<Source>>>,
    pub(super) timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    /// Numbers given to sources and timers, so that none is taken for another.
    given: Cell<u64>,
    /// When the kernel was last asked: what it told may be as old as that.
    asked: Cell<Instant>,
    /// Sockets that wait for more after a read that left room, and since when.
    pub(super) unconfirmed: RefCell<Vec<(Instant, Rc<Source>)>>,
    thread_waker: Arc<ThreadWaker>,
}

/// Wakes the thread, also from another one.
pub(super) struct ThreadWaker {
    woken: AtomicBool,
    asleep: AtomicBool,
    fd: OwnedFd,
}

impl Wake for ThreadWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        // Only one who sleeps in the kernel needs more than the mark.
        if !self.woken.swap(true, Ordering::SeqCst) && self.asleep.load(Ordering::SeqCst) {
            let _ = rustix::io::write(&self.fd, &1_u64.to_ne_bytes());
        }
    }
}

impl Reactor {
    pub(super) fn here() -> Result<Rc<Reactor>> {
        REACTOR.with_borrow_mut(|reactor| match reactor {
            Some(reactor) => Ok(reactor.clone()),
            None => {
                let made = Rc::new(Reactor::new()?);
                *reactor = Some(made.clone());
                Ok(made)
            }
        })
    }

    pub(super) fn new() -> Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(&epoll, &fd, EventData::new_u64(THREAD_WAKER), EventFlags::IN)?;
        let thread_waker = ThreadWaker { woken: AtomicBool::new(false), asleep: AtomicBool::new(false), fd };
        Ok(Reactor {
            epoll,
            sources: RefCell::default(),
            timers: RefCell::default(),
            given: Cell::new(0),
            asked: Cell::new(Instant::now()),
            unconfirmed: RefCell::default(),
            thread_waker: Arc::new(thread_waker),
        })
    }

    pub(super) fn number(&self) -> u64 {
        self.given.replace(self.given.get() + 1)
    }

    pub(super) fn register(&self, fd: impl AsFd, writable: bool) -> Result<Rc<Source>> {
        let source = Rc::new(Source {
            slot: Cell::new(0),
            number: self.number() & 0xFFFF_FFFF,
            // The kernel tells at the next turn what there is, and then whether its sender has gone since.
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

    /// Takes what the kernel has to tell, waiting for it until the next timer if `wait`, and wakes those concerned.
    fn poll(&self, wait: bool) -> Result<()> {
        let wait = !self.confirm_drained(wait) && wait;
        let next = self.timers.borrow().first_key_value().map(|((at, _), _)| *at);
        let timeout = if wait {
            next.map(|at| at.saturating_duration_since(Instant::now()))
        } else {
            Some(Duration::ZERO)
        };
        self.ask(timeout)?;
        self.wake_due();
        Ok(())
    }

    pub(super) fn confirm_later(&self, source: &Rc<Source>) {
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

    /// Asks the kernel again if it was not asked a moment ago. Guards against acting on what was so before the thread stood
    /// still: it may have been told of one thing that happened, and be let run again long after others did.
    pub(super) fn catch_up(&self) {
        if self.asked.get().elapsed() >= FRESH {
            while self.ask(Some(Duration::ZERO)).is_ok_and(|told| told == BATCH) {}
        }
    }

    /// Takes what the kernel has to tell within that time, and wakes those concerned. Returns how much that was.
    fn ask(&self, timeout: Option<Duration>) -> Result<usize> {
        let timeout = timeout
            .map(|length| Timespec { tv_sec: length.as_secs() as _, tv_nsec: length.subsec_nanos() as _ });
        let mut events = [const { std::mem::MaybeUninit::uninit() }; BATCH];
        self.asked.set(Instant::now());
        let waited = epoll::wait(&self.epoll, &mut events, timeout.as_ref());
        // Whoever is woken from here on is polled next: guards against a thread_waker that this thread rings for itself.
        self.thread_waker.asleep.store(false, Ordering::SeqCst);
        let told = match waited {
            Ok((told, _)) => told,
            Err(Errno::INTR) => return Ok(0),
            Err(fault) => return Err(fault.into()),
        };
        let count = told.len();
        for event in told {
            let (flags, data) = (event.flags, event.data.u64());
            if data == THREAD_WAKER {
                let _ = rustix::io::read(&self.thread_waker.fd, &mut [0; 8]);
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

    fn wake_due(&self) {
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

/// Runs a future to its end on this thread, with its sockets and timers.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let reactor = Reactor::here()?;
    let thread_waker = reactor.thread_waker.clone();
    let waker = Waker::from(thread_waker.clone());
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        thread_waker.woken.store(false, Ordering::SeqCst);
        if let Poll::Ready(done) = future.as_mut().poll(&mut context) {
            return Ok(done);
        }
        // Guards against a sleep that misses a ring: who rings from now on sees that the thread sleeps.
        thread_waker.asleep.store(true, Ordering::SeqCst);
        let wait = !thread_waker.woken.load(Ordering::SeqCst);
        let polled = reactor.poll(wait);
        thread_waker.asleep.store(false, Ordering::SeqCst);
        polled?;
    }
}
