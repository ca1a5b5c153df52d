//! Jobs that have not finished: their occurrences, units and runs.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;
use crate::QueueName;
use crate::TeamName;
use crate::WorkerId;
use crate::job::JobRecord;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::progress::CrashedRun;
use crate::progress::FinalState;
use crate::run_end::EndedRun;

/// Progress of a run that has done all its work, or of a long-running unit that is fully available.
/// Also the speed limit of a run whose speed is not limited.
pub(crate) const FULL_PERCENT: u32 = 100;

/// Whether a unit has finished successfully, and whether that is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishState {
    /// The unit has not finished.
    Unfinished,
    /// The unit has succeeded.
    Finished,
    /// The unit has succeeded; a batch that stores this is being committed.
    Storing,
    /// The unit has succeeded, which is stored.
    Stored,
}

/// What the owner knows about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The run has to be stored first; then the start command is sent.
    Planned,
    /// The start command was sent and no reply has arrived.
    Commanded,
    /// The worker replied, at this time, that the run has started.
    Confirmed(Moment),
    /// A report of the worker has listed the run.
    Reported,
    /// It is unknown whether the run exists: the start command got no reply, or an earlier owner
    /// may have sent it.
    InDoubt,
}

/// A stop command that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopCommand {
    /// When the command was last sent.
    pub sent_at: Moment,
    /// When the worker replied to it.
    pub replied_at: Option<Moment>,
}

/// Properties of a unit that matter to others on its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnitKind {
    /// It uses the processor time that others leave.
    pub is_best_effort: bool,
    /// It has a target for its tail latency.
    pub is_serving: bool,
    /// It runs until its job is cancelled.
    pub is_long_running: bool,
}

impl UnitKind {
    /// Returns the properties of the units of a step.
    pub fn of(step: &Step) -> Self {
        Self {
            is_best_effort: step.is_best_effort,
            is_serving: step.tail_latency_target_ms > 0,
            is_long_running: step.is_long_running,
        }
    }
}

/// A run of a unit, which is or may be on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run; a later run of the unit has a higher one.
    pub number: u32,
    /// Worker that the unit is assigned to.
    pub worker: WorkerId,
    /// Properties of the unit.
    pub kind: UnitKind,
    /// What the owner knows about the run.
    pub phase: Phase,
    /// Only the known incarnation of the worker can have it: that one has listed the run or has
    /// confirmed the start, or no other can have got the start.
    pub is_of_known_incarnation: bool,
    /// When the start command was sent, or when the run was planned or found.
    pub since: Moment,
    /// The worker has confirmed to an earlier owner others that were started after this one.
    pub precedes_others: bool,
    /// Deadline of the start command by the worker's clock, in milliseconds; 0 if this owner sent
    /// none.
    pub deadline_ms: u64,
    /// Resources reserved on the worker.
    pub reservation: Resources,
    /// Resources counted against the quota of the team.
    pub requested: Resources,
    /// Stop command, if one was sent.
    pub stop: Option<StopCommand>,
    /// Progress in percent; for a long-running unit, the part of it that is available.
    pub progress_percent: u32,
    /// When `progress_percent` last changed.
    pub progressed_at: Moment,
    /// The last change of `progress_percent` was seen at full speed, or the start of the run, so that
    /// the next change shows how long a percent takes.
    pub sees_whole_percent: bool,
    /// Longest time that a percent has taken at full speed; zero if none was seen.
    pub percent_time_max: Duration,
    /// When a report first listed the run as running, or when the run was planned or found.
    pub first_listed_at: Moment,
    /// When a report last listed the run as running, or when the run was planned or found.
    pub listed_at: Moment,
    /// Latest checkpoint that a report has listed; empty if there is none.
    pub checkpoint: String,
    /// Tail latency in milliseconds for serving units, processors in use for others.
    pub load: Option<u64>,
    /// Speed limit that was set for the run, in percent.
    pub speed_limit_percent: u32,
    /// The command that set the speed limit got no reply.
    pub is_speed_limit_in_doubt: bool,
}

impl Run {
    /// Creates a run of a unit of `step` on a worker.
    pub fn new(number: u32, worker: WorkerId, phase: Phase, step: &Step, now: Moment) -> Self {
        Self {
            number,
            worker,
            kind: UnitKind::of(step),
            phase,
            is_of_known_incarnation: phase == Phase::Reported,
            since: now,
            precedes_others: false,
            deadline_ms: 0,
            reservation: step.reservation(),
            requested: step.requested,
            stop: None,
            progress_percent: 0,
            progressed_at: now,
            sees_whole_percent: phase == Phase::Planned,
            percent_time_max: Duration::ZERO,
            first_listed_at: now,
            listed_at: now,
            checkpoint: String::new(),
            load: None,
            speed_limit_percent: FULL_PERCENT,
            is_speed_limit_in_doubt: false,
        }
    }

