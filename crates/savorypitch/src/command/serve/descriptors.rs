//! Leaves file descriptors of the process for backend servers, the platform and other nodes.

use gateway::BudgetLimits;

/// Limits of the process, as Linux shows them.
const LIMITS_PATH: &str = "/proc/self/limits";
/// First words of the line with the limit on open files; the soft limit follows.
const OPEN_FILES: &str = "Max open files";

/// Lowers the connections of callers, so that callers and operators together take at most three
/// quarters of the file descriptors of the process.
pub fn leave_descriptors(callers: &mut BudgetLimits, operators: &BudgetLimits) {
    let Some(descriptors_max) =
        std::fs::read_to_string(LIMITS_PATH).ok().as_deref().and_then(open_files_max)
    else {
        return;
    };
    let available = descriptors_max / 4 * 3;
    let connections_max = available.saturating_sub(operators.connections_max).max(1);
    if callers.connections_max > connections_max {
        spdlog::warn!(
            "--caller-connections-max {} is lowered to {connections_max}: the process may open \
             {descriptors_max} files, of which a quarter is kept for other uses",
            callers.connections_max
        );
        callers.connections_max = connections_max;
    }
}

/// Returns the soft limit on open files; `None` if there is none.
fn open_files_max(limits: &str) -> Option<usize> {
    let line = limits.lines().find_map(|line| line.strip_prefix(OPEN_FILES))?;
    line.split_whitespace().next()?.parse().ok()
}
