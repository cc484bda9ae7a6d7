//! Measures requests per second through the program, for each number of servers and of workers, and for comparison
//! straight to a test server:
//!
//!     cargo bench --bench loopback -- --build now=target/release/oakhollow --servers 4,1000,10000
//!
//! `--build NAME=PATH` may be given several times: builds run in turn, and every other round in reverse order, so that
//! a drift of the machine's speed affects all alike. Figures are medians over the rounds.
mod clients;
mod test_servers;

use clap::Parser;
use clients::{run_clients, wait_until_ready, Measurements};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

#[derive(Parser)]
struct Args {
    /// A build to measure.
    #[arg(long, value_parser = parse_build, required = true)]
    build: Vec<(String, PathBuf)>,
    /// Servers in the list.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 1000])]
    servers: Vec<usize>,
    /// Workers of each sidecar. 1 is not written into its file, so that builds without that setting can be compared.
    #[arg(long, value_delimiter = ',', default_values_t = [1])]
    workers: Vec<usize>,
    #[arg(long, default_value_t = 64)]
    callers: usize,
    #[arg(long, default_value_t = 2)]
    caller_threads: usize,
    #[arg(long, default_value_t = 2)]
    server_threads: usize,
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Measured seconds of each run.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Seconds before the measured ones.
    #[arg(long, default_value_t = 2.0)]
    warm: f64,
    /// Changes of the list per second during the measurement.
    #[arg(long, default_value_t = 0)]
    changes: u64,
    /// Restricts the sidecar to these processors, in the notation of `taskset`.
    #[arg(long)]
    cpus: Option<String>,
    /// Runs each build once more as one of three instances that agree on settings, all keepers. The other two get
    /// no requests.
    #[arg(long)]
    accord: bool,
    /// Keeps the program's log lines on standard error.
    #[arg(long)]
    logs: bool,
    /// Added by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Parses `NAME=PATH`.
fn parse_build(text: &str) -> Result<(String, PathBuf), String> {
    let (name, path) = text.split_once('=').ok_or("must be NAME=PATH")?;
    let path = PathBuf::from(path);
    // Cargo runs a benchmark in its package's folder, while PATH is meant relative to the workspace.
    let path = if path.is_relative() { PathBuf::from("..").join(path) } else { path };
    path.is_file()
        .then_some((name.to_string(), path.clone()))
        .ok_or(format!("{} is not a file", path.display()))
}

/// A running sidecar process. It is killed when this is dropped.
struct RunningSidecar {
    child: Child,
    listen: SocketAddr,
    folder: PathBuf,
    /// The other instances that agree on settings with it, which end with it.
    _other_instances: Vec<RunningSidecar>,
}

/// The index of an instance among those that agree on settings, and the addresses of all of them, each a lease server.
type AccordPosition = (usize, Vec<SocketAddr>);

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Drop for RunningSidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl RunningSidecar {
    fn start(
        args: &Args, path: &PathBuf, discovery: SocketAddr, workers: usize,
        accord_position: Option<AccordPosition>,
    ) -> std::io::Result<RunningSidecar> {
        let listen = free_address()?;
        let mut other_instances = Vec::new();
        if let Some((0, lease_servers)) = &accord_position {
            for other_index in 1..lease_servers.len() {
                other_instances.push(RunningSidecar::start(
                    args,
                    path,
                    discovery,
                    1,
                    Some((other_index, lease_servers.clone())),
                )?);
            }
        }
        let index = accord_position.as_ref().map_or(0, |(index, _)| *index);
        let folder =
            std::env::temp_dir().join(format!("oakhollow-loopback-{}-{}", std::process::id(), listen.port()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("sidecar.json");
        let json = format!(
            r#"{{"name":"n{index}","version":{{"number":1}},"listen":"{listen}","discovery":"{discovery}","seed":"7","limits":{{"memory_mb":8192,"sockets":18000}},
  "settings":{{"me":0,"balancers":1,"bounds":{{"cancel":true,"parallel_tries":true,"most_hops":4,"connect_timeout_s":0.5,"idle_close_s":60.0,
  "retry_after":true,"max_retry_after_s":2.0}},"rules":{{"ask_within_s":10.0,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8.0}},
  "zones":["here"],"workloads":[{{"name":"view","semantics":"read_like","quoted_time_s":1.0,"abandon_time_s":3.0,"payoff":1.0}}]}}}}"#
        );
        std::fs::write(&file, json)?;
        let mut command = match &args.cpus {
            Some(cpus) => {
                let mut command = Command::new("taskset");
                command.args(["-c", cpus]).arg(path);
                command
            }
            None => Command::new(path),
        };
        command.arg(&file).stdout(Stdio::null());
        if !args.logs {
            command.stderr(Stdio::null());
        }
        if workers > 1 || accord_position.is_some() {
            let operator_file = folder.join("oakhollow.toml");
            let mut operator_text = format!("workers = {workers}\n");
            if let Some((_, lease_servers)) = &accord_position {
                operator_text +=
                    "[accord]\nwithin = 2.0\nkeepers = [\"n0\", \"n1\", \"n2\"]\n[accord.instances]\n";
                for (number, address) in lease_servers.iter().enumerate() {
                    operator_text += &format!("n{number} = \"{address}\"\n");
                }
            }
            std::fs::write(&operator_file, operator_text)?;
            command.arg("--operator").arg(operator_file);
        }
        let sidecar =
            RunningSidecar { child: command.spawn()?, listen, folder, _other_instances: other_instances };
        // Only the first instance waits: the others become ready only once it runs as well.
        match index > 0 || wait_until_ready(listen) {
            true => Ok(sidecar),
            false => Err(std::io::Error::other("the sidecar is not ready within 10 s")),
        }
    }

    /// Processor seconds used so far, and resident memory in MB.
    fn usage(&self) -> (f64, f64) {
        let read = |name: &str| {
            std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
        };
        let stat = read("stat");
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks: f64 =
            fields.split_whitespace().skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
        let status = read("status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks / 100.0, kb / 1024.0)
    }
}

/// The figures of one run. A row of the report has the medians of the runs with the same label.
struct Row {
    label: String,
    requests_per_s: f64,
    p50_us: f64,
    p99_us: f64,
    max_us: f64,
    not_served: u64,
    /// Processor time per request.
    cpu_us: f64,
    resident_mb: f64,
}

impl Row {
    fn new(label: String, measurements: &Measurements, cpu_us: f64, resident_mb: f64) -> Row {
        let latency_us = |quantile| measurements.latency.value_at_quantile(quantile) as f64;
        let (p50_us, p99_us, max_us) = (latency_us(0.5), latency_us(0.99), measurements.latency.max() as f64);
        Row {
            label,
            requests_per_s: measurements.requests_per_s(),
            p50_us,
            p99_us,
            max_us,
            not_served: measurements.not_served,
            cpu_us,
            resident_mb,
        }
    }
}

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let (warm_up, measured_time) =
        (Duration::from_secs_f64(args.warm), Duration::from_secs_f64(args.seconds));
    let max_servers = args.servers.iter().copied().max().unwrap_or(1);
    let servers = test_servers::servers(max_servers, args.server_threads)?;
    let mut rows: Vec<Row> = Vec::new();
    for round in 0..args.rounds {
        let direct = run_clients(
            servers[0],
            args.callers,
            args.caller_threads,
            Duration::from_millis(300),
            measured_time,
        )?;
        rows.push(Row::new("direct".into(), &direct, 0.0, 0.0));
        let mut runs = Vec::new();
        for &server_count in &args.servers {
            for &workers in &args.workers {
                for (label, path) in &args.build {
                    runs.push((server_count, workers, label.clone(), path, false));
                    if args.accord {
                        runs.push((server_count, workers, format!("{label} with accord"), path, true));
                    }
                }
            }
        }
        if round % 2 == 1 {
            runs.reverse();
        }
        for (server_count, workers, label, path, with_accord) in runs {
            let churn = Arc::new(test_servers::Churn::default());
            churn.enabled.store(args.changes > 0, Ordering::Relaxed);
            let discovery = test_servers::discovery(
                servers[..server_count].to_vec(),
                churn.clone(),
                args.changes.max(1),
            )?;
            let accord_position = match with_accord {
                true => Some((0, vec![free_address()?, free_address()?, free_address()?])),
                false => None,
            };
            let sidecar = RunningSidecar::start(&args, path, discovery, workers, accord_position)?;
            run_clients(sidecar.listen, args.callers, args.caller_threads, Duration::ZERO, warm_up)?;
            let (cpu_s_before, _) = sidecar.usage();
            let measurements = run_clients(
                sidecar.listen,
                args.callers,
                args.caller_threads,
                Duration::ZERO,
                measured_time,
            )?;
            let (cpu_s_after, resident_mb) = sidecar.usage();
            let cpu_us = (cpu_s_after - cpu_s_before) * 1e6 / measurements.requests.max(1) as f64;
            rows.push(Row::new(
                format!("{label}, {server_count} servers, {workers} workers"),
                &measurements,
                cpu_us,
                resident_mb,
            ));
        }
    }
    let mut labels: Vec<&str> = Vec::new();
    for row in &rows {
        if !labels.contains(&row.label.as_str()) {
            labels.push(&row.label);
        }
    }
    println!(
        "{} callers, {} rounds of {} s, {} list changes a second",
        args.callers, args.rounds, args.seconds, args.changes
    );
    println!(
        "| run | requests/s | share of direct | p50 us | p99 us | max us | not served | cpu us/request | RSS MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let median_of = |label: &str, figure: fn(&Row) -> f64| {
        median(rows.iter().filter(|row| row.label == label).map(figure).collect())
    };
    let direct = median_of("direct", |row| row.requests_per_s);
    for label in labels {
        println!(
            "| {label} | {:.0} | {:.4} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} |",
            median_of(label, |row| row.requests_per_s),
            median_of(label, |row| row.requests_per_s) / direct,
            median_of(label, |row| row.p50_us),
            median_of(label, |row| row.p99_us),
            median_of(label, |row| row.max_us),
            median_of(label, |row| row.not_served as f64),
            median_of(label, |row| row.cpu_us),
            median_of(label, |row| row.resident_mb),
        );
    }
    Ok(())
}
