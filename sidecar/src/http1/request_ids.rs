//! The ids of requests that are open, and of requests unsafe to repeat that may have run although nobody was told so. A request
//! with such an id is turned away: endpoints could not tell it from the earlier one, or would run it twice.
use oakhollow_config::stable_hash;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// How long an id is remembered after its request ended without a known outcome.
const REMEMBERED_FOR: Duration = Duration::from_secs(600);
/// How many such ids are remembered in each shard; the oldest are forgotten first.
const MAX_REMEMBERED_PER_SHARD: usize = 512;
/// Shards, so that workers seldom wait for each other's locks.
const SHARDS: usize = 16;

/// Why a request with this id is not taken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum IdConflict {
    /// A request with the same id is open.
    Open,
    /// An earlier one may have run.
    MayHaveRun,
}

/// Tells other processes of a request that must not be repeated and may have run, by the hash of its id.
type Announce = Box<dyn Fn(u64) + Send + Sync>;

/// The ids of all workers' requests. Hashes of them mean the same at all processes.
#[derive(Default)]
pub struct RequestIds {
    shards: [Mutex<Shard>; SHARDS],
    announce: OnceLock<Announce>,
}

#[derive(Default)]
struct Shard {
    open: HashSet<Box<str>>,
    /// Those of open requests that must not be repeated and may have run.
    may_have_run: HashSet<u64>,
    remembered: RememberedIds,
}

/// The ids of requests that may have run, as hashes, so that long ids take no more memory.
#[derive(Default)]
struct RememberedIds {
    /// How many entries of the queue each has.
    counts: HashMap<u64, usize>,
    /// In the order in which they are forgotten.
    queue: VecDeque<(Instant, u64)>,
}

impl RememberedIds {
    fn forget_oldest(&mut self) {
        let Some((_, hash)) = self.queue.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&hash).filter(|count| **count > 1) {
            *count -= 1;
        } else {
            self.counts.remove(&hash);
        }
    }

    fn forget_expired(&mut self, now: Instant) {
        while self.queue.front().is_some_and(|(forget_at, _)| *forget_at <= now) {
            self.forget_oldest();
        }
    }

    fn insert(&mut self, hash: u64, now: Instant) {
        if self.queue.len() >= MAX_REMEMBERED_PER_SHARD {
            self.forget_oldest();
        }
        self.queue.push_back((now + REMEMBERED_FOR, hash));
        *self.counts.entry(hash).or_default() += 1;
    }
}

impl RequestIds {
    fn shard(&self, hash: u64) -> MutexGuard<'_, Shard> {
        self.shards[hash as usize % SHARDS].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the id of a request that is read `now`, until the returned guard is dropped.
    pub fn register(self: &Arc<RequestIds>, id: &str, now: Instant) -> Result<RegisteredId, IdConflict> {
        let hash = stable_hash(id);
        let mut shard = self.shard(hash);
        shard.remembered.forget_expired(now);
        if shard.remembered.counts.contains_key(&hash) {
            return Err(IdConflict::MayHaveRun);
        }
        if !shard.open.insert(id.into()) {
            return Err(IdConflict::Open);
        }
        Ok(RegisteredId { ids: self.clone(), id: id.into() })
    }

    /// Sets how other processes are told of requests that may have run from now on.
    pub fn set_announce(&self, announce: impl Fn(u64) + Send + Sync + 'static) {
        // Set once, at the start of the process.
        let _ = self.announce.set(Box::new(announce));
    }

    /// The hashes of the ids of all requests that must not be repeated and may have run.
    pub fn unsafe_requests(&self) -> Vec<u64> {
        let of_shard = |shard: &Mutex<Shard>| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let remembered = shard.remembered.counts.keys().copied();
            shard.may_have_run.iter().copied().chain(remembered).collect::<Vec<u64>>()
        };
        self.shards.iter().flat_map(of_shard).collect()
    }

    /// Remembers requests that may have run at another process.
    pub fn remember_unsafe_requests(&self, hashes: Vec<u64>, now: Instant) {
        hashes.into_iter().for_each(|hash| self.shard(hash).remembered.insert(hash, now));
    }
}

/// The id of an open request. Dropping it frees the id.
pub struct RegisteredId {
    ids: Arc<RequestIds>,
    id: Box<str>,
}

impl RegisteredId {
    /// What notes that the request, which must not be repeated, may have run from now on.
    pub fn run_marker(&self) -> RunMarker {
        RunMarker { ids: self.ids.clone(), hash: stable_hash(&self.id) }
    }

    /// Frees the id. What is returned can still remember it.
    pub fn release(self) -> ReleasedId {
        ReleasedId { ids: self.ids.clone(), hash: stable_hash(&self.id) }
    }
}

impl Drop for RegisteredId {
    fn drop(&mut self) {
        let hash = stable_hash(&self.id);
        let mut shard = self.ids.shard(hash);
        shard.open.remove(&self.id);
        shard.may_have_run.remove(&hash);
    }
}

/// Notes that a request that must not be repeated may have run.
pub struct RunMarker {
    ids: Arc<RequestIds>,
    hash: u64,
}

impl RunMarker {
    /// An attempt is about to be written.
    pub fn mark(&self) {
        self.ids.shard(self.hash).may_have_run.insert(self.hash);
        if let Some(announce) = self.ids.announce.get() {
            announce(self.hash);
        }
    }
}

/// The id of a request that has ended.
pub struct ReleasedId {
    ids: Arc<RequestIds>,
    hash: u64,
}

impl ReleasedId {
    /// Remembers the id, since its request may have run and its client does not know whether it has.
    pub fn remember(self, now: Instant) {
        self.ids.shard(self.hash).remembered.insert(self.hash, now);
    }
}
