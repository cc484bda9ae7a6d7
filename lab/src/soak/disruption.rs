//! The kinds of disruptions that a soak run injects: faults of processes, servers, clients and discovery, and
//! operators' actions.

use oakhollow_faults::FaultKind;

macro_rules! disruptions {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// A kind of disruption.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub enum Disruption {
            $($(#[$doc])* $name,)*
        }

        impl Disruption {
            /// All kinds, in the order in which they are drawn.
            pub const ALL: &[Disruption] = &[$(Disruption::$name,)*];

            /// The name in reports and for `--without`.
            pub fn name(self) -> &'static str {
                match self {
                    $(Disruption::$name => $text,)*
                }
            }
        }
    };
}

disruptions! {
    /// A process gets SIGTERM, and is started again.
    Terminate = "terminate";
    /// A process gets SIGHUP three times and SIGTERM twice, and is started again.
    SignalSeries = "signal-series";
    /// A process gets SIGKILL, and is started again.
    Kill = "kill";
    /// A process is stopped with SIGSTOP for up to 0.15 s.
    StopShort = "stop-short";
    /// A process is stopped with SIGSTOP for up to a second.
    StopLong = "stop-long";
    /// SIGHUP twice in a row.
    HangupTwice = "hangup-twice";
    /// SIGHUP with a truncated configuration file, and then with a complete one.
    HangupBroken = "hangup-broken";
    /// SIGHUP with a configuration that has discovery at another address.
    HangupMoved = "hangup-moved";
    /// A second process takes over from the first on the same listening socket.
    TakeOver = "take-over";
    /// A second process begins to take over, and is killed.
    TakeOverKilled = "take-over-killed";
    /// Discovery closes each connection at once, and ends its watches.
    DiscoveryDown = "discovery-down";
    /// Discovery accepts requests without answering, and sends nothing on its watches.
    DiscoverySilent = "discovery-silent";
    /// Discovery delays each answer.
    DiscoverySlow = "discovery-slow";
    /// Discovery is overloaded: it ends its watches, and rejects each request after a wait.
    DiscoveryOverloaded = "discovery-crowded";
    /// Discovery ends its watches in the middle of a line.
    DiscoveryCut = "discovery-cut";
    /// Discovery restarts, and its list index starts again at 1.
    DiscoveryRestarts = "discovery-lower";
    /// A server drains, is removed from the list, and returns.
    ServerDrains = "server-drains";
    /// A server restarts cold.
    ServerRestarts = "server-restarts";
    /// A server accepts requests without answering.
    ServerHangs = "server-hangs";
    /// A server resets connections at random points of a request or answer.
    ServerResets = "server-resets";
    /// A server rejects requests as not started.
    ServerFull = "server-full";
    /// A server sends each answer twice.
    ServerAnswersTwice = "server-answers-twice";
    /// A server closes its connections as soon as they are idle.
    ServerClosesIdle = "server-closes-idle";
    /// Clients close their connection before the answer.
    ClientsLeave = "clients-leave";
    /// Clients send part of a request and keep the connection open.
    ClientsStopHalfWay = "clients-stop-half-way";
    /// Clients pipeline several requests.
    ClientsPipeline = "clients-pipeline";
    /// Clients send their requests a byte at a time.
    ClientsDrip = "clients-drip";
    /// Many connections that send nothing.
    ClientsFlood = "clients-flood";
    /// Clients send their next request almost at once after each answer or failure.
    ClientsRetry = "clients-retry";
    /// An operator sets a server to maintenance, and clears it again.
    Maintenance = "maintenance";
    /// The wall clock of a process is stepped by an hour.
    ClockStep = "clock-step";
    /// Reads and writes on sockets are short, or fail with `EINTR`.
    ShortTransfers = "short-transfers";
    /// Connections break with `ETIMEDOUT` and `EHOSTUNREACH`.
    BrokenTransfers = "broken-transfers";
    /// `accept4` fails.
    FailedAccepts = "failed-accepts";
    /// Writes to files fail with `ENOSPC`.
    DiskFull = "folder-full";
    /// Syncs and renames of files fail.
    DiskFails = "folder-fails";
    /// A process is killed in the middle of writing a file.
    KilledInWrite = "killed-in-write";
    /// Reads of files fail, while SIGHUP asks for one.
    ReadsFail = "reads-fail";
    /// A process is stopped with SIGSTOP, gets SIGTERM meanwhile, and is started again.
    TerminateStopped = "terminate-stopped";
    /// A process gets SIGTERM while many clients each have a request open, and is started again.
    TerminateCrowded = "terminate-crowded";
    /// A process gets SIGTERM as soon as a second one begins to take over from it.
    TerminateEarlyTakeOver = "terminate-early-take-over";
    /// A process gets SIGTERM and SIGHUP in turn, and is started again.
    TerminateHangup = "terminate-hangup";
}

/// How many kinds the first lanes of a timetable draw from. Later ones have lanes of their own, so that a seed still
/// draws the same entries of the first ones.
pub const FIRST_KINDS: usize = 34;

impl Disruption {
    /// The faults of system calls of which at least one has to arrive for the disruption to have happened; empty for a
    /// disruption of another sort.
    pub fn system_faults(self) -> &'static [FaultKind] {
        match self {
            Disruption::ShortTransfers => {
                &[FaultKind::ShortReceive, FaultKind::ShortSend, FaultKind::Interrupted]
            }
            Disruption::BrokenTransfers => &[FaultKind::BrokenConnection],
            Disruption::FailedAccepts => &[FaultKind::FailedAccept],
            Disruption::DiskFull => &[FaultKind::FullDisk],
            Disruption::DiskFails => &[FaultKind::FailedSync, FaultKind::FailedRename],
            Disruption::KilledInWrite => &[FaultKind::KilledWrite],
            Disruption::ReadsFail => &[FaultKind::FailedRead],
            _ => &[],
        }
    }

    /// Looks a kind up by its name.
    pub fn from_name(name: &str) -> Option<Disruption> {
        Disruption::ALL.iter().copied().find(|disruption| disruption.name() == name)
    }
}
