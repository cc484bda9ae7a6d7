//! The printed report of a soak run.
use super::checker::Verdict;
use super::disruption::Disruption;
use super::fleet::ShutdownReport;
use super::records::{ProcessId, Records};
use super::timetable::Timetable;
use super::trace::trace;
use super::Plan;
use crate::harness::lock;
use oakhollow_faults::FaultKind;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Formatter, Result};

/// If the harness's own threads ran later than this, in seconds, findings are inconclusive.
const MAX_HARNESS_DELAY_S: f64 = 0.1;
/// Findings that are printed per rule.
const MAX_PRINTED_PER_RULE: usize = 6;

/// The result of a soak run.
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// The disruptions that were injected.
    pub timetable: Timetable,
    /// The result of the check.
    pub verdict: Verdict,
    /// Errors in the processes' logs, and counts of injected faults.
    pub shutdown: ShutdownReport,
    /// The largest delay of the harness's own threads, in seconds.
    pub harness_delay_s: f64,
    /// Attempts that servers recorded.
    pub attempts: usize,
    processes: usize,
    /// What led to each of the verdict's findings, in their order.
    traces: Vec<String>,
}

impl Report {
    /// Creates the report of a finished run.
    pub fn new(
        plan: &Plan, timetable: Timetable, verdict: Verdict, shutdown: ShutdownReport, harness_delay_s: f64,
        records: &Records,
    ) -> Report {
        let attempts = lock(&records.attempts).len();
        let findings = verdict.findings.iter();
        let traces = findings.map(|finding| trace(finding, records, &shutdown.logs)).collect();
        Report {
            seed: plan.seed,
            timetable,
            verdict,
            shutdown,
            harness_delay_s,
            attempts,
            processes: plan.processes,
            traces,
        }
    }

    /// Whether the harness ran so late that it may have caused the findings.
    pub fn is_late(&self) -> bool {
        self.harness_delay_s > MAX_HARNESS_DELAY_S
    }

    /// Whether there are no findings.
    pub fn is_clean(&self) -> bool {
        self.verdict.findings.is_empty()
    }

    /// The kinds that were drawn and of which no fault arrived at any process: the run says nothing about them.
    pub fn kinds_not_arrived(&self) -> Vec<Disruption> {
        let count = |kind: &FaultKind| self.shutdown.fault_counts.get(&format!("{kind:?}")).copied();
        let arrived = |kind: &FaultKind| count(kind).unwrap_or_default() > 0;
        let drawn: BTreeSet<Disruption> =
            self.timetable.entries.iter().map(|entry| entry.disruption).collect();
        drawn
            .into_iter()
            .filter(|kind| !kind.system_faults().is_empty() && !kind.system_faults().iter().any(arrived))
            .collect()
    }

    /// How often each pair of kinds overlapped.
    pub fn pair_counts(&self) -> BTreeMap<(Disruption, Disruption), usize> {
        self.timetable.overlapping_pairs()
    }

    /// The timetable, one line per entry.
    pub fn timetable_text(&self) -> String {
        let line = |entry: &super::timetable::Entry| {
            let target = entry.target;
            format!(
                "  {:.3} s {} for {:.3} s at group {} process {} server {}\n",
                entry.start.as_secs_f64(),
                entry.disruption.name(),
                entry.duration.as_secs_f64(),
                target.group,
                target.process,
                target.server
            )
        };
        self.timetable.entries.iter().map(line).collect()
    }
}

impl Display for Report {
    fn fmt(&self, out: &mut Formatter) -> Result {
        let Verdict { findings, requests, served, refused, excused } = &self.verdict;
        let not_arrived: Vec<&str> = self.kinds_not_arrived().into_iter().map(Disruption::name).collect();
        let verdict = match (self.is_clean(), self.is_late()) {
            (true, _) if not_arrived.is_empty() => "clean".to_string(),
            (true, _) => format!("clean but for kinds that never arrived ({})", not_arrived.join(", ")),
            (false, true) => "no figure: the rig ran late".to_string(),
            (false, false) => "FOUND".to_string(),
        };
        writeln!(
            out,
            "seed {}: {verdict}: {} processes, {} troubles, {} pairs of kinds, {requests} requests ({served} served, {refused} refused, \
             {excused} excused), {} attempts, pulse {:.3} s late",
            self.seed,
            self.processes,
            self.timetable.entries.len(),
            self.pair_counts().len(),
            self.attempts,
            self.harness_delay_s,
        )?;
        let fault_counts: Vec<String> =
            self.shutdown.fault_counts.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        writeln!(out, "  faults arrived: {}", fault_counts.join(", "))?;
        let mut by_rule: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for (finding, trace) in findings.iter().zip(&self.traces) {
            by_rule.entry(finding.rule).or_default().push((finding, trace));
        }
        for (rule, findings) in by_rule {
            writeln!(out, "  {rule}: {} times", findings.len())?;
            for (finding, trace) in findings.iter().take(MAX_PRINTED_PER_RULE) {
                let ProcessId { group, number } = finding.process;
                writeln!(out, "    g{group}p{number} {}", finding.details)?;
                write!(out, "{trace}")?;
            }
        }
        Ok(())
    }
}

/// How often each pair of kinds overlapped, over many runs.
#[derive(Default)]
pub struct PairCounts {
    counts: BTreeMap<(Disruption, Disruption), usize>,
    runs: usize,
}

impl PairCounts {
    /// Adds the counts of a run.
    pub fn add(&mut self, report: &Report) {
        self.runs += 1;
        for (pair, count) in report.pair_counts() {
            *self.counts.entry(pair).or_default() += count;
        }
    }

    /// The pairs of kinds that overlapped fewer than `min_count` times.
    pub fn rarer_than(&self, min_count: usize) -> Vec<(Disruption, Disruption)> {
        let kinds = Disruption::ALL.iter().copied();
        let all = kinds
            .enumerate()
            .flat_map(|(index, one)| Disruption::ALL[index + 1..].iter().map(move |other| (one, *other)));
        all.filter(|pair| self.counts.get(pair).copied().unwrap_or(0) < min_count).collect()
    }
}

/// Pairs that overlapped fewer times than this are counted as rare.
const MIN_PAIR_COUNT: usize = 5;

impl Display for PairCounts {
    fn fmt(&self, out: &mut Formatter) -> Result {
        writeln!(out, "pairs of kinds met in {} plays:", self.runs)?;
        for ((one, other), count) in &self.counts {
            writeln!(out, "  {} + {}: {count}", one.name(), other.name())?;
        }
        let rare = self.rarer_than(MIN_PAIR_COUNT);
        writeln!(
            out,
            "met fewer than {MIN_PAIR_COUNT} times: {} of {}",
            rare.len(),
            Disruption::ALL.len() * (Disruption::ALL.len() - 1) / 2
        )
    }
}

/// The names of all kinds, separated by commas.
pub fn disruption_names() -> String {
    Disruption::ALL.iter().map(|kind| kind.name()).collect::<Vec<_>>().join(", ")
}
