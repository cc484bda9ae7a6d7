//! Simulates how much traffic the lease protocol causes and how long a change takes to reach all instances. Lease
//! holders and lease servers run the code of the package `lease`, all in one process and in virtual time, on links
//! with a delay of 0.5 to 2 ms. Bytes are those of the messages' lines.
use crate::scale::catalogue::{Catalogue, FleetShape, ServerState};
use nanorand::{Rng, WyRand};
use oakhollow::types::Micros;
use oakhollow_config::{to_json, Scope};
use oakhollow_lease::{
    lease_duration, Action, Document, Fact, HolderId, InstanceId, LeaseHolder, LeaseServer, ListUpdate,
    Message, Validator, Version,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;

/// Messages and their bytes, in both directions, of one participant in some span of time.
#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    /// Messages.
    pub messages: f64,
    /// Bytes of these messages.
    pub bytes: f64,
}

/// The outcome for a number of instances.
#[derive(Clone, Debug)]
pub struct Report {
    /// How many instances there are.
    pub instances: usize,
    /// The traffic of an instance, a second, while nothing changes.
    pub idle_instance: Traffic,
    /// The traffic of a lease server, a second, while nothing changes.
    pub idle_lease_server: Traffic,
    /// The traffic of an instance for one change of the settings, beyond that of an idle fleet.
    pub change: Traffic,
    /// The traffic of an instance for one server that drains in all lists at once, beyond that of an idle fleet.
    pub drain: Traffic,
    /// From when a change is written at one instance until all have it, in seconds.
    pub change_s: f64,
    /// From when one list has a server as draining until all instances know it, in seconds.
    pub drain_s: f64,
    /// From when a change is written until all but one instance have it, that one being cut off, in seconds.
    pub change_while_cut_off_s: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ToLeaseServer(usize, usize, Message),
    ToHolder(usize, usize, Message),
    HolderTimer(usize),
    LeaseServerTimer(usize),
}

struct Fleet {
    now: Micros,
    holders: Vec<LeaseHolder>,
    lease_servers: Vec<LeaseServer>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    random: WyRand,
    traffic: Traffic,
    lease_server_traffic: Traffic,
    cut_off: Option<usize>,
}

/// The size of the settings text in bytes, an ordinary one.
const SETTINGS_BYTES: usize = 4_000;
/// How many instances are lease servers.
const LEASE_SERVERS: usize = 3;
/// How many servers each list has.
const SERVERS: usize = 100;

impl Fleet {
    fn new(
        instances: usize, max_divergence: Micros, seed: u64, scope: Scope,
        listed: impl Fn(usize) -> ListUpdate,
    ) -> Fleet {
        let validator: Validator = Arc::new(|_: &[Arc<str>]| Ok(()));
        let lease_server_ids: Vec<InstanceId> = (0..LEASE_SERVERS as u32).map(InstanceId).collect();
        let unsubscribed =
            || LeaseHolder::new(lease_server_ids.clone(), lease_duration(max_divergence), validator.clone());
        let new_holder = || match scope {
            Scope::All => unsubscribed(),
            Scope::Listed => unsubscribed().with_subscription(),
        };
        let mut fleet = Fleet {
            now: Micros(1),
            holders: (0..instances).map(|_| new_holder()).collect(),
            lease_servers: vec![LeaseServer::new(Micros(1), lease_duration(max_divergence)); LEASE_SERVERS],
            events: BinaryHeap::new(),
            sequence: 0,
            random: WyRand::new_seed(seed),
            traffic: Traffic::default(),
            lease_server_traffic: Traffic::default(),
            cut_off: None,
        };
        for instance in 0..instances {
            fleet.propose(instance, 1);
            fleet.update_list(instance, listed(instance));
        }
        fleet
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn propose(&mut self, instance: usize, number: u64) {
        let version = Version { epoch: 0, number, hash: number };
        let (mut actions, document) =
            (Vec::new(), Document { version, text: "x".repeat(SETTINGS_BYTES).into() });
        self.holders[instance].propose(self.now, document, &mut actions);
        self.execute(instance, actions);
    }

    fn update_list(&mut self, instance: usize, update: ListUpdate) {
        let mut actions = Vec::new();
        self.holders[instance].handle_list_update(self.now, update, &mut actions);
        self.execute(instance, actions);
    }

    fn is_cut_off(&self, instance: usize, lease_server: usize) -> bool {
        self.cut_off == Some(instance) && instance != lease_server
    }

    /// Counts a message, unless an instance sends it to its own lease server, which takes no link.
    fn count(&mut self, instance: usize, lease_server: usize, message: &Message) {
        if instance != lease_server {
            let bytes = to_json(message).len() as f64 + 1.0;
            (self.traffic.messages, self.traffic.bytes) =
                (self.traffic.messages + 1.0, self.traffic.bytes + bytes);
            let sum = &mut self.lease_server_traffic;
            (sum.messages, sum.bytes) = (sum.messages + 1.0, sum.bytes + bytes);
        }
    }

    fn delay(&mut self) -> Micros {
        Micros(self.random.generate_range(500_u64..2_000))
    }

    fn execute(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(lease_server, message) = action {
                let lease_server = lease_server.0 as usize;
                self.count(instance, lease_server, &message);
                let delay = self.delay();
                if !self.is_cut_off(instance, lease_server) {
                    self.schedule(delay, Event::ToLeaseServer(lease_server, instance, message));
                }
            }
        }
        let due = self.holders[instance].next_wakeup() - self.now;
        self.schedule(due, Event::HolderTimer(instance));
    }

