//! The task that owns one worker's decision module. All other code reaches it through a bounded queue of
//! [`DispatcherMessage`]s. It passes each message to the module as an event and executes, in order, the actions that
//! the module returns. It makes no decisions itself, and knows the protocol only through [`Protocol`].
use crate::endpoint_list::{self, EndpointList, PeerDrains};
use crate::endpoint_registry::MaintenanceMark;
use crate::lease::Lease;
use crate::limits::Gauge;
use crate::list_deadline::ListDeadline;
use crate::metrics::{AttemptKind, RefusalReason};
use crate::monitor::Monitor;
use crate::oneshot::{self, oneshot};
use crate::reactor::Timer;
use crate::start_time::{ListArrival, StartWindow};
use crate::tasks::Tasks;
use crate::timers::{duration, Clock, Timers};
use crate::workload_ids::{ClassId, Restriction};
use async_channel::{bounded, Receiver, Sender};
use async_executor::Task;
use fnv::FnvHashMap;
use futures_lite::{future, StreamExt};
use oakhollow::rules::Balancer;
use oakhollow::types::*;
use oakhollow_config::{DiscoveryList, LearnedHealth, MaintenanceMarks, NoLeasePolicy, Settings};
use oakhollow_guard::AttemptPermit;
use slog::{info, Logger};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// What the dispatcher needs of a protocol.
pub trait Protocol: 'static {
    /// A client's request as attempts send it, kept for as long as attempts may be started.
    type Content: 'static;
    /// An endpoint's answer.
    type Answer: 'static;

    /// Makes one attempt and waits until it ends, at the latest at `deadline`. Dropping the future cancels it.
    fn attempt(
        &self, permit: AttemptPermit, content: Rc<Self::Content>, address: SocketAddr, deadline: Instant,
        progress: Rc<AttemptProgress>,
    ) -> impl Future<Output = AttemptEnd<Self::Answer>> + 'static;

    /// Stops new attempts at this address.
    fn retire(&self, address: SocketAddr);
}

/// How far an attempt has got with sending its request.
#[derive(Default)]
pub struct AttemptProgress {
    /// The first byte may have been written, so the attempt can no longer be forbidden.
    pub send_started: Cell<bool>,
    /// When the last byte was written. Before that no server can have run the request.
    pub fully_sent_at: Cell<Option<Instant>>,
}

/// The load report that came with an attempt's answer.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LoadReport {
    Absent,
    Valid(ServerLoad),
    /// A report that can't be parsed; it is counted, and otherwise treated as absent.
    Malformed,
}

/// How an attempt ended.
pub struct AttemptEnd<A> {
    pub outcome: Outcome,
    pub answer: Option<A>,
    pub load_report: LoadReport,
    /// How long the server took, if that differs from the time since the attempt started.
    pub elapsed: Option<Micros>,
}

/// The final result of a request, from which the protocol makes its one answer.
pub enum RequestOutcome<A> {
    /// An endpoint's answer.
    Served(A),
    /// No server has run the request; the client may send it again after this time.
    Refused { retry_after: Micros },
    /// There is no answer to pass on, and a server may have run the request.
    Failed,
}

/// What the decision module needs to know of a request.
pub struct RequestParams {
    pub workload: WorkloadId,
    pub class: ClassId,
    pub tenant: TenantId,
    /// The client says that it repeats an earlier request.
    pub client_retry: bool,
    /// When the request must be answered.
    pub deadline: Micros,
    /// The limit of attempts when the request was read.
    pub max_attempts: usize,
    /// The key of the data that the request is about, where servers answer known keys faster.
    pub affinity_key: Option<u64>,
}

/// A request that a client connection hands to the dispatcher.
pub struct NewRequest<P: Protocol> {
    pub request: CallId,
    pub params: RequestParams,
    pub content: Rc<P::Content>,
    pub reply_to: oneshot::Sender<RequestOutcome<P::Answer>>,
}

