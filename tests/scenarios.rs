//! Plays every file in `tests/scenarios` on the module. The notation:
//!
//! - `place KEY=VALUE ...` before all else: sidecars, number, hops, race, cancel, cool, ask, cold, warm, fall, customer, near, loads, tell, keys,
//!   beyond=FEW:SHARE:WINDOW (the bound on hops beyond the first)
//! - `workload NAME KIND QUOTED PAYOFF`, KIND one of repeatable, once-only, tagged:GROUP:SPAN
//! - `list whole|changes|cached|failed SERVER ...`, SERVER as NAME[:cell=N][:place=N][:size=X][:draining|:gone][:new]
//! - `call ID WORKLOAD LEFT [customer=N] [key=N] [repeat]`, `calls FIRST..LAST ...`, `ends ID.HOP OUTCOME WAITED [load=HELD:WAITING]`, `heard SERVER STRAIN`, `leaves ID`, `streams ID.HOP`
//! - `wait LENGTH`: time passes, timers fire in order; `ends-in LENGTH`: the instance does, calls are answered by then
//! - `traffic COUNT WORKLOAD EVERY TOOK`: calls from 1000 up, each hop answered TOOK after its send; several by turns as
//!   WORKLOAD*N:TOOK+WORKLOAD*N:TOOK and `mixed` for TOOK; `dismissed LEAST..MOST` counts since `count`
//! - `expect ACTION`: takes one such action out of those not yet expected; `never ACTION`: there is none such;
//!   `quiet`: none is left but logs, which then are forgotten; `sent SERVER LEAST..MOST` counts since `count`
//!
//! ACTION: send ID.HOP [SERVER], cancel ID.HOP, dismiss ID soon|late (cool-down under half a second or not), fail ID, subscribe, tell SERVER, log WORDS.
mod runner;

use oakhollow::rules::Balancer;
use oakhollow::types::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct Play {
    now: Micros,
    terms: Option<BalancerConfig>,
    workloads: Vec<String>,
    servers: Vec<String>,
    sidecar: Option<Balancer>,
    timers: Vec<(Micros, usize, TimerToken)>,
    done: Vec<String>,
    hops: BTreeMap<u32, u32>,
    sent: BTreeMap<String, u32>,
    dismissed: u32,
    next_call: u32,
}

fn length(text: &str) -> Micros {
    Micros(runner::parse_duration_us(text))
}

/// `load=HELD:WAITING`.
fn report(text: &str) -> ServerLoad {
    let (open_calls, queued_calls) =
        text.strip_prefix("load=").and_then(|load| load.split_once(':')).expect("load=HELD:WAITING");
    let figure = |text: &str| text.parse().ok().and_then(ServerLoad::plausible);
    ServerLoad { open_calls: figure(open_calls), queued_calls: figure(queued_calls), cpu_utilization: None }
}

/// `FEW:SHARE:WINDOW`, or no.
fn beyond(text: &str) -> Option<RetryBudget> {
    let parts: Vec<&str> = text.split(':').collect();
    let [base, ratio, window] = parts[..] else { return None };
    let number = |text: &str| text.parse().expect("a number");
    Some(RetryBudget { base: number(base), ratio: number(ratio), window: length(window) })
}

/// Holds a count against `LEAST..MOST`.
fn within(range: &str, count: u32, what: &str) {
    let (least, most) = range.split_once("..").expect("LEAST..MOST");
    let range = least.parse().expect("least")..=most.parse().expect("most");
    assert!(range.contains(&count), "{count} {what}");
}

fn hop(text: &str) -> (CallId, HopNo) {
    let (call, hop) = text.split_once('.').expect("ID.HOP");
    (CallId(call.parse().expect("an id")), HopNo(hop.parse().expect("a hop")))
}

impl Play {
    fn place(&mut self, words: &[&str]) {
        let get = |key: &str, other: &str| {
            let found = words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
            found.unwrap_or(other).to_string()
        };
        let number = |key: &str, other: &str| get(key, other).parse::<f64>().expect("a number");
        self.terms = Some(BalancerConfig {
            instances: number("sidecars", "2") as u32,
            instance_index: number("number", "0") as u32,
            local_zone: get("near", "no").parse().ok().map(ZoneId),
            workloads: Vec::new(),
            tenant_quotas: get("customer", "1000")
                .split(',')
                .map(|rate| rate.parse().expect("a rate"))
                .collect(),
            overage_payoff: 0.1,
            worst_workload_weight: 0.0,
            max_hops: number("hops", "4") as u32,
            retry_budget: beyond(&get("beyond", "no")),
            may_cancel: get("cancel", "yes") == "yes",
            may_hedge: get("race", "yes") == "yes",
            max_retry_after: length(&get("cool", "2s")),
            load_reports: get("loads", "no") == "yes",
            peer_messages: get("tell", "no") == "yes",
            key_affinity: get("keys", "no") == "yes",
            must_subscribe: get("ask", "none") != "none",
            resubscribe_within: length(&get("ask", "0s").replace("none", "0s")),
            cold_capacity: number("cold", "0.3"),
            warm_up_time: length(&get("warm", "10s")),
            collapse_window: length(&get("fall", "1s")),
        });
        self.now = Micros::millis(100_000);
        self.next_call = 1000;
    }

