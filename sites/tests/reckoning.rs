//! What a plan promises for any loss: no site beyond its room, floors, and nothing dear refused where cheaper is served.
use oakhollow_sites::*;
use proptest::prelude::*;

fn calls(name: &str, payoff: f64, work: f64, floor: f64) -> Calls {
    Calls { name: name.into(), payoff, work, floor }
}

fn site(name: &str, room: f64, goes: Goes, load: &[f64]) -> Site {
    Site { name: name.into(), room, reserve: 0.1, goes, load: load.to_vec() }
}

fn three() -> Plan {
    Plan {
        sites: vec![
            site("lj", 1000.0, Goes::ByRoom, &[300.0, 300.0]),
            site("mb", 800.0, Goes::Shares(vec![(SiteId(0), 0.75), (SiteId(2), 0.25)]), &[200.0, 200.0]),
            site("kp", 400.0, Goes::Nowhere, &[100.0, 100.0]),
        ],
        calls: vec![calls("order", 5.0, 1.0, 0.0), calls("search", 1.0, 1.0, 0.1)],
        first: vec![],
        price: 0.1,
        most: 0.5,
    }
}

#[test]
fn load_goes_as_stated_and_the_cheapest_is_refused() {
    let plan = three();
    let whole = plan.without(&[], 1.0);
    assert_eq!(whole.payoff, 600.0 * 5.0 + 600.0);
    let held = plan.without(&[SiteId(0)], 1.0);
    // mb has 320 left of 800 less its reserve, kp 160: two thirds and one third of 600, of which 480 find room.
    assert_eq!(held.sites[1].rows[0].others.round(), 200.0);
    assert_eq!(held.sites[2].rows[1].others.round(), 100.0);
    let refused = |calls: usize| held.sites.iter().map(|site| site.rows[calls].refused()).sum::<f64>();
    assert!(refused(0) < 1e-6 && (refused(1) - 120.0).abs() < 1e-6, "{held:?}");
    // What goes nowhere is refused where it comes from, and what is bound for a site that is lost too goes on by the rest.
    assert_eq!(plan.without(&[SiteId(2)], 1.0).nowhere, [100.0, 100.0]);
    assert_eq!(plan.without(&[SiteId(0), SiteId(1)], 1.0).sites[2].rows[0].others, 500.0);
}

#[test]
fn what_is_named_is_refused_before_what_is_cheaper() {
    let plan = Plan { first: vec![CallsId(0)], ..three() };
    assert_eq!(plan.order(), [CallsId(0), CallsId(1)]);
    assert_eq!(three().order(), [CallsId(1), CallsId(0)]);
}

#[test]
fn floors_over_the_room_are_told() {
    let mut plan = three();
    plan.calls[1].floor = 1.0;
    plan.calls[0].floor = 1.0;
    assert!(!plan.without(&[SiteId(0)], 0.5).sites[1].starves);
    assert!(plan.without(&[SiteId(0), SiteId(1)], 1.0).sites[2].starves);
}

proptest! {
    #[test]
    fn any_plan_keeps_to_rooms_floors_and_its_order(
        rooms in prop::collection::vec(10.0..1000.0f64, 2..8),
        loads in prop::collection::vec(0.0..400.0f64, 32),
        worth in prop::collection::vec((0.1..9.0f64, 0.1..4.0f64, 0.0..0.3f64), 4),
        lost in prop::collection::vec(any::<bool>(), 8), part in 0.2..3.0f64, most in 0.0..1.0f64,
    ) {
        let sites = rooms.iter().enumerate().map(|(at, room)| site("x", *room, Goes::ByRoom, &loads[4 * at..4 * at + 4]));
        let named = worth.iter().map(|(payoff, work, floor)| calls("y", *payoff, *work, *floor));
        let plan = Plan { sites: sites.collect(), calls: named.collect(), first: vec![CallsId(2)], price: 0.0, most };
        let gone: Vec<SiteId> = (0..rooms.len() - 1).filter(|at| lost[*at]).map(SiteId).collect();
        let (held, order) = (plan.without(&gone, part), plan.order());
        let mut offered = held.nowhere.iter().sum::<f64>();
        for (at, site) in held.sites.iter().enumerate() {
            prop_assert!(site.work <= plan.sites[at].room * (1.0 + 1e-9));
            offered += site.rows.iter().map(Row::offered).sum::<f64>();
            let served = |calls: &CallsId| site.rows[calls.0].served;
            for (place, calls) in order.iter().enumerate() {
                let (row, floor) = (&site.rows[calls.0], plan.calls[calls.0].floor);
                prop_assert!(row.refused() > -1e-6);
                let dear_refused = order[place + 1..].iter().any(|dear| site.rows[dear.0].refused() > 1e-6);
                // Nothing beyond its floor is served while something dearer is refused.
                prop_assert!(!dear_refused || served(calls) <= floor * row.offered() + 1e-6);
            }
        }
        // Nobody's calls are forgotten.
        let all: f64 = plan.sites.iter().flat_map(|site| &site.load).sum::<f64>() * part;
        prop_assert!((offered - all).abs() < 1e-6 * (1.0 + all));
        prop_assert!(held.payoff <= held.most * (1.0 + 1e-9) + 1e-6);
    }
}
