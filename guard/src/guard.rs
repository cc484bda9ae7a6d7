//! The checks themselves.
use crate::budget::{RetryBudget, Spending};
use crate::event::{AnswerKind, CloseReason, Event, RepeatSafety, Transition};
use crate::permit::{AttemptPermit, Denial, SendConditions, SendPermit};
use crate::request::{Attempt, Request};
use crate::rule::{Rule, Violation};
use crate::server::{Location, Server};
use fnv::FnvHashMap;
use oakhollow::types::{CallId, HopNo, Micros, ServerId};

/// By how much an answer may be late before it counts as lost.
const ANSWER_SLACK: Micros = Micros::millis(500);
/// By how much a server may be told more than what is left.
const TOLD_SLACK: Micros = Micros::millis(150);
/// How long after its client has gone an attempt may be started.
const GONE_SLACK: Micros = Micros::millis(100);
/// How much later than the grace of a drain a first byte may be written.
const DRAIN_SLACK: Micros = Micros::millis(50);

/// What the settings state.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Limits {
    /// How long a drain allows new attempts.
    pub drain_grace: Micros,
    /// The budget of attempts beyond each request's first, where one is stated.
    pub retry_budget: Option<RetryBudget>,
}

/// The checks of one worker. See the crate's page.
#[derive(Default, Debug)]
pub struct Guard {
    limits: Limits,
    requests: FnvHashMap<CallId, Request>,
    servers: FnvHashMap<ServerId, Server>,
    spending: Spending,
    answer_by: Option<Micros>,
    violations: Vec<Violation>,
}

impl Guard {
    /// Nothing is open, and no server is known.
    pub fn new(limits: Limits) -> Guard {
        Guard { limits, ..Guard::default() }
    }

    /// Other limits hold from now on.
    pub fn set_limits(&mut self, limits: Limits) {
        // What was spent by another budget is not held against this one.
        if self.limits.retry_budget != limits.retry_budget {
            self.spending.begin_anew();
        }
        self.limits = limits;
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// How many attempts beyond requests' first there were in the last window, where a budget is stated.
    pub fn retry_budget_used(&self) -> usize {
        self.spending.used()
    }

    /// What was found since this was last asked.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.violations)
    }

    /// Whether there is anything for [`Guard::take_violations`].
    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    /// Takes note of what has happened.
    pub fn observe(&mut self, now: Micros, event: Event) {
        match event {
            Event::Accepted { request, request_id, repeat_safety: effect, deadline } => {
                let deadline = self.answer_by.map_or(deadline, |by| by.min(deadline));
                self.requests.insert(request, Request::new(request_id, effect, now, deadline));
                if let Some(budget) = self.limits.retry_budget {
                    self.spending.accept(now);
                    self.spending.forget(now, budget.window);
                }
            }
            Event::Queued { request } => self.note(request, now, Transition::Queued),
            Event::LastByteWritten { request, attempt } => {
                self.note(request, now, Transition::LastByte(attempt));
                self.change(request, attempt, |attempt| attempt.written = true);
            }
            Event::AttemptEnded { request, attempt, outcome } => {
                self.note(request, now, Transition::AttemptEnded(attempt, outcome));
                self.change(request, attempt, |attempt| attempt.outcome = Some(outcome));
            }
            Event::ClientGone { request } => {
                self.note(request, now, Transition::ClientGone);
                if let Some(request) = self.requests.get_mut(&request) {
                    request.client_gone.get_or_insert(now);
                }
            }
            Event::AnswerBegun { request, kind } => self.answer(now, request, kind),
            Event::Closed { request, reason } => self.close(now, request, reason),
            Event::ServerListed { server, status: standing, location } => {
                let known = self.servers.entry(server);
                known
                    .and_modify(|server| server.list(standing, location, now))
                    .or_insert_with(|| Server::new(standing, location, now));
            }
            Event::ShutdownBegun { answer_by } => {
                self.answer_by = Some(answer_by);
                for request in self.requests.values_mut() {
                    request.deadline = request.deadline.min(answer_by);
                }
            }
        }
    }

    /// A server is not known any more.
    pub fn forget_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Whether an attempt may be made ready. Counts it where it may.
    pub fn start_attempt(
        &mut self, now: Micros, id: CallId, number: HopNo, server: ServerId,
    ) -> Result<AttemptPermit, Denial> {
        let Some(request) = self.requests.get(&id) else { return Err(Denial::RequestOver) };
        let location = self.servers.get(&server).map(|server| server.location);
        if request.answered {
            self.violate(Rule::NoAttemptAfterAnswer, now, id, Some((number, server)));
            return Err(Denial::RequestOver);
        }
        if request.client_gone.is_some_and(|gone| now > gone + GONE_SLACK) {
            self.violate(Rule::NoAttemptAfterClientGone, now, id, Some((number, server)));
            return Err(Denial::ClientGone);
        }
        if now > request.deadline {
            self.violate(Rule::NoAttemptAfterDeadline, now, id, Some((number, server)));
            return Err(Denial::OutOfTime);
        }
        if let Some(rule) = broken_by_repeat(request, now, location) {
            self.violate(rule, now, id, Some((number, server)));
            return Err(Denial::MayHaveRun);
        }
        let beyond_first = request
            .attempts
            .iter()
            .any(|attempt| !attempt.is_proven_not_run() || attempt.first_byte.is_some());
        if let Some(budget) = self.limits.retry_budget.filter(|_| beyond_first) {
            if !self.spending.repeat(now, budget) {
                self.violate(Rule::RetryBudget, now, id, Some((number, server)));
            }
        }
        if let Some(request) = self.requests.get_mut(&id) {
            let attempt = Attempt { number, location, first_byte: None, written: false, outcome: None };
            request.attempts.push(attempt);
            request.note(now, Transition::AttemptStarted(number, server));
        }
        Ok(AttemptPermit { request: id, attempt: number, server })
    }

