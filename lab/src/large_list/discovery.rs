//! A discovery that answers with large lists and has trouble in answering: it is slow, late, silent, cut off, down or has too many callers.
use super::catalogue::Catalogue;
use super::endpoints::EndpointNo;
use crate::fakes::{read_head, reject, serve_connections};
use crate::harness::lock;
use rustix::net::sockopt;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How an answer is written.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Pace {
    /// How long after the call its first byte is written.
    pub first_byte: Duration,
    /// How many bytes are written at a time; 0 for all.
    pub piece: usize,
    /// How long it pauses after each piece.
    pub pause: Duration,
    /// How many calls from the beginning of the trouble on end half way.
    pub halves: usize,
}

/// How calls are met.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Conduct {
    /// They are answered.
    Answers(Pace),
    /// They wait for so long and get a 503: it is down, or has too many callers.
    TurnsAway(Duration),
}

/// A line that was written whole.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Written {
    /// When its last byte was.
    pub at: Instant,
    /// The version that it told.
    pub index: usize,
}

/// A call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Call {
    /// When it came.
    pub at: Instant,
    /// The version that it asked from.
    pub from: usize,
}

struct State {
    catalogue: Catalogue,
    conduct: Conduct,
    /// Watches of an earlier life are reset.
    life: u64,
    /// Watches of before say nothing any more.
    silent_before: u64,
    calls: Vec<Call>,
    written: Vec<Written>,
    halves: usize,
}

/// One discovery.
#[derive(Clone)]
pub struct Discovery {
    /// Where it is called.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// An empty line comes that often where nothing changes.
const BEAT: Duration = Duration::from_secs(2);

impl Discovery {
    /// Starts one that answers at once.
    pub fn start(catalogue: Catalogue) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            catalogue,
            conduct: Conduct::Answers(Pace::default()),
            life: 0,
            silent_before: 0,
            calls: Vec::new(),
            written: Vec::new(),
            halves: 0,
        };
        let discovery = Discovery { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = discovery.clone();
        serve_connections(listener, move |stream| _ = serving.serve(stream));
        Ok(discovery)
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.0));
        self.shared.1.notify_all();
    }

    /// Meets calls so from now on.
    pub fn set_conduct(&self, conduct: Conduct) {
        self.change(|state| {
            state.conduct = conduct;
            if let Conduct::Answers(pace) = conduct {
                state.halves = pace.halves;
            }
        });
    }

    /// Resets all watches.
    pub fn reset_watches(&self) {
        self.change(|state| state.life += 1);
    }

    /// Has all watches that are open say nothing any more.
    pub fn silence_watches(&self) {
        self.change(|state| {
            state.life += 1;
            state.silent_before = state.life;
        });
    }

    /// Makes a version.
    pub fn replace(&self, removed: impl Iterator<Item = EndpointNo>, added: Vec<(EndpointNo, SocketAddr)>) {
        self.change(|state| state.catalogue.replace(removed, added));
    }

    /// What it has, what it was asked and what it wrote.
    pub fn look<T>(&self, look: impl FnOnce(&Catalogue, &[Call], &[Written]) -> T) -> T {
        let state = lock(&self.shared.0);
        look(&state.catalogue, &state.calls, &state.written)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let head = read_head(&mut stream)?;
        let from = head.split("index=").nth(1)?.split(' ').next()?.parse().ok()?;
        let (conduct, life) = {
            let mut state = lock(&self.shared.0);
            state.calls.push(Call { at: Instant::now(), from });
            (state.conduct, state.life)
        };
        let mut stream = stream.into_inner();
        match conduct {
            Conduct::TurnsAway(after) => {
                thread::sleep(after);
                reject(&mut stream)
            }
            Conduct::Answers(pace) => self.watch(&mut stream, pace, life),
        }
    }

    fn watch(&self, stream: &mut TcpStream, pace: Pace, life: u64) -> Option<()> {
        thread::sleep(pace.first_byte);
        let (state, news) = &*self.shared;
        let (mut told, first, halves) = {
            let mut state = lock(state);
            let halves = state.halves > 0;
            state.halves = state.halves.saturating_sub(1);
            (state.catalogue.index(), state.catalogue.whole(), halves)
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let text = chunk(&first);
        let whole = if halves { text.len() / 2 } else { text.len() };
        write_paced(stream, &text.as_bytes()[..whole], pace)?;
        if halves {
            return None;
        }
        self.note_written(told);
        loop {
            let nothing = |state: &mut State| state.life == life && state.catalogue.index() == told;
            let waited = news.wait_timeout_while(lock(state), BEAT, nothing);
            let (mut now, _) = waited.unwrap_or_else(PoisonError::into_inner);
            if now.life != life {
                while now.silent_before > life {
                    now = news.wait(now).unwrap_or_else(PoisonError::into_inner);
                }
                drop(now);
                let _ = sockopt::set_socket_linger(&*stream, Some(Duration::ZERO));
                return None;
            }
            let said = now.catalogue.changes_after(told).unwrap_or_default();
            told = now.catalogue.index();
            drop(now);
            stream.write_all(chunk(&said).as_bytes()).ok()?;
            self.note_written(told);
        }
    }

    fn note_written(&self, index: usize) {
        self.change(|state| state.written.push(Written { at: Instant::now(), index }));
    }
}

/// A line in a chunk of its own.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn write_paced(stream: &mut TcpStream, bytes: &[u8], pace: Pace) -> Option<()> {
    let piece = if pace.piece == 0 { bytes.len() } else { pace.piece };
    for (at, part) in bytes.chunks(piece).enumerate() {
        if at > 0 {
            thread::sleep(pace.pause);
        }
        stream.write_all(part).ok()?;
    }
    Some(())
}
