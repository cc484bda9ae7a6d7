//! One client's connection: reads its requests and gives each its one answer.
use super::answers::Answer;
use super::attempt::{self, Feed, Outgoing, Reply, LAST_CHUNK, TIMEOUT};
use super::connections::{Closed, Connections, Held};
use super::head::{Framing, Head, HttpError, MOST_LONG};
use super::messages::{Incoming, Message, MessageKind, MessageParser, PartialMessage, Rest};
use super::DispatcherMessage;
use crate::dispatcher::{RequestOutcome, RequestParams};
use crate::monitor::{Accepted, OpenRequest};
use crate::reactor::{Async, Timer};
use futures_lite::future;
use oakhollow::types::*;
use oakhollow_guard::{AnswerKind, CloseReason, RepeatSafety};
use oakhollow_terms::WorkloadSettings;
use rustix::net::sockopt;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a caller may take from connecting, or from the first byte of a later request, until its request is
/// there whole, and then to take its answer.
const WITHIN: Duration = Duration::from_millis(2_500);
/// How long a connection is kept on which nothing is asked any more.
const KEPT: Duration = Duration::from_secs(10);
/// How long a caller that has its last answer may take to close, and one that came last to send.
const LINGER: Duration = Duration::from_millis(500);
/// How long the rest of a request that is answered already is read off for.
const PARTING: Duration = Duration::from_secs(4);
/// The slowest pace of a body, in bytes a second; the platform's word is 64 kB.
const SLOWEST: f64 = 48_000.0;
/// What a caller may send ahead while its API call is out, and after its last answer.
const MOST_AHEAD: usize = 16 * 1024;

/// A connection with the state of its reading.
pub struct ClientConnection<'a> {
    held: &'a Held,
    shared: &'a Connections,
    stream: Async<TcpStream>,
    inbox: MessageParser,
    /// Nothing has been answered on it yet.
    fresh: bool,
    /// Rings when the time for a request is over.
    late: Timer,
}

enum Next {
    Request(Message),
    Partial(PartialMessage),
    HttpError(HttpError),
    Closed(CloseReason),
}

/// An answer that is to be given.
struct Due {
    answer: Answer,
    /// The connection may carry another request after it.
    lasts: bool,
    /// The client speaks an old version, without chunks.
    old: bool,
    /// The request that it is owed to; none where none was accepted.
    owed: Option<(OpenRequest, AnswerKind)>,
}

/// None if the client has gone.
type Answered = Option<AnswerOwed>;

/// An answer, and the request that it is owed to, if that was accepted.
type AnswerOwed = (Answer, Option<(OpenRequest, AnswerKind)>);

/// What a request is, beside what the decisions need of it.
struct Identity {
    class: Rc<str>,
    effect: RepeatSafety,
    id: Rc<str>,
}

impl Due {
    /// Whoever sends what can't be taken is parted with: guards against hundreds of such requests at once.
    fn fault(fault: HttpError) -> Due {
        Due { answer: fault.into(), lasts: false, old: false, owed: None }
    }
}

