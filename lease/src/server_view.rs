//! What an instance knows about servers: from its own list, from maintenance marks set at its console, and
//! from the lease servers.
use crate::facts::{greatest_facts, Fact, FactChange, FactSet, Facts, Ledger, Subject, MAX_FACTS};
use crate::name_set::NameSet;
use crate::{InstanceId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// An update of the instance's own list: a snapshot, or what has changed. An update without entries says that
/// the list is available and unchanged.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    /// The number that discovery gives this state of the list.
    pub index: u64,
    /// Whether the entries are the whole list.
    pub snapshot: bool,
    /// `None` for a server that was removed from the list.
    pub entries: Vec<(Arc<str>, Option<Fact>)>,
}

/// The most servers remembered as removed from the list.
const MAX_REMOVED: usize = 1_024;
/// The most sets of names kept while they are not yet confirmed by a majority of lease servers.
const MAX_NAME_REVISIONS: usize = 8;
/// The most maintenance marks that are remembered, including those that say a server is back in use.
const MAX_MAINTENANCE_MARKS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct ReceivedFacts {
    content: FactSet,
    /// The number of the last update from that lease server.
    last_update: u64,
    /// When that lease server last sent anything.
    last_heard_at: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct ServerView {
    /// Whether it reports all entries of its list, not only exclusions.
    pub share_full_list: bool,
    index: u64,
    own_list: BTreeMap<Arc<str>, Fact>,
    /// The servers in `own_list` that were removed from the list, in the order of their removal.
    removed: VecDeque<Arc<str>>,
    reported: Ledger,
    /// Whether it receives facts only about the servers that its own list names.
    pub subscribed: bool,
    /// The server names on its own list.
    names: NameSet,
    /// How many times these names have changed.
    names_revision: u64,
    /// The names by their revision, from the revision that a majority of lease servers has confirmed to the
    /// current one.
    name_revisions: BTreeMap<u64, NameSet>,
    received: BTreeMap<InstanceId, ReceivedFacts>,
    /// For each subject the greatest fact from any lease server.
    merged: Facts,
    overflowed: bool,
}

impl ServerView {
    /// The facts that this instance reports.
    pub fn reported(&self) -> &Ledger {
        &self.reported
    }

    /// The hash of the facts received from that lease server, and the number of its last update.
    pub fn received_from(&self, lease_server: InstanceId) -> (u64, u64) {
        self.received
            .get(&lease_server)
            .map_or((0, 0), |received| (received.content.hash(), received.last_update))
    }

    /// The servers that other instances exclude, with the `since` of the incarnation that is excluded.
    pub fn excluded_servers(&self) -> BTreeMap<&Arc<str>, u64> {
        let mut excluded = BTreeMap::new();
        let facts =
            self.merged.iter().chain(self.reported.facts().iter().filter(|(_, fact)| !fact.first_hand));
        for (subject, fact) in facts.filter(|(_, fact)| fact.excluded) {
            if let Subject::Server(name) = subject {
                let since = excluded.entry(name).or_insert(fact.since);
                *since = fact.since.max(*since);
            }
        }
        excluded
    }

    /// The servers on its list that a majority of lease servers has not yet confirmed, or that a lease
    /// requested since then might not cover; with the `since` of the listed incarnation.
    pub fn unconfirmed_servers(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let confirmed = |name: &str| {
            !self.name_revisions.is_empty() && self.name_revisions.values().all(|names| names.contains(name))
        };
        let unconfirmed = self.own_list.iter().filter(move |(name, _)| self.subscribed && !confirmed(name));
        unconfirmed.map(|(name, fact)| (name, fact.since))
    }

    /// Whether leases may be based on that revision of the names: on the confirmed one or a later one.
    pub fn accepts_names_revision(&self, names_revision: u64) -> bool {
        self.name_revisions.first_key_value().is_none_or(|(first, _)| *first <= names_revision)
    }

    /// The hash of the names on its list, if it subscribes to those, and the revision of the names.
    pub fn names_hash_and_revision(&self) -> (Option<u64>, u64) {
        // With more names than a lease server accepts it receives all facts.
        let filtered = self.subscribed && self.names.len() <= MAX_FACTS;
        (filtered.then(|| self.names.hash()), self.names_revision)
    }

    /// The difference from the names that a lease server knows, by their hash, to the current ones.
    pub fn names_update_from(&self, known_hash: u64) -> (u64, Vec<Arc<str>>, Vec<Arc<str>>) {
        let known = self.name_revisions.values().find(|names| names.hash() == known_hash);
        let base = known.cloned().unwrap_or_default();
        let (added, removed) = self.names.difference_from(&base);
        (base.hash(), added, removed)
    }

    /// Records that a majority of lease servers uses these names and no earlier ones. Returns false if that
    /// was known.
    pub fn confirm_names(&mut self, names_revision: u64) -> bool {
        let before = self.name_revisions.first_key_value().map(|(first, _)| *first);
        if self.name_revisions.contains_key(&names_revision) {
            self.name_revisions = self.name_revisions.split_off(&names_revision);
        }
        self.name_revisions.first_key_value().map(|(first, _)| *first) != before
    }

    /// The entries from other instances' lists for servers that this instance's own list lacks, or has only
    /// in an earlier incarnation.
    pub fn foreign_entries(&self) -> impl Iterator<Item = &Arc<str>> {
        let usable = self.merged.iter().filter(|(subject, fact)| {
            let known = self.own_list.get(subject.name()).is_some_and(|own| own.since >= fact.since);
            matches!(subject, Subject::Server(_)) && !fact.excluded && !known
        });
        usable.filter_map(|(_, fact)| fact.entry.as_ref())
    }

    /// Applies an update of its own list. Returns whether its report has changed, and whether its names have.
    pub fn apply_list(&mut self, now: Micros, update: ListUpdate) -> (bool, bool) {
        let names_before = self.names.hash();
        let (report_before, index_increased, advanced) = (
            self.reported.hash(),
            update.index > self.index,
            update.index != self.index || update.entries.is_empty(),
        );
        self.index = update.index;
        let names = || update.entries.iter().map(|(name, _)| name.clone());
        let listed_names: Option<BTreeSet<Arc<str>>> = update.snapshot.then(|| names().collect());
        for (name, fact) in update.entries {
            match fact {
                Some(fact) => {
                    if self.own_list.get(&name).is_some_and(|known| known.excluded) {
                        self.removed.retain(|removed| *removed != name);
                    }
                    self.names.add(name.clone());
                    self.own_list.insert(name.clone(), fact);
                    self.report_server(now, &name);
                }
                None => self.remove_server(now, &name),
            }
        }
        if let Some(listed_names) = listed_names {
            let unlisted = self
                .own_list
                .keys()
                .filter(|name| !listed_names.contains(*name) && !self.removed.contains(*name));
            let unlisted: Vec<Arc<str>> = unlisted.cloned().collect();
            for name in unlisted {
                // A list whose indexes start again may be incomplete at first; what it lacks is not reported
                // as removed.
                if index_increased {
                    self.remove_server(now, &name);
                } else {
                    self.own_list.remove(&name);
                    self.names.remove(&name);
                    self.report_server(now, &name);
                }
            }
        }
        // An exclusion taken over from another instance ends when no instance reports it first hand any more
        // and this instance's own list has advanced without it, or has nothing new.
        let ended = self.reported.facts().iter().filter(|(subject, fact)| {
            !fact.first_hand && !self.merged.get(*subject).is_some_and(|known| known.first_hand)
        });
        let ended: Vec<Arc<str>> = ended.map(|(subject, _)| subject.name().clone()).collect();
        ended.iter().filter(|_| advanced).for_each(|name| self.report_server(now, name));
        let names_changed = self.subscribed && self.names.hash() != names_before;
        if names_changed {
            self.add_names_revision();
        }
        (self.reported.hash() != report_before, names_changed)
    }

    /// Starts a new revision of the names.
    fn add_names_revision(&mut self) {
        self.names_revision += 1;
        // Revision 0 stands for the names that the lease servers have at first: none.
        if self.name_revisions.is_empty() {
            self.name_revisions.insert(0, NameSet::default());
        }
        self.name_revisions.insert(self.names_revision, self.names.clone());
        // Bounds the memory if the list keeps changing while no lease server answers. The confirmed revision
        // stays; the two after it are merged into one.
        if self.name_revisions.len() > MAX_NAME_REVISIONS {
            let mut unconfirmed = self.name_revisions.keys().copied().skip(1);
            if let (Some(second), Some(third)) = (unconfirmed.next(), unconfirmed.next()) {
                // Keeps only the names in both sets, since a confirmation may be for either.
                let dropped = self.name_revisions.remove(&third).unwrap_or_default();
                self.name_revisions.entry(second).and_modify(|names| names.retain_common(&dropped));
            }
        }
    }

    /// Handles a server that was removed from its own list: it is excluded like a draining one.
    fn remove_server(&mut self, now: Micros, name: &Arc<str>) {
        let Some(fact) = self.own_list.get_mut(name) else { return };
        fact.excluded = true;
        if !self.removed.contains(name) {
            self.removed.push_back(name.clone());
        }
        self.report_server(now, name);
        if self.removed.len() > MAX_REMOVED {
            let Some(oldest) = self.removed.pop_front() else { return };
            self.own_list.remove(&oldest);
            self.names.remove(&oldest);
            self.report_server(now, &oldest);
        }
    }

    /// Reports what its own list says about a server.
    fn report_server(&mut self, now: Micros, name: &Arc<str>) {
        let own = self.own_list.get(name).filter(|fact| fact.excluded || self.share_full_list);
        let fact = own.map(|fact| Fact {
            entry: fact.entry.clone().filter(|_| self.share_full_list && !fact.excluded),
            ..fact.clone()
        });
        self.report(now, &Subject::Server(name.clone()), fact);
    }

    fn report(&mut self, now: Micros, subject: &Subject, fact: Option<Fact>) -> bool {
        let is_new = fact.is_some() && !self.reported.facts().contains_key(subject);
        let overflowed = is_new && self.reported.facts().len() >= MAX_FACTS;
        self.overflowed |= overflowed;
        !overflowed && self.reported.set(now, subject, fact)
    }

    /// Whether facts were left out because the report is full.
    pub fn overflowed(&self) -> bool {
        self.overflowed
    }

    /// Applies a maintenance mark that was set here or received. Returns false if one as late is known.
    pub fn set_maintenance(
        &mut self, now: Micros, name: &Arc<str>, in_maintenance: bool, set_at: u64,
    ) -> bool {
        let fact = Fact { since: set_at, excluded: in_maintenance, first_hand: true, entry: None };
        let subject = Subject::Maintenance(name.clone());
        if self.reported.facts().get(&subject).is_some_and(|known| *known >= fact) {
            return false;
        }
        let is_mark = |(subject, _): &(&Subject, &Fact)| matches!(subject, Subject::Maintenance(_));
        if self.reported.facts().iter().filter(is_mark).count() >= MAX_MAINTENANCE_MARKS {
            let returned = self.reported.facts().iter().filter(is_mark).filter(|(_, fact)| !fact.excluded);
            let oldest = returned.min_by_key(|(_, fact)| fact.since).map(|(subject, _)| subject.clone());
            oldest.map(|oldest| self.reported.set(now, &oldest, None));
        }
        self.report(now, &subject, Some(fact))
    }

    /// Applies an update from a lease server. Returns false if it is outdated or based on another content.
    pub fn receive(&mut self, from: InstanceId, number: u64, update: (u64, u64, Vec<FactChange>)) -> bool {
        let received = self.received.entry(from).or_default();
        let outdated = number <= received.last_update;
        received.last_update = received.last_update.max(number);
        !outdated && received.content.apply_update(update.0, update.1, update.2)
    }

    /// Merges what the lease servers sent. Returns the maintenance marks that are new, or `None` if nothing
    /// has changed.
    pub fn refresh(&mut self, now: Micros) -> Option<Vec<(Arc<str>, Fact)>> {
        let greatest = greatest_facts(self.received.values().map(|received| received.content.facts()));
        let merged: Facts =
            greatest.into_iter().map(|(subject, fact)| (subject.clone(), fact.clone())).collect();
        if merged == self.merged {
            return None;
        }
        let before = std::mem::replace(&mut self.merged, merged);
        let (mut marks, mut taken_over) = (Vec::new(), Vec::new());
        for (subject, fact) in &self.merged {
            match subject {
                Subject::Maintenance(name) => marks.push((name.clone(), fact.clone())),
                // Each instance that receives an exclusion also reports it, as not first hand, so that it is
                // not lost if the only instance that knew it stops.
                Subject::Server(name) if fact.excluded && fact.first_hand => {
                    let already_known =
                        before.get(subject).is_some_and(|known| known.excluded && known.since >= fact.since);
                    let own = self.own_list.get(name);
                    let later = own.is_some_and(|own| (own.since, own.excluded) >= (fact.since, true));
                    if !already_known && !later {
                        taken_over.push((subject.clone(), fact.since));
                    }
                }
                Subject::Server(_) => {}
            }
        }
        for (subject, since) in taken_over {
            self.report(now, &subject, Some(Fact { since, excluded: true, first_hand: false, entry: None }));
        }
        marks.retain(|(name, fact)| self.set_maintenance(now, name, fact.excluded, fact.since));
        Some(marks)
    }

    /// Records that a lease server has sent something.
    pub fn record_message(&mut self, now: Micros, lease_server: InstanceId) {
        self.received.entry(lease_server).or_default().last_heard_at = now;
    }

    /// Forgets the facts of lease servers that have sent nothing for the length of a lease. Returns false if
    /// there is none.
    pub fn forget_silent(&mut self, now: Micros, lease_duration: Micros) -> bool {
        let is_silent = |received: &&mut ReceivedFacts| {
            received.last_heard_at + lease_duration <= now && received.content.hash() != 0
        };
        let forgotten = self.received.values_mut().filter(is_silent);
        forgotten.map(|received| received.content = FactSet::default()).count() > 0
    }
}
