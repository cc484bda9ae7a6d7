//! A simulation of lease holders and lease servers that exchange messages, and the invariants that must hold
//! at every moment.
use crate::common::{document, LEASE_DURATION};
use oakhollow_lease::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A bug injected into the protocol, which the tests must find.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InjectedBug {
    Correct,
    /// The holder counts its lease from the grant instead of the request.
    CountsLeaseFromGrant,
    /// A restarted lease server grants leases and commits versions at once.
    ActiveAtOnce,
    /// The holder reports a pending version as known but does not comply with it.
    IgnoresPendingVersions,
    /// The holder acts for the whole lease although it lacks an exclusion.
    IgnoresLag,
    /// The holder reports that it has received exclusions, and ignores them.
    IgnoresExclusions,
    /// The holder sends to a server on its list before a majority of lease servers has confirmed it.
    SendsUnconfirmed,
    /// A lease server grants leases to a holder whose names it does not know.
    GrantsUnknownNames,
}

#[derive(Clone)]
pub struct Instance {
    pub lease_holder: LeaseHolder,
    pub incarnation: u64,
    /// The versions it acts on since the last `ApplyDocuments` action.
    pub active_versions: BTreeSet<Version>,
    pub lease_valid_until: Micros,
    /// Since when it has been acting without interruption.
    pub acting_since: f64,
    /// By what fraction its clock runs faster than the true time.
    pub clock_drift: f64,
    /// What its own list says of each server: the incarnation, whether it drains, and since when the list
    /// says so.
    pub list: BTreeMap<u64, (u64, bool, f64)>,
    pub index: u64,
    /// The excluded incarnation of each server since the last `ApplyLists` action.
    pub excluded: BTreeMap<u64, u64>,
}

