//! One simulated instance: a lease holder as in a sidecar, its links to the lease servers, and its own list.
use super::catalogue::{Catalogue, EndpointState};
use super::count::{Counts, CurrentSecond};
use super::link::Link;
use oakhollow::types::Micros;
use oakhollow_accord::{Action, Document, InstanceId, LeaseHolder, ListUpdate, Validator, Version};
use oakhollow_terms::{Greeting, Scope};
use std::sync::Arc;

/// What stays the same for an instance during a run.
#[derive(Clone)]
pub struct InstanceSpec {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: usize,
    /// The servers on its list.
    pub list: Vec<u32>,
    /// When it starts for the first time.
    pub at: Micros,
}

/// What all instances of a run start with.
#[derive(Clone)]
pub struct SharedConfig {
    /// How many lease servers there are.
    pub lease_servers: usize,
    /// The lease duration of a lease holder.
    pub lease: Micros,
    /// The settings.
    pub document: Document,
    /// Whether instances learn about all servers or subscribe to those on their lists.
    pub scope: Scope,
}

impl SharedConfig {
    fn holder(&self) -> LeaseHolder {
        let lease_servers = (0..self.lease_servers).map(|at| InstanceId(at as u32)).collect();
        // It accepts any settings, since it forwards no requests.
        let validator: Validator = Arc::new(|_: &[Arc<str>]| Ok(()));
        let holder = LeaseHolder::new(lease_servers, self.lease, validator);
        match self.scope {
            Scope::All => holder,
            Scope::Listed => holder.with_subscription(),
        }
    }
}

/// What an instance is expected to learn.
#[derive(Clone, Debug)]
pub enum Awaited {
    /// That the marked servers on its list are excluded by other instances' lists (true), or no longer are (false).
    Servers(Arc<Vec<bool>>, bool),
    /// That this version of the settings is committed.
    Version(Version),
}

/// A simulated instance.
pub struct SimulatedInstance {
    /// What stays the same for it.
    pub spec: InstanceSpec,
    /// Its lease holder.
    pub holder: LeaseHolder,
    /// Its links, one to each lease server.
    pub links: Vec<Link>,
    /// The first line on each link.
    pub greeting: String,
    /// Whether it runs.
    pub alive: bool,
    /// The sequence number and the time of the last lease request to each lease server.
    pub last_requests: Vec<(u64, Micros)>,
    /// Its bytes in the current second.
    pub current_second: CurrentSecond,
    /// When its leases expire.
    leases_valid_until: Micros,
    /// Whether it holds leases from a majority.
    pub has_leases: bool,
    /// Whether it has held them since its last start.
    pub held_leases: bool,
    /// Since when it has been without leases after it held them; what is counted already moves this on.
    without_lease_since: Option<Micros>,
    /// The version of its list.
    index: u64,
    /// The servers about which it has not yet learned what is awaited.
    missing: Vec<u32>,
    awaited: Option<Awaited>,
    /// When its lease holder's timer is set for.
    pub timer_set_for: Micros,
    /// When its list sends the next empty line.
    pub next_heartbeat: Micros,
}

impl SimulatedInstance {
    /// An instance that has not started.
    pub fn new(spec: InstanceSpec, config: &SharedConfig) -> SimulatedInstance {
        SimulatedInstance {
            holder: config.holder(),
            links: (0..config.lease_servers).map(|_| Link::default()).collect(),
            greeting: String::new(),
            alive: false,
            last_requests: vec![(0, Micros(0)); config.lease_servers],
            current_second: CurrentSecond::default(),
            leases_valid_until: Micros(0),
            has_leases: false,
            held_leases: false,
            without_lease_since: None,
            index: 0,
            missing: Vec::new(),
            awaited: None,
            timer_set_for: Micros::NEVER,
            next_heartbeat: Micros::NEVER,
            spec,
        }
    }

