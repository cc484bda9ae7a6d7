//! The servers that a balancer knows. Totals are updated with each change instead of being summed, and the
//! balancer's subset of the ring is adjusted by differences. Servers that calls may be sent to are indexed by
//! class, so that one can be picked in a time that does not grow with their number. Whether a picked server
//! is suitable is decided by the caller.
use crate::records::{Health, Server};
use crate::types::*;
use crate::{mix64, OutcomeCounts, SeededRng, TokenBucket};
use fnv::FnvHashMap;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The class of a server that calls may be sent to, by which the pick ranks servers. `Local` means in the
/// balancer's own zone, or anywhere if traffic between zones has no cost.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerClass {
    /// It holds none of this balancer's calls and has answered before.
    IdleLocal,
    IdleRemote,
    /// It holds none of this balancer's calls and has never answered.
    NewLocal,
    NewRemote,
    Busy,
}

/// Up to so many changed entries the ring is updated entry by entry; beyond that it is rebuilt.
const MAX_SINGLE_UPDATES: usize = 32;
/// Random probes of a class before all its servers are searched.
const RANDOM_PROBES: usize = 16;
/// Weights are summed as whole numbers of millionths, so that the sums do not drift.
const UNITS_PER_WEIGHT: f64 = 1e6;

/// A server's position on the ring, and its id, which decides between equal positions.
type RingPosition = ((u64, u64), ServerId);

struct Entry {
    server: Server,
    position: RingPosition,
    in_subset: bool,
    /// What the server adds to the capacity of the subset.
    capacity: f64,
    /// Its class and its index in [`Fleet::classes`].
    class: Option<(ServerClass, usize)>,
    /// Its time in [`Fleet::blocked`], if it is there.
    blocked_until: Option<Micros>,
    /// The value of [`Fleet::generation`] when the server was last added to the subset.
    generation: u64,
}

/// What one server contributes to the totals.
#[derive(Clone, Copy, PartialEq, Default)]
struct Contribution {
    usable: bool,
    in_subset: bool,
    weight: u128,
    /// The bits of the weight factor: the order of positive floats is that of their bits.
    weight_factor: u64,
    unhealthy_in_flight: u32,
    /// The server's open hops, if it has answered before.
    answered_in_flight: Option<u32>,
    outcomes: OutcomeCounts,
}

/// All servers, the ring of ready ones and the balancer's subset of it.
#[derive(Default)]
pub struct Fleet {
    now: Micros,
    local_zone: Option<ZoneId>,
    slots: Slab<Entry>,
    slot_by_id: FnvHashMap<ServerId, usize>,
    /// The slots of all ready servers, sorted.
    ring: Vec<(RingPosition, usize)>,
    /// The slots of the subset, in ring order.
    subset: VecDeque<usize>,
    /// The index on the ring at which the subset begins.
    subset_start: usize,
    subset_capacity: f64,
    /// Counts the rebuilds and adjustments of the subset.
    generation: u64,
    /// The slots of each class.
    classes: [Vec<usize>; 5],
    /// Servers that may not be sent to before a time.
    blocked: BTreeSet<(Micros, usize)>,
    // Totals over all servers:
    usable_count: usize,
    usable_weight: u128,
    // Totals over the subset:
    subset_weight: u128,
    weight_factors: BTreeMap<u64, u32>,
    unhealthy_in_flight: u32,
    answered_count: usize,
    answered_in_flight: u32,
    outcomes: OutcomeCounts,
}

impl Fleet {
    /// `local_zone` is the balancer's own zone, if traffic to other zones has a cost. If it is none, the ring
    /// must keep the servers of a cell together.
    pub fn new(local_zone: Option<ZoneId>) -> Fleet {
        Fleet { local_zone, ..Fleet::default() }
    }

