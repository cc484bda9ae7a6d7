//! `oakhollow`: one sidecar, started with the file that `RELAY_CONFIG` or the first argument names.
use oakhollow_sidecar::{logging, run, signals};
use oakhollow_terms::Start;
use std::process::ExitCode;

fn main() -> ExitCode {
    let told = std::env::args_os().nth(1).or(std::env::var_os("RELAY_CONFIG"));
    let path = told.ok_or_else(|| "RELAY_CONFIG: not set, and no file was named".to_string());
    let ended = path.and_then(|path| {
        let read = || Start::from_file(path.as_ref());
        let start = read()?;
        let (log, listen) = (logging::to_stderr(&start.name), start.listen);
        let ended = signals().and_then(|words| run(start, read, log, words));
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
