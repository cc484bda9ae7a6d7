//! The real processes of a step: keepers, and sidecars that carry calls, each with a stand-in discovery.
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

pub const KEEPERS: usize = 3;
/// How long a process may take until it answers anything, beyond the leases that it waits for.
const STARTS: Duration = Duration::from_secs(60);
/// Workloads of the settings: the first is called, the others make the text as long as one of an ordinary size.
const WORKLOADS: usize = 20;
pub const CALLED: &str = "w0";

pub struct Fleet {
    /// The keepers first.
    pub processes: Vec<Sidecar>,
    pub keepers: Vec<SocketAddr>,
    discoveries: Vec<Discovery>,
    servers: Vec<SocketAddr>,
    pub document: Document,
    /// Bytes of the operator's file, which names every instance.
    pub operator_bytes: usize,
    /// From the start of a process until it answers at its console at all, and until all serve: the longest of them.
    pub answers_s: f64,
    pub serves_s: f64,
    begun: Instant,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What is wanted of it.
pub struct Wanted<'a> {
    pub program: &'a Path,
    /// Sidecars beside the keepers.
    pub sidecars: usize,
    pub within: f64,
    pub scope: Scope,
    pub hollow: &'a [String],
    /// Servers on every real one's list: those of the first service.
    pub servers: usize,
    pub seed: u64,
}

impl Fleet {
    pub fn start(wanted: &Wanted, begun: Instant, notes: &Arc<Observations>) -> Result<Fleet, String> {
        Fleet::build(wanted, begun, notes).map_err(|fault| fault.to_string())
    }

    fn build(wanted: &Wanted, begun: Instant, notes: &Arc<Observations>) -> std::io::Result<Fleet> {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let unique =
            format!("oakhollow-scale-{}-{}", std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let servers: Vec<SocketAddr> = (0..wanted.servers)
            .map(|at| fakes::start_server(at, begun, notes.clone()))
            .collect::<std::io::Result<_>>()?;
        let keepers: Vec<SocketAddr> =
            (0..KEEPERS).map(|_| reserve_address()).collect::<std::io::Result<_>>()?;
        let names: Vec<String> = (0..KEEPERS)
            .map(|at| format!("n{at}"))
            .chain((0..wanted.sidecars).map(|at| format!("r{at}")))
            .collect();
        let operator = operator(wanted, &names, &keepers);
        let mut fleet = Fleet {
            processes: Vec::new(),
            keepers,
            discoveries: Vec::new(),
            servers,
            document: Document {
                version: oakhollow_accord::Version { epoch: 0, number: 0, hash: 0 },
                text: "".into(),
            },
            operator_bytes: operator.len(),
            answers_s: 0.0,
            serves_s: 0.0,
            begun: Instant::now(),
            folder,
        };
        for (at, name) in names.iter().enumerate() {
            let mut process = Sidecar::new(wanted.program, name, &fleet.folder)?;
            let discovery = Discovery::start(&fleet.servers)?;
            process.write_operator_config(&operator)?;
            process.write_config(&file(wanted, at, &process, &discovery, &fleet.servers))?;
            fleet.discoveries.push(discovery);
            fleet.processes.push(process);
        }
        let first = read_instance_file(&fleet.processes[0].config_path()).map_err(std::io::Error::other)?;
        fleet.document = first.2;
        fleet.begun = Instant::now();
        fleet.processes.iter_mut().try_for_each(Sidecar::start)?;
        Ok(fleet)
    }

    /// Waits until all answer at their consoles, which needs no lease.
    pub fn answers(&mut self) -> Result<(), String> {
        self.wait(STARTS, |process| console_request(process.console, "GET", "/healthcheck").is_some())?;
        self.answers_s = self.begun.elapsed().as_secs_f64();
        Ok(())
    }

    /// Waits until all serve.
    pub fn serves(&mut self, lease: Duration) -> Result<(), String> {
        self.wait(STARTS + 4 * lease, |process| is_healthy(process.console))?;
        self.serves_s = self.begun.elapsed().as_secs_f64();
        Ok(())
    }

    fn wait(&mut self, most: Duration, done: impl Fn(&Sidecar) -> bool) -> Result<(), String> {
        for process in &mut self.processes {
            while !done(process) {
                if process.has_exited() || self.begun.elapsed() > most {
                    return Err(format!("{} does not serve:\n{}", process.name, process.log_text()));
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }

    /// Whether the list of the real ones names that server, and all their discoveries tell that of it.
    pub fn lists_tell(&self, server: usize, told: ListChange) {
        if let Some(address) = self.servers.get(server) {
            self.discoveries.iter().for_each(|discovery| discovery.announce(told, server, *address));
        }
    }

    pub fn usage(&self) -> Vec<Usage> {
        let of = |process: &Sidecar| process.pid().and_then(Usage::of).unwrap_or_default();
        self.processes.iter().map(of).collect()
    }

    /// Resident bytes of all together.
    pub fn resident(&self) -> u64 {
        self.processes.iter().filter_map(Sidecar::pid).filter_map(usage::resident).sum()
    }

    /// One that has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let ended =
            self.processes.iter_mut().find_map(|process| process.has_exited().then_some(&*process))?;
        let log = ended.log_text();
        let last: Vec<&str> = log.lines().rev().take(3).collect();
        Some(format!("{} has ended: {}", ended.name, last.join(" | ")))
    }
}

/// The operator's file, the same for all: it names every instance, hollow ones too.
fn operator(wanted: &Wanted, names: &[String], keepers: &[SocketAddr]) -> String {
    let mut text = format!(
        "[accord]\nwithin = {:?}\nscope = \"{}\"\nkeepers = [{}]\n\n[accord.instances]\n",
        wanted.within,
        match wanted.scope {
            Scope::All => "all",
            Scope::Listed => "listed",
        },
        names[..KEEPERS].iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(", ")
    );
    // Those who keep nothing are dialled by nobody; their addresses are as long as a machine's all the same.
    let nobody = |at: usize| SocketAddr::from(([127, 128, (at >> 8) as u8, at as u8], 7_071));
    for (at, name) in names.iter().chain(wanted.hollow).enumerate() {
        let address = keepers.get(at).copied().unwrap_or_else(|| nobody(at));
        text += &format!("{name} = \"{address}\"\n");
    }
    text
}

fn file(
    wanted: &Wanted, at: usize, process: &Sidecar, discovery: &Discovery, servers: &[SocketAddr],
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
        wanted.seed.wrapping_mul(31).wrapping_add(at as u64),
        // A keeper keeps two links back for each instance; beside them what a file has that says nothing.
        1_024 + 2 * (wanted.hollow.len() + KEEPERS + wanted.sidecars),
        fakes::initial_list(servers),
        KEEPERS + wanted.sidecars,
        workloads.join(",")
    )
}
