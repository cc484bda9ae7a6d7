//! The program's life from start to exit, as named phases of one object.
use crate::decider::Parts;
use crate::http1::door::Door;
use crate::http1::pool::Pool;
use crate::http1::watch::Watch;
use crate::http1::{Decider, Desk, Http1, Names};
use crate::tasks::Tasks;
use crate::timers::{duration, Clock};
use async_channel::{bounded, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::{block_on, Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, Stream, StreamExt};
use oakhollow::types::Micros;
use oakhollow_terms::Start;
use rustix::net;
use slog::{info, warn, Logger};
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long new connections are still taken in after the word to stop: those who send clients here take a
/// moment to notice.
const NOTICE: Duration = Duration::from_millis(600);
/// The platform's word on planned restarts: after the word to stop, the longest that a call may take, yet no more
/// than this, and a moment besides pass before the program may be killed.
const MOST_GRACE: Micros = Micros::millis(3_000);
const GRACE_BESIDES: Micros = Micros::millis(700);
/// How long before that moment the last answer is due.
const MARGIN: Micros = Micros::millis(150);
/// How long a taken address is tried again.
const REBIND: Duration = Duration::from_secs(2);
/// How many connections may wait in the machine's queue; they take none of our descriptors.
const QUEUE: i32 = 4096;
/// How often it is looked whether all have left.
const LOOK: Duration = Duration::from_millis(10);
/// Descriptors that are neither a caller's connection nor a server's.
const OWN_SOCKETS: usize = 24;
/// What one connection may take of the memory at worst: a head, a body and buffers. Copies of these are short-lived.
const CONNECTION_KB: f64 = 96.0;
/// The part of the memory that one line of the list may take: it is held as bytes, as text and as entries.
const LINE_PART: f64 = 1.0 / 32.0;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Phase {
    /// Bound, and nobody sent here yet.
    Starting,
    Serving,
    /// Told to stop: `/ready` says no, whoever still comes or stays is served. Guards against a gap where another
    /// sidecar leaves soon after: its callers may have nobody else.
    Leaving,
    /// Nobody new is taken in; what was taken is finished, each answer ends its connection.
    Finishing,
    Over,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Sign {
    Bound,
    Told,
    /// The file is to be read again.
    Changed,
    /// Those who send clients here have noticed, and half of the time before the program may be killed is gone.
    Spent,
    Empty,
    Overdue,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Effect {
    Open,
    SayNo,
    Reread,
    Shut,
    Nothing,
}

/// What is not listed here changes nothing.
const LIFE: &[(Phase, Sign, Phase, Effect)] = &[
    (Phase::Starting, Sign::Bound, Phase::Serving, Effect::Open),
    (Phase::Serving, Sign::Told, Phase::Leaving, Effect::SayNo),
    (Phase::Serving, Sign::Changed, Phase::Serving, Effect::Reread),
    (Phase::Leaving, Sign::Changed, Phase::Leaving, Effect::Reread),
    (Phase::Leaving, Sign::Spent, Phase::Finishing, Effect::Shut),
    (Phase::Finishing, Sign::Empty, Phase::Over, Effect::Nothing),
    (Phase::Finishing, Sign::Overdue, Phase::Over, Effect::Nothing),
];

/// One sidecar from its start to its end.
struct Program {
    phase: Phase,
    /// When the phase began.
    since: Instant,
    log: Logger,
    tasks: Tasks,
    /// Given up when nobody new is taken in any more.
    listener: Option<Rc<Async<TcpListener>>>,
    welcome: Option<Task<()>>,
    door: Rc<Door>,
    desk: Rc<Desk>,
    /// The longest that any API call may take.
    longest: Duration,
    /// How long after the word to stop the program is sure to live.
    grace: Micros,
    /// Where the list is watched from now on.
    moves: Sender<SocketAddr>,
}

/// What a running sidecar may be told from outside.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Word {
    Stop,
    /// Its file has changed.
    Reread,
}

/// The words that come as signals: SIGTERM and SIGINT to stop, SIGHUP to read the file again.
pub fn signals() -> Result<impl Stream<Item = Word>> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(signals.filter_map(Result::ok).map(|signal| match signal {
        Signal::Hup => Word::Reread,
        _ => Word::Stop,
    }))
}

/// Runs one sidecar until `words` say stop, or end, and then as long as it takes to part in good order. `reread`
/// gives what it is to be started with by now.
pub fn run(
    start: Start, reread: impl Fn() -> std::result::Result<Start, String>, log: Logger,
    words: impl Stream<Item = Word>,
) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::of(&executor);
    block_on(executor.run(async {
        let listener = bind(start.listen).await?;
        Program::build(start, log, tasks, listener)?.live(reread, words).await;
        Ok(())
    }))
}

/// Guards against failing a quick restart: the program before this one may hold the address for a moment more.
async fn bind(listen: SocketAddr) -> Result<Async<TcpListener>> {
    let first = Instant::now();
    loop {
        match Async::<TcpListener>::bind(listen) {
            Err(fault) if fault.kind() == ErrorKind::AddrInUse && first.elapsed() < REBIND => {
                Timer::after(REBIND / 20).await;
            }
            // Guards against callers that are not even let wait, and are lost for a second, when many come at once.
            Ok(listener) => return net::listen(&listener, QUEUE).map(|()| listener).map_err(Into::into),
            Err(fault) => return Err(fault),
        }
    }
}

