//! One thread of the harness with its simulated instances: an event loop over epoll events, due timers and commands.
//! Only commands visit all instances, so that the cost of a loop iteration does not grow with their number.
use super::catalogue::{Catalogue, ServerState};
use super::count::{Counts, TrafficCounts};
use super::link::LinkChange;
use super::simulated::{AwaitedChange, CommonConfig, InstanceSpec, SimulatedInstance};
use nanorand::{Rng, WyRand};
use oakhollow::types::Micros;
use oakhollow_lease::{Action, Document, InstanceId, Message};
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

/// Delay before a new attempt to connect, as in a sidecar.
const RECONNECT_DELAY: Micros = Micros::millis(100);
/// A timer that is handled later than this counts as late.
const LATE_THRESHOLD: Micros = Micros::millis(100);
/// All lists report a change within this time, and lost instances start again within it.
const LIST_SPREAD: Micros = Micros::millis(1_000);
/// Interval of the empty list updates that keep a watch alive.
const KEEPALIVE_INTERVAL: Micros = Micros::millis(2_000);
const WAKE_TOKEN: u64 = u64::MAX;
const MAX_EVENTS_PER_ITERATION: usize = 256;
const READ_BUFFER_BYTES: usize = 256 * 1024;

/// The start of a run, from which all its times are counted; the first time is 1 µs, not 0.
#[derive(Clone, Copy)]
pub struct Clock(pub Instant);

impl Clock {
    pub fn now(self) -> Micros {
        Micros(1 + self.0.elapsed().as_micros() as u64)
    }
}

/// Processor time used by this thread.
fn thread_cpu_time() -> Micros {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// What the run tells a shard to do.
#[derive(Clone)]
pub enum Command {
    /// All lists give this state to the marked servers, each at a random moment within a second.
    UpdateAllLists(Arc<Vec<bool>>, ServerState),
    /// Only the list of the instance with this index in the shard gives this state to the server.
    UpdateOneList(usize, usize, ServerState),
    /// All instances of this zone go silent.
    LoseZone(usize),
    /// All instances of this zone start again.
    RestoreZone(usize),
    /// These settings are proposed by one instance or, with `None`, by all.
    WriteSettings(Option<usize>, Document),
    /// Starts to wait until all instances know this change; see [`ShardStatus::awaiting`].
    Await(AwaitedChange),
    /// Sends the counts so far; the next counts begin with this second.
    Collect(usize, Sender<Counts>),
    /// Dropped when all earlier commands have been handled.
    Barrier(Sender<()>),
    Stop,
}

/// The state of a shard, readable at any time.
#[derive(Default)]
pub struct ShardStatus {
    pub alive: AtomicUsize,
    /// Instances that hold the leases of a majority.
    pub with_lease: AtomicUsize,
    /// Instances that have held them since their last start.
    pub had_lease: AtomicUsize,
    /// Instances that do not know the awaited change yet, and when the last one learned of it.
    pub awaiting: AtomicUsize,
    pub last_learned_at: AtomicU64,
    /// Timers handled, those of them handled late, and the largest delay.
    pub timers_handled: AtomicU64,
    pub late_timers: AtomicU64,
    pub max_delay_us: AtomicU64,
}

/// A thread that runs a part of the simulated instances.
pub struct Shard {
    pub status: Arc<ShardStatus>,
    commands: Sender<Command>,
    wake_fd: Arc<OwnedFd>,
    thread: Option<JoinHandle<()>>,
}

impl Shard {
    pub fn start(
        specs: Vec<InstanceSpec>, common: CommonConfig, catalogue: Arc<Catalogue>,
        lease_servers: Vec<SocketAddr>, clock: Clock, seed: u64,
    ) -> Result<Shard> {
        let (status, (commands, receiver)) = (Arc::new(ShardStatus::default()), channel());
        let wake_fd = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&epoll, &wake_fd, EventData::new_u64(WAKE_TOKEN), EventFlags::IN)?;
        let server_states =
            vec![ServerState::default(); catalogue.shape().services * catalogue.shape().servers];
        let mut timers = BinaryHeap::new();
        for (index, spec) in specs.iter().enumerate() {
            timers.push(Reverse((spec.start_at, index, Timer::Start)));
        }
        let event_loop = EventLoop {
            epoll,
            instances: specs.into_iter().map(|spec| SimulatedInstance::new(spec, &common)).collect(),
            counts: Counts::new(lease_servers.len(), 0),
            common,
            catalogue,
            lease_servers,
            clock,
            server_states,
            timers,
            random: WyRand::new_seed(seed),
            list_changes: Vec::new(),
            status: status.clone(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        };
        let loop_wake_fd = wake_fd.clone();
        let thread = std::thread::Builder::new().name("simulated".into());
        let thread = Some(thread.spawn(move || event_loop.run(&receiver, &loop_wake_fd))?);
        Ok(Shard { status, commands, wake_fd, thread })
    }

    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
        let _ = rustix::io::write(&self.wake_fd, &1_u64.to_ne_bytes());
    }
}

