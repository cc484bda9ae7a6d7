//! Each rule is seen to be broken by a sequence that breaks it, and by none that keeps it.
use oakhollow::types::{CallId, CellId, DedupScope, HopNo, Micros, Outcome, ServerId, ServerStatus, ZoneId};
use oakhollow_guard::*;

const DEADLINE: Micros = Micros::millis(1_000);
const ONE: CallId = CallId(1);
const FIRST: HopNo = HopNo(0);
const SECOND: HopNo = HopNo(1);
const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

/// A sequence of events by the millisecond, with one request open from the start.
struct Play {
    guard: Guard,
    now: Micros,
}

impl Play {
    fn new(effect: Effect) -> Play {
        Play::within(effect, Limits::default())
    }

    fn within(effect: Effect, limits: Limits) -> Play {
        let mut play = Play { guard: Guard::new(limits), now: Micros(0) };
        for (server, cell) in [(A, 1), (B, 2)] {
            play.lists(server, ServerStatus::Ready, cell);
        }
        play.accept(ONE, effect);
        play
    }

    fn at(&mut self, milliseconds: u64) -> &mut Play {
        self.now = Micros::millis(milliseconds);
        self
    }

    fn on(&mut self, event: Event) -> &mut Play {
        self.guard.observe(self.now, event);
        self
    }

    fn accept(&mut self, request: CallId, effect: Effect) {
        let deadline = self.now + DEADLINE;
        self.on(Event::Accepted {
            request,
            request_id: format!("id-{}", request.0).into(),
            effect,
            deadline,
        });
    }

    fn lists(&mut self, server: ServerId, standing: ServerStatus, cell: u32) -> &mut Play {
        let location = Location { place: ZoneId(0), cell: CellId(cell) };
        self.on(Event::ServerListed { server, standing, location })
    }

    fn starts(&mut self, attempt: HopNo, server: ServerId) -> Result<AttemptPermit, Denial> {
        self.guard.start_attempt(self.now, ONE, attempt, server)
    }

    fn look(&self) -> LastLook {
        let left = DEADLINE - self.now;
        LastLook {
            server_wanted: true,
            lease_valid: true,
            list_fresh: true,
            client_gone: false,
            left,
            told: left,
        }
    }

    fn may_send(&mut self, permit: &AttemptPermit) -> bool {
        let (now, look) = (self.now, self.look());
        self.guard.send(now, permit, look).is_ok()
    }

    /// An attempt from its start to its last byte.
    fn sends(&mut self, attempt: HopNo, server: ServerId) -> &mut Play {
        let permit = self.starts(attempt, server).expect("allowed");
        assert!(self.may_send(&permit));
        self.on(Event::LastByteWritten { request: ONE, attempt })
    }

    fn ends(&mut self, attempt: HopNo, outcome: Outcome) -> &mut Play {
        self.on(Event::AttemptEnded { request: ONE, attempt, outcome })
    }

    fn answers(&mut self, kind: AnswerKind) -> &mut Play {
        self.on(Event::AnswerBegun { request: ONE, kind })
    }

    fn closes(&mut self, reason: Option<CloseReason>) -> &mut Play {
        self.on(Event::Closed { request: ONE, reason })
    }

    fn broken(&mut self) -> Vec<Rule> {
        self.guard.take_violations().into_iter().map(|violation| violation.rule).collect()
    }
}

fn keyed() -> Effect {
    Effect::Keyed { memory: Micros::millis(300), group: DedupScope::Cell }
}

#[test]
fn an_ordinary_request_breaks_nothing_and_is_forgotten() {
    for effect in [Effect::Safe, Effect::Unsafe, keyed()] {
        let mut play = Play::new(effect);
        play.on(Event::Queued { request: ONE }).at(2).sends(FIRST, A);
        play.at(9).ends(FIRST, Outcome::Succeeded).answers(AnswerKind::Served).closes(None);
        assert_eq!((play.broken(), play.guard.open_requests()), (vec![], 0), "{effect:?}");
    }
}

