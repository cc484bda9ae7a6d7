//! The settings object, converted to the decision module's [`BalancerConfig`] and to the values that the host
//! needs.
use oakhollow::types::*;
use serde::Deserialize;

/// The settings of one instance.
///
/// ```
/// use oakhollow::types::{DedupScope, Idempotency, Micros};
/// use oakhollow_config::{read_json, Settings};
/// let json = r#"{"me":0,"balancers":2,"bounds":{"most_hops":3},
///   "rules":{"cold_from":0.5,"fall_s":1,"warm_within_s":5},
///   "workloads":[{"name":"view","quoted_time_s":1,"abandon_time_s":2,"payoff":-1,"semantics":"read_like"}]}"#;
/// let error = read_json::<Settings>(json.as_bytes()).unwrap_err();
/// assert_eq!(error, "workloads[0].payoff: must be a number from 0 up");
/// let json = json.replace("-1", "1").replace("read_like", "sometimes");
/// let error = read_json::<Settings>(json.as_bytes()).unwrap_err();
/// assert!(error.starts_with("workloads[0].semantics: unknown variant `sometimes`"), "{error}");
/// let json = json.replace("sometimes", "idempotency_key");
/// let error = read_json::<Settings>(json.as_bytes()).unwrap_err();
/// assert_eq!(error, "workloads[0].group: must be all, zone or cell for idempotency_key, not \"\"");
/// let part = json.replace("idempotency_key", "read_like");
/// let part = part.replace("fall_s", "spare_attempts\":3,\"budget_share\":0.1,\"fall_s");
/// let error = read_json::<Settings>(part.as_bytes()).unwrap_err();
/// assert!(error.starts_with("rules.extra_window_s: must be set where another"), "{error}");
/// let negative = part.replace("fall_s", "extra_window_s\":-2,\"fall_s");
/// let error = read_json::<Settings>(negative.as_bytes()).unwrap_err();
/// assert_eq!(error, "rules.extra_window_s: must be over 0 and at most 3600");
/// let read_like = json.replace("idempotency_key", "read_like");
/// let settings: Settings = read_json(read_like.as_bytes()).unwrap();
/// assert_eq!(settings.balancer.max_hops, 3);
/// // The window is shorter than the memory span by the connect timeout, 0.25 s here.
/// let json = json
///     .replace("\"group\":\"cell\"", "")
///     .replace("idempotency_key", "idempotency_key\",\"group\":\"cell\",\"memory_span_s\":\"x")
///     .replace("\"x\"", "1.5")
///     .replace("\"most_hops\":3", "\"most_hops\":3,\"connect_timeout_s\":0.25");
/// let settings: Settings = read_json(json.as_bytes()).unwrap();
/// let by_key = Idempotency::ByKey { scope: DedupScope::Cell, window: Micros::millis(1_250) };
/// assert_eq!(settings.balancer.workloads[0].idempotency, by_key);
/// assert_eq!(settings.workloads[0].name, "view");
/// ```
#[derive(Clone, Debug, Deserialize)]
#[serde(try_from = "SettingsJson")]
pub struct Settings {
    /// The settings of the decision module.
    pub balancer: BalancerConfig,
    /// In the order of [`BalancerConfig::workloads`].
    pub workloads: Vec<WorkloadSettings>,
    /// In the order of [`BalancerConfig::tenant_quotas`].
    pub tenants: Vec<String>,
    /// The names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The tier whose servers this instance sends to.
    pub tier: String,
    /// For how long new attempts may still be sent to a server that drains.
    pub drain_grace: Micros,
    /// The longest that connecting to a server may take.
    pub connect_timeout: Micros,
    /// The longest that a server keeps an idle connection open.
    pub server_idle_timeout: Micros,
    /// Why a sidecar on sockets must reject these settings, if it must; the simulator may use them.
    pub inconsistency: Option<String>,
}

/// What the host needs to know of a workload.
#[derive(Clone, Debug)]
pub struct WorkloadSettings {
    /// The name of the workload.
    pub name: String,
    /// The longest that a client waits.
    pub max_client_wait: Micros,
    /// Whether its requests carry an idempotency key.
    pub has_idempotency_key: bool,
}

