//! Workers that end unasked: one whose task panics, and one that fails. The program must hear of it at once and be able to
//! end the others.
use async_io::{block_on, Timer};
use futures_lite::future;
use oakhollow_sidecar::reactor;
use oakhollow_sidecar::workers::{
    capture_panics, run_on_this_thread, WorkerContext, WorkerFailure, WorkerPool,
};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// A worker that only waits for its end.
fn idle(hand: &WorkerContext) -> std::io::Result<()> {
    reactor::block_on(async { while hand.commands.recv().await.is_ok() {} })
}

fn lost_of(crew: &WorkerPool) -> Option<String> {
    let told = async { Some(crew.failure().await) };
    let late = async {
        Timer::after(Duration::from_secs(10)).await;
        None
    };
    block_on(future::or(told, late)).map(|WorkerFailure(why)| why)
}

#[test]
fn one_that_panics_is_told_in_one_line_and_the_others_end() {
    capture_panics();
    let begun = Instant::now();
    let crew = WorkerPool::start(3, |hand| match hand.number {
        1 => run_on_this_thread(|tasks| {
            tasks.spawn_detached(async { panic!("on\npurpose") });
            future::pending()
        }),
        _ => idle(&hand),
    });
    let crew = crew.expect("threads");
    let why = lost_of(&crew).expect("told");
    assert!(why.starts_with("worker 1 ended: panicked at ") && why.ends_with("on purpose"), "{why}");
    assert_eq!(why.lines().count(), 1);
    drop(crew);
    assert!(begun.elapsed() < Duration::from_secs(10));
}

#[test]
fn one_that_fails_is_told() {
    let crew = WorkerPool::start(2, |hand| match hand.number {
        0 => Err(ErrorKind::AddrNotAvailable.into()),
        _ => idle(&hand),
    });
    let why = lost_of(&crew.expect("threads")).expect("told");
    assert_eq!(why, "worker 0 ended: address not available");
}
