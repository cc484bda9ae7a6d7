//! A soak test: dozens of real processes of the program on loopback, with up to three disruptions at a time.
//! The records of clients and servers are then checked. The seed determines the timetable of disruptions.
//!
//! [`disruption`] lists the kinds of disruptions, [`timetable`] draws when and where each one happens,
//! [`fleet`] starts the processes, [`servers`], [`clients`] and [`discovery`] are the fake peers that keep
//! records, [`injector`] runs the timetable, and [`checker`] checks the records.
pub mod checker;
pub mod clients;
pub mod discovery;
pub mod disruption;
pub mod fleet;
pub mod injector;
pub mod records;
pub mod report;
pub mod servers;
pub mod timetable;
pub mod trace;

use crate::harness::{DelayMonitor, TempDir};
use disruption::Disruption;
use fleet::Fleet;
use records::Records;
use report::Report;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use timetable::Timetable;

/// How long all processes may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long open requests get to finish once the timetable is over.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// With a seed divisible by this, [`EXCESS_CONNECTIONS`] idle clients, more than a process accepts, are
/// connected to the first process of each group during the whole run.
const EXCESS_CLIENTS_SEED_DIVISOR: u64 = 3;
const EXCESS_CONNECTIONS: usize = 520;

/// The parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seeds the timetable and all other random choices.
    pub seed: u64,
    /// Processes of the program, at least four.
    pub processes: usize,
    /// How long disruptions are injected.
    pub duration: Duration,
    /// Kinds of disruptions that are left out.
    pub excluded: Vec<Disruption>,
}

/// Runs the soak of one seed. An error means that the harness could not be set up, so there is no verdict.
pub fn run(program: &Path, plan: &Plan) -> Result<Report, String> {
    let folder = TempDir::new("soak");
    let records = Arc::new(Records::new());
    let mut fleet =
        Fleet::start(program, plan, folder.path(), &records).map_err(|error| error.to_string())?;
    fleet.wait_until_all_ready(READY_TIMEOUT)?;
    let timetable = Timetable::draw(plan, &fleet.size());
    let delay_monitor = DelayMonitor::start();
    let start = Instant::now();
    let clients = fleet.start_clients(plan.seed);
    let excess_clients = start_excess_clients(&fleet, plan);
    injector::run_timetable(&mut fleet, &timetable, start);
    excess_clients.into_iter().for_each(|holder| _ = holder.join());
    clients.stop();
    thread::sleep(SETTLE_TIME);
    let harness_delay_s = delay_monitor.max_delay_s();
    let shutdown = fleet.shut_down();
    let verdict = checker::check(&records, &shutdown);
    Ok(Report::new(plan, timetable, verdict, shutdown, harness_delay_s, &records))
}

fn start_excess_clients(fleet: &Fleet, plan: &Plan) -> Vec<JoinHandle<()>> {
    let enabled = plan.seed.is_multiple_of(EXCESS_CLIENTS_SEED_DIVISOR);
    let first_addresses = fleet.groups.iter().map(|group| group.processes[0].listen);
    let duration = plan.duration;
    let spawn_holder = |address| {
        thread::spawn(move || clients::hold_idle_connections(address, EXCESS_CONNECTIONS, duration))
    };
    first_addresses.filter(|_| enabled).map(spawn_holder).collect()
}

/// Reduces a failing plan: excludes each kind of disruption without which the run still has findings, and
/// returns the command that runs what is left.
pub fn shrink(program: &Path, plan: &Plan) -> String {
    let mut reduced = plan.clone();
    for kind in Disruption::ALL.iter().filter(|kind| !plan.excluded.contains(kind)) {
        reduced.excluded.push(*kind);
        let still_fails = run(program, &reduced).is_ok_and(|report| !report.is_clean() && !report.is_late());
        if !still_fails {
            reduced.excluded.pop();
        }
    }
    let excluded: String =
        reduced.excluded.iter().map(|kind| format!(" --without {}", kind.name())).collect();
    format!(
        "oakhollow-lab soak --seed {} --processes {} --seconds {}{excluded}",
        plan.seed,
        plan.processes,
        plan.duration.as_secs_f64()
    )
}
