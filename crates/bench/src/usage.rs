//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Returns the processor time that a process has used in user and system mode.
///
/// `process` is its id or `self`. Returns zero if the file in `/proc` can't be read.
pub fn cpu_time(process: &str) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The second field is the name of the process, which may contain spaces.
    let after_name = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    let total = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
    Duration::from_secs_f64(total / TICKS_PER_S)
}

/// Returns the resident memory of a process, in bytes; 0 if the file in `/proc` can't be read.
///
/// `process` is its id or `self`.
pub fn resident_bytes(process: &str) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
