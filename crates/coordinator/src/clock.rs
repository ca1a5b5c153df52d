//! System clocks.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use scheduler::Moment;

/// Returns the present time of a monotonic clock that also counts the time for which the machine
/// was suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME");
    Duration::new(time.tv_sec() as u64, time.tv_nsec() as u32)
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn unix_now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}
