//! What `GET /metrics` on the console tells, in the Prometheus text format. Counters are counted where things happen, on any
//! thread, without a lock; gauges are set when they are asked for. `docs/metrics.md` lists each with its unit.
use oakhollow::types::{Micros, Outcome};
use oakhollow_guard::{CloseReason, Denial, Rule};
use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use std::io::Error;

/// Bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0];

/// What an attempt is among those of its request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AttemptKind {
    /// The request's first.
    First,
    /// After all earlier ones have ended.
    Retry,
    /// While an earlier one is out.
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
    /// The instance has no lease, and may send nothing on.
    NoLease,
    /// The list has not been heard for too long.
    ListStale,
    /// The list names no server that may be sent to.
    NoServer,
    /// The process is ending, and no time is left.
    ShuttingDown,
    /// No attempt was started: the module saw no room for the request.
    Overload,
    /// Attempts were started, and none has run.
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

/// The name by which an outcome is counted.
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

/// How a call for the list ended, or that it has told a first line.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListRequestOutcome {
    /// It has told a line.
    LineReceived,
    /// Its connection did not come up.
    Unreachable,
    /// It was answered with another status than 200.
    Rejected,
    /// It was closed or reset before it told anything.
    Broken,
    /// What came is not what the protocol allows.
    Malformed,
    /// Another call was faster, or took its place.
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
    /// Taking a client's connection in.
    Accept,
    /// Connecting to a server.
    Connect,
    /// Reading from or writing to a server.
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

/// What is set when it is asked for.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct GaugeValues {
    /// Requests taken and not yet answered.
    pub requests: usize,
    /// Connections of clients.
    pub connections: usize,
    /// Servers that may be sent to, that drain by the list, and that are out by hand.
    pub endpoints: EndpointCounts,
    /// How long ago the list was last told, or said to be unchanged; none if never.
    pub list_age: Option<Micros>,
    /// The watch of the list has told something and is open.
    pub watch_open: bool,
}

/// Servers by what they may be sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct EndpointCounts {
    /// They may be sent to.
    pub ready: usize,
    /// They drain, as the list has it.
    pub draining: usize,
    /// They are out by hand.
    pub maintenance: usize,
}

/// All counters of the process.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: Vec<IntCounter>,
    attempts: Vec<IntCounter>,
    denials: Vec<IntCounter>,
    closes: Vec<IntCounter>,
    violations: Vec<IntCounter>,
    list_calls: Vec<IntCounter>,
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
    /// None yet counted.
    pub fn new() -> Metrics {
        Metrics::build().expect("the names and labels below are valid, and each stands once")
    }

    fn build() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let by_list_call: Vec<&str> = ListRequestOutcome::ALL.iter().map(|outcome| outcome.name()).collect();
        let by_rule: Vec<&str> = Rule::ALL.iter().map(|rule| rule.name()).collect();
        let by_close: Vec<&str> = CloseReason::ALL.iter().map(|reason| reason.name()).collect();
        let by_denial: Vec<&str> = Denial::ALL.iter().map(|denial| denial.name()).collect();
        let by_refusal: Vec<&str> = RefusalReason::ALL.iter().map(|reason| reason.name()).collect();
        Ok(Metrics {
            requests: vec(
                &registry,
                "requests_total",
                "Requests answered or withdrawn",
                &["class", "outcome"],
            )?,
            refusals: each(&registry, "refusals_total", "Requests refused", "reason", &by_refusal)?,
            attempts: attempts(&registry)?,
            denials: each(
                &registry,
                "attempt_denials_total",
                "Attempts not started or not sent",
                "reason",
                &by_denial,
            )?,
            closes: each(
                &registry,
                "connections_closed_total",
                "Connections of clients closed",
                "reason",
                &by_close,
            )?,
            violations: each(&registry, "violations_total", "Broken rules", "rule", &by_rule)?,
            list_calls: each(
                &registry,
                "list_calls_total",
                "Calls to discovery for the list that told a line or ended with none",
                "outcome",
                &by_list_call,
            )?,
            list_stale: register(
                &registry,
                IntCounter::with_opts(named(
                    "list_stale_total",
                    "Times that the list was not heard for too long to be used",
                ))?,
            )?,
            system_errors: vec(
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

    /// Counts an attempt by its end.
    pub fn count_attempt(&self, kind: AttemptKind, outcome: Outcome) {
        let at = OUTCOMES.iter().position(|one| *one == outcome).unwrap_or_default();
        self.attempts[kind as usize * OUTCOMES.len() + at].inc();
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

    /// Counts a call for the list.
    pub fn count_list_request(&self, outcome: ListRequestOutcome) {
        self.list_calls[outcome as usize].inc();
    }

    /// Counts that the list may not be used any more.
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

    /// Notes how long a request took.
    pub fn observe_latency(&self, length: Micros) {
        self.latency.observe(length.secs());
    }

    /// Notes how much of the budget of attempts beyond requests' first is used.
    pub fn set_retry_budget_used(&self, used: usize) {
        self.budget_used.set(used as i64);
    }

    /// All of it, as text.
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
        // Into memory, which does not fail.
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

fn named(name: &str, help: &str) -> Opts {
    Opts::new(format!("oakhollow_{name}"), help)
}

fn vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    register(registry, IntCounterVec::new(named(name, help), labels)?)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    register(registry, IntGauge::with_opts(named(name, help))?)
}

/// A counter for each value of one label, in their order.
fn each(
    registry: &Registry, name: &str, help: &str, label: &str, values: &[&str],
) -> prometheus::Result<Vec<IntCounter>> {
    let counters = vec(registry, name, help, &[label])?;
    Ok(values.iter().map(|value| counters.with_label_values(&[value])).collect())
}

/// A counter for each kind of attempt and each outcome.
fn attempts(registry: &Registry) -> prometheus::Result<Vec<IntCounter>> {
    let counters = vec(registry, "attempts_total", "Attempts that have ended", &["kind", "outcome"])?;
    let kinds = AttemptKind::ALL.iter();
    let both =
        kinds.flat_map(|kind| OUTCOMES.iter().map(move |outcome| (kind.name(), outcome_name(*outcome))));
    Ok(both.map(|(kind, outcome)| counters.with_label_values(&[kind, outcome])).collect())
}
