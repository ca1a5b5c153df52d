//! The runs of a unit: the run that every started unit has, and the copy that may run beside it.
//!
//! The two runs are on different workers, so that a unit and a worker identify a run. If the run
//! ends while the copy goes on, the copy takes its place: a unit without a run has no copy.

use crate::UnitKey;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::state::Scheduler;

impl Unit {
    /// Returns the runs that are or may be on workers.
    pub(crate) fn runs(&self) -> impl Iterator<Item = &Run> {
        self.run.iter().chain(&self.copy)
    }

    /// Returns the run that is or may be on a worker.
    pub(crate) fn run_on(&self, worker: &str) -> Option<&Run> {
        self.runs().find(|run| *run.worker == *worker)
    }

    /// Returns the run that is or may be on a worker, to change it.
    pub(crate) fn run_on_mut(&mut self, worker: &str) -> Option<&mut Run> {
        self.run.iter_mut().chain(&mut self.copy).find(|run| *run.worker == *worker)
    }

    /// Returns the run with a number, to change it.
    pub(crate) fn run_numbered_mut(&mut self, number: u32) -> Option<&mut Run> {
        self.run.iter_mut().chain(&mut self.copy).find(|run| run.number == number)
    }

    /// Adds a run: as the copy if the unit already has a run.
    pub(crate) fn add_run(&mut self, run: Run) {
        self.last_run = self.last_run.max(run.number);
        let place = if self.run.is_some() { &mut self.copy } else { &mut self.run };
        *place = Some(run);
    }

    /// Removes the run on a worker. The copy takes the place of a run that was removed.
    pub(crate) fn take_run(&mut self, worker: &str) -> Option<Run> {
        let is_there = |run: &&mut Run| *run.worker == *worker;
        if self.copy.as_mut().is_some_and(|run| is_there(&run)) {
            return self.copy.take();
        }
        self.run.as_mut().filter(is_there)?;
        std::mem::replace(&mut self.run, self.copy.take())
    }
}

impl Scheduler {
    /// Returns the run of a unit that is or may be on a worker.
    pub(crate) fn run_on(&self, key: &UnitKey, worker: &str) -> Option<&Run> {
        self.unit(key)?.run_on(worker)
    }

    /// Returns the run of a unit that is or may be on a worker, to change it.
    pub(crate) fn run_on_mut(&mut self, key: &UnitKey, worker: &str) -> Option<&mut Run> {
        self.unit_mut(key)?.run_on_mut(worker)
    }
}
