//! Decodes chunked bodies. Does no I/O.
use super::head::{find, malformed, HttpError, MAX_BODY_BYTES};

const MAX_CHUNK_LINE_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// Decodes a chunked body as it comes.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    state: State,
    /// Bytes of trailer lines so far.
    trailer_bytes: usize,
}

/// What comes next.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum State {
    #[default]
    Size,
    /// So many bytes of the current chunk.
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Decodes from the front of `bytes` into `body`, until that holds `max` bytes. Returns how many of `bytes` are
    /// used up.
    pub fn decode(&mut self, bytes: &[u8], body: &mut Vec<u8>, max: usize) -> Result<usize, HttpError> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if let State::Data(left) = self.state {
                let part = left.min(rest.len()).min(max.saturating_sub(body.len()));
                body.extend_from_slice(&rest[..part]);
                at += part;
                self.state = if part == left { State::DataEnd } else { State::Data(left - part) };
                if part < left {
                    return Ok(at);
                }
                continue;
            }
            if self.state == State::Done {
                return Ok(at);
            }
            if self.state == State::DataEnd && !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
                return Err(malformed("a chunk is longer than it says"));
            }
            let Some(length) = find(&rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)], b"\r\n") else {
                let long = rest.len() >= MAX_CHUNK_LINE_BYTES && self.state != State::Trailer;
                let long = long || rest.len() >= MAX_TRAILER_BYTES;
                return if long { Err(malformed("a chunk's line is too long")) } else { Ok(at) };
            };
            let line = &rest[..length];
            at += length + 2;
            self.state = match self.state {
                State::Size => match chunk_size(line)? {
                    0 => State::Trailer,
                    // Refused at once: the body would never be passed on.
                    size if size > MAX_BODY_BYTES => {
                        return Err(HttpError { status: 413, message: "the body is too long" })
                    }
                    size => State::Data(size),
                },
                State::DataEnd => State::Size,
                _ if line.is_empty() => State::Done,
                _ => {
                    self.trailer_bytes += length;
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(malformed("the trailer is too long"));
                    }
                    State::Trailer
                }
            };
        }
    }

    /// Whether the whole body and its trailer have been read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii_end();
    let hex = !digits.is_empty() && digits.len() <= 16 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| hex);
    let size = text.and_then(|text| usize::from_str_radix(text, 16).ok());
    size.ok_or(malformed("a chunk's size is no number"))
}
