//! The one caller before a chain: an open loop, counted from when each call should have gone out.
use super::tiers::{histogram, IDLE};
use super::wire::{request, Clock, Link, Message};
use hdrhistogram::Histogram;
use polling::{Events, Poller};
use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a caller waits for an answer.
pub const PATIENCE_MS: u64 = 3_000;
/// A call that goes out later than that is late.
pub const LATE: Duration = Duration::from_millis(5);
/// After the last call: patience, and some.
const DRAINED: u64 = (PATIENCE_MS + 1_000) * 1_000_000;

/// One round of calls.
#[derive(Clone, Copy)]
pub struct Calls {
    pub rate: f64,
    /// Before the figures count.
    pub lead: Duration,
    pub length: Duration,
    /// No other round has calls of these numbers.
    pub first: u64,
}

impl Calls {
    pub fn count(&self) -> u64 {
        ((self.lead + self.length).as_secs_f64() * self.rate) as u64
    }

    /// When a call is due after the round's start, in nanoseconds.
    fn due(&self, call: u64) -> u64 {
        (call as f64 / self.rate * 1e9) as u64
    }
}

/// What came of them.
pub struct Called {
    pub sent: u64,
    /// By status; 0 is a connection that broke.
    pub answers: HashMap<u16, u64>,
    /// Answers on connections on which nothing was asked.
    pub unasked: u64,
    pub unanswered: u64,
    /// Of those that count: how many, how many went out late, and from when each was due to its answer's last byte.
    pub counted: u64,
    pub late: u64,
    pub latency: Histogram<u64>,
    pub answer_transit: Histogram<u64>,
}

impl Called {
    pub fn late_share(&self) -> f64 {
        self.late as f64 / self.counted.max(1) as f64
    }

    pub fn served(&self) -> u64 {
        self.answers.get(&200).copied().unwrap_or(0)
    }
}

struct Caller {
    to: SocketAddr,
    clock: Clock,
    poller: Poller,
    links: HashMap<usize, (Link, Option<u64>)>,
    /// With when each was last used.
    unused: Vec<(usize, u64)>,
    given: usize,
    seen: Called,
}

pub fn call(to: SocketAddr, calls: &Calls, begin: u64, clock: Clock) -> Result<Called> {
    let seen = Called {
        sent: 0,
        answers: HashMap::new(),
        unasked: 0,
        unanswered: 0,
        counted: 0,
        late: 0,
        latency: histogram(),
        answer_transit: histogram(),
    };
    let mut caller = Caller {
        to,
        clock,
        poller: Poller::new()?,
        links: HashMap::new(),
        unused: Vec::new(),
        given: 0,
        seen,
    };
    caller.run(calls, begin)?;
    Ok(caller.seen)
}

impl Caller {
    fn run(&mut self, calls: &Calls, begin: u64) -> Result<()> {
        let (mut events, count) = (Events::new(), calls.count());
        let (counts_from, end) = (begin + calls.lead.as_nanos() as u64, begin + calls.due(count) + DRAINED);
        loop {
            let now = self.clock.now();
            if self.seen.sent == count && (self.open() == 0 || now >= end) {
                self.seen.unanswered = self.open() as u64;
                return Ok(());
            }
            let due = begin + calls.due(self.seen.sent);
            if self.seen.sent < count && now >= due {
                self.ask(calls.first + self.seen.sent, due)?;
                if due >= counts_from {
                    self.seen.counted += 1;
                    self.seen.late += u64::from(now - due > LATE.as_nanos() as u64);
                }
                continue;
            }
            let until = if self.seen.sent < count { due } else { end };
            events.clear();
            self.poller.wait(&mut events, Some(Duration::from_nanos(until - now)))?;
            for event in events.iter() {
                self.stirred(event.key, counts_from);
            }
        }
    }

    fn open(&self) -> usize {
        self.links.values().filter(|(_, due)| due.is_some()).count()
    }

    fn ask(&mut self, number: u64, due: u64) -> Result<()> {
        self.seen.sent += 1;
        let ask = request(&format!("{number}-0"), PATIENCE_MS, self.clock);
        while let Some((key, since)) = self.unused.pop() {
            let Some((link, open)) = self.links.get_mut(&key) else { continue };
            if self.clock.now() - since < IDLE && link.write(&ask).is_ok() {
                *open = Some(due);
                return Ok(());
            }
            self.close(key);
        }
        self.given += 1;
        let mut link = Link::connect(self.to, &self.poller, self.given)?;
        link.write(&ask)?;
        self.links.insert(self.given, (link, Some(due)));
        Ok(())
    }

    fn close(&mut self, key: usize) -> Option<u64> {
        let (link, due) = self.links.remove(&key)?;
        link.close(&self.poller);
        due
    }

    fn stirred(&mut self, key: usize, counts_from: u64) {
        let Some((link, due)) = self.links.get_mut(&key) else { return };
        match link.read(self.clock) {
            Ok(None) => {}
            Ok(Some(message)) => {
                match due.take() {
                    Some(due) => self.answered(due, &message, counts_from),
                    None => self.seen.unasked += 1,
                }
                match message.lasts() {
                    true => self.unused.push((key, self.clock.now())),
                    false => _ = self.close(key),
                }
            }
            Err(_) => {
                if self.close(key).is_some() {
                    *self.seen.answers.entry(0).or_default() += 1;
                }
            }
        }
    }

    fn answered(&mut self, due: u64, message: &Message, counts_from: u64) {
        *self.seen.answers.entry(message.status()).or_default() += 1;
        if due >= counts_from && message.status() == 200 {
            self.seen.latency.saturating_record(self.clock.now() - due);
            if let Some(transit) = message.transit() {
                self.seen.answer_transit.saturating_record(transit);
            }
        }
    }
}
