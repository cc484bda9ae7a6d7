//! Dozens of processes are killed at once and started again while discovery is down. Measures how long each takes to
//! be ready, and how their requests to discovery are spread once it is back.
use crate::fakes::{connect, read_head, send_request};
use crate::harness::{
    config_json, view_request, wait_until_all_ready, Capacity, DelayMonitor, DiscoveryOutcome,
    ListedEndpoint, OutageKind, ProcessConfig, RunValidity, SharedDiscovery, TempDir, READY_REQUEST,
};
use crate::processes::Sidecar;
use rustix::process::Signal;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// The parameters of a run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Case {
    /// Its name in reports.
    pub name: &'static str,
    /// How many processes run.
    pub processes: usize,
    /// Whether their settings files have the list in the key `known`.
    pub with_known_list: bool,
    /// How discovery handles requests while it is down.
    pub outage: OutageKind,
    /// How long discovery is down, from the kill on, in seconds.
    pub outage_s: f64,
    /// The capacity of discovery after its return.
    pub capacity: Option<Capacity>,
}

/// The outcome of a case.
pub struct Report {
    /// How long each process took from its start until it was ready, in seconds, sorted; infinite for one that never
    /// was.
    pub ready_after_s: Vec<f64>,
    /// The requests to discovery, in seconds from its return, sorted.
    pub discovery_requests: Vec<(f64, DiscoveryOutcome)>,
    /// How many processes serve a request at the end.
    pub serving: usize,
    /// The longest delay of the harness's own threads, in seconds.
    pub harness_delay_s: f64,
}

impl Report {
    /// The most requests to discovery within any 100 ms of this span.
    pub fn most_at_once(&self, from: f64, to: f64) -> usize {
        let times: Vec<f64> = self
            .discovery_requests
            .iter()
            .map(|(time, _)| *time)
            .filter(|time| (from..to).contains(time))
            .collect();
        let within_100_ms =
            |from: &f64| times.iter().filter(|time| (*from..from + 0.1).contains(*time)).count();
        times.iter().map(within_100_ms).max().unwrap_or(0)
    }

    /// How many requests to discovery had this outcome.
    pub fn count(&self, outcome: DiscoveryOutcome) -> usize {
        self.discovery_requests.iter().filter(|(_, other)| *other == outcome).count()
    }
}

/// A harness that ran later than this, in seconds, may have delayed processes and bunched their requests.
const MAX_DELAY_S: f64 = 0.1;
/// How long a process may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often a process is asked whether it is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn start_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut stream = BufReader::new(stream);
                while read_head(&mut stream).is_some() {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    stream.get_mut().write_all(answer).ok()?;
                }
                Some(())
            });
        }
    });
    Ok(address)
}

struct Harness {
    sidecars: Vec<Sidecar>,
    discovery: SharedDiscovery,
    /// Last, so that it is dropped after the processes.
    folder: TempDir,
}

impl Harness {
    fn build(program: &Path, case: &Case) -> std::io::Result<Harness> {
        let endpoint =
            |number| Ok(ListedEndpoint { name: format!("s{number}"), address: start_server()?, since_ms: 0 });
        let listed: Vec<ListedEndpoint> = (0..3).map(endpoint).collect::<std::io::Result<_>>()?;
        let mut harness = Harness {
            sidecars: Vec::new(),
            discovery: SharedDiscovery::start(listed.clone())?,
            folder: TempDir::new("restart"),
        };
        for number in 0..case.processes {
            let mut sidecar = Sidecar::new(program, &format!("n{number}"), harness.folder.path())?;
            sidecar.write_config(&config_json(
                &sidecar,
                &ProcessConfig {
                    process: number,
                    me: number,
                    balancers: case.processes,
                    discovery: harness.discovery.address,
                    console: false,
                    known: Some(&listed[..]).filter(|_| case.with_known_list),
                    cold_from: 0.3,
                    fall_s: 1.5,
                    warm_within_s: 8.0,
                },
            ))?;
            sidecar.start()?;
            harness.sidecars.push(sidecar);
        }
        Ok(harness)
    }

