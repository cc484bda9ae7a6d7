//! The settings object: what the place lays down, as the module's [`BalancerConfig`] and as figures for the host.
use oakhollow::types::*;
use serde::Deserialize;

/// What the place lays down for one instance.
///
/// ```
/// let json = r#"{"me":0,"balancers":2,"bounds":{"most_hops":3},"rules":{"cold_from":0.5,"fall_s":1,"warm_within_s":5},
///   "workloads":[{"name":"view","quoted_time_s":1,"abandon_time_s":2,"payoff":-1,"semantics":"read_like"}]}"#;
/// let fault = oakhollow_terms::read::<oakhollow_terms::Place>(json.as_bytes()).unwrap_err();
/// assert_eq!(fault, "workloads[0].payoff: must be a number from 0 up");
/// let json = json.replace("-1", "1").replace("read_like", "sometimes");
/// let fault = oakhollow_terms::read::<oakhollow_terms::Place>(json.as_bytes()).unwrap_err();
/// assert!(fault.starts_with("workloads[0].semantics: unknown variant `sometimes`"), "{fault}");
/// let json = json.replace("sometimes", "idempotency_key");
/// let fault = oakhollow_terms::read::<oakhollow_terms::Place>(json.as_bytes()).unwrap_err();
/// assert_eq!(fault, "workloads[0].group: must be all, zone or cell for idempotency_key, not \"\"");
/// let part = json.replace("idempotency_key", "read_like").replace("fall_s", "spare_attempts\":3,\"budget_share\":0.1,\"fall_s");
/// let fault = oakhollow_terms::read::<oakhollow_terms::Place>(part.as_bytes()).unwrap_err();
/// assert!(fault.starts_with("rules.extra_window_s: must be set where another"), "{fault}");
/// let fault = part.replace("fall_s", "extra_window_s\":-2,\"fall_s");
/// let fault = oakhollow_terms::read::<oakhollow_terms::Place>(fault.as_bytes()).unwrap_err();
/// assert_eq!(fault, "rules.extra_window_s: must be over 0 and at most 3600");
/// let place: oakhollow_terms::Place = oakhollow_terms::read(json.replace("idempotency_key", "read_like").as_bytes()).unwrap();
/// assert_eq!(place.terms.max_hops, 3);
/// // A repeat may arrive as much later than it is decided on as its connection takes: a quarter of a second here.
/// let json = json.replace("\"group\":\"cell\"", "").replace("idempotency_key", "idempotency_key\",\"group\":\"cell\",\"memory_span_s\":\"x")
///     .replace("\"x\"", "1.5").replace("\"most_hops\":3", "\"most_hops\":3,\"connect_timeout_s\":0.25");
/// let place: oakhollow_terms::Place = oakhollow_terms::read(json.as_bytes()).unwrap();
/// let memory = oakhollow::types::Micros::millis(1_250);
/// assert_eq!(place.terms.workloads[0].idempotency, oakhollow::types::Idempotency::ByKey { scope: oakhollow::types::DedupScope::Cell, window: memory });
/// assert_eq!(place.workloads[0].name, "view");
/// ```
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "Told")]
pub struct Place {
    pub terms: BalancerConfig,
    /// In the order of [`BalancerConfig::workloads`].
    pub workloads: Vec<Named>,
    /// In the order of [`BalancerConfig::tenant_quotas`].
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    /// Which tier's servers this instance sends to.
    pub tier: String,
    /// How long a server that drains may still be sent new hops.
    pub drain_grace: Micros,
    pub connect_within: Micros,
    /// When a server closes a connection that has stood idle, at the latest.
    pub idle_close: Micros,
    /// What a program of its own must not take up, if anything; the simulator may send it.
    pub mixed: Option<String>,
}

/// What the host needs of a workload.
#[derive(Clone, Debug)]
pub struct Named {
    pub name: String,
    /// The longest that a client waits.
    pub abandon: Micros,
    /// Calls of it carry a key of their own.
    pub tagged: bool,
}

