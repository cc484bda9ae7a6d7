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

/// What the decoder expects next.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
enum State {
    #[default]
    Size,
    /// This many more bytes of the current chunk.
    Data(usize),
    /// The line end after a chunk's data.
    DataEnd,
    Trailer,
    Done,
}

impl ChunkDecoder {
    /// Decodes from the front of `bytes` into `body`, until `body` holds `max` bytes. Returns how many of `bytes` were
    /// consumed.
    pub fn decode(&mut self, bytes: &[u8], body: &mut Vec<u8>, max: usize) -> Result<usize, HttpError> {
        let mut position = 0;
        loop {
            let rest = &bytes[position..];
            if let State::Data(left) = self.state {
                let taken = left.min(rest.len()).min(max.saturating_sub(body.len()));
                body.extend_from_slice(&rest[..taken]);
                position += taken;
                self.state = if taken == left { State::DataEnd } else { State::Data(left - taken) };
                if taken < left {
                    return Ok(position);
                }
                continue;
            }
            if self.state == State::Done {
                return Ok(position);
            }
            if self.state == State::DataEnd && !b"\r\n".starts_with(&rest[..rest.len().min(2)]) {
                return Err(malformed("a chunk is longer than it says"));
            }
            let Some(length) = find(&rest[..rest.len().min(MAX_CHUNK_LINE_BYTES)], b"\r\n") else {
                let too_long = rest.len() >= MAX_CHUNK_LINE_BYTES && self.state != State::Trailer;
                let too_long = too_long || rest.len() >= MAX_TRAILER_BYTES;
                return if too_long { Err(malformed("a chunk's line is too long")) } else { Ok(position) };
            };
            let line = &rest[..length];
            position += length + 2;
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
    let is_hex = !digits.is_empty() && digits.len() <= 16 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    let size = text.and_then(|text| usize::from_str_radix(text, 16).ok());
    size.ok_or(malformed("a chunk's size is no number"))
}
