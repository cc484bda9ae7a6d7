//! Helpers for tests with dozens of processes: a shared discovery that may be down or overloaded, the settings files
//! of the processes, and a monitor of how late the harness itself runs.
use crate::fakes::{connect, endpoint_json, read_head, reject, send_request};
use crate::processes::{reserve_address, Sidecar};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Locks a mutex, also where a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unix time in milliseconds, as in a list's `since_ms`.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// An endpoint in the list of discovery.
#[derive(Clone, PartialEq, Debug)]
pub struct ListedEndpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, in Unix time; 0 for long ago.
    pub since_ms: u64,
}

fn list_json(index: u64, snapshot: bool, listed: &[ListedEndpoint]) -> String {
    let entries = listed
        .iter()
        .map(|endpoint| endpoint_json(&endpoint.name, endpoint.address, "active", endpoint.since_ms));
    let entries: Vec<String> = entries.collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// How a discovery that is down handles requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OutageKind {
    /// It does not listen.
    Refused,
    /// It accepts and records requests, and closes their connections without an answer.
    Closed,
    /// It accepts and records requests, and closes their connections without an answer only when it is back.
    Held,
    /// It accepts and records requests, and answers 503 after 2 s.
    Rejected,
}

/// How long a request waits for its 503 at a discovery that is down.
const REJECTION_DELAY: Duration = Duration::from_secs(2);

/// The capacity of a discovery that handles requests one after the other.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Capacity {
    /// Requests that it handles in a second.
    pub requests_per_s: f64,
    /// A request that would have to wait for longer is rejected.
    pub max_wait_s: f64,
    /// When it is rejected.
    pub rejection: RejectionTiming,
}

/// When a request is rejected that would have to wait for too long.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectionTiming {
    /// On arrival; it takes no capacity.
    Immediate,
    /// After the longest wait; it takes capacity all the same.
    AfterMaxWait,
}

/// The outcome of a request to discovery.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DiscoveryOutcome {
    /// It got the list.
    Served,
    /// It got a 503 while discovery was up.
    Rejected,
    /// Discovery was down.
    Unanswered,
}

#[derive(Default)]
struct State {
    listed: Vec<ListedEndpoint>,
    index: u64,
    /// The lines of all changes since the start, in order.
    changes: Vec<String>,
    down: Option<OutageKind>,
    /// How often discovery went down; watches that began in an earlier incarnation end.
    incarnation: u64,
    capacity: Option<Capacity>,
    /// When all requests that wait now will have been handled.
    busy_until: Option<Instant>,
    requests: Vec<(Instant, DiscoveryOutcome)>,
}

#[derive(Default)]
struct DiscoveryServer {
    state: Mutex<State>,
    changed: Condvar,
}

/// One discovery for several processes.
pub struct SharedDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    server: Arc<DiscoveryServer>,
    accept_thread: Mutex<Option<JoinHandle<()>>>,
}

/// After how long without a change a watch gets an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

impl SharedDiscovery {
    /// Starts a discovery that lists these endpoints.
    pub fn start(listed: Vec<ListedEndpoint>) -> std::io::Result<SharedDiscovery> {
        let state = Mutex::new(State { listed, index: 1, ..State::default() });
        let server = Arc::new(DiscoveryServer { state, changed: Condvar::new() });
        let discovery =
            SharedDiscovery { address: reserve_address()?, server, accept_thread: Mutex::new(None) };
        discovery.listen()?;
        Ok(discovery)
    }

    fn listen(&self) -> std::io::Result<()> {
        let (listener, server) = (TcpListener::bind(self.address)?, self.server.clone());
        *lock(&self.accept_thread) = Some(thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if lock(&server.state).down == Some(OutageKind::Refused) {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        }));
        Ok(())
    }

    /// Adds an endpoint that is new or has restarted to the list, and sends it on all watches.
    pub fn announce(&self, endpoint: ListedEndpoint) {
        let mut state = lock(&self.server.state);
        state.index += 1;
        let change = list_json(state.index, false, std::slice::from_ref(&endpoint));
        state.changes.push(change);
        state.listed.retain(|listed| listed.name != endpoint.name);
        state.listed.push(endpoint);
        self.server.changed.notify_all();
    }

    /// Goes down; all watches end. Where connections are refused, none is accepted any more once this returns.
    pub fn go_down(&self, kind: OutageKind) {
        {
            let mut state = lock(&self.server.state);
            (state.down, state.incarnation) = (Some(kind), state.incarnation + 1);
        }
        self.server.changed.notify_all();
        if kind == OutageKind::Refused {
            // Wakes the accepting thread.
            drop(TcpStream::connect(self.address));
            lock(&self.accept_thread).take().map(JoinHandle::join);
        }
    }

    /// Comes back with this capacity; none for no limit.
    pub fn come_back(&self, capacity: Option<Capacity>) -> std::io::Result<()> {
        {
            let mut state = lock(&self.server.state);
            (state.down, state.capacity) = (None, capacity);
        }
        self.server.changed.notify_all();
        let listens = lock(&self.accept_thread).is_some();
        if listens {
            Ok(())
        } else {
            self.listen()
        }
    }

    /// All requests so far, each with its arrival.
    pub fn requests(&self) -> Vec<(Instant, DiscoveryOutcome)> {
        lock(&self.server.state).requests.clone()
    }
}

