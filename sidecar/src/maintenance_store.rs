//! The sidecar's folder, `$TMPDIR`: the file of which servers are out by hand, and where the socket to the process that comes
//! next stands. What is to be kept is written by a thread of its own, again and again until it is on the disk: a disk that is
//! slow, full or failing holds up nobody, and loses nothing that it gets back in time for.
use crate::durable_file;
use crate::host_clock::host_clock;
use crate::timers::Clock;
use async_channel::{bounded, Receiver, Sender};
use oakhollow_terms::{HandoverState, MaintenanceMarks};
use slog::{info, warn, Logger};
use std::io::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, Builder};
use std::time::{Duration, Instant};

/// How long until a write that failed is tried again.
const RETRY: Duration = Duration::from_millis(250);
/// How long a start tries to read the file before it gives up.
const READ_WITHIN: Duration = Duration::from_secs(5);
const READ_RETRY: Duration = Duration::from_millis(50);

/// Whether a state is on the disk.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kept {
    Yes,
    /// The first try failed; others follow.
    NotYet,
}

/// What is to be written, and who waits to hear how the first try went.
#[derive(Default)]
struct Pending {
    state: Option<MaintenanceMarks>,
    waiting: Vec<Sender<Kept>>,
    /// A thread writes.
    served: bool,
}

/// Keeps the maintenance state in the sidecar's folder.
pub struct MaintenanceStore {
    path: PathBuf,
    /// The sidecar's own address, by which its file is known.
    pub listen: SocketAddr,
    clock: Clock,
    pending: Mutex<Pending>,
    submitted: Condvar,
}

impl MaintenanceStore {
    /// None where the platform names no folder.
    pub fn new(listen: SocketAddr, clock: Clock) -> Option<MaintenanceStore> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        Some(MaintenanceStore::at(Path::new(&folder), listen, clock))
    }

    /// In that folder.
    pub fn at(folder: &Path, listen: SocketAddr, clock: Clock) -> MaintenanceStore {
        let name = format!("oakhollow-{}.marks", listen.to_string().replace([':', '[', ']'], "_"));
        let (path, pending) = (folder.join(name), Mutex::default());
        MaintenanceStore { path, listen, clock, pending, submitted: Condvar::new() }
    }

    /// Where the process that comes next finds this one.
    pub fn socket(&self) -> PathBuf {
        self.path.with_extension("sock")
    }

    /// What was kept; nothing where there is no file, or one that makes no sense. A file that can't be read for several
    /// seconds is a fault: guards against sending calls to servers that an operator took out.
    pub fn load(&self, log: &Logger) -> std::result::Result<MaintenanceMarks, String> {
        let begun = Instant::now();
        let bytes = loop {
            match durable_file::read(&self.path) {
                Ok(bytes) => break bytes,
                Err(fault) if begun.elapsed() > READ_WITHIN => {
                    return Err(format!("{}: {fault}", self.path.display()));
                }
                Err(fault) => {
                    warn!(log, "maintenance state not read, trying on: {}", fault);
                    thread::sleep(READ_RETRY);
                }
            }
        };
        let Some(bytes) = bytes else { return Ok(MaintenanceMarks::default()) };
        match self.read(&bytes) {
            Ok((marks, _)) => {
                info!(log, "maintenance state read, {} out by hand", marks.in_maintenance.len());
                Ok(marks)
            }
            Err(fault) => {
                warn!(log, "maintenance state makes no sense: {}: {}", self.path.display(), fault);
                Ok(MaintenanceMarks::default())
            }
        }
    }

    /// Reads a state that another process of this sidecar has written or said, with its times by our clock.
    pub fn read(&self, json: &[u8]) -> std::result::Result<(MaintenanceMarks, HandoverState), String> {
        MaintenanceMarks::from_json(json, self.listen, host_clock(self.clock).as_ref(), self.clock.now())
    }

    /// Words a state for another process of this sidecar.
    pub fn word(&self, marks: &MaintenanceMarks, rest: HandoverState) -> String {
        marks.to_json(self.listen, rest, host_clock(self.clock))
    }

    /// Has a state written, instead of any that still waits. What this returns tells how the first try went.
    pub fn submit(self: &Arc<Self>, marks: MaintenanceMarks, log: &Logger) -> Receiver<Kept> {
        let (tell, first) = bounded(1);
        let mut pending = self.lock();
        pending.state = Some(marks);
        pending.waiting.push(tell);
        if !pending.served {
            pending.served = self.start_writer(log.clone());
        }
        if pending.served {
            self.submitted.notify_all();
        } else {
            pending.waiting.drain(..).for_each(|waiting| _ = waiting.try_send(Kept::NotYet));
        }
        first
    }

    /// False if the kernel has no thread for us now; the next state asks again.
    fn start_writer(self: &Arc<Self>, log: Logger) -> bool {
        let (store, said) = (self.clone(), log.clone());
        let started = Builder::new().name("maintenance".into()).spawn(move || store.write_all(&log));
        if let Err(fault) = &started {
            warn!(said, "maintenance state not written: {}", fault);
        }
        started.is_ok()
    }

    /// Writes each state that is submitted, for as long as the process lives.
    fn write_all(&self, log: &Logger) {
        let mut failing = false;
        loop {
            let (state, waiting) = self.next();
            let written = self.write(&state);
            let kept = if written.is_ok() { Kept::Yes } else { Kept::NotYet };
            waiting.into_iter().for_each(|waiting| _ = waiting.try_send(kept));
            match written {
                Ok(()) if std::mem::take(&mut failing) => info!(log, "maintenance state kept"),
                Ok(()) => {}
                Err(fault) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(
                            log,
                            "maintenance state not kept, trying on: {}: {}",
                            self.path.display(),
                            fault
                        );
                    }
                    self.put_back(state);
                    thread::sleep(RETRY);
                }
            }
        }
    }

    /// Waits for a state to write.
    fn next(&self) -> (MaintenanceMarks, Vec<Sender<Kept>>) {
        let mut pending = self.lock();
        loop {
            if let Some(state) = pending.state.take() {
                return (state, std::mem::take(&mut pending.waiting));
            }
            pending = self.submitted.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// To be written again, unless another state has come meanwhile.
    fn put_back(&self, state: MaintenanceMarks) {
        self.lock().state.get_or_insert(state);
    }

    fn write(&self, state: &MaintenanceMarks) -> Result<()> {
        durable_file::replace(&self.path, self.word(state, HandoverState::default()).as_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
