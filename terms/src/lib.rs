//! The one place where what a sidecar is told at its start is read, checked and given defaults: the settings
//! object ([`Settings`]), the file of a sidecar on sockets ([`SidecarConfig`]) and the list of servers ([`DiscoveryList`]). Whoever
//! finds a fault is told the key, as in `settings.workloads[1].payoff: must not be negative`.
mod agreed;
mod list;
mod marks;
mod operator;
mod place;
mod plan;
mod shape;
mod start;
mod stricter;

pub use agreed::{Greeting, LocalSettings, SharedSettings};
pub use list::{DiscoveryList, EndpointEntry, ListIndex};
pub use marks::{
    HandoverMessage, HandoverState, HostClock, LearnedHealth, MaintenanceChange, MaintenanceMarks,
};
pub use operator::{AccordConfig, ListSharing, NoLeasePolicy, OperatorConfig, Scope};
pub use place::{micros_from_seconds, Settings, WorkloadSettings, LOAD_REPORT_COLUMNS};
pub use plan::SitePlanConfig;
pub use shape::KeySet;
pub use start::{Limits, SettingsVersion, SidecarConfig};
pub use stricter::stricter;

use fnv::FnvHasher;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::hash::Hasher;

/// Reads JSON; a fault names the key it lies at.
pub fn read_json<T: DeserializeOwned>(json: &[u8]) -> Result<T, String> {
    let mut source = serde_json::Deserializer::from_slice(json);
    let read = serde_path_to_error::deserialize(&mut source).map_err(|fault| {
        let (path, fault) = (fault.path().to_string(), fault.inner().to_string());
        // The place of a fault in the text says little beside its key, and nothing where a check found it.
        let fault = fault.split(" at line ").next().unwrap_or_default();
        match (path.as_str(), fault.strip_prefix('.')) {
            (".", inner) => inner.unwrap_or(fault).to_string(),
            (_, Some(_)) => format!("{path}{fault}"), // a check's word begins with the key below this one
            (_, None) => format!("{path}: {fault}"),
        }
    })?;
    source.end().map_err(|fault| fault.to_string())?;
    Ok(read)
}

/// As one line of JSON.
pub fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// A number without meaning that every process has for this server's name alike.
///
/// ```
/// assert_eq!(oakhollow_terms::stable_hash("s-1"), oakhollow_terms::stable_hash("s-1"));
/// assert_ne!(oakhollow_terms::stable_hash("s-1"), oakhollow_terms::stable_hash("s-2"));
/// ```
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    hasher.finish()
}
