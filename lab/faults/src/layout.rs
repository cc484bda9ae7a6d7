//! The control block that the harness shares with a process under test: a file of 64-bit words. The preloaded
//! library maps the file, and the harness reads and writes it.

/// The environment variable that names the control file to the process under test.
pub const CONTROL_VARIABLE: &str = "OAKHOLLOW_FAULTS";

/// The kinds of faults, in the order of the control block.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[repr(usize)]
pub enum FaultKind {
    /// `recv` on a socket returns 1 to 7 bytes.
    ShortReceive,
    /// `send` on a socket takes 1 to 7 bytes.
    ShortSend,
    /// `recv` and `send` return `EINTR`.
    Interrupted,
    /// `recv` and `send` return `ETIMEDOUT` or `EHOSTUNREACH`, and the connection is shut down.
    BrokenConnection,
    /// `accept4` returns `ECONNABORTED`, `ENFILE`, `ENOBUFS`, `EPROTO` or `ENETUNREACH`, in turn.
    FailedAccept,
    /// `write` to a regular file returns `ENOSPC`.
    FullDisk,
    /// `fsync` and `fdatasync` return `EIO`.
    FailedSync,
    /// `rename` returns `EIO`.
    FailedRename,
    /// `read` of a regular file returns `EIO`.
    FailedRead,
    /// `write` to a regular file writes half of the bytes, and the process is killed by `SIGKILL`.
    KilledWrite,
}

impl FaultKind {
    /// All kinds, in the order of the control block.
    pub const ALL: [FaultKind; 10] = [
        FaultKind::ShortReceive,
        FaultKind::ShortSend,
        FaultKind::Interrupted,
        FaultKind::BrokenConnection,
        FaultKind::FailedAccept,
        FaultKind::FullDisk,
        FaultKind::FailedSync,
        FaultKind::FailedRename,
        FaultKind::FailedRead,
        FaultKind::KilledWrite,
    ];

    /// Index of the word with the rate of the fault, in millionths of the calls that it applies to.
    pub const fn rate_word(self) -> usize {
        self as usize * 2
    }

    /// Index of the word that counts how often the fault was injected.
    pub const fn count_word(self) -> usize {
        self as usize * 2 + 1
    }
}

/// The rate at which every call fails.
pub const ALWAYS: u64 = 1_000_000;

/// Index of the word with the offset of the wall clock, in nanoseconds, as a signed number.
pub const CLOCK_OFFSET_WORD: usize = FaultKind::ALL.len() * 2;

/// Index of the word that counts how often the wall clock was read while it had an offset.
pub const CLOCK_READ_COUNT_WORD: usize = CLOCK_OFFSET_WORD + 1;

/// Number of words in the control block.
pub const WORD_COUNT: usize = CLOCK_READ_COUNT_WORD + 1;
