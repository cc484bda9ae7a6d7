//! The processes under test, in four groups with different setups, and the servers, discovery and clients of
//! each group.
use super::clients::{Client, ClientBehaviour, ClientPool};
use super::discovery::Discovery;
use super::records::{Event, ProcessId, Records};
use super::servers::Server;
use super::timetable::FleetSize;
use super::trace::Logs;
use super::Plan;
use crate::fakes::{connect, send_request};
use crate::harness::{lock, READY_REQUEST};
use crate::processes::Sidecar;
use oakhollow_faults::FaultKind;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Servers per group.
const SERVERS_PER_GROUP: usize = 4;
/// How long after SIGTERM a process is killed: the longest deadline of its settings plus 0.7 s.
const TERMINATION_GRACE: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700);
const LONGEST_DEADLINE_MS: u64 = 1_000;
/// Part of the log line that a process writes once it has received SIGTERM.
const TERMINATION_LOG_TEXT: &str = ": Told after ";
/// How long the kernel and the loader may take to start the program; a signal that comes sooner kills it.
const PROGRAM_LOAD_TIME: Duration = Duration::from_millis(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Log lines that are printed of a process that did not exit.
const LOG_TAIL_LINES: usize = 12;

/// The setup of a group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupSetup {
    /// Discovery on request, one worker.
    Plain,
    /// Discovery pushed, with the list known at the start; two workers.
    Pushed,
    /// Instances agree on settings by leases (`[accord]`).
    WithAccord,
    /// The listening socket is passed in, so that a second process can take over from the first.
    PassedListener,
}

impl GroupSetup {
    /// All setups; there is one group of each.
    pub const ALL: [GroupSetup; 4] =
        [GroupSetup::Plain, GroupSetup::Pushed, GroupSetup::WithAccord, GroupSetup::PassedListener];
}

/// A process under test, with its identity and addresses, which stay the same when it is restarted.
pub struct Process {
    /// Identifies it.
    pub id: ProcessId,
    /// How its group is set up.
    pub setup: GroupSetup,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the console.
    pub console: SocketAddr,
    /// The child process and its files.
    pub sidecar: Mutex<Sidecar>,
    /// When it was last started.
    started: Mutex<Instant>,
    /// Set while something starts or ends it; see [`RestartGuard`].
    pub restarting: AtomicBool,
    /// Its configuration file, with `DISCOVERY` in place of discovery's address.
    config_template: Mutex<String>,
    records: Arc<Records>,
}

/// A group of processes with the same setup.
pub struct Group {
    /// Its processes.
    pub processes: Vec<Arc<Process>>,
    /// Its servers.
    pub servers: Vec<Server>,
    /// Its discovery.
    pub discovery: Discovery,
}

/// All groups of a run.
pub struct Fleet {
    /// In the order of [`GroupSetup::ALL`].
    pub groups: Vec<Group>,
    records: Arc<Records>,
}

/// What the logs and fault counters of all processes show after shutdown.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ShutdownReport {
    /// Log lines that report a broken rule, a panic or a worker that ended.
    pub log_errors: Vec<String>,
    /// The logs of all processes.
    pub logs: Logs,
    /// How often each injected fault took effect.
    pub fault_counts: BTreeMap<String, u64>,
}

