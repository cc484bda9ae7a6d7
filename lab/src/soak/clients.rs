//! Clients, well-behaved and otherwise, each of which writes down how its requests ended.
use super::records::{Class, Ending, ProcessId, Records, Request};
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

/// How much longer than it said a client waits, to see what comes late.
const WAITS_ON: f64 = 0.9;
/// How long a connection may take to come up.
const CONNECTS: Duration = Duration::from_millis(500);
/// How long a client rests between two requests, in milliseconds.
const RESTS_MS: std::ops::Range<u64> = 30..160;
/// How long a client waits for its answer, in milliseconds.
const PATIENCE_MS: std::ops::Range<u64> = 350..900;
/// How long a request that was sent in part is held open.
const HALF_WAY: Duration = Duration::from_millis(3_400);

/// How a client behaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Habit {
    /// One request after another, each waited for.
    Steady,
    /// It leaves while it waits.
    Leaves,
    /// It sends half a request and stays.
    StopsHalfWay,
    /// It sends several requests at once.
    Pipelines,
    /// It writes and reads a byte at a time.
    Drips,
    /// It asks again at once.
    Retries,
}

/// Whom a client asks, and where it writes down what came of it.
#[derive(Clone)]
pub struct Client {
    /// Which process that is.
    pub process: ProcessId,
    /// Where it listens.
    pub to: SocketAddr,
    /// Where all is written down.
    pub records: Arc<Records>,
}

type Connection = BufReader<TcpStream>;

/// One request, before it is sent.
struct Asked {
    id: String,
    class: Class,
    patience_ms: u64,
    text: String,
}

static IDS: AtomicU64 = AtomicU64::new(0);

fn ask(process: ProcessId, chance: &mut WyRand) -> Asked {
    let number = IDS.fetch_add(1, Ordering::Relaxed);
    let class = match chance.generate_range(0..10_u8) {
        0..=4 => Class::View,
        5..=6 => Class::Save,
        _ => Class::Pay,
    };
    let id = format!("g{}p{}-{number}", process.group, process.number);
    let patience_ms = chance.generate_range(PATIENCE_MS);
    let (method, rest) = match class {
        Class::View => ("GET", String::new()),
        Class::Save => ("POST", format!("Idempotency-Key: k{number}\r\nContent-Length: 0\r\n")),
        Class::Pay => ("POST", "Content-Length: 0\r\n".to_string()),
    };
    let text = format!(
        "{method} /{} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: {patience_ms}\r\n{rest}\r\n",
        class.name()
    );
    Asked { id, class, patience_ms, text }
}

fn dial(to: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&to, CONNECTS).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(2))).ok()?;
    Some(BufReader::new(stream))
}

/// Reads one answer: its status, its body, and whether the connection lasts.
fn answer(connection: &mut Connection) -> std::io::Result<Option<(u16, String, bool)>> {
    let mut first = [0];
    // Told apart from an end in the middle of an answer, which is no end of a request that waits.
    match connection.read(&mut first) {
        Ok(0) => return Ok(None),
        Ok(_) => {}
        Err(error) => return Err(error),
    }
    let head = read_head_and_keep(connection, first[0]);
    let Some((head, body)) = head else { return Ok(None) };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Ok(Some((status, body, header(&head, "Connection") != Some("close"))))
}

fn read_head_and_keep(connection: &mut Connection, first: u8) -> Option<(String, String)> {
    let mut head = vec![first];
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        connection.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    connection.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).ok()?))
}

