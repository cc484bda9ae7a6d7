//! A long request's body on its way: the client's task reads it while an attempt passes it on.
use super::attempt::{encode_chunk, LAST_CHUNK};
use super::client_connection::read;
use super::connections::{CloseRequest, Connections};
use super::head::HttpError;
use super::messages::{BodyReader, MessageParser};
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
/// How much of a body a client's machine may hold that has been written and not sent: the kernel's usual limit.
const MAX_SEND_BUFFER_BYTES: u64 = 4 * 1024 * 1024;
/// How much of what a client has sent may wait unread: what its machine may hold once it has gone, so that the end of its
/// connection arrives behind it.
const MAX_UNREAD_BYTES: u32 = MAX_SEND_BUFFER_BYTES as u32;
/// How long an attempt waits at most for bytes that are on their way, and how often it looks whether they still come.
const MAX_ARRIVAL_WAIT: Duration = Duration::from_millis(20);
const ARRIVAL_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How often it is checked whether the rest of a body may have been written that is not here.
const WRITTEN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How far apart two readings of the same time may be that the kernel tells.
const KERNEL_TIME_RESOLUTION: Duration = Duration::from_millis(10);
/// How many bytes that a client sends ahead are read while its request is open.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;

/// How much of a streamed request's body has come.
pub struct BodyProgress {
    /// When its last byte came, if that has been read.
    last_byte_at: Cell<Option<Instant>>,
    /// All of it has been handed to the attempt.
    handed_over: Cell<bool>,
    /// How many bytes have not been read; none if the request does not state the length of its body.
    unread: Cell<Option<u64>>,
    /// Since when the client may have written all of it, although the rest is not here.
    may_be_written_since: Cell<Option<Instant>>,
    /// Whether an attempt passes it on, or has done so.
    taken: Cell<bool>,
    /// The client's connection, until it is closed.
    client: Weak<Async<TcpStream>>,
}

impl BodyProgress {
    /// Waits until the time of the request is over, which counts from when its last byte was written. Never ends if that
    /// byte does not come.
    pub async fn time_over(&self, timeout: Duration) {
        let mut checked_at = Instant::now();
        loop {
            self.note_whether_written(checked_at);
            let now = Instant::now();
            let over_at = match self.last_byte_written_at().map(|written_at| written_at + timeout) {
                Some(over_at) if over_at <= now => return,
                Some(over_at) => over_at.min(now + WRITTEN_CHECK_INTERVAL),
                None => now + WRITTEN_CHECK_INTERVAL,
            };
            checked_at = now;
            Timer::at(over_at.max(now + KERNEL_TIME_RESOLUTION)).await;
        }
    }

    /// Notes since when the rest of a body of a stated length may have been written although it is not here, as far as can be
    /// told at this check and the last one, at `last_check`.
    fn note_whether_written(&self, last_check: Instant) {
        let may_be_written = || {
            let (client, unread) = (self.client.upgrade()?, self.unread.get()?);
            let not_here = unread.saturating_sub(client.unread_bytes());
            Some(not_here <= MAX_SEND_BUFFER_BYTES && client.peer_waits_for_reader())
        };
        let since = self.may_be_written_since.get().unwrap_or(last_check);
        self.may_be_written_since.set(Some(since).filter(|_| may_be_written().unwrap_or(false)));
    }

    /// When the client may have written the last byte, as far as can be told without reading more. The rest of
    /// the body may wait in the client's machine while little is read here, and a body that does not state its length
    /// may end with any byte that is unread.
    fn last_byte_written_at(&self) -> Option<Instant> {
        let waits_for_reader = || match self.unread.get() {
            Some(_) => self.may_be_written_since.get(),
            None => {
                let client = self.client.upgrade()?;
                client.silent_since().filter(|_| client.unread_bytes() > 0)
            }
        };
        self.last_byte_at().or_else(waits_for_reader)
    }

    /// Records that so many bytes were read from the client's connection.
    fn bytes_read(&self, count: u64) {
        self.unread.set(self.unread.get().map(|unread| unread.saturating_sub(count)));
    }

    /// Waits until no more bytes arrive for the moment. Guards against an attempt for a client that has gone before its
    /// request was read: the end of its connection comes behind the bytes that its machine could not send until then.
    pub async fn wait_for_arrivals(&self) {
        let wait_until = Instant::now() + MAX_ARRIVAL_WAIT;
        let mut unread_before = None;
        while self.last_byte_at().is_none() && Instant::now() < wait_until {
            let Some(unread) = self.client.upgrade().map(|client| client.unread_bytes()) else { return };
            if unread_before.replace(unread) == Some(unread) {
                return;
            }
            Timer::after(ARRIVAL_POLL_INTERVAL).await;
        }
    }

