//! One step of a scale run: so many hollow instances, one day, and what came of it.
use super::catalogue::{self, Catalogue, EndpointState};
use super::count::{Counts, Said};
use super::day::{Day, Phase, PhaseAction};
use super::fleet::{Fleet, Wanted, CALLED, KEEPERS};
use super::shard::{Clock, Order, Shard};
use super::simulated::{Awaited, Common, InstanceSpec};
use super::usage::{self, Usage};
use crate::fakes::{self, Observations};
use crate::scene;
use nanorand::WyRand;
use oakhollow::types::Micros;
use oakhollow_terms::Scope;
use rustix::process::{getrlimit, Resource};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Plan<'a> {
    pub program: &'a Path,
    pub day: Day,
    pub within: f64,
    /// Of which servers instances hear.
    pub scope: Scope,
    pub seed: u64,
    pub shape: catalogue::Shape,
    /// Real ones beside the keepers, and the calls a second at each.
    pub sidecars: usize,
    pub rate: f64,
    /// Threads of the rig that carry hollow instances.
    pub threads: usize,
    /// Resident bytes of all, the rig among them, at which a step is broken off.
    pub most_resident: u64,
}

/// Instances that start within a second.
const STARTS_A_SECOND: usize = 1_000;
/// For stand-ins, callers and the rig itself.
const SPARE_DESCRIPTORS: usize = 300;
const LOOK: Duration = Duration::from_millis(50);
/// More than this of the rig's own turns late, and there is no figure.
pub const MOST_LATE: f64 = 0.05;
/// Beyond the leases that all wait for at a start.
const STARTS: Duration = Duration::from_secs(60);
/// Answers are judged by slots of that many seconds.
const SLOT: f64 = 0.1;

/// What a kind of process used while a phase lasted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Role {
    /// Of a core: on average over the processes of that role, and the busiest of them.
    pub cpu: f64,
    pub cpu_most: f64,
    /// At the end of the phase, the largest of them.
    pub resident: u64,
    /// The most that all processes of this role had together while it lasted.
    pub resident_peak: u64,
    pub descriptors: usize,
}

/// How real sidecars carried their calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    pub calls: usize,
    pub succeeded: usize,
    /// Time in which one of them dismissed calls, each on its own, summed up.
    pub dismissed_s: f64,
}

/// Whether what was told has come to all who are to hear it.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// How often something was told.
    pub told: usize,
    /// Those that are to hear what was told last, and those of them that have not.
    pub listeners: usize,
    pub missing: usize,
    /// Each time from the order on until the last had heard it, shortest first; not where some had not when the next came.
    pub after_s: Vec<f64>,
}

impl Heard {
    /// How often it came to all, in time to be seen.
    pub fn whole(&self) -> usize {
        self.after_s.len()
    }
}

#[derive(Clone, Debug, Default)]
pub struct PhaseReport {
    pub name: &'static str,
    pub length_s: f64,
    pub keeper: Role,
    pub sidecar: Role,
    pub rig: Role,
    pub counts: Counts,
    pub alive: usize,
    /// Hollow instances that have acted in the life that they live.
    pub acted: usize,
    /// Hollow instances that act at the end.
    pub acting: usize,
    pub heard: Option<Heard>,
    pub carried: Carried,
    /// The rig's own turns, those of them that came late, and by how much at most.
    pub turns: u64,
    pub late: u64,
    pub latest_s: f64,
    /// Why it did not last as long as it should.
    pub broken_off: Option<String>,
}

impl PhaseReport {
    /// The rig kept its own time, so that what it saw is the program's doing.
    pub fn sound(&self) -> bool {
        self.broken_off.is_none() && self.late as f64 <= MOST_LATE * self.turns.max(1) as f64
    }

    /// Over all seconds and keepers.
    pub fn said(&self) -> Said {
        let mut sum = Said::default();
        self.counts.seconds.iter().flat_map(|second| &second.keepers).for_each(|said| sum.add(*said));
        sum
    }

    /// The busiest second of one keeper, and of one instance, in bytes both ways.
    pub fn worst_of_keeper(&self) -> u64 {
        let each = self.counts.seconds.iter().flat_map(|second| &second.keepers);
        each.map(Said::bytes).max().unwrap_or(0)
    }