    /// Whether the first byte of an attempt may be written, by what is known now.
    pub fn send(
        &mut self, now: Micros, permit: &AttemptPermit, look: SendConditions,
    ) -> Result<SendPermit, Denial> {
        let AttemptPermit { request: id, attempt: number, server } = *permit;
        let Some(request) = self.requests.get(&id) else { return Err(Denial::RequestOver) };
        if !look.server_available {
            return Err(Denial::ServerNotWanted);
        }
        if !look.lease_valid {
            return Err(Denial::LeaseLapsed);
        }
        if !look.list_fresh {
            return Err(Denial::ListStale);
        }
        if look.client_gone || request.client_gone.is_some() {
            return Err(Denial::ClientGone);
        }
        if look.time_left.0 == 0 || now > request.deadline {
            return Err(Denial::OutOfTime);
        }
        if request.answered {
            return Err(Denial::RequestOver);
        }
        let told_too_much = look.announced_timeout > request.deadline - now + TOLD_SLACK;
        let drained = self.servers.get(&server).and_then(|server| server.drained_for(now));
        if drained.is_some_and(|drained| drained > self.limits.drain_grace + DRAIN_SLACK) {
            self.violate(Rule::NothingToDrained, now, id, Some((number, server)));
            return Err(Denial::ServerNotWanted);
        }
        if told_too_much {
            self.violate(Rule::ToldTimeLeft, now, id, Some((number, server)));
        }
        self.note(id, now, Transition::FirstByte(number));
        self.change(id, number, |attempt| attempt.first_byte = Some(now));
        Ok(SendPermit { _made_by_guard: () })
    }

    fn answer(&mut self, now: Micros, id: CallId, kind: AnswerKind) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.note(now, Transition::AnswerBegun(kind));
        let second = std::mem::replace(&mut request.answered, true);
        let late = now > request.deadline + ANSWER_SLACK && request.client_gone.is_none();
        let ran = request.effect != RepeatSafety::Safe && request.attempts.iter().any(Attempt::may_have_run);
        if second {
            self.violate(Rule::OneAnswer, now, id, None);
        }
        if late {
            self.violate(Rule::AnswerInTime, now, id, None);
        }
        if ran && kind == AnswerKind::Refused {
            self.violate(Rule::RefusedOnlyIfNotRun, now, id, None);
        }
    }

    fn close(&mut self, now: Micros, id: CallId, reason: Option<CloseReason>) {
        let Some(request) = self.requests.get(&id) else { return };
        let excused = request.client_gone.is_some() || reason == Some(CloseReason::ClientGone);
        if !request.answered && !excused {
            self.violate(Rule::AnswerBeforeClose, now, id, None);
        }
        self.requests.remove(&id);
    }

    fn note(&mut self, id: CallId, now: Micros, transition: Transition) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.note(now, transition);
        }
    }

    fn change(&mut self, id: CallId, number: HopNo, change: impl FnOnce(&mut Attempt)) {
        let attempt = self.requests.get_mut(&id).and_then(|request| request.attempt(number));
        if let Some(attempt) = attempt {
            change(attempt);
        }
    }

    fn violate(&mut self, rule: Rule, at: Micros, id: CallId, attempt: Option<(HopNo, ServerId)>) {
        let Some(request) = self.requests.get(&id) else { return };
        self.violations.push(Violation {
            rule,
            at,
            request: id,
            request_id: request.id.clone(),
            attempt: attempt.map(|(number, _)| number),
            server: attempt.map(|(_, server)| server),
            transitions: request.transitions(),
        });
    }
}

/// The rule that another attempt of a request would break, if there is one.
fn broken_by_repeat(request: &Request, now: Micros, location: Option<Location>) -> Option<Rule> {
    let unproven = || request.attempts.iter().filter(|attempt| !attempt.is_proven_not_run());
    match request.effect {
        RepeatSafety::Safe => None,
        RepeatSafety::Unsafe => unproven().next().map(|_| Rule::ProvenBeforeRepeat),
        RepeatSafety::Keyed { window: memory, scope: group } => {
            let shares = |attempt: &Attempt| match (attempt.location, location) {
                (Some(one), Some(other)) => one.shares(other, group),
                _ => false,
            };
            let first = unproven().filter_map(|attempt| attempt.first_byte).min();
            let too_late = first.is_some_and(|first| now > first + memory);
            let elsewhere = unproven().any(|attempt| !shares(attempt));
            (elsewhere || too_late).then_some(Rule::RepeatWithinMemory)
        }
    }
}
