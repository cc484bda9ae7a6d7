//! The scale run: thousands of hollow instances, each with the real state machine and the real words over TCP, beside real
//! processes of the program. A hollow one carries no calls.
pub mod catalogue;
pub mod count;
pub mod day;
pub mod fit;
pub mod fleet;
pub mod link;
pub mod report;
pub mod run;
pub mod shard;
pub mod simulated;
pub mod usage;
