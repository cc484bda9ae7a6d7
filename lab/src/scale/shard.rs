//! One thread that runs a share of the simulated instances, in a loop over epoll events, timers and commands. Only
//! commands visit all instances.
use super::catalogue::{Catalogue, EndpointState};
use super::count::{Counts, MessageCounts};
use super::link::LinkChange;
use super::simulated::{Awaited, InstanceSpec, SharedConfig, SimulatedInstance};
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

/// How long an instance waits before it opens a broken link again, as a sidecar does.
const RECONNECT_DELAY: Micros = Micros::millis(100);
/// A timer that fires later than this counts as late.
const LATE: Micros = Micros::millis(100);
/// Within what time all lists have a change.
const LIST_SPREAD: Micros = Micros::millis(1_000);
/// How often a list without changes sends an empty line.
const LIST_HEARTBEAT: Micros = Micros::millis(2_000);
/// The epoll token of the event that announces commands.
const COMMAND_TOKEN: u64 = u64::MAX;
/// How many epoll events or timers are handled at a time.
const BATCH: usize = 256;
/// The bytes of the buffer for reads.
const SCRATCH: usize = 256 * 1024;

/// The beginning of a run. Times count from 1 microsecond, since 0 means no time.
#[derive(Clone, Copy)]
pub struct Clock(pub Instant);

impl Clock {
    /// The time since the beginning of the run.
    pub fn now(self) -> Micros {
        Micros(1 + self.0.elapsed().as_micros() as u64)
    }
}

/// The processor time of this thread.
fn own_time() -> Micros {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// A command to a shard.
#[derive(Clone)]
pub enum ShardCommand {
    /// Gives the marked servers this state in all lists, in each at a random moment within a second.
    SetInAllLists(Arc<Vec<bool>>, EndpointState),
    /// Gives a server this state in the list of one instance, which is named by its number in this shard.
    SetInOneList(usize, usize, EndpointState),
    /// Stops all instances in a zone.
    StopZone(usize),
    /// Starts them again.
    StartZone(usize),
    /// Gives one instance new settings, or all of them.
    WriteSettings(Option<usize>, Document),
    /// Begins to await something; see [`Status::waiting`].
    Await(Awaited),
    /// Sends the counts; the next counts begin with that second.
    Collect(usize, Sender<Counts>),
    /// Is dropped once all commands before it have been carried out.
    Barrier(Sender<()>),
    /// Ends the thread.
    Stop,
}

/// The state of a shard, which can be read at any time.
#[derive(Default)]
pub struct Status {
    /// How many instances run.
    pub alive: AtomicUsize,
    /// How many instances hold leases from a majority.
    pub holding_leases: AtomicUsize,
    /// How many instances have held them since their last start.
    pub held_leases: AtomicUsize,
    /// How many instances have not learned what is awaited.
    pub waiting: AtomicUsize,
    /// When the last instance learned it, in microseconds.
    pub last_learned_at: AtomicU64,
    /// How many timers fired.
    pub timers_fired: AtomicU64,
    /// How many of these fired late.
    pub late_timers: AtomicU64,
    /// The longest delay of a timer, in microseconds.
    pub max_timer_delay_us: AtomicU64,
}

/// A thread of simulated instances. Dropping it ends the thread.
pub struct Shard {
    /// Its state.
    pub status: Arc<Status>,
    commands: Sender<ShardCommand>,
    wake_event: Arc<OwnedFd>,
    thread: Option<JoinHandle<()>>,
}

impl Shard {
    /// Starts the thread with these instances.
    pub fn start(
        specs: Vec<InstanceSpec>, config: SharedConfig, catalogue: Arc<Catalogue>,
        lease_servers: Vec<SocketAddr>, clock: Clock, seed: u64,
    ) -> Result<Shard> {
        let (status, (commands, receiver)) = (Arc::new(Status::default()), channel());
        let wake_event = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &wake_event, EventData::new_u64(COMMAND_TOKEN), EventFlags::IN)?;
        let server_states =
            vec![EndpointState::default(); catalogue.shape().services * catalogue.shape().servers];
        let mut timers = BinaryHeap::new();
        for (index, spec) in specs.iter().enumerate() {
            timers.push(Reverse((spec.at, index, Due::Start)));
        }
        let shard_loop = ShardLoop {
            epoll,
            instances: specs.into_iter().map(|spec| SimulatedInstance::new(spec, &config)).collect(),
            counts: Counts::new(lease_servers.len(), 0),
            config,
            catalogue,
            lease_servers,
            clock,
            server_states,
            timers,
            random: WyRand::new_seed(seed),
            list_changes: Vec::new(),
            status: status.clone(),
            scratch: vec![0; SCRATCH],
        };
        let receiver_event = wake_event.clone();
        let thread = std::thread::Builder::new().name("hollow".into());
        let thread = Some(thread.spawn(move || shard_loop.run(&receiver, &receiver_event))?);
        Ok(Shard { status, commands, wake_event, thread })
    }

    /// Sends a command.
    pub fn send(&self, command: ShardCommand) {
        let _ = self.commands.send(command);
        let _ = rustix::io::write(&self.wake_event, &1_u64.to_ne_bytes());
    }
}

