//! Lines of JSON between processes: bounded in size, and in the time that they may take.
use async_io::Timer;
use futures_lite::future;
use futures_lite::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::future::Future;
use std::time::Duration;

/// None if it takes longer.
pub async fn within<T>(limit: Duration, work: impl Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, late).await
}

/// The next line; none if it is longer than `most`, or has no end.
pub async fn line(reads: &mut (impl AsyncBufRead + Unpin), most: u64) -> Option<String> {
    let mut line = String::new();
    let count = reads.take(most).read_line(&mut line).await.ok()?;
    (count > 0 && line.ends_with('\n')).then_some(line)
}

/// False if the other side is gone.
pub async fn say(writes: &mut (impl AsyncWrite + Unpin), line: &str) -> bool {
    writes.write_all(format!("{line}\n").as_bytes()).await.is_ok()
}
