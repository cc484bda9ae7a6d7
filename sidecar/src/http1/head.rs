//! Parses the head of an HTTP/1.1 message. Does no I/O. Parsing is strict: if two parsers find different ends of a
//! message, one message can be smuggled inside another, so a message of ambiguous framing is an [`HttpError`].
use std::ops::Range;

/// The longest head that is read.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body that is buffered whole.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The longest body that is passed on. Guards against an answer that states a length of gigabytes.
pub const MAX_BODY_BYTES: usize = 48 * 1024 * 1024;
const MAX_HEADER_LINES: usize = 100;
/// How many header lines space is allocated for at first.
const TYPICAL_HEADER_LINES: usize = 12;

/// What is wrong with a message, and the status with which it is answered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HttpError {
    pub status: u16,
    pub message: &'static str,
}

/// An [`HttpError`] with status 400.
pub const fn malformed(message: &'static str) -> HttpError {
    HttpError { status: 400, message }
}

/// The start line and the header lines, kept as the bytes that came.
#[derive(Clone, Debug)]
pub struct Head {
    bytes: Vec<u8>,
    start: Range<usize>,
    lines: Vec<Line>,
}

/// Where a header line, its name and its value are in the bytes of the head.
#[derive(Clone, Debug)]
struct Line {
    whole: Range<usize>,
    name: Range<usize>,
    value: Range<usize>,
}

/// How the end of a body is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Whether a method or a header name may contain this byte.
pub fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// The position of the first occurrence of `pattern`.
pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    memchr::memmem::find(bytes, pattern)
}

