//! The time until which this instance may act on the agreed settings, shared by all threads. It is checked before
//! each decision is executed and again before an attempt's first byte, because a process that was stopped for a
//! while must not continue by settings that have since changed.
use oakhollow::types::Micros;
use oakhollow_config::NoLeasePolicy;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The lease on the agreed settings, and what to do without one.
#[derive(Clone)]
pub struct Lease {
    valid_until: Arc<AtomicU64>,
    /// What to do without a lease; none where instances do not agree on settings.
    policy: Option<NoLeasePolicy>,
}

impl Lease {
    /// A lease that never expires, for instances that do not agree on settings.
    pub fn unlimited() -> Lease {
        Lease { valid_until: Arc::new(AtomicU64::new(Micros::NEVER.0)), policy: None }
    }

    /// A lease that has not begun yet.
    pub fn not_yet_granted(policy: NoLeasePolicy) -> Lease {
        Lease { valid_until: Arc::default(), policy: Some(policy) }
    }

    /// Whether instances agree on settings.
    pub fn is_enabled(&self) -> bool {
        self.policy.is_some()
    }

    /// Sets the time until which the lease is valid.
    pub fn set(&self, until: Micros) {
        self.valid_until.store(until.0, Ordering::Release);
    }

    fn valid_until(&self) -> Micros {
        Micros(self.valid_until.load(Ordering::Acquire))
    }

    /// If there is no valid lease: what to do without one. The clock is read only where instances agree on settings.
    pub fn expired(&self, now: impl FnOnce() -> Micros) -> Option<NoLeasePolicy> {
        self.policy.filter(|_| self.valid_until() <= now())
    }

    /// Whether no attempt may be sent at all.
    pub fn forbids_sending(&self, now: impl FnOnce() -> Micros) -> bool {
        self.expired(now) == Some(NoLeasePolicy::Refuse)
    }
}
