//! A scene without a figure is played again, alone; one with a figure never is, whatever that says.
use crate::admission::{Admission, Millicores};
use crate::play::NoReport;
use std::io::Write;

/// How often one is played again.
pub const REPLAYS: usize = 3;

/// Plays as soon as there is room, and again alone while there is no figure. Each of these is said on standard error, past
/// a test's capture of it.
pub fn play_admitted<T>(
    admission: &Admission, demand: Millicores, name: &str, mut play: impl FnMut() -> Result<T, NoReport>,
) -> Result<T, NoReport> {
    let mut played = {
        let _admitted = admission.admit(demand);
        play()
    };
    for replay in 1..=REPLAYS {
        let Err(NoReport::NoFigure { .. }) = &played else { break };
        say(name, &played, &format!("played again alone, {replay} of {REPLAYS}"));
        let _admitted = admission.alone();
        played = play();
    }
    if let Err(NoReport::NoFigure { .. }) = &played {
        say(name, &played, "not played again");
    }
    played
}

fn say<T>(name: &str, played: &Result<T, NoReport>, then: &str) {
    let why = played.as_ref().err().map(NoReport::to_string).unwrap_or_default();
    let _ = writeln!(std::io::stderr(), "{name}: {why}; {then}");
}
