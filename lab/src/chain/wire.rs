//! HTTP messages on the harness's connections: nonblocking reads, and writes in one call.
use polling::{Event, PollMode, Poller};
use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The header with the time at which the sender wrote a message, in nanoseconds of the harness's clock. A
/// sidecar forwards it unchanged.
pub const SENT_AT: &str = "Sent-At";

/// The clock that all parts of the harness share, in nanoseconds since its start.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> u64 {
        self.0.elapsed().as_nanos() as u64
    }

    /// The instant of a time on this clock, in nanoseconds.
    pub fn instant(&self, time_ns: u64) -> Instant {
        self.0 + Duration::from_nanos(time_ns)
    }
}

/// A connection that carries one message at a time in each direction.
pub struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// When the first byte of the message that is being read came.
    pub first_byte_at: u64,
}

/// A complete message.
pub struct Message {
    pub head: String,
    pub body: String,
    pub first_byte_at: u64,
}

impl Connection {
    /// Makes a stream nonblocking and registers it with the poller under a key.
    pub fn accepted(stream: TcpStream, poller: &Poller, key: usize) -> Result<Connection> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        // SAFETY: `close` removes the stream from the poller before it is closed; otherwise the poller is
        // dropped before or with it.
        unsafe { poller.add_with_mode(&stream, Event::readable(key), PollMode::Level)? };
        Ok(Connection { stream, bytes: Vec::new(), first_byte_at: 0 })
    }

    pub fn connect(address: SocketAddr, poller: &Poller, key: usize) -> Result<Connection> {
        Connection::accepted(TcpStream::connect(address)?, poller, key)
    }

    /// Removes the connection from the poller and closes it.
    pub fn close(self, poller: &Poller) {
        let _ = poller.delete(&self.stream);
    }

    pub fn write(&mut self, message: &str) -> Result<()> {
        self.stream.write_all(message.as_bytes())
    }

    /// Reads what has come, and returns a message once it is complete. The end of the connection is an error.
    pub fn read(&mut self, clock: Clock) -> Result<Option<Message>> {
        let mut buffer = [0; 16 * 1024];
        let now = clock.now();
        match self.stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => {
                if self.bytes.is_empty() {
                    self.first_byte_at = now;
                }
                self.bytes.extend_from_slice(&buffer[..count]);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(error) => return Err(error),
        }
        let message = take_message(&mut self.bytes)?;
        Ok(message.map(|(head, body)| Message { head, body, first_byte_at: self.first_byte_at }))
    }
}

/// Removes one complete message from the buffer. Its length is that of `Content-Length`, or 0 without one.
fn take_message(bytes: &mut Vec<u8>) -> Result<Option<(String, String)>> {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return Ok(None) };
    let parse_text =
        |part: &[u8]| String::from_utf8(part.to_vec()).map_err(|_| Error::from(ErrorKind::InvalidData));
    let head = parse_text(&bytes[..end + 4])?;
    let length = crate::fakes::header(&head, "Content-Length").and_then(|length| length.parse().ok());
    let message_length = end + 4 + length.unwrap_or(0);
    if bytes.len() < message_length {
        return Ok(None);
    }
    let body = parse_text(&bytes[end + 4..message_length])?;
    bytes.drain(..message_length);
    Ok(Some((head, body)))
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        crate::fakes::header(&self.head, name)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Whether the connection may be used again after this message.
    pub fn keeps_alive(&self) -> bool {
        self.header("Connection") != Some("close")
    }

    /// The time from the sender's write to the first byte here, in nanoseconds.
    pub fn transit(&self) -> Option<u64> {
        let sent: u64 = self.header(SENT_AT)?.parse().ok()?;
        Some(self.first_byte_at.saturating_sub(sent))
    }
}

/// Encodes a request with its id, its timeout and the time at which it is sent.
pub fn encode_request(id: &str, timeout_ms: u64, clock: Clock) -> String {
    let now = clock.now();
    format!(
        "GET /view HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{SENT_AT}: {now}\r\n\r\n"
    )
}

/// Encodes a response. `Not-Started` and `Retry-After` are copied from the forwarded response, if there is
/// one; `Sent-At` is new.
pub fn encode_response(status: u16, forwarded: Option<&Message>, body: &str, clock: Clock) -> String {
    let header = |name: &str| {
        let value = forwarded.and_then(|message| message.header(name));
        value.map(|value| format!("{name}: {value}\r\n")).unwrap_or_default()
    };
    let (not_started, retry_after, now) = (header("Not-Started"), header("Retry-After"), clock.now());
    let length = body.len();
    format!(
        "HTTP/1.1 {status} x\r\n{not_started}{retry_after}{SENT_AT}: {now}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
