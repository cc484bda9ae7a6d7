//! One bound shared out among workers: a floor that is each one's own, and a common rest that goes to whoever needs it. So
//! a worker on which most callers land may take nearly all, and can't leave another with nothing; the sum keeps the bound.
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicIsize, AtomicUsize, Ordering};
use std::sync::Arc;

/// What is held somewhere, for others to read.
#[derive(Clone, Default, Debug)]
pub struct Gauge(Arc<AtomicUsize>);

impl Gauge {
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }

    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The bound, before it is handed to workers.
#[derive(Clone, Debug)]
pub struct SharedLimit {
    floor: usize,
    common: Arc<AtomicIsize>,
    /// What one sharer may hold while another process has half of the bound.
    half: usize,
    halved: Arc<AtomicBool>,
}

impl SharedLimit {
    /// Half of `most` goes to the floors of `sharers`, all of it if there is only one.
    pub fn new(most: usize, sharers: usize) -> SharedLimit {
        let floor = if sharers == 1 { most } else { most / 2 / sharers };
        let common = Arc::new(AtomicIsize::new((most - floor * sharers) as isize));
        SharedLimit { floor, common, half: (most / 2 / sharers).max(1), halved: Arc::default() }
    }
}

impl SharedLimit {
    /// Another process has half of it, until told otherwise.
    pub fn halve(&self, halved: bool) {
        self.halved.store(halved, Ordering::Release);
    }
}

/// One worker's part of a bound.
#[derive(Debug)]
pub struct LimitShare {
    bound: SharedLimit,
    held: Cell<usize>,
}

impl LimitShare {
    pub fn new(bound: SharedLimit) -> Rc<LimitShare> {
        Rc::new(LimitShare { bound, held: Cell::new(0) })
    }

    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Whether another process is short of what is held here.
    pub fn exceeds_half(&self) -> bool {
        self.bound.halved.load(Ordering::Acquire) && self.held.get() > self.bound.half
    }

    /// One slot, if there is any; given up when it is dropped.
    pub fn try_acquire(self: &Rc<LimitShare>) -> Option<Slot> {
        if self.bound.halved.load(Ordering::Acquire) && self.held.get() >= self.bound.half {
            return None;
        }
        if self.held.get() >= self.bound.floor {
            let common = &self.bound.common;
            common
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| (left > 0).then(|| left - 1))
                .ok()?;
        }
        Some(self.slot())
    }

    /// One slot whether there is any or not: for what is here already and can't be sent away.
    pub fn acquire_over_limit(self: &Rc<LimitShare>) -> Slot {
        if self.held.get() >= self.bound.floor {
            self.bound.common.fetch_sub(1, Ordering::AcqRel);
        }
        self.slot()
    }

    fn slot(self: &Rc<LimitShare>) -> Slot {
        self.held.set(self.held.get() + 1);
        Slot(self.clone())
    }
}

/// One of what a bound allows.
#[derive(Debug)]
pub struct Slot(Rc<LimitShare>);

impl Drop for Slot {
    fn drop(&mut self) {
        let share = &self.0;
        if share.held.get() > share.bound.floor {
            share.bound.common.fetch_add(1, Ordering::AcqRel);
        }
        share.held.set(share.held.get() - 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_may_take_all_but_the_others_floors() {
        let bound = SharedLimit::new(40, 4);
        let shares: Vec<_> = (0..4).map(|_| LimitShare::new(bound.clone())).collect();
        let greedy: Vec<Slot> = std::iter::from_fn(|| shares[0].try_acquire()).collect();
        assert_eq!(greedy.len(), 25);
        let others: Vec<Slot> =
            shares[1..].iter().flat_map(|share| std::iter::from_fn(|| share.try_acquire())).collect();
        assert_eq!(others.len(), 15);
        // What is given back by whoever holds more than its floor is anybody's.
        drop(greedy);
        let rest: Vec<Slot> = std::iter::from_fn(|| shares[1].try_acquire()).collect();
        assert_eq!(rest.len(), 20);
    }

    #[test]
    fn half_of_it_is_another_processes_while_that_lives() {
        let bound = SharedLimit::new(8, 1);
        let share = LimitShare::new(bound.clone());
        let mut held: Vec<Slot> = (0..6).filter_map(|_| share.try_acquire()).collect();
        bound.halve(true);
        assert!(share.exceeds_half() && share.try_acquire().is_none());
        held.truncate(3);
        held.extend(share.try_acquire());
        assert!(!share.exceeds_half() && held.len() == 4 && share.try_acquire().is_none());
        bound.halve(false);
        held.extend(std::iter::from_fn(|| share.try_acquire()));
        assert_eq!(held.len(), 8);
    }

    #[test]
    fn what_is_taken_anyway_is_given_back_before_others_take() {
        let bound = SharedLimit::new(8, 2);
        let (one, other) = (LimitShare::new(bound.clone()), LimitShare::new(bound));
        let mut held: Vec<Slot> = std::iter::from_fn(|| one.try_acquire()).collect();
        held.push(one.acquire_over_limit());
        assert_eq!((held.len(), one.held()), (7, 7));
        let floor: Vec<Slot> = std::iter::from_fn(|| other.try_acquire()).collect();
        assert_eq!(floor.len(), 2);
        held.pop();
        assert!(other.try_acquire().is_none());
        held.pop();
        assert!(other.try_acquire().is_some());
        drop(held);
        assert_eq!(one.held(), 0);
    }
}
