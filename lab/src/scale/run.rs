//! One step of a scale run: a day with one number of simulated instances.
use super::catalogue::{self, Catalogue, EndpointState};
use super::count::{Counts, MessageCounts};
use super::day::{Day, Phase, PhaseAction};
use super::fleet::{Fleet, FleetSpec, CALLED_WORKLOAD, LEASE_SERVERS};
use super::shard::{Clock, Shard, ShardCommand};
use super::simulated::{Awaited, InstanceSpec, SharedConfig};
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

/// How a step is run.
pub struct Plan<'a> {
    /// The program under test.
    pub program: &'a Path,
    /// What happens.
    pub day: Day,
    /// The setting `within`, in seconds.
    pub within: f64,
    /// The setting `scope`: whether instances learn about all servers or subscribe to those on their lists.
    pub scope: Scope,
    /// The seed of all random choices.
    pub seed: u64,
    /// The services, servers and zones.
    pub shape: catalogue::Shape,
    /// How many real sidecars run besides the lease servers.
    pub sidecars: usize,
    /// Requests a second to each of these sidecars.
    pub rate: f64,
    /// How many threads run the simulated instances.
    pub threads: usize,
    /// The resident memory of all processes and the harness, in bytes, at which a step is aborted.
    pub most_resident: u64,
}

/// How many simulated instances start in a second.
const STARTS_PER_S: usize = 1_000;
/// Descriptors for fake servers, clients and the harness itself.
const SPARE_DESCRIPTORS: usize = 300;
/// How often the processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A phase gives no figures if a larger share of the harness's timers was late.
pub const MAX_LATE_SHARE: f64 = 0.05;
/// How long all instances may take to hold leases, beyond the leases that they wait for at a start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The time slots in which refusals are counted, in seconds.
const SLOT_S: f64 = 0.1;

/// What the processes of one role used during a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleUsage {
    /// The mean share of a core over the processes of the role.
    pub cpu: f64,
    /// The share of a core of the busiest process.
    pub cpu_most: f64,
    /// The largest resident memory of a process at the end of the phase, in bytes.
    pub resident: u64,
    /// The peak of the resident memory of all processes together, in bytes.
    pub resident_peak: u64,
    /// The most open descriptors of a process at the end of the phase.
    pub descriptors: usize,
}

/// How real sidecars served their clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedRequests {
    /// How many requests there were.
    pub requests: usize,
    /// How many got a 200.
    pub succeeded: usize,
    /// The time in which a sidecar did not serve a request, summed up over the sidecars, in seconds.
    pub unserved_s: f64,
}

/// How announcements reached the instances that they concern.
#[derive(Clone, Debug, Default)]
pub struct Propagation {
    /// How many announcements there were.
    pub announcements: usize,
    /// How many instances the last one concerns.
    pub listeners: usize,
    /// How many of these have not learned it.
    pub missing: usize,
    /// For each announcement that reached all before the next one came, the time until the last instance had it, in
    /// seconds, sorted.
    pub after_s: Vec<f64>,
}

impl Propagation {
    /// How many announcements reached all instances before the next one.
    pub fn completed(&self) -> usize {
        self.after_s.len()
    }
}

/// The outcome of a phase.
#[derive(Clone, Debug, Default)]
pub struct PhaseReport {
    /// The phase.
    pub name: &'static str,
    /// How long it lasted, in seconds.
    pub length_s: f64,
    /// What lease servers used.
    pub lease_server: RoleUsage,
    /// What the other sidecars used.
    pub sidecar: RoleUsage,
    /// What the harness used.
    pub harness: RoleUsage,
    /// The messages of the simulated instances.
    pub counts: Counts,
    /// How many simulated instances run.
    pub alive: usize,
    /// How many simulated instances have held leases since their last start.
    pub held_leases: usize,
    /// How many simulated instances hold leases at the end.
    pub holding_leases: usize,
    /// How its announcements reached the instances, if it has any.
    pub propagation: Option<Propagation>,
    /// How clients were served.
    pub served_requests: ServedRequests,
    /// How many timers of the harness fired.
    pub timers_fired: u64,
    /// How many of these fired late.
    pub late_timers: u64,
    /// The longest delay of a timer, in seconds.
    pub max_timer_delay_s: f64,
    /// Why it was aborted, if it was.
    pub aborted: Option<String>,
}