impl Process {
    /// Starts the process.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        self.start_by(Sidecar::start)?;
        self.records.record_event(self.id, Event::Started);
        Ok(())
    }

    /// Starts a second process beside the first.
    pub fn start_second(self: &Arc<Self>) -> std::io::Result<()> {
        self.start_by(Sidecar::start_second)
    }

    /// Starts a process, and notes the time before any other thread can send it a signal.
    fn start_by(self: &Arc<Self>, start: fn(&mut Sidecar) -> std::io::Result<()>) -> std::io::Result<()> {
        let process = self.clone();
        run_on_spawner_thread(move || {
            let mut sidecar = lock(&process.sidecar);
            start(&mut sidecar)?;
            *lock(&process.started) = Instant::now();
            Ok(())
        })
    }

    /// Waits until the process can handle signals: one that comes before its program runs kills it.
    pub fn wait_for_handlers(&self) {
        drop(self.lock_with_handlers());
    }

    /// Sends a signal as soon as the process can handle it.
    pub fn signal(&self, signal: Signal) {
        let sidecar = self.lock_with_handlers();
        self.record_event(Event::SignalSent(signal));
        sidecar.signal(signal);
    }

    /// Locks the process once it can handle signals. While it is locked, none is started in its place.
    fn lock_with_handlers(&self) -> MutexGuard<'_, Sidecar> {
        loop {
            let sidecar = lock(&self.sidecar);
            let handles_at = *lock(&self.started) + PROGRAM_LOAD_TIME;
            let wait = handles_at.saturating_duration_since(Instant::now());
            if wait.is_zero() {
                return sidecar;
            }
            drop(sidecar);
            thread::sleep(wait);
        }
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.records.record_event(self.id, Event::Killed);
        lock(&self.sidecar).kill();
    }

    /// How often the log says that SIGTERM was received.
    fn termination_log_count(&self) -> usize {
        lock(&self.sidecar).log_text().matches(TERMINATION_LOG_TEXT).count()
    }

    /// Sends SIGTERM, and kills the process if it still runs after [`TERMINATION_GRACE`]. A process that did
    /// not even log the signal by then is recorded as a failure, with its last log lines and the state of its
    /// threads printed.
    pub fn terminate(&self) {
        let logged_before = self.termination_log_count();
        self.records.record_event(self.id, Event::TerminationRequested);
        self.signal(Signal::TERM);
        let start = Instant::now();
        while start.elapsed() < TERMINATION_GRACE {
            let exit_code = lock(&self.sidecar).exit_code();
            if let Some(code) = exit_code {
                self.records.record_event(self.id, Event::Exited(code));
                return lock(&self.sidecar).kill();
            }
            thread::sleep(POLL_INTERVAL);
        }
        if self.termination_log_count() > logged_before {
            self.records.record_event(self.id, Event::KilledAfterGrace);
            return lock(&self.sidecar).kill();
        }
        self.records.record_event(self.id, Event::Exited(None));
        let log = lock(&self.sidecar).log_text();
        let last_lines: Vec<&str> = log.lines().rev().take(LOG_TAIL_LINES).collect();
        eprintln!(
            "{:?} did not exit; its last log lines, newest first:\n{}\n{}",
            self.id,
            last_lines.join("\n"),
            self.thread_states()
        );
        self.kill();
    }

    /// Sends SIGTERM to the first of two processes, and kills it if it still runs after [`TERMINATION_GRACE`].
    pub fn terminate_first(&self) {
        self.record_event(Event::SignalSent(Signal::TERM));
        lock(&self.sidecar).terminate_first();
        let start = Instant::now();
        while start.elapsed() < TERMINATION_GRACE {
            if lock(&self.sidecar).first_has_exited() {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.record_event(Event::FirstKilledAfterGrace);
        lock(&self.sidecar).kill_first();
    }

    /// What the threads of the process wait for, from `/proc`.
    fn thread_states(&self) -> String {
        let id = lock(&self.sidecar).pid().unwrap_or_default();
        let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
        let states = tasks.map(|task| {
            let read = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
            format!("{} {} {}", read("comm").trim(), read("wchan").trim(), read("syscall").trim())
        });
        states.collect::<Vec<_>>().join("\n")
    }

    /// Writes the complete configuration file with this address of discovery.
    pub fn write_config(&self, discovery: SocketAddr) -> std::io::Result<()> {
        let text = lock(&self.config_template).replace("DISCOVERY", &discovery.to_string());
        lock(&self.sidecar).write_config(&text)
    }

    /// Truncates the configuration file to half until it is written again.
    pub fn truncate_config(&self) -> std::io::Result<()> {
        lock(&self.sidecar).truncate_config()
    }

    /// Sets how many of a million system calls of a kind fail from now on.
    pub fn set_fault(&self, kind: FaultKind, rate: u64) {
        if let Some(faults) = lock(&self.sidecar).faults() {
            let _ = faults.set_rate(kind, rate);
        }
    }

    /// Sets the offset of its wall clock from the host's.
    pub fn step_clock(&self, seconds: i64) {
        if let Some(faults) = lock(&self.sidecar).faults() {
            let _ = faults.step_clock(seconds);
        }
    }

    /// Waits until the process reports that it is ready. Returns false if it does not do so in time or exits.
    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < timeout && !lock(&self.sidecar).has_exited() {
            let ready = connect(self.listen).and_then(|mut stream| send_request(&mut stream, READY_REQUEST));
            if ready.is_some_and(|(status, _)| status == 200) {
                self.records.record_event(self.id, Event::Ready);
                return true;
            }
            thread::sleep(4 * POLL_INTERVAL);
        }
        false
    }

    /// Asks its console to set or clear the maintenance of a server. Returns the HTTP status.
    pub fn set_maintenance(&self, server: usize, in_maintenance: bool) -> Option<u16> {
        let command = if in_maintenance { "maint" } else { "ready" };
        let text =
            format!("PUT /endpoints/s{server}/{command} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        connect(self.console)
            .and_then(|mut stream| send_request(&mut stream, &text))
            .map(|(status, _)| status)
    }

    /// Records an event of this process.
    pub fn record_event(&self, event: Event) {
        self.records.record_event(self.id, event);
    }
}

type Job = Box<dyn FnOnce() + Send>;

/// Runs `work` on a thread that lives as long as the harness: a child process gets killed when the thread
/// that started it ends.
fn run_on_spawner_thread<T: Send + 'static>(
    work: impl FnOnce() -> std::io::Result<T> + Send + 'static,
) -> std::io::Result<T> {
    static JOBS: OnceLock<Mutex<Sender<Job>>> = OnceLock::new();
    let jobs = JOBS.get_or_init(|| {
        let (jobs, queue) = channel::<Job>();
        thread::spawn(move || queue.into_iter().for_each(|job| job()));
        Mutex::new(jobs)
    });
    let (result_sender, result_receiver) = channel();
    let job: Job = Box::new(move || _ = result_sender.send(work()));
    lock(jobs).send(job).map_err(|_| std::io::ErrorKind::BrokenPipe)?;
    result_receiver.recv().map_err(|_| std::io::Error::from(std::io::ErrorKind::BrokenPipe))?
}

