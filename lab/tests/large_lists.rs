//! Lists of thousands of endpoints that arrive slowly, late, in part or never: no request goes to a removed endpoint.
mod built_program;

use built_program::program;
use oakhollow_lab::harness::run_until_conclusive;
use oakhollow_lab::large_list::discovery::{Pace, ResponseMode};
use oakhollow_lab::large_list::{run, Case, Report, WatchFault};
use std::thread;
use std::time::Duration;

const ENDPOINTS: usize = 3_200;
/// Bytes that discovery writes between two pauses of a slow answer.
const CHUNK_BYTES: usize = 64 * 1024;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A case in which the watch is reset after a second and the list changes until 6 s.
fn case(name: &'static str, pace: Pace) -> Case {
    Case {
        name,
        endpoints: ENDPOINTS,
        watch_fault: WatchFault::Reset,
        response_mode: ResponseMode::Serve(pace),
        unreachable_until: Duration::ZERO,
        reloads: Vec::new(),
        replacing: (seconds(0.1), seconds(6.0)),
        length: seconds(14.0),
    }
}

/// A pace of this many bytes per second.
fn bytes_per_second(bytes_per_s: f64) -> Pace {
    let write_bytes = 4 * 1024;
    Pace { write_bytes, write_pause: seconds(write_bytes as f64 / bytes_per_s), ..Pace::default() }
}

fn with_pauses(write_pause: f64) -> Pace {
    Pace { write_bytes: CHUNK_BYTES, write_pause: seconds(write_pause), ..Pace::default() }
}

fn no_violations(report: &Report) -> Result<(), String> {
    println!("{}", report.summary());
    match report.violations.len() {
        0 => Ok(()),
        _ => Err(report.summary()),
    }
}

/// Runs all cases concurrently, each with a process of its own, and fails on any finding.
fn check_cases(cases: &[Case]) {
    let program = program();
    let failures: Vec<String> = thread::scope(|scope| {
        let runs = cases.iter().map(|case| {
            let program = &program;
            scope.spawn(move || run_until_conclusive(case.name, || run(program, case), no_violations))
        });
        let runs: Vec<_> = runs.collect();
        runs.into_iter().filter_map(|run| run.join().expect("the run ends").err()).collect()
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn a_slow_or_late_list_is_applied() {
    let late = Pace { first_byte_delay: seconds(5.2), ..Pace::default() };
    let truncated_answers = Pace { truncated_answers: 2, ..bytes_per_second(150_000.0) };
    check_cases(&[
        case("pauses of 0.75 s in the line", with_pauses(0.75)),
        case("pauses of 0.9 s in the line", with_pauses(0.9)),
        case("first byte after 5.2 s", late),
        case("two answers end half way", truncated_answers),
        Case {
            watch_fault: WatchFault::Silence,
            ..case("silence, then 150 kB a second", bytes_per_second(150_000.0))
        },
    ]);
}

#[test]
fn a_reload_without_changes_does_not_restart_the_list_request() {
    let reloads = (1..6).map(|number| seconds(2.5 * f64::from(number) - 0.5)).collect();
    check_cases(&[Case { reloads, ..case("SIGHUP five times", bytes_per_second(150_000.0)) }]);
}

/// Guards against a change that is not heard in time because the waits between three failed requests in a row, each of
/// which an overloaded discovery rejects after 2 s, take too much of the 6 s.
#[test]
fn a_change_is_heard_in_time_after_three_rejected_requests() {
    let response_mode = ResponseMode::RejectFirst(3, seconds(2.0));
    check_cases(&[Case { response_mode, ..case("three requests rejected after 2 s", Pace::default()) }]);
}

/// Discovery is down for 8 s and overloaded from then on.
#[test]
fn a_list_that_is_never_refreshed_is_not_used_forever() {
    check_cases(&[Case {
        response_mode: ResponseMode::Reject(seconds(2.0)),
        unreachable_until: seconds(8.0),
        replacing: (seconds(8.2), seconds(13.0)),
        length: seconds(22.0),
        ..case("down for 8 s, then overloaded", Pace::default())
    }]);
}