impl ClientConnection<'_> {
    /// One that was just taken in.
    pub fn new(held: &Held, stream: Async<TcpStream>) -> ClientConnection<'_> {
        ClientConnection {
            held,
            shared: &held.shared,
            stream,
            inbox: MessageParser::new(MessageKind::Request),
            fresh: true,
            late: Timer::never(),
        }
    }

    /// Serves it until it is closed.
    pub async fn serve(mut self) -> Closed {
        loop {
            let due = match self.next().await {
                // Between requests nothing can be lost; lingering would keep out those who wait to be taken in.
                Next::Closed(reason) => return Closed::by(reason),
                Next::HttpError(fault) => Due::fault(fault),
                Next::Request(request) => {
                    let (lasts, old) = (request.lasts, request.head.old());
                    match self.answer(request).await {
                        Ok(Some((answer, owed))) => Due { answer, lasts, old, owed },
                        Ok(None) => return Closed::by(CloseReason::ClientGone),
                        Err(fault) => Due::fault(fault),
                    }
                }
                Next::Partial(begun) => {
                    let (lasts, old) = (begun.head.lasts(), begun.head.old());
                    match self.carry(begun).await {
                        Ok(Some(((answer, owed), whole))) => Due { answer, lasts: lasts && whole, old, owed },
                        Ok(None) => return Closed::by(CloseReason::ClientGone),
                        Err(fault) => Due::fault(fault),
                    }
                }
            };
            if let Some(closed) = self.finish(due).await {
                return closed;
            }
            self.fresh = false;
        }
    }

    /// Gives an answer. None if the connection is kept.
    async fn finish(&self, due: Due) -> Option<Closed> {
        let Due { answer, lasts, old, owed } = due;
        let framing = answer.framing(old);
        let lasts = lasts && self.shared.keeps() && framing != Framing::UntilClose;
        if let Some((open, kind)) = &owed {
            open.answer_begun(*kind);
        }
        let broken = self.give(answer, lasts, framing).await.err();
        let reason = broken.or_else(|| (!lasts).then_some(CloseReason::LastAnswer));
        if let Some((open, _)) = owed {
            open.close(reason);
        }
        if reason == Some(CloseReason::LastAnswer) {
            self.part().await;
        }
        reason.map(Closed::by)
    }

    /// Waits for the next request, and for the word to close while there is none.
    async fn next(&mut self) -> Next {
        let (start, mut leave_given) = (Instant::now(), false);
        let mut until = start + if self.fresh { WITHIN } else { KEPT };
        let mut paced = 0;
        let shared = self.shared;
        let mut stay = Some(shared.stay(self.held.source, !self.fresh));
        loop {
            match self.inbox.next_message() {
                Ok(Some(Incoming::Complete(request))) => return Next::Request(request),
                Ok(Some(Incoming::Partial(begun))) => return Next::Partial(begun),
                Ok(None) => {}
                Err(fault) => return Next::HttpError(fault),
            }
            if self.inbox.waits_for_leave() && !std::mem::replace(&mut leave_given, true) {
                let leave = b"HTTP/1.1 100 Continue\r\n\r\n";
                if !self.write(leave).await {
                    return Next::Closed(CloseReason::ClientClosed);
                }
            }
            let begun = self.inbox.held() > 0;
            let read = async { Some(read(&self.stream, self.inbox.buffer()).await) };
            let ended = async {
                self.late.set_at(until);
                let late = async {
                    (&mut self.late).await;
                    false
                };
                let told = async {
                    match &stay {
                        Some(stay) => stay.told_to_close().await,
                        None => future::pending().await,
                    }
                    true
                };
                if future::or(late, told).await {
                    stay = None;
                }
                None
            };
            match future::or(read, ended).await {
                Some(Some(_)) => {
                    if let Some(stay) = &stay {
                        stay.stirs();
                    }
                    if !begun {
                        // The time of a fresh one runs from its coming: silence first wins it nothing.
                        until = if self.fresh { until } else { Instant::now() + WITHIN };
                    }
                    // Whoever keeps to the slowest pace that is allowed has the time for its body.
                    let more = self.inbox.body().saturating_sub(paced);
                    (until, paced) = (until + at_slowest(more), paced + more);
                }
                Some(None) => return Next::Closed(CloseReason::ClientClosed),
                // The program is leaving: what has begun is waited for, and one let in at the last moment has a little
                // time to begin.
                None if stay.is_none()
                    && shared.closing()
                    && until > Instant::now()
                    && (begun || self.fresh) =>
                {
                    if !begun {
                        until = until.min(Instant::now() + LINGER);
                    }
                }
                None if stay.is_some() && begun => {
                    return Next::HttpError(HttpError { status: 408, message: "the request came too slowly" })
                }
                None => return Next::Closed(self.why_nothing_came(stay.is_none())),
            }
        }
    }

    /// Why the connection is closed on which no request is open; `told` to close, or out of time.
    fn why_nothing_came(&self, told: bool) -> CloseReason {
        match (told, self.shared.closing()) {
            (true, true) => CloseReason::ShuttingDown,
            (true, false) => CloseReason::Evicted,
            (false, _) if self.fresh => CloseReason::NoRequest,
            (false, _) => CloseReason::Idle,
        }
    }

    /// The answer to a request; none if the client left before it.
    async fn answer(&mut self, request: Message) -> Result<Answered, HttpError> {
        if asks_if_ready(&request) {
            return Ok(Some((Answer::ready(self.shared.ready()), None)));
        }
        let (ask, _, _, identity) = self.read_call(&request.head)?;
        // Guards against a stranger's request under the id of one that is open: servers tell the two apart by nothing.
        let shared = self.shared;
        let _open = shared
            .open_id(&identity.id)
            .ok_or(HttpError { status: 409, message: "this Request-Id is open" })?;
        // Guards against an attempt for one that left before its request was read: it may have waited to be taken in.
        if self.stream.has_ended() {
            return Ok(None);
        }
        let content = Outgoing::new(request, self.stream.end())?;
        let open = self.accept(&ask, identity);
        let verdict = shared.desk.submit(open.request(), ask, content).await;
        let answered = async { (&verdict).await };
        let (stream, inbox) = (&self.stream, &mut self.inbox);
        // Read on for a while, so that what the kernel holds of the next request does not grow stale.
        let ahead = async {
            while inbox.held() <= MOST_AHEAD && read(stream, inbox.buffer()).await.is_some() {}
            future::pending().await
        };
        let verdict: Option<RequestOutcome<_>> = future::or(answered, future::or(gone(stream), ahead)).await;
        match verdict {
            Some(verdict) => Ok(Some(given(verdict, open))),
            None => {
                self.withdraw(open).await;
                Ok(None)
            }
        }
    }

    /// The answer to a request whose body is passed on as it comes, and whether all of it has come.
    async fn carry(&mut self, begun: PartialMessage) -> Result<Option<(AnswerOwed, bool)>, HttpError> {
        let PartialMessage { head, kept, mut rest } = begun;
        let (mut ask, left, long, mut identity) = self.read_call(&head)?;
        let (shared, came) = (self.shared, kept.len());
        // To the module it is a request of which nothing may be sent twice, and its time begins with its last byte.
        (ask.workload, identity.effect) = (long, RepeatSafety::Unsafe);
        let longest = at_slowest(rest.length().unwrap_or(MOST_LONG));
        ask.deadline = (ask.deadline + Micros(longest.as_micros() as u64)).min(shared.answer_deadline());
        let _open = shared
            .open_id(&identity.id)
            .ok_or(HttpError { status: 409, message: "this Request-Id is open" })?;
        let (content, feed) = Outgoing::begun(&head, kept, &rest, left, self.stream.end())?;
        if self.stream.has_ended() {
            return Ok(None);
        }
        let open = self.accept(&ask, identity);
        let verdict = shared.desk.submit(open.request(), ask, content).await;
        let answered = async { Ok((&verdict).await) };
        let pumped = pump(&self.stream, &mut rest, feed, came);
        let left = async { Ok(gone(&self.stream).await) };
        let verdict = future::or(answered, future::or(left, pumped)).await;
        let whole = rest.whole();
        if whole {
            self.inbox.push(rest.behind());
        }
        match verdict {
            Ok(Some(verdict)) => Ok(Some((given(verdict, open), whole))),
            Ok(None) => {
                self.withdraw(open).await;
                Ok(None)
            }
            // Accepted, and answered by the fault.
            Err(fault) => {
                shared.desk.send(DispatcherMessage::Withdrawn(open.request())).await;
                Ok(Some(((fault.into(), Some((open, AnswerKind::Failed))), false)))
            }
        }
    }

    /// From now on an answer is owed.
    fn accept(&self, ask: &RequestParams, identity: Identity) -> OpenRequest {
        let Identity { class, effect, id } = identity;
        let (request, deadline) = (self.shared.desk.next_request_id(), ask.deadline);
        self.shared.monitor.accept(Accepted { request, request_id: id, class, effect, deadline })
    }

    /// The client has gone.
    async fn withdraw(&self, open: OpenRequest) {
        open.client_gone();
        self.shared.desk.send(DispatcherMessage::Withdrawn(open.request())).await;
        open.close(Some(CloseReason::ClientGone));
    }

    /// Writes an answer, the rest of a long one as it comes. An error is why the connection is over by that.
    async fn give(&self, mut answer: Answer, lasts: bool, framing: Framing) -> Result<(), CloseReason> {
        attempt::write(&self.stream, &answer.bytes(lasts, framing))
            .await
            .map_err(|_| CloseReason::AnswerNotTaken)?;
        let Answer::Passed(reply) = &mut answer else { return Ok(()) };
        let keeps = reply.head.lasts();
        let Some(mut rest) = reply.rest.take() else { return Ok(()) };
        let reason = loop {
            let Some(part) = rest.more().await else { break CloseReason::AnswerBroken };
            let over = part.is_empty();
            let bytes = match framing {
                Framing::Chunked if over => LAST_CHUNK.to_vec(),
                Framing::Chunked => attempt::chunk(&part),
                _ => part,
            };
            if attempt::write(&self.stream, &bytes).await.is_err() {
                break CloseReason::AnswerNotTaken;
            }
            if over {
                rest.done(keeps);
                return Ok(());
            }
        };
        // Guards against an end that a caller takes for the answer's.
        let _ = sockopt::set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO));
        Err(reason)
    }

    /// What the decisions need of a request, the time that its client gives it, its workload if its body is not kept, and what
    /// it is known by.
    fn read_call(&self, head: &Head) -> Result<(RequestParams, Micros, WorkloadId, Identity), HttpError> {
        let (names, came) = (self.shared.request_settings(), self.shared.desk.clock.now());
        let (method, target, _) = head.request_line()?;
        let fault = |status, message| HttpError { status, message };
        if !matches!(method, "GET" | "POST") {
            return Err(fault(405, "only GET and POST are spoken"));
        }
        head.only("Host")?.ok_or(fault(400, "Host is missing"))?;
        let id = head.only("Request-Id")?.filter(|id| !id.is_empty());
        let id = id.ok_or(fault(400, "Request-Id is missing"))?;
        let path = target.split('?').next().unwrap_or_default();
        let first = path.split('/').nth(1).unwrap_or_default();
        let name = head.only("Request-Class")?.unwrap_or(first);
        if name != first {
            return Err(fault(400, "Request-Class and path name two workloads"));
        }
        let workload = names.workloads.iter().position(|workload| workload.name == name);
        let workload = workload.ok_or(fault(404, "no such workload"))?;
        let WorkloadSettings { max_client_wait: longest, has_idempotency_key: tagged, .. } =
            names.workloads[workload];
        let class = names.class_names[workload].clone();
        let identity = Identity { class, effect: names.effects[workload], id: id.into() };
        // Guards against sending twice what no server could tell for a repeat.
        if head.only("Idempotency-Key")?.is_none_or(str::is_empty) && tagged {
            return Err(fault(400, "Idempotency-Key is missing"));
        }
        let number = |text: &str| text.parse::<u64>().ok().filter(|_| !text.starts_with('+'));
        let told = head
            .only(TIMEOUT)?
            .map(|text| number(text).ok_or(fault(400, "Request-Timeout-Ms is no whole number")));
        let told = told.transpose()?;
        // Compared in its own unit: guards against a time so long that it wraps to a short one in microseconds.
        let left = told.filter(|&told| told < longest.0 / 1000).map_or(longest, Micros::millis);
        let customer = head.only("Tenant")?;
        let known = |name| names.tenants.iter().position(|customer| customer == name);
        let ask = RequestParams {
            workload: names.workload_ids[workload].buffered,
            class: names.classes[workload],
            max_attempts: names.max_attempts,
            tenant: TenantId(customer.and_then(known).unwrap_or(0)),
            client_retry: head.only("Client-Retry")? == Some("1"),
            deadline: (came + left).min(self.shared.answer_deadline()),
            affinity_key: if names.uses_affinity_keys { key(head.only("Request-Info")?) } else { None },
        };
        Ok((ask, left, names.workload_ids[workload].streamed, identity))
    }

    /// Ends our sending, and waits a little for the caller to end its own: a close with bytes unread would reset
    /// the connection, and could take the answer with it.
    async fn part(&self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let (mut taken, mut drained) = (Vec::new(), 0);
            while drained < MOST_LONG {
                let count = async { read(&self.stream, &mut taken).await };
                let late = async {
                    Timer::after(LINGER).await;
                    None
                };
                let Some(count) = future::or(count, late).await else { return };
                drained += count;
                taken.clear();
            }
        };
        let late = async { _ = Timer::after(PARTING).await };
        future::or(drained, late).await;
    }

    /// False if the caller is gone or takes nothing.
    async fn write(&self, bytes: &[u8]) -> bool {
        attempt::write(&self.stream, bytes).await.is_ok()
    }
}

