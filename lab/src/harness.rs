//! What plays with dozens of processes need: one discovery for all of them that may be down or have too many callers, plain
//! HTTP, and a pulse that tells how late the rig itself runs.
use crate::fakes::{connect, endpoint_json, read_head, reject, send_request};
use crate::processes::{reserve_address, Sidecar};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unix time in milliseconds, as a list words when a server started.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A server as the list words it.
#[derive(Clone, PartialEq, Debug)]
pub struct ListedEndpoint {
    pub name: String,
    pub address: SocketAddr,
    /// 0 for long ago.
    pub since_ms: u64,
}

fn line(index: u64, snapshot: bool, listed: &[ListedEndpoint]) -> String {
    let entries = listed.iter().map(|one| endpoint_json(&one.name, one.address, "active", one.since_ms));
    let entries: Vec<String> = entries.collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// What a call to a discovery that is down meets.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OutageKind {
    Refused,
    /// Taken, noted and closed with no answer.
    Closed,
    /// Taken and noted, and closed with no answer at the return, all at once.
    Held,
    /// Taken and noted, and turned away after [`TURNS_AWAY_AFTER`].
    Rejected,
}

/// How long a call waits at a discovery that is down and turns calls away.
const TURNS_AWAY_AFTER: Duration = Duration::from_secs(2);

/// It works through calls in turn, so many a second; whoever would wait for longer is turned away.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Capacity {
    pub requests_per_s: f64,
    pub max_wait_s: f64,
    pub rejection: RejectionTiming,
}

/// How a call is turned away that would wait for too long.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RejectionTiming {
    /// When it comes, and at no cost.
    Immediate,
    /// When it has waited for as long as any does. It is worked through all the same, for nobody.
    AfterMaxWait,
}

/// What became of a call to discovery.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DiscoveryOutcome {
    Served,
    Rejected,
    /// It was down.
    Unanswered,
}

#[derive(Default)]
struct State {
    listed: Vec<ListedEndpoint>,
    index: u64,
    /// Changes since the beginning, a line each.
    changes: Vec<String>,
    down: Option<OutageKind>,
    /// How often it went down: watches of before have ended.
    life: u64,
    capacity: Option<Capacity>,
    /// When the calls that wait have been worked through.
    busy_until: Option<Instant>,
    calls: Vec<(Instant, DiscoveryOutcome)>,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    news: Condvar,
}

/// One discovery for all processes that are told its address.
pub struct SharedDiscovery {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    takes_in: Mutex<Option<JoinHandle<()>>>,
}

/// An empty line comes that often where nothing changes.
const BEAT: Duration = Duration::from_secs(1);

impl SharedDiscovery {
    pub fn start(listed: Vec<ListedEndpoint>) -> std::io::Result<SharedDiscovery> {
        let state = Mutex::new(State { listed, index: 1, ..State::default() });
        let inner = Arc::new(Inner { state, news: Condvar::new() });
        let shared = SharedDiscovery { address: reserve_address()?, inner, takes_in: Mutex::new(None) };
        shared.listen()?;
        Ok(shared)
    }

    fn listen(&self) -> std::io::Result<()> {
        let (listener, inner) = (TcpListener::bind(self.address)?, self.inner.clone());
        *lock(&self.takes_in) = Some(thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if lock(&inner.state).down == Some(OutageKind::Refused) {
                    return;
                }
                let inner = inner.clone();
                thread::spawn(move || inner.serve(stream));
            }
        }));
        Ok(())
    }

    /// Tells a server that is new, or has started again.
    pub fn announce(&self, server: ListedEndpoint) {
        let mut state = lock(&self.inner.state);
        state.index += 1;
        let change = line(state.index, false, std::slice::from_ref(&server));
        state.changes.push(change);
        state.listed.retain(|listed| listed.name != server.name);
        state.listed.push(server);
        self.inner.news.notify_all();
    }

    /// Goes down; all watches end. Nobody is taken in any more once this is done.
    pub fn go_down(&self, how: OutageKind) {
        {
            let mut state = lock(&self.inner.state);
            (state.down, state.life) = (Some(how), state.life + 1);
        }
        self.inner.news.notify_all();
        if how == OutageKind::Refused {
            // Wakes whoever takes in.
            drop(TcpStream::connect(self.address));
            lock(&self.takes_in).take().map(JoinHandle::join);
        }
    }

    /// Is back, and has so much capacity from now on.
    pub fn come_back(&self, capacity: Option<Capacity>) -> std::io::Result<()> {
        {
            let mut state = lock(&self.inner.state);
            (state.down, state.capacity) = (None, capacity);
        }
        self.inner.news.notify_all();
        let listens = lock(&self.takes_in).is_some();
        if listens {
            Ok(())
        } else {
            self.listen()
        }
    }

    /// All calls so far, each with when it came.
    pub fn requests(&self) -> Vec<(Instant, DiscoveryOutcome)> {
        lock(&self.inner.state).calls.clone()
    }
}

