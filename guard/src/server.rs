//! What is known of one server.
use oakhollow::types::{CellId, DedupScope, Micros, ServerStatus, ZoneId};

/// Where a server stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Location {
    /// Its place.
    pub place: ZoneId,
    /// Its cell.
    pub cell: CellId,
}

impl Location {
    /// Whether servers at both share what they remember.
    pub(crate) fn shares(self, other: Location, group: DedupScope) -> bool {
        match group {
            DedupScope::All => true,
            DedupScope::Zone => self.place == other.place,
            DedupScope::Cell => self.cell == other.cell,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Server {
    pub location: Location,
    /// Since when it takes nothing new.
    pub drained: Option<Micros>,
}

impl Server {
    pub fn new(standing: ServerStatus, location: Location, now: Micros) -> Server {
        let mut server = Server { location, drained: None };
        server.list(standing, location, now);
        server
    }

    pub fn list(&mut self, standing: ServerStatus, location: Location, now: Micros) {
        self.location = location;
        self.drained = match standing {
            ServerStatus::Ready => None,
            ServerStatus::Draining | ServerStatus::Gone => self.drained.or(Some(now)),
        };
    }

    pub fn drained_for(&self, now: Micros) -> Option<Micros> {
        self.drained.map(|since| now - since)
    }
}
