//! What one instance remembers: plain records of API calls, servers and figures. Nothing is decided here.
use crate::types::*;
use crate::{Allowance, Bins, Tally};

/// Where an API call stands.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum State {
    Fresh,
    Queued,
    Out,
    Raced,
    Over,
}

/// How far a server is trusted.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Trust {
    Fit,
    Aside,
    Trial,
}

pub struct Hop {
    pub server: ServerId,
    pub place: PlaceId,
    pub cell: CellId,
    pub sent: Micros,
    pub ended: Option<Outcome>,
    pub outlived: bool,
    pub copy: bool,
}

impl Hop {
    pub fn open(&self) -> bool {
        self.ended.is_none()
    }

    pub fn may_have_run(&self) -> bool {
        !self.ended.is_some_and(Outcome::proves_not_run)
    }
}

pub struct Call {
    pub workload: usize,
    pub state: State,
    pub turn: (u32, u64), // its place in the queue: dearest first, then oldest
    pub abandon: Micros,
    pub patience: Micros,
    pub hops: Vec<Hop>,
}

pub struct Server {
    pub listing: Listing,
    pub out: u32,
    pub answered: bool,
    pub trust: Trust,
    pub until: Micros,
    pub asides: u32,
    pub record: Tally,
    pub unreached: u32,
    pub ease: f64,
    pub cold: Allowance,
}

impl Server {
    pub fn new(listing: &Listing, out: u32, cold: Allowance) -> Server {
        Server {
            listing: listing.clone(),
            out,
            answered: false,
            trust: Trust::Fit,
            until: Micros(0),
            asides: 0,
            record: Tally::default(),
            unreached: 0,
            ease: 1.0,
            cold,
        }
    }

    /// Its part of the work: the listed size, less where it has been slow.
    pub fn weight(&self) -> f64 {
        self.listing.size.max(0.01) * self.ease
    }

    pub fn usable(&self) -> bool {
        self.listing.standing == Standing::Ready && self.trust == Trust::Fit
    }
}

/// What the place's terms come down to.
#[derive(Default)]
pub struct Figures {
    pub workloads: Vec<Workload>,
    pub shares: Vec<f64>, // API calls a second that each customer may send through this sidecar alone
    pub beyond_share: f64,
    pub lifted: f64,
    pub most_hops: usize,
    pub may_cancel: bool,
    pub may_race: bool,
    pub cool_down: Micros,
    pub ask_within: Micros,
    pub my_part: f64,
    pub near: Option<PlaceId>,
    pub cold_from: f64,
    pub warm_within: Micros,
    pub fall_span: Micros,
}

impl Figures {
    pub fn new(terms: &Terms) -> Figures {
        let sidecars = f64::from(terms.sidecars.max(1));
        Figures {
            workloads: terms.workloads.clone(),
            shares: terms.customers.iter().map(|rate| rate / sidecars).collect(),
            beyond_share: terms.beyond_share,
            lifted: terms.worst_workload,
            most_hops: terms.most_hops as usize,
            may_cancel: terms.may_cancel,
            may_race: terms.may_race,
            cool_down: terms.cool_down,
            ask_within: terms.ask_within,
            my_part: 1.0 / sidecars,
            near: terms.near,
            cold_from: terms.cold_from,
            warm_within: terms.warm_within,
            fall_span: terms.fall_span,
        }
    }
}

/// How crowded the servers are, as our own latency shows it.
#[derive(Default)]
pub struct Crowding {
    pub recent: Bins,
    pub long: Bins,
    pub level: Option<f64>,
    pub width: f64,
    pub crowded: bool,
    pub steady: bool,
    pub fleet: f64,
}
