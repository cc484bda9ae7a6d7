//! The sidecar's folder, `$TMPDIR`: the file with the maintenance marks, and the path of the handover socket. A
//! separate thread writes the file and retries until it is on the disk. A slow, full or failing disk blocks
//! nothing, and once it recovers the latest state is saved.
use crate::durable_file;
use crate::host_clock::host_clock;
use crate::timers::Clock;
use async_channel::{bounded, Receiver, Sender};
use oakhollow_config::{HandoverState, MaintenanceMarks};
use slog::{info, warn, Logger};
use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::{Duration, Instant};

/// The delay before a failed write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long a start tries to read the file before it fails.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether a state is on the disk after the first try.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SaveResult {
    /// It is on the disk.
    Saved,
    /// The first try failed; it is retried.
    Retrying,
}

/// The state to be written, and who waits for the result of the first try.
#[derive(Default)]
struct Pending {
    state: Option<MaintenanceMarks>,
    waiting: Vec<Sender<SaveResult>>,
    /// Whether the writer thread runs.
    writer_running: bool,
}

/// Stores the maintenance state in the sidecar's folder.
pub struct MaintenanceStore {
    path: PathBuf,
    /// The sidecar's own address, which names its file.
    pub listen: SocketAddr,
    clock: Clock,
    pending: Mutex<Pending>,
    submitted: Condvar,
}

impl MaintenanceStore {
    /// The store in the folder that the platform provides, if it provides one.
    pub fn new(listen: SocketAddr, clock: Clock) -> Option<MaintenanceStore> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        Some(MaintenanceStore::in_folder(Path::new(&folder), listen, clock))
    }

    /// The store in that folder.
    pub fn in_folder(folder: &Path, listen: SocketAddr, clock: Clock) -> MaintenanceStore {
        let name = format!("oakhollow-{}.marks", listen.to_string().replace([':', '[', ']'], "_"));
        let (path, pending) = (folder.join(name), Mutex::default());
        MaintenanceStore { path, listen, clock, pending, submitted: Condvar::new() }
    }

    /// The path of the socket where the next process finds this one.
    pub fn socket_path(&self) -> PathBuf {
        self.path.with_extension("sock")
    }

    /// Loads the saved marks; none if there is no file, or a malformed one. If the file can't be read for several
    /// seconds, that is an error: without the marks, requests could go to endpoints in maintenance.
    pub fn load(&self, log: &Logger) -> std::result::Result<MaintenanceMarks, String> {
        let start = Instant::now();
        let bytes = loop {
            match durable_file::read(&self.path) {
                Ok(bytes) => break bytes,
                Err(error) if start.elapsed() > READ_TIMEOUT => {
                    return Err(format!("{}: {error}", self.path.display()));
                }
                Err(error) => {
                    warn!(log, "maintenance state not read, retrying: {}", error);
                    thread::sleep(READ_RETRY_DELAY);
                }
            }
        };
        let Some(bytes) = bytes else { return Ok(MaintenanceMarks::default()) };
        match self.parse(&bytes) {
            Ok((marks, _)) => {
                info!(log, "maintenance state read, {} out by hand", marks.in_maintenance.len());
                Ok(marks)
            }
            Err(error) => {
                warn!(log, "maintenance state malformed, ignored: {}: {}", self.path.display(), error);
                Ok(MaintenanceMarks::default())
            }
        }
    }

    /// Parses a state that another process of this sidecar has written or sent, and converts its times to this
    /// process's clock.
    pub fn parse(&self, json: &[u8]) -> std::result::Result<(MaintenanceMarks, HandoverState), String> {
        MaintenanceMarks::from_json(json, self.listen, host_clock(self.clock).as_ref(), self.clock.now())
    }

    /// Serialises a state for another process of this sidecar.
    pub fn serialize(&self, marks: &MaintenanceMarks, handover: HandoverState) -> String {
        marks.to_json(self.listen, handover, host_clock(self.clock))
    }

    /// Has a state written, in place of any that still waits. The receiver gets the result of the first try.
    pub fn submit(self: &Arc<Self>, marks: MaintenanceMarks, log: &Logger) -> Receiver<SaveResult> {
        let (report, result) = bounded(1);
        let mut pending = self.lock();
        pending.state = Some(marks);
        pending.waiting.push(report);
        if !pending.writer_running {
            pending.writer_running = self.start_writer(log.clone());
        }
        if pending.writer_running {
            self.submitted.notify_all();
        } else {
            pending.waiting.drain(..).for_each(|waiting| _ = waiting.try_send(SaveResult::Retrying));
        }
        result
    }

    /// Starts the writer thread. False if the kernel refuses a thread now; the next submit tries again.
    fn start_writer(self: &Arc<Self>, log: Logger) -> bool {
        let (store, writer_log) = (self.clone(), log.clone());
        let started = Builder::new().name("maintenance".into()).spawn(move || store.write_loop(&writer_log));
        if let Err(error) = &started {
            warn!(log, "maintenance state not written, no thread: {}", error);
        }
        started.is_ok()
    }

    /// Writes each state that is submitted, for as long as the process lives.
    fn write_loop(&self, log: &Logger) {
        let mut failing = false;
        loop {
            let (state, waiting) = self.wait_for_state();
            let written = self.write(&state);
            let result = if written.is_ok() { SaveResult::Saved } else { SaveResult::Retrying };
            waiting.into_iter().for_each(|waiting| _ = waiting.try_send(result));
            match written {
                Ok(()) if std::mem::take(&mut failing) => info!(log, "maintenance state saved"),
                Ok(()) => {}
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(
                            log,
                            "maintenance state not saved, retrying: {}: {}",
                            self.path.display(),
                            error
                        );
                    }
                    self.requeue(state);
                    thread::sleep(WRITE_RETRY_DELAY);
                }
            }
        }
    }

    /// Waits for a state to write.
    fn wait_for_state(&self) -> (MaintenanceMarks, Vec<Sender<SaveResult>>) {
        let mut pending = self.lock();
        loop {
            if let Some(state) = pending.state.take() {
                return (state, std::mem::take(&mut pending.waiting));
            }
            pending = self.submitted.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Queues a state again, unless a newer one has been submitted.
    fn requeue(&self, state: MaintenanceMarks) {
        self.lock().state.get_or_insert(state);
    }

    fn write(&self, state: &MaintenanceMarks) -> Result<()> {
        durable_file::replace(&self.path, self.serialize(state, HandoverState::default()).as_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
