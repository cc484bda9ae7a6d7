//! What agreement costs an instance and a keeper at 100 and at 400 instances, counted and not timed: a cost that grows with
//! the fleet fails here by itself. `docs/CAPACITY.md` has what it means at full size.
use oakhollow_lab::traffic::{costs, Cost, Costs};
use oakhollow_terms::Scope;

type Figure = fn(&Cost) -> f64;
type Day = fn(&Costs) -> &Cost;

/// Days that are averaged: which keeper is heard first, and so how often a text is sent twice, is chance.
const SEEDS: u64 = 6;

/// By so much may a figure be higher at four times the size: chance alone, measured at up to 5 %.
const FLAT: f64 = 1.15;
/// And so much where the whole fleet hears of what happens to a part of it.
const AS_THE_FLEET: f64 = 4.0 * FLAT;

fn compare(scope: Scope, zone: f64) {
    let of = |instances| (1..=SEEDS).map(|seed| costs(instances, 13.0, seed, scope)).collect::<Vec<Costs>>();
    let (few, many) = (of(100), of(400));
    let messages = |cost: &Cost| cost.instance.messages;
    let bytes = |cost: &Cost| cost.instance.bytes;
    let steps = |cost: &Cost| cost.steps_per_message;
    let figures: [(&str, Figure); 3] =
        [("words an instance", messages), ("bytes an instance", bytes), ("a keeper's steps a word", steps)];
    let mut broken = Vec::new();
    for (name, of) in figures {
        let days: [(&str, Day, f64); 4] = [
            ("rest", |costs| &costs.idle, FLAT),
            ("change", |costs| &costs.change, FLAT),
            ("drain", |costs| &costs.drain, FLAT),
            ("zone", |costs| &costs.zone, zone),
        ];
        for (what, day, most) in days {
            let mean = |all: &[Costs]| all.iter().map(|costs| of(day(costs))).sum::<f64>() / SEEDS as f64;
            let (few, many) = (mean(&few), mean(&many));
            println!("{scope:?}: {what}: {name}: {few:.2} at 100, {many:.2} at 400");
            if many > few * most {
                broken.push(format!(
                    "{what}: {name}: {few:.2} at 100, {many:.2} at 400, {most:.2} times at most"
                ));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// A seventh of all servers, of which everybody hears.
#[test]
fn what_a_fleet_four_times_as_large_costs() {
    compare(Scope::All, AS_THE_FLEET);
}

/// Nobody hears of more because the fleet is larger.
#[test]
fn what_it_costs_where_each_hears_of_its_own_list_alone() {
    compare(Scope::Listed, FLAT);
}
