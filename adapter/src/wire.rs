//! The simulator's wire: names and seconds on this side, the module's types on the other.
use oakhollow::types::*;
use oakhollow_terms::Place;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
#[serde(tag = "what", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum In {
    Clock {
        t_s: f64,
        round: u64,
    },
    Commit,
    Init {
        who: u32,
        init_seed: u64,
        env: Box<Place>,
    },
    Destroy {
        who: u32,
    },
    Inventory {
        sheet: u8,
        items: Vec<Item>,
    },
    Targets {
        who: u32,
        sheet: Option<u8>,
        kind: u8,
    },
    Order {
        who: u32,
        xid: u32,
        category: usize,
        expires_in_s: f64,
        #[serde(default)]
        tenant: usize,
        #[serde(default)]
        options: u32,
        key: Option<u64>,
    },
    Headers {
        who: u32,
        xid: u32,
        r#try: u32,
    },
    Finished {
        who: u32,
        xid: u32,
        r#try: u32,
        #[serde(default)]
        wait_time_s: f64,
        #[serde(default)]
        complete: bool,
        outcome: Code,
        telemetry: Option<Telemetry>,
    },
    Withdrawn {
        who: u32,
        xid: u32,
    },
    Wake {
        who: u32,
        cookie: u64,
    },
    // The module asks for no probes; their results are read and left alone.
    HealthResult {
        who: u32,
    },
    Inbox {
        who: u32,
        raw: String,
    },
}

/// A load report; figures that the module does not read are passed over.
#[derive(Deserialize, Clone, Copy)]
pub struct Telemetry {
    busy_reqs: Option<f64>,
    pending: Option<f64>,
    cpu_share: Option<f64>,
}

impl From<Telemetry> for ServerLoad {
    fn from(told: Telemetry) -> ServerLoad {
        ServerLoad {
            open_calls: told.busy_reqs.and_then(ServerLoad::plausible),
            queued_calls: told.pending.and_then(ServerLoad::plausible),
            cpu_utilization: told.cpu_share.and_then(ServerLoad::plausible),
        }
    }
}

#[derive(Deserialize, Clone, Copy)]
pub enum Code {
    S,
    E,
    F,
    T,
    C,
    R,
    X,
    N,
}

impl From<Code> for Outcome {
    fn from(code: Code) -> Outcome {
        match code {
            Code::S => Outcome::Succeeded,
            Code::E => Outcome::Errored,
            Code::F => Outcome::Full,
            Code::T => Outcome::TimedOut,
            Code::C => Outcome::NoConnection,
            Code::R => Outcome::Broken,
            Code::X => Outcome::Cancelled,
            Code::N => Outcome::NotSent,
        }
    }
}

#[derive(Deserialize, Clone)]
pub struct Item {
    pub endpoint: String,
    #[serde(default)]
    pub hall: u32,
    #[serde(default)]
    pub block: u32,
    #[serde(default)]
    pub availability: u8,
    #[serde(default = "one")]
    pub nominal: f64,
    #[serde(default)]
    pub launched_s: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Serialize)]
#[serde(tag = "what", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Out<'a> {
    Try { who: u32, xid: u32, endpoint: &'a str, give_up_after_s: f64 },
    Revoke { who: u32, xid: u32, r#try: u32 },
    Bounce { who: u32, xid: u32, cool_down_s: f64 },
    EndFailed { who: u32, xid: u32 },
    Remind { who: u32, after_s: f64, cookie: u64 },
    Subscribe { who: u32, want: bool },
    Say { who: u32, to: i32, raw: String },
    Emit { who: u32, text: String },
    Fatal { who: u32, text: String },
    Yield { round: u64 },
}
