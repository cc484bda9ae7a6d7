//! How far a list request has got: its stage, and how many bytes it has received and when. The log reports it, and the
//! watch uses it to decide when to send another request.
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// What a request is waiting for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// The connection.
    Connecting,
    /// The request to be written.
    SendingRequest,
    /// The head of the answer.
    Head,
    /// The first line of the list.
    FirstLine,
    /// A further line, or a heartbeat.
    NextLine,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Stage::Connecting => "connecting",
            Stage::SendingRequest => "asking",
            Stage::Head => "waiting for the head",
            Stage::FirstLine => "waiting for the first line",
            Stage::NextLine => "waiting for a further line",
        }
    }
}

/// The progress of one request.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    started: Instant,
    stage: Stage,
    /// When the last byte arrived.
    last_byte: Option<Instant>,
    /// Bytes received since the last whole line.
    line_bytes: usize,
    /// When the first byte after the last whole line arrived.
    line_started: Option<Instant>,
}

/// When a whole line arrived, and how long that took.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LineArrival {
    /// When its first byte arrived. What the line says is at least as recent as that.
    pub first_byte_at: Instant,
    /// Its length in bytes, including the framing.
    pub bytes: usize,
    /// The time from the start of the request to its first byte.
    pub first_byte_after: Duration,
    /// The time from its first byte to its end.
    pub took: Duration,
}

impl Progress {
    /// The progress of a request that starts at this time.
    pub fn started_at(started: Instant) -> Progress {
        Progress { started, stage: Stage::Connecting, last_byte: None, line_bytes: 0, line_started: None }
    }

    /// Moves to a stage.
    pub fn reach(&mut self, stage: Stage) {
        self.stage = stage;
    }

    /// Records bytes of the answer.
    pub fn received(&mut self, bytes: usize, now: Instant) {
        self.last_byte = Some(now);
        self.line_started.get_or_insert(now);
        self.line_bytes += bytes;
    }

    /// When the request started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// When the last byte arrived; before the first byte, when the request started.
    pub fn last_activity(&self) -> Instant {
        self.last_byte.unwrap_or(self.started)
    }

    /// Bytes received since the last whole line.
    pub fn line_bytes(&self) -> usize {
        self.line_bytes
    }

    /// Records the end of a line.
    pub fn line_ended(&mut self, now: Instant) -> LineArrival {
        let line_started = self.line_started.unwrap_or(now);
        let arrival = LineArrival {
            first_byte_at: line_started,
            bytes: self.line_bytes,
            first_byte_after: line_started - self.started,
            took: now - line_started,
        };
        (self.stage, self.line_bytes, self.line_started) = (Stage::NextLine, 0, None);
        arrival
    }
}

impl Display for Progress {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let age = self.started.elapsed().as_millis();
        write!(formatter, "{}, {age} ms after the request, {} bytes", self.stage.name(), self.line_bytes)?;
        match self.last_byte {
            Some(last_byte) => write!(formatter, ", the last {} ms ago", last_byte.elapsed().as_millis()),
            None => Ok(()),
        }
    }
}

impl Display for LineArrival {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let (first, took) = (self.first_byte_after.as_millis(), self.took.as_millis());
        write!(formatter, "{} bytes, the first {first} ms after the request, then {took} ms", self.bytes)
    }
}
