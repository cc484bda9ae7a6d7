//! The place that tests and benches of the module start from; each says what is different in its own.
use oakhollow::types::*;

pub fn workload(kind: Kind) -> Workload {
    Workload { kind, quoted: Micros::millis(500), payoff: 1.0 }
}

/// One sidecar, one customer who may do all, copies and cancels allowed, a list that comes unasked.
pub fn terms(kinds: &[Kind]) -> Terms {
    Terms {
        sidecars: 1,
        number: 0,
        near: None,
        workloads: kinds.iter().copied().map(workload).collect(),
        customers: vec![1e9],
        beyond_share: 1.0,
        worst_workload: 0.0,
        most_hops: 4,
        beyond_first: None,
        may_cancel: true,
        may_race: true,
        cool_down: Micros::millis(500),
        tells_load: false,
        may_tell: false,
        warm_keys: false,
        must_ask: false,
        ask_within: Micros::millis(10_000),
        cold_from: 0.2,
        warm_within: Micros::millis(8_000),
        fall_span: Micros::millis(1_000),
    }
}
