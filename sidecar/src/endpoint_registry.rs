//! What the whole process knows of endpoints by name: the list as last received, the maintenance marks, and whether
//! the process can serve. Holds no sockets and reads no clock.
use crate::metrics::EndpointCounts;
use oakhollow::types::Micros;
use oakhollow_config::{DiscoveryList, EndpointEntry, ListIndex, MaintenanceMarks};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// An operator's mark: an endpoint was put into maintenance, or taken out of it, at that time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MaintenanceMark {
    pub name: String,
    pub in_maintenance: bool,
    pub set_at: Micros,
}

/// Why a mark is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MaintenanceError {
    UnknownEndpoint,
    TooMany,
}

/// The endpoints by name, the maintenance marks and the state that decides whether the process is serving.
#[derive(Default, Debug)]
pub struct EndpointRegistry {
    entries: BTreeMap<String, EndpointEntry>,
    version: ListIndex,
    marks: MaintenanceMarks,
    /// Whether discovery has sent the list, or has failed to.
    pub list_settled: bool,
    /// When discovery last sent the list, or said that it is unchanged.
    pub last_heard: Option<Instant>,
    /// Whether the watch of the list is open and has received something.
    pub watch_open: bool,
    /// Whether the workers accept clients, and the process is not shutting down.
    pub accepting: bool,
    /// Whether leases from a majority of the lease servers are held, or requests may be served without them. Always
    /// true where instances do not agree on settings.
    pub lease_ok: bool,
    /// Whether the list was received recently enough to be used.
    pub list_fresh: bool,
}

/// The registry as the threads of the process share it.
pub type SharedRegistry = Arc<Mutex<EndpointRegistry>>;

