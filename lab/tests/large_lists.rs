//! Lists of thousands of endpoints that come slowly, late, in part or never: no request goes to an endpoint that is gone.
mod beside;

use beside::program;
use oakhollow_lab::harness::run_until_conclusive;
use oakhollow_lab::large_list::discovery::{Pace, ResponseMode};
use oakhollow_lab::large_list::{run, Case, Report, WatchFault};
use std::thread;
use std::time::Duration;

const ENDPOINTS: usize = 3_200;
/// How discovery writes pieces of a slow answer.
const PIECE: usize = 64 * 1024;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A watch that is reset after a second, and changes until 6 s.
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

/// So many bytes a second.
fn at_pace(bytes_a_second: f64) -> Pace {
    let write_bytes = 4 * 1024;
    Pace { write_bytes, write_pause: seconds(write_bytes as f64 / bytes_a_second), ..Pace::default() }
}

fn with_pauses(write_pause: f64) -> Pace {
    Pace { write_bytes: PIECE, write_pause: seconds(write_pause), ..Pace::default() }
}

fn no_violations(report: &Report) -> Result<(), String> {
    println!("{}", report.summary());
    match report.violations.len() {
        0 => Ok(()),
        _ => Err(report.summary()),
    }
}

/// Plays all at a time, each with a process of its own.
fn hold(cases: &[Case]) {
    let program = program();
    let faults: Vec<String> = thread::scope(|scope| {
        let plays = cases.iter().map(|case| {
            let program = &program;
            scope.spawn(move || run_until_conclusive(case.name, || run(program, case), no_violations))
        });
        let plays: Vec<_> = plays.collect();
        plays.into_iter().filter_map(|play| play.join().expect("played").err()).collect()
    });
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn a_list_that_comes_slowly_or_late_is_heard() {
    let late = Pace { first_byte_delay: seconds(5.2), ..Pace::default() };
    let truncated_answers = Pace { truncated_answers: 2, ..at_pace(150_000.0) };
    hold(&[
        case("pauses of 0.75 s in the line", with_pauses(0.75)),
        case("pauses of 0.9 s in the line", with_pauses(0.9)),
        case("first byte after 5.2 s", late),
        case("two answers end half way", truncated_answers),
        Case {
            watch_fault: WatchFault::Silence,
            ..case("silence, then 150 kB a second", at_pace(150_000.0))
        },
    ]);
}

#[test]
fn a_reload_that_changes_nothing_does_not_begin_the_call_anew() {
    let reloads = (1..6).map(|at| seconds(2.5 * f64::from(at) - 0.5)).collect();
    hold(&[Case { reloads, ..case("SIGHUP five times", at_pace(150_000.0)) }]);
}

/// As in the incident: discovery is down for 8 s, and has too many callers from then on.
#[test]
fn a_list_that_is_never_heard_is_not_used_for_ever() {
    hold(&[Case {
        response_mode: ResponseMode::Reject(seconds(2.0)),
        unreachable_until: seconds(8.0),
        replacing: (seconds(8.2), seconds(13.0)),
        length: seconds(22.0),
        ..case("down for 8 s, then crowded", Pace::default())
    }]);
}