/// The settings of a process, as its configuration file has them.
fn settings_json(setup: GroupSetup, me: usize, balancers: usize) -> String {
    let discovery = if setup == GroupSetup::Pushed { "pushed" } else { "on_request" };
    let workload = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","semantics":{semantics},"quoted_time_s":0.5,"abandon_time_s":{},"payoff":1}}"#,
            LONGEST_DEADLINE_MS as f64 / 1_000.0
        )
    };
    let save_semantics = r#""idempotency_key","group":"cell","memory_span_s":2"#;
    format!(
        r#""settings":{{"me":{me},"balancers":{balancers},"zones":["a"],"discovery":"{discovery}",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":1.0,"connect_timeout_s":0.3,"idle_close_s":5}},
        "rules":{{"ask_within_s":5,"cold_from":0.3,"fall_s":1.5,"warm_within_s":4}},
        "workloads":[{},{},{}]}}"#,
        workload("view", r#""read_like""#),
        workload("save", save_semantics),
        workload("pay", r#""non_idempotent""#),
    )
}

impl Fleet {
    /// Starts the servers, discoveries and processes of all groups.
    pub fn start(
        program: &Path, plan: &Plan, folder: &Path, records: &Arc<Records>,
    ) -> std::io::Result<Fleet> {
        let processes_per_group = (plan.processes / GroupSetup::ALL.len()).max(1);
        let mut groups = Vec::new();
        for (group, setup) in GroupSetup::ALL.into_iter().enumerate() {
            let servers: Vec<Server> = (0..SERVERS_PER_GROUP)
                .map(|number| Server::start(number, number % 2, records.clone()))
                .collect::<std::io::Result<_>>()?;
            let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
            let discovery = Discovery::new(&addresses, records.clone());
            let ids = (0..processes_per_group).map(|number| ProcessId { group, number });
            let sidecars =
                ids.map(|id| new_sidecar(program, folder, id, setup)).collect::<std::io::Result<Vec<_>>>()?;
            let operator = operator_config(setup, &sidecars)?;
            let mut processes = Vec::new();
            for (number, mut sidecar) in sidecars.into_iter().enumerate() {
                let id = ProcessId { group, number };
                if let Some(operator) = &operator {
                    sidecar.write_operator_config(operator)?;
                }
                let known = if setup == GroupSetup::Pushed {
                    format!(r#""known":{},"#, discovery.snapshot_json())
                } else {
                    String::new()
                };
                let seed =
                    0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(plan.seed + 1 + (group * 100 + number) as u64);
                let config_template = format!(
                    r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"DISCOVERY","seed":"{seed:x}","version":{{"number":1}},{known}{}}}"#,
                    sidecar.name,
                    sidecar.listen,
                    sidecar.console,
                    settings_json(setup, number, processes_per_group),
                );
                let process = Process {
                    id,
                    setup,
                    listen: sidecar.listen,
                    console: sidecar.console,
                    sidecar: Mutex::new(sidecar),
                    started: Mutex::new(Instant::now()),
                    restarting: AtomicBool::new(false),
                    config_template: Mutex::new(config_template),
                    records: records.clone(),
                };
                let process = Arc::new(process);
                process.write_config(discovery.listen_for(id)?)?;
                process.start()?;
                processes.push(process);
            }
            groups.push(Group { processes, servers, discovery });
        }
        Ok(Fleet { groups, records: records.clone() })
    }

    /// The number of groups, processes and servers.
    pub fn size(&self) -> FleetSize {
        FleetSize {
            groups: self.groups.len(),
            processes: self.groups[0].processes.len(),
            servers: SERVERS_PER_GROUP,
        }
    }

    /// All processes of all groups.
    pub fn processes(&self) -> impl Iterator<Item = &Arc<Process>> {
        self.groups.iter().flat_map(|group| &group.processes)
    }

    /// Waits until all processes are ready.
    pub fn wait_until_all_ready(&self, timeout: Duration) -> Result<(), String> {
        let start = Instant::now();
        for process in self.processes() {
            if !process.wait_ready(timeout.saturating_sub(start.elapsed())) {
                let log = lock(&process.sidecar).log_text();
                return Err(format!("{:?} is not ready:\n{log}", process.id));
            }
        }
        Ok(())
    }

    /// Starts two steady clients per process.
    pub fn start_clients(&self, seed: u64) -> ClientPool {
        let mut clients = ClientPool::default();
        for (index, process) in self.processes().enumerate() {
            for client in 0..2 {
                let seed = seed.wrapping_mul(1_000).wrapping_add(2 * index as u64 + client);
                clients.add(self.client(process), ClientBehaviour::Steady, seed);
            }
        }
        clients
    }

    /// Creates a client of a process.
    pub fn client(&self, process: &Process) -> Client {
        Client { process: process.id, address: process.listen, records: self.records.clone() }
    }

    /// Terminates all processes, and reads their logs and fault counters.
    pub fn shut_down(self) -> ShutdownReport {
        let (mut shutdown, mut logs) = (ShutdownReport::default(), BTreeMap::new());
        thread::scope(|scope| {
            for process in self.processes() {
                scope.spawn(move || process.terminate());
            }
        });
        for process in self.processes() {
            let sidecar = lock(&process.sidecar);
            let log = sidecar.log_text();
            for line in log.lines().filter(|line| reports_failure(line)) {
                shutdown.log_errors.push(format!("{}: {line}", sidecar.name));
            }
            logs.insert(process.id, log);
            if let Some(faults) = sidecar.faults() {
                for kind in FaultKind::ALL {
                    *shutdown.fault_counts.entry(format!("{kind:?}")).or_default() +=
                        faults.injected_count(kind);
                }
                *shutdown.fault_counts.entry("SteppedClock".into()).or_default() += faults.clock_readings();
            }
        }
        shutdown.logs = Logs::new(logs, &self.records);
        shutdown
    }
}

