//! The services of a run, their servers and zones, and the services that each instance calls. Everything is derived
//! from the seed.
use nanorand::{Rng, WyRand};
use oakhollow_lease::{Fact, ListUpdate};
use std::sync::Arc;

/// The numbered servers of the fleet; each belongs to one service and to one zone.
#[derive(Clone, Debug)]
pub struct Catalogue {
    names: Vec<Arc<str>>,
    shape: FleetShape,
}

/// The number of services, servers and zones in a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FleetShape {
    pub services: usize,
    /// Servers per service.
    pub servers: usize,
    pub zones: usize,
    /// Number of services that each instance calls.
    pub calls: usize,
}

impl Catalogue {
    pub fn new(shape: FleetShape) -> Catalogue {
        let names =
            (0..shape.services * shape.servers).map(|number| Arc::from(format!("s{number}"))).collect();
        Catalogue { names, shape }
    }

    pub fn shape(&self) -> FleetShape {
        self.shape
    }

    pub fn name(&self, server: usize) -> &Arc<str> {
        &self.names[server]
    }

    pub fn servers_of(&self, service: usize) -> std::ops::Range<usize> {
        service * self.shape.servers..(service + 1) * self.shape.servers
    }

    /// Spreads the servers of each service, and all servers together, evenly over the zones.
    pub fn zone_of(&self, server: usize) -> usize {
        server % self.shape.zones
    }

    pub fn servers_in(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.names.len()).filter(move |server| self.zone_of(*server) == zone)
    }

    /// Draws the services that one instance calls and returns their servers, which form its endpoint list.
    pub fn list_of(&self, random: &mut WyRand) -> Vec<u32> {
        let mut services: Vec<usize> = Vec::new();
        while services.len() < self.shape.calls.min(self.shape.services) {
            let service = random.generate_range(0..self.shape.services);
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services.sort_unstable();
        services
            .into_iter()
            .flat_map(|service| self.servers_of(service))
            .map(|server| server as u32)
            .collect()
    }

    /// Builds the list update that reports these states of the servers.
    pub fn list_update(
        &self, index: u64, snapshot: bool, servers: impl Iterator<Item = (usize, ServerState)>,
    ) -> ListUpdate {
        let fact = |state: ServerState| Fact {
            since: state.started_at_ms,
            excluded: state.excluded,
            first_hand: true,
            entry: None,
        };
        let entries = servers.map(|(server, state)| (self.names[server].clone(), Some(fact(state))));
        ListUpdate { index, snapshot, entries: entries.collect() }
    }
}

/// The state of a server as discovery lists it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ServerState {
    /// When it last started, in milliseconds of Unix time.
    pub started_at_ms: u64,
    /// Whether no new requests may be sent to it.
    pub excluded: bool,
}
