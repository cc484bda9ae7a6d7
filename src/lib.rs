//! Decisions of a sidecar load balancer, without sockets, clocks or threads: a host hands events to
//! [`rules::Balancer::on`] and carries out the actions that come back. See `docs/design.md`.
//!
//! Beside the interface types ([`types`]) this file holds the measures that the rules read.
pub mod fleet;
pub mod records;
pub mod rules;
pub mod server_health;
pub mod types;

use nanorand::{Rng, WyRand};
use std::collections::VecDeque;
use types::{Micros, RetryBudget};

/// A coarse histogram: two bins an octave from 1 ms up, halved by its owner now and then.
///
/// ```
/// use oakhollow::{types::Micros, Bins};
/// let mut bins = Bins::default();
/// for ms in [10, 20, 20, 20, 400] {
///     bins.add(Micros::millis(ms));
/// }
/// let median = bins.median().unwrap();
/// assert!(median > Micros::millis(15) && median < Micros::millis(27));
/// assert!(bins.skew() > 3.0 && bins.skew() < 6.0); // the mean is 94 ms
/// ```
#[derive(Clone, Default, Debug)]
pub struct Bins {
    counts: [f64; 28],
    pub total: f64,
}

impl Bins {
    pub fn add(&mut self, length: Micros) {
        let bin = ((length.0.max(1) as f64 / 1000.0).log2() * 2.0).clamp(0.0, 27.0) as usize;
        self.counts[bin] += 1.0;
        self.total += 1.0;
    }

    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count *= 0.5);
        self.total *= 0.5;
    }

    /// The mean over the middle, as well as the bins tell it: 1 where nothing is known.
    pub fn skew(&self) -> f64 {
        let middle = |bin: usize| 2f64.powf((bin as f64 + 0.5) / 2.0) * 1000.0;
        let some = self.counts.iter().enumerate().filter(|(_, count)| **count > 0.0);
        let sum: f64 = some.map(|(bin, count)| count * middle(bin)).sum();
        self.median().map_or(1.0, |median| sum / self.total / median.0.max(1) as f64)
    }

    /// The middle, placed inside its bin by how many of the bin lie below it.
    pub fn median(&self) -> Option<Micros> {
        let mut below = 0.0;
        for (bin, &count) in self.counts.iter().enumerate() {
            if count > 0.0 && below + count >= self.total * 0.5 {
                let place = bin as f64 + (self.total * 0.5 - below) / count;
                return Some(Micros((2f64.powf(place / 2.0) * 1000.0) as u64));
            }
            below += count;
        }
        None
    }
}

/// Latency over a window kept in four slices, as the design has it: log-linear buckets (eight an octave),
/// each slice cleared when its turn comes again, the quantile worked out once a slice, or on every read
/// while there are few samples. It reports a bucket's upper bound: too long by an eighth, never too short.
///
/// ```
/// use oakhollow::{types::Micros, Slices};
/// let mut seen = Slices::new(Micros::millis(30_000), 0.9, 10);
/// assert_eq!(seen.quantile(Micros(0)), None);
/// for ms in 1..=20 {
///     seen.add(Micros(0), Micros::millis(ms));
/// }
/// let p90 = seen.quantile(Micros(0)).unwrap();
/// assert!(p90 >= Micros::millis(18) && p90 <= Micros::millis(21));
/// assert_eq!(seen.quantile(Micros::millis(60_000)), None); // old slices speak no more
/// ```
#[derive(Clone, Default, Debug)]
pub struct Slices {
    slice: Micros,
    share: f64,
    least: u32,
    rings: [(u64, Vec<u32>); 4],
    answer: (u64, Option<Micros>),
}

const BUCKETS: usize = 208;

impl Slices {
    pub fn new(window: Micros, share: f64, least: u32) -> Slices {
        let ring = || (u64::MAX, vec![0; BUCKETS]);
        Slices {
            slice: Micros(window.0 / 4),
            share,
            least,
            rings: [ring(), ring(), ring(), ring()],
            answer: (0, None),
        }
    }

