//! A client has left when it closes its connection, closes only its sending side, or resets the connection. No attempt
//! of its request, be it the first or a further one, may begin more than 0.1 s later. This is measured on sockets, from
//! the instant before the client leaves to the first byte that a server receives. The
//! bound was once violated where the process had been suspended for longer than 0.1 s, which [`SUSPENDED_CASES`]
//! covers.
//!
//! Each case brings requests into one state in which they wait, and makes some clients leave in that state while others
//! stay. Attempts for the clients that stayed show that attempts were still being sent later, so that the clients that
//! left would have had theirs. Each case runs on a process with a core of its own, and on one with a fifth of a core:
//! that process is stopped for 20 ms of each 25 ms, which the bound of 0.1 s allows for (the time counts from the
//! client's departure, also while the process is stopped).
//!
//! Stalls of the machine are measured, but not added to the bound. An attempt that is late by more than the time
//! for which the test or the program's thread was kept from a processor is a violation. If it is late by less, the
//! case is repeated, with five runs at most, and each repetition is printed. If the last run is late too, that is a
//! violation as well.
mod ledger;
#[path = "../process/mod.rs"]
mod process;
mod program;
mod server;
mod stalls;
mod test_bed;

use ledger::BOUND;
use program::CpuShare;
use server::Mode;
use std::io::{stderr, Write};
use std::thread;
use std::time::Duration;
use test_bed::{CaseResult, TestBed};

/// How often a case runs at most if stalls of the machine make its result unusable.
const MAX_RUNS: usize = 5;

const fn ms(length: u64) -> Duration {
    Duration::from_millis(length)
}

/// A state of requests in which clients leave, and the counts that show that the state was reached.
struct Case {
    name: &'static str,
    run: fn(CpuShare) -> CaseResult,
    /// The minimum numbers of clients that had no attempt yet when they left, of clients that had one, and of attempts
    /// for clients that stayed.
    minimum: (usize, usize, usize),
}

const CASES: [Case; 11] = [
    Case { name: "queued", run: queued, minimum: (20, 0, 20) },
    Case { name: "connecting", run: connecting, minimum: (10, 0, 10) },
    Case { name: "refused late", run: refused_late, minimum: (0, 7, 3) },
    Case { name: "waiting between attempts", run: waiting_between_attempts, minimum: (0, 2, 3) },
    Case { name: "at its hedge", run: hedged, minimum: (0, 30, 3) },
    Case { name: "behind a long body", run: long_body, minimum: (10, 0, 5) },
    Case { name: "behind a whole long body", run: whole_long_body, minimum: (10, 0, 5) },
    Case { name: "behind requests sent ahead", run: requests_ahead, minimum: (10, 0, 5) },
    Case {
        name: "behind requests sent ahead, refused late",
        run: refused_late_with_requests_ahead,
        minimum: (0, 5, 3),
    },
    Case { name: "a burst of 200, queued", run: burst_queued, minimum: (190, 0, 10) },
    Case { name: "a burst of 200, just accepted", run: burst_unread, minimum: (190, 0, 10) },
];

/// The process is suspended for longer than the bound. When it continues, it learns at the same time of the departures
/// and of what the requests waited for.
const SUSPENDED_CASES: [Case; 5] = [
    Case { name: "suspended, a long body unread", run: long_body_suspended, minimum: (10, 0, 5) },
    Case { name: "suspended, queued", run: queued_suspended, minimum: (25, 0, 10) },
    Case { name: "suspended, connecting", run: connecting_suspended, minimum: (10, 0, 10) },
    Case { name: "suspended, refused", run: refused_suspended, minimum: (0, 3, 2) },
    Case { name: "suspended, at its hedge", run: hedged_suspended, minimum: (0, 4, 1) },
];

/// Two servers, to which the program sends eight requests at a time in all.
const TWO_SILENT_SERVERS: [Mode; 2] = [Mode::Silent; 2];

/// Starts with as many open requests as the two servers may have at a time: further ones are queued.
fn at_capacity(share: CpuShare) -> TestBed {
    let mut test_bed = TestBed::start(share, &TWO_SILENT_SERVERS);
    test_bed.send_requests(8);
    test_bed.wait_for_attempts(8);
    test_bed
}

