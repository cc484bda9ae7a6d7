//! Measures what a chain of sidecars adds to a request's latency, and how many attempts reach each tier for
//! one request. The chain is: client, sidecar 1, application 1, sidecar 2 and so on to the last tier's
//! servers. A second chain has no sidecars. The two chains run alternately in short rounds, so that other
//! load on the machine affects both alike, and each pair of rounds gives one difference.
pub mod client;
pub mod report;
pub mod statistics;
pub mod tiers;
pub mod usage;
pub mod wire;

use crate::fakes::Discovery;
use crate::processes::Sidecar;
use crate::scene_runner::console_request;
use client::{run_load, ClientResults, LoadPlan};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tiers::{histogram, Tier};
use usage::{read_usage, Usage};
use wire::Clock;

/// How long all sidecars may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between the set-up of a round and its first request.
const SETUP_TIME: Duration = Duration::from_millis(20);

/// The configuration of a chain.
#[derive(Clone, Copy)]
pub struct ChainConfig<'a> {
    pub program: &'a Path,
    /// Number of tiers. A chain has a sidecar before each tier, or none at all.
    pub depth: usize,
    /// Servers per tier.
    pub servers: usize,
    pub seed: u64,
}

/// A running chain, stopped on drop.
pub struct Chain {
    entry_address: SocketAddr,
    /// From the first tier's to the last; empty if requests go directly to the next tier.
    sidecars: Vec<Sidecar>,
    tiers: Vec<Tier>,
    clock: Clock,
    next_request_id: u64,
    folder: PathBuf,
}

impl Drop for Chain {
    fn drop(&mut self) {
        self.sidecars.clear();
        self.tiers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What one tier received in a round.
pub struct TierResults {
    pub attempts: u64,
    /// Distinct requests of the client among the attempts.
    pub requests: u64,
    /// Attempts with a request id that the tier had received before: retries and hedges by its sidecar.
    pub repeats: u64,
    pub cancelled: u64,
    pub broken_connections: u64,
}

/// The results of one round.
pub struct Round {
    pub client: ClientResults,
    /// From the first tier to the last.
    pub tiers: Vec<TierResults>,
    /// Transit times of requests and of responses over all connections between tiers, from the sender's write
    /// to the receiver's first byte, in nanoseconds.
    pub request_transit: Histogram<u64>,
    pub response_transit: Histogram<u64>,
    /// The resource usage of all sidecars since the warm-up, the attempts that passed through them, and the
    /// seconds measured.
    pub usage: Option<Usage>,
    pub usage_attempts: u64,
    pub usage_s: f64,
}

impl Round {
    /// Whether every request got exactly one response and no other response came.
    pub fn all_answered_once(&self) -> bool {
        let responses = self.client.responses.iter().filter(|(status, _)| **status > 0);
        responses.map(|(_, count)| count).sum::<u64>() == self.client.sent
            && self.client.unsolicited == 0
            && self.client.unanswered == 0
    }

    /// Attempts that reached a tier per request of the client.
    pub fn amplification(&self, tier: usize) -> f64 {
        self.tiers[tier].attempts as f64 / self.client.sent.max(1) as f64
    }
}

fn is_ready(listen: SocketAddr) -> bool {
    console_request(listen, "GET", "/ready").is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

fn config_json(sidecar: &Sidecar, discovery: SocketAddr, seed: u64) -> String {
    format!(
        r#"{{"name":"{}","listen":"{}","console":"{}","discovery":"{discovery}","seed":"{seed:x}",
        "settings":{{"me":0,"balancers":1,"zones":["a"],"discovery":"on_request",
        "bounds":{{"most_hops":3,"cancel":true,"parallel_tries":true,"retry_after":true,"max_retry_after_s":2.0}},
        "rules":{{"ask_within_s":10,"cold_from":0.3,"fall_s":1.5,"warm_within_s":8}},
        "workloads":[{{"name":"view","semantics":"read_like","quoted_time_s":1,"abandon_time_s":3,"payoff":1}}]}}}}"#,
        sidecar.name, sidecar.listen, sidecar.console
    )
}

impl Chain {
    /// Starts a chain; with `sidecars`, one before each tier. Tiers start from the last, so that each knows
    /// the next one's address.
    pub fn start(config: &ChainConfig, sidecars: bool) -> Result<Chain, String> {
        static CHAINS: AtomicU32 = AtomicU32::new(0);
        let number = CHAINS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("oakhollow-lab-chain-{}-{number}", std::process::id()));
        let no_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut chain = Chain {
            entry_address: no_address,
            sidecars: Vec::new(),
            tiers: Vec::new(),
            clock: Clock::start(),
            next_request_id: 0,
            folder,
        };
        chain.build(config, sidecars).map_err(|error| error.to_string())?;
        chain.wait_until_ready()?;
        Ok(chain)
    }

