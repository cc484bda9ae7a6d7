//! One discovery of a group: an address for each of its processes, so that it knows whom it tells, and faults of its own.
use super::records::{Event, ProcessId, Records};
use crate::fakes::{endpoint_json, read_head, reject, serve_connections};
use crate::harness::{lock, unix_ms};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How calls are met.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    /// Told the list, and its changes as they come.
    Up,
    /// Closed at once; watches have ended.
    Down,
    /// Taken and told nothing; watches are silent.
    Silent,
    /// Told the list after a while.
    Slow,
    /// Turned away after a while; watches have ended.
    Crowded,
}

/// How a server stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Standing {
    /// It takes requests.
    Active,
    /// It drains.
    Leaving,
    /// It is on no list.
    Absent,
}

/// An empty line comes that often where nothing changes.
const BEAT: Duration = Duration::from_secs(1);
/// How long a call waits until it is turned away.
const CROWDED: Duration = Duration::from_millis(700);
/// How long a slow one takes.
const SLOW: Duration = Duration::from_millis(900);

struct Listed {
    address: SocketAddr,
    standing: Standing,
    since_ms: u64,
}

struct State {
    servers: Vec<Listed>,
    index: u64,
    /// Servers that have changed, in order.
    changes: Vec<usize>,
    mode: Mode,
    /// Watches of an earlier life have ended.
    life: u64,
    /// The next line of each watch ends in its middle.
    cuts: bool,
}

/// The discovery of one group.
#[derive(Clone)]
pub struct Discovery {
    shared: Arc<(Mutex<State>, Condvar)>,
    records: Arc<Records>,
}

impl Discovery {
    /// One that lists these servers as active.
    pub fn new(servers: &[SocketAddr], records: Arc<Records>) -> Discovery {
        let listed =
            |address: &SocketAddr| Listed { address: *address, standing: Standing::Active, since_ms: 0 };
        let state = State {
            servers: servers.iter().map(listed).collect(),
            index: 1,
            changes: Vec::new(),
            mode: Mode::Up,
            life: 0,
            cuts: false,
        };
        Discovery { shared: Arc::new((Mutex::new(state), Condvar::new())), records }
    }

    /// A new address at which that process is told the list.
    pub fn address(&self, process: ProcessId) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, discovery) = (listener.local_addr()?, self.clone());
        serve_connections(listener, move |stream| _ = discovery.serve(stream, process));
        Ok(address)
    }

    /// The whole list as it is now.
    pub fn list(&self) -> String {
        lock(&self.shared.0).whole()
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.0));
        self.shared.1.notify_all();
    }

    /// Calls are met so from now on. Watches end where it goes down, and live through all else.
    pub fn set_mode(&self, mode: Mode) {
        self.change(|state| {
            state.mode = mode;
            state.life += u64::from(matches!(mode, Mode::Down | Mode::Crowded));
        });
    }

    /// Each watch ends in the middle of a line.
    pub fn cut(&self) {
        self.change(|state| state.cuts = true);
        thread::sleep(Duration::from_millis(30));
        self.change(|state| (state.cuts, state.life) = (false, state.life + 1));
    }

    /// Starts again and numbers from the first.
    pub fn begin_anew(&self) {
        self.change(|state| {
            (state.index, state.life) = (1, state.life + 1);
            state.changes.clear();
        });
    }

    /// Tells how a server stands from now on; `again` if it has started anew.
    pub fn tell(&self, server: usize, standing: Standing, again: bool) {
        self.change(|state| {
            state.index += 1;
            state.changes.push(server);
            let listed = &mut state.servers[server];
            listed.standing = standing;
            if again {
                listed.since_ms = unix_ms();
            }
        });
    }

    fn serve(&self, stream: TcpStream, process: ProcessId) -> Option<()> {
        let mut stream = BufReader::new(stream);
        let mode = lock(&self.shared.0).mode;
        if mode == Mode::Down {
            return None;
        }
        read_head(&mut stream)?;
        if mode == Mode::Silent {
            let silent = |state: &mut State| state.mode == Mode::Silent;
            drop(self.shared.1.wait_while(lock(&self.shared.0), silent));
        }
        if mode == Mode::Crowded {
            thread::sleep(CROWDED);
            return reject(stream.get_mut());
        }
        if mode == Mode::Slow {
            thread::sleep(SLOW);
        }
        self.watch(stream.get_mut(), process)
    }

    fn watch(&self, stream: &mut TcpStream, process: ProcessId) -> Option<()> {
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let (state, news) = &*self.shared;
        let (mut said, life, mut told, mut noted) = {
            let state = lock(state);
            let all: Vec<usize> = (0..state.servers.len()).collect();
            (state.whole(), state.life, state.changes.len(), state.standings(&all))
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            if lock(state).cuts {
                let text = chunk(&said);
                stream.write_all(&text.as_bytes()[..text.len() / 2]).ok()?;
                return None;
            }
            stream.write_all(chunk(&said).as_bytes()).ok()?;
            for (server, standing) in noted.drain(..) {
                let event = match standing {
                    Standing::Active => Event::ToldReady(server),
                    Standing::Leaving | Standing::Absent => Event::ToldDrained(server),
                };
                self.records.note(process, event);
            }
            let nothing =
                |state: &mut State| state.life == life && !state.cuts && state.changes.len() == told;
            let waited = news.wait_timeout_while(lock(state), BEAT, nothing);
            let (mut now, _) = waited.unwrap_or_else(PoisonError::into_inner);
            while now.mode == Mode::Silent && now.life == life {
                now = news.wait(now).unwrap_or_else(PoisonError::into_inner);
            }
            if now.life != life && !now.cuts {
                return None;
            }
            let changed: Vec<usize> = now.changes.get(told..).unwrap_or_default().to_vec();
            told = now.changes.len();
            said = if changed.is_empty() { String::new() } else { now.line(&changed) };
            noted = now.standings(&changed);
        }
    }
}

impl State {
    fn entry(&self, server: usize) -> String {
        let listed = &self.servers[server];
        let status = match listed.standing {
            Standing::Active => "active",
            Standing::Leaving => "leaving",
            Standing::Absent => "left",
        };
        let named = endpoint_json(&format!("s{server}"), listed.address, status, listed.since_ms);
        // Two cells, by which keyed requests are told for repeats.
        named.replace(r#""group":0"#, &format!(r#""group":{}"#, server % 2))
    }

    fn whole(&self) -> String {
        let there = (0..self.servers.len()).filter(|at| self.servers[*at].standing != Standing::Absent);
        let entries: Vec<String> = there.map(|at| self.entry(at)).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, self.index, entries.join(","))
    }

    fn line(&self, servers: &[usize]) -> String {
        let entries: Vec<String> = servers.iter().map(|at| self.entry(*at)).collect();
        format!(r#"{{"index":{},"snapshot":false,"endpoints":[{}]}}"#, self.index, entries.join(","))
    }

    fn standings(&self, servers: &[usize]) -> Vec<(usize, Standing)> {
        servers.iter().map(|at| (*at, self.servers[*at].standing)).collect()
    }
}
