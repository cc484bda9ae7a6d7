//! A soak test: dozens of real processes of the program on loopback, with two or three troubles always at a time, judged from
//! the records of clients and servers. One seed draws one timetable.
//!
//! Each of the parts has one job: [`trouble`] names the kinds of trouble, [`timetable`] draws when they happen and to whom,
//! [`fleet`] starts the processes, [`servers`], [`clients`] and [`discovery`] stand for everybody else and keep records,
//! [`injector`] carries the timetable out, and [`checker`] reads the records.
pub mod checker;
pub mod clients;
pub mod discovery;
pub mod fleet;
pub mod injector;
pub mod records;
pub mod report;
pub mod servers;
pub mod timetable;
pub mod trouble;

use crate::harness::{DelayMonitor, TempDir};
use fleet::Fleet;
use records::Records;
use report::Report;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use timetable::Timetable;
use trouble::Trouble;

/// How long all may take to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// How long what is open may take to end once the timetable is over.
const SETTLES: Duration = Duration::from_millis(3_000);

/// One play in so many has a crowd from its beginning to its end: one process of each group is held by so many idle clients, more
/// than it takes in.
const CROWD_ONE_IN: u64 = 3;
const CROWD: usize = 520;

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Draws the timetable and all else that is left to chance.
    pub seed: u64,
    /// Processes of the program, at least four.
    pub processes: usize,
    /// How long troubles go on.
    pub length: Duration,
    /// Kinds that are left out.
    pub without: Vec<Trouble>,
}

/// Plays a seed. An error means that the rig could not be built: there is no verdict.
pub fn run(program: &Path, plan: &Plan) -> Result<Report, String> {
    let folder = TempDir::new("soak");
    let records = Arc::new(Records::new());
    let mut fleet =
        Fleet::build(program, plan, folder.path(), &records).map_err(|error| error.to_string())?;
    fleet.all_ready(READY_WITHIN)?;
    let timetable = Timetable::draw(plan, &fleet.shape());
    let delay_monitor = DelayMonitor::start();
    let begun = Instant::now();
    let callers = fleet.start_clients(plan.seed);
    let crowd = start_crowd(&fleet, plan);
    injector::carry_out(&mut fleet, &timetable, begun);
    crowd.into_iter().for_each(|held| _ = held.join());
    callers.stop();
    thread::sleep(SETTLES);
    let harness_delay_s = delay_monitor.max_delay_s();
    let ends = fleet.end();
    let verdict = checker::check(&records, &ends);
    Ok(Report::new(plan, timetable, verdict, ends, harness_delay_s, &records))
}

fn start_crowd(fleet: &Fleet, plan: &Plan) -> Vec<JoinHandle<()>> {
    let crowded = plan.seed.is_multiple_of(CROWD_ONE_IN);
    let first_of_each = fleet.groups.iter().map(|group| group.processes[0].listen);
    let length = plan.length;
    let hold = |to| thread::spawn(move || clients::flood(to, CROWD, length));
    first_of_each.filter(|_| crowded).map(hold).collect()
}

/// Leaves out of a plan, one after the other, each kind without which something is still found, and says the command that
/// plays the rest.
pub fn shrink(program: &Path, plan: &Plan) -> String {
    let mut smaller = plan.clone();
    for kind in Trouble::ALL.iter().filter(|kind| !plan.without.contains(kind)) {
        smaller.without.push(*kind);
        let found = run(program, &smaller).is_ok_and(|report| !report.is_clean() && !report.is_late());
        if !found {
            smaller.without.pop();
        }
    }
    let without: String = smaller.without.iter().map(|kind| format!(" --without {}", kind.name())).collect();
    format!(
        "oakhollow-lab soak --seed {} --processes {} --seconds {}{without}",
        plan.seed,
        plan.processes,
        plan.length.as_secs_f64()
    )
}
