//! Draws from the seed when each disruption happens and to which target. Three lanes run in parallel; each
//! lane has one disruption after another.
use super::disruption::Disruption;
use super::Plan;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Disruptions that run at the same time.
const LANES: usize = 3;
/// Duration of a disruption, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..1_300;
/// Pause between two disruptions of a lane, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 10..120;
/// All lanes share a focus target for this long, in milliseconds, so that several disruptions hit it together.
const FOCUS_PERIOD_MS: u64 = 2_000;
/// In how many of ten cases a disruption hits the focus target instead of one of its own.
const FOCUSED_TENTHS: u64 = 7;

/// The number of groups, processes and servers that disruptions choose from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FleetSize {
    /// Groups of processes, each with servers and a discovery of its own.
    pub groups: usize,
    /// Processes per group.
    pub processes: usize,
    /// Servers per group.
    pub servers: usize,
}

/// The target of a disruption. Each kind uses only the fields that apply to it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Target {
    /// Index of the group.
    pub group: usize,
    /// Index of the process in its group.
    pub process: usize,
    /// Index of the server in its group.
    pub server: usize,
}

/// A scheduled disruption.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Entry {
    /// When it begins, from the start of the run.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The kind of disruption.
    pub disruption: Disruption,
    /// What it hits.
    pub target: Target,
    /// A random number for the details of the disruption.
    pub random: u64,
}

impl Entry {
    fn end(&self) -> Duration {
        self.start + self.duration
    }

    fn overlaps(&self, other: &Entry) -> bool {
        self.start < other.end() && other.start < self.end()
    }
}

/// All disruptions of a run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Timetable {
    /// Ordered by when they begin.
    pub entries: Vec<Entry>,
}

impl Timetable {
    /// Draws the timetable of the plan's seed.
    pub fn draw(plan: &Plan, size: &FleetSize) -> Timetable {
        let mut rng = WyRand::new_seed(plan.seed);
        let kinds: Vec<Disruption> =
            Disruption::ALL.iter().copied().filter(|kind| !plan.excluded.contains(kind)).collect();
        let end_ms = plan.duration.as_millis() as u64;
        let target = |rng: &mut WyRand| Target {
            group: rng.generate_range(0..size.groups),
            process: rng.generate_range(0..size.processes),
            server: rng.generate_range(0..size.servers),
        };
        let focus_targets: Vec<Target> = (0..=end_ms / FOCUS_PERIOD_MS).map(|_| target(&mut rng)).collect();
        let mut entries = Vec::new();
        for lane in 0..LANES {
            let mut start_ms = 50 * lane as u64;
            while start_ms < end_ms && !kinds.is_empty() {
                // All values are drawn even for an excluded kind, so that excluding it does not change the
                // other entries.
                let duration_ms = rng.generate_range(DURATION_MS).min(end_ms - start_ms);
                let disruption = Disruption::ALL[rng.generate_range(0..Disruption::ALL.len())];
                let own_target = target(&mut rng);
                let focused = rng.generate_range(0..10_u64) < FOCUSED_TENTHS;
                let target =
                    if focused { focus_targets[(start_ms / FOCUS_PERIOD_MS) as usize] } else { own_target };
                let gap_ms = rng.generate_range(GAP_MS);
                let random = rng.generate();
                if kinds.contains(&disruption) {
                    entries.push(Entry {
                        start: Duration::from_millis(start_ms),
                        duration: Duration::from_millis(duration_ms),
                        disruption,
                        target,
                        random,
                    });
                }
                start_ms += duration_ms + gap_ms;
            }
        }
        entries.sort_by_key(|entry| entry.start);
        Timetable { entries }
    }

    /// How often each pair of kinds overlapped.
    pub fn overlapping_pairs(&self) -> BTreeMap<(Disruption, Disruption), usize> {
        let mut pairs = BTreeMap::new();
        for (index, one) in self.entries.iter().enumerate() {
            let others = self.entries[index + 1..].iter().filter(|other| one.overlaps(other));
            for other in others {
                let pair = (one.disruption.min(other.disruption), one.disruption.max(other.disruption));
                *pairs.entry(pair).or_insert(0) += 1;
            }
        }
        pairs
    }
}