impl PhaseReport {
    /// Whether its figures count: it was not aborted, and the harness ran in time.
    pub fn is_conclusive(&self) -> bool {
        self.aborted.is_none() && self.late_timers as f64 <= MAX_LATE_SHARE * self.timers_fired.max(1) as f64
    }

    /// The messages and bytes of all seconds and lease servers.
    pub fn total_messages(&self) -> MessageCounts {
        let mut sum = MessageCounts::default();
        self.counts.seconds.iter().flat_map(|second| &second.lease_servers).for_each(|said| sum.add(*said));
        sum
    }

    /// The bytes of both directions in the busiest second of a lease server.
    pub fn busiest_lease_server_second(&self) -> u64 {
        let each = self.counts.seconds.iter().flat_map(|second| &second.lease_servers);
        each.map(MessageCounts::bytes).max().unwrap_or(0)
    }

    /// The bytes of both directions in the busiest second of an instance.
    pub fn busiest_instance_second(&self) -> u64 {
        self.counts.seconds.iter().map(|second| second.max_instance_bytes).max().unwrap_or(0)
    }
}

/// The outcome of a step.
#[derive(Clone, Debug, Default)]
pub struct StepReport {
    /// How many simulated instances there are.
    pub instances: usize,
    /// The size of the operator's file.
    pub operator_bytes: usize,
    /// The time from the start until all real processes answer at their consoles, in seconds.
    pub answering_after_s: f64,
    /// The time from the start until all real processes serve, in seconds.
    pub serving_after_s: f64,
    /// The time from the start of the simulated instances until all of them have held leases, in seconds.
    pub all_leases_s: f64,
    /// The phases that are reported.
    pub phases: Vec<PhaseReport>,
}

struct Harness<'a> {
    plan: &'a Plan<'a>,
    clock: Clock,
    fleet: Fleet,
    shards: Vec<Shard>,
    catalogue: Arc<Catalogue>,
    specs: Vec<InstanceSpec>,
    observations: Arc<Observations>,
    /// When each server last started, in milliseconds of Unix time, as the lists have it.
    since: Vec<u64>,
    resident_peak: u64,
}

/// The readings at the beginning of a phase, to be subtracted from those at its end.
struct Before {
    second: usize,
    usage: Vec<Usage>,
    harness: Usage,
    timers_fired: (u64, u64),
}

