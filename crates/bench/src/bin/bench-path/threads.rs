//! Processor time of threads by name, from `/proc`.

use std::fs;
use std::time::Duration;

/// Length of a clock tick of `/proc`.
const TICK: Duration = Duration::from_millis(10);
/// Fields between the name of a thread and its user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Processor time of all threads of this process whose name is `name`.
pub fn processor_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| ticks_of(&stat, name)).map(|ticks| TICK * ticks).sum()
}

/// User and system time of a thread in ticks, if it has the name.
fn ticks_of(stat: &str, name: &str) -> Option<u32> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let (_, found) = head.split_once('(')?;
    if found != name {
        return None;
    }
    let mut fields = rest.split(' ').skip(FIELDS_BEFORE_USER_TIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(user + system)
}
