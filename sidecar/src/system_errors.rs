//! What an error of the kernel says of whom: which are of one connection alone, and which are a shortage of our own.
use rustix::io::Errno;
use std::io::Error;

/// Why a connection could not be accepted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AcceptFailure {
    /// That connection was broken before it was taken, or an error of the network is told in its place: the next may be taken.
    Connection,
    /// The host is short of something, which may pass in a moment.
    Host,
    /// The process has no descriptor left: one of its own has to go.
    Descriptors,
}

/// As accept(2) tells them apart.
pub fn accept_failure(error: &Error) -> AcceptFailure {
    match errno(error) {
        Some(Errno::MFILE) => AcceptFailure::Descriptors,
        Some(Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => AcceptFailure::Host,
        _ => AcceptFailure::Connection,
    }
}

/// Whether a connection could not be made for a lack of something here, which says nothing of the other side.
pub fn is_our_shortage(error: &Error) -> bool {
    let shortages = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        // No port of our own is free.
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
    ];
    errno(error).is_some_and(|errno| shortages.contains(&errno))
}

fn errno(error: &Error) -> Option<Errno> {
    error.raw_os_error().map(Errno::from_raw_os_error)
}
