//! What a balancer has observed of each server, for export to a balancer that replaces it. The concurrency
//! limit, latency baselines, rates and the fleet's weight are not handed over: measured before a load peak or
//! a release of the servers, they would make the successor refuse calls that the servers can take.
use crate::records::Health;
use crate::rules::Balancer;
use crate::types::{Micros, ServerId};
use crate::OutcomeCounts;

/// The observed health of one server.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ServerHealth {
    /// The factor on the server's listed weight; less than 1 if it was slow.
    pub weight_factor: f64,
    pub outcomes: OutcomeCounts,
    pub has_answered: bool,
    /// Ejections in a row.
    pub ejections: u32,
    /// The end of its ejection, if it is ejected or on probation.
    pub ejected_until: Option<Micros>,
}

impl Balancer {
    pub fn server_health(&self) -> impl Iterator<Item = (ServerId, ServerHealth)> + '_ {
        self.fleet.all().map(|server| {
            let ejected_until = (server.health != Health::Healthy).then_some(server.ejected_until);
            let (weight_factor, outcomes) = (server.weight_factor, server.outcomes);
            let health = ServerHealth {
                weight_factor,
                outcomes,
                has_answered: server.has_answered,
                ejections: server.ejections,
                ejected_until,
            };
            (server.listing.server, health)
        })
    }

    /// Imports a server's health into a new balancer that knows the server only from a list. A whole list
    /// must follow, from which the subset of servers and their limits are recomputed.
    pub fn restore_server_health(&mut self, id: ServerId, health: &ServerHealth) {
        self.fleet.update(id, |server| {
            let ServerHealth { weight_factor, outcomes, has_answered, ejections, ejected_until } = *health;
            (server.weight_factor, server.outcomes, server.has_answered, server.ejections) =
                (weight_factor, outcomes, has_answered, ejections);
            if let Some(until) = ejected_until {
                (server.health, server.ejected_until) = (Health::Ejected, until);
            }
        });
    }
}
