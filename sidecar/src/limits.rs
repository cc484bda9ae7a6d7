//! A connection limit shared by all workers. Each worker has reserved slots, and the common rest goes to those that
//! need it: a worker that gets most of the clients may hold nearly all connections without leaving another with
//! none, and the total stays within the limit.
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// A counter that other threads may read.
#[derive(Clone, Default, Debug)]
pub struct Gauge(Arc<AtomicUsize>);

impl Gauge {
    /// The current value.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Subtracts one.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The limit as all workers share it.
#[derive(Clone, Debug)]
pub struct SharedLimit {
    /// The slots reserved for each worker.
    reserved: usize,
    /// The slots left in the common rest.
    shared: Arc<AtomicUsize>,
    /// What one worker may hold while another process has half of the limit.
    half: usize,
    other_has_half: Arc<AtomicBool>,
}

impl SharedLimit {
    /// A limit of `max` slots. Half of them are reserved in equal parts for `workers`, all of them if there is only
    /// one.
    pub fn new(max: usize, workers: usize) -> SharedLimit {
        let reserved = if workers == 1 { max } else { max / 2 / workers };
        let shared = Arc::new(AtomicUsize::new(max - reserved * workers));
        SharedLimit { reserved, shared, half: (max / 2 / workers).max(1), other_has_half: Arc::default() }
    }
}

impl SharedLimit {
    /// Sets whether another process has half of the limit.
    pub fn halve(&self, other_has_half: bool) {
        self.other_has_half.store(other_has_half, Ordering::Release);
    }
}

/// One worker's share of a limit.
#[derive(Debug)]
pub struct LimitShare {
    limit: SharedLimit,
    held: Cell<usize>,
}

impl LimitShare {
    /// A share of that limit, with nothing held.
    pub fn new(limit: SharedLimit) -> Rc<LimitShare> {
        Rc::new(LimitShare { limit, held: Cell::new(0) })
    }

    /// The number of slots held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// How many slots more this worker holds than it may while another process has half of the limit.
    pub fn excess_over_half(&self) -> usize {
        match self.limit.other_has_half.load(Ordering::Acquire) {
            true => self.held.get().saturating_sub(self.limit.half),
            false => 0,
        }
    }

    /// Takes one slot, if there is any. Dropping it returns it.
    pub fn try_acquire(self: &Rc<LimitShare>) -> Option<Slot> {
        if self.limit.other_has_half.load(Ordering::Acquire) && self.held.get() >= self.limit.half {
            return None;
        }
        if self.held.get() >= self.limit.reserved {
            let shared = &self.limit.shared;
            shared.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1)).ok()?;
        }
        Some(self.slot())
    }

    fn slot(self: &Rc<LimitShare>) -> Slot {
        self.held.set(self.held.get() + 1);
        Slot(self.clone())
    }
}

/// One slot of a limit.
#[derive(Debug)]
pub struct Slot(Rc<LimitShare>);

impl Drop for Slot {
    fn drop(&mut self) {
        let share = &self.0;
        if share.held.get() > share.limit.reserved {
            share.limit.shared.fetch_add(1, Ordering::AcqRel);
        }
        share.held.set(share.held.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_worker_may_take_all_slots_except_those_reserved_for_the_others() {
        let limit = SharedLimit::new(40, 4);
        let shares: Vec<_> = (0..4).map(|_| LimitShare::new(limit.clone())).collect();
        let held_by_first: Vec<Slot> = std::iter::from_fn(|| shares[0].try_acquire()).collect();
        assert_eq!(held_by_first.len(), 25);
        let others: Vec<Slot> =
            shares[1..].iter().flat_map(|share| std::iter::from_fn(|| share.try_acquire())).collect();
        assert_eq!(others.len(), 15);
        // Slots that were held beyond the reserved part go back to the common rest.
        drop(held_by_first);
        let rest: Vec<Slot> = std::iter::from_fn(|| shares[1].try_acquire()).collect();
        assert_eq!(rest.len(), 20);
    }

    #[test]
    fn half_of_the_limit_is_left_to_another_process() {
        let limit = SharedLimit::new(8, 1);
        let share = LimitShare::new(limit.clone());
        let mut held: Vec<Slot> = (0..6).filter_map(|_| share.try_acquire()).collect();
        limit.halve(true);
        assert!(share.excess_over_half() == 2 && share.try_acquire().is_none());
        held.truncate(3);
        held.extend(share.try_acquire());
        assert!(share.excess_over_half() == 0 && held.len() == 4 && share.try_acquire().is_none());
        limit.halve(false);
        held.extend(std::iter::from_fn(|| share.try_acquire()));
        assert_eq!(held.len(), 8);
    }

    #[test]
    fn no_slot_is_granted_beyond_the_limit_until_one_is_returned() {
        let limit = SharedLimit::new(8, 2);
        let (one, other) = (LimitShare::new(limit.clone()), LimitShare::new(limit));
        let mut held: Vec<Slot> = std::iter::from_fn(|| one.try_acquire()).collect();
        assert_eq!((held.len(), one.held()), (6, 6));
        let reserved: Vec<Slot> = std::iter::from_fn(|| other.try_acquire()).collect();
        assert_eq!(reserved.len(), 2);
        assert!(one.try_acquire().is_none() && other.try_acquire().is_none());
        held.pop();
        held.extend(other.try_acquire());
        assert!(one.try_acquire().is_none() && other.try_acquire().is_none());
        assert_eq!((one.held(), other.held()), (5, 3));
        drop((held, reserved));
        assert_eq!((one.held(), other.held()), (0, 0));
    }
}
