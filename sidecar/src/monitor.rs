//! One worker's interface to its guard and to the metrics: every event passes through here to the checks, the
//! counters and the debug log. Starting, sending and repeating an attempt, and closing a connection, need the
//! values returned here, so no code path can avoid the checks.
use crate::metrics::{AttemptKind, Metrics, RefusalReason, SystemCall};
use crate::timers::Clock;
use oakhollow::types::{
    BalancerConfig, CallId, HopNo, Idempotency, ListedServer, Micros, Outcome, ServerId, ServerStatus,
};
use oakhollow_guard::{
    AnswerKind, AttemptPermit, CloseReason, Denial, Event, Guard, Limits, Location, RepeatSafety,
    RetryBudget, Rule, SendConditions, SendPermit,
};
use slog::{debug, error, Drain, Level, Logger};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// The most log lines per second about broken rules, for each worker.
const MAX_VIOLATION_LINES: u32 = 5;
const SECOND: Micros = Micros::millis(1_000);

/// Records what happens in one worker.
pub struct Monitor {
    guard: RefCell<Guard>,
    metrics: Arc<Metrics>,
    clock: Clock,
    log: Logger,
    /// Whether every transition is logged.
    verbose: bool,
    /// When the current second of log lines about broken rules began, and how many lines it has had.
    violation_lines: Cell<(Micros, u32)>,
}

/// Whether requests of a workload may be sent again, as the guard sees it.
pub fn repeat_safety(kind: Idempotency) -> RepeatSafety {
    match kind {
        Idempotency::Idempotent => RepeatSafety::Safe,
        Idempotency::ByKey { scope, window } => RepeatSafety::Keyed { window, scope },
        Idempotency::NonIdempotent => RepeatSafety::Unsafe,
    }
}

/// The settings that the guard checks.
pub fn limits(config: &BalancerConfig, drain_grace: Micros) -> Limits {
    let budget = config.retry_budget.as_ref();
    let retry_budget =
        budget.map(|budget| RetryBudget { base: budget.base, ratio: budget.ratio, window: budget.window });
    Limits { drain_grace, retry_budget }
}

impl Monitor {
    /// The monitor of one worker.
    pub fn new(limits: Limits, metrics: Arc<Metrics>, clock: Clock, log: Logger) -> Rc<Monitor> {
        let verbose = log.is_enabled(Level::Debug);
        let guard = RefCell::new(Guard::new(limits));
        Rc::new(Monitor { guard, metrics, clock, log, verbose, violation_lines: Cell::default() })
    }

    /// The metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Replaces the limits, after a change of settings.
    pub fn set_limits(&self, limits: Limits) {
        self.guard.borrow_mut().set_limits(limits);
    }

    /// Records that a request was read. The request must get one answer, which the value returned records.
    pub fn accept(self: &Rc<Self>, accepted: Accepted) -> OpenRequest {
        let Accepted { request, request_id, class, repeat_safety, deadline } = accepted;
        self.observe(Event::Accepted { request, request_id, repeat_safety, deadline });
        OpenRequest {
            monitor: self.clone(),
            request,
            class,
            since: self.clock.now(),
            answered: Cell::new(None),
        }
    }

    /// Records that a request was passed to the decision module.
    pub fn queued(&self, request: CallId) {
        self.observe(Event::Queued { request });
    }

