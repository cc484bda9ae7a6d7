//! One that grants leases, and lets a version hold once no lease stands in its way. It forgets all at a new start.
use crate::{Holder, Micros, Version, Word, MOST_WAITING, UNEVEN};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, PartialEq, Eq, Debug)]
struct Lease {
    turn: u64,
    until: Micros,
    knows: BTreeSet<Version>,
    refuses: BTreeSet<Version>,
}

impl Lease {
    /// Whoever holds it keeps to that version, or to a later one.
    fn keeps_to(&self, version: Version) -> bool {
        self.knows.contains(&version) || self.knows.first().is_some_and(|first| *first > version)
    }
}

/// For whom a version that does not hold yet waits.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Waiting {
    pub holder: Holder,
    pub until: Micros,
    /// It can't take that version, and stands in its way for as long as it lives.
    pub refuses: bool,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Keeper {
    /// From when on it grants and clears: leases of its earlier life have run out by then.
    awake: Micros,
    /// How long it counts a lease: longer than whoever holds it does.
    span: Micros,
    documents: BTreeMap<Version, Arc<str>>,
    cleared: Option<Version>,
    leases: BTreeMap<Holder, Lease>,
}

impl Keeper {
    /// `within` is how long a member counts a lease.
    pub fn new(now: Micros, within: Micros) -> Keeper {
        let span = within.times(1.0 + UNEVEN);
        // Guards against clearing what a lease that this keeper granted before it was started again stands against.
        Keeper { awake: now + span, span, documents: BTreeMap::new(), cleared: None, leases: BTreeMap::new() }
    }

    pub fn on(&mut self, now: Micros, from: Holder, word: Word, out: &mut Vec<(Holder, Word)>) {
        match word {
            Word::Ask { turn, knows, refuses } => {
                self.ask(now, from, (turn, knows.into_iter().collect(), refuses.into_iter().collect()), out)
            }
            Word::Documents(documents) => {
                let before = self.documents.len();
                for (version, text) in documents {
                    if self.wants(version) && self.documents.len() < MOST_WAITING {
                        self.documents.insert(version, text);
                    }
                }
                if self.documents.len() > before {
                    self.tell(now, out);
                }
            }
            // Only a member is told these.
            Word::Grant { .. } | Word::Want(_) | Word::News => {}
        }
        self.clear(now, out);
    }

    /// To be called at [`Keeper::due`], or any time.
    pub fn woke(&mut self, now: Micros, out: &mut Vec<(Holder, Word)>) {
        self.clear(now, out);
    }

    /// When something may hold without a word from anybody.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let pending = self.documents.keys().any(|version| Some(*version) > self.cleared);
        let ends = self.leases.values().map(|lease| lease.until).chain([self.awake]);
        ends.filter(|end| pending && *end > now).min()
    }

    pub fn cleared(&self) -> Option<Version> {
        self.cleared
    }

    /// The latest version that does not hold yet, and those for whom it waits.
    pub fn pending(&self, now: Micros) -> Option<(Version, Vec<Waiting>)> {
        let version = *self.documents.keys().next_back().filter(|version| Some(**version) > self.cleared)?;
        let in_the_way =
            self.leases.iter().filter(|(_, lease)| lease.until > now && !lease.keeps_to(version));
        let waiting = in_the_way.map(|(holder, lease)| Waiting {
            holder: *holder,
            until: lease.until,
            refuses: lease.refuses.contains(&version),
        });
        Some((version, waiting.collect()))
    }

    /// Each lease that lives, until when, and what its holder knows.
    pub fn leases(&self) -> impl Iterator<Item = (Holder, Micros, impl Iterator<Item = &Version>)> {
        self.leases.iter().map(|(holder, lease)| (*holder, lease.until, lease.knows.iter()))
    }

    /// A version that may come to hold here, and is not known yet.
    fn wants(&self, version: Version) -> bool {
        let later = self.cleared.is_none_or(|cleared| version > cleared && version.place() > cleared.place());
        later && !self.documents.contains_key(&version)
    }

    fn ask(
        &mut self, now: Micros, from: Holder, asked: (u64, BTreeSet<Version>, BTreeSet<Version>),
        out: &mut Vec<(Holder, Word)>,
    ) {
        let (turn, knows, refuses) = asked;
        // Guards against an ask that comes late, or twice, by which its sender would know less or more than it does.
        if self.leases.get(&from).is_some_and(|lease| lease.turn >= turn) {
            return;
        }
        // Guards against asking again and again for what there is no room for.
        let room = MOST_WAITING.saturating_sub(self.documents.len());
        let wanted: Vec<Version> =
            knows.iter().copied().filter(|version| self.wants(*version)).take(room).collect();
        if !wanted.is_empty() {
            out.push((from, Word::Want(wanted)));
        }
        let lacking = self.documents.iter().filter(|(version, _)| {
            let above = knows.first().is_some_and(|first| first > version);
            !knows.contains(version) && !refuses.contains(version) && !above
        });
        let lacking: Vec<_> = lacking.map(|(version, text)| (*version, text.clone())).collect();
        let cleared = self.cleared.filter(|cleared| knows.contains(cleared));
        // Guards against renewing for ever what a later version waits for: whoever lacks it learns it first.
        let granted = cleared.filter(|_| lacking.is_empty() && now >= self.awake);
        if !lacking.is_empty() {
            out.push((from, Word::Documents(lacking)));
        }
        let until = granted.map(|_| now + self.span);
        match self.leases.get_mut(&from) {
            Some(lease) => {
                (lease.turn, lease.knows, lease.refuses) = (turn, knows, refuses);
                lease.until = until.unwrap_or(lease.until);
            }
            None => {
                if let Some(until) = until {
                    self.leases.insert(from, Lease { turn, until, knows, refuses });
                }
            }
        }
        out.extend(granted.map(|cleared| (from, Word::Grant { turn, cleared })));
    }

    /// Lets the latest version hold against which no lease stands.
    fn clear(&mut self, now: Micros, out: &mut Vec<(Holder, Word)>) {
        self.leases.retain(|_, lease| lease.until > now);
        if now < self.awake {
            return;
        }
        let later = self.documents.keys().rev().take_while(|version| Some(**version) > self.cleared);
        let free = |version: &&Version| {
            // Guards against one of two contents under one number winning by chance.
            let twins = self.documents.keys().filter(|other| other.place() == version.place());
            twins.count() == 1 && self.leases.values().all(|lease| lease.keeps_to(**version))
        };
        let Some(version) = { later }.find(free).copied() else { return };
        self.cleared = Some(version);
        self.documents = self.documents.split_off(&version);
        self.tell(now, out);
    }

    fn tell(&self, now: Micros, out: &mut Vec<(Holder, Word)>) {
        let live = self.leases.iter().filter(|(_, lease)| lease.until > now);
        out.extend(live.map(|(holder, _)| (*holder, Word::News)));
    }
}
