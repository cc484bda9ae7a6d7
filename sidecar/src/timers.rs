//! The process's clock, and the decision module's timers as a stream of the tokens that are due.
use crate::reactor::Timer;
use futures_lite::Stream;
use oakhollow::types::{Micros, TimerToken};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time as a standard duration.
pub fn duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

/// A clock that takes Unix time at the start of the process and counts monotonic time from there: comparable with the
/// start times on the list, and never stepped back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_start: Micros,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix_start: Micros(unix_start.as_micros() as u64) }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix_start + Micros(self.started.elapsed().as_micros() as u64)
    }

    /// The time of this clock at that instant.
    pub fn micros_at(&self, moment: Instant) -> Micros {
        let since = moment.saturating_duration_since(self.started).as_micros() as u64;
        let before = self.started.saturating_duration_since(moment).as_micros() as u64;
        self.unix_start + Micros(since) - Micros(before)
    }

    /// The instant at which this clock has that time; the far future if that can't be represented.
    pub fn instant_at(&self, at: Micros) -> Instant {
        let since = duration(at - self.unix_start);
        self.started.checked_add(since).unwrap_or_else(|| self.started + Duration::from_secs(1 << 30))
    }
}

/// The module's timers; as a stream it yields the tokens that are due.
pub struct Timers {
    clock: Clock,
    /// Timers by the millisecond in which they are due, each with its number in the order of setting. The timers of a
    /// millisecond are sorted, latest first, only once it has begun: tens of thousands may be set, most of them for
    /// requests that are finished by then.
    by_millisecond: BTreeMap<u64, Vec<(Micros, u64, TimerToken)>>,
    /// Timers that are due and not yet yielded, latest first.
    due_now: Vec<(Micros, u64, TimerToken)>,
    /// How many timers have been set so far.
    count: u64,
    alarm: Timer,
}

impl Timers {
    /// No timers yet.
    pub fn new(clock: Clock) -> Timers {
        Timers {
            clock,
            by_millisecond: BTreeMap::new(),
            due_now: Vec::new(),
            count: 0,
            alarm: Timer::never(),
        }
    }

    /// Sets a timer. Timers of the same time fall due in the order in which they were set.
    pub fn set(&mut self, at: Micros, token: TimerToken) {
        self.count += 1;
        self.by_millisecond.entry(at.0 / 1000).or_default().push((at, self.count, token));
    }
}

impl Timers {
    /// Arranges that the task is woken at this time.
    fn wake_at(&mut self, at: Instant, context: &mut Context) -> Poll<Option<TimerToken>> {
        self.alarm.set_at(at);
        if Pin::new(&mut self.alarm).poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        Poll::Pending
    }
}

impl Stream for Timers {
    type Item = TimerToken;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Option<TimerToken>> {
        if let Some((_, _, token)) = self.due_now.pop() {
            return Poll::Ready(Some(token));
        }
        let now = self.clock.now();
        let Some(mut first) = self.by_millisecond.first_entry() else { return Poll::Pending };
        let millisecond_start = Micros(*first.key() * 1000);
        if millisecond_start > now {
            let at = self.clock.instant_at(millisecond_start);
            return self.wake_at(at, context);
        }
        let timers = first.get_mut();
        // Latest first, so that the next one is popped from the end.
        timers.sort_unstable_by(|left, right| right.cmp(left));
        let not_due_count = timers.partition_point(|(at, ..)| *at > now);
        let due = timers.split_off(not_due_count);
        let next_at = timers.last().map(|(at, ..)| *at);
        if next_at.is_none() {
            first.remove();
        }
        if !due.is_empty() {
            self.due_now = due;
            return self.poll_next(context);
        }
        let Some(at) = next_at else { return Poll::Pending };
        let at = self.clock.instant_at(at);
        self.wake_at(at, context)
    }
}
