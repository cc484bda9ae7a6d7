//! The guarantees of a plan for any loss: no site serves more than its capacity, floors are kept, and no
//! valuable request is refused while a cheaper one is served.
use oakhollow_sites::*;
use proptest::prelude::*;

fn class(name: &str, payoff: f64, work: f64, floor: f64) -> TrafficClass {
    TrafficClass { name: name.into(), payoff, work, floor }
}

fn site(name: &str, capacity: f64, failover: Failover, load: &[f64]) -> Site {
    Site { name: name.into(), capacity, reserve: 0.1, failover, load: load.to_vec() }
}

fn three_sites() -> Plan {
    Plan {
        sites: vec![
            site("lj", 1000.0, Failover::ByCapacity, &[300.0, 300.0]),
            site("mb", 800.0, Failover::Shares(vec![(SiteId(0), 0.75), (SiteId(2), 0.25)]), &[200.0, 200.0]),
            site("kp", 400.0, Failover::Drop, &[100.0, 100.0]),
        ],
        classes: vec![class("order", 5.0, 1.0, 0.0), class("search", 1.0, 1.0, 0.1)],
        refuse_first: vec![],
        cross_site_cost: 0.1,
        max_foreign_share: 0.5,
    }
}

#[test]
fn load_fails_over_as_planned_and_the_cheapest_is_refused() {
    let plan = three_sites();
    let no_loss = plan.simulate_loss(&[], 1.0);
    assert_eq!(no_loss.payoff, 600.0 * 5.0 + 600.0);
    let outcome = plan.simulate_loss(&[SiteId(0)], 1.0);
    // mb has 320 of its 800 left after the reserve and its own load, kp 160: they get two thirds and one
    // third of the load of 600, and 480 of it fits.
    assert_eq!(outcome.sites[1].class_outcomes[0].foreign.round(), 200.0);
    assert_eq!(outcome.sites[2].class_outcomes[1].foreign.round(), 100.0);
    let refused =
        |class: usize| outcome.sites.iter().map(|site| site.class_outcomes[class].refused()).sum::<f64>();
    assert!(refused(0) < 1e-6 && (refused(1) - 120.0).abs() < 1e-6, "{outcome:?}");
    // Load that fails over nowhere is dropped; the share of a target that is lost too goes to the other
    // targets.
    assert_eq!(plan.simulate_loss(&[SiteId(2)], 1.0).dropped, [100.0, 100.0]);
    assert_eq!(plan.simulate_loss(&[SiteId(0), SiteId(1)], 1.0).sites[2].class_outcomes[0].foreign, 500.0);
}

#[test]
fn listed_classes_are_refused_before_cheaper_ones() {
    let plan = Plan { refuse_first: vec![ClassId(0)], ..three_sites() };
    assert_eq!(plan.refusal_order(), [ClassId(0), ClassId(1)]);
    assert_eq!(three_sites().refusal_order(), [ClassId(1), ClassId(0)]);
}

#[test]
fn floors_beyond_the_capacity_are_reported() {
    let mut plan = three_sites();
    plan.classes[1].floor = 1.0;
    plan.classes[0].floor = 1.0;
    assert!(!plan.simulate_loss(&[SiteId(0)], 0.5).sites[1].floors_exceed_capacity);
    assert!(plan.simulate_loss(&[SiteId(0), SiteId(1)], 1.0).sites[2].floors_exceed_capacity);
}

proptest! {
    #[test]
    fn any_plan_respects_capacities_floors_and_refusal_order(
        capacities in prop::collection::vec(10.0..1000.0f64, 2..8),
        loads in prop::collection::vec(0.0..400.0f64, 32),
        class_parameters in prop::collection::vec((0.1..9.0f64, 0.1..4.0f64, 0.0..0.3f64), 4),
        lost in prop::collection::vec(any::<bool>(), 8), load_fraction in 0.2..3.0f64,
        max_foreign_share in 0.0..1.0f64,
    ) {
        let sites = capacities.iter().enumerate().map(|(index, capacity)| site("x", *capacity, Failover::ByCapacity, &loads[4 * index..4 * index + 4]));
        let classes = class_parameters.iter().map(|(payoff, work, floor)| class("y", *payoff, *work, *floor));
        let plan = Plan {
            sites: sites.collect(),
            classes: classes.collect(),
            refuse_first: vec![ClassId(2)],
            cross_site_cost: 0.0,
            max_foreign_share,
        };
        let lost_sites: Vec<SiteId> = (0..capacities.len() - 1).filter(|index| lost[*index]).map(SiteId).collect();
        let (outcome, order) = (plan.simulate_loss(&lost_sites, load_fraction), plan.refusal_order());
        let mut offered = outcome.dropped.iter().sum::<f64>();
        for (index, site) in outcome.sites.iter().enumerate() {
            prop_assert!(site.served_work <= plan.sites[index].capacity * (1.0 + 1e-9));
            offered += site.class_outcomes.iter().map(ClassOutcome::offered).sum::<f64>();
            let served = |class: &ClassId| site.class_outcomes[class.0].served;
            for (position, class) in order.iter().enumerate() {
                let (class_outcome, floor) = (&site.class_outcomes[class.0], plan.classes[class.0].floor);
                prop_assert!(class_outcome.refused() > -1e-6);
                let more_valuable_refused =
                    order[position + 1..].iter().any(|other| site.class_outcomes[other.0].refused() > 1e-6);
                // No class is served beyond its floor while a more valuable one is refused.
                prop_assert!(!more_valuable_refused || served(class) <= floor * class_outcome.offered() + 1e-6);
            }
        }
        // All offered requests are accounted for.
        let all: f64 = plan.sites.iter().flat_map(|site| &site.load).sum::<f64>() * load_fraction;
        prop_assert!((offered - all).abs() < 1e-6 * (1.0 + all));
        prop_assert!(outcome.payoff <= outcome.max_payoff * (1.0 + 1e-9) + 1e-6);
    }
}
