//! Which servers are out by hand, and what of a sidecar outlives its process: a file, or a line to its successor.
use crate::{read_json, to_json, DiscoveryList};
use oakhollow::server_health::ServerHealth;
use oakhollow::types::Micros;
use oakhollow::OutcomeCounts;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// By name, whatever the list says.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct MaintenanceMarks {
    pub in_maintenance: BTreeSet<String>,
    /// Put back in use, and when.
    pub returned: BTreeMap<String, Micros>,
}

/// As written. One of another form, or of another sidecar, is not read.
#[derive(Serialize, Deserialize)]
struct Written {
    version: u32,
    listen: SocketAddr,
    out: BTreeSet<String>,
    back: BTreeMap<String, u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    clock: Option<HostClock>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    list: Option<DiscoveryList>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    servers: Vec<ServerFigures>,
}

/// How a process's clock stands to the monotonic clock of its host, which all processes since one boot share.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HostClock {
    /// Tells one boot of the host from another.
    #[serde(rename = "boot")]
    pub boot_id: String,
    /// By how much the process's clock is ahead of the monotonic one, in microseconds.
    #[serde(rename = "ahead_us")]
    pub offset_us: i64,
}

impl HostClock {
    /// A time of a process with the clock `writer`, by our clock, which says `now`. Of another boot, or of nobody knows
    /// which, the wall clocks are compared. It has been by now in any case.
    fn rebase(ours: Option<&HostClock>, writer: Option<&HostClock>, at: Micros, now: Micros) -> Micros {
        let shift = match (ours, writer) {
            (Some(ours), Some(writer)) if ours.boot_id == writer.boot_id => ours.offset_us - writer.offset_us,
            _ => 0,
        };
        Micros(at.0.saturating_add_signed(shift)).min(now)
    }
}

/// What a process has learnt of a server, as written.
#[derive(Clone, Serialize, Deserialize)]
struct ServerFigures {
    name: String,
    ease: f64,
    good: f64,
    bad: f64,
    answered: bool,
    asides: u32,
    aside_us: Option<u64>,
}

/// What one instance of the decisions has learnt of each server, by name.
pub type LearnedHealth = Vec<(String, ServerHealth)>;

/// What a successor is told beside the marks.
#[derive(Clone, Default, Debug)]
pub struct HandoverState {
    pub list: Option<DiscoveryList>,
    pub learned: LearnedHealth,
}

impl ServerFigures {
    fn of((name, judged): &(String, ServerHealth)) -> ServerFigures {
        ServerFigures {
            name: name.clone(),
            ease: judged.weight_factor,
            good: judged.outcomes.good,
            bad: judged.outcomes.bad,
            answered: judged.has_answered,
            asides: judged.ejections,
            aside_us: judged.ejected_until.map(|until| until.0),
        }
    }

    /// None where a figure means nothing.
    fn read(self) -> Option<(String, ServerHealth)> {
        let count = |figure: f64| (0.0..1e9).contains(&figure);
        let sound = (0.01..=1.0).contains(&self.ease) && count(self.good) && count(self.bad);
        let outcomes = OutcomeCounts { good: self.good, bad: self.bad };
        let (has_answered, ejections, ejected_until) =
            (self.answered, self.asides, self.aside_us.map(Micros));
        sound.then_some((
            self.name,
            ServerHealth { weight_factor: self.ease, outcomes, has_answered, ejections, ejected_until },
        ))
    }
}

/// A mark as one process tells another.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MaintenanceChange {
    pub name: String,
    #[serde(rename = "out")]
    pub in_maintenance: bool,
    #[serde(rename = "at_us")]
    pub set_at_us: u64,
}

/// What one process tells another of the same sidecar, a line each.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HandoverMessage {
    #[serde(rename = "mark")]
    MaintenanceChange(MaintenanceChange),
    /// It takes nobody in any more.
    #[serde(rename = "parting")]
    StoppedAccepting,
}

impl HandoverMessage {
    pub fn to_json(&self) -> String {
        to_json(self)
    }
}

const VERSION: u32 = 1;

