//! The stricter of two states of the settings: what neither of them forbids. One table says for each key which side that is.
use serde_json::{Map, Value};
use std::cmp::Ordering;

/// Which of two values of a key is the stricter.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Side {
    Least,
    Most,
    /// A leave that both must give.
    Both,
    /// No rule but a preference: as it was.
    Before,
    /// Has no stricter side: a change of it must come by a restart.
    Same,
    /// This instance's own, which is not part of what all agree on.
    Own,
    Object,
    /// Offered where both offer it.
    Workloads,
    /// By name; one that the other does not name has no share there.
    Tenants,
    Kind,
    /// Read together, by [`budget`].
    Budget,
}

/// Every key of the settings. One that is not here and differs has no side: the change is refused.
const TABLE: &[(&str, Side)] = &[
    ("me", Side::Own),
    ("zone", Side::Own),
    ("tier", Side::Own),
    ("balancers", Side::Most),
    ("zones", Side::Same),
    ("stages", Side::Same),
    ("discovery", Side::Same),
    ("report", Side::Same),
    ("overage_payoff", Side::Before),
    ("goal", Side::Before),
    ("prices", Side::Before),
    ("family_info", Side::Before),
    ("bounds", Side::Object),
    ("bounds.cancel", Side::Both),
    ("bounds.parallel_tries", Side::Both),
    ("bounds.peer_messages", Side::Both),
    ("bounds.retry_after", Side::Both),
    ("bounds.max_retry_after_s", Side::Least),
    ("bounds.connect_timeout_s", Side::Least),
    ("bounds.idle_close_s", Side::Least),
    ("bounds.most_hops", Side::Least),
    ("rules", Side::Object),
    ("rules.ask_within_s", Side::Least),
    ("rules.cold_from", Side::Least),
    ("rules.warm_within_s", Side::Most),
    ("rules.fall_s", Side::Most),
    ("rules.spare_attempts", Side::Budget),
    ("rules.budget_share", Side::Budget),
    ("rules.extra_window_s", Side::Budget),
    ("tenants", Side::Tenants),
    ("tenants.quota_per_s", Side::Least),
    ("workloads", Side::Workloads),
    ("workloads.name", Side::Same),
    ("workloads.semantics", Side::Kind),
    ("workloads.group", Side::Kind),
    ("workloads.memory_span_s", Side::Kind),
    ("workloads.quoted_time_s", Side::Least),
    ("workloads.abandon_time_s", Side::Least),
    ("workloads.payoff", Side::Before),
    ("workloads.overdue_payoff", Side::Before),
];

type Object = Map<String, Value>;

/// The stricter of two settings objects, `before` the earlier; a fault names the key.
///
/// ```
/// use oakhollow_terms::stricter;
/// use serde_json::json;
/// let side = |before: serde_json::Value, after: serde_json::Value| stricter(&before, &after);
/// let bounds = |hops: u32, cancel: bool| json!({"bounds": {"most_hops": hops, "cancel": cancel}});
/// assert_eq!(side(bounds(3, true), bounds(4, false)), Ok(bounds(3, false)));
/// let class = |name: &str, how: &str, payoff: u32| json!({"name": name, "semantics": how, "payoff": payoff});
/// let of = |all: &[serde_json::Value]| json!({ "workloads": all });
/// let (view, pay) = (class("view", "read_like", 1), class("pay", "non_idempotent", 2));
/// let changed = of(&[class("view", "non_idempotent", 9), class("new", "read_like", 1)]);
/// assert_eq!(side(of(&[view, pay.clone()]), changed), Ok(of(&[class("view", "non_idempotent", 1)])));
/// assert_eq!(side(of(&[pay]), of(&[class("new", "read_like", 1)])).unwrap_err(), "workloads: none stands in both");
/// assert_eq!(side(json!({"odd": 1}), json!({"odd": 2})).unwrap_err(), "odd: changed, and nothing is known of its stricter side");
/// let budget = |few, share, window| json!({"rules": {"spare_attempts": few, "budget_share": share, "extra_window_s": window}});
/// assert_eq!(side(budget(9, 0.1, 5), budget(5, 0.2, 5)), Ok(budget(5, 0.1, 5)));
/// assert_eq!(side(json!({"rules": {}}), budget(5, 0.2, 5)), Ok(budget(5, 0.2, 5)));
/// assert_eq!(side(budget(9, 0.1, 5), budget(5, 0.2, 9)), Ok(budget(5, json!(0.0).as_f64().unwrap(), 9)));
/// ```
pub fn stricter(before: &Value, after: &Value) -> Result<Value, String> {
    let object = |value: &Value| value.as_object().cloned().ok_or_else(|| "must be an object".to_string());
    merge("", &object(before)?, &object(after)?).map(Value::Object)
}

fn merge(at: &str, before: &Object, after: &Object) -> Result<Object, String> {
    let mut merged = Object::new();
    let new = after.keys().filter(|key| !before.contains_key(*key));
    for key in before.keys().chain(new) {
        let path = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
        let side = TABLE.iter().find(|(known, _)| *known == path).map(|(_, side)| *side);
        let (one, other) = (before.get(key), after.get(key));
        if let Some(value) = settle(&path, side, one, other)? {
            merged.insert(key.clone(), value);
        }
    }
    match at {
        "workloads" => kind(&mut merged, before, after),
        "rules" => budget(&mut merged, before, after),
        _ => {}
    }
    Ok(merged)
}

