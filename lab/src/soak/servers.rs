//! Stand-in servers: each answers a request with its id, misbehaves as it is told, and writes every attempt down.
use super::records::{Attempt, Deed, ProcessId, Records};
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
pub enum Manner {
    /// It answers, now and then late.
    Answers,
    /// It takes requests and says nothing.
    Hangs,
    /// It resets connections, each at a point of its own.
    Resets,
    /// It turns requests away.
    Full,
    /// It answers twice.
    Twice,
    /// It closes connections as soon as they are idle.
    ClosesIdle,
}

/// How often an idle connection looks whether its server has changed its manner.
const LOOK: Duration = Duration::from_millis(60);
/// How soon one is closed by a server that closes idle ones.
const CLOSES_AFTER: Duration = Duration::from_millis(4);
/// The longest that a server hangs on one request.
const HANGS: Duration = Duration::from_millis(2_500);
/// One request of so many takes long.
const ONE_IN_LONG: u64 = 25;

/// One server.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    number: usize,
    cell: usize,
    manner: Mutex<Manner>,
    /// Connections of an earlier life are over.
    life: AtomicU64,
    records: Arc<Records>,
}

impl Server {
    /// Starts one.
    pub fn start(number: usize, cell: usize, records: Arc<Records>) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let manner = Mutex::new(Manner::Answers);
        let state = Arc::new(State { number, cell, manner, life: AtomicU64::new(0), records });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        Ok(Server { address, state })
    }

    /// From now on it treats requests so.
    pub fn set(&self, manner: Manner) {
        *lock(&self.state.manner) = manner;
    }

    /// It starts again: its connections are reset.
    pub fn restart(&self) {
        self.state.life.fetch_add(1, Ordering::SeqCst);
    }
}

/// A request as it came.
struct Came {
    first_byte: f64,
    head: String,
}

/// Why no whole request came.
enum Ended {
    /// Between requests.
    Idle,
    /// After these bytes of one, of which the first came then.
    Within(f64, Vec<u8>),
}

impl State {
    fn manner(&self) -> Manner {
        *lock(&self.manner)
    }

    fn serve(&self, mut stream: TcpStream) {
        let life = self.life.load(Ordering::SeqCst);
        let mut chance = WyRand::new();
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        loop {
            match self.request(&mut stream, life, &mut chance) {
                Ok(came) => {
                    if !self.treat(&mut stream, came, life, &mut chance) {
                        return;
                    }
                }
                Err(Ended::Idle) => return,
                Err(Ended::Within(first_byte, bytes)) => {
                    let head = String::from_utf8_lossy(&bytes).into_owned();
                    self.write_down(&Came { first_byte, head }, None, Deed::Incomplete);
                    return;
                }
            }
        }
    }

    /// Reads one request, whole.
    fn request(&self, stream: &mut TcpStream, life: u64, chance: &mut WyRand) -> Result<Came, Ended> {
        let (mut bytes, mut first_byte, mut buffer) = (Vec::new(), 0.0, [0; 4096]);
        let breaks_at = chance.generate_range(1..300_usize);
        loop {
            let closes_idle = self.manner() == Manner::ClosesIdle && bytes.is_empty();
            let _ = stream.set_read_timeout(Some(if closes_idle { CLOSES_AFTER } else { LOOK }));
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => {
                    if bytes.is_empty() {
                        first_byte = self.records.now();
                    }
                    bytes.extend_from_slice(&buffer[..count]);
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    let over = closes_idle || self.life.load(Ordering::SeqCst) != life;
                    if over && bytes.is_empty() {
                        return Err(Ended::Idle);
                    }
                }
                _ if bytes.is_empty() => return Err(Ended::Idle),
                _ => return Err(Ended::Within(first_byte, bytes)),
            }
            if let Some(head) = whole_head(&bytes) {
                return Ok(Came { first_byte, head });
            }
            if self.manner() == Manner::Resets && bytes.len() > breaks_at {
                reset(stream);
                return Err(Ended::Within(first_byte, bytes));
            }
        }
    }

    /// Does with a request what its manner asks for. False if the connection is over.
    fn treat(&self, stream: &mut TcpStream, came: Came, life: u64, chance: &mut WyRand) -> bool {
        let last_byte = Some(self.records.now());
        let id = header(&came.head, "Request-Id").unwrap_or_default().to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        if self.life.load(Ordering::SeqCst) != life {
            // It ended with its earlier life, as this came.
            reset(stream);
            self.write_down(&came, last_byte, Deed::Ran);
            return false;
        }
        match self.manner() {
            Manner::Answers | Manner::ClosesIdle => {
                thread::sleep(work(chance));
                let written = stream.write_all(answer.as_bytes());
                self.write_down(&came, last_byte, Deed::Ran);
                written.is_ok()
            }
            Manner::Hangs => {
                self.hang(stream);
                self.write_down(&came, last_byte, Deed::Ran);
                false
            }
            Manner::Resets => {
                // Before, within or right behind the answer.
                let part = chance.generate_range(0..=answer.len());
                let _ = stream.write_all(&answer.as_bytes()[..part]);
                reset(stream);
                self.write_down(&came, last_byte, Deed::Ran);
                false
            }
            Manner::Full => {
                let full = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
                let written = stream.write_all(full.as_bytes());
                self.write_down(&came, last_byte, Deed::TurnedAway);
                written.is_ok()
            }
            Manner::Twice => {
                thread::sleep(work(chance));
                let written = stream.write_all(answer.as_bytes());
                thread::sleep(Duration::from_millis(chance.generate_range(0..6_u64)));
                let again = stream.write_all(answer.as_bytes());
                self.write_down(&came, last_byte, Deed::Ran);
                written.and(again).is_ok()
            }
        }
    }

    /// Says nothing until the other side gives up, or for as long as it hangs.
    fn hang(&self, stream: &mut TcpStream) {
        let _ = stream.set_read_timeout(Some(HANGS));
        let _ = stream.read(&mut [0; 64]);
    }

    fn write_down(&self, came: &Came, last_byte: Option<f64>, deed: Deed) {
        let Some(id) = header(&came.head, "Request-Id") else { return };
        let Some(process) = process_of(id) else { return };
        let told = header(&came.head, "Request-Timeout-Ms").and_then(|told| told.parse::<f64>().ok());
        lock(&self.records.attempts).push(Attempt {
            process,
            server: self.number,
            cell: self.cell,
            id: id.to_string(),
            first_byte: came.first_byte,
            last_byte,
            over: self.records.now(),
            told: told.map(|told| told / 1_000.0),
            deed,
        });
    }
}

/// How long a server works on a request.
fn work(chance: &mut WyRand) -> Duration {
    let long = chance.generate_range(0..ONE_IN_LONG) == 0;
    Duration::from_millis(if long { chance.generate_range(40..160) } else { chance.generate_range(1..5) })
}

/// The process that an id names.
pub fn process_of(id: &str) -> Option<ProcessId> {
    let (group, number) = id.split_once('-')?.0.strip_prefix('g')?.split_once('p')?;
    Some(ProcessId { group: group.parse().ok()?, number: number.parse().ok()? })
}

/// The head of a request of which all has come.
fn whole_head(bytes: &[u8]) -> Option<String> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    (bytes.len() >= end + length).then_some(head)
}

/// Ends a connection so that the other side is told of a reset.
pub fn reset(stream: &TcpStream) {
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Read);
}
