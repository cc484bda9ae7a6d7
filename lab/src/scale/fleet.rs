//! The real processes of a step: lease servers, and sidecars that carry requests, each with a fake discovery.
use super::usage::{self, Usage};
use crate::fake_sidecar::read_instance_file;
use crate::fakes::{self, Discovery, Observations};
use crate::processes::{reserve_address, Sidecar};
use crate::scene::ListChange;
use crate::scene_runner::{console_request, is_healthy};
use oakhollow_config::Scope;
use oakhollow_lease::Document;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const LEASE_SERVERS: usize = 3;
/// How long a process may take to start, in addition to the lease durations that it waits for.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Workloads in the settings: requests are sent to the first, the others bring the text to a realistic size.
const WORKLOAD_COUNT: usize = 20;
/// The workload to which the fake clients send.
pub const CALLED_WORKLOAD: &str = "w0";

/// The real processes, their servers and their discoveries.
pub struct Fleet {
    /// The lease servers first.
    pub processes: Vec<Sidecar>,
    pub lease_servers: Vec<SocketAddr>,
    discoveries: Vec<Discovery>,
    servers: Vec<SocketAddr>,
    pub document: Document,
    /// Size of the operator's file, which names every instance.
    pub operator_bytes: usize,
    /// Time from the start until all processes answer at their consoles, and until all serve.
    pub time_to_answer_s: f64,
    pub time_to_serve_s: f64,
    started: Instant,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What [`Fleet::start`] builds.
pub struct FleetSpec<'a> {
    pub program: &'a Path,
    /// Number of sidecars in addition to the lease servers.
    pub sidecars: usize,
    pub max_divergence_s: f64,
    pub scope: Scope,
    pub simulated_names: &'a [String],
    /// Number of servers on the list of every real process: those of the first service.
    pub servers: usize,
    pub seed: u64,
}

impl Fleet {
    pub fn start(
        spec: &FleetSpec, started: Instant, observations: &Arc<Observations>,
    ) -> Result<Fleet, String> {
        Fleet::build(spec, started, observations).map_err(|error| error.to_string())
    }

