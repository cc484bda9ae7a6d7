//! A tier of hundreds whose discovery comes back with too little for all at once: their calls must not keep it from answering any.
mod beside;

use beside::program;
use oakhollow_lab::discovery_recovery::{run, Case, Report};
use oakhollow_lab::harness::{run_until_conclusive, Capacity, RejectionTiming};
use std::time::Duration;

const PROCESSES: usize = 24;
/// How long discovery would take to answer all, if all called at once.
const ALL_ANSWERED_S: f64 = 6.8;

/// It works through calls also that it has turned away, which is how a queue without a bound behaves.
#[test]
fn a_crowded_discovery_is_not_kept_from_answering() {
    let capacity = Capacity {
        requests_per_s: PROCESSES as f64 / ALL_ANSWERED_S,
        max_wait_s: 2.0,
        rejection: RejectionTiming::AfterMaxWait,
    };
    let case = Case {
        name: "crowd",
        processes: PROCESSES,
        tier: 300,
        down: Duration::from_secs(6),
        capacity,
        watched: Duration::from_secs(16),
    };
    let judge = |report: &Report| {
        let last = report.heard.last().copied().unwrap_or(f64::INFINITY);
        println!(
            "{} of {PROCESSES} have heard, the last after {last:.1} s, {} calls turned away",
            report.heard.len(),
            report.turned_away
        );
        match report.heard.len() {
            PROCESSES.. => Ok(()),
            heard => Err(format!("{heard} of {PROCESSES} have heard 16 s after its return")),
        }
    };
    if let Err(fault) = run_until_conclusive(case.name, || run(&program(), &case), judge) {
        panic!("{fault}");
    }
}
