//! `oakhollow-lab`: runs scenes, soak tests and measurements with many processes of the program.
use clap::{Parser, Subcommand};
use oakhollow_config::Scope;
use oakhollow_lab::admission::{cpu_seconds_used, estimated_demand};
use oakhollow_lab::chain;
use oakhollow_lab::fake_sidecar::{run as run_fake_sidecar, Behaviour};
use oakhollow_lab::scale::catalogue::FleetShape;
use oakhollow_lab::scale::report;
use oakhollow_lab::scale::run::{run_step, Plan};
use oakhollow_lab::scale::scenario::Scenario;
use oakhollow_lab::scene::Scene;
use oakhollow_lab::scene_runner::{self, run_scene, RunOptions};
use oakhollow_lab::soak;
use oakhollow_lab::soak::disruption::Disruption;
use oakhollow_lab::traffic::{measure, Report};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Tests many processes of oakhollow with injected faults.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs scenes; the exit code is not 0 if an expectation does not hold.
    Play {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Delays each action by up to 0.1 s; 0 for no delays.
        #[arg(long, default_value_t = 0)]
        seed: u64,
        /// Prints the figures as JSON, one object a line.
        #[arg(long)]
        json: bool,
        /// Runs the sidecars without `[accord]`, each on its own file alone.
        #[arg(long)]
        alone: bool,
        /// The program under test; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Prints the sidecars' logs.
        #[arg(long)]
        logs: bool,
    },
    /// Runs dozens of processes with two or three faults at a time, drawn from a seed; the exit code is not 0 if a
    /// rule is broken.
    Soak(Soak),
    /// Simulates the traffic of the lease protocol, and how long a change takes, in one process.
    Traffic {
        /// How many instances; each number is simulated by itself.
        #[arg(default_values_t = [10, 100, 300, 1000])]
        instances: Vec<usize>,
        /// The longest that two instances may act on different settings, in seconds.
        #[arg(long, default_value_t = 2.0)]
        within: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures what thousands of simulated instances cost the real lease servers and sidecars, and how the cost
    /// grows. The exit code is not 0 if a phase gave no figure.
    Scale(Scale),
    /// Measures the latency that a chain of sidecars adds, and how many requests reach its last tier while that is
    /// slow.
    Chain {
        /// How many tiers, each with a sidecar in front; each number is measured by itself.
        #[arg(long, value_delimiter = ',', default_values_t = [1, 9], value_parser = clap::value_parser!(u16).range(1..=50))]
        depth: Vec<u16>,
        /// Requests a second, sent when they are due, whether or not earlier ones were answered.
        #[arg(long, default_value_t = 105.0, value_parser = positive)]
        rate: f64,
        /// How many pairs of rounds, one with and one without the sidecars.
        #[arg(long, default_value_t = 8)]
        pairs: usize,
        /// How long each round takes, in seconds.
        #[arg(long, default_value_t = 2.0, value_parser = positive)]
        seconds: f64,
        /// How many servers each tier has.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=100))]
        servers: u16,
        /// A pair with a larger share of requests that go out over 5 ms late gives no figure.
        #[arg(long, default_value_t = 0.01)]
        late_share: f64,
        /// How long an answer takes in the slow round, and one in 20 ten times as long; 0 for no slow round.
        #[arg(long, default_value_t = 20)]
        slow_ms: u64,
        /// How long the slow round takes, in seconds.
        #[arg(long, default_value_t = 6.0, value_parser = positive)]
        slow_seconds: f64,
        /// The share of requests that each tier may add by retries, for the calculated bound.
        #[arg(long, default_value_t = 0.05)]
        budget: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints the figures as JSON, one object a line.
        #[arg(long)]
        json: bool,
        /// The program under test; by default the one in this program's folder.
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Runs the stand-in for a sidecar, in a scene.
    #[command(name = "stand-in", hide = true)]
    FakeSidecar {
        how: Behaviour,
        file: PathBuf,
        #[arg(long)]
        operator: PathBuf,
    },
}

#[derive(clap::Args)]
struct Scale {
    /// How many simulated instances; one run for each number.
    #[arg(long, value_delimiter = ',', default_values_t = [250, 500, 1_000, 2_000, 4_000])]
    steps: Vec<usize>,
    /// What happens in a run.
    #[arg(long, default_value = "rest")]
    day: Scenario,
    /// The longest that two instances may act on different settings, in seconds.
    #[arg(long, default_value_t = 13.0)]
    within: f64,
    /// Each instance subscribes to the servers of its own list alone.
    #[arg(long)]
    listed: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 400)]
    services: usize,
    /// How many servers each service has.
    #[arg(long, default_value_t = 16)]
    servers: usize,
    #[arg(long, default_value_t = 7)]
    zones: usize,
    /// How many services an instance calls.
    #[arg(long, default_value_t = 6)]
    calls: usize,
    /// How many real sidecars carry requests.
    #[arg(long, default_value_t = 2)]
    sidecars: usize,
    /// Requests a second to each of these.
    #[arg(long, default_value_t = 105.0)]
    rate: f64,
    /// How many threads run the simulated instances.
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Aborts a run once all processes together hold this many GB of memory.
    #[arg(long, default_value_t = 10.0)]
    memory: f64,
    /// The number of instances for which figures are extrapolated.
    #[arg(long, default_value_t = 6_500)]
    reckon: usize,
    /// Prints the figures as JSON, one object a line.
    #[arg(long)]
    json: bool,
    /// The program under test; by default the one in this program's folder.
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(clap::Args)]
struct Soak {
    /// The seed of the timetable and all other random choices; the first, where there are several.
    #[arg(long)]
    seed: u64,
    /// How many seeds are run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How many processes run.
    #[arg(long, default_value_t = 36)]
    processes: usize,
    /// How long faults are injected, in seconds.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// A kind of fault that is left out; may be given several times.
    #[arg(long, value_name = "KIND")]
    without: Vec<String>,
    /// Prints the timetable of each seed.
    #[arg(long)]
    timetable: bool,
    /// Prints how often each two kinds of faults overlapped, over all seeds.
    #[arg(long)]
    pairs: bool,
    /// Finds a smaller set of kinds of faults with which a seed with a finding still has one.
    #[arg(long)]
    shrink: bool,
    /// The program under test; by default the one in this program's folder.
    #[arg(long)]
    program: Option<PathBuf>,
}

