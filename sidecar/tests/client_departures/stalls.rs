//! Measures stalls: times in which a thread of the test or the program's worker was ready to run but got no processor.
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The interval at which threads of the test check whether they run in time.
pub const TICK: Duration = Duration::from_millis(1);
/// A wake-up that is late by no more than this does not count as a stall.
const USUAL_DELAY: Duration = Duration::from_millis(2);

/// Spans in which a thread of the test ran late.
#[derive(Default)]
pub struct Stalls(Mutex<Vec<(Instant, Instant)>>);

impl Stalls {
    /// Records something that was due at `due` and ran at `ran_at`.
    pub fn record(&self, due: Instant, ran_at: Instant) {
        if ran_at > due + USUAL_DELAY {
            self.0.lock().expect("stalls").push((due, ran_at));
        }
    }

    /// How much of a time span lies within stalls. Overlapping stalls count once.
    fn stalled_within(&self, from: Instant, to: Instant) -> Duration {
        let mut stalls = self.0.lock().expect("stalls").clone();
        stalls.sort_unstable();
        let (mut counted_until, mut sum) = (from, Duration::ZERO);
        for (due, ran_at) in stalls {
            sum += ran_at.min(to).saturating_duration_since(due.max(counted_until));
            counted_until = counted_until.max(ran_at);
        }
        sum
    }
}

/// A thread that runs during a case. It wakes each millisecond, and records its own late wake-ups and how long the
/// program's worker has waited for a processor, as the kernel counts it.
pub struct Probe {
    pub stalls: Arc<Stalls>,
    processor_waits: Arc<Mutex<Vec<(Instant, Duration)>>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Probe {
    pub fn start(program: u32, stalls: Arc<Stalls>) -> Probe {
        let mut probe =
            Probe { stalls, processor_waits: Arc::default(), stopped: Arc::default(), thread: None };
        let (stalls, processor_waits, stopped) =
            (probe.stalls.clone(), probe.processor_waits.clone(), probe.stopped.clone());
        let file = worker_schedstat(program);
        probe.thread = Some(thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let due = Instant::now() + TICK;
                thread::sleep(TICK);
                stalls.record(due, Instant::now());
                // Three fields: time running, time waiting for a processor (both in nanoseconds), and time slices.
                let text = file.as_ref().and_then(|file| fs::read_to_string(file).ok());
                let waited = text.and_then(|text| text.split(' ').nth(1)?.parse().ok());
                let waited = Duration::from_nanos(waited.unwrap_or(0));
                processor_waits.lock().expect("waits").push((Instant::now(), waited));
            }
        }));
        probe
    }

    /// An upper bound for how much of a time span the test or the program was stalled.
    pub fn stalled(&self, from: Instant, to: Instant) -> Duration {
        let processor_waits = self.processor_waits.lock().expect("waits");
        let (before, after) = (
            processor_waits.partition_point(|(at, _)| *at <= from),
            processor_waits.partition_point(|(at, _)| *at < to),
        );
        let waited_until = |index: usize| {
            processor_waits.get(index.min(processor_waits.len().saturating_sub(1))).map(|(_, waited)| *waited)
        };
        let waited = waited_until(after).zip(waited_until(before.saturating_sub(1)));
        let waited = waited.map_or(Duration::ZERO, |(after, before)| after.saturating_sub(before));
        self.stalls.stalled_within(from, to) + waited
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The file in which the kernel reports how long the program's one worker has waited for a processor, if there is one.
fn worker_schedstat(program: u32) -> Option<std::path::PathBuf> {
    let tasks = fs::read_dir(format!("/proc/{program}/task")).ok()?.flatten();
    let thread_name = |path: &std::path::Path| fs::read_to_string(path.join("comm")).ok();
    let worker =
        tasks.map(|task| task.path()).find(|path| thread_name(path).is_some_and(|name| name == "worker 0\n"));
    Some(worker?.join("schedstat"))
}

#[test]
fn overlapping_stalls_count_once_and_those_outside_the_span_not_at_all() {
    let (stalls, begun) = (Stalls::default(), Instant::now());
    let after_ms = |ms| begun + Duration::from_millis(ms);
    for (due, ran_at) in [(30, 60), (10, 40), (80, 95), (200, 300), (50, 51)] {
        stalls.record(after_ms(due), after_ms(ran_at));
    }
    assert_eq!(stalls.stalled_within(after_ms(0), after_ms(90)), Duration::from_millis(60));
    assert_eq!(stalls.stalled_within(after_ms(100), after_ms(200)), Duration::ZERO);
}