    fn build(&mut self, config: &ChainConfig, sidecars: bool) -> std::io::Result<()> {
        let mut next_address = None;
        for number in (1..=config.depth).rev() {
            let seed = config.seed.wrapping_mul(31).wrapping_add(number as u64);
            let tier = Tier::start(number, config.servers, next_address, self.clock, seed)?;
            next_address = tier.addresses.first().copied();
            if sidecars {
                let mut sidecar = Sidecar::new(config.program, &format!("n{number}"), &self.folder)?;
                sidecar.write_config(&config_json(
                    &sidecar,
                    Discovery::start(&tier.addresses)?.address,
                    seed,
                ))?;
                sidecar.start()?;
                next_address = Some(sidecar.listen);
                self.sidecars.insert(0, sidecar);
            }
            self.tiers.insert(0, tier);
        }
        self.entry_address = next_address.ok_or(std::io::ErrorKind::InvalidInput)?;
        Ok(())
    }

    fn wait_until_ready(&mut self) -> Result<(), String> {
        let start = Instant::now();
        for sidecar in &mut self.sidecars {
            while !is_ready(sidecar.listen) {
                if sidecar.has_exited() || start.elapsed() > READY_TIMEOUT {
                    return Err(format!("{} does not serve:\n{}", sidecar.name, sidecar.log_text()));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Sets how long the last tier's responses take from now on; one in 20 takes ten times as long.
    pub fn slow_down(&self, delay: Duration) {
        self.tiers.iter().rev().take(1).for_each(|tier| tier.slow_down(delay));
    }

    /// The summed usage of all sidecars; none without sidecars, or if the usage of one can't be read.
    pub fn read_usage(&self) -> Option<Usage> {
        let usages = self.sidecars.iter().map(|sidecar| read_usage(sidecar.pid()?));
        usages.reduce(|sum, other| {
            let (sum, other) = (sum?, other?);
            Some(Usage {
                wake_ups: sum.wake_ups + other.wake_ups,
                cpu_ns: sum.cpu_ns + other.cpu_ns,
                run_queue_wait_ns: sum.run_queue_wait_ns + other.run_queue_wait_ns,
                reads_and_writes: sum.reads_and_writes + other.reads_and_writes,
            })
        })?
    }

    /// The number of sidecars.
    pub fn sidecars(&self) -> usize {
        self.sidecars.len()
    }

    /// Runs one round until its last response or timeout.
    pub fn run(&mut self, rate: f64, warm_up: Duration, duration: Duration) -> Result<Round, String> {
        let load = LoadPlan { rate, warm_up, duration, first_id: self.next_request_id };
        self.next_request_id += load.request_count();
        self.tiers.iter().for_each(|tier| _ = tier.take_counters());
        let (address, clock, begin_ns) =
            (self.entry_address, self.clock, self.clock.now() + SETUP_TIME.as_nanos() as u64);
        let (client, warm_up_counters, usage_before, measured_since) = thread::scope(|scope| {
            let client_thread = scope.spawn(move || run_load(address, &load, begin_ns, clock));
            let measured_from = clock.instant(begin_ns) + warm_up;
            thread::sleep(measured_from.saturating_duration_since(Instant::now()));
            // The client thread goes on sending meanwhile.
            let warm_up_counters: Vec<_> = self.tiers.iter().map(Tier::take_counters).collect();
            let (usage_before, measured_since) = (self.read_usage(), Instant::now());
            (client_thread.join(), warm_up_counters, usage_before, measured_since)
        });
        let usage = self.read_usage().zip(usage_before).map(|(after, before)| after - before);
        let usage_s = measured_since.elapsed().as_secs_f64();
        let client = client.map_err(|_| "the client panicked")?.map_err(|error| error.to_string())?;
        let (mut request_transit, mut response_transit) = (histogram(), histogram());
        let add = |sum: &mut Histogram<u64>, other: &Histogram<u64>| {
            sum.add(other).unwrap_or_else(|error| unreachable!("equal bounds: {error:?}"));
        };
        add(&mut response_transit, &client.response_transit);
        let (mut tiers, mut usage_attempts) = (Vec::new(), 0);
        for (tier, mut warm_up_counters) in self.tiers.iter().zip(warm_up_counters) {
            let measured_counters = tier.take_counters();
            add(&mut request_transit, &measured_counters.request_transit);
            add(&mut response_transit, &measured_counters.response_transit);
            usage_attempts += measured_counters.attempts;
            warm_up_counters.requests.extend(&measured_counters.requests);
            tiers.push(TierResults {
                attempts: warm_up_counters.attempts + measured_counters.attempts,
                requests: warm_up_counters.requests.len() as u64,
                repeats: warm_up_counters.repeats + measured_counters.repeats,
                cancelled: warm_up_counters.cancelled + measured_counters.cancelled,
                broken_connections: warm_up_counters.broken_connections
                    + measured_counters.broken_connections,
            });
        }
        Ok(Round { client, tiers, request_transit, response_transit, usage, usage_attempts, usage_s })
    }
}
