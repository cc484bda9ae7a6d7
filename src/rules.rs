//! Every decision of one sidecar. How to call it: build a [`Sidecar`] from the place's [`Terms`] and a seed,
//! hand each event to [`Sidecar::on`] with the present time, and carry out, in order, the actions that it
//! appends. It reads no clock and shares nothing. The interface is in `types.rs`, the measures are in `lib.rs`,
//! and `docs/design.md` says what is kept of the design and when each departure acts.
use crate::types::*;
use crate::{Bins, Slices};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use Effect::*;
use Input::*;
use State::*;

const WINDOW: Micros = Micros::millis(30_000); // the design's, in four slices
const QUANTILE: f64 = 0.9; // a hop that outlives this share of recent answers may be copied
const MINIMUM_SAMPLES: u32 = 20;
const BUDGET_SHARE: f64 = 0.1; // copies and retries for each first send
const BUDGET_DEPTH: f64 = 8.0; // unspent budget kept, so that a burst of failures can be met
const SUPPRESS_AT: f64 = 1.0;
const TRIP_FLOOR: f64 = 0.05;
const MINIMUM_CALLS: f64 = 10.0;
const EASED: f64 = 1.3; // and the level below which it is over
const CROWDED: f64 = 1.6; // latency over its uncrowded level that counts as crowding
const PATIENCE: f64 = 0.4; // the part of the quoted time that may be spent in our own queue
const ASIDE: Micros = Micros::millis(1_500); // first time a server is set aside; doubled each time
const POKE: Micros = Micros::millis(25);
const BEAT: Micros = Micros::millis(1_000);

/// Where an API call stands.
#[derive(Clone, Copy, PartialEq, Debug)]
enum State {
    Fresh,
    Queued,
    Out,
    Raced,
    Over,
}

/// What happens to it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Input {
    Room,
    Crowd,
    Hopeless,
    Outlived,
    Answered,
    LostOne,
    LostAgain,
    LostAll,
    Worthless,
    Left,
}

/// What is done about it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Effect {
    Send,
    Enqueue,
    Copy,
    Resend,
    TurnAway,
    Drop,
    Nothing,
}

/// The life of an API call. What is not listed here leaves it as it is.
const CALLS: &[(State, Input, State, Effect)] = &[
    (Fresh, Room, Out, Send),
    (Fresh, Crowd, Queued, Enqueue),
    (Fresh, Hopeless, Over, TurnAway),
    (Queued, Room, Out, Send),
    (Queued, Hopeless, Over, TurnAway),
    (Queued, Worthless, Over, TurnAway),
    (Queued, Left, Over, Drop),
    (Out, Outlived, Raced, Copy),
    (Out, Answered, Over, Drop),
    (Out, LostAgain, Out, Resend),
    (Out, Crowd, Queued, Enqueue),
    (Out, LostAll, Over, TurnAway),
    (Out, Worthless, Over, TurnAway),
    (Out, Left, Over, Drop),
    (Raced, LostOne, Out, Nothing),
    (Raced, Answered, Over, Drop),
    (Raced, Worthless, Over, TurnAway),
    (Raced, Left, Over, Drop),
];

/// How far a server is trusted.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Trust {
    Fit,
    Aside,
    Trial,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Sign {
    Condemned,
    Due,
    Good,
    Bad,
}

const SERVERS: &[(Trust, Sign, Trust)] = &[
    (Trust::Fit, Sign::Condemned, Trust::Aside),
    (Trust::Aside, Sign::Due, Trust::Trial),
    (Trust::Trial, Sign::Good, Trust::Fit),
    (Trust::Trial, Sign::Bad, Trust::Aside),
];

struct Hop {
    server: ServerId,
    place: PlaceId,
    cell: CellId,
    sent: Micros,
    ended: Option<Outcome>,
    outlived: bool,
    copy: bool,
}

struct Call {
    workload: usize,
    state: State,
    place_in_queue: (u32, u64),
    abandon: Micros,
    patience: Micros,
    hops: Vec<Hop>,
}

