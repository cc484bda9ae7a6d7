//! How long a list may be used that is no longer updated, depending on what is known of discovery.
use oakhollow::types::Micros;
use oakhollow_sidecar::list_freshness::ListFreshness;

const GRACE: Micros = Micros::millis(1_500);
/// 6 s until a change counts as notified, plus the grace, minus the time for which a process may be suspended.
const USABLE_FOR: Micros = Micros::millis(7_200);
const LONG_LIST: usize = 3_200;

fn at(ms: u64) -> Micros {
    Micros::millis(ms)
}

/// A watch whose last update came at 10 s.
fn updated_at_10_s() -> ListFreshness {
    let mut freshness = ListFreshness::started_at(at(0));
    freshness.heard(at(10_000));
    freshness
}

#[test]
fn there_is_no_bound_while_discovery_is_not_known_to_be_reachable() {
    assert_eq!(updated_at_10_s().usable_until(GRACE), None);
    let mut freshness = updated_at_10_s();
    freshness.watch_ended(at(11_000));
    freshness.unreachable(at(30_000));
    assert_eq!(freshness.usable_until(GRACE), None);
}

#[test]
fn with_discovery_reachable_a_silent_watch_bounds_use_from_its_last_update() {
    let mut freshness = updated_at_10_s();
    freshness.connected(at(15_000), at(15_001), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at(10_000) + USABLE_FOR));
    // Further requests that connect as quickly change nothing, whatever their end.
    freshness.connected(at(17_000), at(17_001), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at(10_000) + USABLE_FOR));
    freshness.heard(at(17_100));
    assert_eq!(freshness.usable_until(GRACE), None);
}

#[test]
fn unanswered_requests_after_a_watch_ended_count_as_an_outage_for_a_while() {
    let until = |endpoints| {
        let mut freshness = updated_at_10_s();
        freshness.watch_ended(at(11_000));
        freshness.connected(at(11_300), at(11_301), endpoints);
        freshness.usable_until(GRACE)
    };
    assert_eq!(until(LONG_LIST), Some(at(16_000) + USABLE_FOR));
    assert_eq!(until(200), Some(at(21_000) + USABLE_FOR));
    assert_eq!(until(0), Some(at(21_000) + USABLE_FOR));
}

#[test]
fn an_answer_shows_that_discovery_was_reachable_from_its_requests_start() {
    let mut freshness = updated_at_10_s();
    freshness.watch_ended(at(11_000));
    freshness.connected(at(11_300), at(11_301), LONG_LIST);
    freshness.answered(at(11_300));
    assert_eq!(freshness.usable_until(GRACE), Some(at(11_300) + USABLE_FOR));
    // An answer to a later request does not show that discovery was unreachable before.
    freshness.answered(at(14_000));
    assert_eq!(freshness.usable_until(GRACE), Some(at(11_300) + USABLE_FOR));
}

#[test]
fn a_connection_that_took_long_shows_that_discovery_was_unreachable_until_then() {
    let mut freshness = updated_at_10_s();
    freshness.connected(at(15_000), at(18_000), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at(18_000) + USABLE_FOR));
}

#[test]
fn without_a_grace_in_the_settings_there_is_no_bound() {
    let mut freshness = updated_at_10_s();
    freshness.connected(at(15_000), at(15_001), LONG_LIST);
    assert_eq!(freshness.usable_until(Micros(0)), None);
}