/// Converts seconds, the unit of the settings.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    Micros((seconds * 1e6).round().max(0.0) as u64)
}

#[derive(Deserialize)]
struct SettingsJson {
    me: u32,
    balancers: u32,
    bounds: BoundsJson,
    discovery: Option<DiscoveryMode>,
    #[serde(default)]
    goal: GoalJson,
    #[serde(default = "one")]
    overage_payoff: f64,
    #[serde(default)]
    family_info: FamilyInfoJson,
    #[serde(default)]
    prices: PricesJson,
    #[serde(default)]
    report: ReportJson,
    rules: RulesJson,
    #[serde(default)]
    stages: Vec<String>,
    #[serde(default)]
    tier: usize,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    tenants: Vec<TenantJson>,
    workloads: Vec<WorkloadJson>,
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
struct BoundsJson {
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
enum DiscoveryMode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize, Default)]
struct GoalJson {
    #[serde(default)]
    worst_class: f64,
}

#[derive(Deserialize, Default)]
struct PricesJson {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
struct FamilyInfoJson {
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize, Default)]
struct ReportJson {
    #[serde(default)]
    columns: Vec<String>,
    #[serde(default)]
    source: LoadReportSource,
}

#[derive(Deserialize, Default, PartialEq)]
#[serde(rename_all = "snake_case")]
enum LoadReportSource {
    #[default]
    None,
    Probe,
    Answers,
}

#[derive(Deserialize)]
struct RulesJson {
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

/// The longest window of a retry budget: one hour. A longer one is most likely a wrong unit.
const MAX_RETRY_WINDOW_S: f64 = 3_600.0;
/// The most retries that a retry budget may allow in addition to its share.
const MAX_SPARE_ATTEMPTS: f64 = 1e6;

impl RulesJson {
    /// The retry budget: all three keys, or none.
    fn retry_budget(&self) -> Result<Option<RetryBudget>, String> {
        let RulesJson { budget_share, spare_attempts, extra_window_s, .. } = self;
        if budget_share.is_none() && spare_attempts.is_none() && extra_window_s.is_none() {
            return Ok(None);
        }
        let checked = |key: &str, value: &Option<f64>, is_valid: fn(f64) -> bool, requirement: &str| {
            match value {
            None => Err(format!(
                ".rules.{key}: must be set where another of budget_share, spare_attempts and extra_window_s is"
            )),
            Some(value) if is_valid(*value) => Ok(*value),
            Some(_) => Err(format!(".rules.{key}: must be {requirement}")),
        }
        };
        let is_valid_share = |value| (0.0..=1.0).contains(&value);
        let is_valid_base = |value: f64| (0.0..=MAX_SPARE_ATTEMPTS).contains(&value) && value.fract() == 0.0;
        let is_valid_window = |value| value > 0.0 && value <= MAX_RETRY_WINDOW_S;
        Ok(Some(RetryBudget {
            ratio: checked("budget_share", budget_share, is_valid_share, "a number from 0 to 1")?,
            base: checked(
                "spare_attempts",
                spare_attempts,
                is_valid_base,
                "a whole number from 0 to 1000000",
            )?,
            window: micros_from_seconds(checked(
                "extra_window_s",
                extra_window_s,
                is_valid_window,
                "over 0 and at most 3600",
            )?),
        }))
    }
}

#[derive(Deserialize)]
struct TenantJson {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct WorkloadJson {
    #[serde(default)]
    name: String,
    quoted_time_s: f64,
    abandon_time_s: f64,
    #[serde(default)]
    payoff: f64,
    semantics: Semantics,
    #[serde(default)]
    group: String, // used for idempotency_key only
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

impl TryFrom<SettingsJson> for Settings {
    type Error = String;

