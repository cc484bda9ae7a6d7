//! One process of the program with thousands of endpoints, while its list arrives slowly, late or not at all. No
//! request may go to a removed endpoint after the grace time that follows the notification of its removal.
pub mod catalogue;
pub mod discovery;
pub mod endpoints;

use crate::fakes::{run_client, Observations};
use crate::harness::{config_json, wait_until_all_ready, DelayMonitor, ProcessConfig, RunValidity, TempDir};
use crate::processes::Sidecar;
use catalogue::Catalogue;
use discovery::{Discovery, ResponseMode};
use endpoints::{EndpointNumber, Endpoints};
use rustix::process::Signal;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as notified at the latest this long after discovery had it and could be reached.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// How long after the notification the settings still allow requests to a removed endpoint.
const GRACE: Duration = Duration::from_millis(1_500);
/// How long processes and this harness may be delayed on top of that.
const SLACK: Duration = Duration::from_millis(200);
/// How often endpoints are replaced.
const CHANGE_INTERVAL: Duration = Duration::from_millis(600);
/// The share of the endpoints that each change replaces.
const CHANGED_SHARE: f64 = 0.02;
/// How long the clients run before the fault begins.
const LEAD_TIME: Duration = Duration::from_secs(1);
const CLIENTS: usize = 4;
const REQUESTS_PER_S: f64 = 100.0;
/// If the harness ran later than this, in seconds, a failure is inconclusive.
const MAX_DELAY_S: f64 = 0.15;

/// What happens to the open watch when the fault begins.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WatchFault {
    /// Its connection is reset.
    Reset,
    /// Discovery sends nothing more on it.
    Silence,
    /// Nothing.
    None,
}

/// The parameters of a run. Times are counted from the beginning of the fault.
#[derive(Clone, Debug)]
pub struct Case {
    /// Its name in reports.
    pub name: &'static str,
    /// How many endpoints are listed.
    pub endpoints: usize,
    /// What happens to the open watch.
    pub watch_fault: WatchFault,
    /// How discovery answers requests.
    pub response_mode: ResponseMode,
    /// Until when discovery cannot be reached.
    pub unreachable_until: Duration,
    /// When the process gets a SIGHUP, with an unchanged settings file.
    pub reloads: Vec<Duration>,
    /// From when to when endpoints are replaced.
    pub replacing: (Duration, Duration),
    /// When the run ends.
    pub length: Duration,
}

/// A request to a removed endpoint after the grace time.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Violation {
    /// When it arrived, in seconds from the beginning of the fault.
    pub received_at: f64,
    /// How much later than allowed, in seconds.
    pub late_s: f64,
}

/// The outcome of a case.
#[derive(Debug)]
pub struct Report {
    /// Requests to removed endpoints, sorted by time.
    pub violations: Vec<Violation>,
    /// How many requests endpoints received since the fault began.
    pub received: usize,
    /// For each second since the fault began: how many requests of clients were sent and ended, and how many of them
    /// with status 200.
    pub answers: Vec<(usize, usize)>,
    /// Requests to discovery, in seconds from the beginning of the fault, each with the version after which it asked
    /// for changes.
    pub discovery_requests: Vec<(f64, usize)>,
    /// How many lines discovery wrote completely since the fault began.
    pub lines: usize,
    /// The process's log.
    pub log: String,
}

/// Runs a case once.
pub fn run(program: &Path, case: &Case) -> Result<(Report, RunValidity), String> {
    let error_text = |error: std::io::Error| error.to_string();
    let endpoints = Endpoints::start().map_err(error_text)?;
    let listed =
        (0..case.endpoints).map(EndpointNumber).map(|endpoint| (endpoint, endpoints.address(endpoint)));
    let discovery = Discovery::start(Catalogue::new(listed)).map_err(error_text)?;
    let folder = TempDir::new("large-list");
    let mut sidecar = Sidecar::new(program, "n0", folder.path()).map_err(error_text)?;
    sidecar.write_config(&settings(&sidecar, &discovery)).map_err(error_text)?;
    sidecar.start().map_err(error_text)?;
    wait_until_all_ready(std::slice::from_mut(&mut sidecar))?;
    let (delay_monitor, start_time) = (DelayMonitor::start(), Instant::now());
    let observations = Arc::<Observations>::default();
    let fault_begin = start_time + LEAD_TIME;
    let length = (LEAD_TIME + case.length).as_secs_f64();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (observations, address) = (observations.clone(), sidecar.listen);
            let rate = REQUESTS_PER_S / CLIENTS as f64;
            scope.spawn(move || {
                run_client(address, (client, "view"), rate, start_time, || length, &observations)
            });
        }
        scope.spawn(|| begin_fault(case, &discovery, fault_begin));
        scope.spawn(|| replace_endpoints(case, &discovery, &endpoints, fault_begin));
        scope.spawn(|| {
            for reload in &case.reloads {
                sleep_until(fault_begin + *reload);
                sidecar.signal(Signal::HUP);
            }
        });
    });
    let report = report(case, &discovery, &endpoints, &observations, fault_begin, sidecar.log_text());
    let validity = match delay_monitor.max_delay_s() {
        delay if delay > MAX_DELAY_S => {
            RunValidity::HarnessLate(format!("the harness was {delay:.3} s late"))
        }
        _ => RunValidity::Valid,
    };
    Ok((report, validity))
}

