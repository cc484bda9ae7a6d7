//! The operator's file: features that are turned on in addition to the settings. Every key is optional.
use crate::SitePlanConfig;
use oakhollow_sites::Plan;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// The content of the operator's file.
///
/// ```
/// use oakhollow_config::OperatorConfig;
/// assert_eq!(OperatorConfig::from_toml("", 8).unwrap().workers, 1);
/// let error = |text: &str| OperatorConfig::from_toml(text, 8).unwrap_err();
/// assert_eq!(error("workers = 0"), "line 1: workers: must be a whole number from 1 to 32 (four for each of 8 cores), not 0");
/// assert_eq!(error("\nworker = 2"), "line 2: unknown field `worker`, expected one of `workers`, `accord`, `plan`");
/// assert!(error("workers = \"many\"").starts_with("line 1: workers: invalid type: string \"many\""));
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OperatorConfig {
    /// Worker threads, each with its own listener and its own instance of the decision module.
    pub workers: usize,
    /// How instances agree on settings; without it each instance acts on its own file alone.
    pub accord: Option<AccordConfig>,
    /// The plan for the loss of whole sites.
    plan: Option<SitePlanConfig>,
}

impl Default for OperatorConfig {
    fn default() -> OperatorConfig {
        OperatorConfig { workers: 1, accord: None, plan: None }
    }
}

/// The instances that agree on settings, and how.
///
/// ```
/// use oakhollow_config::OperatorConfig;
/// let instances = r#"instances = { a = "127.0.0.1:1", b = "127.0.0.1:2", c = "127.0.0.1:3" }"#;
/// let error = |keepers: &str, within: &str| {
///     let text = format!("[accord]\nwithin = {within}\nkeepers = [{keepers}]\n{instances}");
///     OperatorConfig::from_toml(&text, 8).map(|_| ()).unwrap_err()
/// };
/// assert_eq!(error(r#""a", "b""#, "2.0"), "line 3: accord.keepers: must be 1, 3 or 5 of the instances, not 2");
/// assert_eq!(error(r#""a", "b", "a""#, "2.0"), "line 3: accord.keepers: \"a\" appears twice");
/// assert_eq!(error(r#""a", "b", "d""#, "2.0"), "line 3: accord.keepers: \"d\" is not one of the instances");
/// let listed = error(r#""a", "b", "c""#, "2.0\nscope = \"listed\"\nunsure = \"hold\"");
/// assert_eq!(listed, "line 3: accord.scope: \"listed\" requires lists = \"drains\" and unsure = \"refuse\"");
/// assert_eq!(error(r#""a", "b", "c""#, "0.01"), "line 2: accord.within: must be from 0.2 to 60 seconds, not 0.01");
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccordConfig {
    /// The addresses at which this instance reaches the lease servers, by the `name` in the file of each
    /// instance.
    pub instances: BTreeMap<String, SocketAddr>,
    /// The instances that run a lease server.
    pub keepers: Vec<String>,
    /// How long two instances may act on different versions, in seconds: twice the length of a lease.
    #[serde(rename = "within")]
    pub max_divergence_s: f64,
    /// What an instance does without valid leases from a majority of lease servers.
    #[serde(default, rename = "unsure")]
    pub no_lease_policy: NoLeasePolicy,
    /// What instances share of their endpoint lists.
    #[serde(default, rename = "lists")]
    pub list_sharing: ListSharing,
    /// The servers that an instance receives facts about.
    #[serde(default)]
    pub scope: Scope,
    /// Whether a maintenance mark that is set at one instance applies to all.
    #[serde(default, rename = "marks")]
    pub share_maintenance: bool,
}

/// What instances share of their endpoint lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListSharing {
    /// Servers that drain or were removed.
    #[default]
    Drains,
    /// All entries. An instance whose discovery fails then continues with the entries of the others;
    /// addresses must mean the same for all instances.
    Whole,
}

/// The servers that an instance receives facts about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All servers.
    #[default]
    All,
    /// The servers on its own list. A server that is new on the list gets requests once a majority of lease
    /// servers has confirmed it.
    Listed,
}

/// What an instance does without valid leases from a majority of lease servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoLeasePolicy {
    /// It refuses all requests at once.
    #[default]
    Refuse,
    /// It sends first attempts only, and none to a server in slow start.
    Strictest,
    /// It continues with the last settings it knew, which may contradict those of other instances.
    Hold,
}

impl AccordConfig {
    /// Shorter leases would expire in an ordinary scheduling pause of a busy machine.
    const MIN_DIVERGENCE_S: f64 = 0.2;
    const MAX_DIVERGENCE_S: f64 = 60.0;

