//! The event loop of a thread: polls the kernel for readiness, and wakes the tasks that wait for sockets and timers.
use super::readiness::{Direction, Source};
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

/// How many events are taken from the kernel at a time.
const EVENT_BATCH: usize = 256;
/// Events polled no longer ago than this count as current.
pub(super) const MAX_EVENT_AGE: Duration = Duration::from_millis(10);
/// On a thread that is never idle: how long a socket waits after a short read until it is tried again without an event.
const RECHECK_AFTER: Duration = Duration::from_millis(1);
/// The epoll key of the thread's waker.
const THREAD_WAKER_KEY: u64 = u64::MAX;

thread_local! {
    static REACTOR: RefCell<Option<Rc<Reactor>>> = const { RefCell::new(None) };
}

/// The sockets and timers of a thread.
pub(super) struct Reactor {
    pub(super) epoll: OwnedFd,
    pub(super) sources: RefCell<Slab<Rc<Source>>>,
    pub(super) timers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    /// How often the kernel has been polled.
    turn: Cell<u64>,
    /// The tasks that wait until it is polled again.
    waiting_for_turn: RefCell<Vec<Waker>>,
    /// The next number for a source or timer, so that none is taken for another.
    next_number: Cell<u64>,
    /// When the kernel was last polled. The known readiness may be as old as that.
    polled_at: Cell<Instant>,
    /// Sockets that wait for more after a short read, and since when.
    pub(super) unconfirmed: RefCell<Vec<(Instant, Rc<Source>)>>,
    thread_waker: Arc<ThreadWaker>,
}

/// Wakes the thread, also from other threads.
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
        // A thread that is not asleep in the kernel sees the flag by itself.
        if !self.woken.swap(true, Ordering::SeqCst) && self.asleep.load(Ordering::SeqCst) {
            let _ = rustix::io::write(&self.fd, &1_u64.to_ne_bytes());
        }
    }
}

impl Reactor {
    /// The reactor of this thread.
    pub(super) fn current() -> Result<Rc<Reactor>> {
        REACTOR.with_borrow_mut(|reactor| match reactor {
            Some(reactor) => Ok(reactor.clone()),
            None => {
                let created = Rc::new(Reactor::new()?);
                *reactor = Some(created.clone());
                Ok(created)
            }
        })
    }

