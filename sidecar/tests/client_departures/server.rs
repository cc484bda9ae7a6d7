//! Test servers, all on one thread. The thread records when the first byte of each attempt arrived, and when it was
//! itself late to run.
use crate::ledger::Ledger;
use crate::stalls::{Stalls, TICK};
use async_executor::LocalExecutor;
use futures_lite::AsyncWriteExt;
use oakhollow_sidecar::reactor::{self, Async, Timer};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// What a server does with a request, some time after its last byte.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Answers(Duration),
    Refuses(Duration),
    /// The request waits until the mode changes.
    Silent,
    /// The accept queue is full: connections stay unanswered until the mode changes.
    FullBacklog,
}

type SharedMode = Arc<Mutex<Mode>>;

pub struct Servers {
    pub addresses: Vec<SocketAddr>,
    modes: Vec<SharedMode>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Servers {
    pub fn start(initial_modes: &[Mode], ledger: &Arc<Ledger>, stalls: &Arc<Stalls>) -> Servers {
        let listeners: Vec<_> =
            initial_modes.iter().map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("a bound socket");
        let addresses = listeners.iter().map(address).collect();
        let modes: Vec<SharedMode> = initial_modes.iter().map(|mode| Arc::new(Mutex::new(*mode))).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let (servers, ledger) = (listeners.into_iter().zip(modes.clone()).collect(), ledger.clone());
        let (stalls, stop_flag) = (stalls.clone(), stop.clone());
        let thread = thread::spawn(move || serve_all(servers, &ledger, &stalls, &stop_flag));
        Servers { addresses, modes, stop, thread: Some(thread) }
    }

    pub fn set(&self, number: usize, mode: Mode) {
        *self.modes[number].lock().expect("mode") = mode;
    }

    pub fn set_all(&self, mode: Mode) {
        (0..self.modes.len()).for_each(|number| self.set(number, mode));
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve_all(
    servers: Vec<(TcpListener, SharedMode)>, ledger: &Arc<Ledger>, stalls: &Stalls, stop: &AtomicBool,
) {
    let executor = Rc::new(LocalExecutor::new());
    for (listener, mode) in servers {
        executor.spawn(accept_connections(executor.clone(), listener, mode, ledger.clone())).detach();
    }
    let check_until_stopped = async {
        while !stop.load(Ordering::Relaxed) {
            let due = Instant::now() + TICK;
            Timer::at(due).await;
            stalls.record(due, Instant::now());
        }
    };
    reactor::block_on(executor.run(check_until_stopped)).expect("the reactor works");
}

/// Waits until the current mode is another one than `mode`, and returns it.
async fn wait_for_other_mode(mode: Mode, current: &SharedMode) -> Mode {
    loop {
        let now = *current.lock().expect("mode");
        if now != mode {
            return now;
        }
        Timer::after(TICK).await;
    }
}

async fn accept_connections(
    executor: Rc<LocalExecutor<'static>>, listener: TcpListener, mode: SharedMode, ledger: Arc<Ledger>,
) {
    if *mode.lock().expect("mode") == Mode::FullBacklog {
        rustix::net::listen(&listener, 0).expect("the backlog is set");
        let address = listener.local_addr().expect("a bound socket");
        // This connection fills the accept queue: the kernel answers no other.
        let backlog_filler = TcpStream::connect(address).expect("the connection that fills the queue");
        wait_for_other_mode(Mode::FullBacklog, &mode).await;
        rustix::net::listen(&listener, 128).expect("the backlog is set");
        drop(backlog_filler);
    }
    let listener = Async::from_listener(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let (mode, ledger) = (mode.clone(), ledger.clone());
        executor.spawn(async move { _ = serve(stream, &mode, &ledger).await }).detach();
    }
}

async fn serve(stream: Async<TcpStream>, mode: &SharedMode, ledger: &Ledger) -> Option<()> {
    stream.get_ref().set_nodelay(true).ok()?;
    let read = |mut received: Vec<u8>| async {
        stream.read_buf(&mut received).await.ok().filter(|count| *count > 0)?;
        Some(received)
    };
    loop {
        let mut received = read(Vec::new()).await?;
        let first_byte_at = Instant::now();
        let (head_length, body_length) = loop {
            if let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head_text = String::from_utf8_lossy(&received[..end]);
                let header = |key| head_text.lines().find_map(|line| line.strip_prefix(key));
                ledger.record_attempt(header("Request-Id: ").expect("a Request-Id"), first_byte_at);
                break (
                    end + 4,
                    header("Content-Length: ").map_or(0, |length| length.parse().expect("a length")),
                );
            }
            received = read(received).await?;
        };
        while received.len() < head_length + body_length {
            received = read(received).await?;
        }
        let (delay, answer) = match wait_for_other_mode(Mode::Silent, mode).await {
            Mode::Answers(delay) => (delay, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
            Mode::Refuses(delay) => {
                (delay, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            }
            Mode::Silent | Mode::FullBacklog => return None,
        };
        Timer::after(delay).await;
        (&stream).write_all(answer.as_bytes()).await.ok()?;
    }
}
