//! A rig for experiments with many processes of the program `oakhollow` on loopback: stand-in servers and discoveries, a
//! relay on every link between instances, faults by script, and a judge who reads what servers and callers saw.
//! A scene is a small text file, see [`scene`].
pub mod admission;
pub mod budget;
pub mod chain;
pub mod crowd;
pub mod judge;
pub mod large_list;
pub mod play;
pub mod processes;
pub mod ramp;
pub mod relay;
pub mod replays;
pub mod restart;
pub mod scale;
pub mod scene;
pub mod shared;
pub mod soak;
pub mod stand;
pub mod stand_in;
pub mod traffic;
