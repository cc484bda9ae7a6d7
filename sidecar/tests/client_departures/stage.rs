//! What the cases are played on: one process of the program, its servers, and clients that leave.
use crate::ledger::{CallNo, Judged, Ledger};
use crate::machine::Probe;
use crate::program::{Program, Share};
use crate::server::{How, Servers};
use rustix::net::sockopt;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);

/// How a client goes.
#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    Closes,
    EndsSending,
    Resets,
}

/// What a play shows, and the part of the time in which the program was let run.
pub type Played = (Judged, f64);

pub struct Stage {
    // Ended in this order: the program before its servers.
    probe: Probe,
    program: Program,
    servers: Servers,
    ledger: Arc<Ledger>,
    clients: BTreeMap<CallNo, (TcpStream, Way)>,
    calls: u32,
}

impl Stage {
    pub fn set(share: Share, servers: &[How]) -> Stage {
        let (ledger, stalls) = (Arc::default(), Arc::default());
        let servers = Servers::start(servers, &ledger, &stalls);
        let mut program = Program::start(&servers.addresses);
        let probe = Probe::start(program.id(), stalls);
        until("it is ready", || {
            let mut stream = TcpStream::connect(program.address).expect("a connection");
            let mut answer = [0; 12];
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
            stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
        });
        if share == Share::Fifth {
            program.pace(&probe.stalls);
        }
        Stage { probe, program, servers, ledger, clients: BTreeMap::new(), calls: 0 }
    }

    pub fn servers(&self, how: How) {
        self.servers.set_all(how);
    }

    pub fn server(&self, number: usize, how: How) {
        self.servers.set(number, how);
    }

    /// A call whose client goes that way, with a body of so many bytes, of which it writes at once as many as the machine
    /// takes and `part` allows.
    pub fn call_with(&mut self, workload: &str, (body, part): (usize, f64), way: Way) -> CallNo {
        self.calls += 1;
        let call = CallNo(self.calls);
        let mut stream = TcpStream::connect(self.program.address).expect("a connection");
        stream.set_nodelay(true).expect("no delay");
        let method = if body > 0 || workload != "view" { "POST" } else { "GET" };
        let mut request = format!(
            "{method} /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {:08x}\r\nIdempotency-Key: k{}\r\nContent-Length: {body}\r\n\r\n",
            call.0, call.0
        )
        .into_bytes();
        request.resize(request.len() + (body as f64 * part) as usize, b'x');
        stream.set_nonblocking(true).expect("unblocked");
        let mut sent = 0;
        while let Ok(count) = stream.write(&request[sent..]) {
            sent += count;
            if sent == request.len() {
                break;
            }
        }
        stream.set_nonblocking(false).expect("blocked");
        self.clients.insert(call, (stream, way));
        call
    }

    /// The next way of those there are.
    pub fn way(&self) -> Way {
        [Way::Closes, Way::EndsSending, Way::Resets][self.calls as usize / 2 % 3]
    }

    pub fn call(&mut self) -> CallNo {
        let workload = ["view", "save", "pay"][self.calls as usize % 3];
        self.call_with(workload, (0, 1.0), self.way())
    }

    pub fn calls(&mut self, count: usize) -> Vec<CallNo> {
        (0..count).map(|_| self.call()).collect()
    }

    /// So many calls that can be repeated.
    pub fn views(&mut self, count: usize) -> Vec<CallNo> {
        (0..count).map(|_| self.call_with("view", (0, 1.0), self.way())).collect()
    }

    /// Waits until so many attempts have begun in all.
    pub fn begun(&self, count: usize) {
        until("the attempts begin", || self.ledger.attempts() >= count);
    }

    /// Its whole answer has come.
    pub fn answered(&mut self, call: CallNo) {
        let (mut stream, _) = self.clients.remove(&call).expect("a call");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 200");
    }

    pub fn leaves(&mut self, call: CallNo) {
        self.goes(call, true);
    }

    /// Who stayed goes too.
    pub fn all_leave(&mut self) {
        for call in self.clients.keys().copied().collect::<Vec<_>>() {
            self.goes(call, false);
        }
    }

    fn goes(&mut self, call: CallNo, early: bool) {
        let (stream, way) = self.clients.remove(&call).expect("a call");
        let before = self.ledger.leaves(call, early);
        match way {
            Way::Closes => drop(stream),
            Way::EndsSending => {
                stream.shutdown(Shutdown::Write).expect("ended");
                // Held until the program closes: to have gone it need not have closed.
                thread::spawn(move || { &stream }.read_to_end(&mut Vec::new()));
            }
            Way::Resets => {
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("no lingering");
                drop(stream);
            }
        }
        // Kept from the close itself.
        self.probe.stalls.note(before, Instant::now());
    }

    /// Each leaves at its own time, in an order that is not that of their coming.
    pub fn leave_within(&mut self, mut leavers: Vec<CallNo>, length: Duration) {
        let (begun, count) = (Instant::now(), leavers.len());
        leavers.sort_by_key(|call| call.0.wrapping_mul(0x9E37_79B9));
        for (call, at) in leavers.into_iter().zip(0..) {
            thread::sleep((begun + length * at / count as u32).saturating_duration_since(Instant::now()));
            self.leaves(call);
        }
    }

    /// The process stands while something happens, and for so long after it.
    pub fn stands(&mut self, length: Duration, meanwhile: impl FnOnce(&mut Stage)) {
        self.program.signal(Signal::STOP);
        meanwhile(self);
        thread::sleep(length);
        self.program.signal(Signal::CONT);
    }

    /// Waits until nothing that is still owed could come, and judges.
    pub fn end(mut self, rest: Duration) -> Played {
        thread::sleep(rest);
        self.all_leave();
        thread::sleep(Duration::from_millis(150));
        (self.ledger.judge(|from, to| self.probe.took(from, to)), self.program.part())
    }
}

/// Waits for something that happens elsewhere.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < PATIENCE, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
