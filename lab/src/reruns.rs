//! A scene without a figure is played again, alone; one with a figure never is, whatever that says.
use crate::admission::{Admission, Millicores};
use crate::scene_runner::RunError;
use std::io::Write;

/// How often one is played again.
pub const MAX_RERUNS: usize = 3;

/// Plays as soon as there is room, and again alone while there is no figure. Each of these is said on standard error, past
/// a test's capture of it.
pub fn run_admitted<T>(
    admission: &Admission, demand: Millicores, name: &str, mut play: impl FnMut() -> Result<T, RunError>,
) -> Result<T, RunError> {
    let mut played = {
        let _admitted = admission.admit(demand);
        play()
    };
    for replay in 1..=MAX_RERUNS {
        let Err(RunError::Inconclusive { .. }) = &played else { break };
        say(name, &played, &format!("played again alone, {replay} of {MAX_RERUNS}"));
        let _admitted = admission.admit_exclusively();
        played = play();
    }
    if let Err(RunError::Inconclusive { .. }) = &played {
        say(name, &played, "not played again");
    }
    played
}

fn say<T>(name: &str, played: &Result<T, RunError>, then: &str) {
    let why = played.as_ref().err().map(RunError::to_string).unwrap_or_default();
    let _ = writeln!(std::io::stderr(), "{name}: {why}; {then}");
}