fn settle(
    path: &str, side: Option<Side>, one: Option<&Value>, other: Option<&Value>,
) -> Result<Option<Value>, String> {
    if one == other {
        return Ok(one.cloned());
    }
    let (number, flag) = (|value: &Value| value.as_f64(), |value: &Value| value.as_bool());
    let by = |wanted: Ordering| match (one, other) {
        (Some(one), Some(other)) => match number(one).partial_cmp(&number(other)) {
            Some(order) if order == wanted => Some(one.clone()),
            _ => Some(other.clone()),
        },
        // A default is not known here: what is said stands.
        (one, other) => one.or(other).cloned(),
    };
    Ok(match (side, one, other) {
        (Some(Side::Own | Side::Before | Side::Kind), ..) => one.cloned(),
        (Some(Side::Least), ..) => by(Ordering::Less),
        (Some(Side::Most), ..) => by(Ordering::Greater),
        (Some(Side::Both), ..) => {
            Some(Value::Bool(one.and_then(flag) == Some(true) && other.and_then(flag) == Some(true)))
        }
        (Some(Side::Budget), ..) => None,
        (Some(Side::Object), Some(Value::Object(one)), Some(Value::Object(other))) => {
            Some(Value::Object(merge(path, one, other)?))
        }
        (Some(Side::Workloads), Some(Value::Array(one)), Some(Value::Array(other))) => {
            Some(by_name(path, one, other)?)
        }
        (Some(Side::Tenants), one, other) => {
            let list = |value: Option<&Value>| value.and_then(Value::as_array).cloned().unwrap_or_default();
            Some(tenants(&list(one), &list(other)))
        }
        (Some(Side::Same), ..) => {
            return Err(format!("{path}: can't be changed while instances agree on settings"))
        }
        (Some(_), ..) => return Err(format!("{path}: malformed")),
        (None, ..) => return Err(format!("{path}: changed, and nothing is known of its stricter side")),
    })
}

fn named<'a>(list: &'a [Value], name: &Value) -> Option<&'a Value> {
    list.iter().find(|entry| entry.get("name") == Some(name))
}

fn by_name(path: &str, before: &[Value], after: &[Value]) -> Result<Value, String> {
    let mut both = Vec::new();
    for one in before {
        let other = one.get("name").and_then(|name| named(after, name));
        if let (Some(one), Some(other)) = (one.as_object(), other.and_then(Value::as_object)) {
            both.push(Value::Object(merge(path, one, other)?));
        }
    }
    // Guards against settings under which nothing at all is offered, which none can be read as.
    if both.is_empty() {
        return Err(format!("{path}: none stands in both"));
    }
    Ok(Value::Array(both))
}

fn tenants(before: &[Value], after: &[Value]) -> Value {
    let new =
        after.iter().filter(|tenant| tenant.get("name").is_none_or(|name| named(before, name).is_none()));
    let share = |list: &[Value], name: &Value| {
        named(list, name).and_then(|tenant| tenant.get("quota_per_s")).and_then(Value::as_f64).unwrap_or(0.0)
    };
    let all = before.iter().chain(new).map(|tenant| {
        let name = tenant.get("name").cloned().unwrap_or_default();
        let least = share(before, &name).min(share(after, &name));
        serde_json::json!({"name": name, "quota_per_s": least})
    });
    Value::Array(all.collect())
}

/// What may be repeated by one and not by the other, or elsewhere, may not be repeated.
fn kind(merged: &mut Object, before: &Object, after: &Object) {
    let rank = |workload: &Object| match workload.get("semantics").and_then(Value::as_str) {
        Some("read_like") => 0,
        Some("idempotency_key") => 1,
        _ => 2,
    };
    let keys = ["semantics", "group", "memory_span_s"];
    let strict = if rank(after) > rank(before) { after } else { before };
    for key in keys {
        match strict.get(key) {
            Some(value) => merged.insert(key.into(), value.clone()),
            None => merged.remove(key),
        };
    }
    if rank(before) == 1 && rank(after) == 1 {
        let span = |workload: &Object| workload.get("memory_span_s").and_then(Value::as_f64).unwrap_or(0.0);
        if before.get("group") != after.get("group") {
            merged.insert("semantics".into(), "non_idempotent".into());
        } else if span(after) < span(before) {
            merged.insert("memory_span_s".into(), after["memory_span_s"].clone());
        }
    }
}

/// A budget that keeps within both: over windows of two lengths only the few that no call adds to are sure to.
fn budget(merged: &mut Object, before: &Object, after: &Object) {
    let keys = ["spare_attempts", "budget_share", "extra_window_s"];
    let read = |rules: &Object| {
        let figure = |key: &str| rules.get(key).and_then(Value::as_f64);
        Some((figure(keys[0])?, figure(keys[1])?, figure(keys[2])?))
    };
    let (one, other) = match (read(before), read(after)) {
        (Some(one), Some(other)) => (one, other),
        (one, _) => {
            let stated = if one.is_some() { before } else { after };
            return keys.iter().for_each(|key| {
                stated.get(*key).map(|value| merged.insert((*key).into(), value.clone()));
            });
        }
    };
    let side = |key: usize, first: bool| if first { &before[keys[key]] } else { &after[keys[key]] };
    merged.insert(keys[0].into(), side(0, one.0 <= other.0).clone());
    let share = if one.2 == other.2 { side(1, one.1 <= other.1).clone() } else { 0.0.into() };
    merged.insert(keys[1].into(), share);
    merged.insert(keys[2].into(), side(2, one.2 >= other.2).clone());
}
