//! When the bytes of a connection came: a client counts the time of its request from when it sent the last byte of it,
//! and a request may have been read long before it is its turn, behind an earlier one on the same connection.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts that came within this time count as one, which bounds the number of parts of a client that sends single bytes.
const MERGED_WITHIN: Duration = Duration::from_millis(10);

/// The arrival times of bytes that belong to no message yet.
#[derive(Default, Debug)]
pub struct Arrivals {
    /// How many bytes have been received on the connection, without streamed bodies.
    received: u64,
    /// The end of each part that was received, as a count of all bytes up to it, and when its first byte came; in order.
    parts: VecDeque<(u64, Instant)>,
}

impl Arrivals {
    /// Records that the next bytes came at this time.
    pub fn record(&mut self, bytes: usize, came_at: Instant) {
        self.received += bytes as u64;
        match self.parts.back_mut() {
            Some((end, first_at)) if came_at.saturating_duration_since(*first_at) < MERGED_WITHIN => {
                *end = self.received;
            }
            _ => self.parts.push_back((self.received, came_at)),
        }
    }

    /// When the last byte of a message came that was just taken out, with so many bytes received after it; at most
    /// [`MERGED_WITHIN`] too early. Forgets the parts before that one. None if nothing has been received.
    pub fn last_byte_came_at(&mut self, bytes_after: usize) -> Option<Instant> {
        let message_end = self.received.saturating_sub(bytes_after as u64);
        while self.parts.len() > 1 && self.parts.front().is_some_and(|(end, _)| *end < message_end) {
            self.parts.pop_front();
        }
        self.parts.front().map(|(_, came_at)| *came_at)
    }
}
