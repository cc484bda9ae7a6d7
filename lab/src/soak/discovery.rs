//! The fake discovery of a group, with faults. Each process gets an address of its own, so that the records
//! show what was announced to which process.
use super::records::{Event, ProcessId, Records};
use crate::fakes::{endpoint_json, read_head, reject, serve_connections};
use crate::harness::{lock, unix_ms};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How discovery treats list requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DiscoveryMode {
    /// Answers with the list, and streams its changes.
    Up,
    /// Closes connections at once; watches end.
    Down,
    /// Accepts requests without answering; watches stay open and silent.
    Silent,
    /// Answers with the list after [`SLOW_RESPONSE_DELAY`].
    Slow,
    /// Rejects requests after [`REJECTION_DELAY`]; watches end.
    Overloaded,
}

/// The status of a server in the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerStatus {
    /// Takes requests.
    Active,
    /// Drains: takes no new requests.
    Leaving,
    /// Is not on the list.
    Absent,
}

/// How often a watch sends an empty line while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a request waits until it is rejected.
const REJECTION_DELAY: Duration = Duration::from_millis(700);
/// How long a slow answer takes.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(900);

struct ListedServer {
    address: SocketAddr,
    status: ServerStatus,
    since_ms: u64,
}

struct State {
    servers: Vec<ListedServer>,
    index: u64,
    /// Servers whose entries have changed, in order.
    changes: Vec<usize>,
    mode: DiscoveryMode,
    /// Incremented to end all watches that began before.
    incarnation: u64,
    /// Each watch sends half of its next line and ends.
    cut_next_line: bool,
}

/// The discovery of one group.
#[derive(Clone)]
pub struct Discovery {
    shared: Arc<(Mutex<State>, Condvar)>,
    records: Arc<Records>,
}

impl Discovery {
    /// Creates a discovery that lists these servers as active.
    pub fn new(servers: &[SocketAddr], records: Arc<Records>) -> Discovery {
        let listed = |address: &SocketAddr| ListedServer {
            address: *address,
            status: ServerStatus::Active,
            since_ms: 0,
        };
        let state = State {
            servers: servers.iter().map(listed).collect(),
            index: 1,
            changes: Vec::new(),
            mode: DiscoveryMode::Up,
            incarnation: 0,
            cut_next_line: false,
        };
        Discovery { shared: Arc::new((Mutex::new(state), Condvar::new())), records }
    }

