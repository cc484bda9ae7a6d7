//! One client's connection: reads its requests and gives each exactly one answer.
use super::answers::Answer;
use super::arrivals::Arrivals;
use super::attempt::{self, MayHaveRun, OutgoingRequest, LAST_CHUNK, TIMEOUT_HEADER};
use super::connections::{CloseRequest, Closed, ConnectionGuard, Connections};
use super::endpoint_answer::EndpointAnswer;
use super::head::{Framing, Head, HttpError, MAX_BODY_BYTES};
use super::messages::{Incoming, Message, MessageKind, MessageParser, PartialMessage};
use super::request_ids::{IdConflict, RegisteredId, ReleasedId};
use super::upload::{body_time, read_ahead, UploadingClient, REQUEST_READ_TIMEOUT, TOO_SLOW};
use super::DispatcherMessage;
use crate::dispatcher::{RequestOutcome, RequestParams};
use crate::eviction::SendingProgress;
use crate::monitor::{Accepted, OpenRequest};
use crate::reactor::{Async, Timer};
use crate::timers::duration;
use futures_lite::future;
use oakhollow::types::*;
use oakhollow_config::WorkloadSettings;
use oakhollow_guard::{AnswerKind, CloseReason, RepeatSafety};
use rustix::net::sockopt;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a connection is kept open between requests.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client may stay silent before its connection is closed: after its last answer, and during shutdown before
/// the first byte of its first request.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a connection that lingers after its last answer is checked for whether new connections need its slot, and
/// once they do, for whether it may be closed.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const DRAINED_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How long bytes that a client sends after its last answer are read and dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// A client's connection and the state of reading from it.
pub struct ClientConnection<'a> {
    guard: &'a ConnectionGuard,
    shared: &'a Connections,
    stream: Rc<Async<TcpStream>>,
    parser: MessageParser,
    /// A whole request that was read behind the last one.
    read_ahead: Option<Message>,
    /// When the bytes in the parser came.
    arrivals: Arrivals,
    /// How the client has sent the current request so far.
    progress: SendingProgress,
    /// No request has been answered on this connection yet.
    is_new: bool,
    /// It was chosen to be closed for a new connection while its client was silent.
    evicted: bool,
    /// Fires when the time for a request is over.
    read_timer: Timer,
}

/// The result of waiting for the next request.
enum NextRequest {
    Complete(Message),
    Partial(PartialMessage),
    Malformed(HttpError),
    Closed(CloseReason),
}

/// What ends a wait for bytes of a request.
enum Received {
    /// So many bytes came; none at the end of the connection.
    Bytes(Option<usize>),
    TimedOut,
    CloseRequest(CloseRequest),
}

/// An answer that is to be written.
struct PendingAnswer {
    answer: Answer,
    /// The connection may carry another request after it.
    keep_alive: bool,
    /// The client speaks HTTP/1.0, which has no chunked encoding.
    http10: bool,
    /// The request that it answers; none if no request was accepted.
    request: Option<AnsweredRequest>,
}

/// A request that has its answer.
struct AnsweredRequest {
    open: OpenRequest,
    kind: AnswerKind,
    /// Its id, to be remembered if its client may not get to know the answer; none if it may run again.
    id: Option<ReleasedId>,
}

/// The answer to a request; none if its client left before the answer.
type AnswerUnlessGone = Option<RequestAnswer>;

/// An answer, and the request that it answers if that was accepted.
type RequestAnswer = (Answer, Option<AnsweredRequest>);

/// What identifies a request, besides the parameters that the dispatcher needs.
struct RequestIdentity {
    class: Rc<str>,
    repeat_safety: RepeatSafety,
    id: Rc<str>,
}

impl PendingAnswer {
    /// The answer to a request that was not accepted. It closes the connection: guards against clients that send
    /// hundreds of such requests.
    fn rejection(error: HttpError) -> PendingAnswer {
        PendingAnswer { answer: error.into(), keep_alive: false, http10: false, request: None }
    }
}

