//! The one task that owns the module. All else reaches it through a bounded queue of notes; it hands each to the
//! module as an event, and carries out, in order, the actions that come back. It decides nothing itself, and
//! knows no protocol but through [`Protocol`].
use crate::endpoint_list::{self, Elsewhere, EndpointList};
use crate::endpoint_registry::Mark;
use crate::generations::{ClassId, Left};
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
use async_channel::{bounded, Receiver, Sender};
use async_executor::Task;
use fnv::FnvHashMap;
use futures_lite::{future, StreamExt};
use oakhollow::rules::Balancer;
use oakhollow::types::*;
use oakhollow_guard::AttemptPermit;
use oakhollow_terms::{DiscoveryList, LearnedHealth, MaintenanceMarks, NoLeasePolicy, Settings};
use slog::{info, Logger};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

/// What the module's task needs of a protocol.
pub trait Protocol: 'static {
    /// What a caller sent, kept for as long as hops of it may go out.
    type Content: 'static;
    /// A server's answer, whole.
    type Answer: 'static;

    /// Makes one attempt and waits for its end, until `by` at most. Dropping the future cancels it.
    fn attempt(
        &self, permit: AttemptPermit, content: Rc<Self::Content>, to: SocketAddr, by: Instant,
        progress: Rc<AttemptProgress>,
    ) -> impl Future<Output = AttemptEnd<Self::Answer>> + 'static;

    /// Nothing new is wanted at this address.
    fn retire(&self, at: SocketAddr);
}

/// How far a hop's request has come.
#[derive(Default)]
pub struct AttemptProgress {
    /// Its first byte may be out: what forbids it from now on comes too late.
    pub send_started: Cell<bool>,
    /// When its last byte was written; until then no server has begun it.
    pub fully_sent_at: Cell<Option<Instant>>,
}

/// What a server tells of its load at the end of a hop.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum LoadReport {
    Absent,
    Valid(ServerLoad),
    /// Something that can't be read; it counts as nothing.
    Malformed,
}

/// How a hop ended.
pub struct AttemptEnd<A> {
    pub outcome: Outcome,
    pub answer: Option<A>,
    pub load_report: LoadReport,
    /// How long the server took, where that is not all the time since the send.
    pub elapsed: Option<Micros>,
}

/// The one final answer of an API call.
pub enum RequestOutcome<A> {
    Served(A),
    Refused { retry_after: Micros },
    Failed,
}

/// What the decisions need to know of an API call.
pub struct RequestParams {
    pub workload: WorkloadId,
    pub class: ClassId,
    pub tenant: TenantId,
    pub client_retry: bool,
    pub deadline: Micros,
    pub max_attempts: usize,
    /// What it is about, where servers are quicker with what they know.
    pub affinity_key: Option<u64>,
}

/// An API call as it is taken in.
pub struct Taken<P: Protocol> {
    pub call: CallId,
    pub ask: RequestParams,
    pub content: Rc<P::Content>,
    pub verdict: oneshot::Sender<RequestOutcome<P::Answer>>,
}

pub enum DispatcherMessage<P: Protocol> {
    NewRequest(Taken<P>),
    Withdrawn(CallId),
    AttemptEnded {
        call: CallId,
        hop: HopNo,
        end: AttemptEnd<P::Answer>,
    },
    ApplyList(ListKind, Arc<DiscoveryList>, ListArrival),
    /// A server is out by hand, or back; the sender is dropped when that holds.
    ApplyMaintenance(Mark, Sender<()>),
    /// What holds from now on, what is left of workloads that no more do, and who waits for it.
    ApplySettings(Box<BalancerConfig>, FnvHashMap<ClassId, Left>, Option<Sender<()>>),
    /// Whom others' lists let drain; the sender is dropped when that holds.
    ApplyPeerDrains(Arc<Elsewhere>, Sender<()>),
    /// The lease has begun or run out, or the list may not be used any more.
    RecheckDeadlines,
    /// What the module has learnt is asked for.
    ExportLearned(Sender<LearnedHealth>),
    /// The program ends: calls have their answers by then.
    SetAnswerDeadline(Micros),
    /// That moment has come.
    AnswerDeadlinePassed,
}

