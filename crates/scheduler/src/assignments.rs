//! Storage of the runs that are assigned to workers.
//!
//! A run is stored before its start command is sent. A successor therefore knows every unit that
//! may be running, with its run number: a unit that no row names is not running anywhere. A row is
//! written when a run is added to its worker. Runs that have ended stay in the row until it is
//! written again. This is harmless, since their units have finished or have a run with a higher
//! number. The row of a removed worker is removed, unless the worker comes back and a row is written
//! for it before.
//!
//! The row also tells which runs are not known to be of its incarnation: a later one, which the
//! owner did not know of, may have started them. Once they are known to be, the row is written
//! again.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::JobId;
use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::batch::Batch;
use crate::job::UnitKey;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::lost_runs::precedes;
use crate::messages::Action;
use crate::messages::StartCommand;
use crate::run_end::RunEnd;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::worker::Worker;

/// Time after which a row is written again if it has runs that a later incarnation may have
/// started.
const CONFIRM_AFTER: Duration = Duration::from_secs(2);

/// Runs that are assigned to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// Pool that the worker belongs to.
    pub pool: PoolName,
    /// Address of its interface for runs.
    pub address: SocketAddr,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(rename = "started", default)]
    pub incarnation_started_ms: u64,
    /// Assigned runs: name of the unit and run number.
    pub runs: Vec<(String, u32)>,
    /// Number of runs at the beginning of `runs` that were started before others that the worker
    /// has confirmed.
    #[serde(rename = "old", default)]
    pub preceding_runs: usize,
    /// Positions in `runs` of those that a later incarnation may have started, sorted; `None` in
    /// rows of earlier versions, which don't tell.
    #[serde(rename = "unconfirmed", default, skip_serializing_if = "Option::is_none")]
    pub unconfirmed_runs: Option<Vec<usize>>,
    /// Commands to an earlier incarnation may have given this one a lease of the longest duration.
    #[serde(rename = "stray", default, skip_serializing_if = "is_false")]
    pub may_have_stray_lease: bool,
}

/// A unit and its run on a worker.
type StartedRun<'a> = (&'a UnitKey, &'a Run);

/// A run in a stored row.
#[derive(Clone, Debug)]
struct StoredRun {
    unit: UnitKey,
    number: u32,
    worker: WorkerId,
    /// The worker has confirmed others that were started after this one.
    precedes_others: bool,
    /// Only the incarnation of the row can have the run.
    is_confirmed: bool,
}

impl AssignmentRow {
    /// Removes the runs of a job.
    pub(crate) fn remove_job(&mut self, job: &str) {
        let is_kept = |(unit, _): &&(String, u32)| !is_of_job(unit, job);
        let kept_before = |end: usize| self.runs.iter().take(end).filter(is_kept).count();
        let is_kept_at = |position: &usize| self.runs.get(*position).as_ref().is_some_and(is_kept);
        let preceding_runs = kept_before(self.preceding_runs);
        let unconfirmed_runs = self.unconfirmed_runs.as_ref().map(|positions| {
            let kept = positions.iter().copied().filter(is_kept_at);
            kept.map(kept_before).collect()
        });
        (self.preceding_runs, self.unconfirmed_runs) = (preceding_runs, unconfirmed_runs);
        self.runs.retain(|run| is_kept(&run));
    }

    /// Returns when the row was written, which is now, and its number of runs that a later
    /// incarnation may have started; `None` if there are none.
    fn unconfirmed_at(&self, now: Moment) -> Option<(Moment, usize)> {
        let count = self.unconfirmed_runs.as_ref().map_or(self.runs.len(), Vec::len);
        (count > 0).then_some((now, count))
    }

