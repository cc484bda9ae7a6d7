//! The checks of all rules.
use crate::budget::{BudgetUsage, RetryBudget};
use crate::event::{AnswerKind, CloseReason, Event, RepeatSafety, Transition};
use crate::permit::{AttemptPermit, Denial, SendConditions, SendPermit};
use crate::request::{Attempt, Request};
use crate::rule::{Rule, Violation};
use crate::server::{Location, Server};
use fnv::FnvHashMap;
use oakhollow::types::{CallId, HopNo, Micros, ServerId};

/// The tolerance before an answer counts as late.
const ANSWER_SLACK: Micros = Micros::millis(500);
/// By how much the timeout announced to a server may exceed the time that is left.
const TIMEOUT_SLACK: Micros = Micros::millis(150);
/// The tolerance for starting an attempt after the client has gone.
const CLIENT_GONE_SLACK: Micros = Micros::millis(100);
/// The tolerance after the drain grace for writing a first byte.
const DRAIN_SLACK: Micros = Micros::millis(50);

/// The limits that the settings give.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Limits {
    /// How long a server that drains may still get new attempts.
    pub drain_grace: Micros,
    /// The retry budget, if the settings have one.
    pub retry_budget: Option<RetryBudget>,
}

/// The checks of one worker; see the crate documentation.
#[derive(Default, Debug)]
pub struct Guard {
    limits: Limits,
    requests: FnvHashMap<CallId, Request>,
    servers: FnvHashMap<ServerId, Server>,
    budget_usage: BudgetUsage,
    answer_by: Option<Micros>,
    violations: Vec<Violation>,
}

impl Guard {
    /// Starts with no open request and no known server.
    pub fn new(limits: Limits) -> Guard {
        Guard { limits, ..Guard::default() }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        // Attempts counted against the previous budget do not count against the new one.
        if self.limits.retry_budget != limits.retry_budget {
            self.budget_usage.reset();
        }
        self.limits = limits;
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// How many attempts beyond the first of a request there were in the last window, if there is a retry
    /// budget.
    pub fn retry_budget_used(&self) -> usize {
        self.budget_usage.used()
    }

    /// The violations found since the last call of this method.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.violations)
    }

    /// Whether [`Guard::take_violations`] would return any.
    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    /// Records an event.
    pub fn observe(&mut self, now: Micros, event: Event) {
        match event {
            Event::Accepted { request, request_id, repeat_safety, deadline } => {
                let deadline = self.answer_by.map_or(deadline, |by| by.min(deadline));
                self.requests.insert(request, Request::new(request_id, repeat_safety, now, deadline));
                if let Some(budget) = self.limits.retry_budget {
                    self.budget_usage.record_accepted(now);
                    self.budget_usage.drop_expired(now, budget.window);
                }
            }
            Event::Queued { request } => self.record(request, now, Transition::Queued),
            Event::LastByteWritten { request, attempt } => {
                self.record(request, now, Transition::LastByte(attempt));
                self.update_attempt(request, attempt, |attempt| attempt.written = true);
            }
            Event::AttemptEnded { request, attempt, outcome } => {
                self.record(request, now, Transition::AttemptEnded(attempt, outcome));
                self.update_attempt(request, attempt, |attempt| attempt.outcome = Some(outcome));
            }
            Event::ClientGone { request } => {
                self.record(request, now, Transition::ClientGone);
                if let Some(request) = self.requests.get_mut(&request) {
                    request.client_gone.get_or_insert(now);
                }
            }
            Event::AnswerBegun { request, kind } => self.record_answer(now, request, kind),
            Event::Closed { request, reason } => self.record_close(now, request, reason),
            Event::ServerListed { server, status, location } => {
                let known = self.servers.entry(server);
                known
                    .and_modify(|server| server.update(status, location, now))
                    .or_insert_with(|| Server::new(status, location, now));
            }
            Event::ShutdownBegun { answer_by } => {
                self.answer_by = Some(answer_by);
                for request in self.requests.values_mut() {
                    request.deadline = request.deadline.min(answer_by);
                }
            }
        }
    }

    /// Forgets a server.
    pub fn forget_server(&mut self, server: ServerId) {
        self.servers.remove(&server);
    }

    /// Whether an attempt may be started; counts it if so.
    pub fn start_attempt(
        &mut self, now: Micros, id: CallId, number: HopNo, server: ServerId,
    ) -> Result<AttemptPermit, Denial> {
        let Some(request) = self.requests.get(&id) else { return Err(Denial::RequestOver) };
        let location = self.servers.get(&server).map(|server| server.location);
        if request.answered {
            self.report_violation(Rule::NoAttemptAfterAnswer, now, id, Some((number, server)));
            return Err(Denial::RequestOver);
        }
        if request.client_gone.is_some_and(|gone| now > gone + CLIENT_GONE_SLACK) {
            self.report_violation(Rule::NoAttemptAfterClientGone, now, id, Some((number, server)));
            return Err(Denial::ClientGone);
        }
        if now > request.deadline {
            self.report_violation(Rule::NoAttemptAfterDeadline, now, id, Some((number, server)));
            return Err(Denial::OutOfTime);
        }
        if let Some(rule) = rule_against_repeat(request, now, location) {
            self.report_violation(rule, now, id, Some((number, server)));
            return Err(Denial::MayHaveRun);
        }
        let is_extra = request
            .attempts
            .iter()
            .any(|attempt| !attempt.is_proven_not_run() || attempt.first_byte.is_some());
        if let Some(budget) = self.limits.retry_budget.filter(|_| is_extra) {
            if !self.budget_usage.record_extra_attempt(now, budget) {
                self.report_violation(Rule::RetryBudget, now, id, Some((number, server)));
            }
        }
        if let Some(request) = self.requests.get_mut(&id) {
            let attempt = Attempt { number, location, first_byte: None, written: false, outcome: None };
            request.attempts.push(attempt);
            request.record(now, Transition::AttemptStarted(number, server));
        }
        Ok(AttemptPermit { request: id, attempt: number, server })
    }

