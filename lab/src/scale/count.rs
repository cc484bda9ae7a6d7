//! Counts of messages and bytes for each second: sums for each lease server, and the traffic of the busiest instance.
use hdrhistogram::Histogram;

/// Messages and bytes, from the view of an instance.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct MessageCounts {
    /// Messages that it received.
    pub messages_in: u64,
    /// Messages that it sent.
    pub messages_out: u64,
    /// Bytes that it received.
    pub bytes_in: u64,
    /// Bytes that it sent.
    pub bytes_out: u64,
}

impl MessageCounts {
    /// Adds counts.
    pub fn add(&mut self, other: MessageCounts) {
        self.messages_in += other.messages_in;
        self.messages_out += other.messages_out;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
    }

    /// Bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Messages of both directions.
    pub fn messages(&self) -> u64 {
        self.messages_in + self.messages_out
    }
}

/// The counts of one second.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// For each lease server, what instances exchanged with it.
    pub lease_servers: Vec<MessageCounts>,
    /// Bytes of both directions of the instance that had the most.
    pub max_instance_bytes: u64,
}

/// The bytes of one instance in the current second.
#[derive(Clone, Copy, Debug, Default)]
pub struct CurrentSecond {
    second: usize,
    bytes: u64,
}

/// What one thread of simulated instances counted.
#[derive(Clone, Debug)]
pub struct Counts {
    lease_servers: usize,
    /// The second of the run in which these counts begin.
    pub from: usize,
    /// The counts of each second.
    pub seconds: Vec<Second>,
    /// Processor time within the lease holders, in microseconds: the program's own work, without the harness's.
    pub work_us: u64,
    /// The time from a lease request to its grant, in microseconds.
    pub lease_latency: Histogram<u64>,
    /// Messages that were dropped because the queue to a lease server was full.
    pub dropped_messages: u64,
    /// The most messages that waited in the queue to one lease server.
    pub max_queue: usize,
    /// How many links broke.
    pub broken: u64,
    /// How often an instance lost its leases from a majority.
    pub lease_expiries: u64,
    /// How long instances were without leases after they had lost them, in microseconds, summed up.
    pub without_lease_us: u64,
}

impl Default for Counts {
    fn default() -> Counts {
        Counts::new(0, 0)
    }
}

impl Counts {
    /// Empty counts that begin with this second of the run.
    pub fn new(lease_servers: usize, from: usize) -> Counts {
        // Valid for any lower bound over 0 that is at most half of the upper bound.
        let lease_latency = Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds of a histogram");
        Counts {
            lease_servers,
            from,
            seconds: Vec::new(),
            work_us: 0,
            lease_latency,
            dropped_messages: 0,
            max_queue: 0,
            broken: 0,
            lease_expiries: 0,
            without_lease_us: 0,
        }
    }

    fn second(&mut self, at: usize) -> &mut Second {
        let at = at.saturating_sub(self.from);
        let empty = Second {
            lease_servers: vec![MessageCounts::default(); self.lease_servers],
            max_instance_bytes: 0,
        };
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, empty);
        }
        &mut self.seconds[at]
    }

    /// Counts what one instance and one lease server exchanged in that second of the run.
    pub fn record(
        &mut self, at: usize, lease_server: usize, said: MessageCounts, current_second: &mut CurrentSecond,
    ) {
        self.second(at).lease_servers[lease_server].add(said);
        if current_second.second != at {
            self.end_second(current_second);
            current_second.second = at;
        }
        current_second.bytes += said.bytes();
    }

    /// Ends the current second of an instance.
    pub fn end_second(&mut self, current_second: &mut CurrentSecond) {
        let bytes = std::mem::take(&mut current_second.bytes);
        if bytes > 0 {
            let second = self.second(current_second.second);
            second.max_instance_bytes = second.max_instance_bytes.max(bytes);
        }
    }

    /// Adds the counts of another thread, which are of other instances.
    pub fn merge(&mut self, other: &Counts) {
        for (at, theirs) in other.seconds.iter().enumerate() {
            let second = self.second(at + other.from);
            second.max_instance_bytes = second.max_instance_bytes.max(theirs.max_instance_bytes);
            second.lease_servers.iter_mut().zip(&theirs.lease_servers).for_each(|(own, said)| own.add(*said));
        }
        self.work_us += other.work_us;
        let _ = self.lease_latency.add(&other.lease_latency);
        self.dropped_messages += other.dropped_messages;
        self.max_queue = self.max_queue.max(other.max_queue);
        self.broken += other.broken;
        self.lease_expiries += other.lease_expiries;
        self.without_lease_us += other.without_lease_us;
    }
}
