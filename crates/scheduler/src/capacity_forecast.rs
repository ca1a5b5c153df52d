//! When capacity on the workers of a pool is expected to come free, and which runs could be stopped
//! to free it at once.

use std::cmp::Reverse;

use crate::Moment;
use crate::candidates::Candidates;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;

/// A run as the forecast sees it.
#[derive(Clone, Debug)]
pub(crate) struct RunForecast {
    pub unit: UnitKey,
    pub reservation: Resources,
    /// Expected end; none for a long-running unit.
    pub ends_at: Option<Moment>,
    /// What stopping it would cost; none if it must not be stopped.
    pub stop_cost: Option<StopCost>,
}

/// What stopping a run would cost; the lowest cost goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StopCost {
    /// Work since the last checkpoint, or since the start without one, in core-milliseconds; of all
    /// units if the run is part of a gang.
    pub work_lost_core_ms: u64,
    /// When it was started; of runs that lose the same, the youngest is stopped.
    pub started_at: Reverse<Moment>,
}

/// A worker as the forecast sees it.
#[derive(Clone, Debug)]
struct WorkerForecast {
    /// Index among the candidates.
    index: usize,
    /// Free capacity, with what is being stopped.
    free: Resources,
    /// Capacity that units of this forecast were promised, free or not.
    promised: Resources,
    /// Units that were promised capacity.
    promised_units: Vec<UnitKey>,
    /// Runs that are not being stopped, sorted by expected end.
    runs: Vec<RunForecast>,
}

/// The workers of a pool and their runs. Units are promised capacity one after another.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityForecast {
    workers: Vec<WorkerForecast>,
}

/// Runs on one worker whose end would free enough capacity for a unit.
#[derive(Clone, Debug)]
pub(crate) struct Victims {
    worker: usize,
    /// Units of the runs.
    pub units: Vec<UnitKey>,
}

impl CapacityForecast {
    /// Adds a worker, by its index among the candidates, with its runs. What is being stopped is in
    /// `free` already.
    pub fn add(&mut self, index: usize, free: Resources, mut runs: Vec<RunForecast>) {
        runs.sort_by_key(|run| run.ends_at.unwrap_or(Moment::MAX));
        let (promised, promised_units) = (Resources::default(), Vec::new());
        self.workers.push(WorkerForecast { index, free, promised, promised_units, runs });
    }

    /// Promises a unit the capacity that comes free first, if that is until `until`. Returns the
    /// index of its worker among the candidates.
    pub fn promise(
        &mut self,
        key: &UnitKey,
        step: &Step,
        candidates: &Candidates,
        until: Moment,
    ) -> Option<usize> {
        let suitable = self.workers.iter_mut().filter(|worker| worker.suits(key, step, candidates));
        let free_at = |worker: &WorkerForecast| worker.free_at(step).filter(|at| *at <= until);
        let found = suitable.filter_map(|worker| Some((free_at(worker)?, worker)));
        let (_, worker) = found.min_by_key(|(at, _)| *at)?;
        worker.promise(key, step);
        Some(worker.index)
    }

    /// Returns the runs on one worker that free enough capacity for a unit with the least lost
    /// work; none if no worker has such runs.
    pub fn victims(&self, key: &UnitKey, step: &Step, candidates: &Candidates) -> Option<Victims> {
        let suitable = self.workers.iter().enumerate();
        let suitable = suitable.filter(|(_, worker)| worker.suits(key, step, candidates));
        let found = suitable.filter_map(|(number, worker)| {
            let runs = worker.cheapest_runs(step)?;
            let work_lost: u64 =
                runs.iter().filter_map(|run| Some(run.stop_cost?.work_lost_core_ms)).sum();
            let youngest = runs.iter().filter_map(|run| run.stop_cost).map(|cost| cost.started_at);
            let units = runs.iter().map(|run| run.unit.clone()).collect();
            Some(((work_lost, runs.len(), youngest.min()), Victims { worker: number, units }))
        });
        found.min_by_key(|(cost, _)| *cost).map(|(_, victims)| victims)
    }

    /// Promises a unit the capacity on the worker of `victims`, after the runs of `stopped` units
    /// were commanded to stop. Returns the index of the worker among the candidates.
    pub fn promise_stopped(
        &mut self,
        key: &UnitKey,
        step: &Step,
        victims: &Victims,
        stopped: &[UnitKey],
    ) -> usize {
        for worker in &mut self.workers {
            worker.stop(stopped);
        }
        let worker = &mut self.workers[victims.worker];
        worker.promise(key, step);
        worker.index
    }
}

impl WorkerForecast {
    /// Returns true if a unit could run on the worker if that had enough free capacity.
    fn suits(&self, key: &UnitKey, step: &Step, candidates: &Candidates) -> bool {
        let is_same_step = |unit: &&UnitKey| {
            unit.job == key.job && unit.occurrence == key.occurrence && unit.step == key.step
        };
        let promised = self.promised_units.iter().filter(is_same_step).count();
        candidates.workers()[self.index].suits(key, step, promised)
    }

    /// Returns when a unit of a step is expected to fit.
    fn free_at(&self, step: &Step) -> Option<Moment> {
        let needed = step.reservation().plus(&self.promised);
        let mut free = self.free;
        if needed.fits_in(&free) {
            return Some(Moment::ZERO);
        }
        self.runs.iter().find_map(|run| {
            free += run.reservation;
            run.ends_at.filter(|_| needed.fits_in(&free))
        })
    }

    /// Returns the runs that lose the least work and whose end lets a unit of a step fit.
    fn cheapest_runs(&self, step: &Step) -> Option<Vec<&RunForecast>> {
        let needed = step.reservation().plus(&self.promised);
        let mut stoppable: Vec<&RunForecast> =
            self.runs.iter().filter(|run| run.stop_cost.is_some()).collect();
        stoppable.sort_by_key(|run| run.stop_cost);
        let mut free = self.free;
        let mut chosen = Vec::new();
        for run in stoppable {
            if needed.fits_in(&free) {
                break;
            }
            free += run.reservation;
            chosen.push(run);
        }
        if !needed.fits_in(&free) || chosen.is_empty() {
            return None;
        }
        // Runs that a larger one has made needless go on, the most expensive ones first.
        for number in (0..chosen.len()).rev() {
            let without = free.minus(&chosen[number].reservation);
            if needed.fits_in(&without) {
                free = without;
                chosen.remove(number);
            }
        }
        Some(chosen)
    }

    fn promise(&mut self, key: &UnitKey, step: &Step) {
        self.promised += step.reservation();
        self.promised_units.push(key.clone());
    }

    fn stop(&mut self, stopped: &[UnitKey]) {
        let mut freed = Resources::default();
        self.runs.retain(|run| {
            let is_stopped = stopped.contains(&run.unit);
            if is_stopped {
                freed += run.reservation;
            }
            !is_stopped
        });
        self.free += freed;
    }
}