    pub(super) fn new() -> Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(&epoll, &fd, EventData::new_u64(THREAD_WAKER_KEY), EventFlags::IN)?;
        let thread_waker = ThreadWaker { woken: AtomicBool::new(false), asleep: AtomicBool::new(false), fd };
        Ok(Reactor {
            epoll,
            sources: RefCell::default(),
            timers: RefCell::default(),
            turn: Cell::new(0),
            waiting_for_turn: RefCell::default(),
            next_number: Cell::new(0),
            polled_at: Cell::new(Instant::now()),
            unconfirmed: RefCell::default(),
            thread_waker: Arc::new(thread_waker),
        })
    }

    pub(super) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Registers a socket, which counts as writable at first if `writable`.
    pub(super) fn register(&self, fd: impl AsFd, writable: bool) -> Result<Rc<Source>> {
        let source = Rc::new(Source {
            slot: Cell::new(0),
            number: self.next_number() & 0xFFFF_FFFF,
            // Not readable at first: the next poll reports available bytes, and also whether the peer has gone.
            reads: Direction::new(false),
            writes: Direction::new(writable),
            unconfirmed: Cell::new(false),
            queued: Cell::new(false),
            arrival: Cell::default(),
            ended: Cell::new(false),
            end_waker: Cell::default(),
        });
        let slot = self.sources.borrow_mut().insert(source.clone());
        source.slot.set(slot);
        let data = EventData::new_u64(source.number << 32 | slot as u64);
        let flags = EventFlags::IN | EventFlags::OUT | EventFlags::RDHUP | EventFlags::ET;
        if let Err(error) = epoll::add(&self.epoll, fd, data, flags) {
            self.sources.borrow_mut().remove(slot);
            return Err(error.into());
        }
        Ok(source)
    }

    /// Polls the kernel, waiting for events until the next timer if `wait`, and wakes the tasks concerned.
    fn poll(&self, wait: bool) -> Result<()> {
        let wait = !self.recheck_unconfirmed(wait) && wait && self.waiting_for_turn.borrow().is_empty();
        let next_timer = self.timers.borrow().first_key_value().map(|((at, _), _)| *at);
        let timeout = if wait {
            next_timer.map(|at| at.saturating_duration_since(Instant::now()))
        } else {
            Some(Duration::ZERO)
        };
        self.poll_events(timeout)?;
        self.wake_expired_timers();
        self.turn.set(self.turn.get() + 1);
        // Woken last, so that the tasks with events come before those that only go on.
        self.waiting_for_turn.take().into_iter().for_each(Waker::wake);
        Ok(())
    }

    /// The number of the current turn: it changes each time the kernel is polled.
    pub(super) fn turn(&self) -> u64 {
        self.turn.get()
    }

    /// Wakes the task after the kernel has been polled the next time.
    pub(super) fn wake_next_turn(&self, context: &Context) {
        self.waiting_for_turn.borrow_mut().push(context.waker().clone());
    }

    /// Queues a socket for [`Reactor::recheck_unconfirmed`].
    pub(super) fn recheck_later(&self, source: &Rc<Source>) {
        if !source.queued.replace(true) {
            self.unconfirmed.borrow_mut().push((self.polled_at.get(), source.clone()));
        }
    }

    /// Marks sockets as readable that wait for more after a short read: all of them before the thread sleeps,
    /// otherwise those that have waited for [`RECHECK_AFTER`]. Returns whether any was marked. Guards against bytes
    /// for which no event comes, since a read may be short although there is more. The recheck is delayed because a
    /// socket that gets a new event in the meantime needs none.
    fn recheck_unconfirmed(&self, sleeps: bool) -> bool {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        if unconfirmed.is_empty() {
            return false;
        }
        let (now, mut any) = (self.polled_at.get(), false);
        unconfirmed.retain(|(since, source)| {
            let due = sleeps || now.saturating_duration_since(*since) >= RECHECK_AFTER;
            if due {
                source.queued.set(false);
            }
            if due && source.unconfirmed.replace(false) {
                any = true;
                source.reads.set_ready();
            }
            !due
        });
        any
    }

    /// Polls the kernel again unless it was polled a moment ago. Guards against acting on outdated readiness after
    /// the thread was suspended: the events of the last poll may be followed by others that it does not know of.
    pub(super) fn refresh(&self) {
        if self.polled_at.get().elapsed() >= MAX_EVENT_AGE {
            while self.poll_events(Some(Duration::ZERO)).is_ok_and(|count| count == EVENT_BATCH) {}
        }
    }

    /// Takes a batch of events, waiting for `timeout` at most, and wakes the tasks concerned. Returns how many
    /// events it was.
    fn poll_events(&self, timeout: Option<Duration>) -> Result<usize> {
        let timeout = timeout
            .map(|length| Timespec { tv_sec: length.as_secs() as _, tv_nsec: length.subsec_nanos() as _ });
        let mut events = [const { std::mem::MaybeUninit::uninit() }; EVENT_BATCH];
        // Events that this poll reports have happened since the previous one began.
        let since = self.polled_at.replace(Instant::now());
        let waited = epoll::wait(&self.epoll, &mut events, timeout.as_ref());
        // Tasks woken from here on are polled next: guards against writing to this thread's own eventfd.
        self.thread_waker.asleep.store(false, Ordering::SeqCst);
        let ready = match waited {
            Ok((ready, _)) => ready,
            Err(Errno::INTR) => return Ok(0),
            Err(error) => return Err(error.into()),
        };
        let count = ready.len();
        for event in ready {
            let (flags, data) = (event.flags, event.data.u64());
            if data == THREAD_WAKER_KEY {
                let _ = rustix::io::read(&self.thread_waker.fd, &mut [0; 8]);
                continue;
            }
            // Guards against waking a socket that took the slot of one that is closed by now.
            let source = self.sources.borrow().get(data as u32 as usize).cloned();
            if let Some(source) = source.filter(|source| source.number == data >> 32) {
                source.on_event(flags, since);
            }
        }
        Ok(count)
    }

    /// Wakes the tasks whose timers have expired.
    fn wake_expired_timers(&self) {
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

/// Runs a future to completion on this thread, with the thread's sockets and timers.
pub fn block_on<T>(future: impl Future<Output = T>) -> Result<T> {
    let reactor = Reactor::current()?;
    let thread_waker = reactor.thread_waker.clone();
    let waker = Waker::from(thread_waker.clone());
    let mut context = Context::from_waker(&waker);
    let mut future = pin!(future);
    loop {
        thread_waker.woken.store(false, Ordering::SeqCst);
        if let Poll::Ready(done) = future.as_mut().poll(&mut context) {
            return Ok(done);
        }
        // Set before `woken` is read: guards against a sleep that misses a wake-up, since from now on a waker sees that
        // the thread sleeps.
        thread_waker.asleep.store(true, Ordering::SeqCst);
        let wait = !thread_waker.woken.load(Ordering::SeqCst);
        let polled = reactor.poll(wait);
        thread_waker.asleep.store(false, Ordering::SeqCst);
        polled?;
    }
}
