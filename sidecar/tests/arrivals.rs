//! Guards against a pipelined request whose time counts from when its turn came instead of from when it came.
use oakhollow_sidecar::http1::arrivals::Arrivals;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

#[test]
fn each_of_several_messages_came_with_its_own_last_byte() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.last_byte_came_at(0), None);
    // Three messages of 100 bytes: the first in two parts, the second together with the end of the first.
    arrivals.record(60, start);
    arrivals.record(140, start + 100 * MS);
    arrivals.record(100, start + 500 * MS);
    assert_eq!(arrivals.last_byte_came_at(200), Some(start + 100 * MS));
    assert_eq!(arrivals.last_byte_came_at(100), Some(start + 100 * MS));
    assert_eq!(arrivals.last_byte_came_at(0), Some(start + 500 * MS));
}

#[test]
fn single_bytes_that_come_close_together_are_one_part() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for byte in 0..12 {
        arrivals.record(1, start + byte * MS);
    }
    assert_eq!(arrivals.last_byte_came_at(0), Some(start + 10 * MS));
}
