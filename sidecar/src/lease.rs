//! Until when this instance may act on what it keeps to, as all threads read it. Looked at before each decision is carried
//! out, and once more before a hop's first byte: whoever wakes after a stop must not go on by what held before it.
use oakhollow::types::Micros;
use oakhollow_terms::Unsure;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

#[derive(Clone)]
pub struct Lease {
    until: Arc<AtomicU64>,
    /// None where instances don't agree on anything.
    unsure: Option<Unsure>,
}

impl Lease {
    /// One that never runs out.
    pub fn off() -> Lease {
        Lease { until: Arc::new(AtomicU64::new(Micros::NEVER.0)), unsure: None }
    }

    /// One that has yet to begin.
    pub fn none(unsure: Unsure) -> Lease {
        Lease { until: Arc::default(), unsure: Some(unsure) }
    }

    /// Whether instances agree on settings.
    pub fn on(&self) -> bool {
        self.unsure.is_some()
    }

    pub fn set(&self, until: Micros) {
        self.until.store(until.0, Ordering::Release);
    }

    fn until(&self) -> Micros {
        Micros(self.until.load(Ordering::Acquire))
    }

    /// What to do without a lease, if there is none that lives. The clock is asked only where there may be none.
    pub fn lapsed(&self, now: impl FnOnce() -> Micros) -> Option<Unsure> {
        self.unsure.filter(|_| self.until() <= now())
    }

    /// Nothing at all may be sent on.
    pub fn forbids_sending(&self, now: impl FnOnce() -> Micros) -> bool {
        self.lapsed(now) == Some(Unsure::Refuse)
    }
}
