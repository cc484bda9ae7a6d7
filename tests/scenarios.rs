//! Runs every file in `tests/scenarios` on the decision module. A file is a list of commands:
//!
//! - `config KEY=VALUE ...`, the first command, sets the balancer's configuration. The keys are fields of
//!   [`BalancerConfig`]: instances, instance_index, local_zone, tenant_quotas, max_hops, max_retry_after,
//!   load_reports, peer_messages, key_affinity, resubscribe_within (sets must_subscribe too), cold_capacity,
//!   warm_up_time, collapse_window and retry_budget=BASE:RATIO:WINDOW; `hedging` and `cancelling` set may_hedge
//!   and may_cancel
//! - `workload NAME IDEMPOTENCY QUOTED_TIME PAYOFF`; IDEMPOTENCY is idempotent, non_idempotent or
//!   keyed:SCOPE:WINDOW, where SCOPE is all, zone or cell
//! - `list whole|changes|cached|failed SERVER ...` delivers a server list; SERVER is
//!   NAME[:cell=N][:zone=N][:weight=X][:draining|:gone][:just_started]
//! - `call ID WORKLOAD TIME_LEFT [tenant=N] [key=N] [client_retry]`: a call arrives; `calls FIRST..LAST ...`:
//!   several calls with these ids
//! - `hop_ended ID.HOP OUTCOME ELAPSED [load=OPEN:QUEUED]`; `answer_started ID.HOP`: the first bytes of a
//!   streamed answer came
//! - `call_withdrawn ID`: the client stopped waiting
//! - `peer_reported SERVER SLOWDOWN`: another balancer reported a server's slowdown
//! - `wait DURATION`: time passes, and timers fire when they are due
//! - `shutdown DURATION`: the balancer shuts down, and open calls must have their answers by then
//! - `traffic COUNT WORKLOAD INTERVAL LATENCY`: COUNT calls with ids from 1000, one per INTERVAL; each of their
//!   hops succeeds LATENCY after it is sent. With `mixed` for LATENCY, WORKLOAD is NAME*N:LATENCY+NAME*N:LATENCY:
//!   in turn N calls of the first workload and N of the second. The actions for these calls are not kept for
//!   `expect`
//! - `expect ACTION`: the balancer took such an action since the start; removes it, so that each action matches
//!   once. `never ACTION`: no such action is left
//! - `no_other_actions`: every action but log lines was expected; drops the log lines
//! - `sent SERVER LEAST..MOST`: the number of hops sent to a server; `refused LEAST..MOST`: the number of calls
//!   refused. Both count since the start or the last `reset_counts`
//!
//! ACTION is a prefix of: send ID.HOP SERVER, cancel ID.HOP, refuse ID retry_soon|retry_later (retry_soon if
//! the retry-after time is under half a second), fail ID, subscribe, tell_peers SERVER, log TEXT.
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
    /// The actions that no command has removed yet, in the notation.
    actions: Vec<String>,
    /// Hops sent for each call.
    hop_counts: BTreeMap<u32, u32>,
    /// Hops sent to each server, and calls refused, since `reset_counts`.
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
    let parse = |text: &str| text.parse().ok().and_then(ServerLoad::plausible);
    ServerLoad { open_calls: parse(open_calls), queued_calls: parse(queued_calls), cpu_utilization: None }
}

/// Parses `BASE:RATIO:WINDOW`, or `no`.
fn retry_budget(text: &str) -> Option<RetryBudget> {
    let parts: Vec<&str> = text.split(':').collect();
    let [base, ratio, window] = parts[..] else { return None };
    let number = |text: &str| text.parse().expect("a number");
    Some(RetryBudget { base: number(base), ratio: number(ratio), window: duration(window) })
}

/// Asserts that a count is in the range `LEAST..MOST`.
fn assert_in_range(range: &str, count: u32, counted: &str) {
    let (least, most) = range.split_once("..").expect("LEAST..MOST");
    let range = least.parse().expect("least")..=most.parse().expect("most");
    assert!(range.contains(&count), "{count} {counted}");
}

fn hop(text: &str) -> (CallId, HopNo) {
    let (call, hop) = text.split_once('.').expect("ID.HOP");
    (CallId(call.parse().expect("an id")), HopNo(hop.parse().expect("a hop")))
}

