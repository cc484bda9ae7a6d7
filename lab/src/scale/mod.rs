//! The scale run: thousands of simulated instances, each with the real lease state machine and the real messages over
//! TCP, beside real processes of the program. Simulated instances carry no requests.
pub mod catalogue;
pub mod count;
pub mod fit;
pub mod fleet;
pub mod link;
pub mod report;
pub mod run;
pub mod scenario;
pub mod shard;
pub mod simulated;
pub mod usage;
