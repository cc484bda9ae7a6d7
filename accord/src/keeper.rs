//! One that grants leases, and lets a version hold once no lease stands in its way. It forgets all at a new start.
use crate::facts::{most, Change, Content, Fact, Facts, Ledger, Subject, MOST_FACTS};
use crate::{Holder, Micros, Version, Word, MOST_WAITING, UNEVEN};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Lease {
    pub(crate) until: Micros,
    pub(crate) knows: BTreeSet<Version>,
    pub(crate) refuses: BTreeSet<Version>,
}

impl Lease {
    /// Whoever holds it keeps to that version, or to a later one.
    fn keeps_to(&self, version: Version) -> bool {
        self.knows.contains(&version) || self.knows.first().is_some_and(|first| *first > version)
    }
}

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

/// What one asks with.
struct Asked {
    turn: u64,
    knows: BTreeSet<Version>,
    refuses: BTreeSet<Version>,
    says: u64,
    heard: u64,
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
    pub(crate) awake: Micros,
    /// How long it counts a lease: longer than whoever holds it does.
    span: Micros,
    pub(crate) documents: BTreeMap<Version, Arc<str>>,
    pub(crate) cleared: Option<Version>,
    pub(crate) leases: BTreeMap<Holder, Lease>,
    pub(crate) says: BTreeMap<Holder, Says>,
    /// What is said, by its hash: most say the same.
    said: BTreeMap<u64, Content>,
    /// The most that any says of each server.
    ledger: Ledger,
    /// Numbers what is told of servers, over all lives of this keeper.
    told: u64,
}

impl Keeper {
    /// `within` is how long a member counts a lease.
    pub fn new(now: Micros, within: Micros) -> Keeper {
        let span = within.times(1.0 + UNEVEN);
        // Guards against clearing what a lease that this keeper granted before it was started again stands against.
        Keeper {
            awake: now + span,
            span,
            documents: BTreeMap::new(),
            cleared: None,
            leases: BTreeMap::new(),
            says: BTreeMap::new(),
            said: BTreeMap::new(),
            ledger: Ledger::default(),
            told: 0,
        }
    }

