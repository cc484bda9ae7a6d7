//! How many scenes play at once, and which of them are played again.
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
fn whatever_a_scene_starts_is_reckoned() {
    let plain = demand_of(SCENE);
    assert!(plain > 0);
    let more = [
        ("sidecars 4", "sidecars 5"),
        ("keepers 3", "keepers 4"),
        ("load 20", "load 40"),
        ("old:read", "old:read mid:read"),
        ("load 20", "version 2 new:read\nload 20"),
    ];
    for (one, other) in more {
        assert!(demand_of(&SCENE.replace(one, other)) > plain, "{other}");
    }
}

#[test]
fn room_is_what_others_leave() {
    assert_eq!(available_capacity(8, 0), 2000);
    assert_eq!(available_capacity(8, 3000), 1250);
    // A machine that is full gives half of itself to who asks for it.
    assert_eq!(available_capacity(8, 8000), 1000);
    assert_eq!(available_capacity(1, 0), 250);
    let stat = "cpu  10 1 5 80 4 2 3 1 9 9\ncpu0 1 1 1 1 1 1 1 1 0 0\n";
    assert_eq!(parse_cpu_times(stat), Some((22, 106)));
    assert_eq!(parse_cpu_times("intr 7"), None);
    assert_eq!(parse_cpu_times("cpu  10 1"), None);
}

#[test]
fn no_more_play_at_once_than_there_is_room_for() {
    let (admission, plays, most) = (Admission::new(1000), AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for demand in [300, 400, 300, 5000, 900, 200, 1000, 100] {
            let (admission, plays, most) = (&admission, &plays, &most);
            scope.spawn(move || {
                let _admitted = admission.admit(demand);
                // More than all of it counts as all of it.
                let own = demand.min(1000);
                most.fetch_max(plays.fetch_add(own, Ordering::SeqCst) + own, Ordering::SeqCst);
                thread::sleep(Duration::from_millis(10));
                plays.fetch_sub(own, Ordering::SeqCst);
            });
        }
    });
    assert_eq!(most.load(Ordering::SeqCst), 1000);
}

#[test]
fn whoever_asks_first_enters_first() {
    let admission = Admission::new(1000);
    let (order, entered) = channel();
    thread::scope(|scope| {
        let first = admission.admit(600);
        // The large one waits, and the small one, for which there is room, waits behind it.
        for (at, demand) in [900, 300].into_iter().enumerate() {
            let (admission, order) = (&admission, order.clone());
            scope.spawn(move || {
                let _admitted = admission.admit(demand);
                order.send(at).expect("heard");
            });
            admission_has_waiting(admission, at as u64 + 2);
        }
        assert!(entered.try_recv().is_err());
        drop(first);
        assert_eq!([entered.recv(), entered.recv()], [Ok(0), Ok(1)]);
    });
}

/// Until so many have asked.
fn admission_has_waiting(admission: &Admission, asked: u64) {
    while admission.admissions_requested() < asked {
        thread::sleep(Duration::from_millis(1));
    }
}

fn no_figure() -> RunError {
    RunError::Inconclusive { reason: "9 of 10 calls went out late".into(), failed_expectations: vec![] }
}

/// What comes of plays that go as told, and how many of them there were.
fn played(goes: impl Fn(usize) -> Result<(), RunError>) -> (Result<(), RunError>, usize) {
    let (admission, plays) = (Admission::new(1000), AtomicUsize::new(0));
    let came = run_admitted(&admission, 100, "a scene", || goes(plays.fetch_add(1, Ordering::SeqCst)));
    (came, plays.load(Ordering::SeqCst))
}

#[test]
fn none_without_a_figure_passes() {
    let (came, plays) = played(|_| Err(no_figure()));
    assert!(matches!(came, Err(RunError::Inconclusive { .. })));
    assert_eq!(plays, 1 + MAX_RERUNS);
}

#[test]
fn one_without_a_figure_is_played_again() {
    let (came, plays) = played(|at| if at < 2 { Err(no_figure()) } else { Ok(()) });
    assert!(came.is_ok());
    assert_eq!(plays, 3);
}

#[test]
fn a_fault_is_not_played_again() {
    let fault = || Err(RunError::Failed("n0 has ended".into()));
    let (came, plays) = played(|_| fault());
    assert!(matches!(came, Err(RunError::Failed(_))));
    assert_eq!(plays, 1);
    // Nor one that shows when it is played again.
    let (came, plays) = played(|at| if at == 0 { Err(no_figure()) } else { fault() });
    assert!(matches!(came, Err(RunError::Failed(_))));
    assert_eq!(plays, 2);
    // What has a figure is not played again either: whether it is broken is for the caller to say.
    assert_eq!(played(|_| Ok(())).1, 1);
}

#[test]
fn one_that_is_played_again_is_alone() {
    let (admission, others, plays) = (Admission::new(1000), AtomicUsize::new(0), AtomicUsize::new(0));
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
        let came = run_admitted(&admission, 300, "a scene", || {
            let again = plays.fetch_add(1, Ordering::SeqCst) > 0;
            for _ in 0..if again { 10 } else { 0 } {
                assert_eq!(others.load(Ordering::SeqCst), 0);
                thread::sleep(Duration::from_millis(1));
            }
            Err::<(), _>(no_figure())
        });
        assert!(came.is_err());
    });
}
