//! The set of keys in a file, by which a truncated file can be told from a complete one.
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of all keys in a file; for the entries of a list, the keys that all of them have.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct KeySet(BTreeSet<String>);

/// Keys that may be absent: the last known endpoint list, and those that only requests with an idempotency
/// key need.
const OPTIONAL_KEYS: [&str; 3] = ["known", "group", "memory_span_s"];

impl KeySet {
    /// Empty if the file can't be parsed; the reader of the file reports the error.
    pub fn of(json: &[u8]) -> KeySet {
        serde_json::from_slice(json).map(|value| KeySet(key_paths(&value, ""))).unwrap_or_default()
    }

    /// A key of `other` that this set lacks.
    ///
    /// ```
    /// use oakhollow_terms::KeySet;
    /// let of = |json: &str| KeySet::of(json.as_bytes());
    /// let complete = of(r#"{"a":{"b":1,"c":2},"known":{"x":1},"w":[{"n":1,"p":2},{"n":3,"p":4,"group":"all"}]}"#);
    /// let missing = |json: &str| of(json).missing_key(&complete).map(str::to_string);
    /// assert_eq!(missing(r#"{"a":{"b":1,"c":2},"w":[{"n":1,"p":2}]}"#), None);
    /// assert_eq!(missing(r#"{"a":{"b":1},"w":[{"n":1,"p":2}]}"#).unwrap(), "a.c");
    /// assert_eq!(missing(r#"{"a":{"b":1,"c":2},"w":[{"n":1,"p":2},{"n":1}]}"#).unwrap(), "w[].p");
    /// ```
    pub fn missing_key<'a>(&self, other: &'a KeySet) -> Option<&'a str> {
        other.0.iter().find(|key| !self.0.contains(*key)).map(String::as_str)
    }
}

fn key_paths(value: &Value, at: &str) -> BTreeSet<String> {
    match value {
        Value::Object(object) => {
            let required = object.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str()));
            required
                .flat_map(|(key, inner)| {
                    let at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                    let mut all = key_paths(inner, &at);
                    all.insert(at);
                    all
                })
                .collect()
        }
        Value::Array(entries) => {
            let mut each = entries.iter().map(|entry| key_paths(entry, &format!("{at}[]")));
            let first = each.next().unwrap_or_default();
            each.fold(first, |all, one| all.intersection(&one).cloned().collect())
        }
        _ => BTreeSet::new(),
    }
}