/// How all else reaches the module.
pub struct DispatcherHandle<P: Protocol> {
    notes: Sender<DispatcherMessage<P>>,
    pub clock: Clock,
    calls: Cell<u32>,
    /// API calls taken and not yet answered.
    pub open_requests: Gauge,
    /// Whether the list names a server that may be sent to.
    pub has_ready_endpoint: Cell<bool>,
}

/// Notes that may wait: socket code is held up when there are more.
const MOST_NOTES: usize = 256;
/// Notes taken in a row: guards against timers that wait for a queue which never empties.
const MOST_AT_ONCE: usize = 32;

impl<P: Protocol> DispatcherHandle<P> {
    /// `open_requests` is where the calls taken and not yet answered are counted.
    pub fn new(
        clock: Clock, open_requests: Gauge,
    ) -> (Rc<DispatcherHandle<P>>, Receiver<DispatcherMessage<P>>) {
        let (notes, inbox) = bounded(MOST_NOTES);
        let (calls, has_ready_endpoint) = (Cell::new(0), Cell::new(false));
        (Rc::new(DispatcherHandle { notes, clock, calls, open_requests, has_ready_endpoint }), inbox)
    }

    pub async fn send(&self, note: DispatcherMessage<P>) {
        // The module's task ends last of all; what comes after it concerns nobody.
        let _ = self.notes.send(note).await;
    }

    /// The number of the next request.
    pub fn next_request_id(&self) -> CallId {
        CallId(self.calls.replace(self.calls.get().wrapping_add(1)))
    }

    /// Takes a request under its number; its verdict comes from what this returns.
    pub async fn submit(
        &self, call: CallId, ask: RequestParams, content: P::Content,
    ) -> oneshot::Receiver<RequestOutcome<P::Answer>> {
        let (verdict, answer) = oneshot();
        self.open_requests.increment();
        self.send(DispatcherMessage::NewRequest(Taken { call, ask, content: Rc::new(content), verdict }))
            .await;
        answer
    }
}

struct Call<P: Protocol> {
    class: ClassId,
    content: Rc<P::Content>,
    deadline: Micros,
    max_attempts: usize,
    verdict: Option<oneshot::Sender<RequestOutcome<P::Answer>>>,
    hops: Vec<Hop>,
}

struct Hop {
    sent: Micros,
    went_out: bool,
    server: ServerId,
    progress: Rc<AttemptProgress>,
    kind: AttemptKind,
    running: Option<Task<()>>,
}

pub struct Dispatcher<P: Protocol> {
    protocol: Rc<P>,
    desk: Rc<DispatcherHandle<P>>,
    tasks: Tasks,
    log: Logger,
    ask: Sender<()>,
    endpoints: EndpointList,
    timers: Timers,
    sidecar: Balancer,
    calls: FnvHashMap<CallId, Call<P>>,
    actions: Vec<Action>,
    /// Ends of hops that carrying out an action has brought about; the module hears of them after it.
    ends: VecDeque<(CallId, HopNo, Outcome)>,
    /// Load reports that could not be read.
    odd: u64,
    lease: Lease,
    list_deadline: ListDeadline,
    /// The list may not be used until another has come.
    list_stale: bool,
    monitor: Rc<Monitor>,
    /// Nothing may be sent on, as the module was last told.
    held_back: bool,
    /// What calls of workloads that are offered no more, or otherwise, may still do.
    left: FnvHashMap<ClassId, Left>,
    most_hops: usize,
    warm_within: Micros,
    /// No API call may take longer than until then.
    answer_by: Micros,
}

/// What goes into the making of a [`Dispatcher`].
pub struct Parts<P: Protocol> {
    pub protocol: Rc<P>,
    pub desk: Rc<DispatcherHandle<P>>,
    pub tasks: Tasks,
    pub log: Logger,
    /// Asks for a subscription to the list.
    pub ask: Sender<()>,
    pub lease: Lease,
    /// Until when the list may be used.
    pub list_deadline: ListDeadline,
    /// What is told all that happens, and says whether an attempt may be started.
    pub monitor: Rc<Monitor>,
    /// What another process learnt in our place.
    pub taught: LearnedHealth,
}

