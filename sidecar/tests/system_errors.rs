//! Which errors of system calls concern a single connection or server, and which show that this process or host lacks
//! resources.
use oakhollow_sidecar::system_errors::{accept_failure, is_our_shortage, AcceptFailure};
use rustix::io::Errno;
use std::io::Error;

fn error(errno: Errno) -> Error {
    Error::from_raw_os_error(errno.raw_os_error())
}

#[test]
fn a_failed_accept_is_classified_by_its_cause() {
    let kinds = [
        (Errno::CONNABORTED, AcceptFailure::Connection),
        (Errno::PROTO, AcceptFailure::Connection),
        (Errno::NETUNREACH, AcceptFailure::Connection),
        (Errno::PERM, AcceptFailure::Connection),
        (Errno::NFILE, AcceptFailure::Host),
        (Errno::NOBUFS, AcceptFailure::Host),
        (Errno::NOMEM, AcceptFailure::Host),
        (Errno::MFILE, AcceptFailure::Descriptors),
    ];
    for (errno, kind) in kinds {
        assert_eq!(accept_failure(&error(errno)), kind, "{errno}");
    }
}

#[test]
fn a_shortage_of_our_own_is_distinguished_from_a_failure_of_the_server() {
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN]
    {
        assert!(is_our_shortage(&error(errno)), "{errno}");
    }
    for errno in
        [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::CONNRESET]
    {
        assert!(!is_our_shortage(&error(errno)), "{errno}");
    }
}
