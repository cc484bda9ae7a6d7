//! How much instances say to agree, and how long a change takes, simulated: members and keepers by the package's own code,
//! all in one process, in virtual time, with links of 0.5 to 2 ms. Bytes are those of the words' lines.
use crate::scale::catalogue::{Catalogue, EndpointState, Shape};
use nanorand::{Rng, WyRand};
use oakhollow::types::Micros;
use oakhollow_accord::{
    lease_duration, Action, Document, Fact, HolderId, InstanceId, LeaseHolder, LeaseServer, ListUpdate,
    Message, Validator, Version,
};
use oakhollow_terms::{to_json, Scope};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::sync::Arc;

/// What of a length of time was said, for each instance.
#[derive(Clone, Copy, Default, Debug)]
pub struct Said {
    pub words: f64,
    pub bytes: f64,
}

/// What came of a number of instances.
#[derive(Clone, Debug)]
pub struct Report {
    pub instances: usize,
    /// An instance's own words and those to it, a second, while nothing changes; and a keeper's.
    pub calm: Said,
    pub keeper: Said,
    /// For one change, and for one server that drains by all lists at once, beyond what is said anyway.
    pub change: Said,
    pub drain: Said,
    /// From when it is written, or told to one, until it holds at all, in seconds.
    pub change_s: f64,
    pub drain_s: f64,
    /// With one that is cut off meanwhile.
    pub silent_s: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ToKeeper(usize, usize, Message),
    ToMember(usize, usize, Message),
    LeaseHolder(usize),
    LeaseServer(usize),
}

struct Fleet {
    now: Micros,
    members: Vec<LeaseHolder>,
    keepers: Vec<LeaseServer>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    number: u64,
    random: WyRand,
    said: Said,
    of_keepers: Said,
    silent: Option<usize>,
}

/// The text of settings of an ordinary size.
const TEXT: usize = 4_000;
const KEEPERS: usize = 3;
/// Servers on the list.
const SERVERS: usize = 100;

impl Fleet {
    fn new(
        instances: usize, within: Micros, seed: u64, scope: Scope, listed: impl Fn(usize) -> ListUpdate,
    ) -> Fleet {
        let judge: Validator = Arc::new(|_: &[Arc<str>]| Ok(()));
        let names: Vec<InstanceId> = (0..KEEPERS as u32).map(InstanceId).collect();
        let all = || LeaseHolder::new(names.clone(), lease_duration(within), judge.clone());
        let member = || match scope {
            Scope::All => all(),
            Scope::Listed => all().with_subscription(),
        };
        let mut fleet = Fleet {
            now: Micros(1),
            members: (0..instances).map(|_| member()).collect(),
            keepers: vec![LeaseServer::new(Micros(1), lease_duration(within)); KEEPERS],
            events: BinaryHeap::new(),
            number: 0,
            random: WyRand::new_seed(seed),
            said: Said::default(),
            of_keepers: Said::default(),
            silent: None,
        };
        for at in 0..instances {
            fleet.write(at, 1);
            fleet.list(at, listed(at));
        }
        fleet
    }

    fn at(&mut self, after: Micros, event: Event) {
        self.number += 1;
        self.events.push(Reverse((self.now + after, self.number, event)));
    }

    fn write(&mut self, at: usize, number: u64) {
        let version = Version { epoch: 0, number, hash: number };
        let (mut actions, document) = (Vec::new(), Document { version, text: "x".repeat(TEXT).into() });
        self.members[at].propose(self.now, document, &mut actions);
        self.act(at, actions);
    }

    fn list(&mut self, at: usize, listed: ListUpdate) {
        let mut actions = Vec::new();
        self.members[at].handle_list_update(self.now, listed, &mut actions);
        self.act(at, actions);
    }

    fn cut(&self, instance: usize, keeper: usize) -> bool {
        self.silent == Some(instance) && instance != keeper
    }

    /// An instance's word to its own keeper goes over no link, and counts for nothing.
    fn count(&mut self, instance: usize, keeper: usize, word: &Message) {
        if instance != keeper {
            let bytes = to_json(word).len() as f64 + 1.0;
            (self.said.words, self.said.bytes) = (self.said.words + 1.0, self.said.bytes + bytes);
            let of = &mut self.of_keepers;
            (of.words, of.bytes) = (of.words + 1.0, of.bytes + bytes);
        }
    }

