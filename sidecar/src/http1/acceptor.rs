//! Takes the connections of clients in: no more than there may be, whatever errors the kernel has for it.
use super::client_connection::ClientConnection;
use super::connections::Connections;
use crate::limits::Slot;
use crate::metrics::SystemCall;
use crate::reactor::{Async, Timer};
use crate::system_errors::{accept_failure, AcceptFailure};
use crate::tasks::Tasks;
use futures_lite::future;
use slog::{info, warn, Logger};
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The longest pause after an accept that failed for a shortage, which does not pass in an instant.
const PAUSE: Duration = Duration::from_millis(50);
/// The first one, doubled by each that follows.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// Shortages of the host in a row from which on a connection of ours is closed, too.
const LASTING: u32 = 4;
/// Failures in a row, of whatever kind, after which there is a pause in any case: guards against spinning.
const MOST_AT_ONCE: u32 = 64;

/// Accepts that have failed in a row.
#[derive(Clone, Copy, Default, Debug)]
struct Failures {
    /// For whatever reason.
    all: u32,
    /// The last of them, for a shortage.
    shortages: u32,
}

impl Failures {
    fn count(&mut self, failure: AcceptFailure) {
        self.all += 1;
        self.shortages = match failure {
            AcceptFailure::Connection => 0,
            AcceptFailure::Host | AcceptFailure::Descriptors => self.shortages + 1,
        };
    }
}

/// The one way in for clients of a worker.
pub struct Acceptor {
    connections: Rc<Connections>,
    tasks: Tasks,
    log: Logger,
}

impl Acceptor {
    /// For the connections of one worker.
    pub fn new(connections: Rc<Connections>, tasks: Tasks, log: Logger) -> Rc<Acceptor> {
        Rc::new(Acceptor { connections, tasks, log })
    }

    /// Takes connections in until dropped.
    pub async fn accept_all(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        let mut failures = Failures::default();
        loop {
            let slot = self.slot().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    if std::mem::take(&mut failures).all > 0 {
                        info!(self.log, "connections are taken in again, {} open", self.connections.held());
                    }
                    self.take_in(stream, slot);
                }
                Err(fault) => {
                    drop(slot);
                    let failure = accept_failure(&fault);
                    failures.count(failure);
                    self.connections.monitor.system_error(SystemCall::Accept, &fault);
                    if failures.all == 1 {
                        warn!(
                            self.log,
                            "cannot take connections in, {} open: {}",
                            self.connections.held(),
                            fault
                        );
                    }
                    self.recover(failure, failures).await;
                }
            }
        }
    }

    /// Waits until one more connection may be held; idle ones are closed for it.
    async fn slot(&self) -> Slot {
        loop {
            if let Some(slot) = self.connections.slot() {
                return slot;
            }
            let late = async { _ = Timer::after(PAUSE).await };
            future::or(self.connections.room_made(), late).await;
        }
    }

    /// Waits for as long as it takes until the next accept may go through, after so many failures in a row.
    async fn recover(&self, failure: AcceptFailure, failures: Failures) {
        match failure {
            // Others are not held up by one that has broken.
            AcceptFailure::Connection if !failures.all.is_multiple_of(MOST_AT_ONCE) => {
                future::yield_now().await
            }
            AcceptFailure::Connection => _ = Timer::after(PAUSE).await,
            AcceptFailure::Host if failures.shortages < LASTING => {
                Timer::after(FIRST_PAUSE * 2_u32.pow(failures.shortages - 1)).await;
            }
            AcceptFailure::Host | AcceptFailure::Descriptors => {
                self.connections.make_room();
                Timer::after(PAUSE).await;
            }
        }
    }

    /// Takes in what the kernel has accepted already: those clients may have written their requests.
    pub fn accept_backlog(self: &Rc<Self>, listener: &Async<TcpListener>) {
        let mut failures = 0;
        loop {
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    if let Ok(stream) = Async::from_stream(stream) {
                        self.take_in(stream, self.connections.slot_anyway());
                    }
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return,
                // Of one connection, or of a moment: the others are still to be taken in.
                Err(fault) if failures < MOST_AT_ONCE => {
                    self.connections.monitor.system_error(SystemCall::Accept, &fault);
                    failures += 1;
                }
                Err(fault) => return warn!(self.log, "connections in the queue are not taken in: {}", fault),
            }
        }
    }

    fn take_in(&self, stream: Async<TcpStream>, slot: Slot) {
        let _ = stream.get_ref().set_nodelay(true);
        // One that has gone already has no address, and nothing to say.
        let Ok(peer) = stream.get_ref().peer_addr() else { return };
        let held = Connections::hold(&self.connections, peer.ip(), slot);
        self.tasks.spawn_detached(async move {
            let closed = ClientConnection::new(&held, stream).serve().await;
            held.closed(closed);
        });
    }
}
