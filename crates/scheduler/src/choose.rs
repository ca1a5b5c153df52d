//! Which worker runs a unit.

use std::sync::Arc;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::state::Scheduler;
use crate::worker::Worker;

/// A worker that takes new runs, during one round of placing.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub id: WorkerId,
    pub free: Resources,
    rack: Option<Arc<str>>,
    labels: Arc<[String]>,
    runs: Vec<RunKind>,
    is_trusted: bool,
}

/// What matters of a run to the others on its worker.
#[derive(Clone, Debug)]
struct RunKind {
    unit: UnitKey,
    is_best_effort: bool,
    serves: bool,
    is_long_running: bool,
}

/// How well a worker suits a unit; the least suits best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    is_avoided: bool,
    is_remote: bool,
    is_untrusted: bool,
    /// Runs there that it disturbs, or that disturb it.
    disturbed: usize,
    /// Lasting units are packed, so that the other hosts can be moved freely.
    lasting_missing: bool,
    cpu_left: u64,
}

/// Workers of a pool that take new runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    workers: Vec<Candidate>,
}

impl Candidates {
    /// Workers in no particular order.
    pub fn workers(&self) -> &[Candidate] {
        &self.workers
    }

    /// The best worker for a unit of `step`; none if no worker has room.
    pub fn choose(
        &self,
        key: &UnitKey,
        step: &Step,
        avoid: &[WorkerId],
        rack: Option<&str>,
        may_run: impl Fn(&WorkerId) -> bool,
    ) -> Option<usize> {
        let fitting = self.workers.iter().enumerate().filter(|(_, worker)| {
            worker.takes(key, step)
                && rack.is_none_or(|rack| worker.rack.as_deref() == Some(rack))
                && may_run(&worker.id)
        });
        fitting.min_by_key(|(_, worker)| worker.fit(step, avoid)).map(|(index, _)| index)
    }

    /// Notes that a unit was placed on a worker.
    pub fn place(&mut self, index: usize, key: &UnitKey, step: &Step) {
        let worker = &mut self.workers[index];
        worker.free -= step.room();
        worker.runs.push(RunKind::new(key, step));
    }

    /// Racks of the workers.
    pub fn racks(&self) -> Vec<Arc<str>> {
        let mut racks: Vec<Arc<str>> =
            self.workers.iter().filter_map(|worker| worker.rack.clone()).collect();
        racks.sort();
        racks.dedup();
        racks
    }
}

impl Candidate {
    /// True if a unit of `step` may run there, apart from advice.
    pub fn takes(&self, key: &UnitKey, step: &Step) -> bool {
        step.room().fits_in(&self.free)
            && step.label.as_ref().is_none_or(|label| self.labels.contains(label))
            && (step.per_worker_max == 0 || self.of_step(key) < step.per_worker_max as usize)
    }

    fn of_step(&self, key: &UnitKey) -> usize {
        let same = |run: &&RunKind| {
            run.unit.job == key.job
                && run.unit.occurrence == key.occurrence
                && run.unit.step == key.step
        };
        self.runs.iter().filter(same).count()
    }

    fn fit(&self, step: &Step, avoid: &[WorkerId]) -> Fit {
        let serves = step.tail_latency_target_ms > 0;
        let disturbed = if step.is_best_effort {
            self.runs.iter().filter(|run| run.serves).count()
        } else if serves {
            self.runs.iter().filter(|run| run.is_best_effort).count()
        } else {
            0
        };
        let near = step.near_rack.as_deref();
        Fit {
            is_avoided: avoid.contains(&self.id),
            is_remote: near.is_some() && self.rack.as_deref() != near,
            is_untrusted: !self.is_trusted,
            disturbed,
            lasting_missing: step.is_long_running
                && !self.runs.iter().any(|run| run.is_long_running),
            cpu_left: self.free.minus(&step.room()).cpu_millis,
        }
    }
}

impl RunKind {
    fn new(key: &UnitKey, step: &Step) -> Self {
        Self {
            unit: key.clone(),
            is_best_effort: step.is_best_effort,
            serves: step.tail_latency_target_ms > 0,
            is_long_running: step.is_long_running,
        }
    }
}

impl Scheduler {
    /// Workers of a pool that take new runs.
    pub(crate) fn candidates(&self, pool: &PoolName, now: Moment) -> Candidates {
        let workers = self.workers.values().filter(|worker| worker.registration.pool == *pool);
        let taking = workers.filter(|worker| self.takes_runs(worker, now));
        Candidates { workers: taking.map(|worker| self.candidate(worker, now)).collect() }
    }

    /// True if the worker takes new runs.
    pub(crate) fn takes_runs(&self, worker: &Worker, now: Moment) -> bool {
        worker.is_registered
            && !worker.registration.is_draining
            && !worker.is_cordoned
            // What a run that must go takes is not known in all cases.
            && worker.strays == 0
            && now >= worker.shunned_until
            && worker.is_in_contact(self.settings.contact_max, now)
            && !self.evidence.is_quarantined(&worker.registration.id, now)
    }

    fn candidate(&self, worker: &Worker, now: Moment) -> Candidate {
        let kind = |key: &UnitKey| {
            let step = self.jobs.get(&key.job)?.record.steps.get(key.step)?;
            Some(RunKind::new(key, step))
        };
        Candidate {
            id: worker.registration.id.clone(),
            free: worker.free(),
            rack: worker.rack.clone(),
            labels: worker.registration.labels.clone(),
            runs: worker.runs.iter().filter_map(kind).collect(),
            is_trusted: !self.evidence.is_suspect(&worker.registration.id, now),
        }
    }
}
