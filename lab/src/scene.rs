//! Scenes: scripted fault-injection tests, each written in a small text file. `#` begins a comment; times are in
//! seconds from the start of the load. Instances are n0, n1 and so on. Servers are s0, s1, s2, and s3, which no
//! discovery lists at first.
//!
//! Setup:
//!
//! - `sidecars N keepers K within S [unsure HOW]`: starts N instances; the first K are lease servers (`keepers` in
//!   the operator's file). S is the longest time for which two instances may act on different settings, HOW the
//!   `unsure` policy
//! - `version N NAME:KIND ...`: the workloads in version N of the settings, KIND one of read, once; all instances
//!   start with the first version. Servers answer requests of a workload whose name begins with `fails` with an error
//! - `load RATE`: requests a second of each workload at each sidecar
//! - `stand-in A HOW`: replaces the program of A by the fake sidecar of [`crate::fake_sidecar`], HOW its behaviour
//! - `with KEY = VALUE`: one more line in the section `[accord]` of the operator's file
//! - `until T`: the end of the scene
//!
//! Actions on an instance A, written `at T ACTION A ...`:
//!
//! - `tell A N`: writes version N into its settings file and sends SIGHUP
//! - `spoil A`: cuts its settings file to half of its length and sends SIGHUP
//! - `cut A`: its links to other instances drop all data; `cut-to A`: only data from it; `cut-from A`: only data to
//!   it
//! - `heal A`: ends `cut`, `cut-to`, `cut-from` and `refuse`
//! - `delay A MS`: delays all data on its links
//! - `reset A`: breaks its links once
//! - `refuse A`: breaks its links and refuses new ones until `heal`
//! - `half A`: forwards only the first half of the next read on each link, then breaks the link
//! - `replay A`: repeats the last messages on each link
//! - `stranger A`: connects to its lease server as an unknown instance, with a malformed message and with an endless
//!   line
//! - `stop A`, `continue A`: SIGSTOP, SIGCONT; `kill A`: SIGKILL; `start A`: starts it again
//! - `replace A`: starts a second process beside the first; `part A`: sends SIGTERM to the first
//! - `drain A sN`, `back A sN`, `again A sN`, `gone A sN`: the discovery of A alone announces that the server drains,
//!   is ready, has restarted, or (by a full list) is removed
//! - `mute A`, `unmute A`: the discovery of A goes down, comes back; `renumber A`: it restarts, counts its versions
//!   from 1 and sends a full list
//! - `mark A sN`, `unmark A sN`: puts the server in maintenance, or takes it out, at the console of A
//!
//! Expectations:
//!
//! - `expect contradiction S`: no instance acts on old settings for longer than S after another has acted on newer
//!   ones
//! - `expect drains S`: no instance sends to a server for longer than S after another instance, which serves, was
//!   told that the server drains
//! - `expect A holds N by T`: by T it does what only version N or later allows
//! - `expect A lacks N until T`: it does nothing before T that only version N or later allows
//! - `expect A serves T1 T2`, `expect A silent T1 T2`: it sends at least one attempt, or none, in that time
//! - `expect A uses sN T1 T2`, `expect A spares sN T1 T2`: the same of attempts to one server
//! - `expect A once T1 T2`: it repeats no request in that time
//! - `expect A logs TEXT`: its log contains the text
use std::collections::BTreeMap;

/// Whether requests of a workload may be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WorkloadKind {
    /// They may be repeated.
    ReadLike,
    /// They must not be repeated once they may have run.
    NonIdempotent,
}

/// What a scene does to an instance, its links or its discovery. The module's documentation describes each word.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// `tell`, with the version.
    WriteVersion(u64),
    /// `spoil`.
    TruncateFile,
    /// `cut`.
    Cut,
    /// `cut-to`.
    CutTo,
    /// `cut-from`.
    CutFrom,
    /// `heal`.
    Heal,
    /// `delay`, in milliseconds.
    Delay(u64),
    /// `reset`.
    Reset,
    /// `refuse`.
    Refuse,
    /// `half`.
    TruncateMessage,
    /// `replay`.
    Replay,
    /// `stranger`.
    ForeignConnections,
    /// `replace`.
    StartSecond,
    /// `part`.
    TerminateFirst,
    /// `stop`.
    Stop,
    /// `continue`.
    Continue,
    /// `kill`.
    Kill,
    /// `start`.
    Start,
    /// `drain`, `back`, `again` and `gone`, with the server.
    ChangeList(ListChange, usize),
    /// `mute`.
    DiscoveryDown,
    /// `unmute`.
    DiscoveryUp,
    /// `renumber`.
    RestartDiscovery,
    /// `mark` (true) and `unmark` (false), with the server.
    SetMaintenance(bool, usize),
}

