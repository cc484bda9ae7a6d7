//! The handover from one process of a sidecar to the next. On a Unix socket in the sidecar's folder the old process
//! sends a snapshot as one line; then each side sends its maintenance marks, a line each. The end of the connection
//! means that the other process has ended.
use crate::endpoint_registry::{lock, MaintenanceMark, SharedRegistry};
use crate::http1::request_ids::RequestIds;
use crate::limits::SharedLimit;
use crate::line_io::{read_line, with_timeout, write_line};
use crate::maintenance_store::MaintenanceStore;
use crate::timers::Clock;
use crate::uninterrupted::Uninterrupted;
use crate::workers::{CommandBroadcaster, Sharing, WorkerCommand};
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{self, BufReader, ReadHalf, WriteHalf};
use oakhollow_config::{
    read_json, DiscoveryList, HandoverMessage, HandoverState, LearnedHealth, MaintenanceChange,
    MaintenanceMarks,
};
use slog::{info, warn, Logger};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a new process waits for the snapshot of its predecessor.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(300);
/// Lines that may wait for a peer that does not read: one mark for each endpoint that may be marked.
const MAX_QUEUED_LINES: usize = MaintenanceMarks::MAX_ENTRIES;
/// The longest line that is accepted: enough for a list of many thousands of endpoints.
const MAX_LINE_BYTES: u64 = 16 * 1024 * 1024;
/// The delay before a failed bind or accept is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

type LinkReader = BufReader<ReadHalf<Uninterrupted<Async<UnixStream>>>>;
/// The queue to another process, and its receiving end.
type Link = (Sender<HandoverMessage>, Receiver<HandoverMessage>);
type LinkWriter = WriteHalf<Uninterrupted<Async<UnixStream>>>;

/// A link to another process, as those that send to it see it.
struct OpenLink {
    messages: Sender<HandoverMessage>,
    /// Whether the other process understands [`HandoverMessage::UnsafeRequests`].
    exchanges_requests: bool,
}

/// The links to other processes of this sidecar, if there are any.
#[derive(Clone, Default)]
pub struct HandoverLinks(Arc<Mutex<Vec<OpenLink>>>);

impl HandoverLinks {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<OpenLink>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link, which receives every message sent from now on.
    fn open(&self) -> Link {
        let (link, messages) = bounded(MAX_QUEUED_LINES);
        self.lock().push(OpenLink { messages: link.clone(), exchanges_requests: false });
        (link, messages)
    }

    /// From now on this link is told of requests that must not be repeated. Returns false if it was before.
    fn begin_exchanging_requests(&self, link: &Sender<HandoverMessage>) -> bool {
        let mut links = self.lock();
        let open = links.iter_mut().find(|other| other.messages.same_channel(link));
        open.is_some_and(|open| !std::mem::replace(&mut open.exchanges_requests, true))
    }

    /// Tells all other processes of a request that must not be repeated and may have run, by the hash of its id.
    pub fn send_unsafe_request(&self, hash: u64) {
        let links = self.lock();
        for link in links.iter().filter(|link| link.exchanges_requests) {
            let _ = link.messages.try_send(HandoverMessage::UnsafeRequests(vec![hash]));
        }
    }

    /// Sends a mark to all other processes except the one from which it was received.
    pub fn send_maintenance(&self, mark: &MaintenanceMark, except: Option<&Sender<HandoverMessage>>) {
        let MaintenanceMark { name, in_maintenance, set_at } = mark.clone();
        self.send(
            HandoverMessage::MaintenanceChange(MaintenanceChange {
                name,
                in_maintenance,
                set_at_us: set_at.0,
            }),
            except,
        );
    }

    /// Tells the other processes that this one stops accepting.
    pub fn announce_stop(&self) {
        self.send(HandoverMessage::StoppedAccepting, None);
    }

    fn send(&self, message: HandoverMessage, except: Option<&Sender<HandoverMessage>>) {
        let links = self.lock();
        let others = links
            .iter()
            .map(|link| &link.messages)
            .filter(|link| !except.is_some_and(|except| link.same_channel(except)));
        others.for_each(|link| _ = link.try_send(message.clone()));
    }

    /// Whether there is another process.
    pub fn any(&self) -> bool {
        !self.lock().is_empty()
    }
}

/// The predecessor: its snapshot, and the connection to it.
pub struct Predecessor {
    /// Its maintenance marks.
    pub marks: MaintenanceMarks,
    /// The rest of its snapshot.
    pub state: HandoverState,
    reader: LinkReader,
    writer: LinkWriter,
}

