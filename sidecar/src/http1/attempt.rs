//! One attempt: sends a request to an endpoint and maps what comes back to the outcome that the protocol gives it.
use super::endpoint_answer::{read_answer, EndpointAnswer};
use super::head::{Head, HttpError};
use super::load;
use super::messages::{BodyReader, Message, MessageKind, MessageParser};
use super::pool::Pool;
use super::request_ids::RunMarker;
use super::upload::{BodyStream, BodyStreamWriter};
use super::Fence;
use crate::dispatcher::{AttemptEnd, AttemptProgress, LoadReport};
use crate::metrics::SystemCall;
use crate::monitor::Monitor;
use crate::reactor::{Async, PeerEnd, Timer};
use futures_lite::{future, AsyncWrite};
use oakhollow::types::{Micros, Outcome};
use oakhollow_guard::{AttemptPermit, Denial, SendConditions};
use std::cell::Cell;
use std::future::poll_fn;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The header with the time that is left for the request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "Request-Timeout-Ms";
/// How long a peer may accept nothing of a write, or send nothing of a body that is passed on.
pub const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Whether an attempt of a request has begun to be written, so that an endpoint may have run it. Shared by the attempts and the
/// client's connection.
#[derive(Clone, Default)]
pub struct MayHaveRun(Rc<(Cell<bool>, Option<RunMarker>)>);

impl MayHaveRun {
    /// It has not run. `marker` is told when it may have, if it must not be repeated.
    pub fn new(marker: Option<RunMarker>) -> MayHaveRun {
        MayHaveRun(Rc::new((Cell::new(false), marker)))
    }

    /// Whether it may have run. Does not change any more once the client has gone.
    pub fn get(&self) -> bool {
        self.0 .0.get()
    }

    fn set(&self) {
        if let (false, Some(marker)) = (self.0 .0.replace(true), &self.0 .1) {
            marker.mark();
        }
    }
}

/// A request as it is sent to endpoints, except for the timeout header, which each attempt computes anew.
pub struct OutgoingRequest {
    /// The request line and the headers, without the blank line at their end.
    head: Vec<u8>,
    body: Vec<u8>,
    /// Whether the client has gone.
    client_end: PeerEnd,
    may_have_run: MayHaveRun,
    stream: Option<BodyStream>,
}

impl OutgoingRequest {
    /// A request whose body is buffered whole.
    pub fn buffered(
        request: Message, client_end: PeerEnd, may_have_run: MayHaveRun,
    ) -> Result<OutgoingRequest, HttpError> {
        let Message { head, body, .. } = request;
        let (mut bytes, method) = OutgoingRequest::forwarded_head(&head)?;
        if !body.is_empty() || method != "GET" {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        Ok(OutgoingRequest { head: bytes, body, client_end, may_have_run, stream: None })
    }

    /// A request of which only the first part of the body has been read; the rest is written to what is returned
    /// with it.
    pub fn streamed(
        head: &Head, buffered: Vec<u8>, rest: &BodyReader, answer_timeout: Micros,
        client: &Rc<Async<TcpStream>>, may_have_run: MayHaveRun,
    ) -> Result<(OutgoingRequest, BodyStreamWriter), HttpError> {
        let (mut bytes, _) = OutgoingRequest::forwarded_head(head)?;
        match rest.length() {
            Some(length) => bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes()),
            None => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        }
        let chunked = rest.length().is_none();
        let received = buffered.len() + rest.surplus().len();
        let unread = rest.length().map(|length| length.saturating_sub(received) as u64);
        let body = if chunked { encode_chunk(&buffered) } else { buffered };
        let (stream, writer) = BodyStream::new(unread, answer_timeout, client);
        let client_end = client.peer_end();
        Ok((OutgoingRequest { head: bytes, body, client_end, may_have_run, stream: Some(stream) }, writer))
    }

    /// The request line and the headers that are passed on, and the method.
    fn forwarded_head(head: &Head) -> Result<(Vec<u8>, &str), HttpError> {
        let (method, target, _) = head.request_line()?;
        let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        head.write_forwarded(TIMEOUT_HEADER, &mut bytes);
        Ok((bytes, method))
    }

