//! The state that a balancer keeps of calls, servers and latency, and the statistics derived from it. The
//! decisions are in [`crate::rules`].
use crate::types::*;
use crate::{CoarseHistogram, OutcomeCounts, TokenBucket};
use std::collections::BTreeMap;

/// The state of an API call.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CallState {
    New,
    Queued,
    /// One hop is open.
    InFlight,
    /// Two hops are open.
    Hedged,
    /// The call has its answer or was withdrawn; hops may still be open.
    Done,
}

/// Whether calls are sent to a server.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Health {
    Healthy,
    /// No calls are sent until its ejection ends.
    Ejected,
    /// One call is sent, and its outcome decides.
    Probation,
}

impl Health {
    /// The word that log lines print.
    pub fn log_name(self) -> &'static str {
        match self {
            Health::Healthy => "Fit",
            Health::Ejected => "Aside",
            Health::Probation => "Trial",
        }
    }
}

/// One attempt of a call at a server.
pub struct Hop {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Micros,
    pub outcome: Option<Outcome>,
    /// Whether it took longer than the hedging threshold.
    pub past_threshold: bool,
    pub is_hedge: bool,
}

impl Hop {
    pub fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::proves_not_run)
    }
}

/// An API call that is not finished.
pub struct Call {
    pub workload: usize,
    pub state: CallState,
    /// Its key in the queue: the highest priority first, then the oldest.
    pub queue_key: (u32, u64),
    /// Set only where servers work faster with a known key.
    pub affinity_key: Option<u64>,
    pub deadline: Micros,
    /// When it leaves the queue and is refused.
    pub queue_deadline: Micros,
    /// The limit that was configured when the call arrived.
    pub max_hops: usize,
    pub hops: Vec<Hop>,
}

/// A server, as this balancer sees it.
pub struct Server {
    pub listing: ListedServer,
    /// Open hops of this balancer at the server.
    pub in_flight: u32,
    pub has_answered: bool,
    pub health: Health,
    /// No calls may be sent before this time: the server is ejected, or cold with its tokens spent.
    pub blocked_until: Micros,
    pub ejected_until: Micros,
    /// Ejections in a row.
    pub ejections: u32,
    pub outcomes: OutcomeCounts,
    /// Whether the last hop was not executed (refused, or no connection) and no load is known that explains
    /// it.
    pub unreachable: bool,
    /// The factor on the listed weight; less than 1 if the server was slow.
    pub weight_factor: f64,
    /// The last known latency relative to that of the idle server, and when it became known.
    pub slowdown: f64,
    pub slowdown_at: Micros,
    /// Limits the calls to the server while it is cold.
    pub cold_bucket: TokenBucket,
}

impl Server {
    pub fn new(listing: &ListedServer, in_flight: u32, cold_bucket: TokenBucket) -> Server {
        Server {
            listing: listing.clone(),
            in_flight,
            has_answered: false,
            health: Health::Healthy,
            blocked_until: Micros(0),
            ejected_until: Micros(0),
            ejections: 0,
            outcomes: OutcomeCounts::default(),
            unreachable: false,
            weight_factor: 1.0,
            slowdown: 1.0,
            slowdown_at: Micros(0),
            cold_bucket,
        }
    }

    /// The server's share of the work: the listed weight, reduced if it was slow.
    pub fn effective_weight(&self) -> f64 {
        self.listing.weight.max(0.01) * self.weight_factor
    }

    /// Records an answer; `slow` tells whether it took longer than usual.
    pub fn record_answer(&mut self, slow: bool) {
        self.has_answered = true;
        self.weight_factor =
            if slow { (self.weight_factor * 0.93).max(0.3) } else { (self.weight_factor + 0.03).min(1.0) };
    }

    /// The slowdown, weighted less the older it is.
    pub fn current_slowdown(&self, now: Micros) -> f64 {
        1.0 + (self.slowdown - 1.0) / (1.0 + 0.1 * (now - self.slowdown_at).secs())
    }

    pub fn is_usable(&self) -> bool {
        self.listing.status == ServerStatus::Ready && self.health == Health::Healthy
    }
}

/// Values derived from the [`BalancerConfig`].
#[derive(Default)]
pub struct DerivedConfig {
    pub workloads: Vec<Workload>,
    /// Calls per second that each tenant may send through this balancer.
    pub tenant_rates: Vec<f64>,
    /// Their sum, which is never 0.
    pub total_tenant_rate: f64,
    pub overage_payoff: f64,
    pub max_payoff: f64,
    /// The share of calls that get the priority of the highest payoff.
    pub promoted_share: f64,
    pub max_hops: usize,
    pub may_cancel: bool,
    pub may_hedge: bool,
    pub max_retry_after: Micros,
    /// Half of the time within which a lost subscription must be renewed.
    pub resubscribe_interval: Micros,
    /// This balancer's share of the tier's calls: 1 / number of balancers.
    pub instance_share: f64,
    pub instance_index: f64,
    pub local_zone: Option<ZoneId>,
    pub load_reports: bool,
    pub peer_messages: bool,
    pub key_affinity: bool,
    pub cold_capacity: f64,
    pub warm_up_time: Micros,
    pub collapse_window: Micros,
}

