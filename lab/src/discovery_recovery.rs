//! Part of a tier of hundreds whose discovery goes down, with all watches, and is back with less than all of them ask for at once: how
//! long until each has heard from it again.
use crate::harness::{
    config_json, wait_until_all_ready, Capacity, DelayMonitor, DiscoveryOutcome, ListedEndpoint, OutageKind,
    ProcessConfig, RunValidity, SharedDiscovery, TempDir,
};
use crate::processes::Sidecar;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// What is played.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Case {
    /// How it is called.
    pub name: &'static str,
    /// How many processes run.
    pub processes: usize,
    /// How many instances each takes its tier to have; the rest are not there, and neither is their part of the capacity.
    pub tier: usize,
    /// How long discovery is down, and turns calls away.
    pub down: Duration,
    /// What it has after its return.
    pub capacity: Capacity,
    /// How long after its return the play ends at the latest.
    pub watched: Duration,
}

/// What was seen.
#[derive(Debug)]
pub struct Report {
    /// When each that heard from discovery did, in seconds from its return, in order.
    pub heard: Vec<f64>,
    /// Calls that were turned away after its return.
    pub turned_away: usize,
}

/// A rig that is later than this gives no figure, in seconds.
const LATE: f64 = 0.2;
const LOOK: Duration = Duration::from_millis(50);

fn start(
    program: &Path, case: &Case, folder: &TempDir, discovery: &SharedDiscovery,
) -> std::io::Result<Vec<Sidecar>> {
    let start = |at: usize| {
        let mut sidecar = Sidecar::new(program, &format!("n{at}"), folder.path())?;
        let told = ProcessConfig {
            at,
            me: at,
            balancers: case.tier,
            console: false,
            ..ProcessConfig::alone(discovery.address)
        };
        sidecar.write_config(&config_json(&sidecar, &told))?;
        sidecar.start()?;
        Ok(sidecar)
    };
    (0..case.processes).map(start).collect()
}

/// Plays a case once.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let failed = |fault: std::io::Error| fault.to_string();
    let listed = ListedEndpoint {
        name: "s0".into(),
        address: crate::processes::reserve_address().map_err(failed)?,
        since_ms: 0,
    };
    let discovery = SharedDiscovery::start(vec![listed]).map_err(failed)?;
    let folder = TempDir::new("crowd");
    let mut sidecars = start(program, case, &folder, &discovery).map_err(failed)?;
    wait_until_all_ready(&mut sidecars)?;
    let delay_monitor = DelayMonitor::start();
    discovery.go_down(OutageKind::Rejected);
    thread::sleep(case.down);
    discovery.come_back(Some(case.capacity)).map_err(failed)?;
    let back = Instant::now();
    let heard = || {
        let calls = discovery.requests();
        let told = calls.iter().filter(|(at, met)| *at >= back && *met == DiscoveryOutcome::Served);
        told.map(|(at, _)| (*at - back).as_secs_f64()).collect::<Vec<_>>()
    };
    while heard().len() < case.processes && back.elapsed() < case.watched {
        thread::sleep(LOOK);
    }
    let turned_away = discovery
        .requests()
        .iter()
        .filter(|(at, met)| *at >= back && *met == DiscoveryOutcome::Rejected)
        .count();
    let ran = match delay_monitor.max_delay_s() {
        late if late > LATE => RunValidity::HarnessLate(format!("the rig ran {late:.3} s late")),
        _ => RunValidity::Valid,
    };
    Ok((Report { heard: heard(), turned_away }, ran))
}