    /// How many processes serve a request.
    fn count_serving(&self) -> usize {
        let serves = |sidecar: &&Sidecar| {
            let answer = connect(sidecar.listen)
                .and_then(|mut stream| send_request(&mut stream, &view_request("one")));
            answer.is_some_and(|(status, _)| status == 200)
        };
        self.sidecars.iter().filter(serves).count()
    }
}

/// Waits until a process is ready; returns the seconds since its start.
fn wait_until_ready(address: SocketAddr, started: Instant) -> f64 {
    let mut connection = None;
    while started.elapsed() < READY_TIMEOUT {
        if connection.is_none() {
            connection = connect(address);
        }
        let answer = connection.as_mut().and_then(|connection| send_request(connection, READY_REQUEST));
        if answer.is_some_and(|(status, _)| status == 200) {
            return started.elapsed().as_secs_f64();
        }
        connection = connection.filter(|_| answer.is_some_and(|(_, stays_open)| stays_open));
        thread::sleep(POLL_INTERVAL);
    }
    f64::INFINITY
}

/// Runs one case. The error is that the setup failed, or that not all processes served before the kill.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let error_text = |error: std::io::Error| error.to_string();
    let mut harness = Harness::build(program, case).map_err(error_text)?;
    wait_until_all_ready(&mut harness.sidecars)?;
    let serving_before = harness.count_serving();
    if serving_before < case.processes {
        return Err(format!("{serving_before} of {} serve before the kill", case.processes));
    }
    let delay_monitor = DelayMonitor::start();
    let killed_at = Instant::now();
    harness.sidecars.iter().for_each(|sidecar| sidecar.signal(Signal::KILL));
    harness.discovery.go_down(case.outage);
    harness.sidecars.iter_mut().for_each(Sidecar::kill);
    let (ready_after_s, returned_at) = thread::scope(|scope| {
        let mut waiting = Vec::new();
        for sidecar in &mut harness.sidecars {
            let (address, started) = (sidecar.listen, Instant::now());
            sidecar.start().map_err(error_text)?;
            waiting.push(scope.spawn(move || wait_until_ready(address, started)));
        }
        let due = killed_at + Duration::from_secs_f64(case.outage_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let returned_at = Instant::now();
        harness.discovery.come_back(case.capacity).map_err(error_text)?;
        let ready_after_s = waiting.into_iter().map(|thread| thread.join().unwrap_or(f64::INFINITY));
        let mut ready_after_s: Vec<f64> = ready_after_s.collect();
        ready_after_s.sort_by(f64::total_cmp);
        Ok::<_, String>((ready_after_s, returned_at))
    })?;
    // With a known list all processes are ready before discovery is back.
    let end = returned_at + Duration::from_secs(8);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    let since = |time: Instant| time.checked_duration_since(returned_at).map(|after| after.as_secs_f64());
    let since_return = |time: Instant| since(time).unwrap_or_else(|| -(returned_at - time).as_secs_f64());
    let discovery_requests = harness.discovery.requests().into_iter().filter(|(time, _)| *time >= killed_at);
    let mut discovery_requests: Vec<(f64, DiscoveryOutcome)> =
        discovery_requests.map(|(time, outcome)| (since_return(time), outcome)).collect();
    discovery_requests.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let harness_delay_s = delay_monitor.max_delay_s();
    let validity = match harness_delay_s > MAX_DELAY_S {
        true => RunValidity::HarnessLate(format!("the harness was {harness_delay_s:.3} s late")),
        false => RunValidity::Valid,
    };
    Ok((
        Report { ready_after_s, discovery_requests, serving: harness.count_serving(), harness_delay_s },
        validity,
    ))
}
