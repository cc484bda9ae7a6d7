//! Plays the pairs of one depth and its slow round, and words what came of them, as text or as lines of JSON.
use super::client::LATE;
use super::statistics::{reach_bound, Interval};
use super::{Chain, Plan, Round};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::fmt::Write;
use std::time::Duration;

/// What is played at each depth.
#[derive(Clone, Copy)]
pub struct RunSettings {
    pub rate: f64,
    pub pairs: usize,
    pub length: Duration,
    /// Before each round's figures count.
    pub lead: Duration,
    /// A pair with a larger share of late calls gives no figure.
    pub late_share: f64,
    /// What an answer of the last tier takes in the slow round; zero plays none.
    pub slow: Duration,
    pub slow_length: Duration,
    /// Beside what a tier may add.
    pub budget: f64,
}

/// One round without the sidecars and one with them, whichever came first.
pub struct Pair {
    pub without: Round,
    pub with: Round,
    /// Not all was served: it gives no figure.
    pub unserved: Option<String>,
    /// The caller ran late: it gives no figure that counts from when a call was due.
    pub late: Option<String>,
}

/// What is told of one depth.
pub struct Report {
    pub depth: usize,
    pub pairs: Vec<Pair>,
    pub slow: Option<Round>,
    /// What the sidecars did while no calls came, and for how long.
    pub rest: Option<(super::Usage, f64)>,
}

/// In milliseconds.
fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

fn unserved(name: &str, round: &Round) -> Option<String> {
    let Round { called, .. } = round;
    let fault = !round.whole() || called.served() < called.sent;
    fault.then(|| {
        let answers = &called.answers;
        format!("{name} sidecars {} of {} calls were served: {answers:?}", called.served(), called.sent)
    })
}

fn late(name: &str, round: &Round, share: f64) -> Option<String> {
    let Round { called, .. } = round;
    let (late, counted, bound) = (called.late, called.counted, LATE.as_millis());
    (called.late_share() > share).then(|| {
        format!("{name} sidecars the caller sent {late} of {counted} calls more than {bound} ms late")
    })
}

