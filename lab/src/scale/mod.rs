//! The scale run: thousands of simulated instances together with real processes of the program. A simulated instance
//! runs the real lease holder and exchanges its real messages over TCP, but forwards no requests.
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
