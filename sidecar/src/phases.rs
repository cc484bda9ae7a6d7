//! The program's life from start to exit, as named phases of one object.
use crate::decider::Parts;
use crate::http1::callers::Door;
use crate::http1::pool::Pool;
use crate::http1::watch::Watch;
use crate::http1::{Desk, Http1, Http1Decider};
use crate::tasks::Tasks;
use crate::timers::{duration, Clock};
use async_channel::bounded;
use async_executor::{LocalExecutor, Task};
use async_io::{block_on, Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use oakhollow_terms::Start;
use slog::{info, Logger};
use std::future::Future;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long new connections are still taken in after the word to stop: those who send clients here take a
/// moment to notice.
const NOTICE: Duration = Duration::from_millis(600);
/// How long a taken address is tried again.
const REBIND: Duration = Duration::from_secs(2);
/// Descriptors that are neither a caller's connection nor a server's.
const OWN_SOCKETS: usize = 24;
/// What one connection may take of the memory at worst, of its bodies, heads and buffers.
const CONNECTION_KB: f64 = 160.0;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Bound, and nobody sent here yet.
    Starting,
    Serving,
    /// Told to stop: `/ready` says no, whoever still comes is served.
    Leaving,
    /// Nobody new is taken in; what was taken is finished.
    Finishing,
    Over,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Sign {
    Bound,
    Told,
    Noticed,
    Empty,
    Overdue,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Effect {
    Open,
    SayNo,
    Shut,
    Nothing,
}

/// What is not listed here changes nothing.
const LIFE: &[(Phase, Sign, Phase, Effect)] = &[
    (Phase::Starting, Sign::Bound, Phase::Serving, Effect::Open),
    (Phase::Serving, Sign::Told, Phase::Leaving, Effect::SayNo),
    (Phase::Leaving, Sign::Noticed, Phase::Finishing, Effect::Shut),
    (Phase::Finishing, Sign::Empty, Phase::Over, Effect::Nothing),
    (Phase::Finishing, Sign::Overdue, Phase::Over, Effect::Nothing),
];

/// One sidecar from its start to its end.
pub struct Program {
    phase: Phase,
    start: Start,
    log: Logger,
    tasks: Tasks,
    listener: Rc<Async<TcpListener>>,
    door: Rc<Door>,
    welcome: Option<Task<()>>,
    told: Instant,
}

/// Comes to an end when the process gets SIGTERM or SIGINT.
pub fn told_to_stop() -> Result<impl Future<Output = ()>> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    Ok(async move { drop(signals.next().await) })
}

/// Runs one sidecar until `stop` comes to its end, and then as long as it takes to part in good order.
pub fn run(start: Start, log: Logger, stop: impl Future<Output = ()>) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let tasks = Tasks::of(&executor);
    block_on(executor.run(async {
        let listener = bind(start.listen).await?;
        Program::build(start, log, tasks, listener)?.live(stop).await;
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
            bound => return bound,
        }
    }
}

impl Program {
    fn build(start: Start, log: Logger, tasks: Tasks, listener: Async<TcpListener>) -> Result<Program> {
        let place = Rc::new(start.place.clone());
        let (desk, notes) = Desk::new(Clock::start());
        // Half of the connections are for callers: each call of theirs has mostly one hop out.
        let by_memory = (start.limits.memory_mb * 0.75 * 1024.0 / CONNECTION_KB) as usize;
        let most = (start.limits.sockets - OWN_SOCKETS).min(by_memory.max(16)) / 2;
        let pool = Pool::new(tasks.clone(), most, place.connect_within, place.idle_close);
        let (ask, asks) = bounded(1);
        let parts = Parts {
            protocol: Rc::new(Http1 { pool }),
            desk: desk.clone(),
            tasks: tasks.clone(),
            log: log.clone(),
            ask,
        };
        let (discovery, index, watch_log) = (start.discovery, start.known.index, log.clone());
        let watch = Watch { discovery, desk: desk.clone(), asks, index, log: watch_log };
        tasks.run(watch.run());
        let decider = Http1Decider::new(&place, start.seed, &start.known, parts);
        tasks.run(decider.run(notes));
        info!(log, "listening on {}", listener.get_ref().local_addr()?; "tier" => &place.tier);
        let listener = Rc::new(listener);
        let door = Door::new(desk, place, tasks.clone(), log.clone(), most);
        let (phase, welcome, told) = (Phase::Starting, None, Instant::now());
        Ok(Program { phase, start, log, tasks, listener, door, welcome, told })
    }

    async fn live(mut self, stop: impl Future<Output = ()>) {
        let mut stop = Box::pin(stop);
        while self.phase != Phase::Over {
            let sign = match self.phase {
                Phase::Starting => Sign::Bound,
                Phase::Serving => {
                    (&mut stop).await;
                    self.told = Instant::now();
                    Sign::Told
                }
                Phase::Leaving => {
                    Timer::at(self.told + NOTICE).await;
                    Sign::Noticed
                }
                Phase::Finishing if self.door.open() == 0 => Sign::Empty,
                Phase::Finishing if self.told.elapsed() > NOTICE + self.longest() => Sign::Overdue,
                Phase::Finishing | Phase::Over => {
                    Timer::after(Duration::from_millis(10)).await;
                    continue;
                }
            };
            self.step(sign);
        }
    }

    /// The longest that any API call may take.
    fn longest(&self) -> Duration {
        duration(self.start.place.workloads.iter().map(|workload| workload.abandon).max().unwrap_or_default())
    }

    fn step(&mut self, sign: Sign) {
        let row = LIFE.iter().find(|(phase, given, ..)| *phase == self.phase && *given == sign);
        let Some(&(_, _, phase, effect)) = row else { return };
        match effect {
            Effect::Open => {
                let (door, listener) = (self.door.clone(), self.listener.clone());
                self.welcome = self.tasks.spawn(async move { door.welcome(&listener).await });
                self.door.set_able(true);
            }
            Effect::SayNo => self.door.set_able(false),
            Effect::Shut => {
                self.welcome = None;
                self.door.close();
                self.door.take_rest(&self.listener);
            }
            Effect::Nothing => {}
        }
        self.phase = phase;
        let (held, open, after) = (self.door.held(), self.door.open(), self.told.elapsed().as_millis());
        info!(
            self.log,
            "{:?}: {:?} after {} ms, {} calls held, {} connections", phase, sign, after, held, open
        );
    }
}