    /// Whether the first byte of an attempt may be written under the given conditions.
    pub fn send(
        &mut self, now: Micros, permit: &AttemptPermit, conditions: SendConditions,
    ) -> Result<SendPermit, Denial> {
        let AttemptPermit { request: id, attempt: number, server } = *permit;
        let Some(request) = self.requests.get(&id) else { return Err(Denial::RequestOver) };
        if !conditions.server_available {
            return Err(Denial::ServerNotWanted);
        }
        if !conditions.lease_valid {
            return Err(Denial::LeaseLapsed);
        }
        if !conditions.list_fresh {
            return Err(Denial::ListStale);
        }
        if conditions.client_gone || request.client_gone.is_some() {
            return Err(Denial::ClientGone);
        }
        if conditions.time_left.0 == 0 || now > request.deadline {
            return Err(Denial::OutOfTime);
        }
        if request.answered {
            return Err(Denial::RequestOver);
        }
        let timeout_too_long = conditions.announced_timeout > request.deadline - now + TIMEOUT_SLACK;
        let draining_for = self.servers.get(&server).and_then(|server| server.draining_for(now));
        if draining_for.is_some_and(|duration| duration > self.limits.drain_grace + DRAIN_SLACK) {
            self.report_violation(Rule::NothingToDrained, now, id, Some((number, server)));
            return Err(Denial::ServerNotWanted);
        }
        if timeout_too_long {
            self.report_violation(Rule::ToldTimeLeft, now, id, Some((number, server)));
        }
        self.record(id, now, Transition::FirstByte(number));
        self.update_attempt(id, number, |attempt| attempt.first_byte = Some(now));
        Ok(SendPermit { _made_by_guard: () })
    }

    fn record_answer(&mut self, now: Micros, id: CallId, kind: AnswerKind) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.record(now, Transition::AnswerBegun(kind));
        let already_answered = std::mem::replace(&mut request.answered, true);
        let late = now > request.deadline + ANSWER_SLACK && request.client_gone.is_none();
        let may_have_run =
            request.repeat_safety != RepeatSafety::Safe && request.attempts.iter().any(Attempt::may_have_run);
        if already_answered {
            self.report_violation(Rule::OneAnswer, now, id, None);
        }
        if late {
            self.report_violation(Rule::AnswerInTime, now, id, None);
        }
        if may_have_run && kind == AnswerKind::Refused {
            self.report_violation(Rule::RefusedOnlyIfNotRun, now, id, None);
        }
    }

    fn record_close(&mut self, now: Micros, id: CallId, reason: Option<CloseReason>) {
        let Some(request) = self.requests.get(&id) else { return };
        let excused = request.client_gone.is_some() || reason == Some(CloseReason::ClientGone);
        if !request.answered && !excused {
            self.report_violation(Rule::AnswerBeforeClose, now, id, None);
        }
        self.requests.remove(&id);
    }

    fn record(&mut self, id: CallId, now: Micros, transition: Transition) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.record(now, transition);
        }
    }

    fn update_attempt(&mut self, id: CallId, number: HopNo, change: impl FnOnce(&mut Attempt)) {
        let attempt = self.requests.get_mut(&id).and_then(|request| request.attempt(number));
        if let Some(attempt) = attempt {
            change(attempt);
        }
    }

    fn report_violation(&mut self, rule: Rule, at: Micros, id: CallId, attempt: Option<(HopNo, ServerId)>) {
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

/// The rule that another attempt of the request would break, if any.
fn rule_against_repeat(request: &Request, now: Micros, location: Option<Location>) -> Option<Rule> {
    let unproven = || request.attempts.iter().filter(|attempt| !attempt.is_proven_not_run());
    match request.repeat_safety {
        RepeatSafety::Safe => None,
        RepeatSafety::Unsafe => unproven().next().map(|_| Rule::ProvenBeforeRepeat),
        RepeatSafety::Keyed { window, scope } => {
            let shares_keys = |attempt: &Attempt| match (attempt.location, location) {
                (Some(one), Some(other)) => one.shares_keys(other, scope),
                _ => false,
            };
            let first_sent = unproven().filter_map(|attempt| attempt.first_byte).min();
            let window_over = first_sent.is_some_and(|first_sent| now > first_sent + window);
            let out_of_scope = unproven().any(|attempt| !shares_keys(attempt));
            (out_of_scope || window_over).then_some(Rule::RepeatWithinMemory)
        }
    }
}
