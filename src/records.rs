//! What one instance remembers: plain records of API calls, servers and figures. Nothing is decided here.
use crate::types::*;
use crate::{Allowance, Bins, OutcomeCounts};
use std::collections::BTreeMap;

/// Where an API call stands.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Fresh,
    Queued,
    Out,
    Raced,
    Over,
}

/// How far a server is trusted.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Trust {
    Fit,
    Aside,
    Trial,
}

pub struct Hop {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Micros,
    pub ended: Option<Outcome>,
    pub outlived: bool,
    pub copy: bool,
}

impl Hop {
    pub fn open(&self) -> bool {
        self.ended.is_none()
    }

    pub fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Outcome::proves_not_run)
    }
}

pub struct Call {
    pub workload: usize,
    pub state: State,
    pub turn: (u32, u64), // its place in the queue: dearest first, then oldest
    pub key: Option<u64>, // where servers are quicker with one they know
    pub abandon: Micros,
    pub patience: Micros,
    pub max_hops: usize, // as the place had it when the call came
    pub hops: Vec<Hop>,
}

pub struct Server {
    pub listing: ListedServer,
    pub out: u32,
    pub answered: bool,
    pub trust: Trust,
    /// Until then it may not be sent to: set aside, or cold with its part spent.
    pub rest: Micros,
    pub until: Micros,
    pub asides: u32,
    pub record: OutcomeCounts,
    pub unreached: bool,
    pub ease: f64,
    /// How much longer a call took there than at an idle server, as it last told, and when.
    pub slowdown: f64,
    pub heard: Micros,
    pub cold: Allowance,
}

impl Server {
    pub fn new(listing: &ListedServer, out: u32, cold: Allowance) -> Server {
        Server {
            listing: listing.clone(),
            out,
            answered: false,
            trust: Trust::Fit,
            rest: Micros(0),
            until: Micros(0),
            asides: 0,
            record: OutcomeCounts::default(),
            unreached: false,
            ease: 1.0,
            slowdown: 1.0,
            heard: Micros(0),
            cold,
        }
    }

    /// Its part of the work: the listed size, less where it has been slow.
    pub fn weight(&self) -> f64 {
        self.listing.weight.max(0.01) * self.ease
    }

    pub fn answer(&mut self, slow: bool) {
        self.answered = true;
        self.ease = if slow { (self.ease * 0.93).max(0.3) } else { (self.ease + 0.03).min(1.0) };
    }

    /// Its strain by now: what it told counts for less the older it is.
    pub fn strained(&self, now: Micros) -> f64 {
        1.0 + (self.slowdown - 1.0) / (1.0 + 0.1 * (now - self.heard).secs())
    }

    pub fn usable(&self) -> bool {
        self.listing.status == ServerStatus::Ready && self.trust == Trust::Fit
    }
}

/// What the place's terms come down to.
#[derive(Default)]
pub struct Figures {
    pub workloads: Vec<Workload>,
    pub shares: Vec<f64>, // API calls a second that each customer may send through this sidecar alone
    pub all_shares: f64,  // never 0
    pub overage_payoff: f64,
    pub dearest: f64,
    pub lifted: f64,
    pub max_hops: usize,
    pub may_cancel: bool,
    pub may_hedge: bool,
    pub max_retry_after: Micros,
    pub ask_again: Micros, // half of the time within which the list must be asked for again
    pub my_part: f64,
    pub my_number: f64,
    pub near: Option<ZoneId>,
    pub load_reports: bool,
    pub peer_messages: bool,
    pub key_affinity: bool,
    pub cold_capacity: f64,
    pub warm_up_time: Micros,
    pub collapse_window: Micros,
}

