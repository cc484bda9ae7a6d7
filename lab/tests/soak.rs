//! Three short soak runs with fixed seeds must find nothing. The timetable of a seed must always be the same.
mod beside;

use beside::program;
use oakhollow_lab::soak::timetable::{Shape, Timetable};
use oakhollow_lab::soak::trouble::Trouble;
use oakhollow_lab::soak::{run, Plan};
use std::time::Duration;

/// How often a soak runs until the harness is not late: a late harness makes a run inconclusive.
const MAX_RUNS: usize = 3;

fn plan(seed: u64) -> Plan {
    Plan { seed, processes: 8, length: Duration::from_secs(4), without: Vec::new() }
}

fn check_seed(seed: u64) {
    for _ in 0..MAX_RUNS {
        let report = run(&program(), &plan(seed)).expect("the harness is set up");
        println!("{report}{}", report.timetable_text());
        if report.is_clean() {
            return;
        }
        assert!(report.is_late(), "{report}");
    }
    panic!("seed {seed}: the harness was late in all {MAX_RUNS} runs");
}

#[test]
fn nothing_is_found_with_seed_3() {
    check_seed(3);
}

#[test]
fn nothing_is_found_with_seed_5() {
    check_seed(5);
}

#[test]
fn nothing_is_found_with_seed_8() {
    check_seed(8);
}

#[test]
fn a_seed_always_draws_the_same_timetable_and_leaving_out_a_kind_keeps_the_other_entries() {
    let shape = Shape { groups: 4, processes: 9, servers: 4 };
    let whole = Timetable::draw(&plan(7), &shape);
    assert_eq!(whole, Timetable::draw(&plan(7), &shape));
    assert_ne!(whole, Timetable::draw(&plan(9), &shape));
    let kind = whole.entries[0].trouble;
    let rest = Timetable::draw(&Plan { without: vec![kind], ..plan(7) }, &shape);
    let expected: Vec<_> = whole.entries.iter().filter(|entry| entry.trouble != kind).copied().collect();
    assert_eq!(rest.entries, expected);
}

#[test]
fn every_two_kinds_of_trouble_overlap_in_some_timetables() {
    let shape = Shape { groups: 4, processes: 9, servers: 4 };
    let mut met = std::collections::BTreeMap::new();
    for seed in 0..200 {
        let plan = Plan { length: Duration::from_secs(8), ..plan(seed) };
        for (pair, count) in Timetable::draw(&plan, &shape).pairs() {
            *met.entry(pair).or_insert(0) += count;
        }
    }
    for (at, one) in Trouble::ALL.iter().enumerate() {
        for other in &Trouble::ALL[at + 1..] {
            let count = met.get(&(*one.min(other), *one.max(other))).copied().unwrap_or(0);
            assert!(count >= 5, "{} and {} met {count} times", one.name(), other.name());
        }
    }
}
