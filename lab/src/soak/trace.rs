//! What led to a finding: the signals, pauses and other events of its process, and its log lines, from the seconds
//! before it.
use super::checker::Finding;
use super::records::{ProcessId, Records};
use crate::harness::lock;
use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// How far back a trace goes, in seconds.
const TRACED_S: f64 = 5.0;
/// How long after a finding a line still belongs to its trace, in seconds.
const AFTER_S: f64 = 0.2;
/// Log lines that are printed of one trace, the newest ones.
const MAX_LOG_LINES: usize = 60;
/// The wall clock of a process may be off by whole hours, so its log lines are placed by their time within the hour.
const HOUR_S: f64 = 3_600.0;

/// The logs of all processes after a run, and the wall-clock time at which the records began.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Logs {
    /// The whole log of each process.
    pub by_process: BTreeMap<ProcessId, String>,
    /// The wall-clock time at which the records began, in seconds since the Unix epoch.
    pub records_began_s: f64,
}

impl Logs {
    /// Logs of a run whose records count from `records`' start.
    pub fn new(by_process: BTreeMap<ProcessId, String>, records: &Records) -> Logs {
        let unix_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Logs { by_process, records_began_s: unix_s - records.now() }
    }

    /// When a line was logged, in seconds since the records began, if that is within half an hour of `near`. None if it
    /// does not begin with a time.
    pub fn time_of(&self, line: &str, near: f64) -> Option<f64> {
        let clock = line.split(' ').nth(2)?;
        let mut fields = clock.split(':').skip(1);
        let (minutes, seconds): (f64, f64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
        let near_unix_s = self.records_began_s + near;
        let offset = (60.0 * minutes + seconds - near_unix_s).rem_euclid(HOUR_S);
        Some(near + if offset > HOUR_S / 2.0 { offset - HOUR_S } else { offset })
    }
}

/// The events and log lines of the finding's process from the [`TRACED_S`] before it, a line each. Empty if the finding
/// has no process or no time.
pub fn trace(finding: &Finding, records: &Records, logs: &Logs) -> String {
    let Some(at) = finding.at else { return String::new() };
    let mut text = String::new();
    let is_traced = |time: f64| (at - TRACED_S..at + AFTER_S).contains(&time);
    for (time, process, event) in lock(&records.events).iter() {
        if *process == finding.process && is_traced(*time) {
            text += &format!("      {time:.3} s {event:?}\n");
        }
    }
    let log = logs.by_process.get(&finding.process).map_or("", String::as_str);
    let lines: Vec<(f64, &str)> = log
        .lines()
        .filter_map(|line| Some((logs.time_of(line, at)?, line)))
        .filter(|(time, _)| is_traced(*time))
        .collect();
    for (time, line) in &lines[lines.len().saturating_sub(MAX_LOG_LINES)..] {
        text += &format!("      {time:.3} s log: {line}\n");
    }
    text
}
