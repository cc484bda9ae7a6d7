//! Clients: write requests and read answers whole, in either framing.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for bytes before its test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub ended_at: Instant,
}

/// An id that no other request of this test process has.
pub fn new_id() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The workload of a request. Requests of `Pay` must not be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Workload {
    View,
    Pay,
}

/// The head of a request, with `framing` as its last header lines.
pub fn head(workload: Workload, id: &str, timeout: Duration, framing: &str) -> String {
    let (method, class) = match workload {
        Workload::View => ("GET", "view"),
        Workload::Pay => ("POST", "pay"),
    };
    let timeout_ms = timeout.as_millis();
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n{framing}\r\n"
    )
}

/// Opens a connection.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the program accepts");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the option is set");
    stream.set_nodelay(true).expect("the option is set");
    stream
}

/// Sends a request without a body on a new connection.
pub fn send(address: SocketAddr, workload: Workload, timeout: Duration) -> TcpStream {
    let mut stream = connect(address);
    let request = head(workload, &new_id(), timeout, "Content-Length: 0\r\n");
    stream.write_all(request.as_bytes()).expect("the request is written");
    stream
}

/// Reads an answer. An error says how it broke off.
pub fn read_answer(stream: &mut TcpStream) -> Result<Answer, String> {
    let head = read_until(stream, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&head).to_string();
    let status = head.get(9..12).and_then(|text| text.parse().ok()).ok_or("no status line")?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let body = match length {
        Some(length) => {
            let mut body = vec![0; length.parse().map_err(|_| "no length")?];
            stream.read_exact(&mut body).map_err(|error| error.to_string())?;
            body
        }
        None => read_chunks(stream)?,
    };
    Ok(Answer { status, body, ended_at: Instant::now() })
}

fn read_chunks(stream: &mut TcpStream) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    loop {
        let line = read_until(stream, b"\r\n")?;
        let size = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16);
        let mut chunk = vec![0; size.map_err(|error| error.to_string())? + 2];
        stream.read_exact(&mut chunk).map_err(|error| error.to_string())?;
        if chunk.len() == 2 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..chunk.len() - 2]);
    }
}

fn read_until(stream: &mut TcpStream, end: &[u8]) -> Result<Vec<u8>, String> {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(end) {
        stream.read_exact(&mut byte).map_err(|error| format!("{error} after {} bytes", bytes.len()))?;
        bytes.push(byte[0]);
    }
    Ok(bytes)
}
