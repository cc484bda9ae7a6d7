//! What all who ask a keeper say of servers, and the most of it, weighed by changes: a word costs what it changes and not
//! what all others say.
use crate::audience::{Audience, Topic};
use crate::facts::{Content, Fact, FactChange, Ledger, Subject, MAX_FACTS};
use crate::{HolderId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What one who asks says of servers, by the hash of it, and has heard of them from here.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Says {
    pub(crate) turn: u64,
    hash: u64,
    /// What it has told since, and will ask with.
    offered: u64,
    /// Of which servers it hears, and of which it has told since that it will.
    topic: Topic,
    offered_names: u64,
    heard: u64,
    until: Micros,
}

/// What one asks with.
pub(crate) struct Asking {
    pub(crate) turn: u64,
    pub(crate) hash: u64,
    pub(crate) names: Topic,
    pub(crate) heard: u64,
    pub(crate) until: Micros,
}

/// One content, and how many say it, or have told that they will.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct Known {
    content: Content,
    said_by: usize,
    offered_by: usize,
}

/// What an ask changed.
pub(crate) struct Taken {
    /// The content that was known before, where the one that it names is not known here; and likewise the names.
    pub(crate) lacks: Option<u64>,
    pub(crate) lacks_names: Option<u64>,
    /// Who is to hear that the most of all has changed by it.
    pub(crate) hear: BTreeSet<HolderId>,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Said {
    says: BTreeMap<HolderId, Says>,
    /// Until when what each says counts, the earliest first.
    ends: BTreeSet<(Micros, HolderId)>,
    /// By hash: most say the same.
    contents: BTreeMap<u64, Known>,
    /// How many contents that are said hold each fact.
    weighed: BTreeMap<Subject, BTreeMap<Fact, usize>>,
    /// Subjects for which the ledger has no room.
    left_out: BTreeSet<Subject>,
    /// The most that any says of each server, and who hears of it.
    audience: Audience,
    pub(crate) steps: u64,
}

impl Said {
    /// All that is told.
    pub(crate) fn ledger(&self) -> &Ledger {
        self.audience.all()
    }

    /// What is told to one who asks here.
    pub(crate) fn told_to(&self, holder: HolderId) -> Option<&Ledger> {
        self.audience.ledger(self.says.get(&holder)?.topic)
    }

    pub(crate) fn steps(&self) -> u64 {
        self.steps + self.audience.steps
    }

    pub(crate) fn turn_of(&self, holder: HolderId) -> Option<u64> {
        self.says.get(&holder).map(|says| says.turn)
    }

    /// One asks with what it says and has heard.
    pub(crate) fn asked(&mut self, now: Micros, from: HolderId, asking: Asking) -> Taken {
        self.steps += 1;
        let Asking { turn, hash, names, heard, until } = asking;
        let known = hash == 0 || self.contents.contains_key(&hash);
        let last = self.says.remove(&from);
        let (before, offered) = last.as_ref().map_or((0, 0), |says| (says.hash, says.offered));
        let was = last.as_ref().map(|says| says.topic);
        let offered_names = last.as_ref().map_or(0, |says| says.offered_names);
        if let Some(last) = last {
            self.ends.remove(&(last.until, from));
        }
        let named = self.audience.moves(from, was, names);
        // One whose names are not known yet hears of none, or of those it had.
        let topic = if named { names } else { was.unwrap_or(Some(0)) };
        if !named && was.is_none() {
            self.audience.moves(from, None, topic);
        }
        let hash = if known { hash } else { before };
        self.says.insert(from, Says { turn, hash, offered, topic, offered_names, heard, until });
        self.ends.insert((until, from));
        let mut hear = BTreeSet::new();
        if hash != before {
            self.replace(now, before, hash, &mut hear);
        }
        Taken { lacks: (!known).then_some(before), lacks_names: (!named).then_some(topic.unwrap_or(0)), hear }
    }

    /// The servers that one's list names, as they follow from names that are known. It hears of those once it asks with them.
    pub(crate) fn subscribe(
        &mut self, from: HolderId, base: (u64, u64), more: Vec<Arc<str>>, fewer: &[Arc<str>],
    ) {
        let Some(offered) = self.says.get(&from).map(|says| says.offered_names) else { return };
        if base.1 != offered && self.audience.offers(base, more, fewer) {
            self.audience.offers_no_more(offered);
            if let Some(says) = self.says.get_mut(&from) {
                says.offered_names = base.1;
            }
        }
    }

