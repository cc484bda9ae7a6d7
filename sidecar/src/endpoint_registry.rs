//! What the whole program knows of servers by name: the list as last told, and which are out by hand. No sockets, no clock.
use crate::metrics::EndpointCounts;
use oakhollow::types::Micros;
use oakhollow_terms::{Entry, List, Marks, Version};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A server taken out by hand, or put back, at that time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Mark {
    pub name: String,
    pub out: bool,
    pub at: Micros,
}

/// Why a mark is not made.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refused {
    Unknown,
    TooMany,
}

#[derive(Default, Debug)]
pub struct EndpointRegistry {
    entries: BTreeMap<String, Entry>,
    version: Version,
    marks: Marks,
    /// The list was told by discovery, or discovery has failed to.
    pub list_settled: bool,
    /// When the list was last told, or said to be unchanged.
    pub last_heard: Option<Instant>,
    /// The watch of the list is open and has told something.
    pub watch_open: bool,
    /// Workers take callers in, and the program is not leaving.
    pub able: bool,
    /// A majority's leases live, where instances agree on settings.
    pub sure: bool,
    /// The list was heard recently enough to be used.
    pub list_fresh: bool,
}

/// The registry as the program's threads share it.
pub type SharedRegistry = Arc<Mutex<EndpointRegistry>>;

pub fn lock(registry: &SharedRegistry) -> MutexGuard<'_, EndpointRegistry> {
    registry.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EndpointRegistry {
    pub fn new(known: &List, marks: Marks) -> EndpointRegistry {
        let mut registry =
            EndpointRegistry { marks, sure: true, list_fresh: true, ..EndpointRegistry::default() };
        registry.apply(known);
        registry
    }

    /// Takes what the list tells.
    pub fn apply(&mut self, list: &List) {
        self.version = list.index;
        if list.snapshot {
            self.entries.clear();
        }
        for entry in &list.endpoints {
            if entry.left() {
                self.entries.remove(&entry.name);
            } else {
                self.entries.insert(entry.name.clone(), entry.clone());
            }
        }
    }

    /// Takes entries that others' lists tell, in between what the own one does. Gives them as changes of that.
    pub fn add(&mut self, endpoints: Vec<Entry>) -> List {
        let list = List { index: self.version, snapshot: false, endpoints };
        self.apply(&list);
        list
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All there are.
    pub fn list(&self) -> List {
        let endpoints = self.entries.values().cloned().collect();
        List { index: self.version, snapshot: true, endpoints }
    }

    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// A server is out, or back in use. Saying it again changes nothing; nobody's name is refused.
    pub fn mark(&mut self, name: &str, out: bool, now: Micros) -> Result<Mark, Refused> {
        let was_out = self.marks.out.contains(name);
        if !was_out && !self.entries.contains_key(name) {
            return Err(Refused::Unknown);
        }
        let mut mark = Mark { name: name.to_string(), out, at: now };
        match (was_out, out) {
            (false, true) if self.marks.out.len() >= Marks::MOST => return Err(Refused::TooMany),
            (false, true) => self.set(&mark),
            (true, false) => self.set(&mark),
            // Guards against a second cold start by a call that is only repeated.
            (false, false) => mark.at = self.marks.back.get(name).copied().unwrap_or_default(),
            (true, true) => {}
        }
        Ok(mark)
    }

    /// Takes a mark that was made elsewhere.
    pub fn set(&mut self, mark: &Mark) {
        self.marks.set(&mark.name, mark.out, mark.at);
    }

    /// Servers by what they may be sent.
    pub fn counts(&self) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for entry in self.entries.values() {
            let out = self.marks.out.contains(&entry.name);
            match (out, entry.ready()) {
                (true, _) => counts.maintenance += 1,
                (false, true) => counts.ready += 1,
                (false, false) => counts.draining += 1,
            }
        }
        counts
    }

    /// Whether a call would be served at once.
    pub fn serves(&self) -> bool {
        let mut usable = self.entries.values().filter(|entry| entry.ready());
        self.able
            && self.sure
            && self.list_fresh
            && self.list_settled
            && usable.any(|entry| !self.marks.out.contains(&entry.name))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use oakhollow_terms::read;

    fn list(text: &str) -> List {
        let entry = |name| format!(r#"{{"name":"{name}","address":"127.0.0.1:70","status":"active"}}"#);
        let entries: Vec<String> = text.split_whitespace().map(entry).collect();
        let json = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","));
        read(json.as_bytes()).expect("a list")
    }

    #[test]
    fn two_calls_out_need_one_back_and_nobodys_name_is_refused() {
        let mut registry = EndpointRegistry::new(&list("a b"), Marks::default());
        let at = Micros::millis;
        assert_eq!(registry.mark("c", true, at(1)), Err(Refused::Unknown));
        assert!(registry.mark("a", true, at(1)).is_ok() && registry.mark("a", true, at(2)).is_ok());
        // Kept while the list leaves it out, and put back all the same.
        registry.apply(&list("b"));
        assert!(registry.marks().out.contains("a"));
        assert_eq!(registry.mark("a", false, at(3)).map(|mark| mark.at), Ok(at(3)));
        assert!(registry.marks().out.is_empty());
        registry.apply(&list("a b"));
        // A call that is only repeated is no second cold start.
        assert_eq!(registry.mark("a", false, at(9)).map(|mark| mark.at), Ok(at(3)));
        assert_eq!(registry.mark("b", false, at(9)).map(|mark| mark.at), Ok(at(0)));
    }

    #[test]
    fn it_serves_with_a_server_that_is_not_out_alone() {
        let mut registry = EndpointRegistry::new(&list("a"), Marks::default());
        assert!(!registry.serves());
        (registry.able, registry.list_settled) = (true, true);
        assert!(registry.serves());
        registry.mark("a", true, Micros(1)).expect("known");
        assert!(!registry.serves());
    }

    #[test]
    fn marks_are_bounded() {
        let names: Vec<String> = (0..=Marks::MOST).map(|number| format!("s{number}")).collect();
        let mut registry = EndpointRegistry::new(&list(&names.join(" ")), Marks::default());
        let refused = names.iter().filter_map(|name| registry.mark(name, true, Micros(1)).err());
        assert_eq!(refused.collect::<Vec<_>>(), [Refused::TooMany]);
    }
}
