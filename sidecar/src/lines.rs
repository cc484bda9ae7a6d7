//! Lines of JSON between processes, limited in size and in time.
use async_io::Timer;
use futures_lite::future;
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::future::Future;
use std::time::Duration;

/// The result of `work`; none if it takes longer than `limit`.
pub async fn within<T>(limit: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, late).await
}

/// Reads the next line; none if it is longer than `max_bytes`, or the stream ends before it does.
pub async fn read_line(reads: &mut (impl AsyncBufRead + Unpin), max_bytes: u64) -> Option<String> {
    let mut line = String::new();
    let count = reads.take(max_bytes).read_line(&mut line).await.ok()?;
    (count > 0 && line.ends_with('\n')).then_some(line)
}

/// Writes a line. False if the other side has closed.
pub async fn write_line(writes: &mut (impl AsyncWrite + Unpin), line: &str) -> bool {
    writes.write_all(format!("{line}\n").as_bytes()).await.is_ok()
}
