//! The interface of the decision module: ids, times, the configuration, events and actions. It contains no
//! decisions and no wire format.
use crate::mix64;
use std::ops::{Add, Sub};

/// A point in time or a duration, in whole microseconds. Addition and subtraction saturate.
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
    /// An API call; unique within one balancer.
    CallId(u32);
    /// A hop of an API call, numbered from 0 in the order of sending.
    HopNo(u32);
    /// A server; the host assigns the numbers, for each balancer on its own.
    ServerId(u32);
    /// A zone, site or data centre.
    ZoneId(u32);
    /// A cell: a small set of servers that share their record of idempotency keys.
    CellId(u32);
    /// A workload, by its index in [`BalancerConfig::workloads`].
    WorkloadId(usize);
    /// A tenant, by its index in [`BalancerConfig::tenant_quotas`].
    TenantId(usize);
    /// Identifies a timer; [`Event::TimerFired`] returns it unchanged.
    TimerToken(u64);
}

/// Which servers recognise a repeated idempotency key and drop the repeat.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DedupScope {
    All,
    /// The servers of the zone that received the first hop.
    Zone,
    /// The servers of the cell that received the first hop.
    Cell,
}

/// Whether an API call may be executed more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Idempotency {
    Idempotent,
    /// Servers within `scope` drop a repeat with the same key for the time `window` after the first.
    ByKey {
        scope: DedupScope,
        window: Micros,
    },
    NonIdempotent,
}

/// A class of API calls.
#[derive(Clone, PartialEq, Debug)]
pub struct Workload {
    pub idempotency: Idempotency,
    /// The response time promised to clients.
    pub quoted_time: Micros,
    /// The value of a call answered in time, relative to other workloads.
    pub payoff: f64,
}

/// A bound on hops beyond each call's first: in any window of this length at most `base` plus `ratio` times
/// the calls accepted in the window.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudget {
    pub base: f64,
    pub ratio: f64,
    pub window: Micros,
}

/// The configuration of one balancer.
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Balancers in this tier, this one included.
    pub instances: u32,
    /// The number of this balancer among them, from 0.
    pub instance_index: u32,
    /// The balancer's own zone, if traffic to other zones has a cost; else none.
    pub local_zone: Option<ZoneId>,
    pub workloads: Vec<Workload>,
    /// Calls per second that each tenant may send, over all balancers.
    pub tenant_quotas: Vec<f64>,
    /// Factor on the payoff of a call that exceeds its tenant's quota.
    pub overage_payoff: f64,
    /// How much the worst-served workload counts in the overall result, from 0 to 1.
    pub worst_workload_weight: f64,
    pub max_hops: u32,
    /// The bound on hops beyond each call's first, if there is one.
    pub retry_budget: Option<RetryBudget>,
    pub may_cancel: bool,
    /// Whether two hops of a call may be open at the same time.
    pub may_hedge: bool,
    /// The longest retry-after time sent to clients; 0 if none is sent.
    pub max_retry_after: Micros,
    /// Whether servers report their load with every answer.
    pub load_reports: bool,
    /// Whether balancers may send each other what they observe.
    pub peer_messages: bool,
    /// Whether a server does less work for a key that it has processed recently.
    pub key_affinity: bool,
    /// Whether the balancer must subscribe to changes of the server list.
    pub must_subscribe: bool,
    /// The time within which a lost subscription must be renewed.
    pub resubscribe_within: Micros,
    /// The share of its full capacity that a server has when it starts.
    pub cold_capacity: f64,
    /// The time after which a started server has its full capacity.
    pub warm_up_time: Micros,
    /// The window in which the calls to a cold server are counted: a server that gets more calls in one than
    /// its capacity collapses.
    pub collapse_window: Micros,
}

/// A server's status in the list.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerStatus {
    Ready,
    /// Finishes its open calls and takes no new ones.
    Draining,
    /// Not in the list any more.
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub status: ServerStatus,
    pub weight: f64,
    /// A hash of the server's name, the same at every balancer.
    pub name_hash: u64,
    /// When the server last started; 0 for long ago.
    pub started: Micros,
}

impl ListedServer {
    /// The server's position on the ring that all balancers share. The servers of a cell stand together, and
    /// cells are spread evenly, however many there are.
    pub fn ring_position(&self) -> (u64, u64) {
        (Self::cell_ring_position(self.cell), self.name_hash)
    }

    /// The server's position on a ring of one balancer alone, in a weighted pseudo-random order: a server
    /// with twice the weight comes before another twice as often.
    pub fn private_ring_position(&self, instance: u64, weight: f64) -> (u64, u64) {
        let uniform = (mix64(self.name_hash ^ mix64(instance + 1)) >> 11) as f64 / (1u64 << 53) as f64;
        ((-uniform.max(1e-12).ln() / weight * 1e12) as u64, self.name_hash)
    }

