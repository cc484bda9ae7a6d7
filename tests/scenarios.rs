//! Runs every file in `tests/scenarios` on the module. The notation:
//!
//! - `place KEY=VALUE ...`, the first command, sets the configuration: sidecars (number of balancers), number (this
//!   balancer's index), hops (most per call), race (hedging allowed), cancel, cool (longest retry-after), ask (time
//!   to renew the list subscription), cold (capacity at the start), warm (warm-up time), fall (collapse window),
//!   customer (tenant quotas), near (local zone), loads (load reports), tell (peer messages), keys (key affinity)
//!   and beyond=BASE:RATIO:WINDOW (retry budget)
//! - `workload NAME KIND QUOTED_TIME PAYOFF`; KIND is repeatable, once-only or tagged:SCOPE:WINDOW
//! - `list whole|changes|cached|failed SERVER ...` delivers a server list; SERVER is
//!   NAME[:cell=N][:place=N][:size=X][:draining|:gone][:new], where place is the zone and size the weight
//! - `call ID WORKLOAD TIME_LEFT [customer=N] [key=N] [repeat]`: a call arrives; `calls FIRST..LAST ...`: several
//! - `ends ID.HOP OUTCOME ELAPSED [load=OPEN:QUEUED]`: a hop ends; `streams ID.HOP`: its answer begins
//! - `leaves ID`: the client withdraws the call
//! - `heard SERVER SLOWDOWN`: another balancer reports a server's slowdown
//! - `wait DURATION`: time passes and timers fire in order
//! - `ends-in DURATION`: the balancer shuts down, and open calls are answered by then
//! - `traffic COUNT WORKLOAD INTERVAL LATENCY`: calls numbered from 1000, each hop answered LATENCY after it is sent.
//!   WORKLOAD*N:LATENCY+WORKLOAD*N:LATENCY with `mixed` for LATENCY sends several workloads in turn
//! - `expect ACTION`: there is such an action, and it is taken out; `never ACTION`: there is none
//! - `quiet`: no action is left but log lines, which are dropped
//! - `count`: resets the counts of `sent SERVER LEAST..MOST` (hops sent to a server) and `dismissed LEAST..MOST`
//!   (calls refused)
//!
//! ACTION: send ID.HOP [SERVER], cancel ID.HOP, dismiss ID soon|late (refused with a retry-after time under
//! half a second or not), fail ID, subscribe, tell SERVER, log TEXT. It is matched as a prefix.
mod runner;

use oakhollow::rules::Balancer;
use oakhollow::types::*;
use std::collections::BTreeMap;

/// Executes the commands of one scenario.
#[derive(Default)]
struct Runner {
    now: Micros,
    config: Option<BalancerConfig>,
    workloads: Vec<String>,
    servers: Vec<String>,
    balancer: Option<Balancer>,
    timers: Vec<(Micros, usize, TimerToken)>,
    /// The actions that no command has taken out yet, in the notation.
    actions: Vec<String>,
    /// Hops sent for each call.
    hop_counts: BTreeMap<u32, u32>,
    /// Hops sent to each server, and calls refused, since `count`.
    sent_counts: BTreeMap<String, u32>,
    refused: u32,
    next_call: u32,
}

fn duration(text: &str) -> Micros {
    Micros(runner::parse_duration_us(text))
}

/// Parses `load=OPEN:QUEUED`.
fn server_load(text: &str) -> ServerLoad {
    let (open_calls, queued_calls) =
        text.strip_prefix("load=").and_then(|load| load.split_once(':')).expect("load=OPEN:QUEUED");
    let figure = |text: &str| text.parse().ok().and_then(ServerLoad::plausible);
    ServerLoad { open_calls: figure(open_calls), queued_calls: figure(queued_calls), cpu_utilization: None }
}

/// Parses `BASE:RATIO:WINDOW`, or `no`.
fn retry_budget(text: &str) -> Option<RetryBudget> {
    let parts: Vec<&str> = text.split(':').collect();
    let [base, ratio, window] = parts[..] else { return None };
    let number = |text: &str| text.parse().expect("a number");
    Some(RetryBudget { base: number(base), ratio: number(ratio), window: duration(window) })
}

/// Asserts that a count is in the range `LEAST..MOST`.
fn assert_in_range(range: &str, count: u32, what: &str) {
    let (least, most) = range.split_once("..").expect("LEAST..MOST");
    let range = least.parse().expect("least")..=most.parse().expect("most");
    assert!(range.contains(&count), "{count} {what}");
}

fn hop(text: &str) -> (CallId, HopNo) {
    let (call, hop) = text.split_once('.').expect("ID.HOP");
    (CallId(call.parse().expect("an id")), HopNo(hop.parse().expect("a hop")))
}

