//! Checks how many calls a cold server gets from several balancers together, which use the same servers like
//! the workers of one program. One balancer may get most of the calls.
mod base_config;

use oakhollow::rules::Balancer;
use oakhollow::types::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const FEW_INSTANCES: u32 = 4;
const MANY_INSTANCES: u32 = 400;
const WARM_SERVERS: u32 = 12;
const COLD_SERVER: ServerId = ServerId(99);
const COLD_CAPACITY: f64 = 0.2;
const WARM_UP_TIME: Micros = Micros::millis(8_000);
const LATENCY: Micros = Micros::millis(20);

fn listing(server: ServerId, started: Micros) -> ListedServer {
    ListedServer {
        server,
        zone: ZoneId(0),
        cell: CellId(server.0),
        status: ServerStatus::Ready,
        weight: 1.0,
        name_hash: u64::from(server.0),
        started,
    }
}

struct BalancerInstance {
    balancer: Balancer,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerToken)>>,
    /// Hops sent for each call.
    hops: HashMap<CallId, u32>,
}

/// The time, a sequence number that keeps the order, the instance, the call and the hop.
type HopEnd = (Micros, u64, usize, CallId, HopNo);

struct Simulation {
    now: Micros,
    instances: Vec<BalancerInstance>,
    hop_ends: BinaryHeap<Reverse<HopEnd>>,
    sequence: u64,
    sends_by_server: HashMap<ServerId, u32>,
}

impl Simulation {
    fn new(count: u32) -> Simulation {
        let now = Micros::millis(1_000_000);
        let workload =
            Workload { quoted_time: Micros::millis(1_000), ..base_config::workload(Idempotency::Idempotent) };
        let config = |instance_index| BalancerConfig {
            instances: count,
            instance_index,
            workloads: vec![workload.clone()],
            cold_capacity: COLD_CAPACITY,
            warm_up_time: WARM_UP_TIME,
            ..base_config::config(&[])
        };
        let (instances, hop_ends, sends_by_server) = (Vec::new(), BinaryHeap::new(), HashMap::new());
        let mut simulation = Simulation { now, instances, hop_ends, sequence: 0, sends_by_server };
        for number in 0..count {
            let mut actions = Vec::new();
            let balancer = Balancer::new(&config(number), u64::from(number) + 3, now, &mut actions);
            simulation.instances.push(BalancerInstance {
                balancer,
                timers: BinaryHeap::new(),
                hops: HashMap::new(),
            });
            simulation.execute(number as usize, actions);
        }
        simulation
    }

    fn deliver(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.instances[index].balancer.on(self.now, event, &mut actions);
        self.execute(index, actions);
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            self.sequence += 1;
            match action {
                Action::Send { call, server, .. } => {
                    let hop = self.instances[index].hops.entry(call).or_default();
                    self.hop_ends.push(Reverse((
                        self.now + LATENCY,
                        self.sequence,
                        index,
                        call,
                        HopNo(*hop),
                    )));
                    *hop += 1;
                    *self.sends_by_server.entry(server).or_default() += 1;
                }
                Action::SetTimer { after, token } => {
                    self.instances[index].timers.push(Reverse((self.now + after, self.sequence, token)));
                }
                _ => {}
            }
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[ListedServer]) {
        for index in 0..self.instances.len() {
            self.deliver(index, Event::ListReceived { kind, entries });
        }
    }

