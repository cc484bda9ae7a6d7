//! Runs the pairs of rounds of one depth and its slow round, and formats the results as text or JSON lines.
use super::client::LATE_THRESHOLD;
use super::statistics::{amplification_bound, Interval};
use super::{Chain, ChainConfig, Round};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::fmt::Write;
use std::time::Duration;

/// The settings of a run at each depth.
#[derive(Clone, Copy)]
pub struct RunSettings {
    /// Requests per second.
    pub rate: f64,
    /// Pairs of rounds.
    pub pairs: usize,
    /// Duration of a round after its warm-up.
    pub duration: Duration,
    /// Requests that are due in this time from a round's start are not measured.
    pub warm_up: Duration,
    /// A pair with a larger share of late requests gives no latency figures.
    pub max_late_fraction: f64,
    /// How long a response of the last tier takes in the slow round; zero skips that round.
    pub slow_latency: Duration,
    /// Duration of the slow round after its warm-up.
    pub slow_duration: Duration,
    /// The share of attempts that each tier may add, for the computed bound.
    pub max_extra_share: f64,
}

/// One round without the sidecars and one with them, in either order.
pub struct Pair {
    pub without: Round,
    pub with: Round,
    /// Set if not all requests were served; the pair then gives no figures.
    pub incomplete_reason: Option<String>,
    /// Set if the client ran late; the pair then gives no figures that are measured from when a request was
    /// due.
    pub late_reason: Option<String>,
}

/// The results of one depth.
pub struct Report {
    pub depth: usize,
    pub pairs: Vec<Pair>,
    /// The round in which the last tier responds slowly, if it was run.
    pub slow_round: Option<Round>,
    /// The usage of the sidecars without requests, and the seconds measured.
    pub idle_usage: Option<(super::Usage, f64)>,
}

/// A quantile in milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e6
}

fn incomplete_reason(name: &str, round: &Round) -> Option<String> {
    let Round { client, .. } = round;
    let failed = !round.all_answered_once() || client.served() < client.sent;
    failed.then(|| {
        let responses = &client.responses;
        format!("{name} sidecars {} of {} calls were served: {responses:?}", client.served(), client.sent)
    })
}

fn late_reason(name: &str, round: &Round, share: f64) -> Option<String> {
    let Round { client, .. } = round;
    let (late, measured, bound) = (client.late, client.measured, LATE_THRESHOLD.as_millis());
    (client.late_fraction() > share).then(|| {
        format!("{name} sidecars the caller sent {late} of {measured} calls more than {bound} ms late")
    })
}