/// Locks the registry, also after a thread that held the lock has panicked.
pub fn lock(registry: &SharedRegistry) -> MutexGuard<'_, EndpointRegistry> {
    registry.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EndpointRegistry {
    /// A registry with the list and the marks known at the start.
    pub fn new(known_list: &DiscoveryList, marks: MaintenanceMarks) -> EndpointRegistry {
        let mut registry =
            EndpointRegistry { marks, lease_ok: true, list_fresh: true, ..EndpointRegistry::default() };
        registry.apply(known_list);
        registry
    }

    /// Applies a list from discovery.
    pub fn apply(&mut self, list: &DiscoveryList) {
        self.version = list.index;
        if list.snapshot {
            self.entries.clear();
        }
        for entry in &list.endpoints {
            if entry.has_left() {
                self.entries.remove(&entry.name);
            } else {
                self.entries.insert(entry.name.clone(), entry.clone());
            }
        }
    }

    /// Adds entries from other instances' lists, which hold until this instance's own list changes them. Returns them
    /// as changes to that list.
    pub fn add_from_peers(&mut self, endpoints: Vec<EndpointEntry>) -> DiscoveryList {
        let list = DiscoveryList { index: self.version, snapshot: false, endpoints };
        self.apply(&list);
        list
    }

    /// The number of endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no endpoints.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All endpoints, as a whole list.
    pub fn list(&self) -> DiscoveryList {
        let endpoints = self.entries.values().cloned().collect();
        DiscoveryList { index: self.version, snapshot: true, endpoints }
    }

    /// The maintenance marks.
    pub fn marks(&self) -> &MaintenanceMarks {
        &self.marks
    }

    /// Puts an endpoint into maintenance, or takes it out of it. Repeating a mark changes nothing; unknown names are
    /// rejected.
    pub fn set_maintenance(
        &mut self, name: &str, in_maintenance: bool, now: Micros,
    ) -> Result<MaintenanceMark, MaintenanceError> {
        let was_in_maintenance = self.marks.in_maintenance.contains(name);
        if !was_in_maintenance && !self.entries.contains_key(name) {
            return Err(MaintenanceError::UnknownEndpoint);
        }
        let mut mark = MaintenanceMark { name: name.to_string(), in_maintenance, set_at: now };
        match (was_in_maintenance, in_maintenance) {
            (false, true) if self.marks.in_maintenance.len() >= MaintenanceMarks::MAX_ENTRIES => {
                return Err(MaintenanceError::TooMany)
            }
            (false, true) => self.apply_maintenance(&mark),
            (true, false) => self.apply_maintenance(&mark),
            // Keeps the time of the first mark: a repeated one must not make the endpoint cold again.
            (false, false) => mark.set_at = self.marks.returned.get(name).copied().unwrap_or_default(),
            (true, true) => {}
        }
        Ok(mark)
    }

    /// Applies a mark that was set at another process or instance.
    pub fn apply_maintenance(&mut self, mark: &MaintenanceMark) {
        self.marks.set(&mark.name, mark.in_maintenance, mark.set_at);
    }

    /// Counts the endpoints by whether they may be sent to.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for entry in self.entries.values() {
            let in_maintenance = self.marks.in_maintenance.contains(&entry.name);
            match (in_maintenance, entry.is_active()) {
                (true, _) => counts.maintenance += 1,
                (false, true) => counts.ready += 1,
                (false, false) => counts.draining += 1,
            }
        }
        counts
    }

    /// Whether a request would be served now.
    pub fn is_serving(&self) -> bool {
        let mut active = self.entries.values().filter(|entry| entry.is_active());
        self.accepting
            && self.lease_ok
            && self.list_fresh
            && self.list_settled
            && active.any(|entry| !self.marks.in_maintenance.contains(&entry.name))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_config::read_json;

    /// A whole list of active endpoints with these names, separated by white space.
    fn list(names: &str) -> DiscoveryList {
        let entry = |name| format!(r#"{{"name":"{name}","address":"127.0.0.1:70","status":"active"}}"#);
        let entries: Vec<String> = names.split_whitespace().map(entry).collect();
        let json = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        read_json(json.as_bytes()).expect("a list")
    }

    #[test]
    fn a_repeated_mark_changes_nothing_and_an_unknown_name_is_rejected() {
        let mut registry = EndpointRegistry::new(&list("a b"), MaintenanceMarks::default());
        let ms = Micros::millis;
        assert_eq!(registry.set_maintenance("c", true, ms(1)), Err(MaintenanceError::UnknownEndpoint));
        assert!(
            registry.set_maintenance("a", true, ms(1)).is_ok()
                && registry.set_maintenance("a", true, ms(2)).is_ok()
        );
        // The mark stays while the endpoint is not on the list, and can still be removed then.
        registry.apply(&list("b"));
        assert!(registry.marks().in_maintenance.contains("a"));
        assert_eq!(registry.set_maintenance("a", false, ms(3)).map(|mark| mark.set_at), Ok(ms(3)));
        assert!(registry.marks().in_maintenance.is_empty());
        registry.apply(&list("a b"));
        // A repeated mark keeps the time of the first one.
        assert_eq!(registry.set_maintenance("a", false, ms(9)).map(|mark| mark.set_at), Ok(ms(3)));
        assert_eq!(registry.set_maintenance("b", false, ms(9)).map(|mark| mark.set_at), Ok(ms(0)));
    }

    #[test]
    fn the_process_serves_only_with_an_endpoint_that_is_not_in_maintenance() {
        let mut registry = EndpointRegistry::new(&list("a"), MaintenanceMarks::default());
        assert!(!registry.is_serving());
        (registry.accepting, registry.list_settled) = (true, true);
        assert!(registry.is_serving());
        registry.set_maintenance("a", true, Micros(1)).expect("known");
        assert!(!registry.is_serving());
    }

    #[test]
    fn the_number_of_marks_is_limited() {
        let names: Vec<String> =
            (0..=MaintenanceMarks::MAX_ENTRIES).map(|number| format!("s{number}")).collect();
        let mut registry = EndpointRegistry::new(&list(&names.join(" ")), MaintenanceMarks::default());
        let refused = names.iter().filter_map(|name| registry.set_maintenance(name, true, Micros(1)).err());
        assert_eq!(refused.collect::<Vec<_>>(), [MaintenanceError::TooMany]);
    }
}
