//! The file that a sidecar on sockets is started with.
use crate::{read, List, Place, Shape};
use oakhollow::types::Micros;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// All that a sidecar on sockets is told.
///
/// ```
/// use oakhollow_terms::{read, Start};
/// let fault = read::<Start>(br#"{"listen":"127.0.0.1:70000"}"#).unwrap_err();
/// assert!(fault.starts_with("listen: "), "{fault}");
/// ```
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    #[serde(default)]
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address for operators alone; none listens without it.
    #[serde(default)]
    pub console: Option<SocketAddr>,
    #[serde(deserialize_with = "seed")]
    pub seed: u64,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub known: List,
    #[serde(rename = "settings")]
    pub place: Place,
    /// What the writer of the settings calls them, where instances agree on them.
    #[serde(default)]
    pub version: Option<Numbered>,
    /// The settings as they stood there, as text.
    #[serde(skip)]
    pub settings: String,
    /// Which keys it was read from.
    #[serde(skip)]
    pub shape: Shape,
}

/// The writer's number of a state of the settings; one who numbers anew begins a higher epoch.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Numbered {
    #[serde(default)]
    pub epoch: u64,
    pub number: u64,
}

/// What the machine allows.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

impl Start {
    /// The fewest descriptors that a sidecar can work with.
    const FEWEST_SOCKETS: usize = 64;
    /// The longest that the module waits between asks, half of the time within which it has to ask. A change counts as told
    /// 6 s after discovery had it and could be reached, whatever the settings allow: two such waits, one of them a call that
    /// told nothing, and a second for a call that does and for a slow machine.
    pub const MOST_BETWEEN_ASKS: Micros = Micros::millis(2_500);
    /// How long the list may go without being asked for, where the settings don't say, or say longer.
    const ASK_WITHIN: Micros = Micros(2 * Self::MOST_BETWEEN_ASKS.0);
    /// However short the grace of a drain, so that asks which fail at once don't follow each other without a pause.
    const LEAST_BETWEEN_ASKS: Micros = Micros::millis(50);
    const LEAST_MEMORY_MB: f64 = 16.0;

    /// Reads a file that takes the place of one of this shape, all of whose keys it must have.
    pub fn after(before: &Shape, path: &Path) -> Result<Start, String> {
        let start = Start::from_file(path)?;
        match start.shape.lacks(before) {
            Some(key) => Err(format!("{}: {key}: missing", path.display())),
            None => Ok(start),
        }
    }

    /// Reads the file; the message of a fault is one line that names the file and the key.
    pub fn from_file(path: &Path) -> Result<Start, String> {
        let named = |fault: String| format!("{}: {}", path.display(), fault.replace('\n', " "));
        let json = std::fs::read(path).map_err(|fault| named(fault.to_string()))?;
        let mut start: Start = read(&json).map_err(named)?;
        start.shape = Shape::of(&json);
        start.place = Self::on_sockets(start.place).map_err(|fault| named(format!("settings.{fault}")))?;
        let whole: serde_json::Value = read(&json).map_err(named)?;
        start.settings = whole["settings"].to_string();
        match () {
            _ if start.limits.sockets < Self::FEWEST_SOCKETS => {
                Err(named(format!("limits.sockets: must be {} or more", Self::FEWEST_SOCKETS)))
            }
            _ if start.limits.memory_mb < Self::LEAST_MEMORY_MB => {
                Err(named(format!("limits.memory_mb: must be {} or more", Self::LEAST_MEMORY_MB)))
            }
            _ => Ok(start),
        }
    }

    /// The settings as a program on sockets takes them.
    pub(crate) fn on_sockets(mut place: Place) -> Result<Place, String> {
        // On sockets nothing comes unasked: the list must be watched, wherever the simulator would push it.
        let terms = &mut place.terms;
        if terms.resubscribe_within.0 == 0 || terms.resubscribe_within > Self::ASK_WITHIN {
            terms.resubscribe_within = Self::ASK_WITHIN;
        }
        // What a pushed list says counts as told whether or not a watch is open: guards against being without one for
        // longer than a server that drains may be sent to.
        if !std::mem::replace(&mut terms.must_subscribe, true) && place.drain_grace.0 > 0 {
            terms.resubscribe_within =
                terms.resubscribe_within.min(place.drain_grace.max(Self::LEAST_BETWEEN_ASKS));
        }
        if let Some(mixed) = &place.mixed {
            return Err(mixed.clone());
        }
        match place.workloads.iter().position(|workload| workload.name.is_empty()) {
            Some(at) => Err(format!("workloads[{at}].name: missing")),
            None => Ok(place),
        }
    }
}

fn seed<'de, D: serde::Deserializer<'de>>(source: D) -> Result<u64, D::Error> {
    let text = String::deserialize(source)?;
    let wrong = || serde::de::Error::custom(format!("must be up to 16 hexadecimal digits, not {text:?}"));
    u64::from_str_radix(&text, 16).map_err(|_| wrong())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pushed_list_is_never_without_a_watch_for_longer_than_a_drain_s_grace() {
        let ask_within = |discovery: &str, rest: &str| {
            let json = format!(
                r#"{{"me":0,"balancers":1,"discovery":"{discovery}","bounds":{{"most_hops":2}},"rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5{rest}}},
                "workloads":[{{"name":"view","quoted_time_s":1,"abandon_time_s":2,"semantics":"read_like"}}]}}"#
            );
            let terms = Start::on_sockets(read(json.as_bytes()).expect("settings")).expect("sound").terms;
            assert!(terms.must_subscribe);
            terms.resubscribe_within
        };
        assert_eq!(ask_within("pushed", r#","stop_sending_within_s":0.15"#), Micros::millis(150));
        assert_eq!(ask_within("pushed", r#","stop_sending_within_s":0.01"#), Start::LEAST_BETWEEN_ASKS);
        assert_eq!(ask_within("pushed", r#","ask_within_s":3"#), Micros::millis(3_000));
        assert_eq!(
            ask_within("on_request", r#","stop_sending_within_s":0.15,"ask_within_s":3"#),
            Micros::millis(3_000)
        );
        assert_eq!(ask_within("on_request", r#","stop_sending_within_s":0.15"#), Start::ASK_WITHIN);
        // Whatever the settings allow, two waits leave a second of the 6 s after which a change counts as told.
        assert_eq!(ask_within("on_request", r#","ask_within_s":60"#), Micros::millis(5_000));
    }
}
