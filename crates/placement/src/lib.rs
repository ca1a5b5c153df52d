//! Placement of tasks on workers: pure decisions, one pool at a time.
//!
//! [`Pool`] decides which job runs next, where, and what happens to tasks that fail, vanish, use too
//! much or are in the way. [`Task`] is the life cycle of a job's task as it is stored, and [`recover`]
//! says what a new holder of a pool's placement does with each stored task.

pub mod admit;
pub mod evidence;
pub mod job;
pub mod pool;
pub mod protocol;
pub mod recover;
pub mod size;
pub mod task;

mod backlog;
mod growth;
mod harm;
mod index;
mod learn;
mod spread;

pub use admit::NeverRuns;
pub use admit::PoolCapacity;
pub use evidence::Trust;
pub use job::Class;
pub use job::Job;
pub use job::JobId;
pub use job::KindId;
pub use job::PendingJob;
pub use pool::Action;
pub use pool::Cancelled;
pub use pool::Disposition;
pub use pool::JobOutcome;
pub use pool::Placement;
pub use pool::Pool;
pub use pool::PoolSettings;
pub use pool::TaskOutcome;
pub use pool::Usage;
pub use pool::WorkerSpec;
pub use recover::AttemptState;
pub use recover::Recovery;
pub use recover::recover;
pub use size::Size;
pub use task::AnyTask;
pub use task::Task;