/// A change of one server in a discovery's list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListChange {
    /// It drains.
    Draining,
    /// It takes requests; its start time is unchanged.
    Ready,
    /// It takes requests and has just started.
    Restarted,
    /// A full list no longer names it.
    Removed,
}

/// How many servers each scene has.
pub const SERVERS: usize = 4;
/// How many of them each discovery lists from the start.
pub const LISTED: usize = 3;

/// What must hold in a scene. An instance comes first, then a server or a version, then times in seconds.
#[derive(Clone, PartialEq, Debug)]
pub enum Expectation {
    /// `contradiction`: the longest that is allowed, in seconds.
    MaxContradiction(f64),
    /// `holds`.
    ActsOnVersion(usize, u64, f64),
    /// `silent`.
    SendsNothing(usize, f64, f64),
    /// `serves`.
    Sends(usize, f64, f64),
    /// `uses`.
    SendsTo(usize, usize, f64, f64),
    /// `spares`.
    SendsNothingTo(usize, usize, f64, f64),
    /// `drains`: the longest that is allowed, in seconds.
    MaxDrainViolation(f64),
    /// `lacks`.
    NotYetOnVersion(usize, u64, f64),
    /// `once`.
    NoRepeats(usize, f64, f64),
    /// `logs`.
    Logs(usize, String),
}

/// A scene as read from its file.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Scene {
    /// How many instances run.
    pub sidecars: usize,
    /// How many of them, the first ones, are lease servers.
    pub lease_servers: usize,
    /// The setting `within` of the operator's file, in seconds.
    pub max_divergence_s: f64,
    /// The setting `unsure` of the operator's file.
    pub unsure: String,
    /// Further lines of the section `[accord]`.
    pub accord_settings: Vec<String>,
    /// The instance whose program the fake sidecar replaces, and the fake sidecar's behaviour.
    pub fake_sidecar: Option<(usize, String)>,
    /// Requests a second of each workload at each sidecar.
    pub rate: f64,
    /// The workloads of each version of the settings.
    pub versions: BTreeMap<u64, Vec<(String, WorkloadKind)>>,
    /// Actions in the order of their times, each with its instance.
    pub actions: Vec<(f64, usize, Action)>,
    /// When the scene ends.
    pub end_s: f64,
    /// What must hold.
    pub expectations: Vec<Expectation>,
}