    /// The time left at `now` for an attempt with this deadline. That of a streamed request counts from its last byte.
    fn time_left(&self, deadline: Instant, now: Instant) -> Duration {
        match &self.stream {
            None => deadline.saturating_duration_since(now),
            Some(stream) => stream.time_left(now),
        }
    }

    fn to_bytes(&self, timeout: Micros) -> Vec<u8> {
        let timeout = format!("{TIMEOUT_HEADER}: {}\r\n\r\n", timeout.0 / 1_000);
        [&self.head, timeout.as_bytes(), &self.body].concat()
    }
}

/// The time left, as it is sent to the endpoint: in whole milliseconds, at least one.
fn announced_timeout(time_left: Duration) -> Micros {
    Micros::millis(time_left.as_millis().max(1) as u64)
}

/// Encodes one chunk of a chunked body. Empty input gives no bytes, since an empty chunk would end the body.
pub fn encode_chunk(part: &[u8]) -> Vec<u8> {
    if part.is_empty() {
        return Vec::new();
    }
    [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
}

/// The end of a chunked body without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Writes all bytes. Fails if the peer accepts none for [`BODY_IDLE_TIMEOUT`].
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = stream;
    while !bytes.is_empty() {
        let written = poll_fn(|context| Pin::new(&mut stream).poll_write(context, bytes));
        let idle = async {
            Timer::after(BODY_IDLE_TIMEOUT).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let count = future::or(written, idle).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::WriteZero.into());
        }
        bytes = &bytes[count..];
    }
    Ok(())
}

/// Where an attempt goes, and what is checked before its first byte is written.
pub struct Target {
    pub address: SocketAddr,
    /// False once the endpoint at this address takes no new requests.
    pub active: Rc<Cell<bool>>,
    pub fence: Fence,
    /// Records what happens, and decides whether the first byte may be written.
    pub monitor: Rc<Monitor>,
    pub permit: AttemptPermit,
}

/// Makes an attempt, which ends at `deadline` at the latest.
pub async fn run(
    pool: Rc<Pool>, request: Rc<OutgoingRequest>, target: Target,
    (deadline, progress): (Instant, Rc<AttemptProgress>), reads_load_reports: bool,
) -> AttemptEnd<EndpointAnswer> {
    let exchange = async {
        let answer = exchange(&pool, &request, &target, deadline, &progress).await;
        answer.map_or_else(without_answer, |answer| classify(answer, reads_load_reports))
    };
    let timed_out = async {
        // The time of a streamed request counts from its last byte. The client's task tells when it is over.
        if request.stream.is_some() {
            return future::pending().await;
        }
        Timer::at(deadline).await;
        // An endpoint does not run a request before it has received all of it.
        without_answer(if progress.fully_sent_at.get().is_some() {
            Outcome::TimedOut
        } else {
            Outcome::NoConnection
        })
    };
    let end = future::or(exchange, timed_out).await;
    let sent_at = progress.fully_sent_at.get().filter(|_| request.stream.is_some());
    AttemptEnd { elapsed: sent_at.map(|sent_at| Micros(sent_at.elapsed().as_micros() as u64)), ..end }
}

