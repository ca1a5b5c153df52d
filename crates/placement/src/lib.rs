//! Places tasks on workers. Pure decisions without input or output, for one pool at a time.
//!
//! [`Pool`] decides which job runs next and on which worker. It also decides what happens to tasks
//! that fail, are lost, use more than they reserved, or are preempted by urgent jobs. [`Task`] is
//! the stored state of a job. [`recover()`] decides what a new holder of a pool's placement does
//! with each stored job.

pub mod admit;
pub mod failure_history;
pub mod job;
pub mod pool;
pub mod protocol;
pub mod recover;
pub mod size;
pub mod task;

mod backlog;
mod growth;
mod index;
mod losses;
mod peaks;
mod spread;

pub use admit::JobRejection;
pub use admit::PoolCapacity;
pub use failure_history::Trust;
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
