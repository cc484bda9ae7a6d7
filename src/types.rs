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
    ZoneId(u32);
    /// A small set of servers that share what they remember of tagged API calls.
    CellId(u32);
    /// A workload, by its position in [`BalancerConfig::workloads`].
    WorkloadId(usize);
    /// A customer, by its position in [`BalancerConfig::tenant_quotas`].
    TenantId(usize);
    /// A timer; given back unchanged.
    TimerToken(u64);
}

/// Which servers drop a repeat of a tagged API call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// What a repeat of an API call may do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    Idempotent,
    ByKey { scope: DedupScope, window: Micros },
    NonIdempotent,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Workload {
    pub idempotency: Idempotency,
    pub quoted_time: Micros,
    pub payoff: f64,
}

/// In any window of this length, hops beyond calls' first are at most `few` and `share` of the calls taken in it.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudget {
    pub base: f64,
    pub ratio: f64,
    pub window: Micros,
}

/// What the place lays down for one instance at its start.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Sidecars in this tier, this one included.
    pub instances: u32,
    /// Which of them this one is, from 0 up.
    pub instance_index: u32,
    /// Our own place, where leaving it has a price.
    pub local_zone: Option<ZoneId>,
    pub workloads: Vec<Workload>,
    /// API calls a second within each customer's share, over all sidecars.
    pub tenant_quotas: Vec<f64>,
    /// What an API call beyond its customer's share is worth, as a part of its payoff.
    pub overage_payoff: f64,
    /// How much of the result hangs on the worst-served workload.
    pub worst_workload_weight: f64,
    pub max_hops: u32,
    /// The bound on hops beyond each call's first, where there is one.
    pub retry_budget: Option<RetryBudget>,
    pub may_cancel: bool,
    pub may_hedge: bool,
    /// The longest cool-down that clients are told of; zero where none is passed on.
    pub max_retry_after: Micros,
    /// Whether servers report their load with every answer.
    pub load_reports: bool,
    /// Whether sidecars may tell each other what they learn.
    pub peer_messages: bool,
    /// Whether a server does less work for a key that it met lately.
    pub key_affinity: bool,
    /// Whether changes of the list must be asked for.
    pub must_subscribe: bool,
    pub resubscribe_within: Micros,
    pub cold_capacity: f64,
    pub warm_up_time: Micros,
    pub collapse_window: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerStatus {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of servers.
#[derive(Clone, Debug)]
pub struct ListedServer {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub status: ServerStatus,
    pub weight: f64,
    /// A number without meaning that every sidecar has for this server alike.
    pub name_hash: u64,
    /// When it last started; zero for long ago.
    pub started: Micros,
}

impl ListedServer {
    /// Where it stands in the order that all sidecars share: cells spread evenly however many there are.
    pub fn turn(&self) -> (u64, u64) {
        (Self::cell_turn(self.cell), self.name_hash)
    }

    /// Where it stands in an order of one's own, by lot: twice the weight, twice as often before another.
    pub fn turn_by_lot(&self, own: u64, weight: f64) -> (u64, u64) {
        let even = (scatter(self.name_hash ^ scatter(own + 1)) >> 11) as f64 / (1u64 << 53) as f64;
        ((-even.max(1e-12).ln() / weight * 1e12) as u64, self.name_hash)
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
    pub time_left: Micros,
    pub tenant: TenantId,
    /// The client has tried before and marked this try so.
    pub client_retry: bool,
    /// What it is about, where that is told: the same number at every sidecar.
    pub affinity_key: Option<u64>,
}

/// What a server tells of its load with an answer: late, and a little noisy.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ServerLoad {
    /// API calls that it holds, those that wait included.
    pub open_calls: Option<f64>,
    /// API calls that wait.
    pub queued_calls: Option<f64>,
    /// How busy its cores are, 1 at most.
    pub cpu_utilization: Option<f64>,
}

impl ServerLoad {
    /// Past this a figure is a fault and not a load.
    const MOST: f64 = 1e6;

    /// A figure that means something, if it is one.
    pub fn plausible(figure: f64) -> Option<f64> {
        (0.0..=Self::MOST).contains(&figure).then_some(figure)
    }
}

/// How a hop ended, and whether its API call is over by that or by something earlier.
#[derive(Clone, Copy, Debug)]
pub struct HopResult {
    pub call: CallId,
    pub hop: HopNo,
    pub outcome: Outcome,
    /// From the send until now.
    pub elapsed: Micros,
    pub call_over: bool,
    pub load: Option<ServerLoad>,
}

/// `Heard` is what another sidecar found of a server's strain.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    ListReceived {
        kind: ListKind,
        entries: &'a [ListedServer],
    },
    CallArrived(Arrival),
    AnswerStarted {
        call: CallId,
        hop: HopNo,
    },
    HopEnded(HopResult),
    CallWithdrawn {
        call: CallId,
    },
    TimerFired(TimerToken),
    PeerReported {
        server: ServerId,
        slowdown: f64,
    },
    /// This instance ends soon: whatever is open is answered by then.
    ShutdownBegun(Micros),
    /// The place lays down something else from now on; workloads keep their numbers. A whole list must follow, by which
    /// servers are measured anew.
    ConfigChanged(&'a BalancerConfig),
}

/// `Tell` is for all other sidecars, where they may tell each other; it may be lost.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    Send { call: CallId, server: ServerId, timeout: Micros },
    Cancel { call: CallId, hop: HopNo },
    Refuse { call: CallId, retry_after: Micros },
    Fail { call: CallId },
    SetTimer { after: Micros, token: TimerToken },
    Subscribe,
    TellPeers { server: ServerId, slowdown: f64 },
    Log { text: String, server: Option<ServerId> },
}

impl Action {
    /// A log line about no one server.
    pub fn log(text: String) -> Action {
        Action::Log { text, server: None }
    }
}
