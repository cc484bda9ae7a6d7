//! Runs one scene: starts its processes and fakes, executes its actions on time, and checks what servers and clients
//! observed.
use crate::checker::{self, Contradiction, DrainViolation, Findings};
use crate::fakes::{self, Discovery, Observations};
use crate::processes::{reserve_address, Sidecar};
use crate::relay::Relay;
use crate::scene::{Action, Scene, WorkloadKind, LISTED, SERVERS};
use nanorand::{Rng, WyRand};
use oakhollow_config::Greeting;
use rustix::process::Signal;
use std::fmt;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long the instances may take until all of them serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// By how much the seed delays an action at most, and how late an action may be executed, in seconds.
const MAX_JITTER_S: f64 = 0.1;

/// The outcome of a scene.
pub struct Report {
    /// The longest contradiction of settings.
    pub contradiction: Option<Contradiction>,
    /// The longest time for which an instance sent to a draining server.
    pub drain_violation: Option<DrainViolation>,
    /// One line for each thing that did not hold.
    pub failures: Vec<String>,
    /// How many attempts the servers received.
    pub attempts: usize,
    /// How many requests the clients sent.
    pub responses: usize,
    /// How many of these got no answer.
    pub unanswered: usize,
    /// The name and the log of each instance.
    pub logs: Vec<(String, String)>,
}

/// Why a run has no report.
#[derive(Debug)]
pub enum RunError {
    /// The harness ran late, so that the run says nothing about the program; nor do the expectations that failed in
    /// it.
    Inconclusive {
        /// How the harness was late.
        reason: String,
        /// The expectations that failed.
        failed_expectations: Vec<String>,
    },
    /// Something could not be set up, does not serve, or has exited by itself.
    Failed(String),
}

impl From<std::io::Error> for RunError {
    fn from(error: std::io::Error) -> RunError {
        RunError::Failed(error.to_string())
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Inconclusive { reason, failed_expectations } if failed_expectations.is_empty() => {
                write!(out, "{reason}: no figure")
            }
            RunError::Inconclusive { reason, failed_expectations } => {
                write!(out, "{reason}: no figure (it had: {})", failed_expectations.join("; "))
            }
            RunError::Failed(reason) => out.write_str(reason),
        }
    }
}

/// How a scene is run.
#[derive(Clone, Copy)]
pub struct RunOptions<'a> {
    /// The program under test.
    pub program: &'a Path,
    /// The program `oakhollow-lab`, which contains the fake sidecar.
    pub lab_program: &'a Path,
    /// Whether the instances have a section `[accord]`; otherwise each acts on its own file alone.
    pub with_accord: bool,
    /// Draws the delays of actions; 0 for none.
    pub seed: u64,
}

