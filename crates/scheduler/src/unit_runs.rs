//! Access to the run of a unit by its worker or its number.

use crate::UnitKey;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::state::Scheduler;

impl Unit {
    /// Returns the run that is or may be on a worker.
    pub(crate) fn run_on(&self, worker: &str) -> Option<&Run> {
        self.run.as_ref().filter(|run| *run.worker == *worker)
    }

    /// Returns the run that is or may be on a worker, to change it.
    pub(crate) fn run_on_mut(&mut self, worker: &str) -> Option<&mut Run> {
        self.run.as_mut().filter(|run| *run.worker == *worker)
    }

    /// Returns the run with a number, to change it.
    pub(crate) fn run_numbered_mut(&mut self, number: u32) -> Option<&mut Run> {
        self.run.as_mut().filter(|run| run.number == number)
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
