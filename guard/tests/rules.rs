//! For each rule, a sequence of events that breaks it is reported, and one that keeps it is not.
use oakhollow::types::{CallId, CellId, DedupScope, HopNo, Micros, Outcome, ServerId, ServerStatus, ZoneId};
use oakhollow_guard::*;

const DEADLINE: Micros = Micros::millis(1_000);
const REQUEST: CallId = CallId(1);
const FIRST: HopNo = HopNo(0);
const SECOND: HopNo = HopNo(1);
const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

/// A sequence of events at given milliseconds, with one request open from the start.
struct Scenario {
    guard: Guard,
    now: Micros,
}

impl Scenario {
    fn new(repeat_safety: RepeatSafety) -> Scenario {
        Scenario::with_limits(repeat_safety, Limits::default())
    }

    fn with_limits(repeat_safety: RepeatSafety, limits: Limits) -> Scenario {
        let mut scenario = Scenario { guard: Guard::new(limits), now: Micros(0) };
        for (server, cell) in [(A, 1), (B, 2)] {
            scenario.list_server(server, ServerStatus::Ready, cell);
        }
        scenario.accept(REQUEST, repeat_safety);
        scenario
    }

    fn at(&mut self, milliseconds: u64) -> &mut Scenario {
        self.now = Micros::millis(milliseconds);
        self
    }

    fn observe(&mut self, event: Event) -> &mut Scenario {
        self.guard.observe(self.now, event);
        self
    }

    fn accept(&mut self, request: CallId, repeat_safety: RepeatSafety) {
        let deadline = self.now + DEADLINE;
        self.observe(Event::Accepted {
            request,
            request_id: format!("id-{}", request.0).into(),
            repeat_safety,
            deadline,
        });
    }

    fn list_server(&mut self, server: ServerId, status: ServerStatus, cell: u32) -> &mut Scenario {
        let location = Location { zone: ZoneId(0), cell: CellId(cell) };
        self.observe(Event::ServerListed { server, status, location })
    }

    fn start(&mut self, attempt: HopNo, server: ServerId) -> Result<AttemptPermit, Denial> {
        self.guard.start_attempt(self.now, REQUEST, attempt, server)
    }

    fn conditions(&self) -> SendConditions {
        let time_left = DEADLINE - self.now;
        SendConditions {
            server_available: true,
            lease_valid: true,
            list_fresh: true,
            client_gone: false,
            time_left,
            announced_timeout: time_left,
        }
    }

    fn permits_first_byte(&mut self, permit: &AttemptPermit) -> bool {
        let (now, conditions) = (self.now, self.conditions());
        self.guard.send(now, permit, conditions).is_ok()
    }

    /// Starts an attempt and writes it completely.
    fn send_whole(&mut self, attempt: HopNo, server: ServerId) -> &mut Scenario {
        let permit = self.start(attempt, server).expect("allowed");
        assert!(self.permits_first_byte(&permit));
        self.observe(Event::LastByteWritten { request: REQUEST, attempt })
    }

    fn end(&mut self, attempt: HopNo, outcome: Outcome) -> &mut Scenario {
        self.observe(Event::AttemptEnded { request: REQUEST, attempt, outcome })
    }

    fn answer(&mut self, kind: AnswerKind) -> &mut Scenario {
        self.observe(Event::AnswerBegun { request: REQUEST, kind })
    }

    fn close(&mut self, reason: Option<CloseReason>) -> &mut Scenario {
        self.observe(Event::Closed { request: REQUEST, reason })
    }

    fn broken_rules(&mut self) -> Vec<Rule> {
        self.guard.take_violations().into_iter().map(|violation| violation.rule).collect()
    }
}

fn keyed() -> RepeatSafety {
    RepeatSafety::Keyed { window: Micros::millis(300), scope: DedupScope::Cell }
}

#[test]
fn ordinary_request_breaks_no_rule_and_is_forgotten() {
    for repeat_safety in [RepeatSafety::Safe, RepeatSafety::Unsafe, keyed()] {
        let mut scenario = Scenario::new(repeat_safety);
        scenario.observe(Event::Queued { request: REQUEST }).at(2).send_whole(FIRST, A);
        scenario.at(9).end(FIRST, Outcome::Succeeded).answer(AnswerKind::Served).close(None);
        assert_eq!(
            (scenario.broken_rules(), scenario.guard.open_requests()),
            (vec![], 0),
            "{repeat_safety:?}"
        );
    }
}

