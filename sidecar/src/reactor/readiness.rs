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
    /// Bytes that are unread, or were read since the socket was last seen empty, came after this time; none if they may
    /// have come before the socket was registered.
    pub(super) unread_since: Cell<Option<Instant>>,
    /// Whether bytes have been reported since the socket was registered.
    pub(super) had_bytes: Cell<bool>,
    /// The peer has shut down its side, or the connection is broken: from now on reads return at once.
    pub(super) ended: Cell<bool>,
    /// The task that waits for the end, which need not have read everything before it.
    pub(super) end_waker: Cell<Option<Waker>>,
}

/// The state of reading or of writing: whether it may be tried, and the task that waits for it.
pub(super) struct Direction {
    pub(super) ready: Cell<bool>,
    pub(super) waker: Cell<Option<Waker>>,
}

impl Direction {
    pub(super) fn new(ready: bool) -> Direction {
        Direction { ready: Cell::new(ready), waker: Cell::default() }
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
            if !self.reads.ready.get() && self.had_bytes.replace(true) {
                self.unread_since.set(Some(since));
            }
            self.reads.set_ready();
        }
        if flags.intersects(EventFlags::OUT | EventFlags::HUP | EventFlags::ERR) {
            self.writes.set_ready();
        }
    }
}
