//! The settings of the queue that are in force for a job.
//!
//! The active configuration decides as long as it has the queue. It may have dropped the queue of
//! accepted jobs, and a new owner may not have read any version yet. Such jobs keep the settings under
//! which they were accepted, which are stored with them. Nothing takes the place of settings that
//! are not known at all.

use crate::PoolName;
use crate::config::Queue;
use crate::job::JobRecord;
use crate::state::Scheduler;

impl Scheduler {
    /// Returns the settings of a job's queue; `None` if they are not known.
    pub(crate) fn queue_settings<'a>(&'a self, record: &'a JobRecord) -> Option<&'a Queue> {
        self.config.queues.get(&record.queue).or(record.queue_settings.as_deref())
    }

    /// Returns the pool in which the units of a job run.
    pub(crate) fn pool_of(&self, record: &JobRecord) -> PoolName {
        self.queue_settings(record).map_or(&record.pool, |queue| &queue.pool).clone()
    }

    /// Returns true if the units of a job need advice.
    pub(crate) fn needs_advice(&self, record: &JobRecord) -> bool {
        self.queue_settings(record).is_some_and(|queue| queue.advice.is_some())
    }

    /// Returns the number of failed runs of a unit at which a job fails; `None` if it is not known.
    pub(crate) fn attempts_max(&self, record: &JobRecord) -> Option<u32> {
        self.queue_settings(record).map(|queue| queue.attempts_max.max(1))
    }
}
