//! Records for each request when its client left, and when a server received the first byte of each of its attempts.
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An attempt that begins later than this after its client left is a violation.
pub const BOUND: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct RequestNo(pub u32);

#[derive(Default)]
struct RequestRecord {
    /// Taken right before its client leaves.
    left_at: Option<Instant>,
    /// Whether the client leaves during the case, rather than at its end.
    leaves_early: bool,
    attempts: Vec<Instant>,
}

#[derive(Default)]
pub struct Ledger(Mutex<BTreeMap<RequestNo, RequestRecord>>);

/// What a run of a case shows.
#[derive(Default, Debug)]
pub struct Findings {
    /// Clients that left, by how many of their attempts had begun before: none, one, more.
    pub attempts_at_departure: [usize; 3],
    /// Attempts that began after their client had left.
    pub attempts_after: usize,
    /// The longest time from a client's departure to the beginning of such an attempt.
    pub longest_delay: Duration,
    /// The latest attempt that is beyond the bound even with the stalls subtracted: its request, its delay, the stalls.
    pub violation: Option<(RequestNo, Duration, Duration)>,
    /// The latest attempt that is beyond the bound only because of stalls.
    pub explained_by_stalls: Option<(RequestNo, Duration, Duration)>,
    /// Attempts for clients that stayed which began later than the bound after the first departure: they show that
    /// attempts were still being sent.
    pub attempts_for_others: usize,
}

impl Ledger {
    pub fn record_attempt(&self, id: &str, at: Instant) {
        let id = RequestNo(u32::from_str_radix(id, 16).expect("a hexadecimal id of this test"));
        self.0.lock().expect("ledger").entry(id).or_default().attempts.push(at);
    }

    pub fn attempt_count(&self) -> usize {
        self.0.lock().expect("ledger").values().map(|record| record.attempts.len()).sum()
    }

    /// Records that a request's client leaves right after the returned instant.
    pub fn record_departure(&self, request: RequestNo, leaves_early: bool) -> Instant {
        let mut ledger = self.0.lock().expect("ledger");
        let (record, now) = (ledger.entry(request).or_default(), Instant::now());
        (record.left_at, record.leaves_early) = (Some(now), leaves_early);
        now
    }

    /// Evaluates the run. `stalled` returns for how much of a time span the test or the program was kept from running.
    pub fn evaluate(&self, stalled: impl Fn(Instant, Instant) -> Duration) -> Findings {
        let (ledger, mut findings) = (self.0.lock().expect("ledger"), Findings::default());
        let leaves_early = || ledger.values().filter(|record| record.leaves_early);
        let first_departure =
            leaves_early().filter_map(|record| record.left_at).min().expect("clients that left");
        for record in leaves_early() {
            let attempts_before =
                record.attempts.iter().filter(|at| record.left_at.is_some_and(|left_at| **at <= left_at));
            findings.attempts_at_departure[attempts_before.count().min(2)] += 1;
        }
        for (request, record) in ledger.iter() {
            for &at in &record.attempts {
                if !record.leaves_early {
                    findings.attempts_for_others += usize::from(at > first_departure + BOUND);
                }
                let Some(left_at) = record.left_at.filter(|left_at| *left_at < at) else { continue };
                let delay = at - left_at;
                (findings.attempts_after, findings.longest_delay) =
                    (findings.attempts_after + 1, findings.longest_delay.max(delay));
                if delay > BOUND {
                    let stalled = stalled(left_at, at);
                    let finding = if delay.saturating_sub(stalled) > BOUND {
                        &mut findings.violation
                    } else {
                        &mut findings.explained_by_stalls
                    };
                    if finding.is_none_or(|(_, longest_delay, _)| longest_delay < delay) {
                        *finding = Some((*request, delay, stalled));
                    }
                }
            }
        }
        findings
    }
}

#[test]
fn a_late_attempt_is_excused_only_by_the_time_of_stalls() {
    let findings = |delay_ms: u64, stalled_ms: u64| {
        let (ledger, left_at) = (Ledger::default(), Instant::now());
        let record = RequestRecord {
            left_at: Some(left_at),
            leaves_early: true,
            attempts: vec![left_at + Duration::from_millis(delay_ms)],
        };
        ledger.0.lock().expect("ledger").insert(RequestNo(7), record);
        let findings = ledger.evaluate(|_, _| Duration::from_millis(stalled_ms));
        (findings.attempts_after, findings.violation.is_some(), findings.explained_by_stalls.is_some())
    };
    assert_eq!(findings(0, 0), (0, false, false));
    assert_eq!(findings(100, 0), (1, false, false));
    assert_eq!(findings(101, 0), (1, true, false));
    assert_eq!(findings(150, 49), (1, true, false));
    assert_eq!(findings(150, 50), (1, false, true));
}
