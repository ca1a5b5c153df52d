//! Rows and objects in which jobs are stored.
//!
//! | key | value |
//! |---|---|
//! | `job/{pool}:{id}` | [`StoredJob`]: a job that waits or may run |
//! | `job-done/{pool}:{id}` | [`StoredJob`]: a job that has finished |
//! | `job-inbox/new/{pool}:{id}` | [`StoredJob`]: a new job for the placement holder |
//! | `job-inbox/cancel/{pool}:{id}` | empty list: a request to cancel the job |
//! | object `job-result/{pool}:{id}` | result of the job |

use model::PoolId;
use model::QueueId;
use placement::AnyTask;
use placement::Job;
use placement::JobId;
use serde::Deserialize;
use serde::Serialize;
use services::Row;
use services::Unavailable;
use services::Write;

/// Prefix of the keys of jobs that wait or may run.
pub const LIVE_PREFIX: &str = "job/";
/// Prefix of the keys of all inbox messages.
pub const INBOX_PREFIX: &str = "job-inbox/";
const SUBMISSION_PREFIX: &str = "job-inbox/new/";
const CANCELLATION_PREFIX: &str = "job-inbox/cancel/";
const FINISHED_PREFIX: &str = "job-done/";
const RESULT_PREFIX: &str = "job-result/";

/// Value of a job's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Input for the worker; opaque to the node.
    pub body: String,
    /// State of the job's current task.
    pub task: AnyTask,
}

impl StoredJob {
    /// Returns the job, whatever the state of its task.
    pub fn job(&self) -> &Job {
        match &self.task {
            AnyTask::Waiting(task) => &task.job,
            AnyTask::Leased(task) => &task.job,
            AnyTask::Ended(task) => &task.job,
        }
    }
}

/// Message in the inbox of a pool.
#[derive(Clone, Debug)]
pub enum InboxMessage {
    /// A job was submitted.
    New(Box<StoredJob>),
    /// A caller requested the cancellation of a job.
    Cancel(JobId),
}

/// Returns the id of a job of `pool`.
pub fn job_id(pool: &str, suffix: &str) -> JobId {
    format!("{pool}:{suffix}").into()
}

/// Returns the pool that is part of a job's id; `None` if the id is malformed.
pub fn pool_of(job: &str) -> Option<PoolId> {
    job.rsplit_once(':').map(|(pool, _)| pool.into())
}

/// Returns the prefix of the keys of a pool's live jobs.
pub fn live_prefix(pool: &str) -> String {
    format!("{LIVE_PREFIX}{pool}:")
}

/// Returns the key of a live job.
pub fn live_key(job: &str) -> String {
    format!("{LIVE_PREFIX}{job}")
}

/// Returns the key of a finished job.
pub fn finished_key(job: &str) -> String {
    format!("{FINISHED_PREFIX}{job}")
}

/// Returns the key of the inbox message for a new job.
pub fn submission_key(job: &str) -> String {
    format!("{SUBMISSION_PREFIX}{job}")
}

/// Returns the key of the inbox message for a cancellation.
pub fn cancellation_key(job: &str) -> String {
    format!("{CANCELLATION_PREFIX}{job}")
}

/// Returns the name of the object that holds a job's result.
pub fn result_name(job: &str) -> String {
    format!("{RESULT_PREFIX}{job}")
}

/// Returns the writes that turn a live job into a finished one.
pub fn finish_writes(stored: &StoredJob) -> Vec<Write> {
    let job = &stored.job().id;
    vec![Write::Delete { key: live_key(job) }, Write::put_json(finished_key(job), stored)]
}

/// Decodes the row of a job.
pub fn decode(row: &Row) -> Result<StoredJob, Unavailable> {
    serde_json::from_slice(&row.value).map_err(Unavailable::new)
}

/// Decodes a row of the inbox; `None` if it is not for `pool` or is malformed.
pub fn decode_message(row: &Row, pool: &str) -> Option<InboxMessage> {
    let is_own = |job: &str| job.rsplit_once(':').is_some_and(|(job_pool, _)| job_pool == pool);
    if let Some(job) = row.key.strip_prefix(CANCELLATION_PREFIX) {
        return is_own(job).then(|| InboxMessage::Cancel(job.into()));
    }
    let job = row.key.strip_prefix(SUBMISSION_PREFIX)?;
    if !is_own(job) {
        return None;
    }
    decode(row).ok().map(|stored| InboxMessage::New(Box::new(stored)))
}
