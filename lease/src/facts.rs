//! Facts about servers, from discovery lists and from operators, as they spread among instances. Each
//! instance reports what it learned itself; for each subject a lease server publishes the greatest fact that
//! any live lease holder reports. Sets of facts are identified, and differences between them computed, by a
//! hash over their whole content.
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// What a fact is about.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The entry of a server in a discovery list.
    Server(Arc<str>),
    /// The maintenance mark of a server, set by an operator.
    #[serde(rename = "mark")]
    Maintenance(Arc<str>),
}

impl Subject {
    /// The name of the server.
    pub fn name(&self) -> &Arc<str> {
        let (Subject::Server(name) | Subject::Maintenance(name)) = self;
        name
    }
}

/// A statement about a subject. Of two facts the greater one wins: a later `since` over an earlier one, and
/// with the same `since` an exclusion over its absence.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Fact {
    /// When the server last started, or when the maintenance mark was set.
    pub since: u64,
    /// No new requests may be sent to the server.
    #[serde(rename = "out")]
    pub excluded: bool,
    /// The reporting instance learned it from its own list, not from other instances.
    pub first_hand: bool,
    /// The entry of the discovery list, if instances share whole lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<Arc<str>>,
}

impl Fact {
    /// Whether this fact excludes a server that the known fact allows.
    pub(crate) fn newly_excludes(&self, known: Option<&Fact>) -> bool {
        self.excluded && known.is_none_or(|known| !known.excluded || known.since < self.since)
    }
}

/// At most one fact for each subject.
pub type Facts = BTreeMap<Subject, Fact>;
/// The new fact about a subject; `None` if there is none any more.
pub type FactChange = (Subject, Option<Fact>);

/// The most subjects that one set of facts may have, so that an endless list can't exhaust memory.
pub const MAX_FACTS: usize = 8_192;
/// The most changes that a ledger remembers; a holder that is further behind gets the whole content.
const MAX_HISTORY: usize = 4_096;

fn fact_hash(subject: &Subject, fact: &Fact) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    (subject, fact).hash(&mut hasher);
    hasher.finish()
}

/// A set of facts with a hash that does not depend on their order; the hash of the empty set is 0.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct FactSet {
    facts: Facts,
    hash: u64,
}

impl FactSet {
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    pub fn hash(&self) -> u64 {
        self.hash
    }

    fn set_fact(&mut self, subject: Subject, fact: Option<Fact>) {
        self.hash ^= fact.as_ref().map_or(0, |fact| fact_hash(&subject, fact));
        let known = match fact {
            Some(fact) => self.facts.insert(subject.clone(), fact),
            None => self.facts.remove(&subject),
        };
        self.hash ^= known.map_or(0, |known| fact_hash(&subject, &known));
    }

    pub fn apply(&mut self, changes: Vec<FactChange>) {
        changes.into_iter().for_each(|(subject, fact)| self.set_fact(subject, fact));
    }

    /// Applies an update that was received. Returns false if it is not based on the content known here, or if
    /// the result does not match its hash; in the second case the set is cleared.
    pub fn apply_update(&mut self, base_hash: u64, new_hash: u64, changes: Vec<FactChange>) -> bool {
        if base_hash != 0 && base_hash != self.hash {
            return false;
        }
        if base_hash == 0 {
            *self = FactSet::default();
        }
        self.apply(changes);
        if self.hash != new_hash {
            *self = FactSet::default();
        }
        self.hash == new_hash
    }
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct LedgerEntry {
    /// The hash of the content before this change.
    hash_before: u64,
    subject: Subject,
    changed_at: Micros,
}

/// A set of facts with its history of changes.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Ledger {
    content: FactSet,
    history: VecDeque<LedgerEntry>,
    /// How many changes were dropped from the front of the history.
    dropped: usize,
    /// For each content hash, the position of the last change made to that content. Positions count all
    /// changes, including the dropped ones.
    positions: BTreeMap<u64, usize>,
    /// The positions of the changes that newly excluded a server.
    exclusions: VecDeque<usize>,
    /// How many facts exclude a server now.
    excluded_count: usize,
}

