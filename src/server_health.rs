//! What an instance has learnt of each server, for another one in its place. Width, level, rates and the fleet's size are not
//! handed on: guards against a successor that turns away, by figures from before a crowd or a release, what servers can
//! take. Nothing is decided here.
use crate::records::Trust;
use crate::rules::Balancer;
use crate::types::{Micros, ServerId};
use crate::OutcomeCounts;

/// What is held of one server.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ServerHealth {
    pub weight_factor: f64,
    pub outcomes: OutcomeCounts,
    pub has_answered: bool,
    pub ejections: u32,
    /// Until when it is set aside, if it is.
    pub ejected_until: Option<Micros>,
}

impl Balancer {
    pub fn server_health(&self) -> impl Iterator<Item = (ServerId, ServerHealth)> + '_ {
        self.fleet.all().map(|server| {
            let ejected_until = (server.trust != Trust::Fit).then_some(server.until);
            let (weight_factor, outcomes) = (server.ease, server.record);
            let health = ServerHealth {
                weight_factor,
                outcomes,
                has_answered: server.answered,
                ejections: server.asides,
                ejected_until,
            };
            (server.listing.server, health)
        })
    }

    /// For a server that a fresh instance knows from a list alone. A whole list must follow, by which it is measured anew.
    pub fn restore_server_health(&mut self, id: ServerId, health: &ServerHealth) {
        self.fleet.change(id, |server| {
            let ServerHealth { weight_factor, outcomes, has_answered, ejections, ejected_until } = *health;
            (server.ease, server.record, server.answered, server.asides) =
                (weight_factor, outcomes, has_answered, ejections);
            if let Some(until) = ejected_until {
                (server.trust, server.until) = (Trust::Aside, until);
            }
        });
    }
}
