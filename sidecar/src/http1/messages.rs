//! Assembles messages from the bytes of a connection as they come, without doing I/O itself.
//!
//! ```
//! use oakhollow_sidecar::http1::messages::{Incoming, MessageKind, MessageParser};
//! let mut parser = MessageParser::new(MessageKind::Answer);
//! parser.push(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\noak\r\n6\r\nhol");
//! assert!(parser.next_message().unwrap().is_none());
//! parser.push(b"low\r\n0\r\n\r\n");
//! let Some(Incoming::Complete(answer)) = parser.next_message().unwrap() else { panic!() };
//! assert_eq!(answer.body, b"oakhollow");
//! ```
use super::chunks::ChunkDecoder;
use super::head::{
    find, is_token_byte, malformed, Framing, Head, HttpError, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
};

/// How many interim (1xx) answers are skipped before the final one.
const MAX_INTERIM_ANSWERS: usize = 16;

/// A request or an answer with its whole body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    /// The connection may carry another message after this one.
    pub keep_alive: bool,
}

/// A message whose body is too long or arrives too slowly to be buffered whole: the part that has been received, and
/// the reader of the rest.
#[derive(Debug)]
pub struct PartialMessage {
    pub head: Head,
    pub buffered: Vec<u8>,
    pub rest: BodyReader,
}

/// The next message of a connection.
#[derive(Debug)]
pub enum Incoming {
    Complete(Message),
    Partial(PartialMessage),
}

/// Decodes the rest of a body as it comes.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunks: ChunkDecoder,
    /// Bytes of the body that have been taken out.
    decoded: usize,
    bytes: Vec<u8>,
    complete: bool,
}

impl BodyReader {
    /// The length of the whole body, if the message states it.
    pub fn length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        }
    }

    /// The buffer to which bytes read from the connection are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Decodes what has come and appends it to `body`.
    pub fn decode_into(&mut self, body: &mut Vec<u8>) -> Result<(), HttpError> {
        let before = body.len();
        let consumed = match self.framing {
            Framing::Length(length) => (length - self.decoded).min(self.bytes.len()),
            Framing::Chunked => self.chunks.decode(&self.bytes, body, usize::MAX)?,
            Framing::UntilClose => self.bytes.len(),
        };
        if self.framing != Framing::Chunked {
            body.extend_from_slice(&self.bytes[..consumed]);
        }
        self.bytes.drain(..consumed);
        self.decoded += body.len() - before;
        if self.decoded > MAX_BODY_BYTES {
            return Err(HttpError { status: 413, message: "the body is too long" });
        }
        self.complete |= match self.framing {
            Framing::Length(length) => self.decoded == length,
            Framing::Chunked => self.chunks.is_done(),
            Framing::UntilClose => false,
        };
        Ok(())
    }

    /// Tells the reader that the sender has closed its side, which completes a body that ends with the connection.
    pub fn connection_closed(&mut self) {
        self.complete |= self.framing == Framing::UntilClose;
    }

    /// Whether the whole body has been decoded.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The bytes that came after the body.
    pub fn surplus(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether the connection may carry another message after this body.
    pub fn keeps_alive(&self) -> bool {
        self.framing != Framing::UntilClose && self.bytes.is_empty()
    }
}

/// How far a message has come that is not complete.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MessageProgress {
    /// Its head is incomplete, or has not begun.
    Head,
    /// Of a body that is buffered whole, so many bytes have come.
    ShortBody { received: usize },
    /// Of a body that is longer than what is buffered, so many bytes have come.
    LongBody { received: usize },
    /// Of a body whose length is not stated, so many bytes have come.
    UnsizedBody { received: usize },
}

impl MessageProgress {
    /// Whether any of the body has come.
    pub fn has_body_bytes(self) -> bool {
        match self {
            MessageProgress::Head => false,
            MessageProgress::ShortBody { received }
            | MessageProgress::LongBody { received }
            | MessageProgress::UnsizedBody { received } => received > 0,
        }
    }
}

/// Which kind of message a connection receives.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MessageKind {
    Request,
    Answer,
}

/// Assembles messages from bytes as they come.
#[derive(Debug)]
pub struct MessageParser {
    kind: MessageKind,
    bytes: Vec<u8>,
    /// How many of the bytes have been searched for the end of a head.
    searched: usize,
    /// Interim answers seen before the final one.
    interim: usize,
    /// The message whose head has been read, while its body is incomplete.
    current: Option<IncompleteMessage>,
}

#[derive(Debug)]
struct IncompleteMessage {
    head: Head,
    framing: Framing,
    chunks: ChunkDecoder,
    body: Vec<u8>,
}

impl MessageParser {
    pub fn new(kind: MessageKind) -> MessageParser {
        MessageParser { kind, bytes: Vec::new(), searched: 0, interim: 0, current: None }
    }

    /// Appends bytes read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The buffer to which bytes read from the connection are appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// How many bytes have been received that no message has taken up yet.
    pub fn unparsed_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// How many bytes have been received that belong to no message taken out yet. Not zero once a message has begun.
    pub fn pending_bytes(&self) -> usize {
        self.bytes.len() + self.current.as_ref().map_or(0, |message| message.body.len() + 1)
    }

    /// How many bytes have been decoded of the current message's body.
    pub fn body_bytes(&self) -> usize {
        self.current.as_ref().map_or(0, |message| message.body.len())
    }