/// Gets the snapshot of the predecessor. None if there is no such process, or if no usable snapshot arrives in time: a
/// start never blocks on it.
pub async fn fetch_snapshot(store: &MaintenanceStore, log: &Logger) -> Option<Predecessor> {
    let path = store.socket_path();
    if !path.exists() {
        return None;
    }
    let fetched = async {
        let stream = Async::<UnixStream>::connect(&path).await.map_err(|error| error.to_string())?;
        let (reader, writer) = io::split(Uninterrupted(stream));
        let mut reader = BufReader::new(reader);
        let line = read_line(&mut reader, MAX_LINE_BYTES).await.ok_or("it sent nothing")?;
        let (marks, state) = store.parse(line.as_bytes())?;
        Ok(Predecessor { marks, state, reader, writer })
    };
    let timeout = async {
        Timer::after(SNAPSHOT_TIMEOUT).await;
        Err("it sent nothing in time".to_string())
    };
    match future::or(fetched, timeout).await {
        Ok(predecessor) => Some(predecessor),
        Err(error) => {
            warn!(log, "no snapshot from the predecessor: {}", error);
            None
        }
    }
}

/// The parts of the process that the handover uses.
pub struct HandoverTask {
    pub links: HandoverLinks,
    pub registry: SharedRegistry,
    pub commands: CommandBroadcaster,
    pub store: Arc<MaintenanceStore>,
    pub connection_limits: [SharedLimit; 2],
    pub request_ids: Arc<RequestIds>,
    pub clock: Clock,
    pub log: Logger,
}

impl HandoverTask {
    /// Exchanges lines with the predecessor, if there is one, and waits for successors.
    pub async fn run(self, predecessor: Option<Predecessor>) {
        let exchange_with_predecessor = async {
            if let Some(Predecessor { reader, writer, state, .. }) = predecessor {
                let link = self.links.open();
                if state.exchanges_requests {
                    self.exchange_requests(&link.0);
                }
                self.exchange_lines(reader, writer, link, Sharing::WithPredecessor).await;
            }
            future::pending::<()>().await
        };
        future::or(exchange_with_predecessor, self.accept_successors()).await;
    }

