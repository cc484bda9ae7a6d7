//! Logging to standard error on a separate thread, so that a slow reader does not delay requests.
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::AsyncGuard;
use std::io::Write;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// How long the process may wait at its end for lines that are not written yet.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A logger of that level and above to standard error.
pub fn to_stderr(name: &str, level: Level) -> (Logger, FlushGuard) {
    to_writer(std::io::stderr(), name, level)
}

/// A logger of that level and above to a writer.
pub fn to_writer(writer: impl Write + Send + 'static, name: &str, level: Level) -> (Logger, FlushGuard) {
    let plain = slog_term::PlainSyncDecorator::new(writer);
    // A line that can't be written or queued is dropped.
    let lines = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
    let (queued, guard) = slog_async::Async::new(lines).build_with_guard();
    let filtered = LevelFilter::new(queued, level);
    (Logger::root(filtered.ignore_res(), o!("sidecar" => name.to_string())), FlushGuard(Some(guard)))
}

/// Dropping this writes everything logged so far, unless the reader is too slow. Without it the last lines could be
/// lost, because another thread may still hold a logger.
pub struct FlushGuard(Option<AsyncGuard>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let (done, written) = channel();
        let guard = self.0.take();
        let flushing = thread::Builder::new().spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        // If no thread can be started, the queued lines are lost.
        if flushing.is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}
