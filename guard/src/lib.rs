//! Run-time checks of what a sidecar owes its clients and servers. [`Guard`] is fed typed [`Event`]s in the order in which they
//! happen, with the time of each, and answers whether an attempt may be started and its first byte written. What breaks a
//! [`Rule`] comes back as a [`Violation`], with the ids and the last transitions of its request.
//!
//! Nothing here has I/O, a clock or threads: a test plays any sequence of events. The guard decides nothing that the decision
//! module decides; it holds a second record of what was promised, made from events alone, so that a path which forgets a
//! promise is seen.
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
