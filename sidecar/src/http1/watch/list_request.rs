//! One list request to discovery: its connection, the request itself and the lines of the answer.
use super::progress::{LineArrival, Progress, Stage};
use crate::http1::chunks::ChunkDecoder;
use crate::http1::head::{Framing, Head, HttpError};
use crate::metrics::ListRequestOutcome;
use crate::uninterrupted::Uninterrupted;
use async_channel::{bounded, Receiver, Sender};
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oakhollow_config::ListIndex;
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
/// How many events may be queued for the watch.
const MAX_QUEUED_EVENTS: usize = 1;

/// What is requested.
#[derive(Clone, Copy, Debug)]
pub struct ListQuery {
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The version after which changes are requested. Discovery may answer with the whole list instead.
    pub after_version: ListIndex,
    /// The longest line that is accepted, in bytes.
    pub max_line_bytes: usize,
}

/// What a list request brings.
#[derive(Debug)]
pub enum ListEvent {
    /// The connection was opened, which took this long.
    Connected(Duration),
    /// The head of an answer with a list has arrived. Its lines follow.
    Answered,
    /// A whole line, without surrounding white space.
    Line(Vec<u8>, LineArrival),
}

/// Why a list request ended.
#[derive(Debug)]
pub enum ListRequestFailure {
    /// The connection could not be opened.
    Unreachable(Error),
    /// Discovery answered with a status other than 200.
    Rejected(u16),
    /// Discovery ended the answer. The text says how.
    Closed(&'static str),
    /// The connection failed.
    Broken(Error),
    /// The answer violates the protocol.
    Malformed(String),
}

impl ListRequestFailure {
    /// The outcome under which the metrics count it.
    pub fn outcome(&self) -> ListRequestOutcome {
        match self {
            ListRequestFailure::Unreachable(_) => ListRequestOutcome::Unreachable,
            ListRequestFailure::Rejected(_) => ListRequestOutcome::Rejected,
            ListRequestFailure::Closed(_) | ListRequestFailure::Broken(_) => ListRequestOutcome::Broken,
            ListRequestFailure::Malformed(_) => ListRequestOutcome::Malformed,
        }
    }
}

impl Display for ListRequestFailure {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ListRequestFailure::Unreachable(error) | ListRequestFailure::Broken(error) => {
                write!(formatter, "{error}")
            }
            ListRequestFailure::Rejected(status) => write!(formatter, "discovery answered {status}"),
            ListRequestFailure::Closed(how) => write!(formatter, "discovery {how}"),
            ListRequestFailure::Malformed(fault) => write!(formatter, "{fault}"),
        }
    }
}

impl From<HttpError> for ListRequestFailure {
    fn from(error: HttpError) -> ListRequestFailure {
        ListRequestFailure::Malformed(error.message.into())
    }
}

/// A list request in progress. Dropping it cancels it.
pub struct ListRequest {
    events: Receiver<ListEvent>,
    work: Pin<Box<dyn Future<Output = ListRequestFailure>>>,
    /// Why the transfer has ended, until that is reported.
    failure: Option<ListRequestFailure>,
    progress: Rc<Cell<Progress>>,
    /// How long it may go without a whole line before another request is sent beside it.
    pub hedge_delay: Duration,
    /// Whether it has delivered a whole line.
    pub has_delivered: bool,
}

impl ListRequest {
    /// Starts a request, which makes progress while [`ListRequest::next`] is awaited.
    pub fn start(query: ListQuery, hedge_delay: Duration) -> ListRequest {
        let (event_sender, events) = bounded(MAX_QUEUED_EVENTS);
        let progress = Rc::new(Cell::new(Progress::started_at(Instant::now())));
        let transfer = Transfer { query, event_sender, progress: progress.clone() };
        let work = async move {
            match transfer.run().await {
                Err(failure) => failure,
                Ok(never) => match never {},
            }
        };
        ListRequest {
            events,
            work: Box::pin(work),
            failure: None,
            progress,
            hedge_delay,
            has_delivered: false,
        }
    }

