//! The timers of a thread.
use super::poll::Reactor;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A future that is ready at a point in time. The kernel rounds waiting times up to whole milliseconds.
pub struct Timer {
    at: Option<Instant>,
    /// The key under which it is registered in the reactor, if it is.
    registered: Option<(Instant, u64)>,
    reactor: Option<Rc<Reactor>>,
}

impl Timer {
    /// A timer that is never ready.
    pub fn never() -> Timer {
        Timer { at: None, registered: None, reactor: None }
    }

    /// A timer that is ready at this time.
    pub fn at(at: Instant) -> Timer {
        Timer { at: Some(at), registered: None, reactor: None }
    }

    /// A timer that is ready after this time.
    pub fn after(length: Duration) -> Timer {
        Timer { at: Instant::now().checked_add(length), registered: None, reactor: None }
    }

    /// Moves the timer. One moved to a later time stays registered at the earlier one and is checked again then: guards
    /// against the cost of moving a timer that hardly ever fires.
    pub fn set_at(&mut self, at: Instant) {
        if self.registered.is_some_and(|(registered_at, _)| registered_at > at) {
            self.deregister();
        }
        self.at = Some(at);
    }

    fn deregister(&mut self) {
        if let (Some(key), Some(reactor)) = (self.registered.take(), &self.reactor) {
            reactor.timers.borrow_mut().remove(&key);
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.deregister();
    }
}

impl Future for Timer {
    type Output = Instant;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Instant> {
        let Some(at) = self.at else { return Poll::Pending };
        let now = Instant::now();
        if now >= at {
            self.deregister();
            return Poll::Ready(now);
        }
        if self.reactor.is_none() {
            // If creating the reactor fails, creating the thread's first socket has failed already.
            self.reactor = Reactor::current().ok();
        }
        let Some(reactor) = self.reactor.clone() else { return Poll::Pending };
        if self.registered.is_some_and(|(registered_at, _)| registered_at <= now) {
            self.deregister();
        }
        let key = *self.registered.get_or_insert_with(|| (at, reactor.next_number()));
        let mut timers = reactor.timers.borrow_mut();
        match timers.get(&key) {
            Some(waker) if waker.will_wake(context.waker()) => {}
            _ => _ = timers.insert(key, context.waker().clone()),
        }
        Poll::Pending
    }
}
