//! The scale run: its arithmetic, and short runs with 14 instances.
mod built_program;

use built_program::program;
use oakhollow_config::{Greeting, Scope};
use oakhollow_lab::scale::catalogue::{Catalogue, FleetShape};
use oakhollow_lab::scale::count::{Counts, InstanceSecond, TrafficCounts};
use oakhollow_lab::scale::fit::Fit;
use oakhollow_lab::scale::fleet::{Fleet, FleetSpec};
use oakhollow_lab::scale::report;
use oakhollow_lab::scale::run::{run_step, PhaseReport, Plan, RoleUsage, StepReport};
use oakhollow_lab::scale::scenario::Scenario;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A small fleet in which several instances call each service.
const SMALL: FleetShape = FleetShape { services: 4, servers: 7, zones: 7, calls: 3 };
const INSTANCES: usize = 14;

/// Runs one step with three real lease servers. The phases bound its length; the tests check no times.
fn run_small(scenario: Scenario, instances: usize, scope: Scope) -> Result<StepReport, String> {
    let program = program();
    let plan = Plan {
        program: &program as &Path,
        scenario,
        max_divergence_s: 2.0,
        scope,
        seed: 3,
        shape: SMALL,
        sidecars: 1,
        rate: 20.0,
        threads: 2,
        max_resident_bytes: 4_000_000_000,
    };
    run_step(&plan, instances, &mut |_| {})
}

#[test]
fn a_step_that_needs_too_many_descriptors_fails_immediately() {
    let why = run_small(Scenario::Rest, 1_000_000_000, Scope::All).expect_err("too few descriptors");
    assert!(why.starts_with("3000000300 descriptors are needed"), "{why}");
}

#[test]
fn a_drain_on_one_list_reaches_all_instances_that_call_the_service() {
    check_drain_on_one_list(Scope::All);
}

#[test]
fn a_drain_on_one_list_reaches_all_subscribed_instances_in_listed_scope() {
    check_drain_on_one_list(Scope::Listed);
}

fn check_drain_on_one_list(scope: Scope) {
    let report = run_small(Scenario::Rest, INSTANCES, scope).expect("all instances get leases");
    let names: Vec<&str> = report.phases.iter().map(|phase| phase.name).collect();
    assert_eq!(names, ["rest", "drain"]);
    let [rest, drain] = &report.phases[..] else { panic!("two phases") };
    assert_eq!((&rest.aborted, &drain.aborted), (&None, &None));
    assert_eq!((rest.alive, rest.had_lease), (INSTANCES, INSTANCES));
    // Each instance calls three of the four services, so several call the one whose server drains.
    let propagation = drain.propagation.clone().expect("changes");
    assert!(propagation.recipients > INSTANCES / 2, "{propagation:?}");
    assert_eq!(propagation.missing, 0, "{propagation:?}");
    // Lease servers answer what instances send; both directions are counted.
    let traffic = rest.total_traffic();
    assert!(
        traffic.messages_in > 0 && traffic.messages_out > 0 && traffic.bytes_in > traffic.messages_in,
        "{traffic:?}"
    );
    assert!(
        rest.requests.requests > 0
            && rest.lease_server.resident > 0
            && rest.lease_server.descriptors > INSTANCES
    );
    assert!(report.operator_bytes > INSTANCES * 10);
}

#[test]
fn a_zone_is_lost_and_comes_back() {
    check_zone_loss(Scope::All);
}

#[test]
fn a_zone_is_lost_and_comes_back_in_listed_scope() {
    check_zone_loss(Scope::Listed);
}

fn check_zone_loss(scope: Scope) {
    let report = run_small(Scenario::Zone, INSTANCES, scope).expect("all instances get leases");
    let names: Vec<&str> = report.phases.iter().map(|phase| phase.name).collect();
    assert_eq!(names, ["rest", "lost", "back"]);
    let [_, lost, back] = &report.phases[..] else { panic!("three phases") };
    assert_eq!((&lost.aborted, &back.aborted), (&None, &None));
    // A seventh of the instances is gone, and all others learn of it from the lease servers.
    assert_eq!((lost.alive, lost.had_lease), (INSTANCES / 7 * 6, INSTANCES / 7 * 6));
    let (loss, recovery) =
        (lost.propagation.clone().expect("changes"), back.propagation.clone().expect("changes"));
    assert_eq!((loss.recipients, loss.missing), (INSTANCES / 7 * 6, 0));
    assert_eq!((recovery.recipients, recovery.missing), (INSTANCES / 7 * 6, 0));
    // The instances that have come back hold leases again.
    assert_eq!((back.alive, back.had_lease), (INSTANCES, INSTANCES));
}

