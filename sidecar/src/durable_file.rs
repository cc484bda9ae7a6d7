//! Files that survive a kill of the process and a loss of power.
use std::fs::{self, File};
use std::io::{ErrorKind, Result, Write};
use std::path::Path;

/// Replaces a file atomically. When this returns without an error, the contents and the name are on the disk.
pub fn replace(path: &Path, bytes: &[u8]) -> Result<()> {
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    let written = write_synced(&temporary, bytes).and_then(|()| fs::rename(&temporary, path));
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written?;
    sync_parent(path)
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// A file's name is on the disk once its folder is synced.
fn sync_parent(path: &Path) -> Result<()> {
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// Reads a file; none if it does not exist. After any other error the contents are unknown.
pub fn read(path: &Path) -> Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
