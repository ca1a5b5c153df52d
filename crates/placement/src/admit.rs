//! Admission of jobs: a job that can never run is rejected at once, with the reason.

use model::Contract;
use model::PoolId;
use model::contract::Queue;
use model::contract::Team;

use crate::job::Job;
use crate::size::Size;

/// Reason why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobRejection {
    /// The team may not use the queue.
    #[error("team `{team}` may not use queue `{queue}`")]
    NotAllowed {
        /// Name of the team.
        team: String,
        /// Name of the queue.
        queue: String,
    },
    /// The team's running limit is 0.
    #[error("team `{team}` may run nothing: its upper limit is 0")]
    ZeroLimit {
        /// Name of the team.
        team: String,
    },
    /// No pool runs the service of the queue.
    #[error("no pool serves queue `{queue}`")]
    NoPool {
        /// Name of the queue.
        queue: String,
    },
    /// No worker of the queue's pools has the declared capacity.
    #[error(
        "no worker of pool `{pool}` has {} thousandths of a core, {} MiB and {} accelerator(s)",
        size.processors_milli, size.memory_mib, size.accelerators
    )]
    TooLarge {
        /// One of the pools that serve the queue.
        pool: PoolId,
        /// Declared size of the job.
        size: Size,
    },
    /// The job declares neither processors nor memory.
    #[error("the job declares neither processors nor memory, and its kind is not known")]
    SizeMissing,
}

/// Checks that a team may use the queue and run tasks at all.
pub fn check_team(queue: &Queue, team: &Team) -> Result<(), JobRejection> {
    if !queue.allows(&team.name) {
        return Err(JobRejection::NotAllowed {
            team: team.name.to_string(),
            queue: queue.name.to_string(),
        });
    }
    if team.running_max == 0 {
        return Err(JobRejection::ZeroLimit { team: team.name.to_string() });
    }
    Ok(())
}

/// Capacities of the workers of one pool, in any state, because unavailable workers return.
#[derive(Clone, Debug)]
pub struct PoolCapacity {
    /// Name of the pool.
    pub pool: PoolId,
    /// Capacity of each worker.
    pub workers: Vec<Size>,
}

/// Returns the pool for a job: among those that serve the queue, the pool with the most workers
/// that are large enough.
pub fn choose_pool(
    contract: &Contract,
    queue: &Queue,
    job: &Job,
    pools: &[PoolCapacity],
) -> Result<PoolId, JobRejection> {
    let serves = |pool: &&PoolCapacity| {
        contract.pool(&pool.pool).is_some_and(|pool| pool.service.as_ref() == Some(&queue.service))
    };
    let serving: Vec<&PoolCapacity> = pools.iter().filter(serves).collect();
    let Some(first) = serving.first() else {
        return Err(JobRejection::NoPool { queue: queue.name.to_string() });
    };
    let size = job.declared;
    if size.processors_milli == 0 && size.memory_mib == 0 {
        return Err(JobRejection::SizeMissing);
    }
    let capable_workers =
        |pool: &PoolCapacity| pool.workers.iter().filter(|w| size.fits_in(w)).count();
    let best = serving.iter().max_by_key(|pool| capable_workers(pool)).unwrap_or(first);
    if capable_workers(best) == 0 {
        return Err(JobRejection::TooLarge { pool: best.pool.clone(), size });
    }
    Ok(best.pool.clone())
}
