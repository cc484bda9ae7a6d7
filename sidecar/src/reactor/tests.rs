//! Tests of the reactor on loopback sockets.
use super::poll::{Reactor, MAX_EVENT_AGE};
use super::*;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A socket of the reactor and its peer.
fn pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("connects");
    (Async::from_stream(listener.accept().expect("accepted").0).expect("registered"), peer)
}

#[test]
fn the_end_of_the_stream_after_bytes_is_read() {
    let (socket, mut peer) = pair();
    peer.write_all(b"abc").expect("written");
    peer.shutdown(std::net::Shutdown::Write).expect("shut");
    let read = block_on(async {
        let (mut buffer, mut counts) = ([0; 64], Vec::new());
        while counts.last() != Some(&0) {
            counts.push((&socket).read(&mut buffer).await.expect("read"));
        }
        counts
    });
    assert_eq!(read.expect("a reactor"), [3, 0]);
}

#[test]
fn the_peers_end_is_seen_behind_unread_bytes_and_on_a_new_connection() {
    let (socket, mut peer) = pair();
    peer.write_all(b"abc").expect("written");
    let soon = async { _ = Timer::after(Duration::from_millis(20)).await };
    block_on(soon).expect("a reactor");
    assert!(!socket.has_ended());
    peer.shutdown(std::net::Shutdown::Write).expect("shut");
    block_on(socket.ended()).expect("a reactor");
    // The end that came before the first read is known after it.
    let (socket, mut peer) = pair();
    peer.write_all(b"abc").expect("written");
    drop(peer);
    let read =
        block_on(async { (&socket).read(&mut [0; 64]).await.map(|count| (count, socket.has_ended())) });
    assert_eq!(read.expect("a reactor").expect("read"), (3, true));
}

#[test]
fn an_end_since_the_last_poll_is_seen() {
    let (socket, peer) = pair();
    block_on(async { _ = Timer::after(Duration::from_millis(20)).await }).expect("a reactor");
    let end = socket.peer_end();
    assert!(!end.has_ended());
    drop(peer);
    std::thread::sleep(MAX_EVENT_AGE);
    assert!(!socket.has_ended() && end.has_ended() && socket.has_ended());
}

#[test]
fn more_data_than_the_socket_buffers_hold_goes_through() {
    let (socket, mut peer) = pair();
    let sent: Vec<u8> = (0..8_000_000_u32).map(|at| at as u8).collect();
    let echo = std::thread::spawn(move || {
        let (mut got, mut buffer) = (Vec::new(), [0; 5000]);
        while got.len() < 8_000_000 {
            let count = peer.read(&mut buffer).expect("read");
            got.extend_from_slice(&buffer[..count]);
        }
        peer.write_all(&got).expect("written");
        got
    });
    let back = block_on(async {
        (&socket).write_all(&sent).await.expect("written");
        let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
        while got.len() < sent.len() {
            let count = (&socket).read(&mut buffer).await.expect("read");
            got.extend_from_slice(&buffer[..count]);
        }
        got
    });
    assert!(back.expect("a reactor") == sent && echo.join().expect("ended") == sent);
}

#[test]
fn a_dropped_or_moved_timer_does_not_fire() {
    let started = Instant::now();
    let result = block_on(async {
        let mut moved = Timer::after(Duration::from_millis(5));
        let first = future::or(async { _ = (&mut moved).await }, future::ready(())).await;
        moved.set_at(started + Duration::from_millis(60));
        let moved_timer = moved;
        let dropped = async { Timer::after(Duration::from_secs(60)).await };
        (first, future::or(async { _ = moved_timer.await }, async { _ = dropped.await }).await)
    });
    let _ = result.expect("a reactor");
    assert!(started.elapsed() >= Duration::from_millis(60) && started.elapsed() < Duration::from_secs(30));
    let left = Reactor::current().expect("a reactor").timers.borrow().len();
    assert_eq!(left, 0);
}

#[test]
fn another_thread_wakes_a_sleeping_one() {
    let (sender, receiver) = async_channel::bounded(1);
    let other = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(30));
        sender.send_blocking(7).expect("heard");
    });
    assert_eq!(block_on(receiver.recv()).expect("a reactor"), Ok(7));
    other.join().expect("ended");
}

/// How often this thread has called `write`, as the kernel counts it. Calls of `send` are not counted.
fn write_calls() -> u64 {
    let io = std::fs::read_to_string("/proc/thread-self/io").expect("the thread's I/O counters");
    io.lines().find_map(|line| line.strip_prefix("syscw: ")?.parse().ok()).expect("a number")
}

#[test]
fn a_thread_that_is_awake_does_not_write_to_its_own_eventfd() {
    let before = write_calls();
    let timers = async {
        for _ in 0..50 {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    block_on(timers).expect("a reactor");
    let woken = write_calls() - before;
    assert!(woken < 5, "{woken} writes for 50 timers");
}

#[test]
fn a_refused_connection_is_reported() {
    let unused = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port");
    let error = block_on(Async::<TcpStream>::connect(unused)).expect("a reactor").err();
    assert_eq!(error.expect("nobody listens").kind(), ErrorKind::ConnectionRefused);
}

/// Guards against bytes that waited in the kernel and count as having just come because others were read before them.
#[test]
fn bytes_that_waited_unread_keep_their_age_also_after_a_partial_read() {
    const WAIT: Duration = Duration::from_millis(100);
    /// The kernel counts in steps of a few milliseconds.
    const RESOLUTION: Duration = Duration::from_millis(20);
    let (socket, mut peer) = pair();
    block_on(async {
        // The first round finds a new socket, the second one that has been read from.
        for round in 0..2 {
            peer.write_all(b"12345678").expect("written");
            let written_at = Instant::now();
            std::thread::sleep(WAIT);
            for part in 0..2 {
                (&socket).read(&mut [0; 4]).await.expect("read");
                let late = socket.last_bytes_came_at().saturating_duration_since(written_at);
                assert!(late <= RESOLUTION, "round {round}, part {part}: {late:?} after they came");
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    })
    .expect("a reactor");
}