impl Drop for SharedDiscovery {
    fn drop(&mut self) {
        self.go_down(OutageKind::Refused);
    }
}

impl DiscoveryServer {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let arrived_at = Instant::now();
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut stream = BufReader::new(stream);
        let (incarnation, wait, outcome, down) = {
            let mut state = lock(&self.state);
            let (outcome, wait) = match (state.down, state.capacity) {
                (Some(_), _) => (DiscoveryOutcome::Unanswered, Duration::ZERO),
                (None, None) => (DiscoveryOutcome::Served, Duration::ZERO),
                (None, Some(Capacity { requests_per_s, max_wait_s, rejection })) => {
                    let start = state.busy_until.map_or(arrived_at, |busy_until| busy_until.max(arrived_at));
                    let wait = start - arrived_at;
                    let too_long = wait.as_secs_f64() > max_wait_s;
                    if !too_long || rejection == RejectionTiming::AfterMaxWait {
                        state.busy_until = Some(start + Duration::from_secs_f64(1.0 / requests_per_s));
                    }
                    match (too_long, rejection) {
                        (false, _) => (DiscoveryOutcome::Served, wait),
                        (true, RejectionTiming::Immediate) => (DiscoveryOutcome::Rejected, Duration::ZERO),
                        (true, RejectionTiming::AfterMaxWait) => {
                            (DiscoveryOutcome::Rejected, Duration::from_secs_f64(max_wait_s))
                        }
                    }
                }
            };
            state.requests.push((arrived_at, outcome));
            (state.incarnation, wait, outcome, state.down)
        };
        match down {
            None => {}
            Some(OutageKind::Rejected) => {
                read_head(&mut stream)?;
                thread::sleep(REJECTION_DELAY);
                return reject(stream.get_mut());
            }
            Some(OutageKind::Held) => {
                let still_held = |state: &mut State| state.down == Some(OutageKind::Held);
                drop(self.changed.wait_while(lock(&self.state), still_held));
                return None;
            }
            Some(OutageKind::Refused | OutageKind::Closed) => return None,
        }
        read_head(&mut stream)?;
        thread::sleep(wait);
        if outcome == DiscoveryOutcome::Rejected {
            return reject(stream.get_mut());
        }
        self.watch(stream.get_mut(), incarnation)
    }

    fn watch(&self, stream: &mut TcpStream, incarnation: u64) -> Option<()> {
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (first, mut sent) = {
            let state = lock(&self.state);
            (list_json(state.index, true, &state.listed), state.changes.len())
        };
        let mut text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&first));
        loop {
            stream.write_all(text.as_bytes()).ok()?;
            let unchanged =
                |state: &mut State| state.incarnation == incarnation && state.changes.len() == sent;
            let state = lock(&self.state);
            let waited = self.changed.wait_timeout_while(state, HEARTBEAT_INTERVAL, unchanged);
            let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            if state.incarnation != incarnation {
                return None;
            }
            let new_lines = &state.changes[sent..];
            sent = state.changes.len();
            text = if new_lines.is_empty() {
                chunk("")
            } else {
                new_lines.iter().map(|line| chunk(line)).collect()
            };
        }
    }
}

/// The settings of a process that differ between tests.
pub struct ProcessConfig<'a> {
    /// Its number among the harness's processes, from which its seed is derived.
    pub process: usize,
    /// The setting `me`: which instance it is told to be.
    pub me: usize,
    /// The setting `balancers`: how many instances it is told there are.
    pub balancers: usize,
    /// The address of its discovery.
    pub discovery: SocketAddr,
    /// Whether it has a console.
    pub console: bool,
    /// The list in the key `known`, if the file has that key.
    pub known: Option<&'a [ListedEndpoint]>,
    /// The setting `cold_from`.
    pub cold_from: f64,
    /// The setting `fall_s`.
    pub fall_s: f64,
    /// The setting `warm_within_s`.
    pub warm_within_s: f64,
}

impl ProcessConfig<'_> {
    /// The settings of a single instance: it has a console, and servers warm up within 3 s.
    pub fn alone(discovery: SocketAddr) -> ProcessConfig<'static> {
        ProcessConfig {
            process: 0,
            me: 0,
            balancers: 1,
            discovery,
            console: true,
            known: None,
            cold_from: 0.3,
            fall_s: 1.5,
            warm_within_s: 3.0,
        }
    }
}

