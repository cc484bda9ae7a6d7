//! What the judge makes of sidecars that do as they should not.
use oakhollow_lab::checker::{check, longest_contradiction, Attempt, ResponseSeen};
use oakhollow_lab::scene::Scene;

const SCENE: &str = "sidecars 3 keepers 1 within 1.0\nversion 1 view:read old:read fails:read\n\
    version 2 view:read new:read fails:once\nuntil 9\nexpect contradiction 0.2\nexpect n2 silent 4 5";

fn broken(
    scene: &Scene, hops: &[Attempt], answers: &[ResponseSeen], logs: &[(String, String)],
) -> Vec<String> {
    check(scene, hops, answers, logs).failed_expectations
}

/// Hops as `TIME SIDECAR WORKLOAD ID`, and what the judge says is broken.
fn judged(hops: &str) -> (Option<f64>, Vec<String>) {
    let scene = Scene::parse(SCENE).expect("a scene");
    let hop = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        Attempt {
            at: words[0].parse().expect("a time"),
            sidecar: words[1].parse().expect("a sidecar"),
            server: words.get(4).map_or(0, |server| server.parse().expect("a server")),
            workload: words[2].into(),
            id: words[3].into(),
        }
    };
    let hops: Vec<Attempt> = hops.split(';').map(|line| hop(line.trim())).collect();
    let length = longest_contradiction(&scene, &hops).ok().flatten().map(|found| found.duration_s);
    (length, broken(&scene, &hops, &[], &[]))
}

#[test]
fn an_ordinary_change_is_no_contradiction() {
    let (length, faults) =
        judged("1 0 old a; 1.5 1 old b; 2 0 view c; 3 0 new d; 3.1 1 fails e; 3.2 1 view f; 6 2 new g");
    assert_eq!((length, faults), (None, vec![]));
    // One that does both is no contradiction with another.
    assert_eq!(judged("1 0 new a; 2 0 old b").0, None);
}

#[test]
fn crooked_sidecars_are_caught() {
    // It acts on the old settings after another has acted on the new ones: late, or by a lower number taken again.
    let (length, faults) = judged("1 0 old a; 2 1 new b; 3.5 0 old c");
    assert_eq!(length, Some(1.5));
    assert!(
        faults[0].starts_with("contradiction of 1.500 s: n0 sent old by version 1, n1 acted on 2"),
        "{faults:?}"
    );
    // Whoever goes back was the first to act on the new ones.
    assert_eq!(judged("1 0 new a; 2 1 new b; 3.5 0 old c").0, Some(1.5));
    // It repeats what the new ones have as once-only.
    assert_eq!(judged("2 1 new b; 2.1 0 fails c; 2.6 0 fails c").0, Some(0.6000000000000001));
    // It sends to a server which another that serves was told to drain.
    let scene = Scene::parse(&SCENE.replace("until 9", "until 9\nat 2 drain n0 s1\nexpect drains 1"))
        .expect("a scene");
    let sent =
        |at, sidecar, server| Attempt { at, sidecar, server, workload: "view".into(), id: format!("{at}") };
    let goes_on = |from: f64, to: f64| {
        let own = (0..100).map(move |at| from + 0.1 * f64::from(at)).take_while(move |at| *at < to);
        own.map(|at| sent(at, 0, 0)).chain([sent(2.5, 1, 1), sent(3.5, 1, 1)]).collect::<Vec<_>>()
    };
    assert_eq!(
        broken(&scene, &goes_on(1.05, 4.0), &[], &[]),
        ["n1 sends to s1 1.500 s after n0, which serves, was told that it drains"]
    );
    // Whoever was told dismisses by then, or did so meanwhile.
    assert!(broken(&scene, &goes_on(1.05, 3.0), &[], &[]).is_empty());
    assert!(broken(&scene, &goes_on(2.95, 4.0), &[], &[]).is_empty());
    // It ignores that its lease has run out.
    assert_eq!(judged("4.5 2 view a").1, ["n2 sends 1 hops from 4 s to 5 s, none were expected"]);
    // It does what no version allows.
    assert!(judged("1 0 odd a").1[0].starts_with("a hop of odd by n0 at 1.000 s that no version allows"));
}

#[test]
fn a_call_without_an_answer_is_a_fault_where_nothing_was_killed() {
    let scene = Scene::parse(&SCENE.replace("until 9", "until 9\nat 6 kill n1")).expect("a scene");
    let missing = |sidecar, at| vec![ResponseSeen { at, sidecar, status: None }];
    assert_eq!(broken(&scene, &[], &missing(0, 6.5), &[]), ["1 calls without an answer"]);
    assert!(broken(&scene, &[], &missing(1, 6.5), &[]).is_empty());
    assert_eq!(broken(&scene, &[], &missing(1, 1.0), &[]).len(), 1);
}
