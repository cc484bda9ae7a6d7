//! Which start times that the list gives for a server are plausible. Others are replaced by the current time.
use oakhollow::types::Micros;
use oakhollow_sidecar::start_time::StartWindow;

const NOW: Micros = Micros::millis(10_000_000);
const HOUR: Micros = Micros::millis(3_600_000);

fn window(complete_for_ms: Option<u64>) -> StartWindow {
    StartWindow { latest: NOW, earliest: complete_for_ms.map(|length| NOW - Micros::millis(length)) }
}

#[test]
fn a_plausible_start_time_is_used() {
    let a_while_ago = NOW - Micros::millis(900);
    for window in [window(None), window(Some(500)), window(Some(1_500))] {
        assert_eq!(window.plausible_start(a_while_ago), a_while_ago);
        assert_eq!(window.plausible_start(NOW), NOW);
        // A server that started long ago.
        assert_eq!(window.plausible_start(Micros(0)), Micros(0));
    }
    assert_eq!(window(None).plausible_start(NOW - HOUR), NOW - HOUR);
}

#[test]
fn an_impossible_start_time_counts_as_now() {
    assert_eq!(window(None).plausible_start(NOW + HOUR), NOW);
    assert_eq!(window(Some(500)).plausible_start(NOW + Micros(1)), NOW);
    // Too early: it was missing from a list that was complete half a second ago, and a server is listed at most 2 s
    // after its start.
    assert_eq!(window(Some(500)).plausible_start(NOW - Micros::millis(2_501)), NOW);
    assert_eq!(window(Some(500)).plausible_start(NOW - HOUR), NOW);
}
