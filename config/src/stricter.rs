//! The stricter combination of two versions of the settings: it allows only what both of them allow. A table
//! gives the rule for each key.
use serde_json::{Map, Value};
use std::cmp::Ordering;

/// How the stricter of two values of a key is found.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Rule {
    Smaller,
    Larger,
    /// A permission that both must give.
    BothAllow,
    /// A preference, not a restriction: keeps the earlier value.
    KeepEarlier,
    /// Neither value is stricter: a change needs a restart.
    Unchangeable,
    /// Belongs to a single instance and is not part of the shared settings.
    Local,
    Object,
    /// The workloads that both versions have.
    Workloads,
    /// By name; a tenant that one version does not name has no quota in it.
    Tenants,
    Semantics,
    /// Compared together, by [`merge_retry_budget`].
    RetryBudget,
}

/// All keys of the settings. If a key that is not listed here differs, the change is rejected.
const RULES: &[(&str, Rule)] = &[
    ("me", Rule::Local),
    ("zone", Rule::Local),
    ("tier", Rule::Local),
    ("balancers", Rule::Larger),
    ("zones", Rule::Unchangeable),
    ("stages", Rule::Unchangeable),
    ("discovery", Rule::Unchangeable),
    ("report", Rule::Unchangeable),
    ("overage_payoff", Rule::KeepEarlier),
    ("goal", Rule::KeepEarlier),
    ("prices", Rule::KeepEarlier),
    ("family_info", Rule::KeepEarlier),
    ("bounds", Rule::Object),
    ("bounds.cancel", Rule::BothAllow),
    ("bounds.parallel_tries", Rule::BothAllow),
    ("bounds.peer_messages", Rule::BothAllow),
    ("bounds.retry_after", Rule::BothAllow),
    ("bounds.max_retry_after_s", Rule::Smaller),
    ("bounds.connect_timeout_s", Rule::Smaller),
    ("bounds.idle_close_s", Rule::Smaller),
    ("bounds.most_hops", Rule::Smaller),
    ("rules", Rule::Object),
    ("rules.ask_within_s", Rule::Smaller),
    ("rules.cold_from", Rule::Smaller),
    ("rules.warm_within_s", Rule::Larger),
    ("rules.fall_s", Rule::Larger),
    ("rules.spare_attempts", Rule::RetryBudget),
    ("rules.budget_share", Rule::RetryBudget),
    ("rules.extra_window_s", Rule::RetryBudget),
    ("tenants", Rule::Tenants),
    ("tenants.quota_per_s", Rule::Smaller),
    ("workloads", Rule::Workloads),
    ("workloads.name", Rule::Unchangeable),
    ("workloads.semantics", Rule::Semantics),
    ("workloads.group", Rule::Semantics),
    ("workloads.memory_span_s", Rule::Semantics),
    ("workloads.quoted_time_s", Rule::Smaller),
    ("workloads.abandon_time_s", Rule::Smaller),
    ("workloads.payoff", Rule::KeepEarlier),
    ("workloads.overdue_payoff", Rule::KeepEarlier),
];

type Object = Map<String, Value>;

/// The stricter combination of two settings objects, `before` the earlier. An error message names the key.
///
/// ```
/// use oakhollow_config::stricter;
/// use serde_json::json;
/// let merge = |before: serde_json::Value, after: serde_json::Value| stricter(&before, &after);
/// let bounds = |hops: u32, cancel: bool| json!({"bounds": {"most_hops": hops, "cancel": cancel}});
/// assert_eq!(merge(bounds(3, true), bounds(4, false)), Ok(bounds(3, false)));
/// let workload = |name: &str, semantics: &str, payoff: u32| {
///     json!({"name": name, "semantics": semantics, "payoff": payoff})
/// };
/// let settings = |all: &[serde_json::Value]| json!({ "workloads": all });
/// let (view, pay) = (workload("view", "read_like", 1), workload("pay", "non_idempotent", 2));
/// let changed = settings(&[workload("view", "non_idempotent", 9), workload("new", "read_like", 1)]);
/// let merged = settings(&[workload("view", "non_idempotent", 1)]);
/// assert_eq!(merge(settings(&[view, pay.clone()]), changed), Ok(merged));
/// let error = merge(settings(&[pay]), settings(&[workload("new", "read_like", 1)])).unwrap_err();
/// assert_eq!(error, "workloads: no workload is in both versions");
/// let error = merge(json!({"odd": 1}), json!({"odd": 2})).unwrap_err();
/// assert_eq!(error, "odd: changed, but there is no rule for which value is stricter");
/// let budget = |spare, share, window| {
///     json!({"rules": {"spare_attempts": spare, "budget_share": share, "extra_window_s": window}})
/// };
/// assert_eq!(merge(budget(9, 0.1, 5), budget(5, 0.2, 5)), Ok(budget(5, 0.1, 5)));
/// assert_eq!(merge(json!({"rules": {}}), budget(5, 0.2, 5)), Ok(budget(5, 0.2, 5)));
/// assert_eq!(merge(budget(9, 0.1, 5), budget(5, 0.2, 9)), Ok(budget(5, json!(0.0).as_f64().unwrap(), 9)));
/// ```
pub fn stricter(before: &Value, after: &Value) -> Result<Value, String> {
    let object = |value: &Value| value.as_object().cloned().ok_or_else(|| "must be an object".to_string());
    merge("", &object(before)?, &object(after)?).map(Value::Object)
}

