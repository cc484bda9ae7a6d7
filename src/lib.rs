//! Decision module of a sidecar load balancer. It has no sockets, clocks or threads: a host passes events to
//! [`rules::Balancer::on`] and executes the actions that come back. See `docs/design.md`.
//!
//! The interface types are in [`types`]. This file holds the statistics that the rules read: histograms,
//! quantiles, token buckets, the retry budget's sliding window and the random number generator.
pub mod fleet;
pub mod records;
pub mod rules;
pub mod server_health;
pub mod types;

use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use types::{Micros, RetryBudget};

/// A coarse histogram of durations: two bins per octave from 1 ms up. Its owner halves it from time to time,
/// so that old samples lose weight.
///
/// ```
/// use oakhollow::{types::Micros, CoarseHistogram};
/// let mut histogram = CoarseHistogram::default();
/// for ms in [10, 20, 20, 20, 400] {
///     histogram.record(Micros::millis(ms));
/// }
/// let median = histogram.median().unwrap();
/// assert!(median > Micros::millis(15) && median < Micros::millis(27));
/// let ratio = histogram.mean_to_median(); // the mean is 94 ms
/// assert!(ratio > 3.0 && ratio < 6.0);
/// ```
#[derive(Clone, Default, Debug)]
pub struct CoarseHistogram {
    counts: [f64; 28],
    pub total: f64,
}

impl CoarseHistogram {
    pub fn record(&mut self, duration: Micros) {
        let bin = ((duration.0.max(1) as f64 / 1000.0).log2() * 2.0).clamp(0.0, 27.0) as usize;
        self.counts[bin] += 1.0;
        self.total += 1.0;
    }

    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count *= 0.5);
        self.total *= 0.5;
    }

    /// The mean divided by the median, within the bins' precision; 1 for an empty histogram.
    pub fn mean_to_median(&self) -> f64 {
        let middle = |bin: usize| 2f64.powf((bin as f64 + 0.5) / 2.0) * 1000.0;
        let filled = self.counts.iter().enumerate().filter(|(_, count)| **count > 0.0);
        let sum: f64 = filled.map(|(bin, count)| count * middle(bin)).sum();
        self.median().map_or(1.0, |median| sum / self.total / median.0.max(1) as f64)
    }

    /// The median, interpolated inside its bin.
    pub fn median(&self) -> Option<Micros> {
        let mut below = 0.0;
        for (bin, &count) in self.counts.iter().enumerate() {
            if count > 0.0 && below + count >= self.total * 0.5 {
                let position = bin as f64 + (self.total * 0.5 - below) / count;
                return Some(Micros((2f64.powf(position / 2.0) * 1000.0) as u64));
            }
            below += count;
        }
        None
    }
}

/// One quantile of a duration over a sliding window of four slices. Samples are counted in log-linear
/// buckets, eight per octave. A slice is cleared when its turn comes again. The quantile is computed once per
/// slice, or on every read while there are too few samples. It is the upper bound of a bucket: too high by an
/// eighth at most, never too low.
///
/// ```
/// use oakhollow::{types::Micros, WindowedQuantile};
/// let mut latency = WindowedQuantile::new(Micros::millis(30_000), 0.9, 10);
/// assert_eq!(latency.get(Micros(0)), None);
/// for ms in 1..=20 {
///     latency.record(Micros(0), Micros::millis(ms));
/// }
/// let p90 = latency.get(Micros(0)).unwrap();
/// assert!(p90 >= Micros::millis(18) && p90 <= Micros::millis(21));
/// assert_eq!(latency.get(Micros::millis(60_000)), None); // all slices have expired
/// ```
#[derive(Clone, Default, Debug)]
pub struct WindowedQuantile {
    slice_length: Micros,
    quantile: f64,
    min_samples: u32,
    /// For each slice: its number since time zero, and its bucket counts.
    slices: [(u64, Vec<u32>); 4],
    /// The number of the slice in which the quantile was computed last, and its value.
    cached: (u64, Option<Micros>),
}

const BUCKETS: usize = 208;

impl WindowedQuantile {
    /// Without at least `min_samples` in the window there is no value.
    pub fn new(window: Micros, quantile: f64, min_samples: u32) -> WindowedQuantile {
        let slice = || (u64::MAX, vec![0; BUCKETS]);
        WindowedQuantile {
            slice_length: Micros(window.0 / 4),
            quantile,
            min_samples,
            slices: [slice(), slice(), slice(), slice()],
            cached: (0, None),
        }
    }

    fn bucket(duration: Micros) -> usize {
        let us = duration.0.max(1);
        if us < 8 {
            return us as usize;
        }
        let octave = 63 - us.leading_zeros() as usize;
        ((octave - 3) * 8 + (us >> (octave - 3)) as usize).min(BUCKETS - 1)
    }

    fn upper_bound(bucket: usize) -> Micros {
        let octave = bucket / 8;
        if octave == 0 {
            return Micros(bucket as u64 + 1);
        }
        Micros(((8 + bucket % 8) as u64 + 1) << (octave - 1))
    }