impl Figures {
    pub fn new(terms: &BalancerConfig) -> Figures {
        let instances = f64::from(terms.instances.max(1));
        Figures {
            workloads: terms.workloads.clone(),
            shares: terms.tenant_quotas.iter().map(|rate| rate / instances).collect(),
            all_shares: terms.tenant_quotas.iter().sum::<f64>().max(0.001) / instances,
            overage_payoff: terms.overage_payoff,
            dearest: terms.workloads.iter().map(|workload| workload.payoff).fold(0.0, f64::max),
            lifted: terms.worst_workload_weight,
            max_hops: terms.max_hops as usize,
            may_cancel: terms.may_cancel,
            may_hedge: terms.may_hedge,
            max_retry_after: terms.max_retry_after,
            ask_again: terms.resubscribe_within.times(0.5),
            my_part: 1.0 / instances,
            my_number: f64::from(terms.instance_index) % instances,
            near: terms.local_zone,
            load_reports: terms.load_reports,
            peer_messages: terms.peer_messages,
            key_affinity: terms.key_affinity,
            cold_capacity: terms.cold_capacity,
            warm_up_time: terms.warm_up_time,
            collapse_window: terms.collapse_window,
        }
    }
}

impl Figures {
    /// The part of its full capacity that a cold server has by now at the least; none once it is warm.
    pub fn cold_share(&self, server: &Server, now: Micros) -> Option<f64> {
        let (started, from) = (server.listing.started, self.cold_capacity);
        let age = now - started;
        let cold = started.0 > 0 && age < self.warm_up_time;
        cold.then(|| from + (1.0 - from) * age.secs() / self.warm_up_time.secs())
    }
}

/// A server that reports less of its cores busy has some to be had.
const CORES_TO_BE_HAD: f64 = 0.9;

/// How long calls take in the long run, and while nothing is crowded.
#[derive(Default)]
pub struct Level {
    pub long: Bins,
    pub level: Option<f64>, // in microseconds
}

impl Level {
    /// Takes one answer's time. The level is the long-run median: it follows lower ones a fifth of the way and rises
    /// by a thousandth at a time, so that a long crowd can't become what counts as uncrowded.
    fn add(&mut self, elapsed: Micros, first: f64) {
        self.long.add(elapsed);
        if self.long.total >= 128.0 {
            let long = self.median();
            self.level = self.level.zip(long).map(|(old, long)| (0.8 * old + 0.2 * long).min(1.001 * old));
            self.long.halve();
        }
        self.begin(first);
    }

    /// A first level, once so many answers have come.
    fn begin(&mut self, least: f64) {
        if self.level.is_none() && self.long.total >= least {
            self.level = self.median();
        }
    }

    fn median(&self) -> Option<f64> {
        self.long.median().map(|long| long.0 as f64)
    }
}

/// What is known of one workload.
#[derive(Default)]
pub struct Own {
    level: Level,
    /// Its hops in flight.
    pub held: u32,
    /// How many of late came within the threshold, or outlived it.
    pub late: OutcomeCounts,
}

/// Answers that make a level: over all workloads, and of one.
const FIRST: f64 = 48.0;
const FIRST_OF_ONE: f64 = 32.0;
/// And at a beat, where more take long to come. Not for each answer, since among the first few the short ones come
/// before the long.
const FIRST_AT_BEAT: f64 = 16.0;
/// What stands in the ratios for a call that takes as long as its workload's level.
const AS_LONG: f64 = 100_000.0;

/// How crowded the servers are, as our own latency shows it.
#[derive(Default)]
pub struct Crowding {
    pub recent: Bins,
    pub all: Level,
    pub own: Vec<Own>,
    /// Recent answers' times over their own workload's level: guards against a change of mix alone, where workloads
    /// differ in work, that reads as a crowd.
    ratios: Bins,
    pub width: f64,
    pub crowded: bool,
    pub steady: bool,
    pub fleet: f64,
    /// Calls held for each busy core while cores are to be had, as reports have it: the sums behind the mean.
    pub idle_held: f64,
    pub idle_busy: f64,
    /// The part of what is offered that is turned away at once, the least worth first.
    pub thinned: f64,
    /// What was offered of late, by its worth.
    pub offered: BTreeMap<u32, f64>,
}

