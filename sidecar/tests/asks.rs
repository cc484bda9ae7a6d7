//! A whole zone loses discovery at once: its sidecars' asks are spread, and after it has failed for however long each asks
//! again in time, whatever the settings allow.
use oakhollow::rules::Balancer;
use oakhollow::types::{Action, BalancerConfig, Event, ListKind, Micros};
use oakhollow_terms::SidecarConfig;
use std::collections::BTreeSet;

const SIDECARS: u64 = 300;
/// A change counts as told 6 s after discovery had it and could be reached; the rest is for the call, and a slow machine.
const IN_TIME: Micros = Micros::millis(5_000);
const WINDOW: u64 = 100_000;

fn terms(ask_within: &str) -> BalancerConfig {
    let name = format!("oakhollow-asks-{}-{ask_within}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    let json = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{{"me":0,"balancers":{SIDECARS},
        "discovery":"on_request","bounds":{{"most_hops":2}},"rules":{{"cold_from":0.5,"fall_s":1,"warm_within_s":5,"ask_within_s":{ask_within}}},
        "workloads":[{{"name":"view","quoted_time_s":1,"abandon_time_s":2,"semantics":"read_like"}}]}}}}"#
    );
    std::fs::write(&file, json).expect("the file");
    let start = SidecarConfig::from_file(&file).expect("sound");
    std::fs::remove_file(&file).expect("removed");
    start.settings.balancer
}

/// When one sidecar asks, whose watch ends at 0 and whose asks all fail at once, until then.
fn asks(terms: &BalancerConfig, seed: u64, until: Micros) -> Vec<Micros> {
    let (mut out, mut now, mut wakes, mut asks) = (Vec::new(), Micros(0), BTreeSet::new(), Vec::new());
    let mut sidecar = Balancer::new(terms, seed, now, &mut out);
    sidecar.on(now, Event::ListReceived { kind: ListKind::Whole, entries: &[] }, &mut out);
    out.retain(|action| *action != Action::Subscribe);
    sidecar.on(now, Event::ListReceived { kind: ListKind::Failed, entries: &[] }, &mut out);
    while now < until {
        while let Some(action) = out.pop() {
            match action {
                Action::SetTimer { after, token } => _ = wakes.insert((now + after, token.0)),
                Action::Subscribe => {
                    asks.push(now);
                    sidecar.on(now, Event::ListReceived { kind: ListKind::Failed, entries: &[] }, &mut out);
                }
                _ => {}
            }
        }
        let (then, token) = wakes.pop_first().expect("its heart beats");
        now = then;
        sidecar.on(now, Event::TimerFired(oakhollow::types::TimerToken(token)), &mut out);
    }
    asks
}

#[test]
fn a_zone_s_asks_are_spread_and_come_in_time() {
    for ask_within in ["0", "2", "10", "60", "600"] {
        let terms = terms(ask_within);
        let all: Vec<Vec<Micros>> =
            (0..SIDECARS).map(|seed| asks(&terms, seed, Micros::millis(60_000))).collect();
        // A call that tells nothing may take as long as the longest wait, and is followed by one.
        let waits = all.iter().flat_map(|asks| asks.windows(2).map(|pair| pair[1] - pair[0]));
        let longest = waits.max().expect("asks");
        assert!(longest.times(2.0) <= IN_TIME, "{ask_within}: {longest:?}");
        // Past the first, which come within half a second, no tenth of a second sees more than a third of the zone.
        let late = all.iter().flatten().filter(|at| at.0 >= 2_000_000);
        let mut windows = vec![0; 600];
        late.for_each(|at| {
            windows.get_mut((at.0 / WINDOW) as usize).into_iter().for_each(|count| *count += 1)
        });
        let most = windows.into_iter().max().expect("windows");
        assert!(most <= SIDECARS / 3, "{ask_within}: {most} asks in {WINDOW} us");
    }
}
