//! The real processes of a step: lease servers and sidecars that forward requests, each with a fake discovery.
use super::usage::{self, Usage};
use crate::fakes::{self, Discovery, Observations};
use crate::processes::{reserve_address, Sidecar};
use crate::scene::ListChange;
use crate::scene_runner::{console_request, is_healthy};
use crate::stand_in::read_instance_file;
use oakhollow_accord::Document;
use oakhollow_terms::Scope;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How many lease servers there are.
pub const LEASE_SERVERS: usize = 3;
/// How long a process may take to start, beyond the leases that it waits for.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// How many workloads the settings have. The first is used; the others give the settings an ordinary size.
const WORKLOADS: usize = 20;
/// The workload of the clients' requests.
pub const CALLED_WORKLOAD: &str = "w0";

/// The real processes, their servers and discoveries.
pub struct Fleet {
    /// The processes, the lease servers first.
    pub processes: Vec<Sidecar>,
    /// The addresses of the lease servers.
    pub lease_servers: Vec<SocketAddr>,
    discoveries: Vec<Discovery>,
    servers: Vec<SocketAddr>,
    /// The settings that all instances share.
    pub document: Document,
    /// The size of the operator's file, which names every instance.
    pub operator_bytes: usize,
    /// The time from the start until all processes answer at their consoles, in seconds.
    pub answering_after_s: f64,
    /// The time from the start until all processes serve, in seconds.
    pub serving_after_s: f64,
    begun: Instant,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a fleet consists of.
pub struct FleetSpec<'a> {
    /// The program under test.
    pub program: &'a Path,
    /// How many sidecars run besides the lease servers.
    pub sidecars: usize,
    /// The setting `within`, in seconds.
    pub within: f64,
    /// The setting `scope`.
    pub scope: Scope,
    /// The names of the simulated instances.
    pub simulated: &'a [String],
    /// How many servers the lists of real processes have: those of the first service.
    pub servers: usize,
    /// The seed of the processes.
    pub seed: u64,
}

impl Fleet {
    /// Starts the processes, servers and discoveries.
    pub fn start(
        spec: &FleetSpec, begun: Instant, observations: &Arc<Observations>,
    ) -> Result<Fleet, String> {
        Fleet::build(spec, begun, observations).map_err(|error| error.to_string())
    }