fn soak(args: &Soak) -> ExitCode {
    let program = args.program.clone().unwrap_or_else(sibling_program);
    let mut excluded = Vec::new();
    for name in &args.without {
        match Disruption::from_name(name) {
            Some(disruption) => excluded.push(disruption),
            None => {
                eprintln!("--without: no kind {name:?}; there are {}", soak::report::disruption_names());
                return ExitCode::FAILURE;
            }
        }
    }
    let duration = Duration::from_secs_f64(args.seconds);
    let (mut pairs, mut all_clean) = (soak::report::PairCounts::default(), true);
    for seed in args.seed..args.seed + args.seeds {
        let plan = soak::Plan { seed, processes: args.processes, duration, excluded: excluded.clone() };
        match soak::run(&program, &plan) {
            Ok(report) => {
                print!("{report}");
                if args.timetable {
                    print!("{}", report.timetable_text());
                }
                pairs.add(&report);
                all_clean &= report.is_clean();
                if args.shrink && !report.is_clean() {
                    println!("shrunk: {}", soak::shrink(&program, &plan));
                }
            }
            Err(error) => {
                all_clean = false;
                println!("seed {seed}: not played: {error}");
            }
        }
    }
    if args.pairs {
        print!("{pairs}");
    }
    ExitCode::from(u8::from(!all_clean))
}

fn scale(args: &Scale) -> ExitCode {
    let program = args.program.clone().unwrap_or_else(sibling_program);
    let plan = Plan {
        program: &program,
        scenario: args.day,
        max_divergence_s: args.within,
        scope: if args.listed { Scope::Listed } else { Scope::All },
        seed: args.seed,
        shape: FleetShape {
            services: args.services.max(1),
            servers: args.servers.max(1),
            zones: args.zones.max(1),
            calls: args.calls.max(1),
        },
        sidecars: args.sidecars,
        rate: args.rate,
        threads: args.threads,
        max_resident_bytes: (args.memory * 1e9) as u64,
    };
    let (mut steps, mut all_valid) = (Vec::new(), true);
    for instances in &args.steps {
        match run_step(&plan, *instances, &mut |progress| eprintln!("{instances}: {progress}")) {
            Ok(report) => {
                match args.json {
                    true => report::step_json(&report).iter().for_each(|object| println!("{object}")),
                    false => report::step_text(&report).iter().for_each(|line| println!("{line}")),
                }
                all_valid &= report.phases.iter().all(|phase| phase.is_valid());
                steps.push(report);
            }
            Err(error) => {
                all_valid = false;
                match args.json {
                    true => println!("{}", serde_json::json!({"instances": instances, "no_figure": error})),
                    false => println!("{instances} instances: no figure: {error}"),
                }
            }
        }
    }
    for slope in report::slopes(&steps, args.reckon) {
        match args.json {
            true => println!("{}", slope.object()),
            false => println!("{}", slope.text()),
        }
    }
    ExitCode::from(u8::from(!all_valid))
}

fn print_scene_report(file: &str, scene: &Scene, report: &scene_runner::Report, millicores: f64, json: bool) {
    let settings_s = report.contradiction.as_ref().map_or(0.0, |found| found.duration_s);
    let drains_s = report.drain_violation.as_ref().map_or(0.0, |found| found.duration_s);
    let longest_s = settings_s.max(drains_s);
    if json {
        let line = serde_json::json!({
            "scene": file, "longest_contradiction_s": longest_s, "of_settings_s": settings_s, "of_drains_s": drains_s, "within_s": scene.max_divergence_s, "hops": report.attempts,
            "answers": report.responses, "unanswered": report.unanswered, "faults": report.failures,
            "millicores": millicores.round(), "reckoned_millicores": estimated_demand(scene),
        });
        return println!("{line}");
    }
    report.failures.iter().for_each(|failure| println!("{file}: {failure}"));
    println!(
        "{file}: {} hops, {} answers, {} calls without one",
        report.attempts, report.responses, report.unanswered
    );
    println!("{file}: longest contradiction {longest_s:.3} s of {:.3} s", scene.max_divergence_s);
    println!("{file}: took {millicores:.0} thousandths of a core, reckoned {}", estimated_demand(scene));
}

