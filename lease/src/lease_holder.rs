//! An instance as a lease holder: which versions it complies with, and until when it may act.
use crate::server_view::{ListUpdate, ServerView};
use crate::{majority, Document, Fact, InstanceId, Message, Micros, Version, MAX_PENDING_VERSIONS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Checks that an instance could act on the strictest combination of these documents; the error says why it
/// can't.
pub type Validator = Arc<dyn Fn(&[Arc<str>]) -> Result<(), String> + Send + Sync>;

/// What the host of a lease holder must do. The actions must be carried out in the order of the output.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Action {
    /// Send a message to the lease server of an instance.
    Send(InstanceId, Message),
    /// Act on the strictest combination of [`LeaseHolder::active_documents`]. Must be done before any message
    /// of a later action is sent.
    ApplyDocuments,
    /// Apply the current [`LeaseHolder::excluded_servers`], [`LeaseHolder::unconfirmed_servers`] and
    /// [`LeaseHolder::foreign_entries`]. Must be done before any message of a later action is sent.
    ApplyLists,
    /// Apply a maintenance mark that was set at another instance. Must be done before any message of a later
    /// action is sent.
    ApplyMaintenance {
        /// The name of the server.
        name: Arc<str>,
        /// Whether the server is in maintenance.
        in_maintenance: bool,
        /// When the mark was set, in microseconds.
        set_at: u64,
    },
    /// Write a line to the log.
    Log(String),
}

/// A lease from one lease server.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Lease {
    /// From when the lease counts, for the length of a lease: the time of its request, less the lag that the
    /// grant states.
    pub(crate) valid_from: Micros,
    pub(crate) committed: Version,
    /// The revision of the server names on the holder's own list when the lease was requested.
    names_revision: u64,
}

/// When a request was sent, and the revision of the server names on the holder's own list at that time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct SentRequest {
    pub(crate) sent_at: Micros,
    names_revision: u64,
}

/// The lease holder of one instance.
#[derive(Clone)]
pub struct LeaseHolder {
    lease_servers: Vec<InstanceId>,
    pub(crate) lease_duration: Micros,
    validator: Validator,
    /// All versions it complies with: the committed one, and those that may be committed.
    pub(crate) documents: BTreeMap<Version, Arc<str>>,
    pub(crate) rejected: BTreeSet<Version>,
    /// The earliest version that may still be in force at any instance; `None` before a majority of lease
    /// servers has granted a lease.
    pub(crate) committed: Option<Version>,
    sequence: u64,
    /// The requests sent, for as long as a lease for them would be valid.
    pub(crate) sent_requests: BTreeMap<u64, SentRequest>,
    pub(crate) leases: BTreeMap<InstanceId, Lease>,
    next_request_at: Micros,
    server_view: ServerView,
    /// Lease servers whose last grant arrived after its lease had expired.
    slow_lease_servers: BTreeSet<InstanceId>,
}

impl LeaseHolder {
    /// How many times it requests a lease within the length of a lease.
    const REQUESTS_PER_LEASE: f64 = 4.0;

    /// `validator` decides which documents the instance can act on.
    pub fn new(lease_servers: Vec<InstanceId>, lease_duration: Micros, validator: Validator) -> LeaseHolder {
        LeaseHolder {
            lease_servers,
            lease_duration,
            validator,
            documents: BTreeMap::new(),
            rejected: BTreeSet::new(),
            committed: None,
            sequence: 0,
            sent_requests: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_request_at: Micros(0),
            server_view: ServerView::default(),
            slow_lease_servers: BTreeSet::new(),
        }
    }

    /// Makes it report all entries of its list, not only exclusions.
    pub fn with_full_lists(mut self) -> LeaseHolder {
        self.server_view.share_full_list = true;
        self
    }

    /// Makes it receive facts only about the servers that its own list names. The host must then send nothing
    /// to a server before a majority of lease servers has confirmed the name, see
    /// [`LeaseHolder::unconfirmed_servers`].
    pub fn with_subscription(mut self) -> LeaseHolder {
        self.server_view.subscribed = true;
        self
    }

