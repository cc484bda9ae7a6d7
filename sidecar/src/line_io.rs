//! Reads and writes the lines of JSON that processes exchange, with limits on length and time.
use async_io::Timer;
use futures_lite::future;
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::future::Future;
use std::time::Duration;

/// The result of `work`; none if it takes longer than `limit`.
pub async fn with_timeout<T>(limit: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, timeout).await
}

/// Reads the next line; none if it is longer than `max_bytes`, or the stream ends before the line does.
pub async fn read_line(reader: &mut (impl AsyncBufRead + Unpin), max_bytes: u64) -> Option<String> {
    let mut line = String::new();
    let count = reader.take(max_bytes).read_line(&mut line).await.ok()?;
    (count > 0 && line.ends_with('\n')).then_some(line)
}

/// Writes a line. False if the other side has closed.
pub async fn write_line(writer: &mut (impl AsyncWrite + Unpin), line: &str) -> bool {
    writer.write_all(format!("{line}\n").as_bytes()).await.is_ok()
}
