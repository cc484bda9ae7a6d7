//! One step of a scale run: a number of simulated instances, one scenario, and the resulting report.
use super::catalogue::{self, Catalogue, ServerState};
use super::count::{Counts, TrafficCounts};
use super::fleet::{Fleet, FleetSpec, CALLED_WORKLOAD, LEASE_SERVERS};
use super::scenario::{Phase, PhaseAction, Scenario};
use super::shard::{Clock, Command, Shard};
use super::simulated::{AwaitedChange, CommonConfig, InstanceSpec};
use super::usage::{self, Usage};
use crate::fakes::{self, Observations};
use crate::scene;
use nanorand::WyRand;
use oakhollow::types::Micros;
use oakhollow_config::Scope;
use rustix::process::{getrlimit, Resource};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The parameters of a scale run.
pub struct Plan<'a> {
    pub program: &'a Path,
    pub scenario: Scenario,
    pub max_divergence_s: f64,
    /// Whether instances learn about all servers or only about those on their own lists.
    pub scope: Scope,
    pub seed: u64,
    pub shape: catalogue::FleetShape,
    /// Number of real sidecars in addition to the lease servers, and the requests per second to each.
    pub sidecars: usize,
    pub rate: f64,
    /// Threads of the harness that run simulated instances.
    pub threads: usize,
    /// Resident bytes of all processes, including the harness, at which a step is aborted.
    pub max_resident_bytes: u64,
}

/// Simulated instances that start per second.
const STARTS_PER_SECOND: usize = 1_000;
/// Descriptors for the fakes, the clients and the harness itself.
const SPARE_DESCRIPTORS: usize = 300;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// If a larger share of the harness's timers is late, the phase gives no figures.
pub const MAX_LATE_SHARE: f64 = 0.05;
/// In addition to the lease durations that all wait for at a start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time with refusals is counted in slots of this many seconds.
const REFUSAL_SLOT_S: f64 = 0.1;

/// The resources used by the processes of one role during a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoleUsage {
    /// Share of a core: the mean over the processes of the role, and that of the busiest.
    pub cpu: f64,
    pub cpu_max: f64,
    /// Resident memory of the largest process at the end of the phase, in bytes.
    pub resident: u64,
    /// The largest resident memory of all real processes together during the phase.
    pub peak_resident: u64,
    pub descriptors: usize,
}

/// The results of the requests to real sidecars.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestTotals {
    pub requests: usize,
    pub succeeded: usize,
    /// Time during which a sidecar refused or failed requests, summed over the sidecars.
    pub refused_s: f64,
}

/// How the changes of a phase reached all instances concerned.
#[derive(Clone, Debug, Default)]
pub struct Propagation {
    /// Number of changes made.
    pub changes: usize,
    /// Instances that the last change concerns, and those that have not learned of it.
    pub recipients: usize,
    pub missing: usize,
    /// For each change that reached all before the next one: the time until the last instance knew it, ascending.
    pub delays_s: Vec<f64>,
}

impl Propagation {
    /// Number of changes that reached all before the next one.
    pub fn completed(&self) -> usize {
        self.delays_s.len()
    }
}

/// The figures of one phase.
#[derive(Clone, Debug, Default)]
pub struct PhaseReport {
    pub name: &'static str,
    pub length_s: f64,
    pub lease_server: RoleUsage,
    pub sidecar: RoleUsage,
    pub harness: RoleUsage,
    pub counts: Counts,
    pub alive: usize,
    /// Simulated instances that have held the leases of a majority since their last start.
    pub had_lease: usize,
    /// Simulated instances that hold the leases of a majority at the end.
    pub with_lease: usize,
    pub propagation: Option<Propagation>,
    pub requests: RequestTotals,
    /// Timers of the harness, those of them handled late, and the largest delay.
    pub timers_handled: u64,
    pub late_timers: u64,
    pub max_delay_s: f64,
    /// Why the phase was aborted.
    pub aborted: Option<String>,
}

