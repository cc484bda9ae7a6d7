//! Callers on kept connections, in a closed loop: each sends its next call when it has its answer.
use hdrhistogram::Histogram;
use polling::{Event, Events, PollMode, Poller};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// What the callers of one run saw.
pub struct Seen {
    pub calls: u64,
    pub not_served: u64,
    pub seconds: f64,
    /// Microseconds from the send of a call to the last byte of its answer.
    pub latency: Histogram<u64>,
}

impl Seen {
    pub fn a_second(&self) -> f64 {
        self.calls as f64 / self.seconds
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

struct Caller {
    stream: TcpStream,
    sent: Instant,
    got: Vec<u8>,
}

impl Caller {
    fn send(&mut self) -> std::io::Result<()> {
        let id = IDS.fetch_add(1, Ordering::Relaxed);
        let call = format!(
            "GET /view/1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id:016x}\r\nRequest-Class: view\r\nRequest-Timeout-Ms: 2000\r\n\r\n"
        );
        self.sent = Instant::now();
        self.stream.write_all(call.as_bytes())
    }
}

/// Whether a whole answer with Content-Length is there.
fn whole(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length =
        head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    bytes.len() >= end + 4 + length.unwrap_or(0)
}

/// `connections` callers on `threads` threads for `length`, of which the first `warm` does not count.
pub fn call(
    to: SocketAddr, connections: usize, threads: usize, warm: Duration, length: Duration,
) -> std::io::Result<Seen> {
    let started = Instant::now();
    let (from, until) = (started + warm, started + warm + length);
    let work = |count: usize| {
        thread::spawn(move || -> std::io::Result<Seen> {
            let (poller, mut events) = (Poller::new()?, Events::new());
            let mut callers = Vec::new();
            for key in 0..count {
                let stream = TcpStream::connect(to)?;
                stream.set_nodelay(true)?;
                // Safety: the callers outlive the poller's use.
                unsafe { poller.add_with_mode(&stream, Event::readable(key), PollMode::Level)? };
                let mut caller = Caller { stream, sent: Instant::now(), got: Vec::new() };
                caller.send()?;
                callers.push(caller);
            }
            let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are sound");
            let mut seen = Seen { calls: 0, not_served: 0, seconds: length.as_secs_f64(), latency };
            let mut buffer = [0; 16 * 1024];
            while Instant::now() < until {
                events.clear();
                poller.wait(&mut events, Some(Duration::from_millis(100)))?;
                for event in events.iter() {
                    let caller = &mut callers[event.key];
                    let got = caller.stream.read(&mut buffer)?;
                    if got == 0 {
                        return Err(std::io::ErrorKind::UnexpectedEof.into());
                    }
                    caller.got.extend_from_slice(&buffer[..got]);
                    if !whole(&caller.got) {
                        continue;
                    }
                    if Instant::now() >= from {
                        seen.calls += 1;
                        seen.not_served += u64::from(!caller.got.starts_with(b"HTTP/1.1 200 "));
                        seen.latency.saturating_record(caller.sent.elapsed().as_micros() as u64);
                    }
                    caller.got.clear();
                    caller.send()?;
                }
            }
            Ok(seen)
        })
    };
    let shares = (0..threads).map(|at| connections / threads + usize::from(at < connections % threads));
    let running: Vec<_> = shares.map(work).collect();
    let mut all: Option<Seen> = None;
    for one in running {
        let one = one.join().expect("a caller's thread ends")?;
        all = Some(match all {
            None => one,
            Some(mut sum) => {
                sum.calls += one.calls;
                sum.not_served += one.not_served;
                sum.latency.add(&one.latency).expect("equal bounds");
                sum
            }
        });
    }
    all.ok_or_else(|| std::io::ErrorKind::InvalidInput.into())
}

/// Reads `/ready` until it says 200, for 10 s at most.
pub fn await_ready(to: SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(answer.ends_with(b"200"))
    };
    while Instant::now() < until {
        if ask().unwrap_or(false) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
