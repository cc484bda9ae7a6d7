//! Accepts client connections within the limit on their number, and recovers from failed accepts.
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
use std::time::{Duration, Instant};

/// The longest pause after an accept that failed for a shortage of resources.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// How long an idle connection takes at most to close that was chosen to give way, on a thread with little to do.
const EVICTION_TIME: Duration = Duration::from_millis(1);
/// The first pause after a shortage; each further one in a row is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
/// After this many shortages in a row, an idle connection is closed even if the shortage is at the host.
const EVICT_AFTER_SHORTAGES: u32 = 4;
/// At most this many failures in a row are retried without a pause: guards against a busy loop.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 64;

/// Counts accepts that failed in a row.
#[derive(Clone, Copy, Default, Debug)]
struct Failures {
    /// Failures in a row, for any reason.
    all: u32,
    /// How many of the most recent of them, in a row, were for a shortage of resources.
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

/// Accepts the client connections of one worker.
pub struct Acceptor {
    connections: Rc<Connections>,
    tasks: Tasks,
    log: Logger,
}

impl Acceptor {
    /// An acceptor for these connections.
    pub fn new(connections: Rc<Connections>, tasks: Tasks, log: Logger) -> Rc<Acceptor> {
        Rc::new(Acceptor { connections, tasks, log })
    }

    /// Accepts connections until the future is dropped.
    pub async fn accept_all(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        let mut failures = Failures::default();
        loop {
            let slot = self.wait_for_slot(&listener).await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    if std::mem::take(&mut failures).all > 0 {
                        info!(
                            self.log,
                            "connections are accepted again, {} open",
                            self.connections.open_count()
                        );
                    }
                    self.serve(stream, slot);
                }
                Err(error) => {
                    drop(slot);
                    let failure = accept_failure(&error);
                    failures.count(failure);
                    self.connections.monitor.system_error(SystemCall::Accept, &error);
                    if failures.all == 1 {
                        warn!(
                            self.log,
                            "cannot accept connections, {} open: {}",
                            self.connections.open_count(),
                            error
                        );
                    }
                    self.recover(failure, failures).await;
                }
            }
        }
    }

    /// Waits until one more connection may be open. Closes idle connections to make that possible, but only if a client
    /// waits to be accepted.
    async fn wait_for_slot(&self, listener: &Async<TcpListener>) -> Slot {
        if let Some(slot) = self.connections.free_slot() {
            return slot;
        }
        // If the listener can't be polled, the accept that follows tells why.
        let _ = listener.readable().await;
        self.make_room().await
    }

    /// Waits until one more connection may be open, and closes idle connections to make that possible.
    async fn make_room(&self) -> Slot {
        loop {
            if let Some(slot) = self.connections.try_slot() {
                return slot;
            }
            let timeout = async { _ = Timer::after(MAX_PAUSE).await };
            future::or(self.connections.slot_freed(), timeout).await;
        }
    }

    /// Waits until the next accept may succeed.
    async fn recover(&self, failure: AcceptFailure, failures: Failures) {
        match failure {
            // A broken connection does not hold up the others.
            AcceptFailure::Connection if !failures.all.is_multiple_of(MAX_FAILURES_WITHOUT_PAUSE) => {
                future::yield_now().await
            }
            AcceptFailure::Connection => _ = Timer::after(MAX_PAUSE).await,
            AcceptFailure::Host if failures.shortages < EVICT_AFTER_SHORTAGES => {
                Timer::after(FIRST_PAUSE * 2_u32.pow(failures.shortages - 1)).await;
            }
            // Those that wait to be accepted are owed their answers in time, however many idle connections go before.
            AcceptFailure::Host | AcceptFailure::Descriptors if self.connections.evict_idle() => {
                Timer::after(EVICTION_TIME).await;
            }
            AcceptFailure::Host | AcceptFailure::Descriptors => _ = Timer::after(MAX_PAUSE).await,
        }
    }

    /// Accepts the connections that wait in the kernel's queue when the program stops accepting, since their clients may
    /// have written requests. The limit on connections holds meanwhile: clients without a whole request give way. Ends
    /// when no connection waits any more, or at `until`.
    pub async fn accept_backlog(&self, listener: &Async<TcpListener>, until: Instant) {
        let accepted = async {
            self.accept_waiting(listener).await;
            true
        };
        let timeout = async {
            Timer::at(until).await;
            false
        };
        if !future::or(accepted, timeout).await {
            warn!(
                self.log,
                "connections in the queue are not accepted, {} open",
                self.connections.open_count()
            );
        }
    }

    /// Accepts connections until none waits.
    async fn accept_waiting(&self, listener: &Async<TcpListener>) {
        let mut failures = Failures::default();
        while listener.connection_waits() {
            let slot = self.make_room().await;
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    failures = Failures::default();
                    if let Ok(stream) = Async::from_stream(stream) {
                        self.serve(stream, slot);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // One connection failed, or a shortage may be over in a moment: the others are still to be accepted.
                Err(error) => {
                    drop(slot);
                    let failure = accept_failure(&error);
                    failures.count(failure);
                    self.connections.monitor.system_error(SystemCall::Accept, &error);
                    self.recover(failure, failures).await;
                }
            }
        }
    }

    /// Serves a connection in a task of its own.
    fn serve(&self, stream: Async<TcpStream>, slot: Slot) {
        let _ = stream.get_ref().set_nodelay(true);
        // A client that has gone already has no address.
        let Ok(peer) = stream.get_ref().peer_addr() else { return };
        let guard = Connections::register(&self.connections, peer.ip(), slot);
        self.tasks.spawn_detached(async move {
            let closed = ClientConnection::new(&guard, stream).serve().await;
            guard.record_close(closed);
        });
    }
}
