//! Sockets and timers of one thread, for that thread alone: each socket is registered once, edge by edge, and wakes whoever
//! waits for it without a lock or another thread. It stands beside async-io, whose one reactor is shared by all threads and
//! registers a socket anew for each wait; `docs/scale.md` has the measured difference. Where the names are async-io's they
//! mean the same.
mod poll;
mod readiness;
mod socket;
#[cfg(test)]
mod tests;
mod timer;

pub use poll::block_on;
pub use socket::{Async, PeerEnd};
pub use timer::Timer;
