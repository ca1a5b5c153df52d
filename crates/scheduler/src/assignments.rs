//! What is stored of the workers' runs.
//!
//! A run is stored before the order to start it is sent, so that an owner that takes over knows each
//! unit that may run somewhere, with its number: a unit that no row names runs nowhere. Rows are
//! written when a run is added; runs that are over stay in them until then, which is harmless, since
//! their units are done or have a run with a higher number.

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
use crate::live::Phase;
use crate::live::Run;
use crate::report::Action;
use crate::report::StartCommand;
use crate::sorted::SortedMap;
use crate::state::Scheduler;
use crate::worker::Worker;

/// What a worker runs or is to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// Pool of the worker.
    pub pool: PoolName,
    /// Address of its task interface.
    pub address: SocketAddr,
    /// Runs: name of the unit and number.
    pub runs: Vec<(String, u32)>,
}

impl Scheduler {
    /// Adds the rows of workers that have got new runs, and removes those of workers that are
    /// forgotten; at most `entries` rows.
    pub(crate) fn add_assignments(&mut self, batch: &mut Batch, rows_max: usize) {
        let lacking = self.workers.iter().filter(|(_, worker)| {
            worker.lacks_run && worker.runs.iter().any(|key| self.may_store_planned(key))
        });
        let rows = lacking.take(rows_max).map(|(id, worker)| (id.clone(), self.row_of(worker)));
        batch.assignments = rows.collect();
        for (id, _) in &batch.assignments {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let lacks_run = worker.runs.iter().any(|key| self.is_held(key));
            if let Some(worker) = self.workers.get_mut(id) {
                worker.lacks_run = lacks_run;
                worker.has_row = true;
            }
        }
        let room = rows_max.saturating_sub(batch.assignments.len());
        let left = self.assignments_to_remove.split_off(self.assignments_to_remove.len().min(room));
        batch.assignments_to_remove = std::mem::replace(&mut self.assignments_to_remove, left);
    }

    /// Sends the orders to start the runs that are stored now.
    pub(crate) fn assignments_stored(&mut self, rows: &[(WorkerId, AssignmentRow)], now: Moment) {
        for (worker, row) in rows {
            for (unit, number) in &row.runs {
                if let Ok(key) = unit.parse::<UnitKey>() {
                    self.send_start(worker, &key, *number, now);
                }
            }
        }
    }

    /// Takes in what is stored of the workers' runs; `lease_left` is the longest lease that an owner
    /// before may have asked a worker for.
    pub fn restore_assignments(
        &mut self,
        rows: SortedMap<WorkerId, AssignmentRow>,
        lease_left: Duration,
        now: Moment,
    ) {
        let mut runs: Vec<(UnitKey, u32, WorkerId)> = Vec::new();
        for (id, row) in rows.iter() {
            let unlisted = || {
                let (pool, address) = (row.pool.clone(), row.address);
                Worker::unlisted(id.clone(), pool, address, now + lease_left, now)
            };
            self.workers.entry_or(id.clone(), unlisted).has_row = true;
            let parsed = row.runs.iter().filter_map(|(unit, run)| Some((unit.parse().ok()?, *run)));
            runs.extend(parsed.map(|(key, run)| (key, run, id.clone())));
        }
        // A unit has a run with a higher number only if the one before is over.
        runs.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        runs.dedup_by(|later, first| later.0 == first.0);
        for (key, run, worker) in runs {
            self.adopt_in_doubt(&key, run, worker, now);
        }
        let ended = self.jobs.iter().filter(|(_, job)| job.is_final_state_stored);
        for id in ended.map(|(id, _)| id.clone()).collect::<Vec<JobId>>() {
            self.drop_finished(&id, now);
        }
    }

    /// Forgets a worker on which nothing can run any more.
    pub(crate) fn forget_worker(&mut self, id: &str) -> Option<Worker> {
        let worker = self.workers.remove(id)?;
        if worker.has_row {
            self.assignments_to_remove.push(worker.registration.id.clone());
        }
        Some(worker)
    }

    /// True if the unit has a planned run.
    fn is_planned(&self, key: &UnitKey) -> bool {
        let run = self.unit(key).and_then(|unit| unit.run.as_ref());
        run.is_some_and(|run| run.phase == Phase::Planned)
    }

    /// True if a planned run waits for the ends before it, which have to be stored with it or before.
    fn is_held(&self, key: &UnitKey) -> bool {
        self.is_planned(key) && self.jobs.get(&key.job).is_some_and(|job| job.is_dirty)
    }

    fn may_store_planned(&self, key: &UnitKey) -> bool {
        self.is_planned(key) && !self.is_held(key)
    }

    fn row_of(&self, worker: &Worker) -> AssignmentRow {
        let run = |key: &UnitKey| {
            let run = self.unit(key)?.run.as_ref()?;
            (!self.is_held(key)).then(|| (key.to_string(), run.number))
        };
        let mut runs: Vec<(String, u32)> = worker.runs.iter().filter_map(run).collect();
        // A run whose end is not stored yet is known to the worker alone.
        let is_open = |job: &str| self.jobs.get(job).is_some_and(|job| job.is_dirty);
        let ended = worker.pending_completions.iter().filter(|end| is_open(&end.unit.job));
        runs.extend(ended.map(|end| (end.unit.to_string(), end.run)));
        AssignmentRow {
            pool: worker.registration.pool.clone(),
            address: worker.registration.address,
            runs,
        }
    }

    fn send_start(&mut self, id: &WorkerId, key: &UnitKey, number: u32, now: Moment) {
        let is_planned =
            |run: &Run| run.worker == *id && run.number == number && run.phase == Phase::Planned;
        if !self.unit(key).and_then(|unit| unit.run.as_ref()).is_some_and(is_planned) {
            return;
        }
        let ticket = self.tickets.ticket(key, id, now);
        let spec = self.jobs.get(&key.job).map(|job| job.record.spec.clone()).unwrap_or_default();
        let valid = self.settings.start_valid;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(clock_ms) = worker.clock_min_ms(now) else {
            self.clear_run(key, now);
            return;
        };
        let deadline_ms = clock_ms + valid.as_millis() as u64;
        worker.lease_asked(deadline_ms);
        let address = worker.registration.address;
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        let checkpoint = unit.checkpoint.clone();
        if let Some(run) = unit.run.as_mut() {
            run.phase = Phase::Ordered;
            run.since = now;
            run.progressed_at = now;
            run.deadline_ms = deadline_ms;
        }
        self.actions.push(Action::Start(StartCommand {
            worker: id.clone(),
            address,
            unit: key.clone(),
            run: number,
            spec,
            deadline_ms,
            checkpoint,
            ticket,
        }));
    }

    fn adopt_in_doubt(&mut self, key: &UnitKey, number: u32, worker: WorkerId, now: Moment) {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        let (Some(step), Some(unit)) = (step, self.unit(key)) else {
            return;
        };
        // A unit that is done may still run: its gang has ended, or another run of it has.
        if unit.run.is_some() {
            return;
        }
        let run = Run::new(number, worker, Phase::InDoubt, step, now);
        self.add_run(key, run, now);
    }
}