#[test]
fn proven_retries_and_safe_hedges_break_no_rule() {
    let mut scenario = Scenario::new(RepeatSafety::Unsafe);
    scenario.send_whole(FIRST, A).end(FIRST, Outcome::Full).at(5).send_whole(SECOND, B);
    scenario.end(SECOND, Outcome::Succeeded).answer(AnswerKind::Served).close(None);
    assert_eq!(scenario.broken_rules(), []);
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.send_whole(FIRST, A).at(5).send_whole(SECOND, B).answer(AnswerKind::Served);
    scenario.end(FIRST, Outcome::Cancelled).close(Some(CloseReason::LastAnswer));
    assert_eq!(scenario.broken_rules(), []);
}

#[test]
fn second_answer_is_reported_with_last_transitions() {
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.at(3).send_whole(FIRST, A).answer(AnswerKind::Served).answer(AnswerKind::Failed);
    let found = scenario.guard.take_violations();
    assert_eq!(found.iter().map(|found| found.rule).collect::<Vec<_>>(), [Rule::OneAnswer]);
    let line = found[0].to_string();
    assert!(line.starts_with("one_answer: request id-1 (1):"), "{line}");
    assert!(
        line.contains("0.003s attempt 0 started at server 1") && line.ends_with("answer failed"),
        "{line}"
    );
}

#[test]
fn close_without_answer_is_reported_unless_client_is_gone() {
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.close(Some(CloseReason::Evicted));
    assert_eq!(scenario.broken_rules(), [Rule::AnswerBeforeClose]);
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.observe(Event::ClientGone { request: REQUEST }).close(Some(CloseReason::ClientGone));
    assert_eq!(scenario.broken_rules(), []);
}

#[test]
fn late_answer_is_reported_also_during_shutdown() {
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.at(1_490).answer(AnswerKind::Failed);
    assert_eq!(scenario.broken_rules(), []);
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.at(1_510).answer(AnswerKind::Failed);
    assert_eq!(scenario.broken_rules(), [Rule::AnswerInTime]);
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario
        .observe(Event::ShutdownBegun { answer_by: Micros::millis(200) })
        .at(800)
        .answer(AnswerKind::Failed);
    assert_eq!(scenario.broken_rules(), [Rule::AnswerInTime]);
}

#[test]
fn attempts_after_the_end_of_a_request_are_denied_and_reported() {
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.answer(AnswerKind::Refused);
    assert_eq!(
        (scenario.start(FIRST, A), scenario.broken_rules()),
        (Err(Denial::RequestOver), vec![Rule::NoAttemptAfterAnswer])
    );
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    let late = scenario.at(1_001).start(FIRST, A);
    assert_eq!((late, scenario.broken_rules()), (Err(Denial::OutOfTime), vec![Rule::NoAttemptAfterDeadline]));
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    scenario.at(10).observe(Event::ClientGone { request: REQUEST });
    assert!(scenario.at(60).start(FIRST, A).is_ok());
    let gone = scenario.at(111).start(SECOND, A);
    assert_eq!(
        (gone, scenario.broken_rules()),
        (Err(Denial::ClientGone), vec![Rule::NoAttemptAfterClientGone])
    );
}

#[test]
fn unproven_repeat_of_unsafe_request_is_denied_and_reported() {
    for outcome in [None, Some(Outcome::Broken), Some(Outcome::TimedOut), Some(Outcome::Errored)] {
        let mut scenario = Scenario::new(RepeatSafety::Unsafe);
        scenario.send_whole(FIRST, A);
        outcome.map(|outcome| scenario.end(FIRST, outcome));
        let again = scenario.start(SECOND, B);
        assert_eq!(
            (again, scenario.broken_rules()),
            (Err(Denial::MayHaveRun), vec![Rule::ProvenBeforeRepeat]),
            "{outcome:?}"
        );
    }
}

#[test]
fn keyed_repeat_outside_its_cell_or_window_is_denied_and_reported() {
    let mut scenario = Scenario::new(keyed());
    scenario.send_whole(FIRST, A).end(FIRST, Outcome::Broken);
    assert!(scenario.at(299).start(SECOND, A).is_ok());
    let mut scenario = Scenario::new(keyed());
    scenario.send_whole(FIRST, A);
    assert_eq!(
        (scenario.start(SECOND, B), scenario.broken_rules()),
        (Err(Denial::MayHaveRun), vec![Rule::RepeatWithinMemory])
    );
    let mut scenario = Scenario::new(keyed());
    scenario.send_whole(FIRST, A).end(FIRST, Outcome::TimedOut);
    let late = scenario.at(301).start(SECOND, A);
    assert_eq!((late, scenario.broken_rules()), (Err(Denial::MayHaveRun), vec![Rule::RepeatWithinMemory]));
}