impl ClientConnection<'_> {
    /// A connection that was just accepted.
    pub fn new(guard: &ConnectionGuard, stream: Async<TcpStream>) -> ClientConnection<'_> {
        let now = Instant::now();
        let silent_since = if stream.unread_bytes() > 0 { None } else { stream.silent_since() };
        let progress = SendingProgress::new(silent_since.unwrap_or(now), now);
        ClientConnection {
            guard,
            shared: &guard.shared,
            stream: Rc::new(stream),
            parser: MessageParser::new(MessageKind::Request),
            read_ahead: None,
            arrivals: Arrivals::default(),
            progress,
            is_new: true,
            evicted: false,
            read_timer: Timer::never(),
        }
    }

    /// Serves the connection until it is closed.
    pub async fn serve(mut self) -> Closed {
        loop {
            let pending = match self.next_request().await {
                // Closed at once: between requests there is nothing to lose, and lingering would keep out clients
                // that wait to be accepted.
                NextRequest::Closed(reason) => return Closed::new(reason),
                NextRequest::Malformed(error) => PendingAnswer::rejection(error),
                NextRequest::Complete(message) => {
                    let (keep_alive, http10) = (message.keep_alive, message.head.is_http10());
                    match self.answer_buffered(message).await {
                        Ok(Some((answer, request))) => PendingAnswer { answer, keep_alive, http10, request },
                        Ok(None) => return Closed::new(CloseReason::ClientGone),
                        Err(error) => PendingAnswer::rejection(error),
                    }
                }
                NextRequest::Partial(message) => {
                    let (keep_alive, http10) = (message.head.keeps_alive(), message.head.is_http10());
                    match self.answer_streamed(message).await {
                        Ok(Some(((answer, request), complete))) => {
                            PendingAnswer { answer, keep_alive: keep_alive && complete, http10, request }
                        }
                        Ok(None) => return Closed::new(CloseReason::ClientGone),
                        Err(error) => PendingAnswer::rejection(error),
                    }
                }
            };
            if let Some(closed) = self.finish(pending).await {
                return closed;
            }
            self.is_new = false;
        }
    }

    /// Writes an answer. Returns none if the connection is kept.
    async fn finish(&mut self, pending: PendingAnswer) -> Option<Closed> {
        let PendingAnswer { answer, keep_alive, http10, request } = pending;
        let framing = answer.framing(http10);
        let may_keep = keep_alive && framing != Framing::UntilClose;
        // Requests that have been read are owed their answers, also while the process stops. For clients that wait to be
        // accepted, a connection is closed all the same: others could keep them out with requests sent ahead.
        let owes_answers = !self.shared.slot_awaited() && self.has_read_ahead();
        let keep_alive = may_keep && (self.shared.keeps_alive() || owes_answers);
        if let Some(AnsweredRequest { open, kind, .. }) = &request {
            open.answer_begun(*kind);
        }
        let broken = self.write_answer(answer, keep_alive, framing).await.err();
        let reason = broken.or_else(|| (!keep_alive).then_some(CloseReason::LastAnswer));
        if let Some(AnsweredRequest { open, kind, id }) = request {
            open.close(reason);
            let untold = broken.is_some() || self.stream.has_ended();
            let outcome_unknown = match kind {
                AnswerKind::Refused => false,
                AnswerKind::Failed => true,
                AnswerKind::Served => untold,
            };
            if let Some(id) = id.filter(|_| outcome_unknown) {
                id.remember(Instant::now());
            }
        }
        if reason == Some(CloseReason::LastAnswer) {
            self.close_gracefully().await;
        }
        reason.map(Closed::new)
    }

    /// Whether another whole request has been read already.
    fn has_read_ahead(&mut self) -> bool {
        if let (None, Ok(Some(Incoming::Complete(message)))) = (&self.read_ahead, self.parser.next_message())
        {
            self.read_ahead = Some(message);
        }
        self.read_ahead.is_some()
    }

    /// Waits for the next request. Returns early if the connection is to be closed while it has no request.
    async fn next_request(&mut self) -> NextRequest {
        if let Some(message) = self.read_ahead.take() {
            return NextRequest::Complete(message);
        }
        let (start, mut sent_continue) = (Instant::now(), false);
        let mut deadline = start + if self.is_new { REQUEST_READ_TIMEOUT } else { KEEP_ALIVE_TIMEOUT };
        // Bytes of the body that have extended the deadline.
        let mut credited_body_bytes = 0;
        let shared = self.shared;
        if !self.is_new {
            self.progress = SendingProgress::new(start, start);
        }
        let mut idle = shared.enter_idle(self.guard.source, !self.is_new, self.progress);
        loop {
            match self.parser.next_message() {
                Ok(Some(Incoming::Complete(message))) => return NextRequest::Complete(message),
                Ok(Some(Incoming::Partial(message))) => return NextRequest::Partial(message),
                Ok(None) => {}
                Err(error) => return NextRequest::Malformed(error),
            }
            if self.parser.expects_continue() && !std::mem::replace(&mut sent_continue, true) {
                let interim_answer = b"HTTP/1.1 100 Continue\r\n\r\n";
                if !self.write(interim_answer).await {
                    return NextRequest::Closed(CloseReason::ClientClosed);
                }
            }
            let request_begun = self.parser.pending_bytes() > 0;
            if request_begun != self.progress.request_started {
                self.progress.request_started = request_begun;
                idle.bytes_received(self.progress);
            }
            let read = async { Received::Bytes(read(&self.stream, self.parser.buffer()).await) };
            let timed_out_or_closing = async {
                self.read_timer.set_at(deadline);
                let timeout = async {
                    (&mut self.read_timer).await;
                    Received::TimedOut
                };
                let close_requested = async { Received::CloseRequest(idle.close_requested().await) };
                future::or(timeout, close_requested).await
            };
            match future::or(read, timed_out_or_closing).await {
                Received::Bytes(Some(count)) => {
                    let came_at = self.stream.last_bytes_came_at();
                    self.arrivals.record(count, came_at);
                    self.progress.bytes_read(came_at, Instant::now());
                    idle.bytes_received(self.progress);
                    if !request_begun {
                        // A new connection's time counts from its start, so that a client gains none by staying silent.
                        deadline = if self.is_new { deadline } else { Instant::now() + REQUEST_READ_TIMEOUT };
                    }
                    // A client that sends at the slowest allowed rate has time for its whole body.
                    let new_body_bytes = self.parser.body_bytes().saturating_sub(credited_body_bytes);
                    (deadline, credited_body_bytes) =
                        (deadline + body_time(new_body_bytes), credited_body_bytes + new_body_bytes);
                }
                Received::Bytes(None) => return NextRequest::Closed(CloseReason::ClientClosed),
                // A request may have come that this thread has not been told of yet.
                Received::CloseRequest(CloseRequest::Evicted) if self.stream.unread_bytes() > 0 => {
                    self.progress.reading_resumed(None, Instant::now());
                    idle = shared.enter_sending(self.guard.source, !self.is_new, self.progress);
                }
                Received::CloseRequest(CloseRequest::Evicted) => {
                    return NextRequest::Closed(CloseReason::Evicted)
                }
                // Shutdown waits for a request that has begun, and for a short time for the first request of a
                // connection accepted just before, unless other clients need the slot.
                Received::CloseRequest(CloseRequest::ShuttingDown) if request_begun || self.is_new => {
                    if !request_begun {
                        deadline = deadline.min(Instant::now() + LINGER_TIMEOUT);
                    }
                    idle = shared.enter_sending(self.guard.source, !self.is_new, self.progress);
                }
                Received::CloseRequest(CloseRequest::ShuttingDown) => {
                    return NextRequest::Closed(CloseReason::ShuttingDown)
                }
                Received::TimedOut if request_begun => return NextRequest::Malformed(TOO_SLOW),
                Received::TimedOut => return NextRequest::Closed(self.timeout_reason()),
            }
        }
    }

    /// Why a connection is closed that was silent for as long as it may be.
    fn timeout_reason(&self) -> CloseReason {
        match self.shared.closing() {
            true => CloseReason::ShuttingDown,
            false if self.is_new => CloseReason::NoRequest,
            false => CloseReason::Idle,
        }
    }

    /// Answers a request whose body is buffered. Returns none if the client left before its answer.
    async fn answer_buffered(&mut self, request: Message) -> Result<AnswerUnlessGone, HttpError> {
        if is_readiness_check(&request) {
            return Ok(Some((Answer::ready(self.shared.ready()), None)));
        }
        let came_at = self.last_byte_came_at();
        let (params, _, _, identity) = self.read_request(&request.head, came_at)?;
        // Guards against two different open requests with the same id: endpoints could not tell them apart.
        let shared = self.shared;
        let id = UnsafeId::new(shared.register_request_id(&identity.id)?, identity.repeat_safety);
        // Guards against an attempt for a client that left before its request was read: it may have waited to be
        // accepted.
        if self.stream.has_ended() {
            return Ok(None);
        }
        let outgoing = OutgoingRequest::buffered(request, self.stream.peer_end(), id.may_have_run.clone())?;
        let open = self.accept(&params, identity);
        let outcome = shared.dispatcher.submit(open.request(), params, outgoing).await;
        let answered = async { (&outcome).await };
        let (stream, parser, arrivals) = (&self.stream, &mut self.parser, &mut self.arrivals);
        let read_ahead = async {
            // What is read now would have to be answered before the connection can be closed.
            if !shared.keeps_alive() {
                return future::pending().await;
            }
            read_ahead(stream, parser, |count, came_at| arrivals.record(count, came_at)).await
        };
        let outcome: Option<RequestOutcome<_>> =
            future::or(answered, future::or(client_gone(stream), read_ahead)).await;
        match outcome {
            Some(outcome) => Ok(Some(request_answer(outcome, open, id.release()))),
            None => {
                id.client_gone();
                self.withdraw(open).await;
                Ok(None)
            }
        }
    }

    /// Answers a request whose body is passed on as it arrives. Also returns whether the whole body has arrived.
    async fn answer_streamed(
        &mut self, request: PartialMessage,
    ) -> Result<Option<(RequestAnswer, bool)>, HttpError> {
        let PartialMessage { head, buffered, mut rest } = request;
        let came_at = self.last_byte_came_at();
        let (mut params, client_timeout, streamed_workload, mut identity) =
            self.read_request(&head, came_at)?;
        let (shared, received) = (self.shared, buffered.len());
        let declared_safety = identity.repeat_safety;
        // A streamed body cannot be sent twice, whatever its workload allows, and its time counts from its last byte.
        (params.workload, identity.repeat_safety) = (streamed_workload, RepeatSafety::Unsafe);
        let id = UnsafeId::new(shared.register_request_id(&identity.id)?, declared_safety);
        let (outgoing, writer) = OutgoingRequest::streamed(
            &head,
            buffered,
            &rest,
            client_timeout,
            &self.stream,
            id.may_have_run.clone(),
        )?;
        if self.stream.has_ended() {
            return Ok(None);
        }
        let body = writer.progress();
        let max_body_time = body_time(rest.length().unwrap_or(MAX_BODY_BYTES));
        let last_byte_by = body.last_byte_at().unwrap_or_else(|| Instant::now() + max_body_time);
        params.deadline =
            (shared.dispatcher.clock.micros_at(last_byte_by) + client_timeout).min(shared.answer_deadline());
        let open = self.accept(&params, identity);
        let outcome = shared.dispatcher.submit(open.request(), params, outgoing).await;
        let time_over = async {
            body.time_over(duration(client_timeout)).await;
            shared.dispatcher.send(DispatcherMessage::TimeOver(open.request())).await;
            future::pending().await
        };
        let answered = async { Ok(future::or(&outcome, time_over).await) };
        let mut uploading = UploadingClient {
            shared,
            source: self.guard.source,
            answered_before: !self.is_new,
            progress: SendingProgress { request_started: true, ..self.progress },
            stream: &self.stream,
            evicted: false,
        };
        let streamed = async { Err(uploading.stream_body(&mut rest, writer, received).await) };
        let gone = async { Ok(client_gone(&self.stream).await) };
        let outcome = future::or(answered, future::or(gone, streamed)).await;
        self.evicted = uploading.evicted;
        let complete = rest.is_complete();
        if complete {
            self.parser.push(rest.surplus());
            self.arrivals.record(rest.surplus().len(), self.stream.last_bytes_came_at());
        }
        match outcome {
            Ok(Some(outcome)) => Ok(Some((request_answer(outcome, open, id.release()), complete))),
            Ok(None) => {
                id.client_gone();
                self.withdraw(open).await;
                Ok(None)
            }
            // The request was accepted before its body failed: the error is its answer.
            Err(error) => {
                shared.dispatcher.send(DispatcherMessage::Withdrawn(open.request())).await;
                let request = AnsweredRequest { open, kind: AnswerKind::Failed, id: id.release() };
                Ok(Some(((error.into(), Some(request)), false)))
            }
        }
    }

    /// Accepts a request: from now on it must get an answer.
    fn accept(&self, params: &RequestParams, identity: RequestIdentity) -> OpenRequest {
        let RequestIdentity { class, repeat_safety, id } = identity;
        let (request, deadline) = (self.shared.dispatcher.next_request_id(), params.deadline);
        self.shared.monitor.accept(Accepted { request, request_id: id, class, repeat_safety, deadline })
    }

    /// Withdraws a request whose client has gone.
    async fn withdraw(&self, open: OpenRequest) {
        open.client_gone();
        self.shared.dispatcher.send(DispatcherMessage::Withdrawn(open.request())).await;
        open.close(Some(CloseReason::ClientGone));
    }

    /// Writes an answer, and the rest of a long one as it arrives. An error is the reason for closing the connection.
    async fn write_answer(
        &self, mut answer: Answer, keep_alive: bool, framing: Framing,
    ) -> Result<(), CloseReason> {
        attempt::write_all(&self.stream, &answer.bytes(keep_alive, framing))
            .await
            .map_err(|_| CloseReason::AnswerNotTaken)?;
        let Answer::Forwarded(forwarded) = &mut answer else { return Ok(()) };
        let endpoint_keep_alive = forwarded.head.keeps_alive();
        let Some(mut rest) = forwarded.rest.take() else { return Ok(()) };
        let reason = loop {
            let Some(part) = rest.next_part().await else { break CloseReason::AnswerBroken };
            let body_ended = part.is_empty();
            let bytes = match framing {
                Framing::Chunked if body_ended => LAST_CHUNK.to_vec(),
                Framing::Chunked => attempt::encode_chunk(&part),
                _ => part,
            };
            if attempt::write_all(&self.stream, &bytes).await.is_err() {
                break CloseReason::AnswerNotTaken;
            }
            if body_ended {
                rest.release(endpoint_keep_alive);
                return Ok(());
            }
        };
        // Resets the connection, so that the client can't take its end for the end of the answer.
        let _ = sockopt::set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO));
        Err(reason)
    }

    /// When the last byte came of the message that the parser has just returned.
    fn last_byte_came_at(&mut self) -> Instant {
        self.arrivals.last_byte_came_at(self.parser.unparsed_bytes()).unwrap_or_else(Instant::now)
    }

    /// Reads the headers of a request that came at that time. Returns what the dispatcher needs, the client's timeout,
    /// the workload id to use if the body is streamed, and what identifies the request.
    fn read_request(
        &self, head: &Head, came_at: Instant,
    ) -> Result<(RequestParams, Micros, WorkloadId, RequestIdentity), HttpError> {
        let (settings, came_at) =
            (self.shared.request_settings(), self.shared.dispatcher.clock.micros_at(came_at));
        let (method, target, _) = head.request_line()?;
        let error = |status, message| HttpError { status, message };
        if !matches!(method, "GET" | "POST") {
            return Err(error(405, "only GET and POST are spoken"));
        }
        head.single("Host")?.ok_or(error(400, "Host is missing"))?;
        let id = head.single("Request-Id")?.filter(|id| !id.is_empty());
        let id = id.ok_or(error(400, "Request-Id is missing"))?;
        let path = target.split('?').next().unwrap_or_default();
        let first_segment = path.split('/').nth(1).unwrap_or_default();
        let name = head.single("Request-Class")?.unwrap_or(first_segment);
        if name != first_segment {
            return Err(error(400, "Request-Class and path name two workloads"));
        }
        let workload = settings.workloads.iter().position(|workload| workload.name == name);
        let workload = workload.ok_or(error(404, "no such workload"))?;
        let WorkloadSettings { max_client_wait, has_idempotency_key, .. } = settings.workloads[workload];
        let class = settings.class_names[workload].clone();
        let identity =
            RequestIdentity { class, repeat_safety: settings.repeat_safety[workload], id: id.into() };
        // Without the key no endpoint could recognise a repeat of this request.
        if head.single("Idempotency-Key")?.is_none_or(str::is_empty) && has_idempotency_key {
            return Err(error(400, "Idempotency-Key is missing"));
        }
        let parse_number = |text: &str| text.parse::<u64>().ok().filter(|_| !text.starts_with('+'));
        let timeout_ms = head
            .single(TIMEOUT_HEADER)?
            .map(|text| parse_number(text).ok_or(error(400, "Request-Timeout-Ms is no whole number")));
        let timeout_ms = timeout_ms.transpose()?;
        // Compared in milliseconds: guards against a time so long that it overflows in microseconds.
        let client_timeout =
            timeout_ms.filter(|&ms| ms < max_client_wait.0 / 1000).map_or(max_client_wait, Micros::millis);
        let tenant = head.single("Tenant")?;
        let tenant_index = |name| settings.tenants.iter().position(|tenant| tenant == name);
        let params = RequestParams {
            workload: settings.workload_ids[workload].buffered,
            class: settings.classes[workload],
            max_attempts: settings.max_attempts,
            tenant: TenantId(tenant.and_then(tenant_index).unwrap_or(0)),
            client_retry: head.single("Client-Retry")? == Some("1"),
            deadline: (came_at + client_timeout).min(self.shared.answer_deadline()),
            affinity_key: if settings.uses_affinity_keys {
                affinity_key(head.single("Request-Info")?)
            } else {
                None
            },
        };
        Ok((params, client_timeout, settings.workload_ids[workload].streamed, identity))
    }

    /// Shuts down this side of the connection, and waits a short time for the client to shut down its own: closing with
    /// unread bytes would reset the connection, and the client could lose its answer. While new connections wait for a
    /// slot, it only waits until the client's machine has the whole answer, and not for a client that has stalled.
    async fn close_gracefully(&self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let (mut buffer, mut drained_bytes) = (Vec::new(), 0);
            while drained_bytes < MAX_BODY_BYTES {
                let count = async { read(&self.stream, &mut buffer).await };
                let timeout = async {
                    Timer::after(LINGER_TIMEOUT).await;
                    None
                };
                let Some(count) = future::or(count, timeout).await else { return };
                drained_bytes += count;
                buffer.clear();
            }
        };
        let timeout = async { _ = Timer::after(CLOSE_TIMEOUT).await };
        let slot_needed = async {
            let may_close = || match self.evicted {
                true => self.stream.unread_bytes() == 0,
                false => self.stream.is_drained(),
            };
            while !(self.shared.slot_awaited() && may_close()) {
                let interval =
                    if self.shared.slot_awaited() { DRAINED_CHECK_INTERVAL } else { SLOT_CHECK_INTERVAL };
                Timer::after(interval).await;
            }
        };
        future::or(drained, future::or(timeout, slot_needed)).await;
    }

    /// Returns false if the client has gone or accepts no bytes.
    async fn write(&self, bytes: &[u8]) -> bool {
        attempt::write_all(&self.stream, bytes).await.is_ok()
    }
}