fn positive(text: &str) -> Result<f64, String> {
    let number = text.parse().ok().filter(|number| (1e-3..=1e5).contains(number));
    number.ok_or_else(|| "must be a number from 0.001 to 100000".into())
}

/// The program in this program's folder.
fn sibling_program() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name("oakhollow")
}

/// Measures one depth and prints the report; false if the measurement failed.
fn measure_chain(config: &chain::ChainConfig, settings: &chain::report::RunSettings, json: bool) -> bool {
    match chain::report::run(config, settings) {
        Ok(report) if json => report.json(settings).iter().for_each(|line| println!("{line}")),
        Ok(report) => print!("{}", report.text(settings)),
        Err(error) => {
            eprintln!("oakhollow-lab: depth {}: {error}", config.depth);
            return false;
        }
    }
    true
}

fn main() -> ExitCode {
    match Args::parse().command {
        Command::FakeSidecar { how, file, operator } => {
            let error = run_fake_sidecar(&file, &operator, how).err().unwrap_or_default();
            eprintln!("oakhollow-lab: stand-in: {error}");
            ExitCode::FAILURE
        }
        Command::Traffic { instances, within, seed } => {
            for instances in instances {
                let report = measure(instances.max(3), within, seed);
                let Report { idle_instance, idle_lease_server, change, drain, .. } = &report;
                println!(
                    "{instances} instances, simulated: {:.1} messages and {:.0} bytes a second an instance, {:.0} and {:.0} a lease \
                     server; a change {:.0} messages and {:.0} bytes an instance, in {:.4} s, with one cut off in {:.3} s; \
                     a drain {:.0} and {:.0}, announced to one instance in {:.4} s",
                    idle_instance.messages, idle_instance.bytes, idle_lease_server.messages, idle_lease_server.bytes, change.messages, change.bytes, report.change_s,
                    report.change_while_cut_off_s, drain.messages, drain.bytes, report.drain_s
                );
            }
            ExitCode::SUCCESS
        }
        Command::Scale(args) => scale(&args),
        Command::Soak(args) => soak(&args),
        Command::Chain {
            depth,
            rate,
            pairs,
            seconds,
            servers,
            late_share,
            slow_ms,
            slow_seconds,
            budget,
            seed,
            json,
            program,
        } => {
            let program = program.unwrap_or_else(sibling_program);
            let settings = chain::report::RunSettings {
                rate,
                pairs,
                duration: Duration::from_secs_f64(seconds),
                warm_up: Duration::from_millis(500),
                max_late_fraction: late_share,
                slow_latency: Duration::from_millis(slow_ms),
                slow_duration: Duration::from_secs_f64(slow_seconds),
                max_extra_share: budget,
            };
            let config =
                |depth| chain::ChainConfig { program: &program, depth, servers: servers.into(), seed };
            let all_measured =
                depth.into_iter().all(|depth| measure_chain(&config(depth.into()), &settings, json));
            if all_measured {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Command::Play { files, seed, json, alone, program, logs } => {
            let lab_program = std::env::current_exe().unwrap_or_default();
            let program = program.unwrap_or_else(sibling_program);
            let options =
                RunOptions { program: &program, lab_program: &lab_program, with_accord: !alone, seed };
            match files.iter().filter(|file| !run_one_scene(file, &options, json, logs)).count() {
                0 => ExitCode::SUCCESS,
                _ => ExitCode::FAILURE,
            }
        }
    }
}

/// Runs one scene and prints its report; false if an expectation does not hold.
fn run_one_scene(file: &Path, options: &RunOptions, json: bool, logs: bool) -> bool {
    let name = file.display().to_string();
    let (cpu_before, start_time) = (cpu_seconds_used(), Instant::now());
    let read = std::fs::read_to_string(file).map_err(|error| error.to_string());
    let result = read.and_then(|text| {
        let scene = Scene::parse(&text)?;
        let report = run_scene(&scene, options).map_err(|error| error.to_string())?;
        Ok((scene, report))
    });
    match result {
        Ok((scene, report)) => {
            if logs {
                report.logs.iter().for_each(|(name, log)| println!("--- {name}\n{log}"));
            }
            let cpu_s =
                cpu_before.zip(cpu_seconds_used()).map_or(0.0, |(cpu_before, after)| after - cpu_before);
            print_scene_report(
                &name,
                &scene,
                &report,
                1000.0 * cpu_s / start_time.elapsed().as_secs_f64(),
                json,
            );
            report.failures.is_empty()
        }
        Err(error) => {
            eprintln!("oakhollow-lab: {name}: {error}");
            false
        }
    }
}
