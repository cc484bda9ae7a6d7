//! Clients, well-behaved and misbehaving. Each client records how its requests ended.
use super::records::{ProcessId, Records, Request, RequestClass, RequestOutcome};
use super::servers::reset;
use crate::fakes::{header, read_head};
use crate::harness::lock;
use nanorand::{Rng, WyRand};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How much longer than its announced timeout a client waits, to see late answers, in seconds.
const EXTRA_WAIT_S: f64 = 0.9;
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a client between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 30..160;
/// Timeouts that clients announce, in milliseconds.
const TIMEOUT_MS: std::ops::Range<u64> = 350..900;
/// How long a partly sent request is held open.
const PARTIAL_REQUEST_HOLD: Duration = Duration::from_millis(3_400);

/// How a client behaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClientBehaviour {
    /// Sends one request after another and waits for each answer.
    Steady,
    /// Closes the connection before the answer.
    Leaves,
    /// Sends part of a request and keeps the connection open.
    StopsHalfWay,
    /// Sends several requests at once.
    Pipelines,
    /// Writes a byte at a time.
    Drips,
    /// Sends the next request almost at once.
    Retries,
}

/// A client of one process.
#[derive(Clone)]
pub struct Client {
    /// The process that it connects to.
    pub process: ProcessId,
    /// The address of the process.
    pub address: SocketAddr,
    /// Where outcomes are recorded.
    pub records: Arc<Records>,
}

type Connection = BufReader<TcpStream>;

/// A request that is ready to be sent.
struct PreparedRequest {
    id: String,
    class: RequestClass,
    timeout_ms: u64,
    text: String,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

fn prepare_request(process: ProcessId, rng: &mut WyRand) -> PreparedRequest {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let class = match rng.generate_range(0..10_u8) {
        0..=4 => RequestClass::View,
        5..=6 => RequestClass::Save,
        _ => RequestClass::Pay,
    };
    let id = format!("g{}p{}-{number}", process.group, process.number);
    let timeout_ms = rng.generate_range(TIMEOUT_MS);
    let (method, rest) = match class {
        RequestClass::View => ("GET", String::new()),
        RequestClass::Save => ("POST", format!("Idempotency-Key: k{number}\r\nContent-Length: 0\r\n")),
        RequestClass::Pay => ("POST", "Content-Length: 0\r\n".to_string()),
    };
    let text = format!(
        "{method} /{} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{rest}\r\n",
        class.name()
    );
    PreparedRequest { id, class, timeout_ms, text }
}

fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(2))).ok()?;
    Some(BufReader::new(stream))
}

/// Reads one answer: its status, its body, and whether the connection may be reused. None if the connection
/// was closed.
fn read_response(connection: &mut Connection) -> std::io::Result<Option<(u16, String, bool)>> {
    let mut first = [0];
    // An error before the first byte is returned, so that a timeout without any answer differs from a
    // broken-off answer.
    match connection.read(&mut first) {
        Ok(0) => return Ok(None),
        Ok(_) => {}
        Err(error) => return Err(error),
    }
    let head = read_rest_of_response(connection, first[0]);
    let Some((head, body)) = head else { return Ok(None) };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Some((status, body, header(&head, "Connection") != Some("close"))))
}

