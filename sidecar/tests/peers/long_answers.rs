//! Long answers whose servers pause while they write them.
use crate::client::{read_answer, send, Answer, Workload};
use crate::program::{self, Limits};
use crate::{ms, server};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 200_000;
/// Longer than any pause after which an answer was once given up.
const PAUSE: Duration = ms(1_500);
const TIMEOUT: Duration = ms(5_000);
/// By the page, the rest of a long answer may be held back for less than this.
const MAX_HELD_BACK: Duration = ms(2_000);

/// How the end of an answer's body is marked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Framing {
    Length,
    Chunks,
    Close,
}

impl Framing {
    /// A long answer in this framing: its head, and its body as it is written.
    fn answer(self) -> (Vec<u8>, Vec<u8>) {
        let body = vec![b'x'; BODY_BYTES];
        match self {
            Framing::Length => {
                (format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n").into(), body)
            }
            Framing::Chunks => {
                let chunks = body.chunks(1_000).flat_map(|part| {
                    [format!("{:x};part=1\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
                });
                let body = chunks.chain(*b"0\r\nChecksum: 1\r\n\r\n").collect();
                (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), body)
            }
            Framing::Close => (b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), body),
        }
    }
}

/// Has a server write each answer up to `pause_at`, counted from its first byte or, if negative, from its last, then pause
/// and write the rest. Returns what the client got, how long after the server's last byte, and how many requests ran.
fn play(framing: Framing, workload: Workload, pause_at: isize) -> (Result<Answer, String>, Duration, usize) {
    let ran = Arc::new(AtomicUsize::new(0));
    let (counter, (written, written_at)) = (ran.clone(), std::sync::mpsc::channel());
    let address = server::start(move |mut stream: TcpStream| {
        while server::read_request(&mut stream).is_some() {
            counter.fetch_add(1, Ordering::SeqCst);
            let (head, body) = framing.answer();
            let answer = [head, body].concat();
            let (first, rest) = answer.split_at(pause_at.rem_euclid(answer.len() as isize) as usize);
            let _ = stream.write_all(first);
            thread::sleep(PAUSE);
            let _ = stream.write_all(rest);
            let _ = written.send(Instant::now());
            if framing == Framing::Close {
                return;
            }
        }
    });
    let program = program::start(&[address], Limits::default());
    let answer = read_answer(&mut send(program.address, workload, TIMEOUT));
    let ended_at = answer.as_ref().map_or_else(|_| Instant::now(), |answer| answer.ended_at);
    let written_at = written_at.recv_timeout(TIMEOUT).expect("the server writes its answer");
    (answer, ended_at.saturating_duration_since(written_at), ran.load(Ordering::SeqCst))
}

/// Guards against a long answer that is cut off while its server pauses, wherever in the answer that is.
#[test]
fn long_answers_of_servers_that_pause_come_whole() {
    let framings = [Framing::Length, Framing::Chunks, Framing::Close];
    // Within the status line, behind the head, in the first part of the body, behind what is buffered of it, and before the
    // last byte.
    let pauses = |framing: Framing| {
        let head_length = framing.answer().0.len() as isize;
        [5, head_length - 3, head_length, head_length + 2, head_length + 2_000, head_length + 70_000, -1]
    };
    thread::scope(|scope| {
        for framing in framings {
            for pause_at in pauses(framing) {
                for workload in [Workload::View, Workload::Pay] {
                    scope.spawn(move || {
                        let case = format!("{framing:?}, {workload:?}, pause at {pause_at}");
                        let (answer, held_back, ran) = play(framing, workload, pause_at);
                        let answer = answer.unwrap_or_else(|error| panic!("{case}: cut off: {error}"));
                        assert_eq!((answer.status, answer.body.len()), (200, BODY_BYTES), "{case}");
                        assert!(held_back < MAX_HELD_BACK, "{case}: held back for {held_back:?}");
                        assert!(workload == Workload::View || ran == 1, "{case}: ran {ran} times");
                    });
                }
            }
        }
    });
}

/// Guards against a client that never learns that its answer will not come, because its server has stopped within it.
#[test]
fn an_answer_that_stops_ends_in_time() {
    let timeout = ms(2_000);
    // By the page an answer more than half a second late is lost. One that has been passed on in part is given up when its
    // server has been silent for 10 s.
    let (failed_by, given_up_by) = (timeout + ms(500), ms(1_000 + 10_000 + 500));
    let stops = [
        ("HTTP/1.1 200 OK\r\nContent-Le", 0, failed_by),
        ("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", 0, failed_by),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0, failed_by),
        ("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", 100_000, given_up_by),
        ("HTTP/1.1 200 OK\r\n\r\n", 2_000, given_up_by),
    ];
    thread::scope(|scope| {
        for (head, body_bytes, ends_by) in stops {
            scope.spawn(move || {
                let address = server::start(move |mut stream: TcpStream| {
                    while server::read_request(&mut stream).is_some() {
                        let _ = stream.write_all(&[head.as_bytes(), &vec![b'x'; body_bytes]].concat());
                    }
                });
                let program = program::start(&[address], Limits::default());
                let started = Instant::now();
                let answer = read_answer(&mut send(program.address, Workload::Pay, timeout));
                assert!(started.elapsed() < ends_by, "{head:?}: {:?}", started.elapsed());
                match answer {
                    Ok(answer) => assert_eq!((answer.status, body_bytes), (502, 0), "{head:?}"),
                    Err(_) => assert!(body_bytes > 0, "{head:?}"),
                }
            });
        }
    });
}