#[test]
fn retries_after_a_proof_and_hedges_of_safe_requests_break_nothing() {
    let mut play = Play::new(Effect::Unsafe);
    play.sends(FIRST, A).ends(FIRST, Outcome::Full).at(5).sends(SECOND, B);
    play.ends(SECOND, Outcome::Succeeded).answers(AnswerKind::Served).closes(None);
    assert_eq!(play.broken(), []);
    let mut play = Play::new(Effect::Safe);
    play.sends(FIRST, A).at(5).sends(SECOND, B).answers(AnswerKind::Served);
    play.ends(FIRST, Outcome::Cancelled).closes(Some(CloseReason::LastAnswer));
    assert_eq!(play.broken(), []);
}

#[test]
fn a_second_answer_is_counted_with_the_last_transitions() {
    let mut play = Play::new(Effect::Safe);
    play.at(3).sends(FIRST, A).answers(AnswerKind::Served).answers(AnswerKind::Failed);
    let found = play.guard.take_violations();
    assert_eq!(found.iter().map(|found| found.rule).collect::<Vec<_>>(), [Rule::OneAnswer]);
    let line = found[0].to_string();
    assert!(line.starts_with("one_answer: request id-1 (1):"), "{line}");
    assert!(
        line.contains("0.003s attempt 0 started at server 1") && line.ends_with("answer failed"),
        "{line}"
    );
}

#[test]
fn a_close_without_an_answer_is_counted_unless_the_client_has_gone() {
    let mut play = Play::new(Effect::Safe);
    play.closes(Some(CloseReason::Evicted));
    assert_eq!(play.broken(), [Rule::AnswerBeforeClose]);
    let mut play = Play::new(Effect::Safe);
    play.on(Event::ClientGone { request: ONE }).closes(Some(CloseReason::ClientGone));
    assert_eq!(play.broken(), []);
}

#[test]
fn an_answer_that_is_late_is_counted_also_by_the_end_of_the_process() {
    let mut play = Play::new(Effect::Safe);
    play.at(1_490).answers(AnswerKind::Failed);
    assert_eq!(play.broken(), []);
    let mut play = Play::new(Effect::Safe);
    play.at(1_510).answers(AnswerKind::Failed);
    assert_eq!(play.broken(), [Rule::AnswerInTime]);
    let mut play = Play::new(Effect::Safe);
    play.on(Event::ShutdownBegun { answer_by: Micros::millis(200) }).at(800).answers(AnswerKind::Failed);
    assert_eq!(play.broken(), [Rule::AnswerInTime]);
}

#[test]
fn attempts_of_a_request_that_is_over_are_denied_and_counted() {
    let mut play = Play::new(Effect::Safe);
    play.answers(AnswerKind::Refused);
    assert_eq!(
        (play.starts(FIRST, A), play.broken()),
        (Err(Denial::RequestOver), vec![Rule::NoAttemptAfterAnswer])
    );
    let mut play = Play::new(Effect::Safe);
    let late = play.at(1_001).starts(FIRST, A);
    assert_eq!((late, play.broken()), (Err(Denial::OutOfTime), vec![Rule::NoAttemptAfterDeadline]));
    let mut play = Play::new(Effect::Safe);
    play.at(10).on(Event::ClientGone { request: ONE });
    assert!(play.at(60).starts(FIRST, A).is_ok());
    let gone = play.at(111).starts(SECOND, A);
    assert_eq!((gone, play.broken()), (Err(Denial::ClientGone), vec![Rule::NoAttemptAfterClientGone]));
}