    fn build(spec: &FleetSpec, started: Instant, observations: &Arc<Observations>) -> std::io::Result<Fleet> {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let folder_name =
            format!("oakhollow-scale-{}-{}", std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(folder_name);
        let servers: Vec<SocketAddr> = (0..spec.servers)
            .map(|number| fakes::start_server(number, started, observations.clone()))
            .collect::<std::io::Result<_>>()?;
        let lease_servers: Vec<SocketAddr> =
            (0..LEASE_SERVERS).map(|_| reserve_address()).collect::<std::io::Result<_>>()?;
        let names: Vec<String> = (0..LEASE_SERVERS)
            .map(|number| format!("n{number}"))
            .chain((0..spec.sidecars).map(|number| format!("r{number}")))
            .collect();
        let operator = operator_config(spec, &names, &lease_servers);
        let mut fleet = Fleet {
            processes: Vec::new(),
            lease_servers,
            discoveries: Vec::new(),
            servers,
            document: Document {
                version: oakhollow_lease::Version { epoch: 0, number: 0, hash: 0 },
                text: "".into(),
            },
            operator_bytes: operator.len(),
            time_to_answer_s: 0.0,
            time_to_serve_s: 0.0,
            started: Instant::now(),
            folder,
        };
        for (index, name) in names.iter().enumerate() {
            let mut process = Sidecar::new(spec.program, name, &fleet.folder)?;
            let discovery = Discovery::start(&fleet.servers)?;
            process.write_operator_config(&operator)?;
            process.write_config(&config_json(spec, index, &process, &discovery, &fleet.servers))?;
            fleet.discoveries.push(discovery);
            fleet.processes.push(process);
        }
        let first_instance =
            read_instance_file(&fleet.processes[0].config_path()).map_err(std::io::Error::other)?;
        fleet.document = first_instance.2;
        fleet.started = Instant::now();
        fleet.processes.iter_mut().try_for_each(Sidecar::start)?;
        Ok(fleet)
    }

    /// Waits until all processes answer at their consoles, which needs no lease.
    pub fn wait_until_answering(&mut self) -> Result<(), String> {
        self.wait(START_TIMEOUT, |process| {
            console_request(process.console, "GET", "/healthcheck").is_some()
        })?;
        self.time_to_answer_s = self.started.elapsed().as_secs_f64();
        Ok(())
    }

    /// Waits until all processes serve.
    pub fn wait_until_serving(&mut self, lease: Duration) -> Result<(), String> {
        self.wait(START_TIMEOUT + 4 * lease, |process| is_healthy(process.console))?;
        self.time_to_serve_s = self.started.elapsed().as_secs_f64();
        Ok(())
    }

    fn wait(&mut self, timeout: Duration, done: impl Fn(&Sidecar) -> bool) -> Result<(), String> {
        for process in &mut self.processes {
            while !done(process) {
                if process.has_exited() || self.started.elapsed() > timeout {
                    return Err(format!("{} does not start to serve:\n{}", process.name, process.log_text()));
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }

    /// Announces the change at all discoveries, if the server is on the list of the real processes.
    pub fn announce(&self, server: usize, change: ListChange) {
        if let Some(address) = self.servers.get(server) {
            self.discoveries.iter().for_each(|discovery| discovery.announce(change, server, *address));
        }
    }

    pub fn usage(&self) -> Vec<Usage> {
        let usage_of = |process: &Sidecar| process.pid().and_then(Usage::of).unwrap_or_default();
        self.processes.iter().map(usage_of).collect()
    }

    /// Resident memory of all processes together, in bytes.
    pub fn resident(&self) -> u64 {
        self.processes.iter().filter_map(Sidecar::pid).filter_map(usage::resident).sum()
    }

    /// Describes a process that has exited by itself, if there is one.
    pub fn exited_process(&mut self) -> Option<String> {
        let exited =
            self.processes.iter_mut().find_map(|process| process.has_exited().then_some(&*process))?;
        let log = exited.log_text();
        let last_lines: Vec<&str> = log.lines().rev().take(3).collect();
        Some(format!("{} has exited: {}", exited.name, last_lines.join(" | ")))
    }
}

/// The operator's file, the same for all processes: it names every instance, the simulated ones included.
fn operator_config(spec: &FleetSpec, names: &[String], lease_servers: &[SocketAddr]) -> String {
    let mut text = format!(
        "[accord]\nwithin = {:?}\nscope = \"{}\"\nkeepers = [{}]\n\n[accord.instances]\n",
        spec.max_divergence_s,
        match spec.scope {
            Scope::All => "all",
            Scope::Listed => "listed",
        },
        names[..LEASE_SERVERS].iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(", ")
    );
    // Nothing connects to instances that are not lease servers, but their addresses have the usual length.
    let unused_address =
        |index: usize| SocketAddr::from(([127, 128, (index >> 8) as u8, index as u8], 7_071));
    for (index, name) in names.iter().chain(spec.simulated_names).enumerate() {
        let address = lease_servers.get(index).copied().unwrap_or_else(|| unused_address(index));
        text += &format!("{name} = \"{address}\"\n");
    }
    text
}

fn config_json(
    spec: &FleetSpec, index: usize, process: &Sidecar, discovery: &Discovery, servers: &[SocketAddr],
) -> String {
    let workload = |number: usize| {
        format!(
            r#"{{"name":"w{number}","semantics":"read_like","quoted_time_s":1,"abandon_time_s":2,"payoff":1}}"#
        )
    };
    let workloads: Vec<String> = (0..WORKLOAD_COUNT).map(workload).collect();
    format!(
        r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"{}","seed":"{:x}","version":{{"number":1}},
        "limits":{{"sockets":{}}},"known":{},"settings":{{"me":{index},"balancers":{},"zones":["a"],"discovery":"on_request",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
        "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},"workloads":[{}]}}}}"#,
        process.name,
        process.listen,
        process.console,
        discovery.address,
        spec.seed.wrapping_mul(31).wrapping_add(index as u64),
        // A lease server reserves two links for each instance, in addition to the default limit.
        1_024 + 2 * (spec.simulated_names.len() + LEASE_SERVERS + spec.sidecars),
        fakes::initial_list(servers),
        LEASE_SERVERS + spec.sidecars,
        workloads.join(",")
    )
}
