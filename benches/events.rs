//! Time of one API call in the module alone, by the number of servers: `cargo bench --bench events`.
//!
//! One turn is an arrival, its hop's send and that hop's end a few calls later, with all timers that fall due between.
//! `quiet`: every hop succeeds. `troubled`: a tenth of the servers are not reached and so set aside, a twentieth are cold
//! and stay so, and calls come faster than the width lets through, so that the queue is never empty. `churn`: each
//! turn one server of the list drains, leaves or comes back.
#[path = "../tests/place/mod.rs"]
mod place;

use divan::{black_box, Bencher};
use oakhollow::rules::Balancer;
use oakhollow::types::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

const SIZES: [u32; 4] = [10, 100, 1_000, 10_000];
/// Hops that are out at a time.
const OUT: usize = 64;
const BETWEEN: Micros = Micros(50);

#[derive(Clone, Copy, PartialEq)]
enum Day {
    Quiet,
    Troubled,
    Churn,
}

struct World {
    day: Day,
    size: u32,
    now: Micros,
    sidecar: Balancer,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Micros, TimerToken)>>,
    out: VecDeque<(CallId, HopNo, ServerId, Micros)>,
    hops: HashMap<CallId, u32>,
    calls: u32,
    turns: u32,
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

impl World {
    fn new(day: Day, size: u32) -> World {
        let terms = BalancerConfig {
            cold_capacity: 0.1,
            warm_up_time: Micros::millis(3_600_000_000),
            collapse_window: Micros::millis(2_000),
            ..place::terms(&[Idempotency::Idempotent, Idempotency::NonIdempotent])
        };
        let (now, mut actions) = (Micros::millis(100_000_000), Vec::new());
        let sidecar = Balancer::new(&terms, 7, now, &mut actions);
        let mut world = World {
            day,
            size,
            now,
            sidecar,
            actions,
            timers: BinaryHeap::new(),
            out: VecDeque::new(),
            hops: HashMap::new(),
            calls: 0,
            turns: 0,
        };
        let entries: Vec<ListedServer> =
            (0..size).map(|at| listing(at, world.started(at), ServerStatus::Ready)).collect();
        world.tell(Event::ListReceived { kind: ListKind::Whole, entries: &entries });
        for _ in 0..(4 * size).max(20_000) {
            world.turn();
        }
        world
    }

    fn started(&self, number: u32) -> Micros {
        let cold = self.day == Day::Troubled && number % 20 == 1;
        if cold {
            self.now
        } else {
            Micros(0)
        }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.sidecar.on(self.now, black_box(event), &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { call, server, .. } => {
                    let hop = self.hops.entry(call).or_default();
                    self.out.push_back((call, HopNo(*hop), server, self.now));
                    *hop += 1;
                }
                Action::SetTimer { after, token } => self.timers.push(Reverse((self.now + after, token))),
                Action::Refuse { call, .. } | Action::Fail { call } => _ = self.hops.remove(&call),
                _ => {}
            }
        }
        self.actions = actions;
    }

    fn end_one(&mut self) {
        let Some((call, hop, server, sent)) = self.out.pop_front() else { return };
        let lost = self.day == Day::Troubled && server.0 % 10 == 3;
        let outcome = if lost { Outcome::NoConnection } else { Outcome::Succeeded };
        if !lost {
            self.hops.remove(&call);
        }
        let ending = HopResult { call, hop, outcome, elapsed: self.now - sent, call_over: !lost, load: None };
        self.tell(Event::HopEnded(ending));
    }

    /// One API call in, one hop's end out, and what falls due.
    fn turn(&mut self) {
        self.now = self.now + BETWEEN;
        self.turns += 1;
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            if let Some(Reverse((_, token))) = self.timers.pop() {
                self.tell(Event::TimerFired(token));
            }
        }
        if self.day == Day::Churn {
            self.churn();
        }
        let arrivals = if self.day == Day::Troubled { 2 } else { 1 };
        for _ in 0..arrivals {
            self.calls = (self.calls + 1) & 0x00FF_FFFF;
            let (call, workload) = (CallId(self.calls), WorkloadId((self.calls.is_multiple_of(4)) as usize));
            let (time_left, tenant) = (Micros::millis(1_000), TenantId(0));
            self.tell(Event::CallArrived(Arrival {
                call,
                workload,
                time_left,
                tenant,
                client_retry: false,
                affinity_key: None,
            }));
        }
        while self.out.len() > OUT {
            self.end_one();
        }
    }

    fn churn(&mut self) {
        let (number, step) = (self.turns / 3 % self.size, self.turns % 3);
        let status = [ServerStatus::Draining, ServerStatus::Gone, ServerStatus::Ready][step as usize];
        let entry = listing(number, Micros(0), status);
        self.tell(Event::ListReceived { kind: ListKind::Changes, entries: &[entry] });
    }
}

fn turns(bencher: Bencher, day: Day, size: u32) {
    let mut world = World::new(day, size);
    bencher.bench_local(|| world.turn());
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 100)]
fn quiet(bencher: Bencher, size: u32) {
    turns(bencher, Day::Quiet, size);
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 100)]
fn troubled(bencher: Bencher, size: u32) {
    turns(bencher, Day::Troubled, size);
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 100)]
fn churn(bencher: Bencher, size: u32) {
    turns(bencher, Day::Churn, size);
}

fn main() {
    divan::main();
}