/// A message to the dispatcher.
pub enum DispatcherMessage<P: Protocol> {
    /// A client has sent a request.
    NewRequest(NewRequest<P>),
    /// The client of a request has gone.
    Withdrawn(CallId),
    /// The time of a request is over, earlier than its arrival told.
    TimeOver(CallId),
    /// An attempt has ended.
    AttemptEnded { request: CallId, attempt: HopNo, end: AttemptEnd<P::Answer> },
    /// A list from discovery, or the failure to get one.
    ApplyList(ListKind, Arc<DiscoveryList>, ListArrival),
    /// An endpoint was put into maintenance, or taken out of it. The sender is dropped once that is applied.
    ApplyMaintenance(MaintenanceMark, Sender<()>),
    /// New settings, and the restrictions on open requests of workloads that the new settings change or drop. The
    /// sender is dropped once they are applied.
    ApplySettings(Box<BalancerConfig>, FnvHashMap<ClassId, Restriction>, Option<Sender<()>>),
    /// The endpoints that drain by other instances' lists. The sender is dropped once that is applied.
    ApplyPeerDrains(Arc<PeerDrains>, Sender<()>),
    /// The lease has begun or expired, or the list may no longer be used.
    RecheckDeadlines,
    /// Asks for what the module has learned about the endpoints.
    ExportLearned(Sender<LearnedHealth>),
    /// The process is shutting down: every request must be answered by this time.
    SetAnswerDeadline(Micros),
    /// The time set by [`DispatcherMessage::SetAnswerDeadline`] has passed.
    AnswerDeadlinePassed,
}

/// Sends messages to the dispatcher, and holds the state that others read without a message.
pub struct DispatcherHandle<P: Protocol> {
    messages: Sender<DispatcherMessage<P>>,
    pub clock: Clock,
    next_id: Cell<u32>,
    /// The number of requests submitted and not yet answered.
    pub open_requests: Gauge,
    /// Whether the list has an endpoint that may be sent to.
    pub has_ready_endpoint: Cell<bool>,
}

/// The length of the queue; senders wait when it is full.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Messages handled in a row before the timers are polled again, so that a queue that never empties can't starve
/// them.
const MAX_MESSAGES_IN_A_ROW: usize = 32;

impl<P: Protocol> DispatcherHandle<P> {
    /// `open_requests` counts the requests submitted and not yet answered.
    pub fn new(
        clock: Clock, open_requests: Gauge,
    ) -> (Rc<DispatcherHandle<P>>, Receiver<DispatcherMessage<P>>) {
        let (messages, receiver) = bounded(MAX_QUEUED_MESSAGES);
        let (next_id, has_ready_endpoint) = (Cell::new(0), Cell::new(false));
        (Rc::new(DispatcherHandle { messages, clock, next_id, open_requests, has_ready_endpoint }), receiver)
    }

    /// Sends a message; waits while the queue is full.
    pub async fn send(&self, message: DispatcherMessage<P>) {
        // The dispatcher ends last; a message after its end needs no handling.
        let _ = self.messages.send(message).await;
    }

    /// The id of the next request.
    pub fn next_request_id(&self) -> CallId {
        CallId(self.next_id.replace(self.next_id.get().wrapping_add(1)))
    }

    /// Submits a request; its outcome arrives at the receiver returned.
    pub async fn submit(
        &self, request: CallId, params: RequestParams, content: P::Content,
    ) -> oneshot::Receiver<RequestOutcome<P::Answer>> {
        let (reply_to, outcome) = oneshot();
        self.open_requests.increment();
        self.send(DispatcherMessage::NewRequest(NewRequest {
            request,
            params,
            content: Rc::new(content),
            reply_to,
        }))
        .await;
        outcome
    }
}

/// A request that is open, or has an attempt running.
struct RequestState<P: Protocol> {
    class: ClassId,
    content: Rc<P::Content>,
    deadline: Micros,
    max_attempts: usize,
    /// Receives the outcome; none once the request is answered or withdrawn.
    reply_to: Option<oneshot::Sender<RequestOutcome<P::Answer>>>,
    attempts: Vec<AttemptState>,
}

/// An attempt of a request.
struct AttemptState {
    started_at: Micros,
    /// Whether a task was spawned for it; false if the attempt was not allowed or could not be started.
    spawned: bool,
    server: ServerId,
    progress: Rc<AttemptProgress>,
    kind: AttemptKind,
    /// The task that makes the attempt, until it ends.
    running: Option<Task<()>>,
}

