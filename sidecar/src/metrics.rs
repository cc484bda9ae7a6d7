//! The metrics that `GET /metrics` on the console returns, in the Prometheus text format. Counters are incremented
//! by any thread, without a lock; gauges are set when the metrics are read. `docs/metrics.md` lists each metric
//! with its unit.
use oakhollow::types::{Micros, Outcome};
use oakhollow_guard::{CloseReason, Denial, Rule};
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::io::Error;

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0];

/// The kind of an attempt among those of its request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptKind {
    /// The first attempt.
    First,
    /// Started after all earlier attempts have ended.
    Retry,
    /// Started while an earlier attempt is running.
    Hedge,
}

impl AttemptKind {
    const ALL: [AttemptKind; 3] = [AttemptKind::First, AttemptKind::Retry, AttemptKind::Hedge];

    fn name(self) -> &'static str {
        match self {
            AttemptKind::First => "first",
            AttemptKind::Retry => "retry",
            AttemptKind::Hedge => "hedge",
        }
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RefusalReason {
    /// The instance has no lease and may send nothing.
    NoLease,
    /// Nothing has been received from discovery for too long.
    ListStale,
    /// The list has no endpoint that may be sent to.
    NoServer,
    /// The process is shutting down, and no time is left.
    ShuttingDown,
    /// No attempt was started: by the decision module, no endpoint has capacity left for the request.
    Overload,
    /// Attempts were started, and no server has run the request.
    AttemptsFailed,
}

impl RefusalReason {
    const ALL: [RefusalReason; 6] = [
        RefusalReason::NoLease,
        RefusalReason::ListStale,
        RefusalReason::NoServer,
        RefusalReason::ShuttingDown,
        RefusalReason::Overload,
        RefusalReason::AttemptsFailed,
    ];

    fn name(self) -> &'static str {
        match self {
            RefusalReason::NoLease => "no_lease",
            RefusalReason::ListStale => "list_stale",
            RefusalReason::NoServer => "no_server",
            RefusalReason::ShuttingDown => "shutting_down",
            RefusalReason::Overload => "overload",
            RefusalReason::AttemptsFailed => "attempts_failed",
        }
    }
}

/// The label value of an outcome.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Succeeded => "served",
        Outcome::Errored => "error",
        Outcome::Full => "turned_away",
        Outcome::TimedOut => "timed_out",
        Outcome::NoConnection => "not_connected",
        Outcome::Broken => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Succeeded,
    Outcome::Errored,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Broken,
    Outcome::Cancelled,
    Outcome::NotSent,
];

/// How a list request ended, or that its first line has arrived.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListRequestOutcome {
    /// A whole line has arrived.
    LineReceived,
    /// Its connection could not be opened.
    Unreachable,
    /// It was answered with another status than 200.
    Rejected,
    /// It was closed or reset before a whole line arrived.
    Broken,
    /// The response violates the protocol.
    Malformed,
    /// Another list request was faster, or replaced it.
    Cancelled,
}

impl ListRequestOutcome {
    const ALL: [ListRequestOutcome; 6] = [
        ListRequestOutcome::LineReceived,
        ListRequestOutcome::Unreachable,
        ListRequestOutcome::Rejected,
        ListRequestOutcome::Broken,
        ListRequestOutcome::Malformed,
        ListRequestOutcome::Cancelled,
    ];

    fn name(self) -> &'static str {
        match self {
            ListRequestOutcome::LineReceived => "told",
            ListRequestOutcome::Unreachable => "unreachable",
            ListRequestOutcome::Rejected => "rejected",
            ListRequestOutcome::Broken => "broken",
            ListRequestOutcome::Malformed => "malformed",
            ListRequestOutcome::Cancelled => "cancelled",
        }
    }
}

/// System calls whose errors are counted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SystemCall {
    /// Accepting a client's connection.
    Accept,
    /// Connecting to an endpoint.
    Connect,
    /// Reading from or writing to an endpoint.
    Transfer,
}

impl SystemCall {
    fn name(self) -> &'static str {
        match self {
            SystemCall::Accept => "accept",
            SystemCall::Connect => "connect",
            SystemCall::Transfer => "transfer",
        }
    }
}

