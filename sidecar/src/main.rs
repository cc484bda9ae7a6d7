//! `oakhollow`: runs one sidecar with the configuration file that `RELAY_CONFIG` or the first argument names.
use clap::{Parser, Subcommand, ValueEnum};
use oakhollow_sidecar::{logging, planned, run, signals, workers};
use oakhollow_terms::{KeySet, OperatorConfig, SidecarConfig};
use slog::warn;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A load balancer for services that call services.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The sidecar's file, as the platform writes it.
    #[arg(env = "RELAY_CONFIG")]
    file: Option<PathBuf>,
    /// The operator's own file; see deploy/oakhollow.toml.
    #[arg(long, env = "OAKHOLLOW_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    /// What is logged.
    #[arg(long, env = "OAKHOLLOW_LOG_LEVEL", value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

/// What is logged.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogLevel {
    /// Changes of mode, faults and broken rules.
    Info,
    /// Every transition of every request, connection, attempt and the watch besides.
    Debug,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> slog::Level {
        match level {
            LogLevel::Info => slog::Level::Info,
            LogLevel::Debug => slog::Level::Debug,
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Prints what the plan for the loss of sites comes to.
    Plan {
        /// The operator's file.
        file: PathBuf,
        /// A site that is lost; may stand several times. Without it: none, each and each two.
        #[arg(long)]
        lost: Vec<String>,
        /// The part of the load at peak that is offered.
        #[arg(long, default_value_t = 1.0)]
        part: f64,
    },
}

fn plan(file: &Path, lost: &[String], part: f64) -> Result<(), String> {
    let plan = OperatorConfig::from_file(file, cores())?.site_plan();
    let plan = plan.ok_or_else(|| format!("{}: plan: missing", file.display()))?;
    print!("{}", planned::report(&plan, lost, part)?);
    Ok(())
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

fn serve(args: Args) -> Result<(), String> {
    // Before anything is read, so that a signal that arrives meanwhile waits and does not kill the process.
    let words = signals().map_err(|fault| format!("signals: {fault}"))?;
    let path = args.file.ok_or("RELAY_CONFIG: not set, and no file was named")?;
    let operator =
        args.operator.map(|path| OperatorConfig::from_file(&path, cores())).transpose()?.unwrap_or_default();
    let start = SidecarConfig::from_file(&path)?;
    let read = |before: &KeySet| SidecarConfig::from_replacement_file(before, &path);
    let (log, _flush) = logging::to_stderr(&start.name, args.log_level.into());
    if let Some(plan) = operator.site_plan() {
        planned::doubts(&plan).iter().for_each(|doubt| warn!(log, "the plan does not hold {}", doubt));
    }
    workers::capture_panics();
    run(start, operator, read, log, words)
}

fn main() -> ExitCode {
    let args = Args::parse();
    let done = match &args.command {
        Some(Command::Plan { file, lost, part }) => plan(file, lost, *part),
        None => serve(args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("oakhollow: {fault}");
            ExitCode::FAILURE
        }
    }
}
