//! Every decision of one sidecar: build a [`Balancer`] from the place's [`BalancerConfig`] and a seed, hand each event
//! to [`Balancer::on`] with the present time, carry out the actions it appends, in order. It reads no clock.
//! `docs/design.md` says what is kept of the design and when each departure acts.
use crate::fleet::{Class, Fleet};
use crate::records::*;
use crate::types::*;
use crate::{Allowance, OutcomeCounts, Pace, SeededRng, Slices, Sliding};
use fnv::FnvHashMap;
use std::collections::BTreeMap;
use Effect::*;
use Input::*;
use State::*;

const WINDOW: Micros = Micros::millis(30_000); // the design's, in four slices
const QUANTILE: f64 = 0.95; // a hop that outlives this share of recent answers may be copied
const MINIMUM_SAMPLES: u32 = 20;
const BUDGET_SHARE: f64 = 0.2; // copies and retries for each first send
const BUDGET_DEPTH: f64 = 8.0; // unspent budget kept, so that a burst of failures can be met
const CHEAP_PART: f64 = 0.5; // the part of a bound on hops that a call of next to no payoff may use
const HOP_SPREAD: f64 = 0.25; // in this part of the bound's window at most half of it is spent
const TRIP_FLOOR: f64 = 0.05; // copies pause at the trip rate itself: the design's SuppressAt is 1
const MINIMUM_CALLS: f64 = 10.0;
const CROWDED: f64 = 1.65; // latency over its workload's uncrowded level that counts as crowding
const EASED: f64 = 1.45; // and the one below which it is over
const JAMMED: f64 = 2.4; // and the one from which the width leaves no room for scatter
const DRAGS: f64 = 0.6; // so much of one workload outlives the threshold, and under half that of others
const DRAGGED: f64 = 0.25; // what such a workload may hold, as a part of the width and beside it
const SHOWS_CROWD: f64 = 24.0; // answers that show a crowd: who has them in a second sees one soon
const PATIENCE: f64 = 0.6; // the part of the quoted time that may be spent in our own queue
const REPEAT_WORTH: f64 = 0.1; // a repeat, which has lost part of its quoted time, against a first try
const ASIDE: Micros = Micros::millis(1_500); // first time a server is set aside; doubled each time
const POKE: Micros = Micros::millis(25); // while calls wait, how often room is looked for without an event
const BEAT: Micros = Micros::millis(1_000);
const CIRCLE_LEAST: f64 = 5.0; // servers a sidecar looks at even when it has next to nothing to send
const FAR: f64 = 0.1; // how often a server of another place stands where one of ours could
const A_HOME_IN: usize = 30; // one server in so many is a home for a key, one at the least
const SHARE_ROOM: f64 = 1.2; // a customer's share over what it usually sends
const HELP: f64 = 3.0; // how much lighter a server must be that takes a key's call from its homes
const CROSSING: f64 = 1.2; // how much heavier a server of another place counts, where crossing is priced
const NEWS: f64 = 1.0; // doublings or halvings of a server's strain that the others are told of
const STRAINED: f64 = 2.2; // how much longer than idle a call may take at the servers before we turn any away
const THINS: f64 = 0.1; // how fast an answer moves the part that is turned away
const STRAIN_FULL: f64 = 4.0; // a server that turns calls away unseen
const CIRCLES_A_SERVER: f64 = 4.0; // sidecars that look at each server, at the least: their parts even out

/// What happens to an API call, and what is done about it.
#[rustfmt::skip]
#[derive(Clone, Copy, PartialEq, Debug)]
enum Input { Room, Crowd, Hopeless, Outlived, Answered, LostOne, LostAgain, LostAll, Left }
#[rustfmt::skip]
#[derive(Clone, Copy, PartialEq, Debug)]
enum Effect { Send, Enqueue, Copy, Resend, TurnAway, Drop, Nothing }

/// The life of an API call. What is not listed here leaves it as it is.
const CALLS: &[(State, Input, State, Effect)] = &[
    (Fresh, Room, Out, Send),
    (Fresh, Crowd, Queued, Enqueue),
    (Fresh, Hopeless, Over, TurnAway),
    (Queued, Room, Out, Send),
    (Queued, Hopeless, Over, TurnAway),
    (Queued, Left, Over, Drop),
    (Out, Outlived, Raced, Copy),
    (Out, Answered, Over, Drop),
    (Out, LostAgain, Out, Resend),
    (Out, Crowd, Queued, Enqueue),
    (Out, LostAll, Over, TurnAway),
    (Out, Left, Over, Drop),
    (Raced, LostOne, Out, Nothing),
    (Raced, Answered, Over, Drop),
    (Raced, Left, Over, Drop),
];

/// What changes how far a server is trusted.
#[rustfmt::skip]
#[derive(Clone, Copy, PartialEq, Debug)]
enum Sign { Condemned, Due, Good, Bad }

const SERVERS: &[(Trust, Sign, Trust)] = &[
    (Trust::Fit, Sign::Condemned, Trust::Aside),
    (Trust::Aside, Sign::Due, Trust::Trial),
    (Trust::Trial, Sign::Good, Trust::Fit),
    (Trust::Trial, Sign::Bad, Trust::Aside),
];

/// Which servers are drawn from first, second and last. Those never answered count at the others' mean: where
/// that is half a call or more, they stand among the busy ones.
const RANKS_CALM: [&[Class]; 3] =
    [&[Class::IdleNear, Class::NewNear], &[Class::IdleFar, Class::NewFar], &[Class::Busy]];
