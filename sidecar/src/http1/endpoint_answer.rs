//! Reads an endpoint's answer: whole if it is short, or else its beginning and a stream of the rest.
use super::attempt::BODY_IDLE_TIMEOUT;
use super::head::Head;
use super::messages::{BodyReader, Incoming, Message, MessageParser, MessageProgress, PartialMessage};
use super::pool::{EndpointConnection, Pool};
use crate::reactor::Timer;
use futures_lite::future;
use oakhollow::types::Outcome;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest pause within the body of a short answer. After it the attempt has failed.
const SHORT_ANSWER_STALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the beginning of any other body is held back at most before it is passed on, whatever its endpoint does
/// meanwhile.
const MAX_HOLD_TIME: Duration = Duration::from_millis(1_000);
/// How much of a body that is known to be long is buffered before it is passed on.
const MIN_ANSWER_PREFIX_BYTES: usize = 8 * 1024;

/// An endpoint's answer: complete, or its beginning with the stream of the rest.
pub struct EndpointAnswer {
    pub head: Head,
    pub body: Vec<u8>,
    pub rest: Option<AnswerBody>,
}

impl EndpointAnswer {
    /// What was read of an answer. Returns the connection to the pool if the answer is complete and the connection is
    /// `reusable`.
    pub fn new(
        incoming: Incoming, pool: &Rc<Pool>, address: SocketAddr, connection: Rc<EndpointConnection>,
        reusable: bool,
    ) -> EndpointAnswer {
        match incoming {
            Incoming::Complete(Message { head, body, keep_alive }) => {
                if keep_alive && reusable {
                    pool.put_back(address, connection);
                }
                EndpointAnswer { head, body, rest: None }
            }
            Incoming::Partial(PartialMessage { head, buffered, rest }) => {
                let rest = Some(AnswerBody { rest, connection, pool: pool.clone(), address });
                EndpointAnswer { head, body: buffered, rest }
            }
        }
    }
}

/// The rest of a long answer, read from the endpoint's connection as it comes.
pub struct AnswerBody {
    rest: BodyReader,
    connection: Rc<EndpointConnection>,
    pool: Rc<Pool>,
    address: SocketAddr,
}

impl AnswerBody {
    /// The length of the whole body, if the answer states it.
    pub fn length(&self) -> Option<usize> {
        self.rest.length()
    }

    /// Waits for the next part of the body. Empty at its end, none if the answer broke off.
    pub async fn next_part(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            self.rest.decode_into(&mut body).ok()?;
            if !body.is_empty() || self.rest.is_complete() {
                return Some(body);
            }
            let read = async { self.connection.read_buf(self.rest.buffer()).await.ok() };
            let idle = async {
                Timer::after(BODY_IDLE_TIMEOUT).await;
                None
            };
            if future::or(read, idle).await? == 0 {
                self.rest.connection_closed();
                if !self.rest.is_complete() {
                    return None;
                }
            }
        }
    }

    /// Returns the connection to the pool if it can carry another request.
    pub fn release(self, keep_alive: bool) {
        if keep_alive && self.rest.is_complete() && self.rest.keeps_alive() {
            self.pool.put_back(self.address, self.connection);
        }
    }
}

/// Reads one answer, or the beginning of a long one. A malformed answer is [`Outcome::Errored`], since the request has
/// run; only a connection that the endpoint closed or reset is [`Outcome::Broken`].
///
/// An endpoint that pauses within the head, or before the body of an answer that may be long, may still be writing it: only
/// `timed_out` ends that wait.
pub async fn read_answer(
    connection: &EndpointConnection, parser: &mut MessageParser, timed_out: impl Future<Output = ()>,
) -> Result<Incoming, Outcome> {
    let timed_out = async {
        timed_out.await;
        Err(Outcome::TimedOut)
    };
    future::or(read_untimed(connection, parser), timed_out).await
}

async fn read_untimed(
    connection: &EndpointConnection, parser: &mut MessageParser,
) -> Result<Incoming, Outcome> {
    let mut body_begun_at = None;
    loop {
        let progress = parser.progress();
        if progress.has_body_bytes() {
            body_begun_at.get_or_insert_with(Instant::now);
        }
        let held_until = body_begun_at.map(|begun_at| begun_at + MAX_HOLD_TIME);
        if may_be_passed_on(progress, held_until) {
            return parser.take_partial().map(Incoming::Partial).ok_or(Outcome::Errored);
        }
        let read = async { Some(connection.read_buf(parser.buffer()).await) };
        let pause_over = async {
            match progress {
                // The endpoint may still be writing a long answer.
                MessageProgress::Head => future::pending().await,
                MessageProgress::ShortBody { .. } => Timer::after(SHORT_ANSWER_STALL_TIMEOUT).await,
                MessageProgress::LongBody { .. } | MessageProgress::UnsizedBody { .. } => match held_until {
                    Some(held_until) => Timer::at(held_until).await,
                    None => future::pending().await,
                },
            };
            None
        };
        match future::or(read, pause_over).await {
            Some(Ok(0)) => return parser.finish_at_close().map(Incoming::Complete).ok_or(Outcome::Broken),
            Some(Ok(_)) => {}
            Some(Err(_)) => return Err(Outcome::Broken),
            // Guards against using up the request's time with waiting for the end of an answer that never ends.
            None if matches!(progress, MessageProgress::ShortBody { .. }) => return Err(Outcome::Errored),
            None => {}
        }
        if let Some(incoming) = parser.next_message().map_err(|_| Outcome::Errored)? {
            return Ok(incoming);
        }
    }
}

/// Whether enough has come of an answer that may be long, or has been held back for long enough.
fn may_be_passed_on(progress: MessageProgress, held_until: Option<Instant>) -> bool {
    let held_long_enough = || held_until.is_some_and(|held_until| held_until <= Instant::now());
    match progress {
        MessageProgress::Head | MessageProgress::ShortBody { .. } => false,
        MessageProgress::LongBody { received } => received >= MIN_ANSWER_PREFIX_BYTES || held_long_enough(),
        MessageProgress::UnsizedBody { .. } => held_long_enough(),
    }
}
