//! Messages on the rig's connections: read as far as they have come, and written at once.
use polling::{Event, PollMode, Poller};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// When the sender wrote a message, in nanoseconds of the rig's clock; a sidecar passes it on unchanged.
pub const SENT_AT: &str = "Sent-At";

/// The rig's one clock.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> u64 {
        self.0.elapsed().as_nanos() as u64
    }

    pub fn instant(&self, at: u64) -> Instant {
        self.0 + Duration::from_nanos(at)
    }
}

/// A connection that carries one message at a time each way.
pub struct Link {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// When the first byte of the message that is being read came.
    pub first_byte: u64,
}

/// A message that is there whole.
pub struct Message {
    pub head: String,
    pub body: String,
    pub first_byte: u64,
}

impl Link {
    pub fn taken(stream: TcpStream, poller: &Poller, key: usize) -> Result<Link> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        // SAFETY: `close` deletes it before it is closed, and the poller goes before or with the rest.
        unsafe { poller.add_with_mode(&stream, Event::readable(key), PollMode::Level)? };
        Ok(Link { stream, bytes: Vec::new(), first_byte: 0 })
    }

    pub fn connect(to: SocketAddr, poller: &Poller, key: usize) -> Result<Link> {
        Link::taken(TcpStream::connect(to)?, poller, key)
    }

    pub fn close(self, poller: &Poller) {
        let _ = poller.delete(&self.stream);
    }

    pub fn write(&mut self, message: &str) -> Result<()> {
        self.stream.write_all(message.as_bytes())
    }

    /// Reads what there is. An error is also the end of the connection.
    pub fn read(&mut self, clock: Clock) -> Result<Option<Message>> {
        let mut buffer = [0; 16 * 1024];
        let now = clock.now();
        match self.stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                if self.bytes.is_empty() {
                    self.first_byte = now;
                }
                self.bytes.extend_from_slice(&buffer[..count]);
            }
            Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(fault) => return Err(fault),
        }
        let taken = take(&mut self.bytes)?;
        Ok(taken.map(|(head, body)| Message { head, body, first_byte: self.first_byte }))
    }
}

/// Takes one message with its length in its head out of what has come.
fn take(bytes: &mut Vec<u8>) -> Result<Option<(String, String)>> {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return Ok(None) };
    let text =
        |part: &[u8]| String::from_utf8(part.to_vec()).map_err(|_| Error::from(ErrorKind::InvalidData));
    let head = text(&bytes[..end + 4])?;
    let length = crate::fakes::header(&head, "Content-Length").and_then(|length| length.parse().ok());
    let all = end + 4 + length.unwrap_or(0);
    if bytes.len() < all {
        return Ok(None);
    }
    let body = text(&bytes[end + 4..all])?;
    bytes.drain(..all);
    Ok(Some((head, body)))
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        crate::fakes::header(&self.head, name)
    }

    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn lasts(&self) -> bool {
        self.header("Connection") != Some("close")
    }

    /// From its sender's write to its first byte here.
    pub fn transit(&self) -> Option<u64> {
        let sent: u64 = self.header(SENT_AT)?.parse().ok()?;
        Some(self.first_byte.saturating_sub(sent))
    }
}

pub fn request(id: &str, left_ms: u64, clock: Clock) -> String {
    let now = clock.now();
    format!(
        "GET /view HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: {left_ms}\r\n{SENT_AT}: {now}\r\n\r\n"
    )
}

/// What comes is what goes on, but for the stamp.
pub fn answer(status: u16, passed: Option<&Message>, body: &str, clock: Clock) -> String {
    let header = |name: &str| {
        let value = passed.and_then(|message| message.header(name));
        value.map(|value| format!("{name}: {value}\r\n")).unwrap_or_default()
    };
    let (not_started, retry_after, now) = (header("Not-Started"), header("Retry-After"), clock.now());
    let length = body.len();
    format!(
        "HTTP/1.1 {status} x\r\n{not_started}{retry_after}{SENT_AT}: {now}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
