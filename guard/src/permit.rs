//! What allows an attempt to be started and its first byte to be written: only the guard can make these.
use oakhollow::types::{CallId, HopNo, Micros, ServerId};

/// Allows one attempt to be made ready: to wait for a connection.
#[derive(PartialEq, Eq, Debug)]
pub struct AttemptPermit {
    pub(crate) request: CallId,
    pub(crate) attempt: HopNo,
    pub(crate) server: ServerId,
}

impl AttemptPermit {
    /// The request it is of.
    pub fn request(&self) -> CallId {
        self.request
    }

    /// Which attempt it is.
    pub fn attempt(&self) -> HopNo {
        self.attempt
    }
}

/// Allows the first byte of one attempt, now.
#[derive(PartialEq, Eq, Debug)]
pub struct SendPermit {
    pub(crate) _made_by_guard: (),
}

/// What is known at the last moment before an attempt's first byte, as the kernel tells it then.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SendConditions {
    /// The server still takes new requests at that address.
    pub server_available: bool,
    /// The lease, if there is one, has not run out.
    pub lease_valid: bool,
    /// The list by which the server was chosen may still be used.
    pub list_fresh: bool,
    /// The client has closed its connection.
    pub client_gone: bool,
    /// What is left of the attempt's time.
    pub time_left: Micros,
    /// The time that the server will be told.
    pub announced_timeout: Micros,
}

/// Why an attempt is not started, or not sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Denial {
    /// The request has its answer, or is not known.
    RequestOver,
    /// The client has gone.
    ClientGone,
    /// No time is left.
    OutOfTime,
    /// The server takes nothing new.
    ServerNotWanted,
    /// The lease has run out.
    LeaseLapsed,
    /// The list of servers has not been heard for too long.
    ListStale,
    /// An earlier attempt may have run, or still may.
    MayHaveRun,
}

impl Denial {
    /// All denials, in the order of their declaration.
    pub const ALL: [Denial; 7] = [
        Denial::RequestOver,
        Denial::ClientGone,
        Denial::OutOfTime,
        Denial::ServerNotWanted,
        Denial::LeaseLapsed,
        Denial::ListStale,
        Denial::MayHaveRun,
    ];

    /// The name by which it is counted.
    pub fn name(self) -> &'static str {
        match self {
            Denial::RequestOver => "request_over",
            Denial::ClientGone => "client_gone",
            Denial::OutOfTime => "out_of_time",
            Denial::ServerNotWanted => "server_not_wanted",
            Denial::LeaseLapsed => "lease_lapsed",
            Denial::ListStale => "list_stale",
            Denial::MayHaveRun => "may_have_run",
        }
    }
}