impl PhaseReport {
    /// Whether the harness ran on time, so that the figures show the program's behaviour.
    pub fn is_valid(&self) -> bool {
        self.aborted.is_none()
            && self.late_timers as f64 <= MAX_LATE_SHARE * self.timers_handled.max(1) as f64
    }

    /// The traffic of all seconds and lease servers.
    pub fn total_traffic(&self) -> TrafficCounts {
        let mut sum = TrafficCounts::default();
        self.counts
            .seconds
            .iter()
            .flat_map(|second| &second.lease_servers)
            .for_each(|traffic| sum.add(*traffic));
        sum
    }

    /// Bytes in both directions in the busiest second of a single lease server.
    pub fn max_lease_server_bytes(&self) -> u64 {
        let lease_servers = self.counts.seconds.iter().flat_map(|second| &second.lease_servers);
        lease_servers.map(TrafficCounts::bytes).max().unwrap_or(0)
    }

    /// Bytes in both directions in the busiest second of a single instance.
    pub fn max_instance_bytes(&self) -> u64 {
        self.counts.seconds.iter().map(|second| second.max_instance_bytes).max().unwrap_or(0)
    }
}

/// The figures of one step.
#[derive(Clone, Debug, Default)]
pub struct StepReport {
    pub instances: usize,
    pub operator_bytes: usize,
    pub time_to_answer_s: f64,
    pub time_to_serve_s: f64,
    /// Time from the start of the simulated instances until all of them have held the leases of a majority.
    pub time_to_leases_s: f64,
    pub phases: Vec<PhaseReport>,
}

struct StepRun<'a> {
    plan: &'a Plan<'a>,
    clock: Clock,
    fleet: Fleet,
    shards: Vec<Shard>,
    catalogue: Arc<Catalogue>,
    specs: Vec<InstanceSpec>,
    observations: Arc<Observations>,
    /// When each server last started according to the lists, in milliseconds of Unix time.
    started_at_ms: Vec<u64>,
    peak_resident: u64,
}

/// Readings at the start of a phase, to be compared with those at its end.
struct Baseline {
    second: usize,
    usage: Vec<Usage>,
    harness: Usage,
    timers_handled: (u64, u64),
}

/// Runs one step. Returns an error if the harness can't be set up or the instances don't get their leases in time.
pub fn run_step(plan: &Plan, instances: usize, progress: &mut dyn FnMut(&str)) -> Result<StepReport, String> {
    // Each instance has a link to each lease server. Fails early instead of running out of sockets half way.
    let (needed, limit) =
        (instances * LEASE_SERVERS + SPARE_DESCRIPTORS, getrlimit(Resource::Nofile).current);
    if limit.is_some_and(|limit| needed as u64 > limit) {
        return Err(format!("{needed} descriptors are needed, and the limit is {}", limit.unwrap_or(0)));
    }
    let clock = Clock(Instant::now());
    let catalogue = Arc::new(Catalogue::new(plan.shape));
    let mut random = WyRand::new_seed(plan.seed);
    let specs: Vec<InstanceSpec> = (0..instances)
        .map(|index| InstanceSpec {
            name: format!("h{index}"),
            zone: index % plan.shape.zones,
            list: catalogue.list_of(&mut random),
            start_at: Micros((index * 1_000_000 / STARTS_PER_SECOND) as u64),
        })
        .collect();
    let simulated_names: Vec<String> = specs.iter().map(|spec| spec.name.clone()).collect();
    let observations = Arc::new(Observations::default());
    let spec = FleetSpec {
        program: plan.program,
        sidecars: plan.sidecars,
        max_divergence_s: plan.max_divergence_s,
        scope: plan.scope,
        simulated_names: &simulated_names,
        servers: plan.shape.servers,
        seed: plan.seed,
    };
    let mut fleet = Fleet::start(&spec, clock.0, &observations)?;
    fleet.wait_until_answering()?;
    let lease = oakhollow_lease::lease_duration(oakhollow_config::micros_from_seconds(plan.max_divergence_s));
    let common = CommonConfig {
        lease_servers: LEASE_SERVERS,
        lease_duration: lease,
        document: fleet.document.clone(),
        scope: plan.scope,
    };
    let start_time = clock.now();
    let mut specs_by_thread: Vec<Vec<InstanceSpec>> = vec![Vec::new(); plan.threads.max(1)];
    for (index, spec) in specs.iter().enumerate() {
        let delayed_spec = InstanceSpec { start_at: spec.start_at + start_time, ..spec.clone() };
        specs_by_thread[index % plan.threads.max(1)].push(delayed_spec);
    }
    let shards = specs_by_thread.into_iter().enumerate().map(|(index, thread_specs)| {
        let (common, lease_servers) = (common.clone(), fleet.lease_servers.clone());
        Shard::start(
            thread_specs,
            common,
            catalogue.clone(),
            lease_servers,
            clock,
            plan.seed.wrapping_add(index as u64),
        )
    });
    let shards = shards.collect::<std::io::Result<_>>().map_err(|error| error.to_string())?;
    let started_at_ms = vec![0; plan.shape.services * plan.shape.servers];
    let mut step_run = StepRun {
        plan,
        clock,
        fleet,
        shards,
        catalogue,
        specs,
        observations,
        started_at_ms,
        peak_resident: 0,
    };
    let lease = Duration::from_micros(lease.0);
    step_run.fleet.wait_until_serving(lease)?;
    step_run.wait_for_leases(lease)?;
    let time_to_leases_s = (clock.now() - start_time).secs();
    progress(&format!("{instances} instances act after {time_to_leases_s:.1} s"));
    let phases = step_run.run_phases(lease, progress);
    Ok(StepReport {
        instances,
        operator_bytes: step_run.fleet.operator_bytes,
        time_to_answer_s: step_run.fleet.time_to_answer_s,
        time_to_serve_s: step_run.fleet.time_to_serve_s,
        time_to_leases_s,
        phases,
    })
}

