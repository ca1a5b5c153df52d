//! Messages of a worker's task interface.
//!
//! A worker remembers the highest epoch of each pool's placement that it was spoken to in, and
//! answers "superseded" to earlier ones. It starts a task id once, ends a task whose lease has
//! lapsed, and reports a task's end until it is told that the end is stored.

use model::PoolId;
use serde::Deserialize;
use serde::Serialize;

use crate::pool::TaskOutcome;
use crate::size::Size;
use crate::task::TaskId;

/// Path of the start of a task.
pub const START_PATH: &str = "/.savorypitch/tasks/start";
/// Path of renewals and reports.
pub const RENEW_PATH: &str = "/.savorypitch/tasks/renew";
/// Path of orders about running tasks.
pub const COMMAND_PATH: &str = "/.savorypitch/tasks/order";

/// Starts a task, unless it was started before.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartCommand {
    /// Pool.
    pub pool: PoolId,
    /// Epoch of the pool's placement.
    pub epoch: u64,
    /// Task.
    pub task: TaskId,
    /// Size that is reserved.
    pub size: Size,
    /// What to run, as the caller gave it.
    pub body: String,
    /// Time until the lease lapses, in milliseconds.
    pub lease_ms: u64,
}

/// Renews leases and asks for a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Pool.
    pub pool: PoolId,
    /// Epoch of the pool's placement.
    pub epoch: u64,
    /// Time until the leases lapse, in milliseconds.
    pub lease_ms: u64,
    /// Tasks to renew.
    pub tasks: Vec<TaskId>,
    /// Tasks whose ends are stored; the worker forgets them.
    pub stored: Vec<TaskId>,
}

/// An order about a running task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskCommand {
    /// Pool.
    pub pool: PoolId,
    /// Epoch of the pool's placement.
    pub epoch: u64,
    /// Task.
    pub task: TaskId,
    /// What to do.
    #[serde(rename = "step")]
    pub kind: CommandKind,
}

/// What to do with a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommandKind {
    /// Save its state.
    Checkpoint,
    /// Let it have so much of its processor time.
    Throttle {
        /// Processor time in percent.
        percent: u32,
    },
    /// Stop it.
    Stop,
}

/// A worker's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerReply {
    /// The epoch is not the latest; nothing was done.
    Superseded,
    /// Done.
    Done {
        /// All tasks of the pool that the worker knows.
        report: WorkerReport,
    },
}

/// What a worker knows of a pool's tasks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Number of the worker's last start; it has forgotten all tasks of earlier ones.
    pub boot: u64,
    /// Tasks, sorted by id.
    pub tasks: Vec<TaskReport>,
}

/// What a worker knows of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// Task.
    pub task: TaskId,
    /// How it ended; `None` while it runs.
    #[serde(rename = "end")]
    pub outcome: Option<TaskOutcome>,
    /// What it used.
    pub used: Size,
    /// Age of that measurement in milliseconds.
    pub used_age_ms: u64,
    /// True once its state was saved.
    pub is_checkpointed: bool,
    /// What it gave back.
    pub result: Option<String>,
}
