//! What the machine itself adds: times in which the rig, or the program's thread, wanted to run and was not let.
use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const TICK: Duration = Duration::from_millis(1);
/// A wake so much late is usual.
const USUAL: Duration = Duration::from_millis(2);

/// Spans in which something of the rig ran late.
#[derive(Default)]
pub struct Stalls(Mutex<Vec<(Instant, Instant)>>);

impl Stalls {
    /// Something due at `due` came at `came`.
    pub fn note(&self, due: Instant, came: Instant) {
        if came > due + USUAL {
            self.0.lock().expect("stalls").push((due, came));
        }
    }

    /// How much of a span lies in any of them.
    fn within(&self, from: Instant, to: Instant) -> Duration {
        let mut stalls = self.0.lock().expect("stalls").clone();
        stalls.sort_unstable();
        let (mut counted, mut sum) = (from, Duration::ZERO);
        for (due, came) in stalls {
            sum += came.min(to).saturating_duration_since(due.max(counted));
            counted = counted.max(came);
        }
        sum
    }
}

/// Runs beside a play: a thread that wants to wake each millisecond, and the time that the program's worker has waited for a
/// processor, as the machine counts it.
pub struct Probe {
    pub stalls: Arc<Stalls>,
    waits: Arc<Mutex<Vec<(Instant, Duration)>>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Probe {
    pub fn start(program: u32, stalls: Arc<Stalls>) -> Probe {
        let mut probe = Probe { stalls, waits: Arc::default(), over: Arc::default(), thread: None };
        let (stalls, waits, over) = (probe.stalls.clone(), probe.waits.clone(), probe.over.clone());
        let file = waits_of(program);
        probe.thread = Some(thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let due = Instant::now() + TICK;
                thread::sleep(TICK);
                stalls.note(due, Instant::now());
                // Runs, waits, turns: the second, in nanoseconds.
                let told = file.as_ref().and_then(|file| fs::read_to_string(file).ok());
                let waited = told.and_then(|told| told.split(' ').nth(1)?.parse().ok());
                let waited = Duration::from_nanos(waited.unwrap_or(0));
                waits.lock().expect("waits").push((Instant::now(), waited));
            }
        }));
        probe
    }

    /// How much of a span the machine took, at the most.
    pub fn took(&self, from: Instant, to: Instant) -> Duration {
        let waits = self.waits.lock().expect("waits");
        let (before, after) =
            (waits.partition_point(|(at, _)| *at <= from), waits.partition_point(|(at, _)| *at < to));
        let at =
            |index: usize| waits.get(index.min(waits.len().saturating_sub(1))).map(|(_, waited)| *waited);
        let waited = at(after).zip(at(before.saturating_sub(1)));
        let waited = waited.map_or(Duration::ZERO, |(after, before)| after.saturating_sub(before));
        self.stalls.within(from, to) + waited
    }
}

impl Drop for Probe {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Where the machine tells how long the program's one worker has waited, if it does.
fn waits_of(program: u32) -> Option<std::path::PathBuf> {
    let tasks = fs::read_dir(format!("/proc/{program}/task")).ok()?.flatten();
    let named = |path: &std::path::Path| fs::read_to_string(path.join("comm")).ok();
    let worker =
        tasks.map(|task| task.path()).find(|path| named(path).is_some_and(|name| name == "worker 0\n"));
    Some(worker?.join("schedstat"))
}

#[test]
fn a_stall_seen_twice_counts_once_and_one_outside_the_span_not_at_all() {
    let (stalls, begun) = (Stalls::default(), Instant::now());
    let at = |length| begun + Duration::from_millis(length);
    for (due, came) in [(30, 60), (10, 40), (80, 95), (200, 300), (50, 51)] {
        stalls.note(at(due), at(came));
    }
    assert_eq!(stalls.within(at(0), at(90)), Duration::from_millis(60));
    assert_eq!(stalls.within(at(100), at(200)), Duration::ZERO);
}
