//! What a discovery has: the endpoints that are listed, version by version.
use super::endpoints::EndpointNo;
use crate::fakes::endpoint_json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

/// The versions of a list, which only grow.
pub struct Catalogue {
    listed: BTreeMap<EndpointNo, SocketAddr>,
    versions: Vec<Version>,
}

/// What one version has changed.
#[derive(Clone, Debug)]
pub struct Version {
    /// When discovery had it.
    pub made: Instant,
    /// Endpoints that are not listed any more.
    pub removed: Vec<(EndpointNo, SocketAddr)>,
    /// Endpoints that are new.
    pub added: Vec<(EndpointNo, SocketAddr)>,
}

fn worded((endpoint, address): &(EndpointNo, SocketAddr), status: &str) -> String {
    endpoint_json(&format!("s-{:08x}", endpoint.0), *address, status, 0)
}

fn line(index: usize, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

impl Catalogue {
    /// The first version.
    pub fn new(listed: impl Iterator<Item = (EndpointNo, SocketAddr)>) -> Catalogue {
        Catalogue { listed: listed.collect(), versions: Vec::new() }
    }

    /// The number of the newest version.
    pub fn index(&self) -> usize {
        1 + self.versions.len()
    }

    /// Makes a version.
    pub fn replace(
        &mut self, removed: impl Iterator<Item = EndpointNo>, added: Vec<(EndpointNo, SocketAddr)>,
    ) {
        let removed: Vec<_> = removed.filter_map(|one| self.listed.remove_entry(&one)).collect();
        self.listed.extend(added.iter().copied());
        self.versions.push(Version { made: Instant::now(), removed, added });
    }

    /// All that is listed, as a line without its end.
    pub fn whole(&self) -> String {
        let entries: Vec<String> = self.listed.iter().map(|(no, at)| worded(&(*no, *at), "active")).collect();
        line(self.index(), true, &entries)
    }

    /// All that has changed after a version, as a line without its end; none if nothing has.
    pub fn changes_after(&self, index: usize) -> Option<String> {
        let fresh = self.versions.get(index.saturating_sub(1)..).filter(|fresh| !fresh.is_empty())?;
        let entries: Vec<String> = fresh
            .iter()
            .flat_map(|version| {
                let removed = version.removed.iter().map(|one| worded(one, "left"));
                removed.chain(version.added.iter().map(|one| worded(one, "active")))
            })
            .collect();
        Some(line(self.index(), false, &entries))
    }

    /// The versions made so far, the first of which has number 2.
    pub fn versions(&self) -> &[Version] {
        &self.versions
    }
}