    /// Starts it as a new incarnation that knows nothing but its settings and its list.
    pub fn start(
        &mut self, now: Micros, config: &SharedConfig, catalogue: &Catalogue, states: &[EndpointState],
    ) -> Vec<Action> {
        self.links.iter_mut().for_each(Link::close);
        self.greeting = Greeting::new(&self.spec.name, now.0).to_json();
        self.holder = config.holder();
        (self.alive, self.has_leases, self.leases_valid_until, self.without_lease_since) =
            (true, false, Micros(0), None);
        (self.held_leases, self.index, self.timer_set_for, self.awaited) = (false, 1, Micros::NEVER, None);
        let mut actions = Vec::new();
        self.holder.propose(now, config.document.clone(), &mut actions);
        let servers = self.spec.list.iter().map(|server| (*server as usize, states[*server as usize]));
        self.holder.handle_list_update(now, catalogue.list_update(self.index, true, servers), &mut actions);
        actions
    }

    /// Changes the state of the marked servers in its list.
    pub fn change_list(
        &mut self, now: Micros, catalogue: &Catalogue, marked: &[bool], state: EndpointState,
        actions: &mut Vec<Action>,
    ) {
        self.index += 1;
        let servers = self.spec.list.iter().map(|server| *server as usize);
        let servers = servers.filter(|server| marked[*server]).map(|server| (server, state));
        let listed = catalogue.list_update(self.index, false, servers);
        if !listed.entries.is_empty() {
            self.holder.handle_list_update(now, listed, actions);
        }
    }

    /// Handles an empty line of its list.
    pub fn list_heartbeat(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let listed = ListUpdate { index: self.index, snapshot: false, entries: Vec::new() };
        self.holder.handle_list_update(now, listed, actions);
    }

    /// Begins to await something; false if it knows it already or does not have to learn it.
    pub fn start_awaiting(&mut self, awaited: &Awaited, catalogue: &Catalogue) -> bool {
        self.missing = match awaited {
            Awaited::Servers(marked, _) => {
                self.spec.list.iter().copied().filter(|server| marked[*server as usize]).collect()
            }
            Awaited::Version(_) => Vec::new(),
        };
        self.awaited = Some(awaited.clone());
        !self.has_learned(catalogue)
    }

    /// Whether it has learned all that is awaited. Must be called after each change.
    pub fn has_learned(&mut self, catalogue: &Catalogue) -> bool {
        let propagation = match &self.awaited {
            None => return true,
            Some(Awaited::Servers(_, out)) => {
                let known = self.holder.excluded_servers();
                self.missing.retain(|server| known.contains_key(catalogue.name(*server as usize)) != *out);
                self.missing.is_empty()
            }
            Some(Awaited::Version(version)) => self.holder.committed() >= Some(*version),
        };
        if propagation {
            self.awaited = None;
        }
        propagation
    }

    /// Whether something is awaited.
    pub fn is_waiting(&self) -> bool {
        self.awaited.is_some()
    }

    /// Updates whether it holds leases, and counts for how long it did not.
    pub fn update_leases(&mut self, now: Micros, counts: &mut Counts) {
        let before = std::mem::replace(&mut self.leases_valid_until, self.holder.lease_valid_until());
        if self.has_leases && before <= now {
            self.has_leases = false;
            self.without_lease_since = Some(before);
            counts.lease_expiries += 1;
        }
        if !self.has_leases && self.leases_valid_until > now {
            self.has_leases = true;
            self.count_without_lease(now, counts);
            self.without_lease_since = None;
        }
    }

    /// Counts the time without leases until now.
    pub fn count_without_lease(&mut self, now: Micros, counts: &mut Counts) {
        if let Some(since) = &mut self.without_lease_since {
            counts.without_lease_us += (now - std::mem::replace(since, now)).0;
        }
    }

    /// Stops it without closing its links, as in a network partition.
    pub fn go_silent(&mut self, now: Micros, epoll: &std::os::fd::OwnedFd, counts: &mut Counts) {
        self.count_without_lease(now, counts);
        (self.alive, self.has_leases, self.without_lease_since, self.awaited) = (false, false, None, None);
        self.links.iter_mut().for_each(|link| link.go_silent(epoll));
    }
}