    /// Applies an update of its own list.
    pub fn handle_list_update(&mut self, now: Micros, update: ListUpdate, out: &mut Vec<Action>) {
        let had_overflowed = self.server_view.overflowed();
        let (report_changed, names_changed) = self.server_view.apply_list(now, update);
        if self.server_view.overflowed() && !had_overflowed {
            out.push(Action::Log(
                "the endpoint list is too long: other instances do not receive all of it".into(),
            ));
        }
        if names_changed {
            out.push(Action::ApplyLists);
        }
        if report_changed || names_changed {
            self.request_leases(now, out);
        }
    }

    /// Applies a maintenance mark that was set at this instance.
    pub fn handle_maintenance_change(
        &mut self, now: Micros, (name, in_maintenance, set_at): (&str, bool, u64), out: &mut Vec<Action>,
    ) {
        if self.server_view.set_maintenance(now, &Arc::from(name), in_maintenance, set_at) {
            self.request_leases(now, out);
        }
    }

    /// The servers that other instances exclude, with the `since` of the incarnation that is excluded.
    pub fn excluded_servers(&self) -> BTreeMap<&Arc<str>, u64> {
        self.server_view.excluded_servers()
    }

    /// The servers on its list that a majority of lease servers has not yet confirmed, with the `since` of
    /// the listed incarnation; nothing may be sent to them.
    pub fn unconfirmed_servers(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.server_view.unconfirmed_servers()
    }

    /// The entries from other instances' lists for servers that this instance's own list lacks, or has only
    /// in an earlier incarnation.
    pub fn foreign_entries(&self) -> impl Iterator<Item = &Arc<str>> {
        self.server_view.foreign_entries()
    }

    /// Proposes the document from the instance's own file. Returns false if it is not accepted.
    pub fn propose(&mut self, now: Micros, document: Document, out: &mut Vec<Action>) -> bool {
        let version = document.version;
        let latest = self.documents.keys().next_back().copied();
        if let Some(latest) = latest.filter(|latest| version.epoch_and_number() < latest.epoch_and_number()) {
            out.push(Action::Log(format!("version {version} not accepted: version {latest} is later")));
            return false;
        }
        self.add_document(now, document, out) && self.documents.contains_key(&version)
    }

    /// Handles a message from a lease server; others are ignored.
    pub fn handle_message(&mut self, now: Micros, from: InstanceId, message: Message, out: &mut Vec<Action>) {
        if !self.lease_servers.contains(&from) {
            return;
        }
        self.server_view.record_message(now, from);
        match message {
            Message::LeaseGrant { sequence, committed, lag_us } => {
                self.handle_grant(now, from, (sequence, committed, Micros(lag_us)), out)
            }
            Message::UnknownReport { known_hash } => {
                let (base_hash, changes) = self.server_view.reported().changes_since(known_hash);
                let new_hash = self.server_view.reported().hash();
                out.push(Action::Send(from, Message::FactUpdate { number: 0, base_hash, new_hash, changes }));
                self.request_lease(now, from, out);
            }
            Message::UnknownNames { known_hash } => {
                let (base_hash, added, removed) = self.server_view.names_update_from(known_hash);
                if let (Some(new_hash), _) = self.server_view.names_hash_and_revision() {
                    out.push(Action::Send(from, Message::Subscribe { base_hash, new_hash, added, removed }));
                    self.request_lease(now, from, out);
                }
            }
            Message::FactUpdate { number, base_hash, new_hash, changes } => {
                if self.server_view.receive(from, number, (base_hash, new_hash, changes)) {
                    self.refresh_server_view(now, out);
                }
            }
            Message::RequestDocuments(versions) => {
                let known = versions.iter().filter_map(|version| self.documents.get_key_value(version));
                let known: Vec<_> = known.map(|(version, text)| (*version, text.clone())).collect();
                if !known.is_empty() {
                    out.push(Action::Send(from, Message::Documents(known)));
                    self.request_lease(now, from, out);
                }
            }
            Message::Documents(documents) => {
                let before = (self.documents.len(), self.rejected.len());
                for (version, text) in documents {
                    self.add_document(now, Document { version, text }, out);
                }
                if (self.documents.len(), self.rejected.len()) == before {
                    return;
                }
                self.request_leases(now, out);
            }
            Message::StateChanged => self.request_lease(now, from, out),
            // These are sent to lease servers only.
            Message::LeaseRequest { .. } | Message::Subscribe { .. } => {}
        }
    }

