//! The tiers of a chain: applications that forward each request to the next tier, and the last tier's
//! servers, which answer it. Each tier runs an event loop on a thread of its own.
use super::wire::{encode_request, encode_response, Clock, Connection, Message};
use hdrhistogram::Histogram;
use nanorand::{Rng, WyRand};
use polling::{Event, Events, PollMode, Poller};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io::Result;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// A connection that was idle for this long, in nanoseconds, is not used again. The listener closes idle
/// connections later than that.
pub const IDLE_LIMIT_NS: u64 = 5_000_000_000;
/// The share of slow responses that take [`TAIL_FACTOR`] times as long.
const TAIL_SHARE: f64 = 0.05;
const TAIL_FACTOR: u64 = 10;

/// A histogram of nanoseconds with three significant digits.
pub fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, 60_000_000_000, 3);
    histogram.unwrap_or_else(|error| unreachable!("valid bounds: {error}"))
}

/// What one tier received since the counters were last taken.
pub struct TierCounters {
    /// Requests that reached it, repeats included.
    pub attempts: u64,
    /// Attempts with a request id that this tier had received before.
    pub repeats: u64,
    /// Requests whose connection the sender closed before the response.
    pub cancelled: u64,
    /// Connections to the next tier that failed or broke with a request open.
    pub broken_connections: u64,
    /// Transit times of requests to this tier, from the sender's write to the first byte here, without
    /// repeats.
    pub request_transit: Histogram<u64>,
    /// Transit times of responses from the next tier.
    pub response_transit: Histogram<u64>,
    seen_ids: HashSet<String>,
    /// Numbers of the client's requests that came.
    pub requests: HashSet<u64>,
}

impl Default for TierCounters {
    fn default() -> TierCounters {
        TierCounters {
            attempts: 0,
            repeats: 0,
            cancelled: 0,
            broken_connections: 0,
            request_transit: histogram(),
            response_transit: histogram(),
            seen_ids: HashSet::new(),
            requests: HashSet::new(),
        }
    }
}

/// A running tier, stopped on drop.
pub struct Tier {
    pub addresses: Vec<SocketAddr>,
    counters: Arc<Mutex<TierCounters>>,
    /// How long a response of the last tier takes, in nanoseconds.
    response_delay_ns: Arc<AtomicU64>,
    stopping: Arc<AtomicBool>,
    poller: Arc<Poller>,
    thread: Option<JoinHandle<()>>,
}

