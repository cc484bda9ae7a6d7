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
    /// How long the list may go without being asked for, where the settings don't say.
    const ASK_WITHIN: Micros = Micros::millis(10_000);
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
        terms.must_ask = true;
        if terms.ask_within.0 == 0 {
            terms.ask_within = Self::ASK_WITHIN;
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
