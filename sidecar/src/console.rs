//! The console, a second HTTP address for operators: it reports health, metrics and the agreement's status, and puts
//! endpoints into maintenance or takes them out of it. It has its own thread, reactor and descriptors, so that it
//! answers however busy the workers are.
use crate::agreement::AgreementHandle;
use crate::endpoint_registry::{lock, MaintenanceError, MaintenanceMark, SharedRegistry};
use crate::handover::HandoverLinks;
use crate::http1::answers::Answer;
use crate::http1::head::{Head, HttpError};
use crate::http1::messages::{Incoming, MessageKind, MessageParser};
use crate::maintenance_store::{MaintenanceStore, SaveResult};
use crate::metrics::{GaugeValues, Metrics};
use crate::reactor::{Async, Timer};
use crate::tasks::Tasks;
use crate::timers::Clock;
use crate::workers::{self, run_on_this_thread, CommandBroadcaster, WorkerCommand};
use async_executor::Task;
use futures_lite::{future, AsyncWriteExt};
use oakhollow::types::Micros;
use slog::{info, warn, Logger};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::Builder;
use std::time::Duration;

/// Connections held at a time. A new one beyond that replaces the oldest.
const MAX_CONNECTIONS: usize = 12;
/// The most descriptors that the console may hold: its connections, a new one, its listener and its reactor.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 4;
/// How long a client may take to send its request and read the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long workers may take to apply a mark, and the disk to save it. The platform's client waits for 1 s.
const APPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The console, and the parts of the process that it reports on and changes.
pub struct Console {
    pub registry: SharedRegistry,
    pub commands: CommandBroadcaster,
    pub clock: Clock,
    pub log: Logger,
    pub store: Option<Arc<MaintenanceStore>>,
    pub handover_links: HandoverLinks,
    pub agreement: Option<AgreementHandle>,
    pub metrics: Arc<Metrics>,
    /// The gauges of each worker.
    pub gauges: Vec<workers::WorkerGauges>,
}

/// The paths of the requests.
const HEALTH_PATH: &str = "/healthcheck";
const AGREEMENT_PATH: &str = "/accord";
const METRICS_PATH: &str = "/metrics";
/// How often a bind is tried again, such as to an address that another process still has.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The prefix of paths that name an endpoint.
const ENDPOINTS_PATH: &str = "/endpoints/";

/// A request to the console.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Request<'a> {
    Health,
    AgreementStatus,
    Metrics,
    Maintenance { name: &'a str, in_maintenance: bool },
}

fn parse_request<'a>(method: &str, path: &'a str) -> Result<Request<'a>, HttpError> {
    let not_found = HttpError { status: 404, message: "there is no such call" };
    let (request, required_method) =
        match path.strip_prefix(ENDPOINTS_PATH).and_then(|rest| rest.rsplit_once('/')) {
            Some((name, state @ ("maint" | "ready"))) if !name.is_empty() => {
                (Request::Maintenance { name, in_maintenance: state == "maint" }, "PUT")
            }
            _ if path == HEALTH_PATH => (Request::Health, "GET"),
            _ if path == AGREEMENT_PATH => (Request::AgreementStatus, "GET"),
            _ if path == METRICS_PATH => (Request::Metrics, "GET"),
            _ => return Err(not_found),
        };
    let method_matches = method == required_method || (method == "HEAD" && required_method == "GET");
    method_matches
        .then_some(request)
        .ok_or(HttpError { status: 405, message: "this call has another method" })
}

