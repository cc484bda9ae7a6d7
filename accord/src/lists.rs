//! What an instance knows of servers: by its own list, by marks at its console, and by what keepers tell of the others.
use crate::facts::{most, Content, Fact, FactChange, Facts, Ledger, Subject, MAX_FACTS};
use crate::names::Names;
use crate::{InstanceId, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// What the own list tells: whole, or what has changed; no entries if it is there, and nothing has.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    /// What its writer numbers it.
    pub index: u64,
    pub snapshot: bool,
    /// Of a server that has left, none.
    pub entries: Vec<(Arc<str>, Option<Fact>)>,
}

/// Servers that left a list and are remembered as gone.
const MOST_GONE: usize = 1_024;
/// Changes of the names on a list that are remembered until a majority of keepers tells by them.
const MOST_NAMINGS: usize = 8;
/// Marks that stand at a time, and returns that are remembered.
const MOST_MARKS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Heard {
    content: Content,
    /// What it was numbered by that keeper.
    number: u64,
    /// When that keeper last said anything.
    at: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// Whether who may be sent to is passed on as well, and not only who may not.
    pub whole: bool,
    index: u64,
    own: BTreeMap<Arc<str>, Fact>,
    /// Those of them that have left, in that order.
    gone: VecDeque<Arc<str>>,
    says: Ledger,
    /// Whether it hears of those servers alone that its own list names.
    pub subscribes: bool,
    /// Those, and how often they have changed; and by that number those of earlier times from the one on by which a
    /// majority of keepers tells.
    names: Names,
    naming: u64,
    told_by: BTreeMap<u64, Names>,
    heard: BTreeMap<InstanceId, Heard>,
    /// The most that any keeper tells.
    view: Facts,
    full: bool,
}

impl Lists {
    /// What it says itself.
    pub fn says(&self) -> &Ledger {
        &self.says
    }

    /// The hash of what was heard from that keeper, and how it numbered that.
    pub fn heard_of(&self, keeper: InstanceId) -> (u64, u64) {
        self.heard.get(&keeper).map_or((0, 0), |heard| (heard.content.hash(), heard.number))
    }

    /// Servers to which nothing new may go, by others, and the life of theirs for which that was said.
    pub fn out(&self) -> BTreeMap<&Arc<str>, u64> {
        let mut out = BTreeMap::new();
        let said = self.view.iter().chain(self.says.facts().iter().filter(|(_, fact)| !fact.first_hand));
        for (subject, fact) in said.filter(|(_, fact)| fact.excluded) {
            if let Subject::Server(name) = subject {
                let since = out.entry(name).or_insert(fact.since);
                *since = fact.since.max(*since);
            }
        }
        out
    }

    /// Servers on its list of which a majority of keepers does not tell yet, or may not by a lease that was asked for since;
    /// and the life of theirs that is listed.
    pub fn untold(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let told =
            |name: &str| !self.told_by.is_empty() && self.told_by.values().all(|names| names.contains(name));
        let untold = self.own.iter().filter(move |(name, _)| self.subscribes && !told(name));
        untold.map(|(name, own)| (name, own.since))
    }

    /// Whether keepers tell by those names, or by later ones.
    pub fn tells_by(&self, naming: u64) -> bool {
        self.told_by.first_key_value().is_none_or(|(first, _)| *first <= naming)
    }

    /// The hash of the names on its list, where it hears of those alone, and how often they have changed.
    pub fn named(&self) -> (Option<u64>, u64) {
        // Who names more than a keeper takes hears of all.
        let takes = self.subscribes && self.names.len() <= MAX_FACTS;
        (takes.then(|| self.names.hash()), self.naming)
    }

    /// What must be said for a keeper to know those names, which knows some.
    pub fn names_beyond(&self, have: u64) -> (u64, Vec<Arc<str>>, Vec<Arc<str>>) {
        let known = self.told_by.values().find(|names| names.hash() == have);
        let base = known.cloned().unwrap_or_default();
        let (more, fewer) = self.names.beyond(&base);
        (base.hash(), more, fewer)
    }