/// Owns a worker's decision module, its timers and the state of its requests.
pub struct Dispatcher<P: Protocol> {
    protocol: Rc<P>,
    handle: Rc<DispatcherHandle<P>>,
    tasks: Tasks,
    log: Logger,
    subscribe: Sender<()>,
    endpoints: EndpointList,
    timers: Timers,
    balancer: Balancer,
    requests: FnvHashMap<CallId, RequestState<P>>,
    actions: Vec<Action>,
    /// Attempts that were ended while an action was executed. They are reported to the module after that action.
    pending_ends: VecDeque<(CallId, HopNo, Outcome)>,
    /// The number of load reports that could not be parsed.
    malformed_reports: u64,
    lease: Lease,
    list_deadline: ListDeadline,
    /// Whether the list may not be used until a new one arrives.
    list_stale: bool,
    monitor: Rc<Monitor>,
    /// Whether the module was last told that no attempt may be started.
    sending_suspended: bool,
    /// The restrictions on open requests of workloads that the settings have changed or dropped.
    restrictions: FnvHashMap<ClassId, Restriction>,
    max_attempts: usize,
    warm_up_time: Micros,
    /// Every request must be answered by this time.
    answer_deadline: Micros,
}

/// The parts of a [`Dispatcher`].
pub struct Parts<P: Protocol> {
    pub protocol: Rc<P>,
    pub handle: Rc<DispatcherHandle<P>>,
    pub tasks: Tasks,
    pub log: Logger,
    /// Requests a subscription to the list.
    pub subscribe: Sender<()>,
    pub lease: Lease,
    /// The time until which the list may be used.
    pub list_deadline: ListDeadline,
    /// Records every event, and says whether an attempt may be started.
    pub monitor: Rc<Monitor>,
    /// What the predecessor process learned about the endpoints.
    pub learned: LearnedHealth,
}

impl<P: Protocol> Dispatcher<P> {
    /// A dispatcher that starts with the list and the maintenance marks that are known already.
    pub fn new(
        settings: &Settings, seed: u64, initial: (&DiscoveryList, MaintenanceMarks), parts: Parts<P>,
    ) -> Dispatcher<P> {
        let Parts { protocol, handle, tasks, log, subscribe, lease, list_deadline, monitor, learned } = parts;
        let (mut actions, now, (known_list, marks)) = (Vec::new(), handle.clock.now(), initial);
        let mut dispatcher = Dispatcher {
            balancer: Balancer::new(&settings.balancer, seed, now, &mut actions),
            timers: Timers::new(handle.clock),
            endpoints: EndpointList::new(&settings.zones, marks),
            requests: FnvHashMap::default(),
            pending_ends: VecDeque::new(),
            malformed_reports: 0,
            lease,
            list_deadline,
            list_stale: false,
            monitor,
            sending_suspended: false,
            restrictions: FnvHashMap::default(),
            max_attempts: settings.balancer.max_hops as usize,
            warm_up_time: settings.balancer.warm_up_time,
            answer_deadline: Micros::NEVER,
            actions,
            protocol,
            handle,
            tasks,
            log,
            subscribe,
        };
        dispatcher.execute_actions();
        let changes =
            dispatcher.endpoints.apply_list(known_list, StartWindow { latest: now, earliest: None });
        dispatcher.apply_listings(ListKind::Cached, changes);
        for (name, health) in &learned {
            if let Some(id) = dispatcher.endpoints.id(name) {
                dispatcher.balancer.restore_server_health(id, health);
            }
        }
        let changes = dispatcher.endpoints.all_listings();
        dispatcher.apply_listings(ListKind::Cached, changes);
        // Otherwise the process could report that it is ready before it may send.
        dispatcher.recheck_deadlines();
        dispatcher
    }

    /// Runs until every [`DispatcherHandle`] is dropped.
    pub async fn run(mut self, messages: Receiver<DispatcherMessage<P>>) {
        loop {
            let timer = async { self.timers.next().await.map(Ok) };
            let message = async { messages.recv().await.ok().map(Err) };
            match future::or(timer, message).await {
                Some(Ok(token)) => {
                    self.recheck_deadlines();
                    self.handle_event(Event::TimerFired(token));
                }
                Some(Err(message)) => {
                    self.handle_message(message);
                    // Handles the messages that are already queued before the timers are polled again.
                    for _ in 0..MAX_MESSAGES_IN_A_ROW {
                        let Ok(message) = messages.try_recv() else { break };
                        self.handle_message(message);
                    }
                }
                None => return,
            }
        }
    }

