//! Attempts beyond each request's first, within a window of time.
use oakhollow::types::Micros;
use std::collections::VecDeque;

/// How many attempts beyond requests' first are allowed in any window.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudget {
    /// So many in any case.
    pub base: f64,
    /// And so many for each request that is accepted in the window.
    pub ratio: f64,
    /// How long the window is.
    pub window: Micros,
}

/// Counts what the budget is about, over the last window.
#[derive(Default, Debug)]
pub(crate) struct Spending {
    accepted: VecDeque<Micros>,
    beyond_first: VecDeque<Micros>,
}

impl Spending {
    pub fn accept(&mut self, now: Micros) {
        self.accepted.push_back(now);
    }

    /// Counts an attempt beyond a first one; false if that is one too many.
    pub fn repeat(&mut self, now: Micros, budget: RetryBudget) -> bool {
        self.beyond_first.push_back(now);
        self.forget(now, budget.window);
        self.beyond_first.len() as f64 <= budget.base + budget.ratio * self.accepted.len() as f64
    }

    /// Attempts beyond a first one, in the last window.
    pub fn used(&self) -> usize {
        self.beyond_first.len()
    }

    /// Forgets what was spent, and keeps what was accepted.
    pub fn begin_anew(&mut self) {
        self.beyond_first.clear();
    }

    /// Drops what is older than the window: no more is kept than a window holds.
    pub fn forget(&mut self, now: Micros, window: Micros) {
        for times in [&mut self.accepted, &mut self.beyond_first] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
