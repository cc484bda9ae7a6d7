//! One simulated instance: a lease holder as in a sidecar, its links to the lease servers and its own small list.
use super::catalogue::{Catalogue, ServerState};
use super::count::{Counts, InstanceSecond};
use super::link::Link;
use oakhollow::types::Micros;
use oakhollow_config::{Greeting, Scope};
use oakhollow_lease::{Action, Document, InstanceId, LeaseHolder, ListUpdate, Validator, Version};
use std::sync::Arc;

/// The fixed properties of a simulated instance.
#[derive(Clone)]
pub struct InstanceSpec {
    pub name: String,
    pub zone: usize,
    /// The servers on its list.
    pub list: Vec<u32>,
    /// When it first starts.
    pub start_at: Micros,
}

/// The configuration that all simulated instances of a run share.
#[derive(Clone)]
pub struct CommonConfig {
    pub lease_servers: usize,
    /// The lease duration as a lease holder counts it.
    pub lease_duration: Micros,
    pub document: Document,
    pub scope: Scope,
}

impl CommonConfig {
    fn new_lease_holder(&self) -> LeaseHolder {
        let lease_servers = (0..self.lease_servers).map(|number| InstanceId(number as u32)).collect();
        // Accepts any settings: the instance carries no requests by them.
        let validator: Validator = Arc::new(|_: &[Arc<str>]| Ok(()));
        let lease_holder = LeaseHolder::new(lease_servers, self.lease_duration, validator);
        match self.scope {
            Scope::All => lease_holder,
            Scope::Listed => lease_holder.with_subscription(),
        }
    }
}

/// A change that instances are expected to learn, about servers on their own lists.
#[derive(Clone, Debug)]
pub enum AwaitedChange {
    /// The marked servers are excluded by the lists of other instances (true), or no longer (false).
    Servers(Arc<Vec<bool>>, bool),
    /// This version of the settings is committed.
    Version(Version),
}

/// The state of a simulated instance, which is reset at each start.
pub struct SimulatedInstance {
    pub spec: InstanceSpec,
    pub lease_holder: LeaseHolder,
    pub links: Vec<Link>,
    pub greeting: String,
    pub alive: bool,
    /// Sequence number and time of the last lease request to each lease server.
    pub last_request: Vec<(u64, Micros)>,
    pub current_second: InstanceSecond,
    /// When the leases of a majority expire.
    lease_valid_until: Micros,
    /// Whether it held the leases of a majority at the last check.
    pub has_lease: bool,
    /// Whether it has held them since its last start.
    pub had_lease: bool,
    /// Since when it has been without leases, if it had them before.
    without_lease_since: Option<Micros>,
    index: u64,
    /// The servers of the awaited change of which it has not learned yet.
    pending_servers: Vec<u32>,
    awaited: Option<AwaitedChange>,
    /// When the earliest scheduled timer of the lease holder fires.
    pub next_timer: Micros,
    /// When the next empty list update is due.
    pub next_keepalive_at: Micros,
}

impl SimulatedInstance {
    pub fn new(spec: InstanceSpec, common: &CommonConfig) -> SimulatedInstance {
        SimulatedInstance {
            lease_holder: common.new_lease_holder(),
            links: (0..common.lease_servers).map(|_| Link::default()).collect(),
            greeting: String::new(),
            alive: false,
            last_request: vec![(0, Micros(0)); common.lease_servers],
            current_second: InstanceSecond::default(),
            lease_valid_until: Micros(0),
            has_lease: false,
            had_lease: false,
            without_lease_since: None,
            index: 0,
            pending_servers: Vec::new(),
            awaited: None,
            next_timer: Micros::NEVER,
            next_keepalive_at: Micros::NEVER,
            spec,
        }
    }