    /// The invalid key, and the reason.
    fn invalid_key(&self) -> Option<(&'static str, String)> {
        let AccordConfig { instances, keepers, max_divergence_s, .. } = self;
        let listed_only = self.scope == Scope::Listed;
        let duplicate = keepers.iter().enumerate().find(|(index, keeper)| keepers[..*index].contains(keeper));
        let unknown = keepers.iter().find(|keeper| !instances.contains_key(*keeper));
        match () {
            _ if !(Self::MIN_DIVERGENCE_S..=Self::MAX_DIVERGENCE_S).contains(max_divergence_s) => {
                let reason = format!(
                    "must be from {} to {} seconds, not {max_divergence_s}",
                    Self::MIN_DIVERGENCE_S,
                    Self::MAX_DIVERGENCE_S
                );
                Some(("within", reason))
            }
            _ if duplicate.is_some() => Some(("keepers", format!("{:?} appears twice", duplicate?.1))),
            _ if unknown.is_some() => {
                Some(("keepers", format!("{:?} is not one of the instances", unknown?)))
            }
            _ if ![1, 3, 5].contains(&keepers.len()) => {
                Some(("keepers", format!("must be 1, 3 or 5 of the instances, not {}", keepers.len())))
            }
            // With this scope an instance receives no entries of other lists, and a held-back server needs a
            // valid lease to be released.
            _ if listed_only
                && (self.list_sharing, self.no_lease_policy)
                    != (ListSharing::Drains, NoLeasePolicy::Refuse) =>
            {
                let reason = "\"listed\" requires lists = \"drains\" and unsure = \"refuse\"";
                Some(("scope", reason.into()))
            }
            _ => None,
        }
    }
}

impl OperatorConfig {
    /// More worker threads for each core would only compete for it.
    const MAX_WORKERS_PER_CORE: usize = 4;

    /// The plan, which was checked when the file was read.
    pub fn site_plan(&self) -> Option<Plan> {
        self.plan.as_ref().and_then(|plan| plan.plan().ok())
    }

    /// Reads the file. An error message is one line with the file, the line and the key.
    pub fn from_file(path: &Path, cores: usize) -> Result<OperatorConfig, String> {
        let with_path = |error: String| format!("{}: {error}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
        OperatorConfig::from_toml(&text, cores).map_err(with_path)
    }

    /// `cores` is the number of cores of the machine.
    pub fn from_toml(text: &str, cores: usize) -> Result<OperatorConfig, String> {
        let line_number = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
        let message = |offset: Option<usize>, key: &str, reason: &str| {
            let reason = reason.trim().replace('\n', " ");
            let position = offset.map(|offset| format!("line {}: ", line_number(offset))).unwrap_or_default();
            let key = if key.is_empty() || key == "." { String::new() } else { format!("{key}: ") };
            format!("{position}{key}{reason}")
        };
        let source = toml::Deserializer::parse(text);
        let source =
            source.map_err(|error| message(error.span().map(|span| span.start), "", error.message()))?;
        let read: OperatorConfig = serde_path_to_error::deserialize(source).map_err(|error| {
            let (key, inner) = (error.path().to_string(), error.inner());
            let key = if inner.message().starts_with("unknown field") { String::new() } else { key };
            message(inner.span().map(|span| span.start), &key, inner.message())
        })?;
        let offset_of = |key: &str| {
            let line_index = text.lines().position(|line| line.trim_start().starts_with(key));
            line_index.map(|line_index| text.lines().take(line_index).map(|line| line.len() + 1).sum())
        };
        if let Some((key, reason)) = read.accord.as_ref().and_then(AccordConfig::invalid_key) {
            return Err(message(offset_of(key), &format!("accord.{key}"), &reason));
        }
        if let Some((key, reason)) = read.plan.as_ref().and_then(|plan| plan.plan().err()) {
            // A key below `sites` or `calls` is reported at the line of its site or class, which may have a
            // table of its own or an inline one.
            let name = key.get(1).or(key.first()).map_or("", String::as_str);
            let tables = [name.to_string(), format!("[plan.{}.{name}", key[0])];
            let offset = tables.iter().find_map(|name| offset_of(name));
            return Err(message(offset, &format!("plan.{}", key.join(".")), &reason));
        }
        let max_workers = Self::MAX_WORKERS_PER_CORE * cores.max(1);
        if !(1..=max_workers).contains(&read.workers) {
            let offset = offset_of("workers");
            let reason = format!(
                "must be a whole number from 1 to {max_workers} (four for each of {cores} cores), not {}",
                read.workers
            );
            return Err(message(offset, "workers", &reason));
        }
        Ok(read)
    }
}
