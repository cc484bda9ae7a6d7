//! Checks the records of clients and servers against the rules that the program has to keep. It is
//! independent of the program's own guard; the violations that the guard logged are reported as findings of
//! the rule `guard`.
use super::fleet::ShutdownReport;
use super::records::{
    Attempt, AttemptOutcome, Event, ProcessId, Records, Request, RequestClass, RequestOutcome,
};
use crate::harness::lock;
use std::collections::HashMap;

/// Tolerance for delays of the harness itself, in seconds.
const HARNESS_SLACK_S: f64 = 0.15;
/// How long after its deadline an answer may come, in seconds.
const ANSWER_SLACK_S: f64 = 0.5;
/// How long after its client has left an attempt may begin, in seconds.
const ABANDON_SLACK_S: f64 = 0.1;
/// By how much the timeout that a server is told may exceed the time left, in seconds.
const TIMEOUT_SLACK_S: f64 = 0.15;
/// How long a change may take to reach all workers of a process, in seconds.
const PROPAGATION_S: f64 = 0.2;
/// A process that was stopped for longer than this may miss its deadlines, in seconds.
const SIGNIFICANT_PAUSE_S: f64 = 0.15;
/// The longest that an answer may take from the arrival of its request until the guard counts it as late, in seconds:
/// the longest timeout of a client, and the slack.
const LONGEST_WAIT_S: f64 = 0.9 + ANSWER_SLACK_S;
/// How long a process may take from its start until it is ready, in seconds.
const READY_LIMIT_S: f64 = 10.0;
/// A new connection that is closed within this time of its process's exit was never accepted, in seconds.
const EXIT_RACE_S: f64 = 0.1;

/// A violation of a rule.
#[derive(Clone, PartialEq, Debug)]
pub struct Finding {
    /// The name of the rule.
    pub rule: &'static str,
    /// The process that broke it.
    pub process: ProcessId,
    /// When it was broken, in seconds since the records began, if that is known.
    pub at: Option<f64>,
    /// What the records show.
    pub details: String,
}

/// The result of a check.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Verdict {
    /// All violations.
    pub findings: Vec<Finding>,
    /// Requests that were checked.
    pub requests: usize,
    /// Checked requests that were served.
    pub served: usize,
    /// Checked requests that were refused.
    pub refused: usize,
    /// Failures that are not findings, since the harness killed or stopped the process, broke its
    /// connections, or the connection closed as the request was sent.
    pub excused: usize,
}

/// The history of one process, as spans and points of time in seconds.
#[derive(Default)]
struct ProcessHistory {
    /// When it did not run, or was about to be killed.
    down: Vec<(f64, f64)>,
    /// When it was stopped with SIGSTOP.
    paused: Vec<(f64, f64)>,
    /// When the harness broke its connections.
    connection_faults: Vec<(f64, f64)>,
    /// When a second process took over from it.
    take_overs: Vec<(f64, f64)>,
    /// When it exited or was killed.
    exits: Vec<f64>,
    /// The exits at which it was killed at the end of its grace period.
    grace_kills: Vec<f64>,
    /// By server: when it was in maintenance, from the console's confirmation on.
    in_maintenance: Vec<(usize, f64, f64)>,
    /// By server: when discovery had told the process that it is leaving or absent.
    draining: Vec<(usize, f64, f64)>,
    findings: Vec<Finding>,
}

fn overlaps(spans: &[(f64, f64)], from: f64, to: f64) -> bool {
    spans.iter().any(|(begin, end)| *begin < to && from < *end)
}

/// How much of the time from `from` to `to` the spans cover.
fn paused_for(spans: &[(f64, f64)], from: f64, to: f64) -> f64 {
    spans.iter().map(|(begin, end)| (end.min(to) - begin.max(from)).max(0.0)).sum()
}

/// Closes an open span, if there is one.
fn close_span(open: &mut Option<f64>, end: f64, spans: &mut Vec<(f64, f64)>) {
    spans.extend(open.take().map(|start| (start, end)));
}

