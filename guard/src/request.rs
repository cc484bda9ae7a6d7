//! What is known of one open request.
use crate::event::{RepeatSafety, Transition};
use crate::server::Location;
use oakhollow::types::{HopNo, Micros, Outcome};
use std::rc::Rc;

/// Transitions that are kept of a request.
const MOST_TRANSITIONS: usize = 8;

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub number: HopNo,
    /// Where its server stands, by which it may share what it remembers with others.
    pub location: Option<Location>,
    /// When its first byte was allowed.
    pub first_byte: Option<Micros>,
    pub written: bool,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// The server may have run it, or still may.
    pub fn may_have_run(&self) -> bool {
        match self.outcome {
            Some(outcome) => !outcome.proves_not_run() && self.written,
            None => self.first_byte.is_some(),
        }
    }

    /// It has ended, with a proof that it has not run.
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
    pub effect: RepeatSafety,
    pub accepted: Micros,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub client_gone: Option<Micros>,
    pub answered: bool,
    transitions: [Option<(Micros, Transition)>; MOST_TRANSITIONS],
    steps: usize,
}

impl Request {
    pub fn new(id: Rc<str>, effect: RepeatSafety, accepted: Micros, deadline: Micros) -> Request {
        let mut request = Request {
            id,
            effect,
            accepted,
            deadline,
            attempts: Vec::new(),
            client_gone: None,
            answered: false,
            transitions: [None; MOST_TRANSITIONS],
            steps: 0,
        };
        request.note(accepted, Transition::Accepted);
        request
    }

    pub fn note(&mut self, at: Micros, transition: Transition) {
        self.transitions[self.steps % MOST_TRANSITIONS] = Some((at - self.accepted, transition));
        self.steps += 1;
    }

    /// What happened last, the oldest first.
    pub fn transitions(&self) -> Vec<(Micros, Transition)> {
        let (older, newer) = (self.steps % MOST_TRANSITIONS, self.transitions);
        newer[older..].iter().chain(&newer[..older]).flatten().copied().collect()
    }

    pub fn attempt(&mut self, number: HopNo) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.number == number)
    }
}
