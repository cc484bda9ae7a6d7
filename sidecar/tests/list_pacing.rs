//! The pause after a list request that was rejected after a wait: it grows with the number of instances in the tier, and
//! with how long the request waited.
use oakhollow_sidecar::http1::watch::pacing::pause_after_rejection;
use std::time::Duration;

const WAITED: Duration = Duration::from_secs(2);

#[test]
fn a_request_rejected_at_once_is_followed_by_no_pause() {
    assert_eq!(pause_after_rejection(Duration::from_millis(300), 900, 1.0), Duration::ZERO);
}

#[test]
fn a_tier_keeps_its_request_rate_but_a_pause_is_at_most_five_times_the_wait() {
    let (shortest, longest) =
        (pause_after_rejection(WAITED, 160, 0.0), pause_after_rejection(WAITED, 160, 1.0));
    assert_eq!((shortest, longest), (Duration::from_millis(1_250), Duration::from_secs(5)));
    assert_eq!(pause_after_rejection(WAITED, 900, 1.0), 5 * WAITED);
}

#[test]
fn in_a_small_tier_the_pause_is_no_longer_than_the_decision_modules_backoff() {
    assert!(pause_after_rejection(WAITED, 30, 1.0) < Duration::from_secs(1));
}
