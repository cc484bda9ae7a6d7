//! Times that outlive a process: by the monotonic clock of the host, which all processes since one boot share and nobody steps.
use crate::timers::Clock;
use oakhollow_terms::HostClock;
use rustix::time::{clock_gettime, ClockId};

/// The kernel's name of the time since the host was started.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const MICROS: i64 = 1_000_000;

/// How `clock` stands to the host's monotonic clock. None where the kernel does not tell one boot from another.
pub fn host_clock(clock: Clock) -> Option<HostClock> {
    let boot = std::fs::read_to_string(BOOT_ID).ok()?.trim().to_string();
    let monotonic = clock_gettime(ClockId::Monotonic);
    let monotonic = monotonic.tv_sec * MICROS + monotonic.tv_nsec / 1_000;
    Some(HostClock { boot_id: boot, offset_us: clock.now().0 as i64 - monotonic })
}