impl Program {
    fn build(start: Start, log: Logger, tasks: Tasks, listener: Async<TcpListener>) -> Result<Program> {
        let Start { place, limits, known, .. } = start;
        info!(log, "listening on {}", listener.get_ref().local_addr()?; "tier" => &place.tier);
        let (desk, notes) = Desk::new(Clock::start());
        // Half of the connections are for callers: each call of theirs has mostly one hop out.
        let by_memory = (limits.memory_mb * 0.75 * 1024.0 / CONNECTION_KB) as usize;
        let most = (limits.sockets - OWN_SOCKETS).min(by_memory) / 2;
        let pool = Pool::new(tasks.clone(), most, place.connect_within, place.idle_close);
        let (ask, asks) = bounded(1);
        let (moves, moved) = bounded(1);
        let most_line = (limits.memory_mb * 1024.0 * 1024.0 * LINE_PART) as usize;
        let words = (asks, moved);
        let watch = Watch::new(start.discovery, known.index, desk.clone(), words, log.clone(), most_line);
        let parts = Parts {
            protocol: Rc::new(Http1 { pool }),
            desk: desk.clone(),
            tasks: tasks.clone(),
            log: log.clone(),
            ask,
        };
        let decider = Decider::new(&place, start.seed, &known, parts);
        tasks.run(watch.run());
        tasks.run(decider.run(notes));
        let longest = place.workloads.iter().map(|workload| workload.abandon).max().unwrap_or_default();
        let names = Names { workloads: place.workloads, customers: place.customers };
        Ok(Program {
            phase: Phase::Starting,
            since: Instant::now(),
            door: Door::new(desk.clone(), names, tasks.clone(), log.clone(), most),
            listener: Some(Rc::new(listener)),
            welcome: None,
            longest: duration(longest),
            grace: longest.min(MOST_GRACE) + GRACE_BESIDES,
            moves,
            desk,
            log,
            tasks,
        })
    }

    async fn live(
        mut self, reread: impl Fn() -> std::result::Result<Start, String>, words: impl Stream<Item = Word>,
    ) {
        // Held until the end: a word that is late by a phase is heard by nobody, and ends nothing.
        let mut words = Box::pin(words);
        while self.phase != Phase::Over {
            let word = async {
                match words.next().await {
                    Some(Word::Reread) => Sign::Changed,
                    Some(Word::Stop) | None => Sign::Told,
                }
            };
            let sign = match self.phase {
                Phase::Starting => Sign::Bound,
                Phase::Serving => word.await,
                Phase::Leaving => {
                    let spent = async {
                        Timer::at(self.since + NOTICE.max(duration(self.grace.times(0.5)))).await;
                        Sign::Spent
                    };
                    future::or(spent, word).await
                }
                Phase::Finishing if self.door.open() == 0 => Sign::Empty,
                Phase::Finishing if self.since.elapsed() > self.longest => Sign::Overdue,
                Phase::Finishing | Phase::Over => {
                    Timer::after(LOOK).await;
                    continue;
                }
            };
            self.step(sign, &reread).await;
        }
    }

    async fn step(&mut self, sign: Sign, reread: &impl Fn() -> std::result::Result<Start, String>) {
        let row = LIFE.iter().find(|(phase, given, ..)| *phase == self.phase && *given == sign);
        let Some(&(_, _, phase, effect)) = row else { return };
        match effect {
            Effect::Open => {
                let welcome = self.listener.clone().map(|listener| self.door.clone().welcome(listener));
                self.welcome = welcome.and_then(|welcome| self.tasks.spawn(welcome));
                self.door.set_able(true);
            }
            Effect::SayNo => {
                self.door.set_able(false);
                // Guards against a kill that finds an API call without its answer.
                self.door.answer_by(self.desk.clock.now() + (self.grace - MARGIN));
            }
            Effect::Shut => {
                if let Some(welcome) = self.welcome.take() {
                    welcome.cancel().await;
                }
                self.door.close();
                // Dropped at once after: a listener left open would go on accepting for nobody.
                if let Some(listener) = self.listener.take() {
                    self.door.take_rest(&listener);
                }
            }
            Effect::Reread => match reread() {
                Ok(start) => {
                    info!(self.log, "file read again, the list is watched at {}", start.discovery);
                    let _ = self.moves.send(start.discovery).await;
                }
                // Guards against serving by half a file: what held before holds on, whole.
                Err(fault) => warn!(self.log, "file not taken, all stays as it was: {}", fault),
            },
            Effect::Nothing => {}
        }
        if phase == self.phase {
            return;
        }
        let (held, open, after) = (self.desk.held.get(), self.door.open(), self.since.elapsed().as_millis());
        info!(
            self.log,
            "{:?}: {:?} after {} ms, {} calls held, {} connections", phase, sign, after, held, open
        );
        (self.phase, self.since) = (phase, Instant::now());
    }
}
