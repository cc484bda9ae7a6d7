//! Clients on kept connections in a closed loop: each sends its next request when it has received the whole answer.
use hdrhistogram::Histogram;
use polling::{Event, Events, PollMode, Poller};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What the clients of one run measured.
pub struct Measurements {
    pub requests: u64,
    pub not_served: u64,
    pub seconds: f64,
    /// Microseconds from sending a request to the last byte of its answer.
    pub latency: Histogram<u64>,
}

impl Measurements {
    pub fn requests_per_s(&self) -> f64 {
        self.requests as f64 / self.seconds
    }
}

static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

struct Client {
    stream: TcpStream,
    sent: Instant,
    received: Vec<u8>,
}

impl Client {
    fn send(&mut self) -> std::io::Result<()> {
        let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        let request = format!(
            "GET /view/1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id:016x}\r\nRequest-Class: view\r\nRequest-Timeout-Ms: 2000\r\n\r\n"
        );
        self.sent = Instant::now();
        self.stream.write_all(request.as_bytes())
    }
}

/// Whether the bytes contain a complete answer according to its Content-Length.
fn is_whole_answer(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length =
        head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    bytes.len() >= end + 4 + length.unwrap_or(0)
}

/// Runs `connections` clients on `threads` threads, first for `warm_up`, which is not measured, and then for `length`.
pub fn run_clients(
    address: SocketAddr, connections: usize, threads: usize, warm_up: Duration, length: Duration,
) -> std::io::Result<Measurements> {
    let started = Instant::now();
    let (count_from, run_until) = (started + warm_up, started + warm_up + length);
    let run_thread = |count: usize| {
        thread::spawn(move || -> std::io::Result<Measurements> {
            let (poller, mut events) = (Poller::new()?, Events::new());
            let mut clients = Vec::new();
            for key in 0..count {
                let stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                // SAFETY: the stream is not dropped while the poller is in use.
                unsafe { poller.add_with_mode(&stream, Event::readable(key), PollMode::Level)? };
                let mut client = Client { stream, sent: Instant::now(), received: Vec::new() };
                client.send()?;
                clients.push(client);
            }
            let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
            let mut measurements =
                Measurements { requests: 0, not_served: 0, seconds: length.as_secs_f64(), latency };
            let mut buffer = [0; 16 * 1024];
            while Instant::now() < run_until {
                events.clear();
                poller.wait(&mut events, Some(Duration::from_millis(100)))?;
                for event in events.iter() {
                    let client = &mut clients[event.key];
                    let received = client.stream.read(&mut buffer)?;
                    if received == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                    client.received.extend_from_slice(&buffer[..received]);
                    if !is_whole_answer(&client.received) {
                        continue;
                    }
                    if Instant::now() >= count_from {
                        measurements.requests += 1;
                        measurements.not_served += u64::from(!client.received.starts_with(b"HTTP/1.1 200 "));
                        measurements.latency.saturating_record(client.sent.elapsed().as_micros() as u64);
                    }
                    client.received.clear();
                    client.send()?;
                }
            }
            Ok(measurements)
        })
    };
    let connection_counts =
        (0..threads).map(|index| connections / threads + usize::from(index < connections % threads));
    let running_threads: Vec<_> = connection_counts.map(run_thread).collect();
    let mut total: Option<Measurements> = None;
    for measurements in running_threads {
        let measurements = measurements.join().expect("no client thread panics")?;
        total = Some(match total {
            None => measurements,
            Some(mut sum) => {
                sum.requests += measurements.requests;
                sum.not_served += measurements.not_served;
                sum.latency.add(&measurements.latency).expect("equal bounds");
                sum
            }
        });
    }
    total.ok_or_else(|| std::io::ErrorKind::InvalidInput.into())
}

/// Requests `/ready` until it answers 200, for 10 s at most. Returns whether it did.
pub fn wait_until_ready(address: SocketAddr) -> bool {
    let deadline = Instant::now() + Duration::from_secs(10);
    let is_ready = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(answer.ends_with(b"200"))
    };
    while Instant::now() < deadline {
        if is_ready().unwrap_or(false) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