fn settings(sidecar: &Sidecar, discovery: &Discovery) -> String {
    let text = config_json(sidecar, &ProcessConfig::alone(discovery.address));
    let grace = format!(r#""rules":{{"stop_sending_within_s":{},"#, GRACE.as_secs_f64());
    text.replace(r#""rules":{"#, &grace)
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn begin_fault(case: &Case, discovery: &Discovery, start: Instant) {
    sleep_until(start);
    discovery.set_response_mode(case.response_mode);
    match case.watch_fault {
        WatchFault::Reset => discovery.reset_watches(),
        WatchFault::Silence => discovery.silence_watches(),
        WatchFault::None => {}
    }
}

fn replace_endpoints(case: &Case, discovery: &Discovery, endpoints: &Endpoints, fault_begin: Instant) {
    let count = (case.endpoints as f64 * CHANGED_SHARE).ceil() as usize;
    let mut due = case.replacing.0;
    let mut step = 0;
    while due < case.replacing.1 {
        sleep_until(fault_begin + due);
        let removed = (step * count..(step + 1) * count).map(EndpointNumber);
        let first = case.endpoints + step * count;
        let added = (first..first + count)
            .map(EndpointNumber)
            .map(|endpoint| (endpoint, endpoints.address(endpoint)));
        discovery.replace(removed, added.collect());
        (due, step) = (due + CHANGE_INTERVAL, step + 1);
    }
}

/// From when on each removed endpoint must get no more requests.
fn forbidden_from(
    case: &Case, discovery: &Discovery, fault_begin: Instant,
) -> HashMap<EndpointNumber, Instant> {
    discovery.inspect(|catalogue, _, written_lines| {
        let mut forbidden = HashMap::new();
        for (version, index) in catalogue.versions().iter().zip(2..) {
            let reachable = version.created_at.max(fault_begin + case.unreachable_until);
            let first_sent =
                written_lines.iter().filter(|line| line.index >= index).map(|line| line.written_at).min();
            let notified = first_sent
                .unwrap_or(reachable + MAX_NOTIFICATION_DELAY)
                .min(reachable + MAX_NOTIFICATION_DELAY);
            for (endpoint, _) in &version.removed {
                forbidden.insert(*endpoint, notified + GRACE + SLACK);
            }
        }
        forbidden
    })
}

fn report(
    case: &Case, discovery: &Discovery, endpoints: &Endpoints, observations: &Observations,
    fault_begin: Instant, log: String,
) -> Report {
    let forbidden = forbidden_from(case, discovery, fault_begin);
    let received = endpoints.received();
    let mut violations: Vec<Violation> = received
        .iter()
        .filter_map(|request| {
            let late = request.received_at.checked_duration_since(*forbidden.get(&request.endpoint)?)?;
            let received_at = request.received_at.saturating_duration_since(fault_begin).as_secs_f64();
            Some(Violation { received_at, late_s: late.as_secs_f64() })
        })
        .collect();
    violations.sort_by(|one, other| one.received_at.total_cmp(&other.received_at));
    let mut answers = vec![(0, 0); case.length.as_secs() as usize + 1];
    for response in crate::harness::lock(&observations.responses).iter() {
        let second = response.sent_at - LEAD_TIME.as_secs_f64();
        if let Some((all, served)) = answers.get_mut(second as usize).filter(|_| second >= 0.0) {
            *all += 1;
            *served += usize::from(response.status == Some(200));
        }
    }
    let (discovery_requests, lines) = discovery.inspect(|_, discovery_requests, written_lines| {
        let discovery_requests =
            discovery_requests.iter().filter(|request| request.received_at >= fault_begin);
        let discovery_requests = discovery_requests
            .map(|request| ((request.received_at - fault_begin).as_secs_f64(), request.after_version))
            .collect();
        (discovery_requests, written_lines.iter().filter(|line| line.written_at >= fault_begin).count())
    });
    let received = received.iter().filter(|request| request.received_at >= fault_begin).count();
    Report { violations, received, answers, discovery_requests, lines, log }
}

impl Report {
    /// The outcome in one line.
    pub fn summary(&self) -> String {
        let max_late_s = self.violations.iter().map(|violation| violation.late_s).fold(0.0, f64::max);
        let first = self
            .violations
            .first()
            .map_or(String::new(), |violation| format!(", the first at {:.1} s", violation.received_at));
        let discovery_requests: Vec<String> = self
            .discovery_requests
            .iter()
            .map(|(time, version)| format!("{time:.1} (from {version})"))
            .collect();
        let served: Vec<String> =
            self.answers.iter().map(|(all, served)| format!("{served}/{all}")).collect();
        format!(
            "{} of {} requests went to removed endpoints, up to {max_late_s:.1} s late{first}; discovery requests at {}; {} lines; served by second {}",
            self.violations.len(),
            self.received,
            discovery_requests.join(", "),
            self.lines,
            served.join(" "),
        )
    }
}
