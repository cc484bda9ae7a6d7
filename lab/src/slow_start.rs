//! Many processes send requests while one of their servers is cold. [`crate::slow_start_limit`] checks the sum of
//! what they send to that server.
use crate::fakes::{connect, read_head, send_request};
use crate::harness::{
    config_json, lock, unix_ms, view_request, wait_until_all_ready, DelayMonitor, ListedEndpoint,
    ProcessConfig, RunValidity, SharedDiscovery, TempDir,
};
use crate::processes::Sidecar;
use crate::slow_start_limit::{fullest, Arrival, SlowStart, Window};
use nanorand::{Rng, WyRand};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The parameters of a run: what happens to the cold server and to the processes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Case {
    /// Its name in reports.
    pub name: &'static str,
    /// How many processes run.
    pub processes: usize,
    /// Whether one process has half of the traffic.
    pub uneven: bool,
    /// Whether the server was listed, and warm, before its start; otherwise it is new.
    pub server_was_warm: bool,
    /// How much later discovery tells a third of the processes of each start, in seconds.
    pub announcement_delay_s: f64,
    /// When a third of the processes is killed and started again, in seconds from the server's start.
    pub process_restarts_s: &'static [f64],
    /// How long after its first start the server starts once more, in seconds.
    pub second_start_s: Option<f64>,
    /// Whether each process is told wrongly that it is the only one.
    pub told_alone: bool,
}

impl Case {
    /// 30 processes with equal traffic, a new server, and no restarts.
    pub const EVEN: Case = Case {
        name: "even",
        processes: 30,
        uneven: false,
        server_was_warm: false,
        announcement_delay_s: 0.0,
        process_restarts_s: &[],
        second_start_s: None,
        told_alone: false,
    };
}

/// What one incarnation of the server received.
#[derive(Clone, PartialEq, Debug)]
pub struct Incarnation {
    /// How many requests arrived.
    pub arrivals: usize,
    /// The fullest window.
    pub fullest: Option<Window>,
    /// The first window whose overload is the processes' fault.
    pub violation: Option<Window>,
    /// How many windows collapse the server, for whatever reason.
    pub collapses: usize,
}

/// The outcome of a case.
pub struct Report {
    /// What each incarnation of the server received.
    pub incarnations: Vec<Incarnation>,
    /// How many requests the clients sent.
    pub requests: usize,
    /// How many of these went out late.
    pub late_requests: usize,
    /// How many of these were served.
    pub served: usize,
    /// The longest delay of the harness's own threads, in seconds.
    pub harness_delay_s: f64,
}

/// How many servers are warm.
const WARM_SERVERS: usize = 3;
/// Requests a second to each process.
const RATE: f64 = 5.0;
/// How long the processes run before the server starts, so that they know their own request rate by then.
const LEAD_S: f64 = 3.0;
/// A harness that ran later than this, in seconds, may have bunched arrivals. Requests that went out later count as
/// late.
const MAX_DELAY_S: f64 = 0.1;
/// At most one request in this many may be late.
const LATE_REQUESTS_ONE_IN: usize = 10;
/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(5);

/// The slow start settings. The times are as short as possible while several of the program's rate updates and
/// several windows still fit into a warm-up. The warm servers run at full capacity, and `cold_from` and
/// `fall_multiple` are the lowest of any deployment, so that no limit is smaller.
fn slow_start(case: &Case) -> SlowStart {
    let capacity = case.processes as f64 * RATE / WARM_SERVERS as f64;
    SlowStart { capacity, cold_from: 0.12, warm_within_s: 6.0, fall_multiple: 2.0, fall_s: 1.0 }
}

/// A server that records the arrivals of each of its incarnations.
struct Server {
    address: SocketAddr,
    incarnations: Arc<Mutex<IncarnationLog>>,
}

struct IncarnationLog {
    started: Instant,
    arrivals: Vec<Vec<Arrival>>,
    open: Vec<TcpStream>,
}

impl Server {
    fn start() -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let incarnations =
            IncarnationLog { started: Instant::now(), arrivals: vec![Vec::new()], open: Vec::new() };
        let server =
            Server { address: listener.local_addr()?, incarnations: Arc::new(Mutex::new(incarnations)) };
        let incarnations = server.incarnations.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let incarnations = incarnations.clone();
                let incarnation = {
                    let mut incarnations = lock(&incarnations);
                    incarnations.open.extend(stream.try_clone());
                    incarnations.arrivals.len() - 1
                };
                thread::spawn(move || serve(stream, incarnation, &incarnations));
            }
        });
        Ok(server)
    }

    /// Restarts: closes its connections. Returns the time of the start.
    fn restart(&self) -> Instant {
        let mut incarnations = lock(&self.incarnations);
        incarnations.open.drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        incarnations.arrivals.push(Vec::new());
        incarnations.started = Instant::now();
        incarnations.started
    }
}