    fn delay(&mut self) -> Micros {
        Micros(self.random.generate_range(500_u64..2_000))
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send(keeper, word) = action {
                let keeper = keeper.0 as usize;
                self.count(at, keeper, &word);
                let delay = self.delay();
                if !self.cut(at, keeper) {
                    self.at(delay, Event::ToKeeper(keeper, at, word));
                }
            }
        }
        let due = self.members[at].next_wakeup() - self.now;
        self.at(due, Event::LeaseHolder(at));
    }

    fn keeper_says(&mut self, at: usize, out: Vec<(HolderId, Message)>) {
        for (holder, word) in out {
            let to = holder.instance.0 as usize;
            self.count(to, at, &word);
            let delay = self.delay();
            if !self.cut(to, at) {
                self.at(delay, Event::ToMember(to, at, word));
            }
        }
        if let Some(due) = self.keepers[at].next_wakeup(self.now) {
            self.at(due - self.now, Event::LeaseServer(at));
        }
    }

    /// Until then, or until all but the silent one are as wanted: in seconds from now.
    fn run(&mut self, most: Micros, done: impl Fn(&LeaseHolder) -> bool) -> f64 {
        let (begun, end) = (self.now, self.now + most);
        let waits = |at: &usize| self.silent != Some(*at) && !done(&self.members[*at]);
        let mut waiting: BTreeSet<usize> = (0..self.members.len()).filter(waits).collect();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                self.events.push(Reverse((at, 0, event)));
                break;
            }
            self.now = at;
            let concerned = match &event {
                Event::ToMember(at, ..) | Event::LeaseHolder(at) => Some(*at),
                Event::ToKeeper(..) | Event::LeaseServer(_) => None,
            };
            match event {
                Event::ToKeeper(keeper, from, word) => {
                    let mut out = Vec::new();
                    let from = HolderId { instance: InstanceId(from as u32), incarnation: 1 };
                    self.keepers[keeper].handle_message(self.now, from, word, &mut out);
                    self.keeper_says(keeper, out);
                }
                Event::ToMember(to, keeper, word) => {
                    let mut actions = Vec::new();
                    self.members[to].handle_message(self.now, InstanceId(keeper as u32), word, &mut actions);
                    self.act(to, actions);
                }
                Event::LeaseHolder(at) if self.now >= self.members[at].next_wakeup() => {
                    let mut actions = Vec::new();
                    self.members[at].handle_timer(self.now, &mut actions);
                    self.act(at, actions);
                }
                Event::LeaseHolder(_) => {}
                Event::LeaseServer(at) => {
                    let mut out = Vec::new();
                    self.keepers[at].handle_timer(self.now, &mut out);
                    self.keeper_says(at, out);
                }
            }
            if let Some(at) = concerned.filter(|at| done(&self.members[*at])) {
                waiting.remove(&at);
            }
            if waiting.is_empty() {
                return (self.now - begun).secs();
            }
        }
        self.now = end;
        most.secs()
    }

    /// What was said since last asked, for each instance, and for each keeper.
    fn heard(&mut self) -> (Said, Said) {
        let (said, of) = (std::mem::take(&mut self.said), std::mem::take(&mut self.of_keepers));
        let part =
            |said: Said, by: usize| Said { words: said.words / by as f64, bytes: said.bytes / by as f64 };
        (part(said, self.members.len()), part(of, KEEPERS))
    }
}

fn fact(out: bool) -> Fact {
    Fact { since: 7, excluded: out, first_hand: true, entry: None }
}

/// Plays a calm, a change, a server that drains, and a change while one is cut off.
pub fn measure(instances: usize, within_s: f64, seed: u64) -> Report {
    let within = Micros((within_s * 1e6) as u64);
    let mut fleet = Fleet::new(instances, within, seed, Scope::All, |_| {
        let fact = |server| (Arc::from(format!("s-{server:08x}")), Some(fact(false)));
        ListUpdate { index: 1, snapshot: true, entries: (0..SERVERS).map(fact).collect() }
    });
    let never = |_: &LeaseHolder| false;
    fleet.run(within.times(3.0), never);
    fleet.heard();
    let length = within.times(5.0);
    fleet.run(length, never);
    let (all, of_keepers) = fleet.heard();
    let rate = |said: Said| Said { words: said.words / length.secs(), bytes: said.bytes / length.secs() };
    let (calm, keeper) = (rate(all), rate(of_keepers));
    let beyond = |said: Said| Said {
        words: said.words - calm.words * within.secs(),
        bytes: said.bytes - calm.bytes * within.secs(),
    };
    let holds = |number: u64| {
        move |member: &LeaseHolder| member.committed().is_some_and(|base| base.number == number)
    };
    let rest = |fleet: &mut Fleet, took: f64| {
        fleet.run(within - Micros((took * 1e6) as u64), |_: &LeaseHolder| false);
    };
    let last = instances - 1;
    fleet.write(last, 2);
    let change_s = fleet.run(within, holds(2));
    rest(&mut fleet, change_s);
    let change = beyond(fleet.heard().0);
    let drains = |index, server: &str| {
        let entries = vec![(server.into(), Some(fact(true)))];
        ListUpdate { index, snapshot: false, entries }
    };
    fleet.list(last, drains(2, "s-00000003"));
    let drain_s = fleet.run(within, |member| !member.excluded_servers().is_empty());
    rest(&mut fleet, drain_s);
    fleet.heard();
    (0..instances).for_each(|at| fleet.list(at, drains(3, "s-00000004")));
    fleet.run(within, never);
    let drain = beyond(fleet.heard().0);
    fleet.silent = Some(last);
    fleet.write(0, 3);
    let silent_s = fleet.run(within.times(2.0), holds(3));
    Report { instances, calm, keeper, change, drain, change_s, drain_s, silent_s }
}

