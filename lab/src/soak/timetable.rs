//! Draws from the seed when each disruption happens and to which target. Several lanes run in parallel; each
//! lane has one disruption after another.
use super::disruption::{Disruption, FIRST_KINDS};
use super::Plan;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lanes that draw from the first [`FIRST_KINDS`].
const LANES: usize = 3;
/// Lanes that draw from the kinds after these, with a random generator of their own.
const LATER_LANES: usize = 2;
/// Sets the seed of the later lanes apart from that of the first ones.
const LATER_SEED: u64 = 0x5EED_0002;
/// Duration of a disruption, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..1_300;
/// Pause between two disruptions of a lane, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 10..120;
/// The same for the later lanes, so that three disruptions at a time remain usual.
const LATER_GAP_MS: std::ops::Range<u64> = 400..1_600;
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

impl FleetSize {
    fn draw_target(&self, rng: &mut WyRand) -> Target {
        Target {
            group: rng.generate_range(0..self.groups),
            process: rng.generate_range(0..self.processes),
            server: rng.generate_range(0..self.servers),
        }
    }
}

/// A lane of a timetable.
struct Lane {
    kinds: &'static [Disruption],
    start_ms: u64,
    gap_ms: std::ops::Range<u64>,
}

impl Lane {
    /// Draws the entries of the lane.
    fn draw(
        self, plan: &Plan, size: &FleetSize, focus_targets: &[Target], rng: &mut WyRand,
        entries: &mut Vec<Entry>,
    ) {
        let (mut start_ms, end_ms) = (self.start_ms, plan.duration.as_millis() as u64);
        while start_ms < end_ms {
            // All values are drawn even for an excluded kind, so that excluding it does not change the
            // other entries.
            let duration_ms = rng.generate_range(DURATION_MS).min(end_ms - start_ms);
            let disruption = self.kinds[rng.generate_range(0..self.kinds.len())];
            let own_target = size.draw_target(rng);
            let focused = rng.generate_range(0..10_u64) < FOCUSED_TENTHS;
            let target =
                if focused { focus_targets[(start_ms / FOCUS_PERIOD_MS) as usize] } else { own_target };
            let gap_ms = rng.generate_range(self.gap_ms.clone());
            let random = rng.generate();
            if !plan.excluded.contains(&disruption) {
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
        let end_ms = plan.duration.as_millis() as u64;
        let focus_targets: Vec<Target> =
            (0..=end_ms / FOCUS_PERIOD_MS).map(|_| size.draw_target(&mut rng)).collect();
        let (first_kinds, later_kinds) = Disruption::ALL.split_at(FIRST_KINDS);
        let mut entries = Vec::new();
        for lane in 0..LANES {
            let lane = Lane { kinds: first_kinds, start_ms: 50 * lane as u64, gap_ms: GAP_MS };
            lane.draw(plan, size, &focus_targets, &mut rng, &mut entries);
        }
        let mut rng = WyRand::new_seed(plan.seed ^ LATER_SEED);
        for _ in 0..LATER_LANES {
            let start_ms = rng.generate_range(LATER_GAP_MS);
            let lane = Lane { kinds: later_kinds, start_ms, gap_ms: LATER_GAP_MS };
            lane.draw(plan, size, &focus_targets, &mut rng, &mut entries);
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
