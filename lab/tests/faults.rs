//! What a process owes while its system calls fail, its folder is full or its machine's clock is wrong: one process of the
//! program each, with the library of faults loaded into it alone.
mod beside;

use beside::program;
use oakhollow_faults::{FaultKind, Faults, ALWAYS};
use oakhollow_lab::fakes::{connect, read_head, send_request, serve_connections};
use oakhollow_lab::harness::{
    config_json, unix_ms, view_request, wait_until_all_ready, ListedEndpoint, ProcessConfig, SharedDiscovery,
    TempDir,
};
use oakhollow_lab::processes::Sidecar;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
/// As [`Told::alone`] has it.
const WARM_WITHIN: Duration = Duration::from_secs(3);

/// A server that answers at once and counts what it is sent.
struct Server {
    listed: ListedEndpoint,
    seen: Arc<AtomicUsize>,
}

impl Server {
    fn start(name: String) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let seen = Arc::<AtomicUsize>::default();
        let count = seen.clone();
        serve_connections(listener, move |stream| {
            let _ = stream.set_nodelay(true);
            let mut stream = BufReader::new(stream);
            while read_head(&mut stream).is_some() {
                count.fetch_add(1, Ordering::Relaxed);
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                if stream.get_mut().write_all(answer).is_err() {
                    return;
                }
            }
        });
        Server { listed: ListedEndpoint { name, address, since_ms: 0 }, seen }
    }
}

struct Rig {
    sidecar: Sidecar,
    servers: Vec<Server>,
    discovery: SharedDiscovery,
    calls: usize,
    _folder: TempDir,
}

impl Rig {
    /// Nothing fails yet, but the clock may be wrong from the start.
    fn start(clock_s: i64) -> Rig {
        let servers: Vec<Server> = (0..SERVERS).map(|at| Server::start(format!("s{at}"))).collect();
        let listed = servers.iter().map(|server| server.listed.clone()).collect();
        let discovery = SharedDiscovery::start(listed).expect("a discovery");
        let folder = TempDir::new("faults");
        let mut sidecar = Sidecar::new(&program(), "n0", folder.path()).expect("a folder");
        let told = ProcessConfig::alone(discovery.address);
        sidecar.write_config(&config_json(&sidecar, &told)).expect("written");
        sidecar.enable_faults().expect("the library of faults");
        let mut rig = Rig { sidecar, servers, discovery, calls: 0, _folder: folder };
        rig.faults().step_clock(clock_s).expect("stepped");
        rig.sidecar.start().expect("started");
        rig.serves();
        rig
    }

    fn faults(&self) -> &Faults {
        self.sidecar.faults().expect("bent")
    }

    fn set(&self, kind: FaultKind, rate: u64) {
        self.faults().set_rate(kind, rate).expect("set");
    }

    fn serves(&mut self) {
        wait_until_all_ready(std::slice::from_mut(&mut self.sidecar)).expect("serves");
    }

    /// Killed, and started again with the same folder.
    fn restart(&mut self) {
        self.sidecar.kill();
        self.sidecar.start().expect("started");
        self.serves();
    }

    /// The status with which the console answers.
    fn console(&self, path: &str) -> u16 {
        let asked = format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        let to = self.sidecar.console;
        let answer = connect(to).and_then(|mut stream| send_request(&mut stream, &asked));
        answer.expect("an answer").0
    }

    /// Calls for so long, 100 a second; the part of them that a server had.
    fn part(&mut self, server: usize, length: Duration) -> f64 {
        let seen = |rig: &Rig| rig.servers.iter().map(|server| server.seen.load(Ordering::Relaxed)).collect();
        let (before, begun): (Vec<usize>, Instant) = (seen(self), Instant::now());
        let mut stream = connect(self.sidecar.listen);
        while begun.elapsed() < length {
            self.calls += 1;
            let asked = stream
                .as_mut()
                .and_then(|stream| send_request(stream, &view_request(&format!("p{}", self.calls))));
            if !asked.is_some_and(|(_, lasts)| lasts) {
                stream = connect(self.sidecar.listen);
            }
            thread::sleep(Duration::from_millis(10));
        }
        let after: Vec<usize> = seen(self);
        let (had, all) =
            (after[server] - before[server], after.iter().sum::<usize>() - before.iter().sum::<usize>());
        assert!(all > 50, "{all} calls came through");
        had as f64 / all as f64
    }

