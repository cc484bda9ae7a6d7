//! Stand-ins: servers that note each hop, discoveries that tell a list, and callers with a constant load.
use crate::checker::{Attempt, ResponseSeen};
use crate::scene::ListChange;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What all stand-ins write down.
#[derive(Default)]
pub struct Observations {
    pub attempts: Mutex<Vec<Attempt>>,
    pub responses: Mutex<Vec<ResponseSeen>>,
    /// Calls that went out later than they should have.
    pub late_requests: Mutex<usize>,
}

/// The longest head, in bytes.
const HEAD: u64 = 16 * 1024;

/// The head of one message; its body is read and dropped.
pub fn read_head(stream: &mut impl BufRead) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let room = HEAD - head.len() as u64;
        // No line's end: the stream's, or that of the room.
        if stream.by_ref().take(room).read_until(b'\n', &mut head).ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8(head).ok()?;
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

/// The answer of a service that is down, or has too many callers.
pub fn reject(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok()
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// A connection as a caller has it.
pub fn connect(to: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(to).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    Some(BufReader::new(stream))
}

/// Asks on a connection: the status, and whether the connection lasts.
pub fn send_request(stream: &mut BufReader<TcpStream>, asked: &str) -> Option<(u16, bool)> {
    stream.get_mut().write_all(asked.as_bytes()).ok()?;
    let head = read_head(stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, header(&head, "Connection") != Some("close")))
}

pub fn serve_connections(listener: TcpListener, work: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let work = work.clone();
            thread::spawn(move || work(stream));
        }
    });
}

