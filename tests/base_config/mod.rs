//! The configuration that tests and benchmarks of the module start from; each overrides some of its fields.
use oakhollow::types::*;

pub fn workload(idempotency: Idempotency) -> Workload {
    Workload { idempotency, quoted_time: Micros::millis(500), payoff: 1.0 }
}

/// One balancer, one tenant with an unlimited quota, hedging and cancelling allowed, a list that is pushed.
pub fn config(idempotencies: &[Idempotency]) -> BalancerConfig {
    BalancerConfig {
        instances: 1,
        instance_index: 0,
        local_zone: None,
        workloads: idempotencies.iter().copied().map(workload).collect(),
        tenant_quotas: vec![1e9],
        overage_payoff: 1.0,
        worst_workload_weight: 0.0,
        max_hops: 4,
        retry_budget: None,
        may_cancel: true,
        may_hedge: true,
        max_retry_after: Micros::millis(500),
        load_reports: false,
        peer_messages: false,
        key_affinity: false,
        must_subscribe: false,
        resubscribe_within: Micros::millis(10_000),
        cold_capacity: 0.2,
        warm_up_time: Micros::millis(8_000),
        collapse_window: Micros::millis(1_000),
    }
}
