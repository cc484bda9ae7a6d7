//! The set of keys in a file, by which a truncated file can be told from a complete one.
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of all keys in a file. For a list, it contains only the keys that all entries have.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct KeySet(BTreeSet<String>);

/// Keys that may be absent: the last known endpoint list, and those that only requests with an idempotency
/// key need.
const OPTIONAL_KEYS: [&str; 3] = ["known", "group", "memory_span_s"];

impl KeySet {
    /// Empty if the file can't be parsed; the reader of the file reports the error.
    pub fn from_json(json: &[u8]) -> KeySet {
        serde_json::from_slice(json).map(|value| KeySet(key_paths(&value, ""))).unwrap_or_default()
    }

    /// A key of `other` that this set lacks.
    ///
    /// ```
    /// use oakhollow_config::KeySet;
    /// let keys = |json: &str| KeySet::from_json(json.as_bytes());
    /// let complete = keys(r#"{"a":{"b":1,"c":2},"known":{"x":1},"w":[{"n":1,"p":2},{"n":3,"p":4,"group":"all"}]}"#);
    /// let missing = |json: &str| keys(json).missing_key(&complete).map(str::to_string);
    /// assert_eq!(missing(r#"{"a":{"b":1,"c":2},"w":[{"n":1,"p":2}]}"#), None);
    /// assert_eq!(missing(r#"{"a":{"b":1},"w":[{"n":1,"p":2}]}"#).unwrap(), "a.c");
    /// assert_eq!(missing(r#"{"a":{"b":1,"c":2},"w":[{"n":1,"p":2},{"n":1}]}"#).unwrap(), "w[].p");
    /// ```
    pub fn missing_key<'a>(&self, other: &'a KeySet) -> Option<&'a str> {
        other.0.iter().find(|key| !self.0.contains(*key)).map(String::as_str)
    }
}

fn key_paths(value: &Value, parent: &str) -> BTreeSet<String> {
    match value {
        Value::Object(object) => {
            let required = object.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str()));
            required
                .flat_map(|(key, inner)| {
                    let path = if parent.is_empty() { key.clone() } else { format!("{parent}.{key}") };
                    let mut all = key_paths(inner, &path);
                    all.insert(path);
                    all
                })
                .collect()
        }
        Value::Array(entries) => {
            let mut each = entries.iter().map(|entry| key_paths(entry, &format!("{parent}[]")));
            let first = each.next().unwrap_or_default();
            each.fold(first, |common, one| common.intersection(&one).cloned().collect())
        }
        _ => BTreeSet::new(),
    }
}