struct Server {
    listing: Listing,
    out: u32,
    answered: bool,
    trust: Trust,
    until: Micros,
    asides: u32,
    good: f64,
    bad: f64,
    unreached: u32,
    cold_spent: f64,
    cold_seen: Micros,
}

impl Server {
    fn new(listing: &Listing, now: Micros, early: f64) -> Server {
        Server {
            listing: listing.clone(),
            out: 0,
            answered: false,
            trust: Trust::Fit,
            until: now,
            asides: 0,
            good: 0.0,
            bad: 0.0,
            unreached: 0,
            cold_spent: early, // spreads the first sends of many sidecars, so they don't meet a cold server at once
            cold_seen: now,
        }
    }

    fn usable(&self) -> bool {
        self.listing.standing == Standing::Ready && self.trust == Trust::Fit
    }

    /// What is still unpaid of the work sent to it while cold.
    fn cold_left(&self, rate: f64, now: Micros) -> f64 {
        (self.cold_spent - rate * (now - self.cold_seen).secs()).max(0.0)
    }
}

/// What is left of a customer's share: API calls beyond it count for less.
struct Purse {
    rate: f64,
    left: f64,
    seen: Micros,
}

impl Purse {
    fn take(&mut self, now: Micros) -> bool {
        self.left = (self.left + self.rate * (now - self.seen).secs()).min(2.0 * self.rate.max(1.0));
        self.seen = now;
        let within = self.left >= 1.0;
        self.left -= f64::from(u8::from(within));
        within
    }
}

/// One instance of the decisions.
pub struct Sidecar {
    workloads: Vec<Workload>,
    ranks: Vec<u32>,
    purses: Vec<Purse>,
    beyond_share: f64,
    lifted: f64,
    most_hops: usize,
    may_cancel: bool,
    may_race: bool,
    cool_down: Micros,
    must_ask: bool,
    ask_again: Micros,
    my_part: f64,
    cold_from: f64,
    warm_within: Micros,
    fall_span: Micros,
    chance: WyRand,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    queue: BTreeMap<(u32, u64), CallId>,
    serial: u64,
    total_out: u32,
    slices: Slices,
    recent: Bins,
    long: Bins,
    sends_a_second: f64,
    opening: bool,
    level: Option<f64>,
    width: f64,
    crowded: bool,
    budget: f64,
    outcomes: (f64, f64),
    long_run: (f64, f64),
    suppressed: bool,
    failed_asks: u32,
    asking: bool,
    poked: bool,
    warm_sends: f64,
    sends: f64,
    warm_rate: f64,
    now: Micros,
}

// Timers carry the API call in the upper bits and what they are for in the lower two.
const COPY_TIMER: u64 = 0;
const PATIENCE_TIMER: u64 = 1;
const WORTHLESS_TIMER: u64 = 2;
const OWN_TIMER: u64 = 3;
const ASK: u64 = OWN_TIMER;
const POKED: u64 = 4 + OWN_TIMER;
const HEARTBEAT: u64 = 8 + OWN_TIMER;

impl Sidecar {
    pub fn new(terms: &Terms, seed: u64, now: Micros, out: &mut Vec<Action>) -> Sidecar {
        let rank = |payoff: f64| (payoff.max(0.0) * 1000.0) as u32;
        let sidecars = f64::from(terms.sidecars.max(1));
        let purse = |rate: &f64| Purse { rate: rate / sidecars, left: 2.0 * rate / sidecars, seen: now };
        let mut sidecar = Sidecar {
            ranks: terms.workloads.iter().map(|workload| rank(workload.payoff)).collect(),
            workloads: terms.workloads.clone(),
            purses: terms.customers.iter().map(purse).collect(),
            beyond_share: terms.beyond_share,
            lifted: terms.worst_workload,
            most_hops: terms.most_hops as usize,
            may_cancel: terms.may_cancel,
            may_race: terms.may_race,
            cool_down: terms.cool_down,
            must_ask: terms.must_ask,
            ask_again: Micros(terms.ask_within.0 / 2),
            my_part: 1.0 / sidecars,
            cold_from: terms.cold_from,
            warm_within: terms.warm_within,
            fall_span: terms.fall_span,
            chance: WyRand::new_seed(seed),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            queue: BTreeMap::new(),
            serial: 0,
            total_out: 0,
            slices: Slices::new(WINDOW, QUANTILE, MINIMUM_SAMPLES),
            recent: Bins::default(),
            long: Bins::default(),
            sends_a_second: 0.0,
            opening: true,
            level: None,
            width: 0.0,
            crowded: false,
            budget: 2.0,
            outcomes: (0.0, 0.0),
            long_run: (0.0, 0.0),
            suppressed: false,
            failed_asks: 0,
            asking: false,
            poked: false,
            warm_sends: 0.0,
            sends: 0.0,
            warm_rate: 0.0,
            now,
        };
        sidecar.wake(BEAT, HEARTBEAT, out);
        if sidecar.must_ask {
            sidecar.asking = true;
            out.push(Action::Subscribe);
        }
        sidecar
    }

