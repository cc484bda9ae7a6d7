//! The client of a chain: an open-loop load generator that measures latency from when each request was due to
//! be sent.
use super::tiers::{histogram, IDLE_LIMIT_NS};
use super::wire::{encode_request, Clock, Connection, Message};
use hdrhistogram::Histogram;
use polling::{Events, Poller};
use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout that the client announces, in milliseconds.
pub const CLIENT_TIMEOUT_MS: u64 = 3_000;
/// A request that is sent later than this after it was due counts as late.
pub const LATE_THRESHOLD: Duration = Duration::from_millis(5);
/// How long the client waits after the last request was due: the timeout plus a second.
const DRAIN_TIME_NS: u64 = (CLIENT_TIMEOUT_MS + 1_000) * 1_000_000;

/// The requests of one round.
#[derive(Clone, Copy)]
pub struct LoadPlan {
    /// Requests per second, sent whether or not earlier ones were answered.
    pub rate: f64,
    /// Requests that are due during the warm-up are not measured.
    pub warm_up: Duration,
    /// How long requests are sent after the warm-up.
    pub duration: Duration,
    /// Request numbers count from here; no other round uses the same ones.
    pub first_id: u64,
}

impl LoadPlan {
    /// The number of requests, the warm-up included.
    pub fn request_count(&self) -> u64 {
        ((self.warm_up + self.duration).as_secs_f64() * self.rate) as u64
    }

    /// When a request is due after the round's start, in nanoseconds.
    fn due_ns(&self, number: u64) -> u64 {
        (number as f64 / self.rate * 1e9) as u64
    }
}

/// The results of a round as the client saw them.
pub struct ClientResults {
    /// Requests that were sent.
    pub sent: u64,
    /// Responses by status; 0 counts connections that broke before the response.
    pub responses: HashMap<u16, u64>,
    /// Responses on connections without an open request.
    pub unsolicited: u64,
    /// Requests without a response at the end of the round.
    pub unanswered: u64,
    /// Requests after the warm-up.
    pub measured: u64,
    /// Requests after the warm-up that were sent late.
    pub late: u64,
    /// From when a request was due to its response's last byte, in nanoseconds, of served requests after the
    /// warm-up.
    pub latency: Histogram<u64>,
    /// Transit times of these requests' responses, from the first tier's write to the first byte here.
    pub response_transit: Histogram<u64>,
}

impl ClientResults {
    /// The share of measured requests that were sent late.
    pub fn late_fraction(&self) -> f64 {
        self.late as f64 / self.measured.max(1) as f64
    }

    /// Responses with status 200.
    pub fn served(&self) -> u64 {
        self.responses.get(&200).copied().unwrap_or(0)
    }
}

struct Client {
    address: SocketAddr,
    clock: Clock,
    poller: Poller,
    /// The connections by key, each with when its open request was due, if one is open.
    connections: HashMap<usize, (Connection, Option<u64>)>,
    /// Idle connections, with when each was last used.
    idle: Vec<(usize, u64)>,
    last_key: usize,
    results: ClientResults,
}

/// Sends the requests of a round to `address`, beginning at `begin_ns` of the clock, and waits for their
/// responses.
pub fn run_load(address: SocketAddr, load: &LoadPlan, begin_ns: u64, clock: Clock) -> Result<ClientResults> {
    let results = ClientResults {
        sent: 0,
        responses: HashMap::new(),
        unsolicited: 0,
        unanswered: 0,
        measured: 0,
        late: 0,
        latency: histogram(),
        response_transit: histogram(),
    };
    let mut client = Client {
        address,
        clock,
        poller: Poller::new()?,
        connections: HashMap::new(),
        idle: Vec::new(),
        last_key: 0,
        results,
    };
    client.run(load, begin_ns)?;
    Ok(client.results)
}

impl Client {
    fn run(&mut self, load: &LoadPlan, begin_ns: u64) -> Result<()> {
        let (mut events, count) = (Events::new(), load.request_count());
        let (measured_from, end_ns) =
            (begin_ns + load.warm_up.as_nanos() as u64, begin_ns + load.due_ns(count) + DRAIN_TIME_NS);
        loop {
            let now = self.clock.now();
            if self.results.sent == count && (self.open_requests() == 0 || now >= end_ns) {
                self.results.unanswered = self.open_requests() as u64;
                return Ok(());
            }
            let due_at = begin_ns + load.due_ns(self.results.sent);
            if self.results.sent < count && now >= due_at {
                self.send_request(load.first_id + self.results.sent, due_at)?;
                if due_at >= measured_from {
                    self.results.measured += 1;
                    self.results.late += u64::from(now - due_at > LATE_THRESHOLD.as_nanos() as u64);
                }
                continue;
            }
            let until = if self.results.sent < count { due_at } else { end_ns };
            events.clear();
            self.poller.wait(&mut events, Some(Duration::from_nanos(until - now)))?;
            for event in events.iter() {
                self.handle_event(event.key, measured_from);
            }
        }
    }

    fn open_requests(&self) -> usize {
        self.connections.values().filter(|(_, due_at)| due_at.is_some()).count()
    }

    fn send_request(&mut self, number: u64, due_at: u64) -> Result<()> {
        self.results.sent += 1;
        let request = encode_request(&format!("{number}-0"), CLIENT_TIMEOUT_MS, self.clock);
        while let Some((key, since)) = self.idle.pop() {
            let Some((connection, pending)) = self.connections.get_mut(&key) else { continue };
            if self.clock.now() - since < IDLE_LIMIT_NS && connection.write(&request).is_ok() {
                *pending = Some(due_at);
                return Ok(());
            }
            self.close(key);
        }
        self.last_key += 1;
        let mut connection = Connection::connect(self.address, &self.poller, self.last_key)?;
        connection.write(&request)?;
        self.connections.insert(self.last_key, (connection, Some(due_at)));
        Ok(())
    }

    fn close(&mut self, key: usize) -> Option<u64> {
        let (connection, due_at) = self.connections.remove(&key)?;
        connection.close(&self.poller);
        due_at
    }

    fn handle_event(&mut self, key: usize, measured_from: u64) {
        let Some((connection, due_at)) = self.connections.get_mut(&key) else { return };
        match connection.read(self.clock) {
            Ok(None) => {}
            Ok(Some(message)) => {
                match due_at.take() {
                    Some(due_at) => self.record_response(due_at, &message, measured_from),
                    None => self.results.unsolicited += 1,
                }
                match message.keeps_alive() {
                    true => self.idle.push((key, self.clock.now())),
                    false => _ = self.close(key),
                }
            }
            Err(_) => {
                if self.close(key).is_some() {
                    *self.results.responses.entry(0).or_default() += 1;
                }
            }
        }
    }

    fn record_response(&mut self, due_at: u64, message: &Message, measured_from: u64) {
        *self.results.responses.entry(message.status()).or_default() += 1;
        if due_at >= measured_from && message.status() == 200 {
            self.results.latency.saturating_record(self.clock.now() - due_at);
            if let Some(transit) = message.transit() {
                self.results.response_transit.saturating_record(transit);
            }
        }
    }
}
