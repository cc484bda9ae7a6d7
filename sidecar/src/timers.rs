//! The one clock, and the module's timers as a stream of the tokens that fall due.
use crate::reactor::Timer;
use futures_lite::Stream;
use oakhollow::types::{Micros, TimerToken};
use std::collections::BTreeMap;
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

    /// What this clock says at that moment.
    pub fn micros_at(&self, moment: Instant) -> Micros {
        let since = moment.saturating_duration_since(self.started).as_micros() as u64;
        let before = self.started.saturating_duration_since(moment).as_micros() as u64;
        self.unix + Micros(since) - Micros(before)
    }

    pub fn instant_at(&self, at: Micros) -> Instant {
        let since = duration(at - self.unix);
        self.started.checked_add(since).unwrap_or_else(|| self.started + Duration::from_secs(1 << 30))
    }
}

pub struct Timers {
    clock: Clock,
    /// By the millisecond, the latest first once that has come: guards against sorting tens of thousands of which most
    /// concern calls that are over.
    due: BTreeMap<u64, Vec<(Micros, u64, TimerToken)>>,
    now: Vec<(Micros, u64, TimerToken)>,
    set: u64,
    bell: Timer,
}

impl Timers {
    pub fn new(clock: Clock) -> Timers {
        Timers { clock, due: BTreeMap::new(), now: Vec::new(), set: 0, bell: Timer::never() }
    }

    /// Timers of one time fall due in the order in which they were set.
    pub fn set(&mut self, at: Micros, token: TimerToken) {
        self.set += 1;
        self.due.entry(at.0 / 1000).or_default().push((at, self.set, token));
    }
}

impl Timers {
    fn ring_at(&mut self, at: Instant, context: &mut Context) -> Poll<Option<TimerToken>> {
        self.bell.set_at(at);
        if Pin::new(&mut self.bell).poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

impl Stream for Timers {
    type Item = TimerToken;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<TimerToken>> {
        if let Some((_, _, token)) = self.now.pop() {
            return Poll::Ready(Some(token));
        }
        let now = self.clock.now();
        let Some(mut first) = self.due.first_entry() else { return Poll::Pending };
        let begins = Micros(*first.key() * 1000);
        if begins > now {
            let at = self.clock.instant_at(begins);
            return self.ring_at(at, context);
        }
        let millisecond = first.get_mut();
        // Latest first, so that they are taken from the end.
        millisecond.sort_unstable_by(|one, other| other.cmp(one));
        let later = millisecond.partition_point(|(at, ..)| *at > now);
        let due = millisecond.split_off(later);
        let next = millisecond.last().map(|(at, ..)| *at);
        if next.is_none() {
            first.remove();
        }
        if !due.is_empty() {
            self.now = due;
            return self.poll_next(context);
        }
        let Some(at) = next else { return Poll::Pending };
        let at = self.clock.instant_at(at);
        self.ring_at(at, context)
    }
}
