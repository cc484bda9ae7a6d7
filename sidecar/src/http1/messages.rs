//! Whole messages put together from bytes as they come, without a socket.
//!
//! ```
//! use oakhollow_sidecar::http1::messages::{MessageParser, Incoming, MessageKind};
//! let mut inbox = MessageParser::new(MessageKind::Answer);
//! inbox.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\noak\r\n6\r\nhol");
//! assert!(inbox.next_message().unwrap().is_none());
//! inbox.push(b"low\r\n0\r\n\r\n");
//! let Some(Incoming::Complete(answer)) = inbox.next_message().unwrap() else { panic!() };
//! assert_eq!(answer.body, b"oakhollow");
//! ```
use super::chunks::Chunks;
use super::head::{bad, find, token, Framing, Head, HttpError, MOST_BODY, MOST_HEAD, MOST_LONG};

/// Interim answers that are skipped ahead of one answer.
const MOST_INTERIM: usize = 16;

/// A request or an answer with all of its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    /// The connection may carry another message after it.
    pub lasts: bool,
}

/// A message whose body is longer than what is kept, or slow: what has come of it, and the reader of the rest.
#[derive(Debug)]
pub struct PartialMessage {
    pub head: Head,
    pub kept: Vec<u8>,
    pub rest: Rest,
}

/// What has come.
#[derive(Debug)]
pub enum Incoming {
    Complete(Message),
    Partial(PartialMessage),
}

/// Reads the rest of a body as it comes.
#[derive(Debug)]
pub struct Rest {
    framing: Framing,
    chunks: Chunks,
    /// Bytes of the body taken out so far.
    taken: usize,
    bytes: Vec<u8>,
    whole: bool,
}

