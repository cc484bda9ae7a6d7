//! Scenarios as tables of phases: the action at the start of each phase, and its length.

/// What happens during a scale run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Scenario {
    /// Nothing happens; then a single list reports that one server is draining.
    Rest,
    /// All lists report that the servers of a zone drain, and its instances go silent; later both come back.
    Zone,
    /// Settings change at ten times the mean rate, each change given to a single instance.
    Change,
    /// The servers of a service are replaced one by one.
    Release,
}

/// The action at the start of a phase.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PhaseAction {
    Nothing,
    /// The list of one instance reports that one server is draining.
    DrainOnOneList,
    /// All servers of a zone drain on all lists, and the instances of that zone go silent.
    LoseZone,
    /// The servers and instances of the lost zone start again.
    RestoreZone,
    /// One instance proposes the next version of the settings.
    ChangeSettings,
    /// The next server of the first service drains on all lists, and the previous one is listed as restarted.
    ReplaceServer,
}

/// One phase of a scenario.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Phase {
    pub name: &'static str,
    pub action: PhaseAction,
    /// Length of the phase, in lease durations.
    pub lease_durations: f64,
    /// Whether the phase is reported.
    pub measured: bool,
    /// The interval at which the action repeats, in seconds; 0 performs it once.
    pub repeat_every_s: f64,
}

const fn phase(name: &'static str, action: PhaseAction, lease_durations: f64, measured: bool) -> Phase {
    Phase { name, action, lease_durations, measured, repeat_every_s: 0.0 }
}

const fn repeated(
    name: &'static str, action: PhaseAction, lease_durations: f64, repeat_every_s: f64,
) -> Phase {
    Phase { name, action, lease_durations, measured: true, repeat_every_s }
}

/// Ten times the mean rate of 5,900 changes a day, which is one every 14.6 s.
const CHANGE_INTERVAL_S: f64 = 1.46;
/// How long a replaced server stays away.
const REPLACEMENT_INTERVAL_S: f64 = 3.0;

const SETTLING: Phase = phase("settling", PhaseAction::Nothing, 2.0, false);
const REST: Phase = phase("rest", PhaseAction::Nothing, 4.0, true);

/// With a divergence bound T of 13 s, the one minute for which the zone is lost is ten lease durations.
const ZONE_PHASES: &[Phase] = &[
    SETTLING,
    REST,
    phase("lost", PhaseAction::LoseZone, 10.0, true),
    phase("back", PhaseAction::RestoreZone, 8.0, true),
];
/// The divergence bound T is 2.06 lease durations.
const REST_PHASES: &[Phase] = &[SETTLING, REST, phase("drain", PhaseAction::DrainOnOneList, 2.06, true)];
const CHANGE_PHASES: &[Phase] =
    &[SETTLING, REST, repeated("change", PhaseAction::ChangeSettings, 10.0, CHANGE_INTERVAL_S)];
const RELEASE_PHASES: &[Phase] =
    &[SETTLING, REST, repeated("release", PhaseAction::ReplaceServer, 10.0, REPLACEMENT_INTERVAL_S)];

impl Scenario {
    pub fn phases(self) -> &'static [Phase] {
        match self {
            Scenario::Rest => REST_PHASES,
            Scenario::Zone => ZONE_PHASES,
            Scenario::Change => CHANGE_PHASES,
            Scenario::Release => RELEASE_PHASES,
        }
    }
}