impl Drop for SharedDiscovery {
    fn drop(&mut self) {
        self.go_down(OutageKind::Refused);
    }
}

impl Inner {
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let came = Instant::now();
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut stream = BufReader::new(stream);
        let (life, wait, met, down) = {
            let mut state = lock(&self.state);
            let (met, wait) = match (state.down, state.capacity) {
                (Some(_), _) => (DiscoveryOutcome::Unanswered, Duration::ZERO),
                (None, None) => (DiscoveryOutcome::Served, Duration::ZERO),
                (None, Some(Capacity { requests_per_s, max_wait_s, rejection })) => {
                    let turn = state.busy_until.map_or(came, |until| until.max(came));
                    let wait = turn - came;
                    let too_long = wait.as_secs_f64() > max_wait_s;
                    if !too_long || rejection == RejectionTiming::AfterMaxWait {
                        state.busy_until = Some(turn + Duration::from_secs_f64(1.0 / requests_per_s));
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
            state.calls.push((came, met));
            (state.life, wait, met, state.down)
        };
        match down {
            None => {}
            Some(OutageKind::Rejected) => {
                read_head(&mut stream)?;
                thread::sleep(TURNS_AWAY_AFTER);
                return reject(stream.get_mut());
            }
            Some(OutageKind::Held) => {
                let held = |state: &mut State| state.down == Some(OutageKind::Held);
                drop(self.news.wait_while(lock(&self.state), held));
                return None;
            }
            Some(OutageKind::Refused | OutageKind::Closed) => return None,
        }
        read_head(&mut stream)?;
        thread::sleep(wait);
        if met == DiscoveryOutcome::Rejected {
            return reject(stream.get_mut());
        }
        self.watch(stream.get_mut(), life)
    }

    fn watch(&self, stream: &mut TcpStream, life: u64) -> Option<()> {
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (first, mut told) = {
            let state = lock(&self.state);
            (line(state.index, true, &state.listed), state.changes.len())
        };
        let mut said = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&first));
        loop {
            stream.write_all(said.as_bytes()).ok()?;
            let nothing = |state: &mut State| state.life == life && state.changes.len() == told;
            let state = lock(&self.state);
            let waited = self.news.wait_timeout_while(state, BEAT, nothing);
            let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            if state.life != life {
                return None;
            }
            let news = &state.changes[told..];
            told = state.changes.len();
            said = if news.is_empty() { chunk("") } else { news.iter().map(|line| chunk(line)).collect() };
        }
    }
}

/// What a process's file says beyond the rest, which is the same for all.
pub struct ProcessConfig<'a> {
    /// Which of the processes it is, for its chance; `me` is what it takes itself for.
    pub at: usize,
    pub me: usize,
    pub balancers: usize,
    pub discovery: SocketAddr,
    /// Whether it has a console.
    pub console: bool,
    /// The list as the platform leaves it, if it does.
    pub known: Option<&'a [ListedEndpoint]>,
    pub cold_from: f64,
    pub fall_s: f64,
    pub warm_within_s: f64,
}

