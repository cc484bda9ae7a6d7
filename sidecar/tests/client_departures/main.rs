//! A client that closes its connection, ends its sending or resets the connection has left: no attempt of its
//! request, first or further, may begin more than 0.1 s later. Measured on sockets, from the instant before the
//! client leaves to the first byte that a server receives. Only resets are tested behind bodies longer than the
//! kernel accepts from a client, since the kernel reports no other end behind those (`docs/endings.md`). The bound
//! was broken where the process had been stopped for longer than 0.1 s, which [`SUSPENDED_CASES`] covers.
//!
//! Each case forces one moment in which a request waits, and makes some clients leave in it while others stay. The
//! others show that attempts were still sent long after, so that those who left would have had theirs. Each case
//! runs on a process with a core of its own, and on one with a fifth of a core: that process is stopped for 20 ms
//! of each 25 ms, which the bound of 0.1 s allows for (the time counts from the client's departure, also while the
//! process is stopped).
//!
//! Stalls of the machine are measured, but not added to the bound. An attempt that is late by more than the time
//! for which the test or the program's thread was kept from a processor is a violation. After one that is late by
//! less the case runs again, five times at most, and each time is printed. If the last run is late too, that is a
//! violation as well.
mod ledger;
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
use test_bed::{CaseResult, Departure, TestBed};

/// How often a case runs at most, if stalls of the machine spoil its result.
const MAX_RUNS: usize = 5;

const fn ms(length: u64) -> Duration {
    Duration::from_millis(length)
}

/// A moment in which clients leave, and what shows that it was forced.
struct Case {
    name: &'static str,
    run: fn(CpuShare) -> CaseResult,
    /// The least numbers of clients that had no attempt yet when they left, of those that had one, and of attempts for
    /// clients that stayed.
    minimum: (usize, usize, usize),
}

const CASES: [Case; 8] = [
    Case { name: "queued", run: queued, minimum: (20, 0, 20) },
    Case { name: "connecting", run: connecting, minimum: (10, 0, 10) },
    Case { name: "refused late", run: refused_late, minimum: (0, 7, 3) },
    Case { name: "waiting between attempts", run: waiting_between_attempts, minimum: (0, 2, 3) },
    Case { name: "at its hedge", run: hedged, minimum: (0, 30, 3) },
    Case { name: "behind a long body", run: long_body, minimum: (10, 0, 5) },
    Case { name: "a burst of 200, queued", run: burst_queued, minimum: (190, 0, 10) },
    Case { name: "a burst of 200, just accepted", run: burst_unread, minimum: (190, 0, 10) },
];

/// The process is suspended for longer than the bound. Then it learns at once of the departures and of what the
/// requests waited for.
const SUSPENDED_CASES: [Case; 4] = [
    Case { name: "suspended, queued", run: queued_suspended, minimum: (25, 0, 10) },
    Case { name: "suspended, connecting", run: connecting_suspended, minimum: (10, 0, 10) },
    Case { name: "suspended, refused", run: refused_suspended, minimum: (0, 3, 2) },
    Case { name: "suspended, at its hedge", run: hedged_suspended, minimum: (0, 4, 1) },
];

/// Two servers, which may have eight requests at a time between them.
const TWO_SILENT_SERVERS: [Mode; 2] = [Mode::Silent; 2];

/// As many requests as two servers may have at a time are sent to them; further ones wait.
fn at_capacity(share: CpuShare) -> TestBed {
    let mut test_bed = TestBed::start(share, &TWO_SILENT_SERVERS);
    test_bed.send_requests(8);
    test_bed.wait_for_attempts(8);
    test_bed
}

fn every_other<T: Copy>(all: &[T]) -> Vec<T> {
    all.iter().copied().step_by(2).collect()
}

/// The queue drains while clients leave, some of them just as their turn comes.
fn queued(share: CpuShare) -> CaseResult {
    let mut test_bed = at_capacity(share);
    let requests = test_bed.send_requests(100);
    thread::sleep(ms(200));
    test_bed.set_all_servers(Mode::Answers(ms(60)));
    test_bed.leave_within(every_other(&requests), ms(400));
    test_bed.finish(ms(400))
}

/// Connections come up a second after they were begun, when the kernel tries again; meanwhile the servers accept again.
fn connecting(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::FullBacklog; 6]);
    let requests = test_bed.send_views(24);
    let (first, last) = requests.split_at(12);
    test_bed.leave_within(every_other(first), ms(400));
    test_bed.set_all_servers(Mode::Answers(ms(20)));
    test_bed.leave_within(every_other(last), ms(400));
    test_bed.finish(ms(800))
}