fn merge(parent: &str, before: &Object, after: &Object) -> Result<Object, String> {
    let mut merged = Object::new();
    let new = after.keys().filter(|key| !before.contains_key(*key));
    for key in before.keys().chain(new) {
        let path = if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") };
        let rule = RULES.iter().find(|(known, _)| *known == path).map(|(_, rule)| *rule);
        let (earlier, later) = (before.get(key), after.get(key));
        if let Some(value) = merge_value(&path, rule, earlier, later)? {
            merged.insert(key.clone(), value);
        }
    }
    match parent {
        "workloads" => merge_semantics(&mut merged, before, after),
        "rules" => merge_retry_budget(&mut merged, before, after),
        _ => {}
    }
    Ok(merged)
}

fn merge_value(
    path: &str, rule: Option<Rule>, earlier: Option<&Value>, later: Option<&Value>,
) -> Result<Option<Value>, String> {
    if earlier == later {
        return Ok(earlier.cloned());
    }
    let (number, flag) = (|value: &Value| value.as_f64(), |value: &Value| value.as_bool());
    let select = |wanted: Ordering| match (earlier, later) {
        (Some(earlier), Some(later)) => match number(earlier).partial_cmp(&number(later)) {
            Some(order) if order == wanted => Some(earlier.clone()),
            _ => Some(later.clone()),
        },
        // Defaults are not known here, so the value that is set counts.
        (earlier, later) => earlier.or(later).cloned(),
    };
    Ok(match (rule, earlier, later) {
        (Some(Rule::Local | Rule::KeepEarlier | Rule::Semantics), ..) => earlier.cloned(),
        (Some(Rule::Smaller), ..) => select(Ordering::Less),
        (Some(Rule::Larger), ..) => select(Ordering::Greater),
        (Some(Rule::BothAllow), ..) => {
            Some(Value::Bool(earlier.and_then(flag) == Some(true) && later.and_then(flag) == Some(true)))
        }
        (Some(Rule::RetryBudget), ..) => None,
        (Some(Rule::Object), Some(Value::Object(earlier)), Some(Value::Object(later))) => {
            Some(Value::Object(merge(path, earlier, later)?))
        }
        (Some(Rule::Workloads), Some(Value::Array(earlier)), Some(Value::Array(later))) => {
            Some(merge_workloads(path, earlier, later)?)
        }
        (Some(Rule::Tenants), earlier, later) => {
            let list = |value: Option<&Value>| value.and_then(Value::as_array).cloned().unwrap_or_default();
            Some(merge_tenants(&list(earlier), &list(later)))
        }
        (Some(Rule::Unchangeable), ..) => {
            return Err(format!("{path}: can't be changed while instances agree on settings"))
        }
        (Some(_), ..) => return Err(format!("{path}: malformed")),
        (None, ..) => {
            return Err(format!("{path}: changed, but there is no rule for which value is stricter"))
        }
    })
}

fn find_by_name<'a>(list: &'a [Value], name: &Value) -> Option<&'a Value> {
    list.iter().find(|entry| entry.get("name") == Some(name))
}

fn merge_workloads(path: &str, before: &[Value], after: &[Value]) -> Result<Value, String> {
    let mut merged = Vec::new();
    for earlier in before {
        let later = earlier.get("name").and_then(|name| find_by_name(after, name));
        if let (Some(earlier), Some(later)) = (earlier.as_object(), later.and_then(Value::as_object)) {
            merged.push(Value::Object(merge(path, earlier, later)?));
        }
    }
    // Settings without any workload would be invalid.
    if merged.is_empty() {
        return Err(format!("{path}: no workload is in both versions"));
    }
    Ok(Value::Array(merged))
}

fn merge_tenants(before: &[Value], after: &[Value]) -> Value {
    let new = after
        .iter()
        .filter(|tenant| tenant.get("name").is_none_or(|name| find_by_name(before, name).is_none()));
    let quota = |list: &[Value], name: &Value| {
        find_by_name(list, name)
            .and_then(|tenant| tenant.get("quota_per_s"))
            .and_then(Value::as_f64)
            .unwrap_or(0.0)
    };
    let all = before.iter().chain(new).map(|tenant| {
        let name = tenant.get("name").cloned().unwrap_or_default();
        let smaller_quota = quota(before, &name).min(quota(after, &name));
        serde_json::json!({"name": name, "quota_per_s": smaller_quota})
    });
    Value::Array(all.collect())
}

/// Whether a request may be repeated: takes the stricter semantics, and forbids repeats if the scopes of the
/// idempotency keys differ.
fn merge_semantics(merged: &mut Object, before: &Object, after: &Object) {
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

/// A retry budget that never allows more than either of the two. If the windows differ, that is certain only
/// of the fixed number of retries, and the share becomes 0.
fn merge_retry_budget(merged: &mut Object, before: &Object, after: &Object) {
    let keys = ["spare_attempts", "budget_share", "extra_window_s"];
    let read = |rules: &Object| {
        let value = |key: &str| rules.get(key).and_then(Value::as_f64);
        Some((value(keys[0])?, value(keys[1])?, value(keys[2])?))
    };
    let (earlier, later) = match (read(before), read(after)) {
        (Some(earlier), Some(later)) => (earlier, later),
        (earlier, _) => {
            let stated = if earlier.is_some() { before } else { after };
            return keys.iter().for_each(|key| {
                stated.get(*key).map(|value| merged.insert((*key).into(), value.clone()));
            });
        }
    };
    let pick =
        |key: usize, from_before: bool| if from_before { &before[keys[key]] } else { &after[keys[key]] };
    merged.insert(keys[0].into(), pick(0, earlier.0 <= later.0).clone());
    let share = if earlier.2 == later.2 { pick(1, earlier.1 <= later.1).clone() } else { 0.0.into() };
    merged.insert(keys[1].into(), share);
    merged.insert(keys[2].into(), pick(2, earlier.2 >= later.2).clone());
}
