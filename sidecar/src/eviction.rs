//! Which client connection is closed for a new one when the limit is reached: a small priority table. Holds no
//! sockets and reads no clock.
use std::time::{Duration, Instant};

/// When the bytes came of the request that a client is sending, and whether it goes on after pauses of its own.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SendingProgress {
    /// Part of a request has arrived.
    pub request_started: bool,
    /// When the last byte arrived, read or not, or the connection itself if there was none.
    pub last_byte_at: Instant,
    /// When bytes were read last, or the time from which they could be read.
    pub read_at: Instant,
    /// Bytes arrived after a pause, so the client is slow rather than stalled.
    pub resumed: bool,
}

impl SendingProgress {
    /// Nothing has arrived yet on a connection that is read from `now` on, and has been silent since then.
    pub fn new(silent_since: Instant, now: Instant) -> SendingProgress {
        SendingProgress { request_started: false, last_byte_at: silent_since, read_at: now, resumed: false }
    }

    /// Records that reading goes on from `now` on, and since when the client has sent nothing although it could.
    pub fn reading_resumed(&mut self, stalled_since: Option<Instant>, now: Instant) {
        (self.last_byte_at, self.read_at) = (stalled_since.unwrap_or(now), now);
    }

    /// Records that bytes were read now that arrived at `arrived_at`. Bytes that had to wait for earlier ones to be read
    /// do not count as sent after a pause.
    pub fn bytes_read(&mut self, arrived_at: Instant, now: Instant) {
        self.resumed |=
            self.request_started && arrived_at.saturating_duration_since(self.read_at) >= OWN_PAUSE;
        (self.last_byte_at, self.read_at) = (arrived_at, now);
    }
}

/// A client connection with no request open, or with one that its client is still sending.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct IdleConnection {
    /// It has had an answer.
    pub answered_before: bool,
    /// Part of a request has arrived.
    pub request_started: bool,
    /// The rest of that request has kept coming after pauses.
    pub resumed: bool,
    /// How long ago its last byte arrived, or the connection itself if there was none.
    pub silent_for: Duration,
    /// The number of connections from its address.
    pub same_source: usize,
}

/// How long a connection that has sent nothing yet is protected from eviction, however many new ones wait.
const NEW_CONNECTION_TIME: Duration = Duration::from_millis(100);
/// How long a client may pause within a request before it counts as stalled. A request may take seconds to arrive, in
/// pieces.
const STALLED_AFTER: Duration = Duration::from_millis(700);
/// A pause of this length between reading bytes and the arrival of the next ones is the client's own, and not the time
/// in which its machine learns that there is space for more.
const OWN_PAUSE: Duration = Duration::from_millis(50);

/// The order of eviction. Within a row, connections of the address with the most connections are evicted first, and of
/// these the one that has been silent the longest.
const EVICTION_ORDER: [fn(&IdleConnection) -> bool; 5] = [
    // Never answered, and silent or stalled within a request.
    |connection| {
        !connection.answered_before
            && !connection.resumed
            && connection.silent_for
                >= if connection.request_started { STALLED_AFTER } else { NEW_CONNECTION_TIME }
    },
    // Answered before, and idle.
    |connection| connection.answered_before && !connection.request_started,
    // Answered before, and stalled within a request.
    |connection| connection.answered_before && !connection.resumed && connection.silent_for >= STALLED_AFTER,
    // Still sending a request, as far as known: only if there is no other.
    |connection| {
        connection.request_started && !connection.resumed && connection.silent_for >= NEW_CONNECTION_TIME
    },
    // Sends a request slowly: only if there is no other, and none soon.
    |connection| connection.resumed && connection.silent_for >= STALLED_AFTER,
];
/// The row of clients that send slowly.
const SLOW_ROW: usize = EVICTION_ORDER.len() - 1;

/// The key of the connection to close. None if no connection is in the first row yet, but a new one soon will be if it
/// stays silent: many silent connections must not cause those of known clients to be closed. Those of clients that send
/// slowly are closed only while all are such.
pub fn next_to_evict<K: Copy>(connections: impl Iterator<Item = (K, IdleConnection)> + Clone) -> Option<K> {
    let any_new = connections.clone().any(|(_, connection)| {
        !connection.answered_before
            && !connection.request_started
            && connection.silent_for < NEW_CONNECTION_TIME
    });
    let any_unproven = connections.clone().any(|(_, connection)| !connection.resumed);
    let ranked = connections.filter_map(|(key, connection)| {
        let row = EVICTION_ORDER.iter().position(|matches| matches(&connection))?;
        Some((key, (std::cmp::Reverse(row), connection.same_source, connection.silent_for)))
    });
    let candidate = ranked.max_by_key(|(_, rank)| *rank);
    let in_turn = |row: usize| match row {
        0 => true,
        SLOW_ROW => !any_unproven,
        _ => !any_new,
    };
    candidate.filter(|(_, (row, ..))| in_turn(row.0)).map(|(key, _)| key)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_new_clients_are_evicted_first_and_sending_ones_last() {
        let connection = |answered_before, request_started, silent_ms, same_source| IdleConnection {
            answered_before,
            request_started,
            resumed: false,
            silent_for: Duration::from_millis(silent_ms),
            same_source,
        };
        let order = [
            connection(false, false, 150, 9),
            connection(false, false, 900, 1),
            connection(false, true, 800, 1),
            connection(true, false, 5000, 1),
            connection(true, false, 50, 1),
            connection(true, true, 800, 1),
            connection(true, true, 300, 1),
            connection(false, true, 200, 1),
        ];
        let mut left: Vec<(usize, IdleConnection)> = order.into_iter().enumerate().rev().collect();
        for expected in 0..order.len() {
            assert_eq!(next_to_evict(left.iter().copied()), Some(expected));
            left.retain(|(key, _)| *key != expected);
        }
        // New connections and those that have just sent something are kept. Connections answered before are not evicted
        // while a new silent one will become a candidate in a moment.
        let new_clients = [
            (0, connection(false, false, 50, 9)),
            (1, connection(false, true, 50, 9)),
            (2, connection(true, false, 900, 1)),
        ];
        assert_eq!(next_to_evict(new_clients.into_iter()), None);
    }

    #[test]
    fn clients_that_send_slowly_are_evicted_only_while_there_are_no_others() {
        let sending = |resumed, silent_ms| IdleConnection {
            answered_before: false,
            request_started: true,
            resumed,
            silent_for: Duration::from_millis(silent_ms),
            same_source: 1,
        };
        let crowd = |silent_ms| [(0, sending(true, 2_000)), (1, sending(false, silent_ms))].into_iter();
        assert_eq!(next_to_evict(crowd(10)), None);
        assert_eq!(next_to_evict(crowd(110)), Some(1));
        assert_eq!(next_to_evict([(0, sending(true, 2_000))].into_iter()), Some(0));
        assert_eq!(next_to_evict([(0, sending(true, 600))].into_iter()), None);
    }

    #[test]
    fn only_a_pause_of_the_client_shows_that_it_sends_slowly() {
        let (start, ms) = (Instant::now(), Duration::from_millis);
        let mut progress = SendingProgress::new(start, start + ms(900));
        // Half a request waited unread for 0.9 s. The rest of it that fits came once there was space.
        progress.bytes_read(start, start + ms(900));
        progress.request_started = true;
        progress.bytes_read(start + ms(901), start + ms(902));
        assert!(!progress.resumed && progress.last_byte_at == start + ms(901));
        progress.bytes_read(start + ms(1_002), start + ms(1_002));
        assert!(progress.resumed);
    }
}
