//! Whether a system call's error concerns one connection alone, or a shortage of resources at this process or host.
use rustix::io::Errno;
use std::io::Error;

/// Why a connection could not be accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AcceptFailure {
    /// The connection was broken before it was accepted, or a network error is reported in its place; the next
    /// accept may succeed.
    Connection,
    /// The host is short of a resource. This may be over in a moment.
    Host,
    /// The process has no descriptor left and has to close one.
    Descriptors,
}

/// Classifies an error of accept(2).
pub fn accept_failure(error: &Error) -> AcceptFailure {
    match errno(error) {
        Some(Errno::MFILE) => AcceptFailure::Descriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Host,
        _ => AcceptFailure::Connection,
    }
}

/// Whether a connection failed for a local shortage, which says nothing about the other side.
pub fn is_our_shortage(error: &Error) -> bool {
    let shortages = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        // No local port is free.
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
    ];
    errno(error).is_some_and(|errno| shortages.contains(&errno))
}

fn errno(error: &Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw_os_error)
}
