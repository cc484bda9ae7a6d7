//! The chain of tiers: its statistics, its client, and short runs of up to two tiers on processes of the program.
mod beside;

use beside::program;
use oakhollow_lab::chain::client::{call, Called, Calls};
use oakhollow_lab::chain::report::{self, RunSettings};
use oakhollow_lab::chain::statistics::{reach_bound, t_quantile, Interval};
use oakhollow_lab::chain::tiers::Tier;
use oakhollow_lab::chain::usage::{figure, usage};
use oakhollow_lab::chain::wire::Clock;
use oakhollow_lab::chain::{Chain, Plan};
use std::thread;
use std::time::Duration;

#[test]
fn t_quantiles_match_published_tables() {
    let table = [(1, 12.706), (2, 4.303), (7, 2.365), (10, 2.228), (11, 2.201), (15, 2.131), (30, 2.042)];
    for (degrees, quantile) in table.into_iter().chain([(60, 2.000), (120, 1.980), (100_000, 1.960)]) {
        let found = t_quantile(degrees);
        assert!((found - quantile).abs() < 0.003, "{degrees}: {found}, not {quantile}");
    }
}

#[test]
fn a_figure_is_reported_unless_its_interval_is_wider_than_the_figure() {
    assert_eq!(Interval::of(&[]), None);
    assert_eq!(Interval::of(&[1.0]), None);
    let wide = Interval::of(&[1.0, 2.0, 3.0, 4.0, 5.0]).expect("five");
    // 2.776 times the root of 2.5 / 5.
    assert!((wide.mean, wide.count) == (3.0, 5) && (wide.half - 1.963).abs() < 0.001, "{wide:?}");
    assert!(!wide.can_be_told());
    let narrow = Interval::of(&[-10.0, -10.1, -9.9, -10.0]).expect("four");
    assert!(narrow.can_be_told(), "{narrow:?}");
    assert!(!Interval::of(&[-1.0, 1.0]).expect("two").can_be_told());
}

#[test]
fn the_reach_bound_multiplies_over_tiers() {
    assert!((reach_bound(0.05, 9) - 1.5513).abs() < 0.0001);
    assert_eq!((reach_bound(0.05, 0), reach_bound(0.0, 9)), (1.0, 1.0));
}

#[test]
fn proc_status_fields_are_matched_by_their_whole_name() {
    let status = "Name:\tx\nnonvoluntary_ctxt_switches:\t7\nvoluntary_ctxt_switches:\t12\n";
    assert_eq!(figure(status, "voluntary_ctxt_switches"), Some(12));
    assert_eq!(figure(status, "ctxt_switches"), None);
    assert_eq!(usage(u32::MAX), None);
}

/// Sends five requests to a single tier that answers by itself; the first was due `ago` before now.
fn five(slow: Duration, ago: Duration) -> Called {
    let clock = Clock::start();
    let tier = Tier::start(1, 1, None, clock, 1).expect("listens");
    tier.slow_down(slow);
    thread::sleep(ago);
    let begin = clock.now() - ago.as_nanos() as u64;
    let calls = Calls { rate: 1000.0, lead: Duration::ZERO, length: Duration::from_millis(5), first: 0 };
    let called = call(tier.addresses[0], &calls, begin, clock).expect("called");
    let seen = tier.take();
    assert_eq!((called.sent, called.counted, called.unasked), (5, 5, 0));
    assert_eq!((seen.hops, seen.copies, seen.calls.len()), (5, 0, 5));
    called
}

#[test]
fn latency_counts_from_when_a_request_was_due() {
    let called = five(Duration::ZERO, Duration::from_millis(200));
    assert_eq!((called.late, called.late_share(), called.served()), (5, 1.0, 5));
    // The histogram keeps three significant digits.
    assert!(called.latency.min() >= 194_000_000, "{}", called.latency.min());
    let slow = five(Duration::from_millis(30), Duration::ZERO);
    assert!(slow.served() == 5 && slow.latency.min() >= 29_900_000, "{}", slow.latency.min());
}

