//! How long a call for the list waits that follows one which discovery turned away late: a queue that is longer than its callers wait
//! works for calls that were given up, and gets no shorter while each of them is soon made again.
use std::time::Duration;

/// A call that was turned away sooner found no queue: discovery refused it at once, and the module's back-off is enough.
const LATE: Duration = Duration::from_millis(500);
/// Calls a second that all instances of a tier make together at the least pace.
const CALLS_A_SECOND: f64 = 32.0;
/// No wait is longer than so many times what the call has waited: with it, one call in four or more of the tier is in the queue.
const MOST_TIMES: f64 = 5.0;
/// The shortest wait, as a part of the longest.
const LEAST_PART: f64 = 0.25;

/// How long the next call waits after one that was turned away when it had waited for so long, in a tier of so many instances. `lot` is
/// drawn from 0 to 1: guards against calls that come together again.
pub fn pause_after_rejection(waited: Duration, instances: u32, lot: f64) -> Duration {
    if waited < LATE {
        return Duration::ZERO;
    }
    let by_tier = Duration::from_secs_f64(f64::from(instances) / CALLS_A_SECOND);
    let longest = by_tier.min(waited.mul_f64(MOST_TIMES));
    longest.mul_f64(LEAST_PART + (1.0 - LEAST_PART) * lot)
}
