//! One call for the list of endpoints: its connection, its request and the lines of its answer.
use super::progress::{LineArrival, Progress, Stage};
use crate::http1::chunks::ChunkDecoder;
use crate::http1::head::{Framing, Head, HttpError};
use crate::metrics::ListRequestOutcome;
use crate::uninterrupted::Uninterrupted;
use async_channel::{bounded, Receiver, Sender};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oakhollow_terms::ListIndex;
use std::cell::Cell;
use std::convert::Infallible;
use std::fmt::{self, Display, Formatter};
use std::future::Future;
use std::io::Error;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How many bytes are read at a time.
const READ_SIZE: usize = 16 * 1024;
/// Events that may wait for the watch.
const MOST_EVENTS: usize = 1;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Whom to call.
    pub discovery: SocketAddr,
    /// What changed after this version is asked for, or the whole list.
    pub from: ListIndex,
    /// The longest line that is taken, in bytes.
    pub max_line_bytes: usize,
}

/// What a call brings.
#[derive(Debug)]
pub enum CallEvent {
    /// Its connection was taken, so long after it was begun.
    Connected(Duration),
    /// It was answered with a list, of which nothing has come yet.
    Answered,
    /// A whole line, without the white space around it.
    Line(Vec<u8>, LineArrival),
}

/// Why a call has ended.
#[derive(Debug)]
pub enum CallFailure {
    /// Its connection did not come up.
    Unreachable(Error),
    /// It was answered with another status than 200.
    Rejected(u16),
    /// Discovery ended it.
    Closed(&'static str),
    /// Its connection broke.
    Broken(Error),
    /// What came is not what the protocol allows.
    Malformed(String),
}

impl CallFailure {
    /// As what it is counted.
    pub fn outcome(&self) -> ListRequestOutcome {
        match self {
            CallFailure::Unreachable(_) => ListRequestOutcome::Unreachable,
            CallFailure::Rejected(_) => ListRequestOutcome::Rejected,
            CallFailure::Closed(_) | CallFailure::Broken(_) => ListRequestOutcome::Broken,
            CallFailure::Malformed(_) => ListRequestOutcome::Malformed,
        }
    }
}

impl Display for CallFailure {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        match self {
            CallFailure::Unreachable(error) | CallFailure::Broken(error) => write!(to, "{error}"),
            CallFailure::Rejected(status) => write!(to, "discovery answered {status}"),
            CallFailure::Closed(how) => write!(to, "discovery {how}"),
            CallFailure::Malformed(why) => write!(to, "{why}"),
        }
    }
}

impl From<HttpError> for CallFailure {
    fn from(fault: HttpError) -> CallFailure {
        CallFailure::Malformed(fault.message.into())
    }
}

/// A call under way. Dropping it cancels it.
pub struct ListCall {
    events: Receiver<CallEvent>,
    work: Pin<Box<dyn Future<Output = CallFailure>>>,
    progress: Rc<Cell<Progress>>,
    /// How long it may be without a whole line until another is made beside it.
    pub patience: Duration,
    /// It has brought a whole line.
    pub has_told: bool,
}

impl ListCall {
    /// Begins a call, which goes on while [`ListCall::next`] is waited for.
    pub fn begin(request: Request, patience: Duration) -> ListCall {
        let (to, events) = bounded(MOST_EVENTS);
        let progress = Rc::new(Cell::new(Progress::begun_at(Instant::now())));
        let worker = Worker { request, to, progress: progress.clone() };
        let work = async move {
            match worker.follow().await {
                Err(failure) => failure,
                Ok(never) => match never {},
            }
        };
        ListCall { events, work: Box::pin(work), progress, patience, has_told: false }
    }

    /// The next event, or its end. May be dropped and called again.
    pub async fn next(&mut self) -> Result<CallEvent, CallFailure> {
        let events = self.events.clone();
        let came = async {
            match events.recv().await {
                Ok(event) => Ok(event),
                // Its sender lives as long as the work, which says why it ends.
                Err(_) => future::pending().await,
            }
        };
        future::or(came, async { Err((&mut self.work).await) }).await
    }

