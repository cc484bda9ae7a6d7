//! What a thread notices right after a stall is taken to have happened at its beginning.
use oakhollow_sidecar::stall_detector::Beats;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn what_is_noticed_right_after_a_stall_may_have_happened_at_its_beginning() {
    let start = Instant::now();
    let mut beats = Beats::start(start);
    beats.beat(start + 50 * MS);
    // On time, and a little late.
    assert_eq!(beats.earliest_occurrence(start + 60 * MS), start + 60 * MS);
    assert_eq!(beats.earliest_occurrence(start + 120 * MS), start + 120 * MS);
    // Noticed before the first beat after the stall, right after that beat, and well after it.
    assert_eq!(beats.earliest_occurrence(start + 1_050 * MS), start + 50 * MS);
    assert!(beats.beat(start + 1_050 * MS).is_some());
    assert_eq!(beats.earliest_occurrence(start + 1_060 * MS), start + 50 * MS);
    assert!(beats.beat(start + 1_100 * MS).is_none());
    assert_eq!(beats.earliest_occurrence(start + 1_120 * MS), start + 1_120 * MS);
}