impl ProcessHistory {
    fn from_events(process: ProcessId, events: &[(f64, Event)]) -> ProcessHistory {
        let mut history = ProcessHistory::default();
        let (mut down, mut paused, mut connection_faults, mut take_overs) = (None, None, None, None);
        let (mut termination_requested, mut started) = (None, None);
        let (mut in_maintenance, mut draining): (HashMap<usize, f64>, HashMap<usize, f64>) =
            Default::default();
        for (time, event) in events {
            let time = *time;
            match event {
                Event::Started => {
                    started = Some(time);
                    close_span(&mut down, time, &mut history.down);
                    for (server, since) in draining.drain() {
                        history.draining.push((server, since, time));
                    }
                }
                Event::Ready => {
                    let took = started.take().map_or(0.0, |started| time - started);
                    if took > READY_LIMIT_S {
                        history.add_finding(
                            "ready-in-time",
                            process,
                            time,
                            format!("ready {took:.1} s after its start"),
                        );
                    }
                }
                Event::SignalSent(_) => {}
                Event::TerminationRequested => termination_requested = Some(time),
                Event::Killed => {
                    down.get_or_insert(time - EXIT_RACE_S);
                    history.exits.push(time);
                }
                Event::KilledAfterGrace => {
                    termination_requested = None;
                    down.get_or_insert(time);
                    history.exits.push(time);
                    history.grace_kills.push(time);
                }
                Event::FirstKilledAfterGrace => history.grace_kills.push(time),
                Event::Exited(code) => {
                    if termination_requested.take().is_none() || *code != Some(0) {
                        history.add_finding(
                            "ends-in-order",
                            process,
                            time,
                            format!("ended with {code:?} at {time:.3} s"),
                        );
                    }
                    down.get_or_insert(time);
                    history.exits.push(time);
                }
                Event::Paused => _ = paused.get_or_insert(time),
                Event::Resumed => close_span(&mut paused, time, &mut history.paused),
                Event::ConnectionFaults(true) => _ = connection_faults.get_or_insert(time),
                Event::ConnectionFaults(false) => {
                    close_span(&mut connection_faults, time, &mut history.connection_faults)
                }
                Event::TakeOverActive(true) => _ = take_overs.get_or_insert(time),
                Event::TakeOverActive(false) => close_span(&mut take_overs, time, &mut history.take_overs),
                Event::MaintenanceConfirmed(server) => _ = in_maintenance.entry(*server).or_insert(time),
                Event::MaintenanceEnding(server) => {
                    history
                        .in_maintenance
                        .extend(in_maintenance.remove(server).map(|since| (*server, since, time)));
                }
                Event::DrainAnnounced(server) => _ = draining.entry(*server).or_insert(time),
                Event::ReadyAnnounced(server) => {
                    history.draining.extend(draining.remove(server).map(|since| (*server, since, time)));
                }
            }
        }
        for (open, spans) in [
            (down, &mut history.down),
            (paused, &mut history.paused),
            (connection_faults, &mut history.connection_faults),
            (take_overs, &mut history.take_overs),
        ] {
            spans.extend(open.map(|since| (since, f64::INFINITY)));
        }
        history
            .in_maintenance
            .extend(in_maintenance.into_iter().map(|(server, since)| (server, since, f64::INFINITY)));
        history.draining.extend(draining.into_iter().map(|(server, since)| (server, since, f64::INFINITY)));
        history
    }

    fn add_finding(&mut self, rule: &'static str, process: ProcessId, at: f64, details: String) {
        self.findings.push(Finding { rule, process, at: Some(at), details });
    }
}

