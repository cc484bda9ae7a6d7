//! One client that sends small or unsound requests on one connection at full speed, beside others.
use crate::client::{connect, head, new_id, read_answer, Workload};
use crate::memory::{send_sound_requests, MemoryWatch};
use crate::program::{self, Limits};
use crate::{ms, server};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const FLOOD_TIME: Duration = ms(4_000);
const TIMEOUT: Duration = ms(2_000);
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 384 };
/// What a sound request may take beside a flood: far more than a millisecond of work, far less than its time.
const MAX_DELAY: Duration = ms(1_000);

/// What a flooding client repeats on its connection.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Requests that the program answers itself.
    ReadinessChecks,
    /// Line ends ahead of a request that never comes.
    LineEnds,
    /// Requests with ever new ids, tenants, keys and paths, sent ahead of their answers.
    NewNames,
    /// The same without reading any answer.
    UnreadAnswers,
    /// Requests of unknown workloads with ever new names, each on a new connection since it closes the last one.
    UnknownWorkloads,
    /// A long body in chunks of one byte.
    TinyChunks,
    /// Chunks with long extensions.
    LongExtensions,
    /// Requests whose time is over at once.
    NoTime,
    /// The same id again and again.
    SameId,
}

const FLOODS: [Flood; 9] = [
    Flood::ReadinessChecks,
    Flood::LineEnds,
    Flood::NewNames,
    Flood::UnreadAnswers,
    Flood::UnknownWorkloads,
    Flood::TinyChunks,
    Flood::LongExtensions,
    Flood::NoTime,
    Flood::SameId,
];

impl Flood {
    /// What the client writes next. `first` is set at the beginning of a connection.
    fn bytes(self, first: bool) -> Vec<u8> {
        let new_names = |_| {
            let id = new_id();
            format!(
                "GET /view/{id}?x={id} HTTP/1.1\r\nHost: {id}\r\nRequest-Id: {id}\r\nTenant: t{id}\r\nRequest-Info: key={}\r\nX-{id}: 1\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
                u64::from_str_radix(&id, 16).unwrap_or(0)
            )
        };
        let timed = |id: String, timeout| head(Workload::View, &id, timeout, "");
        let chunked = |chunk: String| {
            let head = head(Workload::Pay, &new_id(), TIMEOUT, "Transfer-Encoding: chunked\r\n");
            if first {
                head + &chunk
            } else {
                chunk
            }
        };
        match self {
            Flood::ReadinessChecks => "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(8_000),
            Flood::LineEnds => "\r\n".repeat(200_000),
            Flood::NewNames | Flood::UnreadAnswers => (0..60).map(new_names).collect(),
            Flood::UnknownWorkloads => {
                let id = new_id();
                format!("GET /w{id} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\r\n").repeat(60)
            }
            Flood::TinyChunks => chunked("1\r\nx\r\n".repeat(50_000)),
            Flood::LongExtensions => chunked(format!("1;{}\r\nx\r\n", "e".repeat(4_000)).repeat(40)),
            Flood::NoTime => (0..60).map(|_| timed(new_id(), ms(0))).collect(),
            Flood::SameId => (0..60).map(|_| timed("1".into(), TIMEOUT)).collect(),
        }
        .into_bytes()
    }
}

impl Flood {
    /// Whether what the client writes is never the same.
    fn has_new_names(self) -> bool {
        matches!(self, Flood::NewNames | Flood::UnreadAnswers | Flood::UnknownWorkloads | Flood::NoTime)
    }
}

/// Writes a flood at full speed until `stop` is set, on one connection, or on a new one where that is closed.
fn flood(flood: Flood, address: SocketAddr, stop: &AtomicBool, connections: &AtomicUsize) {
    while !stop.load(Ordering::Relaxed) {
        let mut stream = connect(address);
        connections.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_write_timeout(Some(ms(100)));
        let mut reader = stream.try_clone().expect("the socket is duplicated");
        let reads = !matches!(flood, Flood::UnreadAnswers);
        let reading = thread::spawn(move || {
            let mut buffer = vec![0; 64 * 1024];
            while reads && reader.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let _ = stream.write_all(&flood.bytes(true));
        let mut bytes = flood.bytes(false);
        while !stop.load(Ordering::Relaxed) {
            if flood.has_new_names() {
                bytes = flood.bytes(false);
            }
            match stream.write_all(&bytes) {
                Err(error) if error.kind() != std::io::ErrorKind::WouldBlock => break,
                Ok(()) => {}
                // A part was not taken: the rest would not be what was meant.
                Err(_) if reads => break,
                Err(_) => thread::sleep(ms(20)),
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reading.join();
    }
}

fn play(kind: Flood) {
    let servers: Vec<SocketAddr> = (0..3)
        .map(|_| {
            server::start(|mut stream: TcpStream| {
                while server::read_request(&mut stream).is_some() {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            })
        })
        .collect();
    let program = program::start(&servers, LIMITS);
    let watch = MemoryWatch::start(program.child.id());
    let (stop, connections) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let (stopped, counter, address) = (stop.clone(), connections.clone(), program.address);
    let undisturbed = send_sound_requests(program.address, Instant::now() + FLOOD_TIME / 2);
    let flooding = thread::spawn(move || flood(kind, address, &stopped, &counter));
    thread::sleep(ms(300));
    let half_time = Instant::now() + FLOOD_TIME / 2;
    let first = send_sound_requests(program.address, half_time);
    let memory_at_half_time_kb = watch.current_kb();
    let second = send_sound_requests(program.address, half_time + FLOOD_TIME / 2);
    let highest_kb = watch.highest_kb();
    stop.store(true, Ordering::Relaxed);
    let _ = flooding.join();
    let slowest = first.slowest.max(second.slowest);
    let text = format!(
        "{kind:?}: {} connections, {highest_kb} kB at most, {memory_at_half_time_kb} kB half way, {undisturbed:?} before, {first:?}, {second:?}",
        connections.load(Ordering::Relaxed)
    );
    println!("{text}");
    assert!(first.failure.is_none() && second.failure.is_none(), "{text}");
    assert!(slowest < MAX_DELAY, "{text}");
    // Of two clients each is owed half of the program's time.
    assert!(first.served.min(second.served) * 2 >= undisturbed.served, "{text}");
    assert!(highest_kb < u64::from(LIMITS.memory_mb) * 1_000, "{text}");
    // Memory that grows with each request shows within seconds: many thousands are sent.
    let growth_kb = highest_kb.saturating_sub(memory_at_half_time_kb);
    assert!(growth_kb < 4_000, "{text}");
    let mut stream = connect(program.address);
    let _ = stream.write_all(head(Workload::Pay, &new_id(), TIMEOUT, "Content-Length: 0\r\n").as_bytes());
    assert_eq!(read_answer(&mut stream).map(|answer| answer.status), Ok(200), "{text}");
}

/// Guards against one client whose small or unsound requests hold up the answers of others, or take memory without end.
#[test]
fn one_client_at_full_speed_delays_nobody_and_takes_no_memory() {
    let _alone = crate::run_alone();
    for kinds in FLOODS.chunks(3) {
        thread::scope(|scope| {
            for kind in kinds {
                scope.spawn(move || play(*kind));
            }
        });
    }
}