    /// Returns the runs of the row, without those whose unit has no valid name.
    fn stored_runs(&self, worker: &WorkerId) -> impl Iterator<Item = StoredRun> {
        let is_confirmed = |index: usize| {
            let unconfirmed = self.unconfirmed_runs.as_ref();
            unconfirmed.is_some_and(|positions| positions.binary_search(&index).is_err())
        };
        self.runs.iter().enumerate().filter_map(move |(index, (unit, number))| {
            Some(StoredRun {
                unit: unit.parse().ok()?,
                number: *number,
                worker: worker.clone(),
                precedes_others: index < self.preceding_runs,
                is_confirmed: is_confirmed(index),
            })
        })
    }
}

impl Scheduler {
    /// Adds the rows of workers that got new runs, list unassigned ones or have confirmed runs, and
    /// removes the rows of workers that were removed; at most `rows_max` rows in total, and about
    /// `bytes_max` bytes in the whole batch.
    pub(crate) fn add_assignments(
        &mut self,
        batch: &mut Batch,
        rows_max: usize,
        bytes_max: usize,
        now: Moment,
    ) {
        let with_new_runs = self.workers.iter().filter(|(_, worker)| self.must_store_row(worker));
        let with_lasting_runs = self.workers.iter().filter(|(_, worker)| {
            !self.must_store_row(worker) && self.may_confirm_row(worker, now)
        });
        let to_store = with_new_runs.chain(with_lasting_runs);
        let rows =
            to_store.take(rows_max).map(|(id, worker)| (id.clone(), self.row_of(worker, now)));
        let mut bytes = batch.stored_bytes_max();
        let rows = rows.take_while(|(_, row)| {
            bytes += row.stored_bytes_max();
            bytes <= bytes_max
        });
        batch.assignments = rows.collect();
        for (id, row) in &batch.assignments {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let has_unstored_run =
                worker.runs.iter().any(|key| self.must_wait_for_completions(worker, key));
            if let Some(worker) = self.workers.get_mut(id) {
                worker.has_unstored_run = has_unstored_run;
                worker.has_unassigned_run = false;
                worker.has_row = true;
                worker.unconfirmed_in_row = row.unconfirmed_at(now);
            }
        }
        // A worker that was removed may have come back since. Its row is then needed again.
        let is_written = |id: &WorkerId| batch.assignments.iter().any(|(written, _)| written == id);
        self.assignments_to_remove.retain(|id| !is_written(id));
        let rows_left = rows_max.saturating_sub(batch.assignments.len());
        let rest =
            self.assignments_to_remove.split_off(self.assignments_to_remove.len().min(rows_left));
        batch.assignments_to_remove = std::mem::replace(&mut self.assignments_to_remove, rest);
    }

    /// Sends the start commands of the runs that are now stored.
    pub(crate) fn handle_assignments_stored(
        &mut self,
        rows: &[(WorkerId, AssignmentRow)],
        now: Moment,
    ) {
        for (worker, row) in rows {
            for (unit, number) in &row.runs {
                if let Ok(key) = unit.parse::<UnitKey>() {
                    self.send_start(worker, &key, *number, now);
                }
            }
        }
    }

    /// Restores the stored runs of workers. `lease_left` is the maximum remaining time of a lease
    /// that an earlier owner may have requested for a worker.
    pub fn restore_assignments(
        &mut self,
        rows: SortedMap<WorkerId, AssignmentRow>,
        lease_left: Duration,
        now: Moment,
    ) {
        let mut runs: Vec<StoredRun> = Vec::new();
        let mut restarted = Vec::new();
        let (lease, lease_max) = (self.settings.lease, self.settings.lease_max);
        for (id, row) in rows.iter() {
            let token = self.tokens.next();
            let unregistered = || {
                let mut worker = Worker::unregistered(id.clone(), row, now + lease_left, now);
                worker.token = token;
                worker
            };
            let worker = self.workers.entry_or(id.clone(), unregistered);
            worker.has_row = true;
            worker.unconfirmed_in_row = row.unconfirmed_at(now);
            worker.record_earlier_deadlines(now + lease_left.saturating_sub(lease));
            let end = RunEnd::worker_restarted(
                row.incarnation_started_ms,
                worker.registration.incarnation_started_ms,
            );
            restarted.extend(end.map(|end| (id.clone(), end)));
            if end.is_some() || row.may_have_stray_lease {
                worker.record_stray_leases(lease_max);
            }
            runs.extend(row.stored_runs(id));
        }
        for run in possible_runs(runs) {
            self.adopt_run_in_doubt(run, now);
        }
        for (id, end) in restarted {
            self.handle_restart_before_takeover(&id, end, now);
        }
        let finished = self.jobs.iter().filter(|(_, job)| job.is_final_state_stored);
        for id in finished.map(|(id, _)| id.clone()).collect::<Vec<JobId>>() {
            self.remove_finished(&id, now);
        }
    }