fn every_other<T: Copy>(all: &[T]) -> Vec<T> {
    all.iter().copied().step_by(2).collect()
}

/// The queue is served while clients leave, some of them just when their request is next.
fn queued(share: CpuShare) -> CaseResult {
    let mut test_bed = at_capacity(share);
    let requests = test_bed.send_requests(100);
    thread::sleep(ms(200));
    test_bed.set_all_servers(Mode::Answers(ms(60)));
    test_bed.leave_within(every_other(&requests), ms(400));
    test_bed.finish(ms(400))
}

/// Connections are established a second after they were begun, at the kernel's retry. By then the servers accept.
fn connecting(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::FullBacklog; 6]);
    let requests = test_bed.send_views(24);
    let (first, last) = requests.split_at(12);
    test_bed.leave_within(every_other(first), ms(400));
    test_bed.set_all_servers(Mode::Answers(ms(20)));
    test_bed.leave_within(every_other(last), ms(400));
    test_bed.finish(ms(800))
}

/// Has enough requests answered for the retry budget to allow some retries, but no hedges.
fn earn_retry_budget(test_bed: &mut TestBed) {
    test_bed.set_all_servers(Mode::Answers(ms(50)));
    for _ in 0..3 {
        let requests = test_bed.send_views(6);
        requests.into_iter().for_each(|request| test_bed.expect_answer(request));
    }
}

/// Each attempt is refused late, so that clients leave before, at and after the time of the next attempt.
fn refused_late(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &TWO_SILENT_SERVERS);
    earn_retry_budget(&mut test_bed);
    test_bed.set_all_servers(Mode::Refuses(ms(250)));
    for round in 0..3 {
        let requests = test_bed.send_views(8);
        thread::sleep(ms(60 + 10 * round));
        test_bed.leave_within(every_other(&requests), ms(240));
        thread::sleep(ms(300));
        test_bed.all_leave();
    }
    test_bed.finish(ms(200))
}

/// The requests are refused at once by one server, and wait for capacity at the other.
fn waiting_between_attempts(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &TWO_SILENT_SERVERS);
    earn_retry_budget(&mut test_bed);
    test_bed.set_server(0, Mode::Refuses(ms(5)));
    test_bed.set_server(1, Mode::Silent);
    let mut requests = Vec::new();
    for _ in 0..40 {
        requests.extend(test_bed.send_views(1));
        thread::sleep(ms(5));
    }
    thread::sleep(ms(100));
    test_bed.set_server(1, Mode::Answers(ms(80)));
    test_bed.leave_within(every_other(&requests), ms(400));
    test_bed.finish(ms(400))
}

/// Hedges are sent after a quarter of a second. Clients leave before, at and after that.
fn hedged(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::Answers(ms(250)); 6]);
    let answered = test_bed.send_views(24);
    answered.into_iter().for_each(|request| test_bed.expect_answer(request));
    test_bed.set_all_servers(Mode::Silent);
    for round in 0..5 {
        let mut leaving_early = test_bed.send_views(14);
        // The clients of the last two requests stay, and those requests are hedged.
        leaving_early.truncate(12);
        let leaving_around_hedge = leaving_early.split_off(6);
        thread::sleep(ms(10 + 7 * round));
        test_bed.leave_within(leaving_early, ms(190));
        test_bed.leave_within(leaving_around_hedge, ms(100));
        thread::sleep(ms(100));
        test_bed.all_leave();
    }
    test_bed.finish(ms(200))
}

/// The connections end behind unread bytes: complete bodies, halves and beginnings.
fn long_body(share: CpuShare) -> CaseResult {
    const BODIES: [(&str, usize, f64); 4] =
        [("save", 120_000, 1.0), ("pay", 120_000, 0.5), ("pay", 1_000_000, 0.1), ("view", 1_000_000, 1.0)];
    let mut test_bed = at_capacity(share);
    let mut leaving = Vec::new();
    for index in 0..48 {
        let (workload, body_size, share_sent) = BODIES[index / 2 % 4];
        let client_stays = index % 2 == 1;
        let share_sent = if client_stays { 1.0 } else { share_sent };
        let request = test_bed.send(workload, (body_size, share_sent), test_bed.next_departure());
        leaving.extend((!client_stays).then_some(request));
    }
    thread::sleep(ms(200));
    test_bed.set_all_servers(Mode::Answers(ms(80)));
    test_bed.leave_within(leaving, ms(250));
    test_bed.finish(ms(400))
}

