//! Which servers are out by hand, and what of a sidecar outlives its process: a file, or a line to its successor.
use crate::{read, to_json, List};
use oakhollow::server_health::ServerHealth;
use oakhollow::types::Micros;
use oakhollow::OutcomeCounts;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// By name, whatever the list says.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Marks {
    pub out: BTreeSet<String>,
    /// Put back in use, and when.
    pub back: BTreeMap<String, Micros>,
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
    list: Option<List>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    servers: Vec<ServerFigures>,
}

/// How a process's clock stands to the monotonic clock of its host, which all processes since one boot share.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct HostClock {
    /// Tells one boot of the host from another.
    pub boot: String,
    /// By how much the process's clock is ahead of the monotonic one, in microseconds.
    pub ahead_us: i64,
}

impl HostClock {
    /// A time of a process with the clock `writer`, by our clock, which says `now`. Of another boot, or of nobody knows
    /// which, the wall clocks are compared. It has been by now in any case.
    fn rebase(ours: Option<&HostClock>, writer: Option<&HostClock>, at: Micros, now: Micros) -> Micros {
        let shift = match (ours, writer) {
            (Some(ours), Some(writer)) if ours.boot == writer.boot => ours.ahead_us - writer.ahead_us,
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
pub type Taught = Vec<(String, ServerHealth)>;

/// What a successor is told beside the marks.
#[derive(Clone, Default, Debug)]
pub struct Rest {
    pub list: Option<List>,
    pub taught: Taught,
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
pub struct Told {
    pub name: String,
    pub out: bool,
    pub at_us: u64,
}

/// What one process tells another of the same sidecar, a line each.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Line {
    Mark(Told),
    /// It takes nobody in any more.
    Parting,
}

impl Line {
    pub fn to_json(&self) -> String {
        to_json(self)
    }
}

const VERSION: u32 = 1;

impl Marks {
    /// Marks that may stand at a time, and returns that are remembered: guards against a file and a memory without end.
    pub const MOST: usize = 4_096;
    /// How long a return is remembered: longer than any server takes to warm up.
    const MEMORY: Micros = Micros::millis(600_000);

    pub fn set(&mut self, name: &str, out: bool, at: Micros) {
        if out {
            self.out.insert(name.into());
            self.back.remove(name);
            return;
        }
        self.out.remove(name);
        self.back.retain(|_, back| *back + Self::MEMORY > at);
        if self.back.len() < Self::MOST {
            self.back.insert(name.into(), at);
        }
    }

    /// `rest` goes to a successor only; `clock` is that of this process.
    pub fn to_json(&self, listen: SocketAddr, rest: Rest, clock: Option<HostClock>) -> String {
        let back = self.back.iter().map(|(name, at)| (name.clone(), at.0)).collect();
        let servers = rest.taught.iter().map(ServerFigures::of).collect();
        let written = Written {
            version: VERSION,
            listen,
            out: self.out.clone(),
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
    /// use oakhollow_terms::{HostClock, Marks, Rest, Taught};
    /// let (here, there) = ("127.0.0.1:70".parse().unwrap(), "127.0.0.1:71".parse().unwrap());
    /// let read = |json: String, listen| Marks::from_json(json.as_bytes(), listen, None, Micros::millis(9));
    /// let mut marks = Marks::default();
    /// marks.out.insert("s-1".into());
    /// assert_eq!(read(marks.to_json(here, Rest::default(), None), here).unwrap().0, marks);
    /// let taught: Taught = vec![("s-2".into(), oakhollow::server_health::ServerHealth { weight_factor: 0.5, ..Default::default() })];
    /// let rest = Rest { taught: taught.clone(), ..Rest::default() };
    /// assert_eq!(read(marks.to_json(here, rest, None), here).unwrap().1.taught, taught);
    /// assert!(read(marks.to_json(here, Rest::default(), None), there).unwrap_err().starts_with("listen: "));
    ///
    /// // Put back 2 ms ago by a clock that was 5 ms ahead of ours.
    /// let clock = |ahead_us| Some(HostClock { boot: "one".into(), ahead_us });
    /// marks.set("s-3", false, Micros::millis(12));
    /// let json = marks.to_json(here, Rest::default(), clock(5_000));
    /// let ours = Marks::from_json(json.as_bytes(), here, clock(0).as_ref(), Micros::millis(9)).unwrap().0;
    /// assert_eq!(ours.back["s-3"], Micros::millis(7));
    /// assert_eq!(read(json, here).unwrap().0.back["s-3"], Micros::millis(9));
    /// ```
    pub fn from_json(
        json: &[u8], listen: SocketAddr, ours: Option<&HostClock>, now: Micros,
    ) -> Result<(Marks, Rest), String> {
        let written: Written = read(json)?;
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
        Ok((Marks { out: written.out, back }, Rest { list: written.list, taught }))
    }
}