/// The id of an open request, and whether a second one with it must not run.
struct UnsafeId {
    id: RegisteredId,
    may_have_run: MayHaveRun,
    repeat_safety: RepeatSafety,
}

impl UnsafeId {
    fn new(id: RegisteredId, repeat_safety: RepeatSafety) -> UnsafeId {
        let marker = (repeat_safety == RepeatSafety::Unsafe).then(|| id.run_marker());
        UnsafeId { id, may_have_run: MayHaveRun::new(marker), repeat_safety }
    }

    /// Frees the id. Returns it if the request may have run and must not run again.
    fn release(self) -> Option<ReleasedId> {
        let id = self.id.release();
        Some(id).filter(|_| self.repeat_safety == RepeatSafety::Unsafe && self.may_have_run.get())
    }

    /// The client has gone before its answer.
    fn client_gone(self) {
        if let Some(id) = self.release() {
            id.remember(Instant::now());
        }
    }
}

/// The outcome of a request as the answer to it.
fn request_answer(
    outcome: RequestOutcome<EndpointAnswer>, open: OpenRequest, id: Option<ReleasedId>,
) -> RequestAnswer {
    let kind = match &outcome {
        RequestOutcome::Served(_) => AnswerKind::Served,
        RequestOutcome::Refused { .. } => AnswerKind::Refused,
        RequestOutcome::Failed => AnswerKind::Failed,
    };
    (outcome.into(), Some(AnsweredRequest { open, kind, id }))
}

