//! Processor time and memory of this process, from `/proc`.

use std::fs;
use std::time::Duration;

/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks a second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Processor time that the process with id `process` has used, in user and system mode.
pub fn cpu_time(process: &str) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name in the second field may hold spaces.
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    let total = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
    Duration::from_secs_f64(total / TICKS_PER_S)
}

/// Resident memory of the process with id `process`, in bytes.
pub fn resident_bytes(process: &str) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
