//! Case 7: long answers whose servers pause for 1.5 s behind the first bytes are cut off.
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What became of an answer at its server.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    /// The connection was ended while the server went on giving it.
    CutOff,
    /// All of it was written at this time.
    Written(Instant),
}

type Given = Arc<Mutex<HashMap<String, Fate>>>;

const BODY_BYTES: usize = 200_000;
const PIECE_BYTES: usize = 16_000;
/// What a server writes before it pauses.
const FIRST_PIECE_BYTES: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(1_500);
const CLIENTS: usize = 4;
const CALLS: usize = 3;
/// What the page allows: the rest of an answer may be held back for less than this.
const HELD_BACK: Duration = Duration::from_secs(2);

fn main() {
    let record = Record::create();
    let folder = Folder::create();
    // What became of the answer to each request at its server.
    let given: Given = Arc::default();
    let servers: Vec<SocketAddr> = (0..3)
        .map(|server| {
            let (record, given) = (record.clone(), given.clone());
            start_server(move |stream| serve(stream, server, &record, &given))
        })
        .collect();
    let workloads = r#"[{"name":"ledger-view","semantics":"read_like","quoted_time_s":2.0,"abandon_time_s":5.0,"payoff":1.0},
        {"name":"book","semantics":"non_idempotent","quoted_time_s":2.5,"abandon_time_s":6.0,"payoff":8.0}]"#;
    let sidecar = start_deployment(&record, &folder, &servers, &Setup::with_workloads(workloads));
    let listen = sidecar.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            spawn(move || {
                (0..CALLS).map(|call| play_call(listen, client, call, &record)).collect::<Vec<Outcome>>()
            })
        })
        .collect();
    let outcomes: Vec<Outcome> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    // The servers that were cut off go on giving until they notice.
    sleep(PAUSE + ms(500));
    drop(sidecar);
    drop(folder);
    let given = given.lock().unwrap();
    let mut lost = 0;
    for Outcome { id, text, whole, ended_at } in &outcomes {
        let cause = match given.get(id) {
            Some(Fate::CutOff) if !whole => "its server was cut off",
            Some(Fate::Written(at)) if !whole || *ended_at >= *at + HELD_BACK => {
                "its server had written all of it"
            }
            _ => continue,
        };
        lost += 1;
        record.say(&format!("BROKEN {id} got {text}; {cause}"));
    }
    record.say(&format!("of {} requests whose answer a server gave, {lost} were lost", given.len()));
    if given.is_empty() {
        could_not_run("no server gave an answer");
    }
    end(i32::from(lost > 0));
}

/// What a client got.
struct Outcome {
    id: String,
    text: String,
    /// It got the whole body of a server's answer.
    whole: bool,
    ended_at: Instant,
}

/// Sends one request and waits for its answer.
fn play_call(listen: SocketAddr, client: usize, call: usize, record: &Record) -> Outcome {
    let id = format!("{client:08x}{call:08x}");
    let Ok(mut stream) = TcpStream::connect(listen) else { could_not_run("no connection to the sidecar") };
    let _ = stream.set_read_timeout(Some(ms(8_000)));
    let (method, class) = if client % 2 == 0 { ("GET", "ledger-view") } else { ("POST", "book") };
    record.line(&format!("client: sends {id}, {method} {class}"));
    let request = format!(
        "{method} /{class} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nRequest-Timeout-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    );
    let sent_at = Instant::now();
    let _ = stream.write_all(request.as_bytes());
    let answer = read_answer(&mut stream, &mut Vec::new());
    let took = sent_at.elapsed().as_secs_f64();
    let text = match &answer {
        Answer::Whole(status, body, _) => format!("{status} with {} bytes after {took:.2} s", body.len()),
        Answer::Missing(how) => format!("no whole answer after {took:.2} s: {how}"),
    };
    record.line(&format!("client: {id} got {text}"));
    let whole = matches!(&answer, Answer::Whole(200, body, _) if body.len() == BODY_BYTES);
    Outcome { id, text: format!("{text} ({class})"), whole, ended_at: Instant::now() }
}

fn serve(mut stream: TcpStream, server: usize, record: &Record, given: &Given) {
    let mut rest = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut rest) {
        record.line(&format!("server {server}: runs {}", request.id));
        sleep(ms(30));
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let body = vec![b'x'; BODY_BYTES];
        let (first, others) = body.split_at(FIRST_PIECE_BYTES);
        let mut written = stream.write_all(&[head.as_bytes(), first].concat());
        if trouble() {
            sleep(PAUSE);
        }
        for piece in others.chunks(PIECE_BYTES) {
            written = written.and_then(|()| stream.write_all(piece));
            sleep(ms(10));
        }
        let fate = match &written {
            Ok(()) => Fate::Written(Instant::now()),
            Err(_) => Fate::CutOff,
        };
        given.lock().unwrap().insert(request.id.clone(), fate);
        match written {
            Ok(()) => {
                record.line(&format!("server {server}: has written all of the answer to {}", request.id))
            }
            Err(error) => {
                return record
                    .line(&format!("server {server}: the answer to {} was cut off: {error}", request.id))
            }
        }
    }
}
