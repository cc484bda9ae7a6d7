//! The checker's findings in hand-made records of faulty sidecars.
use oakhollow_lab::checker::{check, longest_contradiction, Attempt, ResponseSeen};
use oakhollow_lab::scene::Scene;

const SCENE: &str = "sidecars 3 keepers 1 within 1.0\nversion 1 view:read old:read fails:read\n\
    version 2 view:read new:read fails:once\nuntil 9\nexpect contradiction 0.2\nexpect n2 silent 4 5";

fn failed_expectations(
    scene: &Scene, attempts: &[Attempt], answers: &[ResponseSeen], logs: &[(String, String)],
) -> Vec<String> {
    check(scene, attempts, answers, logs).failed_expectations
}

/// Checks attempts written as `TIME SIDECAR WORKLOAD ID [SERVER]`. Returns the longest contradiction and all failed
/// expectations.
fn check_attempts(attempts: &str) -> (Option<f64>, Vec<String>) {
    let scene = Scene::parse(SCENE).expect("a scene");
    let attempt = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        Attempt {
            received_at: words[0].parse().expect("a time"),
            sidecar: words[1].parse().expect("a sidecar"),
            server: words.get(4).map_or(0, |server| server.parse().expect("a server")),
            workload: words[2].into(),
            id: words[3].into(),
        }
    };
    let attempts: Vec<Attempt> = attempts.split(';').map(|line| attempt(line.trim())).collect();
    let duration_s = longest_contradiction(&scene, &attempts).ok().flatten().map(|found| found.duration_s);
    (duration_s, failed_expectations(&scene, &attempts, &[], &[]))
}

#[test]
fn a_normal_change_is_no_contradiction() {
    let (duration_s, failures) = check_attempts(
        "1 0 old a; 1.5 1 old b; 2 0 view c; 3 0 new d; 3.1 1 fails e; 3.2 1 view f; 6 2 new g",
    );
    assert_eq!((duration_s, failures), (None, vec![]));
    // A contradiction takes two sidecars; one that does both is none.
    assert_eq!(check_attempts("1 0 new a; 2 0 old b").0, None);
}

#[test]
fn faulty_sidecars_are_found() {
    // Acts on the old settings after another has acted on the new ones: late, or by going back to a lower version.
    let (duration_s, failures) = check_attempts("1 0 old a; 2 1 new b; 3.5 0 old c");
    assert_eq!(duration_s, Some(1.5));
    assert!(
        failures[0].starts_with("contradiction of 1.500 s: n0 sent old by version 1, n1 acted on 2"),
        "{failures:?}"
    );
    // The same if the one that goes back was the first to act on the new settings.
    assert_eq!(check_attempts("1 0 new a; 2 1 new b; 3.5 0 old c").0, Some(1.5));
    // Repeats a request that is non-idempotent in the new settings.
    assert_eq!(check_attempts("2 1 new b; 2.1 0 fails c; 2.6 0 fails c").0, Some(0.6000000000000001));
    // Sends to a server that another serving sidecar was told is draining.
    let scene = Scene::parse(&SCENE.replace("until 9", "until 9\nat 2 drain n0 s1\nexpect drains 1"))
        .expect("a scene");
    let sent = |received_at, sidecar, server| Attempt {
        received_at,
        sidecar,
        server,
        workload: "view".into(),
        id: format!("{received_at}"),
    };
    let keeps_serving = |from: f64, to: f64| {
        let own = (0..100).map(move |time| from + 0.1 * f64::from(time)).take_while(move |time| *time < to);
        own.map(|time| sent(time, 0, 0)).chain([sent(2.5, 1, 1), sent(3.5, 1, 1)]).collect::<Vec<_>>()
    };
    assert_eq!(
        failed_expectations(&scene, &keeps_serving(1.05, 4.0), &[], &[]),
        ["n1 sends to s1 1.500 s after n0, which serves, was told that it drains"]
    );
    // No finding if the sidecar that was told has stopped serving by then, or did not serve in between.
    assert!(failed_expectations(&scene, &keeps_serving(1.05, 3.0), &[], &[]).is_empty());
    assert!(failed_expectations(&scene, &keeps_serving(2.95, 4.0), &[], &[]).is_empty());
    // Ignores that its lease has expired.
    assert_eq!(check_attempts("4.5 2 view a").1, ["n2 sends 1 hops from 4 s to 5 s, none were expected"]);
    // Sends what no version allows.
    assert!(
        check_attempts("1 0 odd a").1[0].starts_with("a hop of odd by n0 at 1.000 s that no version allows")
    );
}

#[test]
fn a_request_without_an_answer_is_a_failure_unless_its_sidecar_was_killed() {
    let scene = Scene::parse(&SCENE.replace("until 9", "until 9\nat 6 kill n1")).expect("a scene");
    let missing = |sidecar, sent_at| vec![ResponseSeen { sent_at, sidecar, status: None }];
    assert_eq!(failed_expectations(&scene, &[], &missing(0, 6.5), &[]), ["1 calls without an answer"]);
    assert!(failed_expectations(&scene, &[], &missing(1, 6.5), &[]).is_empty());
    assert_eq!(failed_expectations(&scene, &[], &missing(1, 1.0), &[]).len(), 1);
}
