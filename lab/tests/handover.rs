//! What a process tells the one that comes next: whatever an operator does meanwhile is in the snapshot or follows it.
mod beside;
mod turn;

use beside::program;
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
use turn::turn;

struct Rig {
    sidecar: Sidecar,
    socket: PathBuf,
    _discovery: SharedDiscovery,
    _folder: TempDir,
}

impl Rig {
    /// One process with a passed socket, before so many servers; `prepare` sees where its successors will find it.
    fn start(servers: usize, prepare: impl FnOnce(&PathBuf)) -> Rig {
        let nobody = "127.0.0.1:9".parse().expect("an address");
        let named = |at| ListedEndpoint { name: format!("server-{at}"), address: nobody, since_ms: 0 };
        let discovery = SharedDiscovery::start((0..servers).map(named).collect()).expect("a discovery");
        let folder = TempDir::new("handover");
        let mut sidecar = Sidecar::new(&program(), "n0", folder.path()).expect("a folder");
        let told = ProcessConfig::alone(discovery.address);
        sidecar.write_config(&config_json(&sidecar, &told)).expect("written");
        sidecar.pass_listener().expect("a socket");
        let name = format!("oakhollow-{}.sock", sidecar.listen.to_string().replace(':', "_"));
        let socket = sidecar.folder().join(name);
        prepare(&socket);
        sidecar.start().expect("started");
        wait_until_all_ready(std::slice::from_mut(&mut sidecar)).expect("serves");
        Rig { sidecar, socket, _discovery: discovery, _folder: folder }
    }

    fn successor(&self) -> Option<UnixStream> {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(3) {
            if let Ok(stream) = UnixStream::connect(&self.socket) {
                stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a time");
                return Some(stream);
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    fn takes_out(&self, server: &str) -> u16 {
        let asked = format!("PUT /endpoints/{server}/maint HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
        let answer = connect(self.sidecar.console).and_then(|mut stream| send_request(&mut stream, &asked));
        answer.expect("an answer").0
    }
}

#[test]
fn a_server_taken_out_while_the_snapshot_is_on_its_way_is_told_to_the_successor() {
    let _turn = turn();
    // So many that the snapshot does not fit into the socket: what is told next waits for us to read.
    let rig = Rig::start(6_000, |_| {});
    let successor = rig.successor().expect("a predecessor");
    thread::sleep(Duration::from_millis(600));
    assert_eq!(rig.takes_out("server-7"), 200);
    let mut told = BufReader::new(successor);
    let (mut snapshot, mut next) = (String::new(), String::new());
    told.read_line(&mut snapshot).expect("a snapshot");
    let in_snapshot = snapshot.contains(r#""out":["server-7"]"#);
    let follows = told.read_line(&mut next).is_ok() && next.contains("server-7");
    assert!(in_snapshot || follows, "neither in {} bytes of snapshot nor after it: {next:?}", snapshot.len());
}

#[test]
fn a_socket_that_could_not_be_made_once_is_made_later() {
    let _turn = turn();
    let rig = Rig::start(4, |socket| std::fs::create_dir(socket).expect("in the way"));
    thread::sleep(Duration::from_millis(300));
    std::fs::remove_dir(&rig.socket).expect("out of the way");
    assert!(rig.successor().is_some(), "nobody can take over for the rest of its life");
}

#[test]
fn a_successor_of_one_that_stands_still_serves_though_the_console_is_taken() {
    let _turn = turn();
    let mut rig = Rig::start(4, |_| {});
    rig.sidecar.signal(Signal::STOP);
    rig.sidecar.start_second().expect("started");
    // Longer than it waits for the one before it.
    thread::sleep(Duration::from_millis(900));
    assert!(!rig.sidecar.has_exited(), "{}", rig.sidecar.log_text());
    wait_until_all_ready(std::slice::from_mut(&mut rig.sidecar)).expect("serves");
}
