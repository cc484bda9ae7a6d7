//! A rig for experiments with many processes of the program `oakhollow` on loopback: stand-in servers and discoveries, a
//! relay on every link between instances, faults by script, and a judge who reads what servers and callers saw.
//! A scene is a small text file, see [`scene`].
pub mod admission;
pub mod chain;
pub mod checker;
pub mod discovery_recovery;
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
pub mod stand_in;
pub mod traffic;