/// The values of the gauges, which are set when the metrics are read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct GaugeValues {
    /// Requests submitted and not yet answered.
    pub requests: usize,
    /// Connections of clients.
    pub connections: usize,
    /// Endpoints by state.
    pub endpoints: EndpointCounts,
    /// How long ago discovery last sent the list, or said that it is unchanged; none if never.
    pub list_age: Option<Micros>,
    /// Whether the watch of the list is open and has received something.
    pub watch_open: bool,
}

/// Endpoints by whether they may be sent to.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct EndpointCounts {
    /// May be sent to.
    pub ready: usize,
    /// Draining, by the list.
    pub draining: usize,
    /// In maintenance.
    pub maintenance: usize,
}

/// All metrics of the process.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: Vec<IntCounter>,
    attempts: Vec<IntCounter>,
    denials: Vec<IntCounter>,
    closes: Vec<IntCounter>,
    violations: Vec<IntCounter>,
    list_requests: Vec<IntCounter>,
    list_stale: IntCounter,
    system_errors: IntCounterVec,
    latency: Histogram,
    budget_used: IntGauge,
    open_requests: IntGauge,
    connections: IntGauge,
    servers: IntGaugeVec,
    list_age_ms: IntGauge,
    watch_open: IntGauge,
}

impl Metrics {
    /// All metrics, with every counter at zero.
    pub fn new() -> Metrics {
        Metrics::build().expect("the names and labels below are valid, and each name occurs once")
    }