#[test]
fn requests_without_an_answer_are_counted() {
    let called = five(Duration::from_secs(60), Duration::ZERO);
    assert_eq!((called.served(), called.unanswered), (0, 5));
}

#[test]
fn a_chain_of_two_carries_each_request_once_to_the_last_tier_and_back() {
    let program = program();
    let plan = Plan { program: &program, depth: 2, servers: 2, seed: 3 };
    let (lead, length) = (Duration::from_millis(200), Duration::from_millis(800));
    for sidecars in [false, true] {
        let mut chain = Chain::start(&plan, sidecars).expect("starts");
        assert_eq!(chain.sidecars(), if sidecars { 2 } else { 0 });
        let mut calls = 0;
        for slow in [Duration::ZERO, Duration::from_millis(20)] {
            chain.slow_down(slow);
            let round = chain.run(100.0, lead, length).expect("played");
            let called = &round.called;
            assert!(round.whole() && called.sent == 100, "{:?}, {} open", called.answers, called.unanswered);
            assert_eq!(called.counted, 80);
            assert_eq!(round.used.is_some(), sidecars);
            assert!(
                round.used.is_none_or(|used| used.wake_ups > 0 && used.processor_ns > 0),
                "{:?}",
                round.used
            );
            // Requests that a sidecar refused went no further; served ones reached the last tier.
            let (first, last) = (&round.reached[0], &round.reached[1]);
            assert!(last.calls >= called.served() && last.calls <= first.calls && first.calls <= 100);
            assert!(first.hops - first.copies <= 100 && last.hops - last.copies <= first.hops);
            if !sidecars {
                let hops = [first.hops, last.hops, first.copies, last.copies, called.served()];
                assert_eq!(hops, [100, 100, 0, 0, 100]);
                assert_eq!((round.reach(0), round.reach(1)), (1.0, 1.0));
            }
            let least = called.latency.value_at_quantile(0.0);
            assert!(called.served() > 0 && least * 1001 / 1000 >= slow.as_nanos() as u64, "{least}");
            calls += called.sent;
        }
        assert_eq!(calls, 200);
    }
}

#[test]
fn pairs_are_reported_but_not_the_latency_of_a_late_client() {
    let program = program();
    let plan = Plan { program: &program, depth: 1, servers: 2, seed: 0 };
    let length = Duration::from_millis(300);
    // Every share of late requests exceeds this, so every pair counts as late.
    let late = RunSettings {
        rate: 100.0,
        pairs: 2,
        length,
        lead: Duration::from_millis(100),
        late_share: -1.0,
        slow: Duration::from_millis(5),
        slow_length: length,
        budget: 0.05,
    };
    let report = report::run(&plan, &late).expect("played");
    // Latencies that don't count from when requests were due are still reported.
    let told: Vec<bool> = report.added().iter().map(|(_, interval)| interval.is_some()).collect();
    let served = report.pairs.iter().filter(|pair| pair.unserved.is_none()).count() >= 2;
    assert_eq!(told, [false, false, served, served, served, served]);
    assert!(report
        .pairs
        .iter()
        .all(|pair| pair.late.as_ref().is_some_and(|why| why.contains("the caller sent"))));
    assert!(report.cost().iter().all(|(_, interval)| interval.is_some()), "{:?}", report.cost());
    let text = report.text(&late);
    assert!(text.contains("0 of 2 pairs") && text.contains("added_p50_ms: no figure"), "{text}");
    let lines = report.json(&late);
    assert_eq!(lines.len(), 3);
    assert!(lines[0]["void"].is_string(), "{}", lines[0]);
    assert_eq!((&lines[2]["sound"], &lines[2]["pairs"]), (&0.into(), &2.into()));
    assert!(lines[2]["slow_reach"][0].as_f64().is_some_and(|reach| reach > 0.0), "{}", lines[2]);
}
