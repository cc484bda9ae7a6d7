//! How long to wait after a list request that discovery rejected late. A request queue that takes longer than its
//! clients wait serves requests that were given up, and does not shrink while each of them is soon repeated.
use std::time::Duration;

/// A request rejected sooner than this did not wait in a queue, and the decision module's backoff is enough.
const LATE_REJECTION: Duration = Duration::from_millis(500);
/// The rate, in requests per second, to which the longest pauses slow all instances of a tier together.
const TIER_REQUESTS_PER_S: f64 = 32.0;
/// The longest pause, as a multiple of the time that the request waited. It keeps a quarter or more of the tier's
/// requests in the queue.
const MAX_PAUSE_PER_WAIT: f64 = 5.0;
/// The shortest pause, as a share of the longest.
const MIN_PAUSE_SHARE: f64 = 0.25;

/// Whether the next request follows a rejected one without the decision module's backoff: the request waited in
/// discovery's queue, which paces this instance enough, and the tier is too small to overload discovery by itself.
/// Backoffs between rejected requests would take most of the time in which a change has to be heard.
pub fn skips_backoff(waited: Duration, instances: u32) -> bool {
    waited >= LATE_REJECTION && longest_pause_for_tier(instances) <= LATE_REJECTION
}

fn longest_pause_for_tier(instances: u32) -> Duration {
    Duration::from_secs_f64(f64::from(instances) / TIER_REQUESTS_PER_S)
}

/// How long to wait after a request that was rejected after `waited`, in a tier with this many instances. `random` is
/// drawn uniformly from 0 to 1, so that the next requests don't arrive all at once.
pub fn pause_after_rejection(waited: Duration, instances: u32, random: f64) -> Duration {
    if waited < LATE_REJECTION {
        return Duration::ZERO;
    }
    let longest = longest_pause_for_tier(instances).min(waited.mul_f64(MAX_PAUSE_PER_WAIT));
    longest.mul_f64(MIN_PAUSE_SHARE + (1.0 - MIN_PAUSE_SHARE) * random)
}