/// Seconds as the settings have them.
pub fn micros(seconds: f64) -> Micros {
    Micros((seconds * 1e6).round().max(0.0) as u64)
}

#[derive(Deserialize)]
struct Told {
    me: u32,
    balancers: u32,
    bounds: Bounds,
    discovery: Option<Discovery>,
    #[serde(default)]
    goal: Goal,
    #[serde(default = "one")]
    overage_payoff: f64,
    #[serde(default)]
    family_info: Family,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    report: Reporting,
    rules: Rules,
    #[serde(default)]
    stages: Vec<String>,
    #[serde(default)]
    tier: usize,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    workloads: Vec<Class>,
}

fn one() -> f64 {
    1.0
}

fn one_second() -> f64 {
    1.0
}

fn one_minute() -> f64 {
    60.0
}

#[derive(Deserialize)]
struct Bounds {
    #[serde(default)]
    cancel: bool,
    #[serde(default = "one_second")]
    connect_timeout_s: f64,
    #[serde(default = "one_minute")]
    idle_close_s: f64,
    #[serde(default)]
    max_retry_after_s: f64,
    most_hops: u32,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Discovery {
    Pushed,
    OnRequest,
}

#[derive(Deserialize, Default)]
struct Goal {
    #[serde(default)]
    worst_class: f64,
}

#[derive(Deserialize, Default)]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct Family {
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize, Default)]
struct Reporting {
    #[serde(default)]
    columns: Vec<String>,
    #[serde(default)]
    source: Source,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Source {
    #[default]
    None,
    Probe,
    Answers,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(default)]
    ask_within_s: f64,
    budget_share: Option<f64>,
    cold_from: f64,
    extra_window_s: Option<f64>,
    fall_s: f64,
    spare_attempts: Option<f64>,
    #[serde(default)]
    stop_sending_within_s: f64,
    warm_within_s: f64,
}

/// The longest window of a bound on hops: an hour. One beyond it is a slip of units.
const LONGEST_WINDOW_S: f64 = 3_600.0;
/// The most hops that a bound may grant on top of its share.
const MOST_SPARE: f64 = 1e6;

impl Rules {
    /// The bound on hops beyond each call's first: all three keys, or none.
    fn beyond_first(&self) -> Result<Option<RetryBudget>, String> {
        let Rules { budget_share, spare_attempts, extra_window_s, .. } = self;
        if budget_share.is_none() && spare_attempts.is_none() && extra_window_s.is_none() {
            return Ok(None);
        }
        let within = |key: &str, figure: &Option<f64>, sound: fn(f64) -> bool, what: &str| {
            match figure {
            None => Err(format!(
                ".rules.{key}: must be set where another of budget_share, spare_attempts and extra_window_s is"
            )),
            Some(figure) if sound(*figure) => Ok(*figure),
            Some(_) => Err(format!(".rules.{key}: must be {what}")),
        }
        };
        let share = |figure| (0.0..=1.0).contains(&figure);
        let few = |figure: f64| (0.0..=MOST_SPARE).contains(&figure) && figure.fract() == 0.0;
        let window = |figure| figure > 0.0 && figure <= LONGEST_WINDOW_S;
        Ok(Some(RetryBudget {
            ratio: within("budget_share", budget_share, share, "a number from 0 to 1")?,
            base: within("spare_attempts", spare_attempts, few, "a whole number from 0 to 1000000")?,
            window: micros(within("extra_window_s", extra_window_s, window, "over 0 and at most 3600")?),
        }))
    }
}

#[derive(Deserialize)]
struct Tenant {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Class {
    #[serde(default)]
    name: String,
    quoted_time_s: f64,
    abandon_time_s: f64,
    #[serde(default)]
    payoff: f64,
    semantics: Semantics,
    #[serde(default)]
    group: String, // means something for tagged ones only
    #[serde(default)]
    memory_span_s: f64,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

impl TryFrom<Told> for Place {
    type Error = String;

