//! What a play prints.
use super::checker::Verdict;
use super::fleet::Ends;
use super::records::Records;
use super::timetable::Timetable;
use super::trouble::Trouble;
use super::Plan;
use crate::harness::lock;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};

/// A rig whose own threads ran later than this, in seconds, gives no figure.
const LATE: f64 = 0.1;
/// Findings that are printed of each promise.
const MOST_PRINTED: usize = 6;

/// All that is known of a play.
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// What was played.
    pub timetable: Timetable,
    /// What was found.
    pub verdict: Verdict,
    /// How the processes ended, and which faults arrived.
    pub ends: Ends,
    /// How late the rig itself ran at worst, in seconds.
    pub harness_delay_s: f64,
    /// Attempts that servers saw.
    pub attempts: usize,
    processes: usize,
}

impl Report {
    /// Of a play that is over.
    pub fn new(
        plan: &Plan, timetable: Timetable, verdict: Verdict, ends: Ends, harness_delay_s: f64,
        records: &Records,
    ) -> Report {
        let attempts = lock(&records.attempts).len();
        Report {
            seed: plan.seed,
            timetable,
            verdict,
            ends,
            harness_delay_s,
            attempts,
            processes: plan.processes,
        }
    }

    /// The rig ran so late that it may be the cause of what was found.
    pub fn is_late(&self) -> bool {
        self.harness_delay_s > LATE
    }

    /// Nothing was found.
    pub fn is_clean(&self) -> bool {
        self.verdict.findings.is_empty()
    }

    /// How often each two kinds overlapped.
    pub fn pairs(&self) -> BTreeMap<(Trouble, Trouble), usize> {
        self.timetable.pairs()
    }

    /// The timetable, a line each.
    pub fn timetable_text(&self) -> String {
        let line = |entry: &super::timetable::Entry| {
            let target = entry.target;
            format!(
                "  {:.3} s {} for {:.3} s at group {} process {} server {}\n",
                entry.at.as_secs_f64(),
                entry.trouble.name(),
                entry.length.as_secs_f64(),
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
        let verdict = match (self.is_clean(), self.is_late()) {
            (true, _) => "clean",
            (false, true) => "no figure: the rig ran late",
            (false, false) => "FOUND",
        };
        writeln!(
            out,
            "seed {}: {verdict}: {} processes, {} troubles, {} pairs of kinds, {requests} requests ({served} served, {refused} refused, \
             {excused} excused), {} attempts, the harness was {:.3} s late",
            self.seed,
            self.processes,
            self.timetable.entries.len(),
            self.pairs().len(),
            self.attempts,
            self.harness_delay_s,
        )?;
        let arrived: Vec<String> =
            self.ends.arrived.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        writeln!(out, "  faults arrived: {}", arrived.join(", "))?;
        let mut by_promise: BTreeMap<&str, Vec<_>> = BTreeMap::new();
        for finding in findings {
            by_promise.entry(finding.promise).or_default().push(finding);
        }
        for (promise, findings) in by_promise {
            writeln!(out, "  {promise}: {} times", findings.len())?;
            for finding in findings.iter().take(MOST_PRINTED) {
                writeln!(out, "    g{}p{} {}", finding.process.group, finding.process.number, finding.seen)?;
            }
        }
        Ok(())
    }
}

/// How often each two kinds overlapped, over many plays.
#[derive(Default)]
pub struct Pairs {
    met: BTreeMap<(Trouble, Trouble), usize>,
    plays: usize,
}

impl Pairs {
    /// Adds those of a play.
    pub fn add(&mut self, report: &Report) {
        self.plays += 1;
        for (pair, count) in report.pairs() {
            *self.met.entry(pair).or_default() += count;
        }
    }

    /// Pairs of two kinds that were met fewer than so many times.
    pub fn rarer_than(&self, least: usize) -> Vec<(Trouble, Trouble)> {
        let kinds = Trouble::ALL.iter().copied();
        let all = kinds
            .enumerate()
            .flat_map(|(at, one)| Trouble::ALL[at + 1..].iter().map(move |other| (one, *other)));
        all.filter(|pair| self.met.get(pair).copied().unwrap_or(0) < least).collect()
    }
}

/// A pair is met often enough from here on.
const OFTEN: usize = 5;

impl Display for Pairs {
    fn fmt(&self, out: &mut Formatter) -> Result {
        writeln!(out, "pairs of kinds met in {} plays:", self.plays)?;
        for ((one, other), count) in &self.met {
            writeln!(out, "  {} + {}: {count}", one.name(), other.name())?;
        }
        let rare = self.rarer_than(OFTEN);
        writeln!(
            out,
            "met fewer than {OFTEN} times: {} of {}",
            rare.len(),
            Trouble::ALL.len() * (Trouble::ALL.len() - 1) / 2
        )
    }
}

/// The names of all kinds.
pub fn kinds() -> String {
    Trouble::ALL.iter().map(|kind| kind.name()).collect::<Vec<_>>().join(", ")
}