    /// The next event, or the end of the request after all its events. No event is lost if the future is dropped before
    /// it is ready.
    pub async fn next(&mut self) -> Result<ListEvent, ListRequestFailure> {
        loop {
            // The transfer may read a line and its own end in one go.
            if let Ok(event) = self.events.try_recv() {
                return Ok(event);
            }
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
            let events = self.events.clone();
            let received = async {
                match events.recv().await {
                    Ok(event) => Ok(event),
                    // The sender is dropped when the transfer ends, and its failure is returned below.
                    Err(_) => future::pending().await,
                }
            };
            match future::or(received, async { Err((&mut self.work).await) }).await {
                Ok(event) => return Ok(event),
                Err(failure) => self.failure = Some(failure),
            }
        }
    }

    /// How far the request has got.
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }
}

/// Carries out a request.
struct Transfer {
    query: ListQuery,
    event_sender: Sender<ListEvent>,
    progress: Rc<Cell<Progress>>,
}

impl Transfer {
    fn update<T>(&self, change: impl FnOnce(&mut Progress) -> T) -> T {
        let mut progress = self.progress.get();
        let changed = change(&mut progress);
        self.progress.set(progress);
        changed
    }

    async fn emit(&self, event: ListEvent) {
        // Fails only if the request was dropped, which cancels this too.
        let _ = self.event_sender.send(event).await;
    }

    async fn run(&self) -> Result<Infallible, ListRequestFailure> {
        let started = Instant::now();
        let connecting = Async::<TcpStream>::connect(self.query.discovery);
        let stream = connecting.await.map_err(ListRequestFailure::Unreachable)?;
        self.update(|progress| progress.reach(Stage::SendingRequest));
        self.emit(ListEvent::Connected(started.elapsed())).await;
        let ListQuery { discovery, after_version, .. } = self.query;
        let head = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n",
            after_version.0
        );
        Uninterrupted(&stream).write_all(head.as_bytes()).await.map_err(ListRequestFailure::Broken)?;
        self.update(|progress| progress.reach(Stage::Head));
        self.read(&stream).await
    }

    async fn read(&self, stream: &Async<TcpStream>) -> Result<Infallible, ListRequestFailure> {
        let mut answer = AnswerParser::default();
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let count = Uninterrupted(stream).read(&mut buffer).await.map_err(ListRequestFailure::Broken)?;
            if count == 0 {
                return Err(ListRequestFailure::Closed("closed the connection"));
            }
            self.update(|progress| progress.received(count, Instant::now()));
            let had_head = answer.framing.is_some();
            answer.push(&buffer[..count], self.query.max_line_bytes)?;
            if answer.framing.is_some() && !had_head {
                self.update(|progress| progress.reach(Stage::FirstLine));
                self.emit(ListEvent::Answered).await;
            }
            while let Some(line) = answer.next_line() {
                let arrival = self.update(|progress| progress.line_ended(Instant::now()));
                self.emit(ListEvent::Line(line, arrival)).await;
            }
            if answer.chunks.is_done() {
                return Err(ListRequestFailure::Closed("ended the watch"));
            }
            if answer.body.len() >= self.query.max_line_bytes {
                return Err(ListRequestFailure::Malformed("a line without an end".into()));
            }
        }
    }
}

/// Splits an answer into lines as it arrives.
#[derive(Default)]
struct AnswerParser {
    /// Bytes that have been received and not parsed yet.
    raw: Vec<u8>,
    framing: Option<Framing>,
    chunks: ChunkDecoder,
    /// The decoded body, from the first line that has not been taken out.
    body: Vec<u8>,
    /// How much of the body has been searched for a line's end: guards against searching a long line again with each
    /// piece of it.
    searched: usize,
}

impl AnswerParser {
    fn push(&mut self, bytes: &[u8], max_line_bytes: usize) -> Result<(), ListRequestFailure> {
        self.raw.extend_from_slice(bytes);
        // An interim answer may come in one piece with what follows it.
        while self.framing.is_none() {
            let Some((head, head_length)) = Head::parse(&self.raw)? else { break };
            self.raw.drain(..head_length);
            match head.status()? {
                100..=199 => {}
                200 => self.framing = Some(head.answer_framing()?),
                other => return Err(ListRequestFailure::Rejected(other)),
            }
        }
        match self.framing {
            None => {}
            Some(Framing::Chunked) => {
                let decoded = self.chunks.decode(&self.raw, &mut self.body, max_line_bytes)?;
                self.raw.drain(..decoded);
            }
            Some(_) => self.body.append(&mut self.raw),
        }
        Ok(())
    }

    /// Takes out the next whole line, without surrounding white space.
    fn next_line(&mut self) -> Option<Vec<u8>> {
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
