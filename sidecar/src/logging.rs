//! Log lines on standard error, written by a thread of their own: a slow reader must not hold up an API call.
use slog::{o, Drain, Level, LevelFilter, Logger};
use slog_async::AsyncGuard;
use std::io::Write;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// How long the end may wait for lines that are not written yet.
const FLUSH: Duration = Duration::from_millis(500);

/// Lines of that level and above, on standard error.
pub fn to_stderr(name: &str, level: Level) -> (Logger, FlushGuard) {
    to_writer(std::io::stderr(), name, level)
}

/// Lines of that level and above.
pub fn to_writer(writer: impl Write + Send + 'static, name: &str, level: Level) -> (Logger, FlushGuard) {
    let plain = slog_term::PlainSyncDecorator::new(writer);
    // A line that can't be written, or queued, is lost and nothing more.
    let lines = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
    let (queued, guard) = slog_async::Async::new(lines).build_with_guard();
    let filtered = LevelFilter::new(queued, level);
    (Logger::root(filtered.ignore_res(), o!("sidecar" => name.to_string())), FlushGuard(Some(guard)))
}

/// Once dropped, what was logged before has been written, unless the reader is too slow. Guards against an end that loses
/// the last lines because another thread still has a logger.
pub struct FlushGuard(Option<AsyncGuard>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let (done, written) = channel();
        let guard = self.0.take();
        let flushing = thread::Builder::new().spawn(move || {
            drop(guard);
            let _ = done.send(());
        });
        // Without a thread, what is queued is lost.
        if flushing.is_ok() {
            let _ = written.recv_timeout(FLUSH);
        }
    }
}