    /// Returns true if a later incarnation of the worker, of which the owner doesn't know, may have
    /// started the run.
    pub(crate) fn may_be_of_later_incarnation(&self) -> bool {
        self.phase != Phase::Planned && !self.is_of_known_incarnation
    }

    /// Returns when the run was started; a planned run will be started now or later.
    pub(crate) fn started_at(&self, now: Moment) -> Moment {
        if self.phase == Phase::Planned { now } else { self.since }
    }
}

/// A unit of a step.
#[derive(Clone, Debug)]
pub struct Unit {
    /// Whether it has finished successfully.
    pub finish_state: FinishState,
    /// Numbers of the failed runs; always empty for long-running units.
    pub failed_runs: Vec<u32>,
    /// Runs whose worker has or may have crashed, which they may have caused.
    pub crashed_runs: Vec<CrashedRun>,
    /// Number of its runs that were stopped as stalled.
    pub stalled_runs: u32,
    /// Highest run number that is known to have been used.
    pub last_run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The run that is or may be on a worker.
    pub run: Option<Run>,
    /// The last run that may have begun and has ended, until the next one is started.
    pub ended_run: Option<Box<EndedRun>>,
    /// Workers on which it failed or stalled; others are preferred.
    pub excluded_workers: Vec<WorkerId>,
    /// When the unit last lost its run or, if it is long-running, was last reported as not fully
    /// available.
    pub last_unavailable_at: Moment,
}

impl Unit {
    /// Creates a unit that has not run yet.
    pub fn new(run_number_base: u32, now: Moment) -> Self {
        Self {
            finish_state: FinishState::Unfinished,
            failed_runs: Vec::new(),
            crashed_runs: Vec::new(),
            stalled_runs: 0,
            last_run: run_number_base,
            checkpoint: String::new(),
            run: None,
            ended_run: None,
            excluded_workers: Vec::new(),
            last_unavailable_at: now,
        }
    }
}

/// One execution of all steps of a job.
#[derive(Clone, Debug)]
pub struct Occurrence {
    /// Number of the occurrence, counted from 0.
    pub number: u32,
    /// When the occurrence was due.
    pub due_at: Moment,
    /// Units by step.
    pub steps: Vec<Vec<Unit>>,
}

/// A job that has not finished, or that still has runs.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// The job as it was accepted.
    pub record: Arc<JobRecord>,
    /// When it was accepted.
    pub accepted_at: Moment,
    /// It was submitted beyond the rate share of its team.
    pub is_beyond_rate_share: bool,
    /// Occurrences that are due and not finished.
    pub occurrences: Vec<Occurrence>,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
    /// Number of occurrences that have finished and are stored.
    pub finished_occurrences: u32,
    /// How the job has ended; `None` while it still has work to do.
    pub final_state: Option<FinalState>,
    /// The final state is stored. The job stays here until its runs are gone.
    pub is_final_state_stored: bool,
    /// The progress has changed since it was last added to a batch.
    pub is_dirty: bool,
    /// At least one unit has started.
    pub has_started: bool,
    /// A unit may wait to be placed. Otherwise placement passes over the job, until a run ends, a
    /// unit succeeds or an occurrence becomes due.
    pub may_have_waiting_units: bool,
    /// The job's record is in the store. It stays there until no run of the job is left, so that a
    /// successor knows how much these runs take of the team's quota.
    pub has_record: bool,
}

impl Job {
    /// Returns a unit of the job.
    pub(crate) fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        let occurrence = self.occurrences.iter().find(|o| o.number == key.occurrence)?;
        occurrence.steps.get(key.step)?.get(key.index)
    }

    /// Returns a unit of the job, to change it.
    pub(crate) fn unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        let occurrence = self.occurrences.iter_mut().find(|o| o.number == key.occurrence)?;
        occurrence.steps.get_mut(key.step)?.get_mut(key.index)
    }
}

/// A job that has finished and has no runs.
#[derive(Clone, Debug)]
pub struct FinishedJob {
    /// How it ended.
    pub state: FinalState,
    /// Queue to which it was submitted.
    pub queue: QueueName,
    /// Team that submitted it.
    pub team: Option<TeamName>,
    /// When it finished.
    pub finished_at: Moment,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobView {
    /// No unit has started.
    Queued,
    /// At least one unit has started.
    Running,
    /// The job has ended, and its final state is stored.
    Ended(FinalState),
}
