//! One attempt: a request to a server, and what comes back, as the outcome that the protocol gives it.
use super::head::{Head, HttpError};
use super::load;
use super::messages::{Incoming, Message, MessageKind, MessageParser, PartialMessage, Rest};
use super::pool::{Link, Pool};
use super::Fence;
use crate::dispatcher::{AttemptEnd, AttemptProgress, LoadReport};
use crate::metrics::SystemCall;
use crate::monitor::Monitor;
use crate::reactor::{Async, EndOf, Timer};
use crate::timers::duration;
use async_channel::{bounded, Receiver, Sender};
use futures_lite::{future, AsyncWrite};
use oakhollow::types::{Micros, Outcome};
use oakhollow_guard::{AttemptPermit, Denial, SendConditions};
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const TIMEOUT: &str = "Request-Timeout-Ms";
/// How long nothing may come of an answer that has begun, while it is held back: what says no more is spoilt.
const STALLED: Duration = Duration::from_millis(1_000);
/// How long an answer is held back of which nobody said how long it is.
const HELD: Duration = Duration::from_millis(1_000);
/// How much of a long answer is held back: enough to see that it has a body at all.
const FIRST: usize = 8 * 1024;
/// How long one side may take nothing, or give nothing, of a body that is passed on.
pub const IDLE: Duration = Duration::from_secs(10);

/// A request as it goes out, but for the time that is left at each hop.
pub struct Outgoing {
    front: Vec<u8>,
    body: Vec<u8>,
    /// Whether its caller has gone.
    gone: EndOf,
    upload: Option<Upload>,
}

/// When the last byte of a long request came, once it has.
type Whole = Rc<Cell<Option<Instant>>>;

/// The rest of a long request, which its caller's task reads while a hop passes it on.
struct Upload {
    parts: RefCell<Option<Receiver<Vec<u8>>>>,
    whole: Whole,
    chunked: bool,
    /// How long the answer may take once the last byte has come.
    left: Micros,
}

/// The caller's end of an upload.
pub struct Feed {
    parts: Option<Sender<Vec<u8>>>,
    whole: Whole,
}

impl Feed {
    /// Waits for room. False if no hop wants it any more.
    pub async fn give(&self, part: Vec<u8>) -> bool {
        match &self.parts {
            Some(parts) => parts.send(part).await.is_ok(),
            None => false,
        }
    }

    pub fn finish(&mut self) {
        self.whole.set(Some(Instant::now()));
        self.parts = None;
    }
}

impl Outgoing {
    pub fn new(request: Message, gone: EndOf) -> Result<Outgoing, HttpError> {
        let Message { head, body, .. } = request;
        let (mut front, method) = Outgoing::front(&head)?;
        if !body.is_empty() || method != "GET" {
            front.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        Ok(Outgoing { front, body, gone, upload: None })
    }

    /// A request of which only the first part has come.
    pub fn begun(
        head: &Head, kept: Vec<u8>, rest: &Rest, left: Micros, gone: EndOf,
    ) -> Result<(Outgoing, Feed), HttpError> {
        let (mut front, _) = Outgoing::front(head)?;
        match rest.length() {
            Some(length) => front.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes()),
            None => front.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        }
        let (chunked, whole) = (rest.length().is_none(), Whole::default());
        let body = if chunked { chunk(&kept) } else { kept };
        let (sender, parts) = bounded(1);
        let parts = RefCell::new(Some(parts));
        let upload = Some(Upload { parts, whole: whole.clone(), chunked, left });
        Ok((Outgoing { front, body, gone, upload }, Feed { parts: Some(sender), whole }))
    }

    fn front(head: &Head) -> Result<(Vec<u8>, &str), HttpError> {
        let (method, target, _) = head.request_line()?;
        let mut front = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        head.pass_on(TIMEOUT, &mut front);
        Ok((front, method))
    }

    /// What is left at that moment of a hop's time, which is over by `by`; a long request's runs from its last byte.
    fn left(&self, by: Instant, now: Instant) -> Duration {
        match &self.upload {
            None => by.saturating_duration_since(now),
            Some(upload) => {
                let since = upload.whole.get().map(|whole| now.saturating_duration_since(whole));
                duration(upload.left).saturating_sub(since.unwrap_or_default())
            }
        }
    }

    fn bytes(&self, told: Micros) -> Vec<u8> {
        let timeout = format!("{TIMEOUT}: {}\r\n\r\n", told.0 / 1_000);
        [&self.front, timeout.as_bytes(), &self.body].concat()
    }
}

/// What a server is told of the time that is left: whole milliseconds, and one at least.
fn told(left: Duration) -> Micros {
    Micros::millis(left.as_millis().max(1) as u64)
}

