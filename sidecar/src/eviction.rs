//! Which connection gives way to one that comes, where there is room for no more: a small table, without sockets or clock.
use std::time::Duration;

/// A connection with no request open.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct IdleConnection {
    /// It has had an answer before.
    pub answered_before: bool,
    /// A request has begun to come on it.
    pub request_started: bool,
    /// Since its last byte, or since it came.
    pub silent_for: Duration,
    /// How many connections its address has.
    pub same_source: usize,
}

/// How long one that has sent nothing yet is left alone, however many others wait.
const YOUTH: Duration = Duration::from_millis(100);
/// How long one that has begun may pause before it counts as one that has stopped half way. A request may take seconds to
/// come, in pieces.
const PAUSES: Duration = Duration::from_millis(700);

/// Who goes first. Of one row those go whose address has the most connections, and of these the longest silent.
const ROWS: [fn(&IdleConnection) -> bool; 4] = [
    // Never answered, and says nothing or has stopped half way.
    |one| !one.answered_before && one.silent_for >= if one.request_started { PAUSES } else { YOUTH },
    // Answered before, and nothing is asked on it.
    |one| one.answered_before && !one.request_started,
    // Answered before, and has stopped half way.
    |one| one.answered_before && one.silent_for >= PAUSES,
    // Still sending: only where nobody else is left.
    |one| one.request_started && one.silent_for >= YOUTH,
];

/// The one that gives way, by its key. None where one that has just come will be due in a moment: guards against kept
/// connections closed for a crowd that says nothing.
pub fn next_to_evict<K: Copy>(holders: impl Iterator<Item = (K, IdleConnection)> + Clone) -> Option<K> {
    let young = holders
        .clone()
        .any(|(_, one)| !one.answered_before && !one.request_started && one.silent_for < YOUTH);
    let ranked = holders.filter_map(|(key, one)| {
        let row = ROWS.iter().position(|row| row(&one))?;
        Some((key, (std::cmp::Reverse(row), one.same_source, one.silent_for)))
    });
    let first = ranked.max_by_key(|(_, rank)| *rank);
    first.filter(|(_, (row, ..))| row.0 == 0 || !young).map(|(key, _)| key)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silent_strangers_go_first_and_who_is_sending_last() {
        let one = |answered_before, request_started, silent_ms, same_source| IdleConnection {
            answered_before,
            request_started,
            silent_for: Duration::from_millis(silent_ms),
            same_source,
        };
        let order = [
            one(false, false, 150, 9),
            one(false, false, 900, 1),
            one(false, true, 800, 1),
            one(true, false, 5000, 1),
            one(true, false, 50, 1),
            one(true, true, 800, 1),
            one(true, true, 300, 1),
            one(false, true, 200, 1),
        ];
        let mut left: Vec<(usize, IdleConnection)> = order.into_iter().enumerate().rev().collect();
        for wanted in 0..order.len() {
            assert_eq!(next_to_evict(left.iter().copied()), Some(wanted));
            left.retain(|(key, _)| *key != wanted);
        }
        // Who has only just come, or sent, is left alone; and who was answered goes after those who will be due.
        let young =
            [(0, one(false, false, 50, 9)), (1, one(false, true, 50, 9)), (2, one(true, false, 900, 1))];
        assert_eq!(next_to_evict(young.into_iter()), None);
    }
}
