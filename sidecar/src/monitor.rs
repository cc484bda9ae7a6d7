//! What one worker tells its guard and the metrics: every event passes here, on its way to the checks, the counters and the
//! debug log. Sending, repeating, closing and starting go through this and nothing else, by what it returns.
use crate::metrics::{AttemptKind, Metrics, RefusalReason, SystemCall};
use crate::timers::Clock;
use oakhollow::types::{
    BalancerConfig, CallId, HopNo, Idempotency, ListedServer, Micros, Outcome, ServerId, ServerStatus,
};
use oakhollow_guard::{
    AnswerKind, AttemptPermit, CloseReason, Denial, Effect, Event, Guard, LastLook, Limits, Location,
    RetryBudget, Rule, SendPermit,
};
use slog::{debug, error, Drain, Level, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Lines of one worker about broken rules, in a second.
const MOST_LINES: u32 = 5;
const SECOND: Micros = Micros::millis(1_000);

/// What all of a worker's parts tell what happens.
pub struct Monitor {
    guard: RefCell<Guard>,
    metrics: Arc<Metrics>,
    clock: Clock,
    log: Logger,
    /// Each transition has a line.
    verbose: bool,
    /// The second of the last line about a broken rule, and how many it had.
    lines: Cell<(Micros, u32)>,
}

/// The effect that a request of a workload has.
pub fn effect(kind: Idempotency) -> Effect {
    match kind {
        Idempotency::Idempotent => Effect::Safe,
        Idempotency::ByKey { scope, window } => Effect::Keyed { memory: window, group: scope },
        Idempotency::NonIdempotent => Effect::Unsafe,
    }
}

/// What of the settings the guard checks.
pub fn limits(terms: &BalancerConfig, drain_grace: Micros) -> Limits {
    let budget = terms.retry_budget.as_ref();
    let retry_budget =
        budget.map(|bound| RetryBudget { few: bound.base, share: bound.ratio, window: bound.window });
    Limits { drain_grace, retry_budget }
}

impl Monitor {
    /// For one worker.
    pub fn new(limits: Limits, metrics: Arc<Metrics>, clock: Clock, log: Logger) -> Rc<Monitor> {
        let verbose = log.is_enabled(Level::Debug);
        let guard = RefCell::new(Guard::new(limits));
        Rc::new(Monitor { guard, metrics, clock, log, verbose, lines: Cell::default() })
    }

    /// The counters of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Other limits hold from now on.
    pub fn set_limits(&self, limits: Limits) {
        self.guard.borrow_mut().set_limits(limits);
    }

    /// A request was read: what this returns owes it one answer.
    pub fn accept(self: &Rc<Self>, accepted: Accepted) -> OpenRequest {
        let Accepted { request, request_id, class, effect, deadline } = accepted;
        self.observe(Event::Accepted { request, request_id, effect, deadline });
        OpenRequest {
            monitor: self.clone(),
            request,
            class,
            since: self.clock.now(),
            answered: Cell::new(None),
        }
    }

    /// The decision module has it.
    pub fn queued(&self, request: CallId) {
        self.observe(Event::Queued { request });
    }

    /// Whether an attempt may be made ready.
    pub fn start_attempt(
        &self, request: CallId, attempt: HopNo, server: ServerId, kind: AttemptKind,
    ) -> Result<AttemptPermit, Denial> {
        let now = self.clock.now();
        let allowed = self.guard.borrow_mut().start_attempt(now, request, attempt, server);
        self.tell_violations();
        if self.verbose {
            debug!(
                self.log,
                "request {}: attempt {} ({:?}) at server {}: {:?}",
                request.0,
                attempt.0,
                kind,
                server.0,
                allowed
            );
        }
        if kind != AttemptKind::First {
            self.metrics.set_retry_budget_used(self.guard.borrow().retry_budget_used());
        }
        allowed.inspect_err(|denial| self.metrics.count_denial(*denial))
    }

    /// Whether its first byte may be written, by what is known now.
    pub fn permit_send(&self, permit: &AttemptPermit, look: LastLook) -> Result<SendPermit, Denial> {
        let allowed = self.guard.borrow_mut().send(self.clock.now(), permit, look);
        self.tell_violations();
        if self.verbose {
            let (request, attempt) = (permit.request().0, permit.attempt().0);
            debug!(
                self.log,
                "request {}: attempt {}: first byte: {:?}",
                request,
                attempt,
                allowed.as_ref().err()
            );
        }
        allowed.inspect_err(|denial| self.metrics.count_denial(*denial))
    }

    /// Its last byte was written.
    pub fn last_byte_written(&self, permit: &AttemptPermit) {
        self.observe(Event::LastByteWritten { request: permit.request(), attempt: permit.attempt() });
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, request: CallId, attempt: HopNo, kind: AttemptKind, outcome: Outcome) {
        self.metrics.count_attempt(kind, outcome);
        self.observe(Event::AttemptEnded { request, attempt, outcome });
    }

    /// A request was refused.
    pub fn refused(&self, request: CallId, reason: RefusalReason) {
        self.metrics.count_refusal(reason);
        if self.verbose {
            debug!(self.log, "request {}: refused: {:?}", request.0, reason);
        }
    }

    /// A client's connection is closed.
    pub fn connection_closed(&self, reason: CloseReason) {
        self.metrics.count_closed_connection(reason);
        if self.verbose {
            debug!(self.log, "connection closed: {}", reason.name());
        }
    }

    /// What is known of a server from now on.
    pub fn server_listed(&self, listing: &ListedServer) {
        let location = Location { place: listing.zone, cell: listing.cell };
        self.observe(Event::ServerListed { server: listing.server, standing: listing.status, location });
        if listing.status == ServerStatus::Gone {
            self.guard.borrow_mut().forget_server(listing.server);
        }
    }

    /// The process ends.
    pub fn shutdown_begun(&self, answer_by: Micros) {
        self.observe(Event::ShutdownBegun { answer_by });
    }

    /// A system call failed.
    pub fn system_error(&self, call: SystemCall, error: &std::io::Error) {
        self.metrics.count_system_error(call, error);
    }

    fn observe(&self, event: Event) {
        if self.verbose {
            debug!(self.log, "{:?}", event);
        }
        self.guard.borrow_mut().observe(self.clock.now(), event);
        self.tell_violations();
    }

    fn tell_violations(&self) {
        if !self.guard.borrow().has_violations() {
            return;
        }
        let found = self.guard.borrow_mut().take_violations();
        for violation in found {
            self.metrics.count_violation(violation.rule);
            if self.has_line(violation.at) {
                error!(self.log, "rule broken: {}", violation);
            }
        }
    }

    /// Guards against a log that is all about one fault.
    fn has_line(&self, at: Micros) -> bool {
        let (since, lines) = self.lines.get();
        let fresh = since.0 == 0 || at - since >= SECOND;
        let lines = if fresh { 0 } else { lines };
        self.lines.set((if fresh { at } else { since }, lines + 1));
        lines < MOST_LINES
    }

    /// How often that rule was broken in this process.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.metrics.violations(rule)
    }
}

