//! What the cases share: stand-ins for discovery, endpoints and clients, and the start of the program by the command of
//! the deploy file. Standard library only. Each case includes this file as a module and uses a part of it.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, Builder};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn ioctl(fd: i32, request: u64, value: *mut i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Whether the case is played with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn spawn(work: impl FnOnce() + Send + 'static) -> std::thread::JoinHandle<()> {
    Builder::new().stack_size(128 * 1024).spawn(work).expect("a thread")
}

/// The file `record.txt` of the case, with times in seconds since the case began.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn open(path: &str) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("the record"));
        Arc::new(Record { file, start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }

    /// Writes the last line, and prints it.
    pub fn verdict(&self, text: &str) {
        self.line(format!("verdict: {text}"));
        println!("{text}");
    }
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub status: &'static str,
}

impl Entry {
    pub fn json(&self) -> String {
        let Entry { name, address, status } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"z1","type":"m1","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// Discovery with a list that does not change: the whole list first, then an empty line every 2 s.
pub fn start_discovery(entries: Vec<Entry>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let entries = entries.clone();
            spawn(move || _ = serve_list(stream, &entries));
        }
    });
    address
}

fn serve_list(mut stream: TcpStream, entries: &[Entry]) -> Option<()> {
    read_head(&mut stream, &mut Vec::new())?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let mut line = list_json(1, true, entries);
    loop {
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).ok()?;
        line.clear();
        sleep(ms(2_000));
    }
}

/// A head and its headers, with names in lower case.
pub struct Head {
    pub start: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.start.get(9..12).and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; what came behind it stays in `buffer`.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    let mut piece = vec![0; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let start = lines.next()?.to_string();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string())).collect();
            return Some(Head { start, headers });
        }
        let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
        buffer.extend_from_slice(&piece[..count]);
    }
}

/// Reads and drops a body of this length, of which `buffer` may hold the beginning. False if it breaks off.
pub fn skip_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> bool {
    let mut left = length.saturating_sub(buffer.len());
    buffer.drain(..length.min(buffer.len()));
    let mut piece = vec![0; 64 * 1024];
    while left > 0 {
        let space = left.min(piece.len());
        match stream.read(&mut piece[..space]) {
            Ok(count) if count > 0 => left -= count,
            _ => return false,
        }
    }
    true
}

/// An endpoint, which answers each request after `work_time` with the request's id. While `hangs` is set it takes
/// connections and neither reads nor writes.
pub struct Endpoint {
    pub entry: Entry,
    pub hangs: Arc<AtomicBool>,
    pub served: Arc<AtomicU64>,
}

pub fn start_endpoint(name: &str, work_time: Duration, record: Arc<Record>) -> Endpoint {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (hangs, served): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
    let entry = Entry { name: name.into(), address, status: "active" };
    let (name, hang, count) = (name.to_string(), hangs.clone(), served.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, hang, count, record) = (name.clone(), hang.clone(), count.clone(), record.clone());
            spawn(move || _ = serve_endpoint(stream, &name, work_time, &hang, &count, &record));
        }
    });
    Endpoint { entry, hangs, served }
}

