//! Until when the list of endpoints may be used, as all threads read it. Looked at before each decision is carried out, and once more
//! before an attempt's first byte.
use oakhollow::types::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Shared by whoever follows the list and all workers.
#[derive(Clone, Debug)]
pub struct ListDeadline(Arc<AtomicU64>);

impl ListDeadline {
    /// None yet.
    pub fn none() -> ListDeadline {
        ListDeadline(Arc::new(AtomicU64::new(Micros::NEVER.0)))
    }

    /// Sets it, or takes it back.
    pub fn set(&self, until: Option<Micros>) {
        self.0.store(until.unwrap_or(Micros::NEVER).0, Ordering::Release);
    }

    /// Whether it has passed. The clock is asked only where there is one.
    pub fn has_passed(&self, now: impl FnOnce() -> Micros) -> bool {
        let until = Micros(self.0.load(Ordering::Acquire));
        until != Micros::NEVER && until <= now()
    }
}
