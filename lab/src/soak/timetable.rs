//! Draws from the seed when each trouble happens and to which target. Three lanes run in parallel; each lane
//! has one trouble after another.
use super::trouble::Trouble;
use super::Plan;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Troubles that run at the same time.
const LANES: usize = 3;
/// Duration of a trouble, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..1_300;
/// Pause between two troubles of a lane, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 10..120;
/// All lanes share a focus target for this long, in milliseconds, so that several troubles hit it together.
const FOCUS_PERIOD_MS: u64 = 2_000;
/// In how many of ten cases a trouble hits the focus target instead of one of its own.
const FOCUSED_TENTHS: u64 = 7;

/// The number of groups, processes and servers that troubles choose from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FleetSize {
    /// Groups of processes, each with servers and a discovery of its own.
    pub groups: usize,
    /// Processes per group.
    pub processes: usize,
    /// Servers per group.
    pub servers: usize,
}

/// The target of a trouble. Each kind uses only the fields that apply to it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Target {
    /// Index of the group.
    pub group: usize,
    /// Index of the process in its group.
    pub process: usize,
    /// Index of the server in its group.
    pub server: usize,
}

/// A scheduled trouble.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Entry {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The kind of trouble.
    pub trouble: Trouble,
    /// What it hits.
    pub target: Target,
    /// A random number for the details of the trouble.
    pub random: u64,
}

impl Entry {
    fn end(&self) -> Duration {
        self.at + self.duration
    }

    fn overlaps(&self, other: &Entry) -> bool {
        self.at < other.end() && other.at < self.end()
    }
}

/// All troubles of a run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Timetable {
    /// Ordered by when they begin.
    pub entries: Vec<Entry>,
}

impl Timetable {
    /// Draws the timetable of the plan's seed.
    pub fn draw(plan: &Plan, size: &FleetSize) -> Timetable {
        let mut rng = WyRand::new_seed(plan.seed);
        let kinds: Vec<Trouble> =
            Trouble::ALL.iter().copied().filter(|kind| !plan.excluded.contains(kind)).collect();
        let end = plan.duration.as_millis() as u64;
        let target = |rng: &mut WyRand| Target {
            group: rng.generate_range(0..size.groups),
            process: rng.generate_range(0..size.processes),
            server: rng.generate_range(0..size.servers),
        };
        let focus_targets: Vec<Target> = (0..=end / FOCUS_PERIOD_MS).map(|_| target(&mut rng)).collect();
        let mut entries = Vec::new();
        for lane in 0..LANES {
            let mut at = 50 * lane as u64;
            while at < end && !kinds.is_empty() {
                // All values are drawn even for an excluded kind, so that excluding it does not change the
                // other entries.
                let duration = rng.generate_range(DURATION_MS).min(end - at);
                let trouble = Trouble::ALL[rng.generate_range(0..Trouble::ALL.len())];
                let own_target = target(&mut rng);
                let focused = rng.generate_range(0..10_u64) < FOCUSED_TENTHS;
                let target =
                    if focused { focus_targets[(at / FOCUS_PERIOD_MS) as usize] } else { own_target };
                let gap = rng.generate_range(GAP_MS);
                let random = rng.generate();
                if kinds.contains(&trouble) {
                    entries.push(Entry {
                        at: Duration::from_millis(at),
                        duration: Duration::from_millis(duration),
                        trouble,
                        target,
                        random,
                    });
                }
                at += duration + gap;
            }
        }
        entries.sort_by_key(|entry| entry.at);
        Timetable { entries }
    }

    /// How often each pair of kinds overlapped.
    pub fn overlapping_pairs(&self) -> BTreeMap<(Trouble, Trouble), usize> {
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