    pub fn on(&mut self, now: Micros, from: Holder, word: Word, out: &mut Vec<(Holder, Word)>) {
        match word {
            Word::Ask { turn, knows, refuses, says, heard, after } => {
                // Guards against a keeper that starts again with its clock behind: none would hear it.
                self.told = self.told.max(after);
                let (knows, refuses) = (knows.into_iter().collect(), refuses.into_iter().collect());
                self.ask(now, from, Asked { turn, knows, refuses, says, heard }, out)
            }
            Word::Says { from: base, to, changes, .. } => self.take(from, (base, to), changes),
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
            Word::Grant { .. } | Word::Want(_) | Word::News | Word::Lacks { .. } => {}
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

    fn ask(&mut self, now: Micros, from: Holder, asked: Asked, out: &mut Vec<(Holder, Word)>) {
        let Asked { turn, knows, refuses, says, heard } = asked;
        // Guards against an ask that comes late, or twice, by which its sender would know less or more than it does.
        if self.says.get(&from).is_some_and(|says| says.turn >= turn) {
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
        // Guards against a lease for one who has heard what is not known here: others' leases must wait for that.
        let said = self.hears(now, (from, turn), (says, heard), out);
        let behind = self.ledger.behind(heard, now).filter(|behind| *behind < self.span && said);
        let granted = granted.zip(behind);
        if !lacking.is_empty() {
            out.push((from, Word::Documents(lacking)));
        }
        let until = granted.map(|_| now + self.span);
        match self.leases.get_mut(&from) {
            Some(lease) => {
                (lease.knows, lease.refuses) = (knows, refuses);
                lease.until = until.unwrap_or(lease.until);
            }
            None => {
                if let Some(until) = until {
                    self.leases.insert(from, Lease { until, knows, refuses });
                }
            }
        }
        let grant = |(cleared, behind): (Version, Micros)| Word::Grant { turn, cleared, behind: behind.0 };
        out.extend(granted.map(|granted| (from, grant(granted))));
    }

    /// Takes which content one who asks says, and tells it what it lacks; false if that content is not known here.
    fn hears(
        &mut self, now: Micros, (from, turn): (Holder, u64), (hash, heard): (u64, u64),
        out: &mut Vec<(Holder, Word)>,
    ) -> bool {
        let until = now + self.span;
        let known = hash == 0 || self.said.contains_key(&hash);
        let (before, offered) = self.says.get(&from).map_or((0, 0), |says| (says.hash, says.offered));
        let hash = if known { hash } else { before };
        self.says.insert(from, Says { turn, hash, offered, heard, until });
        if !known {
            out.push((from, Word::Lacks { have: before }));
        }
        if hash != before {
            self.weigh(now, out);
        }
        if heard != self.ledger.hash() {
            self.tell_facts(now, from, out);
        }
        known
    }

    /// Takes what one says of servers, as it follows from what it said before.
    fn take(&mut self, from: Holder, (base, to): (u64, u64), changes: Vec<Change>) {
        let base = if base == 0 { Some(Content::default()) } else { self.said.get(&base).cloned() };
        let (Some(mut content), Some(says)) = (base, self.says.get_mut(&from)) else { return };
        content.take(changes);
        // Whoever says something else than it means to is asked again.
        // What is told late must not undo what was asked with since: it counts once it is asked with.
        if content.facts().len() <= MOST_FACTS && content.hash() == to {
            says.offered = to;
            self.said.insert(to, content);
        }
    }

    /// Weighs anew what all say, and tells what has changed by it to all who ask here.
    fn weigh(&mut self, now: Micros, out: &mut Vec<(Holder, Word)>) {
        let Keeper { says, said, ledger, .. } = self;
        let in_use: BTreeSet<u64> = says.values().map(|says| says.hash).collect();
        let offered: BTreeSet<u64> = says.values().map(|says| says.offered).collect();
        said.retain(|hash, _| in_use.contains(hash) || offered.contains(hash));
        let most = most(in_use.iter().filter_map(|hash| said.get(hash)).map(Content::facts));
        let over = ledger.facts().keys().filter(|subject| !most.contains_key(subject));
        let mut changes: Vec<(Subject, Option<Fact>)> = over.map(|subject| (subject.clone(), None)).collect();
        let fresh = most.iter().filter(|(subject, fact)| ledger.facts().get(subject) != Some(fact));
        changes.extend(fresh.map(|(subject, fact)| ((*subject).clone(), Some((*fact).clone()))));
        let mut changed = false;
        for (subject, fact) in changes {
            // Guards against lists that have nothing in common.
            if fact.is_none() || ledger.facts().len() < 2 * MOST_FACTS {
                changed |= ledger.set(now, &subject, fact);
            }
        }
        if changed {
            let all: Vec<Holder> = self.says.keys().copied().collect();
            all.into_iter().for_each(|holder| self.tell_facts(now, holder, out));
        }
    }

    fn tell_facts(&mut self, now: Micros, holder: Holder, out: &mut Vec<(Holder, Word)>) {
        // Guards against one that starts again unsaying what it told in its earlier life, by which leases are held.
        let Some(says) = self.says.get_mut(&holder).filter(|_| now >= self.awake) else { return };
        let (from, changes) = self.ledger.since(says.heard);
        // If that is lost it says so when it asks again.
        says.heard = self.ledger.hash();
        self.told = self.told.max(now.0) + 1;
        out.push((holder, Word::Says { at: self.told, from, to: self.ledger.hash(), changes }));
    }

    /// What is said of servers here.
    pub fn facts(&self) -> &Facts {
        self.ledger.facts()
    }

    /// Lets the latest version hold against which no lease stands.
    fn clear(&mut self, now: Micros, out: &mut Vec<(Holder, Word)>) {
        self.leases.retain(|_, lease| lease.until > now);
        let before = self.says.len();
        self.says.retain(|_, says| says.until > now);
        if self.says.len() < before {
            self.weigh(now, out);
        }
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
