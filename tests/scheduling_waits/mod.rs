//! How long threads have waited for a processor: time that a busy machine takes, and not the program under test.
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// How long each thread of a process has waited for a processor so far, as the kernel counts it.
pub fn scheduling_waits(pid: u32) -> BTreeMap<PathBuf, Duration> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).expect("a running process");
    let waits = tasks.filter_map(|task| {
        let path = task.ok()?.path();
        // Three fields: time running, time waiting for a processor (both in nanoseconds), and time slices.
        let schedstat = std::fs::read_to_string(path.join("schedstat")).ok()?;
        Some((path, Duration::from_nanos(schedstat.split(' ').nth(1)?.parse().ok()?)))
    });
    waits.collect()
}
