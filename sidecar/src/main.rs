//! `oakhollow`: one sidecar, started with the file that `RELAY_CONFIG` or the first argument names.
use oakhollow_sidecar::{logging, run, told_to_stop};
use oakhollow_terms::Start;
use std::process::ExitCode;

fn main() -> ExitCode {
    let told = std::env::args_os().nth(1).or(std::env::var_os("RELAY_CONFIG"));
    let path = told.ok_or_else(|| "RELAY_CONFIG: not set, and no file was named".to_string());
    let start = path.and_then(|path| Start::from_file(path.as_ref()));
    let ended = start.and_then(|start| {
        let (log, listen) = (logging::to_stderr(&start.name), start.listen);
        let ended = told_to_stop().and_then(|stop| run(start, log, stop));
        ended.map_err(|fault| format!("listen: {listen}: {fault}"))
    });
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("oakhollow: {fault}");
            ExitCode::FAILURE
        }
    }
}