impl Client {
    /// Behaves so until it is told to end.
    pub fn run(&self, habit: Habit, seed: u64, ends: &AtomicBool) {
        let mut chance = WyRand::new_seed(seed);
        let mut connection: Option<Connection> = None;
        while !ends.load(Ordering::Relaxed) {
            let reused = connection.is_some();
            let Some(stream) = connection.take().or_else(|| dial(self.to)) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            connection = match habit {
                Habit::Steady | Habit::Retries => self.exchange(stream, reused, &mut chance),
                Habit::Drips => self.drip(stream, reused, &mut chance),
                Habit::Pipelines => self.pipeline(stream, &mut chance),
                Habit::Leaves => self.leave(stream, &mut chance),
                Habit::StopsHalfWay => self.stop_half_way(stream, &mut chance, ends),
            };
            if habit != Habit::Retries {
                thread::sleep(Duration::from_millis(chance.generate_range(RESTS_MS)));
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// One request and its answer. The connection, where it may be used again.
    fn exchange(&self, mut stream: Connection, reused: bool, chance: &mut WyRand) -> Option<Connection> {
        let asked = ask(self.process, chance);
        if stream.get_mut().write_all(asked.text.as_bytes()).is_err() {
            return None;
        }
        let sent = self.records.now();
        self.wait(stream, asked, sent, reused)
    }

    /// Waits for the answer to a request that was sent.
    fn wait(&self, mut stream: Connection, asked: Asked, sent: f64, reused: bool) -> Option<Connection> {
        let patience = asked.patience_ms as f64 / 1_000.0;
        let left = (sent + patience + WAITS_ON - self.records.now()).max(0.01);
        let _ = stream.get_ref().set_read_timeout(Some(Duration::from_secs_f64(left)));
        let (ending, lasts) = match answer(&mut stream) {
            Ok(Some((status, body, lasts))) => {
                (Ending::Answered { status, own: status != 200 || body == asked.id }, lasts)
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                (Ending::Nothing, false)
            }
            Ok(None) | Err(_) => (Ending::Closed, false),
        };
        self.write_down(&asked, Some(sent), reused, ending);
        lasts.then_some(stream)
    }

    /// The same, a byte at a time either way.
    fn drip(&self, mut stream: Connection, reused: bool, chance: &mut WyRand) -> Option<Connection> {
        let asked = ask(self.process, chance);
        for byte in asked.text.bytes() {
            stream.get_mut().write_all(&[byte]).ok()?;
            if chance.generate_range(0..8_u8) == 0 {
                thread::sleep(Duration::from_millis(1));
            }
        }
        let sent = self.records.now();
        self.wait(stream, asked, sent, reused)
    }

    /// Three requests at once; only the first has its whole time.
    fn pipeline(&self, mut stream: Connection, chance: &mut WyRand) -> Option<Connection> {
        let asked = ask(self.process, chance);
        let behind = [ask(self.process, chance), ask(self.process, chance)];
        let text: String = [&asked, &behind[0], &behind[1]].iter().map(|asked| asked.text.as_str()).collect();
        stream.get_mut().write_all(text.as_bytes()).ok()?;
        let sent = self.records.now();
        // What is behind is answered or not: to send ahead is the client's own risk.
        let mut stream = self.wait(stream, asked, sent, false)?;
        for _ in behind {
            let _ = stream.get_ref().set_read_timeout(Some(Duration::from_secs(2)));
            answer(&mut stream).ok()??;
        }
        None
    }

    /// Leaves at some moment, by an end or a reset.
    fn leave(&self, mut stream: Connection, chance: &mut WyRand) -> Option<Connection> {
        let asked = ask(self.process, chance);
        stream.get_mut().write_all(asked.text.as_bytes()).ok()?;
        let sent = self.records.now();
        thread::sleep(Duration::from_micros(chance.generate_range(0..40_000)));
        let resets = chance.generate_range(0..2_u8) == 0;
        // The moment before the close: what comes later is later than the close, too.
        self.write_down(&asked, Some(sent), true, Ending::Left);
        if resets {
            reset(stream.get_ref());
        }
        None
    }

    /// Half a request, and silence.
    fn stop_half_way(
        &self, mut stream: Connection, chance: &mut WyRand, ends: &AtomicBool,
    ) -> Option<Connection> {
        let asked = ask(self.process, chance);
        let part = chance.generate_range(1..asked.text.len());
        stream.get_mut().write_all(&asked.text.as_bytes()[..part]).ok()?;
        let _ = stream.get_ref().set_read_timeout(Some(Duration::from_millis(100)));
        let begun = Instant::now();
        while begun.elapsed() < HALF_WAY && !ends.load(Ordering::Relaxed) {
            match read_head(&mut stream) {
                Some(_) => return None,
                None => thread::sleep(Duration::from_millis(20)),
            }
        }
        None
    }

    fn write_down(&self, asked: &Asked, sent: Option<f64>, reused: bool, ending: Ending) {
        lock(&self.records.requests).push(Request {
            process: self.process,
            id: asked.id.clone(),
            class: asked.class,
            sent,
            patience: asked.patience_ms as f64 / 1_000.0,
            reused,
            ended: self.records.now(),
            ending,
        });
    }
}

/// Clients that run until they are told to end.
#[derive(Default)]
pub struct Running {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Running {
    /// One more.
    pub fn add(&mut self, client: Client, habit: Habit, seed: u64) {
        let ends = self.ends.clone();
        let thread = thread::Builder::new().stack_size(256 * 1024);
        self.threads.extend(thread.spawn(move || client.run(habit, seed, &ends)).ok());
    }

    /// Tells them to end, and waits until they have.
    pub fn stop(self) {
        self.ends.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| _ = thread.join());
    }
}

/// So many connections that say nothing, held for that long.
pub fn flood(to: SocketAddr, count: usize, length: Duration) {
    let held: Vec<TcpStream> =
        (0..count).filter_map(|_| TcpStream::connect_timeout(&to, CONNECTS).ok()).collect();
    thread::sleep(length);
    drop(held);
}
