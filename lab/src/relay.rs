//! A relay on one link between two instances, which can be told to swallow bytes either way, hold them back or break.
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct Way {
    cut: AtomicBool,
    delay_ms: AtomicU64,
    /// Of what comes next one half goes on, and the link breaks.
    half: AtomicBool,
    /// How often what was said before is to be said again.
    replays: AtomicUsize,
}

/// Lines that are remembered to be said again.
const REMEMBERED: usize = 32;

/// From one instance to a keeper, and back.
pub struct Relay {
    pub address: SocketAddr,
    there: Arc<Way>,
    back: Arc<Way>,
    refuse: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            there: Arc::default(),
            back: Arc::default(),
            refuse: Arc::default(),
            open: Arc::default(),
        };
        let (there, back, open) = (relay.there.clone(), relay.back.clone(), relay.open.clone());
        let refuse = relay.refuse.clone();
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                // Nobody there: the link breaks, as it would without us.
                if refuse.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let pairs = [(&near, &far, &there), (&far, &near, &back)];
                for (from, to, way) in pairs {
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let way = way.clone();
                        thread::spawn(move || carry(from, to, &way));
                    }
                }
                let mut open = open.lock().unwrap_or_else(PoisonError::into_inner);
                open.extend([near, far]);
            }
        });
        Ok(relay)
    }

    pub fn cut(&self, there: bool, back: bool) {
        self.there.cut.store(there, Ordering::Relaxed);
        self.back.cut.store(back, Ordering::Relaxed);
        if !there && !back {
            self.refuse.store(false, Ordering::Relaxed);
            // What was swallowed has left the lines in pieces: both sides begin anew.
            self.reset();
        }
    }

    pub fn delay(&self, length: Duration) {
        for way in [&self.there, &self.back] {
            way.delay_ms.store(length.as_millis() as u64, Ordering::Relaxed);
        }
    }

    /// Breaks the link, and lets none come up.
    pub fn refuse(&self) {
        self.refuse.store(true, Ordering::Relaxed);
        self.reset();
    }

    pub fn half(&self) {
        [&self.there, &self.back].iter().for_each(|way| way.half.store(true, Ordering::Relaxed));
    }

    pub fn replay(&self) {
        for way in [&self.there, &self.back] {
            way.replays.fetch_add(1, Ordering::Relaxed);
        }
    }

    pub fn reset(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, way: &Way) {
    let mut buffer = [0; 16 * 1024];
    let (mut said, mut line, mut replayed): (VecDeque<Vec<u8>>, Vec<u8>, usize) = Default::default();
    // What holds for a link that comes up later is no business of this one.
    replayed += way.replays.load(Ordering::Relaxed);
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let delay = way.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        if way.half.swap(false, Ordering::Relaxed) {
            let _ = to.write_all(&buffer[..count / 2]);
            break;
        }
        // Between two lines, not within one.
        let mut sent = Vec::new();
        if line.is_empty() && replayed < way.replays.load(Ordering::Relaxed) {
            replayed += 1;
            said.iter().for_each(|line| sent.extend_from_slice(line));
        }
        sent.extend_from_slice(&buffer[..count]);
        for byte in &buffer[..count] {
            line.push(*byte);
            if *byte == b'\n' {
                // The greeting says who speaks, and is said once.
                said.push_back(std::mem::take(&mut line));
                if said.len() > REMEMBERED {
                    said.pop_front();
                }
                said.retain(|line| !line.starts_with(b"{\"accord\""));
            }
        }
        if !way.cut.load(Ordering::Relaxed) && to.write_all(&sent).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}
