//! The soak's checker finds each broken rule in hand-made records, and nothing in records that keep all rules.
use oakhollow_lab::harness::lock;
use oakhollow_lab::soak::checker::check;
use oakhollow_lab::soak::fleet::Ends;
use oakhollow_lab::soak::records::{Attempt, Class, Deed, Ending, Event, ProcessId, Records, Request};

const PROCESS: ProcessId = ProcessId { group: 0, number: 0 };

/// A request that is answered 0.1 s after it was sent, by one attempt.
fn request() -> Request {
    Request {
        process: PROCESS,
        id: "g0p0-1".into(),
        class: Class::Pay,
        sent: Some(10.0),
        patience: 0.5,
        reused: false,
        ended: 10.1,
        ending: Ending::Answered { status: 200, own: true },
    }
}

fn attempt() -> Attempt {
    Attempt {
        process: PROCESS,
        server: 2,
        cell: 0,
        id: "g0p0-1".into(),
        first_byte: 10.02,
        last_byte: Some(10.02),
        over: 10.09,
        told: Some(0.48),
        deed: Deed::Ran,
    }
}

fn found(request: Request, attempts: &[Attempt], events: &[(f64, Event)]) -> Vec<&'static str> {
    let records = Records::new();
    lock(&records.requests).push(request);
    lock(&records.attempts).extend_from_slice(attempts);
    lock(&records.events).extend(events.iter().map(|(at, event)| (*at, PROCESS, *event)));
    check(&records, &Ends::default()).findings.iter().map(|finding| finding.promise).collect()
}

fn ended(ending: Ending, at: f64) -> Request {
    Request { ending, ended: at, ..request() }
}

#[test]
fn records_that_keep_all_rules_give_no_finding() {
    assert!(found(request(), &[attempt()], &[]).is_empty());
    let turned_away = Attempt { deed: Deed::TurnedAway, ..attempt() };
    let refused = Ending::Answered { status: 503, own: true };
    assert!(found(ended(refused, 10.1), std::slice::from_ref(&turned_away), &[]).is_empty());
    assert!(found(request(), &[turned_away, attempt()], &[]).is_empty());
    assert!(found(ended(Ending::Left, 10.1), &[attempt()], &[]).is_empty());
    // The process was killed meanwhile, or the request crossed with the close of an idle connection.
    let killed = [(10.05, Event::Killed), (10.4, Event::Started)];
    assert!(found(ended(Ending::Closed, 10.06), &[attempt()], &killed).is_empty());
    assert!(found(Request { reused: true, ..ended(Ending::Closed, 10.01) }, &[], &[]).is_empty());
}

#[test]
fn a_request_without_its_own_answer_is_found() {
    assert_eq!(found(ended(Ending::Closed, 10.06), &[attempt()], &[]), ["answered"]);
    assert_eq!(
        found(Request { reused: true, ..ended(Ending::Closed, 10.06) }, &[attempt()], &[]),
        ["answered"]
    );
    assert_eq!(found(ended(Ending::Nothing, 11.4), &[], &[]), ["answered"]);
    let served = Ending::Answered { status: 200, own: true };
    assert_eq!(found(ended(served, 11.2), &[attempt()], &[]), ["answered"]);
    let strange = Ending::Answered { status: 200, own: false };
    assert_eq!(found(ended(strange, 10.1), &[attempt()], &[]), ["own-answer"]);
}

#[test]
fn effects_that_the_rules_forbid_are_found() {
    assert_eq!(found(request(), &[attempt(), attempt()], &[]), ["run-once"]);
    let refused = Ending::Answered { status: 503, own: true };
    assert_eq!(found(ended(refused, 10.1), &[attempt()], &[]), ["refused-unless-run"]);
    let elsewhere = Attempt { cell: 1, ..attempt() };
    let saved = Request { class: Class::Save, ..request() };
    assert_eq!(found(saved, &[attempt(), elsewhere], &[]), ["keyed-in-its-cell"]);
}

#[test]
fn attempts_that_come_too_late_or_to_the_wrong_server_are_found() {
    let late = Attempt { first_byte: 10.4, told: None, ..attempt() };
    assert_eq!(found(ended(Ending::Left, 10.1), &[late], &[]), ["nothing-after-leaving"]);
    let told = Attempt { told: Some(0.9), ..attempt() };
    assert_eq!(found(request(), &[told], &[]), ["told-time-left"]);
    let drained = [(9.0, Event::ToldDrained(2))];
    assert_eq!(found(request(), &[attempt()], &drained), ["nothing-to-one-drained"]);
    assert!(found(request(), &[attempt()], &[(9.0, Event::ToldDrained(2)), (9.9, Event::ToldReady(2))])
        .is_empty());
    assert!(found(request(), &[attempt()], &[(9.9, Event::ToldDrained(2))]).is_empty());
    assert_eq!(found(request(), &[attempt()], &[(9.0, Event::TakenOut(2))]), ["nothing-to-one-out-by-hand"]);
}

#[test]
fn a_process_that_crashes_or_becomes_ready_late_is_found() {
    assert_eq!(found(request(), &[attempt()], &[(12.0, Event::Ended(Some(1)))]), ["ends-in-order"]);
    let in_order = [(12.0, Event::Terminated), (13.0, Event::Ended(Some(0)))];
    assert!(found(request(), &[attempt()], &in_order).is_empty());
    assert_eq!(
        found(request(), &[attempt()], &[(1.0, Event::Started), (11.5, Event::Ready)]),
        ["ready-in-time"]
    );
}

/// The findings if the guard reports that this request was answered too late.
fn found_by_guard(events: &[(f64, Event)]) -> Vec<&'static str> {
    let records = Records::new();
    lock(&records.requests).push(request());
    lock(&records.events).extend(events.iter().map(|(at, event)| (*at, PROCESS, *event)));
    let broken = vec!["g0p0: rule broken: answer_in_time: request g0p0-1 (7): 0.000s accepted".into()];
    let ends = Ends { broken, ..Ends::default() };
    check(&records, &ends).findings.iter().map(|finding| finding.promise).collect()
}

#[test]
fn a_late_answer_reported_by_the_guard_is_excused_only_while_the_process_was_stopped() {
    assert_eq!(found_by_guard(&[]), ["guard"]);
    assert_eq!(found_by_guard(&[(3.0, Event::Stopped), (3.9, Event::Continued)]), ["guard"]);
    assert_eq!(found_by_guard(&[(9.9, Event::Stopped), (10.1, Event::Continued)]), [""; 0]);
}

#[test]
fn a_request_unanswered_at_the_end_of_the_grace_period_is_found_unless_it_was_never_read() {
    let killed = [(9.0, Event::Terminated), (10.3, Event::KilledAfterGrace), (10.6, Event::Started)];
    assert_eq!(found(ended(Ending::Closed, 10.3001), &[attempt()], &killed), ["answered"]);
    assert!(found(Request { reused: true, ..ended(Ending::Closed, 10.3001) }, &[], &killed).is_empty());
    // The process was killed outright, without a grace period.
    let outright = [(10.3, Event::Killed), (10.6, Event::Started)];
    assert!(found(ended(Ending::Closed, 10.3001), &[attempt()], &outright).is_empty());
    // The process was stopped meanwhile and could not answer.
    let stopped = [(10.05, Event::Stopped), (10.25, Event::Continued)];
    let stopped = [stopped.as_slice(), &killed[1..]].concat();
    assert!(found(ended(Ending::Closed, 10.3001), &[attempt()], &stopped).is_empty());
}
