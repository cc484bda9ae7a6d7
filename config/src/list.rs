//! The endpoint list in the form that discovery sends it.
use crate::stable_hash;
use oakhollow::types::*;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;

/// Identifies a state of the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct ListIndex(pub u64);

/// A snapshot of the list, or the entries that changed since the state before.
///
/// ```
/// use oakhollow_config::{read_json, DiscoveryList};
/// let line = br#"{"index":3,"snapshot":true,"endpoints":[{"name":"s-1","address":"127.0.0.1:70","status":"gone"}]}"#;
/// assert!(read_json::<DiscoveryList>(line).unwrap_err().starts_with("endpoints[0].status: unknown variant `gone`"));
/// ```
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoveryList {
    /// The state of the list that this message leads to.
    pub index: ListIndex,
    /// Whether the entries are the whole list.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<EndpointEntry>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The name of the endpoint, which identifies it.
    pub name: String,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u32,
    status: Status,
    #[serde(default = "default_weight", deserialize_with = "from_zero")]
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

fn default_weight() -> f64 {
    1.0
}

/// A negative weight could make the total weight of all endpoints negative.
fn from_zero<'de, D: Deserializer<'de>>(source: D) -> Result<f64, D::Error> {
    let weight = f64::deserialize(source)?;
    if weight >= 0.0 {
        Ok(weight)
    } else {
        Err(D::Error::custom("must be a number from 0 up"))
    }
}

impl EndpointEntry {
    /// Whether the list says that the endpoint accepts requests.
    pub fn is_active(&self) -> bool {
        matches!(self.status, Status::Active)
    }

    /// When it last started, in milliseconds of Unix time.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// The start time in microseconds; saturates if the value is out of range.
    pub fn started_at(&self) -> Micros {
        Micros(self.since_ms.saturating_mul(1000))
    }

    /// Whether it was removed from the list.
    pub fn has_left(&self) -> bool {
        matches!(self.status, Status::Left)
    }

    /// Converts the entry for the decision module, with the server number that the host has assigned.
    pub fn to_listing(&self, server: ServerId, zones: &[String]) -> ListedServer {
        let zone = zones.iter().position(|zone| *zone == self.zone).unwrap_or(zones.len());
        ListedServer {
            server,
            zone: ZoneId(zone as u32),
            cell: CellId(self.group),
            status: match self.status {
                Status::Active => ServerStatus::Ready,
                Status::Leaving => ServerStatus::Draining,
                Status::Left => ServerStatus::Gone,
            },
            weight: self.weight,
            name_hash: stable_hash(&self.name),
            started: self.started_at(),
        }
    }
}
