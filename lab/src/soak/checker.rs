//! Reads what clients and servers wrote down, and says which promises were broken. It knows nothing of the program's own guard,
//! whose verdict stands beside this one.
use super::fleet::Ends;
use super::records::{Attempt, Class, Deed, Ending, Event, ProcessId, Records, Request};
use crate::harness::lock;
use std::collections::HashMap;

/// By how much the rig itself may be late, in seconds.
const RIG: f64 = 0.15;
/// How late an answer may be until it counts as lost, in seconds.
const ANSWER_SLACK: f64 = 0.5;
/// How long after its client's close an attempt may begin, in seconds.
const GONE_SLACK: f64 = 0.1;
/// By how much a server may be told more than what is left, in seconds.
const TOLD_SLACK: f64 = 0.15;
/// How long a change may take until all of a process has heard it, in seconds.
const HEARD: f64 = 0.2;
/// A process that stood still for longer than this may be late by as much, in seconds.
const HELD_UP: f64 = 0.15;
/// How long a start may take until the process is ready, in seconds.
const READY: f64 = 10.0;
/// A fresh connection that ends so close to its process's end was never taken in, in seconds.
const CROSSES_END: f64 = 0.1;

/// A broken promise, by the name of the promise and with what was seen.
#[derive(Clone, PartialEq, Debug)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
    /// The process.
    pub process: ProcessId,
    /// What was seen.
    pub seen: String,
}

/// What came of a play.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Verdict {
    /// All broken promises.
    pub findings: Vec<Finding>,
    /// Requests that were judged.
    pub requests: usize,
    /// Of these, those that were served.
    pub served: usize,
    /// Of these, those that were refused.
    pub refused: usize,
    /// Requests of which nothing can be said: their process was killed or broken by the rig.
    pub excused: usize,
}

/// The life of one process.
#[derive(Default)]
struct Life {
    /// Spans in which it did not run, or was about to be killed.
    away: Vec<(f64, f64)>,
    /// Spans in which it stood still.
    stopped: Vec<(f64, f64)>,
    /// Spans in which its connections were broken by the rig.
    broken: Vec<(f64, f64)>,
    /// Spans in which a second process stood beside it.
    doubled: Vec<(f64, f64)>,
    /// Moments at which it ended.
    ends: Vec<f64>,
    /// Of these, those at which it was killed when its grace was over.
    grace_ends: Vec<f64>,
    /// Spans in which a server was out by hand, as was acknowledged.
    out: Vec<(usize, f64, f64)>,
    /// Spans in which its watch had been told that a server takes nothing new.
    drained: Vec<(usize, f64, f64)>,
    findings: Vec<Finding>,
}

fn overlaps(spans: &[(f64, f64)], from: f64, to: f64) -> bool {
    spans.iter().any(|(begin, end)| *begin < to && from < *end)
}

/// For how long of a span it stood still.
fn stood(spans: &[(f64, f64)], from: f64, to: f64) -> f64 {
    spans.iter().map(|(begin, end)| (end.min(to) - begin.max(from)).max(0.0)).sum()
}

/// Closes a span that was open.
fn shut(open: &mut Option<f64>, at: f64, spans: &mut Vec<(f64, f64)>) {
    spans.extend(open.take().map(|begun| (begun, at)));
}

