//! Checks what servers and clients observed in a scene: for how long instances acted on contradicting versions of the
//! settings, for how long they sent to draining servers, and whether the scene's expectations hold.
//! The evidence is what an instance does: an attempt that some versions of the settings allow and others forbid.
use crate::scene::{Action, Expectation, ListChange, Scene, WorkloadKind, SERVERS};
use std::collections::{BTreeMap, HashSet};

/// An attempt as a server received it.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    /// When it arrived, in seconds from the start of the load.
    pub received_at: f64,
    /// The instance that sent it.
    pub sidecar: usize,
    /// The server that received it.
    pub server: usize,
    /// The workload that it names.
    pub workload: String,
    /// The id of the request that it belongs to.
    pub id: String,
}

/// The end of a request as its client saw it.
#[derive(Clone, PartialEq, Debug)]
pub struct ResponseSeen {
    /// When the request was sent, in seconds from the start of the load.
    pub sent_at: f64,
    /// The instance that it was sent to.
    pub sidecar: usize,
    /// The status of the answer; none where no answer came.
    pub status: Option<u16>,
}

/// How long a request may be open, in seconds.
const MAX_OPEN_S: f64 = 3.0;
/// How long an instance that was started or continued may take until it answers requests again, in seconds.
const RECOVERY_S: f64 = 1.0;

/// An instance did what a later version of the settings forbids after another instance had acted on that version.
#[derive(Clone, PartialEq, Debug)]
pub struct Contradiction {
    /// How long after the other instance's first attempt by the later version, in seconds.
    pub duration_s: f64,
    /// The instance that acted on the later version, and the version.
    pub later: (usize, u64),
    /// The instance that still acted on the earlier version, and the version.
    pub earlier: (usize, u64),
    /// The workload of the contradicting attempt.
    pub workload: String,
}

/// The earliest and the latest version that allow an attempt; none if no version does.
fn allowing_versions(scene: &Scene, attempt: &Attempt, repeat: bool) -> Option<(u64, u64)> {
    let allows = |workloads: &Vec<(String, WorkloadKind)>| {
        let workload = workloads.iter().find(|(name, _)| *name == attempt.workload);
        workload.is_some_and(|(_, kind)| !repeat || *kind == WorkloadKind::ReadLike)
    };
    let mut allowing =
        scene.versions.iter().filter(|(_, workloads)| allows(workloads)).map(|(number, _)| *number);
    let first = allowing.next()?;
    Some((first, allowing.next_back().unwrap_or(first)))
}

/// The longest contradiction; an error for an attempt that no version allows.
pub fn longest_contradiction(scene: &Scene, attempts: &[Attempt]) -> Result<Option<Contradiction>, String> {
    let mut attempts: Vec<&Attempt> = attempts.iter().collect();
    attempts.sort_by(|one, other| one.received_at.total_cmp(&other.received_at));
    let mut seen_ids: HashSet<&str> = HashSet::new();
    // When each instance first acted on a version. Kept by instance, since the instance that acted on a version first
    // may also be the one that goes back to an earlier one.
    let mut first_attempts: BTreeMap<(u64, usize), f64> = BTreeMap::new();
    let mut longest: Option<Contradiction> = None;
    for attempt in attempts {
        let repeat = !seen_ids.insert(&attempt.id);
        let Some((earliest, latest)) = allowing_versions(scene, attempt, repeat) else {
            let kind = if repeat { "a repeat" } else { "a hop" };
            return Err(format!(
                "{kind} of {} by n{} at {:.3} s that no version allows",
                attempt.workload, attempt.sidecar, attempt.received_at
            ));
        };
        let others =
            first_attempts.range((latest + 1, 0)..).filter(|((_, instance), _)| *instance != attempt.sidecar);
        for ((version, instance), first_at) in others {
            let duration_s = attempt.received_at - first_at;
            if longest.as_ref().is_none_or(|longest| duration_s > longest.duration_s) {
                longest = Some(Contradiction {
                    duration_s,
                    later: (*instance, *version),
                    earlier: (attempt.sidecar, latest),
                    workload: attempt.workload.clone(),
                });
            }
        }
        first_attempts.entry((earliest, attempt.sidecar)).or_insert(attempt.received_at);
    }
    Ok(longest)
}

/// An instance sent to a server after another instance, which serves, was told that the server drains.
#[derive(Clone, PartialEq, Debug)]
pub struct DrainViolation {
    /// How long after the other instance was told, in seconds.
    pub duration_s: f64,
    /// The server that drains.
    pub server: usize,
    /// The instance that was told so.
    pub informed: usize,
    /// The instance that still sent to the server.
    pub sender: usize,
}

