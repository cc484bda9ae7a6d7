//! Slow start with many processes: 20 or 30 processes of the program send to one cold server, which collapses if the
//! total of their requests exceeds its limit.
mod built_program;
mod exclusive_run;

use built_program::program;
use exclusive_run::exclusive;
use oakhollow_lab::harness::run_until_conclusive;
use oakhollow_lab::slow_start::{run, Case, Report};
use oakhollow_lab::slow_start_limit::{fullest, Arrival, SlowStart, Window};

fn print_report(case: &Case, report: &Report) {
    let Report { incarnations, requests, late_requests, served, harness_delay_s } = report;
    let Case { name, processes, .. } = case;
    println!("{name}, {processes} processes: {served} of {requests} requests served, {late_requests} late, the harness was {harness_delay_s:.3} s late");
    for incarnation in incarnations {
        println!(
            "  {} arrivals, {} collapses, fullest {:?}",
            incarnation.arrivals, incarnation.collapses, incarnation.fullest
        );
    }
}

fn run_case(case: Case, check: impl Fn(&Report) -> Result<(), String>) {
    let _guard = exclusive();
    let program = program();
    let check = |report: &Report| {
        print_report(&case, report);
        check(report)
    };
    if let Err(failure) = run_until_conclusive(case.name, || run(&program, &case), check) {
        panic!("{failure}");
    }
}

/// Checks that the total traffic stays within the limit, and that the server is used meanwhile.
fn check_limit(case: Case) {
    run_case(case, |Report { incarnations, requests, served, .. }| {
        let violation = incarnations.iter().find_map(|incarnation| incarnation.violation);
        match () {
            _ if incarnations.len() != 1 + usize::from(case.second_start_s.is_some()) => {
                Err("an incarnation is missing".into())
            }
            _ if violation.is_some() => Err(format!("over the limit: {violation:?}")),
            _ if incarnations.iter().any(|incarnation| incarnation.arrivals < 5) => {
                Err("the cold server is hardly used".into())
            }
            _ if served * 10 <= requests * 9 => Err(format!("{served} of {requests} served")),
            _ => Ok(()),
        }
    });
}

#[test]
fn total_traffic_stays_within_the_limit_with_even_traffic() {
    check_limit(Case::EVEN);
}

#[test]
fn total_traffic_stays_within_the_limit_if_one_process_has_half_of_it() {
    check_limit(Case { name: "uneven", processes: 20, uneven: true, ..Case::EVEN });
}

#[test]
fn total_traffic_stays_within_the_limit_if_a_third_of_the_processes_gets_the_list_late() {
    check_limit(Case { name: "late", server_was_warm: true, announcement_delay_s: 1.5, ..Case::EVEN });
}

#[test]
fn total_traffic_stays_within_the_limit_while_processes_restart() {
    check_limit(Case {
        name: "restarts",
        server_was_warm: true,
        process_restarts_s: &[0.5, 1.5, 3.0],
        ..Case::EVEN
    });
}

#[test]
fn total_traffic_stays_within_the_limit_if_the_server_restarts() {
    check_limit(Case { name: "server restarts", processes: 20, second_start_s: Some(3.0), ..Case::EVEN });
}

/// Processes that are each configured as the only one stay within their own limits, but their total does not.
#[test]
fn total_traffic_over_the_limit_is_found() {
    run_case(Case { name: "each alone", told_alone: true, ..Case::EVEN }, |report| {
        report.incarnations[0]
            .violation
            .map(|_| ())
            .ok_or_else(|| "that the total is over the limit was not found".into())
    });
}

/// The mean N of the requests in a window, and how many are allowed with the margin: at the start 20 and 30.9, half way
/// 30 and 42.9, at the end 40 and 54.6.
const SLOW_START: SlowStart =
    SlowStart { capacity: 20.0, cold_from: 0.5, warm_within_s: 10.0, fall_multiple: 2.0, fall_s: 1.0 };

fn burst(start: f64, count: usize, process: usize) -> Vec<Arrival> {
    (0..count).map(|index| Arrival { received_at: start + 0.001 * index as f64, process }).collect()
}

fn first_violation(arrivals: &[Arrival], informed_at: &[f64]) -> Option<Window> {
    SLOW_START.windows(arrivals, informed_at).into_iter().find(Window::is_violation)
}

#[test]
fn the_limit_is_the_allowed_mean_plus_a_margin_for_random_variation() {
    assert_eq!(SLOW_START.limit(0.0), 20.0 + 2.0 * 20.0_f64.sqrt() + 2.0);
    let later = SLOW_START.limit(5.0) - (30.0 + 2.0 * 30.0_f64.sqrt() + 2.0);
    assert!(later.abs() < 1e-9);
}

#[test]
fn an_overshoot_is_found_in_any_window() {
    assert_eq!(first_violation(&burst(0.0, 30, 0), &[0.0]), None);
    let found = first_violation(&burst(0.0, 31, 0), &[0.0]).expect("over the limit");
    assert_eq!((found.sent, found.sent_by_informed), (31, 31));
    // Across the border between whole seconds, by many processes that sent one request each, and recorded out of order.
    let mut spread: Vec<Arrival> =
        (0..33).map(|process| Arrival { received_at: 0.7 + 0.02 * process as f64, process }).collect();
    spread.reverse();
    assert!(first_violation(&spread, &[0.0; 33]).is_some());
    // As many requests are allowed if spread over slightly more than the window, or later in the slow start.
    let thin: Vec<Arrival> =
        (0..31).map(|index| Arrival { received_at: 0.034 * index as f64, process: 0 }).collect();
    assert_eq!(first_violation(&thin, &[0.0]), None);
    assert_eq!(first_violation(&burst(6.0, 42, 0), &[0.0]), None);
    assert!(first_violation(&burst(6.0, 45, 0), &[0.0]).is_some());
    // A warm server has no limit.
    assert_eq!(first_violation(&burst(11.5, 500, 0), &[0.0]), None);
}

#[test]
fn processes_that_do_not_know_of_the_restart_are_not_blamed() {
    let both: Vec<Arrival> = [burst(0.0, 20, 0), burst(0.0, 12, 1)].concat();
    // 20 of 32 requests come from a process that knew, which is under two thirds; all do once the other one knows too.
    assert_eq!(first_violation(&both, &[0.0, 5.0]), None);
    assert!(SLOW_START.windows(&both, &[0.0, 5.0]).iter().any(Window::collapses));
    assert!(first_violation(&both, &[0.0, 0.0]).is_some());
    // A process without an entry in `informed_at` knows nothing.
    assert_eq!(first_violation(&burst(0.0, 40, 7), &[0.0]), None);
}

#[test]
fn the_fullest_window_is_the_one_closest_to_its_limit() {
    let arrivals: Vec<Arrival> = [burst(0.0, 20, 0), burst(6.0, 21, 0)].concat();
    let found = fullest(&SLOW_START.windows(&arrivals, &[0.0])).expect("some");
    assert_eq!(found.sent, 20);
    assert_eq!(fullest(&[]), None);
}
