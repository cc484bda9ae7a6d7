//! What lists and operators say of servers, as it spreads among instances. Each instance says what it was told itself; a
//! keeper knows of each subject the most that any who lives says, and tells that to all. Two contents are told apart, and
//! what lies between them found, by a hash of all they hold.
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Of whom something is said.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    Server(Arc<str>),
    /// A server's mark by hand.
    #[serde(rename = "mark")]
    Maintenance(Arc<str>),
}

impl Subject {
    pub fn name(&self) -> &Arc<str> {
        let (Subject::Server(name) | Subject::Maintenance(name)) = self;
        name
    }
}

/// What is said of it. Of two facts the greater one holds: a later life over an earlier, and within one life what
/// forbids over what allows.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Fact {
    /// When the server last started, or when the mark was set.
    pub since: u64,
    /// Nothing new is to be sent there.
    #[serde(rename = "out")]
    pub excluded: bool,
    /// Whoever says it was told so by its own list, not by others.
    pub first_hand: bool,
    /// How the list words it, where that is passed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<Arc<str>>,
}

impl Fact {
    /// Whether it forbids what was allowed by what is known.
    pub(crate) fn forbids_beyond(&self, known: Option<&Fact>) -> bool {
        self.excluded && known.is_none_or(|known| !known.excluded || known.since < self.since)
    }
}

pub type Facts = BTreeMap<Subject, Fact>;
/// What is said of a subject from now on; nothing more where none.
pub type FactChange = (Subject, Option<Fact>);

/// Subjects of which something may be said at a time: guards against a list without end.
pub const MAX_FACTS: usize = 8_192;
/// Changes that are remembered; whoever lacks more is told all there is.
const MOST_PAST: usize = 4_096;

fn hash_of(subject: &Subject, fact: &Fact) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    (subject, fact).hash(&mut hasher);
    hasher.finish()
}

/// Facts, and a hash of all of them that does not depend on the order; zero of nothing.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Content {
    facts: Facts,
    hash: u64,
}

impl Content {
    pub fn facts(&self) -> &Facts {
        &self.facts
    }

    pub fn hash(&self) -> u64 {
        self.hash
    }

    fn put(&mut self, subject: Subject, fact: Option<Fact>) {
        self.hash ^= fact.as_ref().map_or(0, |fact| hash_of(&subject, fact));
        let known = match fact {
            Some(fact) => self.facts.insert(subject.clone(), fact),
            None => self.facts.remove(&subject),
        };
        self.hash ^= known.map_or(0, |known| hash_of(&subject, &known));
    }

    pub fn take(&mut self, changes: Vec<FactChange>) {
        changes.into_iter().for_each(|(subject, fact)| self.put(subject, fact));
    }

    /// Takes what another's content has become; false if that does not follow from what is known here.
    pub fn follow(&mut self, from: u64, to: u64, changes: Vec<FactChange>) -> bool {
        if from != 0 && from != self.hash {
            return false;
        }
        if from == 0 {
            *self = Content::default();
        }
        self.take(changes);
        if self.hash != to {
            *self = Content::default();
        }
        self.hash == to
    }
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct Past {
    /// Of what was known before it.
    hash: u64,
    subject: Subject,
    at: Micros,
}

/// Facts with what they were before.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Ledger {
    content: Content,
    past: VecDeque<Past>,
    /// How many were before the first that is remembered, and by hash the last with it, counted from the very first.
    forgotten: usize,
    places: BTreeMap<u64, usize>,
    /// Which of them forbid, counted likewise; and how many facts do.
    forbids: VecDeque<usize>,
    forbidding: usize,
}

impl Ledger {
    pub fn facts(&self) -> &Facts {
        &self.content.facts
    }

    pub fn hash(&self) -> u64 {
        self.content.hash
    }

    /// False if nothing changes by it.
    pub fn set(&mut self, now: Micros, subject: &Subject, fact: Option<Fact>) -> bool {
        let known = self.facts().get(subject);
        if known == fact.as_ref() {
            return false;
        }
        let forbids = fact.as_ref().is_some_and(|fact| fact.forbids_beyond(known));
        let out = |fact: Option<&Fact>| usize::from(fact.is_some_and(|fact| fact.excluded));
        self.forbidding = self.forbidding + out(fact.as_ref()) - out(known);
        let hash = self.hash();
        let place = self.forgotten + self.past.len();
        self.places.insert(hash, place);
        if forbids {
            self.forbids.push_back(place);
        }
        self.past.push_back(Past { hash, subject: subject.clone(), at: now });
        if self.past.len() > MOST_PAST {
            if let Some(first) = self.past.pop_front() {
                if self.places.get(&first.hash) == Some(&self.forgotten) {
                    self.places.remove(&first.hash);
                }
                self.forgotten += 1;
            }
            if self.forbids.front().is_some_and(|place| *place < self.forgotten) {
                self.forbids.pop_front();
            }
        }
        self.content.put(subject.clone(), fact);
        true
    }

    /// Where what has changed since the content had that hash begins, if that is remembered; counted from the very first.
    fn place(&self, hash: u64) -> Option<usize> {
        match hash {
            _ if hash == self.hash() => Some(self.forgotten + self.past.len()),
            _ => self.places.get(&hash).copied(),
        }
    }

    /// From which hash on, and what whoever has that content lacks; from nothing on where that is not remembered.
    pub fn since(&self, hash: u64) -> (u64, Vec<FactChange>) {
        let Some(place) = self.place(hash) else {
            let all = self.facts().iter().map(|(subject, fact)| (subject.clone(), Some(fact.clone())));
            return (0, all.collect());
        };
        let after = self.past.range(place - self.forgotten..);
        let mut subjects: Vec<&Subject> = after.map(|past| &past.subject).collect();
        subjects.sort_unstable();
        subjects.dedup();
        let changes =
            subjects.iter().map(|subject| ((*subject).clone(), self.facts().get(*subject).cloned()));
        (hash, changes.collect())
    }

    /// For how long whoever has the content of that hash lacks something that forbids; none if that can't be told.
    pub fn behind(&self, hash: u64, now: Micros) -> Option<Micros> {
        match self.place(hash) {
            Some(place) => {
                let first = self.forbids.partition_point(|forbids| *forbids < place);
                let since = self.forbids.get(first).map(|place| self.past[place - self.forgotten].at);
                Some(since.map_or(Micros(0), |since| now - since))
            }
            None if self.forbidding > 0 => None,
            None => Some(Micros(0)),
        }
    }
}

/// Of each subject the most that is said by any.
pub fn most<'a>(all: impl Iterator<Item = &'a Facts>) -> BTreeMap<&'a Subject, &'a Fact> {
    let mut most: BTreeMap<&Subject, &Fact> = BTreeMap::new();
    for (subject, fact) in all.flatten() {
        let known = most.entry(subject).or_insert(fact);
        *known = (*known).max(fact);
    }
    most
}