impl ProcessConfig<'_> {
    /// What a process that is alone before its servers is told: it has a console, and servers warm up within 3 s.
    pub fn alone(discovery: SocketAddr) -> ProcessConfig<'static> {
        ProcessConfig {
            at: 0,
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

/// A process's file: one workload, `view`, that may be repeated.
pub fn config_json(sidecar: &Sidecar, told: &ProcessConfig) -> String {
    let ProcessConfig { at, me, balancers, discovery, console, known, cold_from, fall_s, warm_within_s } =
        told;
    let console = if *console { format!(r#""console":"{}","#, sidecar.console) } else { String::new() };
    let known = known.map_or(String::new(), |listed| format!(r#""known":{},"#, line(1, true, listed)));
    let seed = 0x9E37_79B9_7F4A_7C15_u64.wrapping_mul(1 + *at as u64);
    format!(
        r#"{{"name":"{}","listen":"{}","discovery":"{discovery}","seed":"{seed:x}",{console}{known}
        "settings":{{"me":{me},"balancers":{balancers},"zones":["a"],"discovery":"on_request",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
        "rules":{{"ask_within_s":10,"cold_from":{cold_from},"fall_s":{fall_s},"warm_within_s":{warm_within_s}}},
        "workloads":[{{"name":"view","semantics":"read_like","quoted_time_s":1,"abandon_time_s":2,"payoff":1}}]}}}}"#,
        sidecar.name, sidecar.listen,
    )
}

/// A call as a caller words it.
pub fn view_request(id: &str) -> String {
    format!("GET /view HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: 900\r\n\r\n")
}

pub const READY_REQUEST: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// How long all may take until they serve.
const STARTS: Duration = Duration::from_secs(20);

/// All answer that they serve, by `GET /ready`.
pub fn wait_until_all_ready(sidecars: &mut [Sidecar]) -> Result<(), String> {
    let begun = Instant::now();
    for sidecar in sidecars {
        let ready = |to| connect(to).and_then(|mut stream| send_request(&mut stream, READY_REQUEST));
        while ready(sidecar.listen).is_none_or(|(status, _)| status != 200) {
            if sidecar.has_exited() || begun.elapsed() > STARTS {
                return Err(format!("{} does not serve:\n{}", sidecar.name, sidecar.log_text()));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok(())
}

/// A folder of a play's own, which goes with it.
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn new(of: &str) -> TempDir {
        static PLAYS: AtomicU64 = AtomicU64::new(0);
        let play = PLAYS.fetch_add(1, Ordering::Relaxed);
        TempDir(std::env::temp_dir().join(format!("oakhollow-{of}-{}-{play}", std::process::id())))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// How late the rig's own threads get to run: one that sleeps for a moment, again and again, notes by how much it overslept.
pub struct DelayMonitor {
    worst_us: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
}

impl DelayMonitor {
    pub fn start() -> DelayMonitor {
        let delay_monitor = DelayMonitor { worst_us: Arc::default(), ends: Arc::default() };
        let (worst, ends) = (delay_monitor.worst_us.clone(), delay_monitor.ends.clone());
        let length = Duration::from_millis(10);
        thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(length);
                worst.fetch_max((begun.elapsed() - length).as_micros() as u64, Ordering::Relaxed);
            }
        });
        delay_monitor
    }

    /// The longest that it overslept, in seconds.
    pub fn max_delay_s(&self) -> f64 {
        self.worst_us.load(Ordering::Relaxed) as f64 / 1e6
    }
}

impl Drop for DelayMonitor {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

/// How the rig itself ran meanwhile.
#[derive(Clone, PartialEq, Debug)]
pub enum RunValidity {
    Valid,
    /// So late that it may be the cause of what was found, but not of what was not.
    HarnessLate(String),
    /// Not what was to be played: there is no figure.
    Invalid(String),
}

/// Plays until there is a figure, three times at the most, and says each play that gave none: what is found of a rig that ran
/// late counts only where it can't be the rig's doing. A fault is the judge's, or that there was no figure.
pub fn run_until_conclusive<R>(
    name: &str, play: impl Fn() -> Result<(R, RunValidity), String>, judge: impl Fn(&R) -> Result<(), String>,
) -> Result<R, String> {
    for attempt in 1..=PLAYS {
        let (report, ran) = play()?;
        let why = match (ran, judge(&report)) {
            (RunValidity::Valid | RunValidity::HarnessLate(_), Ok(())) => return Ok(report),
            (RunValidity::Valid, Err(fault)) => return Err(format!("{name}: {fault}")),
            (RunValidity::HarnessLate(why), Err(fault)) => format!("{why}, {fault}"),
            (RunValidity::Invalid(why), _) => why,
        };
        println!("{name}: play {attempt} gives no figure: {why}");
    }
    Err(format!("{name}: no figure in {PLAYS} plays"))
}

const PLAYS: usize = 3;