    fn bucket(length: Micros) -> usize {
        let us = length.0.max(1);
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

    pub fn add(&mut self, now: Micros, length: Micros) {
        let turn = now.0 / self.slice.0;
        let (stamp, counts) = &mut self.rings[(turn % 4) as usize];
        if *stamp != turn {
            *stamp = turn;
            counts.fill(0);
        }
        counts[Self::bucket(length)] += 1;
    }

    pub fn quantile(&mut self, now: Micros) -> Option<Micros> {
        let turn = now.0 / self.slice.0;
        if self.answer.0 != turn || self.answer.1.is_none() {
            self.answer = (turn, self.work_out(turn));
        }
        self.answer.1
    }

    fn work_out(&self, turn: u64) -> Option<Micros> {
        let live = |stamp: u64| stamp <= turn && turn - stamp < 4;
        let fresh: Vec<_> = self.rings.iter().filter(|(stamp, _)| live(*stamp)).collect();
        let total: u32 = fresh.iter().flat_map(|(_, counts)| counts).sum();
        if total < self.least {
            return None;
        }
        let mut seen = 0;
        let wanted = (f64::from(total) * self.share).ceil() as u32;
        (0..BUCKETS).find_map(|bucket| {
            seen += fresh.iter().map(|(_, counts)| counts[bucket]).sum::<u32>();
            (seen >= wanted).then(|| Self::upper_bound(bucket))
        })
    }
}

/// Good and bad, in two bins.
#[derive(Clone, Copy, Default, PartialEq, Debug)]
pub struct OutcomeCounts {
    pub good: f64,
    pub bad: f64,
}

impl OutcomeCounts {
    pub fn add(&mut self, good: bool) {
        *(if good { &mut self.good } else { &mut self.bad }) += 1.0;
    }

    /// Makes all it holds count for less.
    pub fn fade(&mut self, factor: f64) {
        self.good *= factor;
        self.bad *= factor;
    }

    pub fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// The part that is bad; zero where nothing is known.
    pub fn rate(&self) -> f64 {
        self.bad / self.total().max(1.0)
    }
}

impl std::iter::Sum for OutcomeCounts {
    fn sum<I: Iterator<Item = OutcomeCounts>>(tallies: I) -> OutcomeCounts {
        tallies.fold(OutcomeCounts::default(), |all, one| OutcomeCounts {
            good: all.good + one.good,
            bad: all.bad + one.bad,
        })
    }
}

/// What may still be spent of something that comes in at a rate and is kept up to a depth.
///
/// ```
/// use oakhollow::{types::Micros, Allowance};
/// let mut calls = Allowance { left: 1.0, seen: Micros(0) };
/// assert!(calls.take(0.5, 1.0, Micros(0)));
/// assert!(!calls.take(0.5, 1.0, Micros::millis(1_000)));
/// assert!(calls.take(0.5, 1.0, Micros::millis(2_000)));
/// ```
#[derive(Clone, Copy, Default, Debug)]
pub struct Allowance {
    pub left: f64,
    pub seen: Micros,
}

impl Allowance {
    pub fn at(&self, rate: f64, depth: f64, now: Micros) -> f64 {
        (self.left + rate * (now - self.seen).secs()).min(depth)
    }

    /// As `at`, but a whole one that nobody takes lapses once the depth is reached, and saving up begins anew:
    /// what many keep at the same time stays as little as what they earn in that while.
    pub fn lapsing(&self, rate: f64, depth: f64, now: Micros) -> f64 {
        let saved = self.at(rate, f64::INFINITY, now);
        if saved > depth {
            saved % depth
        } else {
            saved
        }
    }

    pub fn take(&mut self, rate: f64, depth: f64, now: Micros) -> bool {
        self.left = self.at(rate, depth, now);
        self.seen = now;
        let enough = self.left >= 1.0;
        self.left -= f64::from(u8::from(enough));
        enough
    }
}

/// Parts of a window in which calls taken are counted.
const PARTS: u64 = 32;

/// Hops beyond calls' first in a window that slides, against a bound. Calls are counted by whole parts that lie inside the
/// window, hops a part longer than it: what it allows holds at every instant, and also by a clock that is a little off.
///
/// ```
/// use oakhollow::{types::{Micros, RetryBudget}, Sliding};
/// let mut hops = Sliding::new(RetryBudget { base: 1.0, ratio: 0.1, window: Micros::millis(2_000) });
/// (0..10).for_each(|_| hops.take(Micros(0)));
/// assert_eq!(hops.allowed(Micros(0)), 2.0);
/// hops.spend(Micros(0));
/// assert_eq!((hops.spent(Micros::millis(2_000)), hops.spent(Micros::millis(2_063))), (1, 0));
/// assert_eq!(hops.allowed(Micros::millis(2_063)), 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct Sliding {
    pub bound: RetryBudget,
    taken: [(u64, u32); PARTS as usize],
    spent: VecDeque<Micros>,
    /// What holds later, and from when.
    next: Option<(Micros, RetryBudget)>,
}

