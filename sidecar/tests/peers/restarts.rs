//! Planned restarts while clients have sent requests ahead of their answers.
use crate::client::{connect, head, new_id, read_answer, Workload};
use crate::program::{self, Limits};
use crate::{ms, server};
use rustix::process::{kill_process, Pid, Signal};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const TIMEOUT: Duration = ms(8_000);
/// More than a server answers one after the other before the process has to end.
const REQUESTS: usize = 30;
const WORK: Duration = ms(250);

/// Guards against requests that were read, behind another one on their connection, and get no answer because the process is
/// told to end.
#[test]
fn requests_sent_ahead_are_answered_when_the_process_is_told_to_end() {
    let servers: Vec<_> = (0..3)
        .map(|_| {
            server::start(|mut stream: TcpStream| {
                while server::read_request(&mut stream).is_some() {
                    thread::sleep(WORK);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            })
        })
        .collect();
    let program = program::start(&servers, Limits::default());
    let mut clients: Vec<TcpStream> = (0..3)
        .map(|_| {
            let mut stream = connect(program.address);
            let requests: String = (0..REQUESTS)
                .map(|_| head(Workload::Pay, &new_id(), TIMEOUT, "Content-Length: 0\r\n"))
                .collect();
            stream.write_all(requests.as_bytes()).expect("the requests are written");
            stream
        })
        .collect();
    // Each client has had its first answer, so that all its requests have been read.
    for client in &mut clients {
        assert_eq!(read_answer(client).map(|answer| answer.status), Ok(200));
    }
    kill_process(Pid::from_child(&program.child), Signal::TERM).expect("SIGTERM is sent");
    thread::scope(|scope| {
        for client in &mut clients {
            scope.spawn(move || {
                for number in 1..REQUESTS {
                    let answer = read_answer(client).unwrap_or_else(|error| panic!("{number}: {error}"));
                    assert!(matches!(answer.status, 200 | 502 | 503), "{number}: {}", answer.status);
                }
            });
        }
    });
}
