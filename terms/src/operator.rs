//! The operator's own file: what is turned on beyond what the platform lays down. All of it may be left out.
use crate::SitePlanConfig;
use oakhollow_sites::Plan;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// What the operator has set.
///
/// ```
/// use oakhollow_terms::OperatorConfig;
/// assert_eq!(OperatorConfig::from_toml("", 8).unwrap().workers, 1);
/// let fault = |text: &str| OperatorConfig::from_toml(text, 8).unwrap_err();
/// assert_eq!(fault("workers = 0"), "line 1: workers: must be a whole number from 1 to 32 (four for each of 8 cores), not 0");
/// assert_eq!(fault("\nworker = 2"), "line 2: unknown field `worker`, expected one of `workers`, `accord`, `plan`");
/// assert!(fault("workers = \"many\"").starts_with("line 1: workers: invalid type: string \"many\""));
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Threads that carry calls, each with a listener and an instance of the decisions of its own.
    pub workers: usize,
    /// How instances agree on settings; each acts on its own file alone without it.
    pub accord: Option<AccordConfig>,
    /// What holds when whole sites are lost.
    plan: Option<SitePlanConfig>,
}

impl Default for OperatorConfig {
    fn default() -> OperatorConfig {
        OperatorConfig { workers: 1, accord: None, plan: None }
    }
}

/// The instances that agree, and how.
///
/// ```
/// use oakhollow_terms::OperatorConfig;
/// let fault = |keepers: &str, within: &str| {
///     let text = format!("[accord]\nwithin = {within}\nkeepers = [{keepers}]\ninstances = {{ a = \"127.0.0.1:1\", b = \"127.0.0.1:2\", c = \"127.0.0.1:3\" }}");
///     OperatorConfig::from_toml(&text, 8).map(|_| ()).unwrap_err()
/// };
/// assert_eq!(fault(r#""a", "b""#, "2.0"), "line 3: accord.keepers: must be 1, 3 or 5 of the instances, not 2");
/// assert_eq!(fault(r#""a", "b", "a""#, "2.0"), "line 3: accord.keepers: \"a\" stands twice");
/// assert_eq!(fault(r#""a", "b", "d""#, "2.0"), "line 3: accord.keepers: \"d\" is none of the instances");
/// let listed = fault(r#""a", "b", "c""#, "2.0\nscope = \"listed\"\nunsure = \"hold\"");
/// assert_eq!(listed, "line 3: accord.scope: \"listed\" goes with lists = \"drains\" and unsure = \"refuse\" alone");
/// assert_eq!(fault(r#""a", "b", "c""#, "0.01"), "line 2: accord.within: must be from 0.2 to 60 seconds, not 0.01");
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccordConfig {
    /// By the `name` in a sidecar's file: where its keeper listens, as seen from this instance.
    pub instances: BTreeMap<String, SocketAddr>,
    /// Those of them that grant leases.
    pub keepers: Vec<String>,
    /// How long two of them may differ, in seconds: twice as long as a lease lives.
    #[serde(rename = "within")]
    pub max_divergence_s: f64,
    #[serde(default, rename = "unsure")]
    pub no_lease_policy: NoLeasePolicy,
    #[serde(default, rename = "lists")]
    pub list_sharing: ListSharing,
    #[serde(default)]
    pub scope: Scope,
    /// Whether a mark that is set by hand at one instance holds for all.
    #[serde(default, rename = "marks")]
    pub share_maintenance: bool,
}

/// What instances tell each other of the servers on their lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListSharing {
    /// Who drains or has left.
    #[default]
    Drains,
    /// All entries: one whose discovery fails goes on by what the others are told. Addresses must be the same for all.
    Whole,
}

/// Whom instances hear of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All servers.
    #[default]
    All,
    /// Those that the own list names. One that it begins to name is sent to once a majority of keepers tells of it.
    Listed,
}

/// What an instance does without a majority's leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoLeasePolicy {
    /// Calls are dismissed at once.
    #[default]
    Refuse,
    /// First hops alone, none to a cold server.
    Strictest,
    /// It acts on what it knew last, and may contradict others.
    Hold,
}

impl AccordConfig {
    /// Leases shorter than this would run out by an ordinary pause of a busy machine.
    const LEAST_S: f64 = 0.2;
    const MOST_S: f64 = 60.0;