    fn try_from(told: Told) -> Result<Place, String> {
        told.check()?;
        let Told { bounds, rules, .. } = &told;
        let mut kinds = Vec::new();
        for (at, class) in told.workloads.iter().enumerate() {
            let kind = class.kind(bounds.connect_timeout_s).ok_or_else(|| {
                format!(
                    ".workloads[{at}].group: must be all, zone or cell for idempotency_key, not {:?}",
                    class.group
                )
            })?;
            let (quoted_time, payoff) = (micros(class.quoted_time_s), class.payoff);
            kinds.push(Workload { idempotency: kind, quoted_time, payoff });
        }
        let named = |class: &Class| Named {
            name: class.name.clone(),
            abandon: micros(class.abandon_time_s),
            tagged: matches!(class.semantics, Semantics::IdempotencyKey),
        };
        Ok(Place {
            terms: BalancerConfig {
                instances: told.balancers,
                instance_index: told.me,
                local_zone: (told.prices.cross_zone > 0.0).then_some(ZoneId(told.zone)),
                workloads: kinds,
                tenant_quotas: told.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
                overage_payoff: told.overage_payoff,
                worst_workload_weight: told.goal.worst_class,
                max_hops: bounds.most_hops,
                retry_budget: rules.beyond_first()?,
                may_cancel: bounds.cancel,
                may_hedge: bounds.parallel_tries,
                max_retry_after: if bounds.retry_after {
                    micros(bounds.max_retry_after_s)
                } else {
                    Micros(0)
                },
                load_reports: told.report.tells_load(),
                peer_messages: bounds.peer_messages,
                key_affinity: told.family_info.warm_keys,
                must_subscribe: told.discovery == Some(Discovery::OnRequest),
                resubscribe_within: micros(rules.ask_within_s),
                cold_capacity: rules.cold_from,
                warm_up_time: micros(rules.warm_within_s),
                collapse_window: micros(rules.fall_s),
            },
            workloads: told.workloads.iter().map(named).collect(),
            customers: told.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            tier: told.stages.get(told.tier).cloned().unwrap_or_default(),
            drain_grace: micros(rules.stop_sending_within_s),
            connect_within: micros(bounds.connect_timeout_s),
            idle_close: micros(bounds.idle_close_s),
            mixed: told.mixed(),
            zones: told.zones,
        })
    }
}

impl Told {
    /// Settings that are each sound and don't go together, told by the key. A list is asked for where answers tell no
    /// load. It may be pushed with or without: guards against refusing a fleet whose servers tell nothing. Keys and
    /// messages belong to the shape that has both.
    fn mixed(&self) -> Option<String> {
        let Reporting { columns, source } = &self.report;
        let tells = *source == Source::Answers;
        let pushed = self.discovery.as_ref().map_or(tells, |discovery| *discovery == Discovery::Pushed);
        if let Some(at) = columns.iter().position(|column| !REPORT_VALUES.contains(&column.as_str())) {
            let (odd, all) = (&columns[at], REPORT_VALUES.join(", "));
            return Some(format!("report.columns[{at}]: unknown value {odd:?}, known are {all}"));
        }
        let why = match () {
            _ if *source == Source::None && !columns.is_empty() => {
                "report.source: must be answers or probe where report.columns names values"
            }
            _ if tells && !self.report.tells_load() => {
                "report.columns: must name busy_reqs, and pending or cpu_share, where report.source is answers"
            }
            _ if !pushed && tells => "report.source: must not be answers where discovery is on_request",
            _ if !pushed && self.family_info.warm_keys => {
                "family_info.warm_keys: must not be set where discovery is on_request"
            }
            _ if !pushed && self.bounds.peer_messages => {
                "bounds.peer_messages: must not be set where discovery is on_request"
            }
            _ if !tells && self.family_info.warm_keys => {
                "family_info.warm_keys: must not be set where report.source is not answers"
            }
            _ if !tells && self.bounds.peer_messages => {
                "bounds.peer_messages: must not be set where report.source is not answers"
            }
            _ => return None,
        };
        Some(why.into())
    }

