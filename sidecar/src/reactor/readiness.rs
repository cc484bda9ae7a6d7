//! The readiness of one socket, and the tasks that wait for it.
use rustix::event::epoll::EventFlags;
use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

/// The readiness of one socket.
pub(super) struct Source {
    pub(super) slot: Cell<usize>,
    pub(super) number: u64,
    pub(super) reads: Direction,
    pub(super) writes: Direction,
    /// Whether the last read was short and no event has come since. There may still be more to read.
    pub(super) unconfirmed: Cell<bool>,
    /// Whether it is queued to be read again for that reason.
    pub(super) queued: Cell<bool>,
    /// When the bytes came that are unread, or were read since the socket was last seen empty.
    pub(super) arrival: Cell<Arrival>,
    /// The peer has shut down its side, or the connection is broken: from now on reads return at once.
    pub(super) ended: Cell<bool>,
    /// The task that waits for the end, which need not have read everything before it.
    pub(super) end_waker: Cell<Option<Waker>>,
}

/// What the events of a socket tell of when its bytes came.
#[derive(Clone, Copy, Default)]
pub(super) enum Arrival {
    /// No bytes have been reported yet.
    #[default]
    NotReported,
    /// They may have come before the socket was registered.
    Unknown,
    /// They came after this time.
    After(Instant),
}

impl Arrival {
    /// What is known after an event, which happened after `since` and reports bytes of a socket that was empty.
    fn next(self, since: Instant) -> Arrival {
        match self {
            Arrival::NotReported => Arrival::Unknown,
            Arrival::Unknown | Arrival::After(_) => Arrival::After(since),
        }
    }

    /// The time after which the bytes came, if it is known.
    pub(super) fn earliest(self) -> Option<Instant> {
        match self {
            Arrival::After(since) => Some(since),
            Arrival::NotReported | Arrival::Unknown => None,
        }
    }
}

/// How many operations in each direction a socket may perform between two polls of the kernel. Guards against one peer at
/// full speed whose task finds its socket ready whenever it looks, and so keeps others from being heard of.
const MAX_OPERATIONS_PER_TURN: u32 = 4;

/// The state of reading or of writing: whether it may be tried, and the task that waits for it.
pub(super) struct Direction {
    pub(super) ready: Cell<bool>,
    pub(super) waker: Cell<Option<Waker>>,
    /// The last turn of the reactor in which an operation was performed, and how many were in it.
    performed: Cell<(u64, u32)>,
}

impl Direction {
    pub(super) fn new(ready: bool) -> Direction {
        Direction { ready: Cell::new(ready), waker: Cell::default(), performed: Cell::default() }
    }

    pub(super) fn set_ready(&self) {
        self.ready.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    pub(super) fn store_waker(&self, context: &Context) {
        let waker = match self.waker.take() {
            Some(waker) if waker.will_wake(context.waker()) => waker,
            _ => context.waker().clone(),
        };
        self.waker.set(Some(waker));
    }

    /// Whether one more operation may be performed in this turn of the reactor, and if so counts it.
    pub(super) fn may_perform(&self, turn: u64) -> bool {
        let performed = match self.performed.get() {
            (last_turn, count) if last_turn == turn => count,
            _ => 0,
        };
        let may_perform = performed < MAX_OPERATIONS_PER_TURN;
        if may_perform {
            self.performed.set((turn, performed + 1));
        }
        may_perform
    }

    /// Performs an I/O operation when ready. If it would block, waits for readiness.
    pub(super) fn poll<R>(
        &self, context: &Context, mut operation: impl FnMut() -> Result<R>,
    ) -> Poll<Result<R>> {
        loop {
            if !self.ready.get() {
                self.store_waker(context);
                return Poll::Pending;
            }
            match operation() {
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.ready.set(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                done => return Poll::Ready(done),
            }
        }
    }
}

impl Source {
    /// Records the end of the connection, and wakes the task that waits for it.
    pub(super) fn set_ended(&self) {
        self.ended.set(true);
        if let Some(waker) = self.end_waker.take() {
            waker.wake();
        }
    }

    /// Applies an event of the kernel, which happened after `since`.
    pub(super) fn on_event(&self, flags: EventFlags, since: Instant) {
        if flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            self.set_ended();
        }
        if flags.intersects(EventFlags::IN | EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            self.unconfirmed.set(false);
            if !self.reads.ready.get() {
                self.arrival.set(self.arrival.get().next(since));
            }
            self.reads.set_ready();
        }
        if flags.intersects(EventFlags::OUT | EventFlags::HUP | EventFlags::ERR) {
            self.writes.set_ready();
        }
    }
}
