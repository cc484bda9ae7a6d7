//! Case 8: long chunked answers that end with a trailer line of some 370 bytes never reach their clients whole.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 200_000;
const CHUNK_BYTES: usize = 16_000;
const CLIENTS: usize = 4;
const CALLS: usize = 2;
/// What the page allows: the rest of an answer may be held back for less than this.
const HELD_BACK: Duration = Duration::from_secs(2);

/// The bytes of a signature by an RSA key of 2,048 bits are 344 characters in base64.
fn trailer() -> String {
    let length = if trouble() { 344 } else { 44 };
    format!("Signature: sig1=:{}:\r\n", "QUJD".repeat(length / 4))
}

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    // When each request's answer was written whole by its server.
    let given: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let servers: Vec<SocketAddr> = (0..3)
        .map(|server| {
            let (record, given) = (record.clone(), given.clone());
            start_server(move |stream| serve(stream, server, &record, &given))
        })
        .collect();
    let workloads = r#"[{"name":"book","semantics":"non_idempotent","quoted_time_s":2.0,"abandon_time_s":5.0,"payoff":1.0}]"#;
    let sidecar = start_deployment(&record, &folder, &servers, &Setup::with_workloads(workloads));
    let listen = sidecar.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, given) = (record.clone(), given.clone());
            spawn(move || (0..CALLS).filter(|call| lost(listen, client, *call, &record, &given)).count())
        })
        .collect();
    let lost: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    drop(sidecar);
    drop(folder);
    record.say(&format!(
        "of {} answers that a server gave whole, {lost} were lost",
        given.lock().unwrap().len()
    ));
    if given.lock().unwrap().is_empty() {
        could_not_run("no server gave an answer");
    }
    end(i32::from(lost > 0));
}

/// Sends one request. Whether its answer was lost: the server gave it whole, and the client did not have it whole 2 s
/// after that.
fn lost(
    listen: SocketAddr, client: usize, call: usize, record: &Record, given: &Mutex<HashMap<String, Instant>>,
) -> bool {
    let id = format!("{client:08x}{call:08x}");
    let Ok(mut stream) = TcpStream::connect(listen) else { could_not_run("no connection to the sidecar") };
    // Longer than the sidecar waits for anything.
    let _ = stream.set_read_timeout(Some(ms(15_000)));
    record.line(&format!("client: sends {id}"));
    let request = format!(
        "POST /book HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: book\r\nRequest-Timeout-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    );
    let _ = stream.write_all(request.as_bytes());
    let answer = read_answer(&mut stream, &mut Vec::new());
    let ended_at = Instant::now();
    let text = match &answer {
        Answer::Whole(status, body, _) => format!("{status} with {} bytes, whole", body.len()),
        Answer::Missing(how) => format!("no whole answer: {how}"),
    };
    let given_at = given.lock().unwrap().get(&id).copied();
    let Some(given_at) = given_at else {
        record.line(&format!("client: {id} got {text}; no server gave an answer"));
        return false;
    };
    let after = ended_at.saturating_duration_since(given_at);
    record.line(&format!(
        "client: {id} got {text}, {:.2} s after its server had given all",
        after.as_secs_f64()
    ));
    let lost = match answer {
        Answer::Whole(200, body, _) => body.len() != BODY_BYTES || after >= HELD_BACK,
        Answer::Whole(..) => false,
        Answer::Missing(_) => true,
    };
    if lost {
        record.say(&format!(
            "BROKEN {id}: {text}, {:.2} s after its server had given all",
            after.as_secs_f64()
        ));
    }
    lost
}

fn serve(mut stream: TcpStream, server: usize, record: &Record, given: &Mutex<HashMap<String, Instant>>) {
    let mut rest = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut rest) {
        record.line(&format!("server {server}: runs {}", request.id));
        sleep(ms(30));
        let mut answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\nTrailer: Signature\r\n\r\n".to_vec();
        let body = vec![b'x'; BODY_BYTES];
        for part in body.chunks(CHUNK_BYTES) {
            answer.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            answer.extend_from_slice(part);
            answer.extend_from_slice(b"\r\n");
        }
        answer.extend_from_slice(format!("0\r\n{}\r\n", trailer()).as_bytes());
        if stream.write_all(&answer).is_err() {
            return record
                .line(&format!("server {server}: the connection ended under the answer to {}", request.id));
        }
        record.line(&format!("server {server}: has given all of the answer to {}", request.id));
        given.lock().unwrap().insert(request.id, Instant::now());
    }
}