fn serve_endpoint(
    mut stream: TcpStream, name: &str, work_time: Duration, hangs: &AtomicBool, served: &AtomicU64,
    record: &Record,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let wait_while_hung = || {
        while hangs.load(Ordering::SeqCst) {
            sleep(ms(20));
        }
    };
    loop {
        wait_while_hung();
        let head = read_head(&mut stream, &mut buffer)?;
        wait_while_hung();
        let id = head.get("request-id").to_string();
        if !skip_body(&mut stream, &mut buffer, head.length()) {
            record.line(format!("{name}: request {id} came in part and broke off"));
            return None;
        }
        wait_while_hung();
        sleep(work_time);
        served.fetch_add(1, Ordering::SeqCst);
        record.line(format!("{name}: ran request {id}"));
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// The configuration of a sidecar before a small tier, with the figures of the site `knjiga-ljubljana`.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub entries: Vec<Entry>,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Config {
    pub fn json(&self) -> String {
        let Config { listen, discovery, entries, memory_mb, sockets } = self;
        let known = list_json(1, true, entries);
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},
"settings":{{"me":0,"balancers":2,"family":"chain","discovery":"on_request","stages":["portal"],"tier":0,"zone":0,"zones":["z1"],
"bounds":{{"cancel":true,"parallel_tries":true,"most_hops":4,"connect_timeout_s":0.2,"idle_close_s":60.0,"retry_after":true,"max_retry_after_s":2.0,"probes":true}},
"goal":{{"whole":0.45,"worst_class":0.4,"worst_tenant":0.0,"worst_window":0.15}},
"report":{{"columns":[],"source":"none"}},"tenants":[],
"rules":{{"answer_slack_s":0.02,"ask_within_s":10.0,"cold_from":0.32,"fall_multiple":3.0,"fall_s":1.5,"stop_sending_within_s":1.5,"warm_within_s":8.3}},
"workloads":[
{{"name":"ledger-view","semantics":"read_like","group":"all","memory_span_s":5.0,"quoted_time_s":2.0,"abandon_time_s":5.0,"payoff":1.0,"overdue_payoff":0.5,"stream":false}},
{{"name":"tax-filing","semantics":"idempotency_key","group":"cell","memory_span_s":10.0,"quoted_time_s":2.5,"abandon_time_s":6.0,"payoff":8.0,"overdue_payoff":0.25,"stream":false}}]}}}}"#
        )
    }
}

/// A loopback address that nobody has at the moment.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port")
}

/// The program, started by `run` of the deploy file. Killed when dropped.
pub struct Sidecar {
    pub child: Child,
    pub listen: SocketAddr,
    folder: PathBuf,
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
    line.split('"').nth(1).expect("a command").to_string()
}

impl Sidecar {
    /// Starts the program and waits until `GET /ready` says yes; ends the case with 2 if that takes over 30 s. The
    /// process may hold as many descriptors as its configuration says.
    pub fn start(config: &Config, log: &str) -> Sidecar {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos();
        let folder = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        let tmp = folder.join("tmp");
        fs::create_dir_all(&tmp).expect("a folder");
        let file = folder.join("config.json");
        fs::write(&file, config.json()).expect("the configuration");
        let log = File::create(log).expect("the log");
        let command = format!("ulimit -n {}; {}", config.sockets, run_command());
        let mut start = Command::new("/bin/sh");
        // Killed with this process, however that ends.
        let end_with_parent = || {
            const PR_SET_PDEATHSIG: i32 = 1;
            const SIGKILL: u64 = 9;
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
            Ok(())
        };
        unsafe { start.pre_exec(end_with_parent) };
        let child = start
            .args(["-c", &command])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", config.listen.to_string())
            .env("RELAY_DISCOVERY", config.discovery.to_string())
            .env("RELAY_CONFIG", &file)
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program");
        let mut sidecar = Sidecar { child, listen: config.listen, folder };
        let began = Instant::now();
        while !sidecar.is_ready() {
            if began.elapsed() > ms(30_000) || sidecar.child.try_wait().ok().flatten().is_some() {
                println!("the sidecar did not get ready");
                drop(sidecar);
                exit(COULD_NOT_RUN);
            }
            sleep(ms(50));
        }
        sidecar
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
        let _ = stream.set_read_timeout(Some(ms(1_000)));
        let asked = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
        asked.is_ok() && read_head(&mut stream, &mut Vec::new()).is_some_and(|head| head.status() == 200)
    }