impl MaintenanceMarks {
    /// Marks that may stand at a time, and returns that are remembered: guards against a file and a memory without end.
    pub const MAX_ENTRIES: usize = 4_096;
    /// How long a return is remembered: longer than any server takes to warm up.
    const MEMORY: Micros = Micros::millis(600_000);

    pub fn set(&mut self, name: &str, out: bool, at: Micros) {
        if out {
            self.in_maintenance.insert(name.into());
            self.returned.remove(name);
            return;
        }
        self.in_maintenance.remove(name);
        self.returned.retain(|_, back| *back + Self::MEMORY > at);
        if self.returned.len() < Self::MAX_ENTRIES {
            self.returned.insert(name.into(), at);
        }
    }

    /// `rest` goes to a successor only; `clock` is that of this process.
    pub fn to_json(&self, listen: SocketAddr, rest: HandoverState, clock: Option<HostClock>) -> String {
        let back = self.returned.iter().map(|(name, at)| (name.clone(), at.0)).collect();
        let servers = rest.learned.iter().map(ServerFigures::of).collect();
        let written = Written {
            version: VERSION,
            listen,
            out: self.in_maintenance.clone(),
            back,
            clock,
            list: rest.list,
            servers,
        };
        to_json(&written)
    }

    /// `ours` is our clock, which says `now`: times are given by that.
    ///
    /// ```
    /// use oakhollow::types::Micros;
    /// use oakhollow_terms::{HostClock, MaintenanceMarks, HandoverState, LearnedHealth};
    /// let (here, there) = ("127.0.0.1:70".parse().unwrap(), "127.0.0.1:71".parse().unwrap());
    /// let read = |json: String, listen| MaintenanceMarks::from_json(json.as_bytes(), listen, None, Micros::millis(9));
    /// let mut marks = MaintenanceMarks::default();
    /// marks.in_maintenance.insert("s-1".into());
    /// assert_eq!(read(marks.to_json(here, HandoverState::default(), None), here).unwrap().0, marks);
    /// let taught: LearnedHealth = vec![("s-2".into(), oakhollow::server_health::ServerHealth { weight_factor: 0.5, ..Default::default() })];
    /// let rest = HandoverState { learned: taught.clone(), ..HandoverState::default() };
    /// assert_eq!(read(marks.to_json(here, rest, None), here).unwrap().1.learned, taught);
    /// assert!(read(marks.to_json(here, HandoverState::default(), None), there).unwrap_err().starts_with("listen: "));
    ///
    /// // Put back 2 ms ago by a clock that was 5 ms ahead of ours.
    /// let clock = |ahead_us| Some(HostClock { boot_id: "one".into(), offset_us: ahead_us });
    /// marks.set("s-3", false, Micros::millis(12));
    /// let json = marks.to_json(here, HandoverState::default(), clock(5_000));
    /// let ours = MaintenanceMarks::from_json(json.as_bytes(), here, clock(0).as_ref(), Micros::millis(9)).unwrap().0;
    /// assert_eq!(ours.returned["s-3"], Micros::millis(7));
    /// assert_eq!(read(json, here).unwrap().0.returned["s-3"], Micros::millis(9));
    /// ```
    pub fn from_json(
        json: &[u8], listen: SocketAddr, ours: Option<&HostClock>, now: Micros,
    ) -> Result<(MaintenanceMarks, HandoverState), String> {
        let written: Written = read_json(json)?;
        if written.version != VERSION {
            return Err(format!("version: {} is not read", written.version));
        }
        if written.listen != listen {
            return Err(format!("listen: {} is another sidecar's", written.listen));
        }
        let writer = written.clock;
        let by_ours = |at| HostClock::rebase(ours, writer.as_ref(), Micros(at), now);
        let back = written.back.into_iter().map(|(name, at)| (name, by_ours(at))).collect();
        let taught = written.servers.into_iter().filter_map(ServerFigures::read).collect();
        Ok((
            MaintenanceMarks { in_maintenance: written.out, returned: back },
            HandoverState { list: written.list, learned: taught },
        ))
    }
}
