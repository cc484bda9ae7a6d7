//! Stand-ins: servers that note each hop, discoveries that tell a list, and callers with a constant load.
use crate::judge::{Answered, Hop};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What all stand-ins write down.
#[derive(Default)]
pub struct Notes {
    pub hops: Mutex<Vec<Hop>>,
    pub answers: Mutex<Vec<Answered>>,
    /// Calls that went out later than they should have.
    pub late: Mutex<usize>,
}

/// The head of one message; its body is read and dropped.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > 16 * 1024 || stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = header(&head, "Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

fn each(listener: TcpListener, work: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let work = work.clone();
            thread::spawn(move || work(stream));
        }
    });
}

/// A server that answers at once; calls whose workload's name begins with `fails` with an error.
pub fn server(begun: Instant, notes: Arc<Notes>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    each(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        while let Some(head) = read_head(&mut stream) {
            let at = begun.elapsed().as_secs_f64();
            let workload = head.split(' ').nth(1).unwrap_or_default().trim_start_matches('/').to_string();
            let id = header(&head, "Request-Id").unwrap_or_default().to_string();
            let sidecar = id.split('-').next().and_then(|at| at.parse().ok()).unwrap_or(usize::MAX);
            let answer: &[u8] = match workload.starts_with("fails") {
                true => b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                false => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            };
            notes.hops.lock().unwrap_or_else(PoisonError::into_inner).push(Hop { at, sidecar, workload, id });
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    });
    Ok(address)
}

/// A discovery that tells one whole list, and an empty line every second.
pub fn discovery(list: String) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    each(listener, move |mut stream| {
        if read_head(&mut stream).is_none() {
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut told = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
        while stream.write_all(told.as_bytes()).is_ok() {
            told = "1\r\n\n\r\n".into();
            thread::sleep(Duration::from_secs(1));
        }
    });
    Ok(address)
}

/// Calls one workload at one sidecar, so many a second, until the end. Each call is counted from when it was due.
pub fn caller(
    to: SocketAddr, (sidecar, workload): (usize, &str), rate: f64, begun: Instant, end: f64, notes: &Notes,
) {
    let mut stream: Option<TcpStream> = None;
    let count = (end * rate) as usize;
    for call in 0..count {
        let due = call as f64 / rate;
        let now = begun.elapsed().as_secs_f64();
        if due > now {
            thread::sleep(Duration::from_secs_f64(due - now));
        } else if now > due + 0.1 {
            *notes.late.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            // Open loop: what could not be asked in time is not asked later in a crowd.
            if now > due + 1.0 {
                continue;
            }
        }
        // A call sent once more by us is another call: whatever repeats an id is the sidecar's doing.
        let asked = |stream: &mut TcpStream, again: &str| {
            let ask = format!("GET /{workload} HTTP/1.1\r\nHost: x\r\nRequest-Id: {sidecar}-{workload}-{call}{again}\r\nRequest-Timeout-Ms: 900\r\n\r\n");
            stream.write_all(ask.as_bytes()).ok()?;
            let head = read_head(stream)?;
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let lasts = header(&head, "Connection") != Some("close");
            Some((status, lasts))
        };
        let fresh = || {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
            Some(stream)
        };
        // Its connection may have been closed for being idle.
        let at = begun.elapsed().as_secs_f64();
        let mut answer = stream.as_mut().and_then(|stream| asked(stream, ""));
        if answer.is_none() && stream.take().is_none_or(|_| begun.elapsed().as_secs_f64() < at + 0.05) {
            stream = fresh();
            answer = stream.as_mut().and_then(|stream| asked(stream, "b"));
        }
        if !answer.is_some_and(|(_, lasts)| lasts) {
            stream = None;
        }
        let status = answer.map(|(status, _)| status);
        let mut answers = notes.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.push(Answered { at, sidecar, status });
    }
}
