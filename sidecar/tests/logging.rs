//! At the program's exit all lines logged before have been written, and a log reader that reads nothing does not delay
//! the exit.
use oakhollow_sidecar::logging;
use slog::info;
use std::io::{Result, Write};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A writer that takes 1 ms per write.
#[derive(Clone, Default)]
struct SlowWriter(Arc<Mutex<Vec<u8>>>);

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        thread::sleep(Duration::from_millis(1));
        self.0.lock().expect("bytes").extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn the_last_lines_are_written_although_another_logger_still_exists() {
    let written = SlowWriter::default();
    let (log, flush) = logging::to_writer(written.clone(), "n0", slog::Level::Info);
    let _other_logger = log.clone();
    (0..5).for_each(|number| info!(log, "line {}", number));
    drop((log, flush));
    let text = String::from_utf8(written.0.lock().expect("bytes").clone()).expect("valid UTF-8");
    assert_eq!(text.lines().count(), 5, "{text}");
    assert!(text.contains("line 4"), "{text}");
}

/// A writer that blocks until the channel's sender is dropped.
struct BlockedWriter(Mutex<Receiver<()>>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        let _ = self.0.lock().expect("the receiver").recv();
        Ok(bytes.len())
    }
    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_reader_that_reads_nothing_does_not_delay_the_exit() {
    let (sender, receiver) = channel();
    let (log, flush) = logging::to_writer(BlockedWriter(Mutex::new(receiver)), "n0", slog::Level::Info);
    (0..1_000).for_each(|number| info!(log, "line {}", number));
    let start = Instant::now();
    drop(flush);
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    drop(sender);
}