#[test]
fn refusal_of_a_request_that_may_have_run_is_reported() {
    for (outcome, broken_rules) in
        [(Outcome::Full, vec![]), (Outcome::Broken, vec![Rule::RefusedOnlyIfNotRun])]
    {
        let mut scenario = Scenario::new(RepeatSafety::Unsafe);
        scenario.send_whole(FIRST, A).end(FIRST, outcome).answer(AnswerKind::Refused);
        assert_eq!(scenario.broken_rules(), broken_rules, "{outcome:?}");
    }
    let mut scenario = Scenario::new(RepeatSafety::Unsafe);
    scenario.send_whole(FIRST, A).answer(AnswerKind::Refused);
    assert_eq!(scenario.broken_rules(), [Rule::RefusedOnlyIfNotRun]);
}

#[test]
fn first_byte_after_the_drain_grace_is_denied_and_reported() {
    let limits = Limits { drain_grace: Micros::millis(100), retry_budget: None };
    let mut scenario = Scenario::with_limits(RepeatSafety::Safe, limits);
    let permit = scenario.start(FIRST, A).expect("allowed");
    scenario.list_server(A, ServerStatus::Draining, 1);
    assert!(scenario.at(140).permits_first_byte(&permit));
    // Listed as gone after draining, the grace still counts from when it began to drain.
    scenario.list_server(A, ServerStatus::Gone, 1).at(160);
    let (now, conditions) = (scenario.now, scenario.conditions());
    assert_eq!(scenario.guard.send(now, &permit, conditions), Err(Denial::ServerNotWanted));
    assert_eq!(scenario.broken_rules(), [Rule::NothingToDrained]);
    scenario.list_server(A, ServerStatus::Ready, 1);
    assert!(scenario.permits_first_byte(&permit));
}

#[test]
fn send_is_denied_if_a_condition_fails() {
    let mut scenario = Scenario::new(RepeatSafety::Safe);
    let permit = scenario.start(FIRST, A).expect("allowed");
    let conditions = scenario.conditions();
    let forbidden = [
        (SendConditions { server_available: false, ..conditions }, Denial::ServerNotWanted),
        (SendConditions { lease_valid: false, ..conditions }, Denial::LeaseLapsed),
        (SendConditions { list_fresh: false, ..conditions }, Denial::ListStale),
        (SendConditions { client_gone: true, ..conditions }, Denial::ClientGone),
        (SendConditions { time_left: Micros(0), ..conditions }, Denial::OutOfTime),
    ];
    for (conditions, denial) in forbidden {
        assert_eq!(scenario.guard.send(scenario.now, &permit, conditions), Err(denial));
    }
    assert_eq!(scenario.broken_rules(), []);
}

#[test]
fn announced_timeout_beyond_the_deadline_is_reported() {
    for (timeout, broken_rules) in [(1_040, vec![]), (1_060, vec![Rule::ToldTimeLeft])] {
        let mut scenario = Scenario::new(RepeatSafety::Safe);
        let permit = scenario.at(100).start(FIRST, A).expect("allowed");
        let conditions =
            SendConditions { announced_timeout: Micros::millis(timeout), ..scenario.conditions() };
        assert!(scenario.guard.send(scenario.now, &permit, conditions).is_ok());
        assert_eq!(scenario.broken_rules(), broken_rules, "{timeout}");
    }
}

#[test]
fn attempts_beyond_the_retry_budget_are_reported() {
    let budget = RetryBudget { base: 1.0, ratio: 0.1, window: Micros::millis(100) };
    let mut scenario =
        Scenario::with_limits(RepeatSafety::Safe, Limits { retry_budget: Some(budget), ..Limits::default() });
    scenario.send_whole(FIRST, A).send_whole(SECOND, B);
    assert_eq!(scenario.broken_rules(), []);
    scenario.at(50).send_whole(HopNo(2), A);
    assert_eq!(scenario.broken_rules(), [Rule::RetryBudget]);
    // The first two attempts have left the window.
    scenario.at(151).send_whole(HopNo(3), A);
    assert_eq!(scenario.broken_rules(), []);
}

#[test]
fn rules_and_reasons_have_distinct_names() {
    let mut names: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
    names.extend(CloseReason::ALL.iter().map(|reason| reason.name()));
    names.extend(Denial::ALL.iter().map(|denial| denial.name()));
    // `client_gone` is both a denial and a reason to close a connection.
    let mut distinct = names.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), names.len() - 1);
}