/// Runs one step. The error is that the setup failed, or that not all instances came to hold leases.
pub fn step(plan: &Plan, instances: usize, progress: &mut dyn FnMut(&str)) -> Result<StepReport, String> {
    // Each instance has a link to each lease server. Without this check the run would fail half way for want of
    // sockets.
    let (needed, available) =
        (instances * LEASE_SERVERS + SPARE_DESCRIPTORS, getrlimit(Resource::Nofile).current);
    if available.is_some_and(|available| needed as u64 > available) {
        return Err(format!(
            "{needed} descriptors are needed, and the machine gives {}",
            available.unwrap_or(0)
        ));
    }
    let clock = Clock(Instant::now());
    let catalogue = Arc::new(Catalogue::new(plan.shape));
    let mut random = WyRand::new_seed(plan.seed);
    let specs: Vec<InstanceSpec> = (0..instances)
        .map(|index| InstanceSpec {
            name: format!("h{index}"),
            zone: index % plan.shape.zones,
            list: catalogue.list_of(&mut random),
            at: Micros((index * 1_000_000 / STARTS_PER_S) as u64),
        })
        .collect();
    let simulated: Vec<String> = specs.iter().map(|spec| spec.name.clone()).collect();
    let observations = Arc::new(Observations::default());
    let fleet_spec = FleetSpec {
        program: plan.program,
        sidecars: plan.sidecars,
        within: plan.within,
        scope: plan.scope,
        simulated: &simulated,
        servers: plan.shape.servers,
        seed: plan.seed,
    };
    let mut fleet = Fleet::start(&fleet_spec, clock.0, &observations)?;
    fleet.wait_until_answering()?;
    let lease = oakhollow_accord::lease_duration(oakhollow_terms::micros_from_seconds(plan.within));
    let config = SharedConfig {
        lease_servers: LEASE_SERVERS,
        lease,
        document: fleet.document.clone(),
        scope: plan.scope,
    };
    let started_at = clock.now();
    let mut shares: Vec<Vec<InstanceSpec>> = vec![Vec::new(); plan.threads.max(1)];
    for (index, spec) in specs.iter().enumerate() {
        let later = InstanceSpec { at: spec.at + started_at, ..spec.clone() };
        shares[index % plan.threads.max(1)].push(later);
    }
    let shards = shares.into_iter().enumerate().map(|(index, share)| {
        let (config, lease_servers) = (config.clone(), fleet.lease_servers.clone());
        Shard::start(
            share,
            config,
            catalogue.clone(),
            lease_servers,
            clock,
            plan.seed.wrapping_add(index as u64),
        )
    });
    let shards = shards.collect::<std::io::Result<_>>().map_err(|error| error.to_string())?;
    let since = vec![0; plan.shape.services * plan.shape.servers];
    let mut harness =
        Harness { plan, clock, fleet, shards, catalogue, specs, observations, since, resident_peak: 0 };
    let lease = Duration::from_micros(lease.0);
    harness.fleet.wait_until_serving(lease)?;
    harness.wait_until_all_had_leases(lease)?;
    let all_leases_s = (clock.now() - started_at).secs();
    progress(&format!("{instances} instances hold leases after {all_leases_s:.1} s"));
    let phases = harness.run(lease, progress);
    Ok(StepReport {
        instances,
        operator_bytes: harness.fleet.operator_bytes,
        answering_after_s: harness.fleet.answering_after_s,
        serving_after_s: harness.fleet.serving_after_s,
        all_leases_s,
        phases,
    })
}

