//! Plays one scene: starts everything, carries the script out on time, and has the judge read what was seen.
use crate::checker::{self, Contradiction, DrainViolation, Findings};
use crate::fakes::{self, Discovery, Observations};
use crate::processes::{reserve_address, Sidecar};
use crate::relay::Relay;
use crate::scene::{Action, Scene, WorkloadKind, LISTED, SERVERS};
use nanorand::{Rng, WyRand};
use oakhollow_terms::Greeting;
use rustix::process::Signal;
use std::fmt;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long all may take until they serve.
const STARTS: Duration = Duration::from_secs(20);
/// By how much the script's times are moved by the seed, at most, in seconds.
const JITTER: f64 = 0.1;

/// What came of a scene.
pub struct Report {
    pub contradiction: Option<Contradiction>,
    pub drain_violation: Option<DrainViolation>,
    /// What did not hold, a line each.
    pub failures: Vec<String>,
    pub attempts: usize,
    pub responses: usize,
    pub unanswered: usize,
    /// Each sidecar's log.
    pub logs: Vec<(String, String)>,
}

/// Why a play has no report.
#[derive(Debug)]
pub enum RunError {
    /// The rig ran late: nothing can be said of the program. What would have been broken is told, and proves nothing.
    Inconclusive { reason: String, failed_expectations: Vec<String> },
    /// Something could not be built, does not serve, or has ended by itself.
    Failed(String),
}

impl From<std::io::Error> for RunError {
    fn from(fault: std::io::Error) -> RunError {
        RunError::Failed(fault.to_string())
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
            RunError::Failed(why) => out.write_str(why),
        }
    }
}

/// With what a scene is played.
#[derive(Clone, Copy)]
pub struct RunOptions<'a> {
    pub program: &'a Path,
    /// The rig's own program, which stands in for one.
    pub lab_program: &'a Path,
    /// Whether the instances agree; each acts on its own file alone otherwise.
    pub with_accord: bool,
    pub seed: u64,
}

