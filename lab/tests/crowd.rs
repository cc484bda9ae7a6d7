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
        tier_size: 300,
        outage: Duration::from_secs(6),
        capacity,
        time_limit: Duration::from_secs(16),
    };
    let judge = |report: &Report| {
        let last = report.recovered_s.last().copied().unwrap_or(f64::INFINITY);
        println!(
            "{} of {PROCESSES} have recovered, the last after {last:.1} s, {} requests rejected",
            report.recovered_s.len(),
            report.rejected
        );
        match report.recovered_s.len() {
            PROCESSES.. => Ok(()),
            recovered => Err(format!("{recovered} of {PROCESSES} have recovered 16 s after its return")),
        }
    };
    if let Err(fault) = run_until_conclusive(case.name, || run(&program(), &case), judge) {
        panic!("{fault}");
    }
}