/// An instance serves at a moment if it sent an attempt within this time before and within this time after it, in
/// seconds.
const MAX_ATTEMPT_GAP_S: f64 = 0.3;
/// How long an instance takes to ask its discovery again after the discovery is back, in seconds.
const RECONNECT_S: f64 = 2.0;

/// The longest time for which an instance went on sending to a server after another instance, which serves, was told
/// that the server drains. Where the other instance stopped serving meanwhile, the time counts from when it served
/// again.
pub fn longest_drain_violation(scene: &Scene, attempts: &[Attempt]) -> Option<DrainViolation> {
    let mut times_by_instance: Vec<Vec<f64>> = vec![Vec::new(); scene.sidecars];
    for attempt in attempts {
        times_by_instance
            .get_mut(attempt.sidecar)
            .into_iter()
            .for_each(|own_times| own_times.push(attempt.received_at));
    }
    times_by_instance.iter_mut().for_each(|own_times| own_times.sort_by(f64::total_cmp));
    // When the instance began to serve without a gap, if it serves at that moment.
    let serving_since = |instance: usize, moment: f64| {
        let own_times = &times_by_instance[instance];
        let index = own_times.partition_point(|time| *time <= moment);
        let (before, after) = own_times.split_at(index);
        let is_near = |time: Option<&f64>| time.is_some_and(|time| (time - moment).abs() < MAX_ATTEMPT_GAP_S);
        let is_gap = |pair: &[f64]| pair[1] - pair[0] > 2.0 * MAX_ATTEMPT_GAP_S;
        let first = before.windows(2).rposition(is_gap).map_or(0, |index| index + 1);
        before.get(first).filter(|_| is_near(before.last()) && is_near(after.first())).copied()
    };
    let mut longest: Option<DrainViolation> = None;
    for attempt in attempts {
        // When each instance was told that each server drains, as of this attempt.
        let mut informed_at: Vec<[Option<f64>; SERVERS]> = vec![[None; SERVERS]; scene.sidecars];
        let mut down = vec![false; scene.sidecars];
        for (time, instance, action) in scene.actions.iter().filter(|(time, ..)| *time < attempt.received_at)
        {
            match *action {
                Action::ChangeList(ListChange::Draining | ListChange::Removed, server) => {
                    informed_at[*instance][server] = Some(if down[*instance] { f64::MAX } else { *time });
                }
                Action::SetMaintenance(true, server) => informed_at[*instance][server] = Some(*time),
                Action::ChangeList(ListChange::Ready, server) | Action::SetMaintenance(false, server) => {
                    informed_at[*instance][server] = None
                }
                // A new incarnation: what was told about the previous one no longer applies.
                Action::ChangeList(ListChange::Restarted, server) => {
                    informed_at.iter_mut().for_each(|servers| servers[server] = None)
                }
                Action::DiscoveryDown => down[*instance] = true,
                Action::DiscoveryUp => {
                    down[*instance] = false;
                    let unknown_times =
                        informed_at[*instance].iter_mut().flatten().filter(|since| **since == f64::MAX);
                    unknown_times.for_each(|since| *since = time + RECONNECT_S);
                }
                _ => {}
            }
        }
        for (instance, informed_at) in
            informed_at.iter().enumerate().filter(|(instance, _)| *instance != attempt.sidecar)
        {
            let since = informed_at[attempt.server]
                .and_then(|since| Some(since.max(serving_since(instance, attempt.received_at)?)));
            let duration_s = since.map_or(0.0, |since| attempt.received_at - since);
            let longer = longest.as_ref().is_none_or(|longest| duration_s > longest.duration_s);
            if duration_s > 0.0 && longer {
                longest = Some(DrainViolation {
                    duration_s,
                    server: attempt.server,
                    informed: instance,
                    sender: attempt.sidecar,
                });
            }
        }
    }
    longest
}

/// What the checker found.
pub struct Findings {
    /// The longest contradiction.
    pub contradiction: Option<Contradiction>,
    /// The longest drain violation.
    pub drain_violation: Option<DrainViolation>,
    /// One line for each expectation of the scene that does not hold.
    pub failed_expectations: Vec<String>,
}