#[test]
fn a_repeat_without_a_proof_is_denied_and_counted() {
    for outcome in [None, Some(Outcome::Broken), Some(Outcome::TimedOut), Some(Outcome::Errored)] {
        let mut play = Play::new(Effect::Unsafe);
        play.sends(FIRST, A);
        outcome.map(|outcome| play.ends(FIRST, outcome));
        let again = play.starts(SECOND, B);
        assert_eq!(
            (again, play.broken()),
            (Err(Denial::MayHaveRun), vec![Rule::ProvenBeforeRepeat]),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_keyed_repeat_outside_its_cell_or_span_is_denied_and_counted() {
    let mut play = Play::new(keyed());
    play.sends(FIRST, A).ends(FIRST, Outcome::Broken);
    assert!(play.at(299).starts(SECOND, A).is_ok());
    let mut play = Play::new(keyed());
    play.sends(FIRST, A);
    assert_eq!(
        (play.starts(SECOND, B), play.broken()),
        (Err(Denial::MayHaveRun), vec![Rule::RepeatWithinMemory])
    );
    let mut play = Play::new(keyed());
    play.sends(FIRST, A).ends(FIRST, Outcome::TimedOut);
    let late = play.at(301).starts(SECOND, A);
    assert_eq!((late, play.broken()), (Err(Denial::MayHaveRun), vec![Rule::RepeatWithinMemory]));
}

#[test]
fn a_refusal_of_what_may_have_run_is_counted() {
    for (outcome, broken) in [(Outcome::Full, vec![]), (Outcome::Broken, vec![Rule::RefusedOnlyIfNotRun])] {
        let mut play = Play::new(Effect::Unsafe);
        play.sends(FIRST, A).ends(FIRST, outcome).answers(AnswerKind::Refused);
        assert_eq!(play.broken(), broken, "{outcome:?}");
    }
    let mut play = Play::new(Effect::Unsafe);
    play.sends(FIRST, A).answers(AnswerKind::Refused);
    assert_eq!(play.broken(), [Rule::RefusedOnlyIfNotRun]);
}

#[test]
fn a_first_byte_to_a_server_that_drains_past_the_grace_is_denied_and_counted() {
    let limits = Limits { drain_grace: Micros::millis(100), retry_budget: None };
    let mut play = Play::within(Effect::Safe, limits);
    let permit = play.starts(FIRST, A).expect("allowed");
    play.lists(A, ServerStatus::Draining, 1);
    assert!(play.at(140).may_send(&permit));
    // Said again, it drains since it did first.
    play.lists(A, ServerStatus::Gone, 1).at(160);
    let (now, look) = (play.now, play.look());
    assert_eq!(play.guard.send(now, &permit, look), Err(Denial::ServerNotWanted));
    assert_eq!(play.broken(), [Rule::NothingToDrained]);
    play.lists(A, ServerStatus::Ready, 1);
    assert!(play.may_send(&permit));
}

#[test]
fn what_the_last_look_forbids_is_denied() {
    let mut play = Play::new(Effect::Safe);
    let permit = play.starts(FIRST, A).expect("allowed");
    let look = play.look();
    let forbidden = [
        (LastLook { server_wanted: false, ..look }, Denial::ServerNotWanted),
        (LastLook { lease_valid: false, ..look }, Denial::LeaseLapsed),
        (LastLook { list_fresh: false, ..look }, Denial::ListStale),
        (LastLook { client_gone: true, ..look }, Denial::ClientGone),
        (LastLook { left: Micros(0), ..look }, Denial::OutOfTime),
    ];
    for (look, denial) in forbidden {
        assert_eq!(play.guard.send(play.now, &permit, look), Err(denial));
    }
    assert_eq!(play.broken(), []);
}

#[test]
fn a_time_told_that_is_more_than_what_is_left_is_counted() {
    for (told, broken) in [(1_040, vec![]), (1_060, vec![Rule::ToldTimeLeft])] {
        let mut play = Play::new(Effect::Safe);
        let permit = play.at(100).starts(FIRST, A).expect("allowed");
        let look = LastLook { told: Micros::millis(told), ..play.look() };
        assert!(play.guard.send(play.now, &permit, look).is_ok());
        assert_eq!(play.broken(), broken, "{told}");
    }
}

#[test]
fn attempts_beyond_the_budget_of_a_window_are_counted() {
    let budget = RetryBudget { few: 1.0, share: 0.1, window: Micros::millis(100) };
    let mut play = Play::within(Effect::Safe, Limits { retry_budget: Some(budget), ..Limits::default() });
    play.sends(FIRST, A).sends(SECOND, B);
    assert_eq!(play.broken(), []);
    play.at(50).sends(HopNo(2), A);
    assert_eq!(play.broken(), [Rule::RetryBudget]);
    // The window moves on.
    play.at(151).sends(HopNo(3), A);
    assert_eq!(play.broken(), []);
}

#[test]
fn every_rule_and_reason_has_a_name_of_its_own() {
    let mut names: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
    names.extend(CloseReason::ALL.iter().map(|reason| reason.name()));
    names.extend(Denial::ALL.iter().map(|denial| denial.name()));
    // A client that has gone denies an attempt, and closes a connection.
    let mut once = names.clone();
    once.sort_unstable();
    once.dedup();
    assert_eq!(once.len(), names.len() - 1);
}
