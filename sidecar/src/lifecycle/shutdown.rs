//! How long a process that was told to stop goes on, and what it does until when.
use crate::timers::duration;
use oakhollow::types::Micros;
use oakhollow_config::Settings;
use slog::{info, Logger};
use std::time::Duration;

/// How long new connections are accepted after the stop signal: whatever routes clients here takes a moment to notice
/// that `/ready` has changed.
const UNREADY_NOTICE: Duration = Duration::from_millis(600);
/// The platform's rule for planned restarts: after the stop signal the process lives for the longest time that a
/// request may take, limited to `MAX_GRACE`, and `EXTRA_GRACE` more, before it may be killed.
const MAX_GRACE: Micros = Micros::millis(3_000);
const EXTRA_GRACE: Micros = Micros::millis(700);
/// How long before the end of the grace period, when the process may be killed, the last answer is due.
const LAST_ANSWER_MARGIN: Micros = Micros::millis(150);
/// The share of the grace period for which clients are still served: alone, and while a successor accepts the new
/// ones.
const SERVING_SHARE: f64 = 0.5;
const SERVING_SHARE_WITH_SUCCESSOR: f64 = 0.65;

/// The longest that any request may take.
pub fn longest_request_time(settings: &Settings) -> Micros {
    settings.workloads.iter().map(|workload| workload.max_client_wait).max().unwrap_or_default()
}

/// How long the process may live after the stop signal.
pub fn grace_period(longest_request: Micros) -> Micros {
    longest_request.min(MAX_GRACE) + EXTRA_GRACE
}

/// Logs that a restart cuts requests short, if they may take longer than the grace period.
pub fn log_if_requests_are_cut_short(log: &Logger, longest_request: Micros) {
    let last_answer = last_answer_time(grace_period(longest_request));
    if longest_request > last_answer {
        let (longest_request, last_answer) = (longest_request.0 / 1000, last_answer.0 / 1000);
        info!(
            log,
            "requests may take {} ms: one open at a restart is answered at most {} ms after the stop signal",
            longest_request,
            last_answer
        );
    }
}

/// How long after the stop signal clients are still served, by the grace period.
pub fn serving_time(grace: Micros, has_successor: bool) -> Duration {
    let share = if has_successor { SERVING_SHARE_WITH_SUCCESSOR } else { SERVING_SHARE };
    UNREADY_NOTICE.max(duration(grace.times(share)))
}

/// How long after the stop signal the last answer is due, by the grace period.
pub fn last_answer_time(grace: Micros) -> Micros {
    grace - LAST_ANSWER_MARGIN
}
