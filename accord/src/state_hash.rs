//! Hashes of the state that decides the future behaviour of a lease server or a lease holder, for tests that
//! explore all reachable states. Times are hashed as the time left; what has expired, request numbers and
//! facts about servers are left out. Two states with the same hash behave alike from then on.
use crate::{HolderId, InstanceId, LeaseHolder, LeaseServer, Micros};
use std::hash::{Hash, Hasher};

impl LeaseServer {
    /// `name` numbers the holders, so that states that differ only in which holder is which look alike.
    pub fn hash_state(&self, now: Micros, name: impl Fn(HolderId) -> u32, into: &mut impl Hasher) {
        (self.active_from - now, self.committed, self.documents.keys().collect::<Vec<_>>()).hash(into);
        let valid = self.leases.iter().filter(|(_, lease)| lease.expires_at > now);
        let mut leases: Vec<_> = valid
            .map(|(holder, lease)| {
                (name(*holder), lease.expires_at - now, &lease.known_versions, &lease.rejected_versions)
            })
            .collect();
        leases.sort_unstable();
        leases.hash(into);
    }

    /// The number of the last request accepted from that holder.
    pub fn last_sequence(&self, holder: HolderId) -> Option<u64> {
        self.reports.last_sequence(holder)
    }
}

impl LeaseHolder {
    /// Without its leases, which belong to one lease server each.
    pub fn hash_state(&self, into: &mut impl Hasher) {
        (self.documents.keys().collect::<Vec<_>>(), &self.rejected, self.committed).hash(into);
    }

    /// The lease from one lease server.
    pub fn hash_lease(&self, lease_server: InstanceId, now: Micros, into: &mut impl Hasher) {
        let valid =
            self.leases.get(&lease_server).filter(|lease| lease.requested_at + self.lease_duration > now);
        valid.map(|lease| (lease.requested_at + self.lease_duration - now, lease.committed)).hash(into);
    }

    /// For how long a lease for the request with that number would still be valid.
    pub fn lease_time_left(&self, sequence: u64, now: Micros) -> Micros {
        self.sent_requests
            .get(&sequence)
            .map_or(Micros(0), |request| request.sent_at + self.lease_duration - now)
    }
}
