//! Admission of scenes that run side by side, and the rules for running a scene again.
use oakhollow_lab::admission::{available_capacity, estimated_demand, parse_cpu_times, Admission};
use oakhollow_lab::reruns::{run_admitted, MAX_RERUNS};
use oakhollow_lab::scene::Scene;
use oakhollow_lab::scene_runner::RunError;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const SCENE: &str = "sidecars 4 keepers 3 within 1.0\nversion 1 view:read old:read\nload 20\nuntil 4";

fn demand_of(text: &str) -> u64 {
    estimated_demand(&Scene::parse(text).expect("a scene"))
}

#[test]
fn estimated_demand_grows_with_everything_that_a_scene_starts() {
    let plain = demand_of(SCENE);
    assert!(plain > 0);
    let replacements = [
        ("sidecars 4", "sidecars 5"),
        ("keepers 3", "keepers 4"),
        ("load 20", "load 40"),
        ("old:read", "old:read mid:read"),
        ("load 20", "version 2 new:read\nload 20"),
    ];
    for (old, new) in replacements {
        assert!(demand_of(&SCENE.replace(old, new)) > plain, "{new}");
    }
}

#[test]
fn available_capacity_is_what_other_processes_leave() {
    assert_eq!(available_capacity(8, 0), 2000);
    assert_eq!(available_capacity(8, 3000), 1250);
    // Half of a fully busy machine is still available.
    assert_eq!(available_capacity(8, 8000), 1000);
    assert_eq!(available_capacity(1, 0), 250);
    let stat = "cpu  10 1 5 80 4 2 3 1 9 9\ncpu0 1 1 1 1 1 1 1 1 0 0\n";
    assert_eq!(parse_cpu_times(stat), Some((22, 106)));
    assert_eq!(parse_cpu_times("intr 7"), None);
    assert_eq!(parse_cpu_times("cpu  10 1"), None);
}

#[test]
fn admitted_demand_never_exceeds_the_capacity() {
    let (admission, in_use, max_in_use) = (Admission::new(1000), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for demand in [300, 400, 300, 5000, 900, 200, 1000, 100] {
            let (admission, in_use, max_in_use) = (&admission, &in_use, &max_in_use);
            scope.spawn(move || {
                let _admitted = admission.admit(demand);
                // A demand above the whole capacity counts as the whole capacity.
                let own = demand.min(1000);
                max_in_use.fetch_max(in_use.fetch_add(own, Ordering::SeqCst) + own, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(10));
                in_use.fetch_sub(own, Ordering::SeqCst);
            });
        }
    });
    assert_eq!(max_in_use.load(Ordering::SeqCst), 1000);
}

#[test]
fn admission_is_first_come_first_served() {
    let admission = Admission::new(1000);
    let (order, entered) = channel();
    thread::scope(|scope| {
        let first = admission.admit(600);
        // The large request waits, and the small one waits behind it although it would fit.
        for (number, demand) in [900, 300].into_iter().enumerate() {
            let (admission, order) = (&admission, order.clone());
            scope.spawn(move || {
                let _admitted = admission.admit(demand);
                order.send(number).expect("sent");
            });
            wait_until_requested(admission, number as u64 + 2);
        }
        assert!(entered.try_recv().is_err());
        drop(first);
        assert_eq!([entered.recv(), entered.recv()], [Ok(0), Ok(1)]);
    });
}

/// Waits until this many admissions have been requested.
fn wait_until_requested(admission: &Admission, requested: u64) {
    while admission.admissions_requested() < requested {
        thread::sleep(Duration::from_millis(1));
    }
}

fn inconclusive() -> RunError {
    RunError::Inconclusive { reason: "9 of 10 calls went out late".into(), failed_expectations: vec![] }
}

/// The final result of runs with the given results, and the number of runs.
fn run_with(result_of: impl Fn(usize) -> Result<(), RunError>) -> (Result<(), RunError>, usize) {
    let (admission, runs) = (Admission::new(1000), AtomicUsize::new(0));
    let result = run_admitted(&admission, 100, "a scene", || result_of(runs.fetch_add(1, Ordering::SeqCst)));
    (result, runs.load(Ordering::SeqCst))
}

#[test]
fn a_scene_that_stays_inconclusive_fails() {
    let (result, runs) = run_with(|_| Err(inconclusive()));
    assert!(matches!(result, Err(RunError::Inconclusive { .. })));
    assert_eq!(runs, 1 + MAX_RERUNS);
}

#[test]
fn an_inconclusive_scene_runs_again() {
    let (result, runs) = run_with(|run| if run < 2 { Err(inconclusive()) } else { Ok(()) });
    assert!(result.is_ok());
    assert_eq!(runs, 3);
}

#[test]
fn a_failed_scene_does_not_run_again() {
    let failure = || Err(RunError::Failed("n0 has ended".into()));
    let (result, runs) = run_with(|_| failure());
    assert!(matches!(result, Err(RunError::Failed(_))));
    assert_eq!(runs, 1);
    // Nor does one that fails in its second run.
    let (result, runs) = run_with(|run| if run == 0 { Err(inconclusive()) } else { failure() });
    assert!(matches!(result, Err(RunError::Failed(_))));
    assert_eq!(runs, 2);
    // A conclusive scene does not run again either; the caller checks its report.
    assert_eq!(run_with(|_| Ok(())).1, 1);
}

#[test]
fn a_rerun_has_the_machine_to_itself() {
    let (admission, others, runs) = (Admission::new(1000), AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..4 {
            let (admission, others) = (&admission, &others);
            scope.spawn(move || {
                for _ in 0..5 {
                    let _admitted = admission.admit(300);
                    others.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(2));
                    others.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
        let result = run_admitted(&admission, 300, "a scene", || {
            let is_rerun = runs.fetch_add(1, Ordering::SeqCst) > 0;
            for _ in 0..if is_rerun { 10 } else { 0 } {
                assert_eq!(others.load(Ordering::SeqCst), 0);
                thread::sleep(Duration::from_millis(1));
            }
            Err::<(), _>(inconclusive())
        });
        assert!(result.is_err());
    });
}
