//! A small deployment to try the sidecar with: discovery on 127.0.0.1:8500, and the three servers that it lists.
//!
//!     cargo run --example toy
//!
//! A server answers a request after about 20 ms, and one request in thirty after a second, so that hedging can be
//! observed.
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const SERVERS: [&str; 3] = ["127.0.0.1:9001", "127.0.0.1:9002", "127.0.0.1:9003"];

fn main() {
    for (number, address) in SERVERS.into_iter().enumerate() {
        let listener = TcpListener::bind(address).expect("the server's port is free");
        spawn(move || accept_each(listener, move |stream| serve(stream, number)));
    }
    println!("discovery on {DISCOVERY}, servers on {}", SERVERS.join(", "));
    accept_each(TcpListener::bind(DISCOVERY).expect("discovery's port is free"), stream_list);
}

fn accept_each(listener: TcpListener, handler: impl Fn(TcpStream) -> Option<()> + Clone + Send + 'static) {
    for stream in listener.incoming().flatten() {
        let handler = handler.clone();
        spawn(move || handler(stream));
    }
}

/// Reads one request; returns its first line.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        (stream.read(&mut byte).ok()? > 0).then_some(())?;
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let mut body = vec![0; length.and_then(|length| length.trim().parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(String::from_utf8_lossy(&bytes).lines().next()?.to_string())
}

fn serve(mut stream: TcpStream, number: usize) -> Option<()> {
    static REQUESTS: AtomicU64 = AtomicU64::new(0);
    loop {
        let line = read_request(&mut stream)?;
        let index = REQUESTS.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(if index % 30 == 29 { 1000 } else { 15 + index % 10 }));
        let body = format!("server {number} did {line}\n");
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).ok()?;
    }
}

/// Sends the whole server list, then an empty line every 2 s.
fn stream_list(mut stream: TcpStream) -> Option<()> {
    read_request(&mut stream)?;
    let entry = |(number, address): (usize, &str)| {
        format!(
            r#"{{"name":"toy-{number}","address":"{address}","zone":"here","group":0,"status":"active","weight":1.0,"since_ms":0}}"#
        )
    };
    let entries: Vec<String> = SERVERS.into_iter().enumerate().map(entry).collect();
    let mut line = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    loop {
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).ok()?;
        line.clear();
        sleep(Duration::from_secs(2));
    }
}
