//! Which number and address each server of the list has at this sidecar.
use crate::endpoint_registry::Mark;
use crate::start_time::StartWindow;
use oakhollow::types::*;
use oakhollow_terms::{Entry, List, Marks};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Default)]
pub struct EndpointList {
    zones: Vec<String>,
    numbers: HashMap<String, ServerId>,
    known: HashMap<ServerId, Known>,
    /// Who is at an address.
    at: HashMap<SocketAddr, ServerId>,
    ready: usize,
    given: u32,
    /// Out by hand, or back, over whatever the list says.
    marks: Marks,
    /// Whom others' lists let drain, and in which life, by the time of its start in milliseconds.
    elsewhere: Arc<Elsewhere>,
    /// Nothing may be sent on: to the module every server drains.
    held_back: bool,
}

/// By name, when the server started that drains.
pub type Elsewhere = BTreeMap<String, u64>;

struct Known {
    entry: Entry,
    /// When it started, as far as the list goes.
    started: Micros,
    listing: ListedServer,
}

impl Known {
    fn ready(&self) -> bool {
        self.listing.status == ServerStatus::Ready
    }
}

/// What a list comes down to.
pub struct Told {
    pub entries: Vec<ListedServer>,
    /// Addresses at which nothing new is wanted from now on.
    pub retired: Vec<SocketAddr>,
}

impl EndpointList {
    pub fn new(zones: &[String], marks: Marks) -> EndpointList {
        EndpointList { zones: zones.to_vec(), marks, ..EndpointList::default() }
    }

    /// Takes a mark set by hand: all that is known, as it stands by that.
    pub fn mark(&mut self, mark: &Mark) -> Told {
        self.marks.set(&mark.name, mark.out, mark.at);
        let (mut entries, mut retired) = (Vec::new(), Vec::new());
        let known = self.numbers.get(&mark.name).and_then(|id| self.known.get(id));
        if let Some(entry) = known.map(|known| known.entry.clone()) {
            self.enter(&entry, None, &mut entries, &mut retired);
        }
        Told { retired, ..self.all() }
    }

    /// Holds everything back, or no more: all that is known, as it stands by that.
    pub fn hold_back(&mut self, held_back: bool) -> Told {
        self.held_back = held_back;
        let known: Vec<Entry> = self.known.values().map(|known| known.entry.clone()).collect();
        let mut entries = Vec::new();
        // Connections to who stays are kept: what is retired was so when it was told.
        known.iter().for_each(|entry| self.enter(entry, None, &mut entries, &mut Vec::new()));
        self.forget_gone(&entries);
        Told { entries, retired: Vec::new() }
    }

    /// Takes whom others' lists let drain: all that is known, as it stands by that.
    pub fn drain_elsewhere(&mut self, elsewhere: Arc<Elsewhere>) -> Told {
        let before = std::mem::replace(&mut self.elsewhere, elsewhere);
        let now = &self.elsewhere;
        let named = before.keys().chain(now.keys()).filter(|name| before.get(*name) != now.get(*name));
        let known = named.filter_map(|name| self.known.get(self.numbers.get(name)?));
        let known: Vec<Entry> = known.map(|known| known.entry.clone()).collect();
        let (mut entries, mut retired) = (Vec::new(), Vec::new());
        known.iter().for_each(|entry| self.enter(entry, None, &mut entries, &mut retired));
        self.forget_gone(&entries);
        Told { retired, ..self.all() }
    }

    /// Guards against names piling up through many deploys; one that comes back gets a new number.
    fn forget_gone(&mut self, entries: &[ListedServer]) {
        for entry in entries.iter().filter(|entry| entry.status == ServerStatus::Gone) {
            self.forget(entry.server);
        }
    }

    /// All that is known, as it stands.
    pub fn all(&self) -> Told {
        let entries = self.known.values().map(|known| known.listing.clone()).collect();
        Told { entries, retired: Vec::new() }
    }

    /// What the list says of a server, as it stands by the marks.
    fn listing(&self, entry: &Entry, server: ServerId, started: Micros) -> ListedServer {
        let mut listing = ListedServer { started, ..entry.listing(server, &self.zones) };
        let elsewhere = self.elsewhere.get(&entry.name).is_some_and(|since| entry.since_ms() <= *since);
        let out = self.held_back || elsewhere || self.marks.out.contains(&entry.name);
        if listing.status == ServerStatus::Ready && out {
            listing.status = ServerStatus::Draining;
        }
        // Whoever puts a server back has started it anew.
        if let Some(back) = self.marks.back.get(&entry.name) {
            listing.started = listing.started.max(*back);
        }
        listing
    }

    /// Takes what the list tells. Servers that are new on it have started within `window`.
    pub fn take(&mut self, list: &List, window: StartWindow) -> Told {
        let mut retired = Vec::new();
        if list.snapshot {
            let named = list.endpoints.iter().filter_map(|entry| self.numbers.get(&entry.name));
            let there: HashSet<ServerId> = named.copied().collect();
            let missing: Vec<ServerId> =
                self.known.keys().copied().filter(|id| !there.contains(id)).collect();
            retired.extend(missing.into_iter().filter_map(|id| self.forget(id)));
        }
        let mut entries = Vec::new();
        for entry in &list.endpoints {
            self.enter(entry, Some(window), &mut entries, &mut retired);
        }
        self.forget_gone(&entries);
        Told { entries, retired }
    }

