//! A reactor per thread, for the sockets and timers of that thread alone. Each socket is registered once,
//! edge-triggered, and its tasks are woken without a lock or another thread. async-io, in contrast, has one reactor
//! for all threads and registers a socket anew for each wait; `docs/scale.md` has the difference in cost. Names
//! shared with async-io mean the same.
mod poll;
mod readiness;
mod socket;
mod socket_memory;
mod tcp_info;
#[cfg(test)]
mod tests;
mod timer;

pub use poll::block_on;
pub use socket::{Async, PeerEnd};
pub use timer::Timer;
