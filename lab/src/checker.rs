//! Reads what servers and callers saw, and says for how long sidecars acted on rules that contradict each other.
//! The evidence is what a sidecar does: a hop that some versions of the settings allow and others forbid.
use crate::scene::{Action, Expectation, ListChange, Scene, WorkloadKind, SERVERS};
use std::collections::{BTreeMap, HashSet};

/// A hop as a server saw it.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    /// In seconds from the start of the load.
    pub at: f64,
    pub sidecar: usize,
    pub server: usize,
    pub workload: String,
    /// The call that it belongs to.
    pub id: String,
}

/// An answer as a caller saw it; no status where there was none.
#[derive(Clone, PartialEq, Debug)]
pub struct ResponseSeen {
    pub at: f64,
    pub sidecar: usize,
    pub status: Option<u16>,
}

/// How long a call may be open, and until one that is back takes calls again, in seconds.
const OPEN: f64 = 3.0;
const BACK: f64 = 1.0;

/// How long one sidecar did what a later version forbids after another had acted on that.
#[derive(Clone, PartialEq, Debug)]
pub struct Contradiction {
    pub duration_s: f64,
    pub later: (usize, u64),
    pub earlier: (usize, u64),
    pub workload: String,
}

/// The earliest and the latest version that allow a hop; none if no version does.
fn allowed(scene: &Scene, hop: &Attempt, repeat: bool) -> Option<(u64, u64)> {
    let allows = |workloads: &Vec<(String, WorkloadKind)>| {
        let offered = workloads.iter().find(|(name, _)| *name == hop.workload);
        offered.is_some_and(|(_, kind)| !repeat || *kind == WorkloadKind::ReadLike)
    };
    let mut by = scene.versions.iter().filter(|(_, workloads)| allows(workloads)).map(|(number, _)| *number);
    let first = by.next()?;
    Some((first, by.next_back().unwrap_or(first)))
}

/// The longest contradiction; a hop that no version allows is told as a fault.
pub fn longest_contradiction(scene: &Scene, hops: &[Attempt]) -> Result<Option<Contradiction>, String> {
    let mut hops: Vec<&Attempt> = hops.iter().collect();
    hops.sort_by(|one, other| one.at.total_cmp(&other.at));
    let mut seen: HashSet<&str> = HashSet::new();
    // Since when a version, or a later one, was acted on by each: whoever was the first may be the one that goes back.
    let mut since: BTreeMap<(u64, usize), f64> = BTreeMap::new();
    let mut longest: Option<Contradiction> = None;
    for hop in hops {
        let repeat = !seen.insert(&hop.id);
        let Some((earliest, latest)) = allowed(scene, hop, repeat) else {
            let what = if repeat { "a repeat" } else { "a hop" };
            return Err(format!(
                "{what} of {} by n{} at {:.3} s that no version allows",
                hop.workload, hop.sidecar, hop.at
            ));
        };
        let others = since.range((latest + 1, 0)..).filter(|((_, by), _)| *by != hop.sidecar);
        for ((version, by), from) in others {
            let duration_s = hop.at - from;
            if longest.as_ref().is_none_or(|longest| duration_s > longest.duration_s) {
                longest = Some(Contradiction {
                    duration_s,
                    later: (*by, *version),
                    earlier: (hop.sidecar, latest),
                    workload: hop.workload.clone(),
                });
            }
        }
        since.entry((earliest, hop.sidecar)).or_insert(hop.at);
    }
    Ok(longest)
}

/// How long one sent to a server that another knew to drain, and acted.
#[derive(Clone, PartialEq, Debug)]
pub struct DrainViolation {
    pub duration_s: f64,
    pub server: usize,
    pub told: usize,
    pub sends: usize,
}

/// Whoever has a hop this close before and after acts, in seconds.
const ACTS: f64 = 0.3;
/// Until one whose discovery is back has asked it again, in seconds.
const ASKS_AGAIN: f64 = 2.0;