/// A verdict as an answer, owed to that request.
fn given(verdict: RequestOutcome<Reply>, open: OpenRequest) -> AnswerOwed {
    let kind = match &verdict {
        RequestOutcome::Served(_) => AnswerKind::Served,
        RequestOutcome::Refused { .. } => AnswerKind::Refused,
        RequestOutcome::Failed => AnswerKind::Failed,
    };
    (verdict.into(), Some((open, kind)))
}

/// The time that so much of a body may take: a third more than the platform's word.
fn at_slowest(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / SLOWEST)
}

/// Waits for the caller to leave, which is none. The one way to see it, wherever its call waits, also behind bytes that
/// nobody reads: guards against a hop for one who has gone.
async fn gone<T>(stream: &Async<TcpStream>) -> Option<T> {
    stream.ended().await;
    None
}

/// Reads the rest of a request and hands it on, and what is sent ahead of the next for a while.
async fn pump<T>(
    stream: &Async<TcpStream>, rest: &mut Rest, mut feed: Feed, mut came: usize,
) -> Result<Option<T>, HttpError> {
    // Only the time in which the caller could have sent counts against it.
    let mut waited = Duration::ZERO;
    loop {
        let mut part = Vec::new();
        rest.feed(&mut part)?;
        came += part.len();
        if !part.is_empty() && !feed.give(part).await {
            // No hop wants it: its verdict is on its way.
            return future::pending().await;
        }
        if rest.whole() {
            break;
        }
        let begun = Instant::now();
        let allowed = (WITHIN + at_slowest(came)).saturating_sub(waited);
        let read = async { Some(read(stream, rest.buffer()).await) };
        let late = async {
            Timer::after(allowed).await;
            None
        };
        match future::or(read, late).await {
            Some(Some(_)) => waited += begun.elapsed(),
            // Gone, which is seen elsewhere.
            Some(None) => return future::pending().await,
            None => return Err(HttpError { status: 408, message: "the request came too slowly" }),
        }
    }
    feed.finish();
    while rest.behind().len() <= MOST_AHEAD && read(stream, rest.buffer()).await.is_some() {}
    future::pending().await
}

async fn read(stream: &Async<TcpStream>, into: &mut Vec<u8>) -> Option<usize> {
    stream.read_buf(into).await.ok().filter(|count| *count > 0)
}

fn asks_if_ready(request: &Message) -> bool {
    let asked = request.head.request_line();
    asked.is_ok_and(|(method, target, _)| method == "GET" && target.split('?').next() == Some("/ready"))
}

/// The key among a request's further figures; one that is no number below 2^53 is none.
fn key(info: Option<&str>) -> Option<u64> {
    let told = info?.split(',').find_map(|part| part.trim().strip_prefix("key="))?;
    told.parse().ok().filter(|key| *key < 1 << 53)
}