impl<P: Protocol> Dispatcher<P> {
    pub fn new(
        place: &Settings, seed: u64, known: (&DiscoveryList, MaintenanceMarks), parts: Parts<P>,
    ) -> Dispatcher<P> {
        let Parts { protocol, desk, tasks, log, ask, lease, list_deadline, monitor, taught } = parts;
        let (mut actions, now, (known, marks)) = (Vec::new(), desk.clock.now(), known);
        let mut dispatcher = Dispatcher {
            sidecar: Balancer::new(&place.balancer, seed, now, &mut actions),
            timers: Timers::new(desk.clock),
            endpoints: EndpointList::new(&place.zones, marks),
            calls: FnvHashMap::default(),
            ends: VecDeque::new(),
            odd: 0,
            lease,
            list_deadline,
            list_stale: false,
            monitor,
            held_back: false,
            left: FnvHashMap::default(),
            most_hops: place.balancer.max_hops as usize,
            warm_within: place.balancer.warm_up_time,
            answer_by: Micros::NEVER,
            actions,
            protocol,
            desk,
            tasks,
            log,
            ask,
        };
        dispatcher.carry_out();
        let told = dispatcher.endpoints.take(known, StartWindow { latest: now, earliest: None });
        dispatcher.listed(ListKind::Cached, told);
        for (name, judged) in &taught {
            if let Some(id) = dispatcher.endpoints.number(name) {
                dispatcher.sidecar.restore_server_health(id, judged);
            }
        }
        let told = dispatcher.endpoints.all();
        dispatcher.listed(ListKind::Cached, told);
        // Guards against a start that says it is ready before it may act.
        dispatcher.look();
        dispatcher
    }

    /// Runs until nobody is left to send a note.
    pub async fn run(mut self, notes: Receiver<DispatcherMessage<P>>) {
        loop {
            let due = async { self.timers.next().await.map(Ok) };
            let note = async { notes.recv().await.ok().map(Err) };
            match future::or(due, note).await {
                Some(Ok(token)) => {
                    self.look();
                    self.on(Event::TimerFired(token));
                }
                Some(Err(note)) => {
                    self.hear(note);
                    // What came meanwhile, before the timers are looked at again.
                    for _ in 0..MOST_AT_ONCE {
                        let Ok(note) = notes.try_recv() else { break };
                        self.hear(note);
                    }
                }
                None => return,
            }
        }
    }

    /// Has the module hold everything back, or no more, as the lease and the age of the list have it now: to it every server
    /// drains meanwhile.
    fn look(&mut self) {
        let now = || self.desk.clock.now();
        // Until another list has come, and not only until the deadline is set anew: that is done first.
        self.list_stale |= self.list_deadline.has_passed(now);
        let held_back = self.list_stale || self.lease.forbids_sending(now);
        if held_back == self.held_back {
            return;
        }
        self.held_back = held_back;
        let told = self.endpoints.hold_back(held_back);
        self.listed(ListKind::Cached, told);
        if self.list_stale {
            self.end_waiting_attempts(|_, _, _| true);
        }
    }

