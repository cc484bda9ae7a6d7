//! What the machine counts of a process, which other load on it does not change: how often it slept and woke, what it
//! computed. How long it waited for a processor tells how much such load there was.
use std::fs;
use std::ops::Sub;

#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Usage {
    /// Voluntary context switches of all threads: each is a sleep, and a wake-up.
    pub wake_ups: u64,
    pub processor_ns: u64,
    /// Ready to run, but without a processor.
    pub waited_ns: u64,
    /// `syscr` and `syscw`: calls of the `read` and `write` families. Calls on sockets by `recv` and `send`, waits and
    /// clocks are not among them.
    pub reads_and_writes: u64,
}

impl Sub for Usage {
    type Output = Usage;

    fn sub(self, before: Usage) -> Usage {
        Usage {
            wake_ups: self.wake_ups.saturating_sub(before.wake_ups),
            processor_ns: self.processor_ns.saturating_sub(before.processor_ns),
            waited_ns: self.waited_ns.saturating_sub(before.waited_ns),
            reads_and_writes: self.reads_and_writes.saturating_sub(before.reads_and_writes),
        }
    }
}

/// What stands behind a name such as `syscr:` in a file of the kind.
pub fn figure(text: &str, name: &str) -> Option<u64> {
    text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')?.trim().parse().ok())
}

/// None where the process has ended or the machine does not tell.
pub fn usage(process: u32) -> Option<Usage> {
    let io = fs::read_to_string(format!("/proc/{process}/io")).ok()?;
    let reads_and_writes = figure(&io, "syscr")? + figure(&io, "syscw")?;
    let mut sum = Usage { reads_and_writes, ..Usage::default() };
    for task in fs::read_dir(format!("/proc/{process}/task")).ok()? {
        let folder = task.ok()?.path();
        let status = fs::read_to_string(folder.join("status")).ok()?;
        let times = fs::read_to_string(folder.join("schedstat")).ok()?;
        let mut times = times.split_whitespace().map_while(|time| time.parse::<u64>().ok());
        sum.wake_ups += figure(&status, "voluntary_ctxt_switches")?;
        sum.processor_ns += times.next()?;
        sum.waited_ns += times.next()?;
    }
    Some(sum)
}
