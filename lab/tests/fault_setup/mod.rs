//! One process of the program with the fault injection library preloaded, its servers and its discovery.
use crate::built_program::program;
use oakhollow_faults::Faults;
use oakhollow_lab::fakes::{connect, read_head, send_request, serve_connections};
use oakhollow_lab::harness::{
    config_json, unix_ms, view_request, wait_until_all_ready, ListedEndpoint, ProcessConfig, SharedDiscovery,
    TempDir,
};
use oakhollow_lab::processes::Sidecar;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Servers of a [`Setup`].
pub const SERVERS: usize = 4;
/// The slow start time in the settings of [`ProcessConfig::alone`].
pub const WARM_UP: Duration = Duration::from_secs(3);

/// A server that answers immediately and counts its requests.
pub struct Server {
    pub listed: ListedEndpoint,
    pub received: Arc<AtomicUsize>,
}

impl Server {
    fn start(name: String) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let received = Arc::<AtomicUsize>::default();
        let count = received.clone();
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
        Server { listed: ListedEndpoint { name, address, since_ms: 0 }, received }
    }
}

/// A sidecar with fault injection, its servers and its discovery.
pub struct Setup {
    pub sidecar: Sidecar,
    pub servers: Vec<Server>,
    pub discovery: SharedDiscovery,
    sent_requests: usize,
    _folder: TempDir,
}

impl Setup {
    /// Starts without failing system calls; the wall clock is off by `clock_s` from the start.
    pub fn start(clock_s: i64) -> Setup {
        let servers: Vec<Server> = (0..SERVERS).map(|at| Server::start(format!("s{at}"))).collect();
        let listed = servers.iter().map(|server| server.listed.clone()).collect();
        let discovery = SharedDiscovery::start(listed).expect("a discovery");
        let folder = TempDir::new("faults");
        let mut sidecar = Sidecar::new(&program(), "n0", folder.path()).expect("a folder");
        let config = ProcessConfig::alone(discovery.address);
        sidecar.write_config(&config_json(&sidecar, &config)).expect("written");
        sidecar.enable_faults().expect("the library of faults");
        let mut setup = Setup { sidecar, servers, discovery, sent_requests: 0, _folder: folder };
        setup.faults().step_clock(clock_s).expect("stepped");
        setup.sidecar.start().expect("started");
        setup.wait_until_ready();
        setup
    }

    /// The control of the faults.
    pub fn faults(&self) -> &Faults {
        self.sidecar.faults().expect("faults are enabled")
    }

    /// Waits until the process serves.
    pub fn wait_until_ready(&mut self) {
        wait_until_all_ready(std::slice::from_mut(&mut self.sidecar)).expect("serves");
    }

    /// Kills the process and starts it again with the same folder.
    pub fn restart(&mut self) {
        self.sidecar.kill();
        self.sidecar.start().expect("started");
        self.wait_until_ready();
    }

    /// Sends a PUT request to the console and returns the status of the answer.
    pub fn console_put(&self, path: &str) -> u16 {
        let request = format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        let console = self.sidecar.console;
        let answer = connect(console).and_then(|mut stream| send_request(&mut stream, &request));
        answer.expect("an answer").0
    }

    /// Sends 100 requests a second for this long and returns the share of them that the server received.
    pub fn traffic_share(&mut self, server: usize, duration: Duration) -> f64 {
        let received = |setup: &Setup| {
            setup.servers.iter().map(|server| server.received.load(Ordering::Relaxed)).collect()
        };
        let (before, start_time): (Vec<usize>, Instant) = (received(self), Instant::now());
        let mut stream = connect(self.sidecar.listen);
        while start_time.elapsed() < duration {
            self.sent_requests += 1;
            let answer = stream
                .as_mut()
                .and_then(|stream| send_request(stream, &view_request(&format!("p{}", self.sent_requests))));
            if !answer.is_some_and(|(_, keep_alive)| keep_alive) {
                stream = connect(self.sidecar.listen);
            }
            thread::sleep(Duration::from_millis(10));
        }
        let after: Vec<usize> = received(self);
        let (of_server, total) =
            (after[server] - before[server], after.iter().sum::<usize>() - before.iter().sum::<usize>());
        assert!(total > 50, "{total} requests reached a server");
        of_server as f64 / total as f64
    }

    /// Announces at discovery that the server has just restarted.
    pub fn announce_restart(&mut self, server: usize) {
        let listed = ListedEndpoint { since_ms: unix_ms(), ..self.servers[server].listed.clone() };
        self.discovery.announce(listed);
        thread::sleep(Duration::from_millis(100));
    }
}

/// Checks all cases concurrently: each has a process of its own, and mostly waits.
pub fn check_concurrently<C: Copy + Send, const N: usize>(cases: [C; N], check: impl Fn(C) + Sync) {
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
