//! The tiers of a chain: apps that pass each call on to the next tier, and the last one's servers, which answer it.
//! Each tier has a thread, which sleeps until something comes or is due.
use super::wire::{answer, request, Clock, Link, Message};
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

/// A connection to the next tier that is unused for longer is not used again: whoever listens there closes it later.
pub const IDLE: u64 = 5_000_000_000;
/// Of the slow answers so many take ten times as long.
const TAIL: f64 = 0.05;
const TAIL_FACTOR: u64 = 10;

/// Nanoseconds, to three figures.
pub fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, 60_000_000_000, 3);
    made.unwrap_or_else(|fault| unreachable!("bounds that are sound: {fault}"))
}

/// What one tier saw since it was last asked.
pub struct Seen {
    /// Requests that reached it, copies included.
    pub hops: u64,
    /// Of these, those whose id had come before.
    pub copies: u64,
    /// Ended by whoever asked before there was an answer.
    pub withdrawn: u64,
    /// Connections to the next tier that broke under a call.
    pub broken: u64,
    /// From the write of a request before this tier to its first byte here; first copies alone.
    pub request_transit: Histogram<u64>,
    /// The same of answers from the next tier.
    pub answer_transit: Histogram<u64>,
    ids: HashSet<String>,
    /// Numbers of the first caller's calls that came.
    pub calls: HashSet<u64>,
}

impl Default for Seen {
    fn default() -> Seen {
        Seen {
            hops: 0,
            copies: 0,
            withdrawn: 0,
            broken: 0,
            request_transit: histogram(),
            answer_transit: histogram(),
            ids: HashSet::new(),
            calls: HashSet::new(),
        }
    }
}

/// A running tier, ended with this.
pub struct Tier {
    pub addresses: Vec<SocketAddr>,
    seen: Arc<Mutex<Seen>>,
    /// How long an answer of the last tier takes, in nanoseconds.
    slow: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    poller: Arc<Poller>,
    thread: Option<JoinHandle<()>>,
}

