//! The side towards callers: takes connections in, reads requests, gives each API call its one answer.
use super::hop::{Outgoing, TIMEOUT};
use super::parse::{Assembler, Fault, Message, Side};
use super::pool::part;
use super::{Desk, Note};
use crate::decider::Verdict;
use crate::tasks::Tasks;
use crate::timers::Clock;
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oakhollow::types::*;
use oakhollow_terms::Place;
use slog::{warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// How long a request may take to come once its first byte has, and an answer to be taken.
const SLOWEST: Duration = Duration::from_secs(10);
/// After a failed accept: what made it fail, such as a lack of descriptors, does not pass in an instant.
const PAUSE: Duration = Duration::from_millis(50);
/// What a client may send ahead while its API call is out.
const MOST_AHEAD: usize = 64 * 1024;

/// Everything that the connections of callers share.
pub struct Door {
    pub desk: Rc<Desk>,
    pub place: Rc<Place>,
    pub tasks: Tasks,
    pub log: Logger,
    /// Connections held at a time.
    pub most: usize,
    open: Cell<usize>,
    arrived: Cell<u64>,
    /// Those between requests, oldest first; dropping a sender closes its connection.
    idle: RefCell<BTreeMap<u64, Sender<()>>>,
    freed: (Sender<()>, Receiver<()>),
    /// Others wait to be taken in.
    crowded: Cell<bool>,
    able: Cell<bool>,
    closing: Cell<bool>,
}

enum Next {
    Request(Message, Micros),
    Fault(Fault),
    Nothing,
}

impl Door {
    pub fn new(desk: Rc<Desk>, place: Rc<Place>, tasks: Tasks, log: Logger, most: usize) -> Rc<Door> {
        Rc::new(Door {
            desk,
            place,
            tasks,
            log,
            most,
            open: Cell::new(0),
            arrived: Cell::new(0),
            idle: RefCell::default(),
            freed: bounded(1),
            crowded: Cell::new(false),
            able: Cell::new(false),
            closing: Cell::new(false),
        })
    }

    /// Whether `/ready` says so, as far as the phase goes.
    pub fn set_able(&self, able: bool) {
        self.able.set(able);
    }

    /// From now on no connection outlives the answer it waits for.
    pub fn close(&self) {
        self.closing.set(true);
        self.idle.borrow_mut().clear();
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// API calls taken and not yet answered.
    pub fn held(&self) -> usize {
        self.desk.held.get()
    }

    fn clock(&self) -> Clock {
        self.desk.clock
    }

    /// Takes connections in until dropped.
    pub async fn welcome(self: Rc<Self>, listener: &Async<TcpListener>) {
        loop {
            while self.open.get() >= self.most {
                // Guards against kept connections shutting out new clients: the longest idle makes room.
                self.crowded.set(true);
                drop(self.idle.borrow_mut().pop_first());
                let _ = self.freed.1.recv().await;
            }
            self.crowded.set(false);
            match listener.accept().await {
                Ok((stream, _)) => self.take_in(stream),
                Err(fault) => {
                    // Guards against spinning: the connection that can't be taken in stays readable.
                    warn!(self.log, "cannot take a connection in: {}", fault);
                    drop(self.idle.borrow_mut().pop_first());
                    Timer::after(PAUSE).await;
                }
            }
        }
    }

    /// Takes in what the machine has accepted already: those clients may have written their requests.
    pub fn take_rest(self: &Rc<Self>, listener: &Async<TcpListener>) {
        while let Ok((stream, _)) = listener.get_ref().accept() {
            if let Ok(stream) = Async::new(stream) {
                self.take_in(stream);
            }
        }
    }

    fn take_in(self: &Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        self.open.set(self.open.get() + 1);
        let door = self.clone();
        self.tasks.run(async move {
            door.serve(&stream).await;
            drop(stream);
            door.open.set(door.open.get() - 1);
            let _ = door.freed.0.try_send(());
        });
    }

    async fn serve(&self, stream: &Async<TcpStream>) {
        let mut inbox = Assembler::new(Side::Requests);
        loop {
            let (answer, lasts) = match self.next(stream, &mut inbox).await {
                // Between requests nothing can be lost; lingering would keep out those who wait to be taken in.
                Next::Nothing => return,
                Next::Fault(fault) => (plain(fault.status, fault.why), false),
                Next::Request(request, came) => {
                    let lasts = request.lasts;
                    match self.answer(stream, &mut inbox, request, came).await {
                        Some(Ok(answer)) => (answer, lasts),
                        Some(Err(fault)) => (plain(fault.status, fault.why), lasts),
                        None => return, // the client has gone
                    }
                }
            };
            let lasts = lasts && !self.closing.get() && !self.crowded.get() && self.able.get();
            if !write(stream, answer.bytes(lasts)).await {
                return;
            }
            if !lasts {
                return drop(part(stream).await);
            }
        }
    }

    /// Waits for the next request, and for the word to close while there is none.
    async fn next(&self, stream: &Async<TcpStream>, inbox: &mut Assembler) -> Next {
        let (mut came, mut leave_given, mut buffer) = (self.clock().now(), false, [0; 4096]);
        loop {
            match inbox.take() {
                Ok(Some(request)) => return Next::Request(request, came),
                Ok(None) => {}
                Err(fault) => return Next::Fault(fault),
            }
            if inbox.waits_for_leave() && !std::mem::replace(&mut leave_given, true) {
                let leave = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
                if !write(stream, leave).await {
                    return Next::Nothing;
                }
            }
            let begun = inbox.held() > 0;
            let read = async { Some(self.read(stream, &mut buffer).await) };
            let ended = async {
                if begun {
                    Timer::after(SLOWEST).await;
                } else {
                    self.told_to_close().await;
                }
                None
            };
            match future::or(read, ended).await {
                Some(Some(count)) => {
                    if !begun {
                        came = self.clock().now();
                    }
                    inbox.push(&buffer[..count]);
                }
                None if begun => {
                    return Next::Fault(Fault { status: 408, why: "the request came too slowly" })
                }
                _ => return Next::Nothing,
            }
        }
    }

    async fn read(&self, mut stream: &Async<TcpStream>, buffer: &mut [u8]) -> Option<usize> {
        stream.read(buffer).await.ok().filter(|count| *count > 0)
    }

    async fn told_to_close(&self) {
        if self.closing.get() {
            return;
        }
        let number = self.arrived.replace(self.arrived.get() + 1);
        let (sender, receiver) = bounded::<()>(1);
        self.idle.borrow_mut().insert(number, sender);
        let _entry = Entry { idle: &self.idle, number };
        if self.crowded.get() {
            // Guards against waiting for room for ever where all were busy, or not yet idle, when it was looked for.
            let _ = self.freed.0.try_send(());
        }
        let _ = receiver.recv().await;
    }

    /// The answer to a request; none if the client left before it.
    async fn answer(
        &self, stream: &Async<TcpStream>, inbox: &mut Assembler, request: Message, came: Micros,
    ) -> Option<Result<Answer, Fault>> {
        let call = match self.read_call(&request, came) {
            Ok(Some(call)) => call,
            Ok(None) => {
                let able = self.able.get() && self.desk.listed.get();
                let (status, text) = if able { (200, "ready") } else { (503, "not ready") };
                return Some(Ok(plain(status, text)));
            }
            Err(fault) => return Some(Err(fault)),
        };
        let outgoing = match Outgoing::new(request) {
            Ok(outgoing) => outgoing,
            Err(fault) => return Some(Err(fault)),
        };
        let (id, verdict) =
            self.desk.take(call.workload, call.customer, call.repeat, call.abandon, outgoing).await;
        let answered = async { verdict.recv().await.ok() };
        let gone = async {
            let mut buffer = [0; 4096];
            while let Some(count) = self.read(stream, &mut buffer).await {
                inbox.push(&buffer[..count]);
                if inbox.held() > MOST_AHEAD {
                    return future::pending().await;
                }
            }
            None
        };
        match future::or(answered, gone).await {
            Some(Verdict::Succeeded(answer)) => Some(Ok(Answer::Passed(answer))),
            Some(Verdict::Dismissed { cool_down }) => Some(Ok(Answer::Worded {
                status: 503,
                text: "dismissed: trying again is harmless",
                retry_after: Some(cool_down).filter(|time| time.0 > 0),
            })),
            Some(Verdict::Errored) => Some(Ok(plain(502, "errored"))),
            None => {
                self.desk.tell(Note::Withdrawn(id)).await;
                None
            }
        }
    }

    /// What the decisions need of a request; none if it asks whether this sidecar is ready.
    fn read_call(&self, request: &Message, came: Micros) -> Result<Option<Call>, Fault> {
        let head = &request.head;
        let (method, target, _) = head.request()?;
        let path = target.split('?').next().unwrap_or_default();
        if (method, path) == ("GET", "/ready") {
            return Ok(None);
        }
        let fault = |status, why| Fault { status, why };
        if !matches!(method, "GET" | "POST") {
            return Err(fault(405, "only GET and POST are spoken"));
        }
        head.only("Host")?.ok_or(fault(400, "Host is missing"))?;
        head.only("Request-Id")?.filter(|id| !id.is_empty()).ok_or(fault(400, "Request-Id is missing"))?;
        head.only("Idempotency-Key")?;
        let named = head.only("Request-Class")?;
        let name = named.or(path.split('/').nth(1)).unwrap_or_default();
        let workload = self.place.workloads.iter().position(|workload| workload.name == name);
        let workload = workload.ok_or(fault(404, "no such workload"))?;
        let longest = self.place.workloads[workload].abandon;
        let told = head.only(TIMEOUT)?.map(|text| text.parse().map(Micros::millis));
        let told = told.transpose().map_err(|_| fault(400, "Request-Timeout-Ms is no whole number"))?;
        let customer = head.only("Tenant")?;
        let known = |name| self.place.customers.iter().position(|customer| customer == name);
        Ok(Some(Call {
            workload: WorkloadId(workload),
            customer: CustomerId(customer.and_then(known).unwrap_or(0)),
            repeat: head.only("Client-Retry")? == Some("1"),
            abandon: came + told.unwrap_or(longest).min(longest),
        }))
    }
}

struct Call {
    workload: WorkloadId,
    customer: CustomerId,
    repeat: bool,
    abandon: Micros,
}

/// A connection's place among the idle; given up when it is idle no more.
struct Entry<'a> {
    idle: &'a RefCell<BTreeMap<u64, Sender<()>>>,
    number: u64,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.idle.borrow_mut().remove(&self.number);
    }
}

