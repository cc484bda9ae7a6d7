//! The control block that the rig shares with a process under test: a file of 64-bit words, mapped by the preloaded library
//! and written through the file by the rig.

/// Names the control file in the environment of the process under test.
pub const CONTROL_VARIABLE: &str = "OAKHOLLOW_FAULTS";

/// What can be made to fail, by its place in the control block.
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
    /// `write` to a regular file writes half, and the process is killed by `SIGKILL`.
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

    /// The word that holds how often it strikes, in millionths of the calls concerned.
    pub const fn rate_word(self) -> usize {
        self as usize * 2
    }

    /// The word that counts how often it has struck.
    pub const fn count_word(self) -> usize {
        self as usize * 2 + 1
    }
}

/// A rate at which every call is concerned.
pub const ALWAYS: u64 = 1_000_000;

/// The word that holds what the wall clock is ahead by, in nanoseconds, as a signed number.
pub const CLOCK_WORD: usize = FaultKind::ALL.len() * 2;

/// The word that counts how often a bent wall clock was read.
pub const CLOCK_COUNT_WORD: usize = CLOCK_WORD + 1;

/// Words in the control block.
pub const WORDS: usize = CLOCK_COUNT_WORD + 1;
