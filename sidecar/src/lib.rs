//! The oakhollow sidecar on sockets. [`run`] is one sidecar from its start to its end; the program `oakhollow`
//! only reads its file and calls it. The decisions are those of the crate `oakhollow`: one task ([`decider`])
//! owns them, and the protocol ([`http1`]) reaches it through a queue.
pub mod decider;
pub mod http1;
pub mod logging;
pub mod phases;
pub mod roster;
pub mod tasks;
pub mod timers;

pub use phases::{run, signals, Word};
