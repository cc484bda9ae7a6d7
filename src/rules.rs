//! All decisions of a balancer. Build a [`Balancer`] from a [`BalancerConfig`] and a seed, pass each event
//! with the present time to [`Balancer::on`], and execute the actions that it appends, in their order. It
//! reads no clock. `docs/design.md` lists the rules of the design and the departures from it.
use crate::fleet::{Fleet, ServerClass};
use crate::records::*;
use crate::types::*;
use crate::{OutcomeCounts, RetryBudgetWindow, SeededRng, SmoothedRate, TokenBucket, WindowedQuantile};
use fnv::FnvHashMap;
use std::collections::BTreeMap;
use CallState::*;
use Effect::*;
use Input::*;

/// The window over which the hedging threshold is measured.
const LATENCY_WINDOW: Micros = Micros::millis(30_000);
/// A hop may be hedged once it takes longer than this quantile of recent answers.
const HEDGE_QUANTILE: f64 = 0.95;
/// With fewer samples there is no hedging threshold.
const MIN_LATENCY_SAMPLES: u32 = 20;
/// Tokens for hedges and retries that each first hop adds.
const RETRY_TOKENS_PER_CALL: f64 = 0.2;
/// The limit on saved tokens: enough to retry through a burst of failures.
const MAX_RETRY_TOKENS: f64 = 8.0;
/// The share of the configured retry budget that a call with almost no payoff may use.
const MIN_BUDGET_SHARE: f64 = 0.5;
/// Within this share of the retry budget's window at most half of the budget is spent.
const BUDGET_BURST_SHARE: f64 = 0.25;
/// The trip rate is twice the long-run failure rate, and at least this. Hedging pauses above it (the design's
/// factor SuppressAt is 1).
const MIN_TRIP_RATE: f64 = 0.05;
/// With fewer recent outcomes hedging is not paused.
const MIN_OUTCOMES: f64 = 10.0;
/// The latency relative to the workload's baseline above which servers count as congested.
const CONGESTED_RATIO: f64 = 1.65;
/// The relative latency below which they no longer count as congested.
const RECOVERED_RATIO: f64 = 1.45;
/// The relative latency above which the concurrency limit may fall to the calls that are needed on average,
/// without an allowance for their scatter.
const SEVERE_RATIO: f64 = 2.4;
/// A workload is slow if more than this share of its hops takes longer than the hedging threshold, and less
/// than half this share of the hops of all others.
const SLOW_WORKLOAD_SHARE: f64 = 0.6;
/// The limit on a slow workload's open hops, as a share of the concurrency limit. It applies in addition to
/// the concurrency limit, which does not count these hops.
const SLOW_WORKLOAD_LIMIT: f64 = 0.25;
/// Answers needed to detect congestion: a balancer that gets so many per second detects it within a second.
const ANSWERS_TO_DETECT: f64 = 24.0;
/// The share of the quoted time that a call may spend in the queue.
const QUEUE_TIME_SHARE: f64 = 0.6;
/// Priority factor of clients' retries, which have lost part of their quoted time already, and of slow
/// workloads.
const LOW_PRIORITY: f64 = 0.1;
/// The duration of a server's first ejection; each further one is twice as long.
const FIRST_EJECTION: Micros = Micros::millis(1_500);
/// While calls are queued, how often free capacity is looked for without any other event.
const QUEUE_POLL_INTERVAL: Micros = Micros::millis(25);
/// The period of [`Balancer::tick`].
const TICK: Micros = Micros::millis(1_000);
/// The least capacity of the subset, in servers, for a balancer that sends almost nothing.
const MIN_SUBSET: f64 = 5.0;
/// The weight of a server of another zone in the random order of the ring; a local server's is 1.
const REMOTE_ZONE_WEIGHT: f64 = 0.1;
/// A key has one home server for so many ready servers, and at least one.
const SERVERS_PER_HOME: usize = 30;
/// The rates that tenants may use at this balancer add up to at least this many times its usual rate.
const TENANT_HEADROOM: f64 = 1.2;
/// How many times less loaded than the homes another server must be to take a key's call.
const OVERFLOW_LOAD_RATIO: f64 = 3.0;
/// The factor on the load of a server in another zone, where traffic between zones has a cost.
const REMOTE_ZONE_LOAD: f64 = 1.2;
/// The least change of a slowdown that is reported to the other balancers, as a binary logarithm: 1 is a
/// doubling or halving.
const REPORTED_CHANGE: f64 = 1.0;
/// The slowdown at the servers above which calls are shed.
const TARGET_SLOWDOWN: f64 = 2.2;
/// How much one answer changes the share of calls that is shed.
const SHED_GAIN: f64 = 0.1;
/// The slowdown assumed of a server that refuses a call without executing it.
const REFUSAL_SLOWDOWN: f64 = 4.0;
/// Each server is in the subsets of at least so many balancers, so that differences between balancers even
/// out.
const MIN_SUBSETS_PER_SERVER: f64 = 4.0;

/// What happens to an API call.
#[rustfmt::skip]
#[derive(Clone, Copy, PartialEq, Debug)]
enum Input { CapacityFree, NoCapacity, Rejected, HedgeDue, Answered, OneHopFailed, RetryableFailure, FinalFailure, Withdrawn }
/// What the balancer does about it.
#[rustfmt::skip]
#[derive(Clone, Copy, PartialEq, Debug)]
enum Effect { Send, Enqueue, Hedge, Retry, Refuse, CancelHops, Nothing }

/// The state machine of an API call. An input without a row is ignored.
const CALL_TRANSITIONS: &[(CallState, Input, CallState, Effect)] = &[
    (New, CapacityFree, InFlight, Send),
    (New, NoCapacity, Queued, Enqueue),
    (New, Rejected, Done, Refuse),
    (Queued, CapacityFree, InFlight, Send),
    (Queued, Rejected, Done, Refuse),
    (Queued, Withdrawn, Done, CancelHops),
    (InFlight, HedgeDue, Hedged, Hedge),
    (InFlight, Answered, Done, CancelHops),
    (InFlight, RetryableFailure, InFlight, Retry),
    (InFlight, NoCapacity, Queued, Enqueue),
    (InFlight, FinalFailure, Done, Refuse),
    (InFlight, Withdrawn, Done, CancelHops),
    (Hedged, OneHopFailed, InFlight, Nothing),
    (Hedged, Answered, Done, CancelHops),
    (Hedged, Withdrawn, Done, CancelHops),
];

/// What changes a server's health.
#[rustfmt::skip]
#[derive(Clone, Copy, PartialEq, Debug)]
enum HealthEvent { DetectedFaulty, EjectionOver, ProbationPassed, ProbationFailed }

