//! Runs a scene again, alone, if its run was inconclusive. A conclusive run is never repeated, whatever its result.
use crate::admission::{Admission, Millicores};
use crate::scene_runner::RunError;
use std::io::Write;

/// How often a scene is run again.
pub const MAX_RERUNS: usize = 3;

/// Runs a scene as soon as it is admitted, and again alone while its run is inconclusive. Reports each inconclusive
/// run on standard error, past a test's capture of it.
pub fn run_admitted<T>(
    admission: &Admission, demand: Millicores, name: &str, mut run: impl FnMut() -> Result<T, RunError>,
) -> Result<T, RunError> {
    let mut result = {
        let _permit = admission.admit(demand);
        run()
    };
    for number in 1..=MAX_RERUNS {
        let Err(RunError::Inconclusive { .. }) = &result else { break };
        report(name, &result, &format!("run again alone, {number} of {MAX_RERUNS}"));
        let _permit = admission.admit_exclusively();
        result = run();
    }
    if let Err(RunError::Inconclusive { .. }) = &result {
        report(name, &result, "not run again");
    }
    result
}

fn report<T>(name: &str, result: &Result<T, RunError>, next_step: &str) {
    let reason = result.as_ref().err().map(RunError::to_string).unwrap_or_default();
    let _ = writeln!(std::io::stderr(), "{name}: {reason}; {next_step}");
}