    /// The position of a cell on the shared ring.
    pub fn cell_ring_position(cell: CellId) -> u64 {
        u64::from(cell.0).wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }
}

/// What a received server list contains.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list: a server that is missing is gone.
    Whole,
    /// A complete list from an earlier time.
    Cached,
    /// Nothing: the request failed or the subscription broke.
    Failed,
}

/// How a hop ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    Succeeded,
    /// The server answered with an error.
    Errored,
    /// The server was overloaded and refused the call without executing it.
    Full,
    TimedOut,
    /// No connection to the server could be opened.
    NoConnection,
    /// The connection broke before the answer was complete.
    Broken,
    /// Cancelled by this balancer.
    Cancelled,
    /// The host did not send it.
    NotSent,
}

impl Outcome {
    /// Whether the server certainly did not execute the call.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// A new API call. It gets exactly one final answer.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub call: CallId,
    pub workload: WorkloadId,
    /// The time until the client stops waiting.
    pub time_left: Micros,
    pub tenant: TenantId,
    /// Whether the client marked this call as a retry of an earlier one.
    pub client_retry: bool,
    /// A hash of the data that the call is about, if known; the same at every balancer.
    pub affinity_key: Option<u64>,
}

/// The load that a server reports with an answer. It is delayed and a little noisy.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct ServerLoad {
    /// Calls in the server, including queued ones.
    pub open_calls: Option<f64>,
    /// Calls that wait in the server's queue.
    pub queued_calls: Option<f64>,
    /// From 0 to 1, over all cores.
    pub cpu_utilization: Option<f64>,
}

impl ServerLoad {
    /// A larger figure is an error of the server.
    const MAX_FIGURE: f64 = 1e6;

    /// Returns the figure if it can be a load: not negative, not NaN and not above the maximum.
    pub fn plausible(figure: f64) -> Option<f64> {
        (0.0..=Self::MAX_FIGURE).contains(&figure).then_some(figure)
    }
}

/// The end of a hop.
#[derive(Clone, Copy, Debug)]
pub struct HopResult {
    pub call: CallId,
    pub hop: HopNo,
    pub outcome: Outcome,
    /// The time since the hop was sent.
    pub elapsed: Micros,
    /// Whether the call has its final answer, by this hop or by something earlier, or was withdrawn.
    pub call_over: bool,
    pub load: Option<ServerLoad>,
}

/// What the host reports to the decision module.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    ListReceived {
        kind: ListKind,
        entries: &'a [ListedServer],
    },
    CallArrived(Arrival),
    /// The first bytes of a streamed answer came; that hop's answer goes to the client.
    AnswerStarted {
        call: CallId,
        hop: HopNo,
    },
    HopEnded(HopResult),
    /// The client stopped waiting for the call.
    CallWithdrawn {
        call: CallId,
    },
    /// The time of a call is over, earlier than its arrival told. It must have its answer now; its open hops are ended.
    TimeOver {
        call: CallId,
    },
    TimerFired(TimerToken),
    /// Another balancer reported a server's slowdown: latency relative to that of the idle server.
    PeerReported {
        server: ServerId,
        slowdown: f64,
    },
    /// The balancer shuts down: all open calls must have their answers by this time.
    ShutdownBegun(Micros),
    /// The configuration changed; workloads keep their ids. A whole list must follow, from which the
    /// subset of servers and their limits are recomputed.
    ConfigChanged(&'a BalancerConfig),
}

/// What the host must do.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Send the call's next hop.
    Send {
        call: CallId,
        server: ServerId,
        timeout: Micros,
    },
    Cancel {
        call: CallId,
        hop: HopNo,
    },
    /// Answer the call with a refusal: it was not executed, or repeating it does no harm.
    Refuse {
        call: CallId,
        retry_after: Micros,
    },
    /// Answer the call with an error: it may have been executed.
    Fail {
        call: CallId,
    },
    SetTimer {
        after: Micros,
        token: TimerToken,
    },
    /// Subscribe to the server list.
    Subscribe,
    /// Send a server's slowdown to all other balancers, where peer messages are allowed; it may get lost.
    TellPeers {
        server: ServerId,
        slowdown: f64,
    },
    Log {
        text: String,
        server: Option<ServerId>,
    },
}

impl Action {
    /// A log line that does not concern a single server.
    pub fn log(text: String) -> Action {
        Action::Log { text, server: None }
    }
}
