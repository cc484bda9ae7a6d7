//! Hashes of the state that decides the future behaviour of a lease server or a lease holder, for tests that
//! explore all reachable states. Times are hashed as the time left; what has expired, request numbers and
//! facts about servers are left out. Two states with the same hash behave alike from then on.
use crate::{HolderId, InstanceId, LeaseHolder, LeaseServer, Micros};
use std::hash::{Hash, Hasher};

impl LeaseServer {
    /// `holder_number` replaces the ids of holders, so that the caller can give the same hash to states that
    /// differ only by a permutation of the holders.
    pub fn hash_state(&self, now: Micros, holder_number: impl Fn(HolderId) -> u32, hasher: &mut impl Hasher) {
        (self.active_from - now, self.committed, self.documents.keys().collect::<Vec<_>>()).hash(hasher);
        let valid = self.leases.iter().filter(|(_, lease)| lease.expires_at > now);
        let mut leases: Vec<_> = valid
            .map(|(holder, lease)| {
                (
                    holder_number(*holder),
                    lease.expires_at - now,
                    &lease.known_versions,
                    &lease.rejected_versions,
                )
            })
            .collect();
        leases.sort_unstable();
        leases.hash(hasher);
    }

    /// The number of the last request accepted from that holder.
    pub fn last_sequence(&self, holder: HolderId) -> Option<u64> {
        self.reports.last_sequence(holder)
    }
}

impl LeaseHolder {
    /// Leaves the leases out: [`LeaseHolder::hash_lease`] hashes the lease from one lease server.
    pub fn hash_state(&self, hasher: &mut impl Hasher) {
        (self.documents.keys().collect::<Vec<_>>(), &self.rejected, self.committed).hash(hasher);
    }

    /// Hashes the lease from one lease server.
    pub fn hash_lease(&self, lease_server: InstanceId, now: Micros, hasher: &mut impl Hasher) {
        let valid =
            self.leases.get(&lease_server).filter(|lease| lease.valid_from + self.lease_duration > now);
        valid.map(|lease| (lease.valid_from + self.lease_duration - now, lease.committed)).hash(hasher);
    }

    /// For how long a lease for the request with that number would still be valid.
    pub fn lease_time_left(&self, sequence: u64, now: Micros) -> Micros {
        self.sent_requests
            .get(&sequence)
            .map_or(Micros(0), |request| request.sent_at + self.lease_duration - now)
    }
}
