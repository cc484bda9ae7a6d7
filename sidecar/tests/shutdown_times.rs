//! The times of a shutdown count from when the stop signal was sent.
use oakhollow::types::Micros;
use oakhollow_sidecar::lifecycle::shutdown::Shutdown;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_signal_noticed_at_once_leaves_half_of_the_grace_period_for_serving() {
    let now = Instant::now();
    let shutdown = Shutdown::new(now, now, Micros::millis(2_700));
    assert_eq!(shutdown.serving_ends_at(false), now + 1_350 * MS);
    assert_eq!(shutdown.serving_ends_at(true), now + 1_755 * MS);
    assert_eq!(shutdown.last_answer_at(), now + 2_550 * MS);
}

#[test]
fn the_last_answer_is_due_before_the_kill_however_late_the_signal_is_noticed() {
    let sent_at = Instant::now();
    for (noticed_after_ms, serving_ms) in [(700, 1_350), (1_000, 1_600), (1_500, 2_050), (2_600, 2_050)] {
        let shutdown = Shutdown::new(sent_at, sent_at + noticed_after_ms * MS, Micros::millis(2_700));
        assert_eq!(shutdown.serving_ends_at(false), sent_at + serving_ms * MS, "{noticed_after_ms}");
        assert_eq!(shutdown.last_answer_at(), sent_at + 2_550 * MS);
    }
}
