//! Random events are passed to the module: changing lists, servers that fail in every way, calls of every
//! idempotency, and pauses of seconds without events. Each action is checked against the rules without any
//! knowledge of the module's state. In a debug build the module itself compares every pick with a search of
//! all servers.
mod base_config;

use oakhollow::rules::Balancer;
use oakhollow::types::*;
use oakhollow::{RetryBudgetWindow, SeededRng};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const DEDUP_WINDOW: Micros = Micros::millis(400);
const TIME_LEFT: Micros = Micros::millis(900);
const MAX_HOPS: usize = 4;
const IDEMPOTENCIES: [Idempotency; 5] = [
    Idempotency::Idempotent,
    Idempotency::NonIdempotent,
    Idempotency::ByKey { scope: DedupScope::All, window: DEDUP_WINDOW },
    Idempotency::ByKey { scope: DedupScope::Zone, window: DEDUP_WINDOW },
    Idempotency::ByKey { scope: DedupScope::Cell, window: DEDUP_WINDOW },
];

struct Hop {
    target: ListedServer,
    sent_at: Micros,
    outcome: Option<Outcome>,
}

struct Call {
    idempotency: Idempotency,
    deadline: Micros,
    hops: Vec<Hop>,
    answers: u32,
    withdrawn: bool,
}

impl Call {
    fn is_over(&self) -> bool {
        self.answers > 0 || self.withdrawn
    }

    fn may_be_refused(&self) -> bool {
        let may_have_run = self.hops.iter().any(|hop| !hop.outcome.is_some_and(Outcome::proves_not_run));
        !may_have_run
            || matches!(
                self.idempotency,
                Idempotency::Idempotent | Idempotency::ByKey { scope: DedupScope::All, .. }
            )
    }
}

/// The host, the servers and the checks.
struct Simulation {
    now: Micros,
    balancer: Balancer,
    listed: BTreeMap<ServerId, ListedServer>,
    calls: BTreeMap<CallId, Call>,
    /// Pending timers and hop ends; a sequence number keeps the order of those due at the same time.
    timers: BinaryHeap<Reverse<(Micros, u64, TimerToken)>>,
    hop_ends: BinaryHeap<Reverse<(Micros, u64, CallId, usize)>>,
    sequence: u64,
    rng: SeededRng,
    /// When calls were accepted.
    accepted: Vec<Micros>,
    /// When hops beyond a call's first were sent.
    extra_hops: Vec<Micros>,
}

#[derive(Clone, Debug)]
struct Parameters {
    servers: u32,
    instances: u32,
    zones_have_cost: bool,
    failure_percent: u32,
    list_changes_per_s: u32,
    calls: u32,
    retry_budget: Option<RetryBudget>,
}

impl Simulation {
    fn new(parameters: &Parameters, seed: u64) -> Simulation {
        let workload = base_config::workload;
        let config = BalancerConfig {
            instances: parameters.instances,
            instance_index: parameters.instances / 2,
            local_zone: parameters.zones_have_cost.then_some(ZoneId(1)),
            workloads: IDEMPOTENCIES.into_iter().map(workload).collect(),
            tenant_quotas: vec![1e6],
            overage_payoff: 0.5,
            worst_workload_weight: 0.2,
            max_hops: MAX_HOPS as u32,
            retry_budget: parameters.retry_budget,
            warm_up_time: Micros::millis(4_000),
            ..base_config::config(&[])
        };
        let (now, mut actions) = (Micros::millis(1_000_000), Vec::new());
        let balancer = Balancer::new(&config, seed, now, &mut actions);
        let mut simulation = Simulation {
            now,
            balancer,
            listed: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: BinaryHeap::new(),
            hop_ends: BinaryHeap::new(),
            sequence: 0,
            rng: SeededRng::new(seed ^ 0xDA7),
            accepted: Vec::new(),
            extra_hops: Vec::new(),
        };
        simulation.execute(actions, parameters);
        let entries: Vec<ListedServer> = (0..parameters.servers)
            .map(|id| simulation.listing(id, ServerStatus::Ready, Micros(0)))
            .collect();
        simulation.list(ListKind::Whole, &entries, parameters);
        simulation
    }

