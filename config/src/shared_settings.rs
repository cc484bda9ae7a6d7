//! The settings that instances agree on, as text, and the settings that each instance keeps for itself.
use crate::{read_json, stable_hash, stricter, to_json, Settings, SidecarConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The keys that belong to a single instance.
const LOCAL_KEYS: [&str; 3] = ["me", "tier", "zone"];

/// The part of the settings that belongs to a single instance.
///
/// ```
/// use oakhollow_config::LocalSettings;
/// let json = |me: u32, hops: u32| format!(r#"{{"me":{me},"balancers":2,"bounds":{{"most_hops":{hops}}},
///   "rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5}},
///   "workloads":[{{"name":"view","quoted_time_s":1,"abandon_time_s":2,"payoff":1,"semantics":"read_like"}}]}}"#);
/// let (local, first) = LocalSettings::split(&json(1, 3)).unwrap();
/// let (_, second) = LocalSettings::split(&json(0, 2)).unwrap();
/// assert_eq!(first, LocalSettings::split(&json(0, 3)).unwrap().1);
/// let settings = local.merge(&[first.text.as_str(), &second.text]).unwrap();
/// assert_eq!((settings.balancer.instance_index, settings.balancer.max_hops), (1, 2));
/// ```
#[derive(Clone, Default, Debug)]
pub struct LocalSettings(Map<String, Value>);

/// The part of the settings that all instances share.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SharedSettings {
    /// The settings as JSON.
    pub text: String,
    /// The hash of the text.
    pub hash: u64,
}

impl LocalSettings {
    /// Splits the text of the settings into the instance's own part and the shared part.
    pub fn split(settings: &str) -> Result<(LocalSettings, SharedSettings), String> {
        let mut all: Map<String, Value> = read_json(settings.as_bytes())?;
        let local = LOCAL_KEYS.iter().filter_map(|key| Some((key.to_string(), all.remove(*key)?))).collect();
        let text = Value::Object(all).to_string();
        Ok((LocalSettings(local), SharedSettings { hash: stable_hash(&text), text }))
    }

    /// The strictest combination of the shared settings, the earliest first, together with this instance's
    /// own part.
    pub fn merge(&self, shared: &[&str]) -> Result<Settings, String> {
        let mut versions = shared.iter().map(|text| read_json::<Value>(text.as_bytes()));
        let first = versions.next().unwrap_or(Ok(Value::Null))?;
        let mut all = versions.try_fold(first, |all, next| stricter(&all, &next?))?;
        if let Value::Object(all) = &mut all {
            all.extend(self.0.clone());
        }
        SidecarConfig::adapt_to_sockets(read_json(all.to_string().as_bytes())?)
    }
}

/// The first message of an instance on a connection to a lease server.
///
/// ```
/// use oakhollow_config::Greeting;
/// let greeting = Greeting::new("n1", 7);
/// assert_eq!(Greeting::read(greeting.to_json().as_bytes()), Ok(greeting.clone()));
/// let newer = greeting.to_json().replace("\"accord\":2", "\"accord\":1");
/// assert_eq!(Greeting::read(newer.as_bytes()).unwrap_err(), "accord: version 1 is not supported");
/// ```
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Greeting {
    #[serde(rename = "accord")]
    protocol_version: u32,
    /// The name of the instance.
    pub name: String,
    /// Distinguishes the incarnations of the instance.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

impl Greeting {
    const VERSION: u32 = 2;

    /// A greeting of the current protocol version.
    pub fn new(name: &str, incarnation: u64) -> Greeting {
        Greeting { protocol_version: Self::VERSION, name: name.into(), incarnation }
    }

    /// The greeting as one line of JSON.
    pub fn to_json(&self) -> String {
        to_json(self)
    }

    /// Reads a greeting; one of another protocol version is an error.
    pub fn read(line: &[u8]) -> Result<Greeting, String> {
        let greeting: Greeting = read_json(line)?;
        match greeting.protocol_version {
            Self::VERSION => Ok(greeting),
            other => Err(format!("accord: version {other} is not supported")),
        }
    }
}