impl Drop for Shard {
    fn drop(&mut self) {
        self.send(ShardCommand::Stop);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Due {
    Start,
    Connect(usize),
    /// The lease holder's timer.
    HolderTimer,
    /// The change of its list with that number.
    ChangeList(usize),
    /// An empty line of its list.
    ListHeartbeat,
}

struct ShardLoop {
    epoll: OwnedFd,
    instances: Vec<SimulatedInstance>,
    config: SharedConfig,
    catalogue: Arc<Catalogue>,
    lease_servers: Vec<SocketAddr>,
    clock: Clock,
    /// The state of each server in all lists.
    server_states: Vec<EndpointState>,
    timers: BinaryHeap<Reverse<(Micros, usize, Due)>>,
    random: WyRand,
    /// The changes of all lists, by number.
    list_changes: Vec<(Arc<Vec<bool>>, EndpointState)>,
    counts: Counts,
    status: Arc<Status>,
    scratch: Vec<u8>,
}

impl ShardLoop {
    fn run(mut self, commands: &Receiver<ShardCommand>, wake_event: &OwnedFd) {
        let mut events = [const { MaybeUninit::<Event>::uninit() }; BATCH];
        loop {
            let now = self.clock.now();
            let wait = self.timers.peek().map(|Reverse((at, ..))| *at - now);
            let wait = wait.map(|wait| Timespec {
                tv_sec: (wait.0 / 1_000_000) as _,
                tv_nsec: (wait.0 % 1_000_000 * 1_000) as _,
            });
            let ready = match epoll::wait(&self.epoll, &mut events, wait.as_ref()) {
                Ok((ready, _)) => ready,
                Err(Errno::INTR) => continue,
                Err(_) => return,
            };
            for event in ready {
                let (flags, token) = (event.flags, event.data.u64());
                match token {
                    COMMAND_TOKEN => _ = rustix::io::read(wake_event, &mut [0; 8]),
                    _ => self.handle_link_event(token, flags),
                }
            }
            while let Ok(command) = commands.try_recv() {
                if matches!(command, ShardCommand::Stop) {
                    return;
                }
                self.carry_out_command(command);
            }
            self.run_due_timers();
        }
    }

    fn token(&self, index: usize, lease_server: usize) -> u64 {
        (index * self.lease_servers.len() + lease_server) as u64
    }

    fn second(&self, now: Micros) -> usize {
        now.secs() as usize
    }

    /// Handles an epoll event of a link.
    fn handle_link_event(&mut self, token: u64, flags: EventFlags) {
        let (index, lease_server) =
            (token as usize / self.lease_servers.len(), token as usize % self.lease_servers.len());
        let (now, mut counts, mut messages) = (self.clock.now(), MessageCounts::default(), Vec::new());
        let simulated = &mut self.instances[index];
        if !simulated.alive {
            return;
        }
        let link = &mut simulated.links[lease_server];
        let mut change = link.handle_event(flags, &simulated.greeting);
        if change != LinkChange::Broken && link.is_up() {
            change = link.write(&self.epoll, token, &mut counts);
        }
        if change != LinkChange::Broken
            && flags.intersects(EventFlags::IN | EventFlags::ERR | EventFlags::HUP)
        {
            change = link.read(&mut self.scratch, &mut counts, &mut messages);
        }
        self.counts.record(now.secs() as usize, lease_server, counts, &mut simulated.current_second);
        for message in messages {
            let now = self.clock.now();
            self.record_grant(index, lease_server, now, &message);
            self.with_holder(index, |simulated, actions| {
                simulated.holder.handle_message(now, InstanceId(lease_server as u32), message, actions);
            });
        }
        if change == LinkChange::Broken {
            self.counts.broken += 1;
            self.instances[index].links[lease_server].close();
            self.timers.push(Reverse((now + RECONNECT_DELAY, index, Due::Connect(lease_server))));
        }
    }

    /// Runs something on one instance's lease holder, counts its processor time, and carries out the actions.
    fn with_holder(&mut self, index: usize, run: impl FnOnce(&mut SimulatedInstance, &mut Vec<Action>)) {
        let (began, mut actions) = (own_time(), Vec::new());
        run(&mut self.instances[index], &mut actions);
        self.counts.work_us += (own_time() - began).0;
        self.carry_out(index, actions);
    }

    /// Records how long a lease grant took.
    fn record_grant(&mut self, index: usize, lease_server: usize, now: Micros, message: &Message) {
        let Message::LeaseGrant { sequence: turn, .. } = message else { return };
        let (requested, since) = self.instances[index].last_requests[lease_server];
        if requested == *turn {
            self.counts.lease_latency.saturating_record((now - since).0.max(1));
        }
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        let (now, mut may_have_learned) = (self.clock.now(), false);
        for action in actions {
            match action {
                Action::Send(lease_server, message) => {
                    self.send_message(index, lease_server.0 as usize, now, &message)
                }
                Action::ApplyLists | Action::ApplyDocuments => may_have_learned = true,
                // The lease holder reports a committed version by a log line alone.
                Action::Log(_) => may_have_learned = true,
                Action::ApplyMaintenance { .. } => {}
            }
        }
        for lease_server in 0..self.lease_servers.len() {
            self.write(index, lease_server, now);
        }
        let simulated = &mut self.instances[index];
        let held_leases = simulated.has_leases;
        simulated.update_leases(now, &mut self.counts);
        if simulated.has_leases && !std::mem::replace(&mut simulated.held_leases, true) {
            self.status.held_leases.fetch_add(1, Ordering::Relaxed);
        }
        match (held_leases, simulated.has_leases) {
            (false, true) => _ = self.status.holding_leases.fetch_add(1, Ordering::Relaxed),
            (true, false) => _ = self.status.holding_leases.fetch_sub(1, Ordering::Relaxed),
            _ => {}
        }
        if may_have_learned && simulated.is_waiting() && simulated.has_learned(&self.catalogue) {
            self.status.last_learned_at.fetch_max(now.0, Ordering::Relaxed);
            self.status.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        let due = self.instances[index].holder.next_wakeup();
        if due < self.instances[index].timer_set_for {
            self.instances[index].timer_set_for = due;
            self.timers.push(Reverse((due, index, Due::HolderTimer)));
        }
    }

    fn send_message(&mut self, index: usize, lease_server: usize, now: Micros, message: &Message) {
        let simulated = &mut self.instances[index];
        if let Message::LeaseRequest { sequence: turn, .. } = message {
            simulated.last_requests[lease_server] = (*turn, now);
        }
        let link = &mut simulated.links[lease_server];
        if link.is_up() && !link.enqueue(message) {
            self.counts.dropped_messages += 1;
        }
        self.counts.max_queue = self.counts.max_queue.max(link.waiting());
    }

    fn write(&mut self, index: usize, lease_server: usize, now: Micros) {
        let (token, second) = (self.token(index, lease_server), self.second(now));
        let (simulated, mut counts) = (&mut self.instances[index], MessageCounts::default());
        let link = &mut simulated.links[lease_server];
        // If the link broke, epoll reports that as well.
        if link.waiting() > 0 && link.write(&self.epoll, token, &mut counts) == LinkChange::Same {
            self.counts.record(second, lease_server, counts, &mut simulated.current_second);
        }
    }

    /// Runs the timers that are due, at most one batch, so that epoll events are handled in between.
    fn run_due_timers(&mut self) {
        for _ in 0..BATCH {
            let now = self.clock.now();
            let Some(Reverse((due, index, what))) =
                self.timers.peek().copied().filter(|next| next.0 .0 <= now)
            else {
                return;
            };
            self.timers.pop();
            let late_timers = now - due;
            self.status.timers_fired.fetch_add(1, Ordering::Relaxed);
            self.status.late_timers.fetch_add(u64::from(late_timers > LATE), Ordering::Relaxed);
            self.status.max_timer_delay_us.fetch_max(late_timers.0, Ordering::Relaxed);
            match what {
                Due::Start => self.start(index, now),
                Due::Connect(lease_server) => self.connect(index, lease_server, now),
                Due::HolderTimer => self.holder_timer(index, now),
                Due::ChangeList(number) => {
                    let (marked, state) = self.list_changes[number].clone();
                    self.change_list(index, now, &marked, state);
                }
                Due::ListHeartbeat if self.instances[index].next_heartbeat == due => {
                    self.with_holder(index, |simulated, actions| simulated.list_heartbeat(now, actions));
                    self.schedule_heartbeat(index, now);
                }
                // The timer belongs to an earlier incarnation.
                Due::ListHeartbeat => {}
            }
        }
    }

    fn start(&mut self, index: usize, now: Micros) {
        let actions = self.instances[index].start(now, &self.config, &self.catalogue, &self.server_states);
        self.status.alive.fetch_add(1, Ordering::Relaxed);
        self.carry_out(index, actions);
        self.schedule_heartbeat(index, now);
        (0..self.lease_servers.len()).for_each(|lease_server| self.connect(index, lease_server, now));
    }

    fn schedule_heartbeat(&mut self, index: usize, since: Micros) {
        self.instances[index].next_heartbeat = since + LIST_HEARTBEAT;
        self.timers.push(Reverse((since + LIST_HEARTBEAT, index, Due::ListHeartbeat)));
    }

    fn connect(&mut self, index: usize, lease_server: usize, now: Micros) {
        let (token, simulated) = (self.token(index, lease_server), &mut self.instances[index]);
        // The timer may belong to a link of an earlier incarnation.
        if !simulated.alive || !simulated.links[lease_server].is_down() {
            return;
        }
        if simulated.links[lease_server]
            .connect(&self.epoll, token, self.lease_servers[lease_server])
            .is_err()
        {
            self.timers.push(Reverse((now + RECONNECT_DELAY, index, Due::Connect(lease_server))));
        }
    }

    fn holder_timer(&mut self, index: usize, now: Micros) {
        self.instances[index].timer_set_for = Micros::NEVER;
        if self.instances[index].alive {
            self.with_holder(index, |simulated, actions| simulated.holder.handle_timer(now, actions));
        }
    }

    fn change_list(&mut self, index: usize, now: Micros, marked: &[bool], state: EndpointState) {
        if self.instances[index].alive {
            let catalogue = self.catalogue.clone();
            self.with_holder(index, |simulated, actions| {
                simulated.change_list(now, &catalogue, marked, state, actions)
            });
        }
    }

    fn carry_out_command(&mut self, command: ShardCommand) {
        let now = self.clock.now();
        match command {
            ShardCommand::SetInAllLists(marked, state) => {
                let servers = self.server_states.iter_mut().zip(marked.iter());
                servers.filter(|(_, marked)| **marked).for_each(|(known, _)| *known = state);
                self.list_changes.push((marked, state));
                for index in 0..self.instances.len() {
                    let moment = now + Micros(self.random.generate_range(0..LIST_SPREAD.0));
                    self.timers.push(Reverse((moment, index, Due::ChangeList(self.list_changes.len() - 1))));
                }
            }
            ShardCommand::SetInOneList(index, server, state) => {
                let marked: Vec<bool> = (0..self.server_states.len()).map(|other| other == server).collect();
                self.change_list(index, now, &marked, state);
            }
            ShardCommand::StopZone(zone) => {
                for simulated in self.instances.iter_mut().filter(|one| one.alive && one.spec.zone == zone) {
                    self.status.alive.fetch_sub(1, Ordering::Relaxed);
                    self.status
                        .holding_leases
                        .fetch_sub(usize::from(simulated.has_leases), Ordering::Relaxed);
                    self.status.held_leases.fetch_sub(usize::from(simulated.held_leases), Ordering::Relaxed);
                    self.status.waiting.fetch_sub(usize::from(simulated.is_waiting()), Ordering::Relaxed);
                    simulated.next_heartbeat = Micros::NEVER;
                    simulated.go_silent(now, &self.epoll, &mut self.counts);
                }
            }
            ShardCommand::StartZone(zone) => {
                let gone =
                    |index: &usize| !self.instances[*index].alive && self.instances[*index].spec.zone == zone;
                for index in (0..self.instances.len()).filter(gone).collect::<Vec<_>>() {
                    let moment = now + Micros(self.random.generate_range(0..LIST_SPREAD.0));
                    self.timers.push(Reverse((moment, index, Due::Start)));
                }
            }
            ShardCommand::WriteSettings(who, document) => {
                self.config.document = document.clone();
                for index in who.map_or(0..self.instances.len(), |who| who..who + 1) {
                    let document = document.clone();
                    if self.instances[index].alive {
                        self.with_holder(index, |simulated, actions| {
                            simulated.holder.propose(now, document, actions);
                        });
                    }
                }
            }
            ShardCommand::Await(awaited) => {
                let mut waiting = 0;
                for simulated in self.instances.iter_mut().filter(|one| one.alive) {
                    waiting += usize::from(simulated.start_awaiting(&awaited, &self.catalogue));
                }
                self.status.waiting.store(waiting, Ordering::Relaxed);
                self.status.last_learned_at.store(now.0, Ordering::Relaxed);
            }
            ShardCommand::Collect(from, to) => {
                for simulated in &mut self.instances {
                    simulated.count_without_lease(now, &mut self.counts);
                    self.counts.end_second(&mut simulated.current_second);
                }
                let fresh = Counts::new(self.lease_servers.len(), from);
                let _ = to.send(std::mem::replace(&mut self.counts, fresh));
            }
            ShardCommand::Barrier(_) | ShardCommand::Stop => {}
        }
    }
}
