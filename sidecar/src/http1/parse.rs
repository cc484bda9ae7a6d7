//! HTTP/1.1 messages out of bytes, and nothing else: no socket, no clock. Strict, since two readers that take a
//! message differently let one request hide in another: a message of doubtful framing is a [`Fault`].
use std::ops::Range;

pub const MOST_HEAD: usize = 16 * 1024;
pub const MOST_BODY: usize = 64 * 1024;
const MOST_LINES: usize = 100;
const MOST_CHUNK_LINE: usize = 256;
const MOST_TRAILER: usize = 4 * 1024;

/// What is wrong with a message, as the status that says so to whoever sent it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Fault {
    pub status: u16,
    pub why: &'static str,
}

const fn bad(why: &'static str) -> Fault {
    Fault { status: 400, why }
}

/// The start line and the header lines, kept as the bytes that came.
#[derive(Clone, Debug)]
pub struct Head {
    bytes: Vec<u8>,
    start: Range<usize>,
    lines: Vec<Line>,
}

#[derive(Clone, Debug)]
struct Line {
    whole: Range<usize>,
    name: Range<usize>,
    value: Range<usize>,
}

/// A request or an answer with all of its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
    /// The connection may carry another message after it.
    pub lasts: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

fn token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

impl Head {
    /// Reads a head from the front of `bytes`; says how many bytes it took, or that there are too few yet.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, Fault> {
        let Some(end) = find(&bytes[..bytes.len().min(MOST_HEAD)], b"\r\n\r\n") else {
            let long = bytes.len() >= MOST_HEAD;
            return if long { Err(Fault { status: 431, why: "the head is too long" }) } else { Ok(None) };
        };
        let taken = end + 4;
        let (mut at, mut start, mut lines) = (0, None, Vec::new());
        while at < end + 2 {
            let length = find(&bytes[at..taken], b"\r\n").ok_or(bad("a line without an end"))?;
            let line = at..at + length;
            at = line.end + 2;
            let text = &bytes[line.clone()];
            if text.iter().any(|&byte| (byte < 32 && byte != b'\t') || byte == 127) {
                return Err(bad("a control byte in the head"));
            }
            if start.is_none() {
                start = Some(line);
                continue;
            }
            let colon = text.iter().position(|&byte| byte == b':').ok_or(bad("a header without a colon"))?;
            if colon == 0 || !text[..colon].iter().all(|&byte| token(byte)) {
                return Err(bad("a header's name is malformed"));
            }
            let rest = &text[colon + 1..];
            let front = rest.len() - rest.trim_ascii_start().len();
            let value = line.start + colon + 1 + front;
            let value = value..value + rest.trim_ascii().len();
            lines.push(Line { name: line.start..line.start + colon, value, whole: line.start..at });
            if lines.len() > MOST_LINES {
                return Err(Fault { status: 431, why: "too many headers" });
            }
        }
        let start = start.ok_or(bad("no start line"))?;
        Ok(Some((Head { bytes: bytes[..taken].to_vec(), start, lines }, taken)))
    }

    fn text(&self, range: &Range<usize>) -> &[u8] {
        &self.bytes[range.clone()]
    }

    fn named(&self, line: &Line, name: &str) -> bool {
        self.text(&line.name).eq_ignore_ascii_case(name.as_bytes())
    }

    pub fn all<'a, 'n: 'a>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.lines.iter().filter(move |line| self.named(line, name)).map(|line| self.text(&line.value))
    }

    /// The value of a header that may stand only once.
    pub fn only(&self, name: &str) -> Result<Option<&str>, Fault> {
        let mut all = self.lines.iter().filter(|line| self.named(line, name));
        let (first, second) = (all.next(), all.next());
        if second.is_some() {
            return Err(bad("a header stands twice that may stand once"));
        }
        let text = first.map(|line| std::str::from_utf8(self.text(&line.value))).transpose();
        text.map_err(|_| bad("a header's value is no text"))
    }

    /// Whether a header that holds a list names this word.
    pub fn lists(&self, name: &str, word: &str) -> bool {
        let mut words = self.all(name).flat_map(|value| value.split(|&byte| byte == b','));
        words.any(|one| one.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Method, target and version of a request.
    pub fn request(&self) -> Result<(&str, &str, &str), Fault> {
        let line =
            std::str::from_utf8(self.text(&self.start)).map_err(|_| bad("the start line is no text"))?;
        let parts: Vec<&str> = line.split(' ').collect();
        let &[method, target, version] = &parts[..] else { return Err(bad("the request line is malformed")) };
        if method.is_empty() || !method.bytes().all(token) || target.is_empty() {
            return Err(bad("the request line is malformed"));
        }
        match version {
            "HTTP/1.1" | "HTTP/1.0" => Ok((method, target, version)),
            _ if version.starts_with("HTTP/") => {
                Err(Fault { status: 505, why: "this version is not spoken" })
            }
            _ => Err(bad("the request line is malformed")),
        }
    }

    /// Status of an answer.
    pub fn status(&self) -> Result<u16, Fault> {
        let line = self.text(&self.start);
        let known = line.starts_with(b"HTTP/1.1 ") || line.starts_with(b"HTTP/1.0 ");
        let whole = line.len() == 12 || line.get(12) == Some(&b' ');
        let digits = line.get(9..12).filter(|digits| known && whole && digits.iter().all(u8::is_ascii_digit));
        let status = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
        status.filter(|status| *status >= 100).ok_or(bad("the status line is malformed"))
    }

    fn old(&self) -> bool {
        let line = self.text(&self.start);
        line.starts_with(b"HTTP/1.0") || line.ends_with(b"HTTP/1.0")
    }

    /// Whether the connection may go on after this message.
    pub fn lasts(&self) -> bool {
        !self.lists("Connection", "close") && (!self.old() || self.lists("Connection", "keep-alive"))
    }

    fn length(&self) -> Result<Option<usize>, Fault> {
        let Some(text) = self.only("Content-Length")? else { return Ok(None) };
        if text.is_empty() || text.len() > 18 || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(bad("Content-Length is no number"));
        }
        text.parse().map(Some).map_err(|_| bad("Content-Length is no number"))
    }

    /// How the end of the body is told; `none` is what holds where no header says it.
    fn framing(&self, none: Framing) -> Result<Framing, Fault> {
        let coded = self.all("Transfer-Encoding").next().is_some();
        match (self.length()?, coded) {
            (Some(_), true) => Err(bad("both Content-Length and Transfer-Encoding")),
            (_, true) if self.old() => Err(bad("Transfer-Encoding in HTTP/1.0")),
            (_, true) => match self.only("Transfer-Encoding")? {
                Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
                _ => Err(Fault { status: 501, why: "this transfer coding is not spoken" }),
            },
            (Some(length), _) if length > MOST_BODY => {
                Err(Fault { status: 413, why: "the body is too long" })
            }
            (Some(length), _) => Ok(Framing::Length(length)),
            (None, _) => Ok(none),
        }
    }

    pub fn request_framing(&self) -> Result<Framing, Fault> {
        self.framing(Framing::Length(0))
    }

    pub fn answer_framing(&self) -> Result<Framing, Fault> {
        let framing = self.framing(Framing::UntilClose)?;
        let bare = matches!(self.status()?, 100..=199 | 204 | 304);
        Ok(if bare { Framing::Length(0) } else { framing })
    }

    /// Whether a header speaks of this connection or this framing alone, and so does not go on.
    fn stays(&self, name: &[u8]) -> bool {
        const OWN: [&str; 9] = [
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
            "Content-Length",
            "Expect",
        ];
        let name = std::str::from_utf8(name).unwrap_or_default();
        OWN.iter().any(|own| own.eq_ignore_ascii_case(name)) || self.lists("Connection", name)
    }

    pub fn start_bytes(&self) -> &[u8] {
        self.text(&self.start)
    }

    /// Adds to `out`, as the bytes that came, the header lines that go on to the next party, but for `without`.
    pub fn pass_on(&self, without: &str, out: &mut Vec<u8>) {
        for line in &self.lines {
            let name = self.text(&line.name);
            if !self.stays(name) && !name.eq_ignore_ascii_case(without.as_bytes()) {
                out.extend_from_slice(self.text(&line.whole));
            }
        }
    }
}

