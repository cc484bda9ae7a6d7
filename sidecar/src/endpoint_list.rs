//! The endpoints as one worker knows them: each one's id in the decision module, its address, and whether the list, the
//! maintenance marks and other instances' lists allow sending to it.
use crate::endpoint_registry::MaintenanceMark;
use crate::start_time::StartWindow;
use oakhollow::types::*;
use oakhollow_config::{DiscoveryList, EndpointEntry, MaintenanceMarks};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The endpoints of one worker, by id and by address.
#[derive(Default)]
pub struct EndpointList {
    zones: Vec<String>,
    ids: HashMap<String, ServerId>,
    endpoints: HashMap<ServerId, Endpoint>,
    /// The endpoint at each address.
    by_address: HashMap<SocketAddr, ServerId>,
    ready_count: usize,
    last_id: u32,
    /// Maintenance marks; they override the list.
    marks: MaintenanceMarks,
    /// The endpoints that drain by other instances' lists.
    peer_drains: Arc<PeerDrains>,
    /// Whether no attempt may be started. The module then sees every endpoint as draining.
    sending_suspended: bool,
}

/// The endpoints that drain by other instances' lists, by name, each with the start time, in milliseconds, of the run
/// that drains.
pub type PeerDrains = BTreeMap<String, u64>;

struct Endpoint {
    entry: EndpointEntry,
    /// When it started according to the list, corrected by what this process knows, but not by the maintenance marks.
    started: Micros,
    listing: ListedServer,
}

impl Endpoint {
    fn is_ready(&self) -> bool {
        self.listing.status == ServerStatus::Ready
    }
}

/// What a change to the list means for the module and for the protocol.
pub struct EndpointChanges {
    /// The listings that the module receives.
    pub listings: Vec<ListedServer>,
    /// Addresses whose connections must not be used for new attempts.
    pub retired: Vec<SocketAddr>,
}

impl EndpointList {
    /// No endpoints yet. A zone's id is the index of its name in `zones`.
    pub fn new(zones: &[String], marks: MaintenanceMarks) -> EndpointList {
        EndpointList { zones: zones.to_vec(), marks, ..EndpointList::default() }
    }

    /// Applies a maintenance mark, and returns the listings of all endpoints.
    pub fn apply_maintenance(&mut self, mark: &MaintenanceMark) -> EndpointChanges {
        self.marks.set(&mark.name, mark.in_maintenance, mark.set_at);
        let (mut listings, mut retired) = (Vec::new(), Vec::new());
        let endpoint = self.ids.get(&mark.name).and_then(|id| self.endpoints.get(id));
        if let Some(entry) = endpoint.map(|endpoint| endpoint.entry.clone()) {
            self.update(&entry, None, &mut listings, &mut retired);
        }
        EndpointChanges { retired, ..self.all_listings() }
    }

    /// Suspends or resumes sending, and returns the listings of all endpoints.
    pub fn set_sending_suspended(&mut self, sending_suspended: bool) -> EndpointChanges {
        self.sending_suspended = sending_suspended;
        let entries: Vec<EndpointEntry> =
            self.endpoints.values().map(|endpoint| endpoint.entry.clone()).collect();
        let mut listings = Vec::new();
        // Connections are kept: whatever has to be retired was retired when the list said so.
        entries.iter().for_each(|entry| self.update(entry, None, &mut listings, &mut Vec::new()));
        self.remove_gone(&listings);
        EndpointChanges { listings, retired: Vec::new() }
    }

    /// Applies what other instances' lists say drains, and returns the listings of all endpoints.
    pub fn apply_peer_drains(&mut self, drains: Arc<PeerDrains>) -> EndpointChanges {
        let previous = std::mem::replace(&mut self.peer_drains, drains);
        let current = &self.peer_drains;
        let changed_names =
            previous.keys().chain(current.keys()).filter(|name| previous.get(*name) != current.get(*name));
        let endpoints = changed_names.filter_map(|name| self.endpoints.get(self.ids.get(name)?));
        let entries: Vec<EndpointEntry> = endpoints.map(|endpoint| endpoint.entry.clone()).collect();
        let (mut listings, mut retired) = (Vec::new(), Vec::new());
        entries.iter().for_each(|entry| self.update(entry, None, &mut listings, &mut retired));
        self.remove_gone(&listings);
        EndpointChanges { retired, ..self.all_listings() }
    }

