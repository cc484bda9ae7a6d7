//! Scenes, as written in small text files. `#` begins a comment; times are in seconds from the start of the load.
//!
//! - `sidecars N keepers K within S [unsure HOW]`: instances n0, n1 ...; the first K of them are keepers
//! - `version N NAME:KIND ...`: the workloads of a state of the settings, KIND one of read, once; all of them start with
//!   the first. Servers answer calls of a workload whose name begins with `fails` with an error
//! - `load RATE`: calls a second of each workload at each sidecar
//! - `at T WHAT ...`: `tell A N` (its file and SIGHUP), `spoil A` (half a file and SIGHUP), `cut A`, `cut-to A` (it hears, and
//!   is not heard), `cut-from A`, `heal A`, `delay A MS`, `reset A`, `refuse A` (its links break and none comes up until it is
//!   healed), `half A` (of what comes next on each link one half, then it breaks), `replay A` (what was said on its links is
//!   said again), `stranger A` (its keeper's address gets a foreign instance, a word without sense and a line without an
//!   end), `stop A`, `continue A`, `kill A`, `start A`, `replace A` (a second process beside it), `part A` (SIGTERM to the first)
//! - `at T WHAT A sN`, told by the discovery of A alone: `drain`, `back`, `again` (it has started again), `gone` (from a whole
//!   list); `mute A` (that discovery is down), `unmute A`, `renumber A` (it starts again, numbers from 1 and tells the whole
//!   list). `mark A sN`, `unmark A sN`: at its console. Servers are s0, s1, s2, and s3 that no list names at first
//! - `stand-in A HOW`: a stand-in in the place of a process of the program, honest or with that fault (`stand_in.rs`)
//! - `with KEY = VALUE`: one more line of `[accord]` in the operator's file
//! - `until T`
//! - `expect contradiction S`: at most; `expect A holds N by T`; `expect A silent T1 T2`: it sends nothing on between;
//!   `expect A lacks N until T`: it does nothing before that only N or later allows; `expect A logs TEXT`; `expect A serves T1 T2`;
//!   `expect A once T1 T2`: of what it begins between them it repeats nothing; `expect A uses sN T1 T2`, `expect A spares sN T1 T2`; `expect drains S`: nobody sends to a server
//!   for longer, at most, after one that serves was told that it drains
use std::collections::BTreeMap;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WorkloadKind {
    ReadLike,
    NonIdempotent,
}

#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    WriteVersion(u64),
    TruncateFile,
    Cut,
    CutTo,
    CutFrom,
    Heal,
    Delay(u64),
    Reset,
    Refuse,
    TruncateMessage,
    Replay,
    ForeignConnections,
    StartSecond,
    TerminateFirst,
    Stop,
    Continue,
    Kill,
    Start,
    ChangeList(ListChange, usize),
    DiscoveryDown,
    DiscoveryUp,
    RestartDiscovery,
    SetMaintenance(bool, usize),
}

/// What a discovery tells of a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListChange {
    Draining,
    Ready,
    Restarted,
    Removed,
}

/// Servers of every scene, and how many of them lists name from the start.
pub const SERVERS: usize = 4;
pub const LISTED: usize = 3;

#[derive(Clone, PartialEq, Debug)]
pub enum Expectation {
    MaxContradiction(f64),
    ActsOnVersion(usize, u64, f64),
    SendsNothing(usize, f64, f64),
    Sends(usize, f64, f64),
    SendsTo(usize, usize, f64, f64),
    SendsNothingTo(usize, usize, f64, f64),
    MaxDrainViolation(f64),
    NotYetOnVersion(usize, u64, f64),
    /// It repeats nothing of what it begins between the two times.
    NoRepeats(usize, f64, f64),
    Logs(usize, String),
}

#[derive(Clone, PartialEq, Debug, Default)]
pub struct Scene {
    pub sidecars: usize,
    pub keepers: usize,
    pub within: f64,
    pub unsure: String,
    pub accord_settings: Vec<String>,
    pub stand_in: Option<(usize, String)>,
    pub rate: f64,
    pub versions: BTreeMap<u64, Vec<(String, WorkloadKind)>>,
    pub actions: Vec<(f64, usize, Action)>,
    pub end_s: f64,
    pub expectations: Vec<Expectation>,
}

