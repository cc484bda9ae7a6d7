//! The time until which the list of endpoints may be used, shared by all threads. It is checked before each
//! decision is executed and again before an attempt's first byte.
use oakhollow::types::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The deadline, shared by the watch of the list, which sets it, and all workers.
#[derive(Clone, Debug)]
pub struct ListDeadline(Arc<AtomicU64>);

impl ListDeadline {
    /// No deadline yet.
    pub fn none() -> ListDeadline {
        ListDeadline(Arc::new(AtomicU64::new(Micros::NEVER.0)))
    }

    /// Sets the deadline, or removes it.
    pub fn set(&self, deadline: Option<Micros>) {
        self.0.store(deadline.unwrap_or(Micros::NEVER).0, Ordering::Release);
    }

    /// Whether the deadline has passed. The clock is read only where there is one.
    pub fn has_passed(&self, now: impl FnOnce() -> Micros) -> bool {
        let deadline = Micros(self.0.load(Ordering::Acquire));
        deadline != Micros::NEVER && deadline <= now()
    }
}
