//! Requests with the id of an earlier one whose client does not know what became of it.
use crate::client::{connect, head, new_id, read_answer, Workload};
use crate::process::Process;
use crate::program::{self, Limits, Upgrades};
use crate::{ms, server};
use rustix::process::{kill_process, Pid, Signal};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = ms(3_000);
/// How long servers work on a request.
const WORK: Duration = ms(400);

/// What two processes need to know of each other, and the old one to stop accepting.
const HANDOVER_TIME: Duration = ms(500);

/// Servers that count the requests that they run.
struct Servers {
    addresses: Vec<SocketAddr>,
    ran: Arc<AtomicUsize>,
    /// How they answer at the moment.
    answer: Arc<Mutex<&'static str>>,
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

impl Servers {
    fn start() -> Servers {
        let (ran, answer) = (Arc::<AtomicUsize>::default(), Arc::new(Mutex::new(OK)));
        let addresses = (0..2)
            .map(|_| {
                let (ran, answer) = (ran.clone(), answer.clone());
                server::start(move |mut stream: TcpStream| {
                    while server::read_request(&mut stream).is_some() {
                        ran.fetch_add(1, Ordering::SeqCst);
                        thread::sleep(WORK);
                        let answer = *answer.lock().expect("an answer");
                        let _ = stream.write_all(answer.as_bytes());
                    }
                })
            })
            .collect();
        Servers { addresses, ran, answer }
    }

    fn wait_until_run(&self, count: usize) {
        let start = Instant::now();
        while self.ran.load(Ordering::SeqCst) < count {
            assert!(start.elapsed() < TIMEOUT, "a server runs the request");
            thread::sleep(ms(1));
        }
    }
}

fn send(address: SocketAddr, workload: Workload, id: &str, body_bytes: usize) -> TcpStream {
    let mut stream = connect(address);
    let head = head(workload, id, TIMEOUT, &format!("Content-Length: {body_bytes}\r\n"));
    let request = [head.as_bytes(), &vec![b'x'; body_bytes]].concat();
    stream.write_all(&request).expect("the request is written");
    stream
}

/// The status of the answer to a request. Sends it again while an earlier one with its id is open: the program may not have been
/// told yet that its client has left.
fn status(address: SocketAddr, workload: Workload, id: &str, body_bytes: usize) -> Result<u16, String> {
    let started = Instant::now();
    loop {
        let answer = read_answer(&mut send(address, workload, id, body_bytes))?;
        assert!(started.elapsed() < TIMEOUT + ms(500), "answered in time");
        if !String::from_utf8_lossy(&answer.body).contains("is open") {
            return Ok(answer.status);
        }
        thread::sleep(ms(5));
    }
}

/// How a client leaves whose request a server runs.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    EndsSending,
    Resets,
}

fn leave(stream: TcpStream, departure: Departure) -> Option<TcpStream> {
    match departure {
        Departure::Closes => None,
        Departure::EndsSending => {
            stream.shutdown(Shutdown::Write).expect("the sending side is closed");
            Some(stream)
        }
        Departure::Resets => {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO))
                .expect("the option is set");
            None
        }
    }
}

/// Guards against a second run of a request that must not be repeated, when it comes again by its id after its client has
/// left.
#[test]
fn a_request_that_comes_again_after_its_client_left_does_not_run_twice() {
    let departures = [Departure::Closes, Departure::EndsSending, Departure::Resets];
    for body_bytes in [0, 200_000] {
        for departure in departures {
            let servers = Servers::start();
            let program: Process = program::start(&servers.addresses, Limits::default());
            let id = new_id();
            let first = send(program.address, Workload::Pay, &id, body_bytes);
            servers.wait_until_run(1);
            let _half_closed = leave(first, departure);
            thread::sleep(ms(30));
            for wait in [ms(0), WORK, ms(500)] {
                thread::sleep(wait);
                let case = format!("{departure:?}, {body_bytes} bytes, again after {wait:?} more");
                assert_eq!(status(program.address, Workload::Pay, &id, body_bytes), Ok(409), "{case}");
                assert_eq!(servers.ran.load(Ordering::SeqCst), 1, "{case}");
            }
            // Others are not concerned.
            assert_eq!(status(program.address, Workload::Pay, &new_id(), 0), Ok(200));
        }
    }
}

/// Guards against a second run of a request that must not be repeated, after its client was told that it failed.
#[test]
fn a_request_that_may_have_failed_after_it_ran_does_not_run_again() {
    let servers = Servers::start();
    let program = program::start(&servers.addresses, Limits::default());
    let id = new_id();
    *servers.answer.lock().expect("an answer") = ERROR;
    assert_eq!(status(program.address, Workload::Pay, &id, 0), Ok(502));
    *servers.answer.lock().expect("an answer") = OK;
    assert_eq!(status(program.address, Workload::Pay, &id, 0), Ok(409));
    assert_eq!(servers.ran.load(Ordering::SeqCst), 1);
}

/// Guards against ids that are turned away without need: of requests that may be repeated, or whose clients have their
/// answers.
#[test]
fn an_id_is_taken_again_where_a_second_run_does_no_harm() {
    let servers = Servers::start();
    let program = program::start(&servers.addresses, Limits::default());
    for body_bytes in [0, 200_000] {
        let id = new_id();
        let ran = servers.ran.load(Ordering::SeqCst);
        let first = send(program.address, Workload::View, &id, body_bytes);
        servers.wait_until_run(ran + 1);
        drop(first);
        thread::sleep(ms(30));
        assert_eq!(status(program.address, Workload::View, &id, body_bytes), Ok(200), "{body_bytes} bytes");
    }
    let id = new_id();
    assert_eq!(status(program.address, Workload::Pay, &id, 0), Ok(200));
    assert_eq!(status(program.address, Workload::Pay, &id, 0), Ok(200));
}

/// Guards against a second run at the other process of an upgrade: of a request that is open at the old one, whose client left
/// before the upgrade, or left during it.
#[test]
fn a_request_that_comes_again_at_the_next_process_does_not_run_twice() {
    let servers = Servers::start();
    let upgrades = Upgrades::new(&servers.addresses, Limits::default());
    let old = upgrades.start_process();
    let [open, left_before, left_during] = [new_id(), new_id(), new_id()];
    let first = send(old.address, Workload::Pay, &left_before, 0);
    servers.wait_until_run(1);
    drop(first);
    let leaving = send(old.address, Workload::Pay, &left_during, 0);
    let mut staying = send(old.address, Workload::Pay, &open, 0);
    servers.wait_until_run(3);
    let new = upgrades.start_process();
    thread::sleep(HANDOVER_TIME);
    kill_process(Pid::from_child(&old.child), Signal::TERM).expect("SIGTERM is sent");
    drop(leaving);
    assert_eq!(read_answer(&mut staying).map(|answer| answer.status), Ok(200));
    // From now on only the new process accepts.
    thread::sleep(HANDOVER_TIME);
    let ran = servers.ran.load(Ordering::SeqCst);
    for (id, case) in [(&open, "open"), (&left_before, "left before"), (&left_during, "left during")] {
        let _ = status(new.address, Workload::Pay, id, 0);
        assert_eq!(servers.ran.load(Ordering::SeqCst), ran, "{case}");
    }
    assert_eq!(status(new.address, Workload::Pay, &new_id(), 0), Ok(200));
}