    fn workload(&mut self, words: &[&str]) {
        let kind: Vec<&str> = words[1].split(':').collect();
        let scope = |name| match name {
            "all" => DedupScope::All,
            "place" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            other => panic!("no group {other}"),
        };
        let idempotency = match kind[..] {
            ["repeatable"] => Idempotency::Idempotent,
            ["once-only"] => Idempotency::NonIdempotent,
            ["tagged", name, span] => Idempotency::ByKey { scope: scope(name), window: length(span) },
            _ => panic!("no kind {}", words[1]),
        };
        self.workloads.push(words[0].to_string());
        let payoff = words[3].parse().expect("payoff");
        let workload = Workload { idempotency, quoted_time: length(words[2]), payoff };
        self.terms.as_mut().expect("place first").workloads.push(workload);
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        if self.sidecar.is_none() {
            let terms = self.terms.as_ref().expect("place first");
            self.sidecar = Some(Balancer::new(terms, 7, self.now, &mut out));
        }
        self.sidecar.as_mut().expect("started").on(self.now, event, &mut out);
        for action in out {
            let said = match action {
                Action::SetTimer { after, token } => {
                    self.timers.push((self.now + after, self.timers.len(), token));
                    continue;
                }
                Action::Send { call, server, .. } => {
                    let hop = self.hops.entry(call.0).or_default();
                    *hop += 1;
                    let name = &self.servers[server.0 as usize];
                    *self.sent.entry(name.clone()).or_default() += 1;
                    format!("send {}.{} {name}", call.0, *hop - 1)
                }
                Action::Cancel { call, hop } => format!("cancel {}.{}", call.0, hop.0),
                Action::Refuse { call, retry_after } => {
                    self.dismissed += 1;
                    format!(
                        "dismiss {} {}",
                        call.0,
                        if retry_after < length("0.5s") { "soon" } else { "late" }
                    )
                }
                Action::Fail { call } => format!("fail {}", call.0),
                Action::Subscribe => "subscribe".to_string(),
                Action::TellPeers { server, .. } => format!("tell {}", self.servers[server.0 as usize]),
                Action::Log { text, .. } => format!("log {text}"),
            };
            self.done.push(said);
        }
    }

    fn list(&mut self, words: &[&str]) {
        let kind = match words[0] {
            "whole" => ListKind::Whole,
            "changes" => ListKind::Changes,
            "cached" => ListKind::Cached,
            _ => ListKind::Failed,
        };
        let entries: Vec<ListedServer> = words[1..].iter().map(|word| self.listing(word)).collect();
        self.tell(Event::ListReceived { kind, entries: &entries });
    }

    fn listing(&mut self, word: &str) -> ListedServer {
        let parts: Vec<&str> = word.split(':').collect();
        let number =
            |key: &str| parts.iter().find_map(|part| part.strip_prefix(key)?.strip_prefix('=')?.parse().ok());
        let known = self.servers.iter().position(|name| name == parts[0]);
        let known = known.unwrap_or_else(|| {
            self.servers.push(parts[0].to_string());
            self.servers.len() - 1
        });
        let status = match () {
            _ if parts.contains(&"draining") => ServerStatus::Draining,
            _ if parts.contains(&"gone") => ServerStatus::Gone,
            _ => ServerStatus::Ready,
        };
        ListedServer {
            server: ServerId(known as u32),
            zone: ZoneId(number("place").unwrap_or(0.0) as u32),
            cell: CellId(number("cell").unwrap_or(0.0) as u32),
            status,
            weight: number("size").unwrap_or(1.0),
            name_hash: known as u64,
            started: if parts.contains(&"new") { self.now } else { Micros(0) },
        }
    }

    fn call(&mut self, id: u32, words: &[&str]) {
        let workload = self.workloads.iter().position(|name| name == words[0]).expect("a workload");
        let tenant = words.iter().find_map(|word| word.strip_prefix("customer=")?.parse().ok()).unwrap_or(0);
        self.tell(Event::CallArrived(Arrival {
            call: CallId(id),
            workload: WorkloadId(workload),
            time_left: length(words[1]),
            tenant: TenantId(tenant),
            client_retry: words.contains(&"repeat"),
            affinity_key: words.iter().find_map(|word| word.strip_prefix("key=")?.parse().ok()),
        }));
    }

    fn ends(&mut self, which: &str, outcome: &str, elapsed: Micros, report: Option<ServerLoad>) {
        let (call, hop) = hop(which);
        let outcome = match outcome {
            "succeeded" => Outcome::Succeeded,
            "errored" => Outcome::Errored,
            "full" => Outcome::Full,
            "timed-out" => Outcome::TimedOut,
            "unreached" => Outcome::NoConnection,
            "broken" => Outcome::Broken,
            "cancelled" => Outcome::Cancelled,
            other => panic!("no outcome {other}"),
        };
        let call_over = matches!(outcome, Outcome::Succeeded | Outcome::Cancelled);
        self.tell(Event::HopEnded(HopResult { call, hop, outcome, elapsed, call_over, load: report }));
    }