/// Checks a scene by its attempts, the answers that its clients saw, and the logs of its instances, each with the
/// instance's name.
pub fn check(
    scene: &Scene, attempts: &[Attempt], responses: &[ResponseSeen], logs: &[(String, String)],
) -> Findings {
    let drain_violation = longest_drain_violation(scene, attempts);
    let mut failures = Vec::new();
    let contradiction = match longest_contradiction(scene, attempts) {
        Ok(contradiction) => contradiction,
        Err(failure) => {
            failures.push(failure);
            None
        }
    };
    let sent = |instance: usize, from: f64, to: f64| {
        attempts
            .iter()
            .filter(|attempt| attempt.sidecar == instance && (from..to).contains(&attempt.received_at))
            .count()
    };
    let sent_to = |instance: usize, server: usize, from: f64, to: f64| {
        let own_attempts =
            attempts.iter().filter(|attempt| attempt.sidecar == instance && attempt.server == server);
        own_attempts.filter(|attempt| (from..to).contains(&attempt.received_at)).count()
    };
    let first_attempt_by = |instance: usize, version: u64, until: f64| {
        let mut own_attempts =
            attempts.iter().filter(|attempt| attempt.sidecar == instance && attempt.received_at <= until);
        own_attempts.find(|attempt| {
            allowing_versions(scene, attempt, false).is_some_and(|(first, _)| first >= version)
        })
    };
    for expectation in &scene.expectations {
        let failure = match *expectation {
            Expectation::MaxContradiction(max) => {
                contradiction.as_ref().filter(|found| found.duration_s > max).map(|found| {
                    let ((later, new_version), (earlier, old_version)) = (found.later, found.earlier);
                    format!(
                    "contradiction of {:.3} s: n{earlier} sent {} by version {old_version}, n{later} acted on {new_version}",
                    found.duration_s, found.workload
                )
                })
            }
            Expectation::ActsOnVersion(instance, version, until) => first_attempt_by(instance, version, until)
                .is_none()
                .then(|| format!("n{instance} does not act on version {version} by {until} s")),
            Expectation::NotYetOnVersion(instance, version, until) => first_attempt_by(instance, version, until)
                .map(|attempt| format!("n{instance} sends {} by version {version} at {:.3} s", attempt.workload, attempt.received_at)),
            Expectation::NoRepeats(instance, from, to) => {
                let mut seen_ids: HashSet<&str> = HashSet::new();
                let own_attempts = attempts.iter().filter(|attempt| attempt.sidecar == instance && (from..to).contains(&attempt.received_at));
                { own_attempts }.find(|attempt| !seen_ids.insert(&attempt.id)).map(|attempt| {
                    format!("n{instance} repeats {} at {:.3} s, first hops alone were expected", attempt.workload, attempt.received_at)
                })
            }
            Expectation::Logs(instance, ref text) => {
                let logged = logs.get(instance).is_some_and(|(_, log)| log.contains(text));
                (!logged).then(|| format!("n{instance} does not say: {text}"))
            }
            Expectation::SendsNothing(instance, from, to) => match sent(instance, from, to) {
                0 => None,
                count => {
                    Some(format!("n{instance} sends {count} hops from {from} s to {to} s, none were expected"))
                }
            },
            Expectation::SendsTo(instance, server, from, to) => (sent_to(instance, server, from, to) == 0)
                .then(|| format!("n{instance} sends nothing to s{server} from {from} s to {to} s")),
            Expectation::SendsNothingTo(instance, server, from, to) => match sent_to(instance, server, from, to) {
                0 => None,
                count => Some(format!("n{instance} sends {count} hops to s{server} from {from} s to {to} s, none were expected")),
            },
            Expectation::MaxDrainViolation(max) => drain_violation.as_ref().filter(|found| found.duration_s > max).map(|found| {
                let DrainViolation { duration_s, server, informed, sender } = found;
                format!("n{sender} sends to s{server} {duration_s:.3} s after n{informed}, which serves, was told that it drains")
            }),
            Expectation::Sends(instance, from, to) => {
                (sent(instance, from, to) == 0).then(|| format!("n{instance} sends nothing from {from} s to {to} s"))
            }
        };
        failures.extend(failure);
    }
    let missing: Vec<&ResponseSeen> = responses.iter().filter(|response| response.status.is_none()).collect();
    // A killed or stopped instance answers neither the requests that it had open nor those until it has recovered.
    let excused = |response: &&ResponseSeen| {
        let own_actions = scene.actions.iter().filter(|(_, instance, _)| *instance == response.sidecar);
        let mut unavailable = false;
        for (time, _, action) in own_actions {
            match action {
                Action::Kill | Action::Stop if *time < response.sent_at + MAX_OPEN_S => unavailable = true,
                Action::Start | Action::Continue if *time + RECOVERY_S < response.sent_at => {
                    unavailable = false
                }
                _ => {}
            }
        }
        unavailable
    };
    let lost = missing.iter().filter(|response| !excused(response)).count();
    if lost > 0 {
        failures.push(format!("{lost} calls without an answer"));
    }
    Findings { contradiction, drain_violation, failed_expectations: failures }
}