/// The connections end behind whole bodies that are longer than what a new connection's buffer holds. The last part of the
/// longest one waits in the client's machine until more is accepted here.
fn whole_long_body(share: CpuShare) -> CaseResult {
    const BODY_SIZES: [usize; 3] = [300_000, 1_000_000, 3_500_000];
    let mut test_bed = at_capacity(share);
    let mut leaving = Vec::new();
    for index in 0..36 {
        let (workload, body_size) = (["pay", "save", "view"][index / 6 % 3], BODY_SIZES[index / 2 % 3]);
        let client_stays = index % 2 == 1;
        // Those that stay are small: their attempts show that attempts were still being sent.
        let body_size = if client_stays { 0 } else { body_size };
        let request = test_bed.send(workload, (body_size, 1.0), test_bed.next_departure());
        leaving.extend((!client_stays).then_some(request));
    }
    thread::sleep(ms(200));
    test_bed.set_all_servers(Mode::Answers(ms(80)));
    test_bed.leave_within(leaving, ms(250));
    test_bed.finish(ms(400))
}

/// How much a client sends ahead of the answer to its first request: far more than a new connection's buffer holds.
const BYTES_AHEAD: usize = 1_000_000;

/// The connections end behind requests that were sent ahead, while the first one waits for capacity.
fn requests_ahead(share: CpuShare) -> CaseResult {
    let mut test_bed = at_capacity(share);
    let requests = test_bed.send_requests(40);
    let leaving = every_other(&requests);
    leaving.iter().for_each(|request| test_bed.send_ahead(*request, BYTES_AHEAD));
    thread::sleep(ms(200));
    test_bed.set_all_servers(Mode::Answers(ms(60)));
    test_bed.leave_within(leaving, ms(300));
    test_bed.finish(ms(400))
}

/// The same, while the first one has an attempt that is refused late.
fn refused_late_with_requests_ahead(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &TWO_SILENT_SERVERS);
    earn_retry_budget(&mut test_bed);
    test_bed.set_all_servers(Mode::Refuses(ms(250)));
    for round in 0..3 {
        let requests = test_bed.send_views(8);
        let leaving = every_other(&requests);
        leaving.iter().for_each(|request| test_bed.send_ahead(*request, BYTES_AHEAD));
        thread::sleep(ms(60 + 10 * round));
        test_bed.leave_within(leaving, ms(240));
        thread::sleep(ms(300));
        test_bed.all_leave();
    }
    test_bed.finish(ms(200))
}

/// Most clients of a long queue leave at once.
fn burst_queued(share: CpuShare) -> CaseResult {
    let mut test_bed = at_capacity(share);
    let requests = test_bed.send_requests(240);
    thread::sleep(ms(400));
    test_bed.set_all_servers(Mode::Answers(ms(50)));
    let leaving = requests.iter().zip(0..).filter(|(_, index)| index % 6 != 0).map(|(request, _)| *request);
    leaving.for_each(|request| test_bed.leave(request));
    test_bed.finish(ms(500))
}

/// Clients leave right after writing their requests, while the requests of others are served.
fn burst_unread(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::Answers(ms(50)); 2]);
    for index in 0..240 {
        let request = test_bed.send_request();
        if index % 6 != 0 {
            test_bed.leave(request);
        }
    }
    test_bed.finish(ms(500))
}

/// Clients leave and connections to servers are established while the process is suspended: it learns of both at once.
fn connecting_suspended(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::FullBacklog; 6]);
    let requests = test_bed.send_views(24);
    thread::sleep(ms(500));
    test_bed.set_all_servers(Mode::Answers(ms(20)));
    test_bed.suspend_during(ms(900), |test_bed| {
        every_other(&requests).into_iter().for_each(|request| test_bed.leave(request))
    });
    test_bed.finish(ms(400))
}

