//! One hop: a request to a server, and what comes back, as the outcome that the protocol gives it.
use super::head::{Fault, Head};
use super::load;
use super::messages::{Assembler, Message, Side};
use super::pool::{Link, Pool};
use crate::decider::{End, Told};
use crate::reactor::Timer;
use crate::timers::duration;
use futures_lite::{future, AsyncWriteExt};
use oakhollow::types::{Micros, Outcome};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const TIMEOUT: &str = "Request-Timeout-Ms";
/// How long the rest of an answer may take once its first byte has come.
const REST_WITHIN: Duration = Duration::from_secs(1);

/// A request as it goes out, but for the time that is left at each hop.
pub struct Outgoing {
    front: Vec<u8>,
    body: Vec<u8>,
}

impl Outgoing {
    pub fn new(request: Message) -> Result<Outgoing, Fault> {
        let Message { head, body, .. } = request;
        let (method, target, _) = head.request()?;
        let mut front = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        head.pass_on(TIMEOUT, &mut front);
        if !body.is_empty() || method != "GET" {
            front.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        Ok(Outgoing { front, body })
    }

    fn bytes(&self, give_up: Micros) -> Vec<u8> {
        let timeout = format!("{TIMEOUT}: {}\r\n\r\n", (give_up.0 / 1000).max(1));
        [&self.front, timeout.as_bytes(), &self.body].concat()
    }
}

pub async fn hop(
    pool: Rc<Pool>, content: Rc<Outgoing>, to: SocketAddr, give_up: Micros, tells_load: bool,
) -> End<Message> {
    let written = Cell::new(false);
    let exchange = async {
        let exchanged = exchange(&pool, &content, to, give_up, &written).await;
        exchanged.map_or_else(ended, |answer| judge(answer, tells_load))
    };
    let late = async {
        Timer::after(duration(give_up)).await;
        // What was never written whole has not been begun.
        ended(if written.get() { Outcome::TimedOut } else { Outcome::NoConnection })
    };
    future::or(exchange, late).await
}

async fn exchange(
    pool: &Pool, content: &Outgoing, to: SocketAddr, give_up: Micros, written: &Cell<bool>,
) -> Result<Message, Outcome> {
    let link = match pool.idle(to) {
        Some(link) => link,
        None => pool.connect(to).await?,
    };
    let sent = (&link.stream).write_all(&content.bytes(give_up)).await;
    sent.map_err(|_| Outcome::NoConnection)?;
    written.set(true);
    // From here on it may have run, whatever breaks.
    let mut inbox = Assembler::new(Side::Answers);
    let answer = read(&link, &mut inbox).await?;
    // Bytes behind a whole answer are nobody's: what comes next on that connection could be taken for an answer.
    if answer.lasts && inbox.held() == 0 {
        pool.park(to, link);
    }
    Ok(answer)
}

/// Reads one answer. What can't be read has run all the same; only an end that the server made is a break.
async fn read(link: &Link, inbox: &mut Assembler) -> Result<Message, Outcome> {
    let mut until = None;
    loop {
        let read = async { Some(link.stream.read_behind(inbox.end()).await) };
        let late = async {
            match until {
                Some(until) => _ = Timer::at(until).await,
                None => future::pending().await,
            }
            None
        };
        // Guards against waiting out the call's time for the end of an answer that has none.
        let count = future::or(read, late).await.ok_or(Outcome::Errored)?.map_err(|_| Outcome::Broken)?;
        if count == 0 {
            return inbox.ended().ok_or(Outcome::Broken);
        }
        if let Some(answer) = inbox.take().map_err(|_| Outcome::Errored)? {
            return Ok(answer);
        }
        if inbox.held() > 0 {
            until = until.or(Some(Instant::now() + REST_WITHIN));
        }
    }
}

/// A hop that brought no answer.
fn ended(outcome: Outcome) -> End<Message> {
    End { outcome, answer: None, told: Told::Nothing }
}

fn judge(answer: Message, tells_load: bool) -> End<Message> {
    let not_started = |head: &Head| head.all("Not-Started").any(|value| value == b"1");
    let told = if tells_load { load::report(&answer.head) } else { Told::Nothing };
    let (outcome, answer) = match answer.head.status() {
        Ok(200) => (Outcome::Succeeded, Some(answer)),
        Ok(503 | 504) if not_started(&answer.head) => (Outcome::Full, None),
        _ => (Outcome::Errored, None),
    };
    End { outcome, answer, told }
}
