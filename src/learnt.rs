//! What an instance has learnt of each server, for another one in its place. Width, level, rates and the fleet's size are not
//! handed on: guards against a successor that turns away, by figures from before a crowd or a release, what servers can
//! take. Nothing is decided here.
use crate::records::Trust;
use crate::rules::Sidecar;
use crate::types::{Micros, ServerId};
use crate::Tally;

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
}
