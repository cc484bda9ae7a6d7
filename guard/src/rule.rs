//! The rules, and the report of a violation.
use crate::event::Transition;
use oakhollow::types::{CallId, HopNo, Micros, ServerId};
use std::fmt::{Display, Formatter, Result};
use std::rc::Rc;

/// The guarantees of a sidecar. Violations are counted under the name of the rule.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Rule {
    /// A request gets one final answer.
    OneAnswer,
    /// A connection is not closed before its request is answered, unless the client has gone.
    AnswerBeforeClose,
    /// The answer begins before the request's deadline.
    AnswerInTime,
    /// No attempt is started after the request was answered.
    NoAttemptAfterAnswer,
    /// No attempt is started and no first byte is written after the request's deadline.
    NoAttemptAfterDeadline,
    /// No attempt is started later than a short tolerance after the client has gone.
    NoAttemptAfterClientGone,
    /// A request that must not be repeated is sent again only if every earlier attempt has provably not run.
    ProvenBeforeRepeat,
    /// A request with an idempotency key is sent again only to servers that share the memory of the key, and
    /// within its window.
    RepeatWithinMemory,
    /// A request is refused only if no attempt of it may have run, unless it may be repeated.
    RefusedOnlyIfNotRun,
    /// Nothing is sent to a server that drains or is gone after the drain grace.
    NothingToDrained,
    /// Attempts beyond the first of each request stay within the retry budget.
    RetryBudget,
    /// The timeout announced to a server is not longer than the time that the client still waits.
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

    /// The label under which it is counted.
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

/// A broken rule, with the record of the request.
#[derive(Clone, PartialEq, Debug)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// When it was detected.
    pub at: Micros,
    /// The sidecar's number of the request.
    pub request: CallId,
    /// The client's id of the request.
    pub request_id: Rc<str>,
    /// The attempt that broke the rule, if an attempt did.
    pub attempt: Option<HopNo>,
    /// The server concerned, if any.
    pub server: Option<ServerId>,
    /// The last transitions of the request, the oldest first, each with its time since the request was
    /// accepted.
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
