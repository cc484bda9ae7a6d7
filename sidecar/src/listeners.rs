//! The listening sockets of the process, one for each worker: passed on by the platform, or bound here.
use async_io::Timer;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, RawFd};
use std::time::{Duration, Instant};

/// How long binding an address that is in use is retried.
const BIND_RETRY_TIME: Duration = Duration::from_secs(2);
/// The listen backlog: connections that may wait in the kernel, where they use no descriptor of this process.
const LISTEN_BACKLOG: i32 = 4096;

/// The environment variable with the descriptor of a listening socket that the platform passes on.
const PASSED_SOCKET_VARIABLE: &str = "RELAY_PASSED_SOCKET";

/// A listener for each worker on the socket that the platform passes on to all processes of this sidecar, if it does.
pub fn passed_listeners(workers: usize) -> Option<Result<Vec<TcpListener>>> {
    let number = std::env::var(PASSED_SOCKET_VARIABLE).ok().filter(|number| !number.is_empty())?;
    let duplicate_passed = || {
        let invalid = || {
            Error::new(
                ErrorKind::InvalidInput,
                format!("{PASSED_SOCKET_VARIABLE}: {number:?} is not a descriptor"),
            )
        };
        let number: RawFd = number.parse().ok().filter(|number| *number > 2).ok_or_else(invalid)?;
        // SAFETY: borrowed only for the next line; if the descriptor is not open, the duplication fails.
        let passed = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = TcpListener::from(passed.try_clone_to_owned().map_err(|_| invalid())?);
        if !sockopt::socket_acceptconn(&socket)? {
            net::listen(&socket, LISTEN_BACKLOG)?;
        }
        (0..workers).map(|_| socket.try_clone()).collect()
    };
    Some(duplicate_passed())
}

/// Binds a listener for each worker. An address in use is retried for a while, because after a quick restart the
/// previous process may still hold it.
pub async fn bind(listen: SocketAddr, workers: usize) -> Result<Vec<TcpListener>> {
    let start = Instant::now();
    loop {
        match bind_all(listen, workers) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && start.elapsed() < BIND_RETRY_TIME => {
                Timer::after(BIND_RETRY_TIME / 20).await;
            }
            result => return result,
        }
    }
}

/// Binds a listener for each worker; the kernel distributes new connections among them.
fn bind_all(mut listen: SocketAddr, workers: usize) -> Result<Vec<TcpListener>> {
    let bind_one = |address: SocketAddr, shared: bool| -> Result<TcpListener> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let socket = net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        if shared {
            sockopt::set_socket_reuseport(&socket, true)?;
        }
        net::bind(&socket, &address)?;
        Ok(TcpListener::from(socket))
    };
    let mut listeners = Vec::new();
    if workers == 1 {
        listeners.push(bind_one(listen, false)?);
    } else {
        // A bind without SO_REUSEPORT first: it fails if another program of this user already shares the address.
        listen = bind_one(listen, false)?.local_addr()?;
        for _ in 0..workers {
            listeners.push(bind_one(listen, true)?);
        }
    }
    for listener in &listeners {
        // With a short backlog the kernel would drop connections of a burst, and those are retried only after 1 s.
        net::listen(listener, LISTEN_BACKLOG)?;
    }
    Ok(listeners)
}

/// The number of descriptors that the kernel allows this process. If that is less than `limits.sockets`, clients must
/// not use up the descriptors that discovery and endpoints need.
pub fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}
