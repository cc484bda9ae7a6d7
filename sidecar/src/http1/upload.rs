//! A long request's body on its way: the client's task reads it while an attempt passes it on.
use super::attempt::{encode_chunk, LAST_CHUNK};
use super::client_connection::read;
use super::connections::{CloseRequest, Connections};
use super::head::HttpError;
use super::messages::BodyReader;
use super::pool::EndpointConnection;
use crate::eviction::SendingProgress;
use crate::reactor::{Async, Timer};
use crate::timers::duration;
use async_channel::{bounded, Receiver, Sender};
use futures_lite::future;
use oakhollow::types::{Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// How long a client may take to send a whole request: from connecting, or from the first byte of a later request.
/// A body adds the time that it takes at [`MIN_BODY_BYTES_PER_S`].
pub const REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The slowest rate at which a client may send a body. The platform promises 64 kB/s.
const MIN_BODY_BYTES_PER_S: f64 = 48_000.0;
/// How far apart two readings of the same time may be that the kernel tells.
const KERNEL_TIME_RESOLUTION: Duration = Duration::from_millis(10);
/// How many bytes that a client sends ahead are read while its request is open.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// How much of a streamed request's body has come.
struct BodyProgress {
    /// When its last byte came; none before that.
    last_byte_at: Cell<Option<Instant>>,
    /// How many bytes have not been read; none if the request does not state the length of its body.
    unread: Cell<Option<u64>>,
    /// Whether an attempt passes it on, or has done so.
    taken: Cell<bool>,
    /// The client's connection, until it is closed.
    client: Weak<Async<TcpStream>>,
}

impl BodyProgress {
    /// When the last byte came. It may wait unread in the client's connection, behind bytes that no attempt has taken.
    fn last_byte_at(&self) -> Option<Instant> {
        let waits_unread = || self.client.upgrade()?.unread_bytes_came_at(self.unread.get()?);
        self.last_byte_at.get().or_else(waits_unread)
    }

    /// Since when a client can't be told from one that has stalled whose bytes are not read at the moment, which began
    /// at `unread_since`. None if it may have sent the whole body, or waits for an attempt that passes it on.
    fn stalled_since(&self, unread_since: Instant) -> Option<Instant> {
        let client = self.client.upgrade()?;
        let may_be_whole =
            self.last_byte_at().is_some() || (self.unread.get().is_none() && client.has_unread_bytes());
        // While no attempt has begun, a client that has filled the buffers may be one that stops half way.
        let without_attempt = || Some(unread_since).filter(|_| !self.taken.get());
        Some(client).filter(|_| !may_be_whole)?.stalled_since().or_else(without_attempt)
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
            taken: Cell::new(false),
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
        self.progress.taken.set(true);
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

/// The answer to a client that takes too long for a request, or that has stalled within one while others need its slot.
pub const TOO_SLOW: HttpError = HttpError { status: 408, message: "the request came too slowly" };

/// A client that sends the rest of a long body. While it is silent, its connection gives way to those that wait to be
/// accepted, as that of any client without a whole request.
pub struct UploadingClient<'a> {
    pub shared: &'a Connections,
    pub source: IpAddr,
    /// The connection has had an answer before this request.
    pub answered_before: bool,
    pub progress: SendingProgress,
    pub stream: &'a Async<TcpStream>,
    /// Its connection was chosen to be closed for a new one.
    pub evicted: bool,
}

/// What ends a wait of an [`UploadingClient`].
enum UploadStep {
    /// Bytes came, or an attempt took some.
    Progress,
    /// The client has gone, or no attempt reads the body any more: the end of the request is on its way.
    RequestOver,
    /// The client takes too long.
    TimedOut,
    /// Its connection is to be closed for a new one.
    Evicted,
}

impl UploadingClient<'_> {
    /// Reads the rest of the body and passes it to the attempt, then reads ahead a little of what follows it. Ends only
    /// with an error.
    pub async fn stream_body(
        &mut self, rest: &mut BodyReader, mut writer: BodyStreamWriter, mut received: usize,
    ) -> HttpError {
        // The time spent waiting for the client, without the time in which the attempt accepted no more bytes.
        let mut waited = Duration::ZERO;
        loop {
            let mut part = Vec::new();
            if let Err(error) = rest.decode_into(&mut part) {
                return error;
            }
            received += part.len();
            let mut step = UploadStep::Progress;
            if !part.is_empty() {
                step = self.pass_on(&writer, part).await;
            }
            if rest.is_complete() && matches!(step, UploadStep::Progress) {
                break;
            }
            if matches!(step, UploadStep::Progress) {
                let read_started = Instant::now();
                let time_left = (REQUEST_READ_TIMEOUT + body_time(received)).saturating_sub(waited);
                step = self.read_more(rest, time_left).await;
                waited += read_started.elapsed();
            }
            match step {
                UploadStep::Progress => {}
                UploadStep::RequestOver => return future::pending().await,
                UploadStep::TimedOut => return TOO_SLOW,
                UploadStep::Evicted => {
                    self.evicted = true;
                    return TOO_SLOW;
                }
            }
        }
        writer.finish(self.stream.last_bytes_came_at());
        while rest.surplus().len() <= MAX_READ_AHEAD_BYTES && read(self.stream, rest.buffer()).await.is_some()
        {
        }
        future::pending().await
    }

    /// Passes a part on to the attempt. While none takes it, the client may have stalled.
    async fn pass_on(&mut self, writer: &BodyStreamWriter, part: Vec<u8>) -> UploadStep {
        let unread_since = Instant::now();
        let written = async {
            match writer.write(part).await {
                true => UploadStep::Progress,
                false => UploadStep::RequestOver,
            }
        };
        let evicted = async {
            self.eviction_while_unread(&writer.progress, unread_since).await;
            UploadStep::Evicted
        };
        let step = future::or(written, evicted).await;
        if unread_since.elapsed() > KERNEL_TIME_RESOLUTION {
            // The client may have had to wait.
            self.progress.reading_resumed(self.stream.stalled_since(), Instant::now());
        }
        step
    }

    /// Reads more of the body.
    async fn read_more(&mut self, rest: &mut BodyReader, time_left: Duration) -> UploadStep {
        let read = async {
            match read(self.stream, rest.buffer()).await {
                Some(_) => UploadStep::Progress,
                None => UploadStep::RequestOver,
            }
        };
        let timeout = async {
            Timer::after(time_left).await;
            UploadStep::TimedOut
        };
        let evicted = async {
            self.eviction(self.progress).await;
            UploadStep::Evicted
        };
        let step = future::or(read, future::or(timeout, evicted)).await;
        if matches!(step, UploadStep::Progress) {
            self.progress.bytes_read(self.stream.last_bytes_came_at(), Instant::now());
        }
        step
    }

    /// Waits until another client needs the slot of this connection, which is silent.
    async fn eviction(&self, progress: SendingProgress) {
        let registered = self.shared.enter_sending(self.source, self.answered_before, progress);
        if registered.close_requested().await != CloseRequest::Evicted {
            future::pending().await
        }
    }

    /// Waits until another client needs the slot of this connection, from which nothing is read since `unread_since`.
    async fn eviction_while_unread(&self, body: &BodyProgress, unread_since: Instant) {
        while let Some(last_byte_at) = body.stalled_since(unread_since) {
            self.eviction(SendingProgress { last_byte_at, ..self.progress }).await;
            let sent_nothing =
                |since: Instant| since.saturating_duration_since(last_byte_at) <= KERNEL_TIME_RESOLUTION;
            if body.stalled_since(unread_since).is_some_and(sent_nothing) {
                return;
            }
        }
        future::pending().await
    }
}