impl Runner {
    fn configure(&mut self, settings: &[&str]) {
        let get = |key: &str, default: &str| {
            let found = settings.iter().find_map(|setting| setting.strip_prefix(key)?.strip_prefix('='));
            found.unwrap_or(default).to_string()
        };
        let number = |key: &str, default: &str| get(key, default).parse::<f64>().expect("a number");
        self.config = Some(BalancerConfig {
            instances: number("instances", "2") as u32,
            instance_index: number("instance_index", "0") as u32,
            local_zone: get("local_zone", "no").parse().ok().map(ZoneId),
            workloads: Vec::new(),
            tenant_quotas: get("tenant_quotas", "1000")
                .split(',')
                .map(|rate| rate.parse().expect("a rate"))
                .collect(),
            overage_payoff: 0.1,
            worst_workload_weight: 0.0,
            max_hops: number("max_hops", "4") as u32,
            retry_budget: retry_budget(&get("retry_budget", "no")),
            may_cancel: get("cancelling", "yes") == "yes",
            may_hedge: get("hedging", "yes") == "yes",
            max_retry_after: duration(&get("max_retry_after", "2s")),
            load_reports: get("load_reports", "no") == "yes",
            peer_messages: get("peer_messages", "no") == "yes",
            key_affinity: get("key_affinity", "no") == "yes",
            must_subscribe: get("resubscribe_within", "none") != "none",
            resubscribe_within: duration(&get("resubscribe_within", "0s").replace("none", "0s")),
            cold_capacity: number("cold_capacity", "0.3"),
            warm_up_time: duration(&get("warm_up_time", "10s")),
            collapse_window: duration(&get("collapse_window", "1s")),
        });
        self.now = Micros::millis(100_000);
        self.next_call = 1000;
    }

    fn workload(&mut self, args: &[&str]) {
        let parts: Vec<&str> = args[1].split(':').collect();
        let scope = |name| match name {
            "all" => DedupScope::All,
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            other => panic!("unknown scope {other}"),
        };
        let idempotency = match parts[..] {
            ["idempotent"] => Idempotency::Idempotent,
            ["non_idempotent"] => Idempotency::NonIdempotent,
            ["keyed", name, window] => Idempotency::ByKey { scope: scope(name), window: duration(window) },
            _ => panic!("unknown idempotency {}", args[1]),
        };
        self.workloads.push(args[0].to_string());
        let payoff = args[3].parse().expect("payoff");
        let workload = Workload { idempotency, quoted_time: duration(args[2]), payoff };
        self.config.as_mut().expect("config first").workloads.push(workload);
    }

    fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        if self.balancer.is_none() {
            let config = self.config.as_ref().expect("config first");
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
                        "refuse {} {}",
                        call.0,
                        if retry_after < duration("0.5s") { "retry_soon" } else { "retry_later" }
                    )
                }
                Action::Fail { call } => format!("fail {}", call.0),
                Action::Subscribe => "subscribe".to_string(),
                Action::TellPeers { server, .. } => format!("tell_peers {}", self.servers[server.0 as usize]),
                Action::Log { text, .. } => format!("log {text}"),
            };
            self.actions.push(action);
        }
    }

    fn list(&mut self, args: &[&str]) {
        let kind = match args[0] {
            "whole" => ListKind::Whole,
            "changes" => ListKind::Changes,
            "cached" => ListKind::Cached,
            _ => ListKind::Failed,
        };
        let entries: Vec<ListedServer> = args[1..].iter().map(|arg| self.listing(arg)).collect();
        self.deliver(Event::ListReceived { kind, entries: &entries });
    }

    fn listing(&mut self, text: &str) -> ListedServer {
        let parts: Vec<&str> = text.split(':').collect();
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
            zone: ZoneId(number("zone").unwrap_or(0.0) as u32),
            cell: CellId(number("cell").unwrap_or(0.0) as u32),
            status,
            weight: number("weight").unwrap_or(1.0),
            name_hash: known as u64,
            started: if parts.contains(&"just_started") { self.now } else { Micros(0) },
        }
    }

    fn call(&mut self, id: u32, args: &[&str]) {
        let workload = self.workloads.iter().position(|name| name == args[0]).expect("a workload");
        let tenant = args.iter().find_map(|arg| arg.strip_prefix("tenant=")?.parse().ok()).unwrap_or(0);
        self.deliver(Event::CallArrived(Arrival {
            call: CallId(id),
            workload: WorkloadId(workload),
            time_left: duration(args[1]),
            tenant: TenantId(tenant),
            client_retry: args.contains(&"client_retry"),
            affinity_key: args.iter().find_map(|arg| arg.strip_prefix("key=")?.parse().ok()),
        }));
    }

    fn end_hop(&mut self, hop_id: &str, outcome: &str, elapsed: Micros, load: Option<ServerLoad>) {
        let (call, hop) = hop(hop_id);
        let outcome = match outcome {
            "succeeded" => Outcome::Succeeded,
            "errored" => Outcome::Errored,
            "full" => Outcome::Full,
            "timed_out" => Outcome::TimedOut,
            "no_connection" => Outcome::NoConnection,
            "broken" => Outcome::Broken,
            "cancelled" => Outcome::Cancelled,
            other => panic!("unknown outcome {other}"),
        };
        let call_over = matches!(outcome, Outcome::Succeeded | Outcome::Cancelled);
        self.deliver(Event::HopEnded(HopResult { call, hop, outcome, elapsed, call_over, load }));
    }

    fn advance_to(&mut self, until: Micros) {
        while let Some(next) =
            (0..self.timers.len()).min_by_key(|&index| (self.timers[index].0, self.timers[index].1))
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

    /// The workloads that `traffic` sends in turn, each with its latency.
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

    /// Sends the calls and ends their hops. Their actions are removed afterwards, so that no later command
    /// matches them; log lines stay.
    fn run_traffic(&mut self, count: u32, interval: Micros, mix: &[(String, Micros)]) {
        let mut in_flight: Vec<(Micros, String, Micros)> = Vec::new();
        let (mut seen, first) = (self.actions.len(), self.next_call);
        for index in 0..=count {
            let start = self.now;
            if index < count {
                self.call(self.next_call, &[&mix[index as usize % mix.len()].0, "60s"]);
                self.next_call += 1;
            }
            let end = if index < count { start + interval } else { Micros::NEVER };
            loop {
                for action in self.actions[seen..].iter().filter_map(|action| action.strip_prefix("send ")) {
                    let hop_id = action.split(' ').next().expect("ID.HOP");
                    let latency = mix[(hop(hop_id).0 .0.saturating_sub(first)) as usize % mix.len()].1;
                    in_flight.push((self.now + latency, hop_id.to_string(), latency));
                }
                seen = self.actions.len();
                let next = in_flight
                    .iter()
                    .enumerate()
                    .min_by_key(|(_, (due, ..))| *due)
                    .map(|(position, _)| position);
                let Some(next) = next.filter(|&next| in_flight[next].0 <= end) else { break };
                let (due, hop_id, latency) = in_flight.remove(next);
                self.advance_to(due);
                self.end_hop(&hop_id, "succeeded", latency, None);
            }
            if index < count {
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
            ["config", ..] => self.configure(&words[1..]),
            ["workload", ..] => self.workload(&words[1..]),
            ["list", ..] => self.list(&words[1..]),
            ["calls", range, ..] => {
                let (first, last) = range.split_once("..").expect("FIRST..LAST");
                let range = first.parse::<u32>().expect("an id")..=last.parse().expect("an id");
                range.for_each(|id| self.call(id, &words[2..]));
            }
            ["call", id, ..] => self.call(id.parse().expect("an id"), &words[2..]),
            ["hop_ended", hop_id, outcome, elapsed] => self.end_hop(hop_id, outcome, duration(elapsed), None),
            ["hop_ended", hop_id, outcome, elapsed, load] => {
                self.end_hop(hop_id, outcome, duration(elapsed), Some(server_load(load)))
            }
            ["peer_reported", server, slowdown] => {
                let known = self.servers.iter().position(|name| name == server).expect("a server");
                let server = ServerId(known as u32);
                self.deliver(Event::PeerReported { server, slowdown: slowdown.parse().expect("a slowdown") });
            }
            ["answer_started", hop_id] => {
                self.deliver(Event::AnswerStarted { call: hop(hop_id).0, hop: hop(hop_id).1 })
            }
            ["call_withdrawn", id] => {
                self.deliver(Event::CallWithdrawn { call: CallId(id.parse().expect("an id")) })
            }
            ["wait", time] => self.advance_to(self.now + duration(time)),
            ["time_over", call] => {
                self.deliver(Event::TimeOver { call: CallId(call.parse().expect("a call")) })
            }
            ["shutdown", time] => self.deliver(Event::ShutdownBegun(self.now + duration(time))),
            ["traffic", count, workload, interval, latency] => {
                let mix = self.mix(workload, latency);
                self.run_traffic(count.parse().expect("a count"), duration(interval), &mix)
            }
            ["reset_counts"] => {
                self.sent_counts.clear();
                self.refused = 0;
            }
            ["refused", range] => assert_in_range(range, self.refused, "refused"),
            ["sent", server, range] => assert_in_range(
                range,
                self.sent_counts.get(server).copied().unwrap_or(0),
                &format!("sent to {server}"),
            ),
            ["expect", ..] => {
                let expected = words[1..].join(" ");
                let found = self.actions.iter().position(|action| action.starts_with(&expected));
                self.actions.remove(found.unwrap_or_else(|| panic!("not in {:?}", self.actions)));
            }
            ["never", ..] => {
                let expected = words[1..].join(" ");
                assert!(
                    !self.actions.iter().any(|action| action.starts_with(&expected)),
                    "found in {:?}",
                    self.actions
                );
            }
            ["no_other_actions"] => {
                self.actions.retain(|action| !action.starts_with("log "));
                assert!(self.actions.is_empty(), "unexpected actions: {:?}", self.actions);
            }
            _ => panic!("unknown command"),
        }
    }
}

#[test]
fn scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    runner::run_scenarios(folder.as_ref(), 1, Runner::default, Runner::execute);
}
