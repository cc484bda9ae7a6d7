//! Reads, checks and applies defaults to all input files of a sidecar: the settings object ([`Settings`]),
//! the file that a sidecar on sockets starts with ([`SidecarConfig`]), the operator's file
//! ([`OperatorConfig`]) and the endpoint list ([`DiscoveryList`]). An error message names the key, as in
//! `settings.workloads[1].payoff: must be a number from 0 up`.
mod key_set;
mod list;
mod maintenance;
mod operator_config;
mod settings;
mod shared_settings;
mod sidecar_config;
mod site_plan;
mod stricter;

pub use key_set::KeySet;
pub use list::{DiscoveryList, EndpointEntry, ListIndex};
pub use maintenance::{
    HandoverMessage, HandoverState, HostClock, LearnedHealth, MaintenanceChange, MaintenanceMarks,
};
pub use operator_config::{AccordConfig, ListSharing, NoLeasePolicy, OperatorConfig, Scope};
pub use settings::{micros_from_seconds, Settings, WorkloadSettings, LOAD_REPORT_COLUMNS};
pub use shared_settings::{Greeting, LocalSettings, SharedSettings};
pub use sidecar_config::{Limits, SettingsVersion, SidecarConfig};
pub use site_plan::SitePlanConfig;
pub use stricter::stricter;

use fnv::FnvHasher;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::hash::Hasher;

/// Reads JSON; an error message begins with the path of the key.
pub fn read_json<T: DeserializeOwned>(json: &[u8]) -> Result<T, String> {
    let mut source = serde_json::Deserializer::from_slice(json);
    let read = serde_path_to_error::deserialize(&mut source).map_err(|error| {
        let (path, error) = (error.path().to_string(), error.inner().to_string());
        // The position in the text adds little to the key, and is meaningless for the error of a later check.
        let error = error.split(" at line ").next().unwrap_or_default();
        match (path.as_str(), error.strip_prefix('.')) {
            (".", inner) => inner.unwrap_or(error).to_string(),
            (_, Some(_)) => format!("{path}{error}"), // a later check's message begins with the key below this one
            (_, None) => format!("{path}: {error}"),
        }
    })?;
    source.end().map_err(|error| error.to_string())?;
    Ok(read)
}

/// Serialises a value as one line of JSON.
pub fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// A hash of a server's name that is the same in every process.
///
/// ```
/// assert_eq!(oakhollow_config::stable_hash("s-1"), oakhollow_config::stable_hash("s-1"));
/// assert_ne!(oakhollow_config::stable_hash("s-1"), oakhollow_config::stable_hash("s-2"));
/// ```
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
