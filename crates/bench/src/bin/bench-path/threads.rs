//! Processor time of threads by name, from `/proc`.

use std::fs;
use std::time::Duration;

/// Length of the clock tick in which `/proc` counts processor time.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Number of fields between the name of a thread and its user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Returns the processor time of all threads of this process that are named `name`; zero if `/proc`
/// can't be read.
pub fn cpu_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| parse_cpu_ticks(&stat, name)).map(|ticks| CLOCK_TICK * ticks).sum()
}

/// Returns the user and system time of a thread in ticks; `None` if it has another name.
fn parse_cpu_ticks(stat: &str, name: &str) -> Option<u32> {
    let (before_fields, after_name) = stat.rsplit_once(") ")?;
    let (_, thread_name) = before_fields.split_once('(')?;
    if thread_name != name {
        return None;
    }
    let mut fields = after_name.split(' ').skip(FIELDS_BEFORE_USER_TIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}
