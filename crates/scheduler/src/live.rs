//! Live jobs: occurrences, units and their runs.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::QueueName;
use crate::TeamName;
use crate::WorkerId;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::job::Step;
use crate::progress::FinalState;

/// Percentage of a run that is wholly at work, of a unit that lasts, or at its end; also the whole pace.
pub(crate) const WHOLE_PERCENT: u32 = 100;

/// Whether a unit is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It is not.
    No,
    /// It has ended as done.
    Ended,
    /// It has ended as done, which is being stored.
    Storing,
    /// It has ended as done, which is stored.
    Stored,
}

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is to be stored; the order to start is sent once it is.
    Planned,
    /// The order to start is on its way.
    Ordered,
    /// The worker has answered that it is there, at this time.
    Confirmed(Moment),
    /// The worker has listed it.
    Listed,
    /// It may be there: the order to start was not answered, or an owner before may have given it.
    InDoubt,
}

/// A stop that was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When it was sent last.
    pub sent_at: Moment,
    /// When the worker answered it.
    pub answered_at: Option<Moment>,
}

/// A run of a unit.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number.
    pub number: u32,
    /// Worker.
    pub worker: WorkerId,
    /// What is known of it.
    pub phase: Phase,
    /// When it was ordered or found.
    pub since: Moment,
    /// Deadline of the order to start, by the worker's clock in milliseconds.
    pub deadline_ms: u64,
    /// What it takes of the worker.
    pub room: Resources,
    /// What it takes of its team's bound.
    pub requested: Resources,
    /// Stop that was ordered.
    pub stop: Option<Stop>,
    /// How far it is, in percent.
    pub progress_percent: u32,
    /// When the percentage changed last.
    pub progressed_at: Moment,
    /// Tail of the response times in milliseconds, or processors in use.
    pub load: Option<u64>,
    /// Share of its speed that it was told to work at, in percent.
    pub pace_percent: u32,
}

impl Run {
    /// A run of a unit of `step` on a worker.
    pub fn new(number: u32, worker: WorkerId, phase: Phase, step: &Step, now: Moment) -> Self {
        Self {
            number,
            worker,
            phase,
            since: now,
            deadline_ms: 0,
            room: step.room(),
            requested: step.requested,
            stop: None,
            progress_percent: 0,
            progressed_at: now,
            load: None,
            pace_percent: WHOLE_PERCENT,
        }
    }
}

/// A unit of a step.
#[derive(Clone, Debug)]
pub struct Unit {
    /// Whether it is done.
    pub done: Done,
    /// Numbers of the runs that failed; not kept for units that last.
    pub failed_runs: Vec<u32>,
    /// Number of its last run.
    pub last_run: u32,
    /// State that it has saved; empty if none.
    pub checkpoint: String,
    /// The run that is or may be there.
    pub run: Option<Run>,
    /// Workers on which it failed or stood still.
    pub avoid: Vec<WorkerId>,
    /// When it was last seen not at work, for units that last.
    pub away_at: Moment,
}

impl Unit {
    /// A unit that has not run.
    pub fn new(run_base: u32, now: Moment) -> Self {
        Self {
            done: Done::No,
            failed_runs: Vec::new(),
            last_run: run_base,
            checkpoint: String::new(),
            run: None,
            avoid: Vec::new(),
            away_at: now,
        }
    }
}

/// A run of all steps of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Number, counted from 0.
    pub number: u32,
    /// When it was due.
    pub due_at: Moment,
    /// Units by step.
    pub steps: Vec<Vec<Unit>>,
}

/// A live job.
#[derive(Clone, Debug)]
pub struct Job {
    /// As it was accepted.
    pub record: Arc<JobRecord>,
    /// When it was accepted.
    pub accepted_at: Moment,
    /// Its team has sent it beyond its share.
    pub is_beyond_share: bool,
    /// Occurrences that are due and not over.
    pub occurrences: Vec<Occurrence>,
    /// Number of the next occurrence that becomes due.
    pub next_occurrence: u32,
    /// Occurrences that are over and stored.
    pub occurrences_over: u32,
    /// How it ends.
    pub final_state: Option<FinalState>,
    /// How it ends is stored; it is kept until its runs are gone.
    pub is_final_state_stored: bool,
    /// The progress has changed since it was last handed out to be stored.
    pub is_dirty: bool,
    /// A unit has been started.
    pub has_begun: bool,
    /// Its record is in the store. It stays there until none of its runs is left, so that an owner that
    /// takes over knows what they take of its team's bound.
    pub has_record: bool,
}

/// An ended job.
#[derive(Clone, Debug)]
pub struct EndedJob {
    /// How it ended.
    pub state: FinalState,
    /// Its queue.
    pub queue: QueueName,
    /// Its team.
    pub team: Option<TeamName>,
    /// When it ended.
    pub ended_at: Moment,
}

/// What callers are shown of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobView {
    /// No unit has been started.
    Queued,
    /// A unit has been started.
    Running,
    /// It has ended, and that is stored.
    Ended(FinalState),
}
