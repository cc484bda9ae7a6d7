//! When each trouble happens and to whom, drawn from the seed: three lanes, each of which has one trouble after another.
use super::trouble::Trouble;
use super::Plan;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Troubles at a time.
const LANES: usize = 3;
/// How long a trouble lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 300..1_300;
/// How long a lane rests between two, in milliseconds.
const REST_MS: std::ops::Range<u64> = 10..120;
/// How long all lanes have the same target, in milliseconds.
const FOCUS_MS: u64 = 2_000;
/// In how many of ten cases a trouble concerns the target of its time.
const FOCUSED: u64 = 7;

/// How many there are of what troubles happen to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shape {
    /// Groups of processes with servers and a discovery of their own.
    pub groups: usize,
    /// Processes of each group.
    pub processes: usize,
    /// Servers of each group.
    pub servers: usize,
}

/// To whom a trouble happens: it concerns the part of these that its kind is about.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Target {
    /// The group.
    pub group: usize,
    /// A process of it.
    pub process: usize,
    /// A server of it.
    pub server: usize,
}

/// One trouble.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Entry {
    /// When it begins, from the start.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// What it is.
    pub trouble: Trouble,
    /// To whom it happens.
    pub target: Target,
    /// What else is left to chance.
    pub chance: u64,
}

impl Entry {
    fn end(&self) -> Duration {
        self.at + self.length
    }

    fn overlaps(&self, other: &Entry) -> bool {
        self.at < other.end() && other.at < self.end()
    }
}

/// All troubles of a play, by when they begin.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Timetable {
    /// In their order.
    pub entries: Vec<Entry>,
}

impl Timetable {
    /// The one of that seed.
    pub fn draw(plan: &Plan, shape: &Shape) -> Timetable {
        let mut chance = WyRand::new_seed(plan.seed);
        let kinds: Vec<Trouble> =
            Trouble::ALL.iter().copied().filter(|kind| !plan.without.contains(kind)).collect();
        let end = plan.length.as_millis() as u64;
        let target = |chance: &mut WyRand| Target {
            group: chance.generate_range(0..shape.groups),
            process: chance.generate_range(0..shape.processes),
            server: chance.generate_range(0..shape.servers),
        };
        let focuses: Vec<Target> = (0..=end / FOCUS_MS).map(|_| target(&mut chance)).collect();
        let mut entries = Vec::new();
        for lane in 0..LANES {
            let mut at = 50 * lane as u64;
            while at < end && !kinds.is_empty() {
                // Drawn whether or not it is used: kinds that are left out leave the rest in their places.
                let length = chance.generate_range(LENGTH_MS).min(end - at);
                let trouble = Trouble::ALL[chance.generate_range(0..Trouble::ALL.len())];
                let elsewhere = target(&mut chance);
                let focused = chance.generate_range(0..10_u64) < FOCUSED;
                let target = if focused { focuses[(at / FOCUS_MS) as usize] } else { elsewhere };
                let rest = chance.generate_range(REST_MS);
                let more = chance.generate();
                if kinds.contains(&trouble) {
                    entries.push(Entry {
                        at: Duration::from_millis(at),
                        length: Duration::from_millis(length),
                        trouble,
                        target,
                        chance: more,
                    });
                }
                at += length + rest;
            }
        }
        entries.sort_by_key(|entry| entry.at);
        Timetable { entries }
    }

    /// How often each two kinds overlapped.
    pub fn pairs(&self) -> BTreeMap<(Trouble, Trouble), usize> {
        let mut pairs = BTreeMap::new();
        for (at, one) in self.entries.iter().enumerate() {
            let others = self.entries[at + 1..].iter().filter(|other| one.overlaps(other));
            for other in others {
                let pair = (one.trouble.min(other.trouble), one.trouble.max(other.trouble));
                *pairs.entry(pair).or_insert(0) += 1;
            }
        }
        pairs
    }
}