#[test]
fn a_catalogue_is_determined_by_the_seed_and_spreads_servers_evenly_over_zones() {
    let shape = FleetShape { services: 400, servers: 16, zones: 7, calls: 6 };
    let catalogue = Catalogue::new(shape);
    let list = |seed| catalogue.list_of(&mut nanorand::WyRand::new_seed(seed));
    assert_eq!((list(1), list(1).len()), (list(1), 96));
    assert_ne!(list(1), list(2));
    for zone in 0..shape.zones {
        assert!((914..=915).contains(&catalogue.servers_in(zone).count()));
    }
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-9 * (1.0 + other.abs())
}

#[test]
fn a_line_without_noise_is_fitted_with_a_zero_interval() {
    let points = [(250.0, 507.0), (500.0, 1_007.0), (1_000.0, 2_007.0), (2_000.0, 4_007.0)];
    let fit = Fit::linear(&points).expect("a line");
    assert!(near(fit.slope, 2.0) && near(fit.intercept, 7.0) && fit.slope_error < 1e-9, "{fit:?}");
    let prediction = fit.predict(6_500.0);
    assert!(near(prediction.value, 13_007.0) && prediction.high - prediction.low < 1e-6, "{prediction:?}");
}

#[test]
fn the_slope_of_a_power_fit_is_the_exponent() {
    let points: Vec<(f64, f64)> = [250.0, 500.0, 1_000.0, 4_000.0].map(|x: f64| (x, 3.0 * x * x)).into();
    let fit = Fit::power(&points).expect("a line");
    assert!(near(fit.slope, 2.0), "{fit:?}");
    assert!(near(fit.predict_power(6_500.0).value / (3.0 * 6_500.0 * 6_500.0), 1.0));
}

/// Computed by hand: the points (1, 1), (2, 3), (3, 2), (4, 4) have the slope 0.8 and the intercept 0.5; the squared
/// residuals sum up to 1.8, so the standard error is the root of 0.9, and the slope's error is 4.303 times that over
/// the root of 5.
#[test]
fn intervals_match_a_calculation_by_hand() {
    let fit = Fit::linear(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)]).expect("a line");
    assert!(near(fit.slope, 0.8) && near(fit.intercept, 0.5), "{fit:?}");
    assert!(near(fit.slope_error, 4.303 * (0.9_f64).sqrt() / 5.0_f64.sqrt()), "{fit:?}");
    let (inside, beyond) = (fit.predict(2.5), fit.predict(40.0));
    assert!(near(inside.high - inside.value, 4.303 * (0.9_f64 * 1.25).sqrt()), "{inside:?}");
    // The interval widens away from the points.
    assert!(beyond.high - beyond.low > 10.0 * (inside.high - inside.low));
}

