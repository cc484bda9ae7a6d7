//! Which start times of a server on a list are believed.
use oakhollow::types::Micros;
use oakhollow_sidecar::start_time::StartWindow;

const NOW: Micros = Micros::millis(10_000_000);
const HOUR: Micros = Micros::millis(3_600_000);

fn window(complete_for_ms: Option<u64>) -> StartWindow {
    StartWindow { latest: NOW, earliest: complete_for_ms.map(|length| NOW - Micros::millis(length)) }
}

#[test]
fn a_plausible_start_time_is_believed() {
    let a_while_ago = NOW - Micros::millis(900);
    for window in [window(None), window(Some(500)), window(Some(1_500))] {
        assert_eq!(window.plausible_start(a_while_ago), a_while_ago);
        assert_eq!(window.plausible_start(NOW), NOW);
        // Long ago.
        assert_eq!(window.plausible_start(Micros(0)), Micros(0));
    }
    assert_eq!(window(None).plausible_start(NOW - HOUR), NOW - HOUR);
}

#[test]
fn an_impossible_start_time_counts_as_now() {
    assert_eq!(window(None).plausible_start(NOW + HOUR), NOW);
    assert_eq!(window(Some(500)).plausible_start(NOW + Micros(1)), NOW);
    // New on a list that was up to date half a second ago; a list may be up to 2 s late.
    assert_eq!(window(Some(500)).plausible_start(NOW - Micros::millis(2_501)), NOW);
    assert_eq!(window(Some(500)).plausible_start(NOW - HOUR), NOW);
}
