//! A long request's body on its way: the client's task reads it while an attempt passes it on.
use super::attempt::{encode_chunk, LAST_CHUNK};
use super::client_connection::read;
use super::head::HttpError;
use super::messages::BodyReader;
use super::pool::EndpointConnection;
use crate::reactor::{Async, Timer};
use crate::timers::duration;
use async_channel::{bounded, Receiver, Sender};
use futures_lite::future;
use oakhollow::types::{Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// How long a client may take to send a whole request: from connecting, or from the first byte of a later request.
/// A body adds the time that it takes at [`MIN_BODY_BYTES_PER_S`].
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The slowest rate at which a client may send a body. The platform promises 64 kB/s.
const MIN_BODY_BYTES_PER_S: f64 = 48_000.0;
/// How many bytes that a client sends ahead are read while its request is open.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// How much of a streamed request's body has come.
struct BodyProgress {
    /// When its last byte came; none before that.
    last_byte_at: Cell<Option<Instant>>,
    /// How many bytes have not been read; none if the request does not state the length of its body.
    unread: Cell<Option<u64>>,
    /// The client's connection, until it is closed.
    client: Weak<Async<TcpStream>>,
}

impl BodyProgress {
    /// When the last byte came. It may wait unread in the client's connection, behind bytes that no attempt has taken.
    fn last_byte_at(&self) -> Option<Instant> {
        let waits_unread = || self.client.upgrade()?.unread_bytes_came_at(self.unread.get()?);
        self.last_byte_at.get().or_else(waits_unread)
    }
}

/// The rest of a streamed request body: the client's task reads it while an attempt passes it on.
pub struct BodyStream {
    parts: RefCell<Option<Receiver<Vec<u8>>>>,
    progress: Rc<BodyProgress>,
    chunked: bool,
    /// How long the answer may take after the last byte of the request.
    answer_timeout: Micros,
}

impl BodyStream {
    /// A stream for a body of which so many bytes have not been read, none if that is not known, and its writer.
    pub fn new(
        unread: Option<u64>, answer_timeout: Micros, client: &Rc<Async<TcpStream>>,
    ) -> (BodyStream, BodyStreamWriter) {
        let progress = Rc::new(BodyProgress {
            last_byte_at: Cell::new(None),
            unread: Cell::new(unread),
            client: Rc::downgrade(client),
        });
        let (sender, parts) = bounded(1);
        let parts = RefCell::new(Some(parts));
        let stream =
            BodyStream { parts, progress: progress.clone(), chunked: unread.is_none(), answer_timeout };
        (stream, BodyStreamWriter { parts: Some(sender), progress })
    }

    /// Whether an attempt has taken the body, which is not kept for another one.
    pub fn is_taken(&self) -> bool {
        self.parts.borrow().is_none()
    }

    /// How long the answer may take after the last byte of the request.
    pub fn answer_timeout(&self) -> Duration {
        duration(self.answer_timeout)
    }

    /// The time left at `now`, which counts from the last byte of the request.
    pub fn time_left(&self, now: Instant) -> Duration {
        let elapsed = self.progress.last_byte_at().map(|at| now.saturating_duration_since(at));
        self.answer_timeout().saturating_sub(elapsed.unwrap_or_default())
    }

    /// Passes on the rest of a streamed request as the client sends it.
    pub async fn send_rest(&self, connection: &EndpointConnection) -> Result<(), Outcome> {
        let parts = self.parts.borrow_mut().take().ok_or(Outcome::NotSent)?;
        let failed = |_| Outcome::NoConnection;
        while let Ok(part) = parts.recv().await {
            let part = if self.chunked { encode_chunk(&part) } else { part };
            connection.write_more(&part).await.map_err(failed)?;
        }
        if self.progress.last_byte_at.get().is_none() {
            return Err(Outcome::NoConnection);
        }
        if self.chunked {
            connection.write_more(LAST_CHUNK).await.map_err(failed)?;
        }
        Ok(())
    }
}

/// The end of a `BodyStream` that the client's task writes to.
pub struct BodyStreamWriter {
    parts: Option<Sender<Vec<u8>>>,
    progress: Rc<BodyProgress>,
}

impl BodyStreamWriter {
    /// Waits until the attempt can take another part. Returns false if no attempt reads the body any more.
    pub async fn write(&self, part: Vec<u8>) -> bool {
        let unread = self.progress.unread.get().map(|unread| unread.saturating_sub(part.len() as u64));
        self.progress.unread.set(unread);
        match &self.parts {
            Some(parts) => parts.send(part).await.is_ok(),
            None => false,
        }
    }

    /// Marks the body as complete, with its last byte come at that time.
    pub fn finish(&mut self, last_byte_at: Instant) {
        self.progress.last_byte_at.set(Some(last_byte_at));
        self.parts = None;
    }
}

/// How long a client may take to send this many bytes of a body: a third longer than at the rate that the platform
/// promises.
pub fn body_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BODY_BYTES_PER_S)
}

/// Reads the rest of a request's body and passes it to the attempt, then reads ahead a little of what follows it.
pub async fn stream_body<T>(
    stream: &Async<TcpStream>, rest: &mut BodyReader, mut writer: BodyStreamWriter, mut received: usize,
) -> Result<Option<T>, HttpError> {
    // The time spent waiting for the client, without the time in which the attempt accepted no more bytes.
    let mut waited = Duration::ZERO;
    loop {
        let mut part = Vec::new();
        rest.decode_into(&mut part)?;
        received += part.len();
        if !part.is_empty() && !writer.write(part).await {
            // No attempt reads the body any more: the outcome of the request is on its way.
            return future::pending().await;
        }
        if rest.is_complete() {
            break;
        }
        let read_started = Instant::now();
        let time_left = (REQUEST_READ_TIMEOUT + body_time(received)).saturating_sub(waited);
        let read = async { Some(read(stream, rest.buffer()).await) };
        let timeout = async {
            Timer::after(time_left).await;
            None
        };
        match future::or(read, timeout).await {
            Some(Some(_)) => waited += read_started.elapsed(),
            // The client has gone, which `client_gone` reports.
            Some(None) => return future::pending().await,
            None => return Err(HttpError { status: 408, message: "the request came too slowly" }),
        }
    }
    writer.finish(stream.last_bytes_came_at());
    while rest.surplus().len() <= MAX_READ_AHEAD_BYTES && read(stream, rest.buffer()).await.is_some() {}
    future::pending().await
}
