//! Test servers that answer at once, and a test discovery that lists them and can keep changing the list.
use polling::{Event, Events, PollMode, Poller};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The answer to every request.
pub const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Opens `count` listeners and serves them on `threads` threads until the process ends.
pub fn servers(count: usize, threads: usize) -> std::io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    let mut shares: Vec<Vec<TcpListener>> = (0..threads).map(|_| Vec::new()).collect();
    for number in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        addresses.push(listener.local_addr()?);
        shares[number % threads].push(listener);
    }
    for share in shares {
        spawn(move || serve(share).expect("the server's poller works"));
    }
    Ok(addresses)
}

fn serve(listeners: Vec<TcpListener>) -> std::io::Result<()> {
    let (poller, mut events) = (Poller::new()?, Events::new());
    for (key, listener) in listeners.iter().enumerate() {
        // SAFETY: the listeners are not dropped while the poller is in use.
        unsafe { poller.add_with_mode(listener, Event::readable(key), PollMode::Level)? };
    }
    let mut connections: Vec<Option<TcpStream>> = Vec::new();
    let mut free_slots = Vec::new();
    let mut buffer = [0; 64 * 1024];
    loop {
        events.clear();
        poller.wait(&mut events, None)?;
        for event in events.iter() {
            if let Some(listener) = listeners.get(event.key) {
                while let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(true)?;
                    stream.set_nodelay(true)?;
                    let slot = free_slots.pop().unwrap_or_else(|| {
                        connections.push(None);
                        connections.len() - 1
                    });
                    let readable = Event::readable(listeners.len() + slot);
                    // SAFETY: a connection is deleted from the poller before it is closed.
                    unsafe { poller.add_with_mode(&stream, readable, PollMode::Level)? };
                    connections[slot] = Some(stream);
                }
                continue;
            }
            let slot = event.key - listeners.len();
            let Some(stream) = &mut connections[slot] else { continue };
            let open = match stream.read(&mut buffer) {
                Ok(0) => false,
                // One request at a time on a connection, without a body: a blank line ends it.
                Ok(count) if buffer[..count].ends_with(b"\r\n\r\n") => stream.write_all(ANSWER).is_ok(),
                Ok(_) => true,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            };
            if !open {
                poller.delete(&*stream)?;
                connections[slot] = None;
                free_slots.push(slot);
            }
        }
    }
}

/// Whether discovery keeps changing the list, and how many changes it has sent. Each change drains a server or makes it
/// active again.
#[derive(Default)]
pub struct Churn {
    pub enabled: AtomicBool,
    pub changes_sent: AtomicU64,
}

fn entry(number: usize, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"s-{number}","address":"{address}","zone":"here","group":{},"status":"{status}","weight":1.0,"since_ms":0}}"#,
        number / 8
    )
}

/// Starts a discovery that lists these servers.
pub fn discovery(
    servers: Vec<SocketAddr>, churn: Arc<Churn>, changes_per_s: u64,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (servers, churn) = (servers.clone(), churn.clone());
            spawn(move || watch(stream, &servers, &churn, changes_per_s));
        }
    });
    Ok(address)
}

fn watch(
    mut stream: TcpStream, servers: &[SocketAddr], churn: &Churn, changes_per_s: u64,
) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        request.extend_from_slice(&buffer[..count]);
    }
    let list: Vec<String> =
        servers.iter().enumerate().map(|(number, address)| entry(number, *address, "active")).collect();
    let line = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}}\n", list.join(","));
    let chunk = |line: &str| format!("{:x}\r\n{line}\r\n", line.len());
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    stream.write_all(chunk(&line).as_bytes())?;
    let (mut index, mut last_sent) = (1, Instant::now());
    loop {
        if churn.enabled.load(Ordering::Relaxed) && servers.len() > 4 {
            index += 1;
            // Every other change makes the server active again that the previous one drained.
            let (number, status) = (index / 2 * 7 % servers.len(), ["leaving", "active"][index % 2]);
            let changed = entry(number, servers[number], status);
            let line = format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{changed}]}}\n");
            stream.write_all(chunk(&line).as_bytes())?;
            churn.changes_sent.fetch_add(1, Ordering::Relaxed);
            last_sent = Instant::now();
            sleep(Duration::from_micros(1_000_000 / changes_per_s));
        } else {
            if last_sent.elapsed() > Duration::from_secs(2) {
                stream.write_all(chunk("\n").as_bytes())?;
                last_sent = Instant::now();
            }
            sleep(Duration::from_millis(20));
        }
    }
}
