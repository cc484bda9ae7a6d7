//! Days as tables of phases: what is done at the beginning of each, and how long it lasts.

#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Day {
    /// Nothing happens, and then one list alone tells of one server that leaves.
    Rest,
    /// The servers of a zone leave by all lists, and its instances fall silent at once; later both are there again.
    Zone,
    /// Settings change at ten times the mean rate, each change told to one instance alone.
    Change,
    /// The servers of a service are replaced one by one.
    Release,
}

/// What is done at the beginning of a phase.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PhaseAction {
    Nothing,
    /// One instance's list tells that one server leaves.
    OneDrains,
    ZoneLost,
    ZoneBack,
    /// One instance's file says the next version.
    Write,
    /// One more server of the first service leaves, by all lists, and the one before it is there again.
    ReplaceOne,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Phase {
    pub name: &'static str,
    pub action: PhaseAction,
    /// How long it lasts, in lengths of a lease.
    pub leases: f64,
    /// Whether it gives figures.
    pub measured: bool,
    /// After how many seconds it is done again, over and over; once if 0.
    pub every_s: f64,
}

const fn phase(name: &'static str, action: PhaseAction, leases: f64, measured: bool) -> Phase {
    Phase { name, action, leases, measured, every_s: 0.0 }
}

const fn again(name: &'static str, action: PhaseAction, leases: f64, every_s: f64) -> Phase {
    Phase { name, action, leases, measured: true, every_s }
}

/// 5,900 changes a day are one in 14.6 s; ten times as many.
const BETWEEN_CHANGES_S: f64 = 1.46;
/// A server that is replaced stays away for that long.
const BETWEEN_SERVERS_S: f64 = 3.0;

const SETTLING: Phase = phase("settling", PhaseAction::Nothing, 2.0, false);
const REST: Phase = phase("rest", PhaseAction::Nothing, 4.0, true);

/// With T = 13 s the minute of a zone's loss is ten leases.
const ZONE_DAY: &[Phase] = &[
    SETTLING,
    REST,
    phase("lost", PhaseAction::ZoneLost, 10.0, true),
    phase("back", PhaseAction::ZoneBack, 8.0, true),
];
/// T is 2.06 leases.
const REST_DAY: &[Phase] = &[SETTLING, REST, phase("drain", PhaseAction::OneDrains, 2.06, true)];
const CHANGE_DAY: &[Phase] = &[SETTLING, REST, again("change", PhaseAction::Write, 10.0, BETWEEN_CHANGES_S)];
const RELEASE_DAY: &[Phase] =
    &[SETTLING, REST, again("release", PhaseAction::ReplaceOne, 10.0, BETWEEN_SERVERS_S)];

impl Day {
    pub fn phases(self) -> &'static [Phase] {
        match self {
            Day::Rest => REST_DAY,
            Day::Zone => ZONE_DAY,
            Day::Change => CHANGE_DAY,
            Day::Release => RELEASE_DAY,
        }
    }
}
