//! One process of the program before thousands of endpoints, while it can hardly hear which of them are there: no request may go to an
//! endpoint later than the grace after its removal counts as notified.
pub mod catalogue;
pub mod discovery;
pub mod endpoints;

use crate::fakes::{run_client, Observations};
use crate::harness::{config_json, wait_until_all_ready, DelayMonitor, ProcessConfig, RunValidity, TempDir};
use crate::processes::Sidecar;
use catalogue::Catalogue;
use discovery::{Conduct, Discovery};
use endpoints::{EndpointNo, Endpoints};
use rustix::process::Signal;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What counts as notified at the latest so long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// What the settings allow after that, and what processes and this rig may be held up for.
const GRACE: Duration = Duration::from_millis(1_500);
const SLACK: Duration = Duration::from_millis(200);
/// A part of the endpoints is replaced that often.
const CHANGES_EVERY: Duration = Duration::from_millis(600);
const CHANGED_PART: f64 = 0.02;
/// All is quiet for so long at first.
const QUIET: Duration = Duration::from_secs(1);
const CLIENTS: usize = 4;
const REQUESTS_A_SECOND: f64 = 100.0;
/// A rig that is later than this gives no figure.
const LATE: f64 = 0.15;

/// How watches end where the trouble begins.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Cut {
    /// They are reset.
    Reset,
    /// They say nothing any more.
    Silence,
    /// They go on.
    None,
}

/// What is played. Times are counted from the beginning of the trouble.
#[derive(Clone, Debug)]
pub struct Case {
    /// How it is called.
    pub name: &'static str,
    /// How many endpoints are listed.
    pub endpoints: usize,
    /// What becomes of the watch that is open.
    pub cut: Cut,
    /// How discovery meets calls.
    pub conduct: Conduct,
    /// Until when it cannot be reached.
    pub down: Duration,
    /// SIGHUP comes at these times, the file being the same.
    pub reloads: Vec<Duration>,
    /// When endpoints begin to be replaced, and when that ends.
    pub changes: (Duration, Duration),
    /// When the play ends.
    pub length: Duration,
}

/// A request to an endpoint that was gone.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Break {
    /// When, in seconds of the trouble.
    pub at: f64,
    /// How much later than allowed.
    pub late: f64,
}

/// What was seen.
#[derive(Debug)]
pub struct Report {
    /// Requests to endpoints that were gone, in the order of time.
    pub breaks: Vec<Break>,
    /// Requests that endpoints received since the trouble began.
    pub received: usize,
    /// Answers that clients got, and those of them that were no refusal, by second of the trouble.
    pub answers: Vec<(usize, usize)>,
    /// Calls to discovery, in seconds of the trouble, with the version each asked from.
    pub calls: Vec<(f64, usize)>,
    /// Lines that discovery wrote whole since then.
    pub lines: usize,
    /// The process's log.
    pub log: String,
}

/// Plays a case once.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let failed = |fault: std::io::Error| fault.to_string();
    let endpoints = Endpoints::start().map_err(failed)?;
    let listed = (0..case.endpoints).map(EndpointNo).map(|one| (one, endpoints.address(one)));
    let discovery = Discovery::start(Catalogue::new(listed)).map_err(failed)?;
    let folder = TempDir::new("large-list");
    let mut sidecar = Sidecar::new(program, "n0", folder.path()).map_err(failed)?;
    sidecar.write_config(&settings(&sidecar, &discovery)).map_err(failed)?;
    sidecar.start().map_err(failed)?;
    wait_until_all_ready(std::slice::from_mut(&mut sidecar))?;
    let (delay_monitor, begun) = (DelayMonitor::start(), Instant::now());
    let notes = Arc::<Observations>::default();
    let trouble = begun + QUIET;
    let length = (QUIET + case.length).as_secs_f64();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (notes, to) = (notes.clone(), sidecar.listen);
            let rate = REQUESTS_A_SECOND / CLIENTS as f64;
            scope.spawn(move || run_client(to, (client, "view"), rate, begun, || length, &notes));
        }
        scope.spawn(|| begin_trouble(case, &discovery, trouble));
        scope.spawn(|| replace_endpoints(case, &discovery, &endpoints, trouble));
        scope.spawn(|| {
            for reload in &case.reloads {
                sleep_until(trouble + *reload);
                sidecar.signal(Signal::HUP);
            }
        });
    });
    let report = report(case, &discovery, &endpoints, &notes, trouble, sidecar.log_text());
    let ran = match delay_monitor.max_delay_s() {
        late if late > LATE => RunValidity::HarnessLate(format!("the rig ran {late:.3} s late")),
        _ => RunValidity::Valid,
    };
    Ok((report, ran))
}