    fn send_from_lease_server(&mut self, lease_server: usize, messages: Vec<(HolderId, Message)>) {
        for (holder, message) in messages {
            let instance = holder.instance.0 as usize;
            self.count(instance, lease_server, &message);
            let delay = self.delay();
            if !self.is_cut_off(instance, lease_server) {
                self.schedule(delay, Event::ToHolder(instance, lease_server, message));
            }
        }
        if let Some(due) = self.lease_servers[lease_server].next_wakeup(self.now) {
            self.schedule(due - self.now, Event::LeaseServerTimer(lease_server));
        }
    }

    /// Runs until `time_limit` is over, or until all instances but the one that is cut off are done. Returns the
    /// simulated seconds that it took.
    fn run(&mut self, time_limit: Micros, done: impl Fn(&LeaseHolder) -> bool) -> f64 {
        let (start, end) = (self.now, self.now + time_limit);
        let is_waiting = |holder: &usize| self.cut_off != Some(*holder) && !done(&self.holders[*holder]);
        let mut waiting: BTreeSet<usize> = (0..self.holders.len()).filter(is_waiting).collect();
        while let Some(Reverse((due, _, event))) = self.events.pop() {
            if due > end {
                self.events.push(Reverse((due, 0, event)));
                break;
            }
            self.now = due;
            let changed_holder = match &event {
                Event::ToHolder(holder, ..) | Event::HolderTimer(holder) => Some(*holder),
                Event::ToLeaseServer(..) | Event::LeaseServerTimer(_) => None,
            };
            match event {
                Event::ToLeaseServer(lease_server, instance, message) => {
                    let mut messages = Vec::new();
                    let holder = HolderId { instance: InstanceId(instance as u32), incarnation: 1 };
                    self.lease_servers[lease_server].handle_message(self.now, holder, message, &mut messages);
                    self.send_from_lease_server(lease_server, messages);
                }
                Event::ToHolder(holder, lease_server, message) => {
                    let mut actions = Vec::new();
                    self.holders[holder].handle_message(
                        self.now,
                        InstanceId(lease_server as u32),
                        message,
                        &mut actions,
                    );
                    self.execute(holder, actions);
                }
                Event::HolderTimer(holder) if self.now >= self.holders[holder].next_wakeup() => {
                    let mut actions = Vec::new();
                    self.holders[holder].handle_timer(self.now, &mut actions);
                    self.execute(holder, actions);
                }
                Event::HolderTimer(_) => {}
                Event::LeaseServerTimer(lease_server) => {
                    let mut messages = Vec::new();
                    self.lease_servers[lease_server].handle_timer(self.now, &mut messages);
                    self.send_from_lease_server(lease_server, messages);
                }
            }
            if let Some(holder) = changed_holder.filter(|holder| done(&self.holders[*holder])) {
                waiting.remove(&holder);
            }
            if waiting.is_empty() {
                return (self.now - start).secs();
            }
        }
        self.now = end;
        time_limit.secs()
    }