impl Tier {
    /// Starts a tier that listens at `servers` addresses, and forwards requests to `next_tier` or answers
    /// them itself if there is none.
    pub fn start(
        number: usize, servers: usize, next_tier: Option<SocketAddr>, clock: Clock, seed: u64,
    ) -> Result<Tier> {
        let poller = Arc::new(Poller::new()?);
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for key in 0..servers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            addresses.push(listener.local_addr()?);
            // SAFETY: the event loop owns the listeners and does not use the poller after they are closed.
            unsafe { poller.add_with_mode(&listener, Event::readable(key), PollMode::Level)? };
            listeners.push(listener);
        }
        let (counters, response_delay_ns, stopping) =
            <(Arc<Mutex<TierCounters>>, Arc<AtomicU64>, Arc<AtomicBool>)>::default();
        let mut event_loop = EventLoop {
            number,
            next_tier,
            clock,
            poller: poller.clone(),
            last_key: listeners.len(),
            listeners,
            connections: HashMap::new(),
            idle: Vec::new(),
            due_responses: BTreeSet::new(),
            rng: WyRand::new_seed(seed),
            counters: counters.clone(),
            response_delay_ns: response_delay_ns.clone(),
        };
        let end = stopping.clone();
        let thread = std::thread::Builder::new().name(format!("tier {number}")).spawn(move || {
            if let Err(error) = event_loop.run(&end) {
                eprintln!("oakhollow-lab: tier {number}: {error}");
            }
        })?;
        Ok(Tier { addresses, counters, response_delay_ns, stopping, poller, thread: Some(thread) })
    }

    /// Returns the counters and resets them.
    pub fn take_counters(&self) -> TierCounters {
        std::mem::take(&mut *self.counters.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Sets how long each response takes from now on; some take [`TAIL_FACTOR`] times that.
    pub fn slow_down(&self, delay: Duration) {
        self.response_delay_ns.store(delay.as_nanos() as u64, Ordering::Relaxed);
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::SeqCst);
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The direction of a connection, and the connection that its open request is paired with.
enum ConnectionRole {
    /// From the previous tier. `waiting_on` is the key of the connection to the next tier that carries the
    /// open request, or the connection's own key while the response is delayed here.
    Incoming { waiting_on: Option<usize> },
    /// To the next tier. `request_key` is the key of the incoming connection that waits for the response,
    /// none while it is idle.
    Outgoing { request_key: Option<usize>, idle_since: u64 },
}

struct EventLoop {
    number: usize,
    next_tier: Option<SocketAddr>,
    clock: Clock,
    poller: Arc<Poller>,
    listeners: Vec<TcpListener>,
    /// Keys are never reused, so that a late event can't be taken for another connection's.
    connections: HashMap<usize, (Connection, ConnectionRole)>,
    last_key: usize,
    /// Idle connections to the next tier, the most recently used last.
    idle: Vec<usize>,
    /// Delayed responses, by when they are due, with the key of the connection.
    due_responses: BTreeSet<(u64, usize)>,
    rng: WyRand,
    counters: Arc<Mutex<TierCounters>>,
    response_delay_ns: Arc<AtomicU64>,
}

impl EventLoop {
    fn run(&mut self, stopping: &AtomicBool) -> Result<()> {
        let mut events = Events::new();
        loop {
            let next_due_at = self.due_responses.first().map(|(due_at, _)| *due_at);
            let timeout =
                next_due_at.map(|due_at| Duration::from_nanos(due_at.saturating_sub(self.clock.now())));
            events.clear();
            self.poller.wait(&mut events, timeout)?;
            if stopping.load(Ordering::SeqCst) {
                return Ok(());
            }
            for event in events.iter() {
                match self.listeners.get(event.key) {
                    Some(_) => self.accept(event.key)?,
                    None => self.handle_event(event.key),
                }
            }
            self.send_due_responses();
        }
    }

    fn update_counters(&self, write: impl FnOnce(&mut TierCounters)) {
        write(&mut self.counters.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn next_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn accept(&mut self, listener: usize) -> Result<()> {
        while let Ok((stream, _)) = self.listeners[listener].accept() {
            let key = self.next_key();
            let connection = Connection::accepted(stream, &self.poller, key)?;
            self.connections.insert(key, (connection, ConnectionRole::Incoming { waiting_on: None }));
        }
        Ok(())
    }

    fn handle_event(&mut self, key: usize) {
        let Some((connection, _)) = self.connections.get_mut(&key) else { return };
        match connection.read(self.clock) {
            Ok(None) => {}
            Ok(Some(message)) => match self.connections[&key].1 {
                ConnectionRole::Incoming { .. } => self.handle_request(key, &message),
                ConnectionRole::Outgoing { request_key, .. } => {
                    self.handle_response(key, request_key, &message)
                }
            },
            Err(_) => self.handle_closed(key),
        }
    }

    fn close(&mut self, key: usize) -> Option<ConnectionRole> {
        let (connection, role) = self.connections.remove(&key)?;
        connection.close(&self.poller);
        self.idle.retain(|idle| *idle != key);
        Some(role)
    }

    /// Handles the end of a connection: an open incoming request is cancelled, and one that waits on the next
    /// tier fails with 502.
    fn handle_closed(&mut self, key: usize) {
        match self.close(key) {
            Some(ConnectionRole::Incoming { waiting_on: Some(waiting_on) }) => {
                self.update_counters(|counters| counters.cancelled += 1);
                self.due_responses.retain(|(_, waiting)| *waiting != key);
                if waiting_on != key {
                    self.close(waiting_on);
                }
            }
            Some(ConnectionRole::Outgoing { request_key: Some(request_key), .. }) => {
                self.reply_bad_gateway(request_key)
            }
            _ => {}
        }
    }

    fn reply_bad_gateway(&mut self, key: usize) {
        self.update_counters(|counters| counters.broken_connections += 1);
        let response = encode_response(502, None, "", self.clock);
        self.reply(key, &response);
    }

    fn reply(&mut self, key: usize, message: &str) {
        if let Some((connection, role)) = self.connections.get_mut(&key) {
            *role = ConnectionRole::Incoming { waiting_on: None };
            if connection.write(message).is_err() {
                self.close(key);
            }
        }
    }

    fn handle_request(&mut self, key: usize, message: &Message) {
        let id = message.header("Request-Id").unwrap_or_default().to_string();
        let request_number = id.split('-').next().unwrap_or_default().to_string();
        let transit = message.transit();
        self.update_counters(|counters| {
            counters.attempts += 1;
            counters.requests.extend(request_number.parse::<u64>());
            match counters.seen_ids.insert(id) {
                true => transit
                    .into_iter()
                    .for_each(|transit| counters.request_transit.saturating_record(transit)),
                false => counters.repeats += 1,
            }
        });
        let Some(next_tier) = self.next_tier else { return self.schedule_response(key) };
        let time_left_ms: u64 = message
            .header("Request-Timeout-Ms")
            .and_then(|time_left_ms| time_left_ms.parse().ok())
            .unwrap_or(1);
        let elapsed_ms = (self.clock.now() - message.first_byte_at) / 1_000_000;
        // A repeat gets an id of its own here, so that the next tier's sidecar does not take it for the same
        // request.
        let onward_key = self.next_key();
        let request = encode_request(
            &format!("{request_number}-{}-{onward_key}", self.number),
            time_left_ms.saturating_sub(elapsed_ms).max(1),
            self.clock,
        );
        match self.send_request(next_tier, onward_key, key, &request) {
            Some(waiting_on) => {
                _ = self
                    .connections
                    .get_mut(&key)
                    .map(|(_, role)| *role = ConnectionRole::Incoming { waiting_on: Some(waiting_on) })
            }
            None => self.reply_bad_gateway(key),
        }
    }

    /// Sends a request on an idle connection that is still usable, or on a new one under `new_key`. Returns
    /// the connection's key.
    fn send_request(
        &mut self, next_tier: SocketAddr, new_key: usize, request_key: usize, request: &str,
    ) -> Option<usize> {
        let now = self.clock.now();
        while let Some(key) = self.idle.pop() {
            let Some((connection, role)) = self.connections.get_mut(&key) else { continue };
            let usable = matches!(role, ConnectionRole::Outgoing { idle_since, .. } if now - *idle_since < IDLE_LIMIT_NS);
            if usable && connection.write(request).is_ok() {
                *role = ConnectionRole::Outgoing { request_key: Some(request_key), idle_since: now };
                return Some(key);
            }
            self.close(key);
        }
        let mut connection = Connection::connect(next_tier, &self.poller, new_key).ok()?;
        connection.write(request).ok()?;
        self.connections.insert(
            new_key,
            (connection, ConnectionRole::Outgoing { request_key: Some(request_key), idle_since: now }),
        );
        Some(new_key)
    }

    fn handle_response(&mut self, key: usize, request_key: Option<usize>, message: &Message) {
        let now = self.clock.now();
        if let Some(transit) = message.transit() {
            self.update_counters(|counters| counters.response_transit.saturating_record(transit));
        }
        match message.keeps_alive() {
            true => {
                _ = self
                    .connections
                    .get_mut(&key)
                    .map(|(_, role)| *role = ConnectionRole::Outgoing { request_key: None, idle_since: now });
                self.idle.push(key);
            }
            false => _ = self.close(key),
        }
        if let Some(request_key) = request_key {
            let forwarded = encode_response(message.status(), Some(message), &message.body, self.clock);
            self.reply(request_key, &forwarded);
        }
    }

    /// Schedules the last tier's response to a request.
    fn schedule_response(&mut self, key: usize) {
        let response_delay_ns = self.response_delay_ns.load(Ordering::Relaxed);
        let in_tail = response_delay_ns > 0 && self.rng.generate::<f64>() < TAIL_SHARE;
        let delay_ns = if in_tail { response_delay_ns * TAIL_FACTOR } else { response_delay_ns };
        _ = self
            .connections
            .get_mut(&key)
            .map(|(_, role)| *role = ConnectionRole::Incoming { waiting_on: Some(key) });
        self.due_responses.insert((self.clock.now() + delay_ns, key));
    }

    fn send_due_responses(&mut self) {
        while let Some(&(due_at, key)) =
            self.due_responses.first().filter(|(due_at, _)| *due_at <= self.clock.now())
        {
            self.due_responses.remove(&(due_at, key));
            let response = encode_response(200, None, "ok", self.clock);
            self.reply(key, &response);
        }
    }
}