impl StepRun<'_> {
    fn sum(&self, count_of: impl Fn(&Shard) -> usize) -> usize {
        self.shards.iter().map(count_of).sum()
    }

    fn with_lease(&self) -> usize {
        self.sum(|shard| shard.status.with_lease.load(Ordering::Relaxed))
    }

    fn had_lease(&self) -> usize {
        self.sum(|shard| shard.status.had_lease.load(Ordering::Relaxed))
    }

    fn awaiting(&self) -> usize {
        self.sum(|shard| shard.status.awaiting.load(Ordering::Relaxed))
    }

    fn broadcast(&self, command: &Command) {
        self.shards.iter().for_each(|shard| shard.send(command.clone()));
    }

    fn wait_for_leases(&mut self, lease: Duration) -> Result<(), String> {
        let (start_time, timeout) = (Instant::now(), START_TIMEOUT + 4 * lease);
        while self.had_lease() < self.specs.len() {
            let aborted = self.fleet.exited_process().or_else(|| self.check_memory());
            let timed_out = (start_time.elapsed() > timeout).then(|| "timed out".to_string());
            if let Some(reason) = aborted.or(timed_out) {
                return Err(format!(
                    "{reason}: {} of {} instances have had leases",
                    self.had_lease(),
                    self.specs.len()
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns a reason to abort if all processes together use too much memory.
    fn check_memory(&mut self) -> Option<String> {
        let total_bytes = self.fleet.resident() + usage::resident(std::process::id()).unwrap_or(0);
        self.peak_resident = self.peak_resident.max(self.fleet.resident());
        let exceeds_limit = total_bytes > self.plan.max_resident_bytes;
        exceeds_limit
            .then(|| format!("all processes together use {:.1} GB of memory", total_bytes as f64 / 1e9))
    }

    /// Runs the phases of the scenario while clients send requests.
    fn run_phases(&mut self, lease: Duration, progress: &mut dyn FnMut(&str)) -> Vec<PhaseReport> {
        let (finished, clients_start) = (AtomicBool::new(false), Instant::now());
        let clock_start = self.clock.0;
        std::thread::scope(|scope| {
            for (index, process) in self.fleet.processes.iter().enumerate().skip(LEASE_SERVERS) {
                let (address, observations, rate, finished) =
                    (process.listen, self.observations.clone(), self.plan.rate, &finished);
                let end = move || if finished.load(Ordering::Relaxed) { 0.0 } else { f64::INFINITY };
                scope.spawn(move || {
                    fakes::run_client(
                        address,
                        (index, CALLED_WORKLOAD),
                        rate,
                        clients_start,
                        end,
                        &observations,
                    )
                });
            }
            let mut reports = Vec::new();
            for phase in self.plan.scenario.phases() {
                progress(phase.name);
                let report =
                    self.run_phase(phase, lease, clients_start.duration_since(clock_start), progress);
                let is_aborted = report.aborted.is_some();
                if phase.measured || is_aborted {
                    reports.push(report);
                }
                if is_aborted {
                    break;
                }
            }
            finished.store(true, Ordering::Relaxed);
            reports
        })
    }

    /// Records whether and when the last change reached all instances concerned.
    fn record_propagation(&self, changed_at: Micros, propagation: &mut Propagation) {
        propagation.changes += 1;
        propagation.missing = self.awaiting();
        if propagation.missing == 0 {
            let last =
                self.shards.iter().map(|shard| shard.status.last_learned_at.load(Ordering::Relaxed)).max();
            propagation.delays_s.push((Micros(last.unwrap_or(0)) - changed_at).secs());
        }
    }

    /// Waits for this second of the run. Returns a reason to abort if something fails before.
    fn wait_until(&mut self, second: f64) -> Option<String> {
        loop {
            if let Some(reason) = self.fleet.exited_process().or_else(|| self.check_memory()) {
                return Some(reason);
            }
            let remaining = Micros((second * 1e6) as u64) - self.clock.now();
            if remaining.0 == 0 {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL.min(Duration::from_micros(remaining.0)));
        }
    }

    /// Collects the counts of all shards; the next counts begin with `next_second`.
    fn collect(&self, next_second: usize, first_second: usize) -> Counts {
        let mut all = Counts::new(LEASE_SERVERS, first_second);
        let (sender, counts) = channel();
        self.broadcast(&Command::Collect(next_second, sender.clone()));
        drop(sender);
        counts.iter().for_each(|counts| all.merge(&counts));
        all
    }

    /// Waits until all commands sent so far have been handled.
    fn barrier(&self) {
        let (sender, done) = channel();
        self.broadcast(&Command::Barrier(sender.clone()));
        drop(sender);
        done.iter().for_each(|()| {});
    }

    fn baseline(&self, second: usize) -> Baseline {
        let timer_sum = |count_of: fn(&Shard) -> u64| self.shards.iter().map(count_of).sum();
        self.shards.iter().for_each(|shard| shard.status.max_delay_us.store(0, Ordering::Relaxed));
        Baseline {
            second,
            usage: self.fleet.usage(),
            harness: Usage::of(std::process::id()).unwrap_or_default(),
            timers_handled: (
                timer_sum(|shard| shard.status.timers_handled.load(Ordering::Relaxed)),
                timer_sum(|shard| shard.status.late_timers.load(Ordering::Relaxed)),
            ),
        }
    }

    fn run_phase(
        &mut self, phase: &Phase, lease: Duration, clients_start_offset: Duration,
        progress: &mut dyn FnMut(&str),
    ) -> PhaseReport {
        let first_second = self.clock.now().secs() as usize + 1;
        let mut aborted = self.wait_until(first_second as f64);
        self.collect(first_second, first_second);
        self.peak_resident = 0;
        let baseline = self.baseline(first_second);
        let planned_s = (phase.lease_durations * lease.as_secs_f64()).ceil().max(1.0) as usize;
        let (mut propagation, mut actions) = (Propagation::default(), 0);
        let mut changed_at = Micros(0);
        let mut next_action_at = Some(first_second as f64);
        for second in first_second + 1..=first_second + planned_s {
            while let Some(due) = next_action_at.filter(|due| *due < second as f64 && aborted.is_none()) {
                aborted = self.wait_until(due);
                if actions > 0 {
                    self.record_propagation(changed_at, &mut propagation);
                }
                (changed_at, propagation.recipients) = self.perform(phase.action, actions);
                actions += 1;
                next_action_at = (phase.repeat_every_s > 0.0).then_some(due + phase.repeat_every_s);
            }
            aborted = aborted.or_else(|| self.wait_until(second as f64));
            if aborted.is_some() {
                break;
            }
            if (second - first_second).is_multiple_of(10) {
                progress(&format!(
                    "{}: {} of {planned_s} s, {} act",
                    phase.name,
                    second - first_second,
                    self.with_lease()
                ));
            }
        }
        let length_s = (self.clock.now() - Micros(first_second as u64 * 1_000_000)).secs();
        let propagation = (phase.action != PhaseAction::Nothing).then(|| {
            self.record_propagation(changed_at, &mut propagation);
            propagation.delays_s.sort_by(f64::total_cmp);
            propagation
        });
        let mut report = self.report(phase, &baseline, length_s);
        report.requests =
            self.request_totals(first_second as f64 - clients_start_offset.as_secs_f64(), length_s);
        (report.propagation, report.aborted) = (propagation, aborted);
        report
    }

    fn report(&self, phase: &Phase, baseline: &Baseline, length_s: f64) -> PhaseReport {
        let max_delay_us =
            self.shards.iter().map(|shard| shard.status.max_delay_us.load(Ordering::Relaxed)).max();
        let after = self.baseline(0);
        let used: Vec<(Usage, Usage)> = baseline.usage.iter().copied().zip(after.usage).collect();
        let (lease_servers, sidecars) = used.split_at(LEASE_SERVERS);
        let next_second = self.clock.now().secs() as usize + 1;
        PhaseReport {
            name: phase.name,
            length_s,
            lease_server: RoleUsage {
                peak_resident: self.peak_resident,
                ..role_usage(lease_servers, length_s)
            },
            sidecar: role_usage(sidecars, length_s),
            harness: role_usage(&[(baseline.harness, after.harness)], length_s),
            with_lease: self.with_lease(),
            had_lease: self.had_lease(),
            alive: self.sum(|shard| shard.status.alive.load(Ordering::Relaxed)),
            counts: self.collect(next_second, baseline.second),
            propagation: None,
            requests: RequestTotals::default(),
            timers_handled: after.timers_handled.0 - baseline.timers_handled.0,
            late_timers: after.timers_handled.1 - baseline.timers_handled.1,
            max_delay_s: Micros(max_delay_us.unwrap_or(0)).secs(),
            aborted: None,
        }
    }

    /// Performs a phase's action; `repetition` counts from 0. Returns when, and how many instances are to learn of it.
    fn perform(&mut self, action: PhaseAction, repetition: usize) -> (Micros, usize) {
        let zone = self.plan.seed as usize % self.plan.shape.zones;
        let server_count = self.plan.shape.services * self.plan.shape.servers;
        let affected = Arc::new(
            (0..server_count).map(|server| self.catalogue.zone_of(server) == zone).collect::<Vec<bool>>(),
        );
        match action {
            PhaseAction::Nothing => (self.clock.now(), 0),
            PhaseAction::DrainOnOneList => {
                let server = self.specs[0].list[0] as usize;
                let only = Arc::new((0..server_count).map(|other| other == server).collect::<Vec<bool>>());
                let recipients = self.expect_change(AwaitedChange::Servers(only, true));
                let now = self.clock.now();
                self.shards[0].send(Command::UpdateOneList(
                    0,
                    server,
                    ServerState { started_at_ms: 0, excluded: true },
                ));
                (now, recipients)
            }
            PhaseAction::LoseZone => {
                self.expect_change(AwaitedChange::Servers(affected.clone(), true));
                let now = self.clock.now();
                self.broadcast(&Command::LoseZone(zone));
                self.broadcast(&Command::UpdateAllLists(
                    affected,
                    ServerState { started_at_ms: 0, excluded: true },
                ));
                self.announce_zone(zone, scene::ListChange::Draining);
                self.barrier();
                (now, self.awaiting())
            }
            PhaseAction::ChangeSettings => {
                let mut document = self.fleet.document.clone();
                document.version.number += 1;
                self.fleet.document = document.clone();
                let recipients = self.expect_change(AwaitedChange::Version(document.version));
                let now = self.clock.now();
                let proposer = self.specs.len() / self.shards.len() / 2;
                self.shards[0].send(Command::WriteSettings(Some(proposer), document));
                (now, recipients)
            }
            PhaseAction::ReplaceServer => {
                let servers = self.catalogue.servers_of(0);
                let (draining, previous) =
                    (repetition % servers.len(), (repetition + servers.len() - 1) % servers.len());
                let only = |server: usize| {
                    Arc::new((0..server_count).map(|other| other == server).collect::<Vec<bool>>())
                };
                let recipients = self.expect_change(AwaitedChange::Servers(only(draining), true));
                let now = self.clock.now();
                self.broadcast(&Command::UpdateAllLists(
                    only(draining),
                    ServerState { started_at_ms: self.started_at_ms[draining], excluded: true },
                ));
                self.fleet.announce(draining, scene::ListChange::Draining);
                if repetition > 0 {
                    self.started_at_ms[previous] = unix_ms();
                    self.broadcast(&Command::UpdateAllLists(
                        only(previous),
                        ServerState { started_at_ms: self.started_at_ms[previous], excluded: false },
                    ));
                    self.fleet.announce(previous, scene::ListChange::Restarted);
                }
                (now, recipients)
            }
            PhaseAction::RestoreZone => {
                let recipients = self.expect_change(AwaitedChange::Servers(affected.clone(), false));
                let now = self.clock.now();
                self.broadcast(&Command::UpdateAllLists(
                    affected,
                    ServerState { started_at_ms: unix_ms(), excluded: false },
                ));
                self.broadcast(&Command::RestoreZone(zone));
                self.announce_zone(zone, scene::ListChange::Restarted);
                (now, recipients)
            }
        }
    }

    fn announce_zone(&self, zone: usize, change: scene::ListChange) {
        let servers = self.catalogue.servers_of(0).filter(|server| self.catalogue.zone_of(*server) == zone);
        servers.for_each(|server| self.fleet.announce(server, change));
    }

    /// Starts to wait for a change; returns how many instances do not know it yet.
    fn expect_change(&self, awaited: AwaitedChange) -> usize {
        self.broadcast(&Command::Await(awaited));
        self.barrier();
        self.awaiting()
    }

    /// Sums up the requests that clients sent from `from` on, for `length_s` seconds of their clock.
    fn request_totals(&self, from: f64, length_s: f64) -> RequestTotals {
        let answers = self.observations.responses.lock().unwrap_or_else(PoisonError::into_inner);
        let in_phase = answers.iter().filter(|answer| (from..from + length_s).contains(&answer.sent_at));
        let (mut totals, mut slots) = (RequestTotals::default(), BTreeSet::new());
        for answer in in_phase {
            totals.requests += 1;
            match answer.status {
                Some(200) => totals.succeeded += 1,
                _ => _ = slots.insert((answer.sidecar, (answer.sent_at / REFUSAL_SLOT_S) as u64)),
            }
        }
        totals.refused_s = slots.len() as f64 * REFUSAL_SLOT_S;
        totals
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn role_usage(used: &[(Usage, Usage)], length_s: f64) -> RoleUsage {
    let cpu = |(before, after): &(Usage, Usage)| (after.cpu_s - before.cpu_s) / length_s.max(0.001);
    let each = || used.iter().map(cpu);
    RoleUsage {
        cpu: each().sum::<f64>() / used.len().max(1) as f64,
        cpu_max: each().fold(0.0, f64::max),
        resident: used.iter().map(|(_, after)| after.resident).max().unwrap_or(0),
        peak_resident: 0,
        descriptors: used.iter().map(|(_, after)| after.descriptors).max().unwrap_or(0),
    }
}