    /// The mean traffic of an instance and of a lease server since the last call.
    fn take_traffic(&mut self) -> (Traffic, Traffic) {
        let (traffic, sum) =
            (std::mem::take(&mut self.traffic), std::mem::take(&mut self.lease_server_traffic));
        let mean = |traffic: Traffic, count: usize| Traffic {
            messages: traffic.messages / count as f64,
            bytes: traffic.bytes / count as f64,
        };
        (mean(traffic, self.holders.len()), mean(sum, LEASE_SERVERS))
    }
}

fn fact(excluded: bool) -> Fact {
    Fact { since: 7, excluded, first_hand: true, entry: None }
}

/// Simulates an idle fleet, a change of the settings, a server that drains, and a change while one instance is cut
/// off.
pub fn measure(instances: usize, max_divergence_s: f64, seed: u64) -> Report {
    let max_divergence = Micros((max_divergence_s * 1e6) as u64);
    let mut fleet = Fleet::new(instances, max_divergence, seed, Scope::All, |_| {
        let fact = |server| (Arc::from(format!("s-{server:08x}")), Some(fact(false)));
        ListUpdate { index: 1, snapshot: true, entries: (0..SERVERS).map(fact).collect() }
    });
    let never = |_: &LeaseHolder| false;
    fleet.run(max_divergence.times(3.0), never);
    fleet.take_traffic();
    let duration = max_divergence.times(5.0);
    fleet.run(duration, never);
    let (instance_traffic, lease_server_traffic) = fleet.take_traffic();
    let rate = |traffic: Traffic| Traffic {
        messages: traffic.messages / duration.secs(),
        bytes: traffic.bytes / duration.secs(),
    };
    let (idle_instance, idle_lease_server) = (rate(instance_traffic), rate(lease_server_traffic));
    let beyond_idle = |traffic: Traffic| Traffic {
        messages: traffic.messages - idle_instance.messages * max_divergence.secs(),
        bytes: traffic.bytes - idle_instance.bytes * max_divergence.secs(),
    };
    let has_version = |number: u64| {
        move |holder: &LeaseHolder| holder.committed().is_some_and(|version| version.number == number)
    };
    let run_rest = |fleet: &mut Fleet, elapsed_s: f64| {
        fleet.run(max_divergence - Micros((elapsed_s * 1e6) as u64), |_: &LeaseHolder| false);
    };
    let last_instance = instances - 1;
    fleet.propose(last_instance, 2);
    let change_s = fleet.run(max_divergence, has_version(2));
    run_rest(&mut fleet, change_s);
    let change = beyond_idle(fleet.take_traffic().0);
    let drains = |index, server: &str| {
        let entries = vec![(server.into(), Some(fact(true)))];
        ListUpdate { index, snapshot: false, entries }
    };
    fleet.update_list(last_instance, drains(2, "s-00000003"));
    let drain_s = fleet.run(max_divergence, |holder| !holder.excluded_servers().is_empty());
    run_rest(&mut fleet, drain_s);
    fleet.take_traffic();
    (0..instances).for_each(|instance| fleet.update_list(instance, drains(3, "s-00000004")));
    fleet.run(max_divergence, never);
    let drain = beyond_idle(fleet.take_traffic().0);
    fleet.cut_off = Some(last_instance);
    fleet.propose(0, 3);
    let change_while_cut_off_s = fleet.run(max_divergence.times(2.0), has_version(3));
    Report {
        instances,
        idle_instance,
        idle_lease_server,
        change,
        drain,
        change_s,
        drain_s,
        change_while_cut_off_s,
    }
}

/// The counted cost of a span of time.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// The mean traffic of an instance.
    pub instance: Traffic,
    /// The mean traffic of a lease server.
    pub lease_server: Traffic,
    /// Entries that a lease server examined for each message that it sent or received.
    pub steps_per_message: f64,
}

