//! A request that waits in the kernel's queue until a process reads it has less time left than its header says.
mod built_program;

use built_program::program;
use oakhollow_lab::fakes::{connect, header, read_head, serve_connections};
use oakhollow_lab::harness::{
    config_json, lock, view_request, ListedEndpoint, ProcessConfig, SharedDiscovery, TempDir,
};
use oakhollow_lab::processes::Sidecar;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a request waits in the kernel's queue before the process starts.
const QUEUE_TIME: Duration = Duration::from_millis(500);
/// By how much the time announced to the server may exceed the time left.
const SLACK: Duration = Duration::from_millis(150);
/// The timeout in the header of [`view_request`].
const TIMEOUT: Duration = Duration::from_millis(900);

/// A server that records the time left that a request announces to it, and when it came.
fn start_server(announced: Arc<Mutex<Option<(Instant, Duration)>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    serve_connections(listener, move |stream| {
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream) {
            let left = header(&head, "Request-Timeout-Ms").and_then(|left| left.parse().ok());
            *lock(&announced) = left.map(|left| (Instant::now(), Duration::from_millis(left)));
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            if stream.get_mut().write_all(answer).is_err() {
                return;
            }
        }
    });
    address
}

#[test]
fn a_server_is_told_what_is_left_of_a_request_that_waited_unread() {
    let announced = Arc::default();
    let listed =
        ListedEndpoint { name: "s0".into(), address: start_server(Arc::clone(&announced)), since_ms: 0 };
    let discovery = SharedDiscovery::start(vec![listed.clone()]).expect("a discovery");
    let folder = TempDir::new("waited-unread");
    let mut sidecar = Sidecar::new(&program(), "n0", folder.path()).expect("a folder");
    let known = [listed];
    let settings = ProcessConfig { known: Some(&known), ..ProcessConfig::alone(discovery.address) };
    sidecar.write_config(&config_json(&sidecar, &settings)).expect("written");
    sidecar.pass_listener().expect("a listener");
    let mut client = connect(sidecar.listen).expect("taken in by the kernel");
    client.get_mut().write_all(view_request("one").as_bytes()).expect("sent");
    let sent = Instant::now();
    thread::sleep(QUEUE_TIME);
    sidecar.start().expect("started");
    let answer = read_head(&mut client).expect("answered");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let (received_at, announced) = lock(&announced).expect("a request");
    let left = TIMEOUT.saturating_sub(received_at - sent);
    assert!(announced <= left + SLACK, "told {announced:?} of {left:?}");
}