    /// Checks the lease and the list's deadline, and suspends or resumes sending accordingly. While sending is
    /// suspended the module sees every endpoint as draining.
    fn recheck_deadlines(&mut self) {
        let now = || self.handle.clock.now();
        // Stays set until a new list arrives: the deadline is moved before the new list is applied.
        self.list_stale |= self.list_deadline.has_passed(now);
        let sending_suspended = self.list_stale || self.lease.forbids_sending(now);
        if sending_suspended == self.sending_suspended {
            return;
        }
        self.sending_suspended = sending_suspended;
        let changes = self.endpoints.set_sending_suspended(sending_suspended);
        self.apply_listings(ListKind::Cached, changes);
        if self.list_stale {
            self.end_waiting_attempts(|_, _, _| true);
        }
    }

    fn handle_message(&mut self, message: DispatcherMessage<P>) {
        self.recheck_deadlines();
        match message {
            DispatcherMessage::NewRequest(NewRequest { request, params, content, reply_to }) => {
                let RequestParams {
                    workload,
                    class,
                    tenant,
                    client_retry,
                    deadline,
                    max_attempts,
                    affinity_key,
                } = params;
                // The request may have been submitted before the answer deadline was set.
                let deadline = deadline.min(self.answer_deadline);
                let time_left = deadline - self.handle.clock.now();
                let state = RequestState {
                    class,
                    content,
                    deadline,
                    max_attempts,
                    reply_to: Some(reply_to),
                    attempts: Vec::new(),
                };
                self.requests.insert(request, state);
                self.monitor.queued(request);
                self.handle_event(Event::CallArrived(Arrival {
                    call: request,
                    workload,
                    time_left,
                    tenant,
                    client_retry,
                    affinity_key,
                }));
            }
            DispatcherMessage::Withdrawn(request) => {
                if self.requests.get_mut(&request).is_some_and(|state| state.reply_to.take().is_some()) {
                    self.handle.open_requests.decrement();
                    self.cancel_unsent_attempts(request);
                    self.handle_event(Event::CallWithdrawn { call: request });
                    self.remove_if_finished(request);
                }
            }
            DispatcherMessage::TimeOver(request) => {
                let now = self.handle.clock.now();
                let open = self.requests.get_mut(&request).filter(|state| state.reply_to.is_some());
                let Some(state) = open else { return };
                state.deadline = state.deadline.min(now);
                self.handle_event(Event::TimeOver { call: request });
                self.time_out_attempts(request);
                self.report_pending_ends();
            }
            DispatcherMessage::AttemptEnded {
                request,
                attempt,
                end: AttemptEnd { outcome, answer, load_report, elapsed },
            } => {
                let running = self
                    .requests
                    .get_mut(&request)
                    .and_then(|state| state.attempts.get_mut(attempt.0 as usize));
                // An attempt that was just cancelled has already been counted.
                if let Some(kind) = running.and_then(|attempt| attempt.running.take().map(|_| attempt.kind)) {
                    self.monitor.attempt_ended(request, attempt, kind, outcome);
                    if let Some(answer) = answer {
                        self.answer_request(request, RequestOutcome::Served(answer));
                    }
                    let report = self.accept_load_report(load_report);
                    self.attempt_ended(request, attempt, outcome, (report, elapsed));
                    self.report_pending_ends();
                }
            }
            DispatcherMessage::ApplyList(kind, list, arrival) => {
                let clock = self.handle.clock;
                let earliest = arrival.complete_until.map(|until| clock.micros_at(until));
                let changes = self
                    .endpoints
                    .apply_list(&list, StartWindow { latest: clock.micros_at(arrival.at), earliest });
                let delay_ms = arrival.at.elapsed().as_millis();
                info!(
                    self.log,
                    "list applied: version {}, {:?}, {} ms after it came", list.index.0, kind, delay_ms
                );
                self.apply_listings(kind, changes);
                if kind != ListKind::Failed {
                    self.list_stale = false;
                    self.recheck_deadlines();
                }
            }
            DispatcherMessage::ExportLearned(reply_to) => {
                let with_name = |(id, health)| (self.endpoints.name(id).to_string(), health);
                let servers = self.balancer.server_health().map(with_name).collect();
                let _ = reply_to.try_send(servers);
            }
            DispatcherMessage::RecheckDeadlines => {}
            DispatcherMessage::SetAnswerDeadline(deadline) => {
                self.monitor.shutdown_begun(deadline);
                self.answer_deadline = deadline;
                self.requests
                    .values_mut()
                    .for_each(|request| request.deadline = request.deadline.min(deadline));
                let (handle, time_left) = (self.handle.clone(), duration(deadline - self.handle.clock.now()));
                self.tasks.spawn_detached(async move {
                    Timer::after(time_left).await;
                    handle.send(DispatcherMessage::AnswerDeadlinePassed).await;
                });
                self.handle_event(Event::ShutdownBegun(deadline));
            }
            DispatcherMessage::AnswerDeadlinePassed => {
                // Running attempts may have been started with a later deadline, so they are ended here.
                let open = self.requests.iter().filter(|(_, request)| request.reply_to.is_some());
                let open: Vec<CallId> = open.map(|(id, _)| *id).collect();
                open.into_iter().for_each(|id| self.time_out_attempts(id));
                self.report_pending_ends();
            }
            DispatcherMessage::ApplySettings(config, restrictions, applied) => {
                self.restrictions = restrictions;
                (self.max_attempts, self.warm_up_time) = (config.max_hops as usize, config.warm_up_time);
                self.handle_event(Event::ConfigChanged(&config));
                let changes = self.endpoints.all_listings();
                self.apply_listings(ListKind::Cached, changes);
                self.end_forbidden_attempts();
                drop(applied);
            }
            DispatcherMessage::ApplyPeerDrains(drains, applied) => {
                let changes = self.endpoints.apply_peer_drains(drains);
                self.apply_listings(ListKind::Cached, changes);
                drop(applied);
            }
            DispatcherMessage::ApplyMaintenance(mark, applied) => {
                let changes = self.endpoints.apply_maintenance(&mark);
                // `Cached`, because discovery has sent nothing.
                self.apply_listings(ListKind::Cached, changes);
                drop(applied);
            }
        }
    }