impl Ledger {
    pub fn facts(&self) -> &Facts {
        &self.content.facts
    }

    pub fn hash(&self) -> u64 {
        self.content.hash
    }

    /// Returns false if nothing changed.
    pub fn set(&mut self, now: Micros, subject: &Subject, fact: Option<Fact>) -> bool {
        let known = self.facts().get(subject);
        if known == fact.as_ref() {
            return false;
        }
        let newly_excluded = fact.as_ref().is_some_and(|fact| fact.newly_excludes(known));
        let exclusion_count = |fact: Option<&Fact>| usize::from(fact.is_some_and(|fact| fact.excluded));
        self.excluded_count = self.excluded_count + exclusion_count(fact.as_ref()) - exclusion_count(known);
        let hash = self.hash();
        let position = self.dropped + self.history.len();
        self.positions.insert(hash, position);
        if newly_excluded {
            self.exclusions.push_back(position);
        }
        self.history.push_back(LedgerEntry { hash_before: hash, subject: subject.clone(), changed_at: now });
        if self.history.len() > MAX_HISTORY {
            if let Some(first) = self.history.pop_front() {
                if self.positions.get(&first.hash_before) == Some(&self.dropped) {
                    self.positions.remove(&first.hash_before);
                }
                self.dropped += 1;
            }
            if self.exclusions.front().is_some_and(|position| *position < self.dropped) {
                self.exclusions.pop_front();
            }
        }
        self.content.set_fact(subject.clone(), fact);
        true
    }

    /// The position of the first change after the content had that hash, if it is still remembered.
    fn position(&self, hash: u64) -> Option<usize> {
        match hash {
            _ if hash == self.hash() => Some(self.dropped + self.history.len()),
            _ => self.positions.get(&hash).copied(),
        }
    }

    /// The changes since the content had that hash, with the hash of the content that they apply to. If that
    /// hash is no longer remembered, the hash is 0 and the changes are the whole content.
    pub fn changes_since(&self, hash: u64) -> (u64, Vec<FactChange>) {
        let Some(position) = self.position(hash) else {
            let all = self.facts().iter().map(|(subject, fact)| (subject.clone(), Some(fact.clone())));
            return (0, all.collect());
        };
        let entries = self.history.range(position - self.dropped..);
        let mut subjects: Vec<&Subject> = entries.map(|entry| &entry.subject).collect();
        subjects.sort_unstable();
        subjects.dedup();
        let changes =
            subjects.iter().map(|subject| ((*subject).clone(), self.facts().get(*subject).cloned()));
        (hash, changes.collect())
    }

    /// For how long a holder has lacked an exclusion if its content has that hash; `None` if that can't be
    /// determined.
    pub fn exclusion_lag(&self, hash: u64, now: Micros) -> Option<Micros> {
        match self.position(hash) {
            Some(position) => {
                let first = self.exclusions.partition_point(|exclusion| *exclusion < position);
                let since = self
                    .exclusions
                    .get(first)
                    .map(|position| self.history[position - self.dropped].changed_at);
                Some(since.map_or(Micros(0), |since| now - since))
            }
            None if self.excluded_count > 0 => None,
            None => Some(Micros(0)),
        }
    }
}

/// For each subject the greatest fact in any of the sets.
pub fn greatest_facts<'a>(all: impl Iterator<Item = &'a Facts>) -> BTreeMap<&'a Subject, &'a Fact> {
    let mut greatest: BTreeMap<&Subject, &Fact> = BTreeMap::new();
    for (subject, fact) in all.flatten() {
        let known = greatest.entry(subject).or_insert(fact);
        *known = (*known).max(fact);
    }
    greatest
}
