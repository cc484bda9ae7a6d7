//! The head of an HTTP/1.1 message out of bytes, and nothing else: no socket, no clock. Strict, since two readers
//! that take a message differently let one hide in another: a message of doubtful framing is an [`HttpError`].
use std::ops::Range;

pub const MOST_HEAD: usize = 16 * 1024;
/// The longest body that is kept whole.
pub const MOST_BODY: usize = 64 * 1024;
/// The longest that is passed on at all. Guards against an answer that is said to have gigabytes.
pub const MOST_LONG: usize = 48 * 1024 * 1024;
const MOST_LINES: usize = 100;
/// Room made for the lines of a head to begin with.
const USUAL_LINES: usize = 12;

/// What is wrong with a message, as the status that says so to whoever sent it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HttpError {
    pub status: u16,
    pub message: &'static str,
}

pub const fn bad(message: &'static str) -> HttpError {
    HttpError { status: 400, message }
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

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

pub fn token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    memchr::memmem::find(bytes, what)
}

impl Head {
    /// Reads a head from the front of `bytes`; says how many bytes it took, or that there are too few yet.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, HttpError> {
        let Some(end) = find(&bytes[..bytes.len().min(MOST_HEAD)], b"\r\n\r\n") else {
            let long = bytes.len() >= MOST_HEAD;
            return if long {
                Err(HttpError { status: 431, message: "the head is too long" })
            } else {
                Ok(None)
            };
        };
        let taken = end + 4;
        let (mut at, mut start, mut lines) = (0, None, Vec::with_capacity(USUAL_LINES));
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
                return Err(HttpError { status: 431, message: "too many headers" });
            }
        }
        let start = start.ok_or(bad("no start line"))?;
        Ok(Some((Head { bytes: bytes[..taken].to_vec(), start, lines }, taken)))
    }

    fn text(&self, range: &Range<usize>) -> &[u8] {
        &self.bytes[range.clone()]
    }

    fn named(&self, line: &Line, name: &str) -> bool {
        line.name.len() == name.len() && self.text(&line.name).eq_ignore_ascii_case(name.as_bytes())
    }

    pub fn all<'a, 'n: 'a>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.lines.iter().filter(move |line| self.named(line, name)).map(|line| self.text(&line.value))
    }

    /// The value of a header that may stand only once.
    pub fn only(&self, name: &str) -> Result<Option<&str>, HttpError> {
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
    pub fn request_line(&self) -> Result<(&str, &str, &str), HttpError> {
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
                Err(HttpError { status: 505, message: "this version is not spoken" })
            }
            _ => Err(bad("the request line is malformed")),
        }
    }

    /// Status of an answer.
    pub fn status(&self) -> Result<u16, HttpError> {
        let line = self.text(&self.start);
        let known = line.starts_with(b"HTTP/1.1 ") || line.starts_with(b"HTTP/1.0 ");
        let whole = line.len() == 12 || line.get(12) == Some(&b' ');
        let digits = line.get(9..12).filter(|digits| known && whole && digits.iter().all(u8::is_ascii_digit));
        let status = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
        status.filter(|status| *status >= 100).ok_or(bad("the status line is malformed"))
    }

    /// Whether it is of HTTP/1.0.
    pub fn old(&self) -> bool {
        let line = self.text(&self.start);
        line.starts_with(b"HTTP/1.0") || line.ends_with(b"HTTP/1.0")
    }

    /// Whether the connection may go on after this message; never in HTTP/1.0, where few mean it.
    pub fn lasts(&self) -> bool {
        !self.lists("Connection", "close") && !self.old()
    }

    fn length(&self) -> Result<Option<usize>, HttpError> {
        // Said twice alike it is one length; anything else is two messages to two readers.
        let mut told = self.all("Content-Length").flat_map(|value| value.split(|&byte| byte == b','));
        let Some(first) = told.next().map(<[u8]>::trim_ascii) else { return Ok(None) };
        if told.any(|other| other.trim_ascii() != first) {
            return Err(bad("two values of Content-Length"));
        }
        if first.is_empty() || first.len() > 18 || !first.iter().all(u8::is_ascii_digit) {
            return Err(bad("Content-Length is no number"));
        }
        let number = std::str::from_utf8(first).ok().and_then(|text| text.parse().ok());
        number.map(Some).ok_or(bad("Content-Length is no number"))
    }

    /// How the end of the body is told; `none` is what holds where no header says it.
    fn framing(&self, none: Framing) -> Result<Framing, HttpError> {
        let coded = self.all("Transfer-Encoding").next().is_some();
        match (self.length()?, coded) {
            (Some(_), true) => Err(bad("both Content-Length and Transfer-Encoding")),
            (_, true) if self.old() => Err(bad("Transfer-Encoding in HTTP/1.0")),
            (_, true) => match self.only("Transfer-Encoding")? {
                Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
                _ => Err(HttpError { status: 501, message: "this transfer coding is not spoken" }),
            },
            (Some(length), _) if length > MOST_LONG => {
                Err(HttpError { status: 413, message: "the body is too long" })
            }
            (Some(length), _) => Ok(Framing::Length(length)),
            (None, _) => Ok(none),
        }
    }

    pub fn request_framing(&self) -> Result<Framing, HttpError> {
        self.framing(Framing::Length(0))
    }

    pub fn answer_framing(&self) -> Result<Framing, HttpError> {
        let framing = self.framing(Framing::UntilClose)?;
        let bare = matches!(self.status()?, 100..=199 | 204 | 304);
        Ok(if bare { Framing::Length(0) } else { framing })
    }

    /// Whether a header speaks of this connection or this framing alone, and so does not go on. `named`: there is a
    /// header that may name others of the kind.
    fn stays(&self, name: &[u8], named: bool) -> bool {
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
        let own = OWN.iter().any(|own| own.len() == name.len() && own.eq_ignore_ascii_case(name));
        own || named && self.lists("Connection", name)
    }

    pub fn start_bytes(&self) -> &[u8] {
        self.text(&self.start)
    }

    /// Adds to `out`, as the bytes that came, the header lines that go on to the next party, but for `without`.
    pub fn pass_on(&self, without: &str, out: &mut Vec<u8>) {
        let named = self.all("Connection").next().is_some();
        for line in &self.lines {
            let name = self.text(&line.name);
            if !self.stays(name, named) && !name.eq_ignore_ascii_case(without.as_bytes()) {
                out.extend_from_slice(self.text(&line.whole));
            }
        }
    }
}
