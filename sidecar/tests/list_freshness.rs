//! How long a list that is no longer updated may be used, depending on what is known about discovery.
use oakhollow::types::Micros;
use oakhollow_sidecar::list_freshness::ListFreshness;

const GRACE: Micros = Micros::millis(1_500);
/// 6 s until a change counts as notified, plus the grace, minus 0.3 s by which a process may be delayed.
const USABLE_FOR: Micros = Micros::millis(7_200);
/// A list with so many endpoints that rejected requests may mean an overloaded discovery.
const LONG_LIST: usize = 3_200;

fn at_ms(ms: u64) -> Micros {
    Micros::millis(ms)
}

/// The state after a watch whose last update came at 10 s.
fn updated_at_10_s() -> ListFreshness {
    let mut freshness = ListFreshness::started_at(at_ms(0));
    freshness.heard(at_ms(10_000));
    freshness
}

#[test]
fn the_list_is_usable_without_limit_while_discovery_is_not_known_to_be_reachable() {
    assert_eq!(updated_at_10_s().usable_until(GRACE), None);
    let mut freshness = updated_at_10_s();
    freshness.watch_ended(at_ms(11_000));
    freshness.unreachable(at_ms(30_000));
    assert_eq!(freshness.usable_until(GRACE), None);
}

#[test]
fn if_discovery_is_reachable_a_silent_watch_limits_how_long_its_list_is_usable() {
    let mut freshness = updated_at_10_s();
    freshness.connected(at_ms(15_000), at_ms(15_001), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at_ms(10_000) + USABLE_FOR));
    // Further requests that connect as quickly change nothing, whatever their outcome.
    freshness.connected(at_ms(17_000), at_ms(17_001), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at_ms(10_000) + USABLE_FOR));
    freshness.heard(at_ms(17_100));
    assert_eq!(freshness.usable_until(GRACE), None);
}

#[test]
fn after_a_watch_ended_discovery_counts_as_down_for_a_while_if_requests_are_not_answered() {
    let usable_until_with = |endpoints| {
        let mut freshness = updated_at_10_s();
        freshness.watch_ended(at_ms(11_000));
        freshness.connected(at_ms(11_300), at_ms(11_301), endpoints);
        freshness.usable_until(GRACE)
    };
    assert_eq!(usable_until_with(LONG_LIST), Some(at_ms(16_000) + USABLE_FOR));
    assert_eq!(usable_until_with(200), Some(at_ms(21_000) + USABLE_FOR));
    assert_eq!(usable_until_with(0), Some(at_ms(21_000) + USABLE_FOR));
}

#[test]
fn an_answer_shows_that_discovery_was_reachable_since_its_request_began() {
    let mut freshness = updated_at_10_s();
    freshness.watch_ended(at_ms(11_000));
    freshness.connected(at_ms(11_300), at_ms(11_301), LONG_LIST);
    freshness.answered(at_ms(11_300));
    assert_eq!(freshness.usable_until(GRACE), Some(at_ms(11_300) + USABLE_FOR));
    // An answer to a later request does not show that discovery was unreachable before.
    freshness.answered(at_ms(14_000));
    assert_eq!(freshness.usable_until(GRACE), Some(at_ms(11_300) + USABLE_FOR));
}

#[test]
fn a_slow_connection_shows_that_discovery_was_unreachable_until_it_was_established() {
    let mut freshness = updated_at_10_s();
    freshness.connected(at_ms(15_000), at_ms(18_000), LONG_LIST);
    assert_eq!(freshness.usable_until(GRACE), Some(at_ms(18_000) + USABLE_FOR));
}

#[test]
fn without_a_grace_in_the_settings_the_list_is_usable_without_limit() {
    let mut freshness = updated_at_10_s();
    freshness.connected(at_ms(15_000), at_ms(15_001), LONG_LIST);
    assert_eq!(freshness.usable_until(Micros(0)), None);
}