/// The costs of a fleet in which each instance has a small list of its own.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// A second of an idle fleet.
    pub idle: Cost,
    /// One change of the settings, beyond the cost of an idle fleet.
    pub change: Cost,
    /// One server that drains in all lists that name it, beyond the cost of an idle fleet.
    pub drain: Cost,
    /// All servers of a zone, a seventh of all, that drain at once, beyond the cost of an idle fleet.
    pub zone: Cost,
}

/// How many zones the servers are in.
const ZONES: usize = 7;
/// How many services an instance calls: few, so that even of a hundred instances each calls only a part of the
/// services.
const SERVICES_CALLED: usize = 6;
/// How many servers a service has.
const SERVERS_PER_SERVICE: usize = 4;

/// Counts the costs of a fleet with one instance for each server. It measures no time, so that one seed gives the
/// same counts on any machine.
pub fn costs(instances: usize, max_divergence_s: f64, seed: u64, scope: Scope) -> Costs {
    let max_divergence = Micros((max_divergence_s * 1e6) as u64);
    let shape = FleetShape {
        services: instances.div_ceil(SERVERS_PER_SERVICE),
        servers: SERVERS_PER_SERVICE,
        zones: ZONES,
        calls: SERVICES_CALLED,
    };
    let (catalogue, mut random) = (Catalogue::new(shape), WyRand::new_seed(seed));
    let lists: Vec<Vec<u32>> = (0..instances).map(|_| catalogue.list_of(&mut random)).collect();
    let update = |instance: usize, index: u64, excluded: bool, includes: &dyn Fn(usize) -> bool| {
        let servers =
            lists[instance].iter().map(|server| *server as usize).filter(|server| includes(*server));
        catalogue.list_update(
            index,
            index == 1,
            servers.map(|server| (server, ServerState { started_at_ms: 7, excluded })),
        )
    };
    let mut fleet =
        Fleet::new(instances, max_divergence, seed, scope, |instance| update(instance, 1, false, &|_| true));
    let never = |_: &LeaseHolder| false;
    fleet.run(max_divergence.times(3.0), never);
    let mut cost_of = |duration: Micros, trigger: &mut dyn FnMut(&mut Fleet)| {
        fleet.take_traffic();
        let steps =
            |fleet: &Fleet| fleet.lease_servers.iter().map(LeaseServer::entries_examined).sum::<u64>() as f64;
        let before = steps(&fleet);
        trigger(&mut fleet);
        fleet.run(duration, never);
        let (instance, lease_server) = fleet.take_traffic();
        let steps_per_message = (steps(&fleet) - before) / (LEASE_SERVERS as f64 * lease_server.messages);
        Cost { instance, lease_server, steps_per_message }
    };
    let scaled = |cost: Cost, factor: f64| {
        let traffic =
            |traffic: Traffic| Traffic { messages: traffic.messages * factor, bytes: traffic.bytes * factor };
        Cost { instance: traffic(cost.instance), lease_server: traffic(cost.lease_server), ..cost }
    };
    let duration = max_divergence.times(4.0);
    let idle = scaled(cost_of(duration, &mut |_| {}), 1.0 / duration.secs());
    let beyond_idle = |cost: Cost| {
        let idle = scaled(idle, max_divergence.secs());
        let difference = |one: Traffic, other: Traffic| Traffic {
            messages: one.messages - other.messages,
            bytes: one.bytes - other.bytes,
        };
        Cost {
            instance: difference(cost.instance, idle.instance),
            lease_server: difference(cost.lease_server, idle.lease_server),
            ..cost
        }
    };
    let change = beyond_idle(cost_of(max_divergence, &mut |fleet| fleet.propose(instances - 1, 2)));
    let server = lists[0][0] as usize;
    let drain = beyond_idle(cost_of(max_divergence, &mut |fleet| {
        (0..instances).for_each(|instance| {
            fleet.update_list(instance, update(instance, 2, true, &|other| other == server))
        });
    }));
    let zone_of = |server: usize| catalogue.zone_of(server);
    let zone = beyond_idle(cost_of(max_divergence, &mut |fleet| {
        (0..instances).for_each(|instance| {
            fleet.update_list(instance, update(instance, 3, true, &|other| zone_of(other) == 0))
        });
    }));
    Costs { idle, change, drain, zone }
}