    fn wait(&mut self, until: Micros) {
        while let Some(next) = (0..self.timers.len()).min_by_key(|&at| (self.timers[at].0, self.timers[at].1))
        {
            if self.timers[next].0 > until {
                break;
            }
            let (due, _, token) = self.timers.remove(next);
            self.now = due;
            self.tell(Event::TimerFired(token));
        }
        self.now = until;
    }

    /// Who comes in turn, and how long each takes.
    fn turns(&self, workload: &str, took: &str) -> Vec<(String, Micros)> {
        if took != "mixed" {
            return vec![(workload.to_string(), length(took))];
        }
        let part = |part: &str| {
            let (name, took) = part.split_once(':').expect("WORKLOAD*N:TOOK");
            let (name, times) = name.split_once('*').unwrap_or((name, "1"));
            vec![(name.to_string(), length(took)); times.parse().expect("a number")]
        };
        workload.split('+').flat_map(part).collect()
    }

    fn traffic(&mut self, count: u32, every: Micros, turns: &[(String, Micros)]) {
        let mut out: Vec<(Micros, String, Micros)> = Vec::new();
        let (mut seen, first) = (self.done.len(), self.next_call);
        for turn in 0..=count {
            let start = self.now;
            if turn < count {
                self.call(self.next_call, &[&turns[turn as usize % turns.len()].0, "60s"]);
                self.next_call += 1;
            }
            let end = if turn < count { start + every } else { Micros::NEVER };
            loop {
                for said in self.done[seen..].iter().filter_map(|said| said.strip_prefix("send ")) {
                    let which = said.split(' ').next().expect("hop");
                    let took = turns[(hop(which).0 .0.saturating_sub(first)) as usize % turns.len()].1;
                    out.push((self.now + took, which.to_string(), took));
                }
                seen = self.done.len();
                let due = out.iter().enumerate().min_by_key(|(_, (at, ..))| *at).map(|(index, _)| index);
                let Some(due) = due.filter(|&due| out[due].0 <= end) else { break };
                let (at, which, took) = out.remove(due);
                self.wait(at);
                self.ends(&which, "succeeded", took, None);
            }
            if turn < count {
                self.wait(end);
            }
        }
        let about = |said: &str| said.split([' ', '.']).nth(1).and_then(|id| id.parse::<u32>().ok());
        self.done.retain(|said| said.starts_with("log ") || about(said).is_none_or(|id| id < 1000));
    }

    fn play(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["place", ..] => self.place(&words[1..]),
            ["workload", ..] => self.workload(&words[1..]),
            ["list", ..] => self.list(&words[1..]),
            ["calls", range, ..] => {
                let (first, last) = range.split_once("..").expect("FIRST..LAST");
                let range = first.parse::<u32>().expect("an id")..=last.parse().expect("an id");
                range.for_each(|id| self.call(id, &words[2..]));
            }
            ["call", id, ..] => self.call(id.parse().expect("an id"), &words[2..]),
            ["ends", which, outcome, elapsed] => self.ends(which, outcome, length(elapsed), None),
            ["ends", which, outcome, elapsed, load] => {
                self.ends(which, outcome, length(elapsed), Some(report(load)))
            }
            ["heard", server, slowdown] => {
                let known = self.servers.iter().position(|name| name == server).expect("a server");
                let server = ServerId(known as u32);
                self.tell(Event::PeerReported { server, slowdown: slowdown.parse().expect("a strain") });
            }
            ["streams", which] => self.tell(Event::AnswerStarted { call: hop(which).0, hop: hop(which).1 }),
            ["leaves", id] => self.tell(Event::CallWithdrawn { call: CallId(id.parse().expect("an id")) }),
            ["wait", time] => self.wait(self.now + length(time)),
            ["ends-in", time] => self.tell(Event::ShutdownBegun(self.now + length(time))),
            ["traffic", count, workload, every, took] => {
                let turns = self.turns(workload, took);
                self.traffic(count.parse().expect("a count"), length(every), &turns)
            }
            ["count"] => {
                self.sent.clear();
                self.dismissed = 0;
            }
            ["dismissed", range] => within(range, self.dismissed, "dismissed"),
            ["sent", server, range] => {
                within(range, self.sent.get(server).copied().unwrap_or(0), &format!("sent to {server}"))
            }
            ["expect", ..] => {
                let wanted = words[1..].join(" ");
                let found = self.done.iter().position(|said| said.starts_with(&wanted));
                self.done.remove(found.unwrap_or_else(|| panic!("not among {:?}", self.done)));
            }
            ["never", ..] => {
                let wanted = words[1..].join(" ");
                assert!(!self.done.iter().any(|said| said.starts_with(&wanted)), "among {:?}", self.done);
            }
            ["quiet"] => {
                self.done.retain(|said| !said.starts_with("log "));
                assert!(self.done.is_empty(), "left: {:?}", self.done);
            }
            _ => panic!("not a command"),
        }
    }
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    runner::run_scenarios(folder.as_ref(), 1, Play::default, Play::play);
}
