//! The second address, for operators alone: asks whether this process serves, and takes servers out by hand or puts them
//! back. It has a thread, a reactor and descriptors of its own, so that it answers however busy the workers are.
use crate::accord::AccordHandle;
use crate::endpoint_registry::{lock, Mark, Refused, SharedRegistry};
use crate::handover::HandoverLinks;
use crate::http1::answers::Answer;
use crate::http1::head::{Head, HttpError};
use crate::http1::messages::{Incoming, MessageKind, MessageParser};
use crate::maintenance_store::{Kept, MaintenanceStore};
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

/// Connections held at a time. The oldest gives way to one that comes.
const CALLERS: usize = 12;
/// Descriptors that the console may hold: its callers, one that comes, its listener and its reactor.
pub const SOCKETS: usize = CALLERS + 4;
/// How long a caller may take until its call is there whole, and to take its answer.
const WITHIN: Duration = Duration::from_millis(2_500);
/// How long the workers may take to apply a mark, and the disk to keep it: whoever asked waits for a second.
const APPLIED: Duration = Duration::from_millis(900);
/// After a failed accept.
const PAUSE: Duration = Duration::from_millis(50);

pub struct Console {
    pub registry: SharedRegistry,
    pub orders: CommandBroadcaster,
    pub clock: Clock,
    pub log: Logger,
    pub store: Option<Arc<MaintenanceStore>>,
    pub peers: HandoverLinks,
    pub accord: Option<AccordHandle>,
    pub metrics: Arc<Metrics>,
    /// What each worker holds.
    pub gauges: Vec<workers::Gauges>,
}

/// What may be asked, as the paths have it.
const HEALTH: &str = "/healthcheck";
const ACCORD: &str = "/accord";
const METRICS: &str = "/metrics";
/// How often an address that another process has is tried again.
const TRIES: Duration = Duration::from_millis(100);
const SERVERS: &str = "/endpoints/";

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Call<'a> {
    Health,
    Accord,
    Metrics,
    Mark { name: &'a str, out: bool },
}

fn read_call<'a>(method: &str, path: &'a str) -> Result<Call<'a>, HttpError> {
    let none = HttpError { status: 404, message: "there is no such call" };
    let (call, wanted) = match path.strip_prefix(SERVERS).and_then(|rest| rest.rsplit_once('/')) {
        Some((name, word @ ("maint" | "ready"))) if !name.is_empty() => {
            (Call::Mark { name, out: word == "maint" }, "PUT")
        }
        _ if path == HEALTH => (Call::Health, "GET"),
        _ if path == ACCORD => (Call::Accord, "GET"),
        _ if path == METRICS => (Call::Metrics, "GET"),
        _ => return Err(none),
    };
    let fits = method == wanted || (method == "HEAD" && wanted == "GET");
    fits.then_some(call).ok_or(HttpError { status: 405, message: "this call has another method" })
}

