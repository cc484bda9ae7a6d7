//! A relay on one link between two instances, which can be told to swallow bytes either way, hold them back or break.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct Way {
    cut: AtomicBool,
    delay_ms: AtomicU64,
}

/// From one instance to a keeper, and back.
pub struct Relay {
    pub address: SocketAddr,
    there: Arc<Way>,
    back: Arc<Way>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            there: Arc::default(),
            back: Arc::default(),
            open: Arc::default(),
        };
        let (there, back, open) = (relay.there.clone(), relay.back.clone(), relay.open.clone());
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                // Nobody there: the link breaks, as it would without us.
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
            // What was swallowed has left the lines in pieces: both sides begin anew.
            self.reset();
        }
    }

    pub fn delay(&self, length: Duration) {
        for way in [&self.there, &self.back] {
            way.delay_ms.store(length.as_millis() as u64, Ordering::Relaxed);
        }
    }

    pub fn reset(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

fn carry(mut from: TcpStream, mut to: TcpStream, way: &Way) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        let delay = way.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            thread::sleep(Duration::from_millis(delay));
        }
        if !way.cut.load(Ordering::Relaxed) && to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}
