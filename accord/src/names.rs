//! The servers that one's list names, for whoever is told of those alone, and a hash of them by which two such sets are told
//! apart.
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Names {
    all: BTreeSet<Arc<str>>,
    hash: u64,
}

fn hash_of(name: &str) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    name.hash(&mut hasher);
    hasher.finish()
}

impl Names {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<str>> {
        self.all.iter()
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.all.contains(name)
    }

    /// Does not depend on the order; zero of none.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn add(&mut self, name: Arc<str>) -> bool {
        let hash = hash_of(&name);
        let fresh = self.all.insert(name);
        self.hash ^= if fresh { hash } else { 0 };
        fresh
    }

    pub(crate) fn remove(&mut self, name: &str) -> bool {
        let known = self.all.remove(name);
        self.hash ^= if known { hash_of(name) } else { 0 };
        known
    }

    pub(crate) fn keep_those_of(&mut self, other: &Names) {
        let gone: Vec<Arc<str>> = self.all.difference(&other.all).cloned().collect();
        gone.iter().for_each(|name| _ = self.remove(name));
    }

    /// What must be added to another set, and removed from it, to come to this one.
    pub(crate) fn beyond(&self, other: &Names) -> (Vec<Arc<str>>, Vec<Arc<str>>) {
        let more = self.all.difference(&other.all).cloned().collect();
        let fewer = other.all.difference(&self.all).cloned().collect();
        (more, fewer)
    }
}