impl Head {
    /// Parses a head from the front of `bytes`, and returns how many bytes it takes. Returns none if it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Head, usize)>, HttpError> {
        let Some(end) = find(&bytes[..bytes.len().min(MAX_HEAD_BYTES)], b"\r\n\r\n") else {
            let too_long = bytes.len() >= MAX_HEAD_BYTES;
            return if too_long {
                Err(HttpError { status: 431, message: "the head is too long" })
            } else {
                Ok(None)
            };
        };
        let head_length = end + 4;
        let (mut position, mut start, mut lines) = (0, None, Vec::with_capacity(TYPICAL_HEADER_LINES));
        while position < end + 2 {
            let length =
                find(&bytes[position..head_length], b"\r\n").ok_or(malformed("a line without an end"))?;
            let line = position..position + length;
            position = line.end + 2;
            let text = &bytes[line.clone()];
            if text.iter().any(|&byte| (byte < 32 && byte != b'\t') || byte == 127) {
                return Err(malformed("a control byte in the head"));
            }
            if start.is_none() {
                start = Some(line);
                continue;
            }
            let colon =
                text.iter().position(|&byte| byte == b':').ok_or(malformed("a header without a colon"))?;
            if colon == 0 || !text[..colon].iter().all(|&byte| is_token_byte(byte)) {
                return Err(malformed("a header's name is malformed"));
            }
            let rest = &text[colon + 1..];
            let leading_blanks = rest.len() - rest.trim_ascii_start().len();
            let value_start = line.start + colon + 1 + leading_blanks;
            let value = value_start..value_start + rest.trim_ascii().len();
            lines.push(Line { name: line.start..line.start + colon, value, whole: line.start..position });
            if lines.len() > MAX_HEADER_LINES {
                return Err(HttpError { status: 431, message: "too many headers" });
            }
        }
        let start = start.ok_or(malformed("no start line"))?;
        Ok(Some((Head { bytes: bytes[..head_length].to_vec(), start, lines }, head_length)))
    }

    fn text(&self, range: &Range<usize>) -> &[u8] {
        &self.bytes[range.clone()]
    }

    fn has_name(&self, line: &Line, name: &str) -> bool {
        line.name.len() == name.len() && self.text(&line.name).eq_ignore_ascii_case(name.as_bytes())
    }

    /// The values of all headers with this name.
    pub fn values<'a, 'n: 'a>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        self.lines.iter().filter(move |line| self.has_name(line, name)).map(|line| self.text(&line.value))
    }

    /// The value of a header that may occur only once.
    pub fn single(&self, name: &str) -> Result<Option<&str>, HttpError> {
        let mut matches = self.lines.iter().filter(|line| self.has_name(line, name));
        let (first, second) = (matches.next(), matches.next());
        if second.is_some() {
            return Err(malformed("a header stands twice that may stand once"));
        }
        let text = first.map(|line| std::str::from_utf8(self.text(&line.value))).transpose();
        text.map_err(|_| malformed("a header's value is no text"))
    }

    /// Whether a comma-separated header contains this token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.values(name).flat_map(|value| value.split(|&byte| byte == b','));
        tokens.any(|other| other.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Method, target and version of a request.
    pub fn request_line(&self) -> Result<(&str, &str, &str), HttpError> {
        let line = std::str::from_utf8(self.text(&self.start))
            .map_err(|_| malformed("the start line is no text"))?;
        let parts: Vec<&str> = line.split(' ').collect();
        let &[method, target, version] = &parts[..] else {
            return Err(malformed("the request line is malformed"));
        };
        if method.is_empty() || !method.bytes().all(is_token_byte) || target.is_empty() {
            return Err(malformed("the request line is malformed"));
        }
        match version {
            "HTTP/1.1" | "HTTP/1.0" => Ok((method, target, version)),
            _ if version.starts_with("HTTP/") => {
                Err(HttpError { status: 505, message: "this version is not spoken" })
            }
            _ => Err(malformed("the request line is malformed")),
        }
    }

    /// The status of an answer.
    pub fn status(&self) -> Result<u16, HttpError> {
        let line = self.text(&self.start);
        let known_version = line.starts_with(b"HTTP/1.1 ") || line.starts_with(b"HTTP/1.0 ");
        let ends_after_status = line.len() == 12 || line.get(12) == Some(&b' ');
        let digits = line
            .get(9..12)
            .filter(|digits| known_version && ends_after_status && digits.iter().all(u8::is_ascii_digit));
        let status = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok());
        status.filter(|status| *status >= 100).ok_or(malformed("the status line is malformed"))
    }

    /// Whether the message's version is HTTP/1.0.
    pub fn is_http10(&self) -> bool {
        let line = self.text(&self.start);
        line.starts_with(b"HTTP/1.0") || line.ends_with(b"HTTP/1.0")
    }

    /// Whether the connection may be kept after this message. Never after HTTP/1.0, where clients rarely support it.
    pub fn keeps_alive(&self) -> bool {
        !self.has_token("Connection", "close") && !self.is_http10()
    }

    fn content_length(&self) -> Result<Option<usize>, HttpError> {
        // Equal values count as one. With different values, two parsers could find different ends of the message.
        let mut stated = self.values("Content-Length").flat_map(|value| value.split(|&byte| byte == b','));
        let Some(first) = stated.next().map(<[u8]>::trim_ascii) else { return Ok(None) };
        if stated.any(|other| other.trim_ascii() != first) {
            return Err(malformed("two values of Content-Length"));
        }
        if first.is_empty() || first.len() > 18 || !first.iter().all(u8::is_ascii_digit) {
            return Err(malformed("Content-Length is no number"));
        }
        let number = std::str::from_utf8(first).ok().and_then(|text| text.parse().ok());
        number.map(Some).ok_or(malformed("Content-Length is no number"))
    }

    /// How the end of the body is marked; `default` if no header says so.
    fn framing(&self, default: Framing) -> Result<Framing, HttpError> {
        let has_transfer_encoding = self.values("Transfer-Encoding").next().is_some();
        match (self.content_length()?, has_transfer_encoding) {
            (Some(_), true) => Err(malformed("both Content-Length and Transfer-Encoding")),
            (_, true) if self.is_http10() => Err(malformed("Transfer-Encoding in HTTP/1.0")),
            (_, true) => match self.single("Transfer-Encoding")? {
                Some(coding) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
                _ => Err(HttpError { status: 501, message: "this transfer coding is not spoken" }),
            },
            (Some(length), _) if length > MAX_BODY_BYTES => {
                Err(HttpError { status: 413, message: "the body is too long" })
            }
            (Some(length), _) => Ok(Framing::Length(length)),
            (None, _) => Ok(default),
        }
    }

    pub fn request_framing(&self) -> Result<Framing, HttpError> {
        self.framing(Framing::Length(0))
    }

    pub fn answer_framing(&self) -> Result<Framing, HttpError> {
        let framing = self.framing(Framing::UntilClose)?;
        let has_no_body = matches!(self.status()?, 100..=199 | 204 | 304);
        Ok(if has_no_body { Framing::Length(0) } else { framing })
    }

    /// Whether a header concerns only this connection or the framing, and so is not forwarded. With
    /// `has_connection_header`, the headers that the `Connection` header names count, too.
    fn is_hop_by_hop(&self, name: &[u8], has_connection_header: bool) -> bool {
        const HOP_BY_HOP: [&str; 9] = [
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
        let listed =
            HOP_BY_HOP.iter().any(|other| other.len() == name.len() && other.eq_ignore_ascii_case(name));
        listed || has_connection_header && self.has_token("Connection", name)
    }

    /// The bytes of the start line.
    pub fn start_bytes(&self) -> &[u8] {
        self.text(&self.start)
    }

    /// Appends to `out`, unchanged, the header lines that are forwarded, except those of the header `excluded`.
    pub fn write_forwarded(&self, excluded: &str, out: &mut Vec<u8>) {
        let has_connection_header = self.values("Connection").next().is_some();
        for line in &self.lines {
            let name = self.text(&line.name);
            if !self.is_hop_by_hop(name, has_connection_header)
                && !name.eq_ignore_ascii_case(excluded.as_bytes())
            {
                out.extend_from_slice(self.text(&line.whole));
            }
        }
    }
}
