//! Chunked bodies out of bytes, and nothing else.
use super::head::{bad, find, HttpError, MOST_LONG};

const MOST_CHUNK_LINE: usize = 256;
const MOST_TRAILER: usize = 4 * 1024;

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
    /// Moves what it can from the front of `bytes` into `body`, until that holds `most`; says how many bytes are done
    /// with.
    pub fn feed(&mut self, bytes: &[u8], body: &mut Vec<u8>, most: usize) -> Result<usize, HttpError> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            if let Chunk::Data(left) = self.state {
                let part = left.min(rest.len()).min(most.saturating_sub(body.len()));
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
                    // Guards against waiting for what is never passed on.
                    size if size > MOST_LONG => {
                        return Err(HttpError { status: 413, message: "the body is too long" })
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

fn chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default().trim_ascii_end();
    let hex = !digits.is_empty() && digits.len() <= 16 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| hex);
    let size = text.and_then(|text| usize::from_str_radix(text, 16).ok());
    size.ok_or(bad("a chunk's size is no number"))
}