    /// To be called at the time given by [`LeaseHolder::next_wakeup`].
    pub fn handle_timer(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now >= self.next_request_at {
            self.request_leases(now, out);
        }
    }

    /// When [`LeaseHolder::handle_timer`] must be called next.
    pub fn next_wakeup(&self) -> Micros {
        self.next_request_at
    }

    /// Until when it may act on its active documents; 0 before it holds valid leases from a majority of lease
    /// servers.
    pub fn lease_valid_until(&self) -> Micros {
        let mut expiry_times: Vec<Micros> =
            self.leases.values().map(|lease| lease.valid_from + self.lease_duration).collect();
        expiry_times.sort_unstable_by(|one, other| other.cmp(one));
        expiry_times.get(majority(self.lease_servers.len()) - 1).copied().unwrap_or_default()
    }

    /// The documents it complies with, the earliest first.
    pub fn active_documents(&self) -> impl Iterator<Item = (&Version, &Arc<str>)> {
        self.documents.iter()
    }

    /// The committed version, as far as it knows.
    pub fn committed(&self) -> Option<Version> {
        self.committed
    }

    /// Returns false if the document is rejected; the reason is logged once.
    fn add_document(&mut self, now: Micros, document: Document, out: &mut Vec<Action>) -> bool {
        let Document { version, text } = document;
        if self.documents.contains_key(&version) || self.rejected.contains(&version) {
            return !self.rejected.contains(&version);
        }
        if let Some(committed) = self.committed {
            if version.epoch_and_number() == committed.epoch_and_number() {
                out.push(Action::Log(format!(
                    "version {version} not accepted: {committed} is committed under the same number with different content"
                )));
                self.reject(version);
                return false;
            }
            if version < committed {
                return false;
            }
        }
        if let Some(same_number) =
            self.documents.keys().find(|other| other.epoch_and_number() == version.epoch_and_number())
        {
            out.push(Action::Log(format!(
                "versions {same_number} and {version} have the same number but different content: neither will be committed, a higher number is needed"
            )));
        }
        let texts: Vec<Arc<str>> = self.documents.values().cloned().chain([text.clone()]).collect();
        let count_check = if texts.len() > MAX_PENDING_VERSIONS {
            Err("too many versions are pending".into())
        } else {
            Ok(())
        };
        // Also checks what is left after the earlier versions are superseded one by one: the instance must be
        // able to act on each of these combinations.
        let content_check = (0..texts.len()).try_for_each(|first| (self.validator)(&texts[first..]));
        if let Err(reason) = count_check.and(content_check) {
            out.push(Action::Log(format!("version {version} rejected: {reason}")));
            self.reject(version);
            return false;
        }
        self.documents.insert(version, text);
        out.push(Action::ApplyDocuments);
        self.request_leases(now, out);
        true
    }

    fn reject(&mut self, version: Version) {
        self.rejected.insert(version);
        // Bounds the memory if an author keeps writing new versions; the lowest are the least likely to be
        // received again.
        while self.rejected.len() > MAX_PENDING_VERSIONS {
            self.rejected.pop_first();
        }
    }

    fn request_leases(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.next_request_at = now + self.lease_duration.times(1.0 / Self::REQUESTS_PER_LEASE);
        let lease_duration = self.lease_duration;
        self.sent_requests.retain(|_, request| request.sent_at + lease_duration > now);
        if self.server_view.forget_silent(now, lease_duration) {
            self.refresh_server_view(now, out);
        }
        self.sequence += 1;
        self.sent_requests.insert(
            self.sequence,
            SentRequest { sent_at: now, names_revision: self.server_view.names_hash_and_revision().1 },
        );
        let requests = self
            .lease_servers
            .iter()
            .map(|lease_server| Action::Send(*lease_server, self.lease_request(*lease_server)));
        out.extend(requests);
    }

    fn refresh_server_view(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(marks) = self.server_view.refresh(now) else { return };
        out.push(Action::ApplyLists);
        let apply_mark = |(name, fact): (Arc<str>, Fact)| Action::ApplyMaintenance {
            name,
            in_maintenance: fact.excluded,
            set_at: fact.since,
        };
        out.extend(marks.into_iter().map(apply_mark));
    }