    /// Removes the endpoints that are gone, so that names do not pile up over many deploys. One that returns gets a
    /// new id.
    fn remove_gone(&mut self, listings: &[ListedServer]) {
        for listing in listings.iter().filter(|listing| listing.status == ServerStatus::Gone) {
            self.remove(listing.server);
        }
    }

    /// The current listings of all endpoints.
    pub fn all_listings(&self) -> EndpointChanges {
        let listings = self.endpoints.values().map(|endpoint| endpoint.listing.clone()).collect();
        EndpointChanges { listings, retired: Vec::new() }
    }

    /// The listing of an endpoint, by the list, the marks and other instances' lists.
    fn listing_of(&self, entry: &EndpointEntry, server: ServerId, started: Micros) -> ListedServer {
        let mut listing = ListedServer { started, ..entry.to_listing(server, &self.zones) };
        let drains = self.peer_drains.get(&entry.name).is_some_and(|since| entry.since_ms() <= *since);
        let excluded = self.sending_suspended || drains || self.marks.in_maintenance.contains(&entry.name);
        if listing.status == ServerStatus::Ready && excluded {
            listing.status = ServerStatus::Draining;
        }
        // An operator who ends the maintenance of an endpoint has restarted it, so it is cold.
        if let Some(returned) = self.marks.returned.get(&entry.name) {
            listing.started = listing.started.max(*returned);
        }
        listing
    }

    /// Applies a list from discovery. Endpoints that are new on it have started within `window`.
    pub fn apply_list(&mut self, list: &DiscoveryList, window: StartWindow) -> EndpointChanges {
        let mut retired = Vec::new();
        if list.snapshot {
            let named = list.endpoints.iter().filter_map(|entry| self.ids.get(&entry.name));
            let listed: HashSet<ServerId> = named.copied().collect();
            let missing: Vec<ServerId> =
                self.endpoints.keys().copied().filter(|id| !listed.contains(id)).collect();
            retired.extend(missing.into_iter().filter_map(|id| self.remove(id)));
        }
        let mut listings = Vec::new();
        for entry in &list.endpoints {
            self.update(entry, Some(window), &mut listings, &mut retired);
        }
        self.remove_gone(&listings);
        EndpointChanges { listings, retired }
    }

    /// When an endpoint started. The time determined when that start was first listed is kept. If discovery's clock was
    /// stepped back, a later start still gets a later time than the previous one, whatever the list says.
    fn start_time(&self, entry: &EndpointEntry, server: ServerId, window: Option<StartWindow>) -> Micros {
        let listed = entry.started_at();
        match (self.endpoints.get(&server), window) {
            (Some(endpoint), _) if endpoint.entry.since_ms() == entry.since_ms() => endpoint.started,
            (_, None) => listed,
            (Some(endpoint), Some(window)) => match window.plausible_start(listed) {
                started if started.0 > 0 && started <= endpoint.started => window.latest,
                started => started,
            },
            (None, Some(window)) => window.plausible_start(listed),
        }
    }

    /// Adds or replaces an endpoint according to its entry, the marks and other instances' lists, and adds to
    /// `listings` and `retired` what that changes.
    fn update(
        &mut self, entry: &EndpointEntry, window: Option<StartWindow>, listings: &mut Vec<ListedServer>,
        retired: &mut Vec<SocketAddr>,
    ) {
        let server = *self.ids.entry(entry.name.clone()).or_insert_with(|| {
            self.last_id += 1;
            ServerId(self.last_id)
        });
        let started = self.start_time(entry, server, window);
        let (address, mut listing) = (entry.address, self.listing_of(entry, server, started));
        let other_id = self.by_address.get(&address).filter(|id| **id != server);
        let other_at_address = other_id.and_then(|id| Some((id, self.endpoints.get(id)?)));
        // Of two endpoints at one address only the one that started last exists. A request meant for the other
        // would be run by the wrong server.
        if let Some((_, other)) = other_at_address.filter(|_| listing.status == ServerStatus::Ready) {
            if other.is_ready() && other.listing.started > listing.started {
                listing.status = ServerStatus::Gone;
            } else {
                let replaced = ListedServer { status: ServerStatus::Gone, ..other.listing.clone() };
                self.remove(replaced.server);
                listings.push(replaced);
            }
        }
        let endpoint = Endpoint { entry: entry.clone(), started, listing: listing.clone() };
        let previous = self.take_endpoint(server);
        self.ready_count += usize::from(endpoint.is_ready());
        // An endpoint that is gone must not replace the one that is now at its address.
        if endpoint.listing.status != ServerStatus::Gone {
            self.by_address.insert(address, server);
        }
        self.endpoints.insert(server, endpoint);
        match previous {
            // It moved or restarted: the open connections lead to another server, or to none.
            Some(previous)
                if previous.entry.address != address || previous.listing.started != listing.started =>
            {
                retired.extend([previous.entry.address, address]);
            }
            Some(_) => {}
            // A connection left over from the endpoint that had this address before may be dead without an error.
            None => retired.push(address),
        }
        if listing.status != ServerStatus::Ready {
            retired.push(address);
        }
        listings.push(listing);
    }

