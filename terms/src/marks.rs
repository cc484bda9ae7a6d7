//! Which servers are out by hand, and what of a sidecar outlives its process: a file, or a line to its successor.
use crate::{read, List};
use oakhollow::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// By name, whatever the list says.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Marks {
    pub out: BTreeSet<String>,
    /// Put back in use, and when.
    pub back: BTreeMap<String, Micros>,
}

/// As written. One of another form, or of another sidecar, is not read.
#[derive(Serialize, Deserialize)]
struct Written {
    version: u32,
    listen: SocketAddr,
    out: BTreeSet<String>,
    back: BTreeMap<String, u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    list: Option<List>,
}

/// A mark as one process tells another.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Told {
    pub name: String,
    pub out: bool,
    pub at_us: u64,
}

impl Told {
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

const VERSION: u32 = 1;

impl Marks {
    /// Marks that may stand at a time, and returns that are remembered: guards against a file and a memory without end.
    pub const MOST: usize = 4_096;
    /// How long a return is remembered: longer than any server takes to warm up.
    const MEMORY: Micros = Micros::millis(600_000);

    pub fn set(&mut self, name: &str, out: bool, at: Micros) {
        if out {
            self.out.insert(name.into());
            self.back.remove(name);
            return;
        }
        self.out.remove(name);
        self.back.retain(|_, back| *back + Self::MEMORY > at);
        if self.back.len() < Self::MOST {
            self.back.insert(name.into(), at);
        }
    }

    /// `list` goes to a successor only.
    pub fn to_json(&self, listen: SocketAddr, list: Option<List>) -> String {
        let back = self.back.iter().map(|(name, at)| (name.clone(), at.0)).collect();
        let written = Written { version: VERSION, listen, out: self.out.clone(), back, list };
        serde_json::to_string(&written).unwrap_or_default()
    }

    /// ```
    /// use oakhollow_terms::Marks;
    /// let (here, there) = ("127.0.0.1:70".parse().unwrap(), "127.0.0.1:71".parse().unwrap());
    /// let mut marks = Marks::default();
    /// marks.out.insert("s-1".into());
    /// assert_eq!(Marks::from_json(marks.to_json(here, None).as_bytes(), here).unwrap().0, marks);
    /// assert!(Marks::from_json(marks.to_json(here, None).as_bytes(), there).unwrap_err().starts_with("listen: "));
    /// ```
    pub fn from_json(json: &[u8], listen: SocketAddr) -> Result<(Marks, Option<List>), String> {
        let written: Written = read(json)?;
        if written.version != VERSION {
            return Err(format!("version: {} is not read", written.version));
        }
        if written.listen != listen {
            return Err(format!("listen: {} is another sidecar's", written.listen));
        }
        let back = written.back.into_iter().map(|(name, at)| (name, Micros(at))).collect();
        Ok((Marks { out: written.out, back }, written.list))
    }

    /// None where there is no file.
    pub fn from_file(path: &Path, listen: SocketAddr) -> Option<Result<Marks, String>> {
        let json = std::fs::read(path).ok()?;
        let read = Marks::from_json(&json, listen).map(|(marks, _)| marks);
        Some(read.map_err(|fault| format!("{}: {fault}", path.display())))
    }

    /// Written whole or not at all.
    pub fn to_file(&self, path: &Path, listen: SocketAddr) -> std::io::Result<()> {
        let fresh = path.with_extension(format!("new-{}", std::process::id()));
        let written =
            std::fs::write(&fresh, self.to_json(listen, None)).and_then(|()| std::fs::rename(&fresh, path));
        if written.is_err() {
            let _ = std::fs::remove_file(&fresh);
        }
        written
    }
}
