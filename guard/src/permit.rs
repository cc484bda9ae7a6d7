//! Permits to start an attempt and to write its first byte. Only the guard can create them.
use oakhollow::types::{CallId, HopNo, Micros, ServerId};

/// Permits one attempt to be prepared, which includes waiting for a connection.
#[derive(PartialEq, Eq, Debug)]
pub struct AttemptPermit {
    pub(crate) request: CallId,
    pub(crate) attempt: HopNo,
    pub(crate) server: ServerId,
}

impl AttemptPermit {
    /// The request that the attempt belongs to.
    pub fn request(&self) -> CallId {
        self.request
    }

    /// The number of the attempt.
    pub fn attempt(&self) -> HopNo {
        self.attempt
    }
}

/// Permits the first byte of one attempt to be written now.
#[derive(PartialEq, Eq, Debug)]
pub struct SendPermit {
    pub(crate) _made_by_guard: (),
}

/// The conditions just before an attempt's first byte is written, including what the kernel reports at that
/// moment.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SendConditions {
    /// The server still accepts new requests at that address.
    pub server_available: bool,
    /// The lease is valid, or none is needed.
    pub lease_valid: bool,
    /// The endpoint list by which the server was chosen is not stale.
    pub list_fresh: bool,
    /// The client has closed its connection.
    pub client_gone: bool,
    /// The time left for the attempt.
    pub time_left: Micros,
    /// The timeout that is announced to the server.
    pub announced_timeout: Micros,
}

/// Why an attempt may not be started or sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Denial {
    /// The request is answered or unknown.
    RequestOver,
    /// The client has gone.
    ClientGone,
    /// No time is left.
    OutOfTime,
    /// The server does not accept new requests.
    ServerNotWanted,
    /// The lease has expired.
    LeaseLapsed,
    /// The endpoint list is stale.
    ListStale,
    /// An earlier attempt may have run at a server, or may still run.
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

    /// The label under which it is counted.
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
