//! The platform's protocol, HTTP/1.1 over plain TCP. Nothing outside this folder knows it.
pub mod acceptor;
pub mod answers;
pub mod attempt;
pub mod chunks;
pub mod client_connection;
pub mod connections;
pub mod head;
pub mod load;
pub mod messages;
pub mod pool;
pub mod watch;

use crate::dispatcher::{AttemptEnd, AttemptProgress, Protocol};
use crate::generations::{ClassId, WorkloadIds};
use crate::lease::Lease;
use crate::list_deadline::ListDeadline;
use crate::monitor::Monitor;
use crate::timers::Clock;
use oakhollow_guard::{AttemptPermit, Effect};
use oakhollow_terms::Named;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Hops over connections to servers that are kept and used again.
pub struct Http1 {
    pub pool: Rc<pool::Pool>,
    /// Whether servers tell their load with answers.
    pub reads_load_reports: bool,
    pub fence: Fence,
    pub monitor: Rc<Monitor>,
}

/// Looked at before a hop's first byte: guards against a hop of a process that was stopped for longer than its lease, or than its list
/// may be used.
#[derive(Clone)]
pub struct Fence {
    pub lease: Lease,
    /// Until when the list may be used.
    pub list_deadline: ListDeadline,
    pub clock: Clock,
}

impl Fence {
    /// Whether the lease lets an attempt be sent.
    pub fn lease_valid(&self) -> bool {
        !self.lease.forbids_sending(|| self.clock.now())
    }

    /// Whether the list that the attempt's endpoint was chosen by may still be used.
    pub fn list_fresh(&self) -> bool {
        !self.list_deadline.has_passed(|| self.clock.now())
    }
}

/// What requests call things by.
pub struct RequestSettings {
    pub workloads: Vec<Named>,
    /// Their names, in the same order, as metrics have them.
    pub class_names: Vec<Rc<str>>,
    /// What requests of them do at a server, in the same order.
    pub effects: Vec<Effect>,
    /// Their numbers, in the same order.
    pub workload_ids: Vec<WorkloadIds>,
    pub classes: Vec<ClassId>,
    pub tenants: Vec<String>,
    /// Whether a request's key is of use.
    pub uses_affinity_keys: bool,
    pub max_attempts: usize,
}

impl Protocol for Http1 {
    type Content = attempt::Outgoing;
    type Answer = attempt::Reply;

    fn attempt(
        &self, permit: AttemptPermit, content: Rc<attempt::Outgoing>, to: SocketAddr, by: Instant,
        progress: Rc<AttemptProgress>,
    ) -> impl Future<Output = AttemptEnd<attempt::Reply>> + 'static {
        // Taken here, not when the hop first runs: what retires the address between the two is meant for it.
        let to = attempt::Target {
            at: to,
            wanted: self.pool.wanted(to),
            fence: self.fence.clone(),
            monitor: self.monitor.clone(),
            permit,
        };
        attempt::attempt(self.pool.clone(), content, to, (by, progress), self.reads_load_reports)
    }

    fn retire(&self, at: SocketAddr) {
        self.pool.retire(at);
    }
}

pub type DispatcherHandle = crate::dispatcher::DispatcherHandle<Http1>;
pub type DispatcherMessage = crate::dispatcher::DispatcherMessage<Http1>;
pub type Dispatcher = crate::dispatcher::Dispatcher<Http1>;
