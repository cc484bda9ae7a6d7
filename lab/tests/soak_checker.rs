//! The soak's checker finds each kind of violation in records written by hand, and has no findings where all
//! rules are kept.
use oakhollow_lab::harness::lock;
use oakhollow_lab::soak::checker::check;
use oakhollow_lab::soak::fleet::ShutdownReport;
use oakhollow_lab::soak::records::{
    Attempt, AttemptOutcome, Event, ProcessId, Records, Request, RequestClass, RequestOutcome,
};

const PROCESS: ProcessId = ProcessId { group: 0, number: 0 };

/// A request that is served 0.1 s after it was sent, by one attempt.
fn request() -> Request {
    Request {
        process: PROCESS,
        id: "g0p0-1".into(),
        class: RequestClass::Pay,
        sent_at: Some(10.0),
        timeout_s: 0.5,
        reused_connection: false,
        ended_at: 10.1,
        outcome: RequestOutcome::Answered { status: 200, own_body: true },
    }
}

fn attempt() -> Attempt {
    Attempt {
        process: PROCESS,
        server: 2,
        cell: 0,
        id: "g0p0-1".into(),
        first_byte_at: 10.02,
        last_byte_at: Some(10.02),
        ended_at: 10.09,
        announced_timeout_s: Some(0.48),
        outcome: AttemptOutcome::Executed,
    }
}

fn rules_broken(request: Request, attempts: &[Attempt], events: &[(f64, Event)]) -> Vec<&'static str> {
    let records = Records::new();
    lock(&records.requests).push(request);
    lock(&records.attempts).extend_from_slice(attempts);
    lock(&records.events).extend(events.iter().map(|(time, event)| (*time, PROCESS, *event)));
    check(&records, &ShutdownReport::default()).findings.iter().map(|finding| finding.rule).collect()
}

fn ended_with(outcome: RequestOutcome, ended_at: f64) -> Request {
    Request { outcome, ended_at, ..request() }
}

#[test]
fn records_that_keep_all_rules_have_no_findings() {
    assert!(rules_broken(request(), &[attempt()], &[]).is_empty());
    let rejected = Attempt { outcome: AttemptOutcome::Rejected, ..attempt() };
    let refused = RequestOutcome::Answered { status: 503, own_body: true };
    assert!(rules_broken(ended_with(refused, 10.1), std::slice::from_ref(&rejected), &[]).is_empty());
    assert!(rules_broken(request(), &[rejected, attempt()], &[]).is_empty());
    assert!(rules_broken(ended_with(RequestOutcome::ClientLeft, 10.1), &[attempt()], &[]).is_empty());
    // The process was killed meanwhile, or closed the idle connection as the request was sent.
    let killed = [(10.05, Event::Killed), (10.4, Event::Started)];
    assert!(rules_broken(ended_with(RequestOutcome::Closed, 10.06), &[attempt()], &killed).is_empty());
    assert!(rules_broken(
        Request { reused_connection: true, ..ended_with(RequestOutcome::Closed, 10.01) },
        &[],
        &[]
    )
    .is_empty());
}

#[test]
fn a_request_without_its_own_answer_is_a_finding() {
    assert_eq!(rules_broken(ended_with(RequestOutcome::Closed, 10.06), &[attempt()], &[]), ["answered"]);
    assert_eq!(
        rules_broken(
            Request { reused_connection: true, ..ended_with(RequestOutcome::Closed, 10.06) },
            &[attempt()],
            &[]
        ),
        ["answered"]
    );
    assert_eq!(rules_broken(ended_with(RequestOutcome::NoResponse, 11.4), &[], &[]), ["answered"]);
    let served = RequestOutcome::Answered { status: 200, own_body: true };
    assert_eq!(rules_broken(ended_with(served, 11.2), &[attempt()], &[]), ["answered"]);
    let foreign = RequestOutcome::Answered { status: 200, own_body: false };
    assert_eq!(rules_broken(ended_with(foreign, 10.1), &[attempt()], &[]), ["own-answer"]);
}

#[test]
fn repeated_or_misreported_executions_are_findings() {
    assert_eq!(rules_broken(request(), &[attempt(), attempt()], &[]), ["run-once"]);
    let refused = RequestOutcome::Answered { status: 503, own_body: true };
    assert_eq!(rules_broken(ended_with(refused, 10.1), &[attempt()], &[]), ["refused-unless-run"]);
    let elsewhere = Attempt { cell: 1, ..attempt() };
    let saved = Request { class: RequestClass::Save, ..request() };
    assert_eq!(rules_broken(saved, &[attempt(), elsewhere], &[]), ["keyed-in-its-cell"]);
}