    /// When a server started, as far as the list goes. What was settled when that start was first heard of stands. Guards
    /// against a clock that was stepped back: a later start has the later time, whatever the list says.
    fn started(&self, entry: &Entry, server: ServerId, window: Option<StartWindow>) -> Micros {
        let listed = entry.started();
        match (self.known.get(&server), window) {
            (Some(known), _) if known.entry.since_ms() == entry.since_ms() => known.started,
            (_, None) => listed,
            (Some(known), Some(window)) => match window.plausible_start(listed) {
                started if started.0 > 0 && started <= known.started => window.latest,
                started => started,
            },
            (None, Some(window)) => window.plausible_start(listed),
        }
    }

    fn enter(
        &mut self, entry: &Entry, window: Option<StartWindow>, entries: &mut Vec<ListedServer>,
        retired: &mut Vec<SocketAddr>,
    ) {
        let server = *self.numbers.entry(entry.name.clone()).or_insert_with(|| {
            self.given += 1;
            ServerId(self.given)
        });
        let started = self.started(entry, server, window);
        let (address, mut listing) = (entry.address, self.listing(entry, server, started));
        let same = self.at.get(&address).filter(|id| **id != server);
        let same = same.and_then(|id| Some((id, self.known.get(id)?)));
        // Guards against sending to a server that is not there any more what another at its address would run: of
        // two at one address the one that started last is there.
        if let Some((_, other)) = same.filter(|_| listing.status == ServerStatus::Ready) {
            if other.ready() && other.listing.started > listing.started {
                listing.status = ServerStatus::Gone;
            } else {
                let gone = ListedServer { status: ServerStatus::Gone, ..other.listing.clone() };
                self.forget(gone.server);
                entries.push(gone);
            }
        }
        let known = Known { entry: entry.clone(), started, listing: listing.clone() };
        let before = self.drop_known(server);
        self.ready += usize::from(known.ready());
        // Of two at one address, one that is there no more must not take the other's place.
        if known.listing.status != ServerStatus::Gone {
            self.at.insert(address, server);
        }
        self.known.insert(server, known);
        match before {
            // Moved, or started again: what is open to it leads elsewhere, or to nobody.
            Some(before) if before.entry.address != address || before.listing.started != listing.started => {
                retired.extend([before.entry.address, address]);
            }
            Some(_) => {}
            // Guards against requests that go to the server which had this address before, and may be silent.
            None => retired.push(address),
        }
        if listing.status != ServerStatus::Ready {
            retired.push(address);
        }
        entries.push(listing);
    }

    fn forget(&mut self, server: ServerId) -> Option<SocketAddr> {
        let known = self.drop_known(server)?;
        self.numbers.remove(&known.entry.name);
        Some(known.entry.address)
    }

    fn drop_known(&mut self, server: ServerId) -> Option<Known> {
        let known = self.known.remove(&server)?;
        self.ready -= usize::from(known.ready());
        if self.at.get(&known.entry.address) == Some(&server) {
            self.at.remove(&known.entry.address);
        }
        Some(known)
    }

    pub fn number(&self, name: &str) -> Option<ServerId> {
        self.numbers.get(name).copied()
    }

    pub fn any_ready(&self) -> bool {
        self.ready > 0
    }

    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.known.get(&server).map(|known| known.entry.address)
    }

    /// Whether it is cold still, by how long servers take to warm up.
    pub fn cold(&self, server: ServerId, now: Micros, warm_within: Micros) -> bool {
        self.known.get(&server).is_some_and(|known| known.listing.started + warm_within > now)
    }

    pub fn name(&self, server: ServerId) -> &str {
        self.known.get(&server).map_or("a server that has left", |known| &known.entry.name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_terms::read;

    #[test]
    fn who_was_replaced_while_all_was_held_back_is_told_to_be_gone() {
        let list = |name: &str, since: u64| -> List {
            let entry = format!(
                r#"{{"name":"{name}","address":"127.0.0.1:70","status":"active","since_ms":{since}}}"#
            );
            let json = format!(r#"{{"index":{since},"snapshot":false,"endpoints":[{entry}]}}"#);
            read(json.as_bytes()).expect("a list")
        };
        let mut endpoints = EndpointList::new(&[], Marks::default());
        let window = StartWindow { latest: Micros::millis(10), earliest: None };
        endpoints.take(&list("a", 1), window);
        let held = endpoints.hold_back(true);
        assert!(
            !endpoints.any_ready() && held.entries.iter().all(|entry| entry.status == ServerStatus::Draining)
        );
        assert!(held.retired.is_empty());
        let before = [endpoints.number("a"), {
            endpoints.take(&list("b", 2), window).entries.first().map(|entry| entry.server)
        }];
        let told = endpoints.hold_back(false).entries;
        // Whichever is entered first, the later one is there, and all numbers told before are ready or gone.
        let last = |id: ServerId| told.iter().rfind(|entry| entry.server == id).map(|entry| entry.status);
        assert_eq!(last(endpoints.number("b").expect("there")), Some(ServerStatus::Ready));
        assert!(endpoints.number("a").is_none() && endpoints.any_ready());
        for id in before.into_iter().flatten() {
            assert!(matches!(last(id), Some(ServerStatus::Ready | ServerStatus::Gone)), "{id:?}: {told:?}");
        }
    }
}