    fn build(spec: &FleetSpec, begun: Instant, observations: &Arc<Observations>) -> std::io::Result<Fleet> {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let unique =
            format!("oakhollow-scale-{}-{}", std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let servers: Vec<SocketAddr> = (0..spec.servers)
            .map(|at| fakes::start_server(at, begun, observations.clone()))
            .collect::<std::io::Result<_>>()?;
        let lease_servers: Vec<SocketAddr> =
            (0..LEASE_SERVERS).map(|_| reserve_address()).collect::<std::io::Result<_>>()?;
        let names: Vec<String> = (0..LEASE_SERVERS)
            .map(|at| format!("n{at}"))
            .chain((0..spec.sidecars).map(|at| format!("r{at}")))
            .collect();
        let operator = operator_file(spec, &names, &lease_servers);
        let mut fleet = Fleet {
            processes: Vec::new(),
            lease_servers,
            discoveries: Vec::new(),
            servers,
            document: Document {
                version: oakhollow_accord::Version { epoch: 0, number: 0, hash: 0 },
                text: "".into(),
            },
            operator_bytes: operator.len(),
            answering_after_s: 0.0,
            serving_after_s: 0.0,
            begun: Instant::now(),
            folder,
        };
        for (at, name) in names.iter().enumerate() {
            let mut process = Sidecar::new(spec.program, name, &fleet.folder)?;
            let discovery = Discovery::start(&fleet.servers)?;
            process.write_operator_config(&operator)?;
            process.write_config(&settings_file(spec, at, &process, &discovery, &fleet.servers))?;
            fleet.discoveries.push(discovery);
            fleet.processes.push(process);
        }
        let first = read_instance_file(&fleet.processes[0].config_path()).map_err(std::io::Error::other)?;
        fleet.document = first.2;
        fleet.begun = Instant::now();
        fleet.processes.iter_mut().try_for_each(Sidecar::start)?;
        Ok(fleet)
    }

    /// Waits until all processes answer at their consoles, for which they need no lease.
    pub fn wait_until_answering(&mut self) -> Result<(), String> {
        self.wait(START_TIMEOUT, |process| {
            console_request(process.console, "GET", "/healthcheck").is_some()
        })?;
        self.answering_after_s = self.begun.elapsed().as_secs_f64();
        Ok(())
    }

    /// Waits until all processes serve.
    pub fn wait_until_serving(&mut self, lease: Duration) -> Result<(), String> {
        self.wait(START_TIMEOUT + 4 * lease, |process| is_healthy(process.console))?;
        self.serving_after_s = self.begun.elapsed().as_secs_f64();
        Ok(())
    }

    fn wait(&mut self, timeout: Duration, done: impl Fn(&Sidecar) -> bool) -> Result<(), String> {
        for process in &mut self.processes {
            while !done(process) {
                if process.has_exited() || self.begun.elapsed() > timeout {
                    return Err(format!("{} does not serve:\n{}", process.name, process.log_text()));
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }

    /// Changes a server in the lists of all real processes, if they have it.
    pub fn change_lists(&self, server: usize, change: ListChange) {
        if let Some(address) = self.servers.get(server) {
            self.discoveries.iter().for_each(|discovery| discovery.announce(change, server, *address));
        }
    }

    /// What each process uses.
    pub fn usage(&self) -> Vec<Usage> {
        let usage_of = |process: &Sidecar| process.pid().and_then(Usage::of).unwrap_or_default();
        self.processes.iter().map(usage_of).collect()
    }

    /// The resident memory of all processes together, in bytes.
    pub fn resident(&self) -> u64 {
        self.processes.iter().filter_map(Sidecar::pid).filter_map(usage::resident).sum()
    }

    /// Describes a process that has exited by itself, if there is one.
    pub fn describe_exited(&mut self) -> Option<String> {
        let exited =
            self.processes.iter_mut().find_map(|process| process.has_exited().then_some(&*process))?;
        let log = exited.log_text();
        let last: Vec<&str> = log.lines().rev().take(3).collect();
        Some(format!("{} has exited: {}", exited.name, last.join(" | ")))
    }
}

/// The operator's file, the same for all processes. It names every instance, also the simulated ones.
fn operator_file(spec: &FleetSpec, names: &[String], lease_servers: &[SocketAddr]) -> String {
    let mut text = format!(
        "[accord]\nwithin = {:?}\nscope = \"{}\"\nkeepers = [{}]\n\n[accord.instances]\n",
        spec.within,
        match spec.scope {
            Scope::All => "all",
            Scope::Listed => "listed",
        },
        names[..LEASE_SERVERS].iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(", ")
    );
    // No instance connects to one that is no lease server; its address is only as long as a real one.
    let unused_address = |at: usize| SocketAddr::from(([127, 128, (at >> 8) as u8, at as u8], 7_071));
    for (at, name) in names.iter().chain(spec.simulated).enumerate() {
        let address = lease_servers.get(at).copied().unwrap_or_else(|| unused_address(at));
        text += &format!("{name} = \"{address}\"\n");
    }
    text
}

fn settings_file(
    spec: &FleetSpec, at: usize, process: &Sidecar, discovery: &Discovery, servers: &[SocketAddr],
) -> String {
    let workload = |at: usize| {
        format!(
            r#"{{"name":"w{at}","semantics":"read_like","quoted_time_s":1,"abandon_time_s":2,"payoff":1}}"#
        )
    };
    let workloads: Vec<String> = (0..WORKLOADS).map(workload).collect();
    format!(
        r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"{}","seed":"{:x}","version":{{"number":1}},
        "limits":{{"sockets":{}}},"known":{},"settings":{{"me":{at},"balancers":{},"zones":["a"],"discovery":"on_request",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
        "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},"workloads":[{}]}}}}"#,
        process.name,
        process.listen,
        process.console,
        discovery.address,
        spec.seed.wrapping_mul(31).wrapping_add(at as u64),
        // A lease server reserves two links for each instance; the default limit of 1024 is left for all else.
        1_024 + 2 * (spec.simulated.len() + LEASE_SERVERS + spec.sidecars),
        fakes::initial_list(servers),
        LEASE_SERVERS + spec.sidecars,
        workloads.join(",")
    )
}
