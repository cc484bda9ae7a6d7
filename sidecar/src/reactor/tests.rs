//! Tests of the reactor on sockets of this machine.
use super::poll::{Reactor, FRESH};
use super::*;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("connects");
    (Async::from_stream(listener.accept().expect("accepted").0).expect("registered"), one)
}

#[test]
fn an_end_behind_bytes_is_told() {
    let (here, mut there) = pair();
    there.write_all(b"abc").expect("written");
    there.shutdown(std::net::Shutdown::Write).expect("shut");
    let read = block_on(async {
        let (mut buffer, mut counts) = ([0; 64], Vec::new());
        while counts.last() != Some(&0) {
            counts.push((&here).read(&mut buffer).await.expect("read"));
        }
        counts
    });
    assert_eq!(read.expect("a reactor"), [3, 0]);
}

#[test]
fn an_end_is_seen_behind_bytes_that_nobody_reads_and_on_one_just_taken_in() {
    let (here, mut there) = pair();
    there.write_all(b"abc").expect("written");
    let soon = async { _ = Timer::after(Duration::from_millis(20)).await };
    block_on(soon).expect("a reactor");
    assert!(!here.has_ended());
    there.shutdown(std::net::Shutdown::Write).expect("shut");
    block_on(here.ended()).expect("a reactor");
    // The first read of one that came with its end finds that told.
    let (here, mut there) = pair();
    there.write_all(b"abc").expect("written");
    drop(there);
    let read = block_on(async { (&here).read(&mut [0; 64]).await.map(|count| (count, here.has_ended())) });
    assert_eq!(read.expect("a reactor").expect("read"), (3, true));
}

#[test]
fn an_end_is_seen_that_came_since_the_machine_was_asked() {
    let (here, there) = pair();
    block_on(async { _ = Timer::after(Duration::from_millis(20)).await }).expect("a reactor");
    let end = here.peer_end();
    assert!(!end.has_come());
    drop(there);
    std::thread::sleep(FRESH);
    assert!(!here.has_ended() && end.has_come() && here.has_ended());
}

#[test]
fn more_than_the_buffer_and_more_than_the_machine_holds_goes_through() {
    let (here, mut there) = pair();
    let sent: Vec<u8> = (0..8_000_000_u32).map(|at| at as u8).collect();
    let echo = std::thread::spawn(move || {
        let (mut got, mut buffer) = (Vec::new(), [0; 5000]);
        while got.len() < 8_000_000 {
            let count = there.read(&mut buffer).expect("read");
            got.extend_from_slice(&buffer[..count]);
        }
        there.write_all(&got).expect("written");
        got
    });
    let back = block_on(async {
        (&here).write_all(&sent).await.expect("written");
        let (mut got, mut buffer) = (Vec::new(), [0; 4096]);
        while got.len() < sent.len() {
            let count = (&here).read(&mut buffer).await.expect("read");
            got.extend_from_slice(&buffer[..count]);
        }
        got
    });
    assert!(back.expect("a reactor") == sent && echo.join().expect("ended") == sent);
}

#[test]
fn a_timer_that_is_dropped_or_moved_rings_no_more() {
    let begun = Instant::now();
    let order = block_on(async {
        let mut moved = Timer::after(Duration::from_millis(5));
        let first = future::or(async { _ = (&mut moved).await }, future::ready(())).await;
        moved.set_at(begun + Duration::from_millis(60));
        let late = moved;
        let lost = async { Timer::after(Duration::from_secs(60)).await };
        (first, future::or(async { _ = late.await }, async { _ = lost.await }).await)
    });
    let _ = order.expect("a reactor");
    assert!(begun.elapsed() >= Duration::from_millis(60) && begun.elapsed() < Duration::from_secs(30));
    let left = Reactor::here().expect("a reactor").timers.borrow().len();
    assert_eq!(left, 0);
}

#[test]
fn another_thread_wakes_one_that_sleeps() {
    let (sender, told) = async_channel::bounded(1);
    let other = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(30));
        sender.send_blocking(7).expect("heard");
    });
    assert_eq!(block_on(told.recv()).expect("a reactor"), Ok(7));
    other.join().expect("ended");
}

/// What the kernel counts of this thread's calls of `write`; those of `send` are not among them.
fn writes() -> u64 {
    let io = std::fs::read_to_string("/proc/thread-self/io").expect("the kernel tells");
    io.lines().find_map(|line| line.strip_prefix("syscw: ")?.parse().ok()).expect("a count")
}

#[test]
fn a_thread_that_is_awake_rings_no_bell_for_itself() {
    let before = writes();
    let timers = async {
        for _ in 0..50 {
            Timer::after(Duration::from_millis(1)).await;
        }
    };
    block_on(timers).expect("a reactor");
    let woken = writes() - before;
    assert!(woken < 5, "{woken} writes for 50 timers");
}

#[test]
fn nobody_there_is_told() {
    let free = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port");
    let fault = block_on(Async::<TcpStream>::connect(free)).expect("a reactor").err();
    assert_eq!(fault.expect("nobody listens").kind(), ErrorKind::ConnectionRefused);
}