fn serve(stream: TcpStream, incarnation: usize, incarnations: &Mutex<IncarnationLog>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    loop {
        let head = read_head(&mut stream)?;
        let id = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
        let process = id.and_then(|id| id.split('-').next()?.parse().ok()).unwrap_or(usize::MAX);
        {
            let mut incarnations = lock(incarnations);
            if incarnations.arrivals.len() != incarnation + 1 {
                return None;
            }
            let received_at = incarnations.started.elapsed().as_secs_f64();
            incarnations.arrivals[incarnation].push(Arrival { received_at, process });
        }
        thread::sleep(WORK);
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").ok()?;
    }
}

/// Sends requests to one process until the end, with exponentially distributed pauses: an open loop, as far as one
/// connection allows.
fn run_client(
    address: SocketAddr, (process, stream): (usize, usize), rate: f64, end: Instant, tally: &Tally,
) {
    let mut random = WyRand::new_seed((process * 1000 + stream) as u64);
    let mut due = Instant::now();
    let mut connection = None;
    for number in 0.. {
        due += Duration::from_secs_f64(-(1.0 - random.generate::<f64>()).ln() / rate);
        if due >= end {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        tally
            .late_requests
            .fetch_add(usize::from(due.elapsed().as_secs_f64() > MAX_DELAY_S), Ordering::Relaxed);
        let text = |id_suffix: &str| view_request(&format!("{process}-{stream}-{number}{id_suffix}"));
        let mut answer = connection.as_mut().and_then(|connection| send_request(connection, &text("")));
        if answer.is_none() {
            // Clients of a process that is restarting wait for it, each with a request.
            connection = None;
            while connection.is_none() && due.elapsed() < Duration::from_secs(1) {
                connection = connect(address);
                if connection.is_none() {
                    thread::sleep(Duration::from_millis(10));
                }
            }
            answer = connection.as_mut().and_then(|connection| send_request(connection, &text("b")));
        }
        tally.requests.fetch_add(1, Ordering::Relaxed);
        if answer.is_some_and(|(status, _)| status == 200) {
            tally.served.fetch_add(1, Ordering::Relaxed);
        }
        connection = connection.filter(|_| answer.is_some_and(|(_, stays_open)| stays_open));
    }
}

#[derive(Default)]
struct Tally {
    requests: AtomicUsize,
    late_requests: AtomicUsize,
    served: AtomicUsize,
}

struct Harness {
    sidecars: Vec<Sidecar>,
    servers: Vec<Server>,
    /// The discovery of processes that are told of starts in time, and that of the others.
    discoveries: [SharedDiscovery; 2],
    /// Last, so that it is dropped after the processes.
    folder: TempDir,
}

/// Whether a process is told of starts late, in a case where some are.
fn is_told_late(process: usize) -> bool {
    process % 3 == 2
}

/// Whether a process is restarted in this round. Those that are told of starts late are never restarted.
fn is_restarted(process: usize, round: usize) -> bool {
    process % 3 == round % 2
}

impl Harness {
    fn build(program: &Path, case: &Case) -> std::io::Result<Harness> {
        let servers: Vec<Server> =
            (0..=WARM_SERVERS).map(|_| Server::start()).collect::<std::io::Result<_>>()?;
        let known_servers = servers.iter().enumerate().take(WARM_SERVERS + usize::from(case.server_was_warm));
        let listed: Vec<ListedEndpoint> =
            known_servers.map(|(number, server)| list_entry(number, server, 0)).collect();
        let discoveries = [SharedDiscovery::start(listed.clone())?, SharedDiscovery::start(listed.clone())?];
        let mut harness =
            Harness { sidecars: Vec::new(), servers, discoveries, folder: TempDir::new("ramp") };
        let slow_start = slow_start(case);
        for number in 0..case.processes {
            let mut sidecar = Sidecar::new(program, &format!("n{number}"), harness.folder.path())?;
            let balancers = if case.told_alone { 1 } else { case.processes };
            sidecar.write_config(&config_json(
                &sidecar,
                &ProcessConfig {
                    process: number,
                    me: number % balancers,
                    balancers,
                    discovery: harness.discoveries[usize::from(is_told_late(number))].address,
                    console: false,
                    known: Some(&listed),
                    cold_from: slow_start.cold_from,
                    fall_s: slow_start.fall_s,
                    warm_within_s: slow_start.warm_within_s,
                },
            ))?;
            sidecar.start()?;
            harness.sidecars.push(sidecar);
        }
        Ok(harness)
    }

    /// Starts the cold server and announces it to the processes that are told in time. Returns the time and its entry in
    /// the list.
    fn start_cold_server(&self) -> (Instant, ListedEndpoint) {
        let server = &self.servers[WARM_SERVERS];
        let entry = list_entry(WARM_SERVERS, server, unix_ms());
        let started = server.restart();
        self.discoveries[0].announce(entry.clone());
        (started, entry)
    }
}

fn list_entry(number: usize, server: &Server, since_ms: u64) -> ListedEndpoint {
    ListedEndpoint { name: format!("s{number}"), address: server.address, since_ms }
}

enum Step {
    Start,
    AnnounceLate,
    Restart(usize),
}

/// Runs one case. The error is that the setup failed or that a process has exited.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let mut harness = Harness::build(program, case).map_err(|error| error.to_string())?;
    wait_until_all_ready(&mut harness.sidecars)?;
    let (slow_start, tally, delay_monitor) = (slow_start(case), Tally::default(), DelayMonitor::start());
    let start_time = Instant::now();
    let mut steps = Vec::new();
    for start in std::iter::once(0.0).chain(case.second_start_s) {
        steps.extend([(start, Step::Start), (start + case.announcement_delay_s, Step::AnnounceLate)]);
    }
    steps.extend(
        case.process_restarts_s.iter().zip(0..).map(|(delay_s, round)| (*delay_s, Step::Restart(round))),
    );
    steps.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let end = LEAD_S + case.second_start_s.unwrap_or(0.0) + slow_start.warm_within_s + slow_start.fall_s;
    let end = start_time + Duration::from_secs_f64(end);
    // For each incarnation of the server its start, and when each process was told of it, in seconds after the start.
    let mut informed_at: Vec<(Instant, Vec<f64>)> = Vec::new();
    let mut entry = None;
    thread::scope(|scope| {
        for (process, sidecar) in harness.sidecars.iter().enumerate() {
            let total_rate = case.processes as f64 * RATE;
            let rate = match (case.uneven, process) {
                (true, 0) => total_rate / 2.0,
                (true, _) => total_rate / 2.0 / (case.processes - 1) as f64,
                (false, _) => RATE,
            };
            // A client waits for each answer, so there are enough clients that none falls behind.
            let clients = (rate / RATE).ceil() as usize;
            for stream in 0..clients {
                let (address, tally) = (sidecar.listen, &tally);
                scope
                    .spawn(move || run_client(address, (process, stream), rate / clients as f64, end, tally));
            }
        }
        for (delay_s, step) in &steps {
            let due = start_time + Duration::from_secs_f64(LEAD_S + delay_s);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            match step {
                Step::Start => {
                    let (started, listed) = harness.start_cold_server();
                    let announced = |process| if is_told_late(process) { f64::INFINITY } else { 0.0 };
                    informed_at.push((started, (0..case.processes).map(announced).collect()));
                    entry = Some(listed);
                }
                Step::AnnounceLate => {
                    entry.iter().for_each(|entry| harness.discoveries[1].announce(entry.clone()));
                    if let Some((started, informed_at)) = informed_at.last_mut() {
                        let now = started.elapsed().as_secs_f64();
                        informed_at.iter_mut().for_each(|informed_at| *informed_at = informed_at.min(now));
                    }
                }
                Step::Restart(round) => {
                    let sidecars = harness.sidecars.iter_mut().enumerate();
                    for (_, sidecar) in sidecars.filter(|(process, _)| is_restarted(*process, *round)) {
                        sidecar.kill();
                        sidecar.start().map_err(|error| error.to_string())?;
                    }
                }
            }
        }
        Ok::<(), String>(())
    })?;
    for sidecar in &mut harness.sidecars {
        if sidecar.has_exited() {
            return Err(format!("{} has exited:\n{}", sidecar.name, sidecar.log_text()));
        }
    }
    let incarnations = lock(&harness.servers[WARM_SERVERS].incarnations);
    let incarnations =
        incarnations.arrivals[1..].iter().zip(&informed_at).map(|(arrivals, (_, informed_at))| {
            let windows = slow_start.windows(arrivals, informed_at);
            Incarnation {
                arrivals: arrivals.len(),
                fullest: fullest(&windows),
                violation: windows.iter().copied().find(Window::is_violation),
                collapses: windows.iter().filter(|window| window.collapses()).count(),
            }
        });
    let report = Report {
        incarnations: incarnations.collect(),
        requests: tally.requests.into_inner(),
        late_requests: tally.late_requests.into_inner(),
        served: tally.served.into_inner(),
        harness_delay_s: delay_monitor.max_delay_s(),
    };
    let validity = if report.late_requests * LATE_REQUESTS_ONE_IN > report.requests {
        RunValidity::Invalid(format!(
            "{} of {} requests went out late",
            report.late_requests, report.requests
        ))
    } else if report.harness_delay_s > MAX_DELAY_S {
        RunValidity::HarnessLate(format!("the harness was {:.3} s late", report.harness_delay_s))
    } else {
        RunValidity::Valid
    };
    Ok((report, validity))
}
