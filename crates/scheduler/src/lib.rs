//! Schedules jobs on workers that check fencing tokens and hold leases. Pure decision logic,
//! without I/O.
//!
//! A job is a graph of steps, and a step has a number of units, each of which runs on a worker.
//! [`Scheduler`] holds the state of one owner, the node that decides what runs where. The owner
//! feeds it stored rows, reports of workers and replies to commands. It returns the commands to
//! send and the rows to write. A decision takes effect only after the owner has confirmed that its
//! rows are written ([`Scheduler::handle_commit`]).
//!
//! Functions that depend on the time take `now`, a [`Moment`] of a clock that keeps running while
//! the machine is suspended.

pub mod batch;
pub mod config;
pub mod job;
pub mod job_map;
pub mod live_jobs;
pub mod messages;
mod own_clock;
pub mod policies;
pub mod portions;
pub mod progress;
pub mod settings;
pub mod sorted_map;
pub mod state;
pub mod worker;

mod absent_hosts;
mod advice;
mod assignments;
mod attempts;
mod candidates;
mod capacity;
mod choice;
mod cold_workers;
mod commands;
mod completion_pause;
mod counts;
mod durations;
mod evacuation;
mod failure_history;
mod host_commands;
mod host_moves;
mod hosts;
mod lost_runs;
mod peaks;
mod plan;
mod priority;
mod queue_settings;
mod quotas;
mod rate_shares;
mod row_sizes;
mod run_end;
mod run_samples;
mod shrunk_workers;
mod speed_limits;
mod stalled;
mod stored_queue;
mod storing;
mod takeover;
mod tokens;
mod unit_runs;
mod unit_set;
mod wave_limits;
mod waves;
mod worker_reports;

use std::sync::Arc;
use std::time::Duration;

pub use assignments::AssignmentRow;
pub use batch::Batch;
pub use batch::BatchLimits;
pub use batch::StoredCompletions;
pub use capacity::BaselineHosts;
pub use capacity::HostCounts;
pub use capacity::PoolLoad;
pub use capacity::PoolLoads;
pub use capacity::host_targets;
pub use config::AdviceTimes;
pub use config::Config;
pub use config::Pool;
pub use config::Queue;
pub use config::Team;
pub use counts::Counts;
pub use durations::Durations;
pub use durations::DurationsRow;
pub use host_commands::CommandOutcome;
pub use host_commands::HostCommandRow;
pub use hosts::HostIntent;
pub use job::JobRecord;
pub use job::Resources;
pub use job::Step;
pub use job::UnitKey;
pub use job_map::JobMap;
pub use live_jobs::JobView;
pub use messages::Action;
pub use messages::AssignedRun;
pub use messages::Completion;
pub use messages::CompletionList;
pub use messages::EvacuationState;
pub use messages::HostEntry;
pub use messages::HostReply;
pub use messages::HostState;
pub use messages::LossCause;
pub use messages::PollFailure;
pub use messages::RunOutcome;
pub use messages::RunStatus;
pub use messages::SentPoll;
pub use messages::StartCommand;
pub use messages::StartReply;
pub use messages::Wave;
pub use messages::WaveState;
pub use messages::WorkerRegistration;
pub use messages::WorkerReport;
pub use messages::ZoneRuns;
pub use own_clock::OwnClock;
pub use peaks::Peaks;
pub use policies::Policies;
pub use policies::Policy;
pub use portions::Portion;
pub use portions::PortionRow;
pub use portions::ShardIndex;
pub use progress::CrashedRun;
pub use progress::FinalState;
pub use progress::Progress;
pub use progress::StartOrder;
pub use row_sizes::UnstorableJob;
pub use run_end::EndEvidence;
pub use run_end::EndedRun;
pub use settings::Settings;
pub use sorted_map::SortedMap;
pub use state::Scheduler;
pub use storing::CancelOutcome;
pub use waves::WaveRow;

/// Time since the machine booted, including the time during which it was suspended.
pub type Moment = Duration;
/// Number that each call to a worker carries. Workers refuse a lower number than they have seen.
pub type FencingToken = u64;
/// Identifier of a job, 16 hexadecimal digits.
pub type JobId = Arc<str>;
/// Identifier of a worker process.
pub type WorkerId = Arc<str>;
/// Name of a host, as the platform lists it.
pub type HostName = Arc<str>;
/// Name of a pool of hosts.
pub type PoolName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Name of a queue, unique in the configuration.
pub type QueueName = Arc<str>;
/// Name of a team of a client account.
pub type TeamName = Arc<str>;
/// Number of a maintenance wave, chosen by operators.
pub type WaveId = u64;
