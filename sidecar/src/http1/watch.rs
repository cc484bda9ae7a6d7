//! The watch of the list: followed while the module has asked for it, told to the module as it comes.
use super::chunks::Chunks;
use super::head::{Framing, Head};
use super::list_call::{LineArrival, Progress, Stage};
use crate::accord::Accord;
use crate::endpoint_registry::{lock, Shared};
use crate::start_time::Heard;
use crate::uninterrupted::Uninterrupted;
use crate::workers::{Order, Orders};
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use oakhollow::types::ListKind;
use oakhollow::Chance;
use oakhollow_terms::{read, List, Start, Version};
use slog::{info, Logger};
use std::convert::Infallible;
use std::future::Future;
use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Discovery sends an empty line every 2 s while nothing changes: two of them have failed to come. What a silent watch
/// misses counts as told 6 s after it fell silent, so the second that is left is for opening it anew. It is also the longest
/// that a call may take to its first line, connection and all: what it keeps us from hearing counts as told by then too.
const SILENCE: Duration = Duration::from_millis(5_000);
/// A call that tells nothing is given up between this and that, by lot: guards against a whole fleet, started or cut off in
/// one moment, that calls again in one. Discovery answers, or turns away, long before.
const LEAST_SILENCE: Duration = Duration::from_millis(4_000);
/// How long a pause within a line may be that takes longer than that.
const FLOWS: Duration = Duration::from_millis(500);
/// A call that told nothing for the longest back-off has been a pause itself. Guards against the sum of both, which may
/// come to more than what is missed counts as told after.
const PAUSE: Duration = Duration::from_micros(Start::MOST_BETWEEN_ASKS.0);
/// The slowest pace of a line, in bytes a second; one that comes more slowly is as good as silent.
const SLOWEST: f64 = 48_000.0;

pub struct Watch {
    discovery: SocketAddr,
    /// The version of the list that was told last.
    told: Version,
    /// All workers.
    told_to: Orders,
    /// What the program knows by name.
    registry: Shared,
    /// The other instances, where instances agree.
    accord: Option<Accord>,
    /// One for each time that the module asks.
    asks: Receiver<()>,
    /// Where discovery is from now on.
    moves: Receiver<SocketAddr>,
    log: Logger,
    /// The longest line that is taken, in bytes.
    most_line: usize,
    /// When the last whole line came, or the call began that has told none.
    since: Instant,
    /// The call has told something.
    heard: bool,
    /// When this discovery last told something, or that nothing has changed.
    up_to_date: Option<Instant>,
    chance: Chance,
    /// How far the call under way has come.
    progress: Progress,
}

/// Why a watch is begun, or no more.
enum Turn {
    Asked,
    Moved(SocketAddr),
    Ended(String),
    /// It is opened anew at once.
    Stale(String),
    Over,
}

/// Why a watch is followed no longer.
enum Break {
    Failed(String),
    /// For so long.
    Silent(Duration),
}

impl From<&str> for Break {
    fn from(why: &str) -> Break {
        Break::Failed(why.into())
    }
}

impl From<String> for Break {
    fn from(why: String) -> Break {
        Break::Failed(why)
    }
}

/// None if it takes longer than until then.
async fn by<T>(
    then: Instant, work: impl Future<Output = Result<T>>,
) -> std::result::Result<Option<T>, Break> {
    let late = async {
        Timer::at(then).await;
        Ok(None)
    };
    let work = async { work.await.map(Some) };
    future::or(work, late).await.map_err(|fault| Break::Failed(fault.to_string()))
}

impl Watch {
    pub fn new(
        discovery: SocketAddr, told: Version, told_to: (Orders, Shared, Option<Accord>),
        words: (Receiver<()>, Receiver<SocketAddr>), log: Logger, most_line: usize,
    ) -> Watch {
        let (told_to, registry, accord) = told_to;
        let (asks, moves) = words;
        Watch {
            discovery,
            told,
            told_to,
            registry,
            accord,
            asks,
            moves,
            log,
            most_line,
            since: Instant::now(),
            heard: false,
            up_to_date: None,
            chance: Chance::default(),
            progress: Progress::begun_at(Instant::now()),
        }
    }

    /// With a seed of its own, by which its calls are not given up when others' are.
    pub fn seeded(self, seed: u64) -> Watch {
        Watch { chance: Chance::new(seed), ..self }
    }