fn settings(sidecar: &Sidecar, discovery: &Discovery) -> String {
    let text = config_json(sidecar, &ProcessConfig::alone(discovery.address));
    let grace = format!(r#""rules":{{"stop_sending_within_s":{},"#, GRACE.as_secs_f64());
    text.replace(r#""rules":{"#, &grace)
}

fn sleep_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}

fn begin_trouble(case: &Case, discovery: &Discovery, at: Instant) {
    sleep_until(at);
    discovery.set_conduct(case.conduct);
    match case.cut {
        Cut::Reset => discovery.reset_watches(),
        Cut::Silence => discovery.silence_watches(),
        Cut::None => {}
    }
}

fn replace_endpoints(case: &Case, discovery: &Discovery, endpoints: &Endpoints, trouble: Instant) {
    let each = (case.endpoints as f64 * CHANGED_PART).ceil() as usize;
    let mut at = case.changes.0;
    let mut step = 0;
    while at < case.changes.1 {
        sleep_until(trouble + at);
        let removed = (step * each..(step + 1) * each).map(EndpointNo);
        let first = case.endpoints + step * each;
        let added = (first..first + each).map(EndpointNo).map(|one| (one, endpoints.address(one)));
        discovery.replace(removed, added.collect());
        (at, step) = (at + CHANGES_EVERY, step + 1);
    }
}

/// When each removed endpoint may be sent to no more.
fn forbidden_from(case: &Case, discovery: &Discovery, trouble: Instant) -> HashMap<EndpointNo, Instant> {
    discovery.look(|catalogue, _, written| {
        let mut from = HashMap::new();
        for (version, index) in catalogue.versions().iter().zip(2..) {
            let reachable = version.made.max(trouble + case.down);
            let told = written.iter().filter(|line| line.index >= index).map(|line| line.at).min();
            let notified = told.unwrap_or(reachable + NOTIFIED_WITHIN).min(reachable + NOTIFIED_WITHIN);
            for (endpoint, _) in &version.removed {
                from.insert(*endpoint, notified + GRACE + SLACK);
            }
        }
        from
    })
}

fn report(
    case: &Case, discovery: &Discovery, endpoints: &Endpoints, notes: &Observations, trouble: Instant,
    log: String,
) -> Report {
    let forbidden = forbidden_from(case, discovery, trouble);
    let received = endpoints.received();
    let mut breaks: Vec<Break> = received
        .iter()
        .filter_map(|request| {
            let late = request.at.checked_duration_since(*forbidden.get(&request.endpoint)?)?;
            let at = request.at.saturating_duration_since(trouble).as_secs_f64();
            Some(Break { at, late: late.as_secs_f64() })
        })
        .collect();
    breaks.sort_by(|one, other| one.at.total_cmp(&other.at));
    let mut answers = vec![(0, 0); case.length.as_secs() as usize + 1];
    for answered in crate::harness::lock(&notes.responses).iter() {
        let second = answered.at - QUIET.as_secs_f64();
        if let Some((all, served)) = answers.get_mut(second as usize).filter(|_| second >= 0.0) {
            *all += 1;
            *served += usize::from(answered.status == Some(200));
        }
    }
    let (calls, lines) = discovery.look(|_, calls, written| {
        let calls = calls.iter().filter(|call| call.at >= trouble);
        let calls = calls.map(|call| ((call.at - trouble).as_secs_f64(), call.from)).collect();
        (calls, written.iter().filter(|line| line.at >= trouble).count())
    });
    let received = received.iter().filter(|request| request.at >= trouble).count();
    Report { breaks, received, answers, calls, lines, log }
}

impl Report {
    /// What was seen, in a few lines.
    pub fn summary(&self) -> String {
        let latest = self.breaks.iter().map(|one| one.late).fold(0.0, f64::max);
        let first =
            self.breaks.first().map_or(String::new(), |one| format!(", the first at {:.1} s", one.at));
        let calls: Vec<String> =
            self.calls.iter().map(|(at, from)| format!("{at:.1} (from {from})")).collect();
        let served: Vec<String> =
            self.answers.iter().map(|(all, served)| format!("{served}/{all}")).collect();
        format!(
            "{} of {} requests went to endpoints that were gone, up to {latest:.1} s late{first}; calls at {}; {} lines; served by second {}",
            self.breaks.len(),
            self.received,
            calls.join(", "),
            self.lines,
            served.join(" "),
        )
    }
}
