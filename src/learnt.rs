//! What an instance has learnt that another one in its place may begin with: figures of load and latency, and of each server.
//! Nothing is decided here.
use crate::records::Trust;
use crate::rules::Sidecar;
use crate::types::{Micros, ServerId};
use crate::Tally;

/// Figures for one instance; half of them for each of two.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Learnt {
    /// The uncrowded level of latency, in microseconds, if it is known.
    pub level: Option<f64>,
    pub width: f64,
    pub steady: bool,
    /// The fleet's size of late.
    pub fleet: f64,
    pub sends_a_second: f64,
    /// What a warm server serves us in a second.
    pub warm_a_second: f64,
}

/// What is held of one server.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Judged {
    pub ease: f64,
    pub record: Tally,
    pub answered: bool,
    pub asides: u32,
    /// Until when it is set aside, if it is.
    pub aside: Option<Micros>,
}

impl Sidecar {
    pub fn judged(&self) -> impl Iterator<Item = (ServerId, Judged)> + '_ {
        self.fleet.all().map(|server| {
            let aside = (server.trust != Trust::Fit).then_some(server.until);
            let (ease, record) = (server.ease, server.record);
            let judged = Judged { ease, record, answered: server.answered, asides: server.asides, aside };
            (server.listing.server, judged)
        })
    }

    /// For a server that a fresh instance knows from a list alone. A whole list must follow, by which it is measured anew.
    pub fn judge_as(&mut self, id: ServerId, judged: &Judged) {
        self.fleet.change(id, |server| {
            let Judged { ease, record, answered, asides, aside } = *judged;
            (server.ease, server.record, server.answered, server.asides) = (ease, record, answered, asides);
            if let Some(until) = aside {
                (server.trust, server.until) = (Trust::Aside, until);
            }
        });
    }

    pub fn learnt(&self) -> Learnt {
        let crowd = &self.crowd;
        Learnt {
            level: crowd.level,
            width: crowd.width,
            steady: crowd.steady,
            fleet: crowd.fleet,
            sends_a_second: self.sends.a_second,
            warm_a_second: self.warm_served.a_second,
        }
    }

    /// For a fresh instance, before its first list.
    pub fn teach(&mut self, learnt: &Learnt) {
        let crowd = &mut self.crowd;
        (crowd.level, crowd.width, crowd.steady) = (learnt.level, learnt.width, learnt.steady);
        crowd.fleet = learnt.fleet;
        self.sends.a_second = learnt.sends_a_second;
        self.warm_served.a_second = learnt.warm_a_second;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_that_is_taught_tells_the_same() {
        let learnt = Learnt {
            level: Some(2e5),
            width: 9.0,
            steady: true,
            fleet: 7.0,
            sends_a_second: 30.0,
            warm_a_second: 4.0,
        };
        let mut sidecar = Sidecar::default();
        sidecar.teach(&learnt);
        assert_eq!(sidecar.learnt(), learnt);
    }
}