/// Has so many requests answered that the budget allows some retries, but no hedges.
fn earn_retry_budget(test_bed: &mut TestBed) {
    test_bed.set_all_servers(Mode::Answers(ms(50)));
    for _ in 0..3 {
        let requests = test_bed.send_views(6);
        requests.into_iter().for_each(|request| test_bed.expect_answer(request));
    }
}

/// Each attempt is refused late, so that clients leave before, at and after the moment of the next.
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

/// Refused at once by one server, the requests wait for capacity at the other.
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
    let usual = test_bed.send_views(24);
    usual.into_iter().for_each(|request| test_bed.expect_answer(request));
    test_bed.set_all_servers(Mode::Silent);
    for round in 0..5 {
        let mut leaving = test_bed.send_views(14);
        // The clients of the last two stay, and their requests are hedged.
        leaving.truncate(12);
        let around = leaving.split_off(6);
        thread::sleep(ms(10 + 7 * round));
        test_bed.leave_within(leaving, ms(190));
        test_bed.leave_within(around, ms(100));
        thread::sleep(ms(100));
        test_bed.all_leave();
    }
    test_bed.finish(ms(200))
}

/// The ends of the connections come behind unread bytes: whole bodies, halves and beginnings, as long as the kernel
/// accepts them from the clients. Behind longer ones it reports only a reset.
fn long_body(share: CpuShare) -> CaseResult {
    const BODIES: [(&str, usize, f64); 4] =
        [("save", 120_000, 1.0), ("pay", 120_000, 0.5), ("pay", 1_000_000, 0.1), ("view", 1_000_000, 1.0)];
    let mut test_bed = at_capacity(share);
    let mut leaving = Vec::new();
    for at in 0..48 {
        let (workload, body, part) = BODIES[at / 2 % 4];
        let (stays, whole) = (at % 2 == 1, part == 1.0);
        let departure = if body > 200_000 && whole { Departure::Resets } else { test_bed.next_departure() };
        let request = test_bed.send(workload, (body, if stays { 1.0 } else { part }), departure);
        leaving.extend((!stays).then_some(request));
    }
    thread::sleep(ms(200));
    test_bed.set_all_servers(Mode::Answers(ms(80)));
    test_bed.leave_within(leaving, ms(250));
    test_bed.finish(ms(400))
}

/// Most clients of a long queue leave at once.
fn burst_queued(share: CpuShare) -> CaseResult {
    let mut test_bed = at_capacity(share);
    let requests = test_bed.send_requests(240);
    thread::sleep(ms(400));
    test_bed.set_all_servers(Mode::Answers(ms(50)));
    let leaving = requests.iter().zip(0..).filter(|(_, at)| at % 6 != 0).map(|(request, _)| *request);
    leaving.for_each(|request| test_bed.leave(request));
    test_bed.finish(ms(500))
}

/// Clients leave right after writing their requests, while others are served.
fn burst_unread(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::Answers(ms(50)); 2]);
    for at in 0..240 {
        let request = test_bed.send_request();
        if at % 6 != 0 {
            test_bed.leave(request);
        }
    }
    test_bed.finish(ms(500))
}

/// Clients leave and connections to servers come up while the process is suspended, and it learns of both at once.
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

/// The same with the capacity for which the requests wait.
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

/// The same with the refusal after which a request is retried.
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

/// The same with the moment of the hedge.
fn hedged_suspended(share: CpuShare) -> CaseResult {
    let mut test_bed = TestBed::start(share, &[Mode::Answers(ms(250)); 6]);
    let usual = test_bed.send_views(24);
    usual.into_iter().for_each(|request| test_bed.expect_answer(request));
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
        for number in 1..=MAX_RUNS {
            let (findings, ran) = run(share);
            println!("{share:?} core ({ran:.2} of the time), {name}, run {number}: {findings:?}");
            let forced = findings.attempts_at_departure[0] >= minimum.0
                && findings.attempts_at_departure[1] >= minimum.1
                && findings.attempts_for_others >= minimum.2;
            if findings.violation.is_none() && findings.explained_by_stalls.is_none() && forced {
                break;
            }
            if findings.violation.is_some() || number == MAX_RUNS {
                failures.push(format!("{name}: {findings:?}, bound {BOUND:?}, forced {forced}"));
                break;
            }
            // Written to standard error directly: the test harness hides the output of a test that passes.
            let why = if forced { "the machine stalled" } else { "the moment was not forced" };
            let _ = writeln!(stderr(), "{share:?} core, {name}, run {number}: repeated, {why}: {findings:?}");
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
