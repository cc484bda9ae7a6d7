//! Fake servers: each answers a request with its id, misbehaves when told to, and records every attempt.
use super::records::{Attempt, AttemptOutcome, ProcessId, Records};
use crate::fakes::header;
use crate::harness::lock;
use nanorand::{Rng, WyRand};
use rustix::net::sockopt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a server treats requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerBehaviour {
    /// Answers, now and then slowly.
    Answers,
    /// Accepts requests without answering.
    Hangs,
    /// Resets each connection at a random point of a request or answer.
    Resets,
    /// Rejects requests as not started.
    Full,
    /// Sends each answer twice.
    AnswersTwice,
    /// Closes connections as soon as they are idle.
    ClosesIdle,
}

/// How often a waiting connection checks whether its server's behaviour has changed or the server has
/// restarted.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// How soon a server that closes idle connections does so.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(4);
/// How long a hanging server holds a request at most.
const MAX_HANG: Duration = Duration::from_millis(2_500);
/// One in this many requests takes 40 to 160 ms instead of 1 to 5.
const SLOW_REQUEST_ONE_IN: u64 = 25;

/// A fake server.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    number: usize,
    cell: usize,
    behaviour: Mutex<ServerBehaviour>,
    /// Counts restarts; connections that began before the last one are closed or reset.
    incarnation: AtomicU64,
    records: Arc<Records>,
}

impl Server {
    /// Starts a server that answers normally.
    pub fn start(number: usize, cell: usize, records: Arc<Records>) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let behaviour = Mutex::new(ServerBehaviour::Answers);
        let state = Arc::new(State { number, cell, behaviour, incarnation: AtomicU64::new(0), records });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        Ok(Server { address, state })
    }

    /// Changes how it treats requests from now on.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        *lock(&self.state.behaviour) = behaviour;
    }

    /// Simulates a restart: open connections end, by a reset where a request comes on them.
    pub fn restart(&self) {
        self.state.incarnation.fetch_add(1, Ordering::SeqCst);
    }
}

/// A request that was read whole.
struct ReceivedRequest {
    first_byte_at: f64,
    head: String,
}

/// How a connection ended without another whole request.
enum ReceiveEnd {
    /// Between two requests.
    BetweenRequests,
    /// Within a request: when its first byte came, and the bytes that came.
    MidRequest(f64, Vec<u8>),
}

impl State {
    fn behaviour(&self) -> ServerBehaviour {
        *lock(&self.behaviour)
    }

    fn serve(&self, mut stream: TcpStream) {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        let mut rng = WyRand::new();
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        loop {
            match self.read_request(&mut stream, incarnation, &mut rng) {
                Ok(received) => {
                    if !self.respond(&mut stream, received, incarnation, &mut rng) {
                        return;
                    }
                }
                Err(ReceiveEnd::BetweenRequests) => return,
                Err(ReceiveEnd::MidRequest(first_byte_at, bytes)) => {
                    let head = String::from_utf8_lossy(&bytes).into_owned();
                    self.record_attempt(
                        &ReceivedRequest { first_byte_at, head },
                        None,
                        AttemptOutcome::Incomplete,
                    );
                    return;
                }
            }
        }
    }

