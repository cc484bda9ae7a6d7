//! Which servers are in maintenance, and the state of a sidecar that outlives its process: as a file, or as
//! the snapshot that a successor process receives.
use crate::{read_json, to_json, DiscoveryList};
use oakhollow::server_health::ServerHealth;
use oakhollow::types::Micros;
use oakhollow::OutcomeCounts;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maintenance marks by server name. They override the endpoint list.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct MaintenanceMarks {
    /// Servers in maintenance.
    pub in_maintenance: BTreeSet<String>,
    /// Servers that were put back in use, and when.
    pub returned: BTreeMap<String, Micros>,
}

/// The serialised form. A file of another version or of another sidecar is rejected.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    version: u32,
    listen: SocketAddr,
    #[serde(rename = "out")]
    in_maintenance: BTreeSet<String>,
    #[serde(rename = "back")]
    returned: BTreeMap<String, u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    clock: Option<HostClock>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    list: Option<DiscoveryList>,
    #[serde(default, rename = "servers", skip_serializing_if = "Vec::is_empty")]
    health: Vec<HealthRecord>,
    #[serde(default, rename = "requests", skip_serializing_if = "std::ops::Not::not")]
    exchanges_requests: bool,
}

/// The offset of a process's clock from the monotonic clock of its host, which all processes since one boot
/// share.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HostClock {
    /// Identifies the boot of the host.
    #[serde(rename = "boot")]
    pub boot_id: String,
    /// By how many microseconds the process's clock is ahead of the monotonic clock.
    #[serde(rename = "ahead_us")]
    pub offset_us: i64,
}

impl HostClock {
    /// Converts a time by the clock `writer` of another process to the clock `ours` of this process, which
    /// says `now`. If the boots differ or are unknown, the wall-clock time is used unchanged. The result is
    /// never later than `now`.
    fn rebase(ours: Option<&HostClock>, writer: Option<&HostClock>, time: Micros, now: Micros) -> Micros {
        let offset = match (ours, writer) {
            (Some(ours), Some(writer)) if ours.boot_id == writer.boot_id => ours.offset_us - writer.offset_us,
            _ => 0,
        };
        Micros(time.0.saturating_add_signed(offset)).min(now)
    }
}

/// The health data of a server, in serialised form.
#[derive(Clone, Serialize, Deserialize)]
struct HealthRecord {
    name: String,
    #[serde(rename = "ease")]
    weight_factor: f64,
    good: f64,
    bad: f64,
    #[serde(rename = "answered")]
    has_answered: bool,
    #[serde(rename = "asides")]
    ejections: u32,
    #[serde(rename = "aside_us")]
    ejected_until_us: Option<u64>,
}

/// The health data that one worker has learned, by server name.
pub type LearnedHealth = Vec<(String, ServerHealth)>;

/// What a successor process receives in addition to the maintenance marks.
#[derive(Clone, Default, Debug)]
pub struct HandoverState {
    /// The last known endpoint list.
    pub list: Option<DiscoveryList>,
    /// What was learned about the health of the servers.
    pub learned: LearnedHealth,
    /// Whether the process understands [`HandoverMessage::UnsafeRequests`].
    pub exchanges_requests: bool,
}

impl HealthRecord {
    fn from_health((name, health): &(String, ServerHealth)) -> HealthRecord {
        HealthRecord {
            name: name.clone(),
            weight_factor: health.weight_factor,
            good: health.outcomes.good,
            bad: health.outcomes.bad,
            has_answered: health.has_answered,
            ejections: health.ejections,
            ejected_until_us: health.ejected_until.map(|until| until.0),
        }
    }

    /// `None` if a value is out of range.
    fn into_health(self) -> Option<(String, ServerHealth)> {
        let in_range = |value: f64| (0.0..1e9).contains(&value);
        let valid = (0.01..=1.0).contains(&self.weight_factor) && in_range(self.good) && in_range(self.bad);
        let outcomes = OutcomeCounts { good: self.good, bad: self.bad };
        let (has_answered, ejections, ejected_until) =
            (self.has_answered, self.ejections, self.ejected_until_us.map(Micros));
        valid.then_some((
            self.name,
            ServerHealth {
                weight_factor: self.weight_factor,
                outcomes,
                has_answered,
                ejections,
                ejected_until,
            },
        ))
    }
}

/// A maintenance mark as one process sends it to the other.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MaintenanceChange {
    /// The name of the server.
    pub name: String,
    /// Whether the server is in maintenance.
    #[serde(rename = "out")]
    pub in_maintenance: bool,
    /// When the mark was set, in microseconds.
    #[serde(rename = "at_us")]
    pub set_at_us: u64,
}

/// The messages between two processes of the same sidecar, one per line.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    /// A maintenance mark was set.
    #[serde(rename = "mark")]
    MaintenanceChange(MaintenanceChange),
    /// The sender accepts no more connections.
    #[serde(rename = "parting")]
    StoppedAccepting,
    /// Requests that must not be repeated and may have run at the sender: the stable hashes of their ids. The first one on a
    /// connection tells that the sender understands this message; a process sends it only to one that does.
    #[serde(rename = "requests")]
    UnsafeRequests(Vec<u64>),
}