impl Life {
    fn read(process: ProcessId, events: &[(f64, Event)]) -> Life {
        let mut life = Life::default();
        let (mut away, mut stopped, mut broken, mut doubled) = (None, None, None, None);
        let (mut terminated, mut started) = (None, None);
        let (mut out, mut drained): (HashMap<usize, f64>, HashMap<usize, f64>) = Default::default();
        for (at, event) in events {
            let at = *at;
            match event {
                Event::Started => {
                    started = Some(at);
                    shut(&mut away, at, &mut life.away);
                    for (server, since) in drained.drain() {
                        life.drained.push((server, since, at));
                    }
                }
                Event::Ready => {
                    let took = started.take().map_or(0.0, |started| at - started);
                    if took > READY {
                        life.find("ready-in-time", process, format!("ready {took:.1} s after its start"));
                    }
                }
                Event::Terminated => terminated = Some(at),
                Event::Killed => {
                    away.get_or_insert(at - CROSSES_END);
                    life.ends.push(at);
                }
                Event::KilledAfterGrace => {
                    terminated = None;
                    away.get_or_insert(at);
                    life.ends.push(at);
                    life.grace_ends.push(at);
                }
                Event::Ended(code) => {
                    if terminated.take().is_none() || *code != Some(0) {
                        life.find("ends-in-order", process, format!("ended with {code:?} at {at:.3} s"));
                    }
                    away.get_or_insert(at);
                    life.ends.push(at);
                }
                Event::Stopped => _ = stopped.get_or_insert(at),
                Event::Continued => shut(&mut stopped, at, &mut life.stopped),
                Event::Breaks(true) => _ = broken.get_or_insert(at),
                Event::Breaks(false) => shut(&mut broken, at, &mut life.broken),
                Event::TakesOver(true) => _ = doubled.get_or_insert(at),
                Event::TakesOver(false) => shut(&mut doubled, at, &mut life.doubled),
                Event::TakenOut(server) => _ = out.entry(*server).or_insert(at),
                Event::PuttingBack(server) => {
                    life.out.extend(out.remove(server).map(|since| (*server, since, at)));
                }
                Event::ToldDrained(server) => _ = drained.entry(*server).or_insert(at),
                Event::ToldReady(server) => {
                    life.drained.extend(drained.remove(server).map(|since| (*server, since, at)));
                }
            }
        }
        for (open, spans) in [
            (away, &mut life.away),
            (stopped, &mut life.stopped),
            (broken, &mut life.broken),
            (doubled, &mut life.doubled),
        ] {
            spans.extend(open.map(|since| (since, f64::INFINITY)));
        }
        life.out.extend(out.into_iter().map(|(server, since)| (server, since, f64::INFINITY)));
        life.drained.extend(drained.into_iter().map(|(server, since)| (server, since, f64::INFINITY)));
        life
    }

    fn find(&mut self, promise: &'static str, process: ProcessId, seen: String) {
        self.findings.push(Finding { promise, process, seen });
    }
}

/// Reads all records.
pub fn check(records: &Records, ends: &Ends) -> Verdict {
    let mut by_process: HashMap<ProcessId, Vec<(f64, Event)>> = HashMap::new();
    for (at, process, event) in lock(&records.events).iter() {
        by_process.entry(*process).or_default().push((*at, *event));
    }
    for events in by_process.values_mut() {
        events.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    }
    let lives: HashMap<ProcessId, Life> =
        by_process.iter().map(|(process, events)| (*process, Life::read(*process, events))).collect();
    let attempts = lock(&records.attempts);
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts.iter() {
        by_id.entry(&attempt.id).or_default().push(attempt);
    }
    let mut verdict = Verdict::default();
    verdict.findings.extend(lives.values().flat_map(|life| life.findings.iter().cloned()));
    let (nobody, none) = (Life::default(), Vec::new());
    for request in lock(&records.requests).iter() {
        let life = lives.get(&request.process).unwrap_or(&nobody);
        judge_request(request, by_id.get(request.id.as_str()).unwrap_or(&none), life, &mut verdict);
    }
    for attempt in attempts.iter() {
        let life = lives.get(&attempt.process).unwrap_or(&nobody);
        judge_attempt(attempt, life, &mut verdict);
    }
    let requests = lock(&records.requests);
    let excused = |line: &str| {
        let request = late_request(line).and_then(|id| requests.iter().find(|request| request.id == id));
        request.is_some_and(|request| {
            let life = lives.get(&request.process).unwrap_or(&nobody);
            let until = request.ended.max(request.sent.unwrap_or(0.0) + request.patience + ANSWER_SLACK);
            stood(&life.stopped, request.sent.unwrap_or(request.ended) - 0.05, until + RIG) > HELD_UP
        })
    };
    verdict.excused += ends.broken.iter().filter(|line| excused(line)).count();
    for line in ends.broken.iter().filter(|line| !excused(line)) {
        let (group, number) = (usize::MAX, usize::MAX);
        verdict.findings.push(Finding {
            promise: "guard",
            process: ProcessId { group, number },
            seen: line.clone(),
        });
    }
    verdict
}

/// The request that a line of the guard says was answered too late, if it says that: a process that stood still can't have
/// answered in time, and its guard does not know that it did.
fn late_request(line: &str) -> Option<&str> {
    line.split_once("answer_in_time: request ")?.1.split(' ').next()
}