    fn hear(&mut self, note: DispatcherMessage<P>) {
        self.look();
        match note {
            DispatcherMessage::NewRequest(Taken { call, ask, content, verdict }) => {
                let RequestParams {
                    workload,
                    class,
                    tenant,
                    client_retry,
                    deadline,
                    max_attempts,
                    affinity_key,
                } = ask;
                // One taken before the end was known may come here after it.
                let deadline = deadline.min(self.answer_by);
                let left = deadline - self.desk.clock.now();
                let known =
                    Call { class, content, deadline, max_attempts, verdict: Some(verdict), hops: Vec::new() };
                self.calls.insert(call, known);
                self.monitor.queued(call);
                self.on(Event::CallArrived(Arrival {
                    call,
                    workload,
                    time_left: left,
                    tenant,
                    client_retry,
                    affinity_key,
                }));
            }
            DispatcherMessage::Withdrawn(call) => {
                if self.calls.get_mut(&call).is_some_and(|known| known.verdict.take().is_some()) {
                    self.desk.open_requests.decrement();
                    self.call_off(call);
                    self.on(Event::CallWithdrawn { call });
                    self.clear(call);
                }
            }
            DispatcherMessage::AttemptEnded {
                call,
                hop,
                end: AttemptEnd { outcome, answer, load_report, elapsed },
            } => {
                let running = self.calls.get_mut(&call).and_then(|known| known.hops.get_mut(hop.0 as usize));
                // One cancelled a moment ago has been counted as that.
                if let Some(kind) = running.and_then(|hop| hop.running.take().map(|_| hop.kind)) {
                    self.monitor.attempt_ended(call, hop, kind, outcome);
                    if let Some(answer) = answer {
                        self.answer(call, RequestOutcome::Served(answer));
                    }
                    let report = self.weigh(load_report);
                    self.ended(call, hop, outcome, (report, elapsed));
                    self.settle();
                }
            }
            DispatcherMessage::ApplyList(kind, list, heard) => {
                let clock = self.desk.clock;
                let earliest = heard.complete_until.map(|until| clock.micros_at(until));
                let told =
                    self.endpoints.take(&list, StartWindow { latest: clock.micros_at(heard.at), earliest });
                let after = heard.at.elapsed().as_millis();
                info!(
                    self.log,
                    "list applied: version {}, {:?}, {} ms after it came", list.index.0, kind, after
                );
                self.listed(kind, told);
                if kind != ListKind::Failed {
                    self.list_stale = false;
                    self.look();
                }
            }
            DispatcherMessage::ExportLearned(to) => {
                let named = |(id, judged)| (self.endpoints.name(id).to_string(), judged);
                let servers = self.sidecar.server_health().map(named).collect();
                let _ = to.try_send(servers);
            }
            DispatcherMessage::RecheckDeadlines => {}
            DispatcherMessage::SetAnswerDeadline(by) => {
                self.monitor.shutdown_begun(by);
                self.answer_by = by;
                self.calls.values_mut().for_each(|call| call.deadline = call.deadline.min(by));
                let (desk, left) = (self.desk.clone(), duration(by - self.desk.clock.now()));
                self.tasks.spawn_detached(async move {
                    Timer::after(left).await;
                    desk.send(DispatcherMessage::AnswerDeadlinePassed).await;
                });
                self.on(Event::ShutdownBegun(by));
            }
            DispatcherMessage::AnswerDeadlinePassed => {
                // Hops that are out were sent with more time: the module hears now that it is over.
                let open = self.calls.iter().filter(|(_, call)| call.verdict.is_some());
                let open: Vec<CallId> = open.map(|(id, _)| *id).collect();
                for id in open {
                    self.end_hops(id, |begun| {
                        Some(if begun { Outcome::TimedOut } else { Outcome::NoConnection })
                    });
                }
                self.settle();
            }
            DispatcherMessage::ApplySettings(terms, left, done) => {
                self.left = left;
                (self.most_hops, self.warm_within) = (terms.max_hops as usize, terms.warm_up_time);
                self.on(Event::ConfigChanged(&terms));
                let told = self.endpoints.all();
                self.listed(ListKind::Cached, told);
                self.forbid();
                drop(done);
            }
            DispatcherMessage::ApplyPeerDrains(elsewhere, done) => {
                let told = self.endpoints.drain_elsewhere(elsewhere);
                self.listed(ListKind::Cached, told);
                drop(done);
            }
            DispatcherMessage::ApplyMaintenance(mark, done) => {
                let told = self.endpoints.mark(&mark);
                // Nothing was heard from discovery by this.
                self.listed(ListKind::Cached, told);
                drop(done);
            }
        }
    }

    fn listed(&mut self, kind: ListKind, told: endpoint_list::Told) {
        told.entries.iter().for_each(|listing| self.monitor.server_listed(listing));
        self.on(Event::ListReceived { kind, entries: &told.entries });
        told.retired.into_iter().for_each(|address| self.protocol.retire(address));
        self.desk.has_ready_endpoint.set(self.endpoints.any_ready());
    }

    fn on(&mut self, event: Event) {
        self.sidecar.on(self.desk.clock.now(), event, &mut self.actions);
        self.carry_out();
        self.settle();
    }

    fn settle(&mut self) {
        while let Some((call, hop, outcome)) = self.ends.pop_front() {
            self.ended(call, hop, outcome, (None, None));
        }
    }

    /// A report that can't be read is counted, and said of at the first, second, fourth, eighth ... one.
    fn weigh(&mut self, told: LoadReport) -> Option<ServerLoad> {
        match told {
            LoadReport::Absent => None,
            LoadReport::Valid(report) => Some(report),
            LoadReport::Malformed => {
                self.odd += 1;
                if self.odd.is_power_of_two() {
                    info!(self.log, "load report not read, {} so far", self.odd);
                }
                None
            }
        }
    }