    pub async fn run(mut self) {
        let (asks, moves) = (self.asks.clone(), self.moves.clone());
        let moved = || async { moves.recv().await.map_or(Turn::Over, Turn::Moved) };
        let word = || {
            let asked = async { asks.recv().await.map_or(Turn::Over, |()| Turn::Asked) };
            future::or(asked, moved())
        };
        let mut turn = word().await;
        loop {
            match turn {
                Turn::Over => return,
                Turn::Asked => {}
                // Guards against a wait before it is opened anew, in which what it misses comes to count as told.
                Turn::Stale(why) => {
                    info!(self.log, "watch of the list {}, opened anew: {}", why, self.progress);
                    if !self.heard {
                        self.fails().await;
                    }
                }
                // Guards against following another service by the first one's versions: the whole list is asked for.
                Turn::Moved(to) => {
                    (self.discovery, self.told, self.up_to_date) = (to, Version::default(), None);
                }
                Turn::Ended(why) => {
                    info!(self.log, "watch of the list ended: {}: {}", why, self.progress);
                    // What was asked while a watch was under way has had its answer. Before the module hears: guards
                    // against losing the ask with which it answers this.
                    while asks.try_recv().is_ok() {}
                    self.told_to.tell(Order::Listed(ListKind::Failed, Arc::default(), Heard::first())).await;
                    self.fails().await;
                    turn = word().await;
                    continue;
                }
            }
            let ended = async {
                match self.follow().await {
                    Err(Break::Failed(why)) if self.since.elapsed() >= PAUSE => {
                        // By lot, within the time that is left: guards against all that a discovery holds unanswered, and
                        // resets when it is back.
                        let most = if self.heard { SILENCE } else { SILENCE + FLOWS };
                        let left = most.saturating_sub(self.since.elapsed());
                        Timer::after(left.mul_f64(self.chance.draw())).await;
                        Turn::Stale(why)
                    }
                    Err(Break::Failed(why)) => Turn::Ended(why),
                    Err(Break::Silent(length)) => {
                        Turn::Stale(format!("silent for {} ms", length.as_millis()))
                    }
                    Ok(never) => match never {},
                }
            };
            // An ask meanwhile changes nothing, since each watch ends by itself: guards against giving one up, again and
            // again, that discovery has not come to yet.
            turn = future::or(moved(), ended).await;
            self.note_watch(false);
        }
    }

    /// Whether the watch is open, for whoever asks at the console.
    fn note_watch(&self, open: bool) {
        let mut registry = lock(&self.registry);
        registry.watch_open = open;
        if open {
            registry.told = self.up_to_date;
        }
    }

    /// Discovery has been called, and has told nothing.
    async fn fails(&self) {
        lock(&self.registry).settled = true;
        if let Some(accord) = &self.accord {
            accord.list_fails().await;
        }
    }

