//! Workers that end unexpectedly: one whose task panics, and one that fails. The program must learn of it at once
//! and be able to end the others.
use async_io::{block_on, Timer};
use futures_lite::future;
use oakhollow_sidecar::reactor;
use oakhollow_sidecar::workers::{
    capture_panics, run_on_this_thread, WorkerContext, WorkerFailure, WorkerPool,
};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// A worker that does nothing until it is ended.
fn idle(context: &WorkerContext) -> std::io::Result<()> {
    reactor::block_on(async { while context.commands.recv().await.is_ok() {} })
}

fn failure_of(pool: &WorkerPool) -> Option<String> {
    let failed = async { Some(pool.failure().await) };
    let late = async {
        Timer::after(Duration::from_secs(10)).await;
        None
    };
    block_on(future::or(failed, late)).map(|WorkerFailure(why)| why)
}

#[test]
fn a_panic_is_reported_in_one_line_and_the_other_workers_end() {
    capture_panics();
    let begun = Instant::now();
    let pool = WorkerPool::start(3, |context| match context.number {
        1 => run_on_this_thread(|tasks| {
            tasks.spawn_detached(async { panic!("on\npurpose") });
            future::pending()
        }),
        _ => idle(&context),
    });
    let pool = pool.expect("threads");
    let why = failure_of(&pool).expect("a failure");
    assert!(why.starts_with("worker 1 ended: panicked at ") && why.ends_with("on purpose"), "{why}");
    assert_eq!(why.lines().count(), 1);
    drop(pool);
    assert!(begun.elapsed() < Duration::from_secs(10));
}

#[test]
fn a_failure_is_reported() {
    let pool = WorkerPool::start(2, |context| match context.number {
        0 => Err(ErrorKind::AddrNotAvailable.into()),
        _ => idle(&context),
    });
    let why = failure_of(&pool.expect("threads")).expect("a failure");
    assert_eq!(why, "worker 0 ended: address not available");
}
