//! Run-time checks of what a sidecar guarantees to its clients and servers. [`Guard`] receives typed
//! [`Event`]s in the order in which they happen, each with its time, and decides whether an attempt may be
//! started and whether its first byte may be written. A broken [`Rule`] is reported as a [`Violation`] with
//! the ids and the last transitions of its request.
//!
//! The guard has no I/O, clock or threads, so tests can replay any sequence of events. It makes none of the
//! decisions of the decision module: it keeps a second, independent record of each request, from events
//! alone, so that a code path that breaks a guarantee is detected.
#![warn(missing_docs)]
mod budget;
mod event;
mod guard;
mod permit;
mod request;
mod rule;
mod server;

pub use budget::RetryBudget;
pub use event::{AnswerKind, CloseReason, Event, RepeatSafety, Transition};
pub use guard::{Guard, Limits};
pub use permit::{AttemptPermit, Denial, SendConditions, SendPermit};
pub use rule::{Rule, Violation};
pub use server::Location;
