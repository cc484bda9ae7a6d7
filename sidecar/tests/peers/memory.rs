//! Memory while many clients at once write slowly, stop half way, send heads of many short fields, or read slowly.
use crate::client::{connect, head, new_id, read_answer, Workload};
use crate::crowd::{Crowd, Habit};
use crate::process::Process;
use crate::program::{self, Limits};
use crate::{ms, server};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Far more than any process here has room for.
const CROWD_SIZE: usize = 600;
/// A crowd of clients that go on, however slowly, which leaves room for others within the smallest limits here.
const SMALL_CROWD_SIZE: usize = 30;
/// How long each crowd stays: longer than any wait for a client that has stopped.
const PLAY_TIME: Duration = ms(7_000);
const TIMEOUT: Duration = ms(3_000);
/// By the page, a client that stops half way is owed an error or a close within this time.
const MAX_BAD_CLIENT_TIME: Duration = ms(3_000);
const LONG_ANSWER_BYTES: usize = 8_000_000;
/// An answer that is buffered whole.
const BUFFERED_ANSWER_BYTES: usize = 60_000;

/// The private memory of a process in kilobytes.
fn private_memory_kb(process_id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// Watches the memory of a process until it is dropped.
pub struct MemoryWatch {
    process_id: u32,
    highest_kb: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl MemoryWatch {
    /// Watches this process.
    pub fn start(process_id: u32) -> MemoryWatch {
        let watch = MemoryWatch { process_id, highest_kb: Arc::default(), stop: Arc::default() };
        let (highest_kb, stop) = (watch.highest_kb.clone(), watch.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                highest_kb.fetch_max(private_memory_kb(process_id).unwrap_or(0), Ordering::Relaxed);
                thread::sleep(ms(5));
            }
        });
        watch
    }

    /// The highest memory so far, in kilobytes.
    pub fn highest_kb(&self) -> u64 {
        self.highest_kb.load(Ordering::Relaxed)
    }

    /// The memory at the moment, in kilobytes.
    pub fn current_kb(&self) -> u64 {
        private_memory_kb(self.process_id).unwrap_or(0)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A server whose answers are as long as the beginning of the request's id says.
fn start_server() -> SocketAddr {
    let long_answer = vec![b'x'; LONG_ANSWER_BYTES];
    server::start(move |mut stream: TcpStream| {
        while let Some(id) = server::read_request(&mut stream) {
            let body = match &id {
                id if id.starts_with("long") => &long_answer[..],
                id if id.starts_with("buffered") => &long_answer[..BUFFERED_ANSWER_BYTES],
                _ => b"ok",
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_err() {
                return;
            }
        }
    })
}

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug)]
enum CrowdKind {
    /// Write a long body at a pace that the page promises.
    SlowWriters,
    /// Stop half way through a long body, with a stated length or in small chunks.
    HalfRequests,
    ChunkedHalves,
    /// Send heads of very many short fields, and no end.
    ShortFields,
    /// Read long answers, or ones that are buffered whole, a few bytes at a time.
    SlowReaders,
    SlowReadersOfBufferedAnswers,
    /// All of these, each by some.
    Mixed,
}

const CROWD_KINDS: [CrowdKind; 7] = [
    CrowdKind::SlowWriters,
    CrowdKind::HalfRequests,
    CrowdKind::ChunkedHalves,
    CrowdKind::ShortFields,
    CrowdKind::SlowReaders,
    CrowdKind::SlowReadersOfBufferedAnswers,
    CrowdKind::Mixed,
];

impl CrowdKind {
    /// What the client with this number does, with an id of its own.
    fn habit(self, number: usize) -> Habit {
        let upload = |framing: &str, body: &[u8]| {
            [head(Workload::Pay, &new_id(), TIMEOUT, framing).as_bytes(), body].concat()
        };
        let download = |kind: &str, count: usize| {
            let request = |_| head(Workload::View, &format!("{kind}{}", new_id()), TIMEOUT, "");
            (0..count).map(request).collect::<String>().into_bytes()
        };
        let (bytes, written_per_step, read_per_step) = match self {
            CrowdKind::SlowWriters => (upload("Content-Length: 300000\r\n", &[b'x'; 300_000]), 2_000, 4_096),
            CrowdKind::HalfRequests => {
                (upload("Content-Length: 1000000\r\n", &[b'x'; 500_000]), 500_000, 4_096)
            }
            CrowdKind::ChunkedHalves => {
                (upload("Transfer-Encoding: chunked\r\n", &b"1;e\r\nx\r\n".repeat(40_000)), 320_000, 4_096)
            }
            CrowdKind::ShortFields => {
                let mut bytes = upload("", b"");
                bytes.truncate(bytes.len() - 2);
                ([bytes, b"a:\r\n".repeat(3_900)].concat(), 8_000, 4_096)
            }
            CrowdKind::SlowReaders => (download("long", 1), 4_096, 64),
            CrowdKind::SlowReadersOfBufferedAnswers => (download("buffered", 30), 4_096, 64),
            CrowdKind::Mixed => return CROWD_KINDS[number % 6].habit(number),
        };
        Habit { bytes: Arc::new(bytes), written_per_step, read_per_step }
    }
}

/// What became of the requests of a client that sends one after the other.
#[derive(Default, Debug)]
pub struct SoundRequests {
    pub served: usize,
    pub refused: usize,
    /// The longest time until an answer.
    pub slowest: Duration,
    /// The first one with no answer in time, or another one.
    pub failure: Option<String>,
}

/// Sends requests one after the other, each on a new connection, until the time is over or one fails.
pub fn send_sound_requests(address: SocketAddr, until: Instant) -> SoundRequests {
    let mut requests = SoundRequests::default();
    while Instant::now() < until && requests.failure.is_none() {
        let started = Instant::now();
        let mut stream = connect(address);
        stream.set_read_timeout(Some(TIMEOUT + ms(500))).expect("the option is set");
        let request = head(Workload::Pay, &new_id(), TIMEOUT, "Content-Length: 0\r\nConnection: close\r\n");
        let _ = stream.write_all(request.as_bytes());
        let answer = read_answer(&mut stream).map(|answer| answer.status);
        requests.slowest = requests.slowest.max(started.elapsed());
        match answer {
            // By the page an answer more than half a second late is lost.
            _ if started.elapsed() > TIMEOUT + ms(500) => {
                requests.failure = Some(format!("{answer:?} after {:?}", started.elapsed()));
            }
            Ok(200) => requests.served += 1,
            Ok(503) => requests.refused += 1,
            other => requests.failure = Some(format!("{other:?}")),
        }
        thread::sleep(ms(20));
    }
    requests
}

/// Sends requests until one is served or the time is over. Returns the last answer's status.
fn send_until_served(address: SocketAddr, until: Instant) -> Result<u16, String> {
    loop {
        let mut stream = connect(address);
        let request = head(Workload::Pay, &new_id(), TIMEOUT, "Content-Length: 0\r\n");
        stream.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
        let status = read_answer(&mut stream).map(|answer| answer.status);
        if status == Ok(200) || Instant::now() > until {
            return status;
        }
        thread::sleep(ms(20));
    }
}

/// What was seen amid a crowd.
struct Play {
    requests: SoundRequests,
    highest_kb: u64,
    /// All of it, as text.
    text: String,
}

fn play(kind: CrowdKind, size: usize, limits: Limits) -> Play {
    let servers: Vec<SocketAddr> = (0..3).map(|_| start_server()).collect();
    let program: Process = program::start(&servers, limits);
    let watch = MemoryWatch::start(program.child.id());
    let crowd = Crowd::start(program.address, (0..size).map(|number| kind.habit(number)).collect());
    thread::sleep(ms(500));
    let requests = send_sound_requests(program.address, Instant::now() + PLAY_TIME);
    thread::sleep(PLAY_TIME.saturating_sub(ms(500)) * u32::from(requests.failure.is_some()));
    let connections = crowd.connections.load(Ordering::Relaxed);
    drop(crowd);
    let highest_kb = watch.highest_kb();
    let text = format!(
        "{size} {kind:?}, {limits:?}: {highest_kb} kB at most, {connections} connections, {requests:?}"
    );
    println!("{text}");
    // The process is alive, and serves again when the crowd has gone: its last clients are owed an end, and a request that came
    // behind them its answer.
    let last = send_until_served(program.address, Instant::now() + MAX_BAD_CLIENT_TIME + TIMEOUT);
    assert_eq!(last, Ok(200), "{text}");
    Play { requests, highest_kb, text }
}

const SMALL: Limits = Limits { memory_mb: 16, sockets: 128 };
const MEDIUM: Limits = Limits { memory_mb: 32, sockets: 384 };

/// Guards against a process that is killed for its memory amid hundreds of clients that write slowly, stop half way, send
/// endless short fields or read slowly.
#[test]
fn memory_stays_within_its_limit_amid_crowds() {
    let _alone = crate::run_alone();
    for limits in [SMALL, MEDIUM] {
        thread::scope(|scope| {
            for kind in CROWD_KINDS {
                scope.spawn(move || {
                    let Play { highest_kb, text, .. } = play(kind, CROWD_SIZE, limits);
                    assert!(highest_kb < u64::from(limits.memory_mb) * 1_000, "{text}");
                });
            }
        });
    }
}

/// Guards against answers that come late or never because of slow clients that leave room for others.
#[test]
fn sound_requests_are_answered_in_time_beside_slow_clients() {
    let _alone = crate::run_alone();
    thread::scope(|scope| {
        for kind in CROWD_KINDS {
            scope.spawn(move || {
                let Play { requests, text, .. } = play(kind, SMALL_CROWD_SIZE, SMALL);
                assert!(requests.failure.is_none() && requests.served + requests.refused > 0, "{text}");
            });
        }
    });
}

/// Guards against requests that are refused because stalled uploads hold the places at the servers.
#[test]
fn sound_requests_are_served_beside_stalled_uploads() {
    let _alone = crate::run_alone();
    let Play { requests, text, .. } = play(CrowdKind::HalfRequests, SMALL_CROWD_SIZE, SMALL);
    assert!(requests.served > requests.refused, "{text}");
}