impl Tier {
    /// Listens at so many addresses; passes calls on to `next`, or answers them where there is none.
    pub fn start(
        number: usize, servers: usize, next: Option<SocketAddr>, clock: Clock, seed: u64,
    ) -> Result<Tier> {
        let poller = Arc::new(Poller::new()?);
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for key in 0..servers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            addresses.push(listener.local_addr()?);
            // SAFETY: the loop owns the listeners, and uses the poller no more once they are closed.
            unsafe { poller.add_with_mode(&listener, Event::readable(key), PollMode::Level)? };
            listeners.push(listener);
        }
        let (seen, slow, over) = <(Arc<Mutex<Seen>>, Arc<AtomicU64>, Arc<AtomicBool>)>::default();
        let mut work = Loop {
            number,
            next,
            clock,
            poller: poller.clone(),
            given: listeners.len(),
            listeners,
            links: HashMap::new(),
            unused: Vec::new(),
            due: BTreeSet::new(),
            random: WyRand::new_seed(seed),
            seen: seen.clone(),
            slow: slow.clone(),
        };
        let end = over.clone();
        let thread = std::thread::Builder::new().name(format!("tier {number}")).spawn(move || {
            if let Err(fault) = work.run(&end) {
                eprintln!("oakhollow-lab: tier {number}: {fault}");
            }
        })?;
        Ok(Tier { addresses, seen, slow, over, poller, thread: Some(thread) })
    }

    /// What it saw; counted anew from here on.
    pub fn take(&self) -> Seen {
        std::mem::take(&mut *self.seen.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// From now on each answer takes so long, and some ten times that.
    pub fn slow_down(&self, length: Duration) {
        self.slow.store(length.as_nanos() as u64, Ordering::Relaxed);
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let _ = self.poller.notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What a connection is for, and which one stands at the other end of its call.
enum Role {
    /// From the tier before; its own key stands where the call waits for its time here.
    Asks { open: Option<usize> },
    /// To the next tier; none asks while it is unused.
    Asked { by: Option<usize>, unused_since: u64 },
}

struct Loop {
    number: usize,
    next: Option<SocketAddr>,
    clock: Clock,
    poller: Arc<Poller>,
    listeners: Vec<TcpListener>,
    /// Keys are given once, so that nothing late meets another connection.
    links: HashMap<usize, (Link, Role)>,
    given: usize,
    /// Connections to the next tier; the last was used last.
    unused: Vec<usize>,
    /// Answers that wait for their time.
    due: BTreeSet<(u64, usize)>,
    random: WyRand,
    seen: Arc<Mutex<Seen>>,
    slow: Arc<AtomicU64>,
}

impl Loop {
    fn run(&mut self, over: &AtomicBool) -> Result<()> {
        let mut events = Events::new();
        loop {
            let next = self.due.first().map(|(at, _)| *at);
            let wait = next.map(|at| Duration::from_nanos(at.saturating_sub(self.clock.now())));
            events.clear();
            self.poller.wait(&mut events, wait)?;
            if over.load(Ordering::SeqCst) {
                return Ok(());
            }
            for event in events.iter() {
                match self.listeners.get(event.key) {
                    Some(_) => self.accept(event.key)?,
                    None => self.stirred(event.key),
                }
            }
            self.answer_due();
        }
    }

    fn note(&self, write: impl FnOnce(&mut Seen)) {
        write(&mut self.seen.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn key(&mut self) -> usize {
        self.given += 1;
        self.given
    }

    fn accept(&mut self, at: usize) -> Result<()> {
        while let Ok((stream, _)) = self.listeners[at].accept() {
            let key = self.key();
            let link = Link::taken(stream, &self.poller, key)?;
            self.links.insert(key, (link, Role::Asks { open: None }));
        }
        Ok(())
    }

    fn stirred(&mut self, key: usize) {
        let Some((link, _)) = self.links.get_mut(&key) else { return };
        match link.read(self.clock) {
            Ok(None) => {}
            Ok(Some(message)) => match self.links[&key].1 {
                Role::Asks { .. } => self.asked(key, &message),
                Role::Asked { by, .. } => self.answered(key, by, &message),
            },
            Err(_) => self.gone(key),
        }
    }

    fn close(&mut self, key: usize) -> Option<Role> {
        let (link, role) = self.links.remove(&key)?;
        link.close(&self.poller);
        self.unused.retain(|unused| *unused != key);
        Some(role)
    }

    /// A connection has ended: what is open on it is withdrawn, or can't be answered any more.
    fn gone(&mut self, key: usize) {
        match self.close(key) {
            Some(Role::Asks { open: Some(open) }) => {
                self.note(|seen| seen.withdrawn += 1);
                self.due.retain(|(_, waiting)| *waiting != key);
                if open != key {
                    self.close(open);
                }
            }
            Some(Role::Asked { by: Some(by), .. }) => self.fail(by),
            _ => {}
        }
    }

    fn fail(&mut self, key: usize) {
        self.note(|seen| seen.broken += 1);
        let failed = answer(502, None, "", self.clock);
        self.reply(key, &failed);
    }

    fn reply(&mut self, key: usize, message: &str) {
        if let Some((link, role)) = self.links.get_mut(&key) {
            *role = Role::Asks { open: None };
            if link.write(message).is_err() {
                self.close(key);
            }
        }
    }

    fn asked(&mut self, key: usize, message: &Message) {
        let id = message.header("Request-Id").unwrap_or_default().to_string();
        let call = id.split('-').next().unwrap_or_default().to_string();
        let transit = message.transit();
        self.note(|seen| {
            seen.hops += 1;
            seen.calls.extend(call.parse::<u64>());
            match seen.ids.insert(id) {
                true => {
                    transit.into_iter().for_each(|transit| seen.request_transit.saturating_record(transit))
                }
                false => seen.copies += 1,
            }
        });
        let Some(next) = self.next else { return self.take_in(key) };
        let left: u64 = message.header("Request-Timeout-Ms").and_then(|left| left.parse().ok()).unwrap_or(1);
        let passed_ms = (self.clock.now() - message.first_byte) / 1_000_000;
        // Whatever id a copy has, the next tier's sidecar must not take it for the same request.
        let onward = self.key();
        let ask = request(
            &format!("{call}-{}-{onward}", self.number),
            left.saturating_sub(passed_ms).max(1),
            self.clock,
        );
        match self.send(next, onward, key, &ask) {
            Some(open) => {
                _ = self.links.get_mut(&key).map(|(_, role)| *role = Role::Asks { open: Some(open) })
            }
            None => self.fail(key),
        }
    }

    /// On a connection that is still good, or on a new one under the given key.
    fn send(&mut self, next: SocketAddr, fresh: usize, by: usize, ask: &str) -> Option<usize> {
        let now = self.clock.now();
        while let Some(kept) = self.unused.pop() {
            let Some((link, role)) = self.links.get_mut(&kept) else { continue };
            let good = matches!(role, Role::Asked { unused_since, .. } if now - *unused_since < IDLE);
            if good && link.write(ask).is_ok() {
                *role = Role::Asked { by: Some(by), unused_since: now };
                return Some(kept);
            }
            self.close(kept);
        }
        let mut link = Link::connect(next, &self.poller, fresh).ok()?;
        link.write(ask).ok()?;
        self.links.insert(fresh, (link, Role::Asked { by: Some(by), unused_since: now }));
        Some(fresh)
    }

    fn answered(&mut self, key: usize, by: Option<usize>, message: &Message) {
        let now = self.clock.now();
        if let Some(transit) = message.transit() {
            self.note(|seen| seen.answer_transit.saturating_record(transit));
        }
        match message.lasts() {
            true => {
                _ = self
                    .links
                    .get_mut(&key)
                    .map(|(_, role)| *role = Role::Asked { by: None, unused_since: now });
                self.unused.push(key);
            }
            false => _ = self.close(key),
        }
        if let Some(by) = by {
            let passed = answer(message.status(), Some(message), &message.body, self.clock);
            self.reply(by, &passed);
        }
    }

    /// The last tier's work.
    fn take_in(&mut self, key: usize) {
        let slow = self.slow.load(Ordering::Relaxed);
        let long = slow > 0 && self.random.generate::<f64>() < TAIL;
        let takes = if long { slow * TAIL_FACTOR } else { slow };
        _ = self.links.get_mut(&key).map(|(_, role)| *role = Role::Asks { open: Some(key) });
        self.due.insert((self.clock.now() + takes, key));
    }

    fn answer_due(&mut self) {
        while let Some(&(at, key)) = self.due.first().filter(|(at, _)| *at <= self.clock.now()) {
            self.due.remove(&(at, key));
            let done = answer(200, None, "ok", self.clock);
            self.reply(key, &done);
        }
    }
}