/// One chunk of a chunked body; nothing for nothing, which would end it.
pub fn chunk(part: &[u8]) -> Vec<u8> {
    if part.is_empty() {
        return Vec::new();
    }
    [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
}

pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes all of it for as long as the other side takes some now and then.
pub async fn write(stream: &Async<TcpStream>, mut bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = stream;
    while !bytes.is_empty() {
        let taken = poll_fn(|context| Pin::new(&mut stream).poll_write(context, bytes));
        let idle = async {
            Timer::after(IDLE).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let count = future::or(taken, idle).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[count..];
    }
    Ok(())
}

/// A server's answer: whole, or its beginning with what carries the rest.
pub struct Reply {
    pub head: Head,
    pub body: Vec<u8>,
    pub rest: Option<Download>,
}

/// The rest of a long answer, on its server's connection.
pub struct Download {
    rest: Rest,
    link: Rc<Link>,
    pool: Rc<Pool>,
    from: SocketAddr,
}

impl Download {
    /// How long the whole body is, where that was said.
    pub fn length(&self) -> Option<usize> {
        self.rest.length()
    }

    /// What has come of the rest, after waiting for some; nothing once it is whole. None if it broke.
    pub async fn more(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            self.rest.feed(&mut body).ok()?;
            if !body.is_empty() || self.rest.whole() {
                return Some(body);
            }
            let read = async { self.link.read_buf(self.rest.buffer()).await.ok() };
            let idle = async {
                Timer::after(IDLE).await;
                None
            };
            if future::or(read, idle).await? == 0 {
                self.rest.ended();
                if !self.rest.whole() {
                    return None;
                }
            }
        }
    }

    /// Keeps the connection, where it can carry another.
    pub fn done(self, lasts: bool) {
        if lasts && self.rest.whole() && self.rest.lasts() {
            self.pool.park(self.from, self.link);
        }
    }
}

/// Where an attempt goes, and what forbids its first byte.
pub struct Target {
    pub at: SocketAddr,
    /// False once its server wants nothing new.
    pub wanted: Rc<Cell<bool>>,
    pub fence: Fence,
    /// What is told all that happens, and says whether the first byte may be written.
    pub monitor: Rc<Monitor>,
    pub permit: AttemptPermit,
}

/// Makes an attempt, until `by` at most.
pub async fn attempt(
    pool: Rc<Pool>, content: Rc<Outgoing>, to: Target, (by, progress): (Instant, Rc<AttemptProgress>),
    reads_load_reports: bool,
) -> AttemptEnd<Reply> {
    let exchange = async {
        let exchanged = exchange(&pool, &content, &to, by, &progress).await;
        exchanged.map_or_else(ended, |reply| judge(reply, reads_load_reports))
    };
    let late = async {
        // A request's time runs from its last byte, which this attempt passes on.
        if content.upload.is_some() {
            return future::pending().await;
        }
        Timer::at(by).await;
        // What was never written whole has not been begun.
        ended(if progress.fully_sent_at.get().is_some() { Outcome::TimedOut } else { Outcome::NoConnection })
    };
    let end = future::or(exchange, late).await;
    let since = progress.fully_sent_at.get().filter(|_| content.upload.is_some());
    AttemptEnd { elapsed: since.map(|since| Micros(since.elapsed().as_micros() as u64)), ..end }
}

async fn exchange(
    pool: &Rc<Pool>, content: &Outgoing, target: &Target, by: Instant, progress: &AttemptProgress,
) -> Result<Reply, Outcome> {
    let to = target.at;
    // What an attempt before this one has passed on is gone.
    if content.upload.as_ref().is_some_and(|upload| upload.parts.borrow().is_none()) {
        return Err(Outcome::NotSent);
    }
    let link = match pool.rested(to).await {
        Some(link) => link,
        None => pool.connect(to, target.wanted.clone()).await.map_err(|failure| {
            if let Some(error) = &failure.error {
                target.monitor.system_error(SystemCall::Connect, error);
            }
            failure.outcome
        })?,
    };
    // The connection took its time too.
    let left = content.left(by, Instant::now());
    let told = told(left);
    let look = SendConditions {
        server_available: target.wanted.get(),
        lease_valid: target.fence.lease_valid(),
        list_fresh: target.fence.list_fresh(),
        client_gone: content.gone.has_come(),
        time_left: Micros(left.as_micros() as u64),
        announced_timeout: told,
    };
    let permit = match target.monitor.permit_send(&target.permit, look) {
        Ok(permit) => permit,
        // Guards against a first byte for a client whose end came in one turn with the connection, or with what its request
        // waited for: the withdrawal, which is on its way, ends this attempt.
        Err(Denial::ClientGone | Denial::RequestOver) => return future::pending().await,
        Err(Denial::OutOfTime) => return Err(Outcome::NoConnection),
        Err(Denial::ServerNotWanted | Denial::LeaseLapsed | Denial::ListStale | Denial::MayHaveRun) => {
            return Err(Outcome::NotSent)
        }
    };
    progress.send_started.set(true);
    let mut inbox = MessageParser::new(MessageKind::Answer);
    let broken = |error: std::io::Error| {
        target.monitor.system_error(SystemCall::Transfer, &error);
        Outcome::NoConnection
    };
    link.begin(permit, &content.bytes(told)).await.map_err(broken)?;
    let mut late = None;
    if let Some(upload) = &content.upload {
        let sent = async { pass_on(upload, &link).await.map(|()| None) };
        let early = async { read(&link, &mut inbox, future::pending()).await.map(Some) };
        // A server that has its answer before it has the request wants no more of it.
        match future::or(sent, early).await {
            Ok(None) => late = Some(Timer::after(duration(upload.left))),
            Ok(Some(came)) => return Ok(reply(came, pool, to, link, false)),
            Err(_) => return Err(Outcome::NoConnection),
        }
    }
    progress.fully_sent_at.set(Some(Instant::now()));
    target.monitor.last_byte_written(&target.permit);
    // From here on it may have run, whatever breaks.
    let late = async {
        match late {
            Some(late) => _ = late.await,
            None => future::pending().await,
        }
    };
    let came = read(&link, &mut inbox, late).await?;
    // Bytes behind a whole answer are nobody's: what comes next on that connection could be taken for an answer.
    let lasts = inbox.held() == 0;
    if !lasts {
        pool.stray();
    }
    Ok(reply(came, pool, to, link, lasts))
}

/// The rest of a long request, as its caller gives it.
async fn pass_on(upload: &Upload, link: &Link) -> Result<(), Outcome> {
    let parts = upload.parts.borrow_mut().take().ok_or(Outcome::NotSent)?;
    let gone = |_| Outcome::NoConnection;
    while let Ok(part) = parts.recv().await {
        let part = if upload.chunked { chunk(&part) } else { part };
        link.go_on(&part).await.map_err(gone)?;
    }
    if upload.whole.get().is_none() {
        return Err(Outcome::NoConnection);
    }
    if upload.chunked {
        link.go_on(LAST_CHUNK).await.map_err(gone)?;
    }
    Ok(())
}

fn reply(came: Incoming, pool: &Rc<Pool>, from: SocketAddr, link: Rc<Link>, lasts: bool) -> Reply {
    match came {
        Incoming::Complete(Message { head, body, lasts: asked }) => {
            if asked && lasts {
                pool.park(from, link);
            }
            Reply { head, body, rest: None }
        }
        Incoming::Partial(PartialMessage { head, kept, rest }) => {
            let rest = Some(Download { rest, link, pool: pool.clone(), from });
            Reply { head, body: kept, rest }
        }
    }
}

/// Reads one answer, or the beginning of a long one. What can't be read has run all the same; only an end that the
/// server made is a break.
async fn read(
    link: &Link, inbox: &mut MessageParser, late: impl Future<Output = ()>,
) -> Result<Incoming, Outcome> {
    let late = async {
        late.await;
        Err(Outcome::TimedOut)
    };
    let read = async {
        let mut begun = None;
        loop {
            let read = async { Some(link.read_buf(inbox.buffer()).await) };
            let idle = async {
                match begun {
                    Some(_) => _ = Timer::after(STALLED).await,
                    None => future::pending().await,
                }
                None
            };
            // Guards against waiting out the call's time for the end of an answer that has none.
            let count = future::or(read, idle).await.ok_or(Outcome::Errored)?.map_err(|_| Outcome::Broken)?;
            if count == 0 {
                return inbox.ended().map(Incoming::Complete).ok_or(Outcome::Broken);
            }
            if let Some(came) = inbox.next_message().map_err(|_| Outcome::Errored)? {
                return Ok(came);
            }
            let since = *begun.get_or_insert_with(Instant::now);
            let enough = match inbox.under_way() {
                Some((came, true)) => came >= FIRST,
                Some((came, false)) => came > 0 && since.elapsed() >= HELD,
                None => false,
            };
            if let Some(begun) = enough.then(|| inbox.begin()).flatten() {
                return Ok(Incoming::Partial(begun));
            }
        }
    };
    future::or(read, late).await
}

/// A hop that brought no answer.
fn ended(outcome: Outcome) -> AttemptEnd<Reply> {
    AttemptEnd { outcome, answer: None, load_report: LoadReport::Absent, elapsed: None }
}

fn judge(answer: Reply, reads_load_reports: bool) -> AttemptEnd<Reply> {
    let not_started = |head: &Head| head.all("Not-Started").any(|value| value == b"1");
    let load_report = if reads_load_reports { load::report(&answer.head) } else { LoadReport::Absent };
    let (outcome, answer) = match answer.head.status() {
        Ok(200) => (Outcome::Succeeded, Some(answer)),
        Ok(503 | 504) if not_started(&answer.head) => (Outcome::Full, None),
        _ => (Outcome::Errored, None),
    };
    AttemptEnd { outcome, answer, load_report, elapsed: None }
}
