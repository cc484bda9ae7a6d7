//! Nine in ten restarted processes are ready within 10 s: 30 killed at once, discovery down for the first 4 s.
mod built_program;
mod exclusive_run;

use built_program::program;
use exclusive_run::exclusive;
use oakhollow_lab::harness::{run_until_conclusive, Capacity, DiscoveryOutcome, OutageKind, RejectionTiming};
use oakhollow_lab::restart::{run, Case, Report};

const CASE: Case = Case {
    name: "known list",
    processes: 30,
    with_known_list: true,
    outage: OutageKind::Refused,
    outage_s: 4.0,
    capacity: None,
};

fn print_report(case: &Case, report: &Report) {
    let ready_quantile = |share: f64| {
        report.ready_after_s[((report.ready_after_s.len() as f64 * share).ceil() as usize).max(1) - 1]
    };
    println!(
        "{}: ready after {:.2} s (first), {:.2} (half), {:.2} (nine in ten), {:.2} (last); requests to discovery: {} while down, \
         {} served, {} rejected, at most {} in 100 ms after its return; the harness was {:.3} s late",
        case.name,
        ready_quantile(0.0),
        ready_quantile(0.5),
        ready_quantile(0.9),
        ready_quantile(1.0),
        report.count(DiscoveryOutcome::Unanswered),
        report.count(DiscoveryOutcome::Served),
        report.count(DiscoveryOutcome::Rejected),
        report.most_at_once(0.0, f64::INFINITY),
        report.harness_delay_s,
    );
    for second in 0..8 {
        let bin = |tenth: usize| {
            let from = f64::from(second) + 0.1 * tenth as f64;
            report
                .discovery_requests
                .iter()
                .filter(|(time, _)| (from..from + 0.1).contains(time))
                .count()
                .to_string()
        };
        let bins: Vec<String> = (0..10).map(bin).collect();
        println!("  requests in each 100 ms from {second} s after its return: {}", bins.join(" "));
    }
}

/// Nine in ten are ready within 10 s and the last soon after, and never do more than half of them send discovery a
/// request within 100 ms.
fn check_case(case: Case) {
    let _guard = exclusive();
    let program = program();
    let check = |report: &Report| {
        print_report(&case, report);
        let (nine_in_ten, last) =
            (report.ready_after_s[case.processes * 9 / 10 - 1], report.ready_after_s[case.processes - 1]);
        let most = report.most_at_once(0.0, f64::INFINITY);
        match () {
            _ if nine_in_ten > 10.0 => Err(format!("nine in ten are ready after {nine_in_ten:.2} s")),
            _ if last > 14.0 => Err(format!("the last is ready after {last:.2} s")),
            _ if report.serving < case.processes => Err(format!("{} serve in the end", report.serving)),
            _ if most > case.processes / 2 => Err(format!("{most} call discovery in 100 ms")),
            _ => Ok(()),
        }
    };
    if let Err(failure) = run_until_conclusive(case.name, || run(&program, &case), check) {
        panic!("{failure}");
    }
}

#[test]
fn processes_with_a_known_list_are_ready_while_discovery_is_down() {
    check_case(CASE);
}

#[test]
fn processes_without_a_list_are_ready_soon_after_discovery_returns() {
    check_case(Case { name: "no list", with_known_list: false, ..CASE });
}

/// Discovery takes five seconds for one request of each process, and rejects those that would wait longer than 0.3 s.
#[test]
fn processes_without_a_list_are_ready_soon_after_an_overloaded_discovery_returns() {
    let capacity =
        Some(Capacity { requests_per_s: 6.0, max_wait_s: 0.3, rejection: RejectionTiming::Immediate });
    check_case(Case {
        name: "no list, too many callers",
        with_known_list: false,
        outage: OutageKind::Closed,
        capacity,
        ..CASE
    });
}

/// While it is down, discovery holds all requests unanswered, and it closes them when it returns.
#[test]
fn processes_without_a_list_are_ready_soon_after_discovery_closes_their_requests() {
    check_case(Case { name: "no list, held", with_known_list: false, outage: OutageKind::Held, ..CASE });
}
