//! The events that the guard observes, and the reasons that they carry.
use crate::server::Location;
use oakhollow::types::{CallId, DedupScope, HopNo, Micros, Outcome, ServerId, ServerStatus};
use std::fmt::{Display, Formatter, Result};
use std::rc::Rc;

/// Whether a request may be repeated at a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RepeatSafety {
    /// It may be repeated.
    Safe,
    /// Within the window, the servers in its scope recognise a repeat by its idempotency key.
    Keyed {
        /// How long they remember the key.
        window: Micros,
        /// The servers that share the memory of keys.
        scope: DedupScope,
    },
    /// It must not be repeated.
    Unsafe,
}

/// The kinds of final answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum AnswerKind {
    /// The answer of a server.
    Served,
    /// 429 or 503: no server has run the request.
    Refused,
    /// Any other answer.
    Failed,
}

impl AnswerKind {
    /// The label under which it is counted.
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
    /// No request arrived for as long as idle connections are kept.
    Idle,
    /// The first request did not arrive in time.
    NoRequest,
    /// Its place was needed for another connection.
    Evicted,
    /// The process is ending.
    ShuttingDown,
    /// It has had its last answer: the client, an error or the shutdown allows no further request on it.
    LastAnswer,
    /// The client did not read its answer.
    AnswerNotTaken,
    /// A streamed answer broke off at its server.
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

    /// The label under which it is counted.
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

/// An event that the guard observes. Attempts are reported by [`crate::Guard::start_attempt`] and
/// [`crate::Guard::send`] instead.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request, or the head of a streamed one, was read; it must get one final answer by `deadline`.
    Accepted {
        /// The sidecar's number of the request.
        request: CallId,
        /// The client's id of the request.
        request_id: Rc<str>,
        /// Whether it may be repeated.
        repeat_safety: RepeatSafety,
        /// When the client stops waiting.
        deadline: Micros,
    },
    /// The decision module has accepted the request.
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
        /// The request that was waiting.
        request: CallId,
    },
    /// The answer's first byte is about to be written.
    AnswerBegun {
        /// The request.
        request: CallId,
        /// What kind of answer it is.
        kind: AnswerKind,
    },
    /// The request is over: its connection is kept, or closed.
    Closed {
        /// The request.
        request: CallId,
        /// Why the connection is closed; `None` if it is kept.
        reason: Option<CloseReason>,
    },
    /// The status of a server changed, by the endpoint list or by an operator.
    ServerListed {
        /// The server.
        server: ServerId,
        /// Whether it accepts new requests.
        status: ServerStatus,
        /// The location of the server.
        location: Location,
    },
    /// The process shuts down: open requests must be answered by the given time.
    ShutdownBegun {
        /// The last moment for an answer.
        answer_by: Micros,
    },
}

/// A step of a request, kept for the report of a violation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Transition {
    /// The request was read.
    Accepted,
    /// The decision module has accepted it.
    Queued,
    /// An attempt was started.
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
