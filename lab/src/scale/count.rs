//! Message and byte counts per second: sums for each lease server, and the maximum of any single instance.
use hdrhistogram::Histogram;

/// Messages and bytes in each direction, from the instance's point of view.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TrafficCounts {
    pub messages_in: u64,
    pub messages_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
}

impl TrafficCounts {
    pub fn add(&mut self, other: TrafficCounts) {
        self.messages_in += other.messages_in;
        self.messages_out += other.messages_out;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
    }

    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    pub fn messages(&self) -> u64 {
        self.messages_in + self.messages_out
    }
}

/// The traffic of one second.
#[derive(Clone, Debug, Default)]
pub struct SecondCounts {
    pub lease_servers: Vec<TrafficCounts>,
    /// Bytes in both directions of the instance that exchanged the most.
    pub max_instance_bytes: u64,
}

/// The bytes that one instance has exchanged in the current second.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceSecond {
    second: usize,
    bytes: u64,
}

/// The counts of one thread of the harness.
#[derive(Clone, Debug)]
pub struct Counts {
    lease_servers: usize,
    /// The second of the run with which these counts begin.
    pub first_second: usize,
    pub seconds: Vec<SecondCounts>,
    /// Processor time spent in the lease holders, in microseconds: the program's own code, without the harness.
    pub lease_holder_cpu_us: u64,
    /// Time from a lease request to its grant, in microseconds.
    pub grant_latency: Histogram<u64>,
    /// Messages dropped because the queue to a lease server was full.
    pub dropped_messages: u64,
    /// The largest number of messages queued for one lease server.
    pub max_queue_len: usize,
    /// Number of links that broke.
    pub broken_links: u64,
    /// How often an instance lost the leases of a majority, and the total time without them.
    pub lease_expiries: u64,
    pub without_lease_us: u64,
}

impl Default for Counts {
    fn default() -> Counts {
        Counts::new(0, 0)
    }
}

impl Counts {
    pub fn new(lease_servers: usize, first_second: usize) -> Counts {
        // Bounds are valid if the low one is above 0 and at most half of the high one.
        let grant_latency = Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds of a histogram");
        Counts {
            lease_servers,
            first_second,
            seconds: Vec::new(),
            lease_holder_cpu_us: 0,
            grant_latency,
            dropped_messages: 0,
            max_queue_len: 0,
            broken_links: 0,
            lease_expiries: 0,
            without_lease_us: 0,
        }
    }

    fn second(&mut self, second: usize) -> &mut SecondCounts {
        let index = second.saturating_sub(self.first_second);
        let empty = SecondCounts {
            lease_servers: vec![TrafficCounts::default(); self.lease_servers],
            max_instance_bytes: 0,
        };
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, empty);
        }
        &mut self.seconds[index]
    }

    /// Counts the traffic between one instance and one lease server in the given second of the run.
    pub fn record(
        &mut self, second: usize, lease_server: usize, traffic: TrafficCounts,
        current_second: &mut InstanceSecond,
    ) {
        self.second(second).lease_servers[lease_server].add(traffic);
        if current_second.second != second {
            self.finish_second(current_second);
            current_second.second = second;
        }
        current_second.bytes += traffic.bytes();
    }

    /// Closes the instance's current second and updates the maximum.
    pub fn finish_second(&mut self, current_second: &mut InstanceSecond) {
        let bytes = std::mem::take(&mut current_second.bytes);
        if bytes > 0 {
            let second = self.second(current_second.second);
            second.max_instance_bytes = second.max_instance_bytes.max(bytes);
        }
    }

    /// Adds the counts of another thread, which carries other instances.
    pub fn merge(&mut self, other: &Counts) {
        for (index, other_second) in other.seconds.iter().enumerate() {
            let second = self.second(index + other.first_second);
            second.max_instance_bytes = second.max_instance_bytes.max(other_second.max_instance_bytes);
            second
                .lease_servers
                .iter_mut()
                .zip(&other_second.lease_servers)
                .for_each(|(own, traffic)| own.add(*traffic));
        }
        self.lease_holder_cpu_us += other.lease_holder_cpu_us;
        let _ = self.grant_latency.add(&other.grant_latency);
        self.dropped_messages += other.dropped_messages;
        self.max_queue_len = self.max_queue_len.max(other.max_queue_len);
        self.broken_links += other.broken_links;
        self.lease_expiries += other.lease_expiries;
        self.without_lease_us += other.without_lease_us;
    }
}