    /// Opens a new address for this process to watch the list at.
    pub fn listen_for(&self, process: ProcessId) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, discovery) = (listener.local_addr()?, self.clone());
        serve_connections(listener, move |stream| _ = discovery.serve(stream, process));
        Ok(address)
    }

    /// The current list as a snapshot line.
    pub fn snapshot_json(&self) -> String {
        lock(&self.shared.0).snapshot_json()
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.0));
        self.shared.1.notify_all();
    }

    /// Changes how requests are treated from now on. Watches end in the modes `Down` and `Crowded`, and stay
    /// open in the others.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.update(|state| {
            state.mode = mode;
            state.incarnation += u64::from(matches!(mode, DiscoveryMode::Down | DiscoveryMode::Overloaded));
        });
    }

    /// Ends each watch in the middle of a line.
    pub fn cut_watches(&self) {
        self.update(|state| state.cut_next_line = true);
        thread::sleep(Duration::from_millis(30));
        self.update(|state| (state.cut_next_line, state.incarnation) = (false, state.incarnation + 1));
    }

    /// Simulates a restart: watches end, and the index starts again at 1.
    pub fn restart(&self) {
        self.update(|state| {
            (state.index, state.incarnation) = (1, state.incarnation + 1);
            state.changes.clear();
        });
    }

    /// Changes the status of a server; with `restarted` it also gets a new start time.
    pub fn set_status(&self, server: usize, status: ServerStatus, restarted: bool) {
        self.update(|state| {
            state.index += 1;
            state.changes.push(server);
            let listed = &mut state.servers[server];
            listed.status = status;
            if restarted {
                listed.since_ms = unix_ms();
            }
        });
    }

    fn serve(&self, stream: TcpStream, process: ProcessId) -> Option<()> {
        let mut stream = BufReader::new(stream);
        let mode = lock(&self.shared.0).mode;
        if mode == DiscoveryMode::Down {
            return None;
        }
        read_head(&mut stream)?;
        if mode == DiscoveryMode::Silent {
            let silent = |state: &mut State| state.mode == DiscoveryMode::Silent;
            drop(self.shared.1.wait_while(lock(&self.shared.0), silent));
        }
        if mode == DiscoveryMode::Overloaded {
            thread::sleep(REJECTION_DELAY);
            return reject(stream.get_mut());
        }
        if mode == DiscoveryMode::Slow {
            thread::sleep(SLOW_RESPONSE_DELAY);
        }
        self.stream_list(stream.get_mut(), process)
    }

    fn stream_list(&self, stream: &mut TcpStream, process: ProcessId) -> Option<()> {
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (state, changed_signal) = &*self.shared;
        let (mut line, incarnation, mut sent_changes, mut unrecorded) = {
            let state = lock(state);
            let all_servers: Vec<usize> = (0..state.servers.len()).collect();
            (state.snapshot_json(), state.incarnation, state.changes.len(), state.statuses(&all_servers))
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            if lock(state).cut_next_line {
                let text = chunk(&line);
                stream.write_all(&text.as_bytes()[..text.len() / 2]).ok()?;
                return None;
            }
            stream.write_all(chunk(&line).as_bytes()).ok()?;
            for (server, status) in unrecorded.drain(..) {
                let event = match status {
                    ServerStatus::Active => Event::ReadyAnnounced(server),
                    ServerStatus::Leaving | ServerStatus::Absent => Event::DrainAnnounced(server),
                };
                self.records.record_event(process, event);
            }
            let unchanged = |state: &mut State| {
                state.incarnation == incarnation
                    && !state.cut_next_line
                    && state.changes.len() == sent_changes
            };
            let waited = changed_signal.wait_timeout_while(lock(state), KEEPALIVE_INTERVAL, unchanged);
            let (mut current, _) = waited.unwrap_or_else(PoisonError::into_inner);
            while current.mode == DiscoveryMode::Silent && current.incarnation == incarnation {
                current = changed_signal.wait(current).unwrap_or_else(PoisonError::into_inner);
            }
            if current.incarnation != incarnation && !current.cut_next_line {
                return None;
            }
            let changed: Vec<usize> = current.changes.get(sent_changes..).unwrap_or_default().to_vec();
            sent_changes = current.changes.len();
            line = if changed.is_empty() { String::new() } else { current.update_json(&changed) };
            unrecorded = current.statuses(&changed);
        }
    }
}

impl State {
    fn entry_json(&self, server: usize) -> String {
        let listed = &self.servers[server];
        let status = match listed.status {
            ServerStatus::Active => "active",
            ServerStatus::Leaving => "leaving",
            ServerStatus::Absent => "left",
        };
        let entry = endpoint_json(&format!("s{server}"), listed.address, status, listed.since_ms);
        // Two cells: a keyed request may be repeated only within its cell.
        entry.replace(r#""group":0"#, &format!(r#""group":{}"#, server % 2))
    }

    fn snapshot_json(&self) -> String {
        let present =
            (0..self.servers.len()).filter(|server| self.servers[*server].status != ServerStatus::Absent);
        let entries: Vec<String> = present.map(|server| self.entry_json(server)).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index, entries.join(","))
    }

    fn update_json(&self, servers: &[usize]) -> String {
        let entries: Vec<String> = servers.iter().map(|server| self.entry_json(*server)).collect();
        format!(r#"{{"index":{},"snapshot":false,"endpoints":[{}]}}"#, self.index, entries.join(","))
    }

    fn statuses(&self, servers: &[usize]) -> Vec<(usize, ServerStatus)> {
        servers.iter().map(|server| (*server, self.servers[*server].status)).collect()
    }
}
