//! Sockets of one thread.
use super::poll::Reactor;
use super::readiness::Source;
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::epoll;
use rustix::fd::AsFd;
use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};

thread_local! {
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; 16 * 1024].into());
}

/// A socket of this thread.
pub struct Async<T: AsFd> {
    inner: T,
    source: Rc<Source>,
    reactor: Rc<Reactor>,
    /// Another process may hold the same socket.
    shared: bool,
}

/// Tells of the end of a socket, also to one that doesn't hold it.
#[derive(Clone)]
pub struct PeerEnd {
    source: Rc<Source>,
    reactor: Rc<Reactor>,
}

impl PeerEnd {
    /// As [`Async::has_ended`], but by what the kernel tells now.
    pub fn has_come(&self) -> bool {
        self.reactor.catch_up();
        self.source.ended.get()
    }
}

impl<T: AsFd> Drop for Async<T> {
    fn drop(&mut self) {
        // The close, which follows, ends the registration of a socket that no other process holds.
        if self.shared {
            let _ = epoll::delete(&self.reactor.epoll, &self.inner);
        }
        self.reactor.sources.borrow_mut().try_remove(self.source.slot.get());
    }
}

impl<T: AsFd> Async<T> {
    fn registered(inner: T, writable: bool, shared: bool) -> Result<Async<T>> {
        let reactor = Reactor::here()?;
        let source = reactor.register(&inner, writable)?;
        Ok(Async { inner, source, reactor, shared })
    }

    pub fn get_ref(&self) -> &T {
        &self.inner
    }
}

impl Async<TcpListener> {
    pub fn from_listener(listener: TcpListener) -> Result<Async<TcpListener>> {
        listener.set_nonblocking(true)?;
        Async::registered(listener, false, true)
    }

    pub async fn accept(&self) -> Result<(Async<TcpStream>, SocketAddr)> {
        let (stream, peer) =
            poll_fn(|context| self.source.reads.poll(context, || self.inner.accept())).await?;
        Ok((Async::from_stream(stream)?, peer))
    }
}

impl Async<TcpStream> {
    pub fn from_stream(stream: TcpStream) -> Result<Async<TcpStream>> {
        stream.set_nonblocking(true)?;
        Async::registered(stream, true, false)
    }

    pub async fn connect(to: SocketAddr) -> Result<Async<TcpStream>> {
        let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
        let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
        let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
        let under_way = match rustix::net::connect(&socket, &to) {
            Ok(()) => false,
            Err(Errno::INPROGRESS) => true,
            Err(fault) => return Err(fault.into()),
        };
        let stream = Async::registered(TcpStream::from(socket), !under_way, false)?;
        if under_way {
            // Writable once it is up, or broken.
            poll_fn(|context| stream.source.writes.poll(context, || Ok(()))).await?;
            sockopt::socket_error(&stream.inner)??;
        }
        Ok(stream)
    }

    /// Reads what there is, up to the size of the thread's one buffer, behind what `into` holds. Nothing is the end. Guards
    /// against a buffer in each of thousands of tasks, cleared and copied with them.
    pub async fn read_buf(&self, into: &mut Vec<u8>) -> Result<usize> {
        poll_fn(|context| {
            BUFFER.with_borrow_mut(|buffer| {
                let read = pin!(self).as_mut().poll_read(context, buffer);
                if let Poll::Ready(Ok(count)) = read {
                    into.extend_from_slice(&buffer[..count]);
                }
                read
            })
        })
        .await
    }

    /// Whether the other side has ended its sending, or the connection is broken, as far as the thread has been told.
    /// Bytes that came before that may still be unread.
    pub fn has_ended(&self) -> bool {
        self.source.ended.get()
    }

    pub fn peer_end(&self) -> PeerEnd {
        PeerEnd { source: self.source.clone(), reactor: self.reactor.clone() }
    }

    /// Waits for that, without reading.
    pub async fn ended(&self) {
        poll_fn(|context| match self.has_ended() {
            true => Poll::Ready(()),
            false => {
                self.source.end_awaited.set(Some(context.waker().clone()));
                Poll::Pending
            }
        })
        .await
    }

    /// Whether something has come, an end or a fault included, as far as the thread has been told.
    pub fn is_readable(&self) -> bool {
        self.source.reads.ready.get()
    }
}

impl AsyncRead for &Async<TcpStream> {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, buffer: &mut [u8]) -> Poll<Result<usize>> {
        let room = buffer.len();
        let read = self.source.reads.poll(context, || (&self.inner).read(buffer));
        // A read that leaves room has mostly taken all there was, and what comes after it is told anew; a short one has not, and
        // is told of nothing. After an end nothing is told.
        if matches!(read, Poll::Ready(Ok(count)) if count > 0 && count < room) && !self.source.ended.get() {
            self.source.reads.ready.set(false);
            self.source.unconfirmed.set(true);
        }
        if read.is_pending() && self.source.unconfirmed.get() {
            self.reactor.confirm_later(&self.source);
        }
        if matches!(read, Poll::Ready(Ok(0) | Err(_))) && room > 0 {
            self.source.end();
        }
        read
    }
}

impl AsyncWrite for &Async<TcpStream> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<Result<usize>> {
        self.source.writes.poll(context, || (&self.inner).write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(self.inner.shutdown(std::net::Shutdown::Write))
    }
}
