//! When an endpoint last started, by this process's clock. The list states the time by another machine's wall clock.
//! That clock and this host's may each be wrong by an hour either way, so the stated time is checked against the
//! earliest and latest time that this process knows to be possible by its monotonic clock.
use oakhollow::types::Micros;
use std::time::Instant;

/// How long after its start an endpoint may first appear on a list that is otherwise up to date.
const MAX_LISTING_DELAY: Micros = Micros::millis(2_000);

/// When a list arrived, by the monotonic clock.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListArrival {
    /// When it arrived.
    pub at: Instant,
    /// Until when the list before it is known to have been complete: an endpoint that is new on this list started
    /// after that.
    pub complete_until: Option<Instant>,
}

impl ListArrival {
    /// Arrived now, with nothing known of the time before.
    pub fn now() -> ListArrival {
        ListArrival { at: Instant::now(), complete_until: None }
    }
}

/// The period within which an endpoint that is new on a list must have started.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StartWindow {
    /// When the list arrived.
    pub latest: Micros,
    /// Until when the endpoint is known not to have started, if that is known.
    pub earliest: Option<Micros>,
}

impl StartWindow {
    /// The start time of an endpoint for which the list says `listed`, where 0 means long ago. A time outside the
    /// window is replaced by the time of the list's arrival: a cold server must not get the load of a warm one.
    pub fn plausible_start(&self, listed: Micros) -> Micros {
        let too_early = self.earliest.is_some_and(|earliest| listed + MAX_LISTING_DELAY < earliest);
        if listed.0 > 0 && (too_early || listed > self.latest) {
            return self.latest;
        }
        listed
    }
}
