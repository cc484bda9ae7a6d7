//! The records of clients, servers, discovery and the harness, with times from one clock.
use crate::harness::lock;
use rustix::process::Signal;
use std::fmt::{Debug, Formatter, Result};
use std::sync::Mutex;
use std::time::Instant;

/// Identifies a process by its group and its number in the group.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ProcessId {
    /// Index of its group.
    pub group: usize,
    /// Index in its group.
    pub number: usize,
}

/// The workload of a request, which decides whether it may be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestClass {
    /// Read-like: safe to repeat.
    View,
    /// Has an idempotency key, by which the servers of one cell recognise a repeat.
    Save,
    /// Non-idempotent: unsafe to repeat.
    Pay,
}

impl RequestClass {
    /// The name of the workload in the settings.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::View => "view",
            RequestClass::Save => "save",
            RequestClass::Pay => "pay",
        }
    }

    /// Looks a class up by its name.
    pub fn from_name(name: &str) -> Option<RequestClass> {
        [RequestClass::View, RequestClass::Save, RequestClass::Pay]
            .into_iter()
            .find(|class| class.name() == name)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An answer came.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether the body is the one that a server made for this request.
        own_body: bool,
    },
    /// The connection was closed or reset before an answer.
    Closed,
    /// Nothing came until well after the timeout.
    NoResponse,
    /// The client closed the connection first.
    ClientLeft,
}

/// A request as its client saw it. Times are in seconds since the records began.
#[derive(Clone, PartialEq, Debug)]
pub struct Request {
    /// The process that it was sent to.
    pub process: ProcessId,
    /// The unique request id.
    pub id: String,
    /// Its workload.
    pub class: RequestClass,
    /// When its last byte was written, if it was.
    pub sent_at: Option<f64>,
    /// The timeout that the client announced, in seconds.
    pub timeout_s: f64,
    /// Whether the connection had carried a request before.
    pub reused_connection: bool,
    /// When it ended.
    pub ended_at: f64,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// What a server did with an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection broke before the request was complete, so it was not executed.
    Incomplete,
    /// The server answered that it did not start the request.
    Rejected,
    /// The server started the request.
    Executed,
}

/// An attempt as its server saw it.
#[derive(Clone, PartialEq)]
pub struct Attempt {
    /// The process that sent it.
    pub process: ProcessId,
    /// Index of the server in its group.
    pub server: usize,
    /// The server's cell: the servers that share one record of idempotency keys.
    pub cell: usize,
    /// The request's id.
    pub id: String,
    /// When its first byte came.
    pub first_byte_at: f64,
    /// When its last byte came, if it did.
    pub last_byte_at: Option<f64>,
    /// When its answer was written or its connection ended.
    pub ended_at: f64,
    /// The remaining time that the server was told, in seconds.
    pub announced_timeout_s: Option<f64>,
    /// What the server did with it.
    pub outcome: AttemptOutcome,
}

/// An event in the life of a process.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Event {
    /// The harness started it.
    Started,
    /// It reported that it was ready.
    Ready,
    /// The harness sent this signal.
    SignalSent(Signal),
    /// The harness sent SIGTERM.
    TerminationRequested,
    /// The harness killed it.
    Killed,
    /// The harness killed it when the grace period after SIGTERM was over, by when it has to have answered
    /// all that it had read.
    KilledAfterGrace,
    /// The harness killed the first of two processes when its grace period after SIGTERM was over.
    FirstKilledAfterGrace,
    /// It exited, with this code if it had one.
    Exited(Option<i32>),
    /// It was stopped with SIGSTOP.
    Paused,
    /// It runs again after SIGCONT.
    Resumed,
    /// The fault library begins (true) or ceases (false) to break its connections.
    ConnectionFaults(bool),
    /// A take-over by a second process begins (true) or is over (false).
    TakeOverActive(bool),
    /// Discovery told it that a server is leaving or absent.
    DrainAnnounced(usize),
    /// Discovery told it that a server is active.
    ReadyAnnounced(usize),
    /// Its console confirmed that a server is in maintenance.
    MaintenanceConfirmed(usize),
    /// The harness is about to clear the maintenance of a server.
    MaintenanceEnding(usize),
}

/// All records of a run.
pub struct Records {
    start: Instant,
    /// Recorded by clients.
    pub requests: Mutex<Vec<Request>>,
    /// Recorded by servers.
    pub attempts: Mutex<Vec<Attempt>>,
    /// Recorded by the harness and by discovery, with their times.
    pub events: Mutex<Vec<(f64, ProcessId, Event)>>,
}

impl Records {
    /// Creates empty records; times count from now.
    pub fn new() -> Records {
        Records {
            start: Instant::now(),
            requests: Mutex::default(),
            attempts: Mutex::default(),
            events: Mutex::default(),
        }
    }

    /// Seconds since the records began.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Records an event of a process at the present time.
    pub fn record_event(&self, process: ProcessId, event: Event) {
        lock(&self.events).push((self.now(), process, event));
    }
}

impl Default for Records {
    fn default() -> Records {
        Records::new()
    }
}

// The words in which the report lines of findings print outcomes and attempts.

impl Debug for RequestOutcome {
    fn fmt(&self, out: &mut Formatter) -> Result {
        match self {
            RequestOutcome::Answered { status, own_body } => {
                out.debug_struct("Answered").field("status", status).field("own", own_body).finish()
            }
            RequestOutcome::Closed => out.write_str("Closed"),
            RequestOutcome::NoResponse => out.write_str("Nothing"),
            RequestOutcome::ClientLeft => out.write_str("Left"),
        }
    }
}

impl Debug for AttemptOutcome {
    fn fmt(&self, out: &mut Formatter) -> Result {
        out.write_str(match self {
            AttemptOutcome::Incomplete => "Incomplete",
            AttemptOutcome::Rejected => "TurnedAway",
            AttemptOutcome::Executed => "Ran",
        })
    }
}

impl Debug for Attempt {
    fn fmt(&self, out: &mut Formatter) -> Result {
        out.debug_struct("Attempt")
            .field("process", &self.process)
            .field("server", &self.server)
            .field("cell", &self.cell)
            .field("id", &self.id)
            .field("first_byte", &self.first_byte_at)
            .field("last_byte", &self.last_byte_at)
            .field("over", &self.ended_at)
            .field("told", &self.announced_timeout_s)
            .field("deed", &self.outcome)
            .finish()
    }
}