    pub fn record(&mut self, now: Micros, duration: Micros) {
        let current = now.0 / self.slice_length.0;
        let (number, counts) = &mut self.slices[(current % 4) as usize];
        if *number != current {
            *number = current;
            counts.fill(0);
        }
        counts[Self::bucket(duration)] += 1;
    }

    pub fn get(&mut self, now: Micros) -> Option<Micros> {
        let current = now.0 / self.slice_length.0;
        if self.cached.0 != current || self.cached.1.is_none() {
            self.cached = (current, self.compute(current));
        }
        self.cached.1
    }

    fn compute(&self, current: u64) -> Option<Micros> {
        let live = |number: u64| number <= current && current - number < 4;
        let in_window: Vec<_> = self.slices.iter().filter(|(number, _)| live(*number)).collect();
        let total: u32 = in_window.iter().flat_map(|(_, counts)| counts).sum();
        if total < self.min_samples {
            return None;
        }
        let mut seen = 0;
        let rank = (f64::from(total) * self.quantile).ceil() as u32;
        (0..BUCKETS).find_map(|bucket| {
            seen += in_window.iter().map(|(_, counts)| counts[bucket]).sum::<u32>();
            (seen >= rank).then(|| Self::upper_bound(bucket))
        })
    }
}

/// Counts of good and bad outcomes; they may be decayed, and so are not whole numbers.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct OutcomeCounts {
    pub good: f64,
    pub bad: f64,
}

impl OutcomeCounts {
    pub fn add(&mut self, good: bool) {
        *(if good { &mut self.good } else { &mut self.bad }) += 1.0;
    }

    /// Multiplies both counts by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.good *= factor;
        self.bad *= factor;
    }

    pub fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// The share of bad outcomes; 0 without any outcome.
    pub fn bad_share(&self) -> f64 {
        self.bad / self.total().max(1.0)
    }
}

impl std::iter::Sum for OutcomeCounts {
    fn sum<I: Iterator<Item = OutcomeCounts>>(counts: I) -> OutcomeCounts {
        counts.fold(OutcomeCounts::default(), |all, one| OutcomeCounts {
            good: all.good + one.good,
            bad: all.bad + one.bad,
        })
    }
}

/// A token bucket. Rate (tokens per second) and capacity are passed with each use, since both may change.
///
/// ```
/// use oakhollow::{types::Micros, TokenBucket};
/// let mut calls = TokenBucket { tokens: 1.0, updated: Micros(0) };
/// assert!(calls.try_take(0.5, 1.0, Micros(0)));
/// assert!(!calls.try_take(0.5, 1.0, Micros::millis(1_000)));
/// assert!(calls.try_take(0.5, 1.0, Micros::millis(2_000)));
/// ```
#[derive(Clone, Copy, Default, Debug)]
pub struct TokenBucket {
    pub tokens: f64,
    pub updated: Micros,
}

impl TokenBucket {
    /// The tokens in the bucket at `now`.
    pub fn available(&self, rate: f64, capacity: f64, now: Micros) -> f64 {
        (self.tokens + rate * (now - self.updated).secs()).min(capacity)
    }

    /// Like [`TokenBucket::available`], but a full bucket is emptied and fills again from zero. Of many
    /// buckets that fill at the same rate only a part holds a whole token at any time, so that they cannot
    /// all spend one at once.
    pub fn available_expiring(&self, rate: f64, capacity: f64, now: Micros) -> f64 {
        let saved = self.available(rate, f64::INFINITY, now);
        if saved > capacity {
            saved % capacity
        } else {
            saved
        }
    }

    /// Takes one token if there is one.
    pub fn try_take(&mut self, rate: f64, capacity: f64, now: Micros) -> bool {
        self.tokens = self.available(rate, capacity, now);
        self.updated = now;
        let enough = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(enough));
        enough
    }
}

/// Parts into which the window is divided for counting calls.
const WINDOW_PARTS: u64 = 32;

/// A sliding window that checks a [`RetryBudget`]: hops beyond calls' first against the calls accepted. Calls
/// are counted in whole parts that lie inside the window, hops for one part longer than the window. So the
/// budget holds for a window that ends at any instant, and also when measured by a clock that is slightly
/// off.
///
/// ```
/// use oakhollow::{types::{Micros, RetryBudget}, RetryBudgetWindow};
/// let mut window = RetryBudgetWindow::new(RetryBudget { base: 1.0, ratio: 0.1, window: Micros::millis(2_000) });
/// (0..10).for_each(|_| window.count_call(Micros(0)));
/// assert_eq!(window.allowed(Micros(0)), 2.0);
/// window.count_hop(Micros(0));
/// assert_eq!((window.used(Micros::millis(2_000)), window.used(Micros::millis(2_063))), (1, 0));
/// assert_eq!(window.allowed(Micros::millis(2_063)), 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudgetWindow {
    pub budget: RetryBudget,
    /// For each part: its number since time zero, and the calls accepted in it.
    calls: [(u64, u32); WINDOW_PARTS as usize],
    /// When hops beyond a call's first were sent.
    sent: VecDeque<Micros>,
    /// A new budget, and the time after which it applies in full.
    pending: Option<(Micros, RetryBudget)>,
}

