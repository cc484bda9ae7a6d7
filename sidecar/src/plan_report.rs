//! `oakhollow plan FILE`: evaluates the operator's plan and reports it as text, for no lost site, each single and
//! each double loss, or the sites named.
use oakhollow_sites::{LossOutcome, Plan, SiteId};
use std::fmt::Write;

/// A plan holds if it serves at least this share of the highest payoff that the remaining capacity allows.
const REQUIRED_PAYOFF_SHARE: f64 = 0.95;

/// Why a plan does not hold after this loss, a line for each reason.
fn shortfalls(plan: &Plan, outcome: &LossOutcome) -> Vec<String> {
    let overcommitted = outcome.sites.iter().zip(&plan.sites).filter(|(site, _)| site.floors_exceed_capacity);
    let mut shortfalls: Vec<String> =
        overcommitted.map(|(_, site)| format!("the floors are over the room of {}", site.name)).collect();
    if outcome.payoff < REQUIRED_PAYOFF_SHARE * outcome.max_payoff {
        shortfalls.push(format!(
            "{:.1} % of the payoff that the room left could serve",
            100.0 * outcome.payoff / outcome.max_payoff
        ));
    }
    shortfalls
}

/// The single losses for which a plan does not hold, and why, a line for each reason.
pub fn single_loss_warnings(plan: &Plan) -> Vec<String> {
    let single_losses = (0..plan.sites.len()).map(SiteId).filter(|_| plan.sites.len() > 1);
    single_losses
        .flat_map(|lost| {
            let shortfalls = shortfalls(plan, &plan.simulate_loss(&[lost], 1.0));
            shortfalls
                .into_iter()
                .map(move |shortfall| format!("without {}: {shortfall}", plan.sites[lost.0].name))
        })
        .collect()
}

/// Appends the report on one loss to `text`, with `part` of the peak load offered.
fn describe_loss(plan: &Plan, lost: &[SiteId], part: f64, text: &mut String) {
    let outcome = plan.simulate_loss(lost, part);
    let names: Vec<&str> = lost.iter().map(|site| plan.sites[site.0].name.as_str()).collect();
    let title =
        if names.is_empty() { "nothing lost".to_string() } else { format!("lost: {}", names.join(", ")) };
    let _ = writeln!(text, "\n{title}, at {part:.2} of the peak");
    let _ = writeln!(
        text,
        "  {:<12} {:>10} {:>10} {:>10} {:>10} {:>6}",
        "site", "room", "own", "others'", "served", "full"
    );
    for (site, outcome) in plan.sites.iter().zip(&outcome.sites).filter(|(_, outcome)| !outcome.lost) {
        let (own, others) = (
            plan.total_work(&outcome.class_outcomes, |row| row.own),
            plan.total_work(&outcome.class_outcomes, |row| row.foreign),
        );
        let utilization = outcome.served_work / site.capacity;
        let _ = writeln!(
            text,
            "  {:<12} {:>10.1} {own:>10.1} {others:>10.1} {:>10.1} {utilization:>6.2}",
            site.name, site.capacity, outcome.served_work
        );
    }
    for class in plan.refusal_order() {
        let refused: f64 = outcome.sites.iter().map(|site| site.class_outcomes[class.0].refused()).sum();
        let (dropped, class) = (outcome.dropped[class.0], &plan.classes[class.0]);
        if refused + dropped > 1e-6 {
            let _ = writeln!(
                text,
                "  refused: {} {refused:.1} calls/s, and {dropped:.1} that go nowhere",
                class.name
            );
        }
    }
    let payoff_share = if outcome.max_payoff > 0.0 { outcome.payoff / outcome.max_payoff } else { 1.0 };
    let _ = writeln!(
        text,
        "  payoff {:.1} a second, {payoff_share:.3} of the most that the room left could serve",
        outcome.payoff
    );
    for shortfall in shortfalls(plan, &outcome) {
        let _ = writeln!(text, "  does not hold: {shortfall}");
    }
}

/// The whole report, with `part` of the peak load offered. `lost` has the names of the lost sites; if it is empty, the
/// report covers no loss, each single loss and each double loss.
pub fn report(plan: &Plan, lost: &[String], part: f64) -> Result<String, String> {
    let id = |name: &String| {
        let index = plan.sites.iter().position(|site| site.name == *name);
        index.map(SiteId).ok_or_else(|| format!("--lost: there is no site {name:?}"))
    };
    let lost: Vec<SiteId> = lost.iter().map(id).collect::<Result<_, _>>()?;
    let order: Vec<&str> =
        plan.refusal_order().iter().map(|class| plan.classes[class.0].name.as_str()).collect();
    let mut text = format!("refused first: {}\n", order.join(", "));
    if !lost.is_empty() {
        describe_loss(plan, &lost, part, &mut text);
        return Ok(text);
    }
    let all: Vec<SiteId> = (0..plan.sites.len()).map(SiteId).collect();
    describe_loss(plan, &[], part, &mut text);
    all.iter().for_each(|site| describe_loss(plan, &[*site], part, &mut text));
    for (index, first) in all.iter().enumerate().filter(|_| all.len() > 2) {
        all[index + 1..].iter().for_each(|second| describe_loss(plan, &[*first, *second], part, &mut text));
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_config::OperatorConfig;

    const FILE: &str = "[plan]\n[plan.calls]\norder = { payoff = 5.0 }\nsearch = { payoff = 1.0, floor = 0.5 }\n[plan.sites]\n\
        lj = { room = 100.0, load = { order = 40.0, search = 40.0 } }\nmb = { room = 60.0, load = { order = 20.0, search = 20.0 } }\n";

    #[test]
    fn the_report_says_what_is_refused_first_and_how_much() {
        let plan = OperatorConfig::from_toml(FILE, 8).expect("a file").site_plan().expect("a plan");
        let text = report(&plan, &["lj".into()], 1.0).expect("a report");
        assert!(text.starts_with("refused first: search, order\n"), "{text}");
        // mb has capacity 60 for a load of 120: the floor of search is 30, and order gets the rest.
        assert!(text.contains("refused: search 30.0 calls/s, and 0.0 that go nowhere"), "{text}");
        assert!(text.contains("refused: order 30.0 calls/s"), "{text}");
        assert!(text.contains("does not hold: 60.0 % of the payoff"), "{text}");
        assert_eq!(report(&plan, &["kp".into()], 1.0), Err("--lost: there is no site \"kp\"".into()));
        assert_eq!(single_loss_warnings(&plan).len(), 1);
        assert!(report(&plan, &[], 1.0).expect("all").contains("nothing lost"));
    }
}
