//! Fault injection for the system calls of a process under test. The library of the example `faulty_calls`,
//! loaded into the process by `LD_PRELOAD`, makes calls fail at the rates in a control block and counts each
//! fault there. [`Faults`] is the harness's side of the control block.
#![warn(missing_docs)]
mod control;
mod layout;

pub use control::{library_path, Faults};
pub use layout::{FaultKind, ALWAYS, CLOCK_OFFSET_WORD, CLOCK_READ_COUNT_WORD, CONTROL_VARIABLE, WORD_COUNT};