    // ---- queries ----

    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.slot_by_id.get(&id).map(|slot| &self.slots[*slot].server)
    }

    pub fn all(&self) -> impl Iterator<Item = &Server> + Clone {
        self.slots.iter().map(|(_, entry)| &entry.server)
    }

    /// The servers of the subset.
    pub fn subset(&self) -> impl Iterator<Item = &Server> + Clone {
        self.subset.iter().map(|slot| &self.slots[*slot].server)
    }

    /// The servers of a cell that are in the subset: found by binary search if the ring keeps cells together.
    pub fn in_cell(&self, cell: CellId) -> impl Iterator<Item = &Server> {
        self.slots_in_cell(cell).map(|slot| &self.slots[slot].server)
    }

    fn slots_in_cell(&self, cell: CellId) -> impl Iterator<Item = usize> + '_ {
        let position = ListedServer::cell_ring_position(cell);
        let (from, to) = match self.local_zone {
            None => {
                let from = self.ring.partition_point(|((at, _), _)| at.0 < position);
                (from, from + self.ring[from..].partition_point(|((at, _), _)| at.0 == position))
            }
            Some(_) => (0, self.ring.len()),
        };
        let slots = self.ring[from..to].iter().map(|(_, slot)| *slot);
        slots.filter(move |slot| {
            let entry = &self.slots[*slot];
            entry.in_subset && entry.server.listing.cell == cell
        })
    }

    pub fn ready_count(&self) -> usize {
        self.ring.len()
    }

    /// The number of servers that are ready and healthy.
    pub fn usable_count(&self) -> f64 {
        self.usable_count as f64
    }

    /// The total weight of the usable servers; never 0.
    pub fn usable_weight(&self) -> f64 {
        0.01 + self.usable_weight as f64 / UNITS_PER_WEIGHT
    }

    /// The total weight of the usable servers in the subset; never 0.
    pub fn subset_weight(&self) -> f64 {
        0.01 + self.subset_weight as f64 / UNITS_PER_WEIGHT
    }

    /// The highest weight factor of the usable servers in the subset, 0.3 at least.
    pub fn max_weight_factor(&self) -> f64 {
        self.weight_factors.keys().next_back().map_or(0.3, |bits| f64::from_bits(*bits).max(0.3))
    }

    /// Open hops at servers of the subset that are not healthy.
    pub fn unhealthy_in_flight(&self) -> u32 {
        self.unhealthy_in_flight
    }

    /// The mean number of open hops at the servers of the subset that have answered before.
    pub fn mean_in_flight(&self) -> f64 {
        f64::from(self.answered_in_flight) / self.answered_count.max(1) as f64
    }

    /// The first suitable servers of the subset, at most `max_count` of them, in an order that depends on
    /// the key and is the same at every balancer.
    pub fn preferred_for_key(
        &self, key: u64, max_count: usize, suitable: &impl Fn(&Server) -> bool,
    ) -> Vec<&Server> {
        let servers = self.subset().filter(|server| suitable(server));
        let mut order: Vec<_> =
            servers.map(|server| (mix64(key ^ server.listing.name_hash), server)).collect();
        if order.len() > max_count {
            order.select_nth_unstable_by_key(max_count, |(hash, _)| *hash);
            order.truncate(max_count);
        }
        order.sort_unstable_by_key(|(hash, _)| *hash);
        order.into_iter().map(|(_, server)| server).collect()
    }

    /// The outcomes at all servers of the subset but this one.
    pub fn outcomes_of_others(&self, id: ServerId) -> OutcomeCounts {
        let own = self.slot_by_id.get(&id).map(|slot| &self.slots[*slot]).filter(|entry| entry.in_subset);
        let own = own.map(|entry| entry.server.outcomes).unwrap_or_default();
        OutcomeCounts { good: self.outcomes.good - own.good, bad: self.outcomes.bad - own.bad }
    }

    /// Picks a suitable server of the given classes, uniformly at random; if `cell` is given, only from that
    /// cell. Probes at random first, since mostly nearly all servers are suitable, and searches all of them if
    /// that fails.
    pub fn pick_random(
        &self, classes: &[ServerClass], cell: Option<CellId>, rng: &mut SeededRng,
        suitable: &impl Fn(&Server) -> bool,
    ) -> Option<&Server> {
        let uniform = |slots: Vec<usize>, rng: &mut SeededRng| {
            (!slots.is_empty()).then(|| &self.slots[slots[rng.below(slots.len())]].server)
        };
        let suits = |slot: &usize| suitable(&self.slots[*slot].server);
        if let Some(cell) = cell {
            let of_class =
                |slot: &usize| self.slots[*slot].class.is_some_and(|(class, _)| classes.contains(&class));
            return uniform(self.slots_in_cell(cell).filter(of_class).filter(suits).collect(), rng);
        }
        let sets = || classes.iter().map(|class| &self.classes[*class as usize]);
        let all: usize = sets().map(Vec::len).sum();
        if all > RANDOM_PROBES {
            for _ in 0..RANDOM_PROBES {
                let mut index = rng.below(all);
                let set = sets().find(|set| {
                    let found = index < set.len();
                    index -= if found { 0 } else { set.len() };
                    found
                })?;
                if suits(&set[index]) {
                    return Some(&self.slots[set[index]].server);
                }
            }
        }
        uniform(sets().flatten().copied().filter(suits).collect(), rng)
    }

    // ---- changes ----

    /// Changes a server, and updates its class and the totals.
    pub fn update<T>(&mut self, id: ServerId, change: impl FnOnce(&mut Server) -> T) -> Option<T> {
        let slot = *self.slot_by_id.get(&id)?;
        let before = self.contribution(slot);
        let result = change(&mut self.slots[slot].server);
        self.update_totals(before, slot);
        Some(result)
    }

    /// Advances the time; returns the next server that has become unblocked, if any. Must be called until it
    /// returns none.
    pub fn next_unblocked(&mut self, now: Micros) -> Option<ServerId> {
        self.now = now;
        let &(until, slot) = self.blocked.first()?;
        (until <= now).then(|| {
            self.reclassify(slot);
            self.slots[slot].server.listing.server
        })
    }

    pub fn remove(&mut self, id: ServerId) {
        let Some(slot) = self.slot_by_id.get(&id).copied() else { return };
        let before = self.contribution(slot);
        self.slots[slot].server.listing.status = ServerStatus::Gone;
        self.slots[slot].in_subset = false;
        self.update_totals(before, slot);
        self.slot_by_id.remove(&id);
        self.slots.remove(slot);
    }

    /// Applies list entries. A whole list names all servers that exist. `cold_bucket` makes the token bucket
    /// of a new server. The subset must be rebuilt or adjusted afterwards.
    pub fn apply_list(
        &mut self, whole: bool, entries: &[ListedServer], position: impl Fn(&ListedServer) -> (u64, u64),
        mut cold_bucket: impl FnMut() -> TokenBucket,
    ) {
        let rebuild = whole || entries.len() > MAX_SINGLE_UPDATES;
        if rebuild {
            self.clear();
        }
        if whole {
            self.slots.iter_mut().for_each(|(_, entry)| entry.server.listing.status = ServerStatus::Gone);
        }
        for listing in entries {
            let cold_bucket = cold_bucket();
            let slot = match self.slot_by_id.get(&listing.server) {
                Some(slot) => *slot,
                None => {
                    let server =
                        Server::new(&ListedServer { status: ServerStatus::Gone, ..*listing }, 0, cold_bucket);
                    self.insert(server, position(listing))
                }
            };
            let before = if rebuild { Contribution::default() } else { self.contribution(slot) };
            if !rebuild {
                self.remove_from_ring(slot);
            }
            let known = &mut self.slots[slot].server;
            if listing.started > known.listing.started {
                *known = Server::new(listing, known.in_flight, cold_bucket);
            }
            known.listing = listing.clone();
            self.slots[slot].position = (position(listing), listing.server);
            if !rebuild {
                self.insert_into_ring(slot);
                self.update_totals(before, slot);
            }
        }
        if rebuild {
            self.ring = self
                .slots
                .iter()
                .filter(|(_, entry)| entry.is_ready())
                .map(|(slot, entry)| (entry.position, slot))
                .collect();
            self.ring.sort_unstable();
            let slots: Vec<usize> = self.slots.iter().map(|(slot, _)| slot).collect();
            slots.into_iter().for_each(|slot| self.update_totals(Contribution::default(), slot));
        }
        let gone = |server: &&Server| server.listing.status == ServerStatus::Gone && server.in_flight == 0;
        let gone: Vec<ServerId> = match rebuild {
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

    /// Rebuilds the subset: from the ring index `start` on, as many servers as are needed for a total
    /// capacity of `wanted`, where `capacity` returns that of each server.
    pub fn rebuild_subset(&mut self, start: usize, wanted: f64, capacity: impl Fn(&Server) -> f64) {
        self.generation += 1;
        let before = std::mem::take(&mut self.subset);
        (self.subset_start, self.subset_capacity) = (start.min(self.ring.len()), 0.0);
        for (_, entry) in &mut self.slots {
            entry.capacity = capacity(&entry.server);
        }
        self.extend_subset(wanted);
        for slot in before {
            if self
                .slots
                .get(slot)
                .is_some_and(|entry| entry.in_subset && entry.generation != self.generation)
            {
                self.clear_subset_flag(slot);
            }
        }
        // Floating-point sums are computed again, so that they do not drift over days.
        self.outcomes = self.subset().map(|server| server.outcomes).sum();
    }

    /// Has the same result as [`Fleet::rebuild_subset`], and is faster if little has changed.
    pub fn adjust_subset(
        &mut self, start: usize, wanted: f64, changed: &[ServerId], capacity: impl Fn(&Server) -> f64,
    ) {
        let all = self.ring.len();
        for slot in changed.iter().filter_map(|id| self.slot_by_id.get(id).copied()) {
            let new = capacity(&self.slots[slot].server);
            let old = std::mem::replace(&mut self.slots[slot].capacity, new);
            self.subset_capacity += if self.slots[slot].in_subset { new - old } else { 0.0 };
        }
        let (ahead, behind) = if all == 0 {
            (0, 0)
        } else {
            ((start + all - self.subset_start) % all, (self.subset_start + all - start) % all)
        };
        if ahead.min(behind) > MAX_SINGLE_UPDATES || self.subset.is_empty() {
            return self.rebuild_subset(start, wanted, capacity);
        }
        self.generation += 1;
        if ahead <= behind {
            for _ in 0..ahead {
                if let Some(slot) = self.subset.pop_front() {
                    self.leave_subset(slot);
                }
            }
        } else {
            for step in 1..=behind {
                if self.subset.len() == all {
                    self.drop_last();
                }
                let slot = self.ring[(self.subset_start + all - step) % all].1;
                self.subset.push_front(slot);
                self.join_subset(slot);
            }
        }
        self.subset_start = start;
        while self
            .subset
            .back()
            .is_some_and(|slot| self.subset_capacity - self.slots[*slot].capacity >= wanted)
        {
            self.drop_last();
        }
        self.extend_subset(wanted);
    }

    fn drop_last(&mut self) {
        if let Some(slot) = self.subset.pop_back() {
            self.leave_subset(slot);
        }
    }

    fn extend_subset(&mut self, wanted: f64) {
        while self.subset_capacity < wanted && self.subset.len() < self.ring.len() {
            let slot = self.ring[(self.subset_start + self.subset.len()) % self.ring.len()].1;
            self.subset.push_back(slot);
            self.join_subset(slot);
        }
    }

    /// Counts a server that was put into the subset.
    fn join_subset(&mut self, slot: usize) {
        self.subset_capacity += self.slots[slot].capacity;
        self.slots[slot].generation = self.generation;
        if !self.slots[slot].in_subset {
            let before = self.contribution(slot);
            self.slots[slot].in_subset = true;
            self.update_totals(before, slot);
        }
    }

    /// Stops counting a server that was taken out of the subset.
    fn leave_subset(&mut self, slot: usize) {
        self.subset_capacity -= self.slots[slot].capacity;
        self.clear_subset_flag(slot);
    }

    fn clear_subset_flag(&mut self, slot: usize) {
        let before = self.contribution(slot);
        self.slots[slot].in_subset = false;
        self.update_totals(before, slot);
    }

    fn insert(&mut self, server: Server, position: (u64, u64)) -> usize {
        let id = server.listing.server;
        let entry = Entry {
            server,
            position: (position, id),
            in_subset: false,
            capacity: 0.0,
            class: None,
            blocked_until: None,
            generation: 0,
        };
        let slot = self.slots.insert(entry);
        self.slot_by_id.insert(id, slot);
        slot
    }

    /// Takes a server off the ring and out of the subset.
    fn remove_from_ring(&mut self, slot: usize) {
        let entry = &self.slots[slot];
        let Some(index) =
            entry.is_ready().then(|| self.ring.binary_search(&(entry.position, slot)).ok()).flatten()
        else {
            return;
        };
        let all = self.ring.len();
        let offset = (index + all - self.subset_start) % all;
        self.ring.remove(index);
        if offset < self.subset.len() {
            self.subset.remove(offset);
            self.subset_capacity -= self.slots[slot].capacity;
            self.slots[slot].in_subset = false;
        }
        self.subset_start -= usize::from(index < self.subset_start);
        self.subset_start = if self.subset_start >= all - 1 { 0 } else { self.subset_start };
    }

    /// Puts a server on the ring, and into the subset if its position is inside it.
    fn insert_into_ring(&mut self, slot: usize) {
        let entry = &self.slots[slot];
        if !entry.is_ready() {
            return;
        }
        let key = (entry.position, slot);
        let index = self.ring.partition_point(|one| *one < key);
        self.ring.insert(index, key);
        self.subset_start += usize::from(index <= self.subset_start && self.ring.len() > 1);
        let offset = (index + self.ring.len() - self.subset_start) % self.ring.len();
        if offset < self.subset.len() {
            self.subset.insert(offset, slot);
            self.subset_capacity += self.slots[slot].capacity;
            self.slots[slot].in_subset = true;
        }
    }

    // ---- totals and classes ----

    fn contribution(&self, slot: usize) -> Contribution {
        let Entry { server, in_subset, .. } = &self.slots[slot];
        let (usable, in_subset) = (server.is_usable(), *in_subset);
        Contribution {
            usable,
            in_subset,
            weight: (server.listing.weight * UNITS_PER_WEIGHT).round().max(0.0) as u128,
            weight_factor: server.weight_factor.to_bits(),
            unhealthy_in_flight: if server.health == Health::Healthy { 0 } else { server.in_flight },
            answered_in_flight: server.has_answered.then_some(server.in_flight),
            outcomes: server.outcomes,
        }
    }

    /// Empties the ring, the subset, the classes and the totals; the servers stay.
    fn clear(&mut self) {
        for (_, entry) in &mut self.slots {
            (entry.in_subset, entry.class, entry.blocked_until) = (false, None, None);
        }
        self.ring.clear();
        self.subset.clear();
        self.blocked.clear();
        self.classes.iter_mut().for_each(Vec::clear);
        self.weight_factors.clear();
        (
            self.usable_count,
            self.usable_weight,
            self.subset_weight,
            self.subset_start,
            self.subset_capacity,
        ) = (0, 0, 0, 0, 0.0);
        (self.unhealthy_in_flight, self.answered_count, self.answered_in_flight, self.outcomes) =
            (0, 0, 0, OutcomeCounts::default());
    }

    fn update_totals(&mut self, before: Contribution, slot: usize) {
        let after = self.contribution(slot);
        if before != after {
            self.subtract(before);
            self.add(after);
        }
        self.reclassify(slot);
    }

    fn subtract(&mut self, part: Contribution) {
        if part.usable {
            self.usable_count -= 1;
            self.usable_weight -= part.weight;
        }
        if !part.in_subset {
            return;
        }
        if part.usable {
            self.subset_weight -= part.weight;
            if let Some(count) = self.weight_factors.get_mut(&part.weight_factor) {
                *count -= 1;
                if *count == 0 {
                    self.weight_factors.remove(&part.weight_factor);
                }
            }
        }
        self.unhealthy_in_flight -= part.unhealthy_in_flight;
        if let Some(in_flight) = part.answered_in_flight {
            self.answered_count -= 1;
            self.answered_in_flight -= in_flight;
        }
        self.outcomes.good -= part.outcomes.good;
        self.outcomes.bad -= part.outcomes.bad;
    }

    fn add(&mut self, part: Contribution) {
        if part.usable {
            self.usable_count += 1;
            self.usable_weight += part.weight;
        }
        if !part.in_subset {
            return;
        }
        if part.usable {
            self.subset_weight += part.weight;
            *self.weight_factors.entry(part.weight_factor).or_default() += 1;
        }
        self.unhealthy_in_flight += part.unhealthy_in_flight;
        if let Some(in_flight) = part.answered_in_flight {
            self.answered_count += 1;
            self.answered_in_flight += in_flight;
        }
        self.outcomes.good += part.outcomes.good;
        self.outcomes.bad += part.outcomes.bad;
    }

    /// Updates the index entry of a server: in its class, among the blocked servers, or in neither.
    fn reclassify(&mut self, slot: usize) {
        let Entry { server, in_subset, class, blocked_until, .. } = &self.slots[slot];
        let unavailable = server.health != Health::Healthy && server.in_flight > 0;
        let eligible = *in_subset && server.listing.status == ServerStatus::Ready && !unavailable;
        let local = self.local_zone.is_none_or(|local| local == server.listing.zone);
        let blocked = eligible && server.blocked_until > self.now;
        let wanted = (eligible && !blocked).then_some(match (server.in_flight, server.has_answered, local) {
            (1.., ..) => ServerClass::Busy,
            (0, true, true) => ServerClass::IdleLocal,
            (0, true, false) => ServerClass::IdleRemote,
            (0, false, true) => ServerClass::NewLocal,
            (0, false, false) => ServerClass::NewRemote,
        });
        let (until, class, indexed_until) = (blocked.then_some(server.blocked_until), *class, *blocked_until);
        if indexed_until != until {
            indexed_until.map(|time| self.blocked.remove(&(time, slot)));
            until.map(|time| self.blocked.insert((time, slot)));
            self.slots[slot].blocked_until = until;
        }
        if class.map(|(class, _)| class) == wanted {
            return;
        }
        if let Some((class, index)) = class {
            let set = &mut self.classes[class as usize];
            set.swap_remove(index);
            if let Some(&moved) = set.get(index) {
                self.slots[moved].class = Some((class, index));
            }
        }
        self.slots[slot].class = wanted.map(|class| {
            self.classes[class as usize].push(slot);
            (class, self.classes[class as usize].len() - 1)
        });
    }
}

impl Entry {
    fn is_ready(&self) -> bool {
        self.server.listing.status == ServerStatus::Ready
    }
}