/// A name as a path has it, with `%41` and the like.
fn plain(name: &str) -> Option<String> {
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
    /// Listens, and answers from now on for as long as the program lives.
    /// With `waits` the process before this one may have the address still: it is tried again until that has gone.
    pub fn listen(self, at: SocketAddr, waits: bool) -> std::io::Result<()> {
        let bound = match TcpListener::bind(at) {
            Err(fault) if waits && fault.kind() == ErrorKind::AddrInUse => {
                info!(self.log, "console: {}: {}, trying on", at, fault);
                None
            }
            bound => {
                Some(bound.map_err(|fault| Error::new(fault.kind(), format!("console: {at}: {fault}")))?)
            }
        };
        Builder::new().name("console".into()).spawn(move || self.live(at, bound))?;
        Ok(())
    }

    /// Guards against a program whose console has gone for good by one error: whatever ends it, it listens again.
    fn live(self, at: SocketAddr, mut bound: Option<TcpListener>) {
        let console = Rc::new(self);
        loop {
            let listened = bound.take().map_or_else(|| TcpListener::bind(at), Ok).and_then(|listener| {
                info!(console.log, "console at {}", listener.local_addr()?);
                run_on_this_thread(|tasks| console.clone().answer_all(listener, tasks))
            });
            match listened {
                // The process before this one has the address still, as was said.
                Err(fault) if fault.kind() == ErrorKind::AddrInUse => {}
                Err(fault) => warn!(console.log, "console: {}: {}, trying on", at, fault),
                Ok(()) => warn!(console.log, "console: {}: ended, trying on", at),
            }
            std::thread::sleep(TRIES);
        }
    }

    async fn answer_all(self: Rc<Self>, listener: TcpListener, tasks: Tasks) -> std::io::Result<()> {
        let (console, listener) = (self, Async::from_listener(listener)?);
        let mut callers: VecDeque<Task<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(PAUSE).await;
                continue;
            };
            callers.retain(|caller| !caller.is_finished());
            // Guards against callers that finish no call shutting out one that does.
            if callers.len() >= CALLERS {
                callers.pop_front();
            }
            let console = console.clone();
            callers.extend(tasks.spawn(async move { console.serve(stream).await }));
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let late = async { _ = Timer::after(WITHIN).await };
        let served = async {
            let answer = match read(&stream).await {
                Some(Ok(head)) => self.answer(&head).await.unwrap_or_else(Answer::from),
                Some(Err(fault)) => fault.into(),
                None => return,
            };
            if (&stream).write_all(&answer.bytes(false, answer.framing(true))).await.is_ok() {
                let _ = stream.get_ref().shutdown(Shutdown::Write);
                // Guards against a reset that eats the answer where more came than was read.
                let mut rest = Vec::new();
                while stream.read_buf(&mut rest).await.is_ok_and(|count| count > 0) && rest.len() < 1 << 16 {}
            }
        };
        future::or(served, late).await;
    }

    async fn answer(&self, head: &Head) -> Result<Answer, HttpError> {
        let (method, target, _) = head.request_line()?;
        match read_call(method, target.split('?').next().unwrap_or_default())? {
            Call::Health if lock(&self.registry).serves() => Ok(Answer::plain(200, "serving")),
            Call::Health => Ok(Answer::plain(503, "not serving")),
            Call::Accord => match &self.accord {
                Some(accord) => Ok(Answer::plain(200, accord.status().await)),
                None => Err(HttpError { status: 404, message: "instances agree on nothing here" }),
            },
            Call::Metrics => Ok(Answer::plain(200, self.metrics.render(self.gauges()))),
            Call::Mark { name, out } => {
                let name = plain(name).ok_or(HttpError { status: 400, message: "the name is malformed" })?;
                self.mark(&name, out).await
            }
        }
    }

    fn gauges(&self) -> GaugeValues {
        let registry = lock(&self.registry);
        GaugeValues {
            requests: self.gauges.iter().map(|worker| worker.calls.get()).sum(),
            connections: self.gauges.iter().map(|worker| worker.connections.get()).sum(),
            endpoints: registry.counts(),
            list_age: registry.last_heard.map(|heard| Micros(heard.elapsed().as_micros() as u64)),
            watch_open: registry.watch_open,
        }
    }

    async fn mark(&self, name: &str, out: bool) -> Result<Answer, HttpError> {
        let (marked, kept) = {
            let mut registry = lock(&self.registry);
            let marked = registry.mark(name, out, self.clock.now());
            // Under the lock: states are submitted in the order in which they held.
            let store = self.store.as_ref().filter(|_| marked.is_ok());
            (marked, store.map(|store| store.submit(registry.marks().clone(), &self.log)))
        };
        let mark = marked.map_err(|refused| match refused {
            Refused::Unknown => HttpError { status: 404, message: "nobody has this name" },
            Refused::TooMany => HttpError { status: 507, message: "too many are out by hand" },
        })?;
        let mark = &mark;
        let Mark { name, out, .. } = mark;
        self.peers.tell(mark, None);
        if let Some(accord) = &self.accord {
            accord.marked(mark.clone()).await;
        }
        info!(self.log, "{} {} by hand", name, if *out { "out" } else { "back" });
        let applied = async {
            self.orders.send_and_wait(|done| WorkerCommand::ApplyMaintenance(mark.clone(), done)).await;
            true
        };
        let kept = async {
            match kept {
                Some(kept) => kept.recv().await == Ok(Kept::Yes),
                // The platform names no folder: nothing outlives this process, and nobody was promised that.
                None => true,
            }
        };
        let (applied, kept) = future::zip(in_time(applied), in_time(kept)).await;
        // It holds in a moment all the same, and may be said again.
        if !applied {
            return Err(HttpError { status: 504, message: "not applied everywhere yet" });
        }
        if !kept {
            return Err(HttpError {
                status: 507,
                message: "applied, but not kept yet: a restart may undo it",
            });
        }
        Ok(Answer::plain(200, if *out { "out of use" } else { "in use" }))
    }
}

/// False where it takes longer than whoever asked waits.
async fn in_time(done: impl Future<Output = bool>) -> bool {
    let late = async {
        Timer::after(APPLIED).await;
        false
    };
    future::or(done, late).await
}

async fn read(stream: &Async<TcpStream>) -> Option<Result<Head, HttpError>> {
    let mut inbox = MessageParser::new(MessageKind::Request);
    loop {
        match inbox.next_message() {
            Ok(Some(Incoming::Complete(request))) => return Some(Ok(request.head)),
            Ok(Some(Incoming::Partial(request))) => return Some(Ok(request.head)),
            Ok(None) => {}
            Err(fault) => return Some(Err(fault)),
        }
        stream.read_buf(inbox.buffer()).await.ok().filter(|count| *count > 0)?;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_by_path_and_method() {
        let status = |method, path| read_call(method, path).map_err(|fault| fault.status);
        assert_eq!(status("GET", "/healthcheck"), Ok(Call::Health));
        assert_eq!(status("PUT", "/endpoints/s-1/maint"), Ok(Call::Mark { name: "s-1", out: true }));
        assert_eq!(status("PUT", "/endpoints/s-1/ready"), Ok(Call::Mark { name: "s-1", out: false }));
        assert_eq!(status("GET", "/endpoints/s-1/ready"), Err(405));
        assert_eq!(status("PUT", "/healthcheck"), Err(405));
        for path in ["/", "/endpoints/", "/endpoints//maint", "/endpoints/s-1", "/endpoints/s-1/gone"] {
            assert_eq!(status("PUT", path), Err(404), "{path}");
        }
        assert_eq!(plain("s%2D1").as_deref(), Some("s-1"));
        assert_eq!(plain("s%2"), None);
    }
}