fn server_name(server: u64) -> Arc<str> {
    Arc::from(format!("s{server}"))
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Envelope {
    /// The index of the lease server, and the index and the incarnation of the sender.
    ToLeaseServer(usize, (u32, u64), Message),
    /// The index of the receiver, the index of the lease server, and the incarnation of the receiver.
    ToLeaseHolder(usize, usize, u64, Message),
}

#[derive(Clone)]
pub struct World {
    pub now: f64,
    pub lease_servers: Vec<Arc<LeaseServer>>,
    pub server_clock_drift: Vec<f64>,
    pub instances: Vec<Arc<Instance>>,
    /// The messages sent since the last delivery.
    pub sent: Vec<Envelope>,
    pub bug: InjectedBug,
    /// Whether instances receive facts only about the servers that their lists name.
    pub subscribed: bool,
}

fn validator() -> Validator {
    Arc::new(|_: &[Arc<str>]| Ok(()))
}

impl World {
    pub fn new(lease_servers: usize, instances: usize, bug: InjectedBug) -> World {
        World::with_subscription(lease_servers, instances, bug, false)
    }

    pub fn with_subscription(
        lease_servers: usize, instances: usize, bug: InjectedBug, subscribed: bool,
    ) -> World {
        let lease_server = Arc::new(LeaseServer::new(Micros(0), LEASE_DURATION));
        let mut world = World {
            now: 0.0,
            lease_servers: vec![lease_server; lease_servers],
            server_clock_drift: vec![0.0; lease_servers],
            instances: Vec::new(),
            sent: Vec::new(),
            bug,
            subscribed,
        };
        for _ in 0..instances {
            let lease_holder = world.new_lease_holder();
            world.instances.push(Arc::new(Instance {
                lease_holder,
                incarnation: 1,
                active_versions: BTreeSet::new(),
                lease_valid_until: Micros(0),
                acting_since: 0.0,
                clock_drift: 0.0,
                list: BTreeMap::new(),
                index: 0,
                excluded: BTreeMap::new(),
            }));
        }
        world
    }

    fn new_lease_holder(&self) -> LeaseHolder {
        let lease_holder = LeaseHolder::new(
            (0..self.lease_servers.len() as u32).map(InstanceId).collect(),
            LEASE_DURATION,
            validator(),
        );
        if self.subscribed {
            lease_holder.with_subscription()
        } else {
            lease_holder
        }
    }

    pub fn holder_time(&self, instance_index: usize) -> Micros {
        Micros((self.now * (1.0 + self.instances[instance_index].clock_drift)) as u64)
    }

    pub fn server_time(&self, server_index: usize) -> Micros {
        Micros((self.now * (1.0 + self.server_clock_drift[server_index])) as u64)
    }

    fn apply_actions(&mut self, instance_index: usize, actions: Vec<Action>) {
        let instance = Arc::make_mut(&mut self.instances[instance_index]);
        for action in actions {
            match action {
                Action::Send(to, message) => self.sent.push(Envelope::ToLeaseServer(
                    to.0 as usize,
                    (instance_index as u32, instance.incarnation),
                    message,
                )),
                Action::ApplyDocuments => {
                    let versions = instance.lease_holder.active_documents().map(|(version, _)| *version);
                    instance.active_versions = match self.bug {
                        InjectedBug::IgnoresPendingVersions => versions.take(1).collect(),
                        _ => versions.collect(),
                    };
                }
                Action::ApplyLists if self.bug == InjectedBug::IgnoresExclusions => {}
                Action::ApplyLists => {
                    instance.excluded.clear();
                    let unconfirmed = instance
                        .lease_holder
                        .unconfirmed_servers()
                        .filter(|_| self.bug != InjectedBug::SendsUnconfirmed);
                    for (server, since) in unconfirmed.chain(instance.lease_holder.excluded_servers()) {
                        let server = server[1..].parse().expect("a number");
                        let excluded = instance.excluded.entry(server).or_insert(since);
                        *excluded = since.max(*excluded);
                    }
                }
                Action::ApplyMaintenance { .. } | Action::Log(_) => {}
            }
        }
        let lease_valid_until = instance.lease_holder.lease_valid_until();
        if instance.lease_valid_until <= Micros((self.now * (1.0 + instance.clock_drift)) as u64) {
            instance.acting_since = self.now;
        }
        if self.bug != InjectedBug::CountsLeaseFromGrant || lease_valid_until > instance.lease_valid_until {
            instance.lease_valid_until = lease_valid_until;
        }
    }

    pub fn propose(&mut self, instance_index: usize, number: u64) {
        let (now, mut actions) = (self.holder_time(instance_index), Vec::new());
        Arc::make_mut(&mut self.instances[instance_index]).lease_holder.propose(
            now,
            document(number),
            &mut actions,
        );
        self.apply_actions(instance_index, actions);
    }

    /// Updates its own list: this incarnation of the server drains, or is in use.
    pub fn update_list(
        &mut self, instance_index: usize, (server, incarnation, draining): (u64, u64, bool), snapshot: bool,
    ) {
        let (now, true_now, mut actions) = (self.holder_time(instance_index), self.now, Vec::new());
        let instance = Arc::make_mut(&mut self.instances[instance_index]);
        let known = instance.list.get(&server).copied().unwrap_or_default();
        if (known.0, known.1) != (incarnation, draining) || known.2 == 0.0 {
            instance.list.insert(server, (incarnation, draining, true_now.max(1.0)));
        }
        instance.index += 1;
        let fact = |incarnation, draining| {
            Some(Fact { since: incarnation, excluded: draining, first_hand: true, entry: None })
        };
        let entry = |(server, (incarnation, draining, _)): (&u64, &(u64, bool, f64))| {
            (server_name(*server), fact(*incarnation, *draining))
        };
        let entries = if snapshot {
            instance.list.iter().map(entry).collect()
        } else {
            vec![(server_name(server), fact(incarnation, draining))]
        };
        let update = ListUpdate { index: instance.index, snapshot, entries };
        instance.lease_holder.handle_list_update(now, update, &mut actions);
        self.apply_actions(instance_index, actions);
    }

    /// Updates its own list by a snapshot that no longer names that server.
    pub fn remove_from_list(&mut self, instance_index: usize, server: u64) {
        Arc::make_mut(&mut self.instances[instance_index]).list.remove(&server);
        let first = self.instances[instance_index]
            .list
            .iter()
            .next()
            .map(|(server, entry)| (*server, entry.0, entry.1));
        first.into_iter().for_each(|entry| self.update_list(instance_index, entry, true));
    }

    pub fn run_timers(&mut self) {
        for instance_index in 0..self.instances.len() {
            let (now, mut actions) = (self.holder_time(instance_index), Vec::new());
            Arc::make_mut(&mut self.instances[instance_index]).lease_holder.handle_timer(now, &mut actions);
            self.apply_actions(instance_index, actions);
        }
        self.run_server_timers();
    }

    pub fn run_server_timers(&mut self) {
        for server_index in 0..self.lease_servers.len() {
            let (now, mut out) = (self.server_time(server_index), Vec::new());
            Arc::make_mut(&mut self.lease_servers[server_index]).handle_timer(now, &mut out);
            self.send_from_server(server_index, out);
        }
    }

    fn send_from_server(&mut self, server_index: usize, out: Vec<(HolderId, Message)>) {
        let sent = out.into_iter().map(|(to, message)| {
            Envelope::ToLeaseHolder(to.instance.0 as usize, server_index, to.incarnation, message)
        });
        self.sent.extend(sent);
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        match envelope {
            Envelope::ToLeaseServer(server_index, (instance, incarnation), mut message) => {
                if let (InjectedBug::GrantsUnknownNames, Message::LeaseRequest { names_hash, .. }) =
                    (self.bug, &mut message)
                {
                    *names_hash = names_hash.map(|_| 0);
                }
                let (now, mut out) = (self.server_time(server_index), Vec::new());
                let from = HolderId { instance: InstanceId(instance), incarnation };
                Arc::make_mut(&mut self.lease_servers[server_index])
                    .handle_message(now, from, message, &mut out);
                self.send_from_server(server_index, out);
            }
            Envelope::ToLeaseHolder(instance_index, server_index, incarnation, mut message) => {
                if let (InjectedBug::IgnoresLag, Message::LeaseGrant { lag_us, .. }) =
                    (self.bug, &mut message)
                {
                    *lag_us = 0;
                }
                if self.instances[instance_index].incarnation != incarnation {
                    return;
                }
                let (now, mut actions) = (self.holder_time(instance_index), Vec::new());
                let before = self.instances[instance_index].lease_holder.lease_valid_until();
                Arc::make_mut(&mut self.instances[instance_index]).lease_holder.handle_message(
                    now,
                    InstanceId(server_index as u32),
                    message,
                    &mut actions,
                );
                let renewed = self.instances[instance_index].lease_holder.lease_valid_until() > before;
                self.apply_actions(instance_index, actions);
                if self.bug == InjectedBug::CountsLeaseFromGrant && renewed {
                    Arc::make_mut(&mut self.instances[instance_index]).lease_valid_until =
                        now + LEASE_DURATION;
                }
            }
        }
    }

    pub fn restart_lease_server(&mut self, server_index: usize) {
        let now = self.server_time(server_index);
        let lease_duration = if self.bug == InjectedBug::ActiveAtOnce { Micros(0) } else { LEASE_DURATION };
        self.lease_servers[server_index] = Arc::new(LeaseServer::new(now, lease_duration));
    }

    pub fn restart_instance(&mut self, instance_index: usize, number: u64) {
        let lease_holder = self.new_lease_holder();
        let instance = Arc::make_mut(&mut self.instances[instance_index]);
        (instance.lease_holder, instance.incarnation) = (lease_holder, instance.incarnation + 1);
        (instance.active_versions, instance.lease_valid_until) = (BTreeSet::new(), Micros(0));
        instance.acting_since = self.now;
        instance.excluded.clear();
        self.propose(instance_index, number);
        // Discovery sends it the whole list again.
        let now = self.now;
        Arc::make_mut(&mut self.instances[instance_index])
            .list
            .values_mut()
            .for_each(|entry| entry.2 = now.max(1.0));
        let first = self.instances[instance_index]
            .list
            .iter()
            .next()
            .map(|(server, entry)| (*server, entry.0, entry.1));
        first.into_iter().for_each(|entry| self.update_list(instance_index, entry, true));
    }

    /// Finds another instance that has acted for too long on a list that says a server drains, while this
    /// instance may still send to the server. Returns that instance, the server, and how long it has been.
    /// The limit is two lease lengths, with an allowance for clocks of different speed.
    pub fn drain_violation(&self, instance_index: usize) -> Option<(usize, u64, f64)> {
        let bound = 2.0 * LEASE_DURATION.0 as f64 * 1.02 + 20.0;
        if !self.is_acting(instance_index) {
            return None;
        }
        let own = &self.instances[instance_index];
        let may_send = |server: u64, draining_incarnation: u64| {
            let named = own.list.contains_key(&server);
            let (incarnation, listed_draining, _) = own.list.get(&server).copied().unwrap_or_default();
            // No instance sends to a server that its list has never named.
            (named || !self.subscribed)
                && incarnation <= draining_incarnation
                && !listed_draining
                && own.excluded.get(&server).is_none_or(|excluded| *excluded < incarnation)
        };
        let others =
            (0..self.instances.len()).filter(|other| *other != instance_index && self.is_acting(*other));
        { others }.find_map(|other| {
            self.instances[other].list.iter().find_map(|(server, (incarnation, draining, listed_at))| {
                let known_for = self.now - listed_at.max(self.instances[other].acting_since);
                let too_long = *draining && known_for > bound;
                (too_long && may_send(*server, *incarnation)).then_some((other, *server, known_for))
            })
        })
    }

    pub fn is_acting(&self, instance_index: usize) -> bool {
        self.instances[instance_index].lease_valid_until > self.holder_time(instance_index)
    }

    /// Finds another instance that acts at the same time as this one, with no version that both comply with:
    /// each might do what the settings of the other forbid.
    pub fn contradiction(&self, instance_index: usize) -> Option<usize> {
        let own = &self.instances[instance_index].active_versions;
        let mut others =
            (0..self.instances.len()).filter(|other| *other != instance_index && self.is_acting(*other));
        if !self.is_acting(instance_index) {
            return None;
        }
        others.find(|other| self.instances[*other].active_versions.is_disjoint(own))
    }
}
