//! The file that a sidecar on sockets starts with.
use crate::{read_json, DiscoveryList, KeySet, Settings};
use oakhollow::types::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The content of the file.
///
/// ```
/// use oakhollow_config::{read_json, SidecarConfig};
/// let error = read_json::<SidecarConfig>(br#"{"listen":"127.0.0.1:70000"}"#).unwrap_err();
/// assert!(error.starts_with("listen: "), "{error}");
/// ```
#[derive(Clone, Debug, Deserialize)]
pub struct SidecarConfig {
    /// The name of this instance.
    #[serde(default)]
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the operators' console; there is no console without it.
    #[serde(default)]
    pub console: Option<SocketAddr>,
    /// The seed of the random number generators.
    #[serde(deserialize_with = "seed")]
    pub seed: u64,
    /// The limits of the machine.
    #[serde(default)]
    pub limits: Limits,
    /// The last known endpoint list, used until discovery sends one.
    #[serde(default, rename = "known")]
    pub known_list: DiscoveryList,
    /// The settings.
    #[serde(rename = "settings")]
    pub settings: Settings,
    /// The version of the settings; required if instances agree on settings.
    #[serde(default, rename = "version")]
    pub settings_version: Option<SettingsVersion>,
    /// The text of the settings in the file.
    #[serde(skip)]
    pub settings_text: String,
    /// The keys that the file contains.
    #[serde(skip)]
    pub keys: KeySet,
}

/// The number that the author of the settings gave them. An author that restarts its numbers begins a higher
/// epoch.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsVersion {
    /// Increases when the author restarts its numbers.
    #[serde(default)]
    pub epoch: u64,
    /// The author's number of the version.
    pub number: u64,
}

/// The limits of the machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The memory for the process, in megabytes.
    pub memory_mb: f64,
    /// The number of file descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

impl SidecarConfig {
    /// The fewest file descriptors that a sidecar can work with.
    const MIN_SOCKETS: usize = 64;
    /// The longest interval between two list requests: half of the time within which the decision module has
    /// to make one. Whatever the settings allow, a sidecar counts as knowing a change 6 s after discovery has
    /// it and can be reached. That leaves time for two intervals, as the request after the first one may
    /// fail, and one second for a request that succeeds and for a slow machine.
    pub const MAX_LIST_REQUEST_INTERVAL: Micros = Micros::millis(2_500);
    /// The longest time without a list request, if the settings set no limit or a higher one.
    const MAX_LIST_REQUEST_GAP: Micros = Micros(2 * Self::MAX_LIST_REQUEST_INTERVAL.0);
    /// The shortest interval between two list requests, however short the drain grace, so that failing
    /// requests don't follow each other without a pause.
    const MIN_LIST_REQUEST_INTERVAL: Micros = Micros::millis(50);
    const MIN_MEMORY_MB: f64 = 16.0;

    /// Reads a replacement of a file that had these keys, all of which the new file must have.
    pub fn from_replacement_file(before: &KeySet, path: &Path) -> Result<SidecarConfig, String> {
        let config = SidecarConfig::from_file(path)?;
        match config.keys.missing_key(before) {
            Some(key) => Err(format!("{}: {key}: missing", path.display())),
            None => Ok(config),
        }
    }

    /// Reads the file. An error message is one line with the file and the key.
    pub fn from_file(path: &Path) -> Result<SidecarConfig, String> {
        let with_path = |error: String| format!("{}: {}", path.display(), error.replace('\n', " "));
        let json = std::fs::read(path).map_err(|error| with_path(error.to_string()))?;
        let mut config: SidecarConfig = read_json(&json).map_err(with_path)?;
        config.keys = KeySet::from_json(&json);
        config.settings = Self::adapt_to_sockets(config.settings)
            .map_err(|error| with_path(format!("settings.{error}")))?;
        let json: serde_json::Value = read_json(&json).map_err(with_path)?;
        config.settings_text = json["settings"].to_string();
        match () {
            _ if config.limits.sockets < Self::MIN_SOCKETS => {
                Err(with_path(format!("limits.sockets: must be {} or more", Self::MIN_SOCKETS)))
            }
            _ if config.limits.memory_mb < Self::MIN_MEMORY_MB => {
                Err(with_path(format!("limits.memory_mb: must be {} or more", Self::MIN_MEMORY_MB)))
            }
            _ => Ok(config),
        }
    }

    /// Adapts the settings to a sidecar on sockets.
    pub(crate) fn adapt_to_sockets(mut settings: Settings) -> Result<Settings, String> {
        // On sockets the list is never pushed unrequested: the sidecar must open a watch, also where the
        // simulator would push the list.
        let balancer = &mut settings.balancer;
        if balancer.resubscribe_within.0 == 0 || balancer.resubscribe_within > Self::MAX_LIST_REQUEST_GAP {
            balancer.resubscribe_within = Self::MAX_LIST_REQUEST_GAP;
        }
        // Settings for a pushed list assume that a change is known even while no watch is open. The sidecar
        // must therefore not be without a watch for longer than requests may still be sent to a draining
        // server.
        if !std::mem::replace(&mut balancer.must_subscribe, true) && settings.drain_grace.0 > 0 {
            balancer.resubscribe_within =
                balancer.resubscribe_within.min(settings.drain_grace.max(Self::MIN_LIST_REQUEST_INTERVAL));
        }
        if let Some(inconsistency) = &settings.inconsistency {
            return Err(inconsistency.clone());
        }
        match settings.workloads.iter().position(|workload| workload.name.is_empty()) {
            Some(index) => Err(format!("workloads[{index}].name: missing")),
            None => Ok(settings),
        }
    }
}

fn seed<'de, D: serde::Deserializer<'de>>(source: D) -> Result<u64, D::Error> {
    let text = String::deserialize(source)?;
    let invalid = || serde::de::Error::custom(format!("must be up to 16 hexadecimal digits, not {text:?}"));
    u64::from_str_radix(&text, 16).map_err(|_| invalid())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pushed_list_is_requested_again_within_the_drain_grace() {
        let resubscribe_within = |discovery: &str, rest: &str| {
            let json = format!(
                r#"{{"me":0,"balancers":1,"discovery":"{discovery}","bounds":{{"most_hops":2}},"rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5{rest}}},
                "workloads":[{{"name":"view","quoted_time_s":1,"abandon_time_s":2,"semantics":"read_like"}}]}}"#
            );
            let balancer = SidecarConfig::adapt_to_sockets(read_json(json.as_bytes()).expect("settings"))
                .expect("valid settings")
                .balancer;
            assert!(balancer.must_subscribe);
            balancer.resubscribe_within
        };
        assert_eq!(resubscribe_within("pushed", r#","stop_sending_within_s":0.15"#), Micros::millis(150));
        assert_eq!(
            resubscribe_within("pushed", r#","stop_sending_within_s":0.01"#),
            SidecarConfig::MIN_LIST_REQUEST_INTERVAL
        );
        assert_eq!(resubscribe_within("pushed", r#","ask_within_s":3"#), Micros::millis(3_000));
        assert_eq!(
            resubscribe_within("on_request", r#","stop_sending_within_s":0.15,"ask_within_s":3"#),
            Micros::millis(3_000)
        );
        assert_eq!(
            resubscribe_within("on_request", r#","stop_sending_within_s":0.15"#),
            SidecarConfig::MAX_LIST_REQUEST_GAP
        );
        // Whatever the settings allow, two intervals leave one second of the 6 s after which a change counts
        // as known.
        assert_eq!(resubscribe_within("on_request", r#","ask_within_s":60"#), Micros::millis(5_000));
    }
}
