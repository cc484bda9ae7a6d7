//! The retry budget: a limit on attempts beyond each request's first, within a sliding window.
use oakhollow::types::Micros;
use std::collections::VecDeque;

/// How many attempts beyond the first of each request are allowed in any window.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudget {
    /// The fixed number of attempts that is always allowed.
    pub base: f64,
    /// The attempts allowed in addition for each request accepted in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Micros,
}

/// Counts accepted requests and extra attempts in the last window.
#[derive(Default, Debug)]
pub(crate) struct BudgetUsage {
    accepted: VecDeque<Micros>,
    extra_attempts: VecDeque<Micros>,
}

impl BudgetUsage {
    pub fn record_accepted(&mut self, now: Micros) {
        self.accepted.push_back(now);
    }

    /// Counts an attempt beyond the first of a request. Returns false if it exceeds the budget.
    pub fn record_extra_attempt(&mut self, now: Micros, budget: RetryBudget) -> bool {
        self.extra_attempts.push_back(now);
        self.drop_expired(now, budget.window);
        self.extra_attempts.len() as f64 <= budget.base + budget.ratio * self.accepted.len() as f64
    }

    /// The attempts beyond the first in the last window.
    pub fn used(&self) -> usize {
        self.extra_attempts.len()
    }

    /// Resets the used budget; accepted requests stay counted.
    pub fn reset(&mut self) {
        self.extra_attempts.clear();
    }

    /// Drops entries older than the window, which also bounds the memory.
    pub fn drop_expired(&mut self, now: Micros, window: Micros) {
        for times in [&mut self.accepted, &mut self.extra_attempts] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }
}
