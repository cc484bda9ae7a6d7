//! Clients and servers that behave badly, slowly or unusually, on real sockets against a process of the program. Each test
//! names in one line the failure that it guards against.
mod client;
mod crowd;
#[path = "../process/mod.rs"]
mod process;
mod program;
mod server;

mod floods;
mod framing;
mod long_answers;
mod memory;
mod replaced_servers;
mod restarts;
mod reused_ids;
mod slow_servers;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A length of time in milliseconds.
const fn ms(length: u64) -> Duration {
    Duration::from_millis(length)
}

/// Held by tests that keep many cores busy, so that they do not disturb each other.
fn run_alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}
