//! What a chain of sidecars adds to a call, and how many calls reach its end. The caller, sidecar 1, app 1, sidecar 2 and so
//! on to the last tier's servers; beside it the same chain without the sidecars. The two are played in turn, in short
//! rounds, so that what the machine does meanwhile meets both alike, and each pair of rounds gives one difference.
pub mod client;
pub mod report;
pub mod statistics;
pub mod tiers;
pub mod usage;
pub mod wire;

use crate::fakes::Discovery;
use crate::processes::Sidecar;
use crate::scene_runner::console_request;
use client::{call, Called, Calls};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tiers::{histogram, Tier};
use usage::{usage, Usage};
use wire::Clock;

/// How long a sidecar may take until it serves.
const STARTS: Duration = Duration::from_secs(20);
/// Between a round's setting up and its first call.
const SET_UP: Duration = Duration::from_millis(20);

/// How a chain is built.
#[derive(Clone, Copy)]
pub struct Plan<'a> {
    pub program: &'a Path,
    /// Tiers, each with a sidecar before it or without.
    pub depth: usize,
    /// Servers in each tier.
    pub servers: usize,
    pub seed: u64,
}

/// A chain that runs, ended with this.
pub struct Chain {
    first: SocketAddr,
    /// From the first to the last; none where calls go straight to the next tier.
    sidecars: Vec<Sidecar>,
    tiers: Vec<Tier>,
    clock: Clock,
    given: u64,
    folder: PathBuf,
}

