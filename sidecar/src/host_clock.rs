//! Times that stay valid in the next process: by the host's monotonic clock, which all processes share until the next
//! boot and which is never stepped.
use crate::timers::Clock;
use oakhollow_config::HostClock;
use rustix::time::{clock_gettime, ClockId};

/// The kernel's id of the current boot.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The offset of `clock` to the host's monotonic clock. None where the kernel has no boot id.
pub fn host_clock(clock: Clock) -> Option<HostClock> {
    let boot = std::fs::read_to_string(BOOT_ID).ok()?.trim().to_string();
    let monotonic = clock_gettime(ClockId::Monotonic);
    let monotonic = monotonic.tv_sec * MICROS_PER_SECOND + monotonic.tv_nsec / 1_000;
    Some(HostClock { boot_id: boot, offset_us: clock.now().0 as i64 - monotonic })
}
