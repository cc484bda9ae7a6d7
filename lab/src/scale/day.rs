//! Days as tables of phases: what is done at the beginning of each, and how long it lasts.

#[derive(Clone, Copy, PartialEq, Eq, Debug, clap::ValueEnum)]
pub enum Day {
    /// Nothing happens, and then one list alone tells of one server that leaves.
    Rest,
    /// The servers of a zone leave by all lists, and its instances fall silent at once; later both are there again.
    Zone,
}

/// What is done at the beginning of a phase.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Deed {
    Nothing,
    /// One instance's list tells that one server leaves.
    OneDrains,
    ZoneLost,
    ZoneBack,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Phase {
    pub name: &'static str,
    pub deed: Deed,
    /// How long it lasts, in lengths of a lease.
    pub leases: f64,
    /// Whether it gives figures.
    pub measured: bool,
}

const fn phase(name: &'static str, deed: Deed, leases: f64, measured: bool) -> Phase {
    Phase { name, deed, leases, measured }
}

const SETTLING: Phase = phase("settling", Deed::Nothing, 2.0, false);
const REST: Phase = phase("rest", Deed::Nothing, 4.0, true);

/// With T = 13 s the minute of a zone's loss is ten leases.
const ZONE_DAY: &[Phase] =
    &[SETTLING, REST, phase("lost", Deed::ZoneLost, 10.0, true), phase("back", Deed::ZoneBack, 8.0, true)];
/// T is 2.06 leases.
const REST_DAY: &[Phase] = &[SETTLING, REST, phase("drain", Deed::OneDrains, 2.06, true)];

impl Day {
    pub fn phases(self) -> &'static [Phase] {
        match self {
            Day::Rest => REST_DAY,
            Day::Zone => ZONE_DAY,
        }
    }
}