/// A reported quantity: its key, and its value for a round.
type Quantity = (&'static str, fn(&Round) -> f64);
/// Latencies, measured from when a request was due, of which each pair gives a difference in milliseconds.
const ADDED_LATENCY: [Quantity; 2] = [
    ("added_p50_ms", |round| quantile_ms(&round.client.latency, 0.5)),
    ("added_p99_ms", |round| quantile_ms(&round.client.latency, 0.99)),
];
/// Transit times between tiers, of which each pair gives a difference in milliseconds.
const ADDED_TRANSIT: [Quantity; 4] = [
    ("added_a_hop_there_p50_ms", |round| quantile_ms(&round.request_transit, 0.5)),
    ("added_a_hop_there_p99_ms", |round| quantile_ms(&round.request_transit, 0.99)),
    ("added_a_hop_back_p50_ms", |round| quantile_ms(&round.response_transit, 0.5)),
    ("added_a_hop_back_p99_ms", |round| quantile_ms(&round.response_transit, 0.99)),
];

/// Resource usage of a sidecar per attempt that passes through it.
const COST_PER_ATTEMPT: [Quantity; 4] = [
    ("wake_ups_a_hop", |round| per_attempt(round, |usage| usage.wake_ups as f64)),
    ("processor_us_a_hop", |round| per_attempt(round, |usage| usage.cpu_ns as f64 / 1e3)),
    ("waited_for_a_processor_us_a_hop", |round| {
        per_attempt(round, |usage| usage.run_queue_wait_ns as f64 / 1e3)
    }),
    ("reads_and_writes_a_hop", |round| per_attempt(round, |usage| usage.reads_and_writes as f64)),
];

fn per_attempt(round: &Round, figure: fn(&super::Usage) -> f64) -> f64 {
    round.usage.as_ref().map_or(f64::NAN, |usage| figure(usage) / round.usage_attempts.max(1) as f64)
}

/// Runs one depth. Progress is printed on standard error.
pub fn run(config: &ChainConfig, settings: &RunSettings) -> Result<Report, String> {
    let depth = config.depth;
    let mut without = Chain::start(config, false)?;
    let mut with = Chain::start(config, true)?;
    let mut report = Report { depth, pairs: Vec::new(), slow_round: None, idle_usage: None };
    for number in 0..settings.pairs {
        let round = |chain: &mut Chain| chain.run(settings.rate, settings.warm_up, settings.duration);
        // The order alternates from pair to pair.
        let (without_round, with_round) = if (number as u64 ^ config.seed) & 1 == 0 {
            let without_round = round(&mut without)?;
            (without_round, round(&mut with)?)
        } else {
            let with_round = round(&mut with)?;
            (round(&mut without)?, with_round)
        };
        let pair = Pair::new(without_round, with_round, settings.max_late_fraction);
        eprintln!(
            "oakhollow-lab: depth {depth}, pair {} of {}: {}",
            number + 1,
            settings.pairs,
            pair.summary_line()
        );
        report.pairs.push(pair);
    }
    if let (Some(before), start) = (with.read_usage(), std::time::Instant::now()) {
        std::thread::sleep(Duration::from_secs(2));
        report.idle_usage = with.read_usage().map(|after| (after - before, start.elapsed().as_secs_f64()));
    }
    if !settings.slow_latency.is_zero() {
        eprintln!("oakhollow-lab: depth {depth}, the last tier slow");
        with.slow_down(settings.slow_latency);
        report.slow_round = Some(with.run(settings.rate, settings.warm_up, settings.slow_duration)?);
    }
    Ok(report)
}

impl Pair {
    fn new(without: Round, with: Round, max_late_fraction: f64) -> Pair {
        let incomplete_reason =
            incomplete_reason("without", &without).or_else(|| incomplete_reason("with", &with));
        let late_reason = late_reason("without", &without, max_late_fraction)
            .or_else(|| late_reason("with", &with, max_late_fraction));
        Pair { without, with, incomplete_reason, late_reason }
    }

    /// Why the pair gives no figures, or no latency figures.
    pub fn exclusion_reason(&self) -> Option<&String> {
        self.incomplete_reason.as_ref().or(self.late_reason.as_ref())
    }

    fn summary_line(&self) -> String {
        match self.exclusion_reason() {
            Some(reason) => format!("no figure: {reason}"),
            None => {
                let quantile = |round: &Round, quantile| quantile_ms(&round.client.latency, quantile);
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
    fn valid_pairs(&self) -> impl Iterator<Item = &Pair> {
        self.pairs.iter().filter(|pair| pair.exclusion_reason().is_none())
    }

    /// What the sidecars add: the mean difference over the pairs, by key.
    pub fn added(&self) -> Vec<(&'static str, Option<Interval>)> {
        let interval = |pairs: &[&Pair], figure: fn(&Round) -> f64| {
            let added = pairs.iter().map(|pair| figure(&pair.with) - figure(&pair.without));
            Interval::from_samples(&added.collect::<Vec<f64>>())
        };
        let valid_pairs: Vec<&Pair> = self.valid_pairs().collect();
        // Transit times don't depend on when a request was due, so pairs with a late client count here.
        let served: Vec<&Pair> = self.pairs.iter().filter(|pair| pair.incomplete_reason.is_none()).collect();
        let added = ADDED_LATENCY.iter().map(|(name, figure)| (*name, interval(&valid_pairs, *figure)));
        let transit = ADDED_TRANSIT.iter().map(|(name, figure)| (*name, interval(&served, *figure)));
        added.chain(transit).collect()
    }

    /// The resource usage per attempt, over all rounds with sidecars; a late client does not distort it.
    pub fn cost_per_attempt(&self) -> Vec<(&'static str, Option<Interval>)> {
        let interval = |figure: fn(&Round) -> f64| {
            let samples: Vec<f64> = self.pairs.iter().map(|pair| figure(&pair.with)).collect();
            Interval::from_samples(&samples).filter(|interval| interval.mean.is_finite())
        };
        COST_PER_ATTEMPT.iter().map(|(name, figure)| (*name, interval(*figure))).collect()
    }

    /// Attempts that reached each tier per request of the client, over all rounds with sidecars.
    pub fn amplification(&self) -> Vec<f64> {
        let sent: u64 = self.pairs.iter().map(|pair| pair.with.client.sent).sum();
        let attempts =
            |tier: usize| self.pairs.iter().map(|pair| pair.with.tiers[tier].attempts).sum::<u64>();
        (0..self.depth).map(|tier| attempts(tier) as f64 / sent.max(1) as f64).collect()
    }

    fn slow_amplification(&self) -> Option<Vec<f64>> {
        let slow_round = self.slow_round.as_ref()?;
        Some((0..self.depth).map(|tier| slow_round.amplification(tier)).collect())
    }

    /// The report as text.
    pub fn text(&self, settings: &RunSettings) -> String {
        let mut out = String::new();
        let (depth, valid_pairs, all) = (self.depth, self.valid_pairs().count(), self.pairs.len());
        let duration = settings.duration.as_secs_f64();
        let _ = writeln!(
            out,
            "depth {depth}, {} calls a second, {valid_pairs} of {all} pairs of {duration} s give figures from when calls were due, 95 % intervals",
            settings.rate
        );
        for (name, interval) in self.added().into_iter().chain(self.cost_per_attempt()) {
            let _ = writeln!(out, "  {name}: {}", format_interval(interval));
        }
        if let Some((usage, seconds)) = &self.idle_usage {
            let sidecar_seconds = seconds * self.depth as f64;
            let _ = writeln!(
                out,
                "  a sidecar without calls: {:.1} wake-ups and {:.0} us of processor a second",
                usage.wake_ups as f64 / sidecar_seconds,
                usage.cpu_ns as f64 / 1e3 / sidecar_seconds
            );
        }
        let _ = writeln!(
            out,
            "  hops at each tier for a call, nothing slow: {}",
            format_numbers(&self.amplification())
        );
        if let (Some(slow_round), Some(amplification)) = (&self.slow_round, self.slow_amplification()) {
            let _ = writeln!(
                out,
                "  hops at each tier for a call, the last one's answers take {} ms, one in 20 ten times that: {}",
                settings.slow_latency.as_millis(),
                format_numbers(&amplification)
            );
            let client = &slow_round.client;
            let _ = writeln!(
                out,
                "  then {} of {} calls are served, p50 {:.1} ms, p99 {:.1} ms, {} went out late",
                client.served(),
                client.sent,
                quantile_ms(&client.latency, 0.5),
                quantile_ms(&client.latency, 0.99),
                client.late
            );
        }
        let _ = writeln!(
            out,
            "  reckoned: if each tier adds at most {} of what reaches it, the last one gets {:.2} for a call",
            settings.max_extra_share,
            amplification_bound(settings.max_extra_share, depth)
        );
        out
    }

    /// One line for each pair, and one for the whole depth.
    pub fn json(&self, settings: &RunSettings) -> Vec<Value> {
        let round = |round: &Round| {
            let Round { client, .. } = round;
            json!({
                "sent": client.sent, "answers": client.responses, "unasked": client.unsolicited, "unanswered": client.unanswered,
                "counted": client.measured, "late": client.late,
                "p50_ms": quantile_ms(&client.latency, 0.5), "p99_ms": quantile_ms(&client.latency, 0.99),
                "hops": round.tiers.iter().map(|tier| tier.attempts).collect::<Vec<_>>(),
                "copies": round.tiers.iter().map(|tier| tier.repeats).collect::<Vec<_>>(),
                "withdrawn": round.tiers.iter().map(|tier| tier.cancelled).collect::<Vec<_>>(),
                "broken": round.tiers.iter().map(|tier| tier.broken_connections).collect::<Vec<_>>(),
                "there_p50_ms": quantile_ms(&round.request_transit, 0.5), "there_p99_ms": quantile_ms(&round.request_transit, 0.99),
                "back_p50_ms": quantile_ms(&round.response_transit, 0.5), "back_p99_ms": quantile_ms(&round.response_transit, 0.99),
            })
        };
        let interval = |(name, interval): (&'static str, Option<Interval>)| {
            let object = interval.map(|interval| {
                json!({"mean": interval.mean, "half": interval.half_width, "pairs": interval.count, "told": interval.is_significant()})
            });
            (name.to_string(), object.unwrap_or(Value::Null))
        };
        let depth = self.depth;
        let pair = |pair: &Pair| json!({"depth": depth, "without": round(&pair.without), "with": round(&pair.with), "void": pair.exclusion_reason()});
        let mut lines: Vec<Value> = self.pairs.iter().map(pair).collect();
        let measures: serde_json::Map<String, Value> =
            self.added().into_iter().chain(self.cost_per_attempt()).map(interval).collect();
        let idle_usage = self.idle_usage.as_ref().map(|(usage, seconds)| {
            let sidecar_seconds = seconds * depth as f64;
            json!({"wake_ups_a_second": usage.wake_ups as f64 / sidecar_seconds, "processor_us_a_second": usage.cpu_ns as f64 / 1e3 / sidecar_seconds})
        });
        lines.push(json!({
            "depth": depth, "rate": settings.rate, "pairs": self.pairs.len(), "sound": self.valid_pairs().count(), "measures": measures,
            "rest": idle_usage, "reach": self.amplification(), "slow_ms": settings.slow_latency.as_millis() as u64, "slow_reach": self.slow_amplification(),
            "slow": self.slow_round.as_ref().map(round), "budget": settings.max_extra_share, "reach_bound": amplification_bound(settings.max_extra_share, depth),
        }));
        lines
    }
}

fn format_numbers(all: &[f64]) -> String {
    all.iter().map(|figure| format!("{figure:.3}")).collect::<Vec<_>>().join(" ")
}

fn format_interval(interval: Option<Interval>) -> String {
    match interval {
        None => "no figure".into(),
        Some(interval) => {
            let Interval { mean, half_width, .. } = interval;
            let caveat = if interval.is_significant() { "" } else { "can't be told: " };
            format!("{caveat}{mean:.3} +- {half_width:.3} ({} pairs)", interval.count)
        }
    }
}