    /// By these names, and no earlier ones, a majority of keepers tells from now on; false if that was so.
    pub fn told_by(&mut self, naming: u64) -> bool {
        let before = self.told_by.first_key_value().map(|(first, _)| *first);
        if self.told_by.contains_key(&naming) {
            self.told_by = self.told_by.split_off(&naming);
        }
        self.told_by.first_key_value().map(|(first, _)| *first) != before
    }

    /// Servers as others' lists word them, where this instance's own does not name them in that life.
    pub fn unknown(&self) -> impl Iterator<Item = &Arc<str>> {
        let told = self.view.iter().filter(|(subject, fact)| {
            let known = self.own.get(subject.name()).is_some_and(|own| own.since >= fact.since);
            matches!(subject, Subject::Server(_)) && !fact.excluded && !known
        });
        told.filter_map(|(_, fact)| fact.entry.as_ref())
    }

    /// Takes what the own list tells. Whether it says something else by it, and whether it names others.
    pub fn listed(&mut self, now: Micros, listed: ListUpdate) -> (bool, bool) {
        let named = self.names.hash();
        let (before, later, moved) = (
            self.says.hash(),
            listed.index > self.index,
            listed.index != self.index || listed.entries.is_empty(),
        );
        self.index = listed.index;
        let names = || listed.entries.iter().map(|(name, _)| name.clone());
        let there: Option<BTreeSet<Arc<str>>> = listed.snapshot.then(|| names().collect());
        for (name, fact) in listed.entries {
            match fact {
                Some(fact) => {
                    if self.own.get(&name).is_some_and(|known| known.excluded) {
                        self.gone.retain(|gone| *gone != name);
                    }
                    self.names.add(name.clone());
                    self.own.insert(name.clone(), fact);
                    self.say_of(now, &name);
                }
                None => self.leave(now, &name),
            }
        }
        if let Some(there) = there {
            let missing = self.own.keys().filter(|name| !there.contains(*name) && !self.gone.contains(*name));
            let missing: Vec<Arc<str>> = missing.cloned().collect();
            for name in missing {
                // Guards against a list that begins anew, and names nobody yet, taking servers from all.
                if later {
                    self.leave(now, &name);
                } else {
                    self.own.remove(&name);
                    self.names.remove(&name);
                    self.say_of(now, &name);
                }
            }
        }
        // What was taken over from one who says it no more is over once the own list goes on without it, or has nothing new.
        let over = self.says.facts().iter().filter(|(subject, fact)| {
            !fact.first_hand && !self.view.get(*subject).is_some_and(|told| told.first_hand)
        });
        let over: Vec<Arc<str>> = over.map(|(subject, _)| subject.name().clone()).collect();
        over.iter().filter(|_| moved).for_each(|name| self.say_of(now, name));
        let renamed = self.subscribes && self.names.hash() != named;
        if renamed {
            self.rename();
        }
        (self.says.hash() != before, renamed)
    }

    /// Its list names others from now on.
    fn rename(&mut self) {
        self.naming += 1;
        // Before the first they tell of nothing.
        if self.told_by.is_empty() {
            self.told_by.insert(0, Names::default());
        }
        self.told_by.insert(self.naming, self.names.clone());
        // Guards against a list that changes on while no keeper answers; that by which they tell stays.
        if self.told_by.len() > MOST_NAMINGS {
            let mut between = self.told_by.keys().copied().skip(1);
            if let (Some(second), Some(third)) = (between.next(), between.next()) {
                // What either lacks is not told by both.
                let less = self.told_by.remove(&third).unwrap_or_default();
                self.told_by.entry(second).and_modify(|names| names.keep_those_of(&less));
            }
        }
    }

    /// A server has left the own list: nothing new goes to it, as to one that drains.
    fn leave(&mut self, now: Micros, name: &Arc<str>) {
        let Some(fact) = self.own.get_mut(name) else { return };
        fact.excluded = true;
        if !self.gone.contains(name) {
            self.gone.push_back(name.clone());
        }
        self.say_of(now, name);
        if self.gone.len() > MOST_GONE {
            let Some(oldest) = self.gone.pop_front() else { return };
            self.own.remove(&oldest);
            self.names.remove(&oldest);
            self.say_of(now, &oldest);
        }
    }