#[test]
fn too_few_points_or_sizes_give_no_fit() {
    assert_eq!(Fit::linear(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Fit::linear(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(Fit::power(&[(1.0, 1.0), (2.0, 0.0), (3.0, 3.0)]), None);
}

/// The counts of one instance that receives this many bytes in each message.
fn counts(bytes: u64) -> Counts {
    let (mut counts, mut current_second) = (Counts::new(1, 5), InstanceSecond::default());
    for second in [5, 5, 6, 7] {
        let traffic = TrafficCounts { messages_in: 1, messages_out: 1, bytes_in: bytes, bytes_out: 0 };
        counts.record(second, 0, traffic, &mut current_second);
    }
    counts.finish_second(&mut current_second);
    counts
}

#[test]
fn the_busiest_second_of_an_instance_is_not_summed_over_instances() {
    let mut both = counts(100);
    both.merge(&counts(150));
    let max_instance_bytes: Vec<u64> = both.seconds.iter().map(|second| second.max_instance_bytes).collect();
    let sums: Vec<u64> = both.seconds.iter().map(|second| second.lease_servers[0].bytes()).collect();
    assert_eq!((max_instance_bytes, sums), (vec![300, 150, 150], vec![500, 250, 250]));
}

fn reported(instances: usize, late: u64) -> StepReport {
    let lease_server = RoleUsage { cpu: 0.001 * instances as f64, ..RoleUsage::default() };
    let counts = counts(instances as u64);
    let phase = PhaseReport {
        name: "rest",
        length_s: 3.0,
        lease_server,
        alive: instances,
        counts,
        timers_handled: 1_000,
        late_timers: late,
        ..PhaseReport::default()
    };
    StepReport { instances, phases: vec![phase], ..StepReport::default() }
}

#[test]
fn a_slope_beyond_the_last_step_is_reported_as_a_prediction() {
    let steps: Vec<StepReport> = [250, 500, 1_000].map(|size| reported(size, 0)).into();
    let slopes = report::slopes(&steps, 6_500);
    let core_slope = slopes.iter().find(|slope| slope.figure == "keeper, core").expect("of processor time");
    assert!(
        near(core_slope.power.slope, 1.0)
            && near(core_slope.by_power.value, 6.5)
            && near(core_slope.by_line.value, 6.5),
        "{}",
        core_slope.text()
    );
    assert!(core_slope.text().contains("reckoned at 6500: 6.500"), "{}", core_slope.text());
    let fitted = report::slopes(&steps, 1_000);
    assert!(fitted.iter().all(|slope| slope.text().contains("fitted at 1000") && !slope.is_extrapolated));
}

#[test]
fn a_phase_with_a_late_harness_gives_no_figures() {
    let steps: Vec<StepReport> =
        [(250, 0), (500, 51), (1_000, 50)].map(|(size, late)| reported(size, late)).into();
    let reports_no_figure =
        |step: &StepReport| report::step_text(step).iter().any(|line| line.contains("no figure: 5.1 %"));
    assert_eq!(steps.iter().map(reports_no_figure).collect::<Vec<_>>(), [false, true, false]);
    assert_eq!(report::step_json(&steps[1])[0].get("figures"), None);
    assert!(report::step_json(&steps[2])[0]["figures"].is_object());
    // Two valid steps are left, which is too few for a fit.
    assert!(report::slopes(&steps, 6_500).is_empty());
}

/// The memory that a lease server holds per link must not grow with the number of instances; otherwise that of all
/// links would grow with its square.
#[test]
fn a_lease_server_keeps_no_copy_of_all_names_per_link() {
    const NAMES: usize = 4_000;
    const LINKS: usize = 300;
    let program = program();
    let simulated_names: Vec<String> = (0..NAMES).map(|number| format!("h{number}")).collect();
    let spec = FleetSpec {
        program: &program,
        sidecars: 0,
        max_divergence_s: 2.0,
        scope: Scope::All,
        simulated_names: &simulated_names,
        servers: 1,
        seed: 3,
    };
    let mut fleet = Fleet::start(&spec, Instant::now(), &Arc::default()).expect("processes");
    fleet.wait_until_answering().expect("all answer");
    let before = fleet.usage()[0];
    let links: Vec<TcpStream> = simulated_names[..LINKS]
        .iter()
        .map(|name| {
            let mut link = TcpStream::connect(fleet.lease_servers[0]).expect("a lease server");
            writeln!(link, "{}", Greeting::new(name, 1).to_json()).expect("a greeting");
            link
        })
        .collect();
    let start_time = Instant::now();
    while fleet.usage()[0].descriptors < before.descriptors + links.len() {
        assert!(start_time.elapsed() < Duration::from_secs(30), "links are not accepted");
        std::thread::sleep(Duration::from_millis(20));
    }
    let grown = fleet.usage()[0].resident.saturating_sub(before.resident);
    // A copy of all names per link would take more than 50 MB.
    assert!(grown < 25_000_000, "{grown} bytes for {LINKS} links");
}
