//! The wait after a call for the list that was turned away late: it grows with the tier, and with what the call has waited.
use oakhollow_sidecar::http1::watch::pacing::pause_after_rejection;
use std::time::Duration;

const WAITED: Duration = Duration::from_secs(2);

#[test]
fn a_call_that_was_turned_away_at_once_has_no_wait_of_its_own() {
    assert_eq!(pause_after_rejection(Duration::from_millis(300), 900, 1.0), Duration::ZERO);
}

#[test]
fn a_tier_makes_no_more_calls_a_second_than_it_is_allowed_unless_its_calls_wait_too_long() {
    let (least, most) = (pause_after_rejection(WAITED, 160, 0.0), pause_after_rejection(WAITED, 160, 1.0));
    assert_eq!((least, most), (Duration::from_millis(1_250), Duration::from_secs(5)));
    assert_eq!(pause_after_rejection(WAITED, 900, 1.0), 5 * WAITED);
}

#[test]
fn a_handful_of_instances_waits_no_longer_than_by_the_module_s_back_off() {
    assert!(pause_after_rejection(WAITED, 30, 1.0) < Duration::from_secs(1));
}
