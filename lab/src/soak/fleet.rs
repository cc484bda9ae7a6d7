//! The processes under test, in four groups that are set up differently, with the servers, discoveries and clients of each.
use super::clients::{Client, Habit, Running};
use super::discovery::Discovery;
use super::records::{Event, ProcessId, Records};
use super::servers::Server;
use super::timetable::Shape;
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
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Servers of each group.
const SERVERS: usize = 4;
/// How long after it was asked to end a process is killed: the longest deadline of its settings, and 0.7 s.
const GRACE: Duration = Duration::from_millis(LONGEST_DEADLINE_MS + 700);
const LONGEST_DEADLINE_MS: u64 = 1_000;
/// What its log says once it has heard that it is to end.
const HEARD: &str = ": Told after ";
/// How long the kernel and the loader may take until the program runs.
const LOADS: Duration = Duration::from_millis(60);
const LOOK: Duration = Duration::from_millis(5);
/// Lines of its log that are shown of a process which did not end.
const LAST_LINES: usize = 12;

/// How a group is set up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Setup {
    /// Discovery is asked; one worker.
    Plain,
    /// The list is pushed and known at the start; two workers.
    Pushed,
    /// Instances agree on settings.
    Agreeing,
    /// The listening socket is passed on, so that one process can take over from another.
    Passed,
}

impl Setup {
    /// All, a group each.
    pub const ALL: [Setup; 4] = [Setup::Plain, Setup::Pushed, Setup::Agreeing, Setup::Passed];
}

/// One process, whichever runs in its place.
pub struct Process {
    /// Which it is.
    pub id: ProcessId,
    /// How its group is set up.
    pub setup: Setup,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators do.
    pub console: SocketAddr,
    /// The process itself.
    pub sidecar: Mutex<Sidecar>,
    /// When it was started last.
    started: Mutex<Instant>,
    /// Something is under way that starts or ends it.
    pub busy: AtomicBool,
    /// What it is told of discovery, and the rest of its file.
    file: Mutex<String>,
    records: Arc<Records>,
}

/// One group.
pub struct Group {
    /// Its processes.
    pub processes: Vec<Arc<Process>>,
    /// Its servers.
    pub servers: Vec<Server>,
    /// Its discovery.
    pub discovery: Discovery,
}

/// All groups.
pub struct Fleet {
    /// In the order of [`Setup::ALL`].
    pub groups: Vec<Group>,
    records: Arc<Records>,
}

/// What is known of the processes once all have ended.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Ends {
    /// Lines of their logs that tell of a broken rule, a panic or an unexpected end.
    pub broken: Vec<String>,
    /// How often each fault arrived.
    pub arrived: BTreeMap<String, u64>,
}