    /// Removes an endpoint and its id, and returns its address.
    fn remove(&mut self, server: ServerId) -> Option<SocketAddr> {
        let endpoint = self.take_endpoint(server)?;
        self.ids.remove(&endpoint.entry.name);
        Some(endpoint.entry.address)
    }

    /// Removes an endpoint and keeps its id.
    fn take_endpoint(&mut self, server: ServerId) -> Option<Endpoint> {
        let endpoint = self.endpoints.remove(&server)?;
        self.ready_count -= usize::from(endpoint.is_ready());
        if self.by_address.get(&endpoint.entry.address) == Some(&server) {
            self.by_address.remove(&endpoint.entry.address);
        }
        Some(endpoint)
    }

    /// The id of an endpoint.
    pub fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Whether any endpoint may be sent to.
    pub fn any_ready(&self) -> bool {
        self.ready_count > 0
    }

    /// The address of an endpoint.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.endpoints.get(&server).map(|endpoint| endpoint.entry.address)
    }

    /// Whether an endpoint is still cold, given how long servers take to warm up.
    pub fn is_cold(&self, server: ServerId, now: Micros, warm_up_time: Micros) -> bool {
        self.endpoints.get(&server).is_some_and(|endpoint| endpoint.listing.started + warm_up_time > now)
    }

    /// The name of an endpoint, for the log.
    pub fn name(&self, server: ServerId) -> &str {
        self.endpoints.get(&server).map_or("a server that has left", |endpoint| &endpoint.entry.name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_config::read_json;

    #[test]
    fn an_endpoint_replaced_while_sending_was_suspended_is_reported_gone() {
        let list = |name: &str, since: u64| -> DiscoveryList {
            let entry = format!(
                r#"{{"name":"{name}","address":"127.0.0.1:70","status":"active","since_ms":{since}}}"#
            );
            let json = format!(r#"{{"index":{since},"snapshot":false,"endpoints":[{entry}]}}"#);
            read_json(json.as_bytes()).expect("a list")
        };
        let mut endpoints = EndpointList::new(&[], MaintenanceMarks::default());
        let window = StartWindow { latest: Micros::millis(10), earliest: None };
        endpoints.apply_list(&list("a", 1), window);
        let suspended = endpoints.set_sending_suspended(true);
        assert!(
            !endpoints.any_ready()
                && suspended.listings.iter().all(|listing| listing.status == ServerStatus::Draining)
        );
        assert!(suspended.retired.is_empty());
        let reported_before = [endpoints.id("a"), {
            endpoints.apply_list(&list("b", 2), window).listings.first().map(|listing| listing.server)
        }];
        let listings = endpoints.set_sending_suspended(false).listings;
        // In whichever order they are added, the later one is ready, and every id reported before is ready or gone.
        let last_status = |id: ServerId| {
            listings.iter().rfind(|listing| listing.server == id).map(|listing| listing.status)
        };
        assert_eq!(last_status(endpoints.id("b").expect("listed")), Some(ServerStatus::Ready));
        assert!(endpoints.id("a").is_none() && endpoints.any_ready());
        for id in reported_before.into_iter().flatten() {
            assert!(
                matches!(last_status(id), Some(ServerStatus::Ready | ServerStatus::Gone)),
                "{id:?}: {listings:?}"
            );
        }
    }
}
