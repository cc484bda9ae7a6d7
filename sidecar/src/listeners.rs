//! The listening sockets of the program: passed on by the platform or bound here, one for each worker.
use async_io::Timer;
use rustix::net::{self, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, RawFd};
use std::time::{Duration, Instant};

/// How long a taken address is tried again.
const REBIND: Duration = Duration::from_secs(2);
/// How many connections may wait in the machine's queue; they take none of our descriptors.
const QUEUE: i32 = 4096;

/// Names the descriptor of a listening socket that the platform passes on.
const PASSED: &str = "RELAY_PASSED_SOCKET";

/// The listening socket that the platform holds for all processes of this sidecar, if it does.
pub fn passed_on(workers: usize) -> Option<Result<Vec<TcpListener>>> {
    let number = std::env::var(PASSED).ok().filter(|number| !number.is_empty())?;
    let open = || {
        let odd = || Error::new(ErrorKind::InvalidInput, format!("{PASSED}: {number:?} is no descriptor"));
        let number: RawFd = number.parse().ok().filter(|number| *number > 2).ok_or_else(odd)?;
        // SAFETY: borrowed for this line only; a number that nobody has open makes the copy fail.
        let passed = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = TcpListener::from(passed.try_clone_to_owned().map_err(|_| odd())?);
        if !sockopt::socket_acceptconn(&socket)? {
            net::listen(&socket, QUEUE)?;
        }
        (0..workers).map(|_| socket.try_clone()).collect()
    };
    Some(open())
}

/// Listens, with a listener for each worker. Guards against failing a quick restart: the program before this one may hold the
/// address for a moment more.
pub async fn bind(listen: SocketAddr, workers: usize) -> Result<Vec<TcpListener>> {
    let first = Instant::now();
    loop {
        match bind_all(listen, workers) {
            Err(fault) if fault.kind() == ErrorKind::AddrInUse && first.elapsed() < REBIND => {
                Timer::after(REBIND / 20).await;
            }
            bound => return bound,
        }
    }
}

/// A listener for each worker, among which the machine deals out connections.
fn bind_all(mut listen: SocketAddr, workers: usize) -> Result<Vec<TcpListener>> {
    let bind_one = |to: SocketAddr, shared: bool| -> Result<TcpListener> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let socket = net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        if shared {
            sockopt::set_socket_reuseport(&socket, true)?;
        }
        net::bind(&socket, &to)?;
        Ok(TcpListener::from(socket))
    };
    let mut listeners = Vec::new();
    if workers == 1 {
        listeners.push(bind_one(listen, false)?);
    } else {
        // Guards against sharing the address with another program of this user: alone it must be free.
        listen = bind_one(listen, false)?.local_addr()?;
        for _ in 0..workers {
            listeners.push(bind_one(listen, true)?);
        }
    }
    for listener in &listeners {
        // Guards against callers that are not even let wait, and are lost for a second, when many come at once.
        net::listen(listener, QUEUE)?;
    }
    Ok(listeners)
}

/// What the machine allows this process. Guards against callers that take what discovery and servers need, where that is less
/// than the file says.
pub fn descriptors() -> usize {
    let most = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    most.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX)
}
