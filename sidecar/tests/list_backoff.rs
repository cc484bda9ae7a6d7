//! All instances of a zone lose discovery at once. Their list requests must be spread over time, and each instance must
//! repeat its request often enough, however long discovery has failed and whatever interval the settings allow.
use oakhollow::rules::Balancer;
use oakhollow::types::{Action, BalancerConfig, Event, ListKind, Micros};
use oakhollow_terms::SidecarConfig;
use std::collections::BTreeSet;

const INSTANCES: u64 = 300;
/// A change counts as notified 6 s after discovery had it and could be reached. The rest of that time is for the
/// request, and for a slow machine.
const MAX_INTERVAL: Micros = Micros::millis(5_000);
const WINDOW_US: u64 = 100_000;

fn balancer_config(ask_within_s: &str) -> BalancerConfig {
    let name = format!("oakhollow-list-backoff-{}-{ask_within_s}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    let json = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{{"me":0,"balancers":{INSTANCES},
        "discovery":"on_request","bounds":{{"most_hops":2}},"rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5,"ask_within_s":{ask_within_s}}},
        "workloads":[{{"name":"view","quoted_time_s":1,"abandon_time_s":2,"semantics":"read_like"}}]}}}}"#
    );
    std::fs::write(&file, json).expect("the file");
    let start = SidecarConfig::from_file(&file).expect("sound");
    std::fs::remove_file(&file).expect("removed");
    start.settings.balancer
}

/// When one instance requests the list until `until`, if its watch ends at 0 and each of its requests fails at once.
fn request_times(balancer_config: &BalancerConfig, seed: u64, until: Micros) -> Vec<Micros> {
    let (mut out, mut now, mut timers, mut request_times) =
        (Vec::new(), Micros(0), BTreeSet::new(), Vec::new());
    let mut balancer = Balancer::new(balancer_config, seed, now, &mut out);
    balancer.on(now, Event::ListReceived { kind: ListKind::Whole, entries: &[] }, &mut out);
    out.retain(|action| *action != Action::Subscribe);
    balancer.on(now, Event::ListReceived { kind: ListKind::Failed, entries: &[] }, &mut out);
    while now < until {
        while let Some(action) = out.pop() {
            match action {
                Action::SetTimer { after, token } => _ = timers.insert((now + after, token.0)),
                Action::Subscribe => {
                    request_times.push(now);
                    balancer.on(now, Event::ListReceived { kind: ListKind::Failed, entries: &[] }, &mut out);
                }
                _ => {}
            }
        }
        let (then, token) = timers.pop_first().expect("a timer is always set");
        now = then;
        balancer.on(now, Event::TimerFired(oakhollow::types::TimerToken(token)), &mut out);
    }
    request_times
}

#[test]
fn list_requests_of_a_zone_are_spread_and_frequent_enough() {
    for ask_within_s in ["0", "2", "10", "60", "600"] {
        let balancer_config = balancer_config(ask_within_s);
        let all: Vec<Vec<Micros>> = (0..INSTANCES)
            .map(|seed| request_times(&balancer_config, seed, Micros::millis(60_000)))
            .collect();
        // A request that brings nothing may take as long as the longest wait, and is followed by another wait.
        let waits =
            all.iter().flat_map(|request_times| request_times.windows(2).map(|pair| pair[1] - pair[0]));
        let longest = waits.max().expect("requests");
        assert!(longest.times(2.0) <= MAX_INTERVAL, "{ask_within_s}: {longest:?}");
        // After the first requests, which all come within half a second, no tenth of a second has those of more
        // than a third.
        let late = all.iter().flatten().filter(|at| at.0 >= 2_000_000);
        let mut windows = vec![0; 600];
        late.for_each(|at| {
            windows.get_mut((at.0 / WINDOW_US) as usize).into_iter().for_each(|count| *count += 1)
        });
        let most = windows.into_iter().max().expect("windows");
        assert!(most <= INSTANCES / 3, "{ask_within_s}: {most} requests in {WINDOW_US} us");
    }
}