fn reports_failure(line: &str) -> bool {
    ["rule broken:", "panicked", "worker ended"].iter().any(|text| line.contains(text))
}

fn new_sidecar(program: &Path, folder: &Path, id: ProcessId, setup: GroupSetup) -> std::io::Result<Sidecar> {
    let mut sidecar = Sidecar::new(program, &format!("g{}p{}", id.group, id.number), folder)?;
    sidecar.enable_faults()?;
    if setup == GroupSetup::PassedListener {
        sidecar.pass_listener()?;
    }
    Ok(sidecar)
}

/// The operator's configuration of a group, if it has one.
fn operator_config(setup: GroupSetup, sidecars: &[Sidecar]) -> std::io::Result<Option<String>> {
    Ok(match setup {
        GroupSetup::Plain | GroupSetup::PassedListener => None,
        GroupSetup::Pushed => Some("workers = 2\n".into()),
        GroupSetup::WithAccord => {
            let keepers: Vec<String> = sidecars
                .iter()
                .take(if sidecars.len() < 3 { 1 } else { 3 })
                .map(|sidecar| format!("{:?}", sidecar.name))
                .collect();
            let mut text =
                format!("[accord]\nwithin = 2.0\nkeepers = [{}]\n\n[accord.instances]\n", keepers.join(", "));
            for sidecar in sidecars {
                text += &format!("{} = \"{}\"\n", sidecar.name, crate::processes::reserve_address()?);
            }
            Some(text)
        }
    })
}

/// Exclusive permission to start or end a process, released on drop.
pub struct RestartGuard<'a>(&'a Process);

impl<'a> RestartGuard<'a> {
    /// Acquires the permission, or returns none if something else starts or ends the process.
    pub fn try_acquire(process: &'a Process) -> Option<RestartGuard<'a>> {
        (!process.restarting.swap(true, Ordering::SeqCst)).then(|| RestartGuard(process))
    }
}

impl Drop for RestartGuard<'_> {
    fn drop(&mut self) {
        self.0.restarting.store(false, Ordering::SeqCst);
    }
}