/// Connects, sends the request and reads the answer, or the beginning of a long one.
async fn exchange(
    pool: &Rc<Pool>, request: &OutgoingRequest, target: &Target, deadline: Instant,
    progress: &AttemptProgress,
) -> Result<EndpointAnswer, Outcome> {
    let address = target.address;
    // An earlier attempt has taken the streamed body, which is not kept for another one.
    if request.stream.as_ref().is_some_and(|stream| stream.is_taken()) {
        return Err(Outcome::NotSent);
    }
    let connection = match pool.take_idle(address).await {
        Some(connection) => connection,
        None => pool.connect(address, target.active.clone()).await.map_err(|failure| {
            if let Some(error) = &failure.error {
                target.monitor.system_error(SystemCall::Connect, error);
            }
            failure.outcome
        })?,
    };
    if let Some(stream) = &request.stream {
        stream.wait_for_arrivals().await;
    }
    target.fence.wait_for_main_thread().await;
    // Computed after connecting, which takes part of the time.
    let time_left = target.fence.time_left(request.time_left(deadline, Instant::now()));
    let announced_timeout = announced_timeout(time_left);
    let conditions = SendConditions {
        server_available: target.active.get(),
        lease_valid: target.fence.lease_valid(),
        list_fresh: target.fence.list_fresh(),
        client_gone: request.client_end.has_ended(),
        time_left: Micros(time_left.as_micros() as u64),
        announced_timeout,
    };
    let permit = match target.monitor.permit_send(&target.permit, conditions) {
        Ok(permit) => permit,
        // The client left in the same turn of the event loop in which the connection was established, or in which
        // something else that its request waited for happened. Its request's withdrawal is about to be handled and
        // cancels this attempt.
        Err(Denial::ClientGone | Denial::RequestOver) => return future::pending().await,
        Err(Denial::OutOfTime) => return Err(Outcome::NoConnection),
        Err(Denial::ServerNotWanted | Denial::LeaseLapsed | Denial::ListStale | Denial::MayHaveRun) => {
            return Err(Outcome::NotSent)
        }
    };
    progress.send_started.set(true);
    request.may_have_run.set();
    let mut parser = MessageParser::new(MessageKind::Answer);
    let write_failed = |error: std::io::Error| {
        target.monitor.system_error(SystemCall::Transfer, &error);
        Outcome::NoConnection
    };
    connection.write_first(permit, &request.to_bytes(announced_timeout)).await.map_err(write_failed)?;
    let mut answer_timer = None;
    if let Some(stream) = &request.stream {
        let sent = async { stream.send_rest(&connection).await.map(|()| None) };
        let early_answer = async { read_answer(&connection, &mut parser, future::pending()).await.map(Some) };
        // If the endpoint answers before it has the whole request, the rest of the request is not sent.
        match future::or(sent, early_answer).await {
            Ok(None) => answer_timer = Some(Timer::at(stream.answer_deadline())),
            Ok(Some(incoming)) => return Ok(EndpointAnswer::new(incoming, pool, address, connection, false)),
            Err(_) => return Err(Outcome::NoConnection),
        }
    }
    progress.fully_sent_at.set(Some(Instant::now()));
    target.monitor.last_byte_written(&target.permit);
    // From here on the endpoint may have run the request, whatever fails.
    let timed_out = async {
        match answer_timer {
            Some(timer) => _ = timer.await,
            None => future::pending().await,
        }
    };
    let incoming = read_answer(&connection, &mut parser, timed_out).await?;
    // Bytes after a complete answer belong to no request, and the next one could take them for its answer.
    let keep_alive = parser.pending_bytes() == 0;
    if !keep_alive {
        pool.note_unsolicited_bytes();
    }
    Ok(EndpointAnswer::new(incoming, pool, address, connection, keep_alive))
}

/// The end of an attempt that brought no answer.
fn without_answer(outcome: Outcome) -> AttemptEnd<EndpointAnswer> {
    AttemptEnd { outcome, answer: None, load_report: LoadReport::Absent, elapsed: None }
}

/// The end of an attempt that was answered, by the status and the headers of the answer.
fn classify(answer: EndpointAnswer, reads_load_reports: bool) -> AttemptEnd<EndpointAnswer> {
    let not_started = |head: &Head| head.values("Not-Started").any(|value| value == b"1");
    let load_report = if reads_load_reports { load::report(&answer.head) } else { LoadReport::Absent };
    let (outcome, answer) = match answer.head.status() {
        Ok(200) => (Outcome::Succeeded, Some(answer)),
        Ok(503 | 504) if not_started(&answer.head) => (Outcome::Full, None),
        _ => (Outcome::Errored, None),
    };
    AttemptEnd { outcome, answer, load_report, elapsed: None }
}