    fn listing(&self, id: u32, status: ServerStatus, started: Micros) -> ListedServer {
        ListedServer {
            server: ServerId(id),
            zone: ZoneId(id % 2),
            cell: CellId(id / 4),
            status,
            weight: [1.0, 2.0, 0.5][id as usize % 3],
            name_hash: u64::from(id).wrapping_mul(0x2545_F491_4F6C_DD1D),
            started,
        }
    }

    fn deliver(&mut self, event: Event, parameters: &Parameters) {
        let mut actions = Vec::new();
        self.balancer.on(self.now, event, &mut actions);
        self.execute(actions, parameters);
    }

    fn list(&mut self, kind: ListKind, entries: &[ListedServer], parameters: &Parameters) {
        if kind == ListKind::Whole {
            self.listed.clear();
        }
        self.listed.extend(entries.iter().map(|listing| (listing.server, listing.clone())));
        self.deliver(Event::ListReceived { kind, entries }, parameters);
    }

    fn execute(&mut self, actions: Vec<Action>, parameters: &Parameters) {
        for action in actions {
            self.sequence += 1;
            match action {
                Action::Send { call, server, timeout } => {
                    self.check_send(call, server, timeout);
                    self.check_retry_budget(call, parameters);
                }
                Action::Cancel { call, hop } => {
                    self.end_hop(call, hop.0 as usize, Outcome::Cancelled, parameters)
                }
                Action::Refuse { call, .. } => {
                    let call = self.calls.get_mut(&call).expect("a call that was accepted");
                    assert!(call.may_be_refused(), "refused although a hop may have run");
                    assert!(self.now <= call.deadline && !call.is_over(), "refused late, or a second time");
                    call.answers += 1;
                }
                Action::Fail { call } => {
                    let call = self.calls.get_mut(&call).expect("a call that was accepted");
                    assert!(self.now <= call.deadline && !call.is_over(), "failed late, or a second time");
                    call.answers += 1;
                }
                Action::SetTimer { after, token } => {
                    self.timers.push(Reverse((self.now + after, self.sequence, token)))
                }
                Action::Subscribe | Action::TellPeers { .. } | Action::Log { .. } => {}
            }
        }
    }

