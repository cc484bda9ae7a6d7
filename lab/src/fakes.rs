//! Fakes for scenes: servers that record each attempt, discoveries that serve a list, and clients with a constant
//! load. Also plain HTTP/1.1 helpers that the other tests use.
use crate::checker::{Attempt, ResponseSeen};
use crate::scene::ListChange;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What the fake servers and clients record.
#[derive(Default)]
pub struct Observations {
    /// Attempts that servers received.
    pub attempts: Mutex<Vec<Attempt>>,
    /// How the clients' requests ended.
    pub responses: Mutex<Vec<ResponseSeen>>,
    /// How many requests went out more than 0.1 s later than they were due.
    pub late_requests: Mutex<usize>,
}

/// The longest head that is read, in bytes.
const MAX_HEAD_BYTES: u64 = 16 * 1024;

/// Reads one message and returns its head; the body is dropped.
pub fn read_head(stream: &mut impl BufRead) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let remaining = MAX_HEAD_BYTES - head.len() as u64;
        // 0 at the end of the stream, or once the head has its full length.
        if stream.by_ref().take(remaining).read_until(b'\n', &mut head).ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8(head).ok()?;
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

/// Answers 503, as a service that is down or overloaded.
pub fn reject(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()
}

/// The value of a header field, if the head has it.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Opens a client connection, with a read timeout of 2 s.
pub fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request; returns the status of the answer, and whether the connection stays open.
pub fn send_request(stream: &mut BufReader<TcpStream>, request: &str) -> Option<(u16, bool)> {
    stream.get_mut().write_all(request.as_bytes()).ok()?;
    let head = read_head(stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, header(&head, "Connection") != Some("close")))
}

/// Accepts connections on a thread of its own and runs `work` on a thread for each.
pub fn serve_connections(listener: TcpListener, work: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let work = work.clone();
            thread::spawn(move || work(stream));
        }
    });
}

