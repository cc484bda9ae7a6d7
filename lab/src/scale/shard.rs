//! One thread of the rig, and the hollow instances that it carries: a loop over what the machine tells, what is due and what
//! is ordered. Nothing but an order walks over all instances.
use super::catalogue::{Catalogue, EndpointState};
use super::count::{Counts, Said};
use super::link::Became;
use super::simulated::{Awaited, Common, InstanceSpec, SimulatedInstance};
use nanorand::{Rng, WyRand};
use oakhollow::types::Micros;
use oakhollow_accord::{Action, Document, InstanceId, Message};
use rustix::event::epoll::{self, Event, EventData, EventFlags};
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::io::Errno;
use rustix::time::{clock_gettime, ClockId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::Result;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

/// After a link that could not be made, or broke: as a sidecar waits.
const PAUSE: Micros = Micros::millis(100);
/// Later than this a turn of the loop counts as late.
const LATE: Micros = Micros::millis(100);
/// Within this all lists tell the same.
const LISTS: Micros = Micros::millis(1_000);
/// An empty line of a list's watch is due that often.
const QUIET: Micros = Micros::millis(2_000);
const BELL: u64 = u64::MAX;
const BATCH: usize = 256;
const SCRATCH: usize = 256 * 1024;

/// When a run began; all its times are counted from there, the first is not 0.
#[derive(Clone, Copy)]
pub struct Clock(pub Instant);

impl Clock {
    pub fn now(self) -> Micros {
        Micros(1 + self.0.elapsed().as_micros() as u64)
    }
}

/// Processor time of this thread.
fn own_time() -> Micros {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

#[derive(Clone)]
pub enum Order {
    /// All lists tell this of the servers that are marked, each at a moment within a second.
    ListsTell(Arc<Vec<bool>>, EndpointState),
    /// One instance's list alone tells this of one server; it is known by its number here.
    OneListTells(usize, usize, EndpointState),
    /// Everybody in that zone falls silent, or is there again as after a start.
    Lose(usize),
    Return(usize),
    /// Everybody's file says this from now on, or only that instance's.
    Write(Option<usize>, Document),
    /// See [`Status::waiting`].
    Await(Awaited),
    /// Hands out what was counted; the next counts begin with that second.
    Collect(usize, Sender<Counts>),
    /// All orders before this one are done once it is dropped.
    Reached(Sender<()>),
    Stop,
}

/// What a shard shows at any time.
#[derive(Default)]
pub struct Status {
    pub alive: AtomicUsize,
    /// Those that act by a majority's leases.
    pub acting: AtomicUsize,
    /// Those that have acted in the life that they live.
    pub acted: AtomicUsize,
    /// Those that have not heard what is awaited, and when the last one had.
    pub waiting: AtomicUsize,
    pub heard_at: AtomicU64,
    /// Turns of the loop for something due, and those of them that came late.
    pub turns: AtomicU64,
    pub late: AtomicU64,
    pub latest: AtomicU64,
}

pub struct Shard {
    pub status: Arc<Status>,
    orders: Sender<Order>,
    bell: Arc<OwnedFd>,
    thread: Option<JoinHandle<()>>,
}

impl Shard {
    pub fn start(
        born: Vec<InstanceSpec>, common: Common, catalogue: Arc<Catalogue>, keepers: Vec<SocketAddr>,
        clock: Clock, seed: u64,
    ) -> Result<Shard> {
        let (status, (orders, ordered)) = (Arc::new(Status::default()), channel());
        let bell = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &bell, EventData::new_u64(BELL), EventFlags::IN)?;
        let told = vec![EndpointState::default(); catalogue.shape().services * catalogue.shape().servers];
        let mut timers = BinaryHeap::new();
        for (at, one) in born.iter().enumerate() {
            timers.push(Reverse((one.at, at, Due::Start)));
        }
        let inside = Inside {
            epoll,
            hollows: born.into_iter().map(|one| SimulatedInstance::new(one, &common)).collect(),
            counts: Counts::new(keepers.len(), 0),
            common,
            catalogue,
            keepers,
            clock,
            told,
            timers,
            random: WyRand::new_seed(seed),
            tells: Vec::new(),
            status: status.clone(),
            scratch: vec![0; SCRATCH],
        };
        let heard = bell.clone();
        let thread = std::thread::Builder::new().name("hollow".into());
        let thread = Some(thread.spawn(move || inside.run(&ordered, &heard))?);
        Ok(Shard { status, orders, bell, thread })
    }

    pub fn order(&self, order: Order) {
        let _ = self.orders.send(order);
        let _ = rustix::io::write(&self.bell, &1_u64.to_ne_bytes());
    }
}

impl Drop for Shard {
    fn drop(&mut self) {
        self.order(Order::Stop);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Due {
    Start,
    Dial(usize),
    /// The member's own time.
    Ask,
    /// Its list tells what was ordered with that number.
    Tell(usize),
    /// Its list says that it is there.
    Quiet,
}

struct Inside {
    epoll: OwnedFd,
    hollows: Vec<SimulatedInstance>,
    common: Common,
    catalogue: Arc<Catalogue>,
    keepers: Vec<SocketAddr>,
    clock: Clock,
    /// What lists say of each server.
    told: Vec<EndpointState>,
    timers: BinaryHeap<Reverse<(Micros, usize, Due)>>,
    random: WyRand,
    /// What lists were ordered to tell, by number.
    tells: Vec<(Arc<Vec<bool>>, EndpointState)>,
    counts: Counts,
    status: Arc<Status>,
    scratch: Vec<u8>,
}

impl Inside {
    fn run(mut self, orders: &Receiver<Order>, bell: &OwnedFd) {
        let mut events = [const { MaybeUninit::<Event>::uninit() }; BATCH];
        loop {
            let now = self.clock.now();
            let wait = self.timers.peek().map(|Reverse((at, ..))| *at - now);
            let wait = wait.map(|wait| Timespec {
                tv_sec: (wait.0 / 1_000_000) as _,
                tv_nsec: (wait.0 % 1_000_000 * 1_000) as _,
            });
            let told = match epoll::wait(&self.epoll, &mut events, wait.as_ref()) {
                Ok((told, _)) => told,
                Err(Errno::INTR) => continue,
                Err(_) => return,
            };
            for event in told {
                let (flags, token) = (event.flags, event.data.u64());
                match token {
                    BELL => _ = rustix::io::read(bell, &mut [0; 8]),
                    _ => self.told(token, flags),
                }
            }
            while let Ok(order) = orders.try_recv() {
                if matches!(order, Order::Stop) {
                    return;
                }
                self.ordered(order);
            }
            self.due();
        }
    }

    fn token(&self, at: usize, keeper: usize) -> u64 {
        (at * self.keepers.len() + keeper) as u64
    }

    fn second(&self, now: Micros) -> usize {
        now.secs() as usize
    }

    /// The machine has told of a link.
    fn told(&mut self, token: u64, flags: EventFlags) {
        let (at, keeper) = (token as usize / self.keepers.len(), token as usize % self.keepers.len());
        let (now, mut said, mut words) = (self.clock.now(), Said::default(), Vec::new());
        let hollow = &mut self.hollows[at];
        if !hollow.alive {
            return;
        }
        let link = &mut hollow.links[keeper];
        let mut became = link.told(flags, &hollow.greeting);
        if became != Became::Broken && link.is_up() {
            became = link.write(&self.epoll, token, &mut said);
        }
        if became != Became::Broken && flags.intersects(EventFlags::IN | EventFlags::ERR | EventFlags::HUP) {
            became = link.read(&mut self.scratch, &mut said, &mut words);
        }
        self.counts.said(now.secs() as usize, keeper, said, &mut hollow.running);
        for word in words {
            let now = self.clock.now();
            self.granted(at, keeper, now, &word);
            self.works(at, |hollow, actions| {
                hollow.member.handle_message(now, InstanceId(keeper as u32), word, actions);
            });
        }
        if became == Became::Broken {
            self.counts.broken += 1;
            self.hollows[at].links[keeper].close();
            self.timers.push(Reverse((now + PAUSE, at, Due::Dial(keeper))));
        }
    }

    /// Has the member of one work on something, counts its time, and carries out what comes of it.
    fn works(&mut self, at: usize, work: impl FnOnce(&mut SimulatedInstance, &mut Vec<Action>)) {
        let (began, mut actions) = (own_time(), Vec::new());
        work(&mut self.hollows[at], &mut actions);
        self.counts.work_us += (own_time() - began).0;
        self.carry_out(at, actions);
    }

    /// Sees how long a grant took.
    fn granted(&mut self, at: usize, keeper: usize, now: Micros, word: &Message) {
        let Message::LeaseGrant { sequence: turn, .. } = word else { return };
        let (asked, since) = self.hollows[at].asked[keeper];
        if asked == *turn {
            self.counts.answers.saturating_record((now - since).0.max(1));
        }
    }

    fn carry_out(&mut self, at: usize, actions: Vec<Action>) {
        let (now, mut looks) = (self.clock.now(), false);
        for action in actions {
            match action {
                Action::Send(keeper, word) => self.say(at, keeper.0 as usize, now, &word),
                Action::ApplyLists | Action::ApplyDocuments => looks = true,
                // "version holds" comes as one.
                Action::Log(_) => looks = true,
                Action::ApplyMaintenance { .. } => {}
            }
        }
        for keeper in 0..self.keepers.len() {
            self.write(at, keeper, now);
        }
        let hollow = &mut self.hollows[at];
        let acted = hollow.acts;
        hollow.look(now, &mut self.counts);
        if hollow.acts && !std::mem::replace(&mut hollow.acted, true) {
            self.status.acted.fetch_add(1, Ordering::Relaxed);
        }
        match (acted, hollow.acts) {
            (false, true) => _ = self.status.acting.fetch_add(1, Ordering::Relaxed),
            (true, false) => _ = self.status.acting.fetch_sub(1, Ordering::Relaxed),
            _ => {}
        }
        if looks && hollow.waits() && hollow.has_heard(&self.catalogue) {
            self.status.heard_at.fetch_max(now.0, Ordering::Relaxed);
            self.status.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        let due = self.hollows[at].member.next_wakeup();
        if due < self.hollows[at].armed {
            self.hollows[at].armed = due;
            self.timers.push(Reverse((due, at, Due::Ask)));
        }
    }

    fn say(&mut self, at: usize, keeper: usize, now: Micros, word: &Message) {
        let hollow = &mut self.hollows[at];
        if let Message::LeaseRequest { sequence: turn, .. } = word {
            hollow.asked[keeper] = (*turn, now);
        }
        let link = &mut hollow.links[keeper];
        if link.is_up() && !link.say(word) {
            self.counts.lost += 1;
        }
        self.counts.longest = self.counts.longest.max(link.waiting());
    }

    fn write(&mut self, at: usize, keeper: usize, now: Micros) {
        let (token, second) = (self.token(at, keeper), self.second(now));
        let (hollow, mut said) = (&mut self.hollows[at], Said::default());
        let link = &mut hollow.links[keeper];
        // Where it broke the machine tells of it as well.
        if link.waiting() > 0 && link.write(&self.epoll, token, &mut said) == Became::Same {
            self.counts.said(second, keeper, said, &mut hollow.running);
        }
    }

    /// Does what is due, and no more at a time than leaves what the machine tells its turn.
    fn due(&mut self) {
        for _ in 0..BATCH {
            let now = self.clock.now();
            let Some(Reverse((due, at, what))) = self.timers.peek().copied().filter(|next| next.0 .0 <= now)
            else {
                return;
            };
            self.timers.pop();
            let late = now - due;
            self.status.turns.fetch_add(1, Ordering::Relaxed);
            self.status.late.fetch_add(u64::from(late > LATE), Ordering::Relaxed);
            self.status.latest.fetch_max(late.0, Ordering::Relaxed);
            match what {
                Due::Start => self.start(at, now),
                Due::Dial(keeper) => self.dial(at, keeper, now),
                Due::Ask => self.woke(at, now),
                Due::Tell(number) => {
                    let (marked, told) = self.tells[number].clone();
                    self.list_tells(at, now, &marked, told);
                }
                Due::Quiet if self.hollows[at].quiet_at == due => {
                    self.works(at, |hollow, actions| hollow.list_is_quiet(now, actions));
                    self.quiet(at, now);
                }
                // Of an earlier life.
                Due::Quiet => {}
            }
        }
    }

    fn start(&mut self, at: usize, now: Micros) {
        let actions = self.hollows[at].start(now, &self.common, &self.catalogue, &self.told);
        self.status.alive.fetch_add(1, Ordering::Relaxed);
        self.carry_out(at, actions);
        self.quiet(at, now);
        (0..self.keepers.len()).for_each(|keeper| self.dial(at, keeper, now));
    }

    fn quiet(&mut self, at: usize, since: Micros) {
        self.hollows[at].quiet_at = since + QUIET;
        self.timers.push(Reverse((since + QUIET, at, Due::Quiet)));
    }

    fn dial(&mut self, at: usize, keeper: usize, now: Micros) {
        let (token, hollow) = (self.token(at, keeper), &mut self.hollows[at]);
        // Guards against a link that broke in an earlier life.
        if !hollow.alive || !hollow.links[keeper].is_down() {
            return;
        }
        if hollow.links[keeper].dial(&self.epoll, token, self.keepers[keeper]).is_err() {
            self.timers.push(Reverse((now + PAUSE, at, Due::Dial(keeper))));
        }
    }

    fn woke(&mut self, at: usize, now: Micros) {
        self.hollows[at].armed = Micros::NEVER;
        if self.hollows[at].alive {
            self.works(at, |hollow, actions| hollow.member.handle_timer(now, actions));
        }
    }

    fn list_tells(&mut self, at: usize, now: Micros, marked: &[bool], told: EndpointState) {
        if self.hollows[at].alive {
            let catalogue = self.catalogue.clone();
            self.works(at, |hollow, actions| hollow.list_tells(now, &catalogue, marked, told, actions));
        }
    }

    fn ordered(&mut self, order: Order) {
        let now = self.clock.now();
        match order {
            Order::ListsTell(marked, told) => {
                let servers = self.told.iter_mut().zip(marked.iter());
                servers.filter(|(_, marked)| **marked).for_each(|(known, _)| *known = told);
                self.tells.push((marked, told));
                for at in 0..self.hollows.len() {
                    let moment = now + Micros(self.random.generate_range(0..LISTS.0));
                    self.timers.push(Reverse((moment, at, Due::Tell(self.tells.len() - 1))));
                }
            }
            Order::OneListTells(at, server, told) => {
                let marked: Vec<bool> = (0..self.told.len()).map(|other| other == server).collect();
                self.list_tells(at, now, &marked, told);
            }
            Order::Lose(zone) => {
                for hollow in self.hollows.iter_mut().filter(|one| one.alive && one.born.zone == zone) {
                    self.status.alive.fetch_sub(1, Ordering::Relaxed);
                    self.status.acting.fetch_sub(usize::from(hollow.acts), Ordering::Relaxed);
                    self.status.acted.fetch_sub(usize::from(hollow.acted), Ordering::Relaxed);
                    self.status.waiting.fetch_sub(usize::from(hollow.waits()), Ordering::Relaxed);
                    hollow.quiet_at = Micros::NEVER;
                    hollow.fall_silent(now, &self.epoll, &mut self.counts);
                }
            }
            Order::Return(zone) => {
                let gone = |at: &usize| !self.hollows[*at].alive && self.hollows[*at].born.zone == zone;
                for at in (0..self.hollows.len()).filter(gone).collect::<Vec<_>>() {
                    let moment = now + Micros(self.random.generate_range(0..LISTS.0));
                    self.timers.push(Reverse((moment, at, Due::Start)));
                }
            }
            Order::Write(who, document) => {
                self.common.document = document.clone();
                for at in who.map_or(0..self.hollows.len(), |who| who..who + 1) {
                    let document = document.clone();
                    if self.hollows[at].alive {
                        self.works(at, |hollow, actions| {
                            hollow.member.propose(now, document, actions);
                        });
                    }
                }
            }
            Order::Await(awaited) => {
                let mut waiting = 0;
                for hollow in self.hollows.iter_mut().filter(|one| one.alive) {
                    waiting += usize::from(hollow.awaits(&awaited, &self.catalogue));
                }
                self.status.waiting.store(waiting, Ordering::Relaxed);
                self.status.heard_at.store(now.0, Ordering::Relaxed);
            }
            Order::Collect(from, to) => {
                for hollow in &mut self.hollows {
                    hollow.unsure_until(now, &mut self.counts);
                    self.counts.over(&mut hollow.running);
                }
                let fresh = Counts::new(self.keepers.len(), from);
                let _ = to.send(std::mem::replace(&mut self.counts, fresh));
            }
            Order::Reached(_) | Order::Stop => {}
        }
    }
}
