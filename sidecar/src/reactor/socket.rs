//! The sockets of a thread.
use super::poll::{Reactor, MAX_EVENT_AGE};
use super::readiness::{Direction, Source};
use super::{socket_memory, tcp_info};
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::{epoll, poll, PollFd, PollFlags, Timespec};
use rustix::fd::AsFd;
use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

thread_local! {
    static READ_BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; 16 * 1024].into());
}

/// A nonblocking socket that belongs to this thread's reactor.
pub struct Async<T: AsFd> {
    inner: T,
    source: Rc<Source>,
    reactor: Rc<Reactor>,
    /// Another process may hold the same socket open.
    shared: bool,
}

/// Reports the end of a connection without holding its socket.
#[derive(Clone)]
pub struct PeerEnd {
    source: Rc<Source>,
    reactor: Rc<Reactor>,
}

impl PeerEnd {
    /// Like [`Async::has_ended`], but first asks the kernel if the reactor's knowledge may be outdated.
    pub fn has_ended(&self) -> bool {
        self.reactor.refresh();
        self.source.ended.get()
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // Closing the socket, which follows, also deregisters it, but not if another process holds it open.
        if self.shared {
            let _ = epoll::delete(&self.reactor.epoll, &self.inner);
        }
        self.reactor.sources.borrow_mut().try_remove(self.source.slot.get());
    }
}

impl<T: AsFd> Async<T> {
    fn registered(inner: T, writable: bool, shared: bool) -> Result<Async<T>> {
        let reactor = Reactor::current()?;
        let source = reactor.register(&inner, writable)?;
        Ok(Async { inner, source, reactor, shared })
    }

    /// The socket itself.
    pub fn get_ref(&self) -> &T {
        &self.inner
    }
}

impl Async<TcpListener> {
    /// Registers a listener.
    pub fn from_listener(listener: TcpListener) -> Result<Async<TcpListener>> {
        listener.set_nonblocking(true)?;
        Async::registered(listener, false, true)
    }

    /// Waits until a connection can be accepted. Another process that listens on the same socket may still be faster.
    pub async fn readable(&self) -> Result<()> {
        poll_fn(|context| self.source.reads.poll(context, || connection_waits(&self.inner))).await
    }