    /// Removes a worker on which nothing can run any more.
    pub(crate) fn remove_worker(&mut self, id: &str) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        self.silent_suspects.remove(id);
        if worker.has_row {
            self.assignments_to_remove.push(worker.registration.id.clone());
        }
        Some(worker)
    }

    /// Returns true if the unit has a planned run on a worker.
    fn is_planned(&self, worker: &Worker, key: &UnitKey) -> bool {
        let run = self.run_on(key, &worker.registration.id);
        run.is_some_and(|run| run.phase == Phase::Planned)
    }

    /// Returns true if a planned run has to wait for earlier completions of its job: these have to
    /// be stored in the same batch as the run, or before.
    fn must_wait_for_completions(&self, worker: &Worker, key: &UnitKey) -> bool {
        self.is_planned(worker, key) && self.jobs.get(&key.job).is_some_and(|job| job.is_dirty)
    }

    /// Returns true if a worker has a run that its row lacks.
    fn must_store_row(&self, worker: &Worker) -> bool {
        worker.has_unassigned_run
            || worker.has_unstored_run
                && worker.runs.iter().any(|key| self.may_store_planned(worker, key))
    }

    /// Returns true if runs have lasted that a worker's row doesn't show as those of its incarnation.
    fn may_confirm_row(&self, worker: &Worker, now: Moment) -> bool {
        let Some((written_at, count)) = worker.unconfirmed_in_row else {
            return false;
        };
        let is_unconfirmed = |(_, run): &(&UnitKey, &Run)| !run.is_of_known_incarnation;
        now >= written_at + CONFIRM_AFTER
            && !worker.runs.is_empty()
            && self.runs_on(worker).filter(is_unconfirmed).count() < count
    }

    fn may_store_planned(&self, worker: &Worker, key: &UnitKey) -> bool {
        self.is_planned(worker, key) && !self.must_wait_for_completions(worker, key)
    }

    fn row_of(&self, worker: &Worker, now: Moment) -> AssignmentRow {
        let last_start = self.last_confirmed_start(worker);
        let stored =
            self.runs_on(worker).filter(|(key, _)| !self.must_wait_for_completions(worker, key));
        let (mut ordered, others): (Vec<StartedRun>, Vec<StartedRun>) =
            stored.partition(|(_, run)| precedes(run, last_start));
        let preceding_runs = ordered.len();
        ordered.extend(others);
        let is_unconfirmed = |position: &usize| !ordered[*position].1.is_of_known_incarnation;
        let unconfirmed_runs = (0..ordered.len()).filter(is_unconfirmed).collect();
        let mut runs: Vec<(String, u32)> =
            ordered.iter().map(|(key, run)| (key.to_string(), run.number)).collect();
        // Until a completion is stored, a successor can learn of it only from the worker, so the
        // run stays in the row.
        let is_unstored = |job: &str| self.jobs.get(job).is_some_and(|job| job.is_dirty);
        let unstored = worker
            .pending_completions
            .iter()
            .filter(|completion| is_unstored(&completion.unit.job));
        runs.extend(unstored.map(|completion| (completion.unit.to_string(), completion.run)));
        AssignmentRow {
            pool: worker.registration.pool.clone(),
            address: worker.registration.address,
            incarnation_started_ms: worker.registration.incarnation_started_ms,
            runs,
            preceding_runs,
            unconfirmed_runs: Some(unconfirmed_runs),
            may_have_stray_lease: now < worker.stray_lease_until,
        }
    }

    fn send_start(&mut self, id: &WorkerId, key: &UnitKey, number: u32, now: Moment) {
        let is_planned =
            |run: &Run| run.worker == *id && run.number == number && run.phase == Phase::Planned;
        if !self.run_on(key, id).is_some_and(is_planned) {
            return;
        }
        let validity = self.start_validity(now);
        let ticket = self.tickets.ticket(key, id, now);
        let spec = self.jobs.get(&key.job).map(|job| job.record.spec.clone()).unwrap_or_default();
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        // The worker may have changed while the run was being stored.
        let can_start = self.can_start_planned(worker, now);
        let clock_ms = worker.clock_min_ms(now).filter(|_| can_start);
        let Some(clock_ms) = clock_ms else {
            self.count_withheld(id, now);
            self.withdraw_planned(id, key, now);
            return;
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(own_clock) = worker.own_clock(now) else {
            return;
        };
        let deadline_ms = clock_ms + validity.as_millis() as u64;
        worker.record_lease_request(deadline_ms, now);
        let (address, token) = (worker.registration.address, worker.token);
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        let checkpoint = unit.checkpoint.clone();
        let ended = unit.ended_run.take();
        if let Some(run) = unit.run_on_mut(id) {
            run.phase = Phase::Commanded;
            run.since = now;
            run.progressed_at = now;
            run.deadline_ms = deadline_ms;
        }
        if let Some(ended) = ended {
            self.actions.push(Action::LogRestartedUnit {
                worker: id.clone(),
                unit: key.clone(),
                run: number,
                since_end: now.saturating_sub(ended.at),
                ended: *ended,
            });
        }
        self.actions.push(Action::Start(StartCommand {
            worker: id.clone(),
            address,
            token,
            unit: key.clone(),
            run: number,
            spec,
            deadline_ms,
            checkpoint,
            ticket,
            own_clock,
        }));
    }

    /// Removes a planned run whose start command is not sent. A gang does not start without it.
    fn withdraw_planned(&mut self, worker: &str, key: &UnitKey, now: Moment) {
        let Some(end) = self.run_on(key, worker).and_then(RunEnd::not_sent) else {
            return;
        };
        self.remove_run(key, worker, end, now);
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        if step.is_some_and(|step| step.is_gang) {
            for member in self.units_finishing_with(key, true) {
                self.request_stop(&member, now);
            }
        }
    }

    fn adopt_run_in_doubt(&mut self, stored: StoredRun, now: Moment) {
        let key = &stored.unit;
        self.create_occurrences_of(&key.job, key.occurrence.saturating_add(1), now);
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        let (Some(step), Some(unit)) = (step, self.unit(key)) else {
            return;
        };
        // A finished unit may still have a run: another run of it, or another unit of its gang, has
        // finished it.
        if unit.run.is_some() {
            return;
        }
        let mut run = Run::new(stored.number, stored.worker, Phase::InDoubt, step, now);
        run.precedes_others = stored.precedes_others;
        run.is_of_known_incarnation = stored.is_confirmed;
        self.add_run(key, run, now);
    }
}

/// Returns true if a unit with this name is one of the job's.
fn is_of_job(unit: &str, job: &str) -> bool {
    unit.strip_prefix(job).is_some_and(|rest| rest.starts_with('.'))
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Returns the stored runs that may still exist. A unit gets a run with a higher number only after
/// the run before it has ended.
fn possible_runs(mut runs: Vec<StoredRun>) -> Vec<StoredRun> {
    runs.sort_by(|a, b| a.unit.cmp(&b.unit).then(b.number.cmp(&a.number)));
    runs.dedup_by(|a, b| a.unit == b.unit);
    runs
}