impl Harness<'_> {
    fn sum(&self, of: impl Fn(&Shard) -> usize) -> usize {
        self.shards.iter().map(of).sum()
    }

    fn holding_leases(&self) -> usize {
        self.sum(|shard| shard.status.holding_leases.load(Ordering::Relaxed))
    }

    fn held_leases(&self) -> usize {
        self.sum(|shard| shard.status.held_leases.load(Ordering::Relaxed))
    }

    fn waiting(&self) -> usize {
        self.sum(|shard| shard.status.waiting.load(Ordering::Relaxed))
    }

    fn send_to_all(&self, command: &ShardCommand) {
        self.shards.iter().for_each(|shard| shard.send(command.clone()));
    }

    fn wait_until_all_had_leases(&mut self, lease: Duration) -> Result<(), String> {
        let (started_at, timeout) = (Instant::now(), START_TIMEOUT + 4 * lease);
        while self.held_leases() < self.specs.len() {
            let abort_reason = self.fleet.describe_exited().or_else(|| self.memory_over_limit());
            let late_timers = (started_at.elapsed() > timeout).then(|| "too late".to_string());
            if let Some(why) = abort_reason.or(late_timers) {
                return Err(format!(
                    "{why}: {} of {} have held leases",
                    self.held_leases(),
                    self.specs.len()
                ));
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Describes the memory use if it is over the limit, to protect the machine.
    fn memory_over_limit(&mut self) -> Option<String> {
        let all = self.fleet.resident() + usage::resident(std::process::id()).unwrap_or(0);
        self.resident_peak = self.resident_peak.max(self.fleet.resident());
        let ended = all > self.plan.most_resident;
        ended.then(|| format!("all together take {:.1} GB of memory", all as f64 / 1e9))
    }

    /// Runs the phases of the day, while clients send requests.
    fn run(&mut self, lease: Duration, progress: &mut dyn FnMut(&str)) -> Vec<PhaseReport> {
        let (ended, clients_begun) = (AtomicBool::new(false), Instant::now());
        let started_at = self.clock.0;
        std::thread::scope(|scope| {
            for (index, process) in self.fleet.processes.iter().enumerate().skip(LEASE_SERVERS) {
                let (to, observations, rate, ended) =
                    (process.listen, self.observations.clone(), self.plan.rate, &ended);
                let end = move || if ended.load(Ordering::Relaxed) { 0.0 } else { f64::INFINITY };
                scope.spawn(move || {
                    fakes::run_client(to, (index, CALLED_WORKLOAD), rate, clients_begun, end, &observations)
                });
            }
            let mut reports = Vec::new();
            for phase in self.plan.day.phases() {
                progress(phase.name);
                let report = self.phase(phase, lease, clients_begun.duration_since(started_at), progress);
                let abort_reason = report.aborted.is_some();
                if phase.measured || abort_reason {
                    reports.push(report);
                }
                if abort_reason {
                    break;
                }
            }
            ended.store(true, Ordering::Relaxed);
            reports
        })
    }

    /// Records how the last announcement reached the instances.
    fn record_propagation(&self, announced_at: Micros, propagation: &mut Propagation) {
        propagation.announcements += 1;
        propagation.missing = self.waiting();
        if propagation.missing == 0 {
            let last =
                self.shards.iter().map(|shard| shard.status.last_learned_at.load(Ordering::Relaxed)).max();
            propagation.after_s.push((Micros(last.unwrap_or(0)) - announced_at).secs());
        }
    }

    /// Waits for that second of the run; returns the reason if the run must be aborted before.
    fn wait_until_second(&mut self, second: f64) -> Option<String> {
        loop {
            if let Some(why) = self.fleet.describe_exited().or_else(|| self.memory_over_limit()) {
                return Some(why);
            }
            let left = Micros((second * 1e6) as u64) - self.clock.now();
            if left.0 == 0 {
                return None;
            }
            std::thread::sleep(CHECK_INTERVAL.min(Duration::from_micros(left.0)));
        }
    }

    /// Collects the counts of all shards; the next counts begin with that second.
    fn collect(&self, next: usize, from: usize) -> Counts {
        let mut all = Counts::new(LEASE_SERVERS, from);
        let (to, counts) = channel();
        self.send_to_all(&ShardCommand::Collect(next, to.clone()));
        drop(to);
        counts.iter().for_each(|counts| all.merge(&counts));
        all
    }

    /// Waits until the shards have carried out all commands.
    fn wait_for_shards(&self) {
        let (to, done) = channel();
        self.send_to_all(&ShardCommand::Barrier(to.clone()));
        drop(to);
        done.iter().for_each(|()| {});
    }

    fn before(&self, second: usize) -> Before {
        let timers_fired = |of: fn(&Shard) -> u64| self.shards.iter().map(of).sum();
        self.shards.iter().for_each(|shard| shard.status.max_timer_delay_us.store(0, Ordering::Relaxed));
        Before {
            second,
            usage: self.fleet.usage(),
            harness: Usage::of(std::process::id()).unwrap_or_default(),
            timers_fired: (
                timers_fired(|shard| shard.status.timers_fired.load(Ordering::Relaxed)),
                timers_fired(|shard| shard.status.late_timers.load(Ordering::Relaxed)),
            ),
        }
    }

    fn phase(
        &mut self, phase: &Phase, lease: Duration, clients_begun: Duration, progress: &mut dyn FnMut(&str),
    ) -> PhaseReport {
        let from = self.clock.now().secs() as usize + 1;
        let mut abort_reason = self.wait_until_second(from as f64);
        self.collect(from, from);
        self.resident_peak = 0;
        let before = self.before(from);
        let length = (phase.leases * lease.as_secs_f64()).ceil().max(1.0) as usize;
        let (mut propagation, mut repetitions) = (Propagation::default(), 0);
        let mut announced_at = Micros(0);
        let mut next = Some(from as f64);
        for second in from + 1..=from + length {
            while let Some(due) = next.filter(|due| *due < second as f64 && abort_reason.is_none()) {
                abort_reason = self.wait_until_second(due);
                if repetitions > 0 {
                    self.record_propagation(announced_at, &mut propagation);
                }
                (announced_at, propagation.listeners) = self.carry_out(phase.action, repetitions);
                repetitions += 1;
                next = (phase.interval_s > 0.0).then_some(due + phase.interval_s);
            }
            abort_reason = abort_reason.or_else(|| self.wait_until_second(second as f64));
            if abort_reason.is_some() {
                break;
            }
            if (second - from).is_multiple_of(10) {
                progress(&format!(
                    "{}: {} of {length} s, {} hold leases",
                    phase.name,
                    second - from,
                    self.holding_leases()
                ));
            }
        }
        let length_s = (self.clock.now() - Micros(from as u64 * 1_000_000)).secs();
        let propagation = (phase.action != PhaseAction::Nothing).then(|| {
            self.record_propagation(announced_at, &mut propagation);
            propagation.after_s.sort_by(f64::total_cmp);
            propagation
        });
        let mut report = self.report(phase, &before, length_s);
        report.served_requests = self.served_requests(from as f64 - clients_begun.as_secs_f64(), length_s);
        (report.propagation, report.aborted) = (propagation, abort_reason);
        report
    }

    fn report(&self, phase: &Phase, before: &Before, length_s: f64) -> PhaseReport {
        let max_timer_delay_us =
            self.shards.iter().map(|shard| shard.status.max_timer_delay_us.load(Ordering::Relaxed)).max();
        let after = self.before(0);
        let used: Vec<(Usage, Usage)> = before.usage.iter().copied().zip(after.usage).collect();
        let (lease_servers, sidecars) = used.split_at(LEASE_SERVERS);
        let next = self.clock.now().secs() as usize + 1;
        PhaseReport {
            name: phase.name,
            length_s,
            lease_server: RoleUsage { resident_peak: self.resident_peak, ..role(lease_servers, length_s) },
            sidecar: role(sidecars, length_s),
            harness: role(&[(before.harness, after.harness)], length_s),
            holding_leases: self.holding_leases(),
            held_leases: self.held_leases(),
            alive: self.sum(|shard| shard.status.alive.load(Ordering::Relaxed)),
            counts: self.collect(next, before.second),
            propagation: None,
            served_requests: ServedRequests::default(),
            timers_fired: after.timers_fired.0 - before.timers_fired.0,
            late_timers: after.timers_fired.1 - before.timers_fired.1,
            max_timer_delay_s: Micros(max_timer_delay_us.unwrap_or(0)).secs(),
            aborted: None,
        }
    }

    /// Carries out the action of a phase for the `time`th time. Returns when, and how many instances have to learn of
    /// it.
    fn carry_out(&mut self, action: PhaseAction, time: usize) -> (Micros, usize) {
        let zone = self.plan.seed as usize % self.plan.shape.zones;
        let all = self.plan.shape.services * self.plan.shape.servers;
        let marked =
            Arc::new((0..all).map(|index| self.catalogue.zone_of(index) == zone).collect::<Vec<bool>>());
        match action {
            PhaseAction::Nothing => (self.clock.now(), 0),
            PhaseAction::OneListDrains => {
                let server = self.specs[0].list[0] as usize;
                let only = Arc::new((0..all).map(|index| index == server).collect::<Vec<bool>>());
                let listeners = self.await_on_all(Awaited::Servers(only, true));
                let now = self.clock.now();
                self.shards[0].send(ShardCommand::SetInOneList(
                    0,
                    server,
                    EndpointState { since: 0, out: true },
                ));
                (now, listeners)
            }
            PhaseAction::ZoneLost => {
                self.await_on_all(Awaited::Servers(marked.clone(), true));
                let now = self.clock.now();
                self.send_to_all(&ShardCommand::StopZone(zone));
                self.send_to_all(&ShardCommand::SetInAllLists(marked, EndpointState { since: 0, out: true }));
                self.change_fleet_lists(zone, scene::ListChange::Draining);
                self.wait_for_shards();
                (now, self.waiting())
            }
            PhaseAction::WriteSettings => {
                let mut document = self.fleet.document.clone();
                document.version.number += 1;
                self.fleet.document = document.clone();
                let listeners = self.await_on_all(Awaited::Version(document.version));
                let now = self.clock.now();
                let instance = self.specs.len() / self.shards.len() / 2;
                self.shards[0].send(ShardCommand::WriteSettings(Some(instance), document));
                (now, listeners)
            }
            PhaseAction::RestartServer => {
                let servers = self.catalogue.servers_of(0);
                let (draining, before) = (time % servers.len(), (time + servers.len() - 1) % servers.len());
                let spec =
                    |server: usize| Arc::new((0..all).map(|index| index == server).collect::<Vec<bool>>());
                let listeners = self.await_on_all(Awaited::Servers(spec(draining), true));
                let now = self.clock.now();
                self.send_to_all(&ShardCommand::SetInAllLists(
                    spec(draining),
                    EndpointState { since: self.since[draining], out: true },
                ));
                self.fleet.change_lists(draining, scene::ListChange::Draining);
                if time > 0 {
                    self.since[before] = unix_ms();
                    self.send_to_all(&ShardCommand::SetInAllLists(
                        spec(before),
                        EndpointState { since: self.since[before], out: false },
                    ));
                    self.fleet.change_lists(before, scene::ListChange::Restarted);
                }
                (now, listeners)
            }
            PhaseAction::ZoneBack => {
                let listeners = self.await_on_all(Awaited::Servers(marked.clone(), false));
                let now = self.clock.now();
                self.send_to_all(&ShardCommand::SetInAllLists(
                    marked,
                    EndpointState { since: unix_ms(), out: false },
                ));
                self.send_to_all(&ShardCommand::StartZone(zone));
                self.change_fleet_lists(zone, scene::ListChange::Restarted);
                (now, listeners)
            }
        }
    }

    fn change_fleet_lists(&self, zone: usize, change: scene::ListChange) {
        let servers = self.catalogue.servers_of(0).filter(|server| self.catalogue.zone_of(*server) == zone);
        servers.for_each(|server| self.fleet.change_lists(server, change));
    }

    /// Has all instances await something; returns how many have not learned it yet.
    fn await_on_all(&self, awaited: Awaited) -> usize {
        self.send_to_all(&ShardCommand::Await(awaited));
        self.wait_for_shards();
        self.waiting()
    }

    /// How clients were served within a span, counted from their own start.
    fn served_requests(&self, from: f64, length: f64) -> ServedRequests {
        let responses = self.observations.responses.lock().unwrap_or_else(PoisonError::into_inner);
        let within = responses.iter().filter(|response| (from..from + length).contains(&response.at));
        let (mut served_requests, mut slots) = (ServedRequests::default(), BTreeSet::new());
        for response in within {
            served_requests.requests += 1;
            match response.status {
                Some(200) => served_requests.succeeded += 1,
                _ => _ = slots.insert((response.sidecar, (response.at / SLOT_S) as u64)),
            }
        }
        served_requests.unserved_s = slots.len() as f64 * SLOT_S;
        served_requests
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn role(used: &[(Usage, Usage)], length_s: f64) -> RoleUsage {
    let cpu = |(before, after): &(Usage, Usage)| (after.cpu_s - before.cpu_s) / length_s.max(0.001);
    let each = || used.iter().map(cpu);
    RoleUsage {
        cpu: each().sum::<f64>() / used.len().max(1) as f64,
        cpu_most: each().fold(0.0, f64::max),
        resident: used.iter().map(|(_, after)| after.resident).max().unwrap_or(0),
        resident_peak: 0,
        descriptors: used.iter().map(|(_, after)| after.descriptors).max().unwrap_or(0),
    }
}