    pub fn on(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Listed { kind, entries } => self.listed(kind, entries, out),
            Event::Arrived { call, workload, left, customer } => {
                self.arrived(call, workload.0, left, customer.0, out)
            }
            Event::Streaming { call, hop } => self.streaming(call, hop, out),
            Event::Ended { call, hop, outcome, waited, closed } => {
                self.ended(call, hop.0 as usize, outcome, waited, closed, out)
            }
            Event::Withdrawn { call } => self.step(call, Left, out),
            Event::Woke(Token(token)) => {
                let call = CallId((token >> 2) as u32);
                match (token & 3, token) {
                    (COPY_TIMER, _) => self.outlived(call, out),
                    (PATIENCE_TIMER, _) => self.step(call, Hopeless, out),
                    (WORTHLESS_TIMER, _) => self.step(call, Worthless, out),
                    (_, ASK) if !self.asking => {
                        self.asking = true;
                        out.push(Action::Subscribe);
                    }
                    (_, POKED) => self.poked = false,
                    (_, HEARTBEAT) => self.beat(out),
                    _ => {}
                }
            }
        }
        self.pump(out);
    }

    /// The short loop that reads the table: one input, the row for it, its effect, and the input that follows.
    fn step(&mut self, id: CallId, input: Input, out: &mut Vec<Action>) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let row = CALLS.iter().find(|(state, given, ..)| *state == call.state && *given == input);
            let Some(&(_, _, state, effect)) = row else { return };
            if call.state == Queued {
                self.queue.remove(&call.place_in_queue);
            }
            call.state = state;
            next = match effect {
                Send => self.send(id, false, out),
                Resend => self.resend(id, out),
                Copy => self.send(id, true, out),
                Enqueue => self.enqueue(id, out),
                TurnAway => self.turn_away(id, out),
                Drop => self.drop_rest(id, out),
                Nothing => None,
            };
        }
    }

    fn wake(&self, after: Micros, token: u64, out: &mut Vec<Action>) {
        out.push(Action::Wake { after, token: Token(token) });
    }

    fn log(&self, text: String, server: Option<ServerId>, out: &mut Vec<Action>) {
        out.push(Action::Log { text, server });
    }

    // ---- API calls ----

    fn arrived(&mut self, id: CallId, workload: usize, left: Micros, customer: usize, out: &mut Vec<Action>) {
        let within = self.purses.get_mut(customer).is_none_or(|purse| purse.take(self.now));
        let top = self.ranks.iter().copied().max().unwrap_or(0);
        // Guards against starving the cheapest workload: part of each is ranked with the dearest.
        let lift = f64::from(self.chance.generate::<u32>()) / 4294967296.0 < self.lifted;
        let rank = if lift { top } else { self.ranks[workload] };
        let rank = if within { rank } else { (f64::from(rank) * self.beyond_share) as u32 };
        self.serial += 1;
        let terms = &self.workloads[workload];
        let hope = terms.quoted.min(left);
        let call = Call {
            workload,
            state: Fresh,
            place_in_queue: (u32::MAX - rank, self.serial),
            abandon: self.now + left,
            patience: self.now + hope.times(PATIENCE),
            hops: Vec::new(),
        };
        // An answer that earns nothing is work taken from one that would.
        if terms.late_payoff <= 0.0 && terms.quoted < left {
            self.wake(terms.quoted, u64::from(id.0) << 2 | WORTHLESS_TIMER, out);
        }
        self.calls.insert(id, call);
        let room = self.queue.is_empty() && self.has_width() && self.pick(id).is_some();
        self.step(id, if room { Room } else { Crowd }, out);
    }

    fn has_width(&self) -> bool {
        f64::from(self.total_out) < self.width
    }

    /// The one gate that every send passes: a hop is allowed by the call's kind, its time and its count, and
    /// the pick has found a server that is ready, trusted, not crowded and within its cold budget.
    fn send(&mut self, id: CallId, copy: bool, out: &mut Vec<Action>) -> Option<Input> {
        let Some(server) = self.pick(id) else {
            return Some(if copy { LostOne } else { Crowd });
        };
        let now = self.now;
        let cold = self.cold_share(&self.servers[&server]).map(|share| self.cold_rate(share));
        let call = self.calls.get_mut(&id)?;
        let extra = !call.hops.is_empty();
        self.budget = if extra { self.budget - 1.0 } else { (self.budget + BUDGET_SHARE).min(BUDGET_DEPTH) };
        let give_up = call.abandon - now;
        out.push(Action::Send { call: id, server, give_up });
        self.total_out += 1;
        self.sends += 1.0;
        let target = self.servers.get_mut(&server)?;
        let (place, cell) = (target.listing.place, target.listing.cell);
        call.hops.push(Hop { server, place, cell, sent: now, ended: None, outlived: false, copy });
        target.out += 1;
        match cold {
            Some(rate) => {
                target.cold_spent = target.cold_left(rate, now) + 1.0;
                target.cold_seen = now;
            }
            None => self.warm_sends += 1.0,
        }
        if target.trust == Trust::Aside {
            self.sign(server, Sign::Due, "its time aside is over".into(), out);
        }
        if !copy {
            let quantile = self.slices.quantile(now).unwrap_or(give_up).min(give_up);
            self.wake(quantile, u64::from(id.0) << 2 | COPY_TIMER, out);
        }
        None
    }

    fn resend(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        if self.budget < 1.0 {
            return Some(LostAll);
        }
        self.send(id, false, out)
    }

    fn enqueue(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let call = &self.calls[&id];
        if self.now >= call.patience {
            return Some(Hopeless);
        }
        self.queue.insert(call.place_in_queue, id);
        self.wake(call.patience - self.now, u64::from(id.0) << 2 | PATIENCE_TIMER, out);
        // Answers leave at about width / latency a second; whoever would wait past its patience is told at once.
        while let Some((_, &last)) = self.queue.iter().next_back() {
            let median = self.recent.median().map_or(0.0, |median| median.0 as f64);
            let wait = Micros((median / self.width.max(1.0) * self.queue.len() as f64) as u64);
            if self.now + wait <= self.calls[&last].patience {
                break;
            }
            if last == id {
                return Some(Hopeless);
            }
            self.step(last, Hopeless, out);
        }
        None
    }

    fn pump(&mut self, out: &mut Vec<Action>) {
        while self.has_width() {
            let waiting: Vec<CallId> = self.queue.values().copied().take(4).collect();
            let Some(id) = waiting.into_iter().find(|&id| self.pick(id).is_some()) else { break };
            self.step(id, Room, out);
        }
        if !self.queue.is_empty() && !self.poked {
            self.poked = true;
            self.wake(POKE, POKED, out);
        }
    }

    fn turn_away(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let call = &self.calls[&id];
        let unrun = call.hops.iter().all(|hop| hop.ended.is_some_and(Outcome::proves_not_run));
        let harmless = match self.workloads[call.workload].kind {
            Kind::Repeatable | Kind::Tagged { group: Group::All, .. } => true,
            _ => unrun,
        };
        if harmless {
            let spread = 0.5 + f64::from(self.chance.generate::<u32>()) / 8589934592.0;
            out.push(Action::Dismiss { call: id, cool_down: self.cool_down.times(spread) });
        } else {
            out.push(Action::Fail { call: id });
        }
        self.drop_rest(id, out)
    }

    /// Whatever is still out for a call that is over is cancelled, where that is allowed, and tells nothing.
    fn drop_rest(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let hops = &self.calls[&id].hops;
        let open = hops.iter().enumerate().filter(|(_, hop)| hop.ended.is_none());
        let open: Vec<HopNo> = open.map(|(no, _)| HopNo(no as u32)).collect();
        if open.is_empty() {
            self.calls.remove(&id);
        } else if self.may_cancel {
            out.extend(open.into_iter().map(|hop| Action::Cancel { call: id, hop }));
        }
        None
    }

    fn streaming(&mut self, id: CallId, hop: HopNo, out: &mut Vec<Action>) {
        if let Some(call) = self.calls.get_mut(&id) {
            let rest = call
                .hops
                .iter()
                .enumerate()
                .filter(|(no, other)| *no as u32 != hop.0 && other.ended.is_none());
            if self.may_cancel {
                out.extend(rest.map(|(no, _)| Action::Cancel { call: id, hop: HopNo(no as u32) }));
            }
            call.state = Over;
        }
    }

    fn outlived(&mut self, id: CallId, out: &mut Vec<Action>) {
        let threshold = self.slices.quantile(self.now);
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.state != Out || call.abandon <= self.now {
            return;
        }
        let left = call.abandon - self.now;
        let Some(hop) = call.hops.last_mut().filter(|hop| hop.ended.is_none()) else { return };
        let age = self.now - hop.sent;
        let Some(threshold) = threshold.filter(|_| !hop.copy) else { return };
        if age < threshold {
            return self.wake((threshold - age).min(left), u64::from(id.0) << 2 | COPY_TIMER, out);
        }
        if !hop.outlived {
            hop.outlived = true;
            let server = hop.server;
            self.judge(server, false, out);
        }
        // Guards against copying nearly everything when all servers slow together: the slice's threshold is
        // stale then, but the crowding measure is not.
        let calm = !self.crowded && self.queue.is_empty() && self.has_width();
        let hops = self.calls[&id].hops.len();
        if self.may_race && hops < self.most_hops && calm && !self.suppressed && self.budget >= 1.0 {
            self.step(id, Outlived, out);
        } else {
            self.wake(threshold.min(left), u64::from(id.0) << 2 | COPY_TIMER, out);
        }
    }

    fn ended(
        &mut self,
        id: CallId,
        no: usize,
        outcome: Outcome,
        waited: Micros,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (state, workload, abandon) = (call.state, call.workload, call.abandon);
        let Some(hop) = call.hops.get_mut(no).filter(|hop| hop.ended.is_none()) else { return };
        hop.ended = Some(outcome);
        let (server, outlived) = (hop.server, hop.outlived);
        let open = call.hops.iter().filter(|hop| hop.ended.is_none()).count();
        let count = call.hops.len();
        self.total_out -= 1;
        if let Some(server) = self.servers.get_mut(&server) {
            server.out -= 1;
        }
        self.forget_gone(server);
        // A cancelled loser, and whatever ends after the call was over, is no evidence.
        if state != Over && outcome != Outcome::Cancelled && outcome != Outcome::NotSent {
            self.evidence(server, outcome, waited, outlived, out);
        }
        if state == Over {
            if open == 0 {
                self.calls.remove(&id);
            }
        } else if outcome == Outcome::Succeeded {
            self.step(id, Answered, out);
        } else if closed {
            self.step(id, Left, out);
        } else if open > 0 {
            self.step(id, LostOne, out);
        } else {
            let kind = self.workloads[workload].kind;
            let again = count < self.most_hops && self.now < abandon;
            let again = again && (outcome.proves_not_run() || kind != Kind::OnceOnly);
            self.step(id, if again { LostAgain } else { LostAll }, out);
        }
    }

    // ---- servers ----

    /// Rule two: where may this call's next hop go, given those that may have run?
    fn kind_allows(&self, call: &Call, server: &Listing) -> bool {
        let mut may_have_run =
            call.hops.iter().filter(|hop| !hop.ended.is_some_and(Outcome::proves_not_run)).peekable();
        match self.workloads[call.workload].kind {
            _ if may_have_run.peek().is_none() => true,
            Kind::Repeatable => true,
            Kind::OnceOnly => false,
            Kind::Tagged { group, memory } => may_have_run.all(|hop| {
                let same = match group {
                    Group::All => true,
                    Group::Place => hop.place == server.place,
                    Group::Cell => hop.cell == server.cell,
                };
                same && self.now < hop.sent + memory
            }),
        }
    }

    /// A random server holding none of our calls, else the lighter of two random ones.
    fn pick(&mut self, id: CallId) -> Option<ServerId> {
        let call = self.calls.get(&id)?;
        if call.hops.len() >= self.most_hops || self.now >= call.abandon {
            return None;
        }
        let per_server = self.per_server();
        let known: Vec<&Server> = self.servers.values().filter(|server| server.answered).collect();
        let mean = known.iter().map(|server| f64::from(server.out)).sum::<f64>() / known.len().max(1) as f64;
        let untried = |server: &Server| call.hops.iter().all(|hop| hop.server != server.listing.server);
        let fitting: Vec<(ServerId, f64)> = self
            .servers
            .values()
            .filter(|server| untried(server) && self.takes(server, per_server))
            .filter(|server| self.kind_allows(call, &server.listing))
            .map(|server| {
                let load = f64::from(server.out) + if server.answered { 0.0 } else { mean };
                (server.listing.server, load, server.listing.size.max(0.01))
            })
            .map(|(id, load, size)| (id, if load < 0.5 { 0.0 } else { (load + 1.0) / size }))
            .collect();
        let idle: Vec<ServerId> =
            fitting.iter().filter(|(_, load)| *load == 0.0).map(|(id, _)| *id).collect();
        let mut any = |count: usize| self.chance.generate_range(0..count);
        match (idle.len(), fitting.len()) {
            (_, 0) => None,
            (0, count) => {
                let (one, other) = (fitting[any(count)], fitting[any(count)]);
                Some(if other.1 < one.1 { other.0 } else { one.0 })
            }
            (count, _) => Some(idle[any(count)]),
        }
    }

    /// Our own calls that one server may hold: half more than its even part of the width.
    fn per_server(&self) -> f64 {
        let ready = self.servers.values().filter(|server| server.usable()).count().max(1);
        (1.5 * self.width / ready as f64).ceil().max(2.0)
    }

    fn takes(&self, server: &Server, per_server: f64) -> bool {
        let trusted = match server.trust {
            Trust::Fit => true,
            Trust::Aside => self.now >= server.until && server.out == 0,
            Trust::Trial => server.out == 0,
        };
        let most = match self.cold_share(server) {
            None => per_server,
            Some(share) => {
                let rate = self.cold_rate(share);
                let burst = (rate * self.fall_span.secs() * 0.5).max(1.0);
                if server.cold_left(rate, self.now) + 1.0 > burst {
                    return false;
                }
                (per_server * share).floor().max(1.0)
            }
        };
        server.listing.standing == Standing::Ready && trusted && f64::from(server.out) < most
    }

    /// The part of its full capacity that a cold server has by now at the least; none once it is warm.
    fn cold_share(&self, server: &Server) -> Option<f64> {
        let started = server.listing.started;
        let age = self.now - started;
        let cold = started.0 > 0 && age < self.warm_within;
        cold.then(|| self.cold_from + (1.0 - self.cold_from) * age.secs() / self.warm_within.secs())
    }

    /// Rule four: a cold server gets its share of what we send a warm one; where that is unknown, a few calls
    /// in the span in which it could fall, all sidecars together.
    fn cold_rate(&self, share: f64) -> f64 {
        (self.warm_rate * share).max(4.0 * self.my_part / self.fall_span.secs())
    }

    fn evidence(
        &mut self,
        id: ServerId,
        outcome: Outcome,
        waited: Micros,
        outlived: bool,
        out: &mut Vec<Action>,
    ) {
        let good = outcome == Outcome::Succeeded;
        let failed = f64::from(u8::from(!good));
        self.outcomes = (self.outcomes.0 + 1.0, self.outcomes.1 + failed);
        self.long_run = (self.long_run.0 + 1.0, self.long_run.1 + failed);
        if let Some(server) = self.servers.get_mut(&id) {
            server.answered |= good;
            server.unreached = if outcome == Outcome::NoConnection { server.unreached + 1 } else { 0 };
        }
        if good {
            self.slices.add(self.now, waited);
            self.weigh_width(waited, out);
        }
        if !(good && outlived) {
            self.judge(id, good, out);
        }
        self.gate(out);
    }

    /// Copies pause while errors run past SuppressAt times the trip rate.
    fn gate(&mut self, out: &mut Vec<Action>) {
        let (calls, failures) = self.outcomes;
        let trip = (2.0 * self.long_run.1 / self.long_run.0.max(1.0)).max(TRIP_FLOOR);
        let rate = failures / calls.max(1.0);
        let shut = calls >= MINIMUM_CALLS && failures >= 2.0 && rate > SUPPRESS_AT * trip;
        if shut != self.suppressed {
            self.suppressed = shut;
            let word = if shut { "paused" } else { "resumed" };
            self.log(format!("copies {word}: {rate:.3} of hops failed, trip rate {trip:.3}"), None, out);
        }
    }

    /// Our own calls in flight are bounded by what latency shows: past a multiple of its uncrowded level, more
    /// of them would only wait in the servers, and tip them into the slow state that outlives its cause. The
    /// bound never falls under what our usual rate needs uncrowded, or a slow shared dependency would starve us.
    fn weigh_width(&mut self, waited: Micros, out: &mut Vec<Action>) {
        self.recent.add(waited);
        self.long.add(waited);
        let (Some(median), Some(long)) = (self.recent.median(), self.long.median()) else { return };
        let (median, long) = (median.0 as f64, long.0 as f64);
        if self.recent.total >= 24.0 {
            self.recent.halve();
        }
        if self.long.total >= 48.0 && (self.level.is_none() || self.long.total >= 128.0) {
            self.level = Some(self.level.map_or(long, |level| long.min(level * 1.005)));
        }
        if self.long.total >= 128.0 {
            self.long.halve();
        }
        let level = self.level.unwrap_or(long);
        let crowded = median > if self.crowded { EASED } else { CROWDED } * level;
        let ready = self.servers.values().filter(|server| server.usable()).count() as f64;
        if crowded {
            self.opening = false;
            let needed = self.sends_a_second * level / 1e6;
            let floor = (1.3 * needed).max(2.0 * ready * self.my_part).max(2.0);
            self.width = (self.width * 0.97).max(floor);
        } else if f64::from(self.total_out) + 1.0 >= self.width * 0.8 {
            self.width += if self.opening { 0.5 } else { 1.0 / self.width };
        }
        if crowded != self.crowded {
            self.crowded = crowded;
            let word = if crowded { "crowded" } else { "calm" };
            let (now, then) = (median / 1000.0, level / 1000.0);
            let text = format!("{word}: median {now:.0} ms against {then:.0} ms, width {:.0}", self.width);
            self.log(text, None, out);
        }
    }

    /// Health is relative: a server is condemned by its own record against everyone's, and never more than half.
    fn judge(&mut self, id: ServerId, good: bool, out: &mut Vec<Action>) {
        let (all_good, all_bad) = self
            .servers
            .values()
            .filter(|server| server.listing.server != id)
            .fold((1.0, 0.0), |(good, bad), server| (good + server.good, bad + server.bad));
        let ready = self.servers.values().filter(|server| server.listing.standing == Standing::Ready).count();
        let aside = self.servers.values().filter(|server| server.trust != Trust::Fit).count();
        let Some(server) = self.servers.get_mut(&id) else { return };
        if good {
            server.good += 1.0;
        } else {
            server.bad += 1.0;
        }
        let rate = server.bad / (server.good + server.bad);
        let others = all_bad / (all_good + all_bad);
        let worse = server.bad >= 4.0 && rate > 0.6 && rate > 3.0 * others;
        if server.good + server.bad > 16.0 {
            server.good *= 0.5;
            server.bad *= 0.5;
        }
        let sign = match (server.trust, good) {
            (Trust::Fit, false) if (worse || server.unreached >= 2) && 2 * (aside + 1) <= ready => {
                Sign::Condemned
            }
            (Trust::Trial, true) => Sign::Good,
            (Trust::Trial, false) => Sign::Bad,
            _ => return,
        };
        let text = format!("{rate:.2} of its hops bad, {others:.2} of the others'");
        self.sign(id, sign, text, out);
    }

    fn sign(&mut self, id: ServerId, sign: Sign, why: String, out: &mut Vec<Action>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let row = SERVERS.iter().find(|(trust, given, _)| *trust == server.trust && *given == sign);
        let Some(&(_, _, trust)) = row else { return };
        server.trust = trust;
        if trust == Trust::Aside {
            server.until = self.now + ASIDE.times(f64::from(1 << server.asides.min(3)));
            server.asides += 1;
        }
        if trust == Trust::Fit {
            (server.good, server.bad) = (1.0, 0.0);
            server.asides = 0;
        }
        self.log(format!("server {trust:?}: {why}"), Some(id), out);
    }

    // ---- the list ----

    fn listed(&mut self, kind: ListKind, entries: &[Listing], out: &mut Vec<Action>) {
        self.asking = false;
        if kind == ListKind::Failed {
            self.failed_asks += 1;
            let most = self.ask_again.min(Micros::millis(250 << self.failed_asks.min(6)));
            let spread = 0.5 + f64::from(self.chance.generate::<u32>()) / 8589934592.0;
            self.wake(most.times(spread), ASK, out);
            return self.log(format!("list failed {} times, asking again", self.failed_asks), None, out);
        }
        if kind != ListKind::Cached {
            self.failed_asks = 0;
        } else {
            self.asking = self.must_ask;
        }
        if kind != ListKind::Changes {
            for server in self.servers.values_mut() {
                if !entries.iter().any(|entry| entry.server == server.listing.server) {
                    server.listing.standing = Standing::Gone;
                }
            }
        }
        for entry in entries {
            let early = f64::from(self.chance.generate::<u32>()) / 4294967296.0;
            let known = self.servers.entry(entry.server);
            let known = known.or_insert_with(|| Server::new(entry, self.now, early));
            if entry.started > known.listing.started {
                *known = Server { out: known.out, ..Server::new(entry, self.now, early) };
            }
            known.listing = entry.clone();
        }
        let gone: Vec<ServerId> = self.servers.keys().copied().collect();
        gone.into_iter().for_each(|server| self.forget_gone(server));
        let ready = self.servers.values().filter(|server| server.usable()).count() as f64;
        self.width = self.width.max(3.0 * ready * self.my_part).max(2.0);
    }

    fn forget_gone(&mut self, id: ServerId) {
        let done = |server: &Server| server.listing.standing == Standing::Gone && server.out == 0;
        if self.servers.get(&id).is_some_and(done) {
            self.servers.remove(&id);
        }
    }

    fn beat(&mut self, out: &mut Vec<Action>) {
        let warm = |server: &&Server| server.usable() && self.cold_share(server).is_none();
        let count = self.servers.values().filter(warm).count() as f64;
        if count > 0.0 {
            self.warm_rate += 0.25 * (self.warm_sends / count / BEAT.secs() - self.warm_rate);
        }
        self.warm_sends = 0.0;
        let part = if self.sends_a_second > 0.0 { 0.1 } else { 1.0 };
        self.sends_a_second += part * (self.sends / BEAT.secs() - self.sends_a_second);
        self.sends = 0.0;
        if self.long_run.0 > 2000.0 {
            self.long_run = (self.long_run.0 * 0.5, self.long_run.1 * 0.5);
        }
        self.outcomes = (self.outcomes.0 * 0.9, self.outcomes.1 * 0.9);
        self.gate(out);
        self.wake(BEAT, HEARTBEAT, out);
    }
}