struct Harness {
    sidecars: Vec<Sidecar>,
    /// The relay from each instance to each lease server.
    relays: Vec<Vec<Relay>>,
    /// The addresses of the lease servers.
    lease_servers: Vec<SocketAddr>,
    /// The discovery of each instance.
    discoveries: Vec<Discovery>,
    servers: Vec<SocketAddr>,
    /// The list that every discovery begins with.
    initial_list: String,
    seed: u64,
    folder: PathBuf,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.sidecars.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Harness {
    fn build(
        scene: &Scene, options: &RunOptions, start_time: Instant, observations: &Arc<Observations>,
    ) -> std::io::Result<Harness> {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let unique = format!("oakhollow-lab-{}-{}", std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let servers: Vec<SocketAddr> = (0..SERVERS)
            .map(|number| fakes::start_server(number, start_time, observations.clone()))
            .collect::<std::io::Result<_>>()?;
        let mut harness = Harness {
            sidecars: Vec::new(),
            relays: Vec::new(),
            lease_servers: (0..scene.lease_servers)
                .map(|_| reserve_address())
                .collect::<std::io::Result<_>>()?,
            discoveries: Vec::new(),
            initial_list: fakes::initial_list(&servers[..LISTED]),
            servers,
            seed: options.seed,
            folder,
        };
        let first_version = *scene.versions.keys().next().unwrap_or(&1);
        for instance in 0..scene.sidecars {
            let mut sidecar = Sidecar::new(options.program, &format!("n{instance}"), &harness.folder)?;
            if let Some((_, behaviour)) =
                scene.fake_sidecar.as_ref().filter(|(replaced, _)| *replaced == instance)
            {
                sidecar.use_fake_sidecar(options.lab_program, behaviour);
            }
            harness.discoveries.push(Discovery::start(&harness.servers[..LISTED])?);
            let relays: Vec<Relay> = harness
                .lease_servers
                .iter()
                .map(|address| Relay::start(*address))
                .collect::<std::io::Result<_>>()?;
            if options.with_accord {
                let instances = (0..scene.sidecars).map(|other| {
                    // An instance reaches its own lease server without a relay, and never connects to an instance
                    // that is not a lease server.
                    let address = match harness.lease_servers.get(other) {
                        Some(own) if other == instance => *own,
                        Some(_) => relays[other].address,
                        None => SocketAddr::from(([127, 0, 0, 1], 1)),
                    };
                    format!("n{other} = \"{address}\"")
                });
                let instances: Vec<String> = instances.collect();
                let names: Vec<String> =
                    (0..scene.lease_servers).map(|lease_server| format!("\"n{lease_server}\"")).collect();
                sidecar.write_operator_config(&format!(
                    "[accord]\nwithin = {:?}\nunsure = \"{}\"\nkeepers = [{}]\n{}\n[accord.instances]\n{}\n",
                    scene.max_divergence_s,
                    scene.unsure,
                    names.join(", "),
                    scene.accord_settings.join("\n"),
                    instances.join("\n")
                ))?;
            }
            harness.relays.push(relays);
            harness.sidecars.push(sidecar);
            harness.sidecars[instance].write_config(&harness.settings_file(
                scene,
                instance,
                first_version,
            ))?;
        }
        for (instance, sidecar) in harness.sidecars.iter_mut().enumerate() {
            if scene
                .actions
                .iter()
                .any(|(_, target, action)| *target == instance && *action == Action::StartSecond)
            {
                sidecar.pass_listener()?;
            }
            sidecar.start()?;
        }
        Ok(harness)
    }

    fn settings_file(&self, scene: &Scene, instance: usize, version: u64) -> String {
        let workload = |(name, kind): &(String, WorkloadKind)| {
            let semantics = match kind {
                WorkloadKind::ReadLike => "read_like",
                WorkloadKind::NonIdempotent => "non_idempotent",
            };
            format!(
                r#"{{"name":"{name}","semantics":"{semantics}","quoted_time_s":1,"abandon_time_s":2,"payoff":1}}"#
            )
        };
        let workloads: Vec<String> = scene.versions[&version].iter().map(workload).collect();
        let sidecar = &self.sidecars[instance];
        format!(
            r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"{}","seed":"{:x}","version":{{"number":{version}}},
            "known":{},"settings":{{"me":{instance},"balancers":{},"zones":["a"],"discovery":"on_request",
            "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
            "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},"workloads":[{}]}}}}"#,
            sidecar.name,
            sidecar.listen,
            sidecar.console,
            self.discoveries[instance].address,
            self.seed.wrapping_mul(31).wrapping_add(instance as u64),
            self.initial_list,
            scene.sidecars,
            workloads.join(",")
        )
    }

    /// Waits until all instances report at their consoles that they serve.
    fn wait_until_healthy(&mut self) -> Result<(), RunError> {
        let start_time = Instant::now();
        for index in 0..self.sidecars.len() {
            while !is_healthy(self.sidecars[index].console) {
                let sidecar = &mut self.sidecars[index];
                if sidecar.has_exited() || start_time.elapsed() > START_TIMEOUT {
                    let reason = format!("{} does not serve:\n{}", sidecar.name, sidecar.log_text());
                    return Err(RunError::Failed(reason));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// The links between an instance and others, each with whether the instance opens it.
    fn links(&self, instance: usize) -> impl Iterator<Item = (&Relay, bool)> {
        let outgoing = self.relays[instance].iter().enumerate();
        let outgoing = outgoing
            .filter(move |(lease_server, _)| *lease_server != instance)
            .map(|(_, relay)| (relay, true));
        let incoming = self.relays.iter().enumerate().filter(move |(other, _)| *other != instance);
        outgoing.chain(incoming.filter_map(move |(_, relays)| Some((relays.get(instance)?, false))))
    }

    fn execute(&mut self, scene: &Scene, instance: usize, action: &Action) -> std::io::Result<()> {
        match action {
            Action::WriteVersion(version) => {
                self.sidecars[instance].write_config(&self.settings_file(scene, instance, *version))?;
                self.sidecars[instance].reload();
            }
            Action::TruncateFile => {
                self.sidecars[instance].truncate_config()?;
                self.sidecars[instance].reload();
            }
            Action::Cut => self.links(instance).for_each(|(relay, _)| relay.cut(true, true)),
            Action::CutTo => {
                self.links(instance).for_each(|(relay, outgoing)| relay.cut(outgoing, !outgoing))
            }
            Action::CutFrom => {
                self.links(instance).for_each(|(relay, outgoing)| relay.cut(!outgoing, outgoing))
            }
            Action::Heal => self.links(instance).for_each(|(relay, _)| relay.cut(false, false)),
            Action::Delay(delay_ms) => {
                self.links(instance).for_each(|(relay, _)| relay.delay(Duration::from_millis(*delay_ms)));
            }
            Action::Reset => self.links(instance).for_each(|(relay, _)| relay.reset()),
            Action::Refuse => self.links(instance).for_each(|(relay, _)| relay.refuse()),
            Action::TruncateMessage => self.links(instance).for_each(|(relay, _)| relay.truncate_next()),
            Action::Replay => self.links(instance).for_each(|(relay, _)| relay.replay()),
            Action::ForeignConnections => self
                .lease_servers
                .get(instance)
                .into_iter()
                .for_each(|lease_server| open_foreign_connections(*lease_server)),
            Action::StartSecond => self.sidecars[instance].start_second()?,
            Action::TerminateFirst => self.sidecars[instance].terminate_first(),
            Action::ChangeList(change, server) => {
                self.discoveries[instance].announce(*change, *server, self.servers[*server])
            }
            Action::DiscoveryDown => self.discoveries[instance].set_down(true),
            Action::DiscoveryUp => self.discoveries[instance].set_down(false),
            Action::RestartDiscovery => self.discoveries[instance].restart(),
            Action::SetMaintenance(in_maintenance, server) => {
                let command = if *in_maintenance { "maint" } else { "ready" };
                console_request(
                    self.sidecars[instance].console,
                    "PUT",
                    &format!("/endpoints/s{server}/{command}"),
                );
            }
            Action::Stop => self.sidecars[instance].signal(Signal::STOP),
            Action::Continue => self.sidecars[instance].signal(Signal::CONT),
            Action::Kill => self.sidecars[instance].kill(),
            Action::Start => self.sidecars[instance].start()?,
        }
        Ok(())
    }
}

/// Connects to a lease server as an unknown instance, with a malformed message, and with a line that does not end.
fn open_foreign_connections(lease_server: SocketAddr) {
    let greeting = Greeting::new("n0", 1).to_json();
    let foreign_greeting = Greeting::new("stranger", 1).to_json();
    let endless_line = "x".repeat(9 * 1024 * 1024);
    for payload in [
        format!("{foreign_greeting}\n"),
        format!("{greeting}\n{{\"ask\":7}}\n"),
        format!("{greeting}\n{endless_line}"),
    ] {
        thread::spawn(move || {
            let mut stream = TcpStream::connect(lease_server).ok()?;
            // The lease server may close the connection before all is written.
            let _ = stream.write_all(payload.as_bytes());
            fakes::read_head(&mut BufReader::new(stream))
        });
    }
}

/// Sends a request to a console; returns the head of the answer.
pub(crate) fn console_request(console: SocketAddr, method: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).ok()?;
    fakes::read_head(&mut BufReader::new(stream))
}

/// Whether an instance reports at its console that it serves.
pub(crate) fn is_healthy(console: SocketAddr) -> bool {
    console_request(console, "GET", "/healthcheck").is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Runs a scene.
pub fn run_scene(scene: &Scene, options: &RunOptions) -> Result<Report, RunError> {
    let (setup_start, observations) = (Instant::now(), Arc::new(Observations::default()));
    let mut harness = Harness::build(scene, options, setup_start, &observations)?;
    harness.wait_until_healthy()?;
    let setup_s = setup_start.elapsed().as_secs_f64();
    let start_time = Instant::now();
    let mut random = WyRand::new_seed(options.seed);
    let executed = thread::scope(|scope| {
        for (index, sidecar) in harness.sidecars.iter().enumerate() {
            for workload in scene.workloads() {
                let (address, observations) = (sidecar.listen, &observations);
                scope.spawn(move || {
                    fakes::run_client(
                        address,
                        (index, workload),
                        scene.rate,
                        start_time,
                        || scene.end_s,
                        observations,
                    );
                });
            }
        }
        let harness = &mut harness;
        let (mut max_delay_s, mut done_actions): (f64, Vec<_>) = (0.0, Vec::new());
        for (planned_at, instance, action) in &scene.actions {
            let due =
                planned_at + if options.seed == 0 { 0.0 } else { random.generate::<f64>() * MAX_JITTER_S };
            let now = start_time.elapsed().as_secs_f64();
            max_delay_s = max_delay_s.max(now - due);
            thread::sleep(Duration::from_secs_f64((due - now).max(0.0)));
            // The checker needs the actual time.
            done_actions.push((start_time.elapsed().as_secs_f64(), *instance, action.clone()));
            harness.execute(scene, *instance, action)?;
        }
        Ok::<_, std::io::Error>((max_delay_s, done_actions))
    });
    let (max_action_delay_s, done_actions) = executed?;
    let scene = &Scene { actions: done_actions, ..scene.clone() };
    let mut failures = Vec::new();
    let was_killed = |index: usize| {
        scene.actions.iter().any(|(_, target, action)| *target == index && *action == Action::Kill)
    };
    for (index, sidecar) in harness.sidecars.iter_mut().enumerate() {
        if sidecar.has_exited() && !was_killed(index) {
            failures.push(format!("{} has ended", sidecar.name));
        }
    }
    let attempts = std::mem::take(&mut *observations.attempts.lock().unwrap_or_else(PoisonError::into_inner));
    let attempts: Vec<_> = attempts
        .into_iter()
        .map(|attempt| checker::Attempt { received_at: attempt.received_at - setup_s, ..attempt })
        .collect();
    let responses =
        std::mem::take(&mut *observations.responses.lock().unwrap_or_else(PoisonError::into_inner));
    let logs: Vec<_> =
        harness.sidecars.iter().map(|sidecar| (sidecar.name.clone(), sidecar.log_text())).collect();
    let Findings { contradiction, drain_violation, failed_expectations } =
        checker::check(scene, &attempts, &responses, &logs);
    let late_requests = *observations.late_requests.lock().unwrap_or_else(PoisonError::into_inner);
    let any_stopped =
        scene.actions.iter().any(|(_, _, action)| matches!(action, Action::Stop | Action::Kill));
    // Clients of a stopped process wait for it, and send their next requests late.
    let delay_reason = if max_action_delay_s > MAX_JITTER_S {
        Some(format!("the script ran {max_action_delay_s:.3} s late"))
    } else if late_requests * 10 > responses.len() && !any_stopped {
        Some(format!("{late_requests} of {} calls went out late", responses.len()))
    } else {
        None
    };
    match delay_reason {
        None => failures.extend(failed_expectations),
        Some(delay_reason) if failures.is_empty() => {
            return Err(RunError::Inconclusive { reason: delay_reason, failed_expectations })
        }
        // That a process exited by itself counts even where the harness ran late.
        Some(delay_reason) => {
            return Err(RunError::Failed(format!("{}; {delay_reason}", failures.join("; "))))
        }
    }
    Ok(Report {
        contradiction,
        drain_violation,
        failures,
        attempts: attempts.len(),
        responses: responses.len(),
        unanswered: responses.iter().filter(|response| response.status.is_none()).count(),
        logs,
    })
}
