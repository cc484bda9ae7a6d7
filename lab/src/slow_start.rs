//! Many processes before one cold server: what all of them send it, added up, goes to the judge of [`crate::slow_start_limit`].
use crate::fakes::{connect, read_head, send_request};
use crate::harness::{
    config_json, lock, unix_ms, view_request, wait_until_all_ready, DelayMonitor, ListedEndpoint,
    ProcessConfig, RunValidity, SharedDiscovery, TempDir,
};
use crate::processes::Sidecar;
use crate::slow_start_limit::{fullest, Arrival, Ramp, Window};
use nanorand::{Rng, WyRand};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to the cold server and to those before it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Case {
    pub name: &'static str,
    pub processes: usize,
    /// One process has half of the traffic.
    pub uneven: bool,
    /// The server was there, and warm, before it starts again; else it is new.
    pub returns: bool,
    /// A third of the processes hear of each start so much later, in seconds.
    pub late_s: f64,
    /// A third of the processes is killed and started again at each of these, in seconds from the server's start.
    pub restarts: &'static [f64],
    /// The server starts once more, so long after the first time, in seconds.
    pub again_s: Option<f64>,
    /// Crooked: each process is told that it is alone before the servers.
    pub alone: bool,
}

impl Case {
    pub const EVEN: Case = Case {
        name: "even",
        processes: 30,
        uneven: false,
        returns: false,
        late_s: 0.0,
        restarts: &[],
        again_s: None,
        alone: false,
    };
}

/// One life of the server, as the judge reads it.
#[derive(Clone, PartialEq, Debug)]
pub struct Life {
    pub arrivals: usize,
    pub fullest: Option<Window>,
    /// The first window that breaks the rule.
    pub broken: Option<Window>,
    /// Windows in which it falls, whoever is to blame.
    pub falls: usize,
}

pub struct Report {
    pub lives: Vec<Life>,
    pub calls: usize,
    pub late: usize,
    pub served: usize,
    /// The longest that the rig's own pulse was late, in seconds.
    pub harness_delay_s: f64,
}

const WARM: usize = 3;
/// Calls a second for each process.
const RATE: f64 = 5.0;
/// How long all is calm before the server starts: processes look back on some beats then.
const CALM_S: f64 = 3.0;
/// A rig whose pulse was later, in seconds, may have brought arrivals together.
const LATE_S: f64 = 0.1;
/// Calls that went out later than that are late; no more than one in so many may be.
const LATE_CALLS: usize = 10;
/// How long a server works on a call.
const WORK: Duration = Duration::from_millis(5);

/// The settings' times, as short as keep several of the program's beats, and several windows, inside a ramp. The warm servers
/// do all that they can, and part and multiple are the least that any of our deployments has: no budget is smaller.
fn ramp(case: &Case) -> Ramp {
    let capacity = case.processes as f64 * RATE / WARM as f64;
    Ramp { capacity, cold_from: 0.12, warm_within_s: 6.0, fall_multiple: 2.0, fall_s: 1.0 }
}

/// A server that notes who sends to it, in which of its lives.
struct Server {
    address: SocketAddr,
    lives: Arc<Mutex<Lives>>,
}

struct Lives {
    started: Instant,
    arrivals: Vec<Vec<Arrival>>,
    open: Vec<TcpStream>,
}

impl Server {
    fn start() -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let lives = Lives { started: Instant::now(), arrivals: vec![Vec::new()], open: Vec::new() };
        let server = Server { address: listener.local_addr()?, lives: Arc::new(Mutex::new(lives)) };
        let lives = server.lives.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let lives = lives.clone();
                let life = {
                    let mut lives = lock(&lives);
                    lives.open.extend(stream.try_clone());
                    lives.arrivals.len() - 1
                };
                thread::spawn(move || serve(stream, life, &lives));
            }
        });
        Ok(server)
    }

    /// Starts again: its connections are gone. Tells the moment.
    fn start_again(&self) -> Instant {
        let mut lives = lock(&self.lives);
        lives.open.drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        lives.arrivals.push(Vec::new());
        lives.started = Instant::now();
        lives.started
    }
}

