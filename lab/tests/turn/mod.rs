//! Tests of many processes take turns.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// One play at a time.
pub fn turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