    fn starts_again(&mut self, server: usize) {
        let listed = ListedEndpoint { since_ms: unix_ms(), ..self.servers[server].listed.clone() };
        self.discovery.announce(listed);
        thread::sleep(Duration::from_millis(100));
    }
}

/// How long each of so many calls took, by callers side by side; none where nothing came within 1.7 s.
fn answers(to: SocketAddr, callers: usize, each: usize) -> Vec<Option<Duration>> {
    let call = move |caller: usize, call: usize, stream: &mut Option<BufReader<std::net::TcpStream>>| {
        let begun = Instant::now();
        let id = format!("a{caller}-{call}-{}", to.port());
        let answered = stream.as_mut().and_then(|stream| send_request(stream, &view_request(&id)));
        if !answered.is_some_and(|(_, lasts)| lasts) {
            *stream = connect(to);
        }
        answered.map(|_| begun.elapsed())
    };
    let callers: Vec<_> = (0..callers)
        .map(|caller| {
            thread::spawn(move || {
                let mut stream = connect(to);
                if let Some(stream) = &stream {
                    let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(1_700)));
                }
                (0..each).map(|number| call(caller, number, &mut stream)).collect::<Vec<_>>()
            })
        })
        .collect();
    callers.into_iter().flat_map(|caller| caller.join().expect("ended")).collect()
}

/// All cases side by side: each has a process of its own, and mostly waits.
fn at_once<C: Copy + Send, const N: usize>(cases: [C; N], check: impl Fn(C) + Sync) {
    thread::scope(|scope| {
        let checks = cases.map(|case| {
            scope.spawn({
                let check = &check;
                move || check(case)
            })
        });
        checks.into_iter().for_each(|check| check.join().expect("a case that holds"));
    });
}

#[test]
fn calls_are_answered_though_reads_and_writes_are_short() {
    let rig = Rig::start(0);
    for kind in [FaultKind::ShortReceive, FaultKind::ShortSend, FaultKind::Interrupted] {
        rig.set(kind, ALWAYS / 20);
    }
    let took = answers(rig.sidecar.listen, 6, 150);
    let lost = took.iter().filter(|took| took.is_none()).count();
    let slow = took.iter().flatten().filter(|took| **took > Duration::from_millis(500)).count();
    let short = rig.faults().injected_count(FaultKind::ShortReceive);
    assert!(short > 20, "{short} reads were short");
    assert_eq!((lost, slow), (0, 0), "of {} calls: without an answer, and after more than 0.5 s", took.len());
}

#[test]
fn accepts_that_fail_for_a_moment_hold_up_nobody() {
    let rig = Rig::start(0);
    // Rests, and is to be there still.
    let mut rests = connect(rig.sidecar.listen).expect("connected");
    assert_eq!(send_request(&mut rests, &view_request("first")).map(|(status, _)| status), Some(200));
    rig.set(FaultKind::FailedAccept, ALWAYS / 3);
    let mut worst = Duration::ZERO;
    for call in 0..60 {
        let begun = Instant::now();
        let mut stream = connect(rig.sidecar.listen).expect("connected");
        let answered = send_request(&mut stream, &view_request(&format!("accept{call}")));
        assert_eq!(answered.map(|(status, _)| status), Some(200));
        worst = worst.max(begun.elapsed());
    }
    let arrived = rig.faults().injected_count(FaultKind::FailedAccept);
    assert!(arrived > 10, "{arrived} accepts failed");
    assert_eq!(
        send_request(&mut rests, &view_request("last")).map(|(status, _)| status),
        Some(200),
        "the idle one was closed"
    );
    assert!(worst < Duration::from_millis(45), "one took {worst:?}");
}