    /// Starts the instance anew, with its settings and its list as the only known state.
    pub fn start(
        &mut self, now: Micros, common: &CommonConfig, catalogue: &Catalogue, server_states: &[ServerState],
    ) -> Vec<Action> {
        self.links.iter_mut().for_each(Link::close);
        self.greeting = Greeting::new(&self.spec.name, now.0).to_json();
        self.lease_holder = common.new_lease_holder();
        (self.alive, self.has_lease, self.lease_valid_until, self.without_lease_since) =
            (true, false, Micros(0), None);
        (self.had_lease, self.index, self.next_timer, self.awaited) = (false, 1, Micros::NEVER, None);
        let mut actions = Vec::new();
        self.lease_holder.propose(now, common.document.clone(), &mut actions);
        let servers = self.spec.list.iter().map(|server| (*server as usize, server_states[*server as usize]));
        self.lease_holder.handle_list_update(
            now,
            catalogue.list_update(self.index, true, servers),
            &mut actions,
        );
        actions
    }

    /// Applies a list update that gives this state to the affected servers on its list.
    pub fn apply_list_change(
        &mut self, now: Micros, catalogue: &Catalogue, affected: &[bool], state: ServerState,
        actions: &mut Vec<Action>,
    ) {
        self.index += 1;
        let servers = self.spec.list.iter().map(|server| *server as usize);
        let servers = servers.filter(|server| affected[*server]).map(|server| (server, state));
        let update = catalogue.list_update(self.index, false, servers);
        if !update.entries.is_empty() {
            self.lease_holder.handle_list_update(now, update, actions);
        }
    }

    /// Applies an empty list update, which shows that the list is up to date.
    pub fn apply_empty_update(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let update = ListUpdate { index: self.index, snapshot: false, entries: Vec::new() };
        self.lease_holder.handle_list_update(now, update, actions);
    }

    /// Starts to wait for a change; returns false if the instance knows it already or is not concerned.
    pub fn expect_change(&mut self, awaited: &AwaitedChange, catalogue: &Catalogue) -> bool {
        self.pending_servers = match awaited {
            AwaitedChange::Servers(affected, _) => {
                self.spec.list.iter().copied().filter(|server| affected[*server as usize]).collect()
            }
            AwaitedChange::Version(_) => Vec::new(),
        };
        self.awaited = Some(awaited.clone());
        !self.check_awaited(catalogue)
    }

    /// Whether the awaited change is known. To be called whenever the instance may have learned something.
    pub fn check_awaited(&mut self, catalogue: &Catalogue) -> bool {
        let learned = match &self.awaited {
            None => return true,
            Some(AwaitedChange::Servers(_, excluded)) => {
                let known = self.lease_holder.excluded_servers();
                self.pending_servers
                    .retain(|server| known.contains_key(catalogue.name(*server as usize)) != *excluded);
                self.pending_servers.is_empty()
            }
            Some(AwaitedChange::Version(version)) => self.lease_holder.committed() >= Some(*version),
        };
        if learned {
            self.awaited = None;
        }
        learned
    }

    pub fn is_awaiting(&self) -> bool {
        self.awaited.is_some()
    }

    /// Updates whether the instance holds leases of a majority, and counts expiries and the time without leases.
    pub fn update_lease_state(&mut self, now: Micros, counts: &mut Counts) {
        let previous_expiry =
            std::mem::replace(&mut self.lease_valid_until, self.lease_holder.lease_valid_until());
        if self.has_lease && previous_expiry <= now {
            self.has_lease = false;
            self.without_lease_since = Some(previous_expiry);
            counts.lease_expiries += 1;
        }
        if !self.has_lease && self.lease_valid_until > now {
            self.has_lease = true;
            self.count_time_without_lease(now, counts);
            self.without_lease_since = None;
        }
    }

    /// Counts the time without leases up to now.
    pub fn count_time_without_lease(&mut self, now: Micros, counts: &mut Counts) {
        if let Some(since) = &mut self.without_lease_since {
            counts.without_lease_us += (now - std::mem::replace(since, now)).0;
        }
    }

    /// Stops the instance without closing its connections.
    pub fn go_silent(&mut self, now: Micros, epoll: &std::os::fd::OwnedFd, counts: &mut Counts) {
        self.count_time_without_lease(now, counts);
        (self.alive, self.has_lease, self.without_lease_since, self.awaited) = (false, false, None, None);
        self.links.iter_mut().for_each(|link| link.go_silent(epoll));
    }
}
