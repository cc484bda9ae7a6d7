//! Members and keepers with a wire between them, and what must hold at every moment.
use crate::words::{document, WITHIN};
use oakhollow_accord::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A fault put into the rules, which whoever explores must find.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Crooked {
    Not,
    /// The time of a lease is counted from its answer.
    FromTheAnswer,
    /// A keeper that was started again grants and clears at once.
    WakesAtOnce,
    /// It says that it knows a version and does not keep to it.
    IgnoresWhatWaits,
    /// It goes on for its whole lease, though it lacks what is forbidden by then.
    IgnoresWhatItLacks,
    /// It says that it has heard who drains, and sends there.
    ForgetsDrains,
    /// It sends to a server at once that its list names, whether or not it is told of it.
    SendsUntold,
    /// A keeper grants to one whose names it does not know.
    GrantsUnnamed,
}

#[derive(Clone)]
pub struct Instance {
    pub member: LeaseHolder,
    pub life: u64,
    /// What it acts on, as the shell was last told.
    pub acts_on: BTreeSet<Version>,
    pub until: Micros,
    /// Since when it acts without a break.
    pub since: f64,
    /// By how much its clock runs faster than the true time, as a part.
    pub pace: f64,
    /// What its own list tells of each server: which life, whether it drains, and since when it was told.
    pub list: BTreeMap<u64, (u64, bool, f64)>,
    pub index: u64,
    /// Which life of each server drains, as the shell was last told.
    pub out: BTreeMap<u64, u64>,
}