impl Drop for Shard {
    fn drop(&mut self) {
        self.send(Command::Stop);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Timer {
    Start,
    Connect(usize),
    /// The lease holder's timer.
    LeaseHolder,
    /// The instance's list reports the change with this index in [`EventLoop::list_changes`].
    ListChange(usize),
    /// The next empty list update.
    ListKeepalive,
}

struct EventLoop {
    epoll: OwnedFd,
    instances: Vec<SimulatedInstance>,
    common: CommonConfig,
    catalogue: Arc<Catalogue>,
    lease_servers: Vec<SocketAddr>,
    clock: Clock,
    /// The state of each server on all lists.
    server_states: Vec<ServerState>,
    timers: BinaryHeap<Reverse<(Micros, usize, Timer)>>,
    random: WyRand,
    /// The list changes of the run, in the order of their commands.
    list_changes: Vec<(Arc<Vec<bool>>, ServerState)>,
    counts: Counts,
    status: Arc<ShardStatus>,
    read_buffer: Vec<u8>,
}

impl EventLoop {
    fn run(mut self, commands: &Receiver<Command>, wake_fd: &OwnedFd) {
        let mut events = [const { MaybeUninit::<Event>::uninit() }; MAX_EVENTS_PER_ITERATION];
        loop {
            let now = self.clock.now();
            let wait = self.timers.peek().map(|Reverse((due, ..))| *due - now);
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
                    WAKE_TOKEN => _ = rustix::io::read(wake_fd, &mut [0; 8]),
                    _ => self.handle_link_event(token, flags),
                }
            }
            while let Ok(command) = commands.try_recv() {
                if matches!(command, Command::Stop) {
                    return;
                }
                self.handle_command(command);
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
        let (now, mut traffic, mut messages) = (self.clock.now(), TrafficCounts::default(), Vec::new());
        let instance = &mut self.instances[index];
        if !instance.alive {
            return;
        }
        let link = &mut instance.links[lease_server];
        let mut change = link.handle_event(flags, &instance.greeting);
        if change != LinkChange::Broken && link.is_connected() {
            change = link.write(&self.epoll, token, &mut traffic);
        }
        if change != LinkChange::Broken
            && flags.intersects(EventFlags::IN | EventFlags::ERR | EventFlags::HUP)
        {
            change = link.read(&mut self.read_buffer, &mut traffic, &mut messages);
        }
        self.counts.record(now.secs() as usize, lease_server, traffic, &mut instance.current_second);
        for message in messages {
            let now = self.clock.now();
            self.record_grant_latency(index, lease_server, now, &message);
            self.run_lease_holder(index, |instance, actions| {
                instance.lease_holder.handle_message(now, InstanceId(lease_server as u32), message, actions);
            });
        }
        if change == LinkChange::Broken {
            self.counts.broken_links += 1;
            self.instances[index].links[lease_server].close();
            self.timers.push(Reverse((now + RECONNECT_DELAY, index, Timer::Connect(lease_server))));
        }
    }

    /// Runs a step of one instance's lease holder, counts its processor time and executes the resulting actions.
    fn run_lease_holder(
        &mut self, index: usize, work: impl FnOnce(&mut SimulatedInstance, &mut Vec<Action>),
    ) {
        let (began, mut actions) = (thread_cpu_time(), Vec::new());
        work(&mut self.instances[index], &mut actions);
        self.counts.lease_holder_cpu_us += (thread_cpu_time() - began).0;
        self.execute(index, actions);
    }

    /// Records the latency of a lease grant that answers the last request.
    fn record_grant_latency(&mut self, index: usize, lease_server: usize, now: Micros, message: &Message) {
        let Message::LeaseGrant { sequence, .. } = message else { return };
        let (last_sequence, since) = self.instances[index].last_request[lease_server];
        if last_sequence == *sequence {
            self.counts.grant_latency.saturating_record((now - since).0.max(1));
        }
    }

    fn execute(&mut self, index: usize, actions: Vec<Action>) {
        let (now, mut may_have_learned) = (self.clock.now(), false);
        for action in actions {
            match action {
                Action::Send(lease_server, message) => {
                    self.send_message(index, lease_server.0 as usize, now, &message)
                }
                Action::ApplyLists | Action::ApplyDocuments => may_have_learned = true,
                // A committed version shows only as a log line.
                Action::Log(_) => may_have_learned = true,
                Action::ApplyMaintenance { .. } => {}
            }
        }
        for lease_server in 0..self.lease_servers.len() {
            self.flush(index, lease_server, now);
        }
        let instance = &mut self.instances[index];
        let had_lease = instance.has_lease;
        instance.update_lease_state(now, &mut self.counts);
        if instance.has_lease && !std::mem::replace(&mut instance.had_lease, true) {
            self.status.had_lease.fetch_add(1, Ordering::Relaxed);
        }
        match (had_lease, instance.has_lease) {
            (false, true) => _ = self.status.with_lease.fetch_add(1, Ordering::Relaxed),
            (true, false) => _ = self.status.with_lease.fetch_sub(1, Ordering::Relaxed),
            _ => {}
        }
        if may_have_learned && instance.is_awaiting() && instance.check_awaited(&self.catalogue) {
            self.status.last_learned_at.fetch_max(now.0, Ordering::Relaxed);
            self.status.awaiting.fetch_sub(1, Ordering::Relaxed);
        }
        let due = self.instances[index].lease_holder.next_wakeup();
        if due < self.instances[index].next_timer {
            self.instances[index].next_timer = due;
            self.timers.push(Reverse((due, index, Timer::LeaseHolder)));
        }
    }

    fn send_message(&mut self, index: usize, lease_server: usize, now: Micros, message: &Message) {
        let instance = &mut self.instances[index];
        if let Message::LeaseRequest { sequence, .. } = message {
            instance.last_request[lease_server] = (*sequence, now);
        }
        let link = &mut instance.links[lease_server];
        if link.is_connected() && !link.enqueue(message) {
            self.counts.dropped_messages += 1;
        }
        self.counts.max_queue_len = self.counts.max_queue_len.max(link.queue_len());
    }

    fn flush(&mut self, index: usize, lease_server: usize, now: Micros) {
        let (token, second) = (self.token(index, lease_server), self.second(now));
        let (instance, mut traffic) = (&mut self.instances[index], TrafficCounts::default());
        let link = &mut instance.links[lease_server];
        // If the link broke, epoll reports it too.
        if link.queue_len() > 0 && link.write(&self.epoll, token, &mut traffic) == LinkChange::Unchanged {
            self.counts.record(second, lease_server, traffic, &mut instance.current_second);
        }
    }

    /// Handles due timers, at most `MAX_EVENTS_PER_ITERATION` at a time so that epoll events are not starved.
    fn run_due_timers(&mut self) {
        for _ in 0..MAX_EVENTS_PER_ITERATION {
            let now = self.clock.now();
            let Some(Reverse((due, index, timer))) =
                self.timers.peek().copied().filter(|next| next.0 .0 <= now)
            else {
                return;
            };
            self.timers.pop();
            let delay = now - due;
            self.status.timers_handled.fetch_add(1, Ordering::Relaxed);
            self.status.late_timers.fetch_add(u64::from(delay > LATE_THRESHOLD), Ordering::Relaxed);
            self.status.max_delay_us.fetch_max(delay.0, Ordering::Relaxed);
            match timer {
                Timer::Start => self.start(index, now),
                Timer::Connect(lease_server) => self.connect(index, lease_server, now),
                Timer::LeaseHolder => self.handle_timer(index, now),
                Timer::ListChange(number) => {
                    let (affected, state) = self.list_changes[number].clone();
                    self.apply_list_change(index, now, &affected, state);
                }
                Timer::ListKeepalive if self.instances[index].next_keepalive_at == due => {
                    self.run_lease_holder(index, |instance, actions| {
                        instance.apply_empty_update(now, actions)
                    });
                    self.schedule_keepalive(index, now);
                }
                // Scheduled before the last restart.
                Timer::ListKeepalive => {}
            }
        }
    }

    fn start(&mut self, index: usize, now: Micros) {
        let actions = self.instances[index].start(now, &self.common, &self.catalogue, &self.server_states);
        self.status.alive.fetch_add(1, Ordering::Relaxed);
        self.execute(index, actions);
        self.schedule_keepalive(index, now);
        (0..self.lease_servers.len()).for_each(|lease_server| self.connect(index, lease_server, now));
    }

    fn schedule_keepalive(&mut self, index: usize, since: Micros) {
        self.instances[index].next_keepalive_at = since + KEEPALIVE_INTERVAL;
        self.timers.push(Reverse((since + KEEPALIVE_INTERVAL, index, Timer::ListKeepalive)));
    }

    fn connect(&mut self, index: usize, lease_server: usize, now: Micros) {
        let (token, instance) = (self.token(index, lease_server), &mut self.instances[index]);
        // Guards against a link that broke before the last restart.
        if !instance.alive || !instance.links[lease_server].is_disconnected() {
            return;
        }
        if instance.links[lease_server].connect(&self.epoll, token, self.lease_servers[lease_server]).is_err()
        {
            self.timers.push(Reverse((now + RECONNECT_DELAY, index, Timer::Connect(lease_server))));
        }
    }

    fn handle_timer(&mut self, index: usize, now: Micros) {
        self.instances[index].next_timer = Micros::NEVER;
        if self.instances[index].alive {
            self.run_lease_holder(index, |instance, actions| {
                instance.lease_holder.handle_timer(now, actions)
            });
        }
    }

    fn apply_list_change(&mut self, index: usize, now: Micros, affected: &[bool], state: ServerState) {
        if self.instances[index].alive {
            let catalogue = self.catalogue.clone();
            self.run_lease_holder(index, |instance, actions| {
                instance.apply_list_change(now, &catalogue, affected, state, actions)
            });
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::UpdateAllLists(affected, state) => {
                let servers = self.server_states.iter_mut().zip(affected.iter());
                servers.filter(|(_, affected)| **affected).for_each(|(known, _)| *known = state);
                self.list_changes.push((affected, state));
                for index in 0..self.instances.len() {
                    let start_at = now + Micros(self.random.generate_range(0..LIST_SPREAD.0));
                    self.timers.push(Reverse((
                        start_at,
                        index,
                        Timer::ListChange(self.list_changes.len() - 1),
                    )));
                }
            }
            Command::UpdateOneList(index, server, state) => {
                let affected: Vec<bool> =
                    (0..self.server_states.len()).map(|other| other == server).collect();
                self.apply_list_change(index, now, &affected, state);
            }
            Command::LoseZone(zone) => {
                for instance in
                    self.instances.iter_mut().filter(|instance| instance.alive && instance.spec.zone == zone)
                {
                    self.status.alive.fetch_sub(1, Ordering::Relaxed);
                    self.status.with_lease.fetch_sub(usize::from(instance.has_lease), Ordering::Relaxed);
                    self.status.had_lease.fetch_sub(usize::from(instance.had_lease), Ordering::Relaxed);
                    self.status.awaiting.fetch_sub(usize::from(instance.is_awaiting()), Ordering::Relaxed);
                    instance.next_keepalive_at = Micros::NEVER;
                    instance.go_silent(now, &self.epoll, &mut self.counts);
                }
            }
            Command::RestoreZone(zone) => {
                let is_lost =
                    |index: &usize| !self.instances[*index].alive && self.instances[*index].spec.zone == zone;
                for index in (0..self.instances.len()).filter(is_lost).collect::<Vec<_>>() {
                    let start_at = now + Micros(self.random.generate_range(0..LIST_SPREAD.0));
                    self.timers.push(Reverse((start_at, index, Timer::Start)));
                }
            }
            Command::WriteSettings(proposer, document) => {
                self.common.document = document.clone();
                for index in proposer.map_or(0..self.instances.len(), |proposer| proposer..proposer + 1) {
                    let document = document.clone();
                    if self.instances[index].alive {
                        self.run_lease_holder(index, |instance, actions| {
                            instance.lease_holder.propose(now, document, actions);
                        });
                    }
                }
            }
            Command::Await(awaited) => {
                let mut awaiting = 0;
                for instance in self.instances.iter_mut().filter(|instance| instance.alive) {
                    awaiting += usize::from(instance.expect_change(&awaited, &self.catalogue));
                }
                self.status.awaiting.store(awaiting, Ordering::Relaxed);
                self.status.last_learned_at.store(now.0, Ordering::Relaxed);
            }
            Command::Collect(first_second, sender) => {
                for instance in &mut self.instances {
                    instance.count_time_without_lease(now, &mut self.counts);
                    self.counts.finish_second(&mut instance.current_second);
                }
                let fresh = Counts::new(self.lease_servers.len(), first_second);
                let _ = sender.send(std::mem::replace(&mut self.counts, fresh));
            }
            Command::Barrier(_) | Command::Stop => {}
        }
    }
}
