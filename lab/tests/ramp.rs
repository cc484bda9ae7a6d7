//! Cold servers fall under the sum of all processes: 20 and 30 processes of the program before one cold server.
mod beside;
mod turn;

use beside::program;
use oakhollow_lab::harness::run_until_conclusive;
use oakhollow_lab::slow_start::{run, Case, Report};
use oakhollow_lab::slow_start_limit::{fullest, Arrival, SlowStart, Window};
use turn::turn;

fn told(case: &Case, report: &Report) {
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

fn played(case: Case, judge: impl Fn(&Report) -> Result<(), String>) {
    let _turn = turn();
    let program = program();
    let judge = |report: &Report| {
        told(&case, report);
        judge(report)
    };
    if let Err(fault) = run_until_conclusive(case.name, || run(&program, &case), judge) {
        panic!("{fault}");
    }
}

/// The sum keeps to the budget, and the server is used meanwhile.
fn holds(case: Case) {
    played(case, |Report { incarnations, requests, served, .. }| {
        let broken = incarnations.iter().find_map(|incarnation| incarnation.violation);
        match () {
            _ if incarnations.len() != 1 + usize::from(case.second_start_s.is_some()) => {
                Err("an incarnation is missing".into())
            }
            _ if broken.is_some() => Err(format!("over the budget: {broken:?}")),
            _ if incarnations.iter().any(|incarnation| incarnation.arrivals < 5) => {
                Err("the cold server is hardly used".into())
            }
            _ if served * 10 <= requests * 9 => Err(format!("{served} of {requests} served")),
            _ => Ok(()),
        }
    });
}

#[test]
fn the_sum_keeps_to_the_ramp_with_even_traffic() {
    holds(Case::EVEN);
}

#[test]
fn the_sum_keeps_to_the_ramp_where_one_process_has_half_of_the_traffic() {
    holds(Case { name: "uneven", processes: 20, uneven: true, ..Case::EVEN });
}

#[test]
fn the_sum_keeps_to_the_ramp_where_a_third_hears_late() {
    holds(Case { name: "late", server_was_warm: true, announcement_delay_s: 1.5, ..Case::EVEN });
}

#[test]
fn the_sum_keeps_to_the_ramp_while_processes_start_again() {
    holds(Case {
        name: "restarts",
        server_was_warm: true,
        process_restarts_s: &[0.5, 1.5, 3.0],
        ..Case::EVEN
    });
}

#[test]
fn the_sum_keeps_to_the_ramp_where_the_server_is_cold_again() {
    holds(Case { name: "again", processes: 20, second_start_s: Some(3.0), ..Case::EVEN });
}

/// Crooked processes, each told to be alone, keep to their shares, and the sum does not.
#[test]
fn a_sum_over_the_ramp_is_caught() {
    played(Case { name: "each alone", told_alone: true, ..Case::EVEN }, |report| {
        report.incarnations[0].violation.map(|_| ()).ok_or_else(|| "the sum is not caught".into())
    });
}

/// N is 20 at the start: 30.9 requests are borne; at half of the ramp, 40: 54.6.
const SLOW_START: SlowStart =
    SlowStart { capacity: 20.0, cold_from: 0.5, warm_within_s: 10.0, fall_multiple: 2.0, fall_s: 1.0 };

fn burst(at: f64, count: usize, process: usize) -> Vec<Arrival> {
    (0..count).map(|one| Arrival { at: at + 0.001 * one as f64, process }).collect()
}

fn broken(arrivals: &[Arrival], told: &[f64]) -> Option<Window> {
    SLOW_START.windows(arrivals, told).into_iter().find(Window::is_violation)
}

#[test]
fn the_budget_is_what_the_settings_allow_with_its_scatter() {
    assert_eq!(SLOW_START.limit(0.0), 20.0 + 2.0 * 20.0_f64.sqrt() + 2.0);
    let later = SLOW_START.limit(5.0) - (30.0 + 2.0 * 30.0_f64.sqrt() + 2.0);
    assert!(later.abs() < 1e-9);
}

#[test]
fn a_planted_overshoot_is_caught_in_whichever_window() {
    assert_eq!(broken(&burst(0.0, 30, 0), &[0.0]), None);
    let found = broken(&burst(0.0, 31, 0), &[0.0]).expect("over the budget");
    assert_eq!((found.sent, found.sent_by_informed), (31, 31));
    // Across the border of whole seconds, by many processes of which each sent one, and told in no order.
    let mut spread: Vec<Arrival> =
        (0..33).map(|process| Arrival { at: 0.7 + 0.02 * process as f64, process }).collect();
    spread.reverse();
    assert!(broken(&spread, &[0.0; 33]).is_some());
    // As many in a little more than the window, and later in the ramp, are borne.
    let thin: Vec<Arrival> = (0..31).map(|one| Arrival { at: 0.034 * one as f64, process: 0 }).collect();
    assert_eq!(broken(&thin, &[0.0]), None);
    assert_eq!(broken(&burst(6.0, 42, 0), &[0.0]), None);
    assert!(broken(&burst(6.0, 45, 0), &[0.0]).is_some());
    // A warm server bears what it does.
    assert_eq!(broken(&burst(11.5, 500, 0), &[0.0]), None);
}

#[test]
fn who_was_not_told_is_not_to_blame() {
    let both: Vec<Arrival> = [burst(0.0, 20, 0), burst(0.0, 12, 1)].concat();
    // 20 of 32 knew: under two thirds. Once the other has been told, all of them.
    assert_eq!(broken(&both, &[0.0, 5.0]), None);
    assert!(SLOW_START.windows(&both, &[0.0, 5.0]).iter().any(Window::collapses));
    assert!(broken(&both, &[0.0, 0.0]).is_some());
    // A process that nobody knows was told of nothing.
    assert_eq!(broken(&burst(0.0, 40, 7), &[0.0]), None);
}

#[test]
fn the_fullest_window_is_told_by_what_it_may_hold() {
    let arrivals: Vec<Arrival> = [burst(0.0, 20, 0), burst(6.0, 21, 0)].concat();
    let found = fullest(&SLOW_START.windows(&arrivals, &[0.0])).expect("some");
    assert_eq!(found.sent, 20);
    assert_eq!(fullest(&[]), None);
}