    fn ended(
        &mut self, call: CallId, hop: HopNo, outcome: Outcome, told: (Option<ServerLoad>, Option<Micros>),
    ) {
        let (now, (report, waited)) = (self.desk.clock.now(), told);
        let Some(known) = self.calls.get(&call) else { return };
        let waited = waited.unwrap_or(now - known.hops[hop.0 as usize].sent);
        let closed = known.verdict.is_none();
        self.sidecar.on(
            now,
            Event::HopEnded(HopResult {
                call,
                hop,
                outcome,
                elapsed: waited,
                call_over: closed,
                load: report,
            }),
            &mut self.actions,
        );
        self.carry_out();
        self.clear(call);
    }

    /// Forgets an API call that is answered and has nothing out.
    fn clear(&mut self, call: CallId) {
        let known = self.calls.get(&call);
        let over = known.is_some_and(|known| {
            known.verdict.is_none() && known.hops.iter().all(|hop| hop.running.is_none())
        });
        if over && !self.ends.iter().any(|(one, ..)| *one == call) {
            self.calls.remove(&call);
        }
    }

    fn answer(&mut self, call: CallId, verdict: RequestOutcome<P::Answer>) {
        let Some(known) = self.calls.get_mut(&call) else { return };
        if let Some(client) = known.verdict.take() {
            self.desk.open_requests.decrement();
            // A client that has gone says so by a note of its own.
            client.send(verdict);
            self.call_off(call);
        }
    }

    /// Ends the hops of a call that is over which no server has begun. Guards against one that is still connecting, or has
    /// its request half written, and is sent after the call's end where hops may not be cancelled.
    fn call_off(&mut self, id: CallId) {
        self.end_hops(id, |begun| (!begun).then_some(Outcome::Cancelled));
    }

    /// Ends a hop, if it is still out.
    fn end_hop(&mut self, id: CallId, no: HopNo, outcome: Outcome) {
        let hop = self.calls.get_mut(&id).and_then(|call| call.hops.get_mut(no.0 as usize));
        if let Some(kind) = hop.and_then(|hop| hop.running.take().map(|_| hop.kind)) {
            self.monitor.attempt_ended(id, no, kind, outcome);
            self.ends.push_back((id, no, outcome));
        }
    }

    /// Ends the hops of a call that are still out, each with the outcome that it has by whether a server may have begun it;
    /// one without an outcome goes on.
    fn end_hops(&mut self, id: CallId, outcome: impl Fn(bool) -> Option<Outcome>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        for (hop, no) in call.hops.iter_mut().zip(0..) {
            let Some(outcome) = outcome(hop.progress.fully_sent_at.get().is_some()) else { continue };
            if hop.running.take().is_some() {
                self.monitor.attempt_ended(id, HopNo(no), hop.kind, outcome);
                self.ends.push_back((id, HopNo(no), outcome));
            }
        }
    }

