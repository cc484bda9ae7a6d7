//! Notices when this thread did not run for a while: the process was stopped, its machine was frozen, or it got no
//! processor time. What the thread notices right after such a stall may have happened at any time during it.
use crate::tasks::Tasks;
use crate::timers::Clock;
use async_io::Timer;
use oakhollow::types::Micros;
use slog::{warn, Logger};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the thread records that it runs.
const BEAT_INTERVAL: Duration = Duration::from_millis(50);
/// How much later than due a beat may be on a busy machine. With [`BEAT_INTERVAL`] less than what the platform allows
/// between reading a clock and writing, 150 ms.
const BEAT_TOLERANCE: Duration = Duration::from_millis(25);
/// How long after a stall something may be noticed that happened during it.
const NOTICE_TIME: Duration = Duration::from_millis(50);
/// Stalls of at least this length are logged.
const LOGGED_STALL: Duration = Duration::from_millis(200);

/// After a stall, how long the thread has to handle what came meanwhile before it says that it is up to date again.
const CATCH_UP_TIME: Duration = Duration::from_millis(10);
/// The thread counts as up to date for this long after it last said so.
const CURRENT_FOR: Micros = Micros::millis(200);

/// A time during which the thread did not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Stall {
    /// The last time before it at which the thread is known to have run.
    pub from: Instant,
    /// When the thread ran again.
    pub until: Instant,
}

/// The times at which the thread recorded that it runs, as far as they are needed.
#[derive(Clone, Copy, Debug)]
pub struct Beats {
    last: Instant,
    latest_stall: Option<Stall>,
}

impl Beats {
    /// A thread that has run up to now.
    pub fn start(now: Instant) -> Beats {
        Beats { last: now, latest_stall: None }
    }

    /// The stall that would end if a beat came now.
    fn stall_until(&self, now: Instant) -> Option<Stall> {
        let is_late = now.saturating_duration_since(self.last) > BEAT_INTERVAL + BEAT_TOLERANCE;
        is_late.then_some(Stall { from: self.last, until: now })
    }

    /// Records a beat, and returns the stall that it ends, if any.
    pub fn beat(&mut self, now: Instant) -> Option<Stall> {
        let stall = self.stall_until(now);
        self.latest_stall = stall.or(self.latest_stall);
        self.last = now;
        stall
    }

    /// See [`StallDetector::earliest_occurrence`].
    pub fn earliest_occurrence(&self, noticed_at: Instant) -> Instant {
        let is_recent = |stall: &Stall| noticed_at.saturating_duration_since(stall.until) <= NOTICE_TIME;
        let stall = self.stall_until(noticed_at).or(self.latest_stall.filter(is_recent));
        stall.map_or(noticed_at, |stall| stall.from)
    }
}

/// Tells other threads whether the watched thread is up to date: whether it runs, and has had the time to handle what
/// came while it did not.
#[derive(Clone)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// The progress of a thread that is not watched yet, which counts as up to date.
    pub fn not_watched() -> Progress {
        Progress(Arc::new(AtomicU64::new(Micros::NEVER.0)))
    }

    /// Records that the thread is up to date at this time.
    pub fn record(&self, now: Micros) {
        self.0.store(now.0, Ordering::Release);
    }

    /// Whether the thread is up to date at this time.
    pub fn is_current(&self, now: Micros) -> bool {
        now - Micros(self.0.load(Ordering::Acquire)) <= CURRENT_FOR
    }
}

/// Watches the thread that it was started on.
#[derive(Clone)]
pub struct StallDetector(Rc<Cell<Beats>>);

impl StallDetector {
    /// Starts to watch the thread that runs `tasks`, and to record its progress.
    pub fn start(tasks: &Tasks, progress: Progress, clock: Clock, log: Logger) -> StallDetector {
        let detector = StallDetector(Rc::new(Cell::new(Beats::start(Instant::now()))));
        tasks.spawn_detached(detector.clone().run(progress, clock, log));
        detector
    }

    async fn run(self, progress: Progress, clock: Clock, log: Logger) {
        loop {
            Timer::after(BEAT_INTERVAL).await;
            let mut beats = self.0.get();
            let stall = beats.beat(Instant::now());
            self.0.set(beats);
            let stalled = stall.map_or(Duration::ZERO, |stall| stall.until - stall.from);
            if stalled >= LOGGED_STALL {
                warn!(log, "the process did not run for {} ms", stalled.as_millis());
                Timer::after(CATCH_UP_TIME).await;
            }
            progress.record(clock.now());
        }
    }

    /// The earliest time at which something may have happened that the thread notices at `noticed_at`: the beginning of
    /// the stall that has just ended, or else `noticed_at` itself.
    pub fn earliest_occurrence(&self, noticed_at: Instant) -> Instant {
        self.0.get().earliest_occurrence(noticed_at)
    }
}
