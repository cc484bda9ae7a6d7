//! `oakhollow`: one sidecar, started with the file that `RELAY_CONFIG` or the first argument names.
use clap::Parser;
use oakhollow_sidecar::{logging, run, signals, workers};
use oakhollow_terms::{Operator, Shape, Start};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load balancer for services that call services.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// The sidecar's file, as the platform writes it.
    #[arg(env = "RELAY_CONFIG")]
    file: Option<PathBuf>,
    /// The operator's own file; see deploy/oakhollow.toml.
    #[arg(long, env = "OAKHOLLOW_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn serve(args: Args) -> Result<(), String> {
    let path = args.file.ok_or("RELAY_CONFIG: not set, and no file was named")?;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let operator =
        args.operator.map(|path| Operator::from_file(&path, cores)).transpose()?.unwrap_or_default();
    let start = Start::from_file(&path)?;
    let read = |before: &Shape| Start::after(before, &path);
    let log = logging::to_stderr(&start.name);
    let words = signals().map_err(|fault| format!("signals: {fault}"))?;
    workers::keep_panics();
    run(start, operator, read, log, words)
}

fn main() -> ExitCode {
    match serve(Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("oakhollow: {fault}");
            ExitCode::FAILURE
        }
    }
}