    fn build() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let list_request_outcomes: Vec<&str> =
            ListRequestOutcome::ALL.iter().map(|outcome| outcome.name()).collect();
        let rules: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
        let close_reasons: Vec<&str> = CloseReason::ALL.iter().map(|reason| reason.name()).collect();
        let denials: Vec<&str> = Denial::ALL.iter().map(|denial| denial.name()).collect();
        let refusals: Vec<&str> = RefusalReason::ALL.iter().map(|reason| reason.name()).collect();
        Ok(Metrics {
            requests: counter_vec(
                &registry,
                "requests_total",
                "Requests answered or withdrawn",
                &["class", "outcome"],
            )?,
            refusals: counters_by_label(
                &registry,
                "refusals_total",
                "Requests refused",
                "reason",
                &refusals,
            )?,
            attempts: attempt_counters(&registry)?,
            denials: counters_by_label(
                &registry,
                "attempt_denials_total",
                "Attempts not started or not sent",
                "reason",
                &denials,
            )?,
            closes: counters_by_label(
                &registry,
                "connections_closed_total",
                "Connections of clients closed",
                "reason",
                &close_reasons,
            )?,
            violations: counters_by_label(&registry, "violations_total", "Broken rules", "rule", &rules)?,
            list_requests: counters_by_label(
                &registry,
                "list_calls_total",
                "Calls to discovery for the list that told a line or ended with none",
                "outcome",
                &list_request_outcomes,
            )?,
            list_stale: register(
                &registry,
                IntCounter::with_opts(opts(
                    "list_stale_total",
                    "Times that the list was not heard for too long to be used",
                ))?,
            )?,
            system_errors: counter_vec(
                &registry,
                "system_errors_total",
                "System calls that failed",
                &["call", "errno"],
            )?,
            latency: register(
                &registry,
                Histogram::with_opts(
                    HistogramOpts::new(
                        "oakhollow_request_seconds",
                        "From a request's last byte to its answer's first",
                    )
                    .buckets(LATENCY_BOUNDS.to_vec()),
                )?,
            )?,
            budget_used: gauge(
                &registry,
                "retry_budget_used",
                "Attempts beyond requests' first in the last window",
            )?,
            open_requests: gauge(&registry, "open_requests", "Requests taken and not yet answered")?,
            connections: gauge(&registry, "client_connections", "Connections of clients")?,
            servers: register(
                &registry,
                IntGaugeVec::new(Opts::new("oakhollow_servers", "Servers by state"), &["state"])?,
            )?,
            list_age_ms: gauge(
                &registry,
                "list_age_milliseconds",
                "Since the list was last told; -1 if never",
            )?,
            watch_open: gauge(
                &registry,
                "watch_open",
                "1 while the watch of the list is open and has told something",
            )?,
            registry,
        })
    }

    /// The counter of requests of a class with an outcome.
    pub fn requests(&self, class: &str, outcome: &str) -> IntCounter {
        self.requests.with_label_values(&[class, outcome])
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].inc();
    }

    /// Counts an attempt that has ended, by kind and outcome.
    pub fn count_attempt(&self, kind: AttemptKind, outcome: Outcome) {
        let index = OUTCOMES.iter().position(|counted| *counted == outcome).unwrap_or_default();
        self.attempts[kind as usize * OUTCOMES.len() + index].inc();
    }

    /// Counts an attempt that was not allowed.
    pub fn count_denial(&self, denial: Denial) {
        self.denials[denial as usize].inc();
    }

    /// Counts a client's connection that was closed.
    pub fn count_closed_connection(&self, reason: CloseReason) {
        self.closes[reason as usize].inc();
    }

    /// Counts a broken rule.
    pub fn count_violation(&self, rule: Rule) {
        self.violations[rule as usize].inc();
    }

    /// Counts a list request that has ended, or whose first line has arrived.
    pub fn count_list_request(&self, outcome: ListRequestOutcome) {
        self.list_requests[outcome as usize].inc();
    }

    /// Counts that the list has become too old to be used.
    pub fn count_stale_list(&self) {
        self.list_stale.inc();
    }

    /// How often a rule was broken.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.violations[rule as usize].get()
    }

    /// Counts a system call that failed.
    pub fn count_system_error(&self, call: SystemCall, error: &Error) {
        let errno = error.raw_os_error().map_or("none".to_string(), |errno| errno.to_string());
        self.system_errors.with_label_values(&[call.name(), &errno]).inc();
    }

    /// Records how long a request took.
    pub fn observe_latency(&self, time: Micros) {
        self.latency.observe(time.secs());
    }

    /// Sets how much of the retry budget is used.
    pub fn set_retry_budget_used(&self, used: usize) {
        self.budget_used.set(used as i64);
    }

    /// Sets the gauges and returns all metrics as text.
    pub fn render(&self, gauges: GaugeValues) -> String {
        let GaugeValues { requests, connections, endpoints, list_age, watch_open } = gauges;
        self.open_requests.set(requests as i64);
        self.connections.set(connections as i64);
        let states = [
            ("ready", endpoints.ready),
            ("draining", endpoints.draining),
            ("maintenance", endpoints.maintenance),
        ];
        for (state, count) in states {
            self.servers.with_label_values(&[state]).set(count as i64);
        }
        self.list_age_ms.set(list_age.map_or(-1, |age| (age.0 / 1_000) as i64));
        self.watch_open.set(i64::from(watch_open));
        let mut text = Vec::new();
        // Encoding into memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, collector: C) -> prometheus::Result<C> {
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("oakhollow_{name}"), help)
}

fn counter_vec(
    registry: &Registry, name: &str, help: &str, labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    register(registry, IntCounterVec::new(opts(name, help), labels)?)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    register(registry, IntGauge::with_opts(opts(name, help))?)
}

/// A counter for each value of one label, in the order of `values`.
fn counters_by_label(
    registry: &Registry, name: &str, help: &str, label: &str, values: &[&str],
) -> prometheus::Result<Vec<IntCounter>> {
    let counters = counter_vec(registry, name, help, &[label])?;
    Ok(values.iter().map(|value| counters.with_label_values(&[value])).collect())
}

/// A counter for each kind of attempt and each outcome.
fn attempt_counters(registry: &Registry) -> prometheus::Result<Vec<IntCounter>> {
    let counters = counter_vec(registry, "attempts_total", "Attempts that have ended", &["kind", "outcome"])?;
    let kinds = AttemptKind::ALL.iter();
    let labels =
        kinds.flat_map(|kind| OUTCOMES.iter().map(move |outcome| (kind.name(), outcome_name(*outcome))));
    Ok(labels.map(|(kind, outcome)| counters.with_label_values(&[kind, outcome])).collect())
}