fn read_rest_of_response(connection: &mut Connection, first: u8) -> Option<(String, String)> {
    let mut head = vec![first];
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        connection.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let content_length =
        header(&head, "Content-Length").and_then(|content_length| content_length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; content_length];
    connection.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

impl Client {
    /// Sends requests with this behaviour until it is asked to stop.
    pub fn run(&self, behaviour: ClientBehaviour, seed: u64, stop_requested: &AtomicBool) {
        let mut rng = WyRand::new_seed(seed);
        let mut connection: Option<Connection> = None;
        while !stop_requested.load(Ordering::Relaxed) {
            let reused_connection = connection.is_some();
            let Some(stream) = connection.take().or_else(|| connect(self.address)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            connection = match behaviour {
                ClientBehaviour::Steady | ClientBehaviour::Retries => {
                    self.exchange(stream, reused_connection, &mut rng)
                }
                ClientBehaviour::Drips => self.drip(stream, reused_connection, &mut rng),
                ClientBehaviour::Pipelines => self.pipeline(stream, &mut rng),
                ClientBehaviour::Leaves => self.leave(stream, &mut rng),
                ClientBehaviour::StopsHalfWay => self.stop_half_way(stream, &mut rng, stop_requested),
            };
            if behaviour != ClientBehaviour::Retries {
                thread::sleep(Duration::from_millis(rng.generate_range(PAUSE_MS)));
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Sends one request and waits for its answer. Returns the connection if it may be reused.
    fn exchange(
        &self, mut stream: Connection, reused_connection: bool, rng: &mut WyRand,
    ) -> Option<Connection> {
        let request = prepare_request(self.process, rng);
        if stream.get_mut().write_all(request.text.as_bytes()).is_err() {
            return None;
        }
        let sent_at = self.records.now();
        self.await_response(stream, request, sent_at, reused_connection)
    }

    /// Waits for the answer to a request that was sent, and records the outcome.
    fn await_response(
        &self, mut stream: Connection, request: PreparedRequest, sent_at: f64, reused_connection: bool,
    ) -> Option<Connection> {
        let timeout_s = request.timeout_ms as f64 / 1_000.0;
        let remaining_s = (sent_at + timeout_s + EXTRA_WAIT_S - self.records.now()).max(0.01);
        let _ = stream.get_ref().set_read_timeout(Some(Duration::from_secs_f64(remaining_s)));
        let (outcome, reusable) = match read_response(&mut stream) {
            Ok(Some((status, body, reusable))) => {
                (RequestOutcome::Answered { status, own_body: status != 200 || body == request.id }, reusable)
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                (RequestOutcome::NoResponse, false)
            }
            Ok(None) | Err(_) => (RequestOutcome::Closed, false),
        };
        self.record_request(&request, Some(sent_at), reused_connection, outcome);
        reusable.then_some(stream)
    }

    /// Like [`Client::exchange`], but sends the request a byte at a time.
    fn drip(&self, mut stream: Connection, reused_connection: bool, rng: &mut WyRand) -> Option<Connection> {
        let request = prepare_request(self.process, rng);
        for byte in request.text.bytes() {
            stream.get_mut().write_all(&[byte]).ok()?;
            if rng.generate_range(0..8_u8) == 0 {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let sent_at = self.records.now();
        self.await_response(stream, request, sent_at, reused_connection)
    }

    /// Sends three requests at once; only the first is recorded, as the others wait behind it.
    fn pipeline(&self, mut stream: Connection, rng: &mut WyRand) -> Option<Connection> {
        let request = prepare_request(self.process, rng);
        let followers = [prepare_request(self.process, rng), prepare_request(self.process, rng)];
        let text: String =
            [&request, &followers[0], &followers[1]].iter().map(|request| request.text.as_str()).collect();
        stream.get_mut().write_all(text.as_bytes()).ok()?;
        let sent_at = self.records.now();
        // The pipelined requests may stay unanswered: the connection may be closed after any answer, and a client
        // that pipelines has to expect that.
        let mut stream = self.await_response(stream, request, sent_at, false)?;
        for _ in followers {
            let _ = stream.get_ref().set_read_timeout(Some(Duration::from_secs(2)));
            read_response(&mut stream).ok()??;
        }
        None
    }

    /// Sends a request and closes or resets the connection after up to 40 ms.
    fn leave(&self, mut stream: Connection, rng: &mut WyRand) -> Option<Connection> {
        let request = prepare_request(self.process, rng);
        stream.get_mut().write_all(request.text.as_bytes()).ok()?;
        let sent_at = self.records.now();
        thread::sleep(Duration::from_micros(rng.generate_range(0..40_000)));
        let by_reset = rng.generate_range(0..2_u8) == 0;
        // Recorded before the close, so that the recorded time is never later than the close.
        self.record_request(&request, Some(sent_at), true, RequestOutcome::ClientLeft);
        if by_reset {
            reset(stream.get_ref());
        }
        None
    }

    /// Sends part of a request and then nothing.
    fn stop_half_way(
        &self, mut stream: Connection, rng: &mut WyRand, stop_requested: &AtomicBool,
    ) -> Option<Connection> {
        let request = prepare_request(self.process, rng);
        let partial_length = rng.generate_range(1..request.text.len());
        stream.get_mut().write_all(&request.text.as_bytes()[..partial_length]).ok()?;
        let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(100)));
        let start = Instant::now();
        while start.elapsed() < PARTIAL_REQUEST_HOLD && !stop_requested.load(Ordering::Relaxed) {
            match read_head(&mut stream) {
                Some(_) => return None,
                None => thread::sleep(Duration::from_millis(20)),
            }
        }
        None
    }

    fn record_request(
        &self, request: &PreparedRequest, sent_at: Option<f64>, reused_connection: bool,
        outcome: RequestOutcome,
    ) {
        lock(&self.records.requests).push(Request {
            process: self.process,
            id: request.id.clone(),
            class: request.class,
            sent_at,
            timeout_s: request.timeout_ms as f64 / 1_000.0,
            reused_connection,
            ended_at: self.records.now(),
            outcome,
        });
    }
}

/// Clients that run, each on its own thread, until they are stopped.
#[derive(Default)]
pub struct ClientPool {
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientPool {
    /// Starts one more client.
    pub fn add(&mut self, client: Client, behaviour: ClientBehaviour, seed: u64) {
        let stop_requested = self.stop_requested.clone();
        let thread = thread::Builder::new().stack_size(256 * 1024);
        self.threads.extend(thread.spawn(move || client.run(behaviour, seed, &stop_requested)).ok());
    }

    /// Stops all clients and waits until they have ended.
    pub fn stop(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
    }
}

/// Opens `count` connections that send nothing, and closes them after `duration`.
pub fn hold_idle_connections(address: SocketAddr, count: usize, duration: Duration) {
    let held: Vec<TcpStream> =
        (0..count).filter_map(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()).collect();
    thread::sleep(duration);
    drop(held);
}
