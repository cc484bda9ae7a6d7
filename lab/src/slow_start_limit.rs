//! Reads what a cold server was sent, by all processes together, and says whether it bears that.

/// What a cold server bears, as the settings have it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Ramp {
    /// Requests of mean work that it does in a second once it is warm.
    pub capacity: f64,
    pub cold_from: f64,
    pub warm_within_s: f64,
    /// It falls when it is sent so many times what it can do, for so long.
    pub fall_multiple: f64,
    pub fall_s: f64,
}

/// A request as the server saw it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Arrival {
    /// In seconds from the server's start.
    pub at: f64,
    pub process: usize,
}

/// A window of the ramp that ends with an arrival.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Window {
    pub until: f64,
    pub sent: usize,
    /// Of these, by processes that had been told of the start.
    pub told: usize,
    /// It falls when more are sent.
    pub most: f64,
}

impl Window {
    pub fn falls(&self) -> bool {
        self.sent as f64 > self.most
    }

    /// The sidecars' doing, and not that of lists which came late.
    pub fn breaks(&self) -> bool {
        self.falls() && 3 * self.told > 2 * self.sent
    }
}

impl Ramp {
    /// What a window may hold that begins so long after the start: by the capacity of that moment, the least in it.
    pub fn most(&self, begins: f64) -> f64 {
        let share = self.cold_from + (1.0 - self.cold_from) * begins / self.warm_within_s;
        let allowed = self.fall_multiple * self.capacity * share * self.fall_s;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Every window of the ramp that ends with an arrival; `told` is when each process was told of the start, in seconds
    /// from it.
    pub fn windows(&self, arrivals: &[Arrival], told: &[f64]) -> Vec<Window> {
        let mut arrivals = arrivals.to_vec();
        arrivals.sort_by(|one, other| one.at.total_cmp(&other.at));
        let (mut first, mut windows) = (0, Vec::new());
        for (last, arrival) in arrivals.iter().enumerate() {
            let begins = (arrival.at - self.fall_s).max(0.0);
            if begins >= self.warm_within_s {
                break;
            }
            while arrivals[first].at + self.fall_s <= arrival.at {
                first += 1;
            }
            let inside = &arrivals[first..=last];
            let knew = |arrival: &&Arrival| told.get(arrival.process).is_some_and(|told| *told <= arrival.at);
            let most = self.most(begins);
            let told = inside.iter().filter(knew).count();
            windows.push(Window { until: arrival.at, sent: inside.len(), told, most });
        }
        windows
    }
}

/// The fullest of these windows, by what it may hold.
pub fn fullest(windows: &[Window]) -> Option<Window> {
    let full = |window: &Window| window.sent as f64 / window.most;
    windows.iter().copied().max_by(|one, other| full(one).total_cmp(&full(other)))
}