impl DerivedConfig {
    pub fn new(config: &BalancerConfig) -> DerivedConfig {
        let instances = f64::from(config.instances.max(1));
        DerivedConfig {
            workloads: config.workloads.clone(),
            tenant_rates: config.tenant_quotas.iter().map(|rate| rate / instances).collect(),
            total_tenant_rate: config.tenant_quotas.iter().sum::<f64>().max(0.001) / instances,
            overage_payoff: config.overage_payoff,
            max_payoff: config.workloads.iter().map(|workload| workload.payoff).fold(0.0, f64::max),
            promoted_share: config.worst_workload_weight,
            max_hops: config.max_hops as usize,
            may_cancel: config.may_cancel,
            may_hedge: config.may_hedge,
            max_retry_after: config.max_retry_after,
            resubscribe_interval: config.resubscribe_within.times(0.5),
            instance_share: 1.0 / instances,
            instance_index: f64::from(config.instance_index) % instances,
            local_zone: config.local_zone,
            load_reports: config.load_reports,
            peer_messages: config.peer_messages,
            key_affinity: config.key_affinity,
            cold_capacity: config.cold_capacity,
            warm_up_time: config.warm_up_time,
            collapse_window: config.collapse_window,
        }
    }
}

impl DerivedConfig {
    /// The share of its full capacity that a cold server has now at least; none if the server is warm.
    pub fn cold_share(&self, server: &Server, now: Micros) -> Option<f64> {
        let (started, initial) = (server.listing.started, self.cold_capacity);
        let age = now - started;
        let cold = started.0 > 0 && age < self.warm_up_time;
        cold.then(|| initial + (1.0 - initial) * age.secs() / self.warm_up_time.secs())
    }
}

/// A server with a lower reported CPU utilization has cores to spare.
const SPARE_CPU_BELOW: f64 = 0.9;

/// The latency of calls while the servers are not congested.
#[derive(Default)]
pub struct LatencyBaseline {
    pub histogram: CoarseHistogram,
    pub baseline_us: Option<f64>,
}

impl LatencyBaseline {
    /// Records the latency of one answer. The baseline is a long-run median. It follows a lower median by a
    /// fifth of the difference and rises by a thousandth at a time, so that a long overload does not become
    /// the baseline.
    fn record(&mut self, elapsed: Micros, min_answers: f64) {
        self.histogram.record(elapsed);
        if self.histogram.total >= 128.0 {
            let median = self.median();
            self.baseline_us =
                self.baseline_us.zip(median).map(|(old, median)| (0.8 * old + 0.2 * median).min(1.001 * old));
            self.histogram.halve();
        }
        self.initialize(min_answers);
    }

    /// Sets the first baseline once there are enough answers.
    fn initialize(&mut self, min_answers: f64) {
        if self.baseline_us.is_none() && self.histogram.total >= min_answers {
            self.baseline_us = self.median();
        }
    }

    fn median(&self) -> Option<f64> {
        self.histogram.median().map(|median| median.0 as f64)
    }
}

/// Statistics of one workload.
#[derive(Default)]
pub struct WorkloadStats {
    latency: LatencyBaseline,
    /// Open hops of the workload.
    pub in_flight: u32,
    /// Recent hops: good if they ended within the hedging threshold, bad if they took longer.
    pub timeliness: OutcomeCounts,
}

/// Answers from which a first baseline is set: over all workloads, and of one workload.
const MIN_ANSWERS: f64 = 48.0;
const MIN_ANSWERS_OF_WORKLOAD: f64 = 32.0;
/// The number required at a tick, for balancers with few answers. It is not checked at each answer: among the
/// first few answers the short calls are over-represented, since they end first.
const MIN_ANSWERS_AT_TICK: f64 = 16.0;
/// The histogram of latency ratios records a ratio of 1 as this many microseconds.
const RATIO_SCALE: f64 = 100_000.0;

/// How congested the servers are, as seen in the latency of this balancer's calls, and the limits that follow
/// from it.
#[derive(Default)]
pub struct Congestion {
    pub recent: CoarseHistogram,
    pub all: LatencyBaseline,
    pub workloads: Vec<WorkloadStats>,
    /// Recent latencies divided by the baseline of their workload. Where workloads differ in work, a change
    /// of the mix alone would otherwise look like congestion.
    ratios: CoarseHistogram,
    /// The limit on calls in flight.
    pub concurrency_limit: f64,
    pub congested: bool,
    /// Whether there has been congestion yet; until then the limit grows faster.
    pub was_congested: bool,
    /// The largest recent weight of the usable servers, decaying slowly.
    pub fleet_weight: f64,
    /// Decayed sums of the calls and of the CPU utilization in load reports of servers with CPU to spare.
    /// Their quotient estimates how many calls a server works on at full utilization.
    pub unloaded_calls: f64,
    pub unloaded_cpu: f64,
    /// The share of arriving calls that is refused at once, the lowest priority first.
    pub shed_share: f64,
    /// Counts of recent arrivals by priority.
    pub arrivals: BTreeMap<u32, f64>,
}

