//! Resource usage of a process from `/proc`. Wake-ups, CPU time and I/O calls depend little on other load of
//! the machine; the time spent waiting for a CPU shows how much such load there was.
use std::fs;
use std::ops::Sub;

/// Resource usage of a process since it started.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Usage {
    /// Voluntary context switches of all threads: each is a sleep and a wake-up.
    pub wake_ups: u64,
    pub cpu_ns: u64,
    /// Time that threads were ready to run without a CPU.
    pub run_queue_wait_ns: u64,
    /// `syscr` and `syscw`: system calls of the `read` and `write` families. They don't include `recv` and
    /// `send` on sockets, waits and clock reads.
    pub reads_and_writes: u64,
}

impl Sub for Usage {
    type Output = Usage;

    fn sub(self, before: Usage) -> Usage {
        Usage {
            wake_ups: self.wake_ups.saturating_sub(before.wake_ups),
            cpu_ns: self.cpu_ns.saturating_sub(before.cpu_ns),
            run_queue_wait_ns: self.run_queue_wait_ns.saturating_sub(before.run_queue_wait_ns),
            reads_and_writes: self.reads_and_writes.saturating_sub(before.reads_and_writes),
        }
    }
}

/// The value of a field such as `syscr:` in a `/proc` file.
pub fn field_value(text: &str, name: &str) -> Option<u64> {
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')?.trim().parse().ok())
}

/// The usage of a process. None if it has ended or `/proc` lacks a figure.
pub fn read_usage(process: u32) -> Option<Usage> {
    let io = fs::read_to_string(format!("/proc/{process}/io")).ok()?;
    let reads_and_writes = field_value(&io, "syscr")? + field_value(&io, "syscw")?;
    let mut sum = Usage { reads_and_writes, ..Usage::default() };
    for task in fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let folder = task.ok()?.path();
        let status = fs::read_to_string(folder.join("status")).ok()?;
        let times = fs::read_to_string(folder.join("schedstat")).ok()?;
        let mut times = times.split_whitespace().map_while(|time| time.parse::<u64>().ok());
        sum.wake_ups += field_value(&status, "voluntary_ctxt_switches")?;
        sum.cpu_ns += times.next()?;
        sum.run_queue_wait_ns += times.next()?;
    }
    Some(sum)
}
