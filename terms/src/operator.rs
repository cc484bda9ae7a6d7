//! The operator's own file: what is turned on beyond what the platform lays down. All of it may be left out.
use serde::Deserialize;
use std::path::Path;

/// What the operator has set.
///
/// ```
/// use oakhollow_terms::Operator;
/// assert_eq!(Operator::from_toml("", 8).unwrap().workers, 1);
/// let fault = |text: &str| Operator::from_toml(text, 8).unwrap_err();
/// assert_eq!(fault("workers = 0"), "line 1: workers: must be a whole number from 1 to 32 (four for each of 8 cores), not 0");
/// assert_eq!(fault("\nworker = 2"), "line 2: unknown field `worker`, expected `workers`");
/// assert!(fault("workers = \"many\"").starts_with("line 1: workers: invalid type: string \"many\""));
/// ```
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Threads that carry calls, each with a listener and an instance of the decisions of its own.
    pub workers: usize,
}

impl Default for Operator {
    fn default() -> Operator {
        Operator { workers: 1 }
    }
}

impl Operator {
    /// More workers than this for each core only take turns.
    const MOST_A_CORE: usize = 4;

    /// Reads the file; the message of a fault is one line that names the file, the line and the key.
    pub fn from_file(path: &Path, cores: usize) -> Result<Operator, String> {
        let named = |fault: String| format!("{}: {fault}", path.display());
        let text = std::fs::read_to_string(path).map_err(|fault| named(fault.to_string()))?;
        Operator::from_toml(&text, cores).map_err(named)
    }

    /// `cores` is what the machine has.
    pub fn from_toml(text: &str, cores: usize) -> Result<Operator, String> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let tell = |at: Option<usize>, key: &str, why: &str| {
            let why = why.trim().replace('\n', " ");
            let place = at.map(|at| format!("line {}: ", line(at))).unwrap_or_default();
            let key = if key.is_empty() || key == "." { String::new() } else { format!("{key}: ") };
            format!("{place}{key}{why}")
        };
        let source = toml::Deserializer::parse(text);
        let source =
            source.map_err(|fault| tell(fault.span().map(|span| span.start), "", fault.message()))?;
        let read: Operator = serde_path_to_error::deserialize(source).map_err(|fault| {
            let (key, inner) = (fault.path().to_string(), fault.inner());
            let key = if inner.message().starts_with("unknown field") { String::new() } else { key };
            tell(inner.span().map(|span| span.start), &key, inner.message())
        })?;
        let most = Self::MOST_A_CORE * cores.max(1);
        if !(1..=most).contains(&read.workers) {
            let at = text.lines().position(|line| line.trim_start().starts_with("workers"));
            let at = at.map(|at| text.lines().take(at).map(|line| line.len() + 1).sum());
            let why = format!(
                "must be a whole number from 1 to {most} (four for each of {cores} cores), not {}",
                read.workers
            );
            return Err(tell(at, "workers", &why));
        }
        Ok(read)
    }
}