/// The text of a process's settings file, with one workload, `view`, that may be repeated.
pub fn config_json(sidecar: &Sidecar, config: &ProcessConfig) -> String {
    let ProcessConfig { process, me, balancers, discovery, console, known, cold_from, fall_s, warm_within_s } =
        config;
    let console = if *console { format!(r#""console":"{}","#, sidecar.console) } else { String::new() };
    let known = known.map_or(String::new(), |listed| format!(r#""known":{},"#, list_json(1, true, listed)));
    let seed = 0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(1 + *process as u64);
    format!(
        r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"{seed:x}",{console}{known}
        "settings":{{"me":{me},"balancers":{balancers},"zones":["a"],"discovery":"on_request",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
        "rules":{{"ask_within_s":10,"cold_from":{cold_from},"fall_s":{fall_s},"warm_within_s":{warm_within_s}}},
        "workloads":[{{"name":"view","semantics":"read_like","quoted_time_s":1,"abandon_time_s":2,"payoff":1}}]}}}}"#,
        sidecar.name, sidecar.listen,
    )
}

/// A client's request of the workload `view`.
pub fn view_request(id: &str) -> String {
    format!("GET /view HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: 900\r\n\r\n")
}

/// A request for a sidecar's own readiness.
pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// How long the processes may take until all of them serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until all processes answer 200 to `GET /ready`.
pub fn wait_until_all_ready(sidecars: &mut [Sidecar]) -> Result<(), String> {
    let start_time = Instant::now();
    for sidecar in sidecars {
        let ready =
            |address| connect(address).and_then(|mut stream| send_request(&mut stream, READY_REQUEST));
        while ready(sidecar.listen).is_none_or(|(status, _)| status != 200) {
            if sidecar.has_exited() || start_time.elapsed() > START_TIMEOUT {
                return Err(format!("{} does not serve:\n{}", sidecar.name, sidecar.log_text()));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

/// A temporary folder, removed when this is dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Chooses a path in the system's temporary folder; [`Sidecar::new`] creates the folder.
    pub fn new(purpose: &str) -> TempDir {
        static FOLDERS: AtomicU64 = AtomicU64::new(0);
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        TempDir(std::env::temp_dir().join(format!("oakhollow-{purpose}-{}-{number}", std::process::id())))
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Measures how late the harness's own threads run: a thread sleeps for 10 ms at a time and records by how much
/// longer each sleep took.
pub struct DelayMonitor {
    max_delay_us: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl DelayMonitor {
    /// Starts the thread.
    pub fn start() -> DelayMonitor {
        let delay_monitor = DelayMonitor { max_delay_us: Arc::default(), stopped: Arc::default() };
        let (max_delay_us, stopped) = (delay_monitor.max_delay_us.clone(), delay_monitor.stopped.clone());
        let interval = Duration::from_millis(10);
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let start_time = Instant::now();
                thread::sleep(interval);
                max_delay_us
                    .fetch_max((start_time.elapsed() - interval).as_micros() as u64, Ordering::Relaxed);
            }
        });
        delay_monitor
    }

    /// The longest delay, in seconds.
    pub fn max_delay_s(&self) -> f64 {
        self.max_delay_us.load(Ordering::Relaxed) as f64 / 1e6
    }
}

impl Drop for DelayMonitor {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// Whether the harness ran well enough for a run to count.
#[derive(Clone, PartialEq, Debug)]
pub enum RunValidity {
    /// The run counts.
    Valid,
    /// The harness ran so late that it may have caused a failure; a success counts all the same.
    HarnessLate(String),
    /// The run was not what the test describes; it counts for nothing.
    Invalid(String),
}

/// Runs a test until a run counts, at most three times, and prints each run that does not. A run whose harness was
/// late counts only if the check passes. The error is that of the check, or that no run counted.
pub fn run_until_conclusive<R>(
    name: &str, run: impl Fn() -> Result<(R, RunValidity), String>, check: impl Fn(&R) -> Result<(), String>,
) -> Result<R, String> {
    for number in 1..=MAX_RUNS {
        let (report, validity) = run()?;
        let reason = match (validity, check(&report)) {
            (RunValidity::Valid | RunValidity::HarnessLate(_), Ok(())) => return Ok(report),
            (RunValidity::Valid, Err(failure)) => return Err(format!("{name}: {failure}")),
            (RunValidity::HarnessLate(reason), Err(failure)) => format!("{reason}, {failure}"),
            (RunValidity::Invalid(reason), _) => reason,
        };
        println!("{name}: run {number} is inconclusive: {reason}");
    }
    Err(format!("{name}: inconclusive in {MAX_RUNS} runs"))
}

/// How often [`run_until_conclusive`] runs a test at most.
const MAX_RUNS: usize = 3;
