//! The platform's protocol, HTTP/1.1 over plain TCP. Nothing outside this module depends on it.
pub mod acceptor;
pub mod answers;
pub mod arrivals;
pub mod attempt;
pub mod chunks;
pub mod client_connection;
pub mod connections;
pub mod endpoint_answer;
pub mod head;
pub mod load;
pub mod messages;
pub mod pool;
pub mod request_ids;
pub mod upload;
pub mod watch;

use crate::dispatcher::{AttemptEnd, AttemptProgress, Protocol};
use crate::lease::Lease;
use crate::list_deadline::ListDeadline;
use crate::monitor::Monitor;
use crate::reactor::Timer;
use crate::stall_detector::Progress;
use crate::timers::{duration, Clock};
use crate::workload_ids::{ClassId, WorkloadIds};
use oakhollow::types::Micros;
use oakhollow_config::WorkloadSettings;
use oakhollow_guard::{AttemptPermit, RepeatSafety};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Makes attempts over pooled connections to endpoints.
pub struct Http1 {
    pub pool: Rc<pool::Pool>,
    /// Whether answers carry load reports.
    pub reads_load_reports: bool,
    pub fence: Fence,
    pub monitor: Rc<Monitor>,
}

/// Checked before an attempt's first byte: guards against attempts of a process that was stopped for longer than
/// its lease lasts, or than its list may be used.
#[derive(Clone)]
pub struct Fence {
    pub lease: Lease,
    /// Until when the list may be used.
    pub list_deadline: ListDeadline,
    /// When every request must be answered.
    pub answer_deadline: AnswerDeadline,
    /// Whether the main thread, which receives the list, is up to date.
    pub main_thread: Progress,
    pub clock: Clock,
}

/// How long an attempt waits at most for the main thread to catch up.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(50);
/// How often it looks meanwhile.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The time by which every request of a worker must be answered because the process shuts down; never until then.
#[derive(Clone)]
pub struct AnswerDeadline(Rc<Cell<Micros>>);

impl AnswerDeadline {
    /// No deadline yet.
    pub fn none() -> AnswerDeadline {
        AnswerDeadline(Rc::new(Cell::new(Micros::NEVER)))
    }

    /// Sets the deadline, also for requests that are open.
    pub fn set(&self, deadline: Micros) {
        self.0.set(deadline);
    }

    /// The deadline.
    pub fn get(&self) -> Micros {
        self.0.get()
    }
}

impl Fence {
    /// Whether the lease lets an attempt be sent.
    pub fn lease_valid(&self) -> bool {
        !self.lease.forbids_sending(|| self.clock.now())
    }

    /// Waits until the main thread has passed on what discovery sent while the process did not run: guards against an
    /// attempt to an endpoint that began to drain meanwhile.
    pub async fn wait_for_main_thread(&self) {
        let mut waited = Duration::ZERO;
        while waited < MAX_CATCH_UP_WAIT && !self.main_thread.is_current(self.clock.now()) {
            Timer::after(CATCH_UP_POLL_INTERVAL).await;
            waited += CATCH_UP_POLL_INTERVAL;
        }
    }

    /// Whether the list that the attempt's endpoint was chosen by may still be used.
    pub fn list_fresh(&self) -> bool {
        !self.list_deadline.has_passed(|| self.clock.now())
    }

    /// How long an attempt may take that begins now and has this much time left by its request's own deadline: that may
    /// have been set before the process was told to end.
    pub fn time_left(&self, by_request: Duration) -> Duration {
        match self.answer_deadline.get() {
            Micros::NEVER => by_request,
            deadline => by_request.min(duration(deadline - self.clock.now())),
        }
    }
}

/// The settings by which requests are read. All vectors with an entry for each workload have the same order.
pub struct RequestSettings {
    pub workloads: Vec<WorkloadSettings>,
    /// The workloads' names, as metrics label them.
    pub class_names: Vec<Rc<str>>,
    /// Whether requests of each workload may be repeated.
    pub repeat_safety: Vec<RepeatSafety>,
    /// The workloads' ids in the decision module.
    pub workload_ids: Vec<WorkloadIds>,
    /// The workloads' classes.
    pub classes: Vec<ClassId>,
    pub tenants: Vec<String>,
    /// Whether requests with an affinity key are served faster by the endpoints that know it.
    pub uses_affinity_keys: bool,
    /// The most attempts for one request.
    pub max_attempts: usize,
}

impl Protocol for Http1 {
    type Content = attempt::OutgoingRequest;
    type Answer = endpoint_answer::EndpointAnswer;

    fn attempt(
        &self, permit: AttemptPermit, content: Rc<attempt::OutgoingRequest>, address: SocketAddr,
        deadline: Instant, progress: Rc<AttemptProgress>,
    ) -> impl Future<Output = AttemptEnd<endpoint_answer::EndpointAnswer>> + 'static {
        // The flag is taken here, not when the attempt first runs: if the address is retired in between, the attempt
        // must not be sent.
        let target = attempt::Target {
            address,
            active: self.pool.active_flag(address),
            fence: self.fence.clone(),
            monitor: self.monitor.clone(),
            permit,
        };
        attempt::run(self.pool.clone(), content, target, (deadline, progress), self.reads_load_reports)
    }

    fn retire(&self, address: SocketAddr) {
        self.pool.retire(address);
    }
}

/// Access to the dispatcher of HTTP/1.1 requests.
pub type DispatcherHandle = crate::dispatcher::DispatcherHandle<Http1>;
/// A message to it.
pub type DispatcherMessage = crate::dispatcher::DispatcherMessage<Http1>;
/// The dispatcher itself.
pub type Dispatcher = crate::dispatcher::Dispatcher<Http1>;