#[test]
fn attempts_too_late_or_to_an_excluded_server_are_findings() {
    let late = Attempt { first_byte_at: 10.4, announced_timeout_s: None, ..attempt() };
    assert_eq!(
        rules_broken(ended_with(RequestOutcome::ClientLeft, 10.1), &[late], &[]),
        ["nothing-after-leaving"]
    );
    let overstated = Attempt { announced_timeout_s: Some(0.9), ..attempt() };
    assert_eq!(rules_broken(request(), &[overstated], &[]), ["told-time-left"]);
    let drained = [(9.0, Event::DrainAnnounced(2))];
    assert_eq!(rules_broken(request(), &[attempt()], &drained), ["nothing-to-one-drained"]);
    assert!(rules_broken(
        request(),
        &[attempt()],
        &[(9.0, Event::DrainAnnounced(2)), (9.9, Event::ReadyAnnounced(2))]
    )
    .is_empty());
    assert!(rules_broken(request(), &[attempt()], &[(9.9, Event::DrainAnnounced(2))]).is_empty());
    assert_eq!(
        rules_broken(request(), &[attempt()], &[(9.0, Event::MaintenanceConfirmed(2))]),
        ["nothing-to-one-out-by-hand"]
    );
}

#[test]
fn an_unexpected_exit_and_a_slow_start_are_findings() {
    assert_eq!(rules_broken(request(), &[attempt()], &[(12.0, Event::Exited(Some(1)))]), ["ends-in-order"]);
    let in_order = [(12.0, Event::TerminationRequested), (13.0, Event::Exited(Some(0)))];
    assert!(rules_broken(request(), &[attempt()], &in_order).is_empty());
    assert_eq!(
        rules_broken(request(), &[attempt()], &[(1.0, Event::Started), (11.5, Event::Ready)]),
        ["ready-in-time"]
    );
}

/// The findings where the guard logged that this request was answered too late.
fn rules_broken_by_guard(events: &[(f64, Event)]) -> Vec<&'static str> {
    let records = Records::new();
    lock(&records.requests).push(request());
    lock(&records.events).extend(events.iter().map(|(time, event)| (*time, PROCESS, *event)));
    let log_errors = vec!["g0p0: rule broken: answer_in_time: request g0p0-1 (7): 0.000s accepted".into()];
    let shutdown = ShutdownReport { log_errors, ..ShutdownReport::default() };
    check(&records, &shutdown).findings.iter().map(|finding| finding.rule).collect()
}

#[test]
fn a_late_answer_that_the_guard_logged_is_excused_only_if_the_process_was_stopped_meanwhile() {
    assert_eq!(rules_broken_by_guard(&[]), ["guard"]);
    assert_eq!(rules_broken_by_guard(&[(3.0, Event::Paused), (3.9, Event::Resumed)]), ["guard"]);
    assert_eq!(rules_broken_by_guard(&[(9.9, Event::Paused), (10.1, Event::Resumed)]), [""; 0]);
}

#[test]
fn a_request_open_at_the_end_of_the_grace_period_is_lost_unless_it_was_never_read() {
    let killed =
        [(9.0, Event::TerminationRequested), (10.3, Event::KilledAfterGrace), (10.6, Event::Started)];
    assert_eq!(
        rules_broken(ended_with(RequestOutcome::Closed, 10.3001), &[attempt()], &killed),
        ["answered"]
    );
    assert!(rules_broken(
        Request { reused_connection: true, ..ended_with(RequestOutcome::Closed, 10.3001) },
        &[],
        &killed
    )
    .is_empty());
    // Killed without a grace period.
    let outright = [(10.3, Event::Killed), (10.6, Event::Started)];
    assert!(rules_broken(ended_with(RequestOutcome::Closed, 10.3001), &[attempt()], &outright).is_empty());
    // The process was stopped meanwhile and could not answer.
    let stopped = [(10.05, Event::Paused), (10.25, Event::Resumed)];
    let stopped = [stopped.as_slice(), &killed[1..]].concat();
    assert!(rules_broken(ended_with(RequestOutcome::Closed, 10.3001), &[attempt()], &stopped).is_empty());
}