/// Checks all records of a run.
pub fn check(records: &Records, shutdown: &ShutdownReport) -> Verdict {
    let mut by_process: HashMap<ProcessId, Vec<(f64, Event)>> = HashMap::new();
    for (time, process, event) in lock(&records.events).iter() {
        by_process.entry(*process).or_default().push((*time, *event));
    }
    for events in by_process.values_mut() {
        events.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    }
    let histories: HashMap<ProcessId, ProcessHistory> = by_process
        .iter()
        .map(|(process, events)| (*process, ProcessHistory::from_events(*process, events)))
        .collect();
    let attempts = lock(&records.attempts);
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts.iter() {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut verdict = Verdict::default();
    verdict.findings.extend(histories.values().flat_map(|history| history.findings.iter().cloned()));
    let (unknown_process, no_attempts) = (ProcessHistory::default(), Vec::new());
    for request in lock(&records.requests).iter() {
        let history = histories.get(&request.process).unwrap_or(&unknown_process);
        check_request(request, by_id.get(request.id.as_str()).unwrap_or(&no_attempts), history, &mut verdict);
    }
    for attempt in attempts.iter() {
        let history = histories.get(&attempt.process).unwrap_or(&unknown_process);
        check_attempt(attempt, history, &mut verdict);
    }
    let requests = lock(&records.requests);
    let line_time =
        |line: &str| line.split_once(' ').and_then(|(_, line)| shutdown.logs.time_of(line, records.now()));
    let excused = |line: &str| {
        let Some(id) = late_request_id(line) else { return false };
        let Some(request) = requests.iter().find(|request| request.id == id) else {
            // A pipelined request, which no client records.
            let (process, at) = (process_of(line), line_time(line));
            let history = process.and_then(|process| histories.get(&process));
            return history.zip(at).is_some_and(|(history, at)| {
                paused_for(&history.paused, at - LONGEST_WAIT_S, at) > SIGNIFICANT_PAUSE_S
            });
        };
        let history = histories.get(&request.process).unwrap_or(&unknown_process);
        let until = request.ended_at.max(request.sent_at.unwrap_or(0.0) + request.timeout_s + ANSWER_SLACK_S);
        paused_for(
            &history.paused,
            request.sent_at.unwrap_or(request.ended_at) - 0.05,
            until + HARNESS_SLACK_S,
        ) > SIGNIFICANT_PAUSE_S
    };
    verdict.excused += shutdown.log_errors.iter().filter(|line| excused(line)).count();
    for line in shutdown.log_errors.iter().filter(|line| !excused(line)) {
        let process = process_of(line).unwrap_or(ProcessId { group: usize::MAX, number: usize::MAX });
        verdict.findings.push(Finding { rule: "guard", process, at: line_time(line), details: line.clone() });
    }
    verdict
}

/// The request that a log line of the guard reports as answered too late, if it is such a line. The guard
/// does not know when its process was stopped, so such a line is excused if the process was stopped
/// meanwhile.
fn late_request_id(line: &str) -> Option<&str> {
    line.split_once("answer_in_time: request ")?.1.split(' ').next()
}

/// The process whose name a log line of [`ShutdownReport`] begins with.
fn process_of(line: &str) -> Option<ProcessId> {
    let (group, number) = line.split_once(':')?.0.strip_prefix('g')?.split_once('p')?;
    Some(ProcessId { group: group.parse().ok()?, number: number.parse().ok()? })
}

fn check_request(request: &Request, attempts: &[&Attempt], history: &ProcessHistory, verdict: &mut Verdict) {
    let Some(sent_at) = request.sent_at else { return };
    verdict.requests += 1;
    let deadline = sent_at + request.timeout_s;
    let was_paused = paused_for(&history.paused, sent_at - 0.05, request.ended_at) > SIGNIFICANT_PAUSE_S;
    // A request that is open when the grace period ends counts as lost, unless the process was stopped
    // meanwhile.
    let overdue =
        history.grace_kills.iter().any(|exit| (sent_at..request.ended_at).contains(exit)) && !was_paused;
    let was_down = overlaps(&history.down, sent_at, request.ended_at) && !overdue;
    let had_connection_faults = overlaps(&history.connection_faults, sent_at, request.ended_at);
    let mut add_finding = |rule, details: String| {
        let details = format!(
            "{} {} sent at {sent_at:.3} s, {:?} at {:.3} s: {details}",
            request.id,
            request.class.name(),
            request.outcome,
            request.ended_at
        );
        let at = Some(request.ended_at);
        verdict.findings.push(Finding { rule, process: request.process, at, details });
    };
    let executions = attempts.iter().filter(|attempt| attempt.outcome == AttemptOutcome::Executed).count();
    if request.class == RequestClass::Pay && executions > 1 {
        add_finding("run-once", format!("ran {executions} times: {attempts:?}"));
    }
    if request.class == RequestClass::Save {
        let cells: Vec<usize> = attempts
            .iter()
            .filter(|attempt| attempt.outcome == AttemptOutcome::Executed)
            .map(|attempt| attempt.cell)
            .collect();
        if cells.windows(2).any(|pair| pair[0] != pair[1]) {
            add_finding("keyed-in-its-cell", format!("ran in cells {cells:?}"));
        }
    }
    match request.outcome {
        RequestOutcome::Answered { own_body: false, .. } => {
            add_finding("own-answer", "the body is another's".into())
        }
        RequestOutcome::Answered { status: 429 | 503, .. }
            if request.class != RequestClass::View && executions > 0 =>
        {
            add_finding("refused-unless-run", format!("ran {executions} times"));
        }
        _ => {}
    }
    match request.outcome {
        RequestOutcome::Answered { status, .. } => {
            verdict.served += usize::from(status == 200);
            verdict.refused += usize::from(matches!(status, 429 | 503));
            if request.ended_at > deadline + ANSWER_SLACK_S + HARNESS_SLACK_S && !was_paused && !was_down {
                add_finding("answered", "too late".into());
            }
        }
        RequestOutcome::Closed | RequestOutcome::NoResponse if was_down || had_connection_faults => {
            verdict.excused += 1
        }
        // The process closed the idle connection as the request was sent, and did not read it.
        RequestOutcome::Closed if request.reused_connection && attempts.is_empty() => verdict.excused += 1,
        RequestOutcome::Closed if closed_at_exit(request, history) && attempts.is_empty() => {
            verdict.excused += 1
        }
        RequestOutcome::NoResponse if was_paused => verdict.excused += 1,
        RequestOutcome::Closed => add_finding("answered", format!("closed, {} attempts", attempts.len())),
        RequestOutcome::NoResponse => {
            add_finding("answered", format!("nothing, {} attempts", attempts.len()))
        }
        RequestOutcome::ClientLeft => {
            let late_attempts = attempts.iter().filter(|attempt| {
                attempt.first_byte_at > request.ended_at + ABANDON_SLACK_S + HARNESS_SLACK_S
            });
            for attempt in late_attempts {
                add_finding("nothing-after-leaving", format!("an attempt at {:.3} s", attempt.first_byte_at));
            }
        }
    }
    for attempt in attempts {
        let remaining_s = deadline - attempt.first_byte_at;
        if attempt
            .announced_timeout_s
            .is_some_and(|announced| announced > remaining_s + TIMEOUT_SLACK_S + HARNESS_SLACK_S)
        {
            add_finding(
                "told-time-left",
                format!("told {:?} s of {remaining_s:.3} s", attempt.announced_timeout_s),
            );
        }
    }
}

/// Whether the request ended as its process exited, with its connection still in the kernel's accept queue.
fn closed_at_exit(request: &Request, history: &ProcessHistory) -> bool {
    history.exits.iter().any(|exit| (request.ended_at - exit).abs() < EXIT_RACE_S)
}

fn check_attempt(attempt: &Attempt, history: &ProcessHistory, verdict: &mut Verdict) {
    let mut add_finding = |rule, since: f64| {
        let details = format!(
            "{} at server {} at {:.3} s, {:.3} s after that",
            attempt.id,
            attempt.server,
            attempt.first_byte_at,
            attempt.first_byte_at - since
        );
        let at = Some(attempt.first_byte_at);
        verdict.findings.push(Finding { rule, process: attempt.process, at, details });
    };
    let excluded_since = |spans: &[(usize, f64, f64)]| {
        spans.iter().find_map(|(server, since, until)| {
            let slack =
                PROPAGATION_S + HARNESS_SLACK_S + paused_for(&history.paused, *since, attempt.first_byte_at);
            let is_excluded = attempt.first_byte_at > since + slack && attempt.first_byte_at < *until;
            (*server == attempt.server && is_excluded).then_some(*since)
        })
    };
    if let Some(since) = excluded_since(&history.in_maintenance) {
        add_finding("nothing-to-one-out-by-hand", since);
    }
    // During a take-over each of the two processes has its own watch and learns of a drain at its own time.
    let during_take_over = overlaps(&history.take_overs, attempt.first_byte_at - 3.0, attempt.first_byte_at);
    if let Some(since) = excluded_since(&history.draining).filter(|_| !during_take_over) {
        add_finding("nothing-to-one-drained", since);
    }
}
