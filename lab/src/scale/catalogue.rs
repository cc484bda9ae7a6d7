//! Which services there are, which servers and zones they have, and which of them each instance calls. All of it follows
//! from the seed.
use nanorand::{Rng, WyRand};
use oakhollow_accord::{Fact, ListUpdate};
use std::sync::Arc;

/// Servers of the fleet are numbered; each belongs to one service and stands in one zone.
#[derive(Clone, Debug)]
pub struct Catalogue {
    names: Vec<Arc<str>>,
    shape: Shape,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shape {
    pub services: usize,
    /// Servers of each service.
    pub servers: usize,
    pub zones: usize,
    /// Services that each instance calls.
    pub calls: usize,
}

impl Catalogue {
    pub fn new(shape: Shape) -> Catalogue {
        let names = (0..shape.services * shape.servers).map(|at| Arc::from(format!("s{at}"))).collect();
        Catalogue { names, shape }
    }

    pub fn shape(&self) -> Shape {
        self.shape
    }

    pub fn name(&self, server: usize) -> &Arc<str> {
        &self.names[server]
    }

    pub fn servers_of(&self, service: usize) -> std::ops::Range<usize> {
        service * self.shape.servers..(service + 1) * self.shape.servers
    }

    /// Servers of one service stand in all zones, as evenly as may be; so do those of all services together.
    pub fn zone_of(&self, server: usize) -> usize {
        server % self.shape.zones
    }

    pub fn servers_in(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.names.len()).filter(move |server| self.zone_of(*server) == zone)
    }

    /// The servers on the list of one instance: those of the services that it calls.
    pub fn list_of(&self, random: &mut WyRand) -> Vec<u32> {
        let mut services: Vec<usize> = Vec::new();
        while services.len() < self.shape.calls.min(self.shape.services) {
            let service = random.generate_range(0..self.shape.services);
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services.sort_unstable();
        services.into_iter().flat_map(|service| self.servers_of(service)).map(|at| at as u32).collect()
    }

    /// What a list tells of some servers; `since` is when they last started.
    pub fn told(
        &self, index: u64, whole: bool, servers: impl Iterator<Item = (usize, EndpointState)>,
    ) -> ListUpdate {
        let fact = |told: EndpointState| Fact {
            since: told.since,
            excluded: told.out,
            first_hand: true,
            entry: None,
        };
        let entries = servers.map(|(server, told)| (self.names[server].clone(), Some(fact(told))));
        ListUpdate { index, snapshot: whole, entries: entries.collect() }
    }
}

/// How a list words a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct EndpointState {
    pub since: u64,
    pub out: bool,
}