    /// Says of a server what the own list does.
    fn say_of(&mut self, now: Micros, name: &Arc<str>) {
        let own = self.own.get(name).filter(|fact| fact.excluded || self.whole);
        let said = own.map(|fact| Fact {
            entry: fact.entry.clone().filter(|_| self.whole && !fact.excluded),
            ..fact.clone()
        });
        self.say(now, &Subject::Server(name.clone()), said);
    }

    fn say(&mut self, now: Micros, subject: &Subject, fact: Option<Fact>) -> bool {
        let fresh = fact.is_some() && !self.says.facts().contains_key(subject);
        let full = fresh && self.says.facts().len() >= MAX_FACTS;
        self.full |= full;
        !full && self.says.set(now, subject, fact)
    }

    /// Whether something that it might have said found no room.
    pub fn full(&self) -> bool {
        self.full
    }

    /// Takes a mark that was set by hand here, or heard of; false if one as late is known.
    pub fn marked(&mut self, now: Micros, name: &Arc<str>, out: bool, at: u64) -> bool {
        let fact = Fact { since: at, excluded: out, first_hand: true, entry: None };
        let subject = Subject::Maintenance(name.clone());
        if self.says.facts().get(&subject).is_some_and(|known| *known >= fact) {
            return false;
        }
        let marks = |(subject, _): &(&Subject, &Fact)| matches!(subject, Subject::Maintenance(_));
        if self.says.facts().iter().filter(marks).count() >= MOST_MARKS {
            let back = self.says.facts().iter().filter(marks).filter(|(_, fact)| !fact.excluded);
            let oldest = back.min_by_key(|(_, fact)| fact.since).map(|(subject, _)| subject.clone());
            oldest.map(|oldest| self.says.set(now, &oldest, None));
        }
        self.say(now, &subject, Some(fact))
    }

    /// Takes what a keeper tells; false if that can't be taken.
    pub fn hear(&mut self, from: InstanceId, number: u64, told: (u64, u64, Vec<FactChange>)) -> bool {
        let heard = self.heard.entry(from).or_default();
        let late = number <= heard.number;
        heard.number = heard.number.max(number);
        !late && heard.content.follow(told.0, told.1, told.2)
    }

    /// Looks at what keepers tell. Gives the marks that are news if anything has changed.
    pub fn look(&mut self, now: Micros) -> Option<Vec<(Arc<str>, Fact)>> {
        let most = most(self.heard.values().map(|heard| heard.content.facts()));
        let view: Facts = most.into_iter().map(|(subject, fact)| (subject.clone(), fact.clone())).collect();
        if view == self.view {
            return None;
        }
        let before = std::mem::replace(&mut self.view, view);
        let (mut marks, mut taken_over) = (Vec::new(), Vec::new());
        for (subject, fact) in &self.view {
            match subject {
                Subject::Maintenance(name) => marks.push((name.clone(), fact.clone())),
                // Guards against what only one knew being lost with it: each who hears of it says it on, at second hand.
                Subject::Server(name) if fact.excluded && fact.first_hand => {
                    let told =
                        before.get(subject).is_some_and(|told| told.excluded && told.since >= fact.since);
                    let own = self.own.get(name);
                    let later = own.is_some_and(|own| (own.since, own.excluded) >= (fact.since, true));
                    if !told && !later {
                        taken_over.push((subject.clone(), fact.since));
                    }
                }
                Subject::Server(_) => {}
            }
        }
        for (subject, since) in taken_over {
            self.say(now, &subject, Some(Fact { since, excluded: true, first_hand: false, entry: None }));
        }
        marks.retain(|(name, fact)| self.marked(now, name, fact.excluded, fact.since));
        Some(marks)
    }

    /// A keeper has said something.
    pub fn spoke(&mut self, now: Micros, keeper: InstanceId) {
        self.heard.entry(keeper).or_default().at = now;
    }

    /// Forgets what a keeper told that has said nothing for as long as a lease lives; false if there is none.
    pub fn forget_silent(&mut self, now: Micros, within: Micros) -> bool {
        let silent = |heard: &&mut Heard| heard.at + within <= now && heard.content.hash() != 0;
        let forgotten = self.heard.values_mut().filter(silent);
        forgotten.map(|heard| heard.content = Content::default()).count() > 0
    }
}