impl Drop for Chain {
    fn drop(&mut self) {
        self.sidecars.clear();
        self.tiers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What one tier saw of a round.
pub struct Reached {
    pub hops: u64,
    /// Different calls of the caller among them.
    pub calls: u64,
    /// Sent by this tier's sidecar beside a request's first hop.
    pub copies: u64,
    pub withdrawn: u64,
    pub broken: u64,
}

/// What came of one round.
pub struct Round {
    pub called: Called,
    /// From the first tier to the last.
    pub reached: Vec<Reached>,
    /// Over all links between tiers, from the write at one end to the first byte at the other, there and back.
    pub request_transit: Histogram<u64>,
    pub answer_transit: Histogram<u64>,
    /// Of all sidecars since the lead, the hops that came through them meanwhile, and for how long.
    pub used: Option<Usage>,
    pub used_hops: u64,
    pub used_s: f64,
}

impl Round {
    /// Every call was answered once, and nothing else was.
    pub fn whole(&self) -> bool {
        let answers = self.called.answers.iter().filter(|(status, _)| **status > 0);
        answers.map(|(_, count)| count).sum::<u64>() == self.called.sent
            && self.called.unasked == 0
            && self.called.unanswered == 0
    }

    /// Hops that reached a tier for each call of the caller.
    pub fn reach(&self, tier: usize) -> f64 {
        self.reached[tier].hops as f64 / self.called.sent.max(1) as f64
    }
}

fn ready(listen: SocketAddr) -> bool {
    console_request(listen, "GET", "/ready").is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

fn file(sidecar: &Sidecar, discovery: SocketAddr, seed: u64) -> String {
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
    /// Built from its end, so that each tier knows the next one; with `sidecars`, one before each tier.
    pub fn start(plan: &Plan, sidecars: bool) -> Result<Chain, String> {
        static CHAINS: AtomicU32 = AtomicU32::new(0);
        let number = CHAINS.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("oakhollow-lab-chain-{}-{number}", std::process::id()));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut chain = Chain {
            first: nowhere,
            sidecars: Vec::new(),
            tiers: Vec::new(),
            clock: Clock::start(),
            given: 0,
            folder,
        };
        chain.build(plan, sidecars).map_err(|fault| fault.to_string())?;
        chain.serves()?;
        Ok(chain)
    }

    fn build(&mut self, plan: &Plan, sidecars: bool) -> std::io::Result<()> {
        let mut next = None;
        for number in (1..=plan.depth).rev() {
            let seed = plan.seed.wrapping_mul(31).wrapping_add(number as u64);
            let tier = Tier::start(number, plan.servers, next, self.clock, seed)?;
            next = tier.addresses.first().copied();
            if sidecars {
                let mut sidecar = Sidecar::new(plan.program, &format!("n{number}"), &self.folder)?;
                sidecar.write_config(&file(&sidecar, Discovery::start(&tier.addresses)?.address, seed))?;
                sidecar.start()?;
                next = Some(sidecar.listen);
                self.sidecars.insert(0, sidecar);
            }
            self.tiers.insert(0, tier);
        }
        self.first = next.ok_or(std::io::ErrorKind::InvalidInput)?;
        Ok(())
    }

    fn serves(&mut self) -> Result<(), String> {
        let begun = Instant::now();
        for sidecar in &mut self.sidecars {
            while !ready(sidecar.listen) {
                if sidecar.has_exited() || begun.elapsed() > STARTS {
                    return Err(format!("{} does not serve:\n{}", sidecar.name, sidecar.log_text()));
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// How long the last tier's answers take from now on; some take ten times as long.
    pub fn slow_down(&self, length: Duration) {
        self.tiers.iter().rev().take(1).for_each(|tier| tier.slow_down(length));
    }

    /// Of all sidecars; none where there are none, or one of them is not told.
    pub fn usage(&self) -> Option<Usage> {
        let each = self.sidecars.iter().map(|sidecar| usage(sidecar.pid()?));
        each.reduce(|sum, one| {
            let (sum, one) = (sum?, one?);
            Some(Usage {
                wake_ups: sum.wake_ups + one.wake_ups,
                processor_ns: sum.processor_ns + one.processor_ns,
                waited_ns: sum.waited_ns + one.waited_ns,
                reads_and_writes: sum.reads_and_writes + one.reads_and_writes,
            })
        })?
    }

    pub fn sidecars(&self) -> usize {
        self.sidecars.len()
    }

    /// Plays one round to its last answer.
    pub fn run(&mut self, rate: f64, lead: Duration, length: Duration) -> Result<Round, String> {
        let calls = Calls { rate, lead, length, first: self.given };
        self.given += calls.count();
        self.tiers.iter().for_each(|tier| _ = tier.take());
        let (to, clock, begin) = (self.first, self.clock, self.clock.now() + SET_UP.as_nanos() as u64);
        let (called, early, before, from) = thread::scope(|scope| {
            let caller = scope.spawn(move || call(to, &calls, begin, clock));
            let counts_from = clock.instant(begin) + lead;
            thread::sleep(counts_from.saturating_duration_since(Instant::now()));
            // The caller goes on meanwhile.
            let early: Vec<_> = self.tiers.iter().map(Tier::take).collect();
            let (before, from) = (self.usage(), Instant::now());
            (caller.join(), early, before, from)
        });
        let used = self.usage().zip(before).map(|(after, before)| after - before);
        let used_s = from.elapsed().as_secs_f64();
        let called = called.map_err(|_| "the caller panicked")?.map_err(|fault| fault.to_string())?;
        let (mut request_transit, mut answer_transit) = (histogram(), histogram());
        let add = |sum: &mut Histogram<u64>, one: &Histogram<u64>| {
            sum.add(one).unwrap_or_else(|fault| unreachable!("equal bounds: {fault:?}"));
        };
        add(&mut answer_transit, &called.answer_transit);
        let (mut reached, mut used_hops) = (Vec::new(), 0);
        for (tier, mut early) in self.tiers.iter().zip(early) {
            let late = tier.take();
            add(&mut request_transit, &late.request_transit);
            add(&mut answer_transit, &late.answer_transit);
            used_hops += late.hops;
            early.calls.extend(&late.calls);
            reached.push(Reached {
                hops: early.hops + late.hops,
                calls: early.calls.len() as u64,
                copies: early.copies + late.copies,
                withdrawn: early.withdrawn + late.withdrawn,
                broken: early.broken + late.broken,
            });
        }
        Ok(Round { called, reached, request_transit, answer_transit, used, used_hops, used_s })
    }
}
