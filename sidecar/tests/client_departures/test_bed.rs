//! What a case runs on: a process of the program, its servers, and clients that leave.
use crate::ledger::{Findings, Ledger, RequestNo};
use crate::program::{CpuShare, Program};
use crate::server::{Mode, Servers};
use crate::stalls::Probe;
use rustix::net::sockopt;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How a client leaves.
#[derive(Clone, Copy, PartialEq)]
pub enum Departure {
    Closes,
    EndsSending,
    Resets,
}

/// What a run of a case shows, and the share of the time for which the program was not stopped.
pub type CaseResult = (Findings, f64);

/// The program under test, its servers and clients.
pub struct TestBed {
    // Fields are dropped in this order: the program must end before its servers.
    probe: Probe,
    program: Program,
    servers: Servers,
    ledger: Arc<Ledger>,
    clients: BTreeMap<RequestNo, (TcpStream, Departure)>,
    request_count: u32,
}

impl TestBed {
    pub fn start(share: CpuShare, servers: &[Mode]) -> TestBed {
        let (ledger, stalls) = (Arc::default(), Arc::default());
        let servers = Servers::start(servers, &ledger, &stalls);
        let mut program = Program::start(&servers.addresses);
        let probe = Probe::start(program.id(), stalls);
        wait_until("the program is ready", || {
            let mut stream = TcpStream::connect(program.address).expect("a connection");
            let mut answer = [0; 12];
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("the request is sent");
            stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
        });
        if share == CpuShare::Fifth {
            program.throttle(&probe.stalls);
        }
        TestBed { probe, program, servers, ledger, clients: BTreeMap::new(), request_count: 0 }
    }

    pub fn set_all_servers(&self, mode: Mode) {
        self.servers.set_all(mode);
    }

    pub fn set_server(&self, number: usize, mode: Mode) {
        self.servers.set(number, mode);
    }

    /// Sends a request with a body of `body` bytes. The client writes the share `part` of it, or as much of that as the
    /// kernel accepts at once. `departure` is how the client will leave.
    pub fn send(&mut self, workload: &str, (body, part): (usize, f64), departure: Departure) -> RequestNo {
        self.request_count += 1;
        let request_no = RequestNo(self.request_count);
        let mut stream = TcpStream::connect(self.program.address).expect("a connection");
        stream.set_nodelay(true).expect("TCP_NODELAY is set");
        let method = if body > 0 || workload != "view" { "POST" } else { "GET" };
        let mut request = format!(
            "{method} /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {:08x}\r\nIdempotency-Key: k{}\r\nContent-Length: {body}\r\n\r\n",
            request_no.0, request_no.0
        )
        .into_bytes();
        request.resize(request.len() + (body as f64 * part) as usize, b'x');
        write_what_fits(&mut stream, &request);
        self.clients.insert(request_no, (stream, departure));
        request_no
    }

    /// Sends requests of 900 bytes ahead of the answer to this one, so many bytes in all or as much as the kernel accepts.
    pub fn send_ahead(&mut self, request_no: RequestNo, bytes: usize) {
        let ahead = format!(
            "GET /view HTTP/1.1\r\nHost: x\r\nRequest-Id: {:08x}\r\nPadding: {}\r\n\r\n",
            request_no.0,
            "p".repeat(820)
        );
        let (stream, _) = self.clients.get_mut(&request_no).expect("a client that has not left");
        write_what_fits(stream, &ahead.repeat(bytes / ahead.len()).into_bytes());
    }

    /// How the client of the next request leaves: each way in turn.
    pub fn next_departure(&self) -> Departure {
        [Departure::Closes, Departure::EndsSending, Departure::Resets][self.request_count as usize / 2 % 3]
    }

    pub fn send_request(&mut self) -> RequestNo {
        let workload = ["view", "save", "pay"][self.request_count as usize % 3];
        self.send(workload, (0, 1.0), self.next_departure())
    }

    pub fn send_requests(&mut self, count: usize) -> Vec<RequestNo> {
        (0..count).map(|_| self.send_request()).collect()
    }

    /// Sends so many requests that may be repeated.
    pub fn send_views(&mut self, count: usize) -> Vec<RequestNo> {
        (0..count).map(|_| self.send("view", (0, 1.0), self.next_departure())).collect()
    }

    /// Waits until so many attempts have begun in all.
    pub fn wait_for_attempts(&self, count: usize) {
        wait_until("the attempts begin", || self.ledger.attempt_count() >= count);
    }

    /// Reads the answer to a request, which must be a 200.
    pub fn expect_answer(&mut self, request_no: RequestNo) {
        let (mut stream, _) = self.clients.remove(&request_no).expect("a client that has not left");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
    }

    /// Makes the client of a request leave during the case.
    pub fn leave(&mut self, request_no: RequestNo) {
        self.depart(request_no, true);
    }

    /// Makes all remaining clients leave, as at the end of the case.
    pub fn all_leave(&mut self) {
        for request_no in self.clients.keys().copied().collect::<Vec<_>>() {
            self.depart(request_no, false);
        }
    }

    fn depart(&mut self, request_no: RequestNo, leaves_early: bool) {
        let (stream, departure) = self.clients.remove(&request_no).expect("a client that has not left");
        let before = self.ledger.record_departure(request_no, leaves_early);
        match departure {
            Departure::Closes => drop(stream),
            Departure::EndsSending => {
                stream.shutdown(Shutdown::Write).expect("the sending side is closed");
                // A client that closes its sending side counts as gone, so the program closes the connection. The socket
                // stays open until then.
                thread::spawn(move || { &stream }.read_to_end(&mut Vec::new()));
            }
            Departure::Resets => {
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("SO_LINGER is set");
                drop(stream);
            }
        }
        // If this thread was delayed between recording the departure and closing the connection, that is a stall.
        self.probe.stalls.record(before, Instant::now());
    }

    /// Makes clients leave one after the other, spread over this time, in an order unrelated to that of their requests.
    pub fn leave_within(&mut self, mut leaving: Vec<RequestNo>, length: Duration) {
        let (start, count) = (Instant::now(), leaving.len());
        leaving.sort_by_key(|request_no| request_no.0.wrapping_mul(0x9E37_79B9));
        for (request_no, index) in leaving.into_iter().zip(0..) {
            thread::sleep((start + length * index / count as u32).saturating_duration_since(Instant::now()));
            self.leave(request_no);
        }
    }

    /// Suspends the process while `meanwhile` runs, and for `length` after it.
    pub fn suspend_during(&mut self, length: Duration, meanwhile: impl FnOnce(&mut TestBed)) {
        self.program.signal(Signal::STOP);
        meanwhile(self);
        thread::sleep(length);
        self.program.signal(Signal::CONT);
    }

    /// Waits until no further attempt could come, and evaluates the run.
    pub fn finish(mut self, settle_time: Duration) -> CaseResult {
        thread::sleep(settle_time);
        self.all_leave();
        thread::sleep(Duration::from_millis(150));
        (self.ledger.evaluate(|from, to| self.probe.stalled(from, to)), self.program.running_share())
    }
}

/// Writes as much as the kernel accepts at once.
fn write_what_fits(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nonblocking(true).expect("the socket is non-blocking");
    let mut sent = 0;
    while let Ok(count) = stream.write(&bytes[sent..]) {
        sent += count;
        if sent == bytes.len() {
            break;
        }
    }
    stream.set_nonblocking(false).expect("the socket is blocking");
}

/// Waits until a condition holds that another thread or process brings about.
fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {description}");
        thread::sleep(Duration::from_millis(5));
    }
}
