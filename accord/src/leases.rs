//! The leases that a keeper has granted, kept so that no word costs a walk over all of them.
use crate::{HolderId, Micros, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Lease {
    pub(crate) until: Micros,
    pub(crate) knows: BTreeSet<Version>,
    pub(crate) refuses: BTreeSet<Version>,
}

impl Lease {
    /// Whoever holds it keeps to that version, or to a later one.
    pub(crate) fn keeps_to(&self, version: Version) -> bool {
        keeps_to(&self.knows, version)
    }
}

fn keeps_to(knows: &BTreeSet<Version>, version: Version) -> bool {
    knows.contains(&version) || knows.first().is_some_and(|first| *first > version)
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Leases {
    held: BTreeMap<HolderId, Lease>,
    /// When each is over, the earliest first.
    ends: BTreeSet<(Micros, HolderId)>,
    /// How many are held by those who know the same versions.
    alike: BTreeMap<BTreeSet<Version>, usize>,
    pub(crate) steps: u64,
}

impl Leases {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HolderId, &Lease)> {
        self.held.iter()
    }

    /// What its holder knows now, whether or not it is renewed; one that was never granted is none.
    pub(crate) fn asked(
        &mut self, from: HolderId, (knows, refuses): (BTreeSet<Version>, BTreeSet<Version>),
        granted: Option<Micros>,
    ) {
        self.steps += 1;
        let Some(until) = granted.or_else(|| self.held.get(&from).map(|lease| lease.until)) else { return };
        self.drop_of(from);
        match self.alike.get_mut(&knows) {
            Some(count) => *count += 1,
            None => _ = self.alike.insert(knows.clone(), 1),
        }
        self.ends.insert((until, from));
        self.held.insert(from, Lease { until, knows, refuses });
    }

    fn drop_of(&mut self, holder: HolderId) {
        let Some(lease) = self.held.remove(&holder) else { return };
        self.ends.remove(&(lease.until, holder));
        if let Some(count) = self.alike.get_mut(&lease.knows) {
            *count -= 1;
            if *count == 0 {
                self.alike.remove(&lease.knows);
            }
        }
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some((_, holder)) = self.ends.first().copied().filter(|(until, _)| *until <= now) {
            self.steps += 1;
            self.drop_of(holder);
        }
    }

    /// No lease stands against that version.
    pub(crate) fn all_keep_to(&mut self, version: Version) -> bool {
        self.steps += self.alike.len() as u64;
        self.alike.keys().all(|knows| keeps_to(knows, version))
    }

    /// When the next of those is over that live.
    pub(crate) fn next_end(&self, now: Micros) -> Option<Micros> {
        let last = HolderId { instance: crate::InstanceId(u32::MAX), incarnation: u64::MAX };
        self.ends.range((Excluded((now, last)), Unbounded)).next().map(|(until, _)| *until)
    }
}
