//! What tests of many processes share.
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The program, which the workspace's tests build beside ours.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("this test's path");
    let program = own.ancestors().nth(2).expect("the build's folder").join("oakhollow");
    assert!(program.exists(), "no {}: cargo test --workspace builds it", program.display());
    program
}

/// One play at a time.
pub fn turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
