//! The chain's statistics and client, and a short run of a chain of two tiers with processes of the program.
mod built_program;

use built_program::program;
use oakhollow_lab::chain::client::{run_load, ClientResults, LoadPlan};
use oakhollow_lab::chain::report::{self, RunSettings};
use oakhollow_lab::chain::statistics::{amplification_bound, t_quantile, Interval};
use oakhollow_lab::chain::tiers::Tier;
use oakhollow_lab::chain::usage::{field_value, read_usage};
use oakhollow_lab::chain::wire::Clock;
use oakhollow_lab::chain::{Chain, ChainConfig};
use std::thread;
use std::time::Duration;

#[test]
fn t_quantiles_agree_with_the_tables() {
    let table = [(1, 12.706), (2, 4.303), (7, 2.365), (10, 2.228), (11, 2.201), (15, 2.131), (30, 2.042)];
    for (degrees, quantile) in table.into_iter().chain([(60, 2.000), (120, 1.980), (100_000, 1.960)]) {
        let found = t_quantile(degrees);
        assert!((found - quantile).abs() < 0.003, "{degrees}: {found}, not {quantile}");
    }
}

#[test]
fn an_interval_is_significant_if_it_is_not_wider_than_its_mean() {
    assert_eq!(Interval::from_samples(&[]), None);
    assert_eq!(Interval::from_samples(&[1.0]), None);
    let wide = Interval::from_samples(&[1.0, 2.0, 3.0, 4.0, 5.0]).expect("five");
    // 2.776 times the root of 2.5 / 5.
    assert!((wide.mean, wide.count) == (3.0, 5) && (wide.half_width - 1.963).abs() < 0.001, "{wide:?}");
    assert!(!wide.is_significant());
    let narrow = Interval::from_samples(&[-10.0, -10.1, -9.9, -10.0]).expect("four");
    assert!(narrow.is_significant(), "{narrow:?}");
    assert!(!Interval::from_samples(&[-1.0, 1.0]).expect("two").is_significant());
}

#[test]
fn the_amplification_bound_multiplies_over_tiers() {
    assert!((amplification_bound(0.05, 9) - 1.5513).abs() < 0.0001);
    assert_eq!((amplification_bound(0.05, 0), amplification_bound(0.0, 9)), (1.0, 1.0));
}

#[test]
fn proc_fields_are_matched_by_their_whole_name() {
    let status = "Name:\tx\nnonvoluntary_ctxt_switches:\t7\nvoluntary_ctxt_switches:\t12\n";
    assert_eq!(field_value(status, "voluntary_ctxt_switches"), Some(12));
    assert_eq!(field_value(status, "ctxt_switches"), None);
    assert_eq!(read_usage(u32::MAX), None);
}

/// Sends five requests, the first of which was due `overdue` ago, to a single tier that answers them.
fn run_five_requests(slow_latency: Duration, overdue: Duration) -> ClientResults {
    let clock = Clock::start();
    let tier = Tier::start(1, 1, None, clock, 1).expect("listens");
    tier.slow_down(slow_latency);
    thread::sleep(overdue);
    let begin_ns = clock.now() - overdue.as_nanos() as u64;
    let load =
        LoadPlan { rate: 1000.0, warm_up: Duration::ZERO, duration: Duration::from_millis(5), first_id: 0 };
    let client = run_load(tier.addresses[0], &load, begin_ns, clock).expect("called");
    let counters = tier.take_counters();
    assert_eq!((client.sent, client.measured, client.unsolicited), (5, 5, 0));
    assert_eq!((counters.attempts, counters.repeats, counters.requests.len()), (5, 0, 5));
    client
}

#[test]
fn latency_is_measured_from_when_a_request_was_due() {
    let client = run_five_requests(Duration::ZERO, Duration::from_millis(200));
    assert_eq!((client.late, client.late_fraction(), client.served()), (5, 1.0, 5));
    // The histogram has three significant digits.
    assert!(client.latency.min() >= 194_000_000, "{}", client.latency.min());
    let slow = run_five_requests(Duration::from_millis(30), Duration::ZERO);
    assert!(slow.served() == 5 && slow.latency.min() >= 29_900_000, "{}", slow.latency.min());
}