impl RetryBudgetWindow {
    pub fn new(budget: RetryBudget) -> RetryBudgetWindow {
        RetryBudgetWindow {
            budget,
            calls: [(0, 0); WINDOW_PARTS as usize],
            sent: VecDeque::new(),
            pending: None,
        }
    }

    /// Applies a changed setting: a new budget, or none. The hops already counted stay. Otherwise a budget
    /// that is removed and set again would grant once more what earlier calls have spent.
    pub fn reconfigured(
        previous: Option<RetryBudgetWindow>, budget: Option<RetryBudget>, now: Micros,
    ) -> Option<RetryBudgetWindow> {
        budget.map(|budget| {
            let nothing = RetryBudget { base: 0.0, ratio: 0.0, ..budget };
            let mut window = previous.unwrap_or_else(|| RetryBudgetWindow::new(nothing));
            window.set_budget(budget, now);
            window
        })
    }

    /// Changes the budget. A decrease applies at once, an increase one window later. Otherwise one window
    /// could contain what two budgets, or two processes that follow each other, grant together.
    pub fn set_budget(&mut self, budget: RetryBudget, now: Micros) {
        if self.pending.map_or(self.budget, |(_, budget)| budget) == budget {
            return;
        }
        if budget.window != self.budget.window {
            self.calls = [(0, 0); WINDOW_PARTS as usize];
        }
        let longest = budget.window.max(self.budget.window);
        self.pending = Some((now + longest + Micros(longest.0 / WINDOW_PARTS), budget));
        let (base, ratio) = (budget.base.min(self.budget.base), budget.ratio.min(self.budget.ratio));
        self.budget = RetryBudget { base, ratio, ..budget };
    }

    /// Applies a pending budget whose time has come.
    fn apply_pending(&mut self, now: Micros) {
        if let Some((_, budget)) = self.pending.filter(|(from, _)| now > *from) {
            (self.budget, self.pending) = (budget, None);
        }
    }

    fn part_length(&self) -> u64 {
        (self.budget.window.0 / WINDOW_PARTS).max(1)
    }

    /// Counts an accepted call.
    pub fn count_call(&mut self, now: Micros) {
        let current = now.0 / self.part_length();
        let (number, count) = &mut self.calls[(current % WINDOW_PARTS) as usize];
        *count = if *number == current { *count + 1 } else { 1 };
        *number = current;
    }

    /// Counts a hop beyond its call's first.
    pub fn count_hop(&mut self, now: Micros) {
        self.sent.push_back(now);
    }

    /// The number of hops allowed in the window that ends now.
    pub fn allowed(&mut self, now: Micros) -> f64 {
        self.apply_pending(now);
        let current = now.0 / self.part_length();
        let inside = self.calls.iter().filter(|(number, _)| number + WINDOW_PARTS > current);
        self.budget.base + self.budget.ratio * inside.map(|(_, count)| f64::from(*count)).sum::<f64>()
    }

    /// The hops counted in the window that ends now.
    pub fn used(&mut self, now: Micros) -> usize {
        let kept = self.budget.window + Micros(self.part_length());
        while self.sent.front().is_some_and(|sent| *sent + kept < now) {
            self.sent.pop_front();
        }
        self.sent.len()
    }

    /// The hops counted in the last `length` of time.
    pub fn used_within(&self, length: Micros, now: Micros) -> usize {
        self.sent.iter().rev().take_while(|sent| **sent + length > now).count()
    }
}

/// An exponentially smoothed rate of events. The first period with events sets the rate without smoothing.
#[derive(Clone, Copy, Default, Debug)]
pub struct SmoothedRate {
    /// Events counted in the current period.
    pub count: f64,
    pub per_second: f64,
}

impl SmoothedRate {
    /// Ends a period: moves the rate towards the one counted, by the factor `weight`.
    pub fn end_period(&mut self, length: Micros, weight: f64) {
        let weight = if self.per_second > 0.0 { weight } else { 1.0 };
        self.per_second += weight * (self.count / length.secs() - self.per_second);
        self.count = 0.0;
    }
}

/// A seeded random number generator; the same seed gives the same sequence.
#[derive(Clone)]
pub struct SeededRng(WyRand);

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::new(0)
    }
}

impl SeededRng {
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(WyRand::new_seed(seed))
    }

    /// A uniform random number, at least 0 and less than 1.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.generate::<u32>()) / 4294967296.0
    }

    /// A uniform random number less than `count`, which must not be 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.generate_range(0..count)
    }
}

/// Mixes the bits of a number into a well distributed hash.
pub fn mix64(number: u64) -> u64 {
    let mixed = (number ^ (number >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 32)
}
