//! How many instances agree on versions of a document, such as the settings, so that no two of them act on rules that
//! contradict each other. A few named instances are keepers. Every instance, a [`Member`], asks them for leases and acts
//! only while a majority's leases live; a [`Keeper`] lets a new version hold once each lease that it granted is held by
//! one that knows that version, or has run out. Whoever knows versions that need not hold yet acts on the strictest of
//! all it knows. What one hears of a server that drains is spread to all, and by the same leases nobody acts for long who
//! has not heard it. `docs/accord.md` has the argument why that suffices. No I/O, no clock, no threads: the time is handed in.
mod audience;
mod facts;
mod keeper;
mod leases;
mod lists;
mod member;
mod names;
mod said;
mod shape;

pub use facts::{Change, Fact, Facts, Subject, MOST_FACTS};
pub use keeper::{Keeper, Waiting};
pub use lists::Listed;
pub use member::{Action, Judge, Member};

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
    pub fn place(&self) -> (u64, u64) {
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
pub struct Holder {
    pub instance: InstanceId,
    pub life: u64,
}

/// What members and keepers say to each other.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Word {
    /// A member wants a lease: it keeps to all of what it knows, and can't take what it refuses.
    Ask {
        turn: u64,
        knows: Vec<Version>,
        refuses: Vec<Version>,
        /// The hash of what it says of servers, and of what it has heard of them from this keeper.
        says: u64,
        /// The hash of the servers that its list names, where it is told of those alone; it is told of all otherwise.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        names: Option<u64>,
        heard: u64,
        /// How that keeper numbered what was last heard from it.
        after: u64,
    },
    /// The lease for that turn, and what holds at this keeper.
    Grant {
        turn: u64,
        cleared: Version,
        /// For how long, in microseconds, it has lacked something that this keeper knows to be forbidden: its lease is
        /// shorter by that.
        behind: u64,
    },
    /// What a member says of servers is not known here; what has this hash is.
    Lacks {
        have: u64,
    },
    /// What whoever says this says of servers, as changes from the content of one hash to that of another.
    /// A keeper numbers what it tells: what comes late must not undo what came before it.
    Says {
        at: u64,
        from: u64,
        to: u64,
        changes: Vec<Change>,
    },
    /// The names by which a member asks are not known here; those of this hash are.
    LacksNames {
        have: u64,
    },
    /// The servers that a member's list names, as they follow from those of another hash.
    Subscribe {
        from: u64,
        to: u64,
        more: Vec<Arc<str>>,
        fewer: Vec<Arc<str>>,
    },
    /// Whoever hears this knows versions that the one who says it does not.
    Want(Vec<Version>),
    Documents(Vec<(Version, Arc<str>)>),
    /// Something has changed at a keeper: ask again.
    News,
}

/// Versions that may wait to hold at a time: guards against a writer without end.
pub const MOST_WAITING: usize = 16;

/// By how much a keeper's clock may run faster than a member's, as a part: the keeper counts a lease longer by it.
pub const UNEVEN: f64 = 0.03;

/// How long a lease lives where the promise is that what one hears holds for all `within`: one length of a lease passes at
/// most until a keeper has heard it, or whoever heard it acts no more, and another until nobody acts without it.
pub fn lease(within: Micros) -> Micros {
    within.times(0.5 / (1.0 + UNEVEN))
}

/// How many of the keepers have a word that two such groups can't have without sharing one.
pub fn majority(keepers: usize) -> usize {
    keepers / 2 + 1
}
