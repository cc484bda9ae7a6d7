//! How long a list may be used that is not heard any more, by what is known of discovery.
use oakhollow::types::Micros;
use oakhollow_sidecar::list_freshness::ListFreshness;

const GRACE: Micros = Micros::millis(1_500);
/// 6 s until a change counts as notified, and the grace, less what a process may be held up for.
const NOTIFIED: Micros = Micros::millis(7_200);
const LONG_LIST: usize = 3_200;

fn at(ms: u64) -> Micros {
    Micros::millis(ms)
}

/// A watch that told something last at 10 s.
fn heard() -> ListFreshness {
    let mut freshness = ListFreshness::started_at(at(0));
    freshness.heard(at(10_000));
    freshness
}

#[test]
fn a_list_is_used_for_ever_while_discovery_is_not_known_to_be_reached() {
    assert_eq!(heard().usable_until(GRACE), None);
    let mut freshness = heard();
    freshness.watch_ended(at(11_000));
    freshness.unreachable(at(30_000));
    assert_eq!(freshness.usable_until(GRACE), None);
}

#[test]
fn a_silent_watch_whose_discovery_takes_calls_bounds_it_from_its_last_sign() {
    let mut freshness = heard();
    freshness.connected(at(15_000), at(15_001), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at(10_000) + NOTIFIED));
    // Further calls that take no longer to come up change nothing, whatever becomes of them.
    freshness.connected(at(17_000), at(17_001), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at(10_000) + NOTIFIED));
    freshness.heard(at(17_100));
    assert_eq!(freshness.usable_until(GRACE), None);
}

#[test]
fn calls_that_come_to_nothing_after_an_end_count_as_an_outage_for_a_while() {
    let until = |endpoints| {
        let mut freshness = heard();
        freshness.watch_ended(at(11_000));
        freshness.connected(at(11_300), at(11_301), endpoints);
        freshness.usable_until(GRACE)
    };
    assert_eq!(until(LONG_LIST), Some(at(16_000) + NOTIFIED));
    assert_eq!(until(200), Some(at(21_000) + NOTIFIED));
    assert_eq!(until(0), Some(at(21_000) + NOTIFIED));
}

#[test]
fn an_answer_that_has_begun_shows_that_discovery_was_reached_by_its_call() {
    let mut freshness = heard();
    freshness.watch_ended(at(11_000));
    freshness.connected(at(11_300), at(11_301), LONG_LIST);
    freshness.answered(at(11_300));
    assert_eq!(freshness.usable_until(GRACE), Some(at(11_300) + NOTIFIED));
    // One that was begun later does not show that it could not be reached before.
    freshness.answered(at(14_000));
    assert_eq!(freshness.usable_until(GRACE), Some(at(11_300) + NOTIFIED));
}

#[test]
fn a_connection_that_comes_up_late_was_kept_from_discovery_until_then() {
    let mut freshness = heard();
    freshness.connected(at(15_000), at(18_000), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at(18_000) + NOTIFIED));
}

#[test]
fn without_a_stated_grace_there_is_no_bound() {
    let mut freshness = heard();
    freshness.connected(at(15_000), at(15_001), LONG_LIST);
    assert_eq!(freshness.usable_until(Micros(0)), None);
}
