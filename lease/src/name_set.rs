//! The set of server names on an instance's list, for instances that receive facts only about those, with a
//! hash that identifies the set.
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct NameSet {
    names: BTreeSet<Arc<str>>,
    hash: u64,
}

fn name_hash(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

impl NameSet {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<str>> {
        self.names.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Does not depend on the order; 0 for the empty set.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn add(&mut self, name: Arc<str>) -> bool {
        let hash = name_hash(&name);
        let is_new = self.names.insert(name);
        self.hash ^= if is_new { hash } else { 0 };
        is_new
    }

    pub(crate) fn remove(&mut self, name: &str) -> bool {
        let known = self.names.remove(name);
        self.hash ^= if known { name_hash(name) } else { 0 };
        known
    }

    pub(crate) fn retain_common(&mut self, other: &NameSet) {
        let missing: Vec<Arc<str>> = self.names.difference(&other.names).cloned().collect();
        missing.iter().for_each(|name| _ = self.remove(name));
    }

    /// The names to add to another set, and those to remove from it, to get this one.
    pub(crate) fn difference_from(&self, other: &NameSet) -> (Vec<Arc<str>>, Vec<Arc<str>>) {
        let added = self.names.difference(&other.names).cloned().collect();
        let removed = other.names.difference(&self.names).cloned().collect();
        (added, removed)
    }
}