    /// When the last byte came. It may wait unread in the client's connection, behind bytes that no attempt has taken.
    pub fn last_byte_at(&self) -> Option<Instant> {
        let waits_unread = || self.client.upgrade()?.unread_bytes_came_at(self.unread.get()?);
        self.last_byte_at.get().or_else(waits_unread)
    }

    /// Since when a client can't be told from one that has stalled whose bytes are not read at the moment, which began
    /// at `unread_since`. None if it may have sent the whole body, or waits for an attempt that passes it on.
    fn stalled_since(&self, unread_since: Instant) -> Option<Instant> {
        let client = self.client.upgrade()?;
        let may_be_whole =
            self.last_byte_at().is_some() || (self.unread.get().is_none() && client.unread_bytes() > 0);
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
            handed_over: Cell::new(false),
            unread: Cell::new(unread),
            may_be_written_since: Cell::new(None),
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

    /// See [`BodyProgress::wait_for_arrivals`].
    pub async fn wait_for_arrivals(&self) {
        self.progress.wait_for_arrivals().await;
    }

    /// When the answer is due, if the last byte of the request has come by now.
    pub fn answer_deadline(&self) -> Instant {
        self.progress.last_byte_at().unwrap_or_else(Instant::now) + duration(self.answer_timeout)
    }

    /// The time left at `now`, which counts from the last byte of the request.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.answer_deadline().saturating_duration_since(now).min(duration(self.answer_timeout))
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
        if !self.progress.handed_over.get() {
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
    async fn write(&self, part: Vec<u8>) -> bool {
        match &self.parts {
            Some(parts) => parts.send(part).await.is_ok(),
            None => false,
        }
    }

    /// Tells the attempt that it has been handed the whole body.
    fn finish(&mut self) {
        self.progress.handed_over.set(true);
        self.parts = None;
    }

    /// How much of the body has come.
    pub fn progress(&self) -> Rc<BodyProgress> {
        self.progress.clone()
    }
}

/// Reads what a client sends ahead of the answer to its open request, up to [`MAX_READ_AHEAD_BYTES`], so that the next request
/// does not wait unread. `record` is told of each read. Never ends.
pub async fn read_ahead<T>(
    stream: &Async<TcpStream>, parser: &mut MessageParser, mut record: impl FnMut(usize, Instant),
) -> T {
    let mut holds_unread = false;
    while parser.pending_bytes() <= MAX_READ_AHEAD_BYTES {
        // Only clients that do send ahead may have more waiting than is read.
        if parser.pending_bytes() > 0 && !std::mem::replace(&mut holds_unread, true) {
            stream.hold_unread(MAX_UNREAD_BYTES);
        }
        let Some(count) = read(stream, parser.buffer()).await else { break };
        record(count, stream.last_bytes_came_at());
    }
    future::pending().await
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
        self.stream.hold_unread(MAX_UNREAD_BYTES);
        // The time spent waiting for the client, without the time in which the attempt accepted no more bytes.
        let mut waited = Duration::ZERO;
        loop {
            let mut part = Vec::new();
            if let Err(error) = rest.decode_into(&mut part) {
                return error;
            }
            received += part.len();
            if rest.is_complete() {
                writer.progress.last_byte_at.set(Some(self.stream.last_bytes_came_at()));
            }
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
                step = self.read_more(rest, time_left, &writer.progress).await;
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
        writer.finish();
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
    async fn read_more(
        &mut self, rest: &mut BodyReader, time_left: Duration, body: &BodyProgress,
    ) -> UploadStep {
        let read = async {
            match read(self.stream, rest.buffer()).await {
                Some(count) => {
                    body.bytes_read(count as u64);
                    UploadStep::Progress
                }
                None => UploadStep::RequestOver,
            }
        };
        let timeout = async {
            Timer::after(time_left).await;
            UploadStep::TimedOut
        };
        let evicted = async {
            // Bytes may have come that this thread has not been told of, or that wait for its next turn.
            loop {
                self.eviction(self.progress).await;
                if self.stream.unread_bytes() == 0 {
                    break UploadStep::Evicted;
                }
            }
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