    /// Runs `calls_per_s` calls for `duration`. One call in `one_in` goes to the other instances, the rest to
    /// instance 0.
    fn run(&mut self, calls_per_s: u32, one_in: u32, duration: Micros) {
        let gap = Micros(1_000_000 / u64::from(calls_per_s));
        for number in 0..duration.0 / gap.0 {
            self.now = self.now + gap;
            for index in 0..self.instances.len() {
                while let Some(&Reverse((due, _, token))) = self.instances[index].timers.peek() {
                    if due > self.now {
                        break;
                    }
                    self.instances[index].timers.pop();
                    self.deliver(index, Event::TimerFired(token));
                }
            }
            while let Some(&Reverse((due, _, index, call, hop))) = self.hop_ends.peek() {
                if due > self.now {
                    break;
                }
                self.hop_ends.pop();
                let (outcome, elapsed, load) = (Outcome::Succeeded, LATENCY, None);
                let result = HopResult { call, hop, outcome, elapsed, call_over: true, load };
                self.deliver(index, Event::HopEnded(result));
            }
            self.sequence += 1;
            let index = match number as u32 % one_in {
                0 => 1 + number as usize / one_in as usize % (self.instances.len() - 1),
                _ => 0,
            };
            let (call, workload) = (CallId(self.sequence as u32), WorkloadId(0));
            let (time_left, tenant) = (Micros::millis(2_000), TenantId(0));
            self.deliver(
                index,
                Event::CallArrived(Arrival {
                    call,
                    workload,
                    time_left,
                    tenant,
                    client_retry: false,
                    affinity_key: None,
                }),
            );
        }
    }

    /// The mean number of hops sent to a warm server.
    fn warm_mean(&self) -> f64 {
        let warm: u32 = (0..WARM_SERVERS).filter_map(|id| self.sends_by_server.get(&ServerId(id))).sum();
        f64::from(warm) / f64::from(WARM_SERVERS)
    }
}

#[test]
fn all_instances_together_do_not_overload_a_cold_server() {
    for one_in in [4, 10, 1_000] {
        let mut simulation = Simulation::new(FEW_INSTANCES);
        let warm: Vec<ListedServer> = (0..WARM_SERVERS).map(|id| listing(ServerId(id), Micros(0))).collect();
        simulation.list(ListKind::Whole, &warm);
        simulation.run(600, one_in, Micros::millis(6_000));
        let started = simulation.now;
        simulation.list(ListKind::Changes, &[listing(COLD_SERVER, started)]);
        let mut all = 0;
        for second in 1..=8_u64 {
            simulation.sends_by_server.clear();
            simulation.run(600, one_in, Micros::millis(1_000));
            let (mean, cold) =
                (simulation.warm_mean(), simulation.sends_by_server.get(&COLD_SERVER).copied().unwrap_or(0));
            // Its capacity at the end of this second, plus a burst of half a second and one initial call per
            // instance.
            let share = COLD_CAPACITY + (1.0 - COLD_CAPACITY) * second as f64 * 1e6 / WARM_UP_TIME.0 as f64;
            let limit = (1.5 * share * mean).max(6.0) + f64::from(FEW_INSTANCES);
            assert!(f64::from(cold) <= limit, "{one_in}: {cold} in second {second}, a warm server {mean:.0}");
            all += cold;
        }
        assert!(all > 20, "{one_in}: {all} in eight seconds: it never warms up");
    }
}

/// At thousands of calls per second cold servers collapsed: each balancer had saved one call for them, and a
/// burst of calls spent all of these at once.
#[test]
fn saved_calls_of_many_instances_do_not_reach_a_cold_server_at_once() {
    let mut simulation = Simulation::new(MANY_INSTANCES);
    let warm: Vec<ListedServer> = (0..WARM_SERVERS).map(|id| listing(ServerId(id), Micros(0))).collect();
    simulation.list(ListKind::Whole, &warm);
    simulation.run(400, 1, Micros::millis(10_000));
    let started = simulation.now;
    simulation.list(ListKind::Changes, &[listing(COLD_SERVER, started)]);
    simulation.run(400, 1, Micros::millis(3_000));
    let before = simulation.sends_by_server.get(&COLD_SERVER).copied().unwrap_or(0);
    simulation.sends_by_server.clear();
    simulation.run(4_000, 1, Micros::millis(200));
    let cold = simulation.sends_by_server.get(&COLD_SERVER).copied().unwrap_or(0);
    assert!(before >= 2, "{before} in three seconds: it never warms up");
    assert!(cold <= 7, "{cold} saved calls were sent at once");
}
