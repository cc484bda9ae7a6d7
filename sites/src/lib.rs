//! The loss of whole sites, reckoned beforehand: a [`Plan`] says what each site can carry, what it is offered, where its load
//! goes when it is lost and what is refused first; [`Plan::simulate_loss`] what comes of that. No I/O, no clock.
mod reckoning;

pub use reckoning::{ClassOutcome, LossOutcome, SiteOutcome};

/// A site by its position in the plan.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct SiteId(pub usize);

/// A class of calls by its position in the plan: a workload, or one customer's part of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ClassId(pub usize);

/// Where a lost site's load goes.
#[derive(Clone, PartialEq, Debug)]
pub enum Failover {
    /// To the others, by what each has left.
    ByCapacity,
    /// By parts that add up to one; the part of a site that is lost as well goes to the rest, by their parts.
    Shares(Vec<(SiteId, f64)>),
    Drop,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Site {
    pub name: String,
    /// Work a second that its servers carry.
    pub capacity: f64,
    /// The part of that which others' load must leave free.
    pub reserve: f64,
    pub failover: Failover,
    /// Calls a second of each class from its own callers, at peak.
    pub load: Vec<f64>,
}

/// Calls that are refused alike.
#[derive(Clone, PartialEq, Debug)]
pub struct TrafficClass {
    pub name: String,
    pub payoff: f64,
    /// Work of one call, in the unit of rooms.
    pub work: f64,
    /// The part of them that is served before any other's rest.
    pub floor: f64,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Plan {
    pub sites: Vec<Site>,
    pub classes: Vec<TrafficClass>,
    /// What is refused first, the first first, before all that is not named here.
    pub refuse_first: Vec<ClassId>,
    /// What a call loses of its payoff by going to another site.
    pub cross_site_cost: f64,
    /// The part of a site's room that others' load may take.
    pub max_foreign_share: f64,
}

impl Plan {
    /// All classes, the first to be refused first: as stated, then by payoff for the work that a call takes.
    pub fn refusal_order(&self) -> Vec<ClassId> {
        let mut rest: Vec<ClassId> = (0..self.classes.len()).map(ClassId).collect();
        rest.retain(|calls| !self.refuse_first.contains(calls));
        // Equal ones in the order of the plan, so that all who read it refuse alike.
        rest.sort_by(|one, other| self.worth(*one).total_cmp(&self.worth(*other)));
        self.refuse_first.iter().copied().chain(rest).collect()
    }

    /// Payoff for the work that a call takes.
    fn worth(&self, calls: ClassId) -> f64 {
        let calls = &self.classes[calls.0];
        calls.payoff / calls.work
    }

    /// The work of so many calls of each class.
    pub fn total_work<'a>(&self, rows: &'a [ClassOutcome], calls: impl Fn(&'a ClassOutcome) -> f64) -> f64 {
        rows.iter().zip(&self.classes).map(|(row, of)| calls(row) * of.work).sum()
    }
}