const HEALTH_TRANSITIONS: &[(Health, HealthEvent, Health)] = &[
    (Health::Healthy, HealthEvent::DetectedFaulty, Health::Ejected),
    (Health::Ejected, HealthEvent::EjectionOver, Health::Probation),
    (Health::Probation, HealthEvent::ProbationPassed, Health::Healthy),
    (Health::Probation, HealthEvent::ProbationFailed, Health::Ejected),
];

/// The classes of servers that are tried first, second and last. Servers that have never answered count as
/// loaded like the mean of the others: if that is half a call or more, they rank with the busy servers.
const RANKS_LOW_LOAD: [&[ServerClass]; 3] = [
    &[ServerClass::IdleLocal, ServerClass::NewLocal],
    &[ServerClass::IdleRemote, ServerClass::NewRemote],
    &[ServerClass::Busy],
];
const RANKS_LOADED: [&[ServerClass]; 3] = [
    &[ServerClass::IdleLocal],
    &[ServerClass::IdleRemote],
    &[ServerClass::Busy, ServerClass::NewLocal, ServerClass::NewRemote],
];

/// One instance of the decision module.
#[derive(Default)]
pub struct Balancer {
    now: Micros,
    config: DerivedConfig,
    rng: SeededRng,
    /// A separate generator for picking servers, since the number of draws for a pick varies.
    pick_rng: SeededRng,
    pub(crate) fleet: Fleet,
    /// Added to the concurrency limit, which is then rounded down; changes with each tick.
    rounding: f64,
    /// The highest recent number of hops in flight, decaying slowly.
    peak_in_flight: f64,
    calls: FnvHashMap<CallId, Call>,
    queue: BTreeMap<(u32, u64), CallId>,
    arrivals: u64,
    /// Open hops.
    in_flight: u32,
    /// Each tenant's quota.
    tenant_buckets: Vec<TokenBucket>,
    latency: WindowedQuantile,
    congestion: Congestion,
    /// The workload whose calls alone are late, on all servers.
    slow_workload: Option<WorkloadId>,
    /// Tokens for hedges and retries.
    retry_tokens: f64,
    /// The configured retry budget, if there is one.
    retry_budget: Option<RetryBudgetWindow>,
    recent_outcomes: OutcomeCounts,
    long_run_outcomes: OutcomeCounts,
    hedging_paused: bool,
    send_rate: SmoothedRate,
    /// Successful answers per warm server.
    warm_server_rate: SmoothedRate,
    subscribed: bool,
    failed_subscriptions: u32,
    subscribe_at: Micros,
    queue_poll_set: bool,
}

// A timer token has the call in the upper bits and the timer's purpose in the lower two.
const HEDGE_TIMER: u64 = 0;
const QUEUE_TIMER: u64 = 1;
const GLOBAL_TIMER: u64 = 3;
const QUEUE_POLL: TimerToken = TimerToken(GLOBAL_TIMER);
const SUBSCRIBE: TimerToken = TimerToken(4 + GLOBAL_TIMER);
const TICK_TIMER: TimerToken = TimerToken(8 + GLOBAL_TIMER);

impl Balancer {
    /// Appends its first actions to `out`.
    pub fn new(config: &BalancerConfig, seed: u64, now: Micros, out: &mut Vec<Action>) -> Balancer {
        let derived = DerivedConfig::new(config);
        let mut balancer = Balancer {
            now,
            rng: SeededRng::new(seed),
            pick_rng: SeededRng::new(!seed),
            fleet: Fleet::new(config.local_zone),
            tenant_buckets: derived
                .tenant_rates
                .iter()
                .map(|rate| TokenBucket { tokens: 2.0 * rate, updated: now })
                .collect(),
            retry_budget: config.retry_budget.map(RetryBudgetWindow::new),
            config: derived,
            latency: WindowedQuantile::new(LATENCY_WINDOW, HEDGE_QUANTILE, MIN_LATENCY_SAMPLES),
            retry_tokens: 2.0,
            subscribed: !config.must_subscribe,
            ..Balancer::default()
        };
        out.push(Action::SetTimer { after: TICK, token: TICK_TIMER });
        balancer.subscribe_if_due(out);
        balancer
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn on(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::ListReceived { kind, entries } => self.list_received(kind, entries, out),
            Event::CallArrived(arrival) => self.call_arrived(arrival, out),
            Event::AnswerStarted { call, hop } => {
                // From now on this hop's answer is the call's answer.
                self.calls.entry(call).and_modify(|call| call.state = Done);
                self.cancel_hops(call, Some(hop), out);
            }
            Event::HopEnded(result) => self.hop_ended(result, out),
            Event::CallWithdrawn { call } => self.advance(call, Withdrawn, out),
            Event::TimeOver { call } => self.time_over(call, out),
            Event::PeerReported { server, slowdown } => self.set_slowdown(server, slowdown),
            Event::ConfigChanged(config) => return self.config_changed(config),
            Event::ShutdownBegun(answer_by) => self.shutdown_begun(answer_by, out),
            Event::TimerFired(QUEUE_POLL) => self.queue_poll_set = false,
            Event::TimerFired(SUBSCRIBE) => self.subscribe_if_due(out),
            Event::TimerFired(TICK_TIMER) => self.tick(out),
            Event::TimerFired(TimerToken(token)) => match (CallId((token >> 2) as u32), token & 3) {
                (call, HEDGE_TIMER) => self.hedge_timer_fired(call, out),
                (call, QUEUE_TIMER) => self.advance(call, Rejected, out),
                _ => {}
            },
        }
        self.send_queued(out);
    }