    /// Whether the client waits for `100 Continue` before it sends the body of the current request.
    pub fn expects_continue(&self) -> bool {
        let bodiless =
            |message: &&IncompleteMessage| message.body.is_empty() && message.framing != Framing::Length(0);
        self.current
            .as_ref()
            .filter(bodiless)
            .is_some_and(|message| message.head.has_token("Expect", "100-continue"))
    }

    /// Whether the bytes hold a whole head, or more than a head may have. Searches each byte only once, which
    /// matters for a head that comes in small pieces. Rejects an implausible start at once, since data that is not
    /// HTTP may never contain the end of a head.
    fn has_whole_head(&mut self) -> Result<bool, HttpError> {
        let from = self.searched.saturating_sub(3);
        self.searched = self.bytes.len();
        let start = &self.bytes[..self.bytes.len().min(7)];
        let plausible = match self.kind {
            MessageKind::Answer => b"HTTP/1.".starts_with(start),
            MessageKind::Request => start
                .split(|&byte| byte == b' ')
                .next()
                .is_some_and(|word| word.iter().all(|&byte| is_token_byte(byte))),
        };
        if !plausible {
            return Err(malformed("the start line is malformed"));
        }
        Ok(find(&self.bytes[from..], b"\r\n\r\n").is_some() || self.bytes.len() >= MAX_HEAD_BYTES)
    }

    /// Takes out the next message: whole once all of it has come, or partial once more of its body has come than is
    /// buffered.
    pub fn next_message(&mut self) -> Result<Option<Incoming>, HttpError> {
        while self.current.is_none() {
            if self.kind == MessageKind::Request {
                // Some clients send a line end or two after a body.
                let line_ends = self.bytes.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
                self.bytes.drain(..line_ends);
            }
            if !self.has_whole_head()? {
                return Ok(None);
            }
            let Some((head, taken)) = Head::parse(&self.bytes)? else { return Ok(None) };
            self.bytes.drain(..taken);
            self.searched = 0;
            let framing = match self.kind {
                MessageKind::Request => head.request_line().and_then(|_| head.request_framing())?,
                MessageKind::Answer => head.answer_framing()?,
            };
            // Interim answers are skipped. 101 is an error, since no request asks for a change of protocol.
            match self.kind {
                MessageKind::Answer if head.status()? == 101 => return Err(malformed("another protocol")),
                MessageKind::Answer if head.status()? < 200 && self.interim < MAX_INTERIM_ANSWERS => {
                    self.interim += 1
                }
                MessageKind::Answer if head.status()? < 200 => {
                    return Err(malformed("too many interim answers"))
                }
                _ => {
                    self.current = Some(IncompleteMessage {
                        head,
                        framing,
                        chunks: ChunkDecoder::default(),
                        body: Vec::new(),
                    })
                }
            }
        }
        let Some(message) = &mut self.current else { return Ok(None) };
        let complete = match message.framing {
            Framing::Length(length) => {
                let taken =
                    (length.min(MAX_BUFFERED_BODY_BYTES + 1) - message.body.len()).min(self.bytes.len());
                message.body.extend(self.bytes.drain(..taken));
                message.body.len() == length
            }
            Framing::Chunked => {
                let taken =
                    message.chunks.decode(&self.bytes, &mut message.body, MAX_BUFFERED_BODY_BYTES + 1)?;
                self.bytes.drain(..taken);
                message.chunks.is_done()
            }
            Framing::UntilClose => {
                message.body.append(&mut self.bytes);
                false
            }
        };
        if complete {
            return Ok(self.take_complete(true).map(Incoming::Complete));
        }
        let too_long = message.body.len() > MAX_BUFFERED_BODY_BYTES;
        Ok(if too_long { self.take_partial().map(Incoming::Partial) } else { None })
    }

    /// How far the current message has come.
    pub fn progress(&self) -> MessageProgress {
        let Some(message) = &self.current else { return MessageProgress::Head };
        let received = message.body.len();
        match message.framing {
            Framing::Length(length) if length <= MAX_BUFFERED_BODY_BYTES => {
                MessageProgress::ShortBody { received }
            }
            Framing::Length(_) => MessageProgress::LongBody { received },
            Framing::Chunked | Framing::UntilClose => MessageProgress::UnsizedBody { received },
        }
    }

    /// Takes out the current message before its body is complete, with all bytes received after it.
    pub fn take_partial(&mut self) -> Option<PartialMessage> {
        let IncompleteMessage { head, framing, chunks, body } = self.current.take()?;
        (self.interim, self.searched) = (0, 0);
        let bytes = std::mem::take(&mut self.bytes);
        let rest = BodyReader { framing, chunks, decoded: body.len(), bytes, complete: false };
        Some(PartialMessage { head, buffered: body, rest })
    }

    /// Takes out the message that the close of the connection completes, if there is one.
    pub fn finish_at_close(&mut self) -> Option<Message> {
        let until_close = self.current.as_ref().is_some_and(|message| message.framing == Framing::UntilClose);
        if until_close {
            self.take_complete(false)
        } else {
            None
        }
    }

    fn take_complete(&mut self, keep_alive: bool) -> Option<Message> {
        let IncompleteMessage { head, body, .. } = self.current.take()?;
        let keep_alive = keep_alive && head.keeps_alive();
        self.interim = 0;
        if self.bytes.is_empty() {
            // Frees the buffer: guards against every connection keeping the memory that its longest message took.
            self.bytes = Vec::new();
        }
        Some(Message { head, body, keep_alive })
    }
}
