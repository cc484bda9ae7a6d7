//! Processor time, memory and descriptors of a process, read from `/proc`.
use std::fs;

/// The resources that a process has used so far.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
    pub descriptors: usize,
}

/// Resident memory in bytes; `None` if there is no such process.
pub fn resident(process: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

impl Usage {
    pub fn of(process: u32) -> Option<Usage> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
        Some(Usage { cpu_s: cpu_s(&stat)?, resident: resident(process)?, descriptors })
    }
}

/// User and system time in seconds, from a line of `/proc/PID/stat`.
///
/// ```
/// let line = "7 (odd ) name) S 1 7 7 0 -1 4194560 100 0 0 0 250 50 0 0 20 0 1 0 100 1000 100";
/// let ticks = rustix::param::clock_ticks_per_second() as f64;
/// assert_eq!(oakhollow_lab::scale::usage::cpu_s(line), Some(300.0 / ticks));
/// ```
pub fn cpu_s(stat: &str) -> Option<f64> {
    // The process name may contain any character, and ends at the last closing bracket.
    let mut fields = stat.rsplit_once(')')?.1.split_ascii_whitespace();
    let user: u64 = fields.nth(11)?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some((user + system) as f64 / rustix::param::clock_ticks_per_second() as f64)
}