#[test]
fn unanswered_requests_are_counted() {
    let client = run_five_requests(Duration::from_secs(60), Duration::ZERO);
    assert_eq!((client.served(), client.unanswered), (0, 5));
}

#[test]
fn a_chain_of_two_tiers_answers_each_request_once() {
    let program = program();
    let config = ChainConfig { program: &program, depth: 2, servers: 2, seed: 3 };
    let (warm_up, duration) = (Duration::from_millis(200), Duration::from_millis(800));
    for sidecars in [false, true] {
        let mut chain = Chain::start(&config, sidecars).expect("starts");
        assert_eq!(chain.sidecars(), if sidecars { 2 } else { 0 });
        let mut sent = 0;
        for slow_latency in [Duration::ZERO, Duration::from_millis(20)] {
            chain.slow_down(slow_latency);
            let round = chain.run(100.0, warm_up, duration).expect("the round runs");
            let client = &round.client;
            assert!(
                round.all_answered_once() && client.sent == 100,
                "{:?}, {} open",
                client.responses,
                client.unanswered
            );
            assert_eq!(client.measured, 80);
            assert_eq!(round.usage.is_some(), sidecars);
            assert!(
                round.usage.is_none_or(|usage| usage.wake_ups > 0 && usage.cpu_ns > 0),
                "{:?}",
                round.usage
            );
            // A request that a sidecar refused went no further; a served one reached the last tier.
            let (first, last) = (&round.tiers[0], &round.tiers[1]);
            assert!(
                last.requests >= client.served() && last.requests <= first.requests && first.requests <= 100
            );
            assert!(first.attempts - first.repeats <= 100 && last.attempts - last.repeats <= first.attempts);
            if !sidecars {
                let attempts = [first.attempts, last.attempts, first.repeats, last.repeats, client.served()];
                assert_eq!(attempts, [100, 100, 0, 0, 100]);
                assert_eq!((round.amplification(0), round.amplification(1)), (1.0, 1.0));
            }
            let min_latency_ns = client.latency.value_at_quantile(0.0);
            assert!(
                client.served() > 0 && min_latency_ns * 1001 / 1000 >= slow_latency.as_nanos() as u64,
                "{min_latency_ns}"
            );
            sent += client.sent;
        }
        assert_eq!(sent, 200);
    }
}

#[test]
fn pairs_are_reported_without_the_latency_of_a_late_client() {
    let program = program();
    let config = ChainConfig { program: &program, depth: 1, servers: 2, seed: 0 };
    let duration = Duration::from_millis(300);
    // Every share of late requests exceeds -1, so every pair counts as late.
    let settings = RunSettings {
        rate: 100.0,
        pairs: 2,
        duration,
        warm_up: Duration::from_millis(100),
        max_late_fraction: -1.0,
        slow_latency: Duration::from_millis(5),
        slow_duration: duration,
        max_extra_share: 0.05,
    };
    let report = report::run(&config, &settings).expect("the pairs run");
    // Figures that are not measured from when requests were due are reported nevertheless.
    let has_interval: Vec<bool> = report.added().iter().map(|(_, interval)| interval.is_some()).collect();
    let served = report.pairs.iter().filter(|pair| pair.incomplete_reason.is_none()).count() >= 2;
    assert_eq!(has_interval, [false, false, served, served, served, served]);
    assert!(report
        .pairs
        .iter()
        .all(|pair| pair.late_reason.as_ref().is_some_and(|why| why.contains("the caller sent"))));
    assert!(
        report.cost_per_attempt().iter().all(|(_, interval)| interval.is_some()),
        "{:?}",
        report.cost_per_attempt()
    );
    let text = report.text(&settings);
    assert!(text.contains("0 of 2 pairs") && text.contains("added_p50_ms: no figure"), "{text}");
    let lines = report.json(&settings);
    assert_eq!(lines.len(), 3);
    assert!(lines[0]["void"].is_string(), "{}", lines[0]);
    assert_eq!((&lines[2]["sound"], &lines[2]["pairs"]), (&0.into(), &2.into()));
    assert!(lines[2]["slow_reach"][0].as_f64().is_some_and(|reach| reach > 0.0), "{}", lines[2]);
}
