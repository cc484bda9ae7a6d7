//! Which services there are, which servers and zones they have, and which services each instance calls. The seed
//! determines the choices of the instances.
use nanorand::{Rng, WyRand};
use oakhollow_accord::{Fact, ListUpdate};
use std::sync::Arc;

/// The servers, by number. Each belongs to one service and one zone.
#[derive(Clone, Debug)]
pub struct Catalogue {
    names: Vec<Arc<str>>,
    shape: Shape,
}

/// The size of a catalogue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shape {
    /// How many services there are.
    pub services: usize,
    /// How many servers each service has.
    pub servers: usize,
    /// How many zones there are.
    pub zones: usize,
    /// How many services each instance calls.
    pub calls: usize,
}

impl Catalogue {
    /// A catalogue of this size.
    pub fn new(shape: Shape) -> Catalogue {
        let names = (0..shape.services * shape.servers).map(|at| Arc::from(format!("s{at}"))).collect();
        Catalogue { names, shape }
    }

    /// Its size.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The name of a server.
    pub fn name(&self, server: usize) -> &Arc<str> {
        &self.names[server]
    }

    /// The servers of a service.
    pub fn servers_of(&self, service: usize) -> std::ops::Range<usize> {
        service * self.shape.servers..(service + 1) * self.shape.servers
    }

    /// The zone of a server. The servers of each service, and those of all services together, are spread over all
    /// zones as evenly as possible.
    pub fn zone_of(&self, server: usize) -> usize {
        server % self.shape.zones
    }

    /// The servers in a zone.
    pub fn servers_in(&self, zone: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.names.len()).filter(move |server| self.zone_of(*server) == zone)
    }

    /// Draws the services that an instance calls; returns their servers, which are the instance's list.
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

    /// An update of an instance's list about some servers.
    pub fn list_update(
        &self, index: u64, whole: bool, servers: impl Iterator<Item = (usize, EndpointState)>,
    ) -> ListUpdate {
        let fact = |state: EndpointState| Fact {
            since: state.since,
            excluded: state.out,
            first_hand: true,
            entry: None,
        };
        let entries = servers.map(|(server, state)| (self.names[server].clone(), Some(fact(state))));
        ListUpdate { index, snapshot: whole, entries: entries.collect() }
    }
}

/// The state of a server in a list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct EndpointState {
    /// When it last started, in milliseconds of Unix time.
    pub since: u64,
    /// Whether it drains.
    pub out: bool,
}