    /// Requests a lease from one lease server, when only that one has something new.
    fn request_lease(&mut self, now: Micros, lease_server: InstanceId, out: &mut Vec<Action>) {
        self.sequence += 1;
        self.sent_requests.insert(
            self.sequence,
            SentRequest { sent_at: now, names_revision: self.server_view.names_hash_and_revision().1 },
        );
        out.push(Action::Send(lease_server, self.lease_request(lease_server)));
    }

    fn lease_request(&self, lease_server: InstanceId) -> Message {
        Message::LeaseRequest {
            sequence: self.sequence,
            known_versions: self.documents.keys().copied().collect(),
            rejected_versions: self.rejected.iter().copied().collect(),
            reported_hash: self.server_view.reported().hash(),
            names_hash: self.server_view.names_hash_and_revision().0,
            received_hash: self.server_view.received_from(lease_server).0,
            last_update: self.server_view.received_from(lease_server).1,
        }
    }

    fn handle_grant(
        &mut self, now: Micros, from: InstanceId, grant: (u64, Version, Micros), out: &mut Vec<Action>,
    ) {
        let (sequence, committed, lag) = grant;
        // A lease counts from the time of its request, however late the grant arrives, and is shorter by the
        // time for which this instance had lacked an exclusion when it sent the request.
        let request = self.sent_requests.get(&sequence).copied();
        let names_revision = request.map_or(0, |request| request.names_revision);
        let valid_from = request.map(|request| request.sent_at - lag);
        let Some(valid_from) = valid_from.filter(|valid_from| *valid_from + self.lease_duration > now) else {
            // The lease has already expired, or its request is too old to be remembered.
            if lag == Micros(0) && self.slow_lease_servers.insert(from) {
                let lease_duration = self.lease_duration.secs();
                out.push(Action::Log(format!(
                    "accord.within: a keeper's answer took longer than the lease duration of {lease_duration:.3} s"
                )));
            }
            return;
        };
        self.slow_lease_servers.remove(&from);
        let known = self.documents.contains_key(&committed);
        if !known
            || !self.server_view.accepts_names_revision(names_revision)
            || self
                .leases
                .get(&from)
                .is_some_and(|lease| (lease.valid_from, lease.names_revision) >= (valid_from, names_revision))
        {
            return;
        }
        self.leases.insert(from, Lease { valid_from, committed, names_revision });
        self.leases.retain(|_, lease| lease.valid_from + self.lease_duration > now);
        self.apply_confirmed_names(out);
        let agreed = self.majority_value(|lease| lease.committed);
        if let Some(agreed) = agreed.filter(|agreed| Some(*agreed) > self.committed) {
            self.committed = Some(agreed);
            let superseded = self.documents.keys().next().is_some_and(|first| *first < agreed);
            self.documents = self.documents.split_off(&agreed);
            self.rejected = self.rejected.split_off(&agreed);
            // A lease from a lease server at which an earlier version is committed no longer counts.
            self.leases.retain(|_, lease| lease.committed >= agreed);
            out.push(Action::Log(format!("version {agreed} committed")));
            if superseded {
                out.push(Action::ApplyDocuments);
            }
        }
    }

    /// The greatest value that the leases from a majority of lease servers have reached.
    fn majority_value<T: Ord>(&self, value_of: impl Fn(&Lease) -> T) -> Option<T> {
        let mut values: Vec<T> = self.leases.values().map(value_of).collect();
        values.sort_unstable_by(|one, other| other.cmp(one));
        values.into_iter().nth(majority(self.lease_servers.len()) - 1)
    }

    /// Allows requests to servers whose names a majority of lease servers has confirmed.
    fn apply_confirmed_names(&mut self, out: &mut Vec<Action>) {
        if let Some(agreed) = self
            .majority_value(|lease| lease.names_revision)
            .filter(|agreed| self.server_view.confirm_names(*agreed))
        {
            // A lease from a lease server that does not publish facts about all of these servers no longer
            // counts.
            self.leases.retain(|_, lease| lease.names_revision >= agreed);
            out.push(Action::ApplyLists);
        }
    }
}
