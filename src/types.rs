//! The interface of the decision module: ids, times, what a place tells a sidecar at start, events and actions.
//! Nothing is decided here, and nothing here knows a wire.
use crate::scatter;
use std::ops::{Add, Sub};

/// A point in time or a length of time, in whole microseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
pub struct Micros(pub u64);

impl Micros {
    pub const NEVER: Micros = Micros(u64::MAX);
    pub const fn millis(ms: u64) -> Micros {
        Micros(ms * 1000)
    }
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    /// Never below zero: a time that has passed is simply no time left.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $($(#[$doc])* #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Debug)]
        pub struct $name(pub $inner);)*
    };
}

ids! {
    /// One API call, as one sidecar knows it.
    CallId(u32);
    /// Which hop of its API call: 0, 1, 2 ... in the order sent.
    HopNo(u32);
    /// A server, by whatever numbering the host keeps for this instance.
    ServerId(u32);
    /// A place (zone, site, data centre).
    PlaceId(u32);
    /// A small set of servers that share what they remember of tagged API calls.
    CellId(u32);
    /// A workload, by its position in [`Terms::workloads`].
    WorkloadId(usize);
    /// A customer, by its position in [`Terms::customers`].
    CustomerId(usize);
    /// A timer; given back unchanged.
    Token(u64);
}

/// Which servers drop a repeat of a tagged API call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Group {
    All,
    Place,
    Cell,
}

/// What a repeat of an API call may do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    Repeatable,
    Tagged { group: Group, memory: Micros },
    OnceOnly,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Workload {
    pub kind: Kind,
    pub quoted: Micros,
    pub payoff: f64,
}

/// In any window of this length, hops beyond calls' first are at most `few` and `share` of the calls taken in it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BeyondFirst {
    pub few: f64,
    pub share: f64,
    pub window: Micros,
}

/// What the place lays down for one instance at its start.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Sidecars in this tier, this one included.
    pub sidecars: u32,
    /// Which of them this one is, from 0 up.
    pub number: u32,
    /// Our own place, where leaving it has a price.
    pub near: Option<PlaceId>,
    pub workloads: Vec<Workload>,
    /// API calls a second within each customer's share, over all sidecars.
    pub customers: Vec<f64>,
    /// What an API call beyond its customer's share is worth, as a part of its payoff.
    pub beyond_share: f64,
    /// How much of the result hangs on the worst-served workload.
    pub worst_workload: f64,
    pub most_hops: u32,
    /// The bound on hops beyond each call's first, where there is one.
    pub beyond_first: Option<BeyondFirst>,
    pub may_cancel: bool,
    pub may_race: bool,
    /// The longest cool-down that clients are told of; zero where none is passed on.
    pub cool_down: Micros,
    /// Whether servers report their load with every answer.
    pub tells_load: bool,
    /// Whether sidecars may tell each other what they learn.
    pub may_tell: bool,
    /// Whether a server does less work for a key that it met lately.
    pub warm_keys: bool,
    /// Whether changes of the list must be asked for.
    pub must_ask: bool,
    pub ask_within: Micros,
    pub cold_from: f64,
    pub warm_within: Micros,
    pub fall_span: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct Listing {
    pub server: ServerId,
    pub place: PlaceId,
    pub cell: CellId,
    pub standing: Standing,
    pub size: f64,
    /// A number without meaning that every sidecar has for this server alike.
    pub mark: u64,
    /// When it last started; zero for long ago.
    pub started: Micros,
}

impl Listing {
    /// Where it stands in the order that all sidecars share: cells spread evenly however many there are.
    pub fn turn(&self) -> (u64, u64) {
        (Self::cell_turn(self.cell), self.mark)
    }

    /// Where it stands in an order of one's own, by lot: twice the weight, twice as often before another.
    pub fn turn_by_lot(&self, own: u64, weight: f64) -> (u64, u64) {
        let even = (scatter(self.mark ^ scatter(own + 1)) >> 11) as f64 / (1u64 << 53) as f64;
        ((-even.max(1e-12).ln() / weight * 1e12) as u64, self.mark)
    }

    /// Where a cell stands in that order.
    pub fn cell_turn(cell: CellId) -> u64 {
        u64::from(cell.0).wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// Everything there is: who is missing is gone.
    Whole,
    /// The whole list as somebody once saw it.
    Cached,
    /// A request failed or the subscription broke.
    Failed,
}

/// How a hop ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    Succeeded,
    Errored,
    Full,
    TimedOut,
    NoConnection,
    Broken,
    Cancelled,
    NotSent,
}

impl Outcome {
    /// The server is known not to have run it.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// An API call that comes in: from now on one final answer is owed.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub call: CallId,
    pub workload: WorkloadId,
    /// Until the client abandons this try.
    pub left: Micros,
    pub customer: CustomerId,
    /// The client has tried before and marked this try so.
    pub repeat: bool,
    /// What it is about, where that is told: the same number at every sidecar.
    pub key: Option<u64>,
}

/// What a server tells of its load with an answer: late, and a little noisy.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Report {
    /// API calls that it holds, those that wait included.
    pub held: Option<f64>,
    /// API calls that wait.
    pub waiting: Option<f64>,
    /// How busy its cores are, 1 at most.
    pub busy: Option<f64>,
}

impl Report {
    /// Past this a figure is a fault and not a load.
    const MOST: f64 = 1e6;

    /// A figure that means something, if it is one.
    pub fn sound(figure: f64) -> Option<f64> {
        (0.0..=Self::MOST).contains(&figure).then_some(figure)
    }
}

/// How a hop ended, and whether its API call is over by that or by something earlier.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub call: CallId,
    pub hop: HopNo,
    pub outcome: Outcome,
    /// From the send until now.
    pub waited: Micros,
    pub closed: bool,
    pub report: Option<Report>,
}

/// `Heard` is what another sidecar found of a server's strain.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    Listed {
        kind: ListKind,
        entries: &'a [Listing],
    },
    Arrived(Arrival),
    Streaming {
        call: CallId,
        hop: HopNo,
    },
    Ended(Ending),
    Withdrawn {
        call: CallId,
    },
    Woke(Token),
    Heard {
        server: ServerId,
        strain: f64,
    },
    /// This instance ends soon: whatever is open is answered by then.
    AnswerBy(Micros),
    /// The place lays down something else from now on; workloads keep their numbers. A whole list must follow, by which
    /// servers are measured anew.
    Retuned(&'a Terms),
}

/// `Tell` is for all other sidecars, where they may tell each other; it may be lost.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    Send { call: CallId, server: ServerId, give_up: Micros },
    Cancel { call: CallId, hop: HopNo },
    Dismiss { call: CallId, cool_down: Micros },
    Fail { call: CallId },
    Wake { after: Micros, token: Token },
    Subscribe,
    Tell { server: ServerId, strain: f64 },
    Log { text: String, server: Option<ServerId> },
}

impl Action {
    /// A log line about no one server.
    pub fn log(text: String) -> Action {
        Action::Log { text, server: None }
    }
}
