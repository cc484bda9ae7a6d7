//! A model of the loss of whole sites. A [`Plan`] gives the capacity and the load of each site, where its
//! load goes if it is lost, and which requests are refused first; [`Plan::simulate_loss`] computes the
//! outcome. No I/O and no clock.
mod simulation;

pub use simulation::{ClassOutcome, LossOutcome, SiteOutcome};

/// A site, by its position in the plan.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct SiteId(pub usize);

/// A class of requests, by its position in the plan: a workload, or one tenant's part of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ClassId(pub usize);

/// Where the load of a lost site goes.
#[derive(Clone, PartialEq, Debug)]
pub enum Failover {
    /// To the other sites, in proportion to their spare capacity.
    ByCapacity,
    /// To other sites in fixed shares that add up to one. The share of a site that is lost too is divided
    /// among the rest, in proportion to their shares.
    Shares(Vec<(SiteId, f64)>),
    /// To no other site: it is refused.
    Drop,
}

/// One site of a plan.
#[derive(Clone, PartialEq, Debug)]
pub struct Site {
    /// The name of the site.
    pub name: String,
    /// The work per second that its servers can do.
    pub capacity: f64,
    /// The fraction of the capacity that load from other sites must leave free.
    pub reserve: f64,
    /// Where its load goes if it is lost.
    pub failover: Failover,
    /// The peak load from the site's own clients, in requests per second of each class.
    pub load: Vec<f64>,
}

/// Requests that are refused with the same priority.
#[derive(Clone, PartialEq, Debug)]
pub struct TrafficClass {
    /// The name of the class.
    pub name: String,
    /// The payoff of one served request.
    pub payoff: f64,
    /// The work of one request, in the unit of capacities.
    pub work: f64,
    /// The fraction of the requests that is served before any other class gets more than its own floor.
    pub floor: f64,
}

/// The plan for the loss of sites.
#[derive(Clone, PartialEq, Debug)]
pub struct Plan {
    /// All sites.
    pub sites: Vec<Site>,
    /// All classes of requests.
    pub classes: Vec<TrafficClass>,
    /// The classes that are refused first, in this order, before all classes that are not listed here.
    pub refuse_first: Vec<ClassId>,
    /// The payoff that a request loses by going to another site.
    pub cross_site_cost: f64,
    /// The fraction of a site's capacity that load from other sites may take.
    pub max_foreign_share: f64,
}

impl Plan {
    /// All classes in the order in which they are refused: the listed ones, then by payoff per unit of work.
    pub fn refusal_order(&self) -> Vec<ClassId> {
        let mut rest: Vec<ClassId> = (0..self.classes.len()).map(ClassId).collect();
        rest.retain(|class| !self.refuse_first.contains(class));
        // A stable sort keeps classes of equal value in the order of the plan, so that every reader of the
        // plan gets the same order.
        rest.sort_by(|one, other| self.value_per_work(*one).total_cmp(&self.value_per_work(*other)));
        self.refuse_first.iter().copied().chain(rest).collect()
    }

    /// The payoff per unit of work.
    fn value_per_work(&self, class: ClassId) -> f64 {
        let class = &self.classes[class.0];
        class.payoff / class.work
    }

    /// The total work of the requests that `rate` selects from the outcome of each class.
    pub fn total_work<'a>(
        &self, outcomes: &'a [ClassOutcome], rate: impl Fn(&'a ClassOutcome) -> f64,
    ) -> f64 {
        outcomes.iter().zip(&self.classes).map(|(outcome, class)| rate(outcome) * class.work).sum()
    }
}