impl HandoverMessage {
    /// The message as one line of JSON.
    pub fn to_json(&self) -> String {
        to_json(self)
    }
}

const FORMAT_VERSION: u32 = 1;

impl MaintenanceMarks {
    /// The most maintenance marks, and the most returns that are remembered, so that neither the file nor
    /// memory grows without bound.
    pub const MAX_ENTRIES: usize = 4_096;
    /// How long a return is remembered: longer than the slow start of any server.
    const RETURN_MEMORY: Micros = Micros::millis(600_000);

    /// Sets or clears the maintenance mark of a server.
    pub fn set(&mut self, name: &str, in_maintenance: bool, set_at: Micros) {
        if in_maintenance {
            self.in_maintenance.insert(name.into());
            self.returned.remove(name);
            return;
        }
        self.in_maintenance.remove(name);
        self.returned.retain(|_, returned_at| *returned_at + Self::RETURN_MEMORY > set_at);
        if self.returned.len() < Self::MAX_ENTRIES {
            self.returned.insert(name.into(), set_at);
        }
    }

    /// Serialises the marks as one line of JSON. `state` is empty unless the line is for a successor; `clock`
    /// is that of this process.
    pub fn to_json(&self, listen: SocketAddr, state: HandoverState, clock: Option<HostClock>) -> String {
        let returned =
            self.returned.iter().map(|(name, returned_at)| (name.clone(), returned_at.0)).collect();
        let health = state.learned.iter().map(HealthRecord::from_health).collect();
        let snapshot = Snapshot {
            version: FORMAT_VERSION,
            listen,
            in_maintenance: self.in_maintenance.clone(),
            returned,
            clock,
            list: state.list,
            health,
            exchanges_requests: state.exchanges_requests,
        };
        to_json(&snapshot)
    }

    /// Reads what [`MaintenanceMarks::to_json`] wrote. Converts the times to the clock `ours` of this
    /// process, which says `now`.
    ///
    /// ```
    /// use oakhollow::{server_health::ServerHealth, types::Micros};
    /// use oakhollow_config::{HostClock, MaintenanceMarks, HandoverState, LearnedHealth};
    /// let (here, there) = ("127.0.0.1:70".parse().unwrap(), "127.0.0.1:71".parse().unwrap());
    /// let now = Micros::millis(9);
    /// let read = |json: String, listen| MaintenanceMarks::from_json(json.as_bytes(), listen, None, now);
    /// let mut marks = MaintenanceMarks::default();
    /// marks.in_maintenance.insert("s-1".into());
    /// assert_eq!(read(marks.to_json(here, HandoverState::default(), None), here).unwrap().0, marks);
    /// let health = ServerHealth { weight_factor: 0.5, ..Default::default() };
    /// let learned: LearnedHealth = vec![("s-2".into(), health)];
    /// let state = HandoverState { learned: learned.clone(), ..HandoverState::default() };
    /// assert_eq!(read(marks.to_json(here, state, None), here).unwrap().1.learned, learned);
    /// let error = read(marks.to_json(here, HandoverState::default(), None), there).unwrap_err();
    /// assert!(error.starts_with("listen: "));
    ///
    /// // Put back 2 ms ago by a clock that was 5 ms ahead of ours.
    /// let clock = |offset_us| Some(HostClock { boot_id: "one".into(), offset_us });
    /// marks.set("s-3", false, Micros::millis(12));
    /// let json = marks.to_json(here, HandoverState::default(), clock(5_000));
    /// let ours = MaintenanceMarks::from_json(json.as_bytes(), here, clock(0).as_ref(), now).unwrap().0;
    /// assert_eq!(ours.returned["s-3"], Micros::millis(7));
    /// assert_eq!(read(json, here).unwrap().0.returned["s-3"], Micros::millis(9));
    /// ```
    pub fn from_json(
        json: &[u8], listen: SocketAddr, ours: Option<&HostClock>, now: Micros,
    ) -> Result<(MaintenanceMarks, HandoverState), String> {
        let snapshot: Snapshot = read_json(json)?;
        if snapshot.version != FORMAT_VERSION {
            return Err(format!("version: {} is not supported", snapshot.version));
        }
        if snapshot.listen != listen {
            return Err(format!("listen: {} belongs to another sidecar", snapshot.listen));
        }
        let writer = snapshot.clock;
        let to_our_clock = |time| HostClock::rebase(ours, writer.as_ref(), Micros(time), now);
        let returned = snapshot.returned.into_iter().map(|(name, time)| (name, to_our_clock(time))).collect();
        let learned = snapshot.health.into_iter().filter_map(HealthRecord::into_health).collect();
        Ok((
            MaintenanceMarks { in_maintenance: snapshot.in_maintenance, returned },
            HandoverState { list: snapshot.list, learned, exchanges_requests: snapshot.exchanges_requests },
        ))
    }
}
