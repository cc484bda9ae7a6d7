//! Files that outlive a kill of the process and a loss of power.
use std::fs::{self, File};
use std::io::{ErrorKind, Result, Write};
use std::path::Path;

/// Replaces a file, whole or not at all. Once this is done it is on the disk, and so is its name.
pub fn replace(path: &Path, bytes: &[u8]) -> Result<()> {
    let fresh = path.with_extension(format!("new-{}", std::process::id()));
    let written = write_synced(&fresh, bytes).and_then(|()| fs::rename(&fresh, path));
    if written.is_err() {
        let _ = fs::remove_file(&fresh);
    }
    written?;
    sync_folder_of(path)
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// A name is on the disk once its folder is.
fn sync_folder_of(path: &Path) -> Result<()> {
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// What a file holds; none if there is none. Any other error says nothing of what it holds.
pub fn read(path: &Path) -> Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(fault) if fault.kind() == ErrorKind::NotFound => Ok(None),
        Err(fault) => Err(fault),
    }
}
