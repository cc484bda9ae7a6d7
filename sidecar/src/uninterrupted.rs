//! Streams that retry reads and writes interrupted by a signal, so that `EINTR` never reaches their users.
use futures_lite::{AsyncRead, AsyncWrite};
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream whose reads and writes never fail with `EINTR`.
#[derive(Debug)]
pub struct Uninterrupted<S>(pub S);

fn retry_interrupted<T>(mut work: impl FnMut() -> Poll<Result<T>>) -> Poll<Result<T>> {
    loop {
        match work() {
            Poll::Ready(Err(error)) if error.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context, buffer: &mut [u8]) -> Poll<Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_read(context, buffer))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_close(context))
    }
}
