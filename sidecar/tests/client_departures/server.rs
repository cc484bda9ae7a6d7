//! Stand-ins for servers, all on one thread, which notes when the first byte of each attempt came, and how late it ran itself.
use crate::ledger::Ledger;
use crate::machine::{Stalls, TICK};
use async_executor::LocalExecutor;
use futures_lite::AsyncWriteExt;
use oakhollow_sidecar::reactor::{self, Async, Timer};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What becomes of a request, so long after its last byte.
#[derive(Clone, Copy, PartialEq)]
pub enum How {
    Answers(Duration),
    TurnsAway(Duration),
    /// It waits until this changes.
    Silent,
    /// Connections don't come up until this changes.
    Shut,
}

type Told = Arc<Mutex<How>>;

pub struct Servers {
    pub addresses: Vec<SocketAddr>,
    told: Vec<Told>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Servers {
    pub fn start(hows: &[How], ledger: &Arc<Ledger>, stalls: &Arc<Stalls>) -> Servers {
        let listeners: Vec<_> =
            hows.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("its address");
        let addresses = listeners.iter().map(address).collect();
        let told: Vec<Told> = hows.iter().map(|how| Arc::new(Mutex::new(*how))).collect();
        let over = Arc::new(AtomicBool::new(false));
        let (all, ledger) = (listeners.into_iter().zip(told.clone()).collect(), ledger.clone());
        let (stalls, ends) = (stalls.clone(), over.clone());
        let thread = thread::spawn(move || serve_all(all, &ledger, &stalls, &ends));
        Servers { addresses, told, over, thread: Some(thread) }
    }

    pub fn set(&self, number: usize, how: How) {
        *self.told[number].lock().expect("how") = how;
    }

    pub fn set_all(&self, how: How) {
        (0..self.told.len()).for_each(|number| self.set(number, how));
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve_all(all: Vec<(TcpListener, Told)>, ledger: &Arc<Ledger>, stalls: &Stalls, over: &AtomicBool) {
    let executor = Rc::new(LocalExecutor::new());
    for (listener, told) in all {
        executor.spawn(welcome(executor.clone(), listener, told, ledger.clone())).detach();
    }
    let life = async {
        while !over.load(Ordering::Relaxed) {
            let due = Instant::now() + TICK;
            Timer::at(due).await;
            stalls.note(due, Instant::now());
        }
    };
    reactor::block_on(executor.run(life)).expect("a reactor");
}

/// What it is told, once that is anything else.
async fn other_than(how: How, told: &Told) -> How {
    loop {
        let now = *told.lock().expect("how");
        if now != how {
            return now;
        }
        Timer::after(TICK).await;
    }
}

async fn welcome(
    executor: Rc<LocalExecutor<'static>>, listener: TcpListener, told: Told, ledger: Arc<Ledger>,
) {
    if *told.lock().expect("how") == How::Shut {
        rustix::net::listen(&listener, 0).expect("a short queue");
        let address = listener.local_addr().expect("its address");
        // One in the machine's queue, which is full by it: another connection is not answered.
        let door = TcpStream::connect(address).expect("the one that fills it");
        other_than(How::Shut, &told).await;
        rustix::net::listen(&listener, 128).expect("a usual queue");
        drop(door);
    }
    let listener = Async::from_listener(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let (told, ledger) = (told.clone(), ledger.clone());
        executor.spawn(async move { _ = serve(stream, &told, &ledger).await }).detach();
    }
}

async fn serve(stream: Async<TcpStream>, told: &Told, ledger: &Ledger) -> Option<()> {
    stream.get_ref().set_nodelay(true).ok()?;
    let read = |mut held: Vec<u8>| async {
        stream.read_buf(&mut held).await.ok().filter(|count| *count > 0)?;
        Some(held)
    };
    loop {
        let mut held = read(Vec::new()).await?;
        let begun = Instant::now();
        let (head, length) = loop {
            if let Some(end) = held.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&held[..end]);
                let of = |key| head.lines().find_map(|line| line.strip_prefix(key));
                ledger.attempt(of("Request-Id: ").expect("an id"), begun);
                break (
                    end + 4,
                    of("Content-Length: ").map_or(0, |length| length.parse().expect("a length")),
                );
            }
            held = read(held).await?;
        };
        while held.len() < head + length {
            held = read(held).await?;
        }
        let (after, answer) = match other_than(How::Silent, told).await {
            How::Answers(after) => (after, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
            How::TurnsAway(after) => {
                (after, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            }
            How::Silent | How::Shut => return None,
        };
        Timer::after(after).await;
        (&stream).write_all(answer.as_bytes()).await.ok()?;
    }
}
