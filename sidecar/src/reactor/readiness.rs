//! What is known of one socket's readiness, and who waits for more.
use rustix::event::epoll::EventFlags;
use std::cell::Cell;
use std::io::{ErrorKind, Result};
use std::task::{Context, Poll, Waker};

/// What is known of one socket's readiness, and who waits for more.
pub(super) struct Source {
    pub(super) slot: Cell<usize>,
    pub(super) number: u64,
    pub(super) reads: Side,
    pub(super) writes: Side,
    /// The last read left room, and nothing has been told since: there may be more all the same.
    pub(super) unconfirmed: Cell<bool>,
    /// It is among those that are tried again for that.
    pub(super) listed: Cell<bool>,
    /// The other side has ended its sending, or the connection is broken: reads tell at once, from now on.
    pub(super) ended: Cell<bool>,
    /// Who waits for that, whatever is still to be read before it.
    pub(super) end_awaited: Cell<Option<Waker>>,
}

/// Reading or writing: whether it may be tried, and who waits for that.
pub(super) struct Side {
    pub(super) ready: Cell<bool>,
    pub(super) waiting: Cell<Option<Waker>>,
}

impl Side {
    pub(super) fn new(ready: bool) -> Side {
        Side { ready: Cell::new(ready), waiting: Cell::default() }
    }

    pub(super) fn told(&self) {
        self.ready.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    pub(super) fn wait(&self, context: &Context) {
        let waker = match self.waiting.take() {
            Some(waker) if waker.will_wake(context.waker()) => waker,
            _ => context.waker().clone(),
        };
        self.waiting.set(Some(waker));
    }

    /// Tries `work` until it does not block any more, waiting to be ready between.
    pub(super) fn poll<R>(&self, context: &Context, mut work: impl FnMut() -> Result<R>) -> Poll<Result<R>> {
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

impl Source {
    pub(super) fn end(&self) {
        self.ended.set(true);
        if let Some(waker) = self.end_awaited.take() {
            waker.wake();
        }
    }

    pub(super) fn told(&self, flags: EventFlags) {
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
