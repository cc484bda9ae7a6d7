//! A process that was stopped when it got SIGTERM has answered all that it took when SIGKILL follows: its grace period
//! begins when the signal was sent, not when it runs again.
mod built_program;

use built_program::program;
use oakhollow_lab::fakes::{connect, header, read_head, send_request, serve_connections};
use oakhollow_lab::harness::{
    config_json, lock, view_request, wait_until_all_ready, ListedEndpoint, ProcessConfig, SharedDiscovery,
    TempDir,
};
use oakhollow_lab::processes::Sidecar;
use rustix::process::Signal;
use std::collections::HashSet;
use std::io::BufReader;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// When SIGKILL follows SIGTERM at the earliest: the longest time of a request by [`config_json`], and 0.7 s.
const GRACE: Duration = Duration::from_millis(2_700);
/// How long the process is stopped: long enough that a grace period counted from its end would outlast [`GRACE`].
const STOP: Duration = Duration::from_millis(1_600);
/// How long new connections go on coming after SIGTERM.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);
/// How long the server takes for each request, so that clients that still use their connections have one open.
const SERVICE_TIME: Duration = Duration::from_millis(20);
const CLIENTS: usize = 6;

type ServedIds = Arc<Mutex<HashSet<String>>>;

/// A server that records the ids of the requests that it got.
fn start_server(ids: ServedIds) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    serve_connections(listener, move |stream| {
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream) {
            lock(&ids).insert(header(&head, "Request-Id").unwrap_or_default().to_string());
            thread::sleep(SERVICE_TIME);
            if stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                return;
            }
        }
    });
    address
}

/// A client that sends one request after another and uses its connection for as long as it is open. Returns the ids of
/// the requests that got no answer, once its connection has ended after `no_new_connections_after`.
fn start_client(
    number: usize, address: SocketAddr, no_new_connections_after: Arc<Mutex<Option<Instant>>>,
) -> JoinHandle<Vec<String>> {
    thread::spawn(move || {
        let mut unanswered = Vec::new();
        let mut connection = None;
        for request in 0.. {
            let may_connect = lock(&no_new_connections_after).is_none_or(|until| Instant::now() < until);
            if connection.is_none() && may_connect {
                connection = connect(address);
            }
            let Some(stream) = connection.as_mut() else { return unanswered };
            let id = format!("{number}-{request}");
            match send_request(stream, &view_request(&id)) {
                Some((_, true)) => {}
                Some((_, false)) => connection = None,
                None => {
                    unanswered.push(id);
                    connection = None;
                }
            }
        }
        unanswered
    })
}

/// Stops the process, sends SIGTERM so long after that, lets it run again, and kills it at the end of its grace period.
/// Panics if a server got a request whose client has no answer.
fn check_signal_while_stopped(signal_after: Duration) {
    let served_ids = ServedIds::default();
    let listed = ListedEndpoint { name: "s0".into(), address: start_server(served_ids.clone()), since_ms: 0 };
    let discovery = SharedDiscovery::start(vec![listed]).expect("a discovery");
    let folder = TempDir::new("stopped");
    let mut sidecar = Sidecar::new(&program(), "n0", folder.path()).expect("a folder");
    sidecar.write_config(&config_json(&sidecar, &ProcessConfig::alone(discovery.address))).expect("written");
    sidecar.start().expect("started");
    let mut sidecars = [sidecar];
    wait_until_all_ready(&mut sidecars).expect("ready");
    let [mut sidecar] = sidecars;
    let no_new_connections_after = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| start_client(number, sidecar.listen, Arc::clone(&no_new_connections_after)))
        .collect();
    thread::sleep(Duration::from_millis(300));
    sidecar.signal(Signal::STOP);
    thread::sleep(signal_after);
    sidecar.signal(Signal::TERM);
    let told_at = Instant::now();
    *lock(&no_new_connections_after) = Some(told_at + NEW_CONNECTIONS);
    thread::sleep(STOP - signal_after);
    sidecar.signal(Signal::CONT);
    thread::sleep((told_at + GRACE).saturating_duration_since(Instant::now()));
    sidecar.kill();
    let unanswered: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let lost: Vec<_> = unanswered.iter().filter(|id| lock(&served_ids).contains(*id)).collect();
    assert!(lost.is_empty(), "sent to a server and never answered: {lost:?}\n{}", sidecar.log_text());
}

#[test]
fn a_process_stopped_just_before_its_signal_has_answered_all_when_it_is_killed() {
    check_signal_while_stopped(Duration::from_millis(50));
}

#[test]
fn a_process_that_runs_again_soon_after_its_signal_has_answered_all_when_it_is_killed() {
    check_signal_while_stopped(Duration::from_millis(1_500));
}
