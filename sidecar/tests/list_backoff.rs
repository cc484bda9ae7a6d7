//! All instances of a zone lose discovery at once. Their list requests must be spread over time, and each instance must
//! repeat its request often enough, however long discovery has failed and whatever interval the settings allow.
use oakhollow::rules::Balancer;
use oakhollow::types::{Action, BalancerConfig, Event, ListKind, Micros};
use oakhollow_config::SidecarConfig;
use std::collections::BTreeSet;

const INSTANCES: u64 = 300;
/// The longest time between two requests. A change counts as notified 6 s after discovery had it and could be reached;
/// the remaining second is for the request itself and for a slow machine.
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
    std::fs::write(&file, json).expect("the file is written");
    let config = SidecarConfig::from_file(&file).expect("a valid file");
    std::fs::remove_file(&file).expect("the file is removed");
    config.settings.balancer
}

/// The times at which one instance requests the list before `until`, if its watch ends at time 0 and each of its
/// requests fails at once.
fn request_times(balancer_config: &BalancerConfig, seed: u64, until: Micros) -> Vec<Micros> {
    let (mut actions, mut now, mut timers, mut request_times) =
        (Vec::new(), Micros(0), BTreeSet::new(), Vec::new());
    let mut balancer = Balancer::new(balancer_config, seed, now, &mut actions);
    balancer.on(now, Event::ListReceived { kind: ListKind::Whole, entries: &[] }, &mut actions);
    actions.retain(|action| *action != Action::Subscribe);
    balancer.on(now, Event::ListReceived { kind: ListKind::Failed, entries: &[] }, &mut actions);
    while now < until {
        while let Some(action) = actions.pop() {
            match action {
                Action::SetTimer { after, token } => _ = timers.insert((now + after, token.0)),
                Action::Subscribe => {
                    request_times.push(now);
                    balancer.on(
                        now,
                        Event::ListReceived { kind: ListKind::Failed, entries: &[] },
                        &mut actions,
                    );
                }
                _ => {}
            }
        }
        let (fires_at, token) = timers.pop_first().expect("a timer is always set");
        now = fires_at;
        balancer.on(now, Event::TimerFired(oakhollow::types::TimerToken(token)), &mut actions);
    }
    request_times
}

#[test]
fn list_requests_of_a_zone_are_spread_and_frequent_enough() {
    for ask_within_s in ["0", "2", "10", "60", "600"] {
        let balancer_config = balancer_config(ask_within_s);
        let times_by_instance: Vec<Vec<Micros>> = (0..INSTANCES)
            .map(|seed| request_times(&balancer_config, seed, Micros::millis(60_000)))
            .collect();
        // An unsuccessful request may itself take as long as the longest wait, and another wait follows it.
        let waits = times_by_instance
            .iter()
            .flat_map(|request_times| request_times.windows(2).map(|pair| pair[1] - pair[0]));
        let longest_wait = waits.max().expect("requests");
        assert!(longest_wait.times(2.0) <= MAX_INTERVAL, "{ask_within_s}: {longest_wait:?}");
        // The first requests all come within half a second. Later on, no window of 0.1 s has more requests than a
        // third of the instances.
        let later_requests = times_by_instance.iter().flatten().filter(|time| time.0 >= 2_000_000);
        let mut windows = vec![0; 600];
        later_requests.for_each(|time| {
            windows.get_mut((time.0 / WINDOW_US) as usize).into_iter().for_each(|count| *count += 1)
        });
        let busiest = windows.into_iter().max().expect("windows");
        assert!(busiest <= INSTANCES / 3, "{ask_within_s}: {busiest} requests in {WINDOW_US} us");
    }
}