impl Process {
    /// Starts it.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let process = self.clone();
        on_lasting_thread(move || lock(&process.sidecar).start())?;
        *lock(&self.started) = Instant::now();
        self.records.note(self.id, Event::Started);
        Ok(())
    }

    /// Starts a second one beside it.
    pub fn start_second(self: &Arc<Self>) -> std::io::Result<()> {
        let process = self.clone();
        on_lasting_thread(move || lock(&process.sidecar).start_second())
    }

    /// Waits until it listens for signals: one that comes before its program runs at all ends it.
    pub fn wait_for_handlers(&self) {
        let since = *lock(&self.started);
        thread::sleep((since + LOADS).saturating_duration_since(Instant::now()));
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        lock(&self.sidecar).signal(signal);
    }

    /// Kills it outright.
    pub fn kill(&self) {
        self.records.note(self.id, Event::Killed);
        lock(&self.sidecar).kill();
    }

    /// How often its processes have said that they heard they are to end.
    fn times_heard(&self) -> usize {
        lock(&self.sidecar).log_text().matches(HEARD).count()
    }

    /// Asks it to end and kills it as early as may be after that, if it has not ended. One that has not even heard is a find.
    pub fn terminate(&self) {
        let heard_before = self.times_heard();
        self.records.note(self.id, Event::Terminated);
        self.signal(Signal::TERM);
        let begun = Instant::now();
        while begun.elapsed() < GRACE {
            let ended = lock(&self.sidecar).exit_code();
            if let Some(code) = ended {
                self.records.note(self.id, Event::Ended(code));
                return lock(&self.sidecar).kill();
            }
            thread::sleep(LOOK);
        }
        if self.times_heard() > heard_before {
            self.records.note(self.id, Event::KilledAfterGrace);
            return lock(&self.sidecar).kill();
        }
        self.records.note(self.id, Event::Ended(None));
        let log = lock(&self.sidecar).log_text();
        let last: Vec<&str> = log.lines().rev().take(LAST_LINES).collect();
        eprintln!(
            "{:?} did not end; its last lines, the newest first:\n{}\n{}",
            self.id,
            last.join("\n"),
            self.threads()
        );
        self.kill();
    }

    /// What its threads wait for, as the kernel tells it.
    fn threads(&self) -> String {
        let id = lock(&self.sidecar).pid().unwrap_or_default();
        let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
        let told = tasks.map(|task| {
            let read = |name: &str| std::fs::read_to_string(task.path().join(name)).unwrap_or_default();
            format!("{} {} {}", read("comm").trim(), read("wchan").trim(), read("syscall").trim())
        });
        told.collect::<Vec<_>>().join("\n")
    }

    /// Writes its file as it was built, with discovery there.
    pub fn write_config(&self, discovery: SocketAddr) -> std::io::Result<()> {
        let text = lock(&self.file).replace("DISCOVERY", &discovery.to_string());
        lock(&self.sidecar).write_config(&text)
    }

    /// Leaves half of its file, until it is written again.
    pub fn truncate_config(&self) -> std::io::Result<()> {
        lock(&self.sidecar).truncate_config()
    }

    /// Has a kind of system call fail from now on, so many of a million.
    pub fn set_fault(&self, kind: FaultKind, rate: u64) {
        if let Some(faults) = lock(&self.sidecar).faults() {
            let _ = faults.set(kind, rate);
        }
    }

    /// Steps its wall clock, by so much from the host's.
    pub fn step_clock(&self, seconds: i64) {
        if let Some(faults) = lock(&self.sidecar).faults() {
            let _ = faults.step_clock(seconds);
        }
    }

    /// Waits until it says that it is ready. False if it does not in time.
    pub fn wait_ready(&self, within: Duration) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < within && !lock(&self.sidecar).has_exited() {
            let ready = connect(self.listen).and_then(|mut stream| send_request(&mut stream, READY_REQUEST));
            if ready.is_some_and(|(status, _)| status == 200) {
                self.records.note(self.id, Event::Ready);
                return true;
            }
            thread::sleep(4 * LOOK);
        }
        false
    }

    /// Asks its console to take a server out, or to put it back. The status.
    pub fn mark(&self, server: usize, out: bool) -> Option<u16> {
        let word = if out { "maint" } else { "ready" };
        let text =
            format!("PUT /endpoints/s{server}/{word} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        connect(self.console)
            .and_then(|mut stream| send_request(&mut stream, &text))
            .map(|(status, _)| status)
    }

    /// Writes down what happens to it.
    pub fn note(&self, event: Event) {
        self.records.note(self.id, event);
    }
}

type Job = Box<dyn FnOnce() + Send>;

/// Does something on a thread that lasts as long as the rig: a process dies with the thread that started it.
fn on_lasting_thread<T: Send + 'static>(
    work: impl FnOnce() -> std::io::Result<T> + Send + 'static,
) -> std::io::Result<T> {
    static JOBS: OnceLock<Mutex<Sender<Job>>> = OnceLock::new();
    let jobs = JOBS.get_or_init(|| {
        let (jobs, taken) = channel::<Job>();
        thread::spawn(move || taken.into_iter().for_each(|job| job()));
        Mutex::new(jobs)
    });
    let (tell, done) = channel();
    let job: Job = Box::new(move || _ = tell.send(work()));
    lock(jobs).send(job).map_err(|_| std::io::ErrorKind::BrokenPipe)?;
    done.recv().map_err(|_| std::io::Error::from(std::io::ErrorKind::BrokenPipe))?
}

/// What all files have in common.
fn settings(setup: Setup, me: usize, balancers: usize) -> String {
    let discovery = if setup == Setup::Pushed { "pushed" } else { "on_request" };
    let class = |name: &str, semantics: &str| {
        format!(
            r#"{{"name":"{name}","semantics":{semantics},"quoted_time_s":0.5,"abandon_time_s":{},"payoff":1}}"#,
            LONGEST_DEADLINE_MS as f64 / 1_000.0
        )
    };
    let save = r#""idempotency_key","group":"cell","memory_span_s":2"#;
    format!(
        r#""settings":{{"me":{me},"balancers":{balancers},"zones":["a"],"discovery":"{discovery}",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":1.0,"connect_timeout_s":0.3,"idle_close_s":5}},
        "rules":{{"ask_within_s":5,"cold_from":0.3,"fall_s":1.5,"warm_within_s":4}},
        "workloads":[{},{},{}]}}"#,
        class("view", r#""read_like""#),
        class("save", save),
        class("pay", r#""non_idempotent""#),
    )
}

