//! Log lines about jobs.
//!
//! All lines about a job belong to one history, whichever node writes them. When there are more lines
//! than the limit of their kind, whole histories are kept, chosen by the id of the job.

use telemetry::log::Line;

use crate::sharding::stable_hash;

/// Starts a line of the given kind about a job.
pub fn job_line(kind: &'static str, job: &str) -> Line {
    telemetry::log::line(kind).history(stable_hash(job.as_bytes()))
}
