//! Stand-ins shared by the cases 6 to 10: discovery, servers, clients, and the start and end of a sidecar. They use
//! the standard library alone, loopback addresses, and ports that the system chooses.
#![allow(dead_code)]
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of what was sent, answered and run: `record.txt` in the folder of the case.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn create() -> Arc<Record> {
        let path = std::env::args().nth(1).unwrap_or_else(|| could_not_run("no path of the record is given"));
        let file = File::create(&path).unwrap_or_else(|error| could_not_run(&format!("{path}: {error}")));
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    /// Writes one line, with the seconds since the start of the case.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.4} {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// The processes and folders of this case that are still there.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends the case without a verdict, and all processes that it started.
pub fn could_not_run(why: &str) -> ! {
    println!("could not run: {why}");
    for process in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
    FOLDERS.lock().unwrap().iter().for_each(|folder| _ = fs::remove_dir_all(folder));
    std::process::exit(2)
}

/// A folder of this case alone, removed when the case ends.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let path = std::env::temp_dir().join(format!("oakhollow-case-{}-{unique}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| could_not_run(&error.to_string()));
        FOLDERS.lock().unwrap().push(path.clone());
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that is free at the moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
    listener.local_addr().unwrap()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- the sidecar ----

/// A sidecar in a process of its own, started by the command `run` of the deploy file.
pub struct Sidecar {
    child: Child,
    pub listen: SocketAddr,
    log: PathBuf,
}

/// The command `run` of deploy/balancer.toml.
fn run_command() -> String {
    let text = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| could_not_run(&error.to_string()));
    let value = text.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
    value.map(str::to_string).unwrap_or_else(|| could_not_run("deploy/balancer.toml has no run"))
}

impl Sidecar {
    /// Starts a sidecar. `config` is the text of its file, which names the same addresses.
    pub fn start(folder: &Folder, name: &str, listen: SocketAddr, discovery: SocketAddr, config: &str) -> Sidecar {
        let own = folder.0.join(format!("{name}-{}", free_address().port()));
        let temporary = own.join("tmp");
        fs::create_dir_all(&temporary).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let (file, log) = (own.join("config.json"), own.join("log"));
        fs::write(&file, config).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let log_file = File::create(&log).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &file)
            .env("TMPDIR", &temporary)
            .env_remove("RELAY_PASSED_SOCKET")
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().unwrap())
            .stderr(log_file)
            .spawn();
        let child = child.unwrap_or_else(|error| could_not_run(&format!("the sidecar: {error}")));
        RUNNING.lock().unwrap().push(child.id());
        Sidecar { child, listen, log }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `GET /ready` answers 200.
    pub fn wait_ready(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                could_not_run(&format!("the sidecar ended: {status}: {}", self.log_text()));
            }
            if get_ready(self.listen) {
                return;
            }
            sleep(ms(20));
        }
        could_not_run(&format!("the sidecar was not ready in time: {}", self.log_text()))
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends it a signal by its name, such as TERM.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.pid())]).status();
        if !sent.is_ok_and(|status| status.success()) {
            could_not_run(&format!("no signal {name} could be sent"));
        }
    }

    /// Whether it has ended, and with what status.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let process = self.child.id();
        RUNNING.lock().unwrap().retain(|other| *other != process);
    }
}

fn get_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(ms(1_000)));
    let sent = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: case\r\nConnection: close\r\n\r\n").is_ok();
    let mut answer = [0; 12];
    sent && stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

// ---- discovery ----

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        let Entry { name, address, group, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"std","group":{group},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

/// A line of the watch, or the list that a sidecar had last (`known`).
pub fn list_json(index: u64, snapshot: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

/// How discovery treats a call: it gets the number of the call, from 0, and waits or keeps it as long as it likes.
/// False ends the call without an answer.
pub type CallPolicy = Box<dyn Fn(u64) -> bool + Send + Sync>;

struct DiscoveryState {
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// Each change and the index to which it led.
    changes: Vec<(u64, Entry)>,
}

/// A stand-in for discovery that behaves as the protocol page says.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    /// When each call's first line was written.
    pub first_lines: Arc<Mutex<Vec<Instant>>>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, entries: &[Entry], policy: CallPolicy) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let entries: BTreeMap<String, Entry> =
            entries.iter().map(|entry| (entry.name.clone(), entry.clone())).collect();
        let state = Arc::new((Mutex::new(DiscoveryState { index: 100, entries, changes: Vec::new() }), Condvar::new()));
        let (policy, calls) = (Arc::new(policy), Arc::new(AtomicU64::new(0)));
        let first_lines = Arc::new(Mutex::new(Vec::new()));
        let (shared, record, lines) = (state.clone(), record.clone(), first_lines.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, policy, calls, record, lines) =
                    (shared.clone(), policy.clone(), calls.clone(), record.clone(), lines.clone());
                spawn(move || serve_watch(stream, &state, &policy, &calls, &record, &lines));
            }
        });
        Discovery { address, state, first_lines }
    }

    pub fn index(&self) -> u64 {
        self.state.0.lock().unwrap().index
    }

    /// Changes an entry; open watches are told at once.
    pub fn change(&self, entry: Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        if entry.status == "left" {
            state.entries.remove(&entry.name);
        } else {
            state.entries.insert(entry.name.clone(), entry.clone());
        }
        state.changes.push((index, entry));
        self.state.1.notify_all();
    }
}

