//! A test bench that runs many processes of the program `oakhollow` on loopback.
//!
//! - Scenes ([`scene`], [`scene_runner`], [`checker`]): scripted fault injection between instances of the lease
//!   protocol
//! - [`soak`]: random faults on dozens of processes, drawn from a seed
//! - [`slow_start`], [`restart`], [`discovery_recovery`], [`large_list`]: single cases with many processes or large
//!   lists
//! - [`chain`], [`scale`], [`traffic`]: what the program costs, by measurement or simulation
//! - [`harness`], [`processes`], [`fakes`], [`relay`]: what all of these share
pub mod admission;
pub mod chain;
pub mod checker;
pub mod discovery_recovery;
pub mod fake_sidecar;
pub mod fakes;
pub mod harness;
pub mod large_list;
pub mod processes;
pub mod relay;
pub mod reruns;
pub mod restart;
pub mod scale;
pub mod scene;
pub mod scene_runner;
pub mod slow_start;
pub mod slow_start_limit;
pub mod soak;
pub mod traffic;
