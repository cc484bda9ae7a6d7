//! How long a process that was told to stop goes on, and what it does until when.
use crate::timers::duration;
use oakhollow::types::Micros;
use oakhollow_config::Settings;
use slog::{info, Logger};
use std::time::{Duration, Instant};

/// How long new connections are accepted after the stop signal: whatever routes clients here takes a moment to notice
/// that `/ready` has changed.
const UNREADY_NOTICE: Duration = Duration::from_millis(600);
/// The platform's rule for planned restarts: after the stop signal the process lives for the longest time that a
/// request may take, limited to `MAX_GRACE`, and `EXTRA_GRACE` more, before it may be killed.
const MAX_GRACE: Micros = Micros::millis(3_000);
const EXTRA_GRACE: Micros = Micros::millis(700);
/// How long before the end of the grace period, when the process may be killed, the last answer is due.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// How long before the last answer is due the last clients are taken in: a new connection may be that long without its
/// request.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(500);
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
    let (longest, last_answer) =
        (duration(longest_request), duration(grace_period(longest_request)) - LAST_ANSWER_MARGIN);
    if longest > last_answer {
        info!(
            log,
            "requests may take {} ms: one open at a restart is answered at most {} ms after the stop signal",
            longest.as_millis(),
            last_answer.as_millis()
        );
    }
}

/// The times of a shutdown.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shutdown {
    /// The earliest time at which the stop signal may have been sent, from which the platform counts the grace period.
    signal_sent_at: Instant,
    /// When the process noticed the stop signal, and reported that it is not ready.
    noticed_at: Instant,
    grace: Duration,
}

impl Shutdown {
    /// A shutdown by a signal that was noticed at `noticed_at`, and sent at `signal_sent_at` at the earliest.
    pub fn new(signal_sent_at: Instant, noticed_at: Instant, grace: Micros) -> Shutdown {
        Shutdown { signal_sent_at, noticed_at, grace: duration(grace) }
    }

    /// When the last answer is due.
    pub fn last_answer_at(&self) -> Instant {
        self.signal_sent_at + self.grace - LAST_ANSWER_MARGIN
    }

    /// Until when clients that wait to be accepted are taken in.
    pub fn accepting_ends_at(&self) -> Instant {
        self.last_answer_at() - LAST_REQUEST_TIME
    }

    /// Until when clients are served.
    pub fn serving_ends_at(&self, has_successor: bool) -> Instant {
        let share = if has_successor { SERVING_SHARE_WITH_SUCCESSOR } else { SERVING_SHARE };
        let planned = self.signal_sent_at + UNREADY_NOTICE.max(self.grace.mul_f64(share));
        // A signal that was noticed late leaves less than the usual time to those who route clients here.
        let noticed_by_clients = self.noticed_at + UNREADY_NOTICE;
        planned.max(noticed_by_clients.min(self.accepting_ends_at()))
    }
}
