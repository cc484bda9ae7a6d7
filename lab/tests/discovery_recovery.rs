//! The discovery of a tier of hundreds of instances comes back with too little capacity to answer all of them at once:
//! their repeated list requests must not overload it so far that some instances never get an answer.
mod built_program;

use built_program::program;
use oakhollow_lab::discovery_recovery::{run, Case, Report};
use oakhollow_lab::harness::{run_until_conclusive, Capacity, RejectionTiming};
use std::time::Duration;

const PROCESSES: usize = 24;
/// How long discovery would take to answer all processes if they asked at once, in seconds.
const ALL_ANSWERED_S: f64 = 6.8;

/// This discovery also spends its capacity on requests that it has already rejected, as an unbounded queue does.
#[test]
fn an_overloaded_discovery_still_answers_all_processes() {
    let capacity = Capacity {
        requests_per_s: PROCESSES as f64 / ALL_ANSWERED_S,
        max_wait_s: 2.0,
        rejection: RejectionTiming::AfterMaxWait,
    };
    let case = Case {
        name: "overloaded discovery",
        processes: PROCESSES,
        tier_size: 300,
        outage: Duration::from_secs(6),
        capacity,
        time_limit: Duration::from_secs(16),
    };
    let check = |report: &Report| {
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
    if let Err(failure) = run_until_conclusive(case.name, || run(&program(), &case), check) {
        panic!("{failure}");
    }
}
