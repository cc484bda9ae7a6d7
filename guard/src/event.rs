//! What the guard is told, and the reasons for it.
use crate::server::Location;
use oakhollow::types::{CallId, DedupScope, HopNo, Micros, Outcome, ServerId, ServerStatus};
use std::fmt::{Display, Formatter, Result};
use std::rc::Rc;

/// What a request does at a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Servers of one group tell a repeat by its key, for that long.
    Keyed {
        /// How long they remember it.
        memory: Micros,
        /// Which servers share it.
        group: DedupScope,
    },
    /// Unsafe to repeat.
    Unsafe,
}

/// The kinds of final answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum AnswerKind {
    /// A server's.
    Served,
    /// 429 or 503: nothing has run.
    Refused,
    /// Any other.
    Failed,
}

impl AnswerKind {
    /// The name by which it is counted.
    pub fn name(self) -> &'static str {
        match self {
            AnswerKind::Served => "served",
            AnswerKind::Refused => "refused",
            AnswerKind::Failed => "failed",
        }
    }
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum CloseReason {
    /// The client closed it, or ended its sending, with no request open.
    ClientClosed,
    /// The client went away while its request waited.
    ClientGone,
    /// Nothing was asked on it for as long as idle connections are kept.
    Idle,
    /// A first request did not come in time.
    NoRequest,
    /// Another connection needed its place.
    Evicted,
    /// The process is ending.
    ShuttingDown,
    /// Its last answer was given: the client, a fault or the process wanted no further request on it.
    LastAnswer,
    /// The client did not take its answer.
    AnswerNotTaken,
    /// A long answer broke off at its server.
    AnswerBroken,
}

impl CloseReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [CloseReason; 9] = [
        CloseReason::ClientClosed,
        CloseReason::ClientGone,
        CloseReason::Idle,
        CloseReason::NoRequest,
        CloseReason::Evicted,
        CloseReason::ShuttingDown,
        CloseReason::LastAnswer,
        CloseReason::AnswerNotTaken,
        CloseReason::AnswerBroken,
    ];

    /// The name by which it is counted.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientClosed => "client_closed",
            CloseReason::ClientGone => "client_gone",
            CloseReason::Idle => "idle",
            CloseReason::NoRequest => "no_request",
            CloseReason::Evicted => "evicted",
            CloseReason::ShuttingDown => "shutting_down",
            CloseReason::LastAnswer => "last_answer",
            CloseReason::AnswerNotTaken => "answer_not_taken",
            CloseReason::AnswerBroken => "answer_broken",
        }
    }
}

/// Something that has happened. Attempts are started and sent by [`crate::Guard::start_attempt`] and
/// [`crate::Guard::send`] instead.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was read whole, or its head was; one final answer is owed by `deadline`.
    Accepted {
        /// The sidecar's number for it.
        request: CallId,
        /// The client's id for it.
        request_id: Rc<str>,
        /// What it does at a server.
        effect: Effect,
        /// When the client gives up.
        deadline: Micros,
    },
    /// The decision module has the request.
    Queued {
        /// The request.
        request: CallId,
    },
    /// The last byte of an attempt was written.
    LastByteWritten {
        /// The request.
        request: CallId,
        /// The attempt.
        attempt: HopNo,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: CallId,
        /// The attempt.
        attempt: HopNo,
        /// How it ended.
        outcome: Outcome,
    },
    /// The client has closed its connection, or ended its sending.
    ClientGone {
        /// The request that waited.
        request: CallId,
    },
    /// The answer's first byte is about to be written.
    AnswerBegun {
        /// The request.
        request: CallId,
        /// What kind of answer it is.
        kind: AnswerKind,
    },
    /// The connection goes on, or is closed: the request is over.
    Closed {
        /// The request.
        request: CallId,
        /// Why its connection is closed; none where it is kept.
        reason: Option<CloseReason>,
    },
    /// What the list, or an operator, says of a server.
    ServerListed {
        /// The server.
        server: ServerId,
        /// Whether it takes new requests.
        standing: ServerStatus,
        /// Where it stands.
        location: Location,
    },
    /// The process ends: open requests have their answers by then.
    ShutdownBegun {
        /// The last moment for an answer.
        answer_by: Micros,
    },
}

/// A step in a request's life, as it is kept for a violation's line.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Transition {
    /// The request was read.
    Accepted,
    /// The decision module has it.
    Queued,
    /// An attempt was decided on.
    AttemptStarted(HopNo, ServerId),
    /// An attempt's first byte was allowed.
    FirstByte(HopNo),
    /// An attempt's last byte was written.
    LastByte(HopNo),
    /// An attempt ended.
    AttemptEnded(HopNo, Outcome),
    /// The client went away.
    ClientGone,
    /// The answer began.
    AnswerBegun(AnswerKind),
}

impl Display for Transition {
    fn fmt(&self, out: &mut Formatter) -> Result {
        match self {
            Transition::Accepted => write!(out, "accepted"),
            Transition::Queued => write!(out, "queued"),
            Transition::AttemptStarted(attempt, server) => {
                write!(out, "attempt {} started at server {}", attempt.0, server.0)
            }
            Transition::FirstByte(attempt) => write!(out, "attempt {} first byte", attempt.0),
            Transition::LastByte(attempt) => write!(out, "attempt {} last byte", attempt.0),
            Transition::AttemptEnded(attempt, outcome) => write!(out, "attempt {} {outcome:?}", attempt.0),
            Transition::ClientGone => write!(out, "client gone"),
            Transition::AnswerBegun(kind) => write!(out, "answer {}", kind.name()),
        }
    }
}
