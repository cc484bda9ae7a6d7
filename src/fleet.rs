//! The servers that an instance knows, as the rules read them: totals that are kept up to date instead of summed, our part
//! of the ring kept by changes, and the servers that might be sent to kept by class, so that one can be drawn in a time
//! that does not grow with their number. Nothing is decided here: whether a drawn server fits is asked of the rules.
use crate::records::{Server, Trust};
use crate::types::*;
use crate::{scatter, Allowance, OutcomeCounts, SeededRng};
use fnv::FnvHashMap;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Where a server stands that might be sent to, by what the pick ranks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Class {
    /// It holds none of our calls and has answered before.
    IdleNear,
    IdleFar,
    /// It holds none of our calls and has never answered.
    NewNear,
    NewFar,
    Busy,
}

/// Changes of the list up to which the ring is kept by each of them; more make it anew.
const FEW: usize = 32;
/// Blind draws of a server before all of a class are looked through.
const DRAWS: usize = 16;
/// Parts of a unit of size: sizes are summed in whole ones, so that no sum drifts.
const PARTS: f64 = 1e6;

/// Where a server stands on the ring: the same order at every sidecar.
type Turn = ((u64, u64), ServerId);

struct Entry {
    server: Server,
    /// Where it stands on the ring.
    turn: Turn,
    around: bool,
    /// What it adds to the room of our part of the ring.
    room: f64,
    class: Option<(Class, usize)>,
    parked: Option<Micros>,
    redrawn: u64,
}

/// What one server adds to the totals.
#[derive(Clone, Copy, PartialEq, Default)]
struct Part {
    usable: bool,
    around: bool,
    size: u128,
    ease: u64,
    stuck: u32,
    answered: Option<u32>,
    record: OutcomeCounts,
}

#[derive(Default)]
pub struct Fleet {
    now: Micros,
    near: Option<ZoneId>,
    slots: Slab<Entry>,
    numbers: FnvHashMap<ServerId, usize>,
    ring: Vec<(Turn, usize)>,
    circle: VecDeque<usize>,
    /// Where on the ring our part begins, and its room.
    first: usize,
    room: f64,
    redraws: u64,
    classes: [Vec<usize>; 5],
    parked: BTreeSet<(Micros, usize)>,
    // Totals: over all servers, ...
    usable: usize,
    size: u128,
    // ... and over our part of the ring.
    size_around: u128,
    eases: BTreeMap<u64, u32>,
    stuck: u32,
    answered: usize,
    answered_out: u32,
    record: OutcomeCounts,
}

impl Fleet {
    /// `near` is our own place, where crossing is priced. Elsewhere the ring must keep cells together.
    pub fn new(near: Option<ZoneId>) -> Fleet {
        Fleet { near, ..Fleet::default() }
    }