    /// Tells the module and the protocol about changed endpoints.
    fn apply_listings(&mut self, kind: ListKind, changes: endpoint_list::EndpointChanges) {
        changes.listings.iter().for_each(|listing| self.monitor.server_listed(listing));
        self.handle_event(Event::ListReceived { kind, entries: &changes.listings });
        changes.retired.into_iter().for_each(|address| self.protocol.retire(address));
        self.handle.has_ready_endpoint.set(self.endpoints.any_ready());
    }

    /// Passes an event to the module and executes the actions that it returns.
    fn handle_event(&mut self, event: Event) {
        self.balancer.on(self.handle.clock.now(), event, &mut self.actions);
        self.execute_actions();
        self.report_pending_ends();
    }

    /// Tells the module of the attempts that its own actions have ended.
    fn report_pending_ends(&mut self) {
        while let Some((request, attempt, outcome)) = self.pending_ends.pop_front() {
            self.attempt_ended(request, attempt, outcome, (None, None));
        }
    }

    /// Returns a valid load report. Malformed ones are counted, and logged at the first, second, fourth, eighth ...
    /// one.
    fn accept_load_report(&mut self, report: LoadReport) -> Option<ServerLoad> {
        match report {
            LoadReport::Absent => None,
            LoadReport::Valid(report) => Some(report),
            LoadReport::Malformed => {
                self.malformed_reports += 1;
                if self.malformed_reports.is_power_of_two() {
                    info!(self.log, "load report not read, {} so far", self.malformed_reports);
                }
                None
            }
        }
    }

    /// Tells the module that an attempt has ended.
    fn attempt_ended(
        &mut self, request: CallId, attempt: HopNo, outcome: Outcome,
        measured: (Option<ServerLoad>, Option<Micros>),
    ) {
        let (now, (load, elapsed)) = (self.handle.clock.now(), measured);
        let Some(state) = self.requests.get(&request) else { return };
        let elapsed = elapsed.unwrap_or(now - state.attempts[attempt.0 as usize].started_at);
        let call_over = state.reply_to.is_none();
        self.balancer.on(
            now,
            Event::HopEnded(HopResult { call: request, hop: attempt, outcome, elapsed, call_over, load }),
            &mut self.actions,
        );
        self.execute_actions();
        self.remove_if_finished(request);
    }

    /// Removes a request that is answered and has no running attempt.
    fn remove_if_finished(&mut self, request: CallId) {
        let state = self.requests.get(&request);
        let finished = state.is_some_and(|state| {
            state.reply_to.is_none() && state.attempts.iter().all(|attempt| attempt.running.is_none())
        });
        if finished && !self.pending_ends.iter().any(|(ended, ..)| *ended == request) {
            self.requests.remove(&request);
        }
    }

