//! Which holders receive facts about which servers: all servers, or only those that the holder's own list
//! names. Holders whose lists name the same servers share one subscription, with its own ledger of the facts
//! published to it.
use crate::facts::{Fact, Ledger, Subject, MAX_FACTS};
use crate::name_set::NameSet;
use crate::{HolderId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a holder is subscribed to: a set of server names, by its hash, or all servers if `None`.
pub(crate) type Topic = Option<u64>;

#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct Subscription {
    names: NameSet,
    ledger: Ledger,
    holders: BTreeSet<HolderId>,
    /// How many holders announced these names last, for their next lease requests.
    announced_by: usize,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Subscriptions {
    /// All published facts.
    ledger: Ledger,
    /// The holders that receive all published facts.
    unfiltered: BTreeSet<HolderId>,
    by_hash: BTreeMap<u64, Subscription>,
    /// The hashes of the subscriptions that contain a server name.
    hashes_by_name: BTreeMap<Arc<str>, BTreeSet<u64>>,
    /// When a subject that is excluded now became known as excluded.
    excluded_since: BTreeMap<Subject, Micros>,
    pub(crate) entries_examined: u64,
}

impl Subscriptions {
    pub(crate) fn full_ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// `None` if there is no such subscription.
    pub(crate) fn ledger_for(&self, topic: Topic) -> Option<&Ledger> {
        match topic {
            None => Some(&self.ledger),
            Some(hash) => self.by_hash.get(&hash).map(|subscription| &subscription.ledger),
        }
    }

    /// Publishes the fact for a subject, or withdraws it. Adds the holders to notify to `notify`; returns
    /// false if nothing changed.
    pub(crate) fn publish(
        &mut self, now: Micros, subject: &Subject, fact: Option<Fact>, notify: &mut BTreeSet<HolderId>,
    ) -> bool {
        let known = self.ledger.facts().get(subject);
        let newly_excluded = fact.as_ref().is_some_and(|fact| fact.newly_excludes(known));
        let excluded = fact.as_ref().is_some_and(|fact| fact.excluded);
        if !self.ledger.set(now, subject, fact.clone()) {
            return false;
        }
        if newly_excluded {
            self.excluded_since.insert(subject.clone(), now);
        } else if !excluded {
            self.excluded_since.remove(subject);
        }
        self.entries_examined += 1 + self.unfiltered.len() as u64;
        notify.extend(&self.unfiltered);
        for hash in self.hashes_by_name.get(subject.name()).into_iter().flatten() {
            if let Some(subscription) = self.by_hash.get_mut(hash) {
                subscription.ledger.set(now, subject, fact.clone());
                self.entries_examined += 1 + subscription.holders.len() as u64;
                notify.extend(&subscription.holders);
            }
        }
        true
    }

    /// Moves a holder from its previous topic, if it had one, to another. Returns false if the names of the
    /// new topic are unknown.
    pub(crate) fn change_topic(&mut self, holder: HolderId, previous: Option<Topic>, topic: Topic) -> bool {
        if previous == Some(topic) {
            return true;
        }
        match topic {
            None => _ = self.unfiltered.insert(holder),
            Some(0) => _ = self.by_hash.entry(0).or_default().holders.insert(holder),
            Some(hash) => match self.by_hash.get_mut(&hash) {
                Some(subscription) => _ = subscription.holders.insert(holder),
                None => return false,
            },
        }
        if let Some(previous) = previous {
            self.unsubscribe(holder, previous);
        }
        true
    }

    pub(crate) fn unsubscribe(&mut self, holder: HolderId, topic: Topic) {
        match topic {
            None => _ = self.unfiltered.remove(&holder),
            Some(hash) => {
                if let Some(subscription) = self.by_hash.get_mut(&hash) {
                    subscription.holders.remove(&holder);
                }
                self.remove_if_unused(hash);
            }
        }
    }

    /// Records a set of names, given as a difference from a known set, that a holder will use in its next
    /// lease requests. Returns false if the base is unknown or the result does not match its hash.
    pub(crate) fn announce_names(
        &mut self, (base_hash, new_hash): (u64, u64), added: Vec<Arc<str>>, removed: &[Arc<str>],
    ) -> bool {
        self.entries_examined += (added.len() + removed.len()) as u64;
        if let Some(known) = self.by_hash.get_mut(&new_hash) {
            known.announced_by += 1;
            return true;
        }
        let base = match base_hash {
            0 => Some(NameSet::default()),
            base_hash => self.by_hash.get(&base_hash).map(|known| known.names.clone()),
        };
        let Some(mut names) = base else { return false };
        for name in added {
            // Shares one string among all subscriptions that name the server.
            let name = self.hashes_by_name.get_key_value(&name).map_or(name, |(known, _)| known.clone());
            names.add(name);
        }
        removed.iter().for_each(|name| _ = names.remove(name));
        if names.hash() != new_hash || new_hash == 0 || names.len() > MAX_FACTS {
            return false;
        }
        for name in names.iter() {
            self.hashes_by_name.entry(name.clone()).or_default().insert(new_hash);
        }
        let ledger = self.ledger_for_names(&names);
        let announced = Subscription { names, ledger, announced_by: 1, ..Subscription::default() };
        self.by_hash.insert(new_hash, announced);
        true
    }

    pub(crate) fn withdraw_names(&mut self, hash: u64) {
        // The holder has announced no names.
        if hash == 0 {
            return;
        }
        if let Some(subscription) = self.by_hash.get_mut(&hash) {
            subscription.announced_by -= 1;
        }
        self.remove_if_unused(hash);
    }

    fn remove_if_unused(&mut self, hash: u64) {
        let unused = |known: &Subscription| known.holders.is_empty() && known.announced_by == 0;
        if !self.by_hash.get(&hash).is_some_and(unused) {
            return;
        }
        let Some(subscription) = self.by_hash.remove(&hash) else { return };
        for name in subscription.names.iter() {
            if let Some(hashes) = self.hashes_by_name.get_mut(name) {
                hashes.remove(&hash);
                if hashes.is_empty() {
                    self.hashes_by_name.remove(name);
                }
            }
        }
    }

    /// The ledger of the published facts about the servers with these names. An exclusion is dated when it
    /// became known here: otherwise a holder whose list names the server only later would get too long a
    /// lease.
    fn ledger_for_names(&mut self, names: &NameSet) -> Ledger {
        let subjects =
            names.iter().flat_map(|name| [Subject::Server(name.clone()), Subject::Maintenance(name.clone())]);
        let published = subjects.filter_map(|subject| {
            let fact = self.ledger.facts().get(&subject)?.clone();
            Some((self.excluded_since.get(&subject).copied().unwrap_or_default(), subject, fact))
        });
        let mut published: Vec<(Micros, Subject, Fact)> = published.collect();
        published.sort();
        self.entries_examined += names.len() as u64;
        let mut ledger = Ledger::default();
        published.into_iter().for_each(|(since, subject, fact)| _ = ledger.set(since, &subject, Some(fact)));
        ledger
    }
}
