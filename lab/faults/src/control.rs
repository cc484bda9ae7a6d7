//! The rig's side of the control block: what is to fail, and how often it has.
use crate::layout::{FaultKind, CLOCK_COUNT_WORD, CLOCK_WORD, WORDS};
use std::fs::{self, File};
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// The preloaded library's file, among the examples that were built with the program.
const LIBRARY: &str = "libfaulty_calls.so";

/// Where the library stands that was built with that program. None if it was not built.
pub fn library(program: &Path) -> Option<PathBuf> {
    let path = program.parent()?.join("examples").join(LIBRARY);
    path.exists().then_some(path)
}

/// What fails in one process, and how often it has.
pub struct Faults {
    path: PathBuf,
    file: File,
}

impl Faults {
    /// A control block in that folder, by which nothing fails yet.
    pub fn new(folder: &Path) -> Result<Faults> {
        let path = folder.join("faults");
        fs::write(&path, vec![0; WORDS * 8])?;
        let file = File::options().read(true).write(true).open(&path)?;
        Ok(Faults { path, file })
    }

    /// Where the control block stands, for the process under test.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// From now on so many of a million calls of that kind fail.
    pub fn set(&self, kind: FaultKind, rate: u64) -> Result<()> {
        self.write(kind.rate_word(), rate)
    }

    /// How often that has happened.
    pub fn arrived(&self, kind: FaultKind) -> u64 {
        self.read(kind.count_word())
    }

    /// Steps the wall clock, by so many seconds from the machine's.
    pub fn step_clock(&self, seconds: i64) -> Result<()> {
        self.write(CLOCK_WORD, (seconds * 1_000_000_000) as u64)
    }

    /// How often a stepped clock was read.
    pub fn clock_readings(&self) -> u64 {
        self.read(CLOCK_COUNT_WORD)
    }

    fn write(&self, word: usize, value: u64) -> Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), word as u64 * 8)
    }

    fn read(&self, word: usize) -> u64 {
        let mut value = [0; 8];
        self.file.read_exact_at(&mut value, word as u64 * 8).map_or(0, |()| u64::from_ne_bytes(value))
    }
}