    /// How far it has come.
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }
}

/// What carries a call out.
struct Worker {
    request: Request,
    to: Sender<CallEvent>,
    progress: Rc<Cell<Progress>>,
}

impl Worker {
    fn note<T>(&self, change: impl FnOnce(&mut Progress) -> T) -> T {
        let mut progress = self.progress.get();
        let changed = change(&mut progress);
        self.progress.set(progress);
        changed
    }

    async fn tell(&self, event: CallEvent) {
        // Whoever no more listens has dropped the call.
        let _ = self.to.send(event).await;
    }

    async fn follow(&self) -> Result<Infallible, CallFailure> {
        let begun = Instant::now();
        let connecting = Async::<TcpStream>::connect(self.request.discovery);
        let stream = connecting.await.map_err(CallFailure::Unreachable)?;
        self.note(|progress| progress.reach(Stage::Asking));
        self.tell(CallEvent::Connected(begun.elapsed())).await;
        let Request { discovery, from, .. } = self.request;
        let head = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n",
            from.0
        );
        Uninterrupted(&stream).write_all(head.as_bytes()).await.map_err(CallFailure::Broken)?;
        self.note(|progress| progress.reach(Stage::Head));
        self.read(&stream).await
    }

    async fn read(&self, stream: &Async<TcpStream>) -> Result<Infallible, CallFailure> {
        let mut answer = Answer::default();
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let count = Uninterrupted(stream).read(&mut buffer).await.map_err(CallFailure::Broken)?;
            if count == 0 {
                return Err(CallFailure::Closed("closed the connection"));
            }
            self.note(|progress| progress.received(count, Instant::now()));
            let had_head = answer.framing.is_some();
            answer.take(&buffer[..count], self.request.max_line_bytes)?;
            if answer.framing.is_some() && !had_head {
                self.note(|progress| progress.reach(Stage::FirstLine));
                self.tell(CallEvent::Answered).await;
            }
            while let Some(line) = answer.line() {
                let arrival = self.note(|progress| progress.line_ended(Instant::now()));
                self.tell(CallEvent::Line(line, arrival)).await;
            }
            if answer.chunks.is_done() {
                return Err(CallFailure::Closed("ended the watch"));
            }
            if answer.body.len() >= self.request.max_line_bytes {
                return Err(CallFailure::Malformed("a line without an end".into()));
            }
        }
    }
}

/// An answer as it comes.
#[derive(Default)]
struct Answer {
    /// What has come and is not yet parsed.
    raw: Vec<u8>,
    framing: Option<Framing>,
    chunks: ChunkDecoder,
    /// The body, from the first line that is not yet taken.
    body: Vec<u8>,
    /// Up to here the body has no line's end: guards against looking through a long line again with each piece of it.
    searched: usize,
}

impl Answer {
    fn take(&mut self, bytes: &[u8], max_line_bytes: usize) -> Result<(), CallFailure> {
        self.raw.extend_from_slice(bytes);
        // An interim answer may come in one piece with what follows it.
        while self.framing.is_none() {
            let Some((head, taken)) = Head::parse(&self.raw)? else { break };
            self.raw.drain(..taken);
            match head.status()? {
                100..=199 => {}
                200 => self.framing = Some(head.answer_framing()?),
                other => return Err(CallFailure::Rejected(other)),
            }
        }
        match self.framing {
            None => {}
            Some(Framing::Chunked) => {
                let fed = self.chunks.decode(&self.raw, &mut self.body, max_line_bytes)?;
                self.raw.drain(..fed);
            }
            Some(_) => self.body.append(&mut self.raw),
        }
        Ok(())
    }

    /// The next whole line, without the white space around it.
    fn line(&mut self) -> Option<Vec<u8>> {
        let end = self.body[self.searched..].iter().position(|&byte| byte == b'\n');
        let Some(end) = end.map(|end| self.searched + end) else {
            self.searched = self.body.len();
            return None;
        };
        let line = self.body[..end].trim_ascii().to_vec();
        self.body.drain(..=end);
        self.searched = 0;
        Some(line)
    }
}
