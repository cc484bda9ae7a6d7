//! A read or write that is interrupted by a signal is retried.
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use oakhollow_sidecar::uninterrupted::Uninterrupted;
use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream on which every other operation fails with `Interrupted`, starting with the first.
#[derive(Default)]
struct InterruptingStream {
    operations: usize,
    written: Vec<u8>,
}

impl InterruptingStream {
    fn is_interrupted(&mut self) -> bool {
        self.operations += 1;
        self.operations % 2 == 1
    }
}

impl AsyncRead for InterruptingStream {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context, buffer: &mut [u8]) -> Poll<Result<usize>> {
        if self.is_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        buffer[0] = 7;
        Poll::Ready(Ok(1))
    }
}

impl AsyncWrite for InterruptingStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context, bytes: &[u8]) -> Poll<Result<usize>> {
        if self.is_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        self.written.push(bytes[0]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test]
fn interrupted_operations_are_retried() {
    let mut stream = Uninterrupted(InterruptingStream::default());
    future::block_on(async {
        let mut received = [0; 3];
        stream.read_exact(&mut received).await.expect("read");
        assert_eq!(received, [7; 3]);
        stream.write_all(b"abc").await.expect("written");
    });
    assert_eq!(stream.0.written, b"abc");
}
