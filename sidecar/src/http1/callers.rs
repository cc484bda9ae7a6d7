//! One caller's connection: reads its requests and gives each API call its one answer.
use super::answers::Answer;
use super::door::Door;
use super::head::{Fault, Framing, Head, MOST_LONG};
use super::hop::{self, Feed, Outgoing, LAST_CHUNK, TIMEOUT};
use super::messages::{Assembler, Begun, Came, Message, Rest, Side};
use super::Note;
use crate::decider::{Ask, Verdict};
use crate::reactor::{Async, Timer};
use futures_lite::future;
use oakhollow::types::*;
use oakhollow_terms::Named;
use rustix::net::sockopt;
use std::net::{IpAddr, Shutdown, TcpStream};
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

pub struct Caller<'a> {
    door: &'a Door,
    stream: Async<TcpStream>,
    source: IpAddr,
    inbox: Assembler,
    /// Nothing has been answered on it yet.
    fresh: bool,
    /// Rings when the time for a request is over.
    late: Timer,
}

enum Next {
    Request(Message),
    Begun(Begun),
    Fault(Fault),
    Nothing,
}

impl Caller<'_> {
    pub fn new(door: &Door, stream: Async<TcpStream>, source: IpAddr) -> Caller<'_> {
        Caller {
            door,
            stream,
            source,
            inbox: Assembler::new(Side::Requests),
            fresh: true,
            late: Timer::never(),
        }
    }

    pub async fn serve(mut self) {
        loop {
            let mut old = false;
            // Whoever sends what can't be taken is parted with: guards against hundreds of such requests at once.
            let (answer, lasts) = match self.next().await {
                // Between requests nothing can be lost; lingering would keep out those who wait to be taken in.
                Next::Nothing => return,
                Next::Fault(fault) => (fault.into(), false),
                Next::Request(request) => {
                    let lasts = request.lasts;
                    old = request.head.old();
                    match self.answer(request).await {
                        Ok(Some(answer)) => (answer, lasts),
                        Ok(None) => return,
                        Err(fault) => (fault.into(), false),
                    }
                }
                Next::Begun(begun) => {
                    let lasts = begun.head.lasts();
                    old = begun.head.old();
                    match self.carry(begun).await {
                        Ok(Some((answer, whole))) => (answer, lasts && whole),
                        Ok(None) => return,
                        Err(fault) => (fault.into(), false),
                    }
                }
            };
            let framing = answer.framing(old);
            let lasts = lasts && self.door.keeps() && framing != Framing::UntilClose;
            if !self.give(answer, lasts, framing).await {
                return;
            }
            if !lasts {
                return self.part().await;
            }
            self.fresh = false;
        }
    }

    /// Waits for the next request, and for the word to close while there is none.
    async fn next(&mut self) -> Next {
        let (start, mut leave_given) = (Instant::now(), false);
        let mut until = start + if self.fresh { WITHIN } else { KEPT };
        let mut paced = 0;
        let door = self.door;
        let mut stay = Some(door.stay(self.source, !self.fresh));
        loop {
            match self.inbox.take() {
                Ok(Some(Came::Whole(request))) => return Next::Request(request),
                Ok(Some(Came::Begun(begun))) => return Next::Begun(begun),
                Ok(None) => {}
                Err(fault) => return Next::Fault(fault),
            }
            if self.inbox.waits_for_leave() && !std::mem::replace(&mut leave_given, true) {
                let leave = b"HTTP/1.1 100 Continue\r\n\r\n";
                if !self.write(leave).await {
                    return Next::Nothing;
                }
            }
            let begun = self.inbox.held() > 0;
            let read = async { Some(read(&self.stream, self.inbox.end()).await) };
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
                Some(None) => return Next::Nothing,
                // The program is leaving: what has begun is waited for, and one let in at the last moment has a little
                // time to begin.
                None if stay.is_none()
                    && door.closing()
                    && until > Instant::now()
                    && (begun || self.fresh) =>
                {
                    if !begun {
                        until = until.min(Instant::now() + LINGER);
                    }
                }
                None if stay.is_some() && begun => {
                    return Next::Fault(Fault { status: 408, why: "the request came too slowly" })
                }
                None => return Next::Nothing,
            }
        }
    }

    /// The answer to a request; none if the caller left before it.
    async fn answer(&mut self, request: Message) -> Result<Option<Answer>, Fault> {
        if asks_if_ready(&request) {
            return Ok(Some(Answer::ready(self.door.ready())));
        }
        let (ask, ..) = self.read_call(&request.head)?;
        // Guards against a stranger's request under the id of one that is open: servers tell the two apart by nothing.
        let door = self.door;
        let id = request.head.only("Request-Id")?.unwrap_or_default();
        let _open = door.open_id(id).ok_or(Fault { status: 409, why: "this Request-Id is open" })?;
        // Guards against a hop for one that left before its request was read: it may have waited to be taken in.
        if self.stream.has_ended() {
            return Ok(None);
        }
        let (call, verdict) = door.desk.take(ask, Outgoing::new(request, self.stream.end())?).await;
        let answered = async { (&verdict).await };
        let (stream, inbox) = (&self.stream, &mut self.inbox);
        // Read on for a while, so that what the machine holds of the next request does not grow stale.
        let ahead = async {
            while inbox.held() <= MOST_AHEAD && read(stream, inbox.end()).await.is_some() {}
            future::pending().await
        };
        let verdict: Option<Verdict<_>> = future::or(answered, future::or(gone(stream), ahead)).await;
        if verdict.is_none() {
            door.desk.tell(Note::Withdrawn(call)).await;
        }
        Ok(verdict.map(Answer::from))
    }

    /// The answer to a request whose body is passed on as it comes, and whether all of it has come.
    async fn carry(&mut self, begun: Begun) -> Result<Option<(Answer, bool)>, Fault> {
        let Begun { head, kept, mut rest } = begun;
        let (mut ask, left, long) = self.read_call(&head)?;
        let (door, came) = (self.door, kept.len());
        // To the module it is a call of which nothing may be sent twice, and its time begins with its last byte.
        ask.workload = long;
        let longest = at_slowest(rest.length().unwrap_or(MOST_LONG));
        ask.abandon = (ask.abandon + Micros(longest.as_micros() as u64)).min(door.latest());
        let id = head.only("Request-Id")?.unwrap_or_default();
        let _open = door.open_id(id).ok_or(Fault { status: 409, why: "this Request-Id is open" })?;
        let (content, feed) = Outgoing::begun(&head, kept, &rest, left, self.stream.end())?;
        if self.stream.has_ended() {
            return Ok(None);
        }
        let (call, verdict) = door.desk.take(ask, content).await;
        let answered = async { Ok((&verdict).await) };
        let pumped = pump(&self.stream, &mut rest, feed, came);
        let left = async { Ok(gone(&self.stream).await) };
        let verdict = future::or(answered, future::or(left, pumped)).await;
        if !matches!(verdict, Ok(Some(_))) {
            door.desk.tell(Note::Withdrawn(call)).await;
        }
        let whole = rest.whole();
        if whole {
            self.inbox.push(rest.behind());
        }
        Ok(verdict?.map(|verdict| (Answer::from(verdict), whole)))
    }

    /// Writes an answer, the rest of a long one as it comes. False if the connection is over by that.
    async fn give(&self, mut answer: Answer, lasts: bool, framing: Framing) -> bool {
        if hop::write(&self.stream, &answer.bytes(lasts, framing)).await.is_err() {
            return false;
        }
        let Answer::Passed(reply) = &mut answer else { return true };
        let keeps = reply.head.lasts();
        let Some(mut rest) = reply.rest.take() else { return true };
        loop {
            let Some(part) = rest.more().await else { break };
            let over = part.is_empty();
            let bytes = match framing {
                Framing::Chunked if over => LAST_CHUNK.to_vec(),
                Framing::Chunked => hop::chunk(&part),
                _ => part,
            };
            if hop::write(&self.stream, &bytes).await.is_err() {
                break;
            }
            if over {
                rest.done(keeps);
                return true;
            }
        }
        // Guards against an end that a caller takes for the answer's.
        let _ = sockopt::set_socket_linger(self.stream.get_ref(), Some(Duration::ZERO));
        false
    }

    /// What the decisions need of a request, the time that its caller gives it, and its workload if its body is not kept.
    fn read_call(&self, head: &Head) -> Result<(Ask, Micros, WorkloadId), Fault> {
        let (names, came) = (self.door.names(), self.door.desk.clock.now());
        let (method, target, _) = head.request()?;
        let fault = |status, why| Fault { status, why };
        if !matches!(method, "GET" | "POST") {
            return Err(fault(405, "only GET and POST are spoken"));
        }
        head.only("Host")?.ok_or(fault(400, "Host is missing"))?;
        head.only("Request-Id")?.filter(|id| !id.is_empty()).ok_or(fault(400, "Request-Id is missing"))?;
        let path = target.split('?').next().unwrap_or_default();
        let first = path.split('/').nth(1).unwrap_or_default();
        let name = head.only("Request-Class")?.unwrap_or(first);
        if name != first {
            return Err(fault(400, "Request-Class and path name two workloads"));
        }
        let workload = names.workloads.iter().position(|workload| workload.name == name);
        let workload = workload.ok_or(fault(404, "no such workload"))?;
        let Named { abandon: longest, tagged, .. } = names.workloads[workload];
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
        let known = |name| names.customers.iter().position(|customer| customer == name);
        let ask = Ask {
            workload: names.numbers[workload].usual,
            class: names.classes[workload],
            most_hops: names.most_hops,
            customer: CustomerId(customer.and_then(known).unwrap_or(0)),
            repeat: head.only("Client-Retry")? == Some("1"),
            abandon: (came + left).min(self.door.latest()),
            key: if names.warm_keys { key(head.only("Request-Info")?) } else { None },
        };
        Ok((ask, left, names.numbers[workload].long))
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
        hop::write(&self.stream, bytes).await.is_ok()
    }
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
) -> Result<Option<T>, Fault> {
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
        let read = async { Some(read(stream, rest.end()).await) };
        let late = async {
            Timer::after(allowed).await;
            None
        };
        match future::or(read, late).await {
            Some(Some(_)) => waited += begun.elapsed(),
            // Gone, which is seen elsewhere.
            Some(None) => return future::pending().await,
            None => return Err(Fault { status: 408, why: "the request came too slowly" }),
        }
    }
    feed.finish();
    while rest.behind().len() <= MOST_AHEAD && read(stream, rest.end()).await.is_some() {}
    future::pending().await
}

async fn read(stream: &Async<TcpStream>, into: &mut Vec<u8>) -> Option<usize> {
    stream.read_behind(into).await.ok().filter(|count| *count > 0)
}

fn asks_if_ready(request: &Message) -> bool {
    let asked = request.head.request();
    asked.is_ok_and(|(method, target, _)| method == "GET" && target.split('?').next() == Some("/ready"))
}

/// The key among a request's further figures; one that is no number below 2^53 is none.
fn key(info: Option<&str>) -> Option<u64> {
    let told = info?.split(',').find_map(|part| part.trim().strip_prefix("key="))?;
    told.parse().ok().filter(|key| *key < 1 << 53)
}