/// Starts a server that answers at once: 500 to a workload whose name begins with `fails`, 200 to others.
pub fn start_server(
    number: usize, start_time: Instant, observations: Arc<Observations>,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve_connections(listener, move |stream| {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream) {
            let received_at = start_time.elapsed().as_secs_f64();
            let workload = head.split(' ').nth(1).unwrap_or_default().trim_start_matches('/').to_string();
            let id = header(&head, "Request-Id").unwrap_or_default().to_string();
            let sidecar = id.split('-').next().and_then(|sidecar| sidecar.parse().ok()).unwrap_or(usize::MAX);
            let answer: &[u8] = match workload.starts_with("fails") {
                true => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                false => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            let attempt = Attempt { received_at, sidecar, server: number, workload, id };
            observations.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
            if stream.get_mut().write_all(answer).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

/// A server in the list of a discovery.
struct ListedServer {
    name: String,
    address: SocketAddr,
    leaving: bool,
    since_ms: u64,
}

impl ListedServer {
    fn json(&self) -> String {
        endpoint_json(
            &self.name,
            self.address,
            if self.leaving { "leaving" } else { "active" },
            self.since_ms,
        )
    }
}

/// One server as JSON, as the list of a discovery has it.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

#[derive(Default)]
struct ServerList {
    entries: Vec<ListedServer>,
    index: u64,
    /// The lines of all changes since the discovery started.
    lines: Vec<String>,
    down: bool,
    /// How often the discovery has gone down, come back or restarted; a watch of an earlier incarnation ends.
    incarnation: u64,
}

impl ServerList {
    fn initial(servers: &[SocketAddr]) -> ServerList {
        let servers = servers.iter().enumerate().map(|(number, address)| ListedServer {
            name: format!("s{number}"),
            address: *address,
            leaving: false,
            since_ms: 0,
        });
        ServerList { entries: servers.collect(), index: 1, ..ServerList::default() }
    }

    fn snapshot_json(&self) -> String {
        let entries: Vec<String> = self.entries.iter().map(ListedServer::json).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index, entries.join(","))
    }

    fn announce(&mut self, change: ListChange, server: usize, address: SocketAddr) {
        let name = format!("s{server}");
        self.index += 1;
        if change == ListChange::Removed {
            self.entries.retain(|entry| entry.name != name);
            let snapshot_json = self.snapshot_json();
            return self.lines.push(snapshot_json);
        }
        let index = self.entries.iter().position(|entry| entry.name == name).unwrap_or_else(|| {
            self.entries.push(ListedServer { name, address, leaving: false, since_ms: 0 });
            self.entries.len() - 1
        });
        let entry = &mut self.entries[index];
        entry.leaving = change == ListChange::Draining;
        if change == ListChange::Restarted {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            entry.since_ms = unix.as_millis() as u64;
        }
        let json = entry.json();
        let line = format!(r#"{{"index":{},"snapshot":false,"endpoints":[{json}]}}"#, self.index);
        self.lines.push(line);
    }
}

/// The full list that every discovery begins with.
pub fn initial_list(servers: &[SocketAddr]) -> String {
    ServerList::initial(servers).snapshot_json()
}

/// The discovery of one instance. It sends the changes that a scene orders, and an empty line after every second of
/// silence.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<WatchedList>,
}

/// A list, and the signal to its watches that it has changed.
type WatchedList = (Mutex<ServerList>, Condvar);

/// After how long without a change a watch gets an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

impl Discovery {
    /// Starts a discovery that lists these servers.
    pub fn start(servers: &[SocketAddr]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = ServerList::initial(servers);
        let (address, list) = (listener.local_addr()?, Arc::new((Mutex::new(list), Condvar::new())));
        let discovery = Discovery { address, list: list.clone() };
        serve_connections(listener, move |stream| _ = watch(stream, &list));
        Ok(discovery)
    }

    fn change(&self, change: impl FnOnce(&mut ServerList)) {
        let (list, changed) = &*self.list;
        change(&mut list.lock().unwrap_or_else(PoisonError::into_inner));
        changed.notify_all();
    }

    /// Changes one server in the list and sends the change.
    pub fn announce(&self, change: ListChange, server: usize, address: SocketAddr) {
        self.change(|list| list.announce(change, server, address));
    }

    /// Goes down or comes back; all watches end.
    pub fn set_down(&self, down: bool) {
        self.change(|list| (list.down, list.incarnation) = (down, list.incarnation + 1));
    }

    /// Simulates a restart: all watches end, and the versions of the list count from 1 again.
    pub fn restart(&self) {
        self.change(|list| {
            (list.index, list.incarnation) = (1, list.incarnation + 1);
            list.lines.clear();
        });
    }
}

fn watch(stream: TcpStream, (list, changed): &WatchedList) -> Option<()> {
    let lock = || list.lock().unwrap_or_else(PoisonError::into_inner);
    let mut stream = BufReader::new(stream);
    read_head(&mut stream)?;
    let (incarnation, mut sent, initial) = {
        let list = lock();
        if list.down {
            return None;
        }
        (list.incarnation, list.lines.len(), list.snapshot_json())
    };
    let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut stream = stream.into_inner();
    stream.write_all(format!("{head}{}", chunk(&initial)).as_bytes()).ok()?;
    loop {
        let unchanged = |list: &mut ServerList| list.incarnation == incarnation && list.lines.len() == sent;
        let (list, _) = changed
            .wait_timeout_while(lock(), HEARTBEAT_INTERVAL, unchanged)
            .unwrap_or_else(PoisonError::into_inner);
        if list.incarnation != incarnation {
            return None;
        }
        let new_lines: String = list.lines[sent..].iter().map(|new| chunk(new)).collect();
        sent = list.lines.len();
        drop(list);
        let text = if new_lines.is_empty() { chunk("") } else { new_lines };
        stream.write_all(text.as_bytes()).ok()?;
    }
}

/// Sends requests of one workload to one sidecar at a constant rate until the end, which may change meanwhile.
/// Lateness is counted from when a request was due.
pub fn run_client(
    address: SocketAddr, (sidecar, workload): (usize, &str), rate: f64, start_time: Instant,
    end: impl Fn() -> f64, observations: &Observations,
) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    for number in 0.. {
        let due = number as f64 / rate;
        if due >= end() {
            return;
        }
        let now = start_time.elapsed().as_secs_f64();
        if due > now {
            thread::sleep(Duration::from_secs_f64(due - now));
        } else if now > due + 0.1 {
            *observations.late_requests.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            // Open loop: requests that are over a second late are skipped instead of sent in a burst.
            if now > due + 1.0 {
                continue;
            }
        }
        // A retry by this client gets another id, so that only the sidecar can repeat an id.
        let send = |stream: &mut BufReader<TcpStream>, id_suffix: &str| {
            let text = format!("GET /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {sidecar}-{workload}-{number}{id_suffix}\r\nRequest-Timeout-Ms: 900\r\n\r\n");
            send_request(stream, &text)
        };
        // The sidecar may have closed the idle connection; a failure within 0.05 s is retried on a new one.
        let sent_at = start_time.elapsed().as_secs_f64();
        let mut answer = stream.as_mut().and_then(|stream| send(stream, ""));
        if answer.is_none()
            && stream.take().is_none_or(|_| start_time.elapsed().as_secs_f64() < sent_at + 0.05)
        {
            stream = connect(address);
            answer = stream.as_mut().and_then(|stream| send(stream, "b"));
        }
        if !answer.is_some_and(|(_, stays_open)| stays_open) {
            stream = None;
        }
        let status = answer.map(|(status, _)| status);
        let mut responses = observations.responses.lock().unwrap_or_else(PoisonError::into_inner);
        responses.push(ResponseSeen { sent_at, sidecar, status });
    }
}
