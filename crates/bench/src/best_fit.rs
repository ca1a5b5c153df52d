//! Baseline for placement: best fit by declared sizes, in the order of submission.

use std::collections::VecDeque;

use model::HostId;
use placement::Disposition;
use placement::JobId;
use placement::JobOutcome;
use placement::PendingJob;
use placement::Size;
use placement::TaskOutcome;
use placement::WorkerSpec;

/// State of the baseline: free capacity, waiting jobs and running tasks.
pub struct BestFit {
    /// Each worker with its capacity that no declared size reserves.
    workers: Vec<(HostId, Size)>,
    waiting: VecDeque<PendingJob>,
    /// Running jobs with the positions of their workers, sorted by job.
    running: Vec<(PendingJob, usize)>,
}

impl BestFit {
    /// Creates the baseline with these workers and no jobs.
    pub fn new(specs: &[WorkerSpec]) -> Self {
        let workers = specs.iter().map(|spec| (spec.id.clone(), spec.capacity)).collect();
        Self { workers, waiting: VecDeque::new(), running: Vec::new() }
    }

    /// Adds a job at the end of the queue.
    pub fn submit(&mut self, pending: PendingJob) {
        self.waiting.push_back(pending);
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the capacity of each worker that no declared size reserves.
    pub fn free(&self) -> Vec<(HostId, Size)> {
        self.workers.clone()
    }

    /// Places the first waiting job on the worker that has the least free capacity left with it.
    ///
    /// Returns `None` if the job fits on no worker; the jobs behind it wait as well.
    pub fn place_next(&mut self) -> Option<(PendingJob, HostId)> {
        let size = self.waiting.front()?.job.declared;
        let fits = self.workers.iter().enumerate().filter(|(_, (_, free))| size.fits_in(free));
        let (worker, _) = fits.min_by_key(|(_, (_, free))| {
            let remainder = free.minus(&size);
            (remainder.accelerators, remainder.processors_milli, remainder.memory_mib)
        })?;
        let mut pending = self.waiting.pop_front()?;
        pending.attempts += 1;
        self.workers[worker].1 = self.workers[worker].1.minus(&size);
        let position = self.find_running(&pending.job.id).unwrap_or_else(|position| position);
        self.running.insert(position, (pending.clone(), worker));
        Some((pending, self.workers[worker].0.clone()))
    }

    /// Handles the end of a task: finishes its job, or requeues it first while attempts remain.
    ///
    /// Returns `None` if the job has no running task.
    pub fn finish_task(&mut self, job: &JobId, outcome: TaskOutcome) -> Option<Disposition> {
        let position = self.find_running(job).ok()?;
        let (pending, worker) = self.running.remove(position);
        self.workers[worker].1 = self.workers[worker].1.plus(&pending.job.declared);
        if outcome == TaskOutcome::Succeeded {
            return Some(Disposition::Finished { pending, outcome: JobOutcome::Succeeded });
        }
        if pending.attempts >= pending.job.attempts_max {
            return Some(Disposition::Finished { pending, outcome: JobOutcome::Failed });
        }
        self.waiting.push_front(pending.clone());
        Some(Disposition::Requeued { pending })
    }

    /// Removes waiting jobs and returns how many were removed; `jobs` must be sorted.
    pub fn cancel(&mut self, jobs: &[JobId]) -> usize {
        let before = self.waiting.len();
        self.waiting.retain(|pending| jobs.binary_search(&pending.job.id).is_err());
        before - self.waiting.len()
    }

    fn find_running(&self, job: &JobId) -> Result<usize, usize> {
        self.running.binary_search_by(|(pending, _)| pending.job.id.cmp(job))
    }
}