struct Rig {
    sidecars: Vec<Sidecar>,
    /// From each instance to each keeper.
    relays: Vec<Vec<Relay>>,
    keepers: Vec<SocketAddr>,
    discoveries: Vec<Discovery>,
    servers: Vec<SocketAddr>,
    list: String,
    seed: u64,
    folder: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.sidecars.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Rig {
    fn build(
        scene: &Scene, options: &RunOptions, begun: Instant, notes: &Arc<Observations>,
    ) -> std::io::Result<Rig> {
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let unique =
            format!("oakhollow-lab-{}-{}", std::process::id(), PLAYS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        let servers: Vec<SocketAddr> = (0..SERVERS)
            .map(|at| fakes::start_server(at, begun, notes.clone()))
            .collect::<std::io::Result<_>>()?;
        let mut rig = Rig {
            sidecars: Vec::new(),
            relays: Vec::new(),
            keepers: (0..scene.keepers).map(|_| reserve_address()).collect::<std::io::Result<_>>()?,
            discoveries: Vec::new(),
            list: fakes::initial_list(&servers[..LISTED]),
            servers,
            seed: options.seed,
            folder,
        };
        let first = *scene.versions.keys().next().unwrap_or(&1);
        for at in 0..scene.sidecars {
            let mut sidecar = Sidecar::new(options.program, &format!("n{at}"), &rig.folder)?;
            if let Some((_, how)) = scene.stand_in.as_ref().filter(|(who, _)| *who == at) {
                sidecar.use_stand_in(options.lab_program, how);
            }
            rig.discoveries.push(Discovery::start(&rig.servers[..LISTED])?);
            let relays: Vec<Relay> =
                rig.keepers.iter().map(|to| Relay::start(*to)).collect::<std::io::Result<_>>()?;
            if options.with_accord {
                let instances = (0..scene.sidecars).map(|other| {
                    // Its own keeper is no link away; those who keep nothing are dialled by nobody.
                    let address = match rig.keepers.get(other) {
                        Some(own) if other == at => *own,
                        Some(_) => relays[other].address,
                        None => SocketAddr::from(([127, 0, 0, 1], 1)),
                    };
                    format!("n{other} = \"{address}\"")
                });
                let instances: Vec<String> = instances.collect();
                let names: Vec<String> = (0..scene.keepers).map(|keeper| format!("\"n{keeper}\"")).collect();
                sidecar.write_operator_config(&format!(
                    "[accord]\nwithin = {:?}\nunsure = \"{}\"\nkeepers = [{}]\n{}\n[accord.instances]\n{}\n",
                    scene.within,
                    scene.unsure,
                    names.join(", "),
                    scene.accord_settings.join("\n"),
                    instances.join("\n")
                ))?;
            }
            rig.relays.push(relays);
            rig.sidecars.push(sidecar);
            rig.sidecars[at].write_config(&rig.file(scene, at, first))?;
        }
        for (at, sidecar) in rig.sidecars.iter_mut().enumerate() {
            if scene.actions.iter().any(|(_, who, fault)| *who == at && *fault == Action::StartSecond) {
                sidecar.pass_listener()?;
            }
            sidecar.start()?;
        }
        Ok(rig)
    }

    fn file(&self, scene: &Scene, at: usize, number: u64) -> String {
        let workload = |(name, kind): &(String, WorkloadKind)| {
            let semantics = match kind {
                WorkloadKind::ReadLike => "read_like",
                WorkloadKind::NonIdempotent => "non_idempotent",
            };
            format!(
                r#"{{"name":"{name}","semantics":"{semantics}","quoted_time_s":1,"abandon_time_s":2,"payoff":1}}"#
            )
        };
        let workloads: Vec<String> = scene.versions[&number].iter().map(workload).collect();
        let sidecar = &self.sidecars[at];
        format!(
            r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"{}","seed":"{:x}","version":{{"number":{number}}},
            "known":{},"settings":{{"me":{at},"balancers":{},"zones":["a"],"discovery":"on_request",
            "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
            "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},"workloads":[{}]}}}}"#,
            sidecar.name,
            sidecar.listen,
            sidecar.console,
            self.discoveries[at].address,
            self.seed.wrapping_mul(31).wrapping_add(at as u64),
            self.list,
            scene.sidecars,
            workloads.join(",")
        )
    }

    /// All answer that they serve.
    fn serves(&mut self) -> Result<(), RunError> {
        let begun = Instant::now();
        for at in 0..self.sidecars.len() {
            while !is_healthy(self.sidecars[at].console) {
                let sidecar = &mut self.sidecars[at];
                if sidecar.has_exited() || begun.elapsed() > STARTS {
                    let why = format!("{} does not serve:\n{}", sidecar.name, sidecar.log_text());
                    return Err(RunError::Failed(why));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// All links of an instance that lead to others, and whether they lead from it.
    fn links(&self, who: usize) -> impl Iterator<Item = (&Relay, bool)> {
        let own = self.relays[who].iter().enumerate();
        let own = own.filter(move |(keeper, _)| *keeper != who).map(|(_, relay)| (relay, true));
        let others = self.relays.iter().enumerate().filter(move |(at, _)| *at != who);
        own.chain(others.filter_map(move |(_, relays)| Some((relays.get(who)?, false))))
    }

    fn strike(&mut self, scene: &Scene, who: usize, fault: &Action) -> std::io::Result<()> {
        match fault {
            Action::WriteVersion(number) => {
                self.sidecars[who].write_config(&self.file(scene, who, *number))?;
                self.sidecars[who].reload();
            }
            Action::TruncateFile => {
                self.sidecars[who].truncate_config()?;
                self.sidecars[who].reload();
            }
            Action::Cut => self.links(who).for_each(|(relay, _)| relay.cut(true, true)),
            Action::CutTo => self.links(who).for_each(|(relay, own)| relay.cut(own, !own)),
            Action::CutFrom => self.links(who).for_each(|(relay, own)| relay.cut(!own, own)),
            Action::Heal => self.links(who).for_each(|(relay, _)| relay.cut(false, false)),
            Action::Delay(length) => {
                self.links(who).for_each(|(relay, _)| relay.delay(Duration::from_millis(*length)));
            }
            Action::Reset => self.links(who).for_each(|(relay, _)| relay.reset()),
            Action::Refuse => self.links(who).for_each(|(relay, _)| relay.refuse()),
            Action::TruncateMessage => self.links(who).for_each(|(relay, _)| relay.half()),
            Action::Replay => self.links(who).for_each(|(relay, _)| relay.replay()),
            Action::ForeignConnections => {
                self.keepers.get(who).into_iter().for_each(|keeper| strangers(*keeper))
            }
            Action::StartSecond => self.sidecars[who].start_second()?,
            Action::TerminateFirst => self.sidecars[who].terminate_first(),
            Action::ChangeList(told, server) => {
                self.discoveries[who].tell(*told, *server, self.servers[*server])
            }
            Action::DiscoveryDown => self.discoveries[who].set_down(true),
            Action::DiscoveryUp => self.discoveries[who].set_down(false),
            Action::RestartDiscovery => self.discoveries[who].renumber(),
            Action::SetMaintenance(out, server) => {
                let what = if *out { "maint" } else { "ready" };
                console_request(self.sidecars[who].console, "PUT", &format!("/endpoints/s{server}/{what}"));
            }
            Action::Stop => self.sidecars[who].signal(Signal::STOP),
            Action::Continue => self.sidecars[who].signal(Signal::CONT),
            Action::Kill => self.sidecars[who].kill(),
            Action::Start => self.sidecars[who].start()?,
        }
        Ok(())
    }
}

/// Links of whoever is no instance, of one that makes no sense, and of one without an end.
fn strangers(keeper: SocketAddr) {
    let greeting = Greeting::new("n0", 1).to_json();
    let foreign = Greeting::new("stranger", 1).to_json();
    let endless = "x".repeat(9 * 1024 * 1024);
    for said in
        [format!("{foreign}\n"), format!("{greeting}\n{{\"ask\":7}}\n"), format!("{greeting}\n{endless}")]
    {
        thread::spawn(move || {
            let mut stream = TcpStream::connect(keeper).ok()?;
            // It may be cut short: that is for the other side to do.
            let _ = stream.write_all(said.as_bytes());
            fakes::read_head(&mut BufReader::new(stream))
        });
    }
}

/// Asks a console; the head of its answer.
pub(crate) fn console_request(console: SocketAddr, method: &str, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(console).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).ok()?;
    fakes::read_head(&mut BufReader::new(stream))
}

pub(crate) fn is_healthy(console: SocketAddr) -> bool {
    console_request(console, "GET", "/healthcheck").is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Plays a scene.
pub fn run_scene(scene: &Scene, options: &RunOptions) -> Result<Report, RunError> {
    let (building, notes) = (Instant::now(), Arc::new(Observations::default()));
    let mut rig = Rig::build(scene, options, building, &notes)?;
    rig.serves()?;
    let offset = building.elapsed().as_secs_f64();
    let begun = Instant::now();
    let mut random = WyRand::new_seed(options.seed);
    let played = thread::scope(|scope| {
        for (at, sidecar) in rig.sidecars.iter().enumerate() {
            for workload in scene.workloads() {
                let (to, notes) = (sidecar.listen, &notes);
                scope.spawn(move || {
                    fakes::run_client(to, (at, workload), scene.rate, begun, || scene.end_s, notes);
                });
            }
        }
        let rig = &mut rig;
        let (mut late, mut struck): (f64, Vec<_>) = (0.0, Vec::new());
        for (time, who, fault) in &scene.actions {
            let due = time + if options.seed == 0 { 0.0 } else { random.generate::<f64>() * JITTER };
            let now = begun.elapsed().as_secs_f64();
            late = late.max(now - due);
            thread::sleep(Duration::from_secs_f64((due - now).max(0.0)));
            // As it was, for the judge.
            struck.push((begun.elapsed().as_secs_f64(), *who, fault.clone()));
            rig.strike(scene, *who, fault)?;
        }
        Ok::<_, std::io::Error>((late, struck))
    });
    let (script_late, struck) = played?;
    let scene = &Scene { actions: struck, ..scene.clone() };
    let mut faults = Vec::new();
    let killed = |at: usize| scene.actions.iter().any(|(_, who, fault)| *who == at && *fault == Action::Kill);
    for (at, sidecar) in rig.sidecars.iter_mut().enumerate() {
        if sidecar.has_exited() && !killed(at) {
            faults.push(format!("{} has ended", sidecar.name));
        }
    }
    let hops = std::mem::take(&mut *notes.attempts.lock().unwrap_or_else(PoisonError::into_inner));
    let hops: Vec<_> = hops.into_iter().map(|hop| checker::Attempt { at: hop.at - offset, ..hop }).collect();
    let answers = std::mem::take(&mut *notes.responses.lock().unwrap_or_else(PoisonError::into_inner));
    let logs: Vec<_> =
        rig.sidecars.iter().map(|sidecar| (sidecar.name.clone(), sidecar.log_text())).collect();
    let Findings { contradiction, drain_violation, failed_expectations } =
        checker::check(scene, &hops, &answers, &logs);
    let late = *notes.late_requests.lock().unwrap_or_else(PoisonError::into_inner);
    let stops = scene.actions.iter().any(|(_, _, fault)| matches!(fault, Action::Stop | Action::Kill));
    // Callers of a process that stands still wait for it.
    let why = if script_late > JITTER {
        Some(format!("the script ran {script_late:.3} s late"))
    } else if late * 10 > answers.len() && !stops {
        Some(format!("{late} of {} calls went out late", answers.len()))
    } else {
        None
    };
    match why {
        None => faults.extend(failed_expectations),
        Some(why) if faults.is_empty() => {
            return Err(RunError::Inconclusive { reason: why, failed_expectations })
        }
        // That a process has ended by itself is true whenever it is seen.
        Some(why) => return Err(RunError::Failed(format!("{}; {why}", faults.join("; ")))),
    }
    Ok(Report {
        contradiction,
        drain_violation,
        failures: faults,
        attempts: hops.len(),
        responses: answers.len(),
        unanswered: answers.iter().filter(|answer| answer.status.is_none()).count(),
        logs,
    })
}