    fn check_send(&mut self, id: CallId, server: ServerId, timeout: Micros) {
        let target = self.listed.get(&server).expect("a server that is listed").clone();
        let call = self.calls.get_mut(&id).expect("a call that was accepted");
        assert!(target.status == ServerStatus::Ready, "sent to a server that is {:?}", target.status);
        assert!(!call.is_over() && self.now < call.deadline, "sent after its answer or its deadline");
        assert!(self.now + timeout <= call.deadline, "a hop that outlives its call");
        assert!(call.hops.len() < MAX_HOPS, "too many hops");
        assert!(call.hops.iter().all(|hop| hop.target.server != server), "two hops to one server");
        for hop in call.hops.iter().filter(|hop| !hop.outcome.is_some_and(Outcome::proves_not_run)) {
            let in_window = self.now < hop.sent_at + DEDUP_WINDOW;
            let allowed = match call.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::ByKey { scope: DedupScope::All, .. } => in_window,
                Idempotency::ByKey { scope: DedupScope::Zone, .. } => {
                    in_window && hop.target.zone == target.zone
                }
                Idempotency::ByKey { scope: DedupScope::Cell, .. } => {
                    in_window && hop.target.cell == target.cell
                }
            };
            assert!(allowed, "{:?} sent again where it may be executed twice", call.idempotency);
        }
        call.hops.push(Hop { target, sent_at: self.now, outcome: None });
        let hop = call.hops.len() - 1;
        let latency = Micros(1_000 + self.rng.below(60_000) as u64);
        let latency = if self.rng.uniform() < 0.05 { latency.times(15.0) } else { latency };
        self.hop_ends.push(Reverse((self.now + latency.min(timeout), self.sequence, id, hop)));
    }

    /// Counts the hops beyond the first in the window that ends now, and compares them with the retry budget.
    fn check_retry_budget(&mut self, id: CallId, parameters: &Parameters) {
        let Some(budget) = parameters.retry_budget.filter(|_| self.calls[&id].hops.len() > 1) else { return };
        self.extra_hops.push(self.now);
        let inside =
            |times: &[Micros]| times.iter().filter(|at| **at + budget.window > self.now).count() as f64;
        let (extra_hops, accepted) = (inside(&self.extra_hops), inside(&self.accepted));
        assert!(
            extra_hops <= budget.base + budget.ratio * accepted,
            "{extra_hops} hops beyond the first, {accepted} calls"
        );
    }

    fn end_hop(&mut self, id: CallId, hop: usize, outcome: Outcome, parameters: &Parameters) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.hops[hop].outcome.is_some() {
            return;
        }
        call.hops[hop].outcome = Some(outcome);
        if outcome == Outcome::Succeeded && !call.is_over() {
            call.answers += 1;
        }
        let (elapsed, call_over) = (now - call.hops[hop].sent_at, call.is_over());
        let result = HopResult { call: id, hop: HopNo(hop as u32), outcome, elapsed, call_over, load: None };
        self.deliver(Event::HopEnded(result), parameters);
    }

    fn outcome(&mut self, parameters: &Parameters) -> Outcome {
        let fails = (self.rng.below(100) as u32) < parameters.failure_percent;
        let failures =
            [Outcome::Errored, Outcome::Full, Outcome::NoConnection, Outcome::Broken, Outcome::TimedOut];
        if fails {
            failures[self.rng.below(failures.len())]
        } else {
            Outcome::Succeeded
        }
    }

    fn advance_to(&mut self, until: Micros, parameters: &Parameters) {
        loop {
            let timer = self.timers.peek().map(|Reverse((due, ..))| *due).filter(|due| *due <= until);
            let hop_end = self.hop_ends.peek().map(|Reverse((due, ..))| *due).filter(|due| *due <= until);
            match (timer, hop_end) {
                (None, None) => break,
                (Some(due), hop_end) if hop_end.is_none_or(|end| due <= end) => {
                    if let Some(Reverse((_, _, token))) = self.timers.pop() {
                        self.now = self.now.max(due);
                        self.deliver(Event::TimerFired(token), parameters);
                    }
                }
                (_, hop_end) => {
                    if let Some(Reverse((_, _, call, hop))) = self.hop_ends.pop() {
                        self.now = self.now.max(hop_end.unwrap_or_default());
                        let outcome = self.outcome(parameters);
                        self.end_hop(call, hop, outcome, parameters);
                    }
                }
            }
            self.check_deadlines();
        }
        self.now = until;
        self.check_deadlines();
    }

    /// Every call has its answer before its deadline.
    fn check_deadlines(&mut self) {
        let late = self.calls.values().find(|call| !call.is_over() && self.now > call.deadline);
        assert!(late.is_none(), "a call without an answer at its deadline");
    }

    fn deliver_call(&mut self, number: u32, parameters: &Parameters) {
        let (call, workload) = (CallId(number), self.rng.below(IDEMPOTENCIES.len()));
        let deadline = self.now + TIME_LEFT;
        let accepted = Call {
            idempotency: IDEMPOTENCIES[workload],
            deadline,
            hops: Vec::new(),
            answers: 0,
            withdrawn: false,
        };
        self.calls.insert(call, accepted);
        self.accepted.push(self.now);
        let (workload, tenant, client_retry) = (WorkloadId(workload), TenantId(0), self.rng.uniform() < 0.1);
        let arrival =
            Arrival { call, workload, time_left: TIME_LEFT, tenant, client_retry, affinity_key: None };
        self.deliver(Event::CallArrived(arrival), parameters);
        // Some clients withdraw at once.
        let accepted = self.calls.get_mut(&call).expect("just accepted");
        if self.rng.uniform() < 0.03 && !accepted.is_over() {
            accepted.withdrawn = true;
            self.deliver(Event::CallWithdrawn { call }, parameters);
        }
    }

    fn change_list(&mut self, parameters: &Parameters) {
        let id = self.rng.below(parameters.servers as usize) as u32;
        let started = match self.rng.below(4) {
            0 => self.now,
            _ => self.listed.get(&ServerId(id)).map_or(self.now, |listing| listing.started),
        };
        let status = [ServerStatus::Ready, ServerStatus::Ready, ServerStatus::Draining, ServerStatus::Gone]
            [self.rng.below(4)];
        if self.rng.uniform() < 0.02 {
            // A whole list from which some servers may be missing.
            let first = self.rng.below(parameters.servers as usize) as u32;
            let ids: Vec<u32> = (first..parameters.servers).collect();
            let entries: Vec<ListedServer> =
                ids.into_iter().map(|id| self.listing(id, ServerStatus::Ready, Micros(0))).collect();
            self.list(ListKind::Whole, &entries, parameters);
        } else {
            let listing = self.listing(id, status, started);
            self.list(ListKind::Changes, &[listing], parameters);
        }
    }
}