/// Takes the chunks out of a chunked body.
#[derive(Debug, Default)]
pub struct Chunks {
    state: Chunk,
    trailer: usize,
}

#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum Chunk {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

impl Chunks {
    /// Moves what it can from the front of `bytes` into `body`; says how many bytes are done with.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>, most: usize) -> Result<usize, Fault> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if let Chunk::Data(left) = self.state {
                let part = left.min(rest.len());
                body.extend_from_slice(&rest[..part]);
                at += part;
                self.state = if part == left { Chunk::DataEnd } else { Chunk::Data(left - part) };
                if part < left {
                    return Ok(at);
                }
                continue;
            }
            if self.state == Chunk::Done {
                return Ok(at);
            }
            if self.state == Chunk::DataEnd && !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
                return Err(bad("a chunk is longer than it says"));
            }
            let Some(length) = find(&rest[..rest.len().min(MOST_CHUNK_LINE)], b"\r\n") else {
                let long = rest.len() >= MOST_CHUNK_LINE && self.state != Chunk::Trailer;
                let long = long || rest.len() >= MOST_TRAILER;
                return if long { Err(bad("a chunk's line is too long")) } else { Ok(at) };
            };
            let line = &rest[..length];
            at += length + 2;
            self.state = match self.state {
                Chunk::Size => match chunk_size(line)? {
                    0 => Chunk::Trailer,
                    size if size > most.saturating_sub(body.len()) => {
                        return Err(Fault { status: 413, why: "the body is too long" })
                    }
                    size => Chunk::Data(size),
                },
                Chunk::DataEnd => Chunk::Size,
                _ if line.is_empty() => Chunk::Done,
                _ => {
                    self.trailer += length;
                    if self.trailer > MOST_TRAILER {
                        return Err(bad("the trailer is too long"));
                    }
                    Chunk::Trailer
                }
            };
        }
    }

    pub fn done(&self) -> bool {
        self.state == Chunk::Done
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, Fault> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii_end();
    let hex = !digits.is_empty() && digits.len() <= 8 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| hex);
    let size = text.and_then(|text| usize::from_str_radix(text, 16).ok());
    size.ok_or(bad("a chunk's size is no number"))
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Side {
    Requests,
    Answers,
}