fn name(server: u64) -> Arc<str> {
    Arc::from(format!("s{server}"))
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Envelope {
    ToKeeper(usize, (u32, u64), Message),
    ToMember(usize, usize, u64, Message),
}

#[derive(Clone)]
pub struct World {
    pub now: f64,
    pub keepers: Vec<Arc<LeaseServer>>,
    pub keeper_pace: Vec<f64>,
    pub instances: Vec<Arc<Instance>>,
    /// What has just been said.
    pub said: Vec<Envelope>,
    pub crooked: Crooked,
    /// Whether instances hear of those servers alone that their lists name.
    pub subscribed: bool,
}

fn judge() -> Validator {
    Arc::new(|_: &[Arc<str>]| Ok(()))
}

impl World {
    pub fn new(keepers: usize, instances: usize, crooked: Crooked) -> World {
        World::of(keepers, instances, crooked, false)
    }

    pub fn of(keepers: usize, instances: usize, crooked: Crooked, subscribed: bool) -> World {
        let keeper = Arc::new(LeaseServer::new(Micros(0), WITHIN));
        let mut world = World {
            now: 0.0,
            keepers: vec![keeper; keepers],
            keeper_pace: vec![0.0; keepers],
            instances: Vec::new(),
            said: Vec::new(),
            crooked,
            subscribed,
        };
        for _ in 0..instances {
            let member = world.member();
            world.instances.push(Arc::new(Instance {
                member,
                life: 1,
                acts_on: BTreeSet::new(),
                until: Micros(0),
                since: 0.0,
                pace: 0.0,
                list: BTreeMap::new(),
                index: 0,
                out: BTreeMap::new(),
            }));
        }
        world
    }

    fn member(&self) -> LeaseHolder {
        let member =
            LeaseHolder::new((0..self.keepers.len() as u32).map(InstanceId).collect(), WITHIN, judge());
        if self.subscribed {
            member.with_subscription()
        } else {
            member
        }
    }

    pub fn member_time(&self, at: usize) -> Micros {
        Micros((self.now * (1.0 + self.instances[at].pace)) as u64)
    }

    pub fn keeper_time(&self, at: usize) -> Micros {
        Micros((self.now * (1.0 + self.keeper_pace[at])) as u64)
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        let instance = Arc::make_mut(&mut self.instances[at]);
        for action in actions {
            match action {
                Action::Send(to, word) => {
                    self.said.push(Envelope::ToKeeper(to.0 as usize, (at as u32, instance.life), word))
                }
                Action::ApplyDocuments => {
                    let keeps_to = instance.member.active_documents().map(|(version, _)| *version);
                    instance.acts_on = match self.crooked {
                        Crooked::IgnoresWhatWaits => keeps_to.take(1).collect(),
                        _ => keeps_to.collect(),
                    };
                }
                Action::ApplyLists if self.crooked == Crooked::ForgetsDrains => {}
                Action::ApplyLists => {
                    instance.out.clear();
                    let untold = instance
                        .member
                        .unconfirmed_servers()
                        .filter(|_| self.crooked != Crooked::SendsUntold);
                    for (server, since) in untold.chain(instance.member.excluded_servers()) {
                        let server = server[1..].parse().expect("a number");
                        let out = instance.out.entry(server).or_insert(since);
                        *out = since.max(*out);
                    }
                }
                Action::ApplyMaintenance { .. } | Action::Log(_) => {}
            }
        }
        let until = instance.member.lease_valid_until();
        if instance.until <= Micros((self.now * (1.0 + instance.pace)) as u64) {
            instance.since = self.now;
        }
        if self.crooked != Crooked::FromTheAnswer || until > instance.until {
            instance.until = until;
        }
    }

    pub fn write(&mut self, at: usize, number: u64) {
        let (now, mut actions) = (self.member_time(at), Vec::new());
        Arc::make_mut(&mut self.instances[at]).member.propose(now, document(number), &mut actions);
        self.carry_out(at, actions);
    }

    /// Its own list tells that a server drains, or is there, in that life.
    pub fn list(&mut self, at: usize, (server, since, out): (u64, u64, bool), whole: bool) {
        let (now, true_now, mut actions) = (self.member_time(at), self.now, Vec::new());
        let instance = Arc::make_mut(&mut self.instances[at]);
        let known = instance.list.get(&server).copied().unwrap_or_default();
        if (known.0, known.1) != (since, out) || known.2 == 0.0 {
            instance.list.insert(server, (since, out, true_now.max(1.0)));
        }
        instance.index += 1;
        let fact = |since, out| Some(Fact { since, excluded: out, first_hand: true, entry: None });
        let told = |(server, (since, out, _)): (&u64, &(u64, bool, f64))| (name(*server), fact(*since, *out));
        let entries = if whole {
            instance.list.iter().map(told).collect()
        } else {
            vec![(name(server), fact(since, out))]
        };
        let listed = ListUpdate { index: instance.index, snapshot: whole, entries };
        instance.member.handle_list_update(now, listed, &mut actions);
        self.carry_out(at, actions);
    }

    /// Its own list, whole, names that server no more.
    pub fn unlist(&mut self, at: usize, server: u64) {
        Arc::make_mut(&mut self.instances[at]).list.remove(&server);
        let first = self.instances[at].list.iter().next().map(|(server, told)| (*server, told.0, told.1));
        first.into_iter().for_each(|told| self.list(at, told, true));
    }

    pub fn wake(&mut self) {
        for at in 0..self.instances.len() {
            let (now, mut actions) = (self.member_time(at), Vec::new());
            Arc::make_mut(&mut self.instances[at]).member.handle_timer(now, &mut actions);
            self.carry_out(at, actions);
        }
        self.wake_keepers();
    }

    pub fn wake_keepers(&mut self) {
        for at in 0..self.keepers.len() {
            let (now, mut out) = (self.keeper_time(at), Vec::new());
            Arc::make_mut(&mut self.keepers[at]).handle_timer(now, &mut out);
            self.keeper_says(at, out);
        }
    }

    fn keeper_says(&mut self, at: usize, out: Vec<(HolderId, Message)>) {
        let said = out
            .into_iter()
            .map(|(to, word)| Envelope::ToMember(to.instance.0 as usize, at, to.incarnation, word));
        self.said.extend(said);
    }

    pub fn deliver(&mut self, message: Envelope) {
        match message {
            Envelope::ToKeeper(at, (instance, life), mut word) => {
                if let (Crooked::GrantsUnnamed, Message::LeaseRequest { names_hash: names, .. }) =
                    (self.crooked, &mut word)
                {
                    *names = names.map(|_| 0);
                }
                let (now, mut out) = (self.keeper_time(at), Vec::new());
                let from = HolderId { instance: InstanceId(instance), incarnation: life };
                Arc::make_mut(&mut self.keepers[at]).handle_message(now, from, word, &mut out);
                self.keeper_says(at, out);
            }
            Envelope::ToMember(at, from, life, mut word) => {
                if let (Crooked::IgnoresWhatItLacks, Message::LeaseGrant { lag_us: behind, .. }) =
                    (self.crooked, &mut word)
                {
                    *behind = 0;
                }
                if self.instances[at].life != life {
                    return;
                }
                let (now, mut actions) = (self.member_time(at), Vec::new());
                let before = self.instances[at].member.lease_valid_until();
                Arc::make_mut(&mut self.instances[at]).member.handle_message(
                    now,
                    InstanceId(from as u32),
                    word,
                    &mut actions,
                );
                let renewed = self.instances[at].member.lease_valid_until() > before;
                self.carry_out(at, actions);
                if self.crooked == Crooked::FromTheAnswer && renewed {
                    Arc::make_mut(&mut self.instances[at]).until = now + WITHIN;
                }
            }
        }
    }

    pub fn restart_keeper(&mut self, at: usize) {
        let now = self.keeper_time(at);
        let within = if self.crooked == Crooked::WakesAtOnce { Micros(0) } else { WITHIN };
        self.keepers[at] = Arc::new(LeaseServer::new(now, within));
    }

    pub fn restart_instance(&mut self, at: usize, number: u64) {
        let member = self.member();
        let instance = Arc::make_mut(&mut self.instances[at]);
        (instance.member, instance.life) = (member, instance.life + 1);
        (instance.acts_on, instance.until) = (BTreeSet::new(), Micros(0));
        instance.since = self.now;
        instance.out.clear();
        self.write(at, number);
        // Its discovery tells it the whole list anew.
        let now = self.now;
        Arc::make_mut(&mut self.instances[at]).list.values_mut().for_each(|told| told.2 = now.max(1.0));
        let first = self.instances[at].list.iter().next().map(|(server, told)| (*server, told.0, told.1));
        first.into_iter().for_each(|told| self.list(at, told, true));
    }

    /// One that has acted for too long by a list which tells a server drains to which this one may send: twice the length of a
    /// lease, by clocks that run unevenly.
    pub fn sends_in_vain(&self, at: usize) -> Option<(usize, u64, f64)> {
        let bound = 2.0 * WITHIN.0 as f64 * 1.02 + 20.0;
        if !self.acts(at) {
            return None;
        }
        let own = &self.instances[at];
        let may_send = |server: u64, since: u64| {
            let named = own.list.contains_key(&server);
            let (life, out, _) = own.list.get(&server).copied().unwrap_or_default();
            // Nobody sends to a server that its list has never named.
            (named || !self.subscribed)
                && life <= since
                && !out
                && own.out.get(&server).is_none_or(|out| *out < life)
        };
        let others = (0..self.instances.len()).filter(|other| *other != at && self.acts(*other));
        { others }.find_map(|other| {
            self.instances[other].list.iter().find_map(|(server, (since, out, told))| {
                let length = self.now - told.max(self.instances[other].since);
                let long = *out && length > bound;
                (long && may_send(*server, *since)).then_some((other, *server, length))
            })
        })
    }

    pub fn acts(&self, at: usize) -> bool {
        self.instances[at].until > self.member_time(at)
    }

    /// One that acts together with this one, and shares no version with it that both keep to: each may do what the
    /// other's rules forbid.
    pub fn contradicts(&self, at: usize) -> Option<usize> {
        let own = &self.instances[at].acts_on;
        let mut others = (0..self.instances.len()).filter(|other| *other != at && self.acts(*other));
        if !self.acts(at) {
            return None;
        }
        others.find(|other| self.instances[*other].acts_on.is_disjoint(own))
    }
}
