//! Time per API call in the decision module, by the number of servers: `cargo bench --bench events`.
//!
//! One step is the arrival of a call, the send of its hop, the end of an earlier hop, and all timers that are
//! due. `quiet`: every hop succeeds. `troubled`: a tenth of the servers are unreachable and so ejected, a
//! twentieth are cold and stay cold, and calls arrive faster than the concurrency limit allows, so that the
//! queue is never empty. `churn`: in each step one server of the list drains, disappears or comes back.
#[path = "../tests/base_config/mod.rs"]
mod base_config;

use divan::{black_box, Bencher};
use oakhollow::rules::Balancer;
use oakhollow::types::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Numbers of servers.
const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
/// Hops that are kept open.
const OPEN_HOPS: usize = 64;
const CALL_INTERVAL: Micros = Micros(50);

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Quiet,
    Troubled,
    Churn,
}

struct Simulation {
    scenario: Scenario,
    /// The number of servers.
    size: u32,
    now: Micros,
    balancer: Balancer,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Micros, TimerToken)>>,
    open_hops: VecDeque<(CallId, HopNo, ServerId, Micros)>,
    hop_counts: HashMap<CallId, u32>,
    call_count: u32,
    steps: u32,
}

fn listing(number: u32, started: Micros, status: ServerStatus) -> ListedServer {
    ListedServer {
        server: ServerId(number),
        zone: ZoneId(number % 3),
        cell: CellId(number / 8),
        status,
        weight: 1.0,
        name_hash: u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        started,
    }
}

impl Simulation {
    fn new(scenario: Scenario, size: u32) -> Simulation {
        let config = BalancerConfig {
            cold_capacity: 0.1,
            warm_up_time: Micros::millis(3_600_000_000),
            collapse_window: Micros::millis(2_000),
            ..base_config::config(&[Idempotency::Idempotent, Idempotency::NonIdempotent])
        };
        let (now, mut actions) = (Micros::millis(100_000_000), Vec::new());
        let balancer = Balancer::new(&config, 7, now, &mut actions);
        let mut simulation = Simulation {
            scenario,
            size,
            now,
            balancer,
            actions,
            timers: BinaryHeap::new(),
            open_hops: VecDeque::new(),
            hop_counts: HashMap::new(),
            call_count: 0,
            steps: 0,
        };
        let entries: Vec<ListedServer> = (0..size)
            .map(|number| listing(number, simulation.started(number), ServerStatus::Ready))
            .collect();
        simulation.deliver(Event::ListReceived { kind: ListKind::Whole, entries: &entries });
        for _ in 0..(4 * size).max(20_000) {
            simulation.run_step();
        }
        simulation
    }

    fn started(&self, number: u32) -> Micros {
        let cold = self.scenario == Scenario::Troubled && number % 20 == 1;
        if cold {
            self.now
        } else {
            Micros(0)
        }
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.on(self.now, black_box(event), &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { call, server, .. } => {
                    let hop = self.hop_counts.entry(call).or_default();
                    self.open_hops.push_back((call, HopNo(*hop), server, self.now));
                    *hop += 1;
                }
                Action::SetTimer { after, token } => self.timers.push(Reverse((self.now + after, token))),
                Action::Refuse { call, .. } | Action::Fail { call } => _ = self.hop_counts.remove(&call),
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn end_oldest_hop(&mut self) {
        let Some((call, hop, server, sent)) = self.open_hops.pop_front() else { return };
        let fails = self.scenario == Scenario::Troubled && server.0 % 10 == 3;
        let outcome = if fails { Outcome::NoConnection } else { Outcome::Succeeded };
        if !fails {
            self.hop_counts.remove(&call);
        }
        let result =
            HopResult { call, hop, outcome, elapsed: self.now - sent, call_over: !fails, load: None };
        self.deliver(Event::HopEnded(result));
    }

    /// Runs one step; under `Troubled` two calls arrive in it.
    fn run_step(&mut self) {
        self.now = self.now + CALL_INTERVAL;
        self.steps += 1;
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            if let Some(Reverse((_, token))) = self.timers.pop() {
                self.deliver(Event::TimerFired(token));
            }
        }
        if self.scenario == Scenario::Churn {
            self.churn();
        }
        let arrivals = if self.scenario == Scenario::Troubled { 2 } else { 1 };
        for _ in 0..arrivals {
            self.call_count = (self.call_count + 1) & 0x00FF_FFFF;
            let (call, workload) =
                (CallId(self.call_count), WorkloadId((self.call_count.is_multiple_of(4)) as usize));
            let (time_left, tenant) = (Micros::millis(1_000), TenantId(0));
            self.deliver(Event::CallArrived(Arrival {
                call,
                workload,
                time_left,
                tenant,
                client_retry: false,
                affinity_key: None,
            }));
        }
        while self.open_hops.len() > OPEN_HOPS {
            self.end_oldest_hop();
        }
    }

    fn churn(&mut self) {
        let (number, step) = (self.steps / 3 % self.size, self.steps % 3);
        let status = [ServerStatus::Draining, ServerStatus::Gone, ServerStatus::Ready][step as usize];
        let entry = listing(number, Micros(0), status);
        self.deliver(Event::ListReceived { kind: ListKind::Changes, entries: &[entry] });
    }
}

fn bench_steps(bencher: Bencher, scenario: Scenario, size: u32) {
    let mut simulation = Simulation::new(scenario, size);
    bencher.bench_local(|| simulation.run_step());
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 100)]
fn quiet(bencher: Bencher, size: u32) {
    bench_steps(bencher, Scenario::Quiet, size);
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 100)]
fn troubled(bencher: Bencher, size: u32) {
    bench_steps(bencher, Scenario::Troubled, size);
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 100)]
fn churn(bencher: Bencher, size: u32) {
    bench_steps(bencher, Scenario::Churn, size);
}

fn main() {
    divan::main();
}