impl Congestion {
    /// Counts an arrival; returns the share of recent arrivals with a lower priority. Arrivals of the same
    /// priority are spread by `tie_breaker`, from 0 to 1.
    pub fn priority_rank(&mut self, priority: u32, tie_breaker: f64) -> f64 {
        let below: f64 = self.arrivals.range(..priority).map(|(_, count)| count).sum();
        let equal = self.arrivals.entry(priority).or_default();
        *equal += 1.0;
        let reached = below + tie_breaker * *equal;
        let all: f64 = self.arrivals.values().sum();
        if all >= 128.0 {
            self.arrivals.values_mut().for_each(|count| *count *= 0.5);
        }
        reached / all
    }

    /// A server's slowdown according to its load report: the calls in the server for each call that it works
    /// on.
    pub fn reported_slowdown(&mut self, load: &ServerLoad) -> Option<f64> {
        let open = load.open_calls?;
        let working = match (load.queued_calls, load.cpu_utilization) {
            (Some(queued), _) => open - queued,
            (None, Some(cpu)) if cpu < SPARE_CPU_BELOW => {
                (self.unloaded_calls, self.unloaded_cpu) =
                    (0.98 * self.unloaded_calls + open, 0.98 * self.unloaded_cpu + cpu);
                return Some(1.0);
            }
            (None, Some(_)) if self.unloaded_cpu > 0.0 => self.unloaded_calls / self.unloaded_cpu,
            _ => return None,
        };
        Some((open / working.max(1.0)).max(1.0))
    }

    /// Records the latency of an answer; returns the recent median and the uncongested baseline, in
    /// microseconds.
    pub fn record_latency(&mut self, elapsed: Micros, workload: WorkloadId) -> Option<(f64, f64)> {
        self.recent.record(elapsed);
        self.all.record(elapsed, MIN_ANSWERS);
        let latency = &mut self.workload(workload).latency;
        latency.record(elapsed, MIN_ANSWERS_OF_WORKLOAD);
        if let Some(baseline) = latency.baseline_us {
            self.ratios.record(Micros((elapsed.0 as f64 / baseline.max(1.0) * RATIO_SCALE) as u64));
        }
        let median = self.recent.median()?.0 as f64;
        for histogram in [&mut self.recent, &mut self.ratios] {
            if histogram.total >= 24.0 {
                histogram.halve();
            }
        }
        Some((median, self.all.baseline_us.or_else(|| self.all.median())?))
    }

    pub fn workload(&mut self, workload: WorkloadId) -> &mut WorkloadStats {
        if self.workloads.len() <= workload.0 {
            self.workloads.resize_with(workload.0 + 1, WorkloadStats::default);
        }
        &mut self.workloads[workload.0]
    }

    /// The latency to expect for a call of this workload: its own baseline times the present latency ratio.
    /// Measured by the latency of all calls, a short call among long ones would never be queued.
    pub fn expected_latency(&self, workload: WorkloadId) -> Micros {
        let baseline = self.workloads.get(workload.0).and_then(|stats| stats.latency.baseline_us);
        let expected = baseline.map(|baseline| Micros((baseline * self.latency_ratio()) as u64));
        expected.or(self.recent.median()).unwrap_or_default()
    }

    /// The timeliness of recent hops of all workloads.
    pub fn timeliness(&self) -> OutcomeCounts {
        self.workloads.iter().map(|stats| stats.timeliness).sum()
    }

    /// The one workload of which more than this share of hops is late, while less than half this share of the
    /// others' hops is.
    pub fn only_late_workload(&self, share: f64) -> Option<WorkloadId> {
        let all = self.timeliness();
        let only_this_is_late = |stats: &WorkloadStats| {
            let others =
                OutcomeCounts { good: all.good - stats.timeliness.good, bad: all.bad - stats.timeliness.bad };
            let enough_hops = stats.timeliness.bad >= 3.0 && others.good >= 3.0;
            enough_hops && stats.timeliness.bad_share() > share && others.bad_share() < 0.5 * share
        };
        self.workloads.iter().position(only_this_is_late).map(WorkloadId)
    }

    /// The median latency of recent calls, relative to the baseline of their workload.
    pub fn latency_ratio(&self) -> f64 {
        self.ratios.median().map_or(1.0, |median| median.0 as f64 / RATIO_SCALE)
    }

    /// Sets first baselines where there are enough answers; called at each tick.
    pub fn initialize_baselines(&mut self) {
        let baselines = self.workloads.iter_mut().map(|stats| &mut stats.latency).chain([&mut self.all]);
        baselines.for_each(|latency| latency.initialize(MIN_ANSWERS_AT_TICK));
    }
}
