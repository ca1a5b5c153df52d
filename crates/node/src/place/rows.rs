//! Rows and objects of jobs.
//!
//! | key | value |
//! |---|---|
//! | `job/{pool}:{id}` | [`StoredJob`]: a job that waits or may run |
//! | `job-done/{pool}:{id}` | [`StoredJob`]: a job that is over |
//! | `job-inbox/new/{pool}:{id}` | [`StoredJob`]: for the holder of the pool's placement |
//! | `job-inbox/cancel/{pool}:{id}` | empty list: the caller wants it cancelled |
//! | object `job-result/{pool}:{id}` | what the job gave back |

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

/// Prefix of live jobs.
pub const LIVE_PREFIX: &str = "job/";
/// Prefix of the inbox.
pub const INBOX_PREFIX: &str = "job-inbox/";
const NEW_PREFIX: &str = "job-inbox/new/";
const CANCEL_PREFIX: &str = "job-inbox/cancel/";
const DONE_PREFIX: &str = "job-done/";
const RESULT_PREFIX: &str = "job-result/";

/// A job as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Queue that it was submitted to.
    pub queue: QueueId,
    /// What to run.
    pub body: String,
    /// Where it stands.
    pub task: AnyTask,
}

impl StoredJob {
    /// The job.
    pub fn job(&self) -> &Job {
        match &self.task {
            AnyTask::Waiting(task) => &task.job,
            AnyTask::Leased(task) => &task.job,
            AnyTask::Ended(task) => &task.job,
        }
    }
}

/// What the inbox holds for a pool.
#[derive(Clone, Debug)]
pub enum InboxMessage {
    /// A new job.
    New(Box<StoredJob>),
    /// A job to cancel.
    Cancel(JobId),
}

/// Id of a job of `pool`.
pub fn job_id(pool: &str, suffix: &str) -> JobId {
    format!("{pool}:{suffix}").into()
}

/// Pool of a job.
pub fn pool_of(job: &str) -> Option<PoolId> {
    job.rsplit_once(':').map(|(pool, _)| pool.into())
}

/// Prefix of the live jobs of a pool.
pub fn live_prefix(pool: &str) -> String {
    format!("{LIVE_PREFIX}{pool}:")
}

/// Key of a live job.
pub fn live_key(job: &str) -> String {
    format!("{LIVE_PREFIX}{job}")
}

/// Key of a job that is over.
pub fn done_key(job: &str) -> String {
    format!("{DONE_PREFIX}{job}")
}

/// Key of a new job in the inbox.
pub fn new_key(job: &str) -> String {
    format!("{NEW_PREFIX}{job}")
}

/// Key of a cancellation in the inbox.
pub fn cancel_key(job: &str) -> String {
    format!("{CANCEL_PREFIX}{job}")
}

/// Name of the object with what a job gave back.
pub fn result_name(job: &str) -> String {
    format!("{RESULT_PREFIX}{job}")
}

/// Writes that end a live job.
pub fn end_writes(stored: &StoredJob) -> Vec<Write> {
    let job = &stored.job().id;
    vec![Write::Delete { key: live_key(job) }, Write::put_json(done_key(job), stored)]
}

/// Reads a row of a job.
pub fn decode(row: &Row) -> Result<StoredJob, Unavailable> {
    serde_json::from_slice(&row.value).map_err(Unavailable::new)
}

/// Reads a row of the inbox that is for `pool`.
pub fn decode_message(row: &Row, pool: &str) -> Option<InboxMessage> {
    let is_own = |job: &str| job.rsplit_once(':').is_some_and(|(of, _)| of == pool);
    if let Some(job) = row.key.strip_prefix(CANCEL_PREFIX) {
        return is_own(job).then(|| InboxMessage::Cancel(job.into()));
    }
    let job = row.key.strip_prefix(NEW_PREFIX)?;
    if !is_own(job) {
        return None;
    }
    decode(row).ok().map(|stored| InboxMessage::New(Box::new(stored)))
}