/// Clients connect, write long bodies whole and leave while the process is suspended.
fn long_body_suspended(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::Answers(ms(20)); 6]);
    test_bed.suspend_during(ms(300), |test_bed| {
        for index in 0..24 {
            let client_stays = index % 2 == 1;
            let body_size = if client_stays { 0 } else { [300_000, 1_000_000, 3_500_000][index / 2 % 3] };
            let request = test_bed.send("pay", (body_size, 1.0), test_bed.next_departure());
            if !client_stays {
                test_bed.leave(request);
            }
        }
    });
    test_bed.finish(ms(400))
}

/// The same, with the capacity for which the requests wait becoming free.
fn queued_suspended(share: CpuShare) -> CaseResult {
    let mut test_bed = at_capacity(share);
    let requests = test_bed.send_requests(60);
    thread::sleep(ms(200));
    test_bed.suspend_during(ms(250), |test_bed| {
        test_bed.set_all_servers(Mode::Answers(ms(60)));
        every_other(&requests).into_iter().for_each(|request| test_bed.leave(request));
    });
    test_bed.finish(ms(400))
}

/// The same, with the refusal after which a request is retried.
fn refused_suspended(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &TWO_SILENT_SERVERS);
    earn_retry_budget(&mut test_bed);
    test_bed.set_all_servers(Mode::Refuses(ms(150)));
    let requests = test_bed.send_views(8);
    thread::sleep(ms(100));
    test_bed.suspend_during(ms(300), |test_bed| {
        every_other(&requests).into_iter().for_each(|request| test_bed.leave(request))
    });
    test_bed.finish(ms(400))
}

/// The same, with the time at which requests are hedged.
fn hedged_suspended(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::Answers(ms(250)); 6]);
    let answered = test_bed.send_views(24);
    answered.into_iter().for_each(|request| test_bed.expect_answer(request));
    test_bed.set_all_servers(Mode::Silent);
    let requests = test_bed.send_views(8);
    thread::sleep(ms(100));
    test_bed.suspend_during(ms(300), |test_bed| {
        requests[2..].iter().for_each(|request| test_bed.leave(*request))
    });
    test_bed.finish(ms(400))
}

fn run_cases(share: CpuShare, cases: &[Case]) {
    let mut failures = Vec::new();
    for Case { name, run, minimum } in cases {
        for run_number in 1..=MAX_RUNS {
            let (findings, running_share) = run(share);
            println!(
                "{share:?} core ({running_share:.2} of the time), {name}, run {run_number}: {findings:?}"
            );
            let state_reached = findings.attempts_at_departure[0] >= minimum.0
                && findings.attempts_at_departure[1] >= minimum.1
                && findings.attempts_for_others >= minimum.2;
            if findings.violation.is_none() && findings.explained_by_stalls.is_none() && state_reached {
                break;
            }
            if findings.violation.is_some() || run_number == MAX_RUNS {
                failures
                    .push(format!("{name}: {findings:?}, bound {BOUND:?}, state reached: {state_reached}"));
                break;
            }
            // Written to standard error directly: the test harness hides the output of a test that passes.
            let reason = if state_reached { "the machine stalled" } else { "the state was not reached" };
            let _ = writeln!(
                stderr(),
                "{share:?} core, {name}, run {run_number}: repeated, {reason}: {findings:?}"
            );
        }
    }
    assert!(failures.is_empty(), "{share:?} core: {}", failures.join("\n"));
}

#[test]
fn no_attempt_begins_for_a_client_that_left() {
    run_cases(CpuShare::Whole, &CASES);
}

#[test]
fn no_attempt_begins_for_a_client_that_left_at_a_fifth_of_a_core() {
    run_cases(CpuShare::Fifth, &CASES);
}

#[test]
fn no_attempt_begins_for_a_client_that_left_while_the_process_was_suspended() {
    run_cases(CpuShare::Whole, &SUSPENDED_CASES);
}
