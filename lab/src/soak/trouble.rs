//! The kinds of trouble that a soak plays.

macro_rules! troubles {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// One kind of trouble.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
        pub enum Trouble {
            $($(#[$doc])* $name,)*
        }

        impl Trouble {
            /// All kinds.
            pub const ALL: &[Trouble] = &[$(Trouble::$name,)*];

            /// The name by which it is printed and left out.
            pub fn name(self) -> &'static str {
                match self {
                    $(Trouble::$name => $text,)*
                }
            }
        }
    };
}

troubles! {
    /// A process is asked to end, and started again.
    Terminate = "terminate";
    /// SIGHUP three times, then a process is asked to end twice, and started again.
    SignalSeries = "signal-series";
    /// A process is killed, and started again.
    Kill = "kill";
    /// A process stands still for up to 0.15 s.
    StopShort = "stop-short";
    /// A process stands still for up to a second.
    StopLong = "stop-long";
    /// SIGHUP twice in a row.
    HangupTwice = "hangup-twice";
    /// SIGHUP with half a file, and then with a whole one.
    HangupBroken = "hangup-broken";
    /// SIGHUP with discovery at another address.
    HangupMoved = "hangup-moved";
    /// A second process takes over from the first.
    TakeOver = "take-over";
    /// A second process begins to take over, and is killed.
    TakeOverKilled = "take-over-killed";
    /// Discovery refuses connections, and its watches end.
    DiscoveryDown = "discovery-down";
    /// Discovery accepts and says nothing; its watches fall silent.
    DiscoverySilent = "discovery-silent";
    /// Discovery answers each call after a while.
    DiscoverySlow = "discovery-slow";
    /// Discovery has too many callers: its watches end, and each call is turned away when it has waited.
    DiscoveryCrowded = "discovery-crowded";
    /// Watches end in the middle of a line.
    DiscoveryCut = "discovery-cut";
    /// Discovery starts again, and numbers its versions from the first.
    DiscoveryLower = "discovery-lower";
    /// A server drains, leaves, and comes back.
    ServerDrains = "server-drains";
    /// A server starts again cold.
    ServerRestarts = "server-restarts";
    /// A server takes requests and says nothing.
    ServerHangs = "server-hangs";
    /// A server resets connections at every point of a request.
    ServerResets = "server-resets";
    /// A server turns requests away.
    ServerFull = "server-full";
    /// A server answers twice.
    ServerAnswersTwice = "server-answers-twice";
    /// A server closes its idle connections at once.
    ServerClosesIdle = "server-closes-idle";
    /// Clients leave while they wait.
    ClientsLeave = "clients-leave";
    /// Clients send half a request and stay.
    ClientsStopHalfWay = "clients-stop-half-way";
    /// Clients send several requests at once.
    ClientsPipeline = "clients-pipeline";
    /// Clients write and read a byte at a time.
    ClientsDrip = "clients-drip";
    /// Many connections that say nothing.
    ClientsFlood = "clients-flood";
    /// Clients retry at once.
    ClientsRetry = "clients-retry";
    /// An operator takes a server out, and puts it back.
    Maintenance = "maintenance";
    /// The wall clock of a process is stepped by an hour.
    ClockStep = "clock-step";
    /// Reads and writes on sockets are short, or interrupted.
    ShortTransfers = "short-transfers";
    /// Connections break with `ETIMEDOUT` and `EHOSTUNREACH`.
    BrokenTransfers = "broken-transfers";
    /// Accepts fail.
    FailedAccepts = "failed-accepts";
    /// The folder is full.
    FolderFull = "folder-full";
    /// Syncs, renames and reads in the folder fail.
    FolderFails = "folder-fails";
}

impl Trouble {
    /// By its name.
    pub fn named(name: &str) -> Option<Trouble> {
        Trouble::ALL.iter().copied().find(|trouble| trouble.name() == name)
    }
}