impl Scene {
    /// Parses a scene; an error names the line.
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
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if !line.is_empty() {
                scene.parse_line(line).map_err(|error| format!("line {}: {error}", index + 1))?;
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

    fn parse_line(&mut self, line: &str) -> Result<(), String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let not_understood = || format!("not understood: {line}");
        let parse_number = |word: &str| word.parse::<f64>().map_err(|_| format!("not a number: {word}"));
        let parse_integer =
            |word: &str| word.parse::<u64>().map_err(|_| format!("not a whole number: {word}"));
        let sidecars = self.sidecars;
        let parse_instance = |word: &str| {
            let index = word.strip_prefix('n').and_then(|index| index.parse::<usize>().ok());
            index.filter(|index| *index < sidecars).ok_or_else(|| format!("there is no {word}"))
        };
        let parse_server = |word: &str| {
            let index = word.strip_prefix('s').and_then(|index| index.parse::<usize>().ok());
            index.filter(|index| *index < SERVERS).ok_or_else(|| format!("there is no {word}"))
        };
        match words[..] {
            ["stand-in", instance, behaviour] => {
                self.fake_sidecar = Some((parse_instance(instance)?, behaviour.into()))
            }
            ["with", ref rest @ ..] => self.accord_settings.push(rest.join(" ")),
            ["sidecars", count, "keepers", lease_servers, "within", max_divergence, ref rest @ ..] => {
                (self.sidecars, self.lease_servers) =
                    (parse_integer(count)? as usize, parse_integer(lease_servers)? as usize);
                self.max_divergence_s = parse_number(max_divergence)?;
                match rest {
                    [] => {}
                    ["unsure", policy] => self.unsure = policy.to_string(),
                    _ => return Err(not_understood()),
                }
            }
            ["version", number, ref workloads @ ..] => {
                let mut parsed_workloads = Vec::new();
                for workload in workloads {
                    let (name, kind) = match workload.split_once(':') {
                        Some((name, "read")) => (name, WorkloadKind::ReadLike),
                        Some((name, "once")) => (name, WorkloadKind::NonIdempotent),
                        _ => return Err(not_understood()),
                    };
                    parsed_workloads.push((name.to_string(), kind));
                }
                self.versions.insert(parse_integer(number)?, parsed_workloads);
            }
            ["load", rate] => self.rate = parse_number(rate)?,
            ["until", time] => self.end_s = parse_number(time)?,
            ["at", time, command, instance, ref rest @ ..] => {
                let action = match (command, rest) {
                    ("tell", [version]) if self.versions.contains_key(&parse_integer(version)?) => {
                        Action::WriteVersion(parse_integer(version)?)
                    }
                    ("spoil", []) => Action::TruncateFile,
                    ("cut", []) => Action::Cut,
                    ("cut-to", []) => Action::CutTo,
                    ("cut-from", []) => Action::CutFrom,
                    ("heal", []) => Action::Heal,
                    ("delay", [delay_ms]) => Action::Delay(parse_integer(delay_ms)?),
                    ("reset", []) => Action::Reset,
                    ("refuse", []) => Action::Refuse,
                    ("half", []) => Action::TruncateMessage,
                    ("replay", []) => Action::Replay,
                    ("stranger", []) => Action::ForeignConnections,
                    ("replace", []) => Action::StartSecond,
                    ("part", []) => Action::TerminateFirst,
                    ("drain", [server]) => Action::ChangeList(ListChange::Draining, parse_server(server)?),
                    ("back", [server]) => Action::ChangeList(ListChange::Ready, parse_server(server)?),
                    ("again", [server]) => Action::ChangeList(ListChange::Restarted, parse_server(server)?),
                    ("gone", [server]) => Action::ChangeList(ListChange::Removed, parse_server(server)?),
                    ("mute", []) => Action::DiscoveryDown,
                    ("unmute", []) => Action::DiscoveryUp,
                    ("renumber", []) => Action::RestartDiscovery,
                    ("mark", [server]) => Action::SetMaintenance(true, parse_server(server)?),
                    ("unmark", [server]) => Action::SetMaintenance(false, parse_server(server)?),
                    ("stop", []) => Action::Stop,
                    ("continue", []) => Action::Continue,
                    ("kill", []) => Action::Kill,
                    ("start", []) => Action::Start,
                    _ => return Err(not_understood()),
                };
                self.actions.push((parse_number(time)?, parse_instance(instance)?, action));
            }
            ["expect", "contradiction", max] => {
                self.expectations.push(Expectation::MaxContradiction(parse_number(max)?));
            }
            ["expect", "drains", max] => {
                self.expectations.push(Expectation::MaxDrainViolation(parse_number(max)?))
            }
            ["expect", instance, verb, server, from, to] if verb == "uses" || verb == "spares" => {
                let (instance, server, from, to) = (
                    parse_instance(instance)?,
                    parse_server(server)?,
                    parse_number(from)?,
                    parse_number(to)?,
                );
                self.expectations.push(match verb {
                    "uses" => Expectation::SendsTo(instance, server, from, to),
                    _ => Expectation::SendsNothingTo(instance, server, from, to),
                });
            }
            ["expect", instance, "holds", version, "by", time] => {
                self.expectations.push(Expectation::ActsOnVersion(
                    parse_instance(instance)?,
                    parse_integer(version)?,
                    parse_number(time)?,
                ));
            }
            ["expect", instance, "lacks", version, "until", time] => {
                self.expectations.push(Expectation::NotYetOnVersion(
                    parse_instance(instance)?,
                    parse_integer(version)?,
                    parse_number(time)?,
                ));
            }
            ["expect", instance, "logs", ref text @ ..] => {
                self.expectations.push(Expectation::Logs(parse_instance(instance)?, text.join(" ")));
            }
            ["expect", instance, "once", from, to] => {
                self.expectations.push(Expectation::NoRepeats(
                    parse_instance(instance)?,
                    parse_number(from)?,
                    parse_number(to)?,
                ));
            }
            ["expect", instance, "silent", from, to] => {
                self.expectations.push(Expectation::SendsNothing(
                    parse_instance(instance)?,
                    parse_number(from)?,
                    parse_number(to)?,
                ));
            }
            ["expect", instance, "serves", from, to] => {
                self.expectations.push(Expectation::Sends(
                    parse_instance(instance)?,
                    parse_number(from)?,
                    parse_number(to)?,
                ));
            }
            _ => return Err(not_understood()),
        }
        Ok(())
    }

    /// The names of the workloads of all versions, sorted.
    pub fn workloads(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.versions.values().flatten().map(|(name, _)| name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        names
    }
}