/// What a length of time cost, counted: an instance's words and bytes, a keeper's, and entries that a keeper looked at.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    pub instance: Said,
    pub keeper: Said,
    /// For each word that a keeper heard or said meanwhile.
    pub steps_a_word: f64,
}

/// What a fleet costs in which each instance has a small list of its own.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// A second at rest.
    pub rest: Cost,
    /// For one change of the settings; for one server that drains by all lists that name it; and for those of a zone, a
    /// seventh of all, which they tell within a second. All beyond what rest costs meanwhile.
    pub change: Cost,
    pub drain: Cost,
    pub zone: Cost,
}

const ZONES: usize = 7;
/// Services that an instance calls, and servers of each: few, so that at a hundred instances already each calls a part only.
const CALLS: usize = 6;
const EACH: usize = 4;

/// Counts, and times nothing: the same for one seed on any machine. There is an instance for each server.
pub fn costs(instances: usize, within_s: f64, seed: u64, scope: Scope) -> Costs {
    let within = Micros((within_s * 1e6) as u64);
    let shape = Shape { services: instances.div_ceil(EACH), servers: EACH, zones: ZONES, calls: CALLS };
    let (catalogue, mut random) = (Catalogue::new(shape), WyRand::new_seed(seed));
    let lists: Vec<Vec<u32>> = (0..instances).map(|_| catalogue.list_of(&mut random)).collect();
    let told = |at: usize, index: u64, out: bool, tells: &dyn Fn(usize) -> bool| {
        let servers = lists[at].iter().map(|server| *server as usize).filter(|server| tells(*server));
        catalogue.told(index, index == 1, servers.map(|server| (server, EndpointState { since: 7, out })))
    };
    let mut fleet = Fleet::new(instances, within, seed, scope, |at| told(at, 1, false, &|_| true));
    let never = |_: &LeaseHolder| false;
    fleet.run(within.times(3.0), never);
    let mut cost_of = |length: Micros, begin: &mut dyn FnMut(&mut Fleet)| {
        fleet.heard();
        let steps =
            |fleet: &Fleet| fleet.keepers.iter().map(LeaseServer::entries_examined).sum::<u64>() as f64;
        let before = steps(&fleet);
        begin(&mut fleet);
        fleet.run(length, never);
        let (instance, keeper) = fleet.heard();
        let steps_a_word = (steps(&fleet) - before) / (KEEPERS as f64 * keeper.words);
        Cost { instance, keeper, steps_a_word }
    };
    let times = |cost: Cost, by: f64| {
        let said = |said: Said| Said { words: said.words * by, bytes: said.bytes * by };
        Cost { instance: said(cost.instance), keeper: said(cost.keeper), ..cost }
    };
    let length = within.times(4.0);
    let rest = times(cost_of(length, &mut |_| {}), 1.0 / length.secs());
    let beyond = |cost: Cost| {
        let rest = times(rest, within.secs());
        let less =
            |one: Said, other: Said| Said { words: one.words - other.words, bytes: one.bytes - other.bytes };
        Cost { instance: less(cost.instance, rest.instance), keeper: less(cost.keeper, rest.keeper), ..cost }
    };
    let change = beyond(cost_of(within, &mut |fleet| fleet.write(instances - 1, 2)));
    let server = lists[0][0] as usize;
    let drain = beyond(cost_of(within, &mut |fleet| {
        (0..instances).for_each(|at| fleet.list(at, told(at, 2, true, &|other| other == server)));
    }));
    let zone_of = |server: usize| catalogue.zone_of(server);
    let zone = beyond(cost_of(within, &mut |fleet| {
        (0..instances).for_each(|at| fleet.list(at, told(at, 3, true, &|other| zone_of(other) == 0)));
    }));
    Costs { rest, change, drain, zone }
}
