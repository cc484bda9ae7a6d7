//! The sidecar's folder, `$TMPDIR`: the file of marks, and where the socket to the process that comes next stands.
use oakhollow_terms::Marks;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Keeps the marks in the sidecar's folder.
pub struct Keeper {
    path: PathBuf,
    pub listen: SocketAddr,
}

impl Keeper {
    /// None where the machine names no folder.
    pub fn new(listen: SocketAddr) -> Option<Keeper> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        Some(Keeper::at(Path::new(&folder), listen))
    }

    pub fn at(folder: &Path, listen: SocketAddr) -> Keeper {
        let name = format!("oakhollow-{}.marks", listen.to_string().replace([':', '[', ']'], "_"));
        Keeper { path: folder.join(name), listen }
    }

    /// Where the process that comes next finds this one.
    pub fn socket(&self) -> PathBuf {
        self.path.with_extension("sock")
    }

    /// What was kept; nothing where the file can't be read.
    pub fn marks(&self, log: &Logger) -> Marks {
        match Marks::from_file(&self.path, self.listen) {
            Some(Ok(marks)) => {
                info!(log, "marks taken from the folder, {} out by hand", marks.out.len());
                marks
            }
            Some(Err(fault)) => {
                warn!(log, "marks not taken: {}", fault);
                Marks::default()
            }
            None => Marks::default(),
        }
    }

    pub fn keep(&self, marks: &Marks, log: &Logger) {
        if let Err(fault) = marks.to_file(&self.path, self.listen) {
            warn!(log, "marks not kept: {}: {}", self.path.display(), fault);
        }
    }
}
