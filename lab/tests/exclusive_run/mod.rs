//! Mutual exclusion of tests that start many processes.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Waits until no other test of this binary holds the guard.
pub fn exclusive() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}
