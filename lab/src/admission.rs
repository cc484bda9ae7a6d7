//! Limits how many scenes run at once, by the processor time that each is estimated to take and that the machine has
//! free.
use crate::scene::Scene;
use std::fs;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Thousandths of a core.
pub type Millicores = u64;

// The three costs are fitted, and rounded up, to what `oakhollow-lab play` printed for twelve scenes in the build of
// the tests: `process-stopped` 197 (640 requests a second), `change-not-acknowledged` 123 (240), `lists-behind` 110
// (160), `unknown-peers` 98 (120, four links instead of twelve), `broken-links` 143 and `discovery-down` 110 (five
// processes, 250 and 200). Servers have no cost of their own beyond that of the requests.

/// The cost of one process of the program and its discovery.
const PROCESS: Millicores = 20;
/// The cost of one relay on a link between two instances.
const LINK: Millicores = 1;
/// The cost of one request a second: its client, its attempt at a server, and its share of the sidecar.
const REQUEST_PER_S: f64 = 0.25;

/// Estimates the processor time that a scene takes while it runs, from what it starts.
pub fn estimated_demand(scene: &Scene) -> Millicores {
    let sidecars = scene.sidecars as u64;
    let requests = scene.sidecars as f64 * scene.workloads().len() as f64 * scene.rate;
    let links = sidecars * scene.lease_servers as u64;
    sidecars * PROCESS + links * LINK + (requests * REQUEST_PER_S).ceil() as u64
}

/// The share of the free processor time that scenes may take together, as a fraction. Within a quarter of a second a
/// scene takes nearly twice its mean, all scenes start at once, and no request may wait.
const USABLE_SHARE: (u64, u64) = (1, 4);

/// How much scenes may take together on a machine where other processes keep `used_by_others` busy. At least half of the
/// cores count as free, since that is what the scheduler gives to one of two competing processes.
pub fn available_capacity(cores: usize, used_by_others: Millicores) -> Millicores {
    let total = cores as u64 * 1000;
    total.saturating_sub(used_by_others).max(total / 2) * USABLE_SHARE.0 / USABLE_SHARE.1
}

/// How much of the machine is busy, from two readings of its processor times; 0 where it does not show them.
pub fn busy_millicores(cores: usize) -> Millicores {
    let Some(before) = fs::read_to_string("/proc/stat").ok().and_then(|text| parse_cpu_times(&text)) else {
        return 0;
    };
    thread::sleep(SAMPLING_TIME);
    let Some(after) = fs::read_to_string("/proc/stat").ok().and_then(|text| parse_cpu_times(&text)) else {
        return 0;
    };
    let (busy, total) = (after.0.saturating_sub(before.0), after.1.saturating_sub(before.1));
    (cores as u64 * 1000 * busy).checked_div(total).unwrap_or(0)
}

/// The time between the two readings.
const SAMPLING_TIME: Duration = Duration::from_millis(500);

/// The processor time, in seconds, of this process and of the child processes that it has waited for.
pub fn cpu_seconds_used() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // Field 3, the state, follows the process name; fields 14 to 17 are the user and system times, in hundredths of a
    // second.
    let times = stat.rsplit(") ").next()?.split(' ').skip(11).take(4);
    Some(times.filter_map(|time| time.parse::<f64>().ok()).sum::<f64>() / 100.0)
}

/// The busy and the total time of all cores, in the units of `/proc/stat`.
pub fn parse_cpu_times(stat: &str) -> Option<(u64, u64)> {
    let line = stat.lines().next()?.strip_prefix("cpu ")?;
    let times: Vec<u64> = line.split_whitespace().map_while(|time| time.parse().ok()).collect();
    // user, nice, system, idle, iowait, irq, softirq, steal; the later fields are part of user and nice.
    let total: u64 = times.iter().take(8).sum();
    Some((total.checked_sub(times.get(3)? + times.get(4)?)?, total))
}

#[derive(Default)]
struct Usage {
    millicores: Millicores,
    /// The number of the next request for admission.
    next_request: u64,
    /// The number of the next request to be admitted; requests are admitted in order.
    next_admitted: u64,
}

/// Admits scenes while there is capacity, in the order in which they ask.
pub struct Admission {
    capacity: Millicores,
    usage: Mutex<Usage>,
    changed: Condvar,
}

impl Admission {
    /// Admits scenes up to this capacity.
    pub fn new(capacity: Millicores) -> Admission {
        Admission { capacity, usage: Mutex::default(), changed: Condvar::new() }
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is capacity for this demand. A demand over the whole capacity is admitted alone.
    pub fn admit(&self, demand: Millicores) -> Permit<'_> {
        let demand = demand.min(self.capacity);
        let mut usage = self.usage();
        let number = usage.next_request;
        usage.next_request += 1;
        let must_wait =
            |usage: &mut Usage| usage.next_admitted != number || usage.millicores + demand > self.capacity;
        usage = self.changed.wait_while(usage, must_wait).unwrap_or_else(PoisonError::into_inner);
        (usage.millicores, usage.next_admitted) = (usage.millicores + demand, usage.next_admitted + 1);
        // There may be capacity for the next as well.
        self.changed.notify_all();
        Permit { admission: self, demand }
    }

    /// How many requests for admission there were so far.
    pub fn admissions_requested(&self) -> u64 {
        self.usage().next_request
    }

    /// Waits until no other scene runs, and admits none until the permit is dropped.
    pub fn admit_exclusively(&self) -> Permit<'_> {
        self.admit(self.capacity)
    }
}

/// The capacity that a running scene holds; dropping this frees it.
pub struct Permit<'a> {
    admission: &'a Admission,
    demand: Millicores,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.admission.usage().millicores -= self.demand;
        self.admission.changed.notify_all();
    }
}