/// The longest time for which somebody went on sending to a server after another was told that it drains, and acted.
/// Whoever has stopped acting meanwhile counts from when it began again.
pub fn longest_drain_violation(scene: &Scene, hops: &[Attempt]) -> Option<DrainViolation> {
    let mut times: Vec<Vec<f64>> = vec![Vec::new(); scene.sidecars];
    for hop in hops {
        times.get_mut(hop.sidecar).into_iter().for_each(|own| own.push(hop.at));
    }
    times.iter_mut().for_each(|own| own.sort_by(f64::total_cmp));
    // Since when one acts without a break, if it does so then.
    let acts_since = |who: usize, at: f64| {
        let own = &times[who];
        let place = own.partition_point(|time| *time <= at);
        let (before, after) = own.split_at(place);
        let near = |time: Option<&f64>| time.is_some_and(|time| (time - at).abs() < ACTS);
        let breaks = |pair: &[f64]| pair[1] - pair[0] > 2.0 * ACTS;
        let first = before.windows(2).rposition(breaks).map_or(0, |place| place + 1);
        before.get(first).filter(|_| near(before.last()) && near(after.first())).copied()
    };
    let mut longest: Option<DrainViolation> = None;
    for hop in hops {
        // Since when each was told, by what had been told by then.
        let mut told: Vec<[Option<f64>; SERVERS]> = vec![[None; SERVERS]; scene.sidecars];
        let mut down = vec![false; scene.sidecars];
        for (at, who, fault) in scene.actions.iter().filter(|(at, ..)| *at < hop.at) {
            match *fault {
                Action::ChangeList(ListChange::Draining | ListChange::Removed, server) => {
                    told[*who][server] = Some(if down[*who] { f64::MAX } else { *at });
                }
                Action::SetMaintenance(true, server) => told[*who][server] = Some(*at),
                Action::ChangeList(ListChange::Ready, server) | Action::SetMaintenance(false, server) => {
                    told[*who][server] = None
                }
                // Another life: what was said of the one before concerns nobody.
                Action::ChangeList(ListChange::Restarted, server) => {
                    told.iter_mut().for_each(|told| told[server] = None)
                }
                Action::DiscoveryDown => down[*who] = true,
                Action::DiscoveryUp => {
                    down[*who] = false;
                    let unheard = told[*who].iter_mut().flatten().filter(|since| **since == f64::MAX);
                    unheard.for_each(|since| *since = at + ASKS_AGAIN);
                }
                _ => {}
            }
        }
        for (who, told) in told.iter().enumerate().filter(|(who, _)| *who != hop.sidecar) {
            let since = told[hop.server].and_then(|since| Some(since.max(acts_since(who, hop.at)?)));
            let duration_s = since.map_or(0.0, |since| hop.at - since);
            let longer = longest.as_ref().is_none_or(|longest| duration_s > longest.duration_s);
            if duration_s > 0.0 && longer {
                longest =
                    Some(DrainViolation { duration_s, server: hop.server, told: who, sends: hop.sidecar });
            }
        }
    }
    longest
}

/// What the judge finds.
pub struct Findings {
    pub contradiction: Option<Contradiction>,
    pub drain_violation: Option<DrainViolation>,
    /// What of the scene's expectations does not hold, a line each.
    pub failed_expectations: Vec<String>,
}