fn serve_watch(
    mut stream: TcpStream, state: &(Mutex<DiscoveryState>, Condvar), policy: &CallPolicy, calls: &AtomicU64,
    record: &Record, first_lines: &Mutex<Vec<Instant>>,
) {
    let _ = stream.set_nodelay(true);
    let Some(request) = read_request(&mut stream, &mut Vec::new()) else { return };
    let number = calls.fetch_add(1, Ordering::Relaxed);
    record.line(&format!("discovery: call {number}: {}", request.target));
    if !policy(number) {
        return record.line(&format!("discovery: call {number} ends without an answer"));
    }
    let known = request.target.split("index=").nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n").is_err()
    {
        return;
    }
    let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let mut told = 0;
    loop {
        let line = {
            let mut guard = state.0.lock().unwrap();
            if told > 0 && guard.index == told {
                guard = state.1.wait_timeout(guard, ms(2_000)).unwrap().0;
            }
            let from = if told == 0 { known } else { told };
            let whole = told == 0 && (known < 100 || known > guard.index);
            let line = if whole {
                let entries: Vec<Entry> = guard.entries.values().cloned().collect();
                list_json(guard.index, true, &entries)
            } else {
                let changed: Vec<Entry> =
                    guard.changes.iter().filter(|(index, _)| *index > from).map(|(_, entry)| entry.clone()).collect();
                if changed.is_empty() && told > 0 { String::new() } else { list_json(guard.index, false, &changed) }
            };
            told = guard.index;
            line
        };
        if stream.write_all(chunk(&line).as_bytes()).is_err() {
            return;
        }
        if !line.is_empty() {
            record.line(&format!("discovery: call {number} is told {line}"));
            first_lines.lock().unwrap().push(Instant::now());
        }
    }
}

// ---- messages ----

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub id: String,
    pub key: String,
    pub body: Vec<u8>,
}

/// Reads one request; `rest` holds the bytes behind it.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, rest)?;
    let mut words = head.lines().next()?.split(' ');
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        read_some(stream, rest)?;
    }
    let body = rest.drain(..length).collect();
    let (id, key) = (header(&head, "request-id"), header(&head, "idempotency-key"));
    Some(Request { method, target, id: id.unwrap_or_default(), key: key.unwrap_or_default(), body })
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}

fn read_some(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<()> {
    let mut buffer = [0; 16 * 1024];
    let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
    rest.extend_from_slice(&buffer[..count]);
    Some(())
}

fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head: Vec<u8> = rest.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        read_some(stream, rest)?;
    }
}

/// What a client got.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole answer with this status, and whether its connection stays open.
    Whole(u16, Vec<u8>, bool),
    /// The connection ended, failed or fell silent before the answer was whole. The text says how, with the number of
    /// bytes of the body that came.
    Missing(String),
}

/// Reads one answer.
pub fn read_answer(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Answer {
    let missing = |text: &str| Answer::Missing(text.to_string());
    let Some(head) = read_head(stream, rest) else { return missing("no head came") };
    let Some(status) = head.get(9..12).and_then(|text| text.parse().ok()) else { return missing("no status") };
    let stays = !header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if header(&head, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let Some(line) = read_line(stream, rest) else {
                return Answer::Missing(format!("the connection ended after {} bytes of the body", body.len()));
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else { return missing("a chunk without a size") };
            if size == 0 {
                while read_line(stream, rest).is_some_and(|line| !line.is_empty()) {}
                return Answer::Whole(status, body, stays);
            }
            while rest.len() < size + 2 {
                if read_some(stream, rest).is_none() {
                    let came = body.len() + rest.len().min(size);
                    return Answer::Missing(format!("the connection ended after {came} bytes of the body"));
                }
            }
            body.extend(rest.drain(..size));
            rest.drain(..2);
        }
    }
    let length: usize = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        if read_some(stream, rest).is_none() {
            return Answer::Missing(format!("the connection ended after {} of {length} bytes", rest.len()));
        }
    }
    Answer::Whole(status, rest.drain(..length).collect(), stays)
}

fn read_line(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
            let line: Vec<u8> = rest.drain(..end + 2).collect();
            return String::from_utf8(line[..end].to_vec()).ok();
        }
        read_some(stream, rest)?;
    }
}

// ---- servers ----

/// Starts a server. `serve` handles one connection and returns when that is to be closed.
pub fn start_server(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
    let (address, serve) = (listener.local_addr().unwrap(), Arc::new(serve));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            spawn(move || serve(stream));
        }
    });
    address
}

/// The usual small answer of a server.
pub fn sized_answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A flag that threads share.
pub fn flag(value: bool) -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(value))
}
