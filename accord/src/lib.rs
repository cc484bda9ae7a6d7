//! How many instances agree on versions of a document, such as the settings, so that no two of them act on rules that
//! contradict each other. A few named instances are keepers. Every instance, a [`LeaseHolder`], asks them for leases and acts
//! only while a majority's leases live; a [`LeaseServer`] lets a new version hold once each lease that it granted is held by
//! one that knows that version, or has run out. Whoever knows versions that need not hold yet acts on the strictest of
//! all it knows. What one hears of a server that drains is spread to all, and by the same leases nobody acts for long who
//! has not heard it. `docs/accord.md` has the argument why that suffices. No I/O, no clock, no threads: the time is handed in.
mod audience;
mod facts;
mod lease_holder;
mod lease_server;
mod leases;
mod lists;
mod names;
mod said;
mod shape;

pub use facts::{Fact, FactChange, Facts, Subject, MAX_FACTS};
pub use lease_holder::{Action, LeaseHolder, Validator};
pub use lease_server::{BlockingLease, LeaseServer};
pub use lists::ListUpdate;

pub use oakhollow::types::Micros;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One of the instances that are named in the operator's file, by its position there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct InstanceId(pub u32);

/// Which state of a document: what its writer numbered, and what it holds. A writer that numbers anew begins a new epoch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub number: u64,
    /// Tells two contents under one number apart.
    pub hash: u64,
}

impl Version {
    /// What the writer calls it.
    pub fn epoch_and_number(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{}.{}-{:04x}", self.epoch, self.number, self.hash & 0xffff)
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Document {
    pub version: Version,
    pub text: Arc<str>,
}

/// One life of an instance: after a new start, and in a second process beside the first, it is another holder.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HolderId {
    pub instance: InstanceId,
    pub incarnation: u64,
}

/// What members and keepers say to each other.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A member wants a lease: it keeps to all of what it knows, and can't take what it refuses.
    #[serde(rename = "ask")]
    LeaseRequest {
        #[serde(rename = "turn")]
        sequence: u64,
        #[serde(rename = "knows")]
        known_versions: Vec<Version>,
        #[serde(rename = "refuses")]
        rejected_versions: Vec<Version>,
        /// The hash of what it says of servers, and of what it has heard of them from this keeper.
        #[serde(rename = "says")]
        reported_hash: u64,
        /// The hash of the servers that its list names, where it is told of those alone; it is told of all otherwise.
        #[serde(default, rename = "names", skip_serializing_if = "Option::is_none")]
        names_hash: Option<u64>,
        #[serde(rename = "heard")]
        received_hash: u64,
        /// How that keeper numbered what was last heard from it.
        #[serde(rename = "after")]
        last_update: u64,
    },
    /// The lease for that turn, and what holds at this keeper.
    #[serde(rename = "grant")]
    LeaseGrant {
        #[serde(rename = "turn")]
        sequence: u64,
        #[serde(rename = "cleared")]
        committed: Version,
        /// For how long, in microseconds, it has lacked something that this keeper knows to be forbidden: its lease is
        /// shorter by that.
        #[serde(rename = "behind")]
        lag_us: u64,
    },
    /// What a member says of servers is not known here; what has this hash is.
    #[serde(rename = "lacks")]
    UnknownReport {
        #[serde(rename = "have")]
        known_hash: u64,
    },
    /// What whoever says this says of servers, as changes from the content of one hash to that of another.
    /// A keeper numbers what it tells: what comes late must not undo what came before it.
    #[serde(rename = "says")]
    FactUpdate {
        #[serde(rename = "at")]
        number: u64,
        #[serde(rename = "from")]
        base_hash: u64,
        #[serde(rename = "to")]
        new_hash: u64,
        changes: Vec<FactChange>,
    },
    /// The names by which a member asks are not known here; those of this hash are.
    #[serde(rename = "lacks_names")]
    UnknownNames {
        #[serde(rename = "have")]
        known_hash: u64,
    },
    /// The servers that a member's list names, as they follow from those of another hash.
    Subscribe {
        #[serde(rename = "from")]
        base_hash: u64,
        #[serde(rename = "to")]
        new_hash: u64,
        #[serde(rename = "more")]
        added: Vec<Arc<str>>,
        #[serde(rename = "fewer")]
        removed: Vec<Arc<str>>,
    },
    /// Whoever hears this knows versions that the one who says it does not.
    #[serde(rename = "want")]
    RequestDocuments(Vec<Version>),
    Documents(Vec<(Version, Arc<str>)>),
    /// Something has changed at a keeper: ask again.
    #[serde(rename = "news")]
    StateChanged,
}

/// Versions that may wait to hold at a time: guards against a writer without end.
pub const MAX_PENDING_VERSIONS: usize = 16;

/// By how much a keeper's clock may run faster than a member's, as a part: the keeper counts a lease longer by it.
pub const CLOCK_RATE_TOLERANCE: f64 = 0.03;

/// How long a lease lives where the promise is that what one hears holds for all `within`: one length of a lease passes at
/// most until a keeper has heard it, or whoever heard it acts no more, and another until nobody acts without it.
pub fn lease_duration(within: Micros) -> Micros {
    within.times(0.5 / (1.0 + CLOCK_RATE_TOLERANCE))
}

/// How many of the keepers have a word that two such groups can't have without sharing one.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}
