//! Points in time to wait for, on one thread.
use super::poll::Reactor;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A point in time to wait for, on this thread. The kernel rounds up to whole milliseconds.
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
