//! The rules that are checked, and how a broken one is told.
use crate::event::Transition;
use oakhollow::types::{CallId, HopNo, Micros, ServerId};
use std::fmt::{Display, Formatter, Result};
use std::rc::Rc;

/// What a sidecar promises, each under the name by which violations are counted.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Rule {
    /// One final answer for each request.
    OneAnswer,
    /// No connection is closed on a request that has no answer, unless its client has gone.
    AnswerBeforeClose,
    /// The answer begins by the request's deadline.
    AnswerInTime,
    /// No attempt is started once the request has its answer.
    NoAttemptAfterAnswer,
    /// No attempt is started, and no first byte written, past the request's deadline.
    NoAttemptAfterDeadline,
    /// No attempt is started more than a moment after the client has gone.
    NoAttemptAfterClientGone,
    /// A request that is unsafe to repeat is sent again only if every earlier attempt is proven not to have run.
    ProvenBeforeRepeat,
    /// A request with an idempotency key is sent again only to servers that share the memory of it, and within its span.
    RepeatWithinMemory,
    /// A request is refused only if no attempt of it may have run, unless it is safe to repeat.
    RefusedOnlyIfNotRun,
    /// Nothing is sent to a server that drains or has gone, past the grace.
    NothingToDrained,
    /// Attempts beyond each request's first keep within the stated budget.
    RetryBudget,
    /// The time that a server is told is at most what is left to the client.
    ToldTimeLeft,
}

impl Rule {
    /// All rules, in the order of their declaration.
    pub const ALL: [Rule; 12] = [
        Rule::OneAnswer,
        Rule::AnswerBeforeClose,
        Rule::AnswerInTime,
        Rule::NoAttemptAfterAnswer,
        Rule::NoAttemptAfterDeadline,
        Rule::NoAttemptAfterClientGone,
        Rule::ProvenBeforeRepeat,
        Rule::RepeatWithinMemory,
        Rule::RefusedOnlyIfNotRun,
        Rule::NothingToDrained,
        Rule::RetryBudget,
        Rule::ToldTimeLeft,
    ];

    /// The name by which it is counted.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one_answer",
            Rule::AnswerBeforeClose => "answer_before_close",
            Rule::AnswerInTime => "answer_in_time",
            Rule::NoAttemptAfterAnswer => "no_attempt_after_answer",
            Rule::NoAttemptAfterDeadline => "no_attempt_after_deadline",
            Rule::NoAttemptAfterClientGone => "no_attempt_after_client_gone",
            Rule::ProvenBeforeRepeat => "proven_before_repeat",
            Rule::RepeatWithinMemory => "repeat_within_memory",
            Rule::RefusedOnlyIfNotRun => "refused_only_if_not_run",
            Rule::NothingToDrained => "nothing_to_drained",
            Rule::RetryBudget => "retry_budget",
            Rule::ToldTimeLeft => "told_time_left",
        }
    }
}

/// A broken rule, with what is known of the request.
#[derive(Clone, PartialEq, Debug)]
pub struct Violation {
    /// The rule that is broken.
    pub rule: Rule,
    /// When that was seen.
    pub at: Micros,
    /// The request, by the sidecar's number.
    pub request: CallId,
    /// The request, by the client's id.
    pub request_id: Rc<str>,
    /// The attempt that breaks it, if it is an attempt.
    pub attempt: Option<HopNo>,
    /// The server concerned, if there is one.
    pub server: Option<ServerId>,
    /// What happened to the request last, the oldest first, each with its time since the request was accepted.
    pub transitions: Vec<(Micros, Transition)>,
}

impl Display for Violation {
    fn fmt(&self, out: &mut Formatter) -> Result {
        write!(out, "{}: request {} ({})", self.rule.name(), self.request_id, self.request.0)?;
        if let Some(attempt) = self.attempt {
            write!(out, ", attempt {}", attempt.0)?;
        }
        if let Some(server) = self.server {
            write!(out, ", server {}", server.0)?;
        }
        write!(out, ":")?;
        for (at, transition) in &self.transitions {
            write!(out, " {:.3}s {transition}", at.secs())?;
        }
        Ok(())
    }
}