    pub fn signal(&self, number: i32) {
        unsafe { kill(self.child.id() as i32, number) };
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The memory that is the process's alone, in kB, and its open descriptors.
    pub fn usage(&self) -> Option<(u64, usize)> {
        let pid = self.child.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let memory = line.split_whitespace().next()?.parse().ok()?;
        Some((memory, fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count()))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The head of a request as the platform's clients send it.
pub fn request_head(class: &str, id: &str, timeout_ms: u64, body: Option<usize>) -> String {
    let method = if body.is_some() { "POST" } else { "GET" };
    let body = body.map_or(String::new(), |length| {
        format!("Idempotency-Key: 5c0f6e1a2b3d4c59{id}\r\nContent-Length: {length}\r\n")
    });
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{body}\r\n"
    )
}

/// How many bytes the peer's machine has not acknowledged yet.
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    const SIOCOUTQ: u64 = 0x5411;
    let mut value = -1;
    unsafe { ioctl(stream.as_raw_fd(), SIOCOUTQ, &mut value) };
    value
}

/// Clients of a crowd: each sends the head and one half of the body of one request, stops there and stays until it gets
/// an answer or a close. Each comes once. They live in processes of their own, so that none holds too many descriptors.
pub struct Crowd(Vec<Child>);

const CROWD_PROCESSES: usize = 4;
const CROWD_THREADS: usize = 5;

impl Crowd {
    pub fn start(address: SocketAddr, clients: usize, body: usize) -> Crowd {
        let program = std::env::current_exe().expect("this program");
        let start = |number: usize| {
            let numbers = [number, clients, body].map(|number| number.to_string());
            let mut command = Command::new(&program);
            command.args(["crowd", &address.to_string()]).args(numbers);
            command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("a crowd")
        };
        Crowd((0..CROWD_PROCESSES).map(start).collect())
    }

    /// Ends the crowd. Returns how its clients' requests ended so far: by status, close or reset.
    pub fn end(mut self) -> String {
        let ends = self.0.iter_mut().map(|child| {
            drop(child.stdin.take());
            let mut text = String::new();
            let _ = child.stdout.take().map(|mut output| output.read_to_string(&mut text));
            let _ = child.wait();
            text.trim().to_string()
        });
        ends.collect::<Vec<_>>().join(" ")
    }
}

/// Plays one process of a crowd if the arguments say so, until its standard input ends, as it also does when the process
/// that started it has ended.
pub fn play_crowd_if_told() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [mode, address, number, clients, body] = &arguments[..] else { return };
    if mode != "crowd" {
        return;
    }
    let address: SocketAddr = address.parse().expect("an address");
    let [number, clients, body] = [number, clients, body].map(|text| text.parse::<usize>().expect("a number"));
    let ends: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    for thread in 0..CROWD_THREADS {
        let ends = ends.clone();
        let first = number * CROWD_THREADS + thread;
        spawn(move || play_clients(address, (first..clients).step_by(CROWD_PROCESSES * CROWD_THREADS), body, &ends));
    }
    let _ = std::io::stdin().read_to_string(&mut String::new());
    println!("{:?}", ends.lock().unwrap());
    exit(0);
}

fn play_clients(
    address: SocketAddr, clients: impl Iterator<Item = usize>, body: usize, ends: &Mutex<HashMap<String, usize>>,
) {
    let mut open = Vec::new();
    for client in clients {
        let id = format!("c0{client:08x}");
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_write_timeout(Some(ms(500)));
        let mut bytes = request_head("tax-filing", &id, 5_000, Some(body)).into_bytes();
        bytes.resize(bytes.len() + body / 2, b'x');
        let _ = stream.write_all(&bytes);
        let _ = stream.set_nonblocking(true);
        open.push(stream);
    }
    while !open.is_empty() {
        open.retain_mut(|stream| {
            let mut answer = [0; 64];
            let end = match stream.read(&mut answer) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return true,
                Err(_) => "reset".to_string(),
                Ok(0) => "close".to_string(),
                Ok(count) => String::from_utf8_lossy(&answer[9..12.min(count).max(9)]).to_string(),
            };
            *ends.lock().unwrap().entry(end).or_default() += 1;
            let _ = stream.shutdown(Shutdown::Both);
            false
        });
        sleep(ms(10));
    }
}