impl Runner {
    fn configure(&mut self, words: &[&str]) {
        let get = |key: &str, other: &str| {
            let found = words.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='));
            found.unwrap_or(other).to_string()
        };
        let number = |key: &str, other: &str| get(key, other).parse::<f64>().expect("a number");
        self.config = Some(BalancerConfig {
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
            retry_budget: retry_budget(&get("beyond", "no")),
            may_cancel: get("cancel", "yes") == "yes",
            may_hedge: get("race", "yes") == "yes",
            max_retry_after: duration(&get("cool", "2s")),
            load_reports: get("loads", "no") == "yes",
            peer_messages: get("tell", "no") == "yes",
            key_affinity: get("keys", "no") == "yes",
            must_subscribe: get("ask", "none") != "none",
            resubscribe_within: duration(&get("ask", "0s").replace("none", "0s")),
            cold_capacity: number("cold", "0.3"),
            warm_up_time: duration(&get("warm", "10s")),
            collapse_window: duration(&get("fall", "1s")),
        });
        self.now = Micros::millis(100_000);
        self.next_call = 1000;
    }

    fn workload(&mut self, words: &[&str]) {
        let idempotency: Vec<&str> = words[1].split(':').collect();
        let scope = |name| match name {
            "all" => DedupScope::All,
            "place" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            other => panic!("no scope {other}"),
        };
        let idempotency = match idempotency[..] {
            ["repeatable"] => Idempotency::Idempotent,
            ["once-only"] => Idempotency::NonIdempotent,
            ["tagged", name, window] => Idempotency::ByKey { scope: scope(name), window: duration(window) },
            _ => panic!("no kind {}", words[1]),
        };
        self.workloads.push(words[0].to_string());
        let payoff = words[3].parse().expect("payoff");
        let workload = Workload { idempotency, quoted_time: duration(words[2]), payoff };
        self.config.as_mut().expect("place first").workloads.push(workload);
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        if self.balancer.is_none() {
            let config = self.config.as_ref().expect("place first");
            self.balancer = Some(Balancer::new(config, 7, self.now, &mut actions));
        }
        self.balancer.as_mut().expect("started").on(self.now, event, &mut actions);
        for action in actions {
            let action = match action {
                Action::SetTimer { after, token } => {
                    self.timers.push((self.now + after, self.timers.len(), token));
                    continue;
                }
                Action::Send { call, server, .. } => {
                    let hop = self.hop_counts.entry(call.0).or_default();
                    *hop += 1;
                    let name = &self.servers[server.0 as usize];
                    *self.sent_counts.entry(name.clone()).or_default() += 1;
                    format!("send {}.{} {name}", call.0, *hop - 1)
                }
                Action::Cancel { call, hop } => format!("cancel {}.{}", call.0, hop.0),
                Action::Refuse { call, retry_after } => {
                    self.refused += 1;
                    format!(
                        "dismiss {} {}",
                        call.0,
                        if retry_after < duration("0.5s") { "soon" } else { "late" }
                    )
                }
                Action::Fail { call } => format!("fail {}", call.0),
                Action::Subscribe => "subscribe".to_string(),
                Action::TellPeers { server, .. } => format!("tell {}", self.servers[server.0 as usize]),
                Action::Log { text, .. } => format!("log {text}"),
            };
            self.actions.push(action);
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
        self.deliver(Event::ListReceived { kind, entries: &entries });
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
        self.deliver(Event::CallArrived(Arrival {
            call: CallId(id),
            workload: WorkloadId(workload),
            time_left: duration(words[1]),
            tenant: TenantId(tenant),
            client_retry: words.contains(&"repeat"),
            affinity_key: words.iter().find_map(|word| word.strip_prefix("key=")?.parse().ok()),
        }));
    }

    fn end_hop(&mut self, which: &str, outcome: &str, elapsed: Micros, load: Option<ServerLoad>) {
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
        self.deliver(Event::HopEnded(HopResult { call, hop, outcome, elapsed, call_over, load }));
    }

    fn advance_to(&mut self, until: Micros) {
        while let Some(next) = (0..self.timers.len()).min_by_key(|&at| (self.timers[at].0, self.timers[at].1))
        {
            if self.timers[next].0 > until {
                break;
            }
            let (due, _, token) = self.timers.remove(next);
            self.now = due;
            self.deliver(Event::TimerFired(token));
        }
        self.now = until;
    }

    /// The workloads of `traffic` in their order, each with its latency.
    fn mix(&self, workload: &str, latency: &str) -> Vec<(String, Micros)> {
        if latency != "mixed" {
            return vec![(workload.to_string(), duration(latency))];
        }
        let part = |part: &str| {
            let (name, latency) = part.split_once(':').expect("WORKLOAD*N:LATENCY");
            let (name, times) = name.split_once('*').unwrap_or((name, "1"));
            vec![(name.to_string(), duration(latency)); times.parse().expect("a number")]
        };
        workload.split('+').flat_map(part).collect()
    }

    fn run_traffic(&mut self, count: u32, interval: Micros, mix: &[(String, Micros)]) {
        let mut in_flight: Vec<(Micros, String, Micros)> = Vec::new();
        let (mut seen, first) = (self.actions.len(), self.next_call);
        for turn in 0..=count {
            let start = self.now;
            if turn < count {
                self.call(self.next_call, &[&mix[turn as usize % mix.len()].0, "60s"]);
                self.next_call += 1;
            }
            let end = if turn < count { start + interval } else { Micros::NEVER };
            loop {
                for action in self.actions[seen..].iter().filter_map(|action| action.strip_prefix("send ")) {
                    let which = action.split(' ').next().expect("hop");
                    let latency = mix[(hop(which).0 .0.saturating_sub(first)) as usize % mix.len()].1;
                    in_flight.push((self.now + latency, which.to_string(), latency));
                }
                seen = self.actions.len();
                let due =
                    in_flight.iter().enumerate().min_by_key(|(_, (at, ..))| *at).map(|(index, _)| index);
                let Some(due) = due.filter(|&due| in_flight[due].0 <= end) else { break };
                let (at, which, latency) = in_flight.remove(due);
                self.advance_to(at);
                self.end_hop(&which, "succeeded", latency, None);
            }
            if turn < count {
                self.advance_to(end);
            }
        }
        let call_of = |action: &str| action.split([' ', '.']).nth(1).and_then(|id| id.parse::<u32>().ok());
        self.actions
            .retain(|action| action.starts_with("log ") || call_of(action).is_none_or(|id| id < 1000));
    }

    fn execute(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words[..] {
            ["place", ..] => self.configure(&words[1..]),
            ["workload", ..] => self.workload(&words[1..]),
            ["list", ..] => self.list(&words[1..]),
            ["calls", range, ..] => {
                let (first, last) = range.split_once("..").expect("FIRST..LAST");
                let range = first.parse::<u32>().expect("an id")..=last.parse().expect("an id");
                range.for_each(|id| self.call(id, &words[2..]));
            }
            ["call", id, ..] => self.call(id.parse().expect("an id"), &words[2..]),
            ["ends", which, outcome, elapsed] => self.end_hop(which, outcome, duration(elapsed), None),
            ["ends", which, outcome, elapsed, load] => {
                self.end_hop(which, outcome, duration(elapsed), Some(server_load(load)))
            }
            ["heard", server, slowdown] => {
                let known = self.servers.iter().position(|name| name == server).expect("a server");
                let server = ServerId(known as u32);
                self.deliver(Event::PeerReported { server, slowdown: slowdown.parse().expect("a slowdown") });
            }
            ["streams", which] => {
                self.deliver(Event::AnswerStarted { call: hop(which).0, hop: hop(which).1 })
            }
            ["leaves", id] => self.deliver(Event::CallWithdrawn { call: CallId(id.parse().expect("an id")) }),
            ["wait", time] => self.advance_to(self.now + duration(time)),
            ["ends-in", time] => self.deliver(Event::ShutdownBegun(self.now + duration(time))),
            ["traffic", count, workload, interval, latency] => {
                let mix = self.mix(workload, latency);
                self.run_traffic(count.parse().expect("a count"), duration(interval), &mix)
            }
            ["count"] => {
                self.sent_counts.clear();
                self.refused = 0;
            }
            ["dismissed", range] => assert_in_range(range, self.refused, "refused"),
            ["sent", server, range] => assert_in_range(
                range,
                self.sent_counts.get(server).copied().unwrap_or(0),
                &format!("sent to {server}"),
            ),
            ["expect", ..] => {
                let expected = words[1..].join(" ");
                let found = self.actions.iter().position(|action| action.starts_with(&expected));
                self.actions.remove(found.unwrap_or_else(|| panic!("not among {:?}", self.actions)));
            }
            ["never", ..] => {
                let expected = words[1..].join(" ");
                assert!(
                    !self.actions.iter().any(|action| action.starts_with(&expected)),
                    "among {:?}",
                    self.actions
                );
            }
            ["quiet"] => {
                self.actions.retain(|action| !action.starts_with("log "));
                assert!(self.actions.is_empty(), "left: {:?}", self.actions);
            }
            _ => panic!("not a command"),
        }
    }
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    runner::run_scenarios(folder.as_ref(), 1, Runner::default, Runner::execute);
}
