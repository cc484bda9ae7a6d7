//! The list of servers as discovery words it.
use crate::mark;
use oakhollow::types::*;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;

/// Which state of the list was told.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Version(pub u64);

/// One whole list, or the entries that changed since the one before.
///
/// ```
/// use oakhollow_terms::{read, List};
/// let line = br#"{"index":3,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:70","status":"gone"}]}"#;
/// assert!(read::<List>(line).unwrap_err().starts_with("endpoints[0].status: unknown variant `gone`"));
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    pub index: Version,
    pub snapshot: bool,
    pub endpoints: Vec<Entry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u32,
    status: Status,
    #[serde(default = "one", deserialize_with = "from_zero")]
    weight: f64,
    #[serde(default)]
    since_ms: u64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    Active,
    Leaving,
    Left,
}

fn one() -> f64 {
    1.0
}

/// Guards against a size that would make the fleet's less than nothing.
fn from_zero<'de, D: Deserializer<'de>>(source: D) -> Result<f64, D::Error> {
    let size = f64::deserialize(source)?;
    if size >= 0.0 {
        Ok(size)
    } else {
        Err(D::Error::custom("must be a number from 0 up"))
    }
}

impl Entry {
    /// Wants calls, as far as the list goes.
    pub fn ready(&self) -> bool {
        matches!(self.status, Status::Active)
    }

    /// When it last started, in milliseconds of Unix time.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// The same as a time of its own unit; one that no clock reaches is the latest there is.
    pub fn started(&self) -> Micros {
        Micros(self.since_ms.saturating_mul(1000))
    }

    pub fn left(&self) -> bool {
        matches!(self.status, Status::Left)
    }

    /// What the module is told of it, under the number that the host has given the server.
    pub fn listing(&self, server: ServerId, zones: &[String]) -> ListedServer {
        let place = zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len());
        ListedServer {
            server,
            zone: ZoneId(place as u32),
            cell: CellId(self.group),
            status: match self.status {
                Status::Active => ServerStatus::Ready,
                Status::Leaving => ServerStatus::Draining,
                Status::Left => ServerStatus::Gone,
            },
            weight: self.weight,
            name_hash: mark(&self.name),
            started: self.started(),
        }
    }
}
