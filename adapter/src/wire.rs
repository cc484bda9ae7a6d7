//! The simulator's wire: names and seconds on this side, the module's types on the other.
use oakhollow::types::*;
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
        env: Box<Env>,
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
    },
    Withdrawn {
        who: u32,
        xid: u32,
    },
    Wake {
        who: u32,
        cookie: u64,
    },
    // The module asks for neither probes nor messages; both are read and left alone.
    HealthResult {
        who: u32,
    },
    Inbox {
        who: u32,
    },
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

#[derive(Deserialize)]
pub struct Env {
    me: u32,
    balancers: u32,
    bounds: Bounds,
    discovery: String,
    #[serde(default)]
    goal: Goal,
    #[serde(default = "one")]
    overage_payoff: f64,
    #[serde(default)]
    prices: Prices,
    rules: Rules,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    tenants: Vec<Tenant>,
    workloads: Vec<Class>,
}

#[derive(Deserialize)]
struct Bounds {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    max_retry_after_s: f64,
    most_hops: u32,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize, Default)]
struct Goal {
    #[serde(default)]
    worst_class: f64,
}

#[derive(Deserialize, Default)]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(default)]
    ask_within_s: f64,
    cold_from: f64,
    fall_s: f64,
    warm_within_s: f64,
}

#[derive(Deserialize)]
struct Tenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Class {
    quoted_time_s: f64,
    #[serde(default)]
    overdue_payoff: f64,
    #[serde(default)]
    payoff: f64,
    semantics: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    memory_span_s: f64,
}

pub fn micros(seconds: f64) -> Micros {
    Micros((seconds * 1e6).round().max(0.0) as u64)
}

pub fn terms(env: &Env) -> Result<Terms, String> {
    let workload = |class: &Class| {
        let memory = micros(class.memory_span_s);
        let kind = match (class.semantics.as_str(), class.group.as_str()) {
            ("read_like", _) => Kind::Repeatable,
            ("non_idempotent", _) => Kind::OnceOnly,
            ("idempotency_key", "all") => Kind::Tagged { group: Group::All, memory },
            ("idempotency_key", "zone") => Kind::Tagged { group: Group::Place, memory },
            ("idempotency_key", "cell") => Kind::Tagged { group: Group::Cell, memory },
            (semantics, group) => return Err(format!("field workloads: unknown kind {semantics}/{group}")),
        };
        Ok(Workload {
            kind,
            quoted: micros(class.quoted_time_s),
            payoff: class.payoff,
            late_payoff: class.overdue_payoff,
        })
    };
    let bounds = &env.bounds;
    Ok(Terms {
        sidecars: env.balancers,
        number: env.me,
        near: (env.prices.cross_zone > 0.0).then_some(PlaceId(env.zone)),
        workloads: env.workloads.iter().map(workload).collect::<Result<_, _>>()?,
        customers: env.tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
        beyond_share: env.overage_payoff,
        worst_workload: env.goal.worst_class,
        most_hops: bounds.most_hops,
        may_cancel: bounds.cancel,
        may_race: bounds.parallel_tries,
        cool_down: if bounds.retry_after { micros(bounds.max_retry_after_s) } else { Micros(0) },
        must_ask: env.discovery == "on_request",
        ask_within: micros(env.rules.ask_within_s),
        cold_from: env.rules.cold_from,
        warm_within: micros(env.rules.warm_within_s),
        fall_span: micros(env.rules.fall_s),
    })
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
    Emit { who: u32, text: String },
    Fatal { who: u32, text: String },
    Yield { round: u64 },
}