impl Scene {
    /// Reads a scene; a fault names the line.
    ///
    /// ```
    /// use oakhollow_lab::scene::Scene;
    /// let text = "sidecars 4 keepers 3 within 1.0\nversion 1 old:read\nload 20\nat 2 cut n9\nuntil 4";
    /// assert_eq!(Scene::parse(text).unwrap_err(), "line 4: there is no n9");
    /// assert!(Scene::parse(&text.replace("n9", "n3")).is_ok());
    /// assert_eq!(Scene::parse(&text.replace("cut n9", "bend n3")).unwrap_err(), "line 4: not understood: at 2 bend n3");
    /// ```
    pub fn parse(text: &str) -> Result<Scene, String> {
        let mut scene = Scene { rate: 20.0, unsure: "refuse".into(), ..Scene::default() };
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                scene.line(line).map_err(|why| format!("line {}: {why}", at + 1))?;
            }
        }
        scene.actions.sort_by(|one, other| one.0.total_cmp(&other.0));
        match () {
            _ if scene.sidecars == 0 => Err("sidecars: missing".into()),
            _ if scene.versions.is_empty() => Err("version: missing".into()),
            _ if scene.end_s <= 0.0 => Err("until: missing".into()),
            _ => Ok(scene),
        }
    }

    fn line(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let odd = || format!("not understood: {line}");
        let number = |word: &str| word.parse::<f64>().map_err(|_| format!("no number: {word}"));
        let whole = |word: &str| word.parse::<u64>().map_err(|_| format!("no whole number: {word}"));
        let sidecars = self.sidecars;
        let instance = |word: &str| {
            let at = word.strip_prefix('n').and_then(|at| at.parse::<usize>().ok());
            at.filter(|at| *at < sidecars).ok_or_else(|| format!("there is no {word}"))
        };
        let server = |word: &str| {
            let at = word.strip_prefix('s').and_then(|at| at.parse::<usize>().ok());
            at.filter(|at| *at < SERVERS).ok_or_else(|| format!("there is no {word}"))
        };
        match words[..] {
            ["stand-in", who, how] => self.stand_in = Some((instance(who)?, how.into())),
            ["with", ref rest @ ..] => self.accord_settings.push(rest.join(" ")),
            ["sidecars", count, "keepers", keepers, "within", within, ref rest @ ..] => {
                (self.sidecars, self.keepers) = (whole(count)? as usize, whole(keepers)? as usize);
                self.within = number(within)?;
                match rest {
                    [] => {}
                    ["unsure", how] => self.unsure = how.to_string(),
                    _ => return Err(odd()),
                }
            }
            ["version", number, ref workloads @ ..] => {
                let mut all = Vec::new();
                for workload in workloads {
                    let (name, kind) = match workload.split_once(':') {
                        Some((name, "read")) => (name, WorkloadKind::ReadLike),
                        Some((name, "once")) => (name, WorkloadKind::NonIdempotent),
                        _ => return Err(odd()),
                    };
                    all.push((name.to_string(), kind));
                }
                self.versions.insert(whole(number)?, all);
            }
            ["load", rate] => self.rate = number(rate)?,
            ["until", time] => self.end_s = number(time)?,
            ["at", time, what, who, ref rest @ ..] => {
                let fault = match (what, rest) {
                    ("tell", [version]) if self.versions.contains_key(&whole(version)?) => {
                        Action::WriteVersion(whole(version)?)
                    }
                    ("spoil", []) => Action::TruncateFile,
                    ("cut", []) => Action::Cut,
                    ("cut-to", []) => Action::CutTo,
                    ("cut-from", []) => Action::CutFrom,
                    ("heal", []) => Action::Heal,
                    ("delay", [length]) => Action::Delay(whole(length)?),
                    ("reset", []) => Action::Reset,
                    ("refuse", []) => Action::Refuse,
                    ("half", []) => Action::TruncateMessage,
                    ("replay", []) => Action::Replay,
                    ("stranger", []) => Action::ForeignConnections,
                    ("replace", []) => Action::StartSecond,
                    ("part", []) => Action::TerminateFirst,
                    ("drain", [one]) => Action::ChangeList(ListChange::Draining, server(one)?),
                    ("back", [one]) => Action::ChangeList(ListChange::Ready, server(one)?),
                    ("again", [one]) => Action::ChangeList(ListChange::Restarted, server(one)?),
                    ("gone", [one]) => Action::ChangeList(ListChange::Removed, server(one)?),
                    ("mute", []) => Action::DiscoveryDown,
                    ("unmute", []) => Action::DiscoveryUp,
                    ("renumber", []) => Action::RestartDiscovery,
                    ("mark", [one]) => Action::SetMaintenance(true, server(one)?),
                    ("unmark", [one]) => Action::SetMaintenance(false, server(one)?),
                    ("stop", []) => Action::Stop,
                    ("continue", []) => Action::Continue,
                    ("kill", []) => Action::Kill,
                    ("start", []) => Action::Start,
                    _ => return Err(odd()),
                };
                self.actions.push((number(time)?, instance(who)?, fault));
            }
            ["expect", "contradiction", most] => {
                self.expectations.push(Expectation::MaxContradiction(number(most)?));
            }
            ["expect", "drains", most] => {
                self.expectations.push(Expectation::MaxDrainViolation(number(most)?))
            }
            ["expect", who, what, one, from, to] if what == "uses" || what == "spares" => {
                let (who, one, from, to) = (instance(who)?, server(one)?, number(from)?, number(to)?);
                self.expectations.push(match what {
                    "uses" => Expectation::SendsTo(who, one, from, to),
                    _ => Expectation::SendsNothingTo(who, one, from, to),
                });
            }
            ["expect", who, "holds", version, "by", time] => {
                self.expectations.push(Expectation::ActsOnVersion(
                    instance(who)?,
                    whole(version)?,
                    number(time)?,
                ));
            }
            ["expect", who, "lacks", version, "until", time] => {
                self.expectations.push(Expectation::NotYetOnVersion(
                    instance(who)?,
                    whole(version)?,
                    number(time)?,
                ));
            }
            ["expect", who, "logs", ref text @ ..] => {
                self.expectations.push(Expectation::Logs(instance(who)?, text.join(" ")));
            }
            ["expect", who, "once", from, to] => {
                self.expectations.push(Expectation::NoRepeats(instance(who)?, number(from)?, number(to)?));
            }
            ["expect", who, "silent", from, to] => {
                self.expectations.push(Expectation::SendsNothing(instance(who)?, number(from)?, number(to)?));
            }
            ["expect", who, "serves", from, to] => {
                self.expectations.push(Expectation::Sends(instance(who)?, number(from)?, number(to)?));
            }
            _ => return Err(odd()),
        }
        Ok(())
    }

    /// All workloads of any version.
    pub fn workloads(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.versions.values().flatten().map(|(name, _)| name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
