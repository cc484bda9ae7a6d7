//! Decodes chunked bodies. Does no I/O.
use super::head::{find, malformed, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// The longest line with a chunk's size and extensions, and the longest trailer: what passes in a head passes here.
const MAX_CHUNK_LINE_BYTES: usize = MAX_HEAD_BYTES;
const MAX_TRAILER_BYTES: usize = MAX_HEAD_BYTES;

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
            let max_line_bytes = self.max_line_bytes();
            let Some(length) = find(&rest[..rest.len().min(max_line_bytes)], b"\r\n") else {
                // A longer line is refused as soon as it is: guards against a body that never ends.
                return match rest.len() < max_line_bytes {
                    true => Ok(position),
                    false => Err(malformed("a chunk's line, or the trailer, is too long")),
                };
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
                    self.trailer_bytes += length + 2;
                    State::Trailer
                }
            };
        }
    }

    /// How many bytes the next line may have, with its end.
    fn max_line_bytes(&self) -> usize {
        match self.state {
            // The empty line behind the trailer does not count.
            State::Trailer => MAX_TRAILER_BYTES.saturating_sub(self.trailer_bytes) + 2,
            _ => MAX_CHUNK_LINE_BYTES,
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