const RANKS_HELD: [&[Class]; 3] =
    [&[Class::IdleNear], &[Class::IdleFar], &[Class::Busy, Class::NewNear, Class::NewFar]];

/// One instance of the decisions.
#[derive(Default)]
pub struct Balancer {
    now: Micros,
    figures: Figures,
    chance: SeededRng,
    lots: SeededRng, // for the pick alone, which draws as often as it must
    pub(crate) fleet: Fleet,
    dither: f64, // which way a part of a call is rounded, for this beat
    peak: f64,   // the most of our calls in flight of late
    calls: FnvHashMap<CallId, Call>,
    queue: BTreeMap<(u32, u64), CallId>,
    arrivals: u64,
    out: u32,
    purses: Vec<Allowance>,
    slices: Slices,
    crowd: Crowding,
    dragging: Option<WorkloadId>, // whose calls alone are late, wherever they are sent
    budget: f64,
    retry_budget: Option<Sliding>, // where the place bounds the hops beyond calls' first
    outcomes: OutcomeCounts,
    long_run: OutcomeCounts,
    suppressed: bool,
    sends: Pace,
    warm_served: Pace,
    subscribed: bool,
    failed_asks: u32,
    ask_at: Micros,
    poked: bool,
}

// Timers carry the API call in the upper bits and what they are for in the lower two.
const COPY: u64 = 0;
const PATIENT: u64 = 1;
const OWN: u64 = 3;
const POKED: TimerToken = TimerToken(OWN);
const ASK: TimerToken = TimerToken(4 + OWN);
const HEART: TimerToken = TimerToken(8 + OWN);

impl Balancer {
    pub fn new(terms: &BalancerConfig, seed: u64, now: Micros, out: &mut Vec<Action>) -> Balancer {
        let figures = Figures::new(terms);
        let mut sidecar = Balancer {
            now,
            chance: SeededRng::new(seed),
            lots: SeededRng::new(!seed),
            fleet: Fleet::new(terms.local_zone),
            purses: figures.shares.iter().map(|share| Allowance { left: 2.0 * share, seen: now }).collect(),
            retry_budget: terms.retry_budget.map(Sliding::new),
            figures,
            slices: Slices::new(WINDOW, QUANTILE, MINIMUM_SAMPLES),
            budget: 2.0,
            subscribed: !terms.must_subscribe,
            ..Balancer::default()
        };
        out.push(Action::SetTimer { after: BEAT, token: HEART });
        sidecar.ask(out);
        sidecar
    }

