//! Handover to a successor: a change that the operator makes during the handover is in the snapshot or is sent after it.
mod built_program;
mod exclusive_run;

use built_program::program;
use exclusive_run::exclusive;
use oakhollow_lab::fakes::{connect, send_request};
use oakhollow_lab::harness::{
    config_json, wait_until_all_ready, ListedEndpoint, ProcessConfig, SharedDiscovery, TempDir,
};
use oakhollow_lab::processes::Sidecar;
use rustix::process::Signal;
use std::io::{BufRead, BufReader};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// A sidecar with a passed listener, and the path of its handover socket.
struct Setup {
    sidecar: Sidecar,
    socket: PathBuf,
    _discovery: SharedDiscovery,
    _folder: TempDir,
}

impl Setup {
    /// Starts one process with a passed listener and this many servers; `prepare` gets the path of the handover socket.
    fn start(servers: usize, prepare: impl FnOnce(&PathBuf)) -> Setup {
        let unused_address = "127.0.0.1:9".parse().expect("an address");
        let listed = |number| ListedEndpoint {
            name: format!("server-{number}"),
            address: unused_address,
            since_ms: 0,
        };
        let discovery = SharedDiscovery::start((0..servers).map(listed).collect()).expect("a discovery");
        let folder = TempDir::new("handover");
        let mut sidecar = Sidecar::new(&program(), "n0", folder.path()).expect("a folder");
        let config = ProcessConfig::alone(discovery.address);
        sidecar.write_config(&config_json(&sidecar, &config)).expect("written");
        sidecar.pass_listener().expect("a socket");
        let name = format!("oakhollow-{}.sock", sidecar.listen.to_string().replace(':', "_"));
        let socket = sidecar.folder().join(name);
        prepare(&socket);
        sidecar.start().expect("started");
        wait_until_all_ready(std::slice::from_mut(&mut sidecar)).expect("serves");
        Setup { sidecar, socket, _discovery: discovery, _folder: folder }
    }

    /// Connects to the handover socket as a successor does.
    fn connect_successor(&self) -> Option<UnixStream> {
        let start_time = Instant::now();
        while start_time.elapsed() < Duration::from_secs(3) {
            if let Ok(stream) = UnixStream::connect(&self.socket) {
                stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a time");
                return Some(stream);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Puts the server into maintenance and returns the status of the answer.
    fn set_maintenance(&self, server: &str) -> u16 {
        let request =
            format!("PUT /endpoints/{server}/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        let answer = connect(self.sidecar.console).and_then(|mut stream| send_request(&mut stream, &request));
        answer.expect("an answer").0
    }
}

#[test]
fn maintenance_set_while_the_snapshot_is_being_sent_reaches_the_successor() {
    let _guard = exclusive();
    // So many servers that the snapshot exceeds the socket buffer: later messages wait until it is read.
    let setup = Setup::start(6_000, |_| {});
    let successor = setup.connect_successor().expect("a predecessor");
    thread::sleep(Duration::from_millis(600));
    assert_eq!(setup.set_maintenance("server-7"), 200);
    let mut received = BufReader::new(successor);
    let (mut snapshot, mut next) = (String::new(), String::new());
    received.read_line(&mut snapshot).expect("a snapshot");
    let in_snapshot = snapshot.contains(r#""out":["server-7"]"#);
    let follows = received.read_line(&mut next).is_ok() && next.contains("server-7");
    assert!(in_snapshot || follows, "neither in {} bytes of snapshot nor after it: {next:?}", snapshot.len());
}

#[test]
fn a_handover_socket_that_could_not_be_created_is_created_later() {
    let _guard = exclusive();
    let setup =
        Setup::start(4, |socket| std::fs::create_dir(socket).expect("a directory at the socket's path"));
    thread::sleep(Duration::from_millis(300));
    std::fs::remove_dir(&setup.socket).expect("the directory is removed");
    assert!(setup.connect_successor().is_some(), "no successor can connect any more");
}

#[test]
fn a_successor_of_a_stopped_process_serves_although_the_console_port_is_taken() {
    let _guard = exclusive();
    let mut setup = Setup::start(4, |_| {});
    setup.sidecar.signal(Signal::STOP);
    setup.sidecar.start_second().expect("started");
    // Longer than it waits for its predecessor.
    thread::sleep(Duration::from_millis(900));
    assert!(!setup.sidecar.has_exited(), "{}", setup.sidecar.log_text());
    wait_until_all_ready(std::slice::from_mut(&mut setup.sidecar)).expect("serves");
}