impl Crowding {
    /// Takes one more call that is offered; tells how large a part of what came of late is worth less. Its like
    /// are told apart by `lot`, from 0 to 1.
    pub fn rank(&mut self, worth: u32, lot: f64) -> f64 {
        let below: f64 = self.offered.range(..worth).map(|(_, count)| count).sum();
        let like = self.offered.entry(worth).or_default();
        *like += 1.0;
        let reached = below + lot * *like;
        let all: f64 = self.offered.values().sum();
        if all >= 128.0 {
            self.offered.values_mut().for_each(|count| *count *= 0.5);
        }
        reached / all
    }

    /// How much longer a call takes at a server than at an idle one, by what it reports: the calls it holds for
    /// each that it works on.
    pub fn slowdown(&mut self, report: &ServerLoad) -> Option<f64> {
        let held = report.open_calls?;
        let at_work = match (report.queued_calls, report.cpu_utilization) {
            (Some(waiting), _) => held - waiting,
            (None, Some(busy)) if busy < CORES_TO_BE_HAD => {
                (self.idle_held, self.idle_busy) =
                    (0.98 * self.idle_held + held, 0.98 * self.idle_busy + busy);
                return Some(1.0);
            }
            (None, Some(_)) if self.idle_busy > 0.0 => self.idle_held / self.idle_busy,
            _ => return None,
        };
        Some((held / at_work.max(1.0)).max(1.0))
    }

    /// Takes one answer's time; tells the recent median and the uncrowded level, in microseconds.
    pub fn measure(&mut self, elapsed: Micros, workload: WorkloadId) -> Option<(f64, f64)> {
        self.recent.add(elapsed);
        self.all.add(elapsed, FIRST);
        let own = &mut self.of(workload).level;
        own.add(elapsed, FIRST_OF_ONE);
        if let Some(level) = own.level {
            self.ratios.add(Micros((elapsed.0 as f64 / level.max(1.0) * AS_LONG) as u64));
        }
        let median = self.recent.median()?.0 as f64;
        for bins in [&mut self.recent, &mut self.ratios] {
            if bins.total >= 24.0 {
                bins.halve();
            }
        }
        Some((median, self.all.level.or_else(|| self.all.median())?))
    }

    pub fn of(&mut self, workload: WorkloadId) -> &mut Own {
        if self.own.len() <= workload.0 {
            self.own.resize_with(workload.0 + 1, Own::default);
        }
        &mut self.own[workload.0]
    }

    /// What a call of this workload takes by now: its own level, by so much longer as all calls take. Guards against a
    /// short one among long ones that is held against what those take, and never waits.
    pub fn usual(&self, workload: WorkloadId) -> Micros {
        let level = self.own.get(workload.0).and_then(|own| own.level.level);
        let own = level.map(|level| Micros((level * self.strained()) as u64));
        own.or(self.recent.median()).unwrap_or_default()
    }

    /// All calls of late, in time or not.
    pub fn late(&self) -> OutcomeCounts {
        self.own.iter().map(|own| own.late).sum()
    }

    /// The one workload of whose calls more than this part are late, and of the others' under half as large a part.
    pub fn alone_late(&self, part: f64) -> Option<WorkloadId> {
        let all = self.late();
        let alone = |own: &Own| {
            let others = OutcomeCounts { good: all.good - own.late.good, bad: all.bad - own.late.bad };
            let known = own.late.bad >= 3.0 && others.good >= 3.0;
            known && own.late.rate() > part && others.rate() < 0.5 * part
        };
        self.own.iter().position(alone).map(WorkloadId)
    }

    /// How much longer recent calls took than others of their workload do while nothing is crowded.
    pub fn strained(&self) -> f64 {
        self.ratios.median().map_or(1.0, |median| median.0 as f64 / AS_LONG)
    }

    pub fn settle(&mut self) {
        let levels = self.own.iter_mut().map(|own| &mut own.level).chain([&mut self.all]);
        levels.for_each(|level| level.begin(FIRST_AT_BEAT));
    }
}
