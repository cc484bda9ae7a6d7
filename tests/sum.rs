//! Several instances before the same servers, as the workers of one program are: what a cold server gets from all of them
//! together, also while one of them gets most of the calls.
mod place;

use oakhollow::rules::Balancer;
use oakhollow::types::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const INSTANCES: u32 = 4;
const MANY: u32 = 400;
const WARM: u32 = 12;
const COLD: ServerId = ServerId(99);
const COLD_FROM: f64 = 0.2;
const WARM_WITHIN: Micros = Micros::millis(8_000);
const TOOK: Micros = Micros::millis(20);

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

struct Instance {
    sidecar: Balancer,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerToken)>>,
    hops: HashMap<CallId, u32>,
}

/// When, a number to keep the order, at which instance, and for which hop.
type Due = (Micros, u64, usize, CallId, HopNo);

struct World {
    now: Micros,
    instances: Vec<Instance>,
    /// Answers due.
    due: BinaryHeap<Reverse<Due>>,
    set: u64,
    sends: HashMap<ServerId, u32>,
}

impl World {
    fn new(count: u32) -> World {
        let now = Micros::millis(1_000_000);
        let workload =
            Workload { quoted_time: Micros::millis(1_000), ..place::workload(Idempotency::Idempotent) };
        let terms = |instance_index| BalancerConfig {
            instances: count,
            instance_index,
            workloads: vec![workload.clone()],
            cold_capacity: COLD_FROM,
            warm_up_time: WARM_WITHIN,
            ..place::terms(&[])
        };
        let (instances, due, sends) = (Vec::new(), BinaryHeap::new(), HashMap::new());
        let mut world = World { now, instances, due, set: 0, sends };
        for number in 0..count {
            let mut out = Vec::new();
            let sidecar = Balancer::new(&terms(number), u64::from(number) + 3, now, &mut out);
            world.instances.push(Instance { sidecar, timers: BinaryHeap::new(), hops: HashMap::new() });
            world.carry_out(number as usize, out);
        }
        world
    }

    fn tell(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.instances[at].sidecar.on(self.now, event, &mut out);
        self.carry_out(at, out);
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            self.set += 1;
            match action {
                Action::Send { call, server, .. } => {
                    let hop = self.instances[at].hops.entry(call).or_default();
                    self.due.push(Reverse((self.now + TOOK, self.set, at, call, HopNo(*hop))));
                    *hop += 1;
                    *self.sends.entry(server).or_default() += 1;
                }
                Action::SetTimer { after, token } => {
                    self.instances[at].timers.push(Reverse((self.now + after, self.set, token)));
                }
                _ => {}
            }
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[ListedServer]) {
        for at in 0..self.instances.len() {
            self.tell(at, Event::ListReceived { kind, entries });
        }
    }

    /// `a_second` calls, of which instance 0 gets all but one in `apart`, for `length`.
    fn run(&mut self, a_second: u32, apart: u32, length: Micros) {
        let gap = Micros(1_000_000 / u64::from(a_second));
        for number in 0..length.0 / gap.0 {
            self.now = self.now + gap;
            for at in 0..self.instances.len() {
                while let Some(&Reverse((due, _, token))) = self.instances[at].timers.peek() {
                    if due > self.now {
                        break;
                    }
                    self.instances[at].timers.pop();
                    self.tell(at, Event::TimerFired(token));
                }
            }
            while let Some(&Reverse((due, _, at, call, hop))) = self.due.peek() {
                if due > self.now {
                    break;
                }
                self.due.pop();
                let (outcome, elapsed, load) = (Outcome::Succeeded, TOOK, None);
                let ending = HopResult { call, hop, outcome, elapsed, call_over: true, load };
                self.tell(at, Event::HopEnded(ending));
            }
            self.set += 1;
            let at = match number as u32 % apart {
                0 => 1 + number as usize / apart as usize % (self.instances.len() - 1),
                _ => 0,
            };
            let (call, workload) = (CallId(self.set as u32), WorkloadId(0));
            let (time_left, tenant) = (Micros::millis(2_000), TenantId(0));
            self.tell(
                at,
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

    fn warm_mean(&self) -> f64 {
        let warm: u32 = (0..WARM).filter_map(|id| self.sends.get(&ServerId(id))).sum();
        f64::from(warm) / f64::from(WARM)
    }
}

#[test]
fn a_cold_server_gets_its_share_of_all_instances_together() {
    for apart in [4, 10, 1_000] {
        let mut world = World::new(INSTANCES);
        let warm: Vec<ListedServer> = (0..WARM).map(|id| listing(ServerId(id), Micros(0))).collect();
        world.list(ListKind::Whole, &warm);
        world.run(600, apart, Micros::millis(6_000));
        let started = world.now;
        world.list(ListKind::Changes, &[listing(COLD, started)]);
        let mut all = 0;
        for second in 1..=8_u64 {
            world.sends.clear();
            world.run(600, apart, Micros::millis(1_000));
            let (mean, cold) = (world.warm_mean(), world.sends.get(&COLD).copied().unwrap_or(0));
            // What it has by the end of this second; a burst of half a second's worth, and one call to begin with.
            let share = COLD_FROM + (1.0 - COLD_FROM) * second as f64 * 1e6 / WARM_WITHIN.0 as f64;
            let most = (1.5 * share * mean).max(6.0) + f64::from(INSTANCES);
            assert!(f64::from(cold) <= most, "{apart}: {cold} in second {second}, a warm one {mean:.0}");
            all += cold;
        }
        assert!(all > 20, "{apart}: {all} in eight seconds: it never warms up");
    }
}

/// Guards against a fall of cold servers that thousands of calls a second made: each sidecar had saved up one call for
/// one, and a burst spent them all at once.
#[test]
fn what_each_instance_could_save_up_never_meets_a_cold_server_at_once() {
    let mut world = World::new(MANY);
    let warm: Vec<ListedServer> = (0..WARM).map(|id| listing(ServerId(id), Micros(0))).collect();
    world.list(ListKind::Whole, &warm);
    world.run(400, 1, Micros::millis(10_000));
    let started = world.now;
    world.list(ListKind::Changes, &[listing(COLD, started)]);
    world.run(400, 1, Micros::millis(3_000));
    let before = world.sends.get(&COLD).copied().unwrap_or(0);
    world.sends.clear();
    world.run(4_000, 1, Micros::millis(200));
    let cold = world.sends.get(&COLD).copied().unwrap_or(0);
    assert!(before >= 2, "{before} in three seconds: it never warms up");
    assert!(cold <= 7, "{cold} instances sent theirs at once");
}