#[test]
fn a_server_out_by_hand_stays_out_after_a_kill_though_the_disk_was_full_or_failing() {
    at_once([FaultKind::FullDisk, FaultKind::FailedSync, FaultKind::FailedRename], |kind| {
        let mut rig = Rig::start(0);
        rig.set(kind, ALWAYS);
        let status = rig.console("/endpoints/s0/maint");
        assert_ne!(status, 200, "{kind:?}: a promise that a kill undoes");
        assert!(rig.faults().injected_count(kind) > 0, "{kind:?} never arrived");
        // Out at once all the same, and kept as soon as there is room.
        assert_eq!(rig.part(0, Duration::from_secs(1)), 0.0, "{kind:?}");
        rig.set(kind, 0);
        thread::sleep(Duration::from_millis(2_500));
        rig.restart();
        assert_eq!(rig.part(0, Duration::from_secs(1)), 0.0, "{kind:?}: in use after a restart");
        assert_eq!(rig.console("/endpoints/s0/ready"), 200);
    });
}

#[test]
fn a_folder_that_cannot_be_read_for_a_moment_is_no_empty_one() {
    let mut rig = Rig::start(0);
    assert_eq!(rig.console("/endpoints/s0/maint"), 200);
    // Its configuration is a file too: starts at which that can't be read end at once, and are no case of this.
    let (mut starts, mut served) = (0, 0);
    while served < 5 {
        starts += 1;
        assert!(starts < 200, "{served} of {starts} starts with reads that fail came to serve");
        rig.sidecar.kill();
        rig.set(FaultKind::FailedRead, ALWAYS / 3);
        rig.sidecar.start().expect("started");
        thread::sleep(Duration::from_millis(100));
        if rig.sidecar.has_exited() {
            continue;
        }
        rig.serves();
        rig.set(FaultKind::FailedRead, 0);
        served += 1;
        assert_eq!(rig.part(0, Duration::from_secs(1)), 0.0, "at start {starts}, {}", rig.sidecar.log_text());
    }
    assert!(rig.faults().injected_count(FaultKind::FailedRead) > 0);
}

#[test]
fn a_server_that_starts_again_warms_up_whatever_the_wall_clock_says() {
    at_once([0, -3_600, 3_600], |clock_s| {
        let mut rig = Rig::start(clock_s);
        rig.part(1, Duration::from_secs(1));
        rig.starts_again(0);
        let cold = rig.part(0, Duration::from_millis(700));
        thread::sleep(WARM_WITHIN);
        let warm = rig.part(0, Duration::from_secs(2));
        assert!(clock_s == 0 || rig.faults().clock_readings() > 0, "the clock was never read");
        assert!(cold < 0.2, "{clock_s} s: {cold:.2} of the calls in its first 0.7 s");
        assert!(warm > 0.15, "{clock_s} s: {warm:.2} of the calls once it is warm");
    });
}

#[test]
fn a_server_put_back_by_hand_is_sent_to_whatever_the_wall_clock_says() {
    at_once([0, -3_600, 3_600], |clock_s| {
        let mut rig = Rig::start(0);
        assert_eq!(rig.console("/endpoints/s0/maint"), 200);
        rig.faults().step_clock(clock_s).expect("stepped");
        rig.restart();
        assert_eq!(rig.part(0, Duration::from_secs(1)), 0.0, "{clock_s} s: out by hand");
        assert_eq!(rig.console("/endpoints/s0/ready"), 200);
        let part = rig.part(0, Duration::from_secs(3));
        assert!(part > 0.05, "{clock_s} s: {part:.2} of the calls since it is back");
    });
}

#[test]
fn a_server_put_back_before_a_restart_warms_up_whatever_the_wall_clock_says() {
    at_once([0, -3_600, 3_600], |clock_s| {
        let mut rig = Rig::start(0);
        assert_eq!(rig.console("/endpoints/s0/maint"), 200);
        assert_eq!(rig.console("/endpoints/s0/ready"), 200);
        rig.faults().step_clock(clock_s).expect("stepped");
        rig.restart();
        thread::sleep(WARM_WITHIN);
        let part = rig.part(0, Duration::from_secs(2));
        assert!(part > 0.15, "{clock_s} s: {part:.2} of the calls once it is warm");
    });
}
