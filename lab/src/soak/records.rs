//! What clients, servers, discovery and the rig itself write down, by one clock.
use crate::harness::lock;
use std::sync::Mutex;
use std::time::Instant;

/// A process, by its group and its number there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ProcessId {
    /// Its group.
    pub group: usize,
    /// Its number there.
    pub number: usize,
}

/// What a request may do at a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Class {
    /// Safe to repeat.
    View,
    /// With a key, by which servers of one cell tell a repeat.
    Save,
    /// Unsafe to repeat.
    Pay,
}

impl Class {
    /// Its name, as the settings have it.
    pub fn name(self) -> &'static str {
        match self {
            Class::View => "view",
            Class::Save => "save",
            Class::Pay => "pay",
        }
    }

    /// By its name.
    pub fn named(name: &str) -> Option<Class> {
        [Class::View, Class::Save, Class::Pay].into_iter().find(|class| class.name() == name)
    }
}

/// How a client's request ended for it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ending {
    /// With an answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its body is the one that a server made for this request.
        own: bool,
    },
    /// The connection was closed or reset before an answer.
    Closed,
    /// Nothing came until well past its time.
    Nothing,
    /// The client left.
    Left,
}

/// A request, as its client saw it. Times are in seconds from the records' beginning.
#[derive(Clone, PartialEq, Debug)]
pub struct Request {
    /// Where it went.
    pub process: ProcessId,
    /// Its id, which no other has.
    pub id: String,
    /// What it may do.
    pub class: Class,
    /// When its last byte was written; none where it never was.
    pub sent: Option<f64>,
    /// How long the client said that it would wait, in seconds.
    pub patience: f64,
    /// The connection had carried a request before.
    pub reused: bool,
    /// When it ended.
    pub ended: f64,
    /// How.
    pub ending: Ending,
}

/// What a server did with an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deed {
    /// The connection broke before the last byte had come: it never began.
    Incomplete,
    /// It said that it did not begin.
    TurnedAway,
    /// It began.
    Ran,
}

/// An attempt, as its server saw it.
#[derive(Clone, PartialEq, Debug)]
pub struct Attempt {
    /// The process that made it.
    pub process: ProcessId,
    /// The server, of the same group.
    pub server: usize,
    /// Its cell.
    pub cell: usize,
    /// The request's id.
    pub id: String,
    /// When its first byte came.
    pub first_byte: f64,
    /// When its last byte came, if it did.
    pub last_byte: Option<f64>,
    /// When its connection had ended, or its answer was written.
    pub over: f64,
    /// The time that the server was told, in seconds.
    pub told: Option<f64>,
    /// What became of it.
    pub deed: Deed,
}

/// What happened to a process.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Event {
    /// Started by the rig.
    Started,
    /// It answered that it was ready.
    Ready,
    /// Asked to end.
    Terminated,
    /// Killed by the rig.
    Killed,
    /// Killed by the rig as early as it may be after it was asked to end: what it had read was to be answered by then.
    KilledAfterGrace,
    /// It ended: with that code, if it had one.
    Ended(Option<i32>),
    /// It stands still from now on.
    Stopped,
    /// It runs again.
    Continued,
    /// From now on its connections are broken by the library of faults, or no more.
    Breaks(bool),
    /// A second process stands beside it from now on, or no more.
    TakesOver(bool),
    /// Its watch was told that a server takes nothing new.
    ToldDrained(usize),
    /// Its watch was told that a server is there.
    ToldReady(usize),
    /// Its console said that a server is out.
    TakenOut(usize),
    /// An operator asked for a server to be put back.
    PuttingBack(usize),
}

/// All that was written down.
pub struct Records {
    begun: Instant,
    /// By clients.
    pub requests: Mutex<Vec<Request>>,
    /// By servers.
    pub attempts: Mutex<Vec<Attempt>>,
    /// By the rig and by discovery.
    pub events: Mutex<Vec<(f64, ProcessId, Event)>>,
}

impl Records {
    /// None yet; times are counted from now.
    pub fn new() -> Records {
        Records {
            begun: Instant::now(),
            requests: Mutex::default(),
            attempts: Mutex::default(),
            events: Mutex::default(),
        }
    }

    /// Seconds since the beginning.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Writes down what happens to a process now.
    pub fn note(&self, process: ProcessId, event: Event) {
        lock(&self.events).push((self.now(), process, event));
    }
}

impl Default for Records {
    fn default() -> Records {
        Records::new()
    }
}
