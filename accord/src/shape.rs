//! What of a keeper or a member matters from now on, for whoever explores all they can come to: times as what is left of them,
//! nothing that is over, and neither the numbers of asks nor what is known of servers. Two that have the same shape go on alike.
use crate::{HolderId, InstanceId, LeaseHolder, LeaseServer, Micros};
use std::hash::{Hash, Hasher};

impl LeaseServer {
    /// `name` stands for a holder, so that those who play the same part look alike.
    pub fn shape(&self, now: Micros, name: impl Fn(HolderId) -> u32, into: &mut impl Hasher) {
        (self.awake - now, self.cleared, self.documents.keys().collect::<Vec<_>>()).hash(into);
        let live = self.leases.iter().filter(|(_, lease)| lease.until > now);
        let mut leases: Vec<_> = live
            .map(|(holder, lease)| (name(*holder), lease.until - now, &lease.knows, &lease.refuses))
            .collect();
        leases.sort_unstable();
        leases.hash(into);
    }

    /// The last ask of one that was taken.
    pub fn turn_of(&self, holder: HolderId) -> Option<u64> {
        self.said.turn_of(holder)
    }
}

impl LeaseHolder {
    /// But its leases, which belong to one keeper each.
    pub fn shape(&self, into: &mut impl Hasher) {
        (self.documents.keys().collect::<Vec<_>>(), &self.refused, self.base).hash(into);
    }

    pub fn lease_shape(&self, keeper: InstanceId, now: Micros, into: &mut impl Hasher) {
        let live = self.leases.get(&keeper).filter(|lease| lease.from + self.within > now);
        live.map(|lease| (lease.from + self.within - now, lease.cleared)).hash(into);
    }

    /// For how long a lease that was asked for by that turn would still live.
    pub fn turn_left(&self, turn: u64, now: Micros) -> Micros {
        self.asked.get(&turn).map_or(Micros(0), |turn| turn.at + self.within - now)
    }
}
