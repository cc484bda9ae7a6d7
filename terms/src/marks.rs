//! Which servers are out by hand, and what of a sidecar outlives its process: a file, or a line to its successor.
use crate::{read, to_json, List};
use oakhollow::learnt::Judged;
use oakhollow::types::Micros;
use oakhollow::Tally;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

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
    list: Option<List>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    servers: Vec<ServerFigures>,
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
pub type Taught = Vec<(String, Judged)>;

/// What a successor is told beside the marks.
#[derive(Clone, Default, Debug)]
pub struct Rest {
    pub list: Option<List>,
    pub taught: Taught,
}

impl ServerFigures {
    fn of((name, judged): &(String, Judged)) -> ServerFigures {
        ServerFigures {
            name: name.clone(),
            ease: judged.ease,
            good: judged.record.good,
            bad: judged.record.bad,
            answered: judged.answered,
            asides: judged.asides,
            aside_us: judged.aside.map(|until| until.0),
        }
    }

    /// None where a figure means nothing.
    fn read(self) -> Option<(String, Judged)> {
        let count = |figure: f64| (0.0..1e9).contains(&figure);
        let sound = (0.01..=1.0).contains(&self.ease) && count(self.good) && count(self.bad);
        let record = Tally { good: self.good, bad: self.bad };
        let (answered, asides, aside) = (self.answered, self.asides, self.aside_us.map(Micros));
        sound.then_some((self.name, Judged { ease: self.ease, record, answered, asides, aside }))
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

    /// `rest` goes to a successor only.
    pub fn to_json(&self, listen: SocketAddr, rest: Rest) -> String {
        let back = self.back.iter().map(|(name, at)| (name.clone(), at.0)).collect();
        let servers = rest.taught.iter().map(ServerFigures::of).collect();
        let written =
            Written { version: VERSION, listen, out: self.out.clone(), back, list: rest.list, servers };
        to_json(&written)
    }

    /// ```
    /// use oakhollow_terms::{Marks, Rest, Taught};
    /// let (here, there) = ("127.0.0.1:70".parse().unwrap(), "127.0.0.1:71".parse().unwrap());
    /// let mut marks = Marks::default();
    /// marks.out.insert("s-1".into());
    /// assert_eq!(Marks::from_json(marks.to_json(here, Rest::default()).as_bytes(), here).unwrap().0, marks);
    /// let taught: Taught = vec![("s-2".into(), oakhollow::learnt::Judged { ease: 0.5, ..Default::default() })];
    /// let rest = Rest { taught: taught.clone(), ..Rest::default() };
    /// assert_eq!(Marks::from_json(marks.to_json(here, rest).as_bytes(), here).unwrap().1.taught, taught);
    /// assert!(Marks::from_json(marks.to_json(here, Rest::default()).as_bytes(), there).unwrap_err().starts_with("listen: "));
    /// ```
    pub fn from_json(json: &[u8], listen: SocketAddr) -> Result<(Marks, Rest), String> {
        let written: Written = read(json)?;
        if written.version != VERSION {
            return Err(format!("version: {} is not read", written.version));
        }
        if written.listen != listen {
            return Err(format!("listen: {} is another sidecar's", written.listen));
        }
        let back = written.back.into_iter().map(|(name, at)| (name, Micros(at))).collect();
        let taught = written.servers.into_iter().filter_map(ServerFigures::read).collect();
        Ok((Marks { out: written.out, back }, Rest { list: written.list, taught }))
    }

    /// None where there is no file.
    pub fn from_file(path: &Path, listen: SocketAddr) -> Option<Result<Marks, String>> {
        let json = std::fs::read(path).ok()?;
        let read = Marks::from_json(&json, listen).map(|(marks, _)| marks);
        Some(read.map_err(|fault| format!("{}: {fault}", path.display())))
    }

    /// Written whole or not at all.
    pub fn to_file(&self, path: &Path, listen: SocketAddr) -> std::io::Result<()> {
        let fresh = path.with_extension(format!("new-{}", std::process::id()));
        let written = std::fs::write(&fresh, self.to_json(listen, Rest::default()))
            .and_then(|()| std::fs::rename(&fresh, path));
        if written.is_err() {
            let _ = std::fs::remove_file(&fresh);
        }
        written
    }
}
