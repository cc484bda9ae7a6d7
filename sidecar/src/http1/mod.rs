//! The platform's protocol, HTTP/1.1 over plain TCP. Nothing outside this folder knows it.
pub mod callers;
pub mod hop;
pub mod parse;
pub mod pool;
pub mod watch;

use crate::decider::{Decider, Protocol};
use oakhollow::types::{Micros, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

/// Hops over connections to servers that are kept and used again.
pub struct Http1 {
    pub pool: Rc<pool::Pool>,
}

impl Protocol for Http1 {
    type Request = hop::Outgoing;
    type Answer = parse::Message;

    fn hop(
        &self, request: Rc<hop::Outgoing>, to: SocketAddr, give_up: Micros,
    ) -> impl Future<Output = (Outcome, Option<parse::Message>)> + 'static {
        hop::hop(self.pool.clone(), request, to, give_up)
    }

    fn retire(&self, at: SocketAddr) {
        self.pool.retire(at);
    }
}

pub type Desk = crate::decider::Desk<Http1>;
pub type Note = crate::decider::Note<Http1>;
pub type Http1Decider = Decider<Http1>;
