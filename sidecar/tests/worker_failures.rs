//! Workers that end unexpectedly, by a panic in a task or by an error. The failure must be reported at once, and the
//! other workers must then be able to end.
use async_io::{block_on, Timer};
use futures_lite::future;
use oakhollow_sidecar::reactor;
use oakhollow_sidecar::workers::{
    capture_panics, run_on_this_thread, WorkerContext, WorkerFailure, WorkerPool,
};
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// A worker that does nothing until its command channel is closed.
fn idle(context: &WorkerContext) -> std::io::Result<()> {
    reactor::block_on(async { while context.commands.recv().await.is_ok() {} })
}

/// Waits 10 s for a worker to fail, and returns the message.
fn wait_for_failure(pool: &WorkerPool) -> Option<String> {
    let failure = async { Some(pool.failure().await) };
    let timeout = async {
        Timer::after(Duration::from_secs(10)).await;
        None
    };
    block_on(future::or(failure, timeout)).map(|WorkerFailure(message)| message)
}

#[test]
fn a_panic_is_reported_in_one_line_and_the_other_workers_end() {
    capture_panics();
    let start = Instant::now();
    let pool = WorkerPool::start(3, |context| match context.number {
        1 => run_on_this_thread(|tasks| {
            tasks.spawn_detached(async { panic!("on\npurpose") });
            future::pending()
        }),
        _ => idle(&context),
    });
    let pool = pool.expect("threads");
    let message = wait_for_failure(&pool).expect("a failure");
    assert!(
        message.starts_with("worker 1 ended: panicked at ") && message.ends_with("on purpose"),
        "{message}"
    );
    assert_eq!(message.lines().count(), 1);
    drop(pool);
    assert!(start.elapsed() < Duration::from_secs(10));
}

#[test]
fn an_error_of_a_worker_is_reported() {
    let pool = WorkerPool::start(2, |context| match context.number {
        0 => Err(ErrorKind::AddrNotAvailable.into()),
        _ => idle(&context),
    });
    let message = wait_for_failure(&pool.expect("threads")).expect("a failure");
    assert_eq!(message, "worker 0 ended: address not available");
}