fn serve(stream: TcpStream, life: usize, lives: &Mutex<Lives>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    loop {
        let head = read_head(&mut stream)?;
        let id = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
        let process = id.and_then(|id| id.split('-').next()?.parse().ok()).unwrap_or(usize::MAX);
        {
            let mut lives = lock(lives);
            if lives.arrivals.len() != life + 1 {
                return None;
            }
            let at = lives.started.elapsed().as_secs_f64();
            lives.arrivals[life].push(Arrival { at, process });
        }
        thread::sleep(WORK);
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").ok()?;
    }
}

/// Calls one process, so many times a second in an uneven rhythm, until then: an open loop as far as one connection can be.
fn caller(to: SocketAddr, (process, stream): (usize, usize), rate: f64, until: Instant, tally: &Tally) {
    let mut random = WyRand::new_seed((process * 1000 + stream) as u64);
    let mut due = Instant::now();
    let mut connection = None;
    for call in 0.. {
        due += Duration::from_secs_f64(-(1.0 - random.generate::<f64>()).ln() / rate);
        if due >= until {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        tally.late.fetch_add(usize::from(due.elapsed().as_secs_f64() > LATE_S), Ordering::Relaxed);
        let asked = |again: &str| view_request(&format!("{process}-{stream}-{call}{again}"));
        let mut answer = connection.as_mut().and_then(|connection| send_request(connection, &asked("")));
        if answer.is_none() {
            // A process that starts again finds its callers waiting, each with a call.
            connection = None;
            while connection.is_none() && due.elapsed() < Duration::from_secs(1) {
                connection = connect(to);
                if connection.is_none() {
                    thread::sleep(Duration::from_millis(10));
                }
            }
            answer = connection.as_mut().and_then(|connection| send_request(connection, &asked("b")));
        }
        tally.calls.fetch_add(1, Ordering::Relaxed);
        if answer.is_some_and(|(status, _)| status == 200) {
            tally.served.fetch_add(1, Ordering::Relaxed);
        }
        connection = connection.filter(|_| answer.is_some_and(|(_, lasts)| lasts));
    }
}

#[derive(Default)]
struct Tally {
    calls: AtomicUsize,
    late: AtomicUsize,
    served: AtomicUsize,
}

struct Rig {
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    /// For those who hear in time, and for the others.
    discoveries: [SharedDiscovery; 2],
    /// Goes last.
    folder: TempDir,
}

/// Who hears late, where somebody does.
fn late(process: usize) -> bool {
    process % 3 == 2
}

/// Whose turn it is to start again: nobody who hears late.
fn starts_again(process: usize, turn: usize) -> bool {
    process % 3 == turn % 2
}

impl Rig {
    fn build(program: &Path, case: &Case) -> std::io::Result<Rig> {
        let servers: Vec<Server> = (0..=WARM).map(|_| Server::start()).collect::<std::io::Result<_>>()?;
        let named = servers.iter().enumerate().take(WARM + usize::from(case.returns));
        let listed: Vec<ListedEndpoint> = named.map(|(at, server)| listed(at, server, 0)).collect();
        let discoveries = [SharedDiscovery::start(listed.clone())?, SharedDiscovery::start(listed.clone())?];
        let mut rig = Rig { sidecars: Vec::new(), servers, discoveries, folder: TempDir::new("ramp") };
        let ramp = ramp(case);
        for at in 0..case.processes {
            let mut sidecar = Sidecar::new(program, &format!("n{at}"), rig.folder.path())?;
            let balancers = if case.alone { 1 } else { case.processes };
            sidecar.write_config(&config_json(
                &sidecar,
                &ProcessConfig {
                    at,
                    me: at % balancers,
                    balancers,
                    discovery: rig.discoveries[usize::from(late(at))].address,
                    console: false,
                    known: Some(&listed),
                    cold_from: ramp.cold_from,
                    fall_s: ramp.fall_s,
                    warm_within_s: ramp.warm_within_s,
                },
            ))?;
            sidecar.start()?;
            rig.sidecars.push(sidecar);
        }
        Ok(rig)
    }

    /// The cold server starts; those who hear in time are told at once. Tells the moment and the entry.
    fn starts(&self) -> (Instant, ListedEndpoint) {
        let server = &self.servers[WARM];
        let entry = listed(WARM, server, unix_ms());
        let started = server.start_again();
        self.discoveries[0].announce(entry.clone());
        (started, entry)
    }
}

fn listed(at: usize, server: &Server, since_ms: u64) -> ListedEndpoint {
    ListedEndpoint { name: format!("s{at}"), address: server.address, since_ms }
}

enum Step {
    Start,
    TellTheLate,
    Restart(usize),
}

/// Plays one case. An error means that the rig could not be built.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let mut rig = Rig::build(program, case).map_err(|fault| fault.to_string())?;
    wait_until_all_ready(&mut rig.sidecars)?;
    let (ramp, tally, delay_monitor) = (ramp(case), Tally::default(), DelayMonitor::start());
    let begun = Instant::now();
    let mut steps = Vec::new();
    for start in std::iter::once(0.0).chain(case.again_s) {
        steps.extend([(start, Step::Start), (start + case.late_s, Step::TellTheLate)]);
    }
    steps.extend(case.restarts.iter().zip(0..).map(|(at, turn)| (*at, Step::Restart(turn))));
    steps.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let until = CALM_S + case.again_s.unwrap_or(0.0) + ramp.warm_within_s + ramp.fall_s;
    let until = begun + Duration::from_secs_f64(until);
    // When each process was told of the start, in each life of the server.
    let mut told: Vec<(Instant, Vec<f64>)> = Vec::new();
    let mut entry = None;
    thread::scope(|scope| {
        for (process, sidecar) in rig.sidecars.iter().enumerate() {
            let all = case.processes as f64 * RATE;
            let rate = match (case.uneven, process) {
                (true, 0) => all / 2.0,
                (true, _) => all / 2.0 / (case.processes - 1) as f64,
                (false, _) => RATE,
            };
            // One caller waits for each answer: so many that none falls behind.
            let callers = (rate / RATE).ceil() as usize;
            for stream in 0..callers {
                let (to, tally) = (sidecar.listen, &tally);
                scope.spawn(move || caller(to, (process, stream), rate / callers as f64, until, tally));
            }
        }
        for (at, step) in &steps {
            let due = begun + Duration::from_secs_f64(CALM_S + at);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match step {
                Step::Start => {
                    let (started, now_listed) = rig.starts();
                    let unheard = |process| if late(process) { f64::INFINITY } else { 0.0 };
                    told.push((started, (0..case.processes).map(unheard).collect()));
                    entry = Some(now_listed);
                }
                Step::TellTheLate => {
                    entry.iter().for_each(|entry| rig.discoveries[1].announce(entry.clone()));
                    if let Some((started, told)) = told.last_mut() {
                        let now = started.elapsed().as_secs_f64();
                        told.iter_mut().for_each(|told| *told = told.min(now));
                    }
                }
                Step::Restart(turn) => {
                    let own = rig.sidecars.iter_mut().enumerate();
                    for (_, sidecar) in own.filter(|(process, _)| starts_again(*process, *turn)) {
                        sidecar.kill();
                        sidecar.start().map_err(|fault| fault.to_string())?;
                    }
                }
            }
        }
        Ok::<(), String>(())
    })?;
    for sidecar in &mut rig.sidecars {
        if sidecar.has_exited() {
            return Err(format!("{} has ended:\n{}", sidecar.name, sidecar.log_text()));
        }
    }
    let lives = lock(&rig.servers[WARM].lives);
    let lives = lives.arrivals[1..].iter().zip(&told).map(|(arrivals, (_, told))| {
        let windows = ramp.windows(arrivals, told);
        Life {
            arrivals: arrivals.len(),
            fullest: fullest(&windows),
            broken: windows.iter().copied().find(Window::breaks),
            falls: windows.iter().filter(|window| window.falls()).count(),
        }
    });
    let report = Report {
        lives: lives.collect(),
        calls: tally.calls.into_inner(),
        late: tally.late.into_inner(),
        served: tally.served.into_inner(),
        harness_delay_s: delay_monitor.max_delay_s(),
    };
    let ran = if report.late * LATE_CALLS > report.calls {
        RunValidity::Invalid(format!("{} of {} calls went out late", report.late, report.calls))
    } else if report.harness_delay_s > LATE_S {
        RunValidity::HarnessLate(format!("the rig's pulse was {:.3} s late", report.harness_delay_s))
    } else {
        RunValidity::Valid
    };
    Ok((report, ran))
}
