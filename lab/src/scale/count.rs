//! What was said, second by second: sums for each keeper, and what the busiest instance had in any second.
use hdrhistogram::Histogram;

/// Words and bytes, as an instance sees them.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Said {
    pub words_in: u64,
    pub words_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl Said {
    pub fn add(&mut self, other: Said) {
        self.words_in += other.words_in;
        self.words_out += other.words_out;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
    }

    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    pub fn words(&self) -> u64 {
        self.words_in + self.words_out
    }
}

/// One second of one keeper or of all.
#[derive(Clone, Debug, Default)]
pub struct Second {
    pub keepers: Vec<Said>,
    /// Bytes both ways of the instance that had the most.
    pub worst: u64,
}

/// One instance's bytes in the second that runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Running {
    second: usize,
    bytes: u64,
}

/// What one thread of the rig saw.
#[derive(Clone, Debug)]
pub struct Counts {
    keepers: usize,
    /// The second of the run in which these counts begin.
    pub from: usize,
    pub seconds: Vec<Second>,
    /// Processor time in the members themselves, in microseconds: the program's own work, not the rig's.
    pub work_us: u64,
    /// From asking for a lease until it is granted, in microseconds.
    pub answers: Histogram<u64>,
    /// Words that found the queue to a keeper full.
    pub lost: u64,
    /// The most words that waited to be sent to one keeper.
    pub longest: usize,
    /// Links that broke.
    pub broken: u64,
    /// Times at which an instance stood without a majority's leases after it had them, and for how long in all.
    pub lapses: u64,
    pub unsure_us: u64,
}

impl Default for Counts {
    fn default() -> Counts {
        Counts::new(0, 0)
    }
}

impl Counts {
    pub fn new(keepers: usize, from: usize) -> Counts {
        // Sound for any bounds with a low end over 0 and half of the high one.
        let answers = Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds of a histogram");
        Counts {
            keepers,
            from,
            seconds: Vec::new(),
            work_us: 0,
            answers,
            lost: 0,
            longest: 0,
            broken: 0,
            lapses: 0,
            unsure_us: 0,
        }
    }

    fn second(&mut self, at: usize) -> &mut Second {
        let at = at.saturating_sub(self.from);
        let empty = Second { keepers: vec![Said::default(); self.keepers], worst: 0 };
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, empty);
        }
        &mut self.seconds[at]
    }

    /// Counts what one instance and one keeper said to each other in that second of the run.
    pub fn said(&mut self, at: usize, keeper: usize, said: Said, running: &mut Running) {
        self.second(at).keepers[keeper].add(said);
        if running.second != at {
            self.over(running);
            running.second = at;
        }
        running.bytes += said.bytes();
    }

    /// That instance's second is over.
    pub fn over(&mut self, running: &mut Running) {
        let bytes = std::mem::take(&mut running.bytes);
        if bytes > 0 {
            let second = self.second(running.second);
            second.worst = second.worst.max(bytes);
        }
    }

    /// What another thread saw of other instances.
    pub fn merge(&mut self, other: &Counts) {
        for (at, theirs) in other.seconds.iter().enumerate() {
            let second = self.second(at + other.from);
            second.worst = second.worst.max(theirs.worst);
            second.keepers.iter_mut().zip(&theirs.keepers).for_each(|(own, said)| own.add(*said));
        }
        self.work_us += other.work_us;
        let _ = self.answers.add(&other.answers);
        self.lost += other.lost;
        self.longest = self.longest.max(other.longest);
        self.broken += other.broken;
        self.lapses += other.lapses;
        self.unsure_us += other.unsure_us;
    }
}