    /// Whether an attempt may be started; one that may is counted as started.
    pub fn start_attempt(
        &self, request: CallId, attempt: HopNo, server: ServerId, kind: AttemptKind,
    ) -> Result<AttemptPermit, Denial> {
        let now = self.clock.now();
        let allowed = self.guard.borrow_mut().start_attempt(now, request, attempt, server);
        self.report_violations();
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

    /// Whether the first byte of an attempt may be written, by what is known now.
    pub fn permit_send(
        &self, permit: &AttemptPermit, conditions: SendConditions,
    ) -> Result<SendPermit, Denial> {
        let allowed = self.guard.borrow_mut().send(self.clock.now(), permit, conditions);
        self.report_violations();
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

    /// Records that an attempt's last byte was written.
    pub fn last_byte_written(&self, permit: &AttemptPermit) {
        self.observe(Event::LastByteWritten { request: permit.request(), attempt: permit.attempt() });
    }

    /// Records that an attempt has ended.
    pub fn attempt_ended(&self, request: CallId, attempt: HopNo, kind: AttemptKind, outcome: Outcome) {
        self.metrics.count_attempt(kind, outcome);
        self.observe(Event::AttemptEnded { request, attempt, outcome });
    }

    /// Records that a request was refused.
    pub fn refused(&self, request: CallId, reason: RefusalReason) {
        self.metrics.count_refusal(reason);
        if self.verbose {
            debug!(self.log, "request {}: refused: {:?}", request.0, reason);
        }
    }

    /// Records that a client's connection is closed.
    pub fn connection_closed(&self, reason: CloseReason) {
        self.metrics.count_closed_connection(reason);
        if self.verbose {
            debug!(self.log, "connection closed: {}", reason.name());
        }
    }

    /// Records an endpoint's current listing.
    pub fn server_listed(&self, listing: &ListedServer) {
        let location = Location { zone: listing.zone, cell: listing.cell };
        self.observe(Event::ServerListed { server: listing.server, status: listing.status, location });
        if listing.status == ServerStatus::Gone {
            self.guard.borrow_mut().forget_server(listing.server);
        }
    }

    /// Records that the process is shutting down.
    pub fn shutdown_begun(&self, answer_by: Micros) {
        self.observe(Event::ShutdownBegun { answer_by });
    }

    /// Records that a system call failed.
    pub fn system_error(&self, call: SystemCall, error: &std::io::Error) {
        self.metrics.count_system_error(call, error);
    }

    fn observe(&self, event: Event) {
        if self.verbose {
            debug!(self.log, "{:?}", event);
        }
        self.guard.borrow_mut().observe(self.clock.now(), event);
        self.report_violations();
    }

    fn report_violations(&self) {
        if !self.guard.borrow().has_violations() {
            return;
        }
        let violations = self.guard.borrow_mut().take_violations();
        for violation in violations {
            self.metrics.count_violation(violation.rule);
            if self.may_log_violation(violation.at) {
                error!(self.log, "rule broken: {}", violation);
            }
        }
    }

    /// Whether another line about a broken rule may be logged; one fault must not flood the log.
    fn may_log_violation(&self, at: Micros) -> bool {
        let (since, lines) = self.violation_lines.get();
        let new_second = since.0 == 0 || at - since >= SECOND;
        let lines = if new_second { 0 } else { lines };
        self.violation_lines.set((if new_second { at } else { since }, lines + 1));
        lines < MAX_VIOLATION_LINES
    }

    /// How often a rule was broken in this process.
    pub fn violations(&self, rule: Rule) -> u64 {
        self.metrics.violations(rule)
    }
}

/// A request that was read.
pub struct Accepted {
    /// The sidecar's number for it.
    pub request: CallId,
    /// The client's id for it.
    pub request_id: Rc<str>,
    /// The name of its class.
    pub class: Rc<str>,
    /// Whether it may be sent again.
    pub repeat_safety: RepeatSafety,
    /// When its client gives up.
    pub deadline: Micros,
}

/// An open request, which must get one answer. Dropping it without [`OpenRequest::close`] means that its connection
/// was closed before it was answered.
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

    /// Records that the client has gone: the request needs no answer any more.
    pub fn client_gone(&self) {
        self.monitor.observe(Event::ClientGone { request: self.request });
    }

    /// Records that the first byte of the answer is about to be written.
    pub fn answer_begun(&self, kind: AnswerKind) {
        let monitor = &self.monitor;
        self.answered.set(Some(kind));
        monitor.metrics.observe_latency(monitor.clock.now() - self.since);
        monitor.observe(Event::AnswerBegun { request: self.request, kind });
    }

    /// Ends the request; its connection is kept, or closed for that reason.
    pub fn close(self, reason: Option<CloseReason>) {
        self.monitor.observe(Event::Closed { request: self.request, reason });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let outcome = self.answered.get().map_or("client_gone", AnswerKind::name);
        self.monitor.metrics.requests(&self.class, outcome).inc();
        // The guard ignores this if `close` has ended the request already.
        self.monitor.observe(Event::Closed { request: self.request, reason: None });
    }
}