    /// Gives a request its outcome, unless it has one, and cancels its unsent attempts.
    fn answer_request(&mut self, request: CallId, result: RequestOutcome<P::Answer>) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        if let Some(reply_to) = state.reply_to.take() {
            self.handle.open_requests.decrement();
            // If the client has gone, its connection sends a `Withdrawn` message.
            reply_to.send(result);
            self.cancel_unsent_attempts(request);
        }
    }

    /// Cancels the attempts of a finished request that no server can have run yet. Otherwise, where the module may not
    /// cancel attempts, one that is still connecting or has written only part of its request would be sent after the
    /// request has ended.
    fn cancel_unsent_attempts(&mut self, request: CallId) {
        self.end_attempts(request, |fully_sent| (!fully_sent).then_some(Outcome::Cancelled));
    }

    /// Ends an attempt, if it is still running.
    fn end_attempt(&mut self, request: CallId, attempt: HopNo, outcome: Outcome) {
        let state =
            self.requests.get_mut(&request).and_then(|state| state.attempts.get_mut(attempt.0 as usize));
        if let Some(kind) = state.and_then(|state| state.running.take().map(|_| state.kind)) {
            self.monitor.attempt_ended(request, attempt, kind, outcome);
            self.pending_ends.push_back((request, attempt, outcome));
        }
    }

    /// Ends the running attempts of a request. `outcome` is called with whether the request was written in full, so
    /// that a server may have run it, and returns the attempt's outcome; without one the attempt goes on.
    fn end_attempts(&mut self, request: CallId, outcome: impl Fn(bool) -> Option<Outcome>) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        for (attempt, number) in state.attempts.iter_mut().zip(0..) {
            let Some(outcome) = outcome(attempt.progress.fully_sent_at.get().is_some()) else { continue };
            if attempt.running.take().is_some() {
                self.monitor.attempt_ended(request, HopNo(number), attempt.kind, outcome);
                self.pending_ends.push_back((request, HopNo(number), outcome));
            }
        }
    }

    /// Ends the running attempts of a request whose time is over.
    fn time_out_attempts(&mut self, request: CallId) {
        self.end_attempts(request, |fully_sent| {
            Some(if fully_sent { Outcome::TimedOut } else { Outcome::NoConnection })
        });
    }

    /// Executes the actions that the module has returned, in order.
    fn execute_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { call: request, server, timeout } => {
                    self.start_attempt(request, server, timeout)
                }
                Action::Cancel { call: request, hop: attempt } => {
                    self.end_attempt(request, attempt, Outcome::Cancelled);
                }
                Action::Refuse { call: request, retry_after } => {
                    self.report_refusal(request);
                    self.answer_request(request, RequestOutcome::Refused { retry_after });
                    self.remove_if_finished(request);
                }
                Action::Fail { call: request } => {
                    self.answer_request(request, RequestOutcome::Failed);
                    self.remove_if_finished(request);
                }
                Action::SetTimer { after, token } => self.timers.set(self.handle.clock.now() + after, token),
                // The platform's protocol on sockets has no messages between sidecars.
                Action::TellPeers { .. } => {}
                // A full channel already holds the same request.
                Action::Subscribe => _ = self.subscribe.try_send(()),
                Action::Log { text, server: None } => info!(self.log, "{}", text),
                Action::Log { text, server: Some(server) } => {
                    info!(self.log, "{} {}", self.endpoints.name(server), text)
                }
            }
        }
        self.actions = actions;
    }

    /// Reports why a request is refused, as far as the dispatcher can tell.
    fn report_refusal(&self, id: CallId) {
        let Some(request) = self.requests.get(&id).filter(|request| request.reply_to.is_some()) else {
            return;
        };
        let reason = if self.list_stale {
            RefusalReason::ListStale
        } else if self.sending_suspended {
            RefusalReason::NoLease
        } else if !self.endpoints.any_ready() {
            RefusalReason::NoServer
        } else if self.answer_deadline <= self.handle.clock.now() {
            RefusalReason::ShuttingDown
        } else if request.attempts.is_empty() {
            RefusalReason::Overload
        } else {
            RefusalReason::AttemptsFailed
        };
        self.monitor.refused(id, reason);
    }

    /// Ends the attempts that have not sent anything and are no longer allowed. Otherwise one whose connection is
    /// established late would be sent after other instances were told that the settings which forbid it are in use.
    fn end_forbidden_attempts(&mut self) {
        if !self.lease.is_enabled() {
            return;
        }
        let now = self.handle.clock.now();
        self.end_waiting_attempts(|dispatcher, request, index| {
            !dispatcher.attempt_allowed(request, index, request.attempts[index].server, now)
        });
    }

    /// Ends the attempts that have not sent anything and meet a condition. The condition is called with the request and
    /// the attempt's index in it.
    fn end_waiting_attempts(&mut self, condition: impl Fn(&Self, &RequestState<P>, usize) -> bool) {
        let is_waiting =
            |attempt: &AttemptState| attempt.running.is_some() && !attempt.progress.send_started.get();
        let matching: Vec<(CallId, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, request)| (0..request.attempts.len()).map(move |index| (*id, request, index)))
            .filter(|(_, request, index)| {
                is_waiting(&request.attempts[*index]) && condition(self, request, *index)
            })
            .map(|(id, _, index)| (id, index))
            .collect();
        for (id, index) in matching {
            self.end_attempt(id, HopNo(index as u32), Outcome::NotSent);
        }
        self.report_pending_ends();
    }

    /// Whether the settings that all instances agreed on allow this attempt, even if the request began under earlier
    /// ones.
    fn attempt_allowed(
        &self, request: &RequestState<P>, index: usize, server: ServerId, now: Micros,
    ) -> bool {
        // An attempt is the first if no other one has sent anything, and none of those still connecting is older.
        let is_earlier = |(other, attempt): (usize, &AttemptState)| {
            other != index && (attempt.progress.send_started.get() || other < index && attempt.spawned)
        };
        let is_first = !request.attempts.iter().enumerate().any(is_earlier);
        let unrestricted = match self.restrictions.get(&request.class) {
            None => true,
            Some(Restriction::FirstAttemptOnly) => is_first,
            Some(Restriction::NoAttempts) => false,
        };
        let lease_allows = match self.lease.expired(|| now) {
            None | Some(NoLeasePolicy::Hold) => true,
            Some(NoLeasePolicy::Refuse) => false,
            Some(NoLeasePolicy::Strictest) => {
                is_first && !self.endpoints.is_cold(server, now, self.warm_up_time)
            }
        };
        unrestricted && lease_allows && index < self.max_attempts
    }

    /// Starts an attempt, but not for a request that is finished, out of time or out of attempts; the simulator
    /// does the same.
    fn start_attempt(&mut self, id: CallId, server: ServerId, timeout: Micros) {
        let now = self.handle.clock.now();
        let Some(request) = self.requests.get(&id) else { return };
        let (number, time_left) = (HopNo(request.attempts.len() as u32), request.deadline - now);
        let may_start =
            request.reply_to.is_some() && time_left.0 > 0 && request.attempts.len() < request.max_attempts;
        let may_start = may_start
            && (!self.lease.is_enabled()
                || self.attempt_allowed(request, request.attempts.len(), server, now));
        let address = self.endpoints.address(server).filter(|_| may_start);
        let progress = Rc::<AttemptProgress>::default();
        let kind = next_attempt_kind(&request.attempts);
        // Asked last, because the guard counts an attempt that it allows as started.
        let allowed = address.and_then(|address| {
            let permit = self.monitor.start_attempt(id, number, server, kind).ok()?;
            Some((address, permit))
        });
        let running = allowed.and_then(|(address, permit)| {
            let (handle, content) = (self.handle.clone(), request.content.clone());
            let deadline = handle.clock.instant_at(now + timeout.min(time_left));
            let attempt = self.protocol.attempt(permit, content, address, deadline, progress.clone());
            self.tasks.spawn(async move {
                let end = attempt.await;
                handle.send(DispatcherMessage::AttemptEnded { request: id, attempt: number, end }).await;
            })
        });
        if running.is_none() {
            self.monitor.attempt_ended(id, number, kind, Outcome::NotSent);
            self.pending_ends.push_back((id, number, Outcome::NotSent));
        }
        let spawned = running.is_some();
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(AttemptState { started_at: now, spawned, server, progress, kind, running });
        }
    }
}

/// The kind of the attempt that follows these.
fn next_attempt_kind(attempts: &[AttemptState]) -> AttemptKind {
    if attempts.iter().any(|attempt| attempt.running.is_some()) {
        AttemptKind::Hedge
    } else if attempts.iter().any(|attempt| attempt.spawned) {
        AttemptKind::Retry
    } else {
        AttemptKind::First
    }
}