pub fn check(
    scene: &Scene, hops: &[Attempt], answers: &[ResponseSeen], logs: &[(String, String)],
) -> Findings {
    let drain_violation = longest_drain_violation(scene, hops);
    let mut faults = Vec::new();
    let contradiction = match longest_contradiction(scene, hops) {
        Ok(contradiction) => contradiction,
        Err(fault) => {
            faults.push(fault);
            None
        }
    };
    let sent = |who: usize, from: f64, to: f64| {
        hops.iter().filter(|hop| hop.sidecar == who && (from..to).contains(&hop.at)).count()
    };
    let sent_to = |who: usize, server: usize, from: f64, to: f64| {
        let own = hops.iter().filter(|hop| hop.sidecar == who && hop.server == server);
        own.filter(|hop| (from..to).contains(&hop.at)).count()
    };
    let acts_on = |who: usize, version: u64, by: f64| {
        let mut own = hops.iter().filter(|hop| hop.sidecar == who && hop.at <= by);
        own.find(|hop| allowed(scene, hop, false).is_some_and(|(first, _)| first >= version))
    };
    for expected in &scene.expectations {
        let fault = match *expected {
            Expectation::MaxContradiction(most) => {
                contradiction.as_ref().filter(|found| found.duration_s > most).map(|found| {
                    let ((later, on), (earlier, still)) = (found.later, found.earlier);
                    format!(
                    "contradiction of {:.3} s: n{earlier} sent {} by version {still}, n{later} acted on {on}",
                    found.duration_s, found.workload
                )
                })
            }
            Expectation::ActsOnVersion(who, version, by) => acts_on(who, version, by)
                .is_none()
                .then(|| format!("n{who} does not act on version {version} by {by} s")),
            Expectation::NotYetOnVersion(who, version, until) => acts_on(who, version, until)
                .map(|hop| format!("n{who} sends {} by version {version} at {:.3} s", hop.workload, hop.at)),
            Expectation::NoRepeats(who, from, to) => {
                let mut begun: HashSet<&str> = HashSet::new();
                let own = hops.iter().filter(|hop| hop.sidecar == who && (from..to).contains(&hop.at));
                { own }.find(|hop| !begun.insert(&hop.id)).map(|hop| {
                    format!("n{who} repeats {} at {:.3} s, first hops alone were expected", hop.workload, hop.at)
                })
            }
            Expectation::Logs(who, ref text) => {
                let said = logs.get(who).is_some_and(|(_, log)| log.contains(text));
                (!said).then(|| format!("n{who} does not say: {text}"))
            }
            Expectation::SendsNothing(who, from, to) => match sent(who, from, to) {
                0 => None,
                count => {
                    Some(format!("n{who} sends {count} hops from {from} s to {to} s, none were expected"))
                }
            },
            Expectation::SendsTo(who, one, from, to) => (sent_to(who, one, from, to) == 0)
                .then(|| format!("n{who} sends nothing to s{one} from {from} s to {to} s")),
            Expectation::SendsNothingTo(who, one, from, to) => match sent_to(who, one, from, to) {
                0 => None,
                count => Some(format!("n{who} sends {count} hops to s{one} from {from} s to {to} s, none were expected")),
            },
            Expectation::MaxDrainViolation(most) => drain_violation.as_ref().filter(|found| found.duration_s > most).map(|found| {
                let DrainViolation { duration_s, server, told, sends } = found;
                format!("n{sends} sends to s{server} {duration_s:.3} s after n{told}, which serves, was told that it drains")
            }),
            Expectation::Sends(who, from, to) => {
                (sent(who, from, to) == 0).then(|| format!("n{who} sends nothing from {from} s to {to} s"))
            }
        };
        faults.extend(fault);
    }
    let missing: Vec<&ResponseSeen> = answers.iter().filter(|answer| answer.status.is_none()).collect();
    // Whoever was killed or stopped answers nobody, from what it had open then until a moment after it is back.
    let excused = |answer: &&ResponseSeen| {
        let own = scene.actions.iter().filter(|(_, who, _)| *who == answer.sidecar);
        let mut gone = false;
        for (at, _, fault) in own {
            match fault {
                Action::Kill | Action::Stop if *at < answer.at + OPEN => gone = true,
                Action::Start | Action::Continue if *at + BACK < answer.at => gone = false,
                _ => {}
            }
        }
        gone
    };
    let lost = missing.iter().filter(|answer| !excused(answer)).count();
    if lost > 0 {
        faults.push(format!("{lost} calls without an answer"));
    }
    Findings { contradiction, drain_violation, failed_expectations: faults }
}
