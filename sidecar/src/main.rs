//! `oakhollow`: runs one sidecar with the configuration file that `RELAY_CONFIG` or the first argument names.
use clap::{Parser, Subcommand, ValueEnum};
use oakhollow_config::{KeySet, OperatorConfig, SidecarConfig};
use oakhollow_sidecar::{logging, plan_report, run, signals, workers};
use slog::warn;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A load balancer for services that call services.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The sidecar's configuration file, as the platform writes it.
    #[arg(env = "RELAY_CONFIG")]
    file: Option<PathBuf>,
    /// The operator's own file; see deploy/oakhollow.toml.
    #[arg(long, env = "OAKHOLLOW_OPERATOR", value_name = "FILE")]
    operator: Option<PathBuf>,
    /// The least severe level that is logged.
    #[arg(long, env = "OAKHOLLOW_LOG_LEVEL", value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogLevel {
    /// Changes of state, errors and broken rules.
    Info,
    /// Also every transition of each request, connection and attempt, and of the watch of the list.
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
    /// Evaluates the plan for the loss of sites and prints a report.
    Plan {
        /// The operator's file.
        file: PathBuf,
        /// A lost site; may be repeated. Without it: no loss, each single and each double loss.
        #[arg(long)]
        lost: Vec<String>,
        /// The offered load, as a share of the peak.
        #[arg(long, default_value_t = 1.0)]
        part: f64,
    },
}

fn plan(file: &Path, lost: &[String], part: f64) -> Result<(), String> {
    let plan = OperatorConfig::from_file(file, cores())?.site_plan();
    let plan = plan.ok_or_else(|| format!("{}: plan: missing", file.display()))?;
    print!("{}", plan_report::report(&plan, lost, part)?);
    Ok(())
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

fn serve(args: Args) -> Result<(), String> {
    // Before anything is read, so that a signal that arrives meanwhile waits and does not kill the process.
    let control = signals().map_err(|error| format!("signals: {error}"))?;
    let path = args.file.ok_or("RELAY_CONFIG: not set, and no file was named")?;
    let operator =
        args.operator.map(|path| OperatorConfig::from_file(&path, cores())).transpose()?.unwrap_or_default();
    let config = SidecarConfig::from_file(&path)?;
    let reload_config = |previous: &KeySet| SidecarConfig::from_replacement_file(previous, &path);
    let (log, _flush) = logging::to_stderr(&config.name, args.log_level.into());
    if let Some(plan) = operator.site_plan() {
        plan_report::single_loss_warnings(&plan)
            .iter()
            .for_each(|warning| warn!(log, "the plan does not hold {}", warning));
    }
    workers::capture_panics();
    run(config, operator, reload_config, log, control)
}

fn main() -> ExitCode {
    let args = Args::parse();
    let result = match &args.command {
        Some(Command::Plan { file, lost, part }) => plan(file, lost, *part),
        None => serve(args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oakhollow: {error}");
            ExitCode::FAILURE
        }
    }
}
