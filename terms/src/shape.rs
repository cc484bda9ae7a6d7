//! Which keys a file has, so that one that is short of some is told from one that is whole.
use serde_json::Value;
use std::collections::BTreeSet;

/// The keys of a file by their paths; of a list's entries, those that all of them have.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct KeySet(BTreeSet<String>);

/// Keys that come and go: the list as last known, and what only tagged workloads need.
const LOOSE: [&str; 3] = ["known", "group", "memory_span_s"];

impl KeySet {
    /// Nothing for what can't be read; whoever reads it says why.
    pub fn of(json: &[u8]) -> KeySet {
        serde_json::from_slice(json).map(|value| KeySet(paths(&value, ""))).unwrap_or_default()
    }

    /// A key of `other` that this one is short of.
    ///
    /// ```
    /// use oakhollow_terms::KeySet;
    /// let of = |json: &str| KeySet::of(json.as_bytes());
    /// let whole = of(r#"{"a":{"b":1,"c":2},"known":{"x":1},"w":[{"n":1,"p":2},{"n":3,"p":4,"group":"all"}]}"#);
    /// let lacks = |json: &str| of(json).missing_key(&whole).map(str::to_string);
    /// assert_eq!(lacks(r#"{"a":{"b":1,"c":2},"w":[{"n":1,"p":2}]}"#), None);
    /// assert_eq!(lacks(r#"{"a":{"b":1},"w":[{"n":1,"p":2}]}"#).unwrap(), "a.c");
    /// assert_eq!(lacks(r#"{"a":{"b":1,"c":2},"w":[{"n":1,"p":2},{"n":1}]}"#).unwrap(), "w[].p");
    /// ```
    pub fn missing_key<'a>(&self, other: &'a KeySet) -> Option<&'a str> {
        other.0.iter().find(|key| !self.0.contains(*key)).map(String::as_str)
    }
}

fn paths(value: &Value, at: &str) -> BTreeSet<String> {
    match value {
        Value::Object(object) => {
            let kept = object.iter().filter(|(key, _)| !LOOSE.contains(&key.as_str()));
            kept.flat_map(|(key, inner)| {
                let at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                let mut all = paths(inner, &at);
                all.insert(at);
                all
            })
            .collect()
        }
        Value::Array(entries) => {
            let mut each = entries.iter().map(|entry| paths(entry, &format!("{at}[]")));
            let first = each.next().unwrap_or_default();
            each.fold(first, |all, one| all.intersection(&one).cloned().collect())
        }
        _ => BTreeSet::new(),
    }
}
