//! How many scenes play at once: as many as the machine's cores have room for, by the processor time that the parts of one
//! were measured to take.
use crate::scene::Scene;
use std::fs;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Thousandths of a core.
pub type Millicores = u64;

/// What a process of the program takes with its discovery; a relay on a link between two instances; and a call a second
/// with its caller, its hop at a server and its share of the sidecar. Fitted, and rounded up, to what `oakhollow-lab play`
/// said of twelve scenes in the build of the tests: `stopped` 197 (640 calls a second), `deaf` 123 (240), `behind` 110
/// (160), `strangers` 98 (120, four links in place of twelve), `links` 143 and `cut-off` 110 (five processes, 250 and 200).
/// Servers at rest take nothing: their work is in the calls.
const PROCESS: Millicores = 20;
const LINK: Millicores = 1;
const CALL_A_SECOND: f64 = 0.25;

/// What a scene takes of the machine while it plays, reckoned from what it starts.
pub fn estimated_demand(scene: &Scene) -> Millicores {
    let sidecars = scene.sidecars as u64;
    let calls = scene.sidecars as f64 * scene.workloads().len() as f64 * scene.rate;
    let links = sidecars * scene.keepers as u64;
    sidecars * PROCESS + links * LINK + (calls * CALL_A_SECOND).ceil() as u64
}

/// Of the room on the machine so much is given out: over a quarter of a second a scene takes nearly twice its mean,
/// all of them start at once, and no call may wait.
const GIVEN: (u64, u64) = (1, 4);

/// The room for scenes on a machine of so many cores where others keep so much busy. Half of the cores count even so: that
/// is what its scheduler gives to one of two.
pub fn available_capacity(cores: usize, others: Millicores) -> Millicores {
    let all = cores as u64 * 1000;
    all.saturating_sub(others).max(all / 2) * GIVEN.0 / GIVEN.1
}

/// What is busy on the machine, by a look at its clocks some time apart; nothing where it does not show them.
pub fn busy_millicores(cores: usize) -> Millicores {
    let Some(before) = fs::read_to_string("/proc/stat").ok().and_then(|text| parse_cpu_times(&text)) else {
        return 0;
    };
    thread::sleep(LOOK);
    let Some(after) = fs::read_to_string("/proc/stat").ok().and_then(|text| parse_cpu_times(&text)) else {
        return 0;
    };
    let (busy, all) = (after.0.saturating_sub(before.0), after.1.saturating_sub(before.1));
    (cores as u64 * 1000 * busy).checked_div(all).unwrap_or(0)
}

/// For how long the machine is looked at.
const LOOK: Duration = Duration::from_millis(500);

/// The processor time, in seconds, of this process and of those that it started and that have ended.
pub fn cpu_seconds_used() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // After the name: the state is the third field; user's and system's time the 14th to the 17th, in hundredths.
    let times = stat.rsplit(") ").next()?.split(' ').skip(11).take(4);
    Some(times.filter_map(|time| time.parse::<f64>().ok()).sum::<f64>() / 100.0)
}

/// The busy part of the time of all cores, and the whole, as `/proc/stat` counts them.
pub fn parse_cpu_times(stat: &str) -> Option<(u64, u64)> {
    let line = stat.lines().next()?.strip_prefix("cpu ")?;
    let times: Vec<u64> = line.split_whitespace().map_while(|time| time.parse().ok()).collect();
    // user, nice, system, idle, iowait, irq, softirq, steal; what follows is counted in user already.
    let all: u64 = times.iter().take(8).sum();
    Some((all.checked_sub(times.get(3)? + times.get(4)?)?, all))
}

#[derive(Default)]
struct Taken {
    millicores: Millicores,
    /// Numbers of whoever comes next and of whoever is let in next: in the order in which they came.
    comes: u64,
    enters: u64,
}

/// Lets scenes in while there is room, in the order in which they ask.
pub struct Admission {
    room: Millicores,
    taken: Mutex<Taken>,
    freed: Condvar,
}

impl Admission {
    pub fn new(room: Millicores) -> Admission {
        Admission { room, taken: Mutex::default(), freed: Condvar::new() }
    }

    fn taken(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until there is room. Whatever takes more than all of it plays alone.
    pub fn admit(&self, demand: Millicores) -> Permit<'_> {
        let demand = demand.min(self.room);
        let mut taken = self.taken();
        let own = taken.comes;
        taken.comes += 1;
        let waits = |taken: &mut Taken| taken.enters != own || taken.millicores + demand > self.room;
        taken = self.freed.wait_while(taken, waits).unwrap_or_else(PoisonError::into_inner);
        (taken.millicores, taken.enters) = (taken.millicores + demand, taken.enters + 1);
        // There may be room for the next as well.
        self.freed.notify_all();
        Permit { admission: self, demand }
    }

    /// How many have asked so far.
    pub fn admissions_requested(&self) -> u64 {
        self.taken().comes
    }

    /// Waits until nothing plays, and lets nothing else in.
    pub fn admit_exclusively(&self) -> Permit<'_> {
        self.admit(self.room)
    }
}

/// The room of one that plays, which is free again when this is dropped.
pub struct Permit<'a> {
    admission: &'a Admission,
    demand: Millicores,
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.admission.taken().millicores -= self.demand;
        self.admission.freed.notify_all();
    }
}
