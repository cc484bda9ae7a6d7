//! Checks whether all processes together sent a cold server no more than it can take while it warms up.

/// The load that a cold server can take, as the settings describe it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct SlowStart {
    /// Requests of mean work that it handles in a second once it is warm.
    pub capacity: f64,
    /// The setting `cold_from`: the share of its capacity that it has at its start.
    pub cold_from: f64,
    /// The setting `warm_within_s`: how long it warms up.
    pub warm_within_s: f64,
    /// It collapses under this multiple of its capacity, for as long as `fall_s`.
    pub fall_multiple: f64,
    /// The setting `fall_s`: the length of a window, in seconds.
    pub fall_s: f64,
}

/// A request that the server received.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Arrival {
    /// When it arrived, in seconds from the server's start.
    pub received_at: f64,
    /// The process that sent it.
    pub process: usize,
}

/// A window of the warm-up that ends with an arrival.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Window {
    /// When it ends, in seconds from the server's start.
    pub end_s: f64,
    /// How many requests arrived in it.
    pub sent: usize,
    /// How many of these came from processes that had been told of the start.
    pub sent_by_informed: usize,
    /// The server collapses under more than this.
    pub limit: f64,
}

impl Window {
    /// Whether the server collapses.
    pub fn collapses(&self) -> bool {
        self.sent as f64 > self.limit
    }

    /// Whether it collapses and over two thirds of the requests came from processes that knew of the start. Otherwise
    /// the cause is that lists came late.
    pub fn is_violation(&self) -> bool {
        self.collapses() && 3 * self.sent_by_informed > 2 * self.sent
    }
}

impl SlowStart {
    /// How many requests a window may have that begins this long after the start. It uses the capacity at the
    /// window's beginning, the lowest within it.
    pub fn limit(&self, begin_s: f64) -> f64 {
        let share = self.cold_from + (1.0 - self.cold_from) * begin_s / self.warm_within_s;
        let allowed = self.fall_multiple * self.capacity * share * self.fall_s;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Every window of the warm-up that ends with an arrival. `informed_at` has when each process was told of the
    /// start, in seconds after the start.
    pub fn windows(&self, arrivals: &[Arrival], informed_at: &[f64]) -> Vec<Window> {
        let mut arrivals = arrivals.to_vec();
        arrivals.sort_by(|one, other| one.received_at.total_cmp(&other.received_at));
        let (mut first, mut windows) = (0, Vec::new());
        for (last, arrival) in arrivals.iter().enumerate() {
            let begin_s = (arrival.received_at - self.fall_s).max(0.0);
            if begin_s >= self.warm_within_s {
                break;
            }
            while arrivals[first].received_at + self.fall_s <= arrival.received_at {
                first += 1;
            }
            let inside = &arrivals[first..=last];
            let informed = |arrival: &&Arrival| {
                informed_at
                    .get(arrival.process)
                    .is_some_and(|informed_at| *informed_at <= arrival.received_at)
            };
            let limit = self.limit(begin_s);
            let sent_by_informed = inside.iter().filter(informed).count();
            windows.push(Window { end_s: arrival.received_at, sent: inside.len(), sent_by_informed, limit });
        }
        windows
    }
}

/// The window that is fullest in relation to its limit.
pub fn fullest(windows: &[Window]) -> Option<Window> {
    let full = |window: &Window| window.sent as f64 / window.limit;
    windows.iter().copied().max_by(|one, other| full(one).total_cmp(&full(other)))
}