fn parameters() -> impl Strategy<Value = Parameters> {
    let retry_budget = (0..6_u32, 0.0..0.5, 1..3_000_u64).prop_map(|(base, ratio, window)| RetryBudget {
        base: f64::from(base),
        ratio,
        window: Micros::millis(window),
    });
    let retry_budget = proptest::option::of(retry_budget);
    (1..60_u32, 1..20_u32, any::<bool>(), 0..90_u32, 0..60_u32, 20..300_u32, retry_budget).prop_map(
        |(servers, instances, zones_have_cost, failure_percent, list_changes_per_s, calls, retry_budget)| {
            Parameters {
                servers,
                instances,
                zones_have_cost,
                failure_percent,
                list_changes_per_s,
                calls,
                retry_budget,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60, failure_persistence: None, rng_seed: RngSeed::Fixed(14), max_shrink_iters: 200, ..ProptestConfig::default()
    })]

    /// A sender that uses all that is allowed never exceeds the budget in any window, and gets at least what
    /// the budget grants without the window's oldest part. Two processes that follow each other keep the
    /// budget together.
    #[test]
    fn the_retry_budget_holds_in_every_window(
        gaps in proptest::collection::vec((0..40_000_u64, 0..3_usize), 1..400),
        base in 0..5_u32, ratio in 0.0..1.0, window in 1..1_500_u64, handover in 0..400_usize,
    ) {
        let window = Micros::millis(window);
        let budget = RetryBudget { base: f64::from(base), ratio, window };
        let mut sliding_window = RetryBudgetWindow::new(budget);
        let (mut now, mut accepted, mut extra_hops) = (Micros::millis(5_000), Vec::new(), Vec::new());
        for (step, (gap, calls)) in gaps.into_iter().enumerate() {
            if step == handover {
                // A successor process starts, and its predecessor sends nothing any more.
                sliding_window = RetryBudgetWindow::new(RetryBudget { base: 0.0, ratio: 0.0, ..budget });
            } else if step == handover + 50 {
                sliding_window.set_budget(budget, now); // the predecessor has ended
            }
            now = now + Micros(gap);
            (0..calls).for_each(|_| { sliding_window.count_call(now); accepted.push(now); });
            let inside = |times: &[Micros], length: Micros| times.iter().filter(|at| **at + length > now).count();
            while sliding_window.used(now) as f64 + 1.0 <= sliding_window.allowed(now) {
                sliding_window.count_hop(now);
                extra_hops.push(now);
                let granted = budget.base + ratio * inside(&accepted, window) as f64;
                prop_assert!(inside(&extra_hops, window) as f64 <= granted);
            }
            if step < handover {
                let part = Micros(window.0 / 32 + 1);
                let least = budget.base + ratio * inside(&accepted, window - part - part) as f64;
                prop_assert!(inside(&extra_hops, window + part + part) as f64 + 1.0 > least);
            }
        }
    }

    #[test]
    fn the_rules_hold_under_random_events(parameters in parameters(), seed in any::<u64>()) {
        let mut simulation = Simulation::new(&parameters, seed);
        for number in 0..parameters.calls {
            simulation.deliver_call(number, &parameters);
            // Mostly up to 20 ms apart, some less than a millisecond, and sometimes a long pause.
            let gap = match simulation.rng.below(20) {
                0 => Micros::millis(1_500),
                1..8 => Micros(simulation.rng.below(1_000) as u64),
                _ => Micros(simulation.rng.below(20_000) as u64),
            };
            let changes = gap.secs() * f64::from(parameters.list_changes_per_s) + simulation.rng.uniform();
            for _ in 0..changes as u32 {
                simulation.change_list(&parameters);
            }
            simulation.advance_to(simulation.now + gap, &parameters);
        }
        simulation.advance_to(simulation.now + TIME_LEFT + Micros::millis(2_000), &parameters);
        for (id, call) in &simulation.calls {
            assert!(call.answers == 1 || call.withdrawn, "{id:?}: {} answers", call.answers);
        }
    }
}
