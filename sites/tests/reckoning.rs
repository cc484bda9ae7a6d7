//! What a plan promises for any loss: no site beyond its room, floors, and nothing dear refused where cheaper is served.
use oakhollow_sites::*;
use proptest::prelude::*;

fn calls(name: &str, payoff: f64, work: f64, floor: f64) -> TrafficClass {
    TrafficClass { name: name.into(), payoff, work, floor }
}

fn site(name: &str, room: f64, goes: Failover, load: &[f64]) -> Site {
    Site { name: name.into(), capacity: room, reserve: 0.1, failover: goes, load: load.to_vec() }
}

fn three() -> Plan {
    Plan {
        sites: vec![
            site("lj", 1000.0, Failover::ByCapacity, &[300.0, 300.0]),
            site("mb", 800.0, Failover::Shares(vec![(SiteId(0), 0.75), (SiteId(2), 0.25)]), &[200.0, 200.0]),
            site("kp", 400.0, Failover::Drop, &[100.0, 100.0]),
        ],
        classes: vec![calls("order", 5.0, 1.0, 0.0), calls("search", 1.0, 1.0, 0.1)],
        refuse_first: vec![],
        cross_site_cost: 0.1,
        max_foreign_share: 0.5,
    }
}

#[test]
fn load_goes_as_stated_and_the_cheapest_is_refused() {
    let plan = three();
    let whole = plan.simulate_loss(&[], 1.0);
    assert_eq!(whole.payoff, 600.0 * 5.0 + 600.0);
    let held = plan.simulate_loss(&[SiteId(0)], 1.0);
    // mb has 320 left of 800 less its reserve, kp 160: two thirds and one third of 600, of which 480 find room.
    assert_eq!(held.sites[1].class_outcomes[0].foreign.round(), 200.0);
    assert_eq!(held.sites[2].class_outcomes[1].foreign.round(), 100.0);
    let refused =
        |calls: usize| held.sites.iter().map(|site| site.class_outcomes[calls].refused()).sum::<f64>();
    assert!(refused(0) < 1e-6 && (refused(1) - 120.0).abs() < 1e-6, "{held:?}");
    // What goes nowhere is refused where it comes from, and what is bound for a site that is lost too goes on by the rest.
    assert_eq!(plan.simulate_loss(&[SiteId(2)], 1.0).dropped, [100.0, 100.0]);
    assert_eq!(plan.simulate_loss(&[SiteId(0), SiteId(1)], 1.0).sites[2].class_outcomes[0].foreign, 500.0);
}

#[test]
fn what_is_named_is_refused_before_what_is_cheaper() {
    let plan = Plan { refuse_first: vec![ClassId(0)], ..three() };
    assert_eq!(plan.refusal_order(), [ClassId(0), ClassId(1)]);
    assert_eq!(three().refusal_order(), [ClassId(1), ClassId(0)]);
}

#[test]
fn floors_over_the_room_are_told() {
    let mut plan = three();
    plan.classes[1].floor = 1.0;
    plan.classes[0].floor = 1.0;
    assert!(!plan.simulate_loss(&[SiteId(0)], 0.5).sites[1].floors_exceed_capacity);
    assert!(plan.simulate_loss(&[SiteId(0), SiteId(1)], 1.0).sites[2].floors_exceed_capacity);
}

proptest! {
    #[test]
    fn any_plan_keeps_to_rooms_floors_and_its_order(
        rooms in prop::collection::vec(10.0..1000.0f64, 2..8),
        loads in prop::collection::vec(0.0..400.0f64, 32),
        worth in prop::collection::vec((0.1..9.0f64, 0.1..4.0f64, 0.0..0.3f64), 4),
        lost in prop::collection::vec(any::<bool>(), 8), part in 0.2..3.0f64, most in 0.0..1.0f64,
    ) {
        let sites = rooms.iter().enumerate().map(|(at, room)| site("x", *room, Failover::ByCapacity, &loads[4 * at..4 * at + 4]));
        let named = worth.iter().map(|(payoff, work, floor)| calls("y", *payoff, *work, *floor));
        let plan = Plan { sites: sites.collect(), classes: named.collect(), refuse_first: vec![ClassId(2)], cross_site_cost: 0.0, max_foreign_share: most };
        let gone: Vec<SiteId> = (0..rooms.len() - 1).filter(|at| lost[*at]).map(SiteId).collect();
        let (held, order) = (plan.simulate_loss(&gone, part), plan.refusal_order());
        let mut offered = held.dropped.iter().sum::<f64>();
        for (at, site) in held.sites.iter().enumerate() {
            prop_assert!(site.served_work <= plan.sites[at].capacity * (1.0 + 1e-9));
            offered += site.class_outcomes.iter().map(ClassOutcome::offered).sum::<f64>();
            let served = |calls: &ClassId| site.class_outcomes[calls.0].served;
            for (place, calls) in order.iter().enumerate() {
                let (row, floor) = (&site.class_outcomes[calls.0], plan.classes[calls.0].floor);
                prop_assert!(row.refused() > -1e-6);
                let dear_refused = order[place + 1..].iter().any(|dear| site.class_outcomes[dear.0].refused() > 1e-6);
                // Nothing beyond its floor is served while something dearer is refused.
                prop_assert!(!dear_refused || served(calls) <= floor * row.offered() + 1e-6);
            }
        }
        // Nobody's calls are forgotten.
        let all: f64 = plan.sites.iter().flat_map(|site| &site.load).sum::<f64>() * part;
        prop_assert!((offered - all).abs() < 1e-6 * (1.0 + all));
        prop_assert!(held.payoff <= held.max_payoff * (1.0 + 1e-9) + 1e-6);
    }
}
