//! Simulates the loss of sites: what each site is offered, serves and refuses at a given fraction of the peak
//! load.
use crate::{ClassId, Failover, Plan, SiteId};

/// The requests per second of one class at one site.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ClassOutcome {
    /// From the site's own clients.
    pub own: f64,
    /// From the clients of lost sites.
    pub foreign: f64,
    /// The requests that are served.
    pub served: f64,
}

impl ClassOutcome {
    /// The requests from all clients.
    pub fn offered(&self) -> f64 {
        self.own + self.foreign
    }

    /// The requests that are not served.
    pub fn refused(&self) -> f64 {
        self.offered() - self.served
    }
}

/// The outcome at one site.
#[derive(Clone, PartialEq, Debug)]
pub struct SiteOutcome {
    /// Whether the site is lost.
    pub lost: bool,
    /// One entry for each class.
    pub class_outcomes: Vec<ClassOutcome>,
    /// The work per second that is served, out of the capacity.
    pub served_work: f64,
    /// Whether the floors alone exceed the capacity.
    pub floors_exceed_capacity: bool,
}

/// The outcome of a simulated loss.
#[derive(Clone, PartialEq, Debug)]
pub struct LossOutcome {
    /// One entry for each site of the plan.
    pub sites: Vec<SiteOutcome>,
    /// The requests per second of lost sites that no site gets, for each class.
    pub dropped: Vec<f64>,
    /// The payoff per second of the served requests.
    pub payoff: f64,
    /// The highest payoff per second that the remaining capacity could serve if clients' locations and
    /// floors did not matter.
    pub max_payoff: f64,
}

impl Plan {
    /// Simulates the loss of these sites at a fraction of the peak load.
    pub fn simulate_loss(&self, lost: &[SiteId], load_fraction: f64) -> LossOutcome {
        let class_count = self.classes.len();
        let survives = |site: &SiteId| !lost.contains(site);
        let all: Vec<SiteId> = (0..self.sites.len()).map(SiteId).collect();
        let remaining: Vec<SiteId> = all.iter().copied().filter(|site| survives(site)).collect();
        let own = |site: SiteId, class: usize| self.sites[site.0].load[class] * load_fraction;
        let own_work = |site: SiteId| {
            (0..class_count).map(|class| own(site, class) * self.classes[class].work).sum::<f64>()
        };
        // The capacity of a site that load from other sites may take.
        let spare_capacity = |site: &SiteId| {
            let site_plan = &self.sites[site.0];
            let free = site_plan.capacity * (1.0 - site_plan.reserve) - own_work(*site);
            free.min(site_plan.capacity * self.max_foreign_share).max(0.0)
        };
        let mut outcomes = vec![vec![ClassOutcome::default(); class_count]; self.sites.len()];
        let mut dropped = vec![0.0; class_count];
        for site in &remaining {
            (0..class_count).for_each(|class| outcomes[site.0][class].own = own(*site, class));
        }
        for site in all.iter().filter(|site| !survives(site)) {
            let shares = self.shares(*site, &remaining, &spare_capacity);
            for class in 0..class_count {
                let load = own(*site, class);
                shares.iter().for_each(|(to, share)| outcomes[to.0][class].foreign += load * share);
                dropped[class] += load * (1.0 - shares.iter().map(|(_, share)| share).sum::<f64>()).max(0.0);
            }
        }
        let refusal_order = self.refusal_order();
        let sites: Vec<SiteOutcome> = all
            .iter()
            .map(|site| match survives(site) {
                true => self.serve(
                    *site,
                    std::mem::take(&mut outcomes[site.0]),
                    spare_capacity(site),
                    &refusal_order,
                ),
                false => SiteOutcome {
                    lost: true,
                    class_outcomes: vec![ClassOutcome::default(); class_count],
                    served_work: 0.0,
                    floors_exceed_capacity: false,
                },
            })
            .collect();
        let payoff = sites.iter().map(|site| self.payoff_of(site)).sum();
        let max_payoff = self.max_payoff_of(&remaining, load_fraction);
        LossOutcome { sites, dropped, payoff, max_payoff }
    }