    /// Reads one whole request.
    fn read_request(
        &self, stream: &mut TcpStream, incarnation: u64, rng: &mut WyRand,
    ) -> Result<ReceivedRequest, ReceiveEnd> {
        let (mut bytes, mut first_byte_at, mut buffer) = (Vec::new(), 0.0, [0; 4096]);
        let reset_at_byte = rng.generate_range(1..300_usize);
        loop {
            let closes_idle = self.behaviour() == ServerBehaviour::ClosesIdle && bytes.is_empty();
            let _ = stream.set_read_timeout(Some(if closes_idle { IDLE_CLOSE_DELAY } else { POLL_INTERVAL }));
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => {
                    if bytes.is_empty() {
                        first_byte_at = self.records.now();
                    }
                    bytes.extend_from_slice(&buffer[..count]);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    let closing = closes_idle || self.incarnation.load(Ordering::SeqCst) != incarnation;
                    if closing && bytes.is_empty() {
                        return Err(ReceiveEnd::BetweenRequests);
                    }
                }
                _ if bytes.is_empty() => return Err(ReceiveEnd::BetweenRequests),
                _ => return Err(ReceiveEnd::MidRequest(first_byte_at, bytes)),
            }
            if let Some(head) = complete_head(&bytes) {
                return Ok(ReceivedRequest { first_byte_at, head });
            }
            if self.behaviour() == ServerBehaviour::Resets && bytes.len() > reset_at_byte {
                reset(stream);
                return Err(ReceiveEnd::MidRequest(first_byte_at, bytes));
            }
        }
    }

    /// Treats a request according to the server's behaviour. Returns false if the connection is over.
    fn respond(
        &self, stream: &mut TcpStream, received: ReceivedRequest, incarnation: u64, rng: &mut WyRand,
    ) -> bool {
        let last_byte_at = Some(self.records.now());
        let id = header(&received.head, "Request-Id").unwrap_or_default().to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if self.incarnation.load(Ordering::SeqCst) != incarnation {
            // The server restarted as this request came.
            reset(stream);
            self.record_attempt(&received, last_byte_at, AttemptOutcome::Executed);
            return false;
        }
        match self.behaviour() {
            ServerBehaviour::Answers | ServerBehaviour::ClosesIdle => {
                thread::sleep(service_time(rng));
                let write_result = stream.write_all(answer.as_bytes());
                self.record_attempt(&received, last_byte_at, AttemptOutcome::Executed);
                write_result.is_ok()
            }
            ServerBehaviour::Hangs => {
                self.hang(stream);
                self.record_attempt(&received, last_byte_at, AttemptOutcome::Executed);
                false
            }
            ServerBehaviour::Resets => {
                // Before, within or right after the answer.
                let part = rng.generate_range(0..=answer.len());
                let _ = stream.write_all(&answer.as_bytes()[..part]);
                reset(stream);
                self.record_attempt(&received, last_byte_at, AttemptOutcome::Executed);
                false
            }
            ServerBehaviour::Full => {
                let full = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
                let write_result = stream.write_all(full.as_bytes());
                self.record_attempt(&received, last_byte_at, AttemptOutcome::Rejected);
                write_result.is_ok()
            }
            ServerBehaviour::AnswersTwice => {
                thread::sleep(service_time(rng));
                let write_result = stream.write_all(answer.as_bytes());
                thread::sleep(Duration::from_millis(rng.generate_range(0..6_u64)));
                let second_result = stream.write_all(answer.as_bytes());
                self.record_attempt(&received, last_byte_at, AttemptOutcome::Executed);
                write_result.and(second_result).is_ok()
            }
        }
    }

    /// Waits without an answer until the other side closes the connection, at most for [`MAX_HANG`].
    fn hang(&self, stream: &mut TcpStream) {
        let _ = stream.set_read_timeout(Some(MAX_HANG));
        let _ = stream.read(&mut [0; 64]);
    }

    fn record_attempt(&self, received: &ReceivedRequest, last_byte_at: Option<f64>, outcome: AttemptOutcome) {
        let Some(id) = header(&received.head, "Request-Id") else { return };
        let Some(process) = process_from_request_id(id) else { return };
        let timeout_ms = header(&received.head, "Request-Timeout-Ms")
            .and_then(|timeout_ms| timeout_ms.parse::<f64>().ok());
        lock(&self.records.attempts).push(Attempt {
            process,
            server: self.number,
            cell: self.cell,
            id: id.to_string(),
            first_byte_at: received.first_byte_at,
            last_byte_at,
            ended_at: self.records.now(),
            announced_timeout_s: timeout_ms.map(|timeout_ms| timeout_ms / 1_000.0),
            outcome,
        });
    }
}

/// Draws how long a server works on a request.
fn service_time(rng: &mut WyRand) -> Duration {
    let slow = rng.generate_range(0..SLOW_REQUEST_ONE_IN) == 0;
    Duration::from_millis(if slow { rng.generate_range(40..160) } else { rng.generate_range(1..5) })
}

/// The process that a request id names.
pub fn process_from_request_id(id: &str) -> Option<ProcessId> {
    let (group, number) = id.split_once('-')?.0.strip_prefix('g')?.split_once('p')?;
    Some(ProcessId { group: group.parse().ok()?, number: number.parse().ok()? })
}

/// The head of a request, once its head and body have come.
fn complete_head(bytes: &[u8]) -> Option<String> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    (bytes.len() >= end + length).then_some(head)
}

/// Makes the close of a connection a reset instead of a regular end.
pub fn reset(stream: &TcpStream) {
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Read);
}