    fn try_from(json: SettingsJson) -> Result<Settings, String> {
        json.check_ranges()?;
        let SettingsJson { bounds, rules, .. } = &json;
        let mut workloads = Vec::new();
        for (index, workload) in json.workloads.iter().enumerate() {
            let idempotency = workload.idempotency(bounds.connect_timeout_s).ok_or_else(|| {
                format!(
                    ".workloads[{index}].group: must be all, zone or cell for idempotency_key, not {:?}",
                    workload.group
                )
            })?;
            let (quoted_time, payoff) = (micros_from_seconds(workload.quoted_time_s), workload.payoff);
            workloads.push(Workload { idempotency, quoted_time, payoff });
        }
        let workload_settings = |workload: &WorkloadJson| WorkloadSettings {
            name: workload.name.clone(),
            max_client_wait: micros_from_seconds(workload.abandon_time_s),
            has_idempotency_key: matches!(workload.semantics, Semantics::IdempotencyKey),
        };
        Ok(Settings {
            balancer: BalancerConfig {
                instances: json.balancers,
                instance_index: json.me,
                local_zone: (json.prices.cross_zone > 0.0).then_some(ZoneId(json.zone)),
                workloads,
                tenant_quotas: json.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
                overage_payoff: json.overage_payoff,
                worst_workload_weight: json.goal.worst_class,
                max_hops: bounds.most_hops,
                retry_budget: rules.retry_budget()?,
                may_cancel: bounds.cancel,
                may_hedge: bounds.parallel_tries,
                max_retry_after: if bounds.retry_after {
                    micros_from_seconds(bounds.max_retry_after_s)
                } else {
                    Micros(0)
                },
                load_reports: json.report.has_load_columns(),
                peer_messages: bounds.peer_messages,
                key_affinity: json.family_info.warm_keys,
                must_subscribe: json.discovery == Some(DiscoveryMode::OnRequest),
                resubscribe_within: micros_from_seconds(rules.ask_within_s),
                cold_capacity: rules.cold_from,
                warm_up_time: micros_from_seconds(rules.warm_within_s),
                collapse_window: micros_from_seconds(rules.fall_s),
            },
            workloads: json.workloads.iter().map(workload_settings).collect(),
            tenants: json.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
            tier: json.stages.get(json.tier).cloned().unwrap_or_default(),
            drain_grace: micros_from_seconds(rules.stop_sending_within_s),
            connect_timeout: micros_from_seconds(bounds.connect_timeout_s),
            server_idle_timeout: micros_from_seconds(bounds.idle_close_s),
            inconsistency: json.find_inconsistency(),
            zones: json.zones,
        })
    }
}

impl SettingsJson {
    /// The error message, beginning with a key, if values that are valid one by one do not fit together. With
    /// load reports in answers the list is pushed; without them it may be pushed or requested, so that
    /// servers without load reports are supported too. Affinity keys and peer messages need both a pushed
    /// list and load reports.
    fn find_inconsistency(&self) -> Option<String> {
        let ReportJson { columns, source } = &self.report;
        let has_reports = *source == LoadReportSource::Answers;
        let pushed =
            self.discovery.as_ref().map_or(has_reports, |discovery| *discovery == DiscoveryMode::Pushed);
        if let Some(index) = columns.iter().position(|column| !LOAD_REPORT_COLUMNS.contains(&column.as_str()))
        {
            let (unknown, all) = (&columns[index], LOAD_REPORT_COLUMNS.join(", "));
            return Some(format!("report.columns[{index}]: unknown value {unknown:?}, known are {all}"));
        }
        let message = match () {
            _ if *source == LoadReportSource::None && !columns.is_empty() => {
                "report.source: must be answers or probe where report.columns names values"
            }
            _ if has_reports && !self.report.has_load_columns() => {
                "report.columns: must name busy_reqs, and pending or cpu_share, where report.source is answers"
            }
            _ if !pushed && has_reports => "report.source: must not be answers where discovery is on_request",
            _ if !pushed && self.family_info.warm_keys => {
                "family_info.warm_keys: must not be set where discovery is on_request"
            }
            _ if !pushed && self.bounds.peer_messages => {
                "bounds.peer_messages: must not be set where discovery is on_request"
            }
            _ if !has_reports && self.family_info.warm_keys => {
                "family_info.warm_keys: must not be set where report.source is not answers"
            }
            _ if !has_reports && self.bounds.peer_messages => {
                "bounds.peer_messages: must not be set where report.source is not answers"
            }
            _ => return None,
        };
        Some(message.into())
    }