    /// The sites that the load of a lost site goes to, and the fraction for each.
    fn shares(
        &self, lost: SiteId, remaining: &[SiteId], spare_capacity: &impl Fn(&SiteId) -> f64,
    ) -> Vec<(SiteId, f64)> {
        let weights: Vec<(SiteId, f64)> = match &self.sites[lost.0].failover {
            Failover::Drop => Vec::new(),
            Failover::Shares(shares) => {
                shares.iter().copied().filter(|(to, _)| remaining.contains(to)).collect()
            }
            Failover::ByCapacity => {
                let spare_capacities: Vec<(SiteId, f64)> =
                    remaining.iter().map(|site| (*site, spare_capacity(site))).collect();
                match spare_capacities.iter().any(|(_, spare_capacity)| *spare_capacity > 0.0) {
                    true => spare_capacities,
                    // No site has spare capacity: distributes the load by size, so that the more valuable
                    // requests among it are still served.
                    false => remaining.iter().map(|site| (*site, self.sites[site.0].capacity)).collect(),
                }
            }
        };
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        weights.into_iter().filter(|_| total > 0.0).map(|(to, weight)| (to, weight / total)).collect()
    }

    /// Serves the floors first, then the most valuable classes. Load from other sites adds at most
    /// `spare_capacity` to the work.
    fn serve(
        &self, site: SiteId, mut outcomes: Vec<ClassOutcome>, spare_capacity: f64, refusal_order: &[ClassId],
    ) -> SiteOutcome {
        let site_plan = &self.sites[site.0];
        let (own_work, foreign_work) = (
            self.total_work(&outcomes, |outcome| outcome.own),
            self.total_work(&outcomes, |outcome| outcome.foreign),
        );
        let usable = if foreign_work > 0.0 {
            site_plan.capacity.min(own_work.min(site_plan.capacity) + foreign_work.min(spare_capacity))
        } else {
            site_plan.capacity
        };
        let mut free = usable;
        let floors: f64 = self
            .classes
            .iter()
            .zip(&outcomes)
            .map(|(class, outcome)| class.floor * outcome.offered() * class.work)
            .sum();
        let floors_exceed_capacity = floors > site_plan.capacity * (1.0 + 1e-9);
        // If the floors exceed the capacity, every class gets the same fraction of its floor.
        let floor_fraction = if floors > usable { usable / floors } else { 1.0 };
        for (outcome, class) in outcomes.iter_mut().zip(&self.classes) {
            outcome.served = class.floor * outcome.offered() * floor_fraction;
            free -= outcome.served * class.work;
        }
        for class in refusal_order.iter().rev() {
            let (outcome, work) = (&mut outcomes[class.0], self.classes[class.0].work);
            let more = outcome.refused().min(free.max(0.0) / work);
            outcome.served += more;
            free -= more * work;
        }
        SiteOutcome {
            lost: false,
            class_outcomes: outcomes,
            served_work: usable - free.max(0.0),
            floors_exceed_capacity,
        }
    }

    /// Requests from other sites are refused in the same proportion as others of their class.
    fn payoff_of(&self, site: &SiteOutcome) -> f64 {
        let outcomes =
            site.class_outcomes.iter().zip(&self.classes).filter(|(outcome, _)| outcome.offered() > 0.0);
        outcomes
            .map(|(outcome, class)| {
                let served_foreign = outcome.served * outcome.foreign / outcome.offered();
                outcome.served * class.payoff - served_foreign * self.cross_site_cost
            })
            .sum()
    }

    fn max_payoff_of(&self, remaining: &[SiteId], load_fraction: f64) -> f64 {
        let mut free: f64 = remaining.iter().map(|site| self.sites[site.0].capacity).sum();
        let mut classes: Vec<usize> = (0..self.classes.len()).collect();
        let value_per_work = |class: &usize| self.value_per_work(ClassId(*class));
        classes.sort_by(|one, other| value_per_work(other).total_cmp(&value_per_work(one)));
        let mut payoff = 0.0;
        for class in classes {
            let offered: f64 = self.sites.iter().map(|site| site.load[class] * load_fraction).sum();
            let served = offered.min(free / self.classes[class].work);
            free -= served * self.classes[class].work;
            payoff += served * self.classes[class].payoff;
        }
        payoff
    }
}
