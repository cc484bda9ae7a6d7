//! The harness's side of the control block: sets which system calls fail, and reads how often they did.
use crate::layout::{FaultKind, CLOCK_OFFSET_WORD, CLOCK_READ_COUNT_WORD, WORD_COUNT};
use std::fs::{self, File};
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// File name of the preloaded library, among the examples that were built with the program.
const LIBRARY_FILE: &str = "libfaulty_calls.so";

/// The path of the library that was built with this program. None if it was not built.
pub fn library_path(program: &Path) -> Option<PathBuf> {
    let path = program.parent()?.join("examples").join(LIBRARY_FILE);
    path.exists().then_some(path)
}

/// The faults of one process under test.
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// Creates a control block in this folder, with all faults off.
    pub fn new(folder: &Path) -> Result<Faults> {
        let path = folder.join("faults");
        fs::write(&path, vec![0; WORD_COUNT * 8])?;
        let file = File::options().read(true).write(true).open(&path)?;
        Ok(Faults { path, file })
    }

    /// The path of the control block, for the environment of the process under test.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Sets how many of a million calls of a kind fail from now on.
    pub fn set_rate(&self, kind: FaultKind, rate: u64) -> Result<()> {
        self.write(kind.rate_word(), rate)
    }

    /// How often a fault of this kind was injected.
    pub fn injected_count(&self, kind: FaultKind) -> u64 {
        self.read(kind.count_word())
    }

    /// Sets the offset of the process's wall clock from the machine's, in seconds.
    pub fn step_clock(&self, seconds: i64) -> Result<()> {
        self.write(CLOCK_OFFSET_WORD, (seconds * 1_000_000_000) as u64)
    }

    /// How often the wall clock was read while it had an offset.
    pub fn clock_readings(&self) -> u64 {
        self.read(CLOCK_READ_COUNT_WORD)
    }

    fn write(&self, word: usize, value: u64) -> Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), word as u64 * 8)
    }

    fn read(&self, word: usize) -> u64 {
        let mut value = [0; 8];
        self.file.read_exact_at(&mut value, word as u64 * 8).map_or(0, |()| u64::from_ne_bytes(value))
    }
}