    fn carry_out(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { call, server, timeout } => self.send(call, server, timeout),
                Action::Cancel { call, hop } => {
                    self.end_hop(call, hop, Outcome::Cancelled);
                }
                Action::Refuse { call, retry_after } => {
                    self.refused(call);
                    self.answer(call, RequestOutcome::Refused { retry_after });
                    self.clear(call);
                }
                Action::Fail { call } => {
                    self.answer(call, RequestOutcome::Failed);
                    self.clear(call);
                }
                Action::SetTimer { after, token } => self.timers.set(self.desk.clock.now() + after, token),
                // A full channel holds the same request already.
                // The platform's protocol on sockets has no message between sidecars: told to nobody.
                Action::TellPeers { .. } => {}
                Action::Subscribe => _ = self.ask.try_send(()),
                Action::Log { text, server: None } => info!(self.log, "{}", text),
                Action::Log { text, server: Some(server) } => {
                    info!(self.log, "{} {}", self.endpoints.name(server), text)
                }
            }
        }
        self.actions = actions;
    }

    /// Says why a call is refused, as far as that can be seen from here.
    fn refused(&self, id: CallId) {
        let Some(call) = self.calls.get(&id).filter(|call| call.verdict.is_some()) else { return };
        let reason = if self.list_stale {
            RefusalReason::ListStale
        } else if self.held_back {
            RefusalReason::NoLease
        } else if !self.endpoints.any_ready() {
            RefusalReason::NoServer
        } else if self.answer_by <= self.desk.clock.now() {
            RefusalReason::ShuttingDown
        } else if call.hops.is_empty() {
            RefusalReason::Overload
        } else {
            RefusalReason::AttemptsFailed
        };
        self.monitor.refused(id, reason);
    }

    /// Ends the hops that have not begun and are not allowed any more. Guards against one whose connection comes up after
    /// others were told that what forbids it is kept to.
    fn forbid(&mut self) {
        if !self.lease.on() {
            return;
        }
        let now = self.desk.clock.now();
        self.end_waiting_attempts(|dispatcher, call, no| {
            !dispatcher.allowed(call, no, call.hops[no].server, now)
        });
    }

    /// Ends the attempts that have not begun and that a condition holds for, by their call and place in it.
    fn end_waiting_attempts(&mut self, ends: impl Fn(&Self, &Call<P>, usize) -> bool) {
        let waits = |hop: &Hop| hop.running.is_some() && !hop.progress.send_started.get();
        let forbidden: Vec<(CallId, usize)> = self
            .calls
            .iter()
            .flat_map(|(id, call)| (0..call.hops.len()).map(move |no| (*id, call, no)))
            .filter(|(_, call, no)| waits(&call.hops[*no]) && ends(self, call, *no))
            .map(|(id, _, no)| (id, no))
            .collect();
        for (id, no) in forbidden {
            self.end_hop(id, HopNo(no as u32), Outcome::NotSent);
        }
        self.settle();
    }

    /// Whether what all have agreed on allows this hop of a call, whatever held when the call began.
    fn allowed(&self, call: &Call<P>, no: usize, server: ServerId, now: Micros) -> bool {
        // No other has begun; of those that wait for their connections it is the first.
        let before = |(at, hop): (usize, &Hop)| {
            at != no && (hop.progress.send_started.get() || at < no && hop.went_out)
        };
        let first = !call.hops.iter().enumerate().any(before);
        let left = match self.left.get(&call.class) {
            None => true,
            Some(Left::FirstHops) => first,
            Some(Left::Nothing) => false,
        };
        let sure = match self.lease.lapsed(|| now) {
            None | Some(NoLeasePolicy::Hold) => true,
            Some(NoLeasePolicy::Refuse) => false,
            Some(NoLeasePolicy::Strictest) => first && !self.endpoints.cold(server, now, self.warm_within),
        };
        left && sure && no < self.most_hops
    }

    /// Sends a hop, as the simulator did: never one for a call that is over, out of time or out of hops.
    fn send(&mut self, id: CallId, server: ServerId, give_up: Micros) {
        let now = self.desk.clock.now();
        let Some(call) = self.calls.get(&id) else { return };
        let (no, left) = (HopNo(call.hops.len() as u32), call.deadline - now);
        let sound = call.verdict.is_some() && left.0 > 0 && call.hops.len() < call.max_attempts;
        let sound = sound && (!self.lease.on() || self.allowed(call, call.hops.len(), server, now));
        let address = self.endpoints.address(server).filter(|_| sound);
        let progress = Rc::<AttemptProgress>::default();
        let kind = kind_of_next(&call.hops);
        // Asked for last of all: what it allows is counted as started.
        let allowed = address.and_then(|address| {
            let permit = self.monitor.start_attempt(id, no, server, kind).ok()?;
            Some((address, permit))
        });
        let running = allowed.and_then(|(address, permit)| {
            let (desk, content) = (self.desk.clone(), call.content.clone());
            let by = desk.clock.instant_at(now + give_up.min(left));
            let hop = self.protocol.attempt(permit, content, address, by, progress.clone());
            self.tasks.spawn(async move {
                let end = hop.await;
                desk.send(DispatcherMessage::AttemptEnded { call: id, hop: no, end }).await;
            })
        });
        if running.is_none() {
            self.monitor.attempt_ended(id, no, kind, Outcome::NotSent);
            self.ends.push_back((id, no, Outcome::NotSent));
        }
        let went_out = running.is_some();
        if let Some(call) = self.calls.get_mut(&id) {
            call.hops.push(Hop { sent: now, went_out, server, progress, kind, running });
        }
    }
}

/// What the next attempt is, after these.
fn kind_of_next(hops: &[Hop]) -> AttemptKind {
    if hops.iter().any(|hop| hop.running.is_some()) {
        AttemptKind::Hedge
    } else if hops.iter().any(|hop| hop.went_out) {
        AttemptKind::Retry
    } else {
        AttemptKind::First
    }
}