/// The quantities of which each pair gives a difference, in milliseconds; first those that count from when a call was due.
type Quantity = (&'static str, fn(&Round) -> f64);
const ADDED: [Quantity; 2] = [
    ("added_p50_ms", |round| at(&round.called.latency, 0.5)),
    ("added_p99_ms", |round| at(&round.called.latency, 0.99)),
];
const ADDED_A_HOP: [Quantity; 4] = [
    ("added_a_hop_there_p50_ms", |round| at(&round.request_transit, 0.5)),
    ("added_a_hop_there_p99_ms", |round| at(&round.request_transit, 0.99)),
    ("added_a_hop_back_p50_ms", |round| at(&round.answer_transit, 0.5)),
    ("added_a_hop_back_p99_ms", |round| at(&round.answer_transit, 0.99)),
];

/// What each call costs each sidecar that it passes.
const COST: [Quantity; 4] = [
    ("wake_ups_a_hop", |round| a_hop(round, |used| used.wake_ups as f64)),
    ("processor_us_a_hop", |round| a_hop(round, |used| used.processor_ns as f64 / 1e3)),
    ("waited_for_a_processor_us_a_hop", |round| a_hop(round, |used| used.waited_ns as f64 / 1e3)),
    ("reads_and_writes_a_hop", |round| a_hop(round, |used| used.reads_and_writes as f64)),
];

fn a_hop(round: &Round, figure: fn(&super::Usage) -> f64) -> f64 {
    round.used.as_ref().map_or(f64::NAN, |used| figure(used) / round.used_hops.max(1) as f64)
}

/// Plays one depth. Progress is told on standard error.
pub fn run(plan: &Plan, settings: &RunSettings) -> Result<Report, String> {
    let depth = plan.depth;
    let mut without = Chain::start(plan, false)?;
    let mut with = Chain::start(plan, true)?;
    let mut report = Report { depth, pairs: Vec::new(), slow: None, rest: None };
    for number in 0..settings.pairs {
        let round = |chain: &mut Chain| chain.run(settings.rate, settings.lead, settings.length);
        // Every other pair begins with the other one.
        let (one, other) = if (number as u64 ^ plan.seed) & 1 == 0 {
            let one = round(&mut without)?;
            (one, round(&mut with)?)
        } else {
            let other = round(&mut with)?;
            (round(&mut without)?, other)
        };
        let pair = Pair::of(one, other, settings.late_share);
        eprintln!("oakhollow-lab: depth {depth}, pair {} of {}: {}", number + 1, settings.pairs, pair.line());
        report.pairs.push(pair);
    }
    if let (Some(before), begun) = (with.usage(), std::time::Instant::now()) {
        std::thread::sleep(Duration::from_secs(2));
        report.rest = with.usage().map(|after| (after - before, begun.elapsed().as_secs_f64()));
    }
    if !settings.slow.is_zero() {
        eprintln!("oakhollow-lab: depth {depth}, the last tier slow");
        with.slow_down(settings.slow);
        report.slow = Some(with.run(settings.rate, settings.lead, settings.slow_length)?);
    }
    Ok(report)
}

impl Pair {
    fn of(without: Round, with: Round, late_share: f64) -> Pair {
        let unserved = unserved("without", &without).or_else(|| unserved("with", &with));
        let late = late("without", &without, late_share).or_else(|| late("with", &with, late_share));
        Pair { without, with, unserved, late }
    }

    /// Why it gives no figure, or none that counts from when a call was due.
    pub fn void(&self) -> Option<&String> {
        self.unserved.as_ref().or(self.late.as_ref())
    }

    fn line(&self) -> String {
        match self.void() {
            Some(why) => format!("no figure: {why}"),
            None => {
                let quantile = |round: &Round, quantile| at(&round.called.latency, quantile);
                format!(
                    "p50 {:.2} ms without, {:.2} with; p99 {:.2} and {:.2}",
                    quantile(&self.without, 0.5),
                    quantile(&self.with, 0.5),
                    quantile(&self.without, 0.99),
                    quantile(&self.with, 0.99)
                )
            }
        }
    }
}

impl Report {
    fn sound(&self) -> impl Iterator<Item = &Pair> {
        self.pairs.iter().filter(|pair| pair.void().is_none())
    }

    /// A difference for each pair, with what was added.
    pub fn added(&self) -> Vec<(&'static str, Option<Interval>)> {
        let interval = |pairs: &[&Pair], figure: fn(&Round) -> f64| {
            let added = pairs.iter().map(|pair| figure(&pair.with) - figure(&pair.without));
            Interval::of(&added.collect::<Vec<f64>>())
        };
        let sound: Vec<&Pair> = self.sound().collect();
        // From one end of a link to the other: when the call was due has no part in it.
        let served: Vec<&Pair> = self.pairs.iter().filter(|pair| pair.unserved.is_none()).collect();
        let added = ADDED.iter().map(|(name, figure)| (*name, interval(&sound, *figure)));
        let a_hop = ADDED_A_HOP.iter().map(|(name, figure)| (*name, interval(&served, *figure)));
        added.chain(a_hop).collect()
    }

    /// By all rounds with sidecars: a caller that runs late does not change it.
    pub fn cost(&self) -> Vec<(&'static str, Option<Interval>)> {
        let interval = |figure: fn(&Round) -> f64| {
            let figures: Vec<f64> = self.pairs.iter().map(|pair| figure(&pair.with)).collect();
            Interval::of(&figures).filter(|interval| interval.mean.is_finite())
        };
        COST.iter().map(|(name, figure)| (*name, interval(*figure))).collect()
    }

    /// Hops that reached each tier for each call of the caller, over all rounds with sidecars.
    pub fn reach(&self) -> Vec<f64> {
        let sent: u64 = self.pairs.iter().map(|pair| pair.with.called.sent).sum();
        let hops = |tier: usize| self.pairs.iter().map(|pair| pair.with.reached[tier].hops).sum::<u64>();
        (0..self.depth).map(|tier| hops(tier) as f64 / sent.max(1) as f64).collect()
    }

    fn slow_reach(&self) -> Option<Vec<f64>> {
        let slow = self.slow.as_ref()?;
        Some((0..self.depth).map(|tier| slow.reach(tier)).collect())
    }

    pub fn text(&self, settings: &RunSettings) -> String {
        let mut out = String::new();
        let (depth, sound, all) = (self.depth, self.sound().count(), self.pairs.len());
        let length = settings.length.as_secs_f64();
        let _ = writeln!(
            out,
            "depth {depth}, {} calls a second, {sound} of {all} pairs of {length} s give figures from when calls were due, 95 % intervals",
            settings.rate
        );
        for (name, interval) in self.added().into_iter().chain(self.cost()) {
            let _ = writeln!(out, "  {name}: {}", worded(interval));
        }
        if let Some((used, seconds)) = &self.rest {
            let each = seconds * self.depth as f64;
            let _ = writeln!(
                out,
                "  a sidecar without calls: {:.1} wake-ups and {:.0} us of processor a second",
                used.wake_ups as f64 / each,
                used.processor_ns as f64 / 1e3 / each
            );
        }
        let _ = writeln!(out, "  hops at each tier for a call, nothing slow: {}", figures(&self.reach()));
        if let (Some(slow), Some(reach)) = (&self.slow, self.slow_reach()) {
            let _ = writeln!(
                out,
                "  hops at each tier for a call, the last one's answers take {} ms, one in 20 ten times that: {}",
                settings.slow.as_millis(),
                figures(&reach)
            );
            let called = &slow.called;
            let _ = writeln!(
                out,
                "  then {} of {} calls are served, p50 {:.1} ms, p99 {:.1} ms, {} went out late",
                called.served(),
                called.sent,
                at(&called.latency, 0.5),
                at(&called.latency, 0.99),
                called.late
            );
        }
        let _ = writeln!(
            out,
            "  reckoned: if each tier adds at most {} of what reaches it, the last one gets {:.2} for a call",
            settings.budget,
            reach_bound(settings.budget, depth)
        );
        out
    }

    /// A line for each pair, and one for all.
    pub fn json(&self, settings: &RunSettings) -> Vec<Value> {
        let round = |round: &Round| {
            let Round { called, .. } = round;
            json!({
                "sent": called.sent, "answers": called.answers, "unasked": called.unasked, "unanswered": called.unanswered,
                "counted": called.counted, "late": called.late,
                "p50_ms": at(&called.latency, 0.5), "p99_ms": at(&called.latency, 0.99),
                "hops": round.reached.iter().map(|reached| reached.hops).collect::<Vec<_>>(),
                "copies": round.reached.iter().map(|reached| reached.copies).collect::<Vec<_>>(),
                "withdrawn": round.reached.iter().map(|reached| reached.withdrawn).collect::<Vec<_>>(),
                "broken": round.reached.iter().map(|reached| reached.broken).collect::<Vec<_>>(),
                "there_p50_ms": at(&round.request_transit, 0.5), "there_p99_ms": at(&round.request_transit, 0.99),
                "back_p50_ms": at(&round.answer_transit, 0.5), "back_p99_ms": at(&round.answer_transit, 0.99),
            })
        };
        let interval = |(name, interval): (&'static str, Option<Interval>)| {
            let told = interval.map(|interval| {
                json!({"mean": interval.mean, "half": interval.half, "pairs": interval.count, "told": interval.can_be_told()})
            });
            (name.to_string(), told.unwrap_or(Value::Null))
        };
        let depth = self.depth;
        let pair = |pair: &Pair| json!({"depth": depth, "without": round(&pair.without), "with": round(&pair.with), "void": pair.void()});
        let mut lines: Vec<Value> = self.pairs.iter().map(pair).collect();
        let measures: serde_json::Map<String, Value> =
            self.added().into_iter().chain(self.cost()).map(interval).collect();
        let rest = self.rest.as_ref().map(|(used, seconds)| {
            let each = seconds * depth as f64;
            json!({"wake_ups_a_second": used.wake_ups as f64 / each, "processor_us_a_second": used.processor_ns as f64 / 1e3 / each})
        });
        lines.push(json!({
            "depth": depth, "rate": settings.rate, "pairs": self.pairs.len(), "sound": self.sound().count(), "measures": measures,
            "rest": rest, "reach": self.reach(), "slow_ms": settings.slow.as_millis() as u64, "slow_reach": self.slow_reach(),
            "slow": self.slow.as_ref().map(round), "budget": settings.budget, "reach_bound": reach_bound(settings.budget, depth),
        }));
        lines
    }
}

fn figures(all: &[f64]) -> String {
    all.iter().map(|figure| format!("{figure:.3}")).collect::<Vec<_>>().join(" ")
}

fn worded(interval: Option<Interval>) -> String {
    match interval {
        None => "no figure".into(),
        Some(interval) => {
            let Interval { mean, half, .. } = interval;
            let told = if interval.can_be_told() { "" } else { "can't be told: " };
            format!("{told}{mean:.3} +- {half:.3} ({} pairs)", interval.count)
        }
    }
}
