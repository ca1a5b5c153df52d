//! Jobs that can never run are refused at once, with the reason.

use model::Contract;
use model::PoolId;
use model::contract::Queue;
use model::contract::Team;

use crate::job::Job;
use crate::size::Size;

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobRejection {
    /// The team may not use the queue.
    #[error("team `{team}` may not use queue `{queue}`")]
    NotAllowed {
        /// Team.
        team: String,
        /// Queue.
        queue: String,
    },
    /// The team's upper limit leaves no room for any task.
    #[error("team `{team}` may run nothing: its upper limit is 0")]
    ZeroLimit {
        /// Team.
        team: String,
    },
    /// No pool serves the queue.
    #[error("no pool serves queue `{queue}`")]
    NoPool {
        /// Queue.
        queue: String,
    },
    /// No worker of the pool is that large.
    #[error(
        "no worker of pool `{pool}` has {} thousandths of a core, {} MiB and {} accelerator(s)",
        size.processors_milli, size.memory_mib, size.accelerators
    )]
    TooLarge {
        /// Pool with the largest workers that serve the queue.
        pool: PoolId,
        /// Size that was asked for.
        size: Size,
    },
    /// The job asks for nothing.
    #[error("the job declares neither processors nor memory, and its kind is not known")]
    SizeMissing,
}

/// Checks the right and the limit of a job's team.
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

/// Capacities of the workers of one pool, in any state: a worker that is away comes back.
#[derive(Clone, Debug)]
pub struct PoolCapacity {
    /// Pool.
    pub pool: PoolId,
    /// Capacity of each worker.
    pub workers: Vec<Size>,
}

/// Pool for a job: the one with most workers that can hold it.
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