/// A request as it was read.
pub struct Accepted {
    /// The sidecar's number for it.
    pub request: CallId,
    /// The client's id for it.
    pub request_id: Rc<str>,
    /// The name of its class.
    pub class: Rc<str>,
    /// What it does at a server.
    pub effect: Effect,
    /// When its client gives up.
    pub deadline: Micros,
}

/// A request that was read and is owed one answer. Dropped, it is over: the connection is closed on it.
pub struct OpenRequest {
    monitor: Rc<Monitor>,
    request: CallId,
    class: Rc<str>,
    since: Micros,
    answered: Cell<Option<AnswerKind>>,
}

impl OpenRequest {
    /// The sidecar's number for it.
    pub fn request(&self) -> CallId {
        self.request
    }

    /// Its client has gone: no answer is owed any more.
    pub fn client_gone(&self) {
        self.monitor.observe(Event::ClientGone { request: self.request });
    }

    /// Its answer's first byte is about to be written.
    pub fn answer_begun(&self, kind: AnswerKind) {
        let monitor = &self.monitor;
        self.answered.set(Some(kind));
        monitor.metrics.observe_latency(monitor.clock.now() - self.since);
        monitor.observe(Event::AnswerBegun { request: self.request, kind });
    }

    /// It is over: its connection is kept, or closed for that reason.
    pub fn close(self, reason: Option<CloseReason>) {
        self.monitor.observe(Event::Closed { request: self.request, reason });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let outcome = self.answered.get().map_or("client_gone", AnswerKind::name);
        self.monitor.metrics.requests(&self.class, outcome).inc();
        // Over already, where it was closed in good order.
        self.monitor.observe(Event::Closed { request: self.request, reason: None });
    }
}