    pub fn worst_of_instance(&self) -> u64 {
        self.counts.seconds.iter().map(|second| second.worst).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug, Default)]
pub struct StepReport {
    pub instances: usize,
    pub operator_bytes: usize,
    pub answers_s: f64,
    pub serves_s: f64,
    /// From the start of the hollow instances until all of them act.
    pub acting_s: f64,
    pub phases: Vec<PhaseReport>,
}

struct Rig<'a> {
    plan: &'a Plan<'a>,
    clock: Clock,
    fleet: Fleet,
    shards: Vec<Shard>,
    catalogue: Arc<Catalogue>,
    born: Vec<InstanceSpec>,
    notes: Arc<Observations>,
    /// When each server started last, in milliseconds of Unix time, as lists tell it.
    since: Vec<u64>,
    resident_peak: u64,
}

/// What is known at the beginning of a phase, to be compared with its end.
struct Before {
    second: usize,
    usage: Vec<Usage>,
    rig: Usage,
    turns: (u64, u64),
}

/// Plays one step; an error means that there is no rig, or that the instances never came to act.
pub fn step(plan: &Plan, instances: usize, progress: &mut dyn FnMut(&str)) -> Result<StepReport, String> {
    // Each instance has a link to each keeper. Guards against a run that fails half way, as its sockets do.
    let (needs, has) = (instances * KEEPERS + SPARE_DESCRIPTORS, getrlimit(Resource::Nofile).current);
    if has.is_some_and(|has| needs as u64 > has) {
        return Err(format!("{needs} descriptors are needed, and the machine gives {}", has.unwrap_or(0)));
    }
    let clock = Clock(Instant::now());
    let catalogue = Arc::new(Catalogue::new(plan.shape));
    let mut random = WyRand::new_seed(plan.seed);
    let born: Vec<InstanceSpec> = (0..instances)
        .map(|at| InstanceSpec {
            name: format!("h{at}"),
            zone: at % plan.shape.zones,
            list: catalogue.list_of(&mut random),
            at: Micros((at * 1_000_000 / STARTS_A_SECOND) as u64),
        })
        .collect();
    let hollow: Vec<String> = born.iter().map(|one| one.name.clone()).collect();
    let notes = Arc::new(Observations::default());
    let wanted = Wanted {
        program: plan.program,
        sidecars: plan.sidecars,
        within: plan.within,
        scope: plan.scope,
        hollow: &hollow,
        servers: plan.shape.servers,
        seed: plan.seed,
    };
    let mut fleet = Fleet::start(&wanted, clock.0, &notes)?;
    fleet.answers()?;
    let lease = oakhollow_accord::lease_duration(oakhollow_terms::micros_from_seconds(plan.within));
    let common = Common { keepers: KEEPERS, lease, document: fleet.document.clone(), scope: plan.scope };
    let begun = clock.now();
    let mut parts: Vec<Vec<InstanceSpec>> = vec![Vec::new(); plan.threads.max(1)];
    for (at, one) in born.iter().enumerate() {
        let later = InstanceSpec { at: one.at + begun, ..one.clone() };
        parts[at % plan.threads.max(1)].push(later);
    }
    let shards = parts.into_iter().enumerate().map(|(at, part)| {
        let (common, keepers) = (common.clone(), fleet.keepers.clone());
        Shard::start(part, common, catalogue.clone(), keepers, clock, plan.seed.wrapping_add(at as u64))
    });
    let shards = shards.collect::<std::io::Result<_>>().map_err(|fault| fault.to_string())?;
    let since = vec![0; plan.shape.services * plan.shape.servers];
    let mut rig = Rig { plan, clock, fleet, shards, catalogue, born, notes, since, resident_peak: 0 };
    let lease = Duration::from_micros(lease.0);
    rig.fleet.serves(lease)?;
    rig.all_act(lease)?;
    let acting_s = (clock.now() - begun).secs();
    progress(&format!("{instances} instances act after {acting_s:.1} s"));
    let phases = rig.run(lease, progress);
    Ok(StepReport {
        instances,
        operator_bytes: rig.fleet.operator_bytes,
        answers_s: rig.fleet.answers_s,
        serves_s: rig.fleet.serves_s,
        acting_s,
        phases,
    })
}