/// Puts whole messages together from bytes as they come.
#[derive(Debug)]
pub struct Assembler {
    side: Side,
    bytes: Vec<u8>,
    part: Option<Part>,
}

#[derive(Debug)]
struct Part {
    head: Head,
    framing: Framing,
    chunks: Chunks,
    body: Vec<u8>,
}

impl Assembler {
    pub fn new(side: Side) -> Assembler {
        Assembler { side, bytes: Vec::new(), part: None }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that came and belong to no message that was given out.
    pub fn held(&self) -> usize {
        self.bytes.len() + self.part.as_ref().map_or(0, |part| part.body.len() + 1)
    }

    /// Whether a sender waits for leave to send the body of the message that has begun.
    pub fn waits_for_leave(&self) -> bool {
        let bodiless = |part: &&Part| part.body.is_empty() && part.framing != Framing::Length(0);
        self.part.as_ref().filter(bodiless).is_some_and(|part| part.head.lists("Expect", "100-continue"))
    }

    /// The next whole message, if it is all there.
    pub fn take(&mut self) -> Result<Option<Message>, Fault> {
        while self.part.is_none() {
            if self.side == Side::Requests {
                // A line's end or two before a request is what some clients leave after the last body.
                let blank = self.bytes.iter().take_while(|&&byte| byte == b'\r' || byte == b'\n').count();
                self.bytes.drain(..blank);
            }
            let Some((head, taken)) = Head::parse(&self.bytes)? else { return Ok(None) };
            self.bytes.drain(..taken);
            let framing = match self.side {
                Side::Requests => head.request().and_then(|_| head.request_framing())?,
                Side::Answers => head.answer_framing()?,
            };
            // An interim answer is no answer, and leave to speak another protocol was never asked for.
            match self.side {
                Side::Answers if head.status()? == 101 => return Err(bad("another protocol")),
                Side::Answers if head.status()? < 200 => continue,
                _ => self.part = Some(Part { head, framing, chunks: Chunks::default(), body: Vec::new() }),
            }
        }
        let Some(part) = &mut self.part else { return Ok(None) };
        let whole = match part.framing {
            Framing::Length(length) => {
                let taken = (length - part.body.len()).min(self.bytes.len());
                part.body.extend(self.bytes.drain(..taken));
                part.body.len() == length
            }
            Framing::Chunked => {
                let taken = part.chunks.feed(&self.bytes, &mut part.body, MOST_BODY)?;
                self.bytes.drain(..taken);
                part.chunks.done()
            }
            Framing::UntilClose => {
                part.body.append(&mut self.bytes);
                if part.body.len() > MOST_BODY {
                    return Err(Fault { status: 413, why: "the body is too long" });
                }
                false
            }
        };
        Ok(if whole { self.give(true) } else { None })
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
        Some(Message { head, body, lasts })
    }
}
