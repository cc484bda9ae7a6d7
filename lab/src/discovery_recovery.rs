//! The discovery of a tier of hundreds of instances goes down, which ends all watches, and comes back with less
//! capacity than their requests would need at once. Measures how long each process takes to get the list again.
use crate::harness::{
    config_json, wait_until_all_ready, Capacity, DelayMonitor, DiscoveryOutcome, ListedEndpoint, OutageKind,
    ProcessConfig, RunValidity, SharedDiscovery, TempDir,
};
use crate::processes::Sidecar;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The parameters of a run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Case {
    /// Its name in reports.
    pub name: &'static str,
    /// How many processes run.
    pub processes: usize,
    /// How many instances each process is told that its tier has. Those beyond `processes` do not run, and `capacity`
    /// leaves out their share.
    pub tier_size: usize,
    /// How long discovery is down and rejects requests.
    pub outage: Duration,
    /// Discovery's capacity after its return.
    pub capacity: Capacity,
    /// How long after discovery's return the run ends at the latest.
    pub time_limit: Duration,
}

/// The outcome of a case.
#[derive(Debug)]
pub struct Report {
    /// When each process that got the list again did so, in seconds from discovery's return, sorted.
    pub recovered_s: Vec<f64>,
    /// How many requests were rejected after discovery's return.
    pub rejected: usize,
}

/// If the harness ran later than this, in seconds, a failure is inconclusive.
const MAX_DELAY_S: f64 = 0.2;
/// How often discovery's records are read.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn start(
    program: &Path, case: &Case, folder: &TempDir, discovery: &SharedDiscovery,
) -> std::io::Result<Vec<Sidecar>> {
    let start = |number: usize| {
        let mut sidecar = Sidecar::new(program, &format!("n{number}"), folder.path())?;
        let config = ProcessConfig {
            process: number,
            me: number,
            balancers: case.tier_size,
            console: false,
            ..ProcessConfig::alone(discovery.address)
        };
        sidecar.write_config(&config_json(&sidecar, &config))?;
        sidecar.start()?;
        Ok(sidecar)
    };
    (0..case.processes).map(start).collect()
}

/// Runs a case once.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let error_text = |error: std::io::Error| error.to_string();
    let listed = ListedEndpoint {
        name: "s0".into(),
        address: crate::processes::reserve_address().map_err(error_text)?,
        since_ms: 0,
    };
    let discovery = SharedDiscovery::start(vec![listed]).map_err(error_text)?;
    let folder = TempDir::new("discovery-recovery");
    let mut sidecars = start(program, case, &folder, &discovery).map_err(error_text)?;
    wait_until_all_ready(&mut sidecars)?;
    let delay_monitor = DelayMonitor::start();
    discovery.go_down(OutageKind::Rejected);
    thread::sleep(case.outage);
    discovery.come_back(Some(case.capacity)).map_err(error_text)?;
    let returned_at = Instant::now();
    let recovered_s = || {
        let requests = discovery.requests();
        let served = requests
            .iter()
            .filter(|(time, outcome)| *time >= returned_at && *outcome == DiscoveryOutcome::Served);
        served.map(|(time, _)| (*time - returned_at).as_secs_f64()).collect::<Vec<_>>()
    };
    while recovered_s().len() < case.processes && returned_at.elapsed() < case.time_limit {
        thread::sleep(POLL_INTERVAL);
    }
    let rejected = discovery
        .requests()
        .iter()
        .filter(|(time, outcome)| *time >= returned_at && *outcome == DiscoveryOutcome::Rejected)
        .count();
    let validity = match delay_monitor.max_delay_s() {
        delay if delay > MAX_DELAY_S => {
            RunValidity::HarnessLate(format!("the harness was {delay:.3} s late"))
        }
        _ => RunValidity::Valid,
    };
    Ok((Report { recovered_s: recovered_s(), rejected }, validity))
}
