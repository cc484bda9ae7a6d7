//! The guard's record of one server.
use oakhollow::types::{CellId, DedupScope, Micros, ServerStatus, ZoneId};

/// The location of a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Location {
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
}

impl Location {
    /// Whether the servers at both locations share the memory of idempotency keys.
    pub(crate) fn shares_keys(self, other: Location, scope: DedupScope) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == other.zone,
            DedupScope::Cell => self.cell == other.cell,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Server {
    pub location: Location,
    /// Since when it accepts no new requests.
    pub draining_since: Option<Micros>,
}

impl Server {
    pub fn new(status: ServerStatus, location: Location, now: Micros) -> Server {
        let mut server = Server { location, draining_since: None };
        server.update(status, location, now);
        server
    }

    pub fn update(&mut self, status: ServerStatus, location: Location, now: Micros) {
        self.location = location;
        self.draining_since = match status {
            ServerStatus::Ready => None,
            ServerStatus::Draining | ServerStatus::Gone => self.draining_since.or(Some(now)),
        };
    }

    pub fn draining_for(&self, now: Micros) -> Option<Micros> {
        self.draining_since.map(|since| now - since)
    }
}
