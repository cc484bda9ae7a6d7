//! The loss of whole sites, reckoned beforehand: a [`Plan`] says what each site can carry, what it is offered, where its load
//! goes when it is lost and what is refused first; [`Plan::without`] what comes of that. No I/O, no clock.
mod reckoning;

pub use reckoning::{Held, HeldSite, Row};

/// A site by its position in the plan.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct SiteId(pub usize);

/// A class of calls by its position in the plan: a workload, or one customer's part of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallsId(pub usize);

/// Where a lost site's load goes.
#[derive(Clone, PartialEq, Debug)]
pub enum Goes {
    /// To the others, by what each has left.
    ByRoom,
    /// By parts that add up to one; the part of a site that is lost as well goes to the rest, by their parts.
    Shares(Vec<(SiteId, f64)>),
    Nowhere,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Site {
    pub name: String,
    /// Work a second that its servers carry.
    pub room: f64,
    /// The part of that which others' load must leave free.
    pub reserve: f64,
    pub goes: Goes,
    /// Calls a second of each class from its own callers, at peak.
    pub load: Vec<f64>,
}

/// Calls that are refused alike.
#[derive(Clone, PartialEq, Debug)]
pub struct Calls {
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
    pub calls: Vec<Calls>,
    /// What is refused first, the first first, before all that is not named here.
    pub first: Vec<CallsId>,
    /// What a call loses of its payoff by going to another site.
    pub price: f64,
    /// The part of a site's room that others' load may take.
    pub most: f64,
}

impl Plan {
    /// All classes, the first to be refused first: as stated, then by payoff for the work that a call takes.
    pub fn order(&self) -> Vec<CallsId> {
        let mut rest: Vec<CallsId> = (0..self.calls.len()).map(CallsId).collect();
        rest.retain(|calls| !self.first.contains(calls));
        // Equal ones in the order of the plan, so that all who read it refuse alike.
        rest.sort_by(|one, other| self.worth(*one).total_cmp(&self.worth(*other)));
        self.first.iter().copied().chain(rest).collect()
    }

    /// Payoff for the work that a call takes.
    fn worth(&self, calls: CallsId) -> f64 {
        let calls = &self.calls[calls.0];
        calls.payoff / calls.work
    }

    /// The work of so many calls of each class.
    pub fn work<'a>(&self, rows: &'a [Row], calls: impl Fn(&'a Row) -> f64) -> f64 {
        rows.iter().zip(&self.calls).map(|(row, of)| calls(row) * of.work).sum()
    }
}
