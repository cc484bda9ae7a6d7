//! Case 10: a client sends a long request and closes its connection; its request is sent to a server long after that.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(900);
const SERVERS: usize = 2;
/// Clients that keep the servers busy.
const USUAL_CLIENTS: usize = 12;
const UPLOADS: usize = 6;
const UPLOAD_BYTES: usize = 1_000_000;
/// What the page allows between the close and the beginning of an attempt, and what the clocks of two threads may differ.
const ALLOWED: Duration = Duration::from_millis(100 + 50);

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    // When the first and the last byte of each upload came to a server.
    let begun: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let whole: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let servers: Vec<SocketAddr> = (0..SERVERS)
        .map(|server| {
            let (record, begun, whole) = (record.clone(), begun.clone(), whole.clone());
            start_server(move |stream| serve(stream, server, &record, &begun, &whole))
        })
        .collect();
    let workloads = r#"[{"name":"view","semantics":"read_like","quoted_time_s":2.0,"abandon_time_s":5.0,"payoff":1.0},
        {"name":"book","semantics":"non_idempotent","quoted_time_s":2.5,"abandon_time_s":6.0,"payoff":8.0}]"#;
    let sidecar = start_deployment(&record, &folder, &servers, &Setup::with_workloads(workloads));
    let listen = sidecar.listen;
    let (over, answered) = (flag(false), Arc::new(AtomicU64::new(0)));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|client| {
            let (record, over, answered) = (record.clone(), over.clone(), answered.clone());
            spawn(move || {
                for call in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("a{client:07x}{call:08x}");
                    let Ok(mut stream) = TcpStream::connect(listen) else { return };
                    let _ = stream.set_read_timeout(Some(ms(7_000)));
                    let request = format!(
                        "GET /view HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: view\r\nRequest-Timeout-Ms: 5000\r\nConnection: close\r\n\r\n"
                    );
                    let _ = stream.write_all(request.as_bytes());
                    let answer = read_answer(&mut stream, &mut Vec::new());
                    if let Answer::Whole(status, ..) = answer {
                        record.line(&format!("client: {id} got {status}"));
                        answered.fetch_add(1, Ordering::SeqCst);
                        // A client that is turned away comes again after a moment.
                        sleep(if status == 200 { ms(0) } else { ms(100) });
                    }
                }
            })
        })
        .collect();
    sleep(ms(1_500));
    let mut closed = HashMap::new();
    for upload in 0..UPLOADS {
        sleep(ms(600));
        let id = format!("b{upload:015x}");
        let Ok(mut stream) = TcpStream::connect(listen) else {
            could_not_run("no connection to the sidecar")
        };
        let _ = stream.set_read_timeout(Some(ms(7_000)));
        let head = format!(
            "POST /book HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: book\r\nRequest-Timeout-Ms: 6000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + UPLOAD_BYTES, b'x');
        record.line(&format!("client: sends {id}, {UPLOAD_BYTES} bytes"));
        // All of it is in the machine before the client goes; where the machine does not take it, the client stays.
        let _ = stream.set_write_timeout(Some(ms(50)));
        if let Err(error) = stream.write_all(&request) {
            record.line(&format!("client: {id} was not taken by the machine: {error}"));
        }
        if trouble() {
            sleep(ms(20));
            drop(stream);
            closed.insert(id.clone(), Instant::now());
            record.line(&format!("client: closes the connection of {id}"));
        } else {
            let record = record.clone();
            spawn(move || {
                let answer = read_answer(&mut stream, &mut Vec::new());
                let text = match answer {
                    Answer::Whole(status, ..) => status.to_string(),
                    Answer::Missing(how) => how,
                };
                record.line(&format!("client: {id} got {text}"));
            });
        }
    }
    sleep(ms(4_000));
    over.store(true, Ordering::SeqCst);
    usual.into_iter().for_each(|client| client.join().unwrap_or(()));
    drop(sidecar);
    drop(folder);
    if answered.load(Ordering::SeqCst) < USUAL_CLIENTS as u64 {
        could_not_run("the usual clients were not answered");
    }
    let (begun, whole) = (begun.lock().unwrap(), whole.lock().unwrap());
    let mut broken = 0;
    for (id, closed_at) in &closed {
        let after = |at: &Instant| at.saturating_duration_since(*closed_at);
        let Some(begun_after) = begun.get(id).map(after) else { continue };
        let text = match whole.get(id).map(after) {
            Some(whole_after) => {
                format!("was there whole {:.2} s after the close", whole_after.as_secs_f64())
            }
            None => "never came whole".to_string(),
        };
        let text =
            format!("an attempt of {id} began {:.2} s after the close and {text}", begun_after.as_secs_f64());
        if begun_after > ALLOWED {
            broken += 1;
            record.say(&format!("BROKEN {text}"));
        } else {
            record.line(&text);
        }
    }
    record.say(&format!("of {} clients that left, attempts began too late for {broken}", closed.len()));
    end(i32::from(broken > 0));
}

fn serve(
    mut stream: TcpStream, server: usize, record: &Record, begun: &Mutex<HashMap<String, Instant>>,
    whole: &Mutex<HashMap<String, Instant>>,
) {
    let mut rest = Vec::new();
    loop {
        // The head first, to tell when an attempt begins.
        let mut buffer = [0; 16 * 1024];
        let end = loop {
            if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => rest.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        };
        let id = header(&String::from_utf8_lossy(&rest[..end + 4]), "request-id").unwrap_or_default();
        record.line(&format!("server {server}: an attempt of {id} begins"));
        begun.lock().unwrap().entry(id.clone()).or_insert_with(Instant::now);
        let Some(request) = read_request(&mut stream, &mut rest) else {
            return record.line(&format!("server {server}: {id} never came whole"));
        };
        whole.lock().unwrap().entry(id.clone()).or_insert_with(Instant::now);
        record.line(&format!("server {server}: runs {id}, {} bytes", request.body.len()));
        sleep(WORK);
        if stream.write_all(&sized_answer(&format!("made for {id}\n"))).is_err() {
            return;
        }
    }
}