impl Fleet {
    /// Starts everything.
    pub fn build(
        program: &Path, plan: &Plan, folder: &Path, records: &Arc<Records>,
    ) -> std::io::Result<Fleet> {
        let each = (plan.processes / Setup::ALL.len()).max(1);
        let mut groups = Vec::new();
        for (group, setup) in Setup::ALL.into_iter().enumerate() {
            let servers: Vec<Server> = (0..SERVERS)
                .map(|at| Server::start(at, at % 2, records.clone()))
                .collect::<std::io::Result<_>>()?;
            let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
            let discovery = Discovery::new(&addresses, records.clone());
            let ids = (0..each).map(|number| ProcessId { group, number });
            let made =
                ids.map(|id| sidecar(program, folder, id, setup)).collect::<std::io::Result<Vec<_>>>()?;
            let operator = operator(setup, &made)?;
            let mut processes = Vec::new();
            for (number, mut sidecar) in made.into_iter().enumerate() {
                let id = ProcessId { group, number };
                if let Some(operator) = &operator {
                    sidecar.write_operator_config(operator)?;
                }
                let known = if setup == Setup::Pushed {
                    format!(r#""known":{},"#, discovery.list())
                } else {
                    String::new()
                };
                let seed =
                    0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(plan.seed + 1 + (group * 100 + number) as u64);
                let file = format!(
                    r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"DISCOVERY","seed":"{seed:x}","version":{{"number":1}},{known}{}}}"#,
                    sidecar.name,
                    sidecar.listen,
                    sidecar.console,
                    settings(setup, number, each),
                );
                let process = Process {
                    id,
                    setup,
                    listen: sidecar.listen,
                    console: sidecar.console,
                    sidecar: Mutex::new(sidecar),
                    started: Mutex::new(Instant::now()),
                    busy: AtomicBool::new(false),
                    file: Mutex::new(file),
                    records: records.clone(),
                };
                let process = Arc::new(process);
                process.write_config(discovery.address(id)?)?;
                process.start()?;
                processes.push(process);
            }
            groups.push(Group { processes, servers, discovery });
        }
        Ok(Fleet { groups, records: records.clone() })
    }

    /// How many there are of everything.
    pub fn shape(&self) -> Shape {
        Shape { groups: self.groups.len(), processes: self.groups[0].processes.len(), servers: SERVERS }
    }

    /// All processes of all groups.
    pub fn processes(&self) -> impl Iterator<Item = &Arc<Process>> {
        self.groups.iter().flat_map(|group| &group.processes)
    }

    /// Waits until all are ready.
    pub fn all_ready(&self, within: Duration) -> Result<(), String> {
        let begun = Instant::now();
        for process in self.processes() {
            if !process.wait_ready(within.saturating_sub(begun.elapsed())) {
                let log = lock(&process.sidecar).log_text();
                return Err(format!("{:?} is not ready:\n{log}", process.id));
            }
        }
        Ok(())
    }

    /// Starts two steady clients of each process.
    pub fn start_clients(&self, seed: u64) -> Running {
        let mut running = Running::default();
        for (at, process) in self.processes().enumerate() {
            for client in 0..2 {
                let seed = seed.wrapping_mul(1_000).wrapping_add(2 * at as u64 + client);
                running.add(self.client(process), Habit::Steady, seed);
            }
        }
        running
    }

    /// A client of a process.
    pub fn client(&self, process: &Process) -> Client {
        Client { process: process.id, to: process.listen, records: self.records.clone() }
    }

    /// Ends all processes, each asked to.
    pub fn end(self) -> Ends {
        let mut ends = Ends::default();
        thread::scope(|scope| {
            for process in self.processes() {
                scope.spawn(move || process.terminate());
            }
        });
        for process in self.processes() {
            let sidecar = lock(&process.sidecar);
            for line in sidecar.log_text().lines().filter(|line| tells_of_a_fault(line)) {
                ends.broken.push(format!("{}: {line}", sidecar.name));
            }
            if let Some(faults) = sidecar.faults() {
                for kind in FaultKind::ALL {
                    *ends.arrived.entry(format!("{kind:?}")).or_default() += faults.arrived(kind);
                }
                *ends.arrived.entry("SteppedClock".into()).or_default() += faults.clock_readings();
            }
        }
        ends
    }
}

fn tells_of_a_fault(line: &str) -> bool {
    ["rule broken:", "panicked", "worker ended"].iter().any(|word| line.contains(word))
}

fn sidecar(program: &Path, folder: &Path, id: ProcessId, setup: Setup) -> std::io::Result<Sidecar> {
    let mut sidecar = Sidecar::new(program, &format!("g{}p{}", id.group, id.number), folder)?;
    sidecar.enable_faults()?;
    if setup == Setup::Passed {
        sidecar.pass_listener()?;
    }
    Ok(sidecar)
}

/// The operator's file of a group, if it has one.
fn operator(setup: Setup, sidecars: &[Sidecar]) -> std::io::Result<Option<String>> {
    Ok(match setup {
        Setup::Plain | Setup::Passed => None,
        Setup::Pushed => Some("workers = 2\n".into()),
        Setup::Agreeing => {
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

/// Holds a process for something that starts or ends it. None if it is held already.
pub struct Hold<'a>(&'a Process);

impl<'a> Hold<'a> {
    /// Takes it, if it is free.
    pub fn take(process: &'a Process) -> Option<Hold<'a>> {
        (!process.busy.swap(true, Ordering::SeqCst)).then_some(Hold(process))
    }
}

impl Drop for Hold<'_> {
    fn drop(&mut self) {
        self.0.busy.store(false, Ordering::SeqCst);
    }
}
