//! A relay on the links from one instance to one lease server. It can drop, delay, truncate or repeat what it
//! forwards, and break its links or refuse new ones.
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The faults on one direction of the links.
#[derive(Default)]
struct Direction {
    /// All data is dropped.
    cut: AtomicBool,
    delay_ms: AtomicU64,
    /// Only the first half of the next read is forwarded, and the link breaks.
    truncate_next: AtomicBool,
    /// How many replays have been ordered.
    replays: AtomicUsize,
}

/// How many of the last lines are kept for a replay.
const MAX_REPLAYED_LINES: usize = 32;

/// The links from one instance to one lease server.
pub struct Relay {
    /// Where the instance connects.
    pub address: SocketAddr,
    to_lease_server: Arc<Direction>,
    from_lease_server: Arc<Direction>,
    refuse: Arc<AtomicBool>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    /// Starts a relay to the lease server at this address.
    pub fn start(lease_server: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            to_lease_server: Arc::default(),
            from_lease_server: Arc::default(),
            refuse: Arc::default(),
            open_streams: Arc::default(),
        };
        let (to_lease_server, from_lease_server, open_streams) =
            (relay.to_lease_server.clone(), relay.from_lease_server.clone(), relay.open_streams.clone());
        let refuse = relay.refuse.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                // Dropping the connection breaks the link, as without a relay when the lease server is down.
                if refuse.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(server) = TcpStream::connect(lease_server) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let pairs = [(&client, &server, &to_lease_server), (&server, &client, &from_lease_server)];
                for (from, to, direction) in pairs {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let direction = direction.clone();
                        thread::spawn(move || forward(from, to, &direction));
                    }
                }
                let mut open_streams = open_streams.lock().unwrap_or_else(PoisonError::into_inner);
                open_streams.extend([client, server]);
            }
        });
        Ok(relay)
    }

    /// Drops all data to the lease server, from it, or both. With both false, ends the cut and any refusal of links.
    pub fn cut(&self, to_lease_server: bool, from_lease_server: bool) {
        self.to_lease_server.cut.store(to_lease_server, Ordering::Relaxed);
        self.from_lease_server.cut.store(from_lease_server, Ordering::Relaxed);
        if !to_lease_server && !from_lease_server {
            self.refuse.store(false, Ordering::Relaxed);
            // Dropped data has left incomplete lines, so both sides need new links.
            self.reset();
        }
    }

    /// Delays each read of either direction.
    pub fn delay(&self, delay: Duration) {
        for direction in [&self.to_lease_server, &self.from_lease_server] {
            direction.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// Breaks all links, and refuses new ones.
    pub fn refuse(&self) {
        self.refuse.store(true, Ordering::Relaxed);
        self.reset();
    }

    /// Forwards one half of the next read of each direction, then breaks its link.
    pub fn truncate_next(&self) {
        [&self.to_lease_server, &self.from_lease_server]
            .iter()
            .for_each(|direction| direction.truncate_next.store(true, Ordering::Relaxed));
    }

    /// Repeats the last lines of each direction before its next line.
    pub fn replay(&self) {
        for direction in [&self.to_lease_server, &self.from_lease_server] {
            direction.replays.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Breaks all links.
    pub fn reset(&self) {
        let mut open_streams = self.open_streams.lock().unwrap_or_else(PoisonError::into_inner);
        open_streams.drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, direction: &Direction) {
    let mut buffer = [0; 16 * 1024];
    let (mut sent_lines, mut line, mut replayed): (VecDeque<Vec<u8>>, Vec<u8>, usize) = Default::default();
    // A replay that was ordered before this link opened does not apply to it.
    replayed += direction.replays.load(Ordering::Relaxed);
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let delay = direction.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        if direction.truncate_next.swap(false, Ordering::Relaxed) {
            let _ = to.write_all(&buffer[..count / 2]);
            break;
        }
        // Replays earlier lines between two lines, not within one.
        let mut sent = Vec::new();
        if line.is_empty() && replayed < direction.replays.load(Ordering::Relaxed) {
            replayed += 1;
            sent_lines.iter().for_each(|line| sent.extend_from_slice(line));
        }
        sent.extend_from_slice(&buffer[..count]);
        for byte in &buffer[..count] {
            line.push(*byte);
            if *byte == b'\n' {
                // The greeting names the sender and may be sent only once, so it is not repeated.
                sent_lines.push_back(std::mem::take(&mut line));
                if sent_lines.len() > MAX_REPLAYED_LINES {
                    sent_lines.pop_front();
                }
                sent_lines.retain(|line| !line.starts_with(b"{\"accord\""));
            }
        }
        if !direction.cut.load(Ordering::Relaxed) && to.write_all(&sent).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}