    /// Sends each successor a snapshot, and then exchanges lines with it.
    async fn accept_successors(&self) {
        let mut failing = false;
        loop {
            // Bound again for each successor: the previous one has bound its own socket at this path, and may have
            // exited without serving.
            let path = self.store.socket_path();
            let _ = std::fs::remove_file(&path);
            let listener = match Async::<UnixListener>::bind(&path) {
                Ok(listener) => listener,
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(self.log, "no handover possible, retrying: {}: {}", path.display(), error);
                    }
                    Timer::after(RETRY_DELAY).await;
                    continue;
                }
            };
            failing = false;
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(RETRY_DELAY).await;
                continue;
            };
            drop(listener);
            let (reader, mut writer) = io::split(Uninterrupted(stream));
            let learned = self.learned().await;
            let (marks, list, link) = self.snapshot();
            let snapshot = self
                .store
                .serialize(&marks, HandoverState { list: Some(list), learned, exchanges_requests: true });
            if write_line(&mut writer, &snapshot).await {
                self.exchange_lines(BufReader::new(reader), writer, link, Sharing::WithSuccessor).await;
            } else {
                self.close(&link.0);
            }
        }
    }

    /// The current state, and a link that receives every change from now on. Both are taken under one lock, so that
    /// no mark is lost between the two.
    fn snapshot(&self) -> (MaintenanceMarks, DiscoveryList, Link) {
        let registry = lock(&self.registry);
        (registry.marks().clone(), registry.list(), self.links.open())
    }

    /// Removes a link.
    fn close(&self, link: &Sender<HandoverMessage>) {
        self.links.lock().retain(|other| !other.messages.same_channel(link));
    }

    /// Shares limits and marks with another process until that ends.
    async fn exchange_lines(
        &self, mut reader: LinkReader, mut writer: LinkWriter, (link, messages): Link, sharing: Sharing,
    ) {
        self.set_sharing(sharing).await;
        let receiving = async {
            while let Some(line) = read_line(&mut reader, MAX_LINE_BYTES).await {
                match read_json(line.trim().as_bytes()) {
                    // The time is replaced by this process's: the mark was set a moment ago, and the other process's
                    // clock may differ.
                    Ok(HandoverMessage::MaintenanceChange(MaintenanceChange {
                        name,
                        in_maintenance,
                        ..
                    })) => {
                        self.apply_maintenance(
                            MaintenanceMark { name, in_maintenance, set_at: self.clock.now() },
                            &link,
                        )
                        .await;
                    }
                    // The other process closes each connection after its next answer, which takes seconds; until it has
                    // ended, this one would have only half of the limits.
                    Ok(HandoverMessage::StoppedAccepting) => {
                        info!(self.log, "the other process has stopped accepting");
                        self.commands.send(WorkerCommand::SetSharing(Sharing::Alone)).await;
                    }
                    Ok(HandoverMessage::UnsafeRequests(hashes)) => {
                        self.request_ids.remember_unsafe_requests(hashes, Instant::now());
                        self.exchange_requests(&link);
                    }
                    Err(error) => return warn!(self.log, "malformed line from the other process: {}", error),
                }
            }
        };
        let sending = async {
            while let Ok(message) = messages.recv().await {
                if !write_line(&mut writer, &message.to_json()).await {
                    return;
                }
            }
        };
        future::or(receiving, sending).await;
        self.close(&link);
        self.set_sharing(Sharing::Alone).await;
    }

    /// Tells a process that understands it of the requests that may have run here, and from now on of each further one.
    fn exchange_requests(&self, link: &Sender<HandoverMessage>) {
        if self.links.begin_exchanging_requests(link) {
            let _ = link.try_send(HandoverMessage::UnsafeRequests(self.request_ids.unsafe_requests()));
        }
    }

    /// What one worker's module has learned. Any worker will do, since all of them learn about the same.
    async fn learned(&self) -> LearnedHealth {
        let (reply_to, learned) = bounded(1);
        self.commands.send(WorkerCommand::ExportLearned(reply_to)).await;
        with_timeout(SNAPSHOT_TIMEOUT / 3, async { learned.recv().await.ok() }).await.unwrap_or_default()
    }

    /// Starts or stops sharing limits and budgets with another process.
    async fn set_sharing(&self, sharing: Sharing) {
        info!(self.log, "shares with another process: {:?}", sharing);
        self.connection_limits.iter().for_each(|limit| limit.halve(sharing != Sharing::Alone));
        self.commands.send(WorkerCommand::SetSharing(sharing)).await;
    }

    /// Applies a mark that was set at another process.
    async fn apply_maintenance(&self, mark: MaintenanceMark, received_from: &Sender<HandoverMessage>) {
        {
            let mut registry = lock(&self.registry);
            registry.apply_maintenance(&mark);
            self.store.submit(registry.marks().clone(), &self.log);
        }
        info!(
            self.log,
            "{} {} by hand, at the other process",
            mark.name,
            if mark.in_maintenance { "out" } else { "back" }
        );
        self.links.send_maintenance(&mark, Some(received_from));
        self.commands.send_and_wait(|done| WorkerCommand::ApplyMaintenance(mark, done)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_io::block_on;
    use slog::{o, Discard};
    use std::io::Write;
    use std::thread;

    /// The marks that a new process gets from a predecessor that sends only `sent`, and how long that takes. Without
    /// `sent` the predecessor has exited and left its socket file behind. A predecessor whose text ends in `!` closes
    /// the connection at once, any other keeps it open for longer than a new process waits.
    fn fetch_from(name: &str, sent: Option<&str>) -> (Option<MaintenanceMarks>, Duration) {
        let folder = std::env::temp_dir().join(format!("oakhollow-peers-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store =
            MaintenanceStore::in_folder(&folder, "127.0.0.1:70".parse().expect("an address"), Clock::start());
        let listener = std::os::unix::net::UnixListener::bind(store.socket_path()).expect("a socket");
        let text = sent.map(str::to_string);
        let sender = text.map(|text| {
            thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("a connection");
                stream.write_all(text.as_bytes()).expect("written");
                thread::sleep(Duration::from_millis(if text.ends_with('!') { 0 } else { 700 }));
            })
        });
        let start = Instant::now();
        let predecessor = block_on(fetch_snapshot(&store, &Logger::root(Discard, o!())));
        let elapsed = start.elapsed();
        sender.map(thread::JoinHandle::join);
        let _ = std::fs::remove_dir_all(&folder);
        (predecessor.map(|predecessor| predecessor.marks), elapsed)
    }

    #[test]
    fn a_start_never_blocks_on_its_predecessor() {
        let mut marks = MaintenanceMarks::default();
        marks.set("s-1", true, oakhollow::types::Micros(1));
        let complete =
            marks.to_json("127.0.0.1:70".parse().expect("an address"), HandoverState::default(), None);
        let line = |text: &str| format!("{text}\n");
        assert_eq!(fetch_from("whole", Some(&line(&complete))).0, Some(marks));
        let unusable = [
            ("stale", None),
            ("silent", Some(String::new())),
            ("half", Some(complete.clone())),
            ("gone", Some("!".into())),
            ("noise", Some(line("no snapshot"))),
            ("newer", Some(line(&complete.replace("\"version\":1", "\"version\":2")))),
            ("foreign", Some(line(&complete.replace(":70", ":71")))),
        ];
        for (name, sent) in unusable {
            let (marks, elapsed) = fetch_from(name, sent.as_deref());
            assert!(
                marks.is_none() && elapsed < Duration::from_millis(600),
                "{name}: {marks:?}, {elapsed:?}"
            );
        }
    }
}
