//! Stand-ins shared by the cases 6 to 10: discovery, servers, clients, and the start and end of a sidecar. They use
//! the standard library alone, loopback addresses, and ports that the system chooses.
#![allow(dead_code)]
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
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

/// Ends the case without a verdict.
pub fn could_not_run(why: &str) -> ! {
    println!("could not run: {why}");
    end(2)
}

/// Ends the case with this exit code, and all processes that it started.
pub fn end(code: i32) -> ! {
    for process in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
    }
    FOLDERS.lock().unwrap().iter().for_each(|folder| _ = fs::remove_dir_all(folder));
    std::process::exit(code)
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
    let text =
        fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| could_not_run(&error.to_string()));
    let value =
        text.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
    value.map(str::to_string).unwrap_or_else(|| could_not_run("deploy/balancer.toml has no run"))
}

impl Sidecar {
    /// Starts a sidecar. `config` is the text of its file, which names the same addresses.
    pub fn start(
        folder: &Folder, name: &str, listen: SocketAddr, discovery: SocketAddr, config: &str,
    ) -> Sidecar {
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

/// The version of the list with which discovery starts.
const FIRST_INDEX: u64 = 100;

/// A stand-in for discovery that behaves as the protocol page says; its list does not change.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, entries: &[Entry]) -> Discovery {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let (record, entries) = (record.clone(), entries.to_vec());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, entries) = (record.clone(), entries.clone());
                spawn(move || serve_watch(stream, &record, &entries));
            }
        });
        Discovery { address }
    }
}

/// Sends what changed since the version that the caller knows, or the whole list, and an empty line every 2 s.
fn serve_watch(mut stream: TcpStream, record: &Record, entries: &[Entry]) {
    let _ = stream.set_nodelay(true);
    let Some(request) = read_request(&mut stream, &mut Vec::new()) else { return };
    record.line(&format!("discovery: {}", request.target));
    let known = request.target.split("index=").nth(1).and_then(|text| text.parse::<u64>().ok());
    let up_to_date = known == Some(FIRST_INDEX);
    let mut line = list_json(FIRST_INDEX, !up_to_date, if up_to_date { &[] } else { entries });
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut written = stream.write_all(head.as_bytes());
    while written.is_ok() {
        written = stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
        line.clear();
        sleep(ms(2_000));
    }
}

// ---- a small deployment ----

/// What differs between the sidecars of the cases.
pub struct Setup<'a> {
    pub name: &'a str,
    pub seed: &'a str,
    /// The sidecar's own zone, 0 or 1; all servers stand in zone 0.
    pub zone: usize,
    /// The list `settings.workloads`, as JSON.
    pub workloads: &'a str,
}

impl<'a> Setup<'a> {
    /// One sidecar in its servers' zone.
    pub fn with_workloads(workloads: &'a str) -> Setup<'a> {
        Setup { name: "n0", seed: "8c1f30d27a5be964", zone: 0, workloads }
    }
}

/// Starts discovery, which lists these servers, and a sidecar before them; waits until that is ready.
pub fn start_deployment(
    record: &Arc<Record>, folder: &Folder, servers: &[SocketAddr], setup: &Setup,
) -> Sidecar {
    let entry = |(index, address): (usize, &SocketAddr)| Entry {
        name: format!("s-{index}"),
        address: *address,
        group: 0,
        status: "active",
        since_ms: 0,
    };
    let entries: Vec<Entry> = servers.iter().enumerate().map(entry).collect();
    let (discovery, listen) = (Discovery::start(record, &entries), free_address());
    let (Setup { name, seed, zone, workloads }, known) = (setup, list_json(FIRST_INDEX, true, &entries));
    let config = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
        "settings":{{"me":0,"balancers":1,
        "bounds":{{"cancel":true,"parallel_tries":true,"most_hops":4,"connect_timeout_s":0.2,"idle_close_s":60.0,
        "retry_after":true,"max_retry_after_s":2.0}},"discovery":"on_request",
        "rules":{{"answer_slack_s":0.02,"ask_within_s":10.0,"cold_from":0.3,"fall_multiple":3.0,"fall_s":1.5,
        "stop_sending_within_s":1.5,"warm_within_s":8.3}},
        "stages":["portal"],"tier":0,"zone":{zone},"zones":["a","b"],"workloads":{workloads}}}}}"#,
        discovery = discovery.address
    );
    let mut sidecar = Sidecar::start(folder, name, listen, discovery.address, &config);
    sidecar.wait_ready(ms(10_000));
    record.line(&format!("sidecar {name} is ready"));
    sidecar
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
    let Some(status) = head.get(9..12).and_then(|text| text.parse().ok()) else {
        return missing("no status");
    };
    let stays = !header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    if header(&head, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let Some(line) = read_line(stream, rest) else {
                return Answer::Missing(format!(
                    "the connection ended after {} bytes of the body",
                    body.len()
                ));
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
    format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        .into_bytes()
}

/// A flag that threads share.
pub fn flag(value: bool) -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(value))
}
