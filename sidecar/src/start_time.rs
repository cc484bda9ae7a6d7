//! When a server last started, on this process's own clock. The list tells it by another machine's wall clock, which may be
//! wrong by an hour either way, as may ours; what the process knows by its monotonic clock bounds it on both sides.
use oakhollow::types::Micros;
use std::time::Instant;

/// How much later than its start a server may come on a list that is otherwise up to date.
const LATENESS: Micros = Micros::millis(2_000);

/// When a list was heard, by the monotonic clock.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ListArrival {
    /// When it came.
    pub at: Instant,
    /// Until when what was heard before it is known to have been up to date: a server that is new on this list started
    /// after that.
    pub complete_until: Option<Instant>,
}

impl ListArrival {
    /// Heard now, with nothing known of what was so before.
    pub fn now() -> ListArrival {
        ListArrival { at: Instant::now(), complete_until: None }
    }
}

/// The time within which a server that is new on a list has started.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StartWindow {
    /// When the list came.
    pub latest: Micros,
    /// Until when it was known not to have started, if that is known.
    pub earliest: Option<Micros>,
}

impl StartWindow {
    /// When a server started whose list says `listed`, which is 0 for long ago. A time that can't be true counts as the
    /// moment at which it was heard: guards against sending a cold server what a warm one bears.
    pub fn plausible_start(&self, listed: Micros) -> Micros {
        let too_early = self.earliest.is_some_and(|earliest| listed + LATENESS < earliest);
        if listed.0 > 0 && (too_early || listed > self.latest) {
            return self.latest;
        }
        listed
    }
}