impl Rest {
    /// How long the body is, where that was said.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        }
    }

    /// Where what comes is put.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Moves what has come of the body into `body`.
    pub fn feed(&mut self, body: &mut Vec<u8>) -> Result<(), HttpError> {
        let before = body.len();
        let done = match self.framing {
            Framing::Length(length) => (length - self.taken).min(self.bytes.len()),
            Framing::Chunked => self.chunks.feed(&self.bytes, body, usize::MAX)?,
            Framing::UntilClose => self.bytes.len(),
        };
        if self.framing != Framing::Chunked {
            body.extend_from_slice(&self.bytes[..done]);
        }
        self.bytes.drain(..done);
        self.taken += body.len() - before;
        if self.taken > MOST_LONG {
            return Err(HttpError { status: 413, message: "the body is too long" });
        }
        self.whole |= match self.framing {
            Framing::Length(length) => self.taken == length,
            Framing::Chunked => self.chunks.done(),
            Framing::UntilClose => false,
        };
        Ok(())
    }

    /// The sender has ended its sending.
    pub fn ended(&mut self) {
        self.whole |= self.framing == Framing::UntilClose;
    }

    pub fn whole(&self) -> bool {
        self.whole
    }

    /// What came behind the body.
    pub fn behind(&self) -> &[u8] {
        &self.bytes
    }

    /// The connection may carry another message after it.
    pub fn lasts(&self) -> bool {
        self.framing != Framing::UntilClose && self.bytes.is_empty()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MessageKind {
    Request,
    Answer,
}

/// Puts whole messages together from bytes as they come.
#[derive(Debug)]
pub struct MessageParser {
    side: MessageKind,
    bytes: Vec<u8>,
    /// How many of them have been looked through for the end of a head.
    searched: usize,
    /// Interim answers ahead of the one that is waited for.
    interim: usize,
    part: Option<Part>,
}

#[derive(Debug)]
struct Part {
    head: Head,
    framing: Framing,
    chunks: Chunks,
    body: Vec<u8>,
}

impl MessageParser {
    pub fn new(side: MessageKind) -> MessageParser {
        MessageParser { side, bytes: Vec::new(), searched: 0, interim: 0, part: None }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Where what comes is put, behind what is there.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Bytes that came and belong to no message that was given out.
    pub fn held(&self) -> usize {
        self.bytes.len() + self.part.as_ref().map_or(0, |part| part.body.len() + 1)
    }

    /// What of it is a body's.
    pub fn body(&self) -> usize {
        self.part.as_ref().map_or(0, |part| part.body.len())
    }

    /// Whether a sender waits for leave to send the body of the message that has begun.
    pub fn waits_for_leave(&self) -> bool {
        let bodiless = |part: &&Part| part.body.is_empty() && part.framing != Framing::Length(0);
        self.part.as_ref().filter(bodiless).is_some_and(|part| part.head.lists("Expect", "100-continue"))
    }

    /// Whether a whole head is there, or what can be none. Looks at each byte once: guards against heads that come
    /// in drips; and at the first ones at once: noise may never hold what ends a head.
    fn head_ends(&mut self) -> Result<bool, HttpError> {
        let from = self.searched.saturating_sub(3);
        self.searched = self.bytes.len();
        let start = &self.bytes[..self.bytes.len().min(7)];
        let known = match self.side {
            MessageKind::Answer => b"HTTP/1.".starts_with(start),
            MessageKind::Request => start
                .split(|&byte| byte == b' ')
                .next()
                .is_some_and(|word| word.iter().all(|&byte| token(byte))),
        };
        if !known {
            return Err(bad("the start line is malformed"));
        }
        Ok(find(&self.bytes[from..], b"\r\n\r\n").is_some() || self.bytes.len() >= MOST_HEAD)
    }

    /// The next whole message, if it is all there, or one begun if more of it has come than is kept.
    pub fn next_message(&mut self) -> Result<Option<Incoming>, HttpError> {
        while self.part.is_none() {
            if self.side == MessageKind::Request {
                // A line's end or two before a request is what some clients leave after the last body.
                let blank = self.bytes.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
                self.bytes.drain(..blank);
            }
            if !self.head_ends()? {
                return Ok(None);
            }
            let Some((head, taken)) = Head::parse(&self.bytes)? else { return Ok(None) };
            self.bytes.drain(..taken);
            self.searched = 0;
            let framing = match self.side {
                MessageKind::Request => head.request_line().and_then(|_| head.request_framing())?,
                MessageKind::Answer => head.answer_framing()?,
            };
            // An interim answer is no answer, and leave to speak another protocol was never asked for.
            match self.side {
                MessageKind::Answer if head.status()? == 101 => return Err(bad("another protocol")),
                MessageKind::Answer if head.status()? < 200 && self.interim < MOST_INTERIM => {
                    self.interim += 1
                }
                MessageKind::Answer if head.status()? < 200 => return Err(bad("too many interim answers")),
                _ => self.part = Some(Part { head, framing, chunks: Chunks::default(), body: Vec::new() }),
            }
        }
        let Some(part) = &mut self.part else { return Ok(None) };
        let whole = match part.framing {
            Framing::Length(length) => {
                let taken = (length.min(MOST_BODY + 1) - part.body.len()).min(self.bytes.len());
                part.body.extend(self.bytes.drain(..taken));
                part.body.len() == length
            }
            Framing::Chunked => {
                let taken = part.chunks.feed(&self.bytes, &mut part.body, MOST_BODY + 1)?;
                self.bytes.drain(..taken);
                part.chunks.done()
            }
            Framing::UntilClose => {
                part.body.append(&mut self.bytes);
                false
            }
        };
        if whole {
            return Ok(self.give(true).map(Incoming::Complete));
        }
        let long = part.body.len() > MOST_BODY;
        Ok(if long { self.begin().map(Incoming::Partial) } else { None })
    }

    /// How much of a body has come that is known to be longer than what is kept (true), or of which nobody said how
    /// long it is (false).
    pub fn under_way(&self) -> Option<(usize, bool)> {
        let part = self.part.as_ref()?;
        match part.framing {
            Framing::Length(length) => (length > MOST_BODY).then_some((part.body.len(), true)),
            _ => Some((part.body.len(), false)),
        }
    }

    /// Gives out what is under way, with all that came behind.
    pub fn begin(&mut self) -> Option<PartialMessage> {
        let Part { head, framing, chunks, body } = self.part.take()?;
        (self.interim, self.searched) = (0, 0);
        let bytes = std::mem::take(&mut self.bytes);
        let rest = Rest { framing, chunks, taken: body.len(), bytes, whole: false };
        Some(PartialMessage { head, kept: body, rest })
    }

    /// The other side has ended its sending: an answer whose end was to be told so is whole now.
    pub fn ended(&mut self) -> Option<Message> {
        let until_close = self.part.as_ref().is_some_and(|part| part.framing == Framing::UntilClose);
        if until_close {
            self.give(false)
        } else {
            None
        }
    }

    fn give(&mut self, lasts: bool) -> Option<Message> {
        let Part { head, body, .. } = self.part.take()?;
        let lasts = lasts && head.lasts();
        self.interim = 0;
        if self.bytes.is_empty() {
            // Guards against every connection keeping the room that its longest message took.
            self.bytes = Vec::new();
        }
        Some(Message { head, body, lasts })
    }
}
