//! How far one call for the list of endpoints has come, for the log: which stage it is at, how many bytes it has brought and when.
use std::fmt::{self, Display, Formatter};
use std::time::{Duration, Instant};

/// What a call waits for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// Its connection.
    Connecting,
    /// Its request to be written.
    Asking,
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
            Stage::Asking => "asking",
            Stage::Head => "waiting for the head",
            Stage::FirstLine => "waiting for the first line",
            Stage::NextLine => "waiting for a further line",
        }
    }
}

/// The progress of one call.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    begun: Instant,
    stage: Stage,
    /// When the call last got any byte.
    last_byte: Option<Instant>,
    /// Bytes since the last whole line.
    line_bytes: usize,
    /// When the first byte came since the last whole line.
    line_begun: Option<Instant>,
}

/// How a whole line came.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LineArrival {
    /// When its first byte came: what it tells was so by then.
    pub first_byte_at: Instant,
    /// Its bytes, those of the framing included.
    pub bytes: usize,
    /// From the beginning of the call to its first byte.
    pub first_byte_after: Duration,
    /// From its first byte to its end.
    pub took: Duration,
}

impl Progress {
    /// A call that begins at that moment.
    pub fn begun_at(begun: Instant) -> Progress {
        Progress { begun, stage: Stage::Connecting, last_byte: None, line_bytes: 0, line_begun: None }
    }

    /// It waits for that from now on.
    pub fn reach(&mut self, stage: Stage) {
        self.stage = stage;
    }

    /// Bytes of the answer have come.
    pub fn received(&mut self, bytes: usize, now: Instant) {
        self.last_byte = Some(now);
        self.line_begun.get_or_insert(now);
        self.line_bytes += bytes;
    }

    /// When the call began.
    pub fn begun(&self) -> Instant {
        self.begun
    }

    /// When the call last got any byte, or began.
    pub fn last_sign(&self) -> Instant {
        self.last_byte.unwrap_or(self.begun)
    }

    /// Bytes since the last whole line.
    pub fn line_bytes(&self) -> usize {
        self.line_bytes
    }

    /// A line is whole.
    pub fn line_ended(&mut self, now: Instant) -> LineArrival {
        let line_begun = self.line_begun.unwrap_or(now);
        let arrival = LineArrival {
            first_byte_at: line_begun,
            bytes: self.line_bytes,
            first_byte_after: line_begun - self.begun,
            took: now - line_begun,
        };
        (self.stage, self.line_bytes, self.line_begun) = (Stage::NextLine, 0, None);
        arrival
    }
}

impl Display for Progress {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        let age = self.begun.elapsed().as_millis();
        write!(to, "{}, {age} ms after the call, {} bytes", self.stage.name(), self.line_bytes)?;
        match self.last_byte {
            Some(last) => write!(to, ", the last {} ms ago", last.elapsed().as_millis()),
            None => Ok(()),
        }
    }
}

impl Display for LineArrival {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        let (first, took) = (self.first_byte_after.as_millis(), self.took.as_millis());
        write!(to, "{} bytes, the first {first} ms after the call, then {took} ms", self.bytes)
    }
}
