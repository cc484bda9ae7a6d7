//! What each site is offered, serves and refuses, with some sites lost and so much of the load at peak.
use crate::{ClassId, Failover, Plan, SiteId};

/// Calls a second of one class at one site.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ClassOutcome {
    /// From its own callers, and from those of lost sites.
    pub own: f64,
    pub others: f64,
    pub served: f64,
}

impl ClassOutcome {
    pub fn offered(&self) -> f64 {
        self.own + self.others
    }

    pub fn refused(&self) -> f64 {
        self.offered() - self.served
    }
}

#[derive(Clone, PartialEq, Debug)]
pub struct SiteOutcome {
    pub lost: bool,
    /// By class.
    pub class_outcomes: Vec<ClassOutcome>,
    /// Work a second that is served, of its room.
    pub served_work: f64,
    /// The floors alone are more than its room.
    pub floors_exceed_capacity: bool,
}

/// What comes of a plan.
#[derive(Clone, PartialEq, Debug)]
pub struct LossOutcome {
    pub sites: Vec<SiteOutcome>,
    /// Calls a second of lost sites, by class, that go nowhere.
    pub dropped: Vec<f64>,
    /// Served payoff a second, and the most that the room left could serve, wherever callers are and without floors.
    pub payoff: f64,
    pub max_payoff: f64,
}

impl Plan {
    /// With these sites lost, and that part of the load at peak.
    pub fn simulate_loss(&self, lost: &[SiteId], part: f64) -> LossOutcome {
        let classes = self.classes.len();
        let stays = |site: &SiteId| !lost.contains(site);
        let all: Vec<SiteId> = (0..self.sites.len()).map(SiteId).collect();
        let left: Vec<SiteId> = all.iter().copied().filter(|site| stays(site)).collect();
        let own = |site: SiteId, calls: usize| self.sites[site.0].load[calls] * part;
        let own_work =
            |site: SiteId| (0..classes).map(|calls| own(site, calls) * self.classes[calls].work).sum::<f64>();
        // What others' load may take of a site.
        let spare = |site: &SiteId| {
            let of = &self.sites[site.0];
            let free = of.capacity * (1.0 - of.reserve) - own_work(*site);
            free.min(of.capacity * self.max_foreign_share).max(0.0)
        };
        let mut rows = vec![vec![ClassOutcome::default(); classes]; self.sites.len()];
        let mut nowhere = vec![0.0; classes];
        for site in &left {
            (0..classes).for_each(|calls| rows[site.0][calls].own = own(*site, calls));
        }
        for site in all.iter().filter(|site| !stays(site)) {
            let parts = self.parts(*site, &left, &spare);
            for calls in 0..classes {
                let load = own(*site, calls);
                parts.iter().for_each(|(to, part)| rows[to.0][calls].others += load * part);
                nowhere[calls] += load * (1.0 - parts.iter().map(|(_, part)| part).sum::<f64>()).max(0.0);
            }
        }
        let order = self.refusal_order();
        let sites: Vec<SiteOutcome> = all
            .iter()
            .map(|site| match stays(site) {
                true => self.serve(*site, std::mem::take(&mut rows[site.0]), spare(site), &order),
                false => SiteOutcome {
                    lost: true,
                    class_outcomes: vec![ClassOutcome::default(); classes],
                    served_work: 0.0,
                    floors_exceed_capacity: false,
                },
            })
            .collect();
        let payoff = sites.iter().map(|site| self.payoff_of(site)).sum();
        let most = self.most_payoff(&left, part);
        LossOutcome { sites, dropped: nowhere, payoff, max_payoff: most }
    }

    /// To which sites a lost one's load goes, and what part of it.
    fn parts(&self, lost: SiteId, left: &[SiteId], spare: &impl Fn(&SiteId) -> f64) -> Vec<(SiteId, f64)> {
        let weighed: Vec<(SiteId, f64)> = match &self.sites[lost.0].failover {
            Failover::Drop => Vec::new(),
            Failover::Shares(shares) => shares.iter().copied().filter(|(to, _)| left.contains(to)).collect(),
            Failover::ByCapacity => {
                let spares: Vec<(SiteId, f64)> = left.iter().map(|site| (*site, spare(site))).collect();
                match spares.iter().any(|(_, spare)| *spare > 0.0) {
                    true => spares,
                    // Nobody has any left: what is dearer there is refused less by size.
                    false => left.iter().map(|site| (*site, self.sites[site.0].capacity)).collect(),
                }
            }
        };
        let sum: f64 = weighed.iter().map(|(_, weight)| weight).sum();
        weighed.into_iter().filter(|_| sum > 0.0).map(|(to, weight)| (to, weight / sum)).collect()
    }

    /// Floors first, then the dearest; of what others' callers bring no more than the bound allows.
    fn serve(&self, site: SiteId, mut rows: Vec<ClassOutcome>, spare: f64, order: &[ClassId]) -> SiteOutcome {
        let of = &self.sites[site.0];
        let (owns, others) =
            (self.total_work(&rows, |row| row.own), self.total_work(&rows, |row| row.others));
        let room = if others > 0.0 {
            of.capacity.min(owns.min(of.capacity) + others.min(spare))
        } else {
            of.capacity
        };
        let mut free = room;
        let floors: f64 =
            self.classes.iter().zip(&rows).map(|(calls, row)| calls.floor * row.offered() * calls.work).sum();
        let starves = floors > of.capacity * (1.0 + 1e-9);
        // With more floor than room each has the same part of its floor.
        let kept = if floors > room { room / floors } else { 1.0 };
        for (row, calls) in rows.iter_mut().zip(&self.classes) {
            row.served = calls.floor * row.offered() * kept;
            free -= row.served * calls.work;
        }
        for calls in order.iter().rev() {
            let (row, work) = (&mut rows[calls.0], self.classes[calls.0].work);
            let more = row.refused().min(free.max(0.0) / work);
            row.served += more;
            free -= more * work;
        }
        SiteOutcome {
            lost: false,
            class_outcomes: rows,
            served_work: room - free.max(0.0),
            floors_exceed_capacity: starves,
        }
    }

    /// Whoever calls from elsewhere is refused in the same measure as others of its class.
    fn payoff_of(&self, site: &SiteOutcome) -> f64 {
        let rows = site.class_outcomes.iter().zip(&self.classes).filter(|(row, _)| row.offered() > 0.0);
        rows.map(|(row, calls)| {
            let crossed = row.served * row.others / row.offered();
            row.served * calls.payoff - crossed * self.cross_site_cost
        })
        .sum()
    }

    fn most_payoff(&self, left: &[SiteId], part: f64) -> f64 {
        let mut free: f64 = left.iter().map(|site| self.sites[site.0].capacity).sum();
        let mut classes: Vec<usize> = (0..self.classes.len()).collect();
        let worth = |calls: &usize| self.worth(ClassId(*calls));
        classes.sort_by(|one, other| worth(other).total_cmp(&worth(one)));
        let mut payoff = 0.0;
        for calls in classes {
            let offered: f64 = self.sites.iter().map(|site| site.load[calls] * part).sum();
            let served = offered.min(free / self.classes[calls].work);
            free -= served * self.classes[calls].work;
            payoff += served * self.classes[calls].payoff;
        }
        payoff
    }
}