    /// Figures that would parse and mean nothing.
    fn check(&self) -> Result<(), String> {
        let Told { bounds, rules, .. } = self;
        let from_zero = |key: String, figure: f64| match figure >= 0.0 {
            true => Ok(()),
            false => Err(format!("{key}: must be a number from 0 up")),
        };
        let over_zero = |key: String, figure: f64| match figure > 0.0 {
            true => Ok(()),
            false => Err(format!("{key}: must be over 0")),
        };
        from_zero(".bounds.connect_timeout_s".into(), bounds.connect_timeout_s)?;
        from_zero(".bounds.idle_close_s".into(), bounds.idle_close_s)?;
        from_zero(".bounds.max_retry_after_s".into(), bounds.max_retry_after_s)?;
        from_zero(".goal.worst_class".into(), self.goal.worst_class)?;
        from_zero(".overage_payoff".into(), self.overage_payoff)?;
        from_zero(".rules.ask_within_s".into(), rules.ask_within_s)?;
        from_zero(".rules.cold_from".into(), rules.cold_from)?;
        from_zero(".rules.fall_s".into(), rules.fall_s)?;
        from_zero(".rules.stop_sending_within_s".into(), rules.stop_sending_within_s)?;
        from_zero(".rules.warm_within_s".into(), rules.warm_within_s)?;
        for (at, class) in self.workloads.iter().enumerate() {
            let key = |name: &str| format!(".workloads[{at}].{name}");
            over_zero(key("quoted_time_s"), class.quoted_time_s)?;
            over_zero(key("abandon_time_s"), class.abandon_time_s)?;
            from_zero(key("payoff"), class.payoff)?;
            from_zero(key("memory_span_s"), class.memory_span_s)?;
        }
        let mut named = self.workloads.iter().enumerate().filter(|(_, class)| !class.name.is_empty());
        let twice = |at: usize, name: &str| self.workloads[..at].iter().any(|other| other.name == name);
        if let Some((at, class)) = named.find(|(at, class)| twice(*at, &class.name)) {
            return Err(format!(".workloads[{at}].name: {:?} stands twice", class.name));
        }
        for (at, tenant) in self.tenants.iter().enumerate() {
            from_zero(format!(".tenants[{at}].quota_per_s"), tenant.quota_per_s)?;
        }
        match () {
            _ if self.balancers == 0 => Err(".balancers: must be 1 or more".into()),
            _ if bounds.most_hops == 0 => Err(".bounds.most_hops: must be 1 or more".into()),
            _ if self.workloads.is_empty() => Err(".workloads: must name at least one".into()),
            _ => Ok(()),
        }
    }
}

/// Values that a load report may hold.
pub const REPORT_VALUES: [&str; 6] =
    ["busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"];

impl Reporting {
    /// Whether each answer comes with what the module reads: calls held, and calls waiting or busy cores.
    fn tells_load(&self) -> bool {
        let tells = |name| self.columns.iter().any(|column| column == name);
        self.source == Source::Answers && tells("busy_reqs") && (tells("pending") || tells("cpu_share"))
    }
}

impl Class {
    /// A repeat arrives later than it is decided on, by as much as its connection takes: guards against one that comes up
    /// when its server remembers no more.
    fn kind(&self, connect_timeout_s: f64) -> Option<Idempotency> {
        let memory = micros(self.memory_span_s - connect_timeout_s);
        let group = match self.group.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        match self.semantics {
            Semantics::ReadLike => Some(Idempotency::Idempotent),
            Semantics::NonIdempotent => Some(Idempotency::NonIdempotent),
            Semantics::IdempotencyKey => {
                group.map(|group| Idempotency::ByKey { scope: group, window: memory })
            }
        }
    }
}
