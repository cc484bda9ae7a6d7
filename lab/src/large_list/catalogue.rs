//! The endpoint list of a discovery and its versions.
use super::endpoints::EndpointNumber;
use crate::fakes::endpoint_json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// A list of endpoints and all changes since its first version.
pub struct Catalogue {
    listed: BTreeMap<EndpointNumber, SocketAddr>,
    versions: Vec<Version>,
}

/// What one version changed.
#[derive(Clone, Debug)]
pub struct Version {
    /// When it was made.
    pub created_at: Instant,
    /// Endpoints that it removed.
    pub removed: Vec<(EndpointNumber, SocketAddr)>,
    /// Endpoints that it added.
    pub added: Vec<(EndpointNumber, SocketAddr)>,
}

fn entry_json((endpoint, address): &(EndpointNumber, SocketAddr), status: &str) -> String {
    endpoint_json(&format!("s-{:08x}", endpoint.0), *address, status, 0)
}

fn list_json(index: usize, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

impl Catalogue {
    /// A list in its first version.
    pub fn new(listed: impl Iterator<Item = (EndpointNumber, SocketAddr)>) -> Catalogue {
        Catalogue { listed: listed.collect(), versions: Vec::new() }
    }

    /// The number of the newest version.
    pub fn index(&self) -> usize {
        1 + self.versions.len()
    }

    /// Makes a new version that removes and adds endpoints.
    pub fn replace(
        &mut self, removed: impl Iterator<Item = EndpointNumber>, added: Vec<(EndpointNumber, SocketAddr)>,
    ) {
        let removed: Vec<_> = removed.filter_map(|endpoint| self.listed.remove_entry(&endpoint)).collect();
        self.listed.extend(added.iter().copied());
        self.versions.push(Version { created_at: Instant::now(), removed, added });
    }

    /// The full list as a line of JSON, without the line's end.
    pub fn snapshot_json(&self) -> String {
        let entries: Vec<String> =
            self.listed.iter().map(|(number, address)| entry_json(&(*number, *address), "active")).collect();
        list_json(self.index(), true, &entries)
    }

    /// All changes after a version as a line of JSON, without the line's end; none if there are none.
    pub fn changes_after(&self, index: usize) -> Option<String> {
        let new_versions =
            self.versions.get(index.saturating_sub(1)..).filter(|new_versions| !new_versions.is_empty())?;
        let entries: Vec<String> = new_versions
            .iter()
            .flat_map(|version| {
                let removed = version.removed.iter().map(|endpoint| entry_json(endpoint, "left"));
                removed.chain(version.added.iter().map(|endpoint| entry_json(endpoint, "active")))
            })
            .collect();
        Some(list_json(self.index(), false, &entries))
    }

    /// The changes so far; the first made version 2.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }
}
