//! The simulator's message format: one JSON object per line, with endpoint names and times in seconds. `who`
//! is an instance and `xid` a call.
use oakhollow::types::*;
use oakhollow_config::Settings;
use serde::{Deserialize, Serialize};

/// A message from the simulator. A batch begins with `CLOCK` and ends with `COMMIT`.
#[derive(Deserialize)]
#[serde(tag = "what", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Message {
    Clock {
        t_s: f64,
        round: u64,
    },
    Commit,
    /// Starts an instance.
    Init {
        who: u32,
        init_seed: u64,
        env: Box<Settings>,
    },
    Destroy {
        who: u32,
    },
    /// Declares a server list under a number.
    Inventory {
        sheet: u8,
        items: Vec<ListItem>,
    },
    /// Gives an instance a declared list, or reports that the list request failed.
    Targets {
        who: u32,
        sheet: Option<u8>,
        /// 0 is changes, 1 a whole list, 2 a cached list and 3 a failed request.
        kind: u8,
    },
    /// A new API call.
    Order {
        who: u32,
        xid: u32,
        category: usize,
        expires_in_s: f64,
        #[serde(default)]
        tenant: usize,
        /// Flags; 2 marks a retry by the client.
        #[serde(default)]
        options: u32,
        key: Option<u64>,
    },
    /// A streamed answer has begun.
    Headers {
        who: u32,
        xid: u32,
        r#try: u32,
    },
    /// A hop has ended.
    Finished {
        who: u32,
        xid: u32,
        r#try: u32,
        #[serde(default)]
        wait_time_s: f64,
        #[serde(default)]
        complete: bool,
        outcome: OutcomeCode,
        telemetry: Option<Telemetry>,
    },
    /// The client stopped waiting for the call.
    Withdrawn {
        who: u32,
        xid: u32,
    },
    /// A timer fired.
    Wake {
        who: u32,
        cookie: u64,
    },
    /// The result of a health probe. The module requests none and ignores this message.
    HealthResult {
        who: u32,
    },
    /// A message from another instance.
    Inbox {
        who: u32,
        raw: String,
    },
}

/// A load report; columns that the module does not use are ignored.
#[derive(Deserialize, Clone, Copy)]
pub struct Telemetry {
    /// Calls in the server, including queued ones.
    busy_reqs: Option<f64>,
    /// Queued calls.
    pending: Option<f64>,
    cpu_share: Option<f64>,
}

impl From<Telemetry> for ServerLoad {
    fn from(telemetry: Telemetry) -> ServerLoad {
        ServerLoad {
            open_calls: telemetry.busy_reqs.and_then(ServerLoad::plausible),
            queued_calls: telemetry.pending.and_then(ServerLoad::plausible),
            cpu_utilization: telemetry.cpu_share.and_then(ServerLoad::plausible),
        }
    }
}

/// How a hop ended.
#[derive(Deserialize, Clone, Copy)]
pub enum OutcomeCode {
    S,
    E,
    F,
    T,
    C,
    R,
    X,
    N,
}

impl From<OutcomeCode> for Outcome {
    fn from(code: OutcomeCode) -> Outcome {
        match code {
            OutcomeCode::S => Outcome::Succeeded,
            OutcomeCode::E => Outcome::Errored,
            OutcomeCode::F => Outcome::Full,
            OutcomeCode::T => Outcome::TimedOut,
            OutcomeCode::C => Outcome::NoConnection,
            OutcomeCode::R => Outcome::Broken,
            OutcomeCode::X => Outcome::Cancelled,
            OutcomeCode::N => Outcome::NotSent,
        }
    }
}

/// An entry of a server list.
#[derive(Deserialize, Clone)]
pub struct ListItem {
    pub endpoint: String,
    /// The zone.
    #[serde(default)]
    pub hall: u32,
    /// The cell.
    #[serde(default)]
    pub block: u32,
    /// 0 is gone, 1 ready and 2 draining.
    #[serde(default)]
    pub availability: u8,
    /// The weight.
    #[serde(default = "default_weight")]
    pub nominal: f64,
    /// When the server last started; 0 for long ago.
    #[serde(default)]
    pub launched_s: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// A reply to the simulator. The replies of a batch end with `YIELD`.
#[derive(Serialize)]
#[serde(tag = "what", rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Reply<'a> {
    /// Sends a hop.
    Try {
        who: u32,
        xid: u32,
        endpoint: &'a str,
        give_up_after_s: f64,
    },
    /// Cancels a hop.
    Revoke {
        who: u32,
        xid: u32,
        r#try: u32,
    },
    /// Refuses a call.
    Bounce {
        who: u32,
        xid: u32,
        cool_down_s: f64,
    },
    /// Answers a call with an error.
    EndFailed {
        who: u32,
        xid: u32,
    },
    /// Sets a timer.
    Remind {
        who: u32,
        after_s: f64,
        cookie: u64,
    },
    /// Subscribes to the server list.
    Subscribe {
        who: u32,
        want: bool,
    },
    /// Sends a message to another instance, or to all of them if `to` is -1.
    Say {
        who: u32,
        to: i32,
        raw: String,
    },
    /// A log line.
    Emit {
        who: u32,
        text: String,
    },
    /// The instance panicked.
    Fatal {
        who: u32,
        text: String,
    },
    Yield {
        round: u64,
    },
}