    async fn follow(&mut self) -> std::result::Result<Infallible, Break> {
        (self.since, self.heard) = (Instant::now(), false);
        self.progress = Progress::begun_at(self.since);
        info!(self.log, "list asked for at {} from version {}", self.discovery, self.told.0);
        let lot = (SILENCE - LEAST_SILENCE).mul_f64(self.chance.draw());
        let mut silence = LEAST_SILENCE + lot;
        let due = self.since + silence;
        let silent = || Break::Silent(silence);
        let stream = by(due, Async::<TcpStream>::connect(self.discovery)).await?.ok_or_else(silent)?;
        self.progress.reach(Stage::Asking);
        let ask = format!(
            "GET /v1/endpoints?stream=1&index={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.told.0, self.discovery
        );
        by(due, Uninterrupted(&stream).write_all(ask.as_bytes())).await?.ok_or_else(silent)?;
        self.progress.reach(Stage::Head);
        let (mut bytes, mut lines, mut chunks, mut framing) =
            (Vec::new(), Vec::new(), Chunks::default(), None);
        let mut buffer = vec![0; 16 * 1024];
        let (mut last, mut came) = (self.since, 0);
        loop {
            // Counted from the last whole line: guards against bytes that drip, by which nothing is ever told. A long line has
            // longer, but only while it flows: guards against waiting on for one that was cut off.
            let due = self.since + silence;
            let most = due + Duration::from_secs_f64(came as f64 / SLOWEST);
            let read = by(most.min(due.max(last + FLOWS)), Uninterrupted(&stream).read(&mut buffer)).await?;
            let count = read.ok_or(Break::Silent(silence))?;
            (last, came) = (Instant::now(), came + count);
            self.progress.received(count, last);
            if count == 0 {
                return Err("discovery closed the connection".into());
            }
            bytes.extend_from_slice(&buffer[..count]);
            // An interim answer may come in one piece with what follows it.
            while framing.is_none() {
                let Some((head, taken)) = Head::parse(&bytes).map_err(|fault| fault.why)? else { break };
                bytes.drain(..taken);
                match head.status().map_err(|fault| fault.why)? {
                    100..=199 => {}
                    200 => {
                        framing = Some(head.answer_framing().map_err(|fault| fault.why)?);
                        self.progress.reach(Stage::FirstLine);
                    }
                    other => return Err(format!("discovery answered {other}").into()),
                }
            }
            match framing {
                None => continue,
                Some(Framing::Chunked) => {
                    let fed = chunks.feed(&bytes, &mut lines, self.most_line).map_err(|fault| fault.why)?;
                    bytes.drain(..fed);
                }
                _ => lines.append(&mut bytes),
            }
            while let Some(end) = lines.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = lines.drain(..=end).collect();
                let arrival = self.progress.line_ended(Instant::now());
                self.tell(line.trim_ascii(), !self.heard, arrival).await?;
                (self.since, self.heard, came) = (Instant::now(), true, 0);
                self.up_to_date = Some(self.since);
                self.note_watch(true);
                silence = SILENCE;
            }
            if chunks.done() {
                return Err("discovery ended the watch".into());
            }
            if lines.len() >= self.most_line {
                return Err("a line without an end".into());
            }
        }
    }

    async fn tell(
        &mut self, line: &[u8], first: bool, arrival: LineArrival,
    ) -> std::result::Result<(), String> {
        let list: std::result::Result<List, String> = match line {
            // Guards against asking again and again where nothing has changed: the module waits for an answer.
            b"" if first => Ok(List { index: self.told, ..List::default() }),
            b"" => {
                if let Some(accord) = &self.accord {
                    accord.listed(Arc::new(List { index: self.told, ..List::default() })).await;
                }
                return Ok(());
            }
            _ => read(line),
        };
        let list = list.map_err(|fault| {
            // What a line that can't be read would have told is unknown: the next watch starts from the whole list.
            self.told = Version::default();
            info!(self.log, "a line of the list makes no sense: {}", fault);
            fault
        })?;
        {
            let mut registry = lock(&self.registry);
            registry.take(&list);
            registry.settled = true;
        }
        let kind = if list.snapshot { ListKind::Whole } else { ListKind::Changes };
        let entries = list.endpoints.len();
        info!(self.log, "list heard: version {}, {:?}, {} entries, {}", list.index.0, kind, entries, arrival);
        let (index, list) = (list.index, Arc::new(list));
        let heard = Heard { at: Instant::now(), complete_until: self.up_to_date };
        let before = match &self.accord {
            Some(accord) => accord.listed_before(&list).await,
            None => false,
        };
        self.told_to.tell(Order::Listed(kind, list.clone(), heard)).await;
        if let Some(accord) = self.accord.as_ref().filter(|_| !before) {
            accord.listed(list).await;
        }
        info!(
            self.log,
            "list passed on: version {}, {} ms after it came",
            index.0,
            heard.at.elapsed().as_millis()
        );
        // Not before all have been told: guards against a change that nobody asks for any more if this is given up between.
        self.told = index;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::endpoint_registry::EndpointRegistry;
    use async_channel::bounded;
    use oakhollow_terms::Marks;
    use slog::{o, Discard};
    use std::pin::pin;

    fn watch(
        at: SocketAddr, workers: Vec<async_channel::Sender<Order>>,
        words: (Receiver<()>, Receiver<SocketAddr>),
    ) -> Watch {
        let registry: Shared =
            Arc::new(std::sync::Mutex::new(EndpointRegistry::new(&List::default(), Marks::default())));
        let told_to = (Orders::of(workers), registry, None);
        Watch::new(at, Version(41), told_to, words, Logger::root(Discard, o!()), 1 << 20)
    }

    #[test]
    fn what_the_module_asks_while_the_end_of_a_watch_is_told_is_not_lost() {
        let nobody = std::net::TcpListener::bind("127.0.0.1:0").and_then(|one| one.local_addr());
        let ((ask, asks), (_moves, moves)) = (bounded(1), bounded(1));
        let ((sender, first), (last, others)) = (bounded(1), bounded(1));
        let mut watch = pin!(watch(nobody.expect("a port"), vec![sender, last.clone()], (asks, moves)).run());
        // Another worker's queue is full, so that the end is told to the first, who asks, and not yet to all.
        last.try_send(Order::Look).expect("room");
        let mut fails = |queue: &Receiver<Order>| {
            let told = async { matches!(queue.recv().await, Ok(Order::Listed(ListKind::Failed, ..))) };
            let over = async {
                (&mut watch).await;
                false
            };
            let late = async {
                Timer::after(Duration::from_secs(10)).await;
                false
            };
            async_io::block_on(future::or(told, future::or(over, late)))
        };
        ask.try_send(()).expect("room");
        assert!(fails(&first));
        ask.try_send(()).expect("room");
        assert!(matches!(others.try_recv(), Ok(Order::Look)));
        assert!(fails(&others) && fails(&first));
    }

    #[test]
    fn a_change_that_was_given_up_while_it_was_told_is_asked_for_again() {
        let (sender, orders) = bounded(1);
        let (asks, moves) = (bounded(1).1, bounded(1).1);
        let at = "127.0.0.1:1".parse().expect("an address");
        let mut watch = watch(at, vec![sender.clone()], (asks, moves));
        let line = br#"{"index":42,"snapshot":false,"endpoints":[]}"#;
        let arrival = Progress::begun_at(Instant::now()).line_ended(Instant::now());
        // The worker's queue is full, so that telling it waits, and meanwhile the watch is moved.
        sender.try_send(Order::Look).expect("room");
        let given_up = future::block_on(future::poll_once(watch.tell(line, true, arrival)));
        assert!(given_up.is_none() && watch.told == Version(41), "{:?}", watch.told);
        orders.try_recv().expect("the one before");
        assert!(future::block_on(watch.tell(line, true, arrival)).is_ok() && watch.told == Version(42));
        assert!(matches!(orders.try_recv(), Ok(Order::Listed(ListKind::Changes, ..))));
    }
}
