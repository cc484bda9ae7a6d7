//! Who is told of which servers: all of all, or each of those that its own list names. Those who name the same are one
//! subscription, with what has been told of its servers as a ledger of its own.
use crate::facts::{Fact, Ledger, Subject, MAX_FACTS};
use crate::names::Names;
use crate::{HolderId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// To what one is subscribed: the servers of a set of names, by its hash, or all.
pub(crate) type Topic = Option<u64>;

#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct Subscription {
    names: Names,
    ledger: Ledger,
    holders: BTreeSet<HolderId>,
    /// How many have told that they will ask with it.
    offered_by: usize,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Audience {
    /// All that is told, and who hears all of it.
    all: Ledger,
    hear_all: BTreeSet<HolderId>,
    subscriptions: BTreeMap<u64, Subscription>,
    /// Which subscriptions name a server.
    naming: BTreeMap<Arc<str>, BTreeSet<u64>>,
    /// When it was learnt of a subject that it forbids, where it does.
    learnt: BTreeMap<Subject, Micros>,
    pub(crate) steps: u64,
}

impl Audience {
    pub(crate) fn all(&self) -> &Ledger {
        &self.all
    }

    /// None where nobody is subscribed so.
    pub(crate) fn ledger(&self, topic: Topic) -> Option<&Ledger> {
        match topic {
            None => Some(&self.all),
            Some(hash) => self.subscriptions.get(&hash).map(|subscription| &subscription.ledger),
        }
    }

    /// Says something of a server from now on. Those who are to hear of it are added; false if nothing changes by it.
    pub(crate) fn set(
        &mut self, now: Micros, subject: &Subject, fact: Option<Fact>, hear: &mut BTreeSet<HolderId>,
    ) -> bool {
        let known = self.all.facts().get(subject);
        let forbids = fact.as_ref().is_some_and(|fact| fact.forbids_beyond(known));
        let stays = fact.as_ref().is_some_and(|fact| fact.excluded);
        if !self.all.set(now, subject, fact.clone()) {
            return false;
        }
        if forbids {
            self.learnt.insert(subject.clone(), now);
        } else if !stays {
            self.learnt.remove(subject);
        }
        self.steps += 1 + self.hear_all.len() as u64;
        hear.extend(&self.hear_all);
        for hash in self.naming.get(subject.name()).into_iter().flatten() {
            if let Some(subscription) = self.subscriptions.get_mut(hash) {
                subscription.ledger.set(now, subject, fact.clone());
                self.steps += 1 + subscription.holders.len() as u64;
                hear.extend(&subscription.holders);
            }
        }
        true
    }

    /// One that was subscribed to that, if to anything, is now to this; false if that is not known.
    pub(crate) fn moves(&mut self, holder: HolderId, from: Option<Topic>, to: Topic) -> bool {
        if from == Some(to) {
            return true;
        }
        match to {
            None => _ = self.hear_all.insert(holder),
            Some(0) => _ = self.subscriptions.entry(0).or_default().holders.insert(holder),
            Some(hash) => match self.subscriptions.get_mut(&hash) {
                Some(subscription) => _ = subscription.holders.insert(holder),
                None => return false,
            },
        }
        if let Some(from) = from {
            self.leaves(holder, from);
        }
        true
    }

    pub(crate) fn leaves(&mut self, holder: HolderId, topic: Topic) {
        match topic {
            None => _ = self.hear_all.remove(&holder),
            Some(hash) => {
                if let Some(subscription) = self.subscriptions.get_mut(&hash) {
                    subscription.holders.remove(&holder);
                }
                self.forget(hash);
            }
        }
    }

    /// One will ask with a set of names, as it follows from one that is known; false if it does not.
    pub(crate) fn offers(&mut self, (base, to): (u64, u64), more: Vec<Arc<str>>, fewer: &[Arc<str>]) -> bool {
        self.steps += (more.len() + fewer.len()) as u64;
        if let Some(known) = self.subscriptions.get_mut(&to) {
            known.offered_by += 1;
            return true;
        }
        let base = match base {
            0 => Some(Names::default()),
            base => self.subscriptions.get(&base).map(|known| known.names.clone()),
        };
        let Some(mut names) = base else { return false };
        for name in more {
            // One string for all who name it.
            let name = self.naming.get_key_value(&name).map_or(name, |(known, _)| known.clone());
            names.add(name);
        }
        fewer.iter().for_each(|name| _ = names.remove(name));
        if names.hash() != to || to == 0 || names.len() > MAX_FACTS {
            return false;
        }
        for name in names.iter() {
            self.naming.entry(name.clone()).or_default().insert(to);
        }
        let ledger = self.told_of(&names);
        let offered = Subscription { names, ledger, offered_by: 1, ..Subscription::default() };
        self.subscriptions.insert(to, offered);
        true
    }

    pub(crate) fn offers_no_more(&mut self, hash: u64) {
        // Nothing was offered.
        if hash == 0 {
            return;
        }
        if let Some(subscription) = self.subscriptions.get_mut(&hash) {
            subscription.offered_by -= 1;
        }
        self.forget(hash);
    }

    fn forget(&mut self, hash: u64) {
        let unused = |known: &Subscription| known.holders.is_empty() && known.offered_by == 0;
        if !self.subscriptions.get(&hash).is_some_and(unused) {
            return;
        }
        let Some(subscription) = self.subscriptions.remove(&hash) else { return };
        for name in subscription.names.iter() {
            if let Some(naming) = self.naming.get_mut(name) {
                naming.remove(&hash);
                if naming.is_empty() {
                    self.naming.remove(name);
                }
            }
        }
    }

    /// What is told of servers with these names, each as of when it was learnt: guards against a lease that lives longer
    /// because its holder began to name a server late.
    fn told_of(&mut self, names: &Names) -> Ledger {
        let subjects =
            names.iter().flat_map(|name| [Subject::Server(name.clone()), Subject::Maintenance(name.clone())]);
        let told = subjects.filter_map(|subject| {
            let fact = self.all.facts().get(&subject)?.clone();
            Some((self.learnt.get(&subject).copied().unwrap_or_default(), subject, fact))
        });
        let mut told: Vec<(Micros, Subject, Fact)> = told.collect();
        told.sort();
        self.steps += names.len() as u64;
        let mut ledger = Ledger::default();
        told.into_iter().for_each(|(at, subject, fact)| _ = ledger.set(at, &subject, Some(fact)));
        ledger
    }
}
