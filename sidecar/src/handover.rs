//! Two processes of one sidecar while one replaces the other. A local socket in the sidecar's folder carries one line from
//! the old to the new, a snapshot, and then each side's marks, a line each; its end means that the other is gone.
use crate::endpoint_registry::{lock, Mark, SharedRegistry};
use crate::limits::SharedLimit;
use crate::lines::{line, say, within};
use crate::maintenance_store::MaintenanceStore;
use crate::timers::Clock;
use crate::uninterrupted::Uninterrupted;
use crate::workers::{CommandBroadcaster, Shared, WorkerCommand};
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{self, BufReader, ReadHalf, WriteHalf};
use oakhollow_terms::{
    read_json, DiscoveryList, HandoverMessage, HandoverState, LearnedHealth, MaintenanceChange,
    MaintenanceMarks,
};
use slog::{info, warn, Logger};
use std::os::unix::net::{UnixListener, UnixStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long a process that comes waits for the one before it.
const WITHIN: Duration = Duration::from_millis(300);
/// Lines that may wait for a peer that does not read: each server's mark once.
const MOST_WAITING: usize = MaintenanceMarks::MAX_ENTRIES;
/// The longest line that is taken: a list of many thousands.
const MOST_LINE: u64 = 16 * 1024 * 1024;
/// How long until a socket that could not be made is tried again.
const PAUSE: Duration = Duration::from_millis(500);

type Incoming = BufReader<ReadHalf<Uninterrupted<Async<UnixStream>>>>;
/// The way to one other process, and what is to be said to it.
type Link = (Sender<HandoverMessage>, Receiver<HandoverMessage>);
type Outgoing = WriteHalf<Uninterrupted<Async<UnixStream>>>;

/// The way to other processes of this sidecar, if there are any.
#[derive(Clone, Default)]
pub struct HandoverLinks(Arc<Mutex<Vec<Sender<HandoverMessage>>>>);

impl HandoverLinks {
    fn links(&self) -> std::sync::MutexGuard<'_, Vec<Sender<HandoverMessage>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A new one, which is told all that is said from now on.
    fn link(&self) -> Link {
        let (link, lines) = bounded(MOST_WAITING);
        self.links().push(link.clone());
        (link, lines)
    }

    /// Tells a mark to all but the one that told it.
    pub fn tell(&self, mark: &Mark, from: Option<&Sender<HandoverMessage>>) {
        let Mark { name, out, at } = mark.clone();
        self.say(
            HandoverMessage::MaintenanceChange(MaintenanceChange {
                name,
                in_maintenance: out,
                set_at_us: at.0,
            }),
            from,
        );
    }

    /// This process takes nobody in any more.
    pub fn part(&self) {
        self.say(HandoverMessage::StoppedAccepting, None);
    }

    fn say(&self, line: HandoverMessage, from: Option<&Sender<HandoverMessage>>) {
        let links = self.links();
        let others = links.iter().filter(|link| !from.is_some_and(|from| link.same_channel(from)));
        others.for_each(|link| _ = link.try_send(line.clone()));
    }

    pub fn any(&self) -> bool {
        !self.links().is_empty()
    }
}

/// The process before this one, and what it told.
pub struct Predecessor {
    pub marks: MaintenanceMarks,
    pub rest: HandoverState,
    reads: Incoming,
    writes: Outgoing,
}

/// Asks the process before this one for its snapshot. None if there is none, or nothing that can be used: a start never
/// hangs on it.
pub async fn greet(store: &MaintenanceStore, log: &Logger) -> Option<Predecessor> {
    let path = store.socket();
    if !path.exists() {
        return None;
    }
    let greeted = async {
        let stream = Async::<UnixStream>::connect(&path).await.map_err(|fault| fault.to_string())?;
        let (reads, writes) = io::split(Uninterrupted(stream));
        let mut reads = BufReader::new(reads);
        let line = line(&mut reads, MOST_LINE).await.ok_or("it said nothing")?;
        let (marks, rest) = store.read(line.as_bytes())?;
        Ok(Predecessor { marks, rest, reads, writes })
    };
    let late = async {
        Timer::after(WITHIN).await;
        Err("it said nothing in time".to_string())
    };
    match future::or(greeted, late).await {
        Ok(predecessor) => Some(predecessor),
        Err(fault) => {
            warn!(log, "no snapshot from the process before: {}", fault);
            None
        }
    }
}

/// What the links of one process work on.
pub struct Linking {
    pub peers: HandoverLinks,
    pub registry: SharedRegistry,
    pub orders: CommandBroadcaster,
    pub store: Arc<MaintenanceStore>,
    pub bounds: [SharedLimit; 2],
    pub clock: Clock,
    pub log: Logger,
}

impl Linking {
    /// Follows the process before this one, if there is one, and waits for those that come after.
    pub async fn run(self, before: Option<Predecessor>) {
        let follow = async {
            if let Some(Predecessor { reads, writes, .. }) = before {
                self.link(reads, writes, self.peers.link(), Shared::WithPredecessor).await;
            }
            future::pending::<()>().await
        };
        future::or(follow, self.welcome()).await;
    }

    async fn welcome(&self) {
        let mut failing = false;
        loop {
            // Anew after each: whoever came has put its own socket there, and may be gone without a yes.
            let path = self.store.socket();
            let _ = std::fs::remove_file(&path);
            let listener = match Async::<UnixListener>::bind(&path) {
                Ok(listener) => listener,
                Err(fault) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(self.log, "nobody can take over, trying on: {}: {}", path.display(), fault);
                    }
                    Timer::after(PAUSE).await;
                    continue;
                }
            };
            failing = false;
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(PAUSE).await;
                continue;
            };
            drop(listener);
            let (reads, mut writes) = io::split(Uninterrupted(stream));
            let taught = self.taught().await;
            let (marks, list, link) = self.snapshot();
            let snapshot = self.store.word(&marks, HandoverState { list: Some(list), learned: taught });
            if say(&mut writes, &snapshot).await {
                self.link(BufReader::new(reads), writes, link, Shared::WithSuccessor).await;
            } else {
                self.unlink(&link.0);
            }
        }
    }

    /// What holds now, and a link that is told all that changes from now on: both under one lock, so that no mark falls
    /// between the two.
    fn snapshot(&self) -> (MaintenanceMarks, DiscoveryList, Link) {
        let registry = lock(&self.registry);
        (registry.marks().clone(), registry.list(), self.peers.link())
    }

    fn unlink(&self, link: &Sender<HandoverMessage>) {
        self.peers.links().retain(|other| !other.same_channel(link));
    }

    /// Shares with another process until that is gone.
    async fn link(&self, mut reads: Incoming, mut writes: Outgoing, (link, lines): Link, with: Shared) {
        self.share(with).await;
        let heard = async {
            while let Some(line) = line(&mut reads, MOST_LINE).await {
                match read_json(line.trim().as_bytes()) {
                    // Made a moment ago: guards against a time by the other process's clock.
                    Ok(HandoverMessage::MaintenanceChange(MaintenanceChange {
                        name,
                        in_maintenance: out,
                        ..
                    })) => {
                        self.mark(Mark { name, out, at: self.clock.now() }, &link).await;
                    }
                    // What it still has ends with each answer: guards against doing with half for seconds.
                    Ok(HandoverMessage::StoppedAccepting) => {
                        info!(self.log, "the other process takes nobody in any more");
                        self.orders.send(WorkerCommand::SetSharing(Shared::Alone)).await;
                    }
                    Err(fault) => {
                        return warn!(self.log, "the other process said what makes no sense: {}", fault)
                    }
                }
            }
        };
        let said = async {
            while let Ok(line) = lines.recv().await {
                if !say(&mut writes, &line.to_json()).await {
                    return;
                }
            }
        };
        future::or(heard, said).await;
        self.unlink(&link);
        self.share(Shared::Alone).await;
    }

    /// What a worker's module has learnt; all of them see about the same.
    async fn taught(&self) -> LearnedHealth {
        let (to, learnt) = bounded(1);
        self.orders.send(WorkerCommand::ExportLearned(to)).await;
        within(WITHIN / 3, async { learnt.recv().await.ok() }).await.unwrap_or_default()
    }

    async fn share(&self, with: Shared) {
        info!(self.log, "shares with another process: {:?}", with);
        self.bounds.iter().for_each(|bound| bound.halve(with != Shared::Alone));
        self.orders.send(WorkerCommand::SetSharing(with)).await;
    }

    async fn mark(&self, mark: Mark, from: &Sender<HandoverMessage>) {
        {
            let mut registry = lock(&self.registry);
            registry.set(&mark);
            self.store.submit(registry.marks().clone(), &self.log);
        }
        info!(
            self.log,
            "{} {} by hand, at the other process",
            mark.name,
            if mark.out { "out" } else { "back" }
        );
        self.peers.tell(&mark, Some(from));
        self.orders.send_and_wait(|done| WorkerCommand::ApplyMaintenance(mark, done)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use async_io::block_on;
    use slog::{o, Discard};
    use std::io::Write;
    use std::thread;
    use std::time::Instant;

    /// What a process finds that comes where `says` is all that the one before has to say, and how long that takes.
    fn greeted(name: &str, says: Option<&str>) -> (Option<MaintenanceMarks>, Duration) {
        let folder = std::env::temp_dir().join(format!("oakhollow-peers-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let store =
            MaintenanceStore::at(&folder, "127.0.0.1:70".parse().expect("an address"), Clock::start());
        let listener = std::os::unix::net::UnixListener::bind(store.socket()).expect("a socket");
        let said = says.map(str::to_string);
        // None: it dies and leaves its file behind.
        let other = said.map(|said| {
            thread::spawn(move || {
                let (mut stream, _) = listener.accept().expect("somebody");
                stream.write_all(said.as_bytes()).expect("said");
                thread::sleep(Duration::from_millis(if said.ends_with('!') { 0 } else { 700 }));
            })
        });
        let begun = Instant::now();
        let before = block_on(greet(&store, &Logger::root(Discard, o!())));
        let took = begun.elapsed();
        other.map(thread::JoinHandle::join);
        let _ = std::fs::remove_dir_all(&folder);
        (before.map(|before| before.marks), took)
    }

    #[test]
    fn a_start_never_hangs_on_what_the_process_before_says() {
        let mut marks = MaintenanceMarks::default();
        marks.set("s-1", true, oakhollow::types::Micros(1));
        let whole =
            marks.to_json("127.0.0.1:70".parse().expect("an address"), HandoverState::default(), None);
        let line = |text: &str| format!("{text}\n");
        assert_eq!(greeted("whole", Some(&line(&whole))).0, Some(marks));
        let odd = [
            ("stale", None),
            ("silent", Some(String::new())),
            ("half", Some(whole.clone())),
            ("gone", Some("!".into())),
            ("noise", Some(line("no snapshot"))),
            ("newer", Some(line(&whole.replace("\"version\":1", "\"version\":2")))),
            ("foreign", Some(line(&whole.replace(":70", ":71")))),
        ];
        for (name, says) in odd {
            let (before, took) = greeted(name, says.as_deref());
            assert!(before.is_none() && took < Duration::from_millis(600), "{name}: {before:?}, {took:?}");
        }
    }
}
