//! The leases that a lease server has granted, indexed so that no message needs a walk over all of them.
use crate::{HolderId, Micros, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// A lease, as the lease server that granted it records it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Lease {
    pub(crate) expires_at: Micros,
    pub(crate) known_versions: BTreeSet<Version>,
    pub(crate) rejected_versions: BTreeSet<Version>,
}

impl Lease {
    /// Whether the holder complies with that version, or with a later one.
    pub(crate) fn complies_with(&self, version: Version) -> bool {
        complies_with(&self.known_versions, version)
    }
}

fn complies_with(known_versions: &BTreeSet<Version>, version: Version) -> bool {
    known_versions.contains(&version) || known_versions.first().is_some_and(|first| *first > version)
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct Leases {
    by_holder: BTreeMap<HolderId, Lease>,
    /// Expiry times, the earliest first.
    expiry_order: BTreeSet<(Micros, HolderId)>,
    /// How many leases are held by holders that know the same versions.
    count_by_versions: BTreeMap<BTreeSet<Version>, usize>,
    pub(crate) entries_examined: u64,
}

impl Leases {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HolderId, &Lease)> {
        self.by_holder.iter()
    }

    /// Records the versions that a holder knows and rejects, and renews its lease if one is granted, with the
    /// expiry time `granted_until`. Does nothing if the holder has no lease and gets none.
    pub(crate) fn update(
        &mut self, from: HolderId,
        (known_versions, rejected_versions): (BTreeSet<Version>, BTreeSet<Version>),
        granted_until: Option<Micros>,
    ) {
        self.entries_examined += 1;
        let Some(expires_at) =
            granted_until.or_else(|| self.by_holder.get(&from).map(|lease| lease.expires_at))
        else {
            return;
        };
        self.remove_lease(from);
        match self.count_by_versions.get_mut(&known_versions) {
            Some(count) => *count += 1,
            None => _ = self.count_by_versions.insert(known_versions.clone(), 1),
        }
        self.expiry_order.insert((expires_at, from));
        self.by_holder.insert(from, Lease { expires_at, known_versions, rejected_versions });
    }

    fn remove_lease(&mut self, holder: HolderId) {
        let Some(lease) = self.by_holder.remove(&holder) else { return };
        self.expiry_order.remove(&(lease.expires_at, holder));
        if let Some(count) = self.count_by_versions.get_mut(&lease.known_versions) {
            *count -= 1;
            if *count == 0 {
                self.count_by_versions.remove(&lease.known_versions);
            }
        }
    }

    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some((_, holder)) =
            self.expiry_order.first().copied().filter(|(expires_at, _)| *expires_at <= now)
        {
            self.entries_examined += 1;
            self.remove_lease(holder);
        }
    }

    /// Whether no lease prevents that version.
    pub(crate) fn all_comply_with(&mut self, version: Version) -> bool {
        self.entries_examined += self.count_by_versions.len() as u64;
        self.count_by_versions.keys().all(|known_versions| complies_with(known_versions, version))
    }

    /// When the next valid lease expires.
    pub(crate) fn next_expiry(&self, now: Micros) -> Option<Micros> {
        let greatest_id = HolderId { instance: crate::InstanceId(u32::MAX), incarnation: u64::MAX };
        self.expiry_order
            .range((Excluded((now, greatest_id)), Unbounded))
            .next()
            .map(|(expires_at, _)| *expires_at)
    }
}
