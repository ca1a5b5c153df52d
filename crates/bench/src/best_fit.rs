//! Baseline: best fit on declared sizes, first come first served.

use std::collections::VecDeque;

use model::HostId;
use placement::Disposition;
use placement::JobId;
use placement::JobOutcome;
use placement::PendingJob;
use placement::Size;
use placement::TaskOutcome;
use placement::WorkerSpec;

/// Workers with what is free by declared sizes.
pub struct BestFit {
    workers: Vec<(HostId, Size)>,
    waiting: VecDeque<PendingJob>,
    /// Sorted by job.
    running: Vec<(PendingJob, usize)>,
}

impl BestFit {
    /// No jobs yet.
    pub fn new(specs: &[WorkerSpec]) -> Self {
        let workers = specs.iter().map(|spec| (spec.id.clone(), spec.capacity)).collect();
        Self { workers, waiting: VecDeque::new(), running: Vec::new() }
    }

    /// Adds a job at the end.
    pub fn submit(&mut self, pending: PendingJob) {
        self.waiting.push_back(pending);
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// What each worker has free by declared sizes.
    pub fn free(&self) -> Vec<(HostId, Size)> {
        self.workers.clone()
    }

    /// Places the first job, if it fits anywhere.
    pub fn place_next(&mut self) -> Option<(PendingJob, HostId)> {
        let size = self.waiting.front()?.job.declared;
        let fits = self.workers.iter().enumerate().filter(|(_, (_, free))| size.fits_in(free));
        let (worker, _) = fits.min_by_key(|(_, (_, free))| {
            let left = free.minus(&size);
            (left.accelerators, left.processors_milli, left.memory_mib)
        })?;
        let mut pending = self.waiting.pop_front()?;
        pending.attempts += 1;
        self.workers[worker].1 = self.workers[worker].1.minus(&size);
        let position = self.find(&pending.job.id).unwrap_or_else(|position| position);
        self.running.insert(position, (pending.clone(), worker));
        Some((pending, self.workers[worker].0.clone()))
    }

    /// A task has ended.
    pub fn ended(&mut self, job: &JobId, end: TaskOutcome) -> Option<Disposition> {
        let position = self.find(job).ok()?;
        let (pending, worker) = self.running.remove(position);
        self.workers[worker].1 = self.workers[worker].1.plus(&pending.job.declared);
        if end == TaskOutcome::Succeeded {
            return Some(Disposition::Finished { pending, outcome: JobOutcome::Succeeded });
        }
        if pending.attempts >= pending.job.attempts_max {
            return Some(Disposition::Finished { pending, outcome: JobOutcome::Failed });
        }
        self.waiting.push_front(pending.clone());
        Some(Disposition::Requeued { pending })
    }

    /// Cancels waiting jobs; `jobs` is sorted.
    pub fn cancel(&mut self, jobs: &[JobId]) -> usize {
        let before = self.waiting.len();
        self.waiting.retain(|pending| jobs.binary_search(&pending.job.id).is_err());
        before - self.waiting.len()
    }

    fn find(&self, job: &JobId) -> Result<usize, usize> {
        self.running.binary_search_by(|(pending, _)| pending.job.id.cmp(job))
    }
}