impl From<IdConflict> for HttpError {
    fn from(conflict: IdConflict) -> HttpError {
        let message = match conflict {
            IdConflict::Open => "this Request-Id is open",
            IdConflict::MayHaveRun => "the request with this Request-Id may have run",
        };
        HttpError { status: 409, message }
    }
}

/// Waits until the client leaves, then returns none. Notices it wherever the request waits, even behind unread bytes:
/// guards against an attempt for a client that has gone.
async fn client_gone<T>(stream: &Async<TcpStream>) -> Option<T> {
    stream.ended().await;
    None
}

/// Reads the available bytes and appends them to `buffer`. None at the end of the connection or on an error.
pub(super) async fn read(stream: &Async<TcpStream>, buffer: &mut Vec<u8>) -> Option<usize> {
    stream.read_buf(buffer).await.ok().filter(|count| *count > 0)
}

/// Whether this is `GET /ready`, which the sidecar answers itself.
fn is_readiness_check(request: &Message) -> bool {
    let line = request.head.request_line();
    line.is_ok_and(|(method, target, _)| method == "GET" && target.split('?').next() == Some("/ready"))
}

/// The `key` in a `Request-Info` header, if it is a number below 2^53.
fn affinity_key(info: Option<&str>) -> Option<u64> {
    let text = info?.split(',').find_map(|part| part.trim().strip_prefix("key="))?;
    text.parse().ok().filter(|key| *key < 1 << 53)
}
