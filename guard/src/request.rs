//! The guard's record of one open request.
use crate::event::{RepeatSafety, Transition};
use crate::server::Location;
use oakhollow::types::{HopNo, Micros, Outcome};
use std::rc::Rc;

/// The most transitions kept of a request.
const MAX_TRANSITIONS: usize = 8;

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub number: HopNo,
    /// The location of its server, which decides which other servers know its idempotency key.
    pub location: Option<Location>,
    /// When the first byte was permitted.
    pub first_byte: Option<Micros>,
    pub written: bool,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// The server may have run it, or may still run it.
    pub fn may_have_run(&self) -> bool {
        match self.outcome {
            Some(outcome) => !outcome.proves_not_run() && self.written,
            None => self.first_byte.is_some(),
        }
    }

    /// It has ended, and has provably not run.
    pub fn is_proven_not_run(&self) -> bool {
        match self.outcome {
            Some(outcome) => outcome.proves_not_run() || !self.written,
            None => false,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Request {
    pub id: Rc<str>,
    pub repeat_safety: RepeatSafety,
    pub accepted: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub client_gone: Option<Micros>,
    pub answered: bool,
    transitions: [Option<(Micros, Transition)>; MAX_TRANSITIONS],
    transition_count: usize,
}

impl Request {
    pub fn new(id: Rc<str>, repeat_safety: RepeatSafety, accepted: Micros, deadline: Micros) -> Request {
        let mut request = Request {
            id,
            repeat_safety,
            accepted,
            deadline,
            attempts: Vec::new(),
            client_gone: None,
            answered: false,
            transitions: [None; MAX_TRANSITIONS],
            transition_count: 0,
        };
        request.record(accepted, Transition::Accepted);
        request
    }

    pub fn record(&mut self, now: Micros, transition: Transition) {
        self.transitions[self.transition_count % MAX_TRANSITIONS] = Some((now - self.accepted, transition));
        self.transition_count += 1;
    }

    /// The last transitions, the oldest first.
    pub fn transitions(&self) -> Vec<(Micros, Transition)> {
        let (older, newer) = (self.transition_count % MAX_TRANSITIONS, self.transitions);
        newer[older..].iter().chain(&newer[..older]).flatten().copied().collect()
    }

    pub fn attempt(&mut self, number: HopNo) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.number == number)
    }
}