    /// Runs a call's state machine: applies the input, then each input that an effect returns.
    fn advance(&mut self, id: CallId, input: Input, out: &mut Vec<Action>) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let row =
                CALL_TRANSITIONS.iter().find(|(state, given, ..)| *state == call.state && *given == input);
            let Some(&(_, _, state, effect)) = row else { return };
            if call.state == Queued {
                self.queue.remove(&call.queue_key);
            }
            call.state = state;
            next = match effect {
                Send => self.send(id, false, out),
                Hedge => self.send(id, true, out),
                Retry if self.retry_tokens < 1.0 => Some(FinalFailure),
                Retry => self.send(id, false, out),
                Enqueue => self.enqueue(id, out),
                Refuse => self.refuse(id, out),
                CancelHops => self.cancel_hops(id, None, out),
                Nothing => None,
            };
        }
    }

    fn set_call_timer(call: CallId, purpose: u64, after: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after, token: TimerToken(u64::from(call.0) << 2 | purpose) });
    }

    fn config_changed(&mut self, config: &BalancerConfig) {
        self.config = DerivedConfig::new(config);
        self.retry_budget =
            RetryBudgetWindow::reconfigured(self.retry_budget.take(), config.retry_budget, self.now);
    }

    /// Shortens the deadlines of open calls, so that none is queued or sent again beyond the shutdown.
    fn shutdown_begun(&mut self, answer_by: Micros, out: &mut Vec<Action>) {
        for (id, call) in self.calls.iter_mut().filter(|(_, call)| call.deadline > answer_by) {
            (call.deadline, call.queue_deadline) = (answer_by, call.queue_deadline.min(answer_by));
            Self::set_call_timer(*id, QUEUE_TIMER, answer_by - self.now, out);
        }
    }

    // ---- API calls ----

    /// Refuses a call that is queued, and keeps one that is not from being queued or sent again.
    fn time_over(&mut self, id: CallId, out: &mut Vec<Action>) {
        if let Some(call) = self.calls.get_mut(&id) {
            (call.deadline, call.queue_deadline) =
                (call.deadline.min(self.now), call.queue_deadline.min(self.now));
        }
        self.advance(id, Rejected, out);
    }

    fn call_arrived(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival {
            call: id,
            workload: WorkloadId(workload),
            time_left,
            tenant,
            client_retry,
            affinity_key,
        } = arrival;
        let promoted = self.rng.uniform() < self.config.promoted_share;
        let settings = &self.config.workloads[workload];
        // A share of each workload's calls ranks with the highest payoff, so that the cheapest workload is
        // not starved.
        let mut priority = if promoted { self.config.max_payoff } else { settings.payoff };
        // Traffic is spread unevenly over balancers: one that gets more than the even share grants tenants
        // proportionally more.
        let factor = (TENANT_HEADROOM * self.send_rate.per_second / self.config.total_tenant_rate).max(1.0);
        let rate = self.config.tenant_rates.get(tenant.0).map_or(f64::INFINITY, |rate| rate * factor);
        let bucket = self.tenant_buckets.get_mut(tenant.0);
        if bucket.is_some_and(|bucket| !bucket.try_take(rate, 2.0 * rate.max(1.0), self.now)) {
            priority *= self.config.overage_payoff;
        }
        let slow = self.slow_workload == Some(WorkloadId(workload));
        priority *= if client_retry || slow { LOW_PRIORITY } else { 1.0 };
        let priority = (priority * 1000.0) as u32; // in thousandths, an integer for the queue's order
        self.arrivals += 1;
        self.retry_budget.iter_mut().for_each(|window| window.count_call(self.now));
        let (time_allowed, expected) =
            (settings.quoted_time.min(time_left), self.congestion.expected_latency(WorkloadId(workload)));
        let call = Call {
            workload,
            state: New,
            queue_key: (u32::MAX - priority, self.arrivals),
            affinity_key: affinity_key.filter(|_| self.config.key_affinity),
            deadline: self.now + time_left,
            queue_deadline: self.now
                + time_allowed.times(QUEUE_TIME_SHARE).min(time_allowed - expected.times(2.0)),
            max_hops: self.config.max_hops,
            hops: Vec::new(),
        };
        // A small balancer has too few calls for its queue to show congestion. If servers report it, the
        // balancer sheds its share of the calls by priority.
        let load_reports = self.config.load_reports;
        let shed = load_reports
            && self.congestion.priority_rank(priority, self.rng.uniform()) < self.congestion.shed_share;
        self.calls.insert(id, call);
        let free = self.queue.is_empty() && self.is_below_limit() && self.pick_server(id).is_some();
        let input = if free { CapacityFree } else { NoCapacity };
        let shed = shed
            || slow
                && f64::from(self.slow_workload_in_flight())
                    >= (SLOW_WORKLOAD_LIMIT * self.congestion.concurrency_limit).max(1.0);
        self.advance(id, if shed || self.fleet.ready_count() == 0 { Rejected } else { input }, out);
    }

    /// Whether one more hop fits the concurrency limit. Hops at ejected servers are not counted, or hung
    /// servers would use up the limit. The limit is rounded randomly where balancers outnumber servers:
    /// rounded up by all of them, it would be too high in total.
    fn is_below_limit(&self) -> bool {
        let limit = (self.congestion.concurrency_limit * self.remaining_fleet()).max(2.0) + self.rounding;
        f64::from(
            self.in_flight.saturating_sub(self.fleet.unhealthy_in_flight() + self.slow_workload_in_flight()),
        ) + 1.0
            <= limit
    }

    fn slow_workload_in_flight(&self) -> u32 {
        self.slow_workload
            .and_then(|workload| self.congestion.workloads.get(workload.0))
            .map_or(0, |stats| stats.in_flight)
    }

    /// Detects a workload whose calls are late on all servers, so that no server is at fault. Its calls do
    /// not count against the concurrency limit, which they would use up: they have a small limit of their
    /// own, the lowest priority and no hedges. A workload that is slow by nature is treated the same.
    fn detect_slow_workload(&mut self, out: &mut Vec<Action>) {
        let found = self.congestion.only_late_workload(SLOW_WORKLOAD_SHARE);
        if found != self.slow_workload {
            let text = format!(
                "slow on all servers: {found:?}, {:.2} of all calls late",
                self.congestion.timeliness().bad_share()
            );
            out.push(Action::log(text));
            self.slow_workload = found;
        }
    }

    /// Sends a hop; every hop is sent by this function. The call's idempotency, deadline and hop count must
    /// allow it, and [`Balancer::pick_server`] must find a server that is ready, healthy, not overloaded and,
    /// if cold, has a token left.
    fn send(&mut self, id: CallId, hedge: bool, out: &mut Vec<Action>) -> Option<Input> {
        if !self.retry_budget_allows(id) {
            return Some(if hedge { OneHopFailed } else { FinalFailure });
        }
        let Some(server) = self.pick_server(id) else {
            // A call that no server may take any more is answered at once instead of queued.
            let call = &self.calls[&id];
            let may_wait = match self.required_cell(call) {
                Some(cell) => self.fleet.in_cell(cell).any(|server| self.may_send_to(call, server)),
                None => self.fleet.subset().any(|server| self.may_send_to(call, server)),
            };
            return Some(if may_wait { NoCapacity } else { FinalFailure })
                .filter(|_| !hedge)
                .or(Some(OneHopFailed));
        };
        let now = self.now;
        let target = self.fleet.get(server)?;
        let cold = self.config.cold_share(target, now).map(|share| self.cold_tokens(target, share) - 1.0);
        let (zone, cell, health) = (target.listing.zone, target.listing.cell, target.health);
        let call = self.calls.get_mut(&id)?;
        let timeout = call.deadline - now;
        let extra = !call.hops.is_empty();
        if extra {
            self.retry_budget.iter_mut().for_each(|window| window.count_hop(now));
        }
        self.retry_tokens = if extra {
            self.retry_tokens - 1.0
        } else {
            (self.retry_tokens + RETRY_TOKENS_PER_CALL).min(MAX_RETRY_TOKENS)
        };
        call.hops.push(Hop {
            server,
            zone,
            cell,
            sent_at: now,
            outcome: None,
            past_threshold: false,
            is_hedge: hedge,
        });
        out.push(Action::Send { call: id, server, timeout });
        self.in_flight += 1;
        self.congestion.workload(WorkloadId(call.workload)).in_flight += 1;
        self.peak_in_flight = self.peak_in_flight.max(f64::from(self.in_flight));
        self.send_rate.count += 1.0;
        self.fleet.update(server, |target| {
            target.in_flight += 1;
            target.cold_bucket =
                cold.map_or(target.cold_bucket, |tokens| TokenBucket { tokens, updated: now });
        });
        if cold.is_some() {
            self.update_blocked_until(server);
        }
        if health == Health::Ejected {
            self.change_health(server, HealthEvent::EjectionOver, "its ejection is over".into(), out);
        }
        if !hedge {
            let threshold = self.latency.get(now).unwrap_or(timeout);
            Self::set_call_timer(id, HEDGE_TIMER, threshold.min(timeout), out);
        }
        None
    }

    /// Whether the configured retry budget allows another hop. The lower a call's payoff, the smaller the
    /// part of the budget that it may use. At most half of the budget may be used within a short time, so
    /// that the first failures do not use it up.
    fn retry_budget_allows(&mut self, id: CallId) -> bool {
        let (Some(window), Some(call)) = (&mut self.retry_budget, self.calls.get(&id)) else { return true };
        if call.hops.is_empty() {
            return true;
        }
        let relative_payoff = self.config.workloads[call.workload].payoff / self.config.max_payoff.max(1e-9);
        let (allowed, now) = (window.allowed(self.now), self.now);
        let share = allowed * (MIN_BUDGET_SHARE + (1.0 - MIN_BUDGET_SHARE) * relative_payoff);
        let recent = window.used_within(window.budget.window.times(BUDGET_BURST_SHARE), now) as f64;
        window.used(now) as f64 + 1.0 <= share && recent + 1.0 <= (0.5 * allowed).max(1.0)
    }

    fn enqueue(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let call = &self.calls[&id];
        if self.now >= call.queue_deadline {
            return Some(Rejected);
        }
        self.queue.insert(call.queue_key, id);
        Self::set_call_timer(id, QUEUE_TIMER, call.queue_deadline - self.now, out);
        // A call that would miss its queue deadline is refused at once instead of later. The estimate: slots
        // become free at a rate of limit / latency, and half of them go to new calls of higher priority, if
        // there can be any.
        while let Some((_, &last)) = self.queue.iter().next_back() {
            let per_call = self
                .congestion
                .recent
                .median()
                .unwrap_or_default()
                .times(1.0 / self.congestion.concurrency_limit.max(1.0));
            let call = &self.calls[&last];
            let overtaken = if call.queue_key.0 == u32::MAX - (self.config.max_payoff * 1000.0) as u32 {
                1.0
            } else {
                2.0
            };
            if self.now + per_call.times(overtaken * self.queue.len() as f64) <= call.queue_deadline {
                break;
            }
            if last == id {
                return Some(Rejected);
            }
            self.advance(last, Rejected, out);
        }
        None
    }

    /// Sends queued calls while the concurrency limit allows it.
    fn send_queued(&mut self, out: &mut Vec<Action>) {
        while self.is_below_limit() {
            let first: Vec<CallId> = self.queue.values().copied().take(4).collect();
            let Some(id) = first.into_iter().find(|&id| self.pick_server(id).is_some()) else { break };
            self.advance(id, CapacityFree, out);
        }
        if !self.queue.is_empty() && !self.queue_poll_set {
            self.queue_poll_set = true;
            out.push(Action::SetTimer { after: QUEUE_POLL_INTERVAL, token: QUEUE_POLL });
        }
    }

    /// Answers a call without success: refuses it if the client may safely repeat it, else fails it.
    fn refuse(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let call = &self.calls[&id];
        let repeatable = match self.config.workloads[call.workload].idempotency {
            Idempotency::Idempotent | Idempotency::ByKey { scope: DedupScope::All, .. } => true,
            _ => !call.hops.iter().any(Hop::may_have_run),
        };
        if repeatable {
            let delay =
                self.config.workloads[call.workload].quoted_time.times(0.05 + 0.1 * self.rng.uniform());
            let retry_after = delay.min(self.config.max_retry_after);
            out.push(Action::Refuse { call: id, retry_after });
        } else {
            out.push(Action::Fail { call: id });
        }
        self.cancel_hops(id, None, out)
    }

    /// Cancels the open hops of a finished call, if cancelling is allowed; their ends are not counted as
    /// outcomes.
    fn cancel_hops(&mut self, id: CallId, keep: Option<HopNo>, out: &mut Vec<Action>) -> Option<Input> {
        let hops = self.calls.get(&id)?.hops.iter().zip(0..);
        let open: Vec<HopNo> =
            hops.filter(|(hop, _)| hop.is_open()).map(|(_, number)| HopNo(number)).collect();
        if open.is_empty() {
            self.calls.remove(&id);
        } else if self.config.may_cancel {
            let superfluous = open.into_iter().filter(|hop| keep != Some(*hop));
            out.extend(superfluous.map(|hop| Action::Cancel { call: id, hop }));
        }
        None
    }

    fn hedge_timer_fired(&mut self, id: CallId, out: &mut Vec<Action>) {
        let threshold = self.latency.get(self.now);
        let (Some(threshold), Some(call)) = (threshold, self.calls.get_mut(&id)) else { return };
        let time_left = call.deadline - self.now;
        if call.state != InFlight || time_left.0 == 0 {
            return;
        }
        let Some(hop) = call.hops.last_mut().filter(|hop| hop.is_open() && !hop.is_hedge) else { return };
        let age = self.now - hop.sent_at;
        if age < threshold {
            return Self::set_call_timer(id, HEDGE_TIMER, (threshold - age).min(time_left), out);
        }
        let (server, workload) = (hop.server, WorkloadId(call.workload));
        if !std::mem::replace(&mut hop.past_threshold, true) {
            self.congestion.workload(workload).timeliness.add(false);
            if self.slow_workload != Some(workload) && !self.is_cold(server) {
                self.record_outcome(server, false, out);
            }
        }
        // No hedges under congestion: if all servers slow down together, the threshold is out of date and
        // nearly every call would be hedged, but the congestion measure reacts at once. A hop at an ejected
        // server is hedged anyway.
        let at_unhealthy_server =
            self.fleet.get(server).is_some_and(|server| server.health != Health::Healthy);
        let uncongested = !self.congestion.congested && self.queue.is_empty() && self.is_below_limit();
        let may_hedge = self.config.may_hedge && (uncongested || at_unhealthy_server) && !self.hedging_paused;
        let may_hedge = may_hedge && self.slow_workload != Some(workload);
        if may_hedge
            && self.retry_tokens >= 1.0
            && self.retry_budget_allows(id)
            && self.pick_server(id).is_some()
        {
            self.advance(id, HedgeDue, out);
        } else {
            Self::set_call_timer(id, HEDGE_TIMER, threshold.min(time_left), out);
        }
    }

    fn hop_ended(&mut self, result: HopResult, out: &mut Vec<Action>) {
        let HopResult { call: id, hop: HopNo(number), outcome, call_over, .. } = result;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let repeatable = self.config.workloads[call.workload].idempotency != Idempotency::NonIdempotent;
        let workload = WorkloadId(call.workload);
        let (state, deadline, hops_left) = (call.state, call.deadline, call.hops.len() < call.max_hops);
        let Some(hop) = call.hops.get_mut(number as usize).filter(|hop| hop.is_open()) else { return };
        hop.outcome = Some(outcome);
        let (server, past_threshold) = (hop.server, hop.past_threshold);
        let any_open = call.hops.iter().any(Hop::is_open);
        self.in_flight -= 1;
        self.congestion.workload(workload).in_flight -= 1;
        self.fleet.update(server, |known| known.in_flight -= 1);
        let gone = |known: &Server| known.in_flight == 0 && known.listing.status == ServerStatus::Gone;
        if self.fleet.get(server).is_some_and(gone) {
            self.fleet.remove(server);
        }
        // A cancelled hop, or one that ends after its call, says nothing about the server.
        if state != Done && outcome != Outcome::Cancelled && outcome != Outcome::NotSent {
            self.record_hop(server, workload, &result, past_threshold, out);
        }
        if state == Done && !any_open {
            self.calls.remove(&id);
        }
        let input = match outcome {
            Outcome::Succeeded => Answered,
            _ if call_over => Withdrawn,
            _ if any_open => OneHopFailed,
            _ if hops_left && (repeatable || outcome.proves_not_run()) && self.now < deadline => {
                RetryableFailure
            }
            _ => FinalFailure,
        };
        self.advance(id, input, out);
    }

    // ---- servers ----

    /// Whether the server is ready, got no hop of this call yet, and a hop to it cannot cause a
    /// harmful second execution.
    fn may_send_to(&self, call: &Call, server: &Server) -> bool {
        let ListedServer { server: id, zone, cell, status, .. } = server.listing;
        let idempotency = self.config.workloads[call.workload].idempotency;
        let harmless = |hop: &Hop| match idempotency {
            _ if !hop.may_have_run() => true,
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::ByKey { window, .. } if self.now >= hop.sent_at + window => false,
            Idempotency::ByKey { scope: DedupScope::All, .. } => true,
            Idempotency::ByKey { scope: DedupScope::Zone, .. } => hop.zone == zone,
            Idempotency::ByKey { scope: DedupScope::Cell, .. } => hop.cell == cell,
        };
        status == ServerStatus::Ready && call.hops.iter().all(|hop| hop.server != id && harmless(hop))
    }

    /// The only cell to which the call may be sent again, if its idempotency key is known in one cell only.
    fn required_cell(&self, call: &Call) -> Option<CellId> {
        let idempotency = self.config.workloads[call.workload].idempotency;
        let cell_scoped = matches!(idempotency, Idempotency::ByKey { scope: DedupScope::Cell, .. });
        call.hops.iter().find(|hop| cell_scoped && hop.may_have_run()).map(|hop| hop.cell)
    }

    /// Picks a random server that holds none of this balancer's calls, first in the local zone if traffic
    /// between zones has a cost; if there is none, the less loaded of two random servers. A server that has
    /// never answered counts as loaded like the mean of the others.
    fn pick_server(&mut self, id: CallId) -> Option<ServerId> {
        while let Some(unblocked) = self.fleet.next_unblocked(self.now) {
            self.update_blocked_until(unblocked);
        }
        let call = self.calls.get(&id)?;
        if call.hops.len() >= call.max_hops || self.now >= call.deadline {
            return None;
        }
        let (limit_per_weight, mean, cell) =
            (self.limit_per_weight(), self.fleet.mean_in_flight(), self.required_cell(call));
        let in_flight =
            |server: &Server| f64::from(server.in_flight) + if server.has_answered { 0.0 } else { mean };
        let remote =
            |server: &Server| self.config.local_zone.is_some_and(|local| local != server.listing.zone);
        let load = |server: &Server| {
            let factor =
                server.current_slowdown(self.now) * if remote(server) { REMOTE_ZONE_LOAD } else { 1.0 };
            (in_flight(server) + 1.0) * factor / server.effective_weight()
        };
        let suitable =
            |server: &Server| self.may_send_to(call, server) && self.has_capacity(server, limit_per_weight);
        let mut rng = self.pick_rng.clone();
        let home = call.affinity_key.and_then(|key| self.pick_home(key, &mut rng, &suitable, &load));
        let mut draw = |classes| self.fleet.pick_random(classes, cell, &mut rng, &suitable);
        let [first, second, last]: [&[ServerClass]; 3] =
            if mean < 0.5 { RANKS_LOW_LOAD } else { RANKS_LOADED };
        let mut pick = |classes, best_of_two: bool| {
            let one = draw(classes)?;
            Some(less_loaded(one, if best_of_two { draw(classes)? } else { one }, &load))
        };
        let load_reports = self.config.load_reports;
        let found = home
            .or_else(|| pick(first, load_reports))
            .or_else(|| pick(second, load_reports))
            .or_else(|| pick(last, true));
        debug_assert!({
            let rank = |server: &Server| if in_flight(server) < 0.5 { u8::from(remote(server)) } else { 2 };
            let best = self.fleet.subset().filter(|server| suitable(server)).map(rank).min();
            home.is_some() || best == found.map(rank)
        });
        let found = found.map(|server| server.listing.server);
        self.pick_rng = rng;
        found
    }

    /// Where servers work faster with a key they know: picks the less loaded of two of the key's home
    /// servers, which are the first in an order that is the same at every balancer. If both are overloaded
    /// and another server is far less loaded, that one takes the call, for keys with more calls than their
    /// homes can take.
    fn pick_home<'a>(
        &'a self, key: u64, rng: &mut SeededRng, suitable: &impl Fn(&Server) -> bool,
        load: &impl Fn(&Server) -> f64,
    ) -> Option<&'a Server> {
        let homes = (self.fleet.ready_count() / SERVERS_PER_HOME).max(1);
        let servers = self.fleet.preferred_for_key(key, 2 * homes + 1, suitable);
        let (first, next) = servers.split_at(homes.min(servers.len()));
        let mut draw = |among: &[&'a Server]| (!among.is_empty()).then(|| among[rng.below(among.len())]);
        let home = less_loaded(draw(first)?, draw(first)?, load);
        let other = draw(next).zip(draw(next)).map(|(one, other)| less_loaded(one, other, load));
        let other = other
            .filter(|other| load(home) >= TARGET_SLOWDOWN && load(other) * OVERFLOW_LOAD_RATIO < load(home));
        Some(other.unwrap_or(home))
    }

    /// Computes when the server may be sent to again: its ejection is over and, if it is cold, it has a
    /// token. The time is never too late. It may be too early, and is computed again when it has come.
    fn update_blocked_until(&mut self, id: ServerId) {
        let Some(server) = self.fleet.get(id) else { return };
        let ejected = if server.health == Health::Ejected { server.ejected_until } else { Micros(0) };
        let due = |share| {
            let missing = 1.0 - self.cold_tokens(server, share);
            let wait = if missing > 0.0 { missing / self.cold_rate_and_burst(share).0 } else { 0.0 };
            (self.now + Micros((wait * 1e6) as u64)).min(server.listing.started + self.config.warm_up_time)
        };
        let cold = self.config.cold_share(server, self.now).map_or(Micros(0), |share| {
            let latest = due(share).max(self.now);
            due(self.config.cold_share(server, latest).unwrap_or(1.0))
        });
        self.fleet.update(id, |server| server.blocked_until = ejected.max(cold));
    }

    /// The limit on open hops at one server, per unit of its effective weight: half more than its even share.
    /// Weight factors are relative to the highest one, so that the limits do not fall if all servers slow
    /// down together.
    fn limit_per_weight(&self) -> f64 {
        let fleet = &self.fleet;
        1.5 * self.congestion.concurrency_limit * self.remaining_fleet()
            / fleet.subset_weight()
            / fleet.max_weight_factor()
    }

    /// The share of the recent fleet that is still ready and healthy. The recent weight decays slowly, so
    /// that the concurrency limit of many servers is not applied to the few that are left.
    fn remaining_fleet(&self) -> f64 {
        let usable = self.fleet.usable_weight();
        usable / self.congestion.fleet_weight.max(usable)
    }

    /// Chooses the balancer's subset of the ring: if it used all servers, every balancer would hold
    /// connections to each of them and get few answers from each. The subset has a capacity of nearly one
    /// server per call in flight at the peak. Cold servers count by their capacity and ejected ones not at
    /// all, so that the subset extends past them. It is rebuilt at each tick and adjusted to `changed`
    /// servers in between.
    fn update_subset(&mut self, changed: Option<&[ServerId]>) {
        let (all, share, config, now) =
            (self.fleet.ready_count(), self.config.instance_share, &self.config, self.now);
        let wanted =
            (0.8 * self.peak_in_flight).max(MIN_SUBSET).max(MIN_SUBSETS_PER_SERVER * all as f64 * share);
        let wanted = if config.key_affinity { all as f64 } else { wanted };
        let start = config.local_zone.map_or(all as f64 * share * config.instance_index, |_| 0.0) as usize;
        let capacity = |server: &Server| match server.health {
            Health::Healthy => config.cold_share(server, now).unwrap_or(1.0),
            _ => 0.0,
        };
        match changed {
            Some(changed) => self.fleet.adjust_subset(start, wanted, changed, capacity),
            None => self.fleet.rebuild_subset(start, wanted, capacity),
        }
    }

    /// Whether the server may get one more hop, by its health, its share of the concurrency limit and, if it
    /// is cold, its tokens.
    fn has_capacity(&self, server: &Server, limit_per_weight: f64) -> bool {
        let limit = (limit_per_weight * server.effective_weight()).ceil().max(1.0);
        let health_allows = match server.health {
            Health::Healthy => true,
            Health::Ejected => self.now >= server.ejected_until && server.in_flight == 0,
            Health::Probation => server.in_flight == 0,
        };
        let below = |limit: f64| health_allows && f64::from(server.in_flight) < limit;
        let Some(share) = self.config.cold_share(server, self.now) else { return below(limit) };
        self.cold_tokens(server, share) >= 1.0 && below((limit * share).floor().max(1.0))
    }

    /// A cold server gets its share of the calls that this balancer sends to a warm one, and at least a few
    /// calls per collapse window from all balancers together. Returns the rate of its token bucket and the
    /// burst.
    fn cold_rate_and_burst(&self, share: f64) -> (f64, f64) {
        let window = self.config.collapse_window.secs();
        let rate = (self.warm_server_rate.per_second * share).max(4.0 * self.config.instance_share / window);
        (rate, rate * window * 0.5)
    }

    /// The calls that may be sent to a cold server now. Half a collapse window's worth may be saved. If that
    /// is less than one call, a saved call expires after one window, so that a thousand balancers do not each
    /// send a saved call at once.
    fn cold_tokens(&self, server: &Server, share: f64) -> f64 {
        let (rate, burst) = self.cold_rate_and_burst(share);
        let bucket = &server.cold_bucket;
        if burst < 1.0 {
            bucket.available_expiring(rate, 1.0 + 2.0 * burst, self.now)
        } else {
            bucket.available(rate, burst, self.now)
        }
    }

    /// Whether the server has started so recently that slow answers are expected of it.
    fn is_cold(&self, id: ServerId) -> bool {
        self.fleet.get(id).is_some_and(|server| self.config.cold_share(server, self.now).is_some())
    }

    /// Updates all statistics with a hop that ended before its call.
    fn record_hop(
        &mut self, id: ServerId, workload: WorkloadId, result: &HopResult, past_threshold: bool,
        out: &mut Vec<Action>,
    ) {
        let HopResult { outcome, elapsed, .. } = *result;
        let good = outcome == Outcome::Succeeded;
        self.recent_outcomes.add(good);
        self.long_run_outcomes.add(good);
        // A server that is slower than the baseline for most calls gets fewer of them: it would be the first
        // to become overloaded.
        let slow =
            elapsed.0 as f64 > CONGESTED_RATIO * self.congestion.all.baseline_us.unwrap_or(f64::INFINITY);
        let refused = Some(REFUSAL_SLOWDOWN).filter(|_| outcome == Outcome::Full);
        let slowdown =
            refused.or_else(|| result.load.and_then(|load| self.congestion.reported_slowdown(&load)));
        let slowdown = slowdown.filter(|_| self.config.load_reports);
        if let Some((slowdown, known)) = slowdown.zip(self.fleet.get(id).map(|server| server.slowdown)) {
            let report = self.config.peer_messages && (slowdown / known).log2().abs() >= REPORTED_CHANGE;
            out.extend(report.then_some(Action::TellPeers { server: id, slowdown }));
            self.set_slowdown(id, slowdown);
        }
        let warm = self.fleet.update(id, |server| {
            // A server that is full by its reported load is not faulty.
            server.unreachable = outcome.proves_not_run() && slowdown.is_none();
            if good {
                server.record_answer(slow);
            }
            self.config.cold_share(server, self.now).is_none()
        });
        let change = slowdown
            .map_or(0.0, |slowdown| SHED_GAIN * (slowdown.min(REFUSAL_SLOWDOWN) / TARGET_SLOWDOWN).ln());
        self.congestion.shed_share = (self.congestion.shed_share + change).clamp(0.0, 0.9);
        self.warm_server_rate.count += f64::from(u8::from(good && warm == Some(true)));
        if good && !past_threshold {
            self.congestion.workload(workload).timeliness.add(true);
        }
        if good && self.slow_workload != Some(workload) {
            self.latency.record(self.now, elapsed);
            self.update_concurrency_limit(elapsed, workload, out);
        }
        if !(good && past_threshold) {
            self.record_outcome(id, good, out);
        }
        self.update_hedging_pause(out);
    }

    fn set_slowdown(&mut self, id: ServerId, slowdown: f64) {
        self.fleet.update(id, |server| (server.slowdown, server.slowdown_at) = (slowdown.max(1.0), self.now));
    }

    /// Pauses hedging while the failure rate is above the trip rate.
    fn update_hedging_pause(&mut self, out: &mut Vec<Action>) {
        let trip = (2.0 * self.long_run_outcomes.bad_share()).max(MIN_TRIP_RATE);
        let rate = self.recent_outcomes.bad_share();
        let enough_outcomes = self.recent_outcomes.total() >= MIN_OUTCOMES && self.recent_outcomes.bad >= 2.0;
        let pause = enough_outcomes && rate > trip;
        if pause != self.hedging_paused {
            self.hedging_paused = pause;
            let word = if pause { "paused" } else { "resumed" };
            out.push(Action::log(format!("hedging {word}: {rate:.3} of hops failed, trip rate {trip:.3}")));
        }
    }

    /// Adapts the concurrency limit to the latency of an answer. If latency is above a multiple of its
    /// baseline, more calls in flight would only queue in the servers and overload them. The limit is never
    /// lower than the usual rate needs.
    fn update_concurrency_limit(&mut self, elapsed: Micros, workload: WorkloadId, out: &mut Vec<Action>) {
        let (usable, remaining) = (self.fleet.usable_count(), self.remaining_fleet());
        let congestion = &mut self.congestion;
        let Some((median, baseline)) = congestion.record_latency(elapsed, workload) else { return };
        let ratio = congestion.latency_ratio();
        let by_latency = ratio > if congestion.congested { RECOVERED_RATIO } else { CONGESTED_RATIO };
        let congested = if self.config.load_reports { congestion.shed_share > 0.0 } else { by_latency };
        // By Little's law the calls in flight are the rate times the mean latency, with a scatter of its
        // square root. A limit without either would refuse calls under normal load, when a few long calls use
        // it up. With load reports it is arrivals that are limited, by shedding, and the concurrency limit is
        // wider.
        let (load_reports, detection) =
            (self.config.load_reports, (self.send_rate.per_second / ANSWERS_TO_DETECT).min(1.0));
        let mean_factor =
            if load_reports { 1.0 } else { congestion.all.histogram.mean_to_median().clamp(1.0, 4.0) };
        let needed = self.send_rate.per_second * baseline / 1e6 * remaining * mean_factor;
        let usual = if load_reports { 1.0 + 2.4 * needed + 3.0 * needed.sqrt() } else { needed };
        let floor = usual.max(2.0 * usable * self.config.instance_share).max(2.0);
        // A balancer with few answers per second detects congestion late: many such limits, opened wide in
        // the meantime, would add up.
        let scatter = if load_reports { 0.0 } else { needed.sqrt() * detection };
        let ceiling = floor * (1.0 + self.send_rate.per_second / 80.0).min(1.5) + 0.5 + scatter;
        if congested {
            congestion.was_congested = true;
            let least = if ratio > SEVERE_RATIO { floor } else { floor + scatter };
            congestion.concurrency_limit = (congestion.concurrency_limit * 0.97).max(least);
        } else if congestion.concurrency_limit < ceiling
            && f64::from(self.in_flight) + 1.0 >= congestion.concurrency_limit * 0.8
        {
            congestion.concurrency_limit +=
                if congestion.was_congested { 2.0 / congestion.concurrency_limit } else { 0.1 };
        }
        if congested != congestion.congested {
            congestion.congested = congested;
            let word = if congested { "crowded" } else { "calm" };
            let (median_ms, baseline_ms, limit) =
                (median / 1e3, baseline / 1e3, congestion.concurrency_limit);
            let text = format!(
                "{word}: latency {ratio:.2} times the baseline, median {median_ms:.0} against {baseline_ms:.0} ms, concurrency limit {limit:.1}"
            );
            out.push(Action::log(text));
        }
    }

    /// Records whether a hop was good, and ejects the server if its outcomes are much worse than those of the
    /// others. Never more than half of the ready servers are ejected.
    fn record_outcome(&mut self, id: ServerId, good: bool, out: &mut Vec<Action>) {
        let others = self.fleet.outcomes_of_others(id).bad_share();
        let ready = self.fleet.ready_count() as f64;
        let ejected = ready - self.fleet.usable_count();
        let recorded = self.fleet.update(id, |server| {
            server.outcomes.add(good);
            let rate = server.outcomes.bad_share();
            let worse = server.outcomes.bad >= 3.0 && rate > 0.6 && rate > 3.0 * others;
            if server.outcomes.total() > 16.0 {
                server.outcomes.decay(0.5);
            }
            (rate, worse || server.unreachable, server.health)
        });
        let Some((rate, faulty, health)) = recorded else { return };
        let may_eject = faulty && 2.0 * (ejected + 1.0) <= ready;
        let event = match (health, good) {
            (Health::Healthy, false) if may_eject => HealthEvent::DetectedFaulty,
            (Health::Probation, true) => HealthEvent::ProbationPassed,
            (Health::Probation, false) => HealthEvent::ProbationFailed,
            _ => return,
        };
        self.change_health(id, event, format!("{rate:.2} of its hops bad, {others:.2} of the others'"), out);
    }

    fn change_health(&mut self, id: ServerId, event: HealthEvent, reason: String, out: &mut Vec<Action>) {
        let now = self.now;
        let change = |server: &mut Server| {
            let row = HEALTH_TRANSITIONS
                .iter()
                .find(|(health, given, _)| *health == server.health && *given == event);
            let &(_, _, health) = row?;
            server.health = health;
            if health == Health::Ejected {
                // A server that has never answered and cannot be reached is ejected for longer: other balancers
                // may hold all its connections. One that was only slow may be cold.
                let never_reached = server.unreachable && !server.has_answered;
                let doublings = server.ejections.min(3) + if never_reached { 3 } else { 0 };
                server.ejected_until = now + FIRST_EJECTION.times(f64::from(1 << doublings));
                server.ejections += 1;
            } else if health == Health::Healthy {
                (server.outcomes, server.ejections) = (OutcomeCounts { good: 1.0, bad: 0.0 }, 0);
            }
            Some(health)
        };
        let Some(health) = self.fleet.update(id, change).flatten() else { return };
        self.update_blocked_until(id);
        out.push(Action::Log { text: format!("server {}: {reason}", health.log_name()), server: Some(id) });
        self.update_subset(Some(&[id]));
    }

    // ---- the server list ----

    /// Keeps the subscription to the server list. A request that gets no response is repeated as well.
    fn subscribe_if_due(&mut self, out: &mut Vec<Action>) {
        if !self.subscribed && self.now >= self.subscribe_at {
            self.subscribe_at = self.now + self.config.resubscribe_interval;
            out.push(Action::Subscribe);
        }
    }

    fn list_received(&mut self, kind: ListKind, entries: &[ListedServer], out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            (self.subscribed, self.failed_subscriptions) = (false, self.failed_subscriptions + 1);
            let longest =
                Micros::millis(250 << self.failed_subscriptions.min(6)).min(self.config.resubscribe_interval);
            let after = longest.times(0.5 + 0.5 * self.rng.uniform());
            self.subscribe_at = self.now + after;
            let text = || Action::log(format!("list failed, subscribing again in {:.2} s", after.secs()));
            out.extend((self.failed_subscriptions == 1).then(text));
            return out.push(Action::SetTimer { after, token: SUBSCRIBE });
        }
        if kind != ListKind::Cached {
            (self.subscribed, self.failed_subscriptions) = (true, 0);
        }
        // The random first fill spreads the first sends of many balancers, so that they do not reach a cold
        // server at once.
        let cold_bucket = || TokenBucket { tokens: 1.0 - self.rng.uniform(), updated: self.now };
        let whole = kind != ListKind::Changes;
        self.fleet.apply_list(whole, entries, |listing| ring_position(&self.config, listing), cold_bucket);
        let changed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        self.update_subset(Some(&changed).filter(|_| !whole).map(Vec::as_slice));
        changed.into_iter().for_each(|id| self.update_blocked_until(id));
        self.congestion.fleet_weight = self.congestion.fleet_weight.max(self.fleet.usable_weight());
        if !self.congestion.was_congested {
            self.congestion.concurrency_limit = self
                .congestion
                .concurrency_limit
                .max(4.0 * self.fleet.usable_count() * self.config.instance_share)
                .max(2.0);
        }
    }

    /// Periodic work: decays statistics, rebuilds the subset and renews the subscription.
    fn tick(&mut self, out: &mut Vec<Action>) {
        self.peak_in_flight *= 0.98;
        // The more balancers there are for each server, the more of the rounding is random.
        let random_part = 0.5 / self.config.instance_share / self.fleet.usable_count().max(1.0);
        self.rounding = 0.999 - self.rng.uniform() * random_part.min(1.0);
        self.update_subset(None);
        let warm =
            |server: &&Server| server.is_usable() && self.config.cold_share(server, self.now).is_none();
        let warm = self.fleet.subset().filter(warm).count() as f64;
        if warm > 0.0 {
            self.warm_server_rate.count /= warm;
            self.warm_server_rate.end_period(TICK, 0.25);
        }
        let cold = |server: &&Server| self.config.cold_share(server, self.now).is_some();
        let cold: Vec<_> = self.fleet.all().filter(cold).map(|server| server.listing.server).collect();
        cold.into_iter().for_each(|id| self.update_blocked_until(id));
        // The reduced rate under congestion must not become the usual rate, or the limit would shrink step by
        // step.
        let weight = if self.congestion.congested { 0.0 } else { 0.1 };
        self.send_rate.end_period(TICK, weight);
        self.congestion.fleet_weight *= 0.99;
        self.congestion.initialize_baselines();
        self.congestion.workloads.iter_mut().for_each(|stats| stats.timeliness.decay(0.8));
        self.detect_slow_workload(out);
        self.recent_outcomes.decay(0.9);
        if self.long_run_outcomes.total() > 2000.0 {
            self.long_run_outcomes.decay(0.5);
        }
        self.update_hedging_pause(out);
        self.subscribe_if_due(out);
        out.push(Action::SetTimer { after: TICK, token: TICK_TIMER });
    }
}

/// A server's position on the ring. If traffic between zones has a cost, the ring is one of this balancer
/// alone, in a pseudo-random order in which servers of other zones rarely come before local ones.
fn ring_position(config: &DerivedConfig, listing: &ListedServer) -> (u64, u64) {
    let Some(local) = config.local_zone else { return listing.ring_position() };
    listing.private_ring_position(
        config.instance_index as u64,
        if listing.zone == local { 1.0 } else { REMOTE_ZONE_WEIGHT },
    )
}

fn less_loaded<'a>(one: &'a Server, other: &'a Server, load: &impl Fn(&Server) -> f64) -> &'a Server {
    if load(one) > load(other) {
        other
    } else {
        one
    }
}
