//! Messages of the HTTP interface with which a worker runs tasks.
//!
//! A worker remembers the highest epoch that it has received for the placement of each pool and
//! replies `superseded` to messages from earlier epochs. It starts each task id only once, ends a
//! task whose lease has expired, and reports the outcome of a task until a renewal says that the
//! outcome is stored.

use model::PoolId;
use serde::Deserialize;
use serde::Serialize;

use crate::pool::TaskOutcome;
use crate::size::Size;
use crate::task::TaskId;

/// Path for [`StartCommand`].
pub const START_PATH: &str = "/.savorypitch/tasks/start";
/// Path for [`RenewRequest`].
pub const RENEW_PATH: &str = "/.savorypitch/tasks/renew";
/// Path for [`TaskCommand`].
pub const COMMAND_PATH: &str = "/.savorypitch/tasks/order";

/// Starts a task; has no effect if the task was started before.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartCommand {
    /// Pool that the task belongs to.
    pub pool: PoolId,
    /// Epoch of the pool's placement, which increases with each new holder.
    pub epoch: u64,
    /// Id of the attempt.
    pub task: TaskId,
    /// Capacity that is reserved for the task.
    pub size: Size,
    /// Description of the work, as the caller submitted it.
    pub body: String,
    /// Time until the lease expires, in milliseconds.
    pub lease_ms: u64,
}

/// Renews leases and requests a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Pool that the tasks belong to.
    pub pool: PoolId,
    /// Epoch of the pool's placement, which increases with each new holder.
    pub epoch: u64,
    /// Time until the leases expire, in milliseconds.
    pub lease_ms: u64,
    /// Tasks whose leases are renewed.
    pub tasks: Vec<TaskId>,
    /// Tasks whose outcomes are stored; the worker can forget them.
    pub stored: Vec<TaskId>,
}

/// A command for a running task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Pool that the task belongs to.
    pub pool: PoolId,
    /// Epoch of the pool's placement, which increases with each new holder.
    pub epoch: u64,
    /// Id of the attempt.
    pub task: TaskId,
    /// What the worker should do.
    #[serde(rename = "step")]
    pub kind: CommandKind,
}

/// What a worker should do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandKind {
    /// Stores a checkpoint of the task.
    Checkpoint,
    /// Limits the processor time of the task.
    Throttle {
        /// Processor time in percent of what it gets unthrottled; 100 ends the limit.
        percent: u32,
    },
    /// Stops the task.
    Stop,
}

/// A worker's reply to any of the messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerReply {
    /// The worker has received a later epoch; the message had no effect.
    Superseded,
    /// The message was processed.
    Done {
        /// All tasks of the pool that the worker remembers.
        report: WorkerReport,
    },
}

/// A worker's report on the tasks of one pool.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Number of the worker's latest start. The worker has no memory of tasks from before it.
    pub boot: u64,
    /// Tasks that the worker remembers, sorted by id.
    pub tasks: Vec<TaskReport>,
}

/// A worker's report on one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// Id of the attempt.
    pub task: TaskId,
    /// How the task ended; `None` while it runs.
    #[serde(rename = "end")]
    pub outcome: Option<TaskOutcome>,
    /// Resources that it used at the last measurement.
    pub used: Size,
    /// Age of the measurement of `used`, in milliseconds.
    pub used_age_ms: u64,
    /// True once a checkpoint of the task was stored.
    pub is_checkpointed: bool,
    /// Result of the task, if it has produced one.
    pub result: Option<String>,
}
