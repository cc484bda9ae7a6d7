//! Stand-ins: servers that note each hop, discoveries that tell a list, and callers with a constant load.
use crate::judge::{Answered, Hop};
use crate::scene::Told;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What all stand-ins write down.
#[derive(Default)]
pub struct Notes {
    pub hops: Mutex<Vec<Hop>>,
    pub answers: Mutex<Vec<Answered>>,
    /// Calls that went out later than they should have.
    pub late: Mutex<usize>,
}

/// The head of one message; its body is read and dropped.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > 16 * 1024 || stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

pub fn each(listener: TcpListener, work: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let work = work.clone();
            thread::spawn(move || work(stream));
        }
    });
}

/// A server that answers at once; calls whose workload's name begins with `fails` with an error.
pub fn server(number: usize, begun: Instant, notes: Arc<Notes>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    each(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        while let Some(head) = read_head(&mut stream) {
            let at = begun.elapsed().as_secs_f64();
            let workload = head.split(' ').nth(1).unwrap_or_default().trim_start_matches('/').to_string();
            let id = header(&head, "Request-Id").unwrap_or_default().to_string();
            let sidecar = id.split('-').next().and_then(|at| at.parse().ok()).unwrap_or(usize::MAX);
            let answer: &[u8] = match workload.starts_with("fails") {
                true => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                false => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            let hop = Hop { at, sidecar, server: number, workload, id };
            notes.hops.lock().unwrap_or_else(PoisonError::into_inner).push(hop);
            if stream.write_all(answer).is_err() {
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
        let Entry { name, address, leaving, since_ms } = self;
        let status = if *leaving { "leaving" } else { "active" };
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","group":0,"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
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
}

/// The whole list as every discovery begins with it.
pub fn first_list(servers: &[SocketAddr]) -> String {
    Listing::first(servers).whole()
}

/// A discovery of one instance, which tells it what the script says, and an empty line every second.
pub struct Discovery {
    pub address: SocketAddr,
    listing: Arc<Mutex<Listing>>,
}

/// How often a watch looks for something new.
const LOOK: Duration = Duration::from_millis(5);

impl Discovery {
    pub fn start(servers: &[SocketAddr]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let listing = Listing::first(servers);
        let (address, listing) = (listener.local_addr()?, Arc::new(Mutex::new(listing)));
        let discovery = Discovery { address, listing: listing.clone() };
        each(listener, move |stream| _ = watch(stream, &listing));
        Ok(discovery)
    }

    fn listing(&self) -> std::sync::MutexGuard<'_, Listing> {
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn tell(&self, told: Told, server: usize, address: SocketAddr) {
        let (name, mut listing) = (format!("s{server}"), self.listing());
        listing.index += 1;
        if told == Told::Gone {
            listing.entries.retain(|entry| entry.name != name);
            let whole = listing.whole();
            return listing.lines.push(whole);
        }
        let at = listing.entries.iter().position(|entry| entry.name == name).unwrap_or_else(|| {
            listing.entries.push(Entry { name, address, leaving: false, since_ms: 0 });
            listing.entries.len() - 1
        });
        let entry = &mut listing.entries[at];
        entry.leaving = told == Told::Drain;
        if told == Told::Again {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            entry.since_ms = unix.as_millis() as u64;
        }
        let json = entry.json();
        let line = format!(r#"{{"index":{},"snapshot":false,"endpoints":[{json}]}}"#, listing.index);
        listing.lines.push(line);
    }

    pub fn set_down(&self, down: bool) {
        let mut listing = self.listing();
        (listing.down, listing.life) = (down, listing.life + 1);
    }

    /// Starts again, and numbers from the first.
    pub fn renumber(&self) {
        let mut listing = self.listing();
        (listing.index, listing.life) = (1, listing.life + 1);
        listing.lines.clear();
    }
}

fn watch(mut stream: TcpStream, listing: &Mutex<Listing>) -> Option<()> {
    let lock = || listing.lock().unwrap_or_else(PoisonError::into_inner);
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
    stream.write_all(format!("{head}{}", line(&first)).as_bytes()).ok()?;
    let mut spoke = Instant::now();
    loop {
        let fresh = {
            let listing = lock();
            if listing.life != life {
                return None;
            }
            listing.lines[told..].to_vec()
        };
        told += fresh.len();
        let mut said: String = fresh.iter().map(|fresh| line(fresh)).collect();
        if said.is_empty() && spoke.elapsed() > Duration::from_secs(1) {
            said = line("");
        }
        if !said.is_empty() {
            spoke = Instant::now();
            stream.write_all(said.as_bytes()).ok()?;
        }
        thread::sleep(LOOK);
    }
}

/// Calls one workload at one sidecar, so many a second, until the end, which may be set meanwhile. Each call is counted
/// from when it was due.
pub fn caller(
    to: SocketAddr, (sidecar, workload): (usize, &str), rate: f64, begun: Instant, end: impl Fn() -> f64,
    notes: &Notes,
) {
    let mut stream: Option<TcpStream> = None;
    for call in 0.. {
        let due = call as f64 / rate;
        if due >= end() {
            return;
        }
        let now = begun.elapsed().as_secs_f64();
        if due > now {
            thread::sleep(Duration::from_secs_f64(due - now));
        } else if now > due + 0.1 {
            *notes.late.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            // Open loop: what could not be asked in time is not asked later in a crowd.
            if now > due + 1.0 {
                continue;
            }
        }
        // A call sent once more by us is another call: whatever repeats an id is the sidecar's doing.
        let asked = |stream: &mut TcpStream, again: &str| {
            let ask = format!("GET /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {sidecar}-{workload}-{call}{again}\r\nRequest-Timeout-Ms: 900\r\n\r\n");
            stream.write_all(ask.as_bytes()).ok()?;
            let head = read_head(stream)?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let lasts = header(&head, "Connection") != Some("close");
            Some((status, lasts))
        };
        let fresh = || {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            Some(stream)
        };
        // Its connection may have been closed for being idle.
        let at = begun.elapsed().as_secs_f64();
        let mut answer = stream.as_mut().and_then(|stream| asked(stream, ""));
        if answer.is_none() && stream.take().is_none_or(|_| begun.elapsed().as_secs_f64() < at + 0.05) {
            stream = fresh();
            answer = stream.as_mut().and_then(|stream| asked(stream, "b"));
        }
        if !answer.is_some_and(|(_, lasts)| lasts) {
            stream = None;
        }
        let status = answer.map(|(status, _)| status);
        let mut answers = notes.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.push(Answered { at, sidecar, status });
    }
}
