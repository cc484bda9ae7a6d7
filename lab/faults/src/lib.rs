//! System calls that fail in one process under test. The library of the example `faulty_calls`, loaded into that process by
//! `LD_PRELOAD`, fails them as a control block says and counts each failure there; [`Faults`] is the rig's side of the block.
#![warn(missing_docs)]
mod control;
mod layout;

pub use control::{library, Faults};
pub use layout::{FaultKind, ALWAYS, CLOCK_COUNT_WORD, CLOCK_WORD, CONTROL_VARIABLE, WORDS};
