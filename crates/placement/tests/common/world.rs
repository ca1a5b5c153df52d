//! A pool with its workers, in virtual time.
#![allow(dead_code)]

use std::time::Instant;

use model::HostId;
use model::TeamRef;
use placement::Class;
use placement::Job;
use placement::PendingJob;
use placement::Pool;
use placement::PoolSettings;
use placement::Size;
use placement::TaskOutcome;
use placement::WorkerSpec;

/// A pool and the current virtual time.
pub struct World {
    pub pool: Pool,
    pub now: Instant,
    /// Rounds in which running tasks succeed, with the ids of their jobs.
    pub finish_rounds: Vec<(u32, String)>,
    workers: Vec<HostId>,
}

impl World {
    pub fn new(specs: Vec<WorkerSpec>) -> Self {
        let workers = specs.iter().map(|spec| spec.id.clone()).collect();
        let mut pool = Pool::new(PoolSettings::default());
        pool.set_workers(specs);
        Self { pool, now: Instant::now(), finish_rounds: Vec::new(), workers }
    }

    pub fn submit(&mut self, job: Job) {
        self.pool.submit(PendingJob::new(job, 1, self.now)).unwrap();
    }

    pub fn worker_of(&self, job: &str) -> Option<HostId> {
        let runs = |worker: &&HostId| self.pool.tasks_on(worker).iter().any(|id| **id == *job);
        self.workers.iter().find(runs).cloned()
    }

    /// Lets the tasks that are due succeed; returns their number.
    pub fn finish_due(&mut self, round: u32) -> usize {
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.finish_rounds).into_iter().partition(|(at, _)| *at <= round);
        self.finish_rounds = rest;
        for (_, job) in &due {
            self.pool.finish_task(&job.as_str().into(), TaskOutcome::Succeeded, self.now);
        }
        due.len()
    }
}

/// Returns a worker with as many GiB of memory as cores. Four workers share a rack, and the racks
/// are spread over three zones.
pub fn worker(id: &str, index: usize, processors: u32, accelerators: u32) -> WorkerSpec {
    let rack = index / 4;
    WorkerSpec {
        id: id.into(),
        zone: ["a", "b", "c"][rack % 3].into(),
        rack: format!("r{rack}").into(),
        capacity: Size::of_cores(processors, u64::from(processors) * 1_024, accelerators),
        is_schedulable: true,
    }
}

/// Returns an idempotent job that declares as many GiB of memory as cores.
pub fn job(id: &str, processors: u32) -> Job {
    Job {
        id: id.into(),
        team: TeamRef::new("levy", "officers"),
        kind: "emissions".into(),
        declared: Size::of_cores(processors, u64::from(processors) * 1_024, 0),
        class: Class::Normal,
        idempotent: true,
        attempts_max: 3,
    }
}

/// Returns the job with another kind.
pub fn with_kind(job: Job, kind: &str) -> Job {
    Job { kind: kind.into(), ..job }
}