    /// The key that is at fault, and why.
    fn fault(&self) -> Option<(&'static str, String)> {
        let AccordConfig { instances, keepers, max_divergence_s: within, .. } = self;
        let listed = self.scope == Scope::Listed;
        let twice = keepers.iter().enumerate().find(|(at, keeper)| keepers[..*at].contains(keeper));
        let foreign = keepers.iter().find(|keeper| !instances.contains_key(*keeper));
        match () {
            _ if !(Self::LEAST_S..=Self::MOST_S).contains(within) => {
                let why = format!("must be from {} to {} seconds, not {within}", Self::LEAST_S, Self::MOST_S);
                Some(("within", why))
            }
            _ if twice.is_some() => Some(("keepers", format!("{:?} stands twice", twice?.1))),
            _ if foreign.is_some() => Some(("keepers", format!("{:?} is none of the instances", foreign?))),
            _ if ![1, 3, 5].contains(&keepers.len()) => {
                Some(("keepers", format!("must be 1, 3 or 5 of the instances, not {}", keepers.len())))
            }
            // Nobody tells of other servers then, and what is held back waits for a lease.
            _ if listed
                && (self.list_sharing, self.no_lease_policy)
                    != (ListSharing::Drains, NoLeasePolicy::Refuse) =>
            {
                let why = "\"listed\" goes with lists = \"drains\" and unsure = \"refuse\" alone";
                Some(("scope", why.into()))
            }
            _ => None,
        }
    }
}

impl OperatorConfig {
    /// More workers than this for each core only take turns.
    const MOST_A_CORE: usize = 4;

    /// Which was checked when it was read.
    pub fn site_plan(&self) -> Option<Plan> {
        self.plan.as_ref().and_then(|plan| plan.plan().ok())
    }

    /// Reads the file; the message of a fault is one line that names the file, the line and the key.
    pub fn from_file(path: &Path, cores: usize) -> Result<OperatorConfig, String> {
        let named = |fault: String| format!("{}: {fault}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        OperatorConfig::from_toml(&text, cores).map_err(named)
    }

    /// `cores` is what the machine has.
    pub fn from_toml(text: &str, cores: usize) -> Result<OperatorConfig, String> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let tell = |at: Option<usize>, key: &str, why: &str| {
            let why = why.trim().replace('\n', " ");
            let place = at.map(|at| format!("line {}: ", line(at))).unwrap_or_default();
            let key = if key.is_empty() || key == "." { String::new() } else { format!("{key}: ") };
            format!("{place}{key}{why}")
        };
        let source = toml::Deserializer::parse(text);
        let source =
            source.map_err(|fault| tell(fault.span().map(|span| span.start), "", fault.message()))?;
        let read: OperatorConfig = serde_path_to_error::deserialize(source).map_err(|fault| {
            let (key, inner) = (fault.path().to_string(), fault.inner());
            let key = if inner.message().starts_with("unknown field") { String::new() } else { key };
            tell(inner.span().map(|span| span.start), &key, inner.message())
        })?;
        let place = |key: &str| {
            let at = text.lines().position(|line| line.trim_start().starts_with(key));
            at.map(|at| text.lines().take(at).map(|line| line.len() + 1).sum())
        };
        if let Some((key, why)) = read.accord.as_ref().and_then(AccordConfig::fault) {
            return Err(tell(place(key), &format!("accord.{key}"), &why));
        }
        if let Some((key, why)) = read.plan.as_ref().and_then(|plan| plan.plan().err()) {
            // What is named below sites and calls stands where its name does, in a table of its own or in one line.
            let named = key.get(1).or(key.first()).map_or("", String::as_str);
            let tables = [named.to_string(), format!("[plan.{}.{named}", key[0])];
            let at = tables.iter().find_map(|name| place(name));
            return Err(tell(at, &format!("plan.{}", key.join(".")), &why));
        }
        let most = Self::MOST_A_CORE * cores.max(1);
        if !(1..=most).contains(&read.workers) {
            let at = place("workers");
            let why = format!(
                "must be a whole number from 1 to {most} (four for each of {cores} cores), not {}",
                read.workers
            );
            return Err(tell(at, "workers", &why));
        }
        Ok(read)
    }
}
