//! What was seen of each call: when its client closed, and when the first byte of each attempt came to a server.
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An attempt that begins longer after its client's close is a break.
pub const BOUND: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct CallNo(pub u32);

#[derive(Default)]
struct Seen {
    /// Taken before the close.
    left: Option<Instant>,
    /// Leaves before the others do.
    early: bool,
    attempts: Vec<Instant>,
}

#[derive(Default)]
pub struct Ledger(Mutex<BTreeMap<CallNo, Seen>>);

/// What a play shows.
#[derive(Default, Debug)]
pub struct Judged {
    /// Leavers by how many attempts had begun before their close: none, one, more.
    pub left_at: [usize; 3],
    /// Attempts that began after the close, and the longest time between the two.
    pub after: usize,
    pub longest: Duration,
    /// Beyond the bound, also less what the machine took; the longest of these.
    pub broken: Option<(CallNo, Duration, Duration)>,
    /// Beyond the bound by what the machine took.
    pub machines: Option<(CallNo, Duration, Duration)>,
    /// Attempts for those who stayed, longer after the first close than the bound: the moment would have come.
    pub stayed: usize,
}

impl Ledger {
    pub fn attempt(&self, id: &str, at: Instant) {
        let id = CallNo(u32::from_str_radix(id, 16).expect("our id"));
        self.0.lock().expect("ledger").entry(id).or_default().attempts.push(at);
    }

    pub fn attempts(&self) -> usize {
        self.0.lock().expect("ledger").values().map(|seen| seen.attempts.len()).sum()
    }

    /// Its client closes right after the instant that this returns.
    pub fn leaves(&self, call: CallNo, early: bool) -> Instant {
        let mut ledger = self.0.lock().expect("ledger");
        let (seen, now) = (ledger.entry(call).or_default(), Instant::now());
        (seen.left, seen.early) = (Some(now), early);
        now
    }

    /// `took` is how much of a span the machine took.
    pub fn judge(&self, took: impl Fn(Instant, Instant) -> Duration) -> Judged {
        let (ledger, mut judged) = (self.0.lock().expect("ledger"), Judged::default());
        let early = || ledger.values().filter(|seen| seen.early);
        let first = early().filter_map(|seen| seen.left).min().expect("leavers");
        for seen in early() {
            let begun = seen.attempts.iter().filter(|at| seen.left.is_some_and(|left| **at <= left));
            judged.left_at[begun.count().min(2)] += 1;
        }
        for (call, seen) in ledger.iter() {
            for &at in &seen.attempts {
                if !seen.early {
                    judged.stayed += usize::from(at > first + BOUND);
                }
                let Some(left) = seen.left.filter(|left| *left < at) else { continue };
                let late = at - left;
                (judged.after, judged.longest) = (judged.after + 1, judged.longest.max(late));
                if late > BOUND {
                    let took = took(left, at);
                    let of = if late.saturating_sub(took) > BOUND {
                        &mut judged.broken
                    } else {
                        &mut judged.machines
                    };
                    if of.is_none_or(|(_, longest, _)| longest < late) {
                        *of = Some((*call, late, took));
                    }
                }
            }
        }
        judged
    }
}

#[test]
fn an_attempt_after_the_bound_is_the_machines_only_by_what_that_took() {
    let judged = |after: u64, took: u64| {
        let (ledger, left) = (Ledger::default(), Instant::now());
        let seen =
            Seen { left: Some(left), early: true, attempts: vec![left + Duration::from_millis(after)] };
        ledger.0.lock().expect("ledger").insert(CallNo(7), seen);
        let judged = ledger.judge(|_, _| Duration::from_millis(took));
        (judged.after, judged.broken.is_some(), judged.machines.is_some())
    };
    assert_eq!(judged(0, 0), (0, false, false));
    assert_eq!(judged(100, 0), (1, false, false));
    assert_eq!(judged(101, 0), (1, true, false));
    assert_eq!(judged(150, 49), (1, true, false));
    assert_eq!(judged(150, 50), (1, false, true));
}
