//! Days: sequences of phases, each with the action at its beginning and its length.

/// What happens in a run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Day {
    /// Nothing changes; then one server drains in the list of one instance alone.
    Rest,
    /// All servers of a zone drain in all lists and its instances fall silent at once; later both come back.
    Zone,
    /// Settings change at ten times the mean rate, each change at one instance alone.
    Change,
    /// The servers of one service are restarted one by one.
    Release,
}

/// The action at the beginning of a phase.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PhaseAction {
    /// None.
    Nothing,
    /// One server drains in one instance's list.
    OneListDrains,
    /// The servers of a zone drain in all lists, and its instances fall silent.
    ZoneLost,
    /// The servers of the zone have restarted, and its instances start again.
    ZoneBack,
    /// One instance gets the next version of the settings.
    WriteSettings,
    /// The next server of the first service drains in all lists, and the one before it has restarted.
    RestartServer,
}

/// One phase of a day.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Phase {
    /// Its name in reports.
    pub name: &'static str,
    /// What is done at its beginning.
    pub action: PhaseAction,
    /// How long it lasts, in multiples of the lease duration.
    pub leases: f64,
    /// Whether it is reported.
    pub measured: bool,
    /// After how many seconds the action is repeated, again and again; 0 for once.
    pub interval_s: f64,
}

const fn phase(name: &'static str, action: PhaseAction, leases: f64, measured: bool) -> Phase {
    Phase { name, action, leases, measured, interval_s: 0.0 }
}

const fn repeated(name: &'static str, action: PhaseAction, leases: f64, interval_s: f64) -> Phase {
    Phase { name, action, leases, measured: true, interval_s }
}

/// Ten times the mean rate of 5,900 changes a day, which is one in 14.6 s.
const CHANGE_INTERVAL_S: f64 = 1.46;
/// How long a server drains until it has restarted.
const REPLACEMENT_INTERVAL_S: f64 = 3.0;

const SETTLING: Phase = phase("settling", PhaseAction::Nothing, 2.0, false);
const REST: Phase = phase("rest", PhaseAction::Nothing, 4.0, true);

/// With `within` = 13 s, the minute for which the zone is lost is ten leases.
const ZONE_DAY: &[Phase] = &[
    SETTLING,
    REST,
    phase("lost", PhaseAction::ZoneLost, 10.0, true),
    phase("back", PhaseAction::ZoneBack, 8.0, true),
];
/// The setting `within` is 2.06 leases.
const REST_DAY: &[Phase] = &[SETTLING, REST, phase("drain", PhaseAction::OneListDrains, 2.06, true)];
const CHANGE_DAY: &[Phase] =
    &[SETTLING, REST, repeated("change", PhaseAction::WriteSettings, 10.0, CHANGE_INTERVAL_S)];
const RELEASE_DAY: &[Phase] =
    &[SETTLING, REST, repeated("release", PhaseAction::RestartServer, 10.0, REPLACEMENT_INTERVAL_S)];

impl Day {
    /// Its phases in order.
    pub fn phases(self) -> &'static [Phase] {
        match self {
            Day::Rest => REST_DAY,
            Day::Zone => ZONE_DAY,
            Day::Change => CHANGE_DAY,
            Day::Release => RELEASE_DAY,
        }
    }
}