impl Sliding {
    pub fn new(bound: RetryBudget) -> Sliding {
        Sliding { bound, taken: [(0, 0); PARTS as usize], spent: VecDeque::new(), next: None }
    }

    /// By another bound, or by none, with what is known of hops under the one before. Guards against a bound that comes
    /// anew and grants at once what calls of before it have spent.
    pub fn retuned(known: Option<Sliding>, bound: Option<RetryBudget>, now: Micros) -> Option<Sliding> {
        bound.map(|bound| {
            let nothing = RetryBudget { base: 0.0, ratio: 0.0, ..bound };
            let mut hops = known.unwrap_or_else(|| Sliding::new(nothing));
            hops.retune(bound, now);
            hops
        })
    }

    /// Another bound: what it takes holds at once, what it grants a window later. Guards against a window that holds what
    /// two bounds, or two processes that follow each other, grant together.
    pub fn retune(&mut self, bound: RetryBudget, now: Micros) {
        if self.next.map_or(self.bound, |(_, bound)| bound) == bound {
            return;
        }
        if bound.window != self.bound.window {
            self.taken = [(0, 0); PARTS as usize];
        }
        let longest = bound.window.max(self.bound.window);
        self.next = Some((now + longest + Micros(longest.0 / PARTS), bound));
        let (base, ratio) = (bound.base.min(self.bound.base), bound.ratio.min(self.bound.ratio));
        self.bound = RetryBudget { base, ratio, ..bound };
    }

    /// Time has passed.
    fn pass(&mut self, now: Micros) {
        if let Some((_, bound)) = self.next.filter(|(from, _)| now > *from) {
            (self.bound, self.next) = (bound, None);
        }
    }

    fn part(&self) -> u64 {
        (self.bound.window.0 / PARTS).max(1)
    }

    /// A call is taken.
    pub fn take(&mut self, now: Micros) {
        let turn = now.0 / self.part();
        let (stamp, count) = &mut self.taken[(turn % PARTS) as usize];
        *count = if *stamp == turn { *count + 1 } else { 1 };
        *stamp = turn;
    }

    pub fn spend(&mut self, now: Micros) {
        self.spent.push_back(now);
    }

    /// Hops that any window may hold which ends now.
    pub fn allowed(&mut self, now: Micros) -> f64 {
        self.pass(now);
        let turn = now.0 / self.part();
        let inside = self.taken.iter().filter(|(stamp, _)| stamp + PARTS > turn);
        self.bound.base + self.bound.ratio * inside.map(|(_, count)| f64::from(*count)).sum::<f64>()
    }

    /// Hops in the window that ends now.
    pub fn spent(&mut self, now: Micros) -> usize {
        let kept = self.bound.window + Micros(self.part());
        while self.spent.front().is_some_and(|sent| *sent + kept < now) {
            self.spent.pop_front();
        }
        self.spent.len()
    }

    /// Hops in the last part of this length.
    pub fn spent_within(&self, length: Micros, now: Micros) -> usize {
        self.spent.iter().rev().take_while(|sent| **sent + length > now).count()
    }
}

/// How often something happens in a second, smoothed; the first whole beat counts in full.
#[derive(Clone, Copy, Default, Debug)]
pub struct Pace {
    pub seen: f64,
    pub a_second: f64,
}

impl Pace {
    pub fn beat(&mut self, length: Micros, part: f64) {
        let part = if self.a_second > 0.0 { part } else { 1.0 };
        self.a_second += part * (self.seen / length.secs() - self.a_second);
        self.seen = 0.0;
    }
}

/// The one source of chance of an instance: the same seed, the same draws.
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

    /// An even draw from 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.generate::<u32>()) / 4294967296.0
    }

    /// One of the numbers under `count`, which must not be 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.generate_range(0..count)
    }
}

/// A number spread evenly over all there are.
pub fn scatter(number: u64) -> u64 {
    let mixed = (number ^ (number >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 32)
}