enum Answer {
    /// A server's answer, its body and the headers that go on unchanged.
    Passed(Message),
    Worded {
        status: u16,
        text: &'static str,
        retry_after: Option<Micros>,
    },
}

fn plain(status: u16, text: &'static str) -> Answer {
    Answer::Worded { status, text, retry_after: None }
}

impl Answer {
    fn bytes(self, lasts: bool) -> Vec<u8> {
        let (mut out, body) = match self {
            Answer::Passed(Message { head, body, .. }) => {
                let mut out = b"HTTP/1.1 200 OK\r\n".to_vec();
                head.pass_on("", &mut out);
                (out, body)
            }
            Answer::Worded { status, text, retry_after } => {
                let word = reason(status);
                let mut out = format!("HTTP/1.1 {status} {word}\r\nContent-Type: text/plain\r\n");
                if let Some(time) = retry_after {
                    out += &format!("Retry-After: {:.3}\r\n", time.secs());
                }
                (out.into_bytes(), format!("{text}\n").into_bytes())
            }
        };
        let close = if lasts { "" } else { "Connection: close\r\n" };
        out.extend_from_slice(format!("{close}Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        out.extend_from_slice(&body);
        out
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Answer",
    }
}

/// False if the client is gone or takes nothing.
async fn write(mut stream: &Async<TcpStream>, bytes: Vec<u8>) -> bool {
    let written = async { stream.write_all(&bytes).await.is_ok() };
    let late = async {
        Timer::after(SLOWEST).await;
        false
    };
    future::or(written, late).await
}
