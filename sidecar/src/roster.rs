//! Which number and address each server of the list has at this sidecar.
use oakhollow::types::*;
use oakhollow_terms::{Entry, List};
use std::collections::HashMap;
use std::net::SocketAddr;

#[derive(Default)]
pub struct Roster {
    zones: Vec<String>,
    numbers: HashMap<String, ServerId>,
    known: HashMap<ServerId, Known>,
    given: u32,
}

struct Known {
    name: String,
    address: SocketAddr,
    ready: bool,
}

/// What a list comes down to.
pub struct Told {
    pub entries: Vec<Listing>,
    /// Addresses at which nothing new is wanted from now on.
    pub retired: Vec<SocketAddr>,
}

impl Roster {
    pub fn new(zones: &[String]) -> Roster {
        Roster { zones: zones.to_vec(), ..Roster::default() }
    }

    pub fn take(&mut self, list: &List) -> Told {
        let mut retired = Vec::new();
        if list.snapshot {
            let there =
                |id: &ServerId| list.endpoints.iter().any(|entry| self.numbers.get(&entry.name) == Some(id));
            let missing: Vec<ServerId> = self.known.keys().copied().filter(|id| !there(id)).collect();
            retired.extend(missing.into_iter().filter_map(|id| self.forget(id)));
        }
        let entries: Vec<Listing> =
            list.endpoints.iter().map(|entry| self.enter(entry, &mut retired)).collect();
        // Guards against names piling up through many deploys; one that comes back gets a new number.
        for entry in entries.iter().filter(|entry| entry.standing == Standing::Gone) {
            self.forget(entry.server);
        }
        Told { entries, retired }
    }

    fn enter(&mut self, entry: &Entry, retired: &mut Vec<SocketAddr>) -> Listing {
        let server = *self.numbers.entry(entry.name.clone()).or_insert_with(|| {
            self.given += 1;
            ServerId(self.given)
        });
        let listing = entry.listing(server, &self.zones);
        let (name, address, ready) = (entry.name.clone(), entry.address, listing.standing == Standing::Ready);
        let before = self.known.insert(server, Known { name, address, ready });
        retired.extend(before.map(|known| known.address).filter(|before| *before != address));
        if !ready {
            retired.push(entry.address);
        }
        listing
    }

    fn forget(&mut self, server: ServerId) -> Option<SocketAddr> {
        let known = self.known.remove(&server)?;
        self.numbers.remove(&known.name);
        Some(known.address)
    }

    pub fn any_ready(&self) -> bool {
        self.known.values().any(|known| known.ready)
    }

    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.known.get(&server).map(|known| known.address)
    }

    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("a server that has left", |known| &known.name)
    }
}