    /// What one says of servers from now on, as it follows from a content that is known. It counts once it is asked with:
    /// guards against what is told late undoing what was asked with since.
    pub(crate) fn offer(&mut self, from: HolderId, (base, to): (u64, u64), changes: Vec<FactChange>) {
        self.steps += changes.len() as u64;
        let Some(offered) = self.says.get(&from).map(|says| says.offered) else { return };
        let base = if base == 0 { Some(Content::default()) } else { self.content(base).cloned() };
        let Some(mut content) = base else { return };
        content.take(changes);
        // Whoever says something else than it means to is asked again.
        if content.facts().len() > MAX_FACTS || content.hash() != to || to == offered {
            return;
        }
        if to != 0 {
            self.contents.entry(to).or_insert(Known { content, ..Known::default() }).offered_by += 1;
        }
        if let Some(known) = self.contents.get_mut(&offered) {
            known.offered_by -= 1;
        }
        self.forget(offered);
        if let Some(says) = self.says.get_mut(&from) {
            says.offered = to;
        }
    }

    /// Drops what those say who have asked no more; who is to hear that the most of all has changed by it.
    pub(crate) fn expire(&mut self, now: Micros) -> BTreeSet<HolderId> {
        let mut hear = BTreeSet::new();
        while let Some((_, holder)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.steps += 1;
            self.ends.pop_first();
            let Some(says) = self.says.remove(&holder) else { continue };
            self.audience.leaves(holder, says.topic);
            self.audience.offers_no_more(says.offered_names);
            if let Some(known) = self.contents.get_mut(&says.offered) {
                known.offered_by -= 1;
            }
            self.forget(says.offered);
            self.replace(now, says.hash, 0, &mut hear);
            hear.remove(&holder);
        }
        hear
    }

    /// What one lacks of what is told to it: from which hash on, to which, and the changes. If that is lost, it says so when
    /// it asks again.
    pub(crate) fn owed(&mut self, holder: HolderId) -> Option<(u64, u64, Vec<FactChange>)> {
        let says = self.says.get_mut(&holder)?;
        let ledger = self.audience.ledger(says.topic)?;
        let (from, changes) = ledger.since(says.heard);
        says.heard = ledger.hash();
        self.steps += 1 + changes.len() as u64;
        Some((from, says.heard, changes))
    }

    fn content(&self, hash: u64) -> Option<&Content> {
        self.contents.get(&hash).map(|known| &known.content)
    }

    fn forget(&mut self, hash: u64) {
        if self.contents.get(&hash).is_some_and(|known| known.said_by + known.offered_by == 0) {
            self.contents.remove(&hash);
        }
    }

    /// One content is said once more, and another once less.
    fn replace(&mut self, now: Micros, less: u64, more: u64, hear: &mut BTreeSet<HolderId>) {
        let mut touched = BTreeSet::new();
        if let Some(known) = self.contents.get_mut(&more) {
            known.said_by += 1;
            if known.said_by == 1 {
                for (subject, fact) in known.content.facts() {
                    let facts = self.weighed.entry(subject.clone()).or_default();
                    *facts.entry(fact.clone()).or_default() += 1;
                    touched.insert(subject.clone());
                }
            }
        }
        if let Some(known) = self.contents.get_mut(&less) {
            known.said_by -= 1;
            if known.said_by == 0 {
                for (subject, fact) in known.content.facts() {
                    let Some(facts) = self.weighed.get_mut(subject) else { continue };
                    if let Some(count) = facts.get_mut(fact) {
                        *count -= 1;
                    }
                    facts.retain(|_, count| *count > 0);
                    touched.insert(subject.clone());
                }
            }
        }
        self.forget(less);
        self.steps += touched.len() as u64;
        // What is over first: it makes room.
        let over = |said: &Said, subject: &Subject| said.weighed.get(subject).is_none_or(BTreeMap::is_empty);
        let (ended, told): (Vec<_>, Vec<_>) = touched.into_iter().partition(|subject| over(self, subject));
        for subject in ended {
            self.weighed.remove(&subject);
            self.left_out.remove(&subject);
            self.audience.set(now, &subject, None, hear);
        }
        for subject in told {
            self.tell(now, subject, hear);
        }
        while self.ledger().facts().len() < 2 * MAX_FACTS {
            let Some(subject) = self.left_out.pop_first() else { break };
            self.steps += 1;
            self.tell(now, subject, hear);
        }
    }

    fn tell(&mut self, now: Micros, subject: Subject, hear: &mut BTreeSet<HolderId>) {
        // Guards against lists that have nothing in common.
        let facts = self.ledger().facts();
        if !facts.contains_key(&subject) && facts.len() >= 2 * MAX_FACTS {
            self.left_out.insert(subject);
            return;
        }
        let most = self.weighed.get(&subject).and_then(|facts| facts.keys().next_back()).cloned();
        self.audience.set(now, &subject, most, hear);
    }
}