    // ---- what the rules read ----

    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.numbers.get(&id).map(|slot| &self.slots[*slot].server)
    }

    pub fn all(&self) -> impl Iterator<Item = &Server> + Clone {
        self.slots.iter().map(|(_, entry)| &entry.server)
    }

    /// Our part of the ring.
    pub fn around(&self) -> impl Iterator<Item = &Server> + Clone {
        self.circle.iter().map(|slot| &self.slots[*slot].server)
    }

    /// Those of a cell in our part of the ring: found at once where cells stand together.
    pub fn cell(&self, cell: CellId) -> impl Iterator<Item = &Server> {
        self.cell_slots(cell).map(|slot| &self.slots[slot].server)
    }

    fn cell_slots(&self, cell: CellId) -> impl Iterator<Item = usize> + '_ {
        let turn = ListedServer::cell_turn(cell);
        let (from, to) = match self.near {
            None => {
                let from = self.ring.partition_point(|((at, _), _)| at.0 < turn);
                (from, from + self.ring[from..].partition_point(|((at, _), _)| at.0 == turn))
            }
            Some(_) => (0, self.ring.len()),
        };
        let there = self.ring[from..to].iter().map(|(_, slot)| *slot);
        there.filter(move |slot| {
            let entry = &self.slots[*slot];
            entry.around && entry.server.listing.cell == cell
        })
    }

    pub fn ready(&self) -> usize {
        self.ring.len()
    }

    /// How many are ready and fit, of all there are.
    pub fn usable(&self) -> f64 {
        self.usable as f64
    }

    /// Their size together, which is never 0.
    pub fn usable_size(&self) -> f64 {
        0.01 + self.size as f64 / PARTS
    }

    /// The size of those around us that are fit; never 0.
    pub fn size_around(&self) -> f64 {
        0.01 + self.size_around as f64 / PARTS
    }

    /// The most ease of any fit server around us, 0.3 at least.
    pub fn easiest(&self) -> f64 {
        self.eases.keys().next_back().map_or(0.3, |bits| f64::from_bits(*bits).max(0.3))
    }

    /// Our hops at servers around us that are not fit.
    pub fn stuck(&self) -> u32 {
        self.stuck
    }

    /// Our hops at a server around us that has answered before, in the mean.
    pub fn mean_out(&self) -> f64 {
        f64::from(self.answered_out) / self.answered.max(1) as f64
    }

    /// The first of those around us that fit, in a key's own order, which is the same at every sidecar.
    pub fn in_order_of(&self, key: u64, most: usize, fits: &impl Fn(&Server) -> bool) -> Vec<&Server> {
        let fitting = self.around().filter(|server| fits(server));
        let mut order: Vec<_> =
            fitting.map(|server| (scatter(key ^ server.listing.name_hash), server)).collect();
        if order.len() > most {
            order.select_nth_unstable_by_key(most, |(turn, _)| *turn);
            order.truncate(most);
        }
        order.sort_unstable_by_key(|(turn, _)| *turn);
        order.into_iter().map(|(_, server)| server).collect()
    }

    /// The records of all around us but this one, together.
    pub fn peers(&self, id: ServerId) -> OutcomeCounts {
        let own = self.numbers.get(&id).map(|slot| &self.slots[*slot]).filter(|entry| entry.around);
        let own = own.map(|entry| entry.server.record).unwrap_or_default();
        OutcomeCounts { good: self.record.good - own.good, bad: self.record.bad - own.bad }
    }

    /// An even draw among those of some classes that fit, of one cell only if that is said. Drawn blindly first:
    /// mostly nearly all fit; looked through where that fails.
    pub fn draw(
        &self, classes: &[Class], cell: Option<CellId>, lots: &mut SeededRng, fits: &impl Fn(&Server) -> bool,
    ) -> Option<&Server> {
        let even = |fitting: Vec<usize>, lots: &mut SeededRng| {
            (!fitting.is_empty()).then(|| &self.slots[fitting[lots.below(fitting.len())]].server)
        };
        let fit = |slot: &usize| fits(&self.slots[*slot].server);
        if let Some(cell) = cell {
            let of_class =
                |slot: &usize| self.slots[*slot].class.is_some_and(|(class, _)| classes.contains(&class));
            return even(self.cell_slots(cell).filter(of_class).filter(fit).collect(), lots);
        }
        let sets = || classes.iter().map(|class| &self.classes[*class as usize]);
        let all: usize = sets().map(Vec::len).sum();
        if all > DRAWS {
            for _ in 0..DRAWS {
                let mut at = lots.below(all);
                let set = sets().find(|set| {
                    let here = at < set.len();
                    at -= if here { 0 } else { set.len() };
                    here
                })?;
                if fit(&set[at]) {
                    return Some(&self.slots[set[at]].server);
                }
            }
        }
        even(sets().flatten().copied().filter(fit).collect(), lots)
    }

    // ---- changes ----

    /// Changes a server, and all that hangs on it.
    pub fn change<T>(&mut self, id: ServerId, how: impl FnOnce(&mut Server) -> T) -> Option<T> {
        let slot = *self.numbers.get(&id)?;
        let before = self.part(slot);
        let done = how(&mut self.slots[slot].server);
        self.recount(before, slot);
        Some(done)
    }

    /// Time has passed: the next server whose rest is over by now, if any.
    pub fn rouse(&mut self, now: Micros) -> Option<ServerId> {
        self.now = now;
        let &(at, slot) = self.parked.first()?;
        (at <= now).then(|| {
            self.class_anew(slot);
            self.slots[slot].server.listing.server
        })
    }

    pub fn remove(&mut self, id: ServerId) {
        let Some(slot) = self.numbers.get(&id).copied() else { return };
        let before = self.part(slot);
        self.slots[slot].server.listing.status = ServerStatus::Gone;
        self.slots[slot].around = false;
        self.recount(before, slot);
        self.numbers.remove(&id);
        self.slots.remove(slot);
    }

    /// Takes what the list tells. A whole one names all there are. `cold` is the allowance that a fresh server starts
    /// with. Our part of the ring must be drawn or fitted after it.
    pub fn list(
        &mut self, whole: bool, entries: &[ListedServer], turn: impl Fn(&ListedServer) -> (u64, u64),
        mut cold: impl FnMut() -> Allowance,
    ) {
        let many = whole || entries.len() > FEW;
        if many {
            self.clear();
        }
        if whole {
            self.slots.iter_mut().for_each(|(_, entry)| entry.server.listing.status = ServerStatus::Gone);
        }
        for listing in entries {
            let cold = cold();
            let slot = match self.numbers.get(&listing.server) {
                Some(slot) => *slot,
                None => {
                    let server =
                        Server::new(&ListedServer { status: ServerStatus::Gone, ..*listing }, 0, cold);
                    self.enter(server, turn(listing))
                }
            };
            let before = if many { Part::default() } else { self.part(slot) };
            if !many {
                self.off_ring(slot);
            }
            let known = &mut self.slots[slot].server;
            if listing.started > known.listing.started {
                *known = Server::new(listing, known.out, cold);
            }
            known.listing = listing.clone();
            self.slots[slot].turn = (turn(listing), listing.server);
            if !many {
                self.on_ring(slot);
                self.recount(before, slot);
            }
        }
        if many {
            self.ring = self
                .slots
                .iter()
                .filter(|(_, entry)| entry.ready())
                .map(|(slot, entry)| (entry.turn, slot))
                .collect();
            self.ring.sort_unstable();
            let slots: Vec<usize> = self.slots.iter().map(|(slot, _)| slot).collect();
            slots.into_iter().for_each(|slot| self.recount(Part::default(), slot));
        }
        let gone = |server: &&Server| server.listing.status == ServerStatus::Gone && server.out == 0;
        let gone: Vec<ServerId> = match many {
            true => self.all().filter(gone).map(|server| server.listing.server).collect(),
            false => entries
                .iter()
                .filter_map(|entry| self.get(entry.server))
                .filter(gone)
                .map(|server| server.listing.server)
                .collect(),
        };
        gone.into_iter().for_each(|id| self.remove(id));
    }

    /// Draws our part of the ring: from `start` on, as many as it takes for `wanted` of room, as `room` has it.
    pub fn redraw(&mut self, start: usize, wanted: f64, room: impl Fn(&Server) -> f64) {
        self.redraws += 1;
        let before = std::mem::take(&mut self.circle);
        (self.first, self.room) = (start.min(self.ring.len()), 0.0);
        for (_, entry) in &mut self.slots {
            entry.room = room(&entry.server);
        }
        self.extend(wanted);
        for slot in before {
            if self.slots.get(slot).is_some_and(|entry| entry.around && entry.redrawn != self.redraws) {
                self.leave(slot);
            }
        }
        // Sums of fractions are made anew: guards against drift over days.
        self.record = self.around().map(|server| server.record).sum();
    }

    /// As [`Fleet::redraw`] does, for a part that little has happened to.
    pub fn refit(&mut self, start: usize, wanted: f64, changed: &[ServerId], room: impl Fn(&Server) -> f64) {
        let all = self.ring.len();
        for slot in changed.iter().filter_map(|id| self.numbers.get(id).copied()) {
            let new = room(&self.slots[slot].server);
            let old = std::mem::replace(&mut self.slots[slot].room, new);
            self.room += if self.slots[slot].around { new - old } else { 0.0 };
        }
        let (ahead, behind) = if all == 0 {
            (0, 0)
        } else {
            ((start + all - self.first) % all, (self.first + all - start) % all)
        };
        if ahead.min(behind) > FEW || self.circle.is_empty() {
            return self.redraw(start, wanted, room);
        }
        self.redraws += 1;
        if ahead <= behind {
            for _ in 0..ahead {
                if let Some(slot) = self.circle.pop_front() {
                    self.part_with(slot);
                }
            }
        } else {
            for step in 1..=behind {
                if self.circle.len() == all {
                    self.drop_last();
                }
                let slot = self.ring[(self.first + all - step) % all].1;
                self.circle.push_front(slot);
                self.join(slot);
            }
        }
        self.first = start;
        while self.circle.back().is_some_and(|slot| self.room - self.slots[*slot].room >= wanted) {
            self.drop_last();
        }
        self.extend(wanted);
    }

    fn drop_last(&mut self) {
        if let Some(slot) = self.circle.pop_back() {
            self.part_with(slot);
        }
    }

    fn extend(&mut self, wanted: f64) {
        while self.room < wanted && self.circle.len() < self.ring.len() {
            let slot = self.ring[(self.first + self.circle.len()) % self.ring.len()].1;
            self.circle.push_back(slot);
            self.join(slot);
        }
    }

    fn join(&mut self, slot: usize) {
        self.room += self.slots[slot].room;
        self.slots[slot].redrawn = self.redraws;
        if !self.slots[slot].around {
            let before = self.part(slot);
            self.slots[slot].around = true;
            self.recount(before, slot);
        }
    }

    fn part_with(&mut self, slot: usize) {
        self.room -= self.slots[slot].room;
        self.leave(slot);
    }

    fn leave(&mut self, slot: usize) {
        let before = self.part(slot);
        self.slots[slot].around = false;
        self.recount(before, slot);
    }

    fn enter(&mut self, server: Server, turn: (u64, u64)) -> usize {
        let id = server.listing.server;
        let fresh = Entry {
            server,
            turn: (turn, id),
            around: false,
            room: 0.0,
            class: None,
            parked: None,
            redrawn: 0,
        };
        let slot = self.slots.insert(fresh);
        self.numbers.insert(id, slot);
        slot
    }

    /// Takes a server off the ring, and out of our part of it.
    fn off_ring(&mut self, slot: usize) {
        let entry = &self.slots[slot];
        let Some(at) = entry.ready().then(|| self.ring.binary_search(&(entry.turn, slot)).ok()).flatten()
        else {
            return;
        };
        let all = self.ring.len();
        let offset = (at + all - self.first) % all;
        self.ring.remove(at);
        if offset < self.circle.len() {
            self.circle.remove(offset);
            self.room -= self.slots[slot].room;
            self.slots[slot].around = false;
        }
        self.first -= usize::from(at < self.first);
        self.first = if self.first >= all - 1 { 0 } else { self.first };
    }

    /// Puts a server on the ring, and into our part of it where it comes to stand inside that.
    fn on_ring(&mut self, slot: usize) {
        let entry = &self.slots[slot];
        if !entry.ready() {
            return;
        }
        let key = (entry.turn, slot);
        let at = self.ring.partition_point(|one| *one < key);
        self.ring.insert(at, key);
        self.first += usize::from(at <= self.first && self.ring.len() > 1);
        let offset = (at + self.ring.len() - self.first) % self.ring.len();
        if offset < self.circle.len() {
            self.circle.insert(offset, slot);
            self.room += self.slots[slot].room;
            self.slots[slot].around = true;
        }
    }

    // ---- totals and classes ----

    fn part(&self, slot: usize) -> Part {
        let Entry { server, around, .. } = &self.slots[slot];
        let (usable, around) = (server.usable(), *around);
        Part {
            usable,
            around,
            size: (server.listing.weight * PARTS).round().max(0.0) as u128,
            ease: server.ease.to_bits(),
            stuck: if server.trust == Trust::Fit { 0 } else { server.out },
            answered: server.answered.then_some(server.out),
            record: server.record,
        }
    }

    fn clear(&mut self) {
        for (_, entry) in &mut self.slots {
            (entry.around, entry.class, entry.parked) = (false, None, None);
        }
        self.ring.clear();
        self.circle.clear();
        self.parked.clear();
        self.classes.iter_mut().for_each(Vec::clear);
        self.eases.clear();
        (self.usable, self.size, self.size_around, self.first, self.room) = (0, 0, 0, 0, 0.0);
        (self.stuck, self.answered, self.answered_out, self.record) = (0, 0, 0, OutcomeCounts::default());
    }

    fn recount(&mut self, before: Part, slot: usize) {
        let after = self.part(slot);
        if before != after {
            self.take_out(before);
            self.put_in(after);
        }
        self.class_anew(slot);
    }

    fn take_out(&mut self, part: Part) {
        if part.usable {
            self.usable -= 1;
            self.size -= part.size;
        }
        if !part.around {
            return;
        }
        if part.usable {
            self.size_around -= part.size;
            if let Some(count) = self.eases.get_mut(&part.ease) {
                *count -= 1;
                if *count == 0 {
                    self.eases.remove(&part.ease);
                }
            }
        }
        self.stuck -= part.stuck;
        if let Some(out) = part.answered {
            self.answered -= 1;
            self.answered_out -= out;
        }
        self.record.good -= part.record.good;
        self.record.bad -= part.record.bad;
    }

    fn put_in(&mut self, part: Part) {
        if part.usable {
            self.usable += 1;
            self.size += part.size;
        }
        if !part.around {
            return;
        }
        if part.usable {
            self.size_around += part.size;
            *self.eases.entry(part.ease).or_default() += 1;
        }
        self.stuck += part.stuck;
        if let Some(out) = part.answered {
            self.answered += 1;
            self.answered_out += out;
        }
        self.record.good += part.record.good;
        self.record.bad += part.record.bad;
    }

    /// Puts a server where it belongs by now: into a class, among those that rest, or nowhere.
    fn class_anew(&mut self, slot: usize) {
        let Entry { server, around, class, parked, .. } = &self.slots[slot];
        let barred = server.trust != Trust::Fit && server.out > 0;
        let able = *around && server.listing.status == ServerStatus::Ready && !barred;
        let near = self.near.is_none_or(|near| near == server.listing.zone);
        let rests = able && server.rest > self.now;
        let wanted = (able && !rests).then_some(match (server.out, server.answered, near) {
            (1.., ..) => Class::Busy,
            (0, true, true) => Class::IdleNear,
            (0, true, false) => Class::IdleFar,
            (0, false, true) => Class::NewNear,
            (0, false, false) => Class::NewFar,
        });
        let (rest, class, parked) = (rests.then_some(server.rest), *class, *parked);
        if parked != rest {
            parked.map(|at| self.parked.remove(&(at, slot)));
            rest.map(|at| self.parked.insert((at, slot)));
            self.slots[slot].parked = rest;
        }
        if class.map(|(class, _)| class) == wanted {
            return;
        }
        if let Some((class, at)) = class {
            let set = &mut self.classes[class as usize];
            set.swap_remove(at);
            if let Some(&moved) = set.get(at) {
                self.slots[moved].class = Some((class, at));
            }
        }
        self.slots[slot].class = wanted.map(|class| {
            self.classes[class as usize].push(slot);
            (class, self.classes[class as usize].len() - 1)
        });
    }
}

impl Entry {
    fn ready(&self) -> bool {
        self.server.listing.status == ServerStatus::Ready
    }
}
