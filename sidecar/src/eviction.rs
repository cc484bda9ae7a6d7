//! Which client connection is closed for a new one when the limit is reached: a small priority table. Holds no
//! sockets and reads no clock.
use std::time::Duration;

/// A client connection with no request open.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct IdleConnection {
    /// It has had an answer.
    pub answered_before: bool,
    /// Part of a request has arrived.
    pub request_started: bool,
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

/// The order of eviction. Within a row, connections of the address with the most connections are evicted first, and of
/// these the one that has been silent the longest.
const EVICTION_ORDER: [fn(&IdleConnection) -> bool; 4] = [
    // Never answered, and silent or stalled within a request.
    |connection| {
        !connection.answered_before
            && connection.silent_for
                >= if connection.request_started { STALLED_AFTER } else { NEW_CONNECTION_TIME }
    },
    // Answered before, and idle.
    |connection| connection.answered_before && !connection.request_started,
    // Answered before, and stalled within a request.
    |connection| connection.answered_before && connection.silent_for >= STALLED_AFTER,
    // Still sending a request: only if there is no other.
    |connection| connection.request_started && connection.silent_for >= NEW_CONNECTION_TIME,
];

/// The key of the connection to close. None if no connection is in the first row yet, but a new one soon will be if it
/// stays silent: many silent connections must not cause those of known clients to be closed.
pub fn next_to_evict<K: Copy>(connections: impl Iterator<Item = (K, IdleConnection)> + Clone) -> Option<K> {
    let any_new = connections.clone().any(|(_, connection)| {
        !connection.answered_before
            && !connection.request_started
            && connection.silent_for < NEW_CONNECTION_TIME
    });
    let ranked = connections.filter_map(|(key, connection)| {
        let row = EVICTION_ORDER.iter().position(|matches| matches(&connection))?;
        Some((key, (std::cmp::Reverse(row), connection.same_source, connection.silent_for)))
    });
    let candidate = ranked.max_by_key(|(_, rank)| *rank);
    candidate.filter(|(_, (row, ..))| row.0 == 0 || !any_new).map(|(key, _)| key)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_new_clients_are_evicted_first_and_sending_ones_last() {
        let connection = |answered_before, request_started, silent_ms, same_source| IdleConnection {
            answered_before,
            request_started,
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
}