impl Rig<'_> {
    fn sum(&self, of: impl Fn(&Shard) -> usize) -> usize {
        self.shards.iter().map(of).sum()
    }

    fn acting(&self) -> usize {
        self.sum(|shard| shard.status.acting.load(Ordering::Relaxed))
    }

    fn acted(&self) -> usize {
        self.sum(|shard| shard.status.acted.load(Ordering::Relaxed))
    }

    fn waiting(&self) -> usize {
        self.sum(|shard| shard.status.waiting.load(Ordering::Relaxed))
    }

    fn order(&self, order: &Order) {
        self.shards.iter().for_each(|shard| shard.order(order.clone()));
    }

    fn all_act(&mut self, lease: Duration) -> Result<(), String> {
        let (begun, most) = (Instant::now(), STARTS + 4 * lease);
        while self.acted() < self.born.len() {
            let off = self.fleet.ended().or_else(|| self.too_large());
            let late = (begun.elapsed() > most).then(|| "too late".to_string());
            if let Some(why) = off.or(late) {
                return Err(format!("{why}: {} of {} have acted", self.acted(), self.born.len()));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Guards the machine.
    fn too_large(&mut self) -> Option<String> {
        let all = self.fleet.resident() + usage::resident(std::process::id()).unwrap_or(0);
        self.resident_peak = self.resident_peak.max(self.fleet.resident());
        let over = all > self.plan.most_resident;
        over.then(|| format!("all together take {:.1} GB of memory", all as f64 / 1e9))
    }

    /// Plays the day's phases, while callers call.
    fn run(&mut self, lease: Duration, progress: &mut dyn FnMut(&str)) -> Vec<PhaseReport> {
        let (over, offset) = (AtomicBool::new(false), Instant::now());
        let begun = self.clock.0;
        std::thread::scope(|scope| {
            for (at, process) in self.fleet.processes.iter().enumerate().skip(KEEPERS) {
                let (to, notes, rate, over) = (process.listen, self.notes.clone(), self.plan.rate, &over);
                let end = move || if over.load(Ordering::Relaxed) { 0.0 } else { f64::INFINITY };
                scope.spawn(move || fakes::run_client(to, (at, CALLED), rate, offset, end, &notes));
            }
            let mut reports = Vec::new();
            for phase in self.plan.day.phases() {
                progress(phase.name);
                let report = self.phase(phase, lease, offset.duration_since(begun), progress);
                let off = report.broken_off.is_some();
                if phase.measured || off {
                    reports.push(report);
                }
                if off {
                    break;
                }
            }
            over.store(true, Ordering::Relaxed);
            reports
        })
    }

    /// Sees how it stands with what was told last.
    fn see_heard(&self, told_at: Micros, heard: &mut Heard) {
        heard.told += 1;
        heard.missing = self.waiting();
        if heard.missing == 0 {
            let last = self.shards.iter().map(|shard| shard.status.heard_at.load(Ordering::Relaxed)).max();
            heard.after_s.push((Micros(last.unwrap_or(0)) - told_at).secs());
        }
    }

    /// Waits for that second of the run; says why not, if something is amiss before.
    fn until(&mut self, second: f64) -> Option<String> {
        loop {
            if let Some(why) = self.fleet.ended().or_else(|| self.too_large()) {
                return Some(why);
            }
            let left = Micros((second * 1e6) as u64) - self.clock.now();
            if left.0 == 0 {
                return None;
            }
            std::thread::sleep(LOOK.min(Duration::from_micros(left.0)));
        }
    }

    /// Hands over what was counted; what is counted next begins with that second.
    fn collect(&self, next: usize, from: usize) -> Counts {
        let mut all = Counts::new(KEEPERS, from);
        let (to, counts) = channel();
        self.order(&Order::Collect(next, to.clone()));
        drop(to);
        counts.iter().for_each(|counts| all.merge(&counts));
        all
    }

    /// All that was ordered is done.
    fn reached(&self) {
        let (to, done) = channel();
        self.order(&Order::Reached(to.clone()));
        drop(to);
        done.iter().for_each(|()| {});
    }

    fn before(&self, second: usize) -> Before {
        let turns = |of: fn(&Shard) -> u64| self.shards.iter().map(of).sum();
        self.shards.iter().for_each(|shard| shard.status.latest.store(0, Ordering::Relaxed));
        Before {
            second,
            usage: self.fleet.usage(),
            rig: Usage::of(std::process::id()).unwrap_or_default(),
            turns: (
                turns(|shard| shard.status.turns.load(Ordering::Relaxed)),
                turns(|shard| shard.status.late.load(Ordering::Relaxed)),
            ),
        }
    }

    fn phase(
        &mut self, phase: &Phase, lease: Duration, offset: Duration, progress: &mut dyn FnMut(&str),
    ) -> PhaseReport {
        let from = self.clock.now().secs() as usize + 1;
        let mut off = self.until(from as f64);
        self.collect(from, from);
        self.resident_peak = 0;
        let before = self.before(from);
        let length = (phase.leases * lease.as_secs_f64()).ceil().max(1.0) as usize;
        let (mut heard, mut deeds) = (Heard::default(), 0);
        let mut told_at = Micros(0);
        let mut next = Some(from as f64);
        for second in from + 1..=from + length {
            while let Some(due) = next.filter(|due| *due < second as f64 && off.is_none()) {
                off = self.until(due);
                if deeds > 0 {
                    self.see_heard(told_at, &mut heard);
                }
                (told_at, heard.listeners) = self.does(phase.action, deeds);
                deeds += 1;
                next = (phase.every_s > 0.0).then_some(due + phase.every_s);
            }
            off = off.or_else(|| self.until(second as f64));
            if off.is_some() {
                break;
            }
            if (second - from).is_multiple_of(10) {
                progress(&format!("{}: {} of {length} s, {} act", phase.name, second - from, self.acting()));
            }
        }
        let length_s = (self.clock.now() - Micros(from as u64 * 1_000_000)).secs();
        let heard = (phase.action != PhaseAction::Nothing).then(|| {
            self.see_heard(told_at, &mut heard);
            heard.after_s.sort_by(f64::total_cmp);
            heard
        });
        let mut report = self.report(phase, &before, length_s);
        report.carried = self.carried(from as f64 - offset.as_secs_f64(), length_s);
        (report.heard, report.broken_off) = (heard, off);
        report
    }

    fn report(&self, phase: &Phase, before: &Before, length_s: f64) -> PhaseReport {
        let latest = self.shards.iter().map(|shard| shard.status.latest.load(Ordering::Relaxed)).max();
        let after = self.before(0);
        let used: Vec<(Usage, Usage)> = before.usage.iter().copied().zip(after.usage).collect();
        let (keepers, sidecars) = used.split_at(KEEPERS);
        let next = self.clock.now().secs() as usize + 1;
        PhaseReport {
            name: phase.name,
            length_s,
            keeper: Role { resident_peak: self.resident_peak, ..role(keepers, length_s) },
            sidecar: role(sidecars, length_s),
            rig: role(&[(before.rig, after.rig)], length_s),
            acting: self.acting(),
            acted: self.acted(),
            alive: self.sum(|shard| shard.status.alive.load(Ordering::Relaxed)),
            counts: self.collect(next, before.second),
            heard: None,
            carried: Carried::default(),
            turns: after.turns.0 - before.turns.0,
            late: after.turns.1 - before.turns.1,
            latest_s: Micros(latest.unwrap_or(0)).secs(),
            broken_off: None,
        }
    }

    /// Does what a phase does, for that time in it. When it was ordered, and how many are to hear of it.
    fn does(&mut self, action: PhaseAction, time: usize) -> (Micros, usize) {
        let zone = self.plan.seed as usize % self.plan.shape.zones;
        let all = self.plan.shape.services * self.plan.shape.servers;
        let marked = Arc::new((0..all).map(|at| self.catalogue.zone_of(at) == zone).collect::<Vec<bool>>());
        match action {
            PhaseAction::Nothing => (self.clock.now(), 0),
            PhaseAction::OneDrains => {
                let server = self.born[0].list[0] as usize;
                let only = Arc::new((0..all).map(|at| at == server).collect::<Vec<bool>>());
                let listeners = self.awaits(Awaited::Servers(only, true));
                let now = self.clock.now();
                self.shards[0].order(Order::OneListTells(0, server, EndpointState { since: 0, out: true }));
                (now, listeners)
            }
            PhaseAction::ZoneLost => {
                self.awaits(Awaited::Servers(marked.clone(), true));
                let now = self.clock.now();
                self.order(&Order::Lose(zone));
                self.order(&Order::ListsTell(marked, EndpointState { since: 0, out: true }));
                self.fleet_tells(zone, scene::ListChange::Draining);
                self.reached();
                (now, self.waiting())
            }
            PhaseAction::Write => {
                let mut document = self.fleet.document.clone();
                document.version.number += 1;
                self.fleet.document = document.clone();
                let listeners = self.awaits(Awaited::Version(document.version));
                let now = self.clock.now();
                let who = self.born.len() / self.shards.len() / 2;
                self.shards[0].order(Order::Write(Some(who), document));
                (now, listeners)
            }
            PhaseAction::ReplaceOne => {
                let servers = self.catalogue.servers_of(0);
                let (leaves, before) = (time % servers.len(), (time + servers.len() - 1) % servers.len());
                let one = |server: usize| Arc::new((0..all).map(|at| at == server).collect::<Vec<bool>>());
                let listeners = self.awaits(Awaited::Servers(one(leaves), true));
                let now = self.clock.now();
                self.order(&Order::ListsTell(
                    one(leaves),
                    EndpointState { since: self.since[leaves], out: true },
                ));
                self.fleet.lists_tell(leaves, scene::ListChange::Draining);
                if time > 0 {
                    self.since[before] = unix_ms();
                    self.order(&Order::ListsTell(
                        one(before),
                        EndpointState { since: self.since[before], out: false },
                    ));
                    self.fleet.lists_tell(before, scene::ListChange::Restarted);
                }
                (now, listeners)
            }
            PhaseAction::ZoneBack => {
                let listeners = self.awaits(Awaited::Servers(marked.clone(), false));
                let now = self.clock.now();
                self.order(&Order::ListsTell(marked, EndpointState { since: unix_ms(), out: false }));
                self.order(&Order::Return(zone));
                self.fleet_tells(zone, scene::ListChange::Restarted);
                (now, listeners)
            }
        }
    }

    fn fleet_tells(&self, zone: usize, told: scene::ListChange) {
        let servers = self.catalogue.servers_of(0).filter(|server| self.catalogue.zone_of(*server) == zone);
        servers.for_each(|server| self.fleet.lists_tell(server, told));
    }

    /// From now on it is seen who has heard that; how many have not yet.
    fn awaits(&self, awaited: Awaited) -> usize {
        self.order(&Order::Await(awaited));
        self.reached();
        self.waiting()
    }

    /// What callers saw from that time of theirs on.
    fn carried(&self, from: f64, length: f64) -> Carried {
        let answers = self.notes.responses.lock().unwrap_or_else(PoisonError::into_inner);
        let within = answers.iter().filter(|answer| (from..from + length).contains(&answer.at));
        let (mut carried, mut slots) = (Carried::default(), BTreeSet::new());
        for answer in within {
            carried.calls += 1;
            match answer.status {
                Some(200) => carried.succeeded += 1,
                _ => _ = slots.insert((answer.sidecar, (answer.at / SLOT) as u64)),
            }
        }
        carried.dismissed_s = slots.len() as f64 * SLOT;
        carried
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn role(used: &[(Usage, Usage)], length_s: f64) -> Role {
    let cpu = |(before, after): &(Usage, Usage)| (after.cpu_s - before.cpu_s) / length_s.max(0.001);
    let each = || used.iter().map(cpu);
    Role {
        cpu: each().sum::<f64>() / used.len().max(1) as f64,
        cpu_most: each().fold(0.0, f64::max),
        resident: used.iter().map(|(_, after)| after.resident).max().unwrap_or(0),
        resident_peak: 0,
        descriptors: used.iter().map(|(_, after)| after.descriptors).max().unwrap_or(0),
    }
}
