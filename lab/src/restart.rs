//! Dozens of processes killed at once and started again while discovery is down: how long until each is ready, and how their
//! calls to discovery are spread once it is back.
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

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Case {
    pub name: &'static str,
    pub processes: usize,
    /// Whether the platform leaves the list in each one's file.
    pub known: bool,
    pub down: OutageKind,
    /// How long discovery is down, from the kill on, in seconds.
    pub down_s: f64,
    /// What it has after its return.
    pub capacity: Option<Capacity>,
}

pub struct Report {
    /// From each one's start until it was ready, in seconds, in order; infinite where it never was.
    pub ready: Vec<f64>,
    /// Calls to discovery, in seconds from its return, in order.
    pub calls: Vec<(f64, DiscoveryOutcome)>,
    /// Processes that serve a call in the end.
    pub serve: usize,
    pub harness_delay_s: f64,
}

impl Report {
    /// The most calls in any 100 ms of this time.
    pub fn most_at_once(&self, from: f64, to: f64) -> usize {
        let times: Vec<f64> =
            self.calls.iter().map(|(at, _)| *at).filter(|at| (from..to).contains(at)).collect();
        let near = |from: &f64| times.iter().filter(|at| (*from..from + 0.1).contains(*at)).count();
        times.iter().map(near).max().unwrap_or(0)
    }

    pub fn count(&self, met: DiscoveryOutcome) -> usize {
        self.calls.iter().filter(|(_, how)| *how == met).count()
    }
}

/// A rig whose pulse was later, in seconds, may have held processes up and brought their calls together.
const LATE_S: f64 = 0.1;
/// How long after its start a process is watched for.
const WATCHED: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(50);

fn server() -> std::io::Result<SocketAddr> {
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

struct Rig {
    sidecars: Vec<Sidecar>,
    discovery: SharedDiscovery,
    /// Goes last.
    folder: TempDir,
}

impl Rig {
    fn build(program: &Path, case: &Case) -> std::io::Result<Rig> {
        let named = |at| Ok(ListedEndpoint { name: format!("s{at}"), address: server()?, since_ms: 0 });
        let listed: Vec<ListedEndpoint> = (0..3).map(named).collect::<std::io::Result<_>>()?;
        let mut rig = Rig {
            sidecars: Vec::new(),
            discovery: SharedDiscovery::start(listed.clone())?,
            folder: TempDir::new("restart"),
        };
        for at in 0..case.processes {
            let mut sidecar = Sidecar::new(program, &format!("n{at}"), rig.folder.path())?;
            sidecar.write_config(&config_json(
                &sidecar,
                &ProcessConfig {
                    at,
                    me: at,
                    balancers: case.processes,
                    discovery: rig.discovery.address,
                    console: false,
                    known: Some(&listed[..]).filter(|_| case.known),
                    cold_from: 0.3,
                    fall_s: 1.5,
                    warm_within_s: 8.0,
                },
            ))?;
            sidecar.start()?;
            rig.sidecars.push(sidecar);
        }
        Ok(rig)
    }

    /// Those which serve a call.
    fn serve(&self) -> usize {
        let asked = |sidecar: &&Sidecar| {
            let answer = connect(sidecar.listen)
                .and_then(|mut stream| send_request(&mut stream, &view_request("one")));
            answer.is_some_and(|(status, _)| status == 200)
        };
        self.sidecars.iter().filter(asked).count()
    }
}

/// How long from its start until it is ready, in seconds.
fn ready(to: SocketAddr, started: Instant) -> f64 {
    let mut connection = None;
    while started.elapsed() < WATCHED {
        if connection.is_none() {
            connection = connect(to);
        }
        let answer = connection.as_mut().and_then(|connection| send_request(connection, READY_REQUEST));
        if answer.is_some_and(|(status, _)| status == 200) {
            return started.elapsed().as_secs_f64();
        }
        connection = connection.filter(|_| answer.is_some_and(|(_, lasts)| lasts));
        thread::sleep(LOOK);
    }
    f64::INFINITY
}

/// Plays one case. An error means that the rig could not be built, or that not all served before the kill.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let faulty = |fault: std::io::Error| fault.to_string();
    let mut rig = Rig::build(program, case).map_err(faulty)?;
    wait_until_all_ready(&mut rig.sidecars)?;
    let before = rig.serve();
    if before < case.processes {
        return Err(format!("{before} of {} serve before the kill", case.processes));
    }
    let delay_monitor = DelayMonitor::start();
    let killed = Instant::now();
    rig.sidecars.iter().for_each(|sidecar| sidecar.signal(Signal::KILL));
    rig.discovery.go_down(case.down);
    rig.sidecars.iter_mut().for_each(Sidecar::kill);
    let (ready, back) = thread::scope(|scope| {
        let mut watched = Vec::new();
        for sidecar in &mut rig.sidecars {
            let (to, started) = (sidecar.listen, Instant::now());
            sidecar.start().map_err(faulty)?;
            watched.push(scope.spawn(move || ready(to, started)));
        }
        let due = killed + Duration::from_secs_f64(case.down_s);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let back = Instant::now();
        rig.discovery.come_back(case.capacity).map_err(faulty)?;
        let ready = watched.into_iter().map(|watched| watched.join().unwrap_or(f64::INFINITY));
        let mut ready: Vec<f64> = ready.collect();
        ready.sort_by(f64::total_cmp);
        Ok::<_, String>((ready, back))
    })?;
    // With a known list all are ready before it is back.
    let settled = back + Duration::from_secs(8);
    thread::sleep(settled.saturating_duration_since(Instant::now()));
    let since = |at: Instant| at.checked_duration_since(back).map(|after| after.as_secs_f64());
    let from_back = |at: Instant| since(at).unwrap_or_else(|| -(back - at).as_secs_f64());
    let calls = rig.discovery.requests().into_iter().filter(|(at, _)| *at >= killed);
    let mut calls: Vec<(f64, DiscoveryOutcome)> = calls.map(|(at, met)| (from_back(at), met)).collect();
    calls.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let worst = delay_monitor.max_delay_s();
    let ran = match worst > LATE_S {
        true => RunValidity::HarnessLate(format!("the rig's pulse was {worst:.3} s late")),
        false => RunValidity::Valid,
    };
    Ok((Report { ready, calls, serve: rig.serve(), harness_delay_s: worst }, ran))
}
