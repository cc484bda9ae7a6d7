//! A lease protocol by which instances agree on versions of a document, such as the settings, so that no two
//! of them act on contradicting rules. A few instances, listed as `keepers` in the operator's file, run a
//! lease server. Every instance is a [`LeaseHolder`]: it requests leases from the lease servers, and acts
//! only while it holds valid leases from a majority of them. A [`LeaseServer`] commits a new version once
//! each lease that it granted has expired or its holder knows the version. A lease holder that knows
//! uncommitted versions acts on the strictest combination of all versions it knows.
//!
//! Lease holders also report which servers drain, and lease servers pass these reports on to the others. The
//! same leases limit for how long a lease holder may act without having received a report. `docs/accord.md`
//! has the proof. No I/O, no clock and no threads: the caller passes the time in.
mod facts;
mod lease_holder;
mod lease_server;
mod leases;
mod name_set;
mod reports;
mod server_view;
mod state_hash;
mod subscriptions;

pub use facts::{Fact, FactChange, Facts, Subject, MAX_FACTS};
pub use lease_holder::{Action, LeaseHolder, Validator};
pub use lease_server::{BlockingLease, LeaseServer};
pub use server_view::ListUpdate;

pub use oakhollow::types::Micros;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An instance that the operator's file names, by its position there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct InstanceId(pub u32);

/// A version of a document: the number that its author gave it, and a hash of its content. An author that
/// restarts its numbers begins a higher epoch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct Version {
    /// Increases when the author restarts its numbers.
    pub epoch: u64,
    /// The author's number of the version.
    pub number: u64,
    /// Distinguishes two contents with the same number.
    pub hash: u64,
}

impl Version {
    /// The part of the version that the author assigns.
    pub fn epoch_and_number(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}-{:04x}", self.epoch, self.number, self.hash & 0xffff)
    }
}

/// A version with its content.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct Document {
    /// The version of the content.
    pub version: Version,
    /// The content.
    pub text: Arc<str>,
}

/// One incarnation of an instance. A restarted process, or a second process beside the first, is another
/// holder.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HolderId {
    /// The instance.
    pub instance: InstanceId,
    /// Distinguishes the incarnations of one instance.
    pub incarnation: u64,
}

/// The messages between lease holders and lease servers.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A lease holder requests a lease. It complies with all versions that it knows, and can't apply those it
    /// rejects.
    #[serde(rename = "ask")]
    LeaseRequest {
        /// The number of the request; it increases with each request of the holder.
        #[serde(rename = "turn")]
        sequence: u64,
        /// The versions that the holder knows and complies with.
        #[serde(rename = "knows")]
        known_versions: Vec<Version>,
        /// The versions that the holder can't apply.
        #[serde(rename = "refuses")]
        rejected_versions: Vec<Version>,
        /// The hash of the facts that the lease holder reports.
        #[serde(rename = "says")]
        reported_hash: u64,
        /// The hash of the server names on the lease holder's list if it receives only facts about those;
        /// `None` if it receives all.
        #[serde(default, rename = "names", skip_serializing_if = "Option::is_none")]
        names_hash: Option<u64>,
        /// The hash of the facts received from this lease server.
        #[serde(rename = "heard")]
        received_hash: u64,
        /// The number of the last fact update from this lease server.
        #[serde(rename = "after")]
        last_update: u64,
    },
    /// The lease for the request with that number, and the version committed at this lease server.
    #[serde(rename = "grant")]
    LeaseGrant {
        /// The number of the request that is granted.
        #[serde(rename = "turn")]
        sequence: u64,
        /// The version committed at this lease server.
        #[serde(rename = "cleared")]
        committed: Version,
        /// For how long, in microseconds, the lease holder has lacked an exclusion that this lease server
        /// knows of; its lease is shorter by that.
        #[serde(rename = "behind")]
        lag_us: u64,
    },
    /// The lease server does not know the lease holder's report with the hash of its request; it knows the
    /// one with this hash.
    #[serde(rename = "lacks")]
    UnknownReport {
        /// The hash of the report that is known.
        #[serde(rename = "have")]
        known_hash: u64,
    },
    /// A change of the sender's facts from the content with one hash to that with another. A lease server
    /// numbers its updates, so that a delayed one does not undo a later one.
    #[serde(rename = "says")]
    FactUpdate {
        /// The lease server's number of the update; 0 from a lease holder.
        #[serde(rename = "at")]
        number: u64,
        /// The hash of the content that the changes apply to; 0 for the empty content.
        #[serde(rename = "from")]
        base_hash: u64,
        /// The hash of the content after the changes.
        #[serde(rename = "to")]
        new_hash: u64,
        /// The changes.
        changes: Vec<FactChange>,
    },
    /// The lease server does not know the names with the hash of the lease holder's request; it knows those
    /// with this hash.
    #[serde(rename = "lacks_names")]
    UnknownNames {
        /// The hash of the names that are known.
        #[serde(rename = "have")]
        known_hash: u64,
    },
    /// The server names on a lease holder's list, as a difference from those with another hash.
    Subscribe {
        /// The hash of the names that the difference applies to; 0 for none.
        #[serde(rename = "from")]
        base_hash: u64,
        /// The hash of the new names.
        #[serde(rename = "to")]
        new_hash: u64,
        /// Names to add.
        #[serde(rename = "more")]
        added: Vec<Arc<str>>,
        /// Names to remove.
        #[serde(rename = "fewer")]
        removed: Vec<Arc<str>>,
    },
    /// Asks the receiver for documents that the sender does not have.
    #[serde(rename = "want")]
    RequestDocuments(Vec<Version>),
    /// Versions with their contents.
    Documents(Vec<(Version, Arc<str>)>),
    /// The lease server's state has changed: the lease holder should send a new lease request.
    #[serde(rename = "news")]
    StateChanged,
}

/// The most versions that may be pending, so that an author who keeps writing new versions can't exhaust
/// memory.
pub const MAX_PENDING_VERSIONS: usize = 16;

/// By what fraction a lease server's clock may run faster than a lease holder's. A lease server counts leases
/// as valid for longer by this fraction.
pub const CLOCK_RATE_TOLERANCE: f64 = 0.03;

/// The length of a lease such that all instances respect a fact at most `max_divergence` after one instance
/// learned it. That is two leases: within the first, the fact reaches a lease server or the instance that
/// knows it stops acting; within the second, each other instance receives the fact or stops acting.
pub fn lease_duration(max_divergence: Micros) -> Micros {
    max_divergence.times(0.5 / (1.0 + CLOCK_RATE_TOLERANCE))
}

/// The smallest group of lease servers such that any two groups of that size have a lease server in common.
pub fn majority(lease_servers: usize) -> usize {
    lease_servers / 2 + 1
}
