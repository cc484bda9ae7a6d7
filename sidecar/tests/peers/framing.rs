//! All forms of chunked bodies, in answers and in requests.
use crate::client::{self, connect, head, new_id, read_answer, send, Workload};
use crate::program::{self, Limits};
use crate::{ms, server};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = ms(4_000);
const CHUNK_BYTES: usize = 10_000;

/// A body of so many bytes in chunks whose lines have `extension`, and `trailer` behind the last one.
fn chunked_body(bytes: usize, extension: &str, trailer: &str) -> Vec<u8> {
    let body = vec![b'x'; bytes];
    let mut encoded: Vec<u8> = body
        .chunks(CHUNK_BYTES)
        .flat_map(|part| [format!("{:x}{extension}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat())
        .collect();
    encoded.extend_from_slice(format!("0{extension}\r\n{trailer}\r\n").as_bytes());
    encoded
}

/// Chunk lines and trailers as long as the header lines that pass.
fn forms() -> Vec<(String, String)> {
    let line = |name: &str, length: usize| format!("{name}: {}\r\n", "s".repeat(length));
    vec![
        (String::new(), line("Signature", 344)),
        (String::new(), line("Signature", 3_000) + &line("Signature", 4_500)),
        (String::new(), line("T", 1).repeat(90)),
        (format!(";chunk-signature={}", "a".repeat(344)), String::new()),
        (format!(" ; name=\"{}\"", "b".repeat(2_000)), line("Checksum", 60)),
    ]
}

/// Guards against answers that never end, or fail, because a chunk line or a trailer is long.
#[test]
fn answers_with_long_chunk_lines_and_trailers_come_whole() {
    thread::scope(|scope| {
        for (extension, trailer) in forms() {
            for bytes in [200, 40_000, 200_000] {
                let body = chunked_body(bytes, &extension, &trailer);
                scope.spawn(move || {
                    let address = server::start(move |mut stream: TcpStream| {
                        while server::read_request(&mut stream).is_some() {
                            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                            let _ = stream.write_all(&[head, &body[..]].concat());
                        }
                    });
                    let program = program::start(&[address], Limits::default());
                    let answer = read_answer(&mut send(program.address, Workload::Pay, TIMEOUT));
                    let got = answer.map(|answer| (answer.status, answer.body.len()));
                    assert_eq!(got, Ok((200, bytes)), "{bytes} bytes");
                });
            }
        }
    });
}

/// Guards against requests that are turned away because a chunk line or a trailer is long.
#[test]
fn requests_with_long_chunk_lines_and_trailers_are_answered() {
    let address = server::start(|mut stream: TcpStream| {
        while server::read_request(&mut stream).is_some() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    let program = program::start(&[address], Limits::default());
    for (extension, trailer) in forms() {
        for bytes in [200, 200_000] {
            let mut stream = connect(program.address);
            let head = head(Workload::Pay, &new_id(), TIMEOUT, "Transfer-Encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).expect("written");
            stream.write_all(&chunked_body(bytes, &extension, &trailer)).expect("written");
            // Whatever follows on the connection is the next request.
            let next = client::head(Workload::View, &new_id(), TIMEOUT, "Content-Length: 2\r\n");
            stream.write_all(format!("{next}xx").as_bytes()).expect("written");
            for _ in 0..2 {
                let answer = read_answer(&mut stream);
                assert_eq!(answer.map(|answer| answer.status), Ok(200), "{bytes} bytes");
            }
        }
    }
}

/// Guards against memory without a bound: a line or a trailer longer than a head may be ends its message.
#[test]
fn chunk_lines_and_trailers_longer_than_a_head_are_refused() {
    let address = server::start(|_| {});
    let program = program::start(&[address], Limits::default());
    let endless =
        [format!("1;{}", "e".repeat(40_000)), format!("1\r\nx\r\n0\r\n{}", "T: 1\r\n".repeat(9_000))];
    for start in endless {
        let mut stream = connect(program.address);
        let head = head(Workload::Pay, &new_id(), TIMEOUT, "Transfer-Encoding: chunked\r\n");
        let _ = stream.write_all(format!("{head}{start}").as_bytes());
        let answer = read_answer(&mut stream);
        assert_eq!(answer.map(|answer| answer.status), Ok(400));
    }
}
