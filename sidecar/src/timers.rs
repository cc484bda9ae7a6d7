//! The one clock, and the module's timers as a stream of the tokens that fall due.
use crate::reactor::Timer;
use futures_lite::Stream;
use oakhollow::types::{Micros, Token};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn duration(length: Micros) -> Duration {
    Duration::from_micros(length.0)
}

/// Unix time when the sidecar started, and monotonic time from there: it suits the list's start times and never
/// goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: Micros(unix.as_micros() as u64) }
    }

    pub fn now(&self) -> Micros {
        self.unix + Micros(self.started.elapsed().as_micros() as u64)
    }

    pub fn instant(&self, at: Micros) -> Instant {
        let since = duration(at - self.unix);
        self.started.checked_add(since).unwrap_or_else(|| self.started + Duration::from_secs(1 << 30))
    }
}

pub struct Timers {
    clock: Clock,
    due: BinaryHeap<Reverse<(Micros, u64, Token)>>,
    set: u64,
    bell: Timer,
}

impl Timers {
    pub fn new(clock: Clock) -> Timers {
        Timers { clock, due: BinaryHeap::new(), set: 0, bell: Timer::never() }
    }

    /// Timers of one time fall due in the order in which they were set.
    pub fn set(&mut self, at: Micros, token: Token) {
        self.set += 1;
        self.due.push(Reverse((at, self.set, token)));
    }
}

impl Stream for Timers {
    type Item = Token;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<Token>> {
        let Some(&Reverse((at, _, token))) = self.due.peek() else { return Poll::Pending };
        if at <= self.clock.now() {
            self.due.pop();
            return Poll::Ready(Some(token));
        }
        let at = self.clock.instant(at);
        self.bell.set_at(at);
        match Pin::new(&mut self.bell).poll(context) {
            Poll::Ready(_) => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Pending => Poll::Pending,
        }
    }
}