fn judge_request(request: &Request, attempts: &[&Attempt], life: &Life, verdict: &mut Verdict) {
    let Some(sent) = request.sent else { return };
    verdict.requests += 1;
    let deadline = sent + request.patience;
    let held_up = stood(&life.stopped, sent - 0.05, request.ended) > HELD_UP;
    // What the end of its grace finds unanswered is lost, if it did not stand still meanwhile.
    let overdue = life.grace_ends.iter().any(|end| (sent..request.ended).contains(end)) && !held_up;
    let away = overlaps(&life.away, sent, request.ended) && !overdue;
    let broken = overlaps(&life.broken, sent, request.ended);
    let mut find = |promise, seen: String| {
        let seen = format!(
            "{} {} sent at {sent:.3} s, {:?} at {:.3} s: {seen}",
            request.id,
            request.class.name(),
            request.ending,
            request.ended
        );
        verdict.findings.push(Finding { promise, process: request.process, seen });
    };
    let ran = attempts.iter().filter(|attempt| attempt.deed == Deed::Ran).count();
    if request.class == Class::Pay && ran > 1 {
        find("run-once", format!("ran {ran} times: {attempts:?}"));
    }
    if request.class == Class::Save {
        let cells: Vec<usize> =
            attempts.iter().filter(|attempt| attempt.deed == Deed::Ran).map(|attempt| attempt.cell).collect();
        if cells.windows(2).any(|pair| pair[0] != pair[1]) {
            find("keyed-in-its-cell", format!("ran in cells {cells:?}"));
        }
    }
    match request.ending {
        Ending::Answered { own: false, .. } => find("own-answer", "the body is another's".into()),
        Ending::Answered { status: 429 | 503, .. } if request.class != Class::View && ran > 0 => {
            find("refused-unless-run", format!("ran {ran} times"));
        }
        _ => {}
    }
    match request.ending {
        Ending::Answered { status, .. } => {
            verdict.served += usize::from(status == 200);
            verdict.refused += usize::from(matches!(status, 429 | 503));
            if request.ended > deadline + ANSWER_SLACK + RIG && !held_up && !away {
                find("answered", "too late".into());
            }
        }
        Ending::Closed | Ending::Nothing if away || broken => verdict.excused += 1,
        // It crossed the end of a connection that rested, and was not read.
        Ending::Closed if request.reused && attempts.is_empty() => verdict.excused += 1,
        Ending::Closed if crosses_end(request, life) && attempts.is_empty() => verdict.excused += 1,
        Ending::Nothing if held_up => verdict.excused += 1,
        Ending::Closed => find("answered", format!("closed, {} attempts", attempts.len())),
        Ending::Nothing => find("answered", format!("nothing, {} attempts", attempts.len())),
        Ending::Left => {
            let late =
                attempts.iter().filter(|attempt| attempt.first_byte > request.ended + GONE_SLACK + RIG);
            for attempt in late {
                find("nothing-after-leaving", format!("an attempt at {:.3} s", attempt.first_byte));
            }
        }
    }
    for attempt in attempts {
        let left = deadline - attempt.first_byte;
        if attempt.told.is_some_and(|told| told > left + TOLD_SLACK + RIG) {
            let late = stood(&life.stopped, sent, attempt.first_byte) > HELD_UP;
            if !late {
                find("told-time-left", format!("told {:?} s of {left:.3} s", attempt.told));
            }
        }
    }
}

/// Its connection was in the kernel's queue as its process ended.
fn crosses_end(request: &Request, life: &Life) -> bool {
    life.ends.iter().any(|end| (request.ended - end).abs() < CROSSES_END)
}

fn judge_attempt(attempt: &Attempt, life: &Life, verdict: &mut Verdict) {
    let mut find = |promise, since: f64| {
        let seen = format!(
            "{} at server {} at {:.3} s, {:.3} s after that",
            attempt.id,
            attempt.server,
            attempt.first_byte,
            attempt.first_byte - since
        );
        verdict.findings.push(Finding { promise, process: attempt.process, seen });
    };
    let within = |spans: &[(usize, f64, f64)]| {
        spans.iter().find_map(|(server, since, until)| {
            let slack = HEARD + RIG + stood(&life.stopped, *since, attempt.first_byte);
            let inside = attempt.first_byte > since + slack && attempt.first_byte < *until;
            (*server == attempt.server && inside).then_some(*since)
        })
    };
    if let Some(since) = within(&life.out) {
        find("nothing-to-one-out-by-hand", since);
    }
    // Two processes have two watches, and hear at two times.
    let doubled = overlaps(&life.doubled, attempt.first_byte - 3.0, attempt.first_byte);
    if let Some(since) = within(&life.drained).filter(|_| !doubled) {
        find("nothing-to-one-drained", since);
    }
}