/// Decodes percent-encoding, such as `%41`, in a name from a path.
fn percent_decode(name: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(name.len());
    let mut rest = name.bytes();
    while let Some(byte) = rest.next() {
        let digit = |byte: Option<u8>| char::from(byte?).to_digit(16);
        bytes.push(match byte {
            b'%' => (digit(rest.next())? * 16 + digit(rest.next())?) as u8,
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}

impl Console {
    /// Starts the console, which answers for as long as the process lives. With `retry_bind` the predecessor may
    /// still have the address: the bind is tried again until that process has ended.
    pub fn listen(self, address: SocketAddr, retry_bind: bool) -> std::io::Result<()> {
        let bound = match TcpListener::bind(address) {
            Err(error) if retry_bind && error.kind() == ErrorKind::AddrInUse => {
                info!(self.log, "console: {}: {}, retrying", address, error);
                None
            }
            bound => Some(
                bound.map_err(|error| Error::new(error.kind(), format!("console: {address}: {error}")))?,
            ),
        };
        Builder::new().name("console".into()).spawn(move || self.run(address, bound))?;
        Ok(())
    }

    /// Runs the console, and restarts it whenever an error ends it.
    fn run(self, address: SocketAddr, mut bound: Option<TcpListener>) {
        let console = Rc::new(self);
        loop {
            let result = bound.take().map_or_else(|| TcpListener::bind(address), Ok).and_then(|listener| {
                info!(console.log, "console at {}", listener.local_addr()?);
                run_on_this_thread(|tasks| console.clone().accept_connections(listener, tasks))
            });
            match result {
                // The predecessor still has the address, as logged above.
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => warn!(console.log, "console: {}: {}, retrying", address, error),
                Ok(()) => warn!(console.log, "console: {}: ended, restarting", address),
            }
            std::thread::sleep(BIND_RETRY_DELAY);
        }
    }

    async fn accept_connections(self: Rc<Self>, listener: TcpListener, tasks: Tasks) -> std::io::Result<()> {
        let (console, listener) = (self, Async::from_listener(listener)?);
        let mut connections: VecDeque<Task<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            connections.retain(|connection| !connection.is_finished());
            // Clients that never finish a request must not keep out those that do.
            if connections.len() >= MAX_CONNECTIONS {
                connections.pop_front();
            }
            let console = console.clone();
            connections.extend(tasks.spawn(async move { console.serve(stream).await }));
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let timeout = async { _ = Timer::after(REQUEST_TIMEOUT).await };
        let served = async {
            let answer = match read_request(&stream).await {
                Some(Ok(head)) => self.answer(&head).await.unwrap_or_else(Answer::from),
                Some(Err(error)) => error.into(),
                None => return,
            };
            if (&stream).write_all(&answer.bytes(false, answer.framing(true))).await.is_ok() {
                let _ = stream.get_ref().shutdown(Shutdown::Write);
                // Closing with unread bytes would reset the connection, and the client could lose the answer.
                let mut rest = Vec::new();
                while stream.read_buf(&mut rest).await.is_ok_and(|count| count > 0) && rest.len() < 1 << 16 {}
            }
        };
        future::or(served, timeout).await;
    }

    async fn answer(&self, head: &Head) -> Result<Answer, HttpError> {
        let (method, target, _) = head.request_line()?;
        match parse_request(method, target.split('?').next().unwrap_or_default())? {
            Request::Health if lock(&self.registry).is_serving() => Ok(Answer::plain(200, "serving")),
            Request::Health => Ok(Answer::plain(503, "not serving")),
            Request::AgreementStatus => match &self.agreement {
                Some(agreement) => Ok(Answer::plain(200, agreement.status().await)),
                None => Err(HttpError { status: 404, message: "instances agree on nothing here" }),
            },
            Request::Metrics => Ok(Answer::plain(200, self.metrics.render(self.gauge_values()))),
            Request::Maintenance { name, in_maintenance } => {
                let name = percent_decode(name)
                    .ok_or(HttpError { status: 400, message: "the name is malformed" })?;
                self.set_maintenance(&name, in_maintenance).await
            }
        }
    }

    fn gauge_values(&self) -> GaugeValues {
        let registry = lock(&self.registry);
        GaugeValues {
            requests: self.gauges.iter().map(|worker| worker.requests.get()).sum(),
            connections: self.gauges.iter().map(|worker| worker.connections.get()).sum(),
            endpoints: registry.endpoint_counts(),
            list_age: registry.last_heard.map(|heard| Micros(heard.elapsed().as_micros() as u64)),
            watch_open: registry.watch_open,
        }
    }

    /// Puts an endpoint into maintenance or takes it out of it, and waits until that is applied and saved.
    async fn set_maintenance(&self, name: &str, in_maintenance: bool) -> Result<Answer, HttpError> {
        let (result, saved) = {
            let mut registry = lock(&self.registry);
            let result = registry.set_maintenance(name, in_maintenance, self.clock.now());
            // Under the lock, so that states are submitted in the order in which they were set.
            let store = self.store.as_ref().filter(|_| result.is_ok());
            (result, store.map(|store| store.submit(registry.marks().clone(), &self.log)))
        };
        let mark = result.map_err(|error| match error {
            MaintenanceError::UnknownEndpoint => HttpError { status: 404, message: "nobody has this name" },
            MaintenanceError::TooMany => HttpError { status: 507, message: "too many are out by hand" },
        })?;
        let mark = &mark;
        let MaintenanceMark { name, in_maintenance, .. } = mark;
        self.handover_links.send_maintenance(mark, None);
        if let Some(agreement) = &self.agreement {
            agreement.apply_maintenance(mark.clone()).await;
        }
        info!(self.log, "{} {} by hand", name, if *in_maintenance { "out" } else { "back" });
        let applied = async {
            self.commands.send_and_wait(|done| WorkerCommand::ApplyMaintenance(mark.clone(), done)).await;
            true
        };
        let saved = async {
            match saved {
                Some(saved) => saved.recv().await == Ok(SaveResult::Saved),
                // The platform provides no folder, so marks are not expected to outlive this process.
                None => true,
            }
        };
        let (applied, saved) = future::zip(within_apply_timeout(applied), within_apply_timeout(saved)).await;
        // It will still be applied in a moment, and the client may repeat the request.
        if !applied {
            return Err(HttpError { status: 504, message: "not applied everywhere yet" });
        }
        if !saved {
            return Err(HttpError {
                status: 507,
                message: "applied, but not kept yet: a restart may undo it",
            });
        }
        Ok(Answer::plain(200, if *in_maintenance { "out of use" } else { "in use" }))
    }
}

/// The result of `done`; false if that takes longer than [`APPLY_TIMEOUT`].
async fn within_apply_timeout(done: impl Future<Output = bool>) -> bool {
    let timeout = async {
        Timer::after(APPLY_TIMEOUT).await;
        false
    };
    future::or(done, timeout).await
}

async fn read_request(stream: &Async<TcpStream>) -> Option<Result<Head, HttpError>> {
    let mut parser = MessageParser::new(MessageKind::Request);
    loop {
        match parser.next_message() {
            Ok(Some(Incoming::Complete(request))) => return Some(Ok(request.head)),
            Ok(Some(Incoming::Partial(request))) => return Some(Ok(request.head)),
            Ok(None) => {}
            Err(error) => return Some(Err(error)),
        }
        stream.read_buf(parser.buffer()).await.ok().filter(|count| *count > 0)?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_are_parsed_by_path_and_method() {
        let status = |method, path| parse_request(method, path).map_err(|error| error.status);
        assert_eq!(status("GET", "/healthcheck"), Ok(Request::Health));
        assert_eq!(
            status("PUT", "/endpoints/s-1/maint"),
            Ok(Request::Maintenance { name: "s-1", in_maintenance: true })
        );
        assert_eq!(
            status("PUT", "/endpoints/s-1/ready"),
            Ok(Request::Maintenance { name: "s-1", in_maintenance: false })
        );
        assert_eq!(status("GET", "/endpoints/s-1/ready"), Err(405));
        assert_eq!(status("PUT", "/healthcheck"), Err(405));
        for path in ["/", "/endpoints/", "/endpoints//maint", "/endpoints/s-1", "/endpoints/s-1/gone"] {
            assert_eq!(status("PUT", path), Err(404), "{path}");
        }
        assert_eq!(percent_decode("s%2D1").as_deref(), Some("s-1"));
        assert_eq!(percent_decode("s%2"), None);
    }
}
