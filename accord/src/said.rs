//! What all who ask a keeper say of servers, and the most of it, weighed by changes: a word costs what it changes and not
//! what all others say.
use crate::facts::{Change, Content, Fact, Ledger, Subject, MOST_FACTS};
use crate::{Holder, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// What one who asks says of servers, by the hash of it, and has heard of them from here.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Says {
    pub(crate) turn: u64,
    hash: u64,
    /// What it has told since, and will ask with.
    offered: u64,
    heard: u64,
    until: Micros,
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
    /// Whether the content that it names is known here, and the one that was known before.
    pub(crate) known: bool,
    pub(crate) before: u64,
    /// Whether the most of all has changed by it.
    pub(crate) changed: bool,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Said {
    says: BTreeMap<Holder, Says>,
    /// Until when what each says counts, the earliest first.
    ends: BTreeSet<(Micros, Holder)>,
    /// By hash: most say the same.
    contents: BTreeMap<u64, Known>,
    /// How many contents that are said hold each fact.
    weighed: BTreeMap<Subject, BTreeMap<Fact, usize>>,
    /// Subjects for which the ledger has no room.
    left_out: BTreeSet<Subject>,
    /// The most that any says of each server.
    ledger: Ledger,
    pub(crate) steps: u64,
}

impl Said {
    pub(crate) fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub(crate) fn holders(&self) -> Vec<Holder> {
        self.says.keys().copied().collect()
    }

    pub(crate) fn turn_of(&self, holder: Holder) -> Option<u64> {
        self.says.get(&holder).map(|says| says.turn)
    }

    /// One asks with what it says and has heard.
    pub(crate) fn asked(
        &mut self, now: Micros, (from, turn): (Holder, u64), (hash, heard): (u64, u64), until: Micros,
    ) -> Taken {
        self.steps += 1;
        let known = hash == 0 || self.contents.contains_key(&hash);
        let last = self.says.remove(&from);
        let (before, offered) = last.as_ref().map_or((0, 0), |says| (says.hash, says.offered));
        if let Some(last) = last {
            self.ends.remove(&(last.until, from));
        }
        let hash = if known { hash } else { before };
        self.says.insert(from, Says { turn, hash, offered, heard, until });
        self.ends.insert((until, from));
        let changed = hash != before && self.replace(now, before, hash);
        Taken { known, before, changed }
    }

    /// What one says of servers from now on, as it follows from a content that is known. It counts once it is asked with:
    /// guards against what is told late undoing what was asked with since.
    pub(crate) fn offer(&mut self, from: Holder, (base, to): (u64, u64), changes: Vec<Change>) {
        self.steps += changes.len() as u64;
        let Some(offered) = self.says.get(&from).map(|says| says.offered) else { return };
        let base = if base == 0 { Some(Content::default()) } else { self.content(base).cloned() };
        let Some(mut content) = base else { return };
        content.take(changes);
        // Whoever says something else than it means to is asked again.
        if content.facts().len() > MOST_FACTS || content.hash() != to || to == offered {
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

    /// Drops what those say who have asked no more; true if the most of all has changed by it.
    pub(crate) fn expire(&mut self, now: Micros) -> bool {
        let mut changed = false;
        while let Some((_, holder)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.steps += 1;
            self.ends.pop_first();
            let Some(says) = self.says.remove(&holder) else { continue };
            if let Some(known) = self.contents.get_mut(&says.offered) {
                known.offered_by -= 1;
            }
            self.forget(says.offered);
            changed |= self.replace(now, says.hash, 0);
        }
        changed
    }

    /// What one lacks of the ledger: from which hash on, and the changes. If that is lost, it says so when it asks again.
    pub(crate) fn owed(&mut self, holder: Holder) -> Option<(u64, Vec<Change>)> {
        let says = self.says.get_mut(&holder)?;
        let owed = self.ledger.since(says.heard);
        says.heard = self.ledger.hash();
        self.steps += 1 + owed.1.len() as u64;
        Some(owed)
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
    fn replace(&mut self, now: Micros, less: u64, more: u64) -> bool {
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
        let mut changed = false;
        for subject in ended {
            self.weighed.remove(&subject);
            self.left_out.remove(&subject);
            changed |= self.ledger.set(now, &subject, None);
        }
        for subject in told {
            changed |= self.tell(now, subject);
        }
        while self.ledger.facts().len() < 2 * MOST_FACTS {
            let Some(subject) = self.left_out.pop_first() else { break };
            self.steps += 1;
            changed |= self.tell(now, subject);
        }
        changed
    }

    fn tell(&mut self, now: Micros, subject: Subject) -> bool {
        // Guards against lists that have nothing in common.
        let facts = self.ledger.facts();
        if !facts.contains_key(&subject) && facts.len() >= 2 * MOST_FACTS {
            self.left_out.insert(subject);
            return false;
        }
        let most = self.weighed.get(&subject).and_then(|facts| facts.keys().next_back()).cloned();
        self.ledger.set(now, &subject, most)
    }
}