    /// Whether a connection can be accepted at once. False if the listener can't be polled.
    pub fn connection_waits(&self) -> bool {
        connection_waits(&self.inner).is_ok()
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> Result<(Async<TcpStream>, SocketAddr)> {
        let (stream, peer) =
            poll_fn(|context| self.source.reads.poll(context, || self.inner.accept())).await?;
        Ok((Async::from_stream(stream)?, peer))
    }
}

/// An error, [`ErrorKind::WouldBlock`], unless a connection can be accepted at once.
fn connection_waits(listener: &TcpListener) -> Result<()> {
    let mut descriptors = [PollFd::new(listener, PollFlags::IN)];
    match poll(&mut descriptors, Some(&Timespec::default()))? {
        0 => Err(ErrorKind::WouldBlock.into()),
        _ => Ok(()),
    }
}

impl Async<TcpStream> {
    /// Registers a connected stream.
    pub fn from_stream(stream: TcpStream) -> Result<Async<TcpStream>> {
        stream.set_nonblocking(true)?;
        Async::registered(stream, true, false)
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> Result<Async<TcpStream>> {
        let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        let in_progress = match rustix::net::connect(&socket, &address) {
            Ok(()) => false,
            Err(Errno::INPROGRESS) => true,
            Err(error) => return Err(error.into()),
        };
        let stream = Async::registered(TcpStream::from(socket), !in_progress, false)?;
        if in_progress {
            // The socket becomes writable when it is connected, or when connecting has failed.
            poll_fn(|context| stream.source.writes.poll(context, || Ok(()))).await?;
            sockopt::socket_error(&stream.inner)??;
        }
        Ok(stream)
    }

    /// Reads the available bytes, up to the size of the thread's buffer, and appends them to `destination`. Returns 0
    /// at the end of the stream. One buffer per thread guards against thousands of tasks that each hold, clear and copy
    /// their own.
    pub async fn read_buf(&self, destination: &mut Vec<u8>) -> Result<usize> {
        poll_fn(|context| {
            READ_BUFFER.with_borrow_mut(|buffer| {
                let read = pin!(self).as_mut().poll_read(context, buffer);
                if let Poll::Ready(Ok(count)) = read {
                    destination.extend_from_slice(&buffer[..count]);
                }
                read
            })
        })
        .await
    }

    /// When the bytes came that were read last, as far as the kernel tells. It is asked only if they may have waited
    /// unread for longer than [`MAX_EVENT_AGE`]: before the connection was accepted, while nothing was read from it, or
    /// while this thread did not run.
    pub fn last_bytes_came_at(&self) -> Instant {
        let (now, unread_since) = (Instant::now(), self.source.arrival.get().earliest());
        if unread_since.is_some_and(|since| now.saturating_duration_since(since) <= MAX_EVENT_AGE) {
            return now;
        }
        let waited = tcp_info::time_since_last_bytes(&self.inner).unwrap_or_default();
        let came_at = now.checked_sub(waited).unwrap_or(now);
        unread_since.map_or(came_at, |since| came_at.max(since))
    }

    /// When the last bytes came, read or not, if there are at least so many unread ones.
    pub fn unread_bytes_came_at(&self, least: u64) -> Option<Instant> {
        let unread = rustix::io::ioctl_fionread(&self.inner).ok()?;
        if unread < least {
            return None;
        }
        self.silent_since()
    }

    /// When the last bytes came, read or not, or else the connection itself. None if the kernel does not tell.
    pub fn silent_since(&self) -> Option<Instant> {
        Instant::now().checked_sub(tcp_info::time_since_last_bytes(&self.inner)?)
    }

    /// How many bytes have come that are not read yet. Asks the kernel, which may know more than the reactor; none if it
    /// does not tell.
    pub fn unread_bytes(&self) -> u64 {
        rustix::io::ioctl_fionread(&self.inner).unwrap_or(0)
    }

    /// Lets the kernel hold so many bytes that are not read, as far as it allows. The end of a connection comes only behind
    /// all bytes before it, so this is how the end is noticed of one from which nothing is read for a while.
    pub fn hold_unread(&self, bytes: u32) {
        // Where the kernel refuses, the end is noticed later.
        let _ = socket_memory::hold_unread(&self.inner, bytes as libc::c_int);
    }

    /// Whether unread bytes may keep the peer from sending more. False if the kernel does not tell.
    pub fn peer_waits_for_reader(&self) -> bool {
        socket_memory::receive_buffer_is_full(&self.inner).unwrap_or(false)
    }

    /// Since when the peer has sent nothing although it could. None if it may have to wait until bytes are read here, or
    /// if the kernel does not tell.
    pub fn stalled_since(&self) -> Option<Instant> {
        match socket_memory::receive_buffer_is_full(&self.inner) {
            Some(false) => self.silent_since(),
            Some(true) | None => None,
        }
    }

    /// Whether the peer's machine has all that was written, and nothing is unread here.
    pub fn is_drained(&self) -> bool {
        !self.is_readable() && tcp_info::all_acknowledged(&self.inner)
    }

    /// Whether the peer has shut down its side, or the connection is broken, as far as the reactor knows. Bytes
    /// that came before may still be unread.
    pub fn has_ended(&self) -> bool {
        self.source.ended.get()
    }

    /// A handle that reports the end of this connection.
    pub fn peer_end(&self) -> PeerEnd {
        PeerEnd { source: self.source.clone(), reactor: self.reactor.clone() }
    }

    /// Waits for the end of the connection, without reading.
    pub async fn ended(&self) {
        poll_fn(|context| match self.has_ended() {
            true => Poll::Ready(()),
            false => {
                self.source.end_waker.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }

    /// Whether the operation has to wait for the next turn of the reactor, since this socket has had its share of this one. The
    /// task is woken then.
    fn waits_for_turn(&self, direction: &Direction, context: &Context) -> bool {
        let waits = direction.ready.get() && !direction.may_perform(self.reactor.turn());
        if waits {
            self.reactor.wake_next_turn(context);
        }
        waits
    }

    /// Whether there is something to read, an end or an error included, as far as the reactor knows.
    pub fn is_readable(&self) -> bool {
        self.source.reads.ready.get()
    }
}

impl AsyncRead for &Async<TcpStream> {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut [u8]) -> Poll<Result<usize>> {
        if self.waits_for_turn(&self.source.reads, context) {
            return Poll::Pending;
        }
        let space = buffer.len();
        let read = self.source.reads.poll(context, || (&self.inner).read(buffer));
        // A read that leaves space in the buffer has usually taken all there was, and the next bytes bring an event.
        // But a read may also be short although there is more, and then no event comes: it is tried again later. After
        // the end of the stream no event comes at all.
        if matches!(read, Poll::Ready(Ok(count)) if count > 0 && count < space) && !self.source.ended.get() {
            self.source.reads.ready.set(false);
            self.source.unconfirmed.set(true);
        }
        if read.is_pending() && self.source.unconfirmed.get() {
            self.reactor.recheck_later(&self.source);
        }
        if matches!(read, Poll::Ready(Ok(0) | Err(_))) && space > 0 {
            self.source.set_ended();
        }
        read
    }
}

impl AsyncWrite for &Async<TcpStream> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<Result<usize>> {
        if self.waits_for_turn(&self.source.writes, context) {
            return Poll::Pending;
        }
        self.source.writes.poll(context, || (&self.inner).write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(self.inner.shutdown(std::net::Shutdown::Write))
    }
}
