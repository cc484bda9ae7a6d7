//! One caller's connection: reads its requests and gives each API call its one answer.
use super::answers::Answer;
use super::door::Door;
use super::head::Fault;
use super::hop::{Outgoing, TIMEOUT};
use super::messages::{Assembler, Message, Side};
use super::Note;
use crate::decider::{Ask, Verdict};
use crate::reactor::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use oakhollow::types::*;
use oakhollow_terms::Named;
use std::net::{IpAddr, Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long a caller may take from connecting, or from the first byte of a later request, until its request is
/// there whole, and then to take its answer.
const WITHIN: Duration = Duration::from_millis(2_500);
/// How long a connection is kept on which nothing is asked any more.
const KEPT: Duration = Duration::from_secs(10);
/// How long a caller that has its last answer may take to close, and one that came last to send.
const LINGER: Duration = Duration::from_millis(500);
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
    Request(Message, Micros),
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
            // Whoever sends what can't be taken is parted with: guards against hundreds of such requests at once.
            let (answer, lasts) = match self.next().await {
                // Between requests nothing can be lost; lingering would keep out those who wait to be taken in.
                Next::Nothing => return,
                Next::Fault(fault) => (fault.into(), false),
                Next::Request(request, came) => {
                    let lasts = request.lasts;
                    match self.answer(request, came).await {
                        Ok(Some(answer)) => (answer, lasts),
                        Ok(None) => return,
                        Err(fault) => (fault.into(), false),
                    }
                }
            };
            let lasts = lasts && self.door.keeps();
            if !self.write(&answer.bytes(lasts)).await {
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
        let (clock, start) = (self.door.desk.clock, Instant::now());
        let (mut came, mut leave_given) = (clock.now(), false);
        let mut until = start + if self.fresh { WITHIN } else { KEPT };
        let door = self.door;
        let mut stay = Some(door.stay(self.source, !self.fresh));
        loop {
            match self.inbox.take() {
                Ok(Some(request)) => return Next::Request(request, came),
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
                    if !begun {
                        came = clock.now();
                        // The time of a fresh one runs from its coming: silence first wins it nothing.
                        until = if self.fresh { until } else { Instant::now() + WITHIN };
                    }
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
    async fn answer(&mut self, request: Message, came: Micros) -> Result<Option<Answer>, Fault> {
        if asks_if_ready(&request) {
            return Ok(Some(Answer::ready(self.door.ready())));
        }
        let ask = self.read_call(&request, came)?;
        // Guards against a stranger's request under the id of one that is open: servers tell the two apart by nothing.
        let door = self.door;
        let id = request.head.only("Request-Id")?.unwrap_or_default();
        let _open = door.open_id(id).ok_or(Fault { status: 409, why: "this Request-Id is open" })?;
        let (call, verdict) = door.desk.take(ask, Outgoing::new(request)?).await;
        let answered = async { (&verdict).await };
        let (stream, inbox) = (&self.stream, &mut self.inbox);
        let gone = async {
            while read(stream, inbox.end()).await.is_some() {
                if inbox.held() > MOST_AHEAD {
                    return future::pending().await;
                }
            }
            None
        };
        let verdict: Option<Verdict<Message>> = future::or(answered, gone).await;
        if verdict.is_none() {
            door.desk.tell(Note::Withdrawn(call)).await;
        }
        Ok(verdict.map(Answer::from))
    }

    /// What the decisions need of a request.
    fn read_call(&self, request: &Message, came: Micros) -> Result<Ask, Fault> {
        let (head, names) = (&request.head, &self.door.names);
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
        Ok(Ask {
            workload: WorkloadId(workload),
            customer: CustomerId(customer.and_then(known).unwrap_or(0)),
            repeat: head.only("Client-Retry")? == Some("1"),
            abandon: (came + left).min(self.door.latest()),
            key: if names.warm_keys { key(head.only("Request-Info")?) } else { None },
        })
    }

    /// Ends our sending, and waits a little for the caller to end its own: a close with bytes unread would reset
    /// the connection, and could take the answer with it.
    async fn part(&self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let drained = async {
            let (mut taken, mut drained) = (Vec::new(), 0);
            while drained < 4 * MOST_AHEAD {
                let Some(count) = read(&self.stream, &mut taken).await else { return };
                drained += count;
                taken.clear();
            }
        };
        let late = async { _ = Timer::after(LINGER).await };
        future::or(drained, late).await;
    }

    /// False if the caller is gone or takes nothing.
    async fn write(&self, bytes: &[u8]) -> bool {
        let written = async { (&self.stream).write_all(bytes).await.is_ok() };
        let late = async {
            Timer::after(WITHIN).await;
            false
        };
        future::or(written, late).await
    }
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