/// A server that answers at once; calls whose workload's name begins with `fails` with an error.
pub fn start_server(number: usize, begun: Instant, notes: Arc<Observations>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    serve_connections(listener, move |stream| {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream) {
            let at = begun.elapsed().as_secs_f64();
            let workload = head.split(' ').nth(1).unwrap_or_default().trim_start_matches('/').to_string();
            let id = header(&head, "Request-Id").unwrap_or_default().to_string();
            let sidecar = id.split('-').next().and_then(|at| at.parse().ok()).unwrap_or(usize::MAX);
            let answer: &[u8] = match workload.starts_with("fails") {
                true => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                false => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            let hop = Attempt { at, sidecar, server: number, workload, id };
            notes.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(hop);
            if stream.get_mut().write_all(answer).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

/// A server as a discovery words it.
struct Entry {
    name: String,
    address: SocketAddr,
    leaving: bool,
    since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        endpoint_json(
            &self.name,
            self.address,
            if self.leaving { "leaving" } else { "active" },
            self.since_ms,
        )
    }
}

/// One server, as a list words it.
pub fn endpoint_json(name: &str, address: SocketAddr, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
    )
}

#[derive(Default)]
struct Listing {
    entries: Vec<Entry>,
    index: u64,
    /// What was told since the service began, a line each.
    lines: Vec<String>,
    down: bool,
    /// How often the service has begun: a watch of an earlier one ends.
    life: u64,
}

impl Listing {
    fn first(servers: &[SocketAddr]) -> Listing {
        let named = servers.iter().enumerate().map(|(at, address)| Entry {
            name: format!("s{at}"),
            address: *address,
            leaving: false,
            since_ms: 0,
        });
        Listing { entries: named.collect(), index: 1, ..Listing::default() }
    }

    fn whole(&self) -> String {
        let entries: Vec<String> = self.entries.iter().map(Entry::json).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index, entries.join(","))
    }

    fn tell(&mut self, told: ListChange, server: usize, address: SocketAddr) {
        let name = format!("s{server}");
        self.index += 1;
        if told == ListChange::Removed {
            self.entries.retain(|entry| entry.name != name);
            let whole = self.whole();
            return self.lines.push(whole);
        }
        let at = self.entries.iter().position(|entry| entry.name == name).unwrap_or_else(|| {
            self.entries.push(Entry { name, address, leaving: false, since_ms: 0 });
            self.entries.len() - 1
        });
        let entry = &mut self.entries[at];
        entry.leaving = told == ListChange::Draining;
        if told == ListChange::Restarted {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            entry.since_ms = unix.as_millis() as u64;
        }
        let json = entry.json();
        let line = format!(r#"{{"index":{},"snapshot":false,"endpoints":[{json}]}}"#, self.index);
        self.lines.push(line);
    }
}

/// The whole list as every discovery begins with it.
pub fn initial_list(servers: &[SocketAddr]) -> String {
    Listing::first(servers).whole()
}

/// A discovery of one instance, which tells it what the script says, and an empty line every second.
pub struct Discovery {
    pub address: SocketAddr,
    listing: Arc<Watched>,
}

/// A listing, and the word to its watches that it has changed.
type Watched = (Mutex<Listing>, Condvar);

/// How long a watch may be silent.
const SILENCE: Duration = Duration::from_secs(1);

impl Discovery {
    pub fn start(servers: &[SocketAddr]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listing = Listing::first(servers);
        let (address, listing) = (listener.local_addr()?, Arc::new((Mutex::new(listing), Condvar::new())));
        let discovery = Discovery { address, listing: listing.clone() };
        serve_connections(listener, move |stream| _ = watch(stream, &listing));
        Ok(discovery)
    }

    fn change(&self, change: impl FnOnce(&mut Listing)) {
        let (listing, changed) = &*self.listing;
        change(&mut listing.lock().unwrap_or_else(PoisonError::into_inner));
        changed.notify_all();
    }

    pub fn tell(&self, told: ListChange, server: usize, address: SocketAddr) {
        self.change(|listing| listing.tell(told, server, address));
    }

    pub fn set_down(&self, down: bool) {
        self.change(|listing| (listing.down, listing.life) = (down, listing.life + 1));
    }

    /// Starts again, and numbers from the first.
    pub fn renumber(&self) {
        self.change(|listing| {
            (listing.index, listing.life) = (1, listing.life + 1);
            listing.lines.clear();
        });
    }
}

fn watch(stream: TcpStream, (listing, changed): &Watched) -> Option<()> {
    let lock = || listing.lock().unwrap_or_else(PoisonError::into_inner);
    let mut stream = BufReader::new(stream);
    read_head(&mut stream)?;
    let (life, mut told, first) = {
        let listing = lock();
        if listing.down {
            return None;
        }
        (listing.life, listing.lines.len(), listing.whole())
    };
    let line = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut stream = stream.into_inner();
    stream.write_all(format!("{head}{}", line(&first)).as_bytes()).ok()?;
    loop {
        let waits = |listing: &mut Listing| listing.life == life && listing.lines.len() == told;
        let (listing, _) =
            changed.wait_timeout_while(lock(), SILENCE, waits).unwrap_or_else(PoisonError::into_inner);
        if listing.life != life {
            return None;
        }
        let fresh: String = listing.lines[told..].iter().map(|fresh| line(fresh)).collect();
        told = listing.lines.len();
        drop(listing);
        let said = if fresh.is_empty() { line("") } else { fresh };
        stream.write_all(said.as_bytes()).ok()?;
    }
}

/// Calls one workload at one sidecar, so many a second, until the end, which may be set meanwhile. Each call is counted
/// from when it was due.
pub fn run_client(
    to: SocketAddr, (sidecar, workload): (usize, &str), rate: f64, begun: Instant, end: impl Fn() -> f64,
    notes: &Observations,
) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    for call in 0.. {
        let due = call as f64 / rate;
        if due >= end() {
            return;
        }
        let now = begun.elapsed().as_secs_f64();
        if due > now {
            thread::sleep(Duration::from_secs_f64(due - now));
        } else if now > due + 0.1 {
            *notes.late_requests.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            // Open loop: what could not be asked in time is not asked later in a crowd.
            if now > due + 1.0 {
                continue;
            }
        }
        // A call sent once more by us is another call: whatever repeats an id is the sidecar's doing.
        let asked = |stream: &mut BufReader<TcpStream>, again: &str| {
            let asked = format!("GET /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {sidecar}-{workload}-{call}{again}\r\nRequest-Timeout-Ms: 900\r\n\r\n");
            send_request(stream, &asked)
        };
        // Its connection may have been closed for being idle.
        let at = begun.elapsed().as_secs_f64();
        let mut answer = stream.as_mut().and_then(|stream| asked(stream, ""));
        if answer.is_none() && stream.take().is_none_or(|_| begun.elapsed().as_secs_f64() < at + 0.05) {
            stream = connect(to);
            answer = stream.as_mut().and_then(|stream| asked(stream, "b"));
        }
        if !answer.is_some_and(|(_, lasts)| lasts) {
            stream = None;
        }
        let status = answer.map(|(status, _)| status);
        let mut answers = notes.responses.lock().unwrap_or_else(PoisonError::into_inner);
        answers.push(ResponseSeen { at, sidecar, status });
    }
}