    pub fn on(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::ListReceived { kind, entries } => self.listed(kind, entries, out),
            Event::CallArrived(arrival) => self.arrived(arrival, out),
            Event::AnswerStarted { call, hop } => {
                // The answer has begun: that hop belongs to the client now.
                self.calls.entry(call).and_modify(|call| call.state = Over);
                self.drop_rest(call, Some(hop), out);
            }
            Event::HopEnded(ending) => self.ended(ending, out),
            Event::CallWithdrawn { call } => self.step(call, Left, out),
            Event::PeerReported { server, slowdown } => self.heard(server, slowdown),
            Event::ConfigChanged(terms) => return self.retuned(terms),
            Event::ShutdownBegun(by) => self.answer_by(by, out),
            Event::TimerFired(POKED) => self.poked = false,
            Event::TimerFired(ASK) => self.ask(out),
            Event::TimerFired(HEART) => self.beat(out),
            Event::TimerFired(TimerToken(token)) => match (CallId((token >> 2) as u32), token & 3) {
                (call, COPY) => self.outlived(call, out),
                (call, PATIENT) => self.step(call, Hopeless, out),
                _ => {}
            },
        }
        self.pump(out);
    }

    /// The short loop that reads the table: an input, the row for it, its effect, the next input.
    fn step(&mut self, id: CallId, input: Input, out: &mut Vec<Action>) {
        let mut next = Some(input);
        while let Some(input) = next.take() {
            let Some(call) = self.calls.get_mut(&id) else { return };
            let row = CALLS.iter().find(|(state, given, ..)| *state == call.state && *given == input);
            let Some(&(_, _, state, effect)) = row else { return };
            if call.state == Queued {
                self.queue.remove(&call.turn);
            }
            call.state = state;
            next = match effect {
                Send => self.send(id, false, out),
                Copy => self.send(id, true, out),
                Resend if self.budget < 1.0 => Some(LostAll),
                Resend => self.send(id, false, out),
                Enqueue => self.enqueue(id, out),
                TurnAway => self.turn_away(id, out),
                Drop => self.drop_rest(id, None, out),
                Nothing => None,
            };
        }
    }

    fn remind(call: CallId, what: u64, after: Micros, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after, token: TimerToken(u64::from(call.0) << 2 | what) });
    }

    fn retuned(&mut self, terms: &BalancerConfig) {
        self.figures = Figures::new(terms);
        self.retry_budget = Sliding::retuned(self.retry_budget.take(), terms.retry_budget, self.now);
    }

    /// This instance ends soon. Guards against an end that finds a call sent on, or waiting, for longer.
    fn answer_by(&mut self, by: Micros, out: &mut Vec<Action>) {
        for (id, call) in self.calls.iter_mut().filter(|(_, call)| call.abandon > by) {
            (call.abandon, call.patience) = (by, call.patience.min(by));
            Self::remind(*id, PATIENT, by - self.now, out);
        }
    }

    // ---- API calls ----

    fn arrived(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival {
            call: id,
            workload: WorkloadId(workload),
            time_left,
            tenant,
            client_retry,
            affinity_key,
        } = arrival;
        let lifted = self.chance.uniform() < self.figures.lifted;
        let terms = &self.figures.workloads[workload];
        // Guards against starving the cheapest workload: a part of each is ranked with the dearest.
        let mut worth = if lifted { self.figures.dearest } else { terms.payoff };
        // Streams are uneven: with more than the even part of the usual traffic goes as much more of a share.
        let part = (SHARE_ROOM * self.sends.a_second / self.figures.all_shares).max(1.0);
        let share = self.figures.shares.get(tenant.0).map_or(f64::INFINITY, |share| share * part);
        let purse = self.purses.get_mut(tenant.0);
        if purse.is_some_and(|purse| !purse.take(share, 2.0 * share.max(1.0), self.now)) {
            worth *= self.figures.overage_payoff;
        }
        let drags = self.dragging == Some(WorkloadId(workload));
        worth *= if client_retry || drags { REPEAT_WORTH } else { 1.0 };
        let worth = (worth * 1000.0) as u32; // in thousandths, as the queue orders it
        self.arrivals += 1;
        self.retry_budget.iter_mut().for_each(|hops| hops.take(self.now));
        let (hope, usual) = (terms.quoted_time.min(time_left), self.crowd.usual(WorkloadId(workload)));
        let call = Call {
            workload,
            state: Fresh,
            turn: (u32::MAX - worth, self.arrivals),
            key: affinity_key.filter(|_| self.figures.key_affinity),
            abandon: self.now + time_left,
            patience: self.now + hope.times(PATIENCE).min(hope - usual.times(2.0)),
            max_hops: self.figures.max_hops,
            hops: Vec::new(),
        };
        // A small sidecar's calls are too few for a queue: of a told crowd it turns away its part, by worth.
        let told = self.figures.load_reports;
        let thinned = told && self.crowd.rank(worth, self.chance.uniform()) < self.crowd.thinned;
        self.calls.insert(id, call);
        let room = self.queue.is_empty() && self.has_width() && self.pick(id).is_some();
        let input = if room { Room } else { Crowd };
        let thinned = thinned || drags && f64::from(self.dragged()) >= (DRAGGED * self.crowd.width).max(1.0);
        self.step(id, if thinned || self.fleet.ready() == 0 { Hopeless } else { input }, out);
    }

    /// Hops stuck at servers set aside don't count, or hung servers would fill the width with silence. A part
    /// of a call is rounded by chance where sidecars outnumber servers: guards against all rounding up.
    fn has_width(&self) -> bool {
        let width = (self.crowd.width * self.left_of_fleet()).max(2.0) + self.dither;
        f64::from(self.out.saturating_sub(self.fleet.stuck() + self.dragged())) + 1.0 <= width
    }

    fn dragged(&self) -> u32 {
        self.dragging.and_then(|workload| self.crowd.own.get(workload.0)).map_or(0, |own| own.held)
    }

    /// One workload's calls drag everywhere, so that no server is at fault: they stand beside the width, are
    /// few, last and not copied. Guards against a width full of them. Harms one that is slow by nature.
    fn weigh_drag(&mut self, out: &mut Vec<Action>) {
        let found = self.crowd.alone_late(DRAGS);
        if found != self.dragging {
            let text =
                format!("drags everywhere: {found:?}, {:.2} of all calls late", self.crowd.late().rate());
            out.push(Action::log(text));
            self.dragging = found;
        }
    }

    /// The one gate that every send passes: the call's kind, time and hop count allow it, and the pick has
    /// found a server that is ready, trusted, not crowded and within its cold budget.
    fn send(&mut self, id: CallId, copy: bool, out: &mut Vec<Action>) -> Option<Input> {
        if !self.may_add(id) {
            return Some(if copy { LostOne } else { LostAll });
        }
        let Some(server) = self.pick(id) else {
            // Guards against parking a call that no server may take any more: it is answered at once.
            let call = &self.calls[&id];
            let waits = match self.bound_to(call) {
                Some(cell) => self.fleet.cell(cell).any(|server| self.open_to(call, server)),
                None => self.fleet.around().any(|server| self.open_to(call, server)),
            };
            return Some(if waits { Crowd } else { LostAll }).filter(|_| !copy).or(Some(LostOne));
        };
        let now = self.now;
        let target = self.fleet.get(server)?;
        let cold = self.figures.cold_share(target, now).map(|share| self.cold_left(target, share) - 1.0);
        let (zone, cell, trust) = (target.listing.zone, target.listing.cell, target.trust);
        let call = self.calls.get_mut(&id)?;
        let timeout = call.abandon - now;
        let extra = !call.hops.is_empty();
        if extra {
            self.retry_budget.iter_mut().for_each(|hops| hops.spend(now));
        }
        self.budget = if extra { self.budget - 1.0 } else { (self.budget + BUDGET_SHARE).min(BUDGET_DEPTH) };
        call.hops.push(Hop { server, zone, cell, sent: now, ended: None, outlived: false, copy });
        out.push(Action::Send { call: id, server, timeout });
        self.out += 1;
        self.crowd.of(WorkloadId(call.workload)).held += 1;
        self.peak = self.peak.max(f64::from(self.out));
        self.sends.seen += 1.0;
        self.fleet.change(server, |target| {
            target.out += 1;
            target.cold = cold.map_or(target.cold, |left| Allowance { left, seen: now });
        });
        if cold.is_some() {
            self.settle(server);
        }
        if trust == Trust::Aside {
            self.sign(server, Sign::Due, "its time aside is over".into(), out);
        }
        if !copy {
            let threshold = self.slices.quantile(now).unwrap_or(timeout);
            Self::remind(id, COPY, threshold.min(timeout), out);
        }
        None
    }

    /// Rule five: a hop beyond the first fits the place's bound. The less a call is worth the sooner it
    /// stops, and no short while takes all: guards against a first moment of trouble that leaves nothing.
    fn may_add(&mut self, id: CallId) -> bool {
        let (Some(hops), Some(call)) = (&mut self.retry_budget, self.calls.get(&id)) else { return true };
        if call.hops.is_empty() {
            return true;
        }
        let dearness = self.figures.workloads[call.workload].payoff / self.figures.dearest.max(1e-9);
        let (allowed, now) = (hops.allowed(self.now), self.now);
        let mine = allowed * (CHEAP_PART + (1.0 - CHEAP_PART) * dearness);
        let of_late = hops.spent_within(hops.bound.window.times(HOP_SPREAD), now) as f64;
        hops.spent(now) as f64 + 1.0 <= mine && of_late + 1.0 <= (0.5 * allowed).max(1.0)
    }

    fn enqueue(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let call = &self.calls[&id];
        if self.now >= call.patience {
            return Some(Hopeless);
        }
        self.queue.insert(call.turn, id);
        Self::remind(id, PATIENT, call.patience - self.now, out);
        // Answers leave at about width / latency a second, half of them to dearer calls, if any come: guards
        // against holding a call only to turn it away. Who would wait past its patience is told at once.
        while let Some((_, &last)) = self.queue.iter().next_back() {
            let each = self.crowd.recent.median().unwrap_or_default().times(1.0 / self.crowd.width.max(1.0));
            let call = &self.calls[&last];
            let passed =
                if call.turn.0 == u32::MAX - (self.figures.dearest * 1000.0) as u32 { 1.0 } else { 2.0 };
            if self.now + each.times(passed * self.queue.len() as f64) <= call.patience {
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
            out.push(Action::SetTimer { after: POKE, token: POKED });
        }
    }

    fn turn_away(&mut self, id: CallId, out: &mut Vec<Action>) -> Option<Input> {
        let call = &self.calls[&id];
        let harmless = match self.figures.workloads[call.workload].idempotency {
            Idempotency::Idempotent | Idempotency::ByKey { scope: DedupScope::All, .. } => true,
            _ => !call.hops.iter().any(Hop::may_have_run),
        };
        if harmless {
            let soon =
                self.figures.workloads[call.workload].quoted_time.times(0.05 + 0.1 * self.chance.uniform());
            let retry_after = soon.min(self.figures.max_retry_after);
            out.push(Action::Refuse { call: id, retry_after });
        } else {
            out.push(Action::Fail { call: id });
        }
        self.drop_rest(id, None, out)
    }

    /// Whatever is still out for a call that is over is cancelled, where that is allowed, and tells nothing.
    fn drop_rest(&mut self, id: CallId, keep: Option<HopNo>, out: &mut Vec<Action>) -> Option<Input> {
        let hops = self.calls.get(&id)?.hops.iter().zip(0..);
        let open: Vec<HopNo> = hops.filter(|(hop, _)| hop.open()).map(|(_, no)| HopNo(no)).collect();
        if open.is_empty() {
            self.calls.remove(&id);
        } else if self.figures.may_cancel {
            let losers = open.into_iter().filter(|no| keep != Some(*no));
            out.extend(losers.map(|hop| Action::Cancel { call: id, hop }));
        }
        None
    }

    fn outlived(&mut self, id: CallId, out: &mut Vec<Action>) {
        let threshold = self.slices.quantile(self.now);
        let (Some(threshold), Some(call)) = (threshold, self.calls.get_mut(&id)) else { return };
        let left = call.abandon - self.now;
        if call.state != Out || left.0 == 0 {
            return;
        }
        let Some(hop) = call.hops.last_mut().filter(|hop| hop.open() && !hop.copy) else { return };
        let age = self.now - hop.sent;
        if age < threshold {
            return Self::remind(id, COPY, (threshold - age).min(left), out);
        }
        let (server, workload) = (hop.server, WorkloadId(call.workload));
        if !std::mem::replace(&mut hop.outlived, true) {
            self.crowd.of(workload).late.add(false);
            if self.dragging != Some(workload) {
                self.judge(server, false, out);
            }
        }
        // Guards against copying nearly everything when all servers slow together: the slice's threshold is
        // stale then, but the crowding measure is not. A hop at a server set aside is rescued all the same.
        let stuck = self.fleet.get(server).is_some_and(|server| server.trust != Trust::Fit);
        let calm = !self.crowd.crowded && self.queue.is_empty() && self.has_width();
        let may = self.figures.may_hedge && (calm || stuck) && !self.suppressed;
        let may = may && self.dragging != Some(workload);
        if may && self.budget >= 1.0 && self.may_add(id) && self.pick(id).is_some() {
            self.step(id, Outlived, out);
        } else {
            Self::remind(id, COPY, threshold.min(left), out);
        }
    }

    fn ended(&mut self, ending: HopResult, out: &mut Vec<Action>) {
        let HopResult { call: id, hop: HopNo(no), outcome, call_over, .. } = ending;
        let Some(call) = self.calls.get_mut(&id) else { return };
        let many = self.figures.workloads[call.workload].idempotency != Idempotency::NonIdempotent;
        let workload = WorkloadId(call.workload);
        let (state, abandon, more) = (call.state, call.abandon, call.hops.len() < call.max_hops);
        let Some(hop) = call.hops.get_mut(no as usize).filter(|hop| hop.open()) else { return };
        hop.ended = Some(outcome);
        let (server, outlived) = (hop.server, hop.outlived);
        let open = call.hops.iter().any(Hop::open);
        self.out -= 1;
        self.crowd.of(workload).held -= 1;
        self.fleet.change(server, |known| known.out -= 1);
        let left = |known: &Server| known.out == 0 && known.listing.status == ServerStatus::Gone;
        if self.fleet.get(server).is_some_and(left) {
            self.fleet.remove(server);
        }
        // A loser, and whatever ends after its call, is no evidence.
        if state != Over && outcome != Outcome::Cancelled && outcome != Outcome::NotSent {
            self.evidence(server, workload, &ending, outlived, out);
        }
        if state == Over && !open {
            self.calls.remove(&id);
        }
        let input = match outcome {
            Outcome::Succeeded => Answered,
            _ if call_over => Left,
            _ if open => LostOne,
            _ if more && (many || outcome.proves_not_run()) && self.now < abandon => LostAgain,
            _ => LostAll,
        };
        self.step(id, input, out);
    }

    // ---- servers ----

    /// Rules two and three: is the server ready, new to this call, and one where a repeat does no harm?
    fn open_to(&self, call: &Call, server: &Server) -> bool {
        let ListedServer { server: id, zone, cell, status, .. } = server.listing;
        let idempotency = self.figures.workloads[call.workload].idempotency;
        let harmless = |hop: &Hop| match idempotency {
            _ if !hop.may_have_run() => true,
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::ByKey { window, .. } if self.now >= hop.sent + window => false,
            Idempotency::ByKey { scope: DedupScope::All, .. } => true,
            Idempotency::ByKey { scope: DedupScope::Zone, .. } => hop.zone == zone,
            Idempotency::ByKey { scope: DedupScope::Cell, .. } => hop.cell == cell,
        };
        status == ServerStatus::Ready && call.hops.iter().all(|hop| hop.server != id && harmless(hop))
    }

    /// The one cell in which a tagged call may go out again.
    fn bound_to(&self, call: &Call) -> Option<CellId> {
        let idempotency = self.figures.workloads[call.workload].idempotency;
        let bound = matches!(idempotency, Idempotency::ByKey { scope: DedupScope::Cell, .. });
        call.hops.iter().find(|hop| bound && hop.may_have_run()).map(|hop| hop.cell)
    }

    /// A random server holding none of our calls, in our own place first where crossing is priced, else the
    /// lighter of two random ones. A new one counts at the others' mean until it first answers.
    fn pick(&mut self, id: CallId) -> Option<ServerId> {
        while let Some(rested) = self.fleet.rouse(self.now) {
            self.settle(rested);
        }
        let call = self.calls.get(&id)?;
        if call.hops.len() >= call.max_hops || self.now >= call.abandon {
            return None;
        }
        let (per_unit, mean, cell) = (self.per_unit(), self.fleet.mean_out(), self.bound_to(call));
        let load = |server: &Server| f64::from(server.out) + if server.answered { 0.0 } else { mean };
        let away = |server: &Server| self.figures.near.is_some_and(|near| near != server.listing.zone);
        let burden = |server: &Server| {
            let heavier = server.strained(self.now) * if away(server) { CROSSING } else { 1.0 };
            (load(server) + 1.0) * heavier / server.weight()
        };
        let fits = |server: &Server| self.open_to(call, server) && self.takes(server, per_unit);
        let mut lots = self.lots.clone();
        let home = call.key.and_then(|key| self.home(key, &mut lots, &fits, &burden));
        let mut draw = |classes| self.fleet.draw(classes, cell, &mut lots, &fits);
        let [near, far, busy]: [&[Class]; 3] = if mean < 0.5 { RANKS_CALM } else { RANKS_HELD };
        let mut of = |classes, two: bool| {
            let one = draw(classes)?;
            Some(lighter(one, if two { draw(classes)? } else { one }, &burden))
        };
        let told = self.figures.load_reports;
        let found = home.or_else(|| of(near, told)).or_else(|| of(far, told)).or_else(|| of(busy, true));
        debug_assert!({
            let rank = |server: &Server| if load(server) < 0.5 { u8::from(away(server)) } else { 2 };
            let best = self.fleet.around().filter(|server| fits(server)).map(rank).min();
            home.is_some() || best == found.map(rank)
        });
        let found = found.map(|server| server.listing.server);
        self.lots = lots;
        found
    }

    /// Where servers are quicker with a key they met lately: the lighter of two of the first few in an order
    /// that is the same for all. Guards against a key too dear for those: one far lighter helps.
    fn home<'a>(
        &'a self, key: u64, lots: &mut SeededRng, fits: &impl Fn(&Server) -> bool,
        burden: &impl Fn(&Server) -> f64,
    ) -> Option<&'a Server> {
        let most = (self.fleet.ready() / A_HOME_IN).max(1);
        let homes = self.fleet.in_order_of(key, 2 * most + 1, fits);
        let (first, next) = homes.split_at(most.min(homes.len()));
        let mut draw = |among: &[&'a Server]| (!among.is_empty()).then(|| among[lots.below(among.len())]);
        let home = lighter(draw(first)?, draw(first)?, burden);
        let help = draw(next).zip(draw(next)).map(|(one, other)| lighter(one, other, burden));
        let help = help.filter(|help| burden(home) >= STRAINED && burden(help) * HELP < burden(home));
        Some(help.unwrap_or(home))
    }

    /// When a server may be sent to again: its time aside is over, and its cold part allows a call. It may be
    /// told too early, and is looked at anew then, but never too late.
    fn settle(&mut self, id: ServerId) {
        let Some(server) = self.fleet.get(id) else { return };
        let aside = if server.trust == Trust::Aside { server.until } else { Micros(0) };
        let due = |share| {
            let lack = 1.0 - self.cold_left(server, share);
            let wait = if lack > 0.0 { lack / self.cold_pace(share).0 } else { 0.0 };
            (self.now + Micros((wait * 1e6) as u64)).min(server.listing.started + self.figures.warm_up_time)
        };
        let cold = self.figures.cold_share(server, self.now).map_or(Micros(0), |share| {
            let late = due(share).max(self.now);
            due(self.figures.cold_share(server, late).unwrap_or(1.0))
        });
        self.fleet.change(id, |server| server.rest = aside.max(cold));
    }

    /// Our own calls that one server may hold for each unit of its weight: half more than its even part. Ease
    /// is relative, so that servers slow together lose nothing by it.
    fn per_unit(&self) -> f64 {
        let fleet = &self.fleet;
        1.5 * self.crowd.width * self.left_of_fleet() / fleet.size_around() / fleet.easiest()
    }

    /// The part of the fleet of the last while that is still ready and fit. The fleet's size fades slowly:
    /// guards against pouring the width of many servers into the few that are left.
    fn left_of_fleet(&self) -> f64 {
        let fit = self.fleet.usable_size();
        fit / self.crowd.fleet.max(fit)
    }

    /// Each sidecar keeps to its part of a ring: guards against connections from all to all, and knowing next
    /// to nothing of each. Nearly a server for each of our calls at the peak, cold ones by what they bear;
    /// it reaches past those set aside. Drawn anew at each beat, fitted to what has `changed` between.
    fn draw_circle(&mut self, changed: Option<&[ServerId]>) {
        let (all, part, figures, now) = (self.fleet.ready(), self.figures.my_part, &self.figures, self.now);
        let wanted = (0.8 * self.peak).max(CIRCLE_LEAST).max(CIRCLES_A_SERVER * all as f64 * part);
        let wanted = if figures.key_affinity { all as f64 } else { wanted };
        let start = figures.near.map_or(all as f64 * part * figures.my_number, |_| 0.0) as usize;
        let room = |server: &Server| match server.trust {
            Trust::Fit => figures.cold_share(server, now).unwrap_or(1.0),
            _ => 0.0,
        };
        match changed {
            Some(changed) => self.fleet.refit(start, wanted, changed, room),
            None => self.fleet.redraw(start, wanted, room),
        }
    }

    fn takes(&self, server: &Server, per_unit: f64) -> bool {
        let per_server = (per_unit * server.weight()).ceil().max(1.0);
        let trusted = match server.trust {
            Trust::Fit => true,
            Trust::Aside => self.now >= server.until && server.out == 0,
            Trust::Trial => server.out == 0,
        };
        let holds = |most: f64| trusted && f64::from(server.out) < most;
        let Some(share) = self.figures.cold_share(server, self.now) else { return holds(per_server) };
        self.cold_left(server, share) >= 1.0 && holds((per_server * share).floor().max(1.0))
    }

    /// Rule four: a cold server gets its part of what a warm one serves us; without that a few calls in the
    /// span in which it could fall, all sidecars together. Returns the rate and the burst.
    fn cold_pace(&self, share: f64) -> (f64, f64) {
        let span = self.figures.collapse_window.secs();
        let rate = (self.warm_served.a_second * share).max(4.0 * self.figures.my_part / span);
        (rate, rate * span * 0.5)
    }

    /// What a cold server may be sent by now. Half a span's worth may be saved up; a call lapses after one
    /// span where that is less than one: guards against a thousand sidecars that have saved up one each.
    fn cold_left(&self, server: &Server, share: f64) -> f64 {
        let (rate, burst) = self.cold_pace(share);
        let cold = &server.cold;
        if burst < 1.0 {
            cold.lapsing(rate, 1.0 + 2.0 * burst, self.now)
        } else {
            cold.at(rate, burst, self.now)
        }
    }

    fn evidence(
        &mut self, id: ServerId, workload: WorkloadId, ending: &HopResult, outlived: bool,
        out: &mut Vec<Action>,
    ) {
        let HopResult { outcome, elapsed, .. } = *ending;
        let good = outcome == Outcome::Succeeded;
        self.outcomes.add(good);
        self.long_run.add(good);
        // A server slower than the level for most of our calls holds fewer of them: it would tip first.
        let slow = elapsed.0 as f64 > CROWDED * self.crowd.all.level.unwrap_or(f64::INFINITY);
        let full = Some(STRAIN_FULL).filter(|_| outcome == Outcome::Full);
        let slowdown = full.or_else(|| ending.load.and_then(|report| self.crowd.slowdown(&report)));
        let slowdown = slowdown.filter(|_| self.figures.load_reports);
        if let Some((slowdown, known)) = slowdown.zip(self.fleet.get(id).map(|server| server.slowdown)) {
            let news = self.figures.peer_messages && (slowdown / known).log2().abs() >= NEWS;
            out.extend(news.then_some(Action::TellPeers { server: id, slowdown }));
            self.heard(id, slowdown);
        }
        let warm = self.fleet.change(id, |server| {
            server.unreached = outcome.proves_not_run() && slowdown.is_none(); // full by its load is not ill
            if good {
                server.answer(slow);
            }
            self.figures.cold_share(server, self.now).is_none()
        });
        let more = slowdown.map_or(0.0, |slowdown| THINS * (slowdown.min(STRAIN_FULL) / STRAINED).ln());
        self.crowd.thinned = (self.crowd.thinned + more).clamp(0.0, 0.9);
        self.warm_served.seen += f64::from(u8::from(good && warm == Some(true)));
        if good && !outlived {
            self.crowd.of(workload).late.add(true);
        }
        if good && self.dragging != Some(workload) {
            self.slices.add(self.now, elapsed);
            self.weigh_width(elapsed, workload, out);
        }
        if !(good && outlived) {
            self.judge(id, good, out);
        }
        self.gate(out);
    }

    fn heard(&mut self, id: ServerId, slowdown: f64) {
        self.fleet.change(id, |server| (server.slowdown, server.heard) = (slowdown.max(1.0), self.now));
    }

    /// Copies pause while errors run past SuppressAt times the trip rate.
    fn gate(&mut self, out: &mut Vec<Action>) {
        let trip = (2.0 * self.long_run.rate()).max(TRIP_FLOOR);
        let rate = self.outcomes.rate();
        let known = self.outcomes.total() >= MINIMUM_CALLS && self.outcomes.bad >= 2.0;
        let shut = known && rate > trip;
        if shut != self.suppressed {
            self.suppressed = shut;
            let word = if shut { "paused" } else { "resumed" };
            out.push(Action::log(format!("copies {word}: {rate:.3} of hops failed, trip rate {trip:.3}")));
        }
    }

    /// Our own calls in flight are bounded by what latency shows: past a multiple of its uncrowded level,
    /// more only wait in servers, and tip them into the slow state. Never under what our usual rate needs.
    fn weigh_width(&mut self, elapsed: Micros, workload: WorkloadId, out: &mut Vec<Action>) {
        let (usable, left) = (self.fleet.usable(), self.left_of_fleet());
        let crowd = &mut self.crowd;
        let Some((median, level)) = crowd.measure(elapsed, workload) else { return };
        let strained = crowd.strained();
        let shown = strained > if crowd.crowded { EASED } else { CROWDED };
        let crowded = if self.figures.load_reports { crowd.thinned > 0.0 } else { shown };
        // Little's law asks for the mean, and its scatter besides: guards against turning away, in calm, what
        // a few long calls leave no room for. Told load acts on what is offered, and the width stands wider.
        let (told, quick) = (self.figures.load_reports, (self.sends.a_second / SHOWS_CROWD).min(1.0));
        let skew = if told { 1.0 } else { crowd.all.long.skew().clamp(1.0, 4.0) };
        let needed = self.sends.a_second * level / 1e6 * left * skew;
        let usual = if told { 1.0 + 2.4 * needed + 3.0 * needed.sqrt() } else { needed };
        let floor = usual.max(2.0 * usable * self.figures.my_part).max(2.0);
        // Few answers a second show a crowd late: guards against the sum of many bounds that open meanwhile.
        let scatter = if told { 0.0 } else { needed.sqrt() * quick };
        let ceiling = floor * (1.0 + self.sends.a_second / 80.0).min(1.5) + 0.5 + scatter;
        if crowded {
            crowd.steady = true;
            let least = if strained > JAMMED { floor } else { floor + scatter };
            crowd.width = (crowd.width * 0.97).max(least);
        } else if crowd.width < ceiling && f64::from(self.out) + 1.0 >= crowd.width * 0.8 {
            crowd.width += if crowd.steady { 2.0 / crowd.width } else { 0.1 };
        }
        if crowded != crowd.crowded {
            crowd.crowded = crowded;
            let word = if crowded { "crowded" } else { "calm" };
            let (now, then, width) = (median / 1e3, level / 1e3, crowd.width);
            let text = format!(
                "{word}: {strained:.2} of the level, median {now:.0} against {then:.0} ms, width {width:.1}"
            );
            out.push(Action::log(text));
        }
    }

    /// Health is relative: a server is condemned by its own record against the others', never more than half.
    fn judge(&mut self, id: ServerId, good: bool, out: &mut Vec<Action>) {
        let others = self.fleet.peers(id).rate();
        let ready = self.fleet.ready() as f64;
        let aside = ready - self.fleet.usable();
        let judged = self.fleet.change(id, |server| {
            server.record.add(good);
            let rate = server.record.rate();
            let worse = server.record.bad >= 3.0 && rate > 0.6 && rate > 3.0 * others;
            if server.record.total() > 16.0 {
                server.record.fade(0.5);
            }
            (rate, worse || server.unreached, server.trust)
        });
        let Some((rate, bad, trust)) = judged else { return };
        let condemned = bad && 2.0 * (aside + 1.0) <= ready;
        let sign = match (trust, good) {
            (Trust::Fit, false) if condemned => Sign::Condemned,
            (Trust::Trial, true) => Sign::Good,
            (Trust::Trial, false) => Sign::Bad,
            _ => return,
        };
        self.sign(id, sign, format!("{rate:.2} of its hops bad, {others:.2} of the others'"), out);
    }

    fn sign(&mut self, id: ServerId, sign: Sign, why: String, out: &mut Vec<Action>) {
        let now = self.now;
        let step = |server: &mut Server| {
            let row = SERVERS.iter().find(|(trust, given, _)| *trust == server.trust && *given == sign);
            let &(_, _, trust) = row?;
            server.trust = trust;
            if trust == Trust::Aside {
                // Guards against knocking again and again where others hold all connections.
                let doubled = server.asides.min(3) + if server.answered { 0 } else { 3 };
                server.until = now + ASIDE.times(f64::from(1 << doubled));
                server.asides += 1;
            } else if trust == Trust::Fit {
                (server.record, server.asides) = (OutcomeCounts { good: 1.0, bad: 0.0 }, 0);
            }
            Some(trust)
        };
        let Some(trust) = self.fleet.change(id, step).flatten() else { return };
        self.settle(id);
        out.push(Action::Log { text: format!("server {trust:?}: {why}"), server: Some(id) });
        self.draw_circle(Some(&[id]));
    }

    // ---- the list ----

    /// Rule three: stay subscribed. An ask that is never answered is repeated too.
    fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.subscribed && self.now >= self.ask_at {
            self.ask_at = self.now + self.figures.ask_again;
            out.push(Action::Subscribe);
        }
    }

    fn listed(&mut self, kind: ListKind, entries: &[ListedServer], out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            (self.subscribed, self.failed_asks) = (false, self.failed_asks + 1);
            let longest = Micros::millis(250 << self.failed_asks.min(6)).min(self.figures.ask_again);
            let after = longest.times(0.5 + 0.5 * self.chance.uniform());
            self.ask_at = self.now + after;
            let text = || Action::log(format!("list failed, asking again in {:.2} s", after.secs()));
            out.extend((self.failed_asks == 1).then(text));
            return out.push(Action::SetTimer { after, token: ASK });
        }
        if kind != ListKind::Cached {
            (self.subscribed, self.failed_asks) = (true, 0);
        }
        // Spreads the first sends of many sidecars, so that they don't meet a cold server at once.
        let cold = || Allowance { left: 1.0 - self.chance.uniform(), seen: self.now };
        let whole = kind != ListKind::Changes;
        self.fleet.list(whole, entries, |listing| turn(&self.figures, listing), cold);
        let changed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        self.draw_circle(Some(&changed).filter(|_| !whole).map(Vec::as_slice));
        changed.into_iter().for_each(|id| self.settle(id));
        self.crowd.fleet = self.crowd.fleet.max(self.fleet.usable_size());
        if !self.crowd.steady {
            self.crowd.width =
                self.crowd.width.max(4.0 * self.fleet.usable() * self.figures.my_part).max(2.0);
        }
    }

    fn beat(&mut self, out: &mut Vec<Action>) {
        self.peak *= 0.98;
        let to_two_servers = 0.5 / self.figures.my_part / self.fleet.usable().max(1.0);
        self.dither = 0.999 - self.chance.uniform() * to_two_servers.min(1.0);
        self.draw_circle(None);
        let warm = |server: &&Server| server.usable() && self.figures.cold_share(server, self.now).is_none();
        let warm = self.fleet.around().filter(warm).count() as f64;
        if warm > 0.0 {
            self.warm_served.seen /= warm;
            self.warm_served.beat(BEAT, 0.25);
        }
        let cold = |server: &&Server| self.figures.cold_share(server, self.now).is_some();
        let cold: Vec<_> = self.fleet.all().filter(cold).map(|server| server.listing.server).collect();
        cold.into_iter().for_each(|id| self.settle(id));
        // Guards against a spiral: what a crowd lets through must not become the measure of what is usual.
        let part = if self.crowd.crowded { 0.0 } else { 0.1 };
        self.sends.beat(BEAT, part);
        self.crowd.fleet *= 0.99;
        self.crowd.settle();
        self.crowd.own.iter_mut().for_each(|own| own.late.fade(0.8));
        self.weigh_drag(out);
        self.outcomes.fade(0.9);
        if self.long_run.total() > 2000.0 {
            self.long_run.fade(0.5);
        }
        self.gate(out);
        self.ask(out);
        out.push(Action::SetTimer { after: BEAT, token: HEART });
    }
}

/// Where a server stands on our ring. Where crossing is priced the order is our own, by lot, and a server of
/// another place comes before one of ours only now and then.
fn turn(figures: &Figures, listing: &ListedServer) -> (u64, u64) {
    let Some(near) = figures.near else { return listing.turn() };
    listing.turn_by_lot(figures.my_number as u64, if listing.zone == near { 1.0 } else { FAR })
}

fn lighter<'a>(one: &'a Server, other: &'a Server, burden: &impl Fn(&Server) -> f64) -> &'a Server {
    if burden(one) > burden(other) {
        other
    } else {
        one
    }
}
