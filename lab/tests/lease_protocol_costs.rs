//! The cost of the lease protocol per instance and per lease server at 100 and at 400 instances, counted and not timed:
//! a cost that grows with the fleet fails the test. `docs/CAPACITY.md` has the figures at full size.
use oakhollow_config::Scope;
use oakhollow_lab::traffic::{costs, Cost, Costs};

type Figure = fn(&Cost) -> f64;
type Phase = fn(&Costs) -> &Cost;

/// Number of runs averaged: which lease server answers first, and so how often a text is sent twice, is random.
const SEEDS: u64 = 6;

/// Largest allowed growth at four times the size for a constant cost: random variation alone reaches 5 %.
const CONSTANT: f64 = 1.15;
/// Largest allowed growth where the whole fleet learns of what happens to a share of it.
const LINEAR: f64 = 4.0 * CONSTANT;

fn compare(scope: Scope, max_zone_growth: f64) {
    let costs_of =
        |instances| (1..=SEEDS).map(|seed| costs(instances, 13.0, seed, scope)).collect::<Vec<Costs>>();
    let (small, large) = (costs_of(100), costs_of(400));
    let messages = |cost: &Cost| cost.instance.messages;
    let bytes = |cost: &Cost| cost.instance.bytes;
    let steps = |cost: &Cost| cost.steps_per_message;
    let figures: [(&str, Figure); 3] = [
        ("messages per instance", messages),
        ("bytes per instance", bytes),
        ("lease server steps per message", steps),
    ];
    let mut exceeded = Vec::new();
    for (name, figure) in figures {
        let phases: [(&str, Phase, f64); 4] = [
            ("rest", |costs| &costs.idle, CONSTANT),
            ("change", |costs| &costs.change, CONSTANT),
            ("drain", |costs| &costs.drain, CONSTANT),
            ("zone", |costs| &costs.zone, max_zone_growth),
        ];
        for (phase_name, phase, max_growth) in phases {
            let mean =
                |all: &[Costs]| all.iter().map(|costs| figure(phase(costs))).sum::<f64>() / SEEDS as f64;
            let (small, large) = (mean(&small), mean(&large));
            println!("{scope:?}: {phase_name}: {name}: {small:.2} at 100, {large:.2} at 400");
            if large > small * max_growth {
                exceeded.push(format!(
                    "{phase_name}: {name}: {small:.2} at 100, {large:.2} at 400, {max_growth:.2} times at most"
                ));
            }
        }
    }
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

/// In the zone phase all instances learn of a seventh of all servers, whose number grows with the fleet.
#[test]
fn costs_per_instance_are_constant_except_for_zone_loss_in_scope_all() {
    compare(Scope::All, LINEAR);
}

/// What an instance learns does not depend on the size of the fleet.
#[test]
fn costs_per_instance_are_constant_in_scope_listed() {
    compare(Scope::Listed, CONSTANT);
}
