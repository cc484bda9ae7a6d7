//! The platform's protocol, HTTP/1.1 over plain TCP. Nothing outside this folder knows it.
pub mod answers;
pub mod callers;
pub mod chunks;
pub mod door;
pub mod head;
pub mod hop;
pub mod load;
pub mod messages;
pub mod pool;
pub mod watch;

use crate::decider::{End, Protocol};
use crate::generations::Numbers;
use oakhollow::types::Micros;
use oakhollow_terms::Named;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

/// Hops over connections to servers that are kept and used again.
pub struct Http1 {
    pub pool: Rc<pool::Pool>,
    /// Whether servers tell their load with answers.
    pub tells_load: bool,
}

/// What requests call things by.
pub struct Names {
    pub workloads: Vec<Named>,
    /// Their numbers, in the same order.
    pub numbers: Vec<Numbers>,
    pub customers: Vec<String>,
    /// Whether a request's key is of use.
    pub warm_keys: bool,
    pub most_hops: usize,
}

impl Protocol for Http1 {
    type Content = hop::Outgoing;
    type Answer = hop::Reply;

    fn hop(
        &self, content: Rc<hop::Outgoing>, to: SocketAddr, give_up: Micros,
    ) -> impl Future<Output = End<hop::Reply>> + 'static {
        hop::hop(self.pool.clone(), content, to, give_up, self.tells_load)
    }

    fn retire(&self, at: SocketAddr) {
        self.pool.retire(at);
    }
}

pub type Desk = crate::decider::Desk<Http1>;
pub type Note = crate::decider::Note<Http1>;
pub type Decider = crate::decider::Decider<Http1>;
