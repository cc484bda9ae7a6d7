//! Log lines on standard error, written by a thread of their own: a slow reader must not hold up an API call.
use slog::{o, Drain, Logger};

pub fn to_stderr(name: &str) -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    // A line that can't be written, or queued, is lost and nothing more.
    let lines = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
    let queued = slog_async::Async::new(lines).build().ignore_res();
    Logger::root(queued, o!("sidecar" => name.to_string()))
}
