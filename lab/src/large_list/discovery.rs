//! A discovery with a large list and injected faults: it can be slow, late, silent, cut off, down or overloaded.
use super::catalogue::Catalogue;
use super::endpoints::EndpointNumber;
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
    /// How long after the request its first byte is written.
    pub first_byte_delay: Duration,
    /// How many bytes are written at a time; 0 for all at once.
    pub write_bytes: usize,
    /// How long the pause between two writes is.
    pub write_pause: Duration,
    /// How many answers, the first ones at this pace, are cut off after one half.
    pub truncated_answers: usize,
}

/// How requests are answered.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum ResponseMode {
    /// With the list, at this pace.
    Serve(Pace),
    /// With a 503 after this time, as a discovery that is down or overloaded.
    Reject(Duration),
    /// So many requests with a 503 after this time, as an overloaded discovery, and those after them with the list at
    /// once.
    RejectFirst(usize, Duration),
}

/// A line that was written completely.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct WrittenLine {
    /// When its last byte was written.
    pub written_at: Instant,
    /// The version of the list that it brings the receiver to.
    pub index: usize,
}

/// A request for the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListRequest {
    /// When it arrived.
    pub received_at: Instant,
    /// The version in its `index`: it asks for the changes after this one.
    pub after_version: usize,
}

struct State {
    catalogue: Catalogue,
    response_mode: ResponseMode,
    /// How often the watches were reset or silenced; a watch of an earlier epoch is reset.
    epoch: u64,
    /// Watches of an epoch before this one are not reset but stay silent.
    silent_before: u64,
    requests: Vec<ListRequest>,
    written_lines: Vec<WrittenLine>,
    /// How many of the next answers are cut off.
    truncated_answers: usize,
}

/// The discovery, which all its threads share.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// After how long without a change a watch gets an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

impl Discovery {
    /// Starts a discovery that answers at once.
    pub fn start(catalogue: Catalogue) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            catalogue,
            response_mode: ResponseMode::Serve(Pace::default()),
            epoch: 0,
            silent_before: 0,
            requests: Vec::new(),
            written_lines: Vec::new(),
            truncated_answers: 0,
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

    /// Answers requests this way from now on.
    pub fn set_response_mode(&self, response_mode: ResponseMode) {
        self.change(|state| {
            state.response_mode = response_mode;
            if let ResponseMode::Serve(pace) = response_mode {
                state.truncated_answers = pace.truncated_answers;
            }
        });
    }

    /// Resets the connections of all open watches.
    pub fn reset_watches(&self) {
        self.change(|state| state.epoch += 1);
    }

    /// Sends nothing more on the watches that are open.
    pub fn silence_watches(&self) {
        self.change(|state| {
            state.epoch += 1;
            state.silent_before = state.epoch;
        });
    }

    /// Makes a new version of the list.
    pub fn replace(
        &self, removed: impl Iterator<Item = EndpointNumber>, added: Vec<(EndpointNumber, SocketAddr)>,
    ) {
        self.change(|state| state.catalogue.replace(removed, added));
    }

    /// Reads the list, the requests and the lines that were written.
    pub fn inspect<T>(&self, inspect: impl FnOnce(&Catalogue, &[ListRequest], &[WrittenLine]) -> T) -> T {
        let state = lock(&self.shared.0);
        inspect(&state.catalogue, &state.requests, &state.written_lines)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let head = read_head(&mut stream)?;
        let after_version = head.split("index=").nth(1)?.split(' ').next()?.parse().ok()?;
        let (response_mode, epoch) = {
            let mut state = lock(&self.shared.0);
            state.requests.push(ListRequest { received_at: Instant::now(), after_version });
            let response_mode = state.response_mode;
            if let ResponseMode::RejectFirst(count, delay) = response_mode {
                state.response_mode = match count {
                    0 | 1 => ResponseMode::Serve(Pace::default()),
                    _ => ResponseMode::RejectFirst(count - 1, delay),
                };
            }
            (response_mode, state.epoch)
        };
        let mut stream = stream.into_inner();
        match response_mode {
            ResponseMode::Reject(delay) | ResponseMode::RejectFirst(_, delay) => {
                thread::sleep(delay);
                reject(&mut stream)
            }
            ResponseMode::Serve(pace) => self.watch(&mut stream, pace, epoch),
        }
    }

    fn watch(&self, stream: &mut TcpStream, pace: Pace, epoch: u64) -> Option<()> {
        thread::sleep(pace.first_byte_delay);
        let (state, changed) = &*self.shared;
        let (mut sent, first, truncates) = {
            let mut state = lock(state);
            let truncates = state.truncated_answers > 0;
            state.truncated_answers = state.truncated_answers.saturating_sub(1);
            (state.catalogue.index(), state.catalogue.snapshot_json(), truncates)
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let text = chunk(&first);
        let length = if truncates { text.len() / 2 } else { text.len() };
        write_paced(stream, &text.as_bytes()[..length], pace)?;
        if truncates {
            return None;
        }
        self.record_written_line(sent);
        loop {
            let unchanged = |state: &mut State| state.epoch == epoch && state.catalogue.index() == sent;
            let waited = changed.wait_timeout_while(lock(state), HEARTBEAT_INTERVAL, unchanged);
            let (mut locked, _) = waited.unwrap_or_else(PoisonError::into_inner);
            if locked.epoch != epoch {
                while locked.silent_before > epoch {
                    locked = changed.wait(locked).unwrap_or_else(PoisonError::into_inner);
                }
                drop(locked);
                let _ = sockopt::set_socket_linger(&*stream, Some(Duration::ZERO));
                return None;
            }
            let changes = locked.catalogue.changes_after(sent).unwrap_or_default();
            sent = locked.catalogue.index();
            drop(locked);
            stream.write_all(chunk(&changes).as_bytes()).ok()?;
            self.record_written_line(sent);
        }
    }

    fn record_written_line(&self, index: usize) {
        self.change(|state| state.written_lines.push(WrittenLine { written_at: Instant::now(), index }));
    }
}

/// A line as one HTTP chunk.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn write_paced(stream: &mut TcpStream, bytes: &[u8], pace: Pace) -> Option<()> {
    let write_bytes = if pace.write_bytes == 0 { bytes.len() } else { pace.write_bytes };
    for (index, part) in bytes.chunks(write_bytes).enumerate() {
        if index > 0 {
            thread::sleep(pace.write_pause);
        }
        stream.write_all(part).ok()?;
    }
    Some(())
}