    /// Checks values that parse but are out of range.
    fn check_ranges(&self) -> Result<(), String> {
        let SettingsJson { bounds, rules, .. } = self;
        let check_not_negative = |key: String, value: f64| match value >= 0.0 {
            true => Ok(()),
            false => Err(format!("{key}: must be a number from 0 up")),
        };
        let check_positive = |key: String, value: f64| match value > 0.0 {
            true => Ok(()),
            false => Err(format!("{key}: must be over 0")),
        };
        check_not_negative(".bounds.connect_timeout_s".into(), bounds.connect_timeout_s)?;
        check_not_negative(".bounds.idle_close_s".into(), bounds.idle_close_s)?;
        check_not_negative(".bounds.max_retry_after_s".into(), bounds.max_retry_after_s)?;
        check_not_negative(".goal.worst_class".into(), self.goal.worst_class)?;
        check_not_negative(".overage_payoff".into(), self.overage_payoff)?;
        check_not_negative(".rules.ask_within_s".into(), rules.ask_within_s)?;
        check_not_negative(".rules.cold_from".into(), rules.cold_from)?;
        check_not_negative(".rules.fall_s".into(), rules.fall_s)?;
        check_not_negative(".rules.stop_sending_within_s".into(), rules.stop_sending_within_s)?;
        check_not_negative(".rules.warm_within_s".into(), rules.warm_within_s)?;
        for (index, workload) in self.workloads.iter().enumerate() {
            let key = |name: &str| format!(".workloads[{index}].{name}");
            check_positive(key("quoted_time_s"), workload.quoted_time_s)?;
            check_positive(key("abandon_time_s"), workload.abandon_time_s)?;
            check_not_negative(key("payoff"), workload.payoff)?;
            check_not_negative(key("memory_span_s"), workload.memory_span_s)?;
        }
        let mut with_names =
            self.workloads.iter().enumerate().filter(|(_, workload)| !workload.name.is_empty());
        let is_duplicate =
            |index: usize, name: &str| self.workloads[..index].iter().any(|other| other.name == name);
        if let Some((index, workload)) =
            with_names.find(|(index, workload)| is_duplicate(*index, &workload.name))
        {
            return Err(format!(".workloads[{index}].name: {:?} appears twice", workload.name));
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            check_not_negative(format!(".tenants[{index}].quota_per_s"), tenant.quota_per_s)?;
        }
        match () {
            _ if self.balancers == 0 => Err(".balancers: must be 1 or more".into()),
            _ if bounds.most_hops == 0 => Err(".bounds.most_hops: must be 1 or more".into()),
            _ if self.workloads.is_empty() => Err(".workloads: must name at least one".into()),
            _ => Ok(()),
        }
    }
}

/// The values that a load report may contain.
pub const LOAD_REPORT_COLUMNS: [&str; 6] =
    ["busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"];

impl ReportJson {
    /// Whether answers report what the decision module needs: requests in progress, and waiting requests or
    /// busy cores.
    fn has_load_columns(&self) -> bool {
        let has_column = |name| self.columns.iter().any(|column| column == name);
        self.source == LoadReportSource::Answers
            && has_column("busy_reqs")
            && (has_column("pending") || has_column("cpu_share"))
    }
}

impl WorkloadJson {
    /// When a request may be repeated; `None` if the group is invalid. A retry may arrive later than it was
    /// decided on, by up to the connect timeout. The window is shorter by that, so that a retry does not
    /// arrive after its server has forgotten the key.
    fn idempotency(&self, connect_timeout_s: f64) -> Option<Idempotency> {
        let window = micros_from_seconds(self.memory_span_s - connect_timeout_s);
        let scope = match self.group.as_str() {
            "all" => Some(DedupScope::All),
            "zone" => Some(DedupScope::Zone),
            "cell" => Some(DedupScope::Cell),
            _ => None,
        };
        match self.semantics {
            Semantics::ReadLike => Some(Idempotency::Idempotent),
            Semantics::NonIdempotent => Some(Idempotency::NonIdempotent),
            Semantics::IdempotencyKey => scope.map(|scope| Idempotency::ByKey { scope, window }),
        }
    }
}
