//! Placement of the jobs of one pool: its workers, waiting jobs and running tasks.
//!
//! [`Pool`] is plain state. Its owner feeds it what happens and carries out what it decides; it does
//! no input or output and reads no clock. A decision looks at a few workers that [`FreeIndex`] finds,
//! so that its cost grows slower than the number of workers.

mod choose;
mod ends;
mod pressure;
mod urgent;

use std::time::Duration;
use std::time::Instant;

use model::HostId;
use model::RackId;
use model::TeamRef;
use model::ZoneId;

use crate::backlog::Backlog;
use crate::evidence::Evidence;
use crate::evidence::Trust;
use crate::growth::Growth;
use crate::harm::Losses;
use crate::index::FreeIndex;
use crate::index::WorkerIndex;
use crate::job::JobId;
use crate::job::KindId;
use crate::job::PendingJob;
use crate::learn::Peaks;
use crate::size::Size;
use crate::spread::RackIndex;
use crate::spread::Spread;
use crate::spread::ZoneIndex;

pub use ends::Cancelled;
pub use ends::Disposition;
pub use ends::JobOutcome;
pub use ends::TaskOutcome;
pub use pressure::Action;
pub use pressure::Usage;

/// Bounds of a pool's placement.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Jobs that wait at most.
    pub waiting_max: usize,
    /// Portion of the pool that urgent tasks may take before others, in percent.
    pub urgent_percent: u32,
    /// Time after which a job that fits nowhere gets a worker held for it.
    pub hold_after: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self { waiting_max: 20_000, urgent_percent: 30, hold_after: Duration::from_secs(20) }
    }
}

/// A worker as the configuration knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Host.
    pub id: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// What it has.
    pub capacity: Size,
    /// True if new tasks may be placed on it.
    pub is_schedulable: bool,
}

/// A task to be started.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The job, with the count of its attempts.
    pub pending: PendingJob,
    /// Worker.
    pub worker: HostId,
    /// Size that is reserved.
    pub size: Size,
}

/// The pool has as many waiting jobs as it may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many jobs wait for the pool")]
pub struct BacklogFull;

#[derive(Clone, Debug)]
struct Worker {
    spec: WorkerSpec,
    zone: ZoneIndex,
    rack: RackIndex,
    used: Size,
    tasks: Vec<JobId>,
    /// What was free when the worker was put into the index.
    indexed: Option<Size>,
}

impl Worker {
    fn free(&self) -> Size {
        self.spec.capacity.minus(&self.used)
    }
}

/// A running task.
#[derive(Clone, Debug)]
struct Task {
    pending: PendingJob,
    worker: WorkerIndex,
    reserved: Size,
    started_at: Instant,
    peak: Size,
    observed: Option<Size>,
    measured_at: Option<Instant>,
    winding: Option<pressure::Winding>,
    is_checkpointed: bool,
    is_cancelled: bool,
}

/// A worker that is kept for one job.
#[derive(Clone, Debug)]
struct Hold {
    job: JobId,
    team: TeamRef,
    worker: WorkerIndex,
    until: Instant,
}

/// Placement of one pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    settings: PoolSettings,
    /// Sorted by id; a worker that left keeps its place until it has no tasks.
    workers: Vec<Worker>,
    zones: Vec<ZoneId>,
    racks: Vec<RackId>,
    /// One for each zone.
    free: Vec<FreeIndex>,
    /// Sum over the workers that take work.
    whole: Size,
    backlog: Backlog,
    /// Sorted by job.
    #[expect(clippy::vec_box, reason = "an insertion moves pointers instead of whole tasks")]
    tasks: Vec<Box<Task>>,
    /// Sorted by kind.
    kinds: Vec<(KindId, Peaks)>,
    spread: Spread,
    evidence: Evidence,
    losses: Losses,
    holds: Vec<Hold>,
    no_hold_until: Option<Instant>,
    /// Sum of the running urgent tasks.
    urgent_running: Size,
    growth: Growth,
    actions: Vec<Action>,
    cursor: usize,
}

impl Pool {
    /// Pool without workers.
    pub fn new(settings: PoolSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over the configured workers; tasks keep running on a worker that takes no new ones.
    pub fn set_workers(&mut self, mut specs: Vec<WorkerSpec>) {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        let same = specs.len() == self.workers.len()
            && specs.iter().zip(&self.workers).all(|(spec, worker)| *spec == worker.spec);
        if same {
            return;
        }
        let before = std::mem::take(&mut self.workers);
        self.free.iter_mut().for_each(|index| *index = FreeIndex::default());
        self.holds.clear();
        self.workers = specs.into_iter().map(|spec| self.new_worker(spec)).collect();
        for old in before.into_iter().filter(|old| !old.tasks.is_empty()) {
            self.keep_tasks(old);
        }
        self.reindex_all();
    }

    /// Adds a job to those that wait.
    pub fn submit(&mut self, pending: PendingJob) -> Result<(), BacklogFull> {
        if self.backlog.len() >= self.settings.waiting_max {
            return Err(BacklogFull);
        }
        self.backlog.push(pending);
        Ok(())
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Tasks that run.
    pub fn running(&self) -> usize {
        self.tasks.len()
    }

    /// Jobs that run on a worker, sorted.
    pub fn tasks_on(&self, worker: &HostId) -> &[JobId] {
        self.find_worker(worker).map_or(&[], |index| &self.workers[index].tasks)
    }

    /// What each worker has free, sorted by worker.
    pub fn free(&self) -> Vec<(HostId, Size)> {
        self.workers.iter().map(|worker| (worker.spec.id.clone(), worker.free())).collect()
    }

    /// Size with which the next task of a kind would be placed.
    pub fn size_of(&self, kind: &KindId, declared: &Size) -> Size {
        match self.kinds.binary_search_by(|(other, _)| other.cmp(kind)) {
            Ok(index) => self.kinds[index].1.size(declared),
            Err(_) => *declared,
        }
    }

    /// How far a worker is trusted.
    pub fn trust(&self, worker: &HostId, now: Instant) -> Trust {
        self.evidence.trust(worker, now)
    }

    /// Takes in a task that runs already, for instance after a take-over.
    pub fn adopt(&mut self, pending: PendingJob, worker: &HostId, reserved: Size, now: Instant) {
        if let Some(index) = self.find_worker(worker) {
            self.start(pending, index, reserved, now);
        }
    }

    fn start(&mut self, pending: PendingJob, index: WorkerIndex, reserved: Size, now: Instant) {
        let job = &pending.job;
        let (zone, rack) = (self.workers[index].zone, self.workers[index].rack);
        self.spread.add(job, zone, rack);
        self.backlog.started(&job.team, &reserved);
        if job.class == crate::job::Class::Urgent {
            self.urgent_running = self.urgent_running.plus(&reserved);
        }
        let worker = &mut self.workers[index];
        worker.used = worker.used.plus(&reserved);
        if let Err(position) = worker.tasks.binary_search(&job.id) {
            worker.tasks.insert(position, job.id.clone());
        }
        self.reindex(index);
        let position = self.tasks.partition_point(|task| task.pending.job.id < job.id);
        let task = Task {
            pending,
            worker: index,
            reserved,
            started_at: now,
            peak: Size::default(),
            observed: None,
            measured_at: None,
            winding: None,
            is_checkpointed: false,
            is_cancelled: false,
        };
        self.tasks.insert(position, Box::new(task));
    }

    fn new_worker(&mut self, spec: WorkerSpec) -> Worker {
        let zone = position(&mut self.zones, &spec.zone);
        let rack = position(&mut self.racks, &spec.rack);
        self.free.resize(self.zones.len(), FreeIndex::default());
        Worker { spec, zone, rack, used: Size::default(), tasks: Vec::new(), indexed: None }
    }

    /// Moves the tasks of a worker over to its new entry, or keeps the worker until they end.
    fn keep_tasks(&mut self, mut old: Worker) {
        old.indexed = None;
        let found = self.workers.binary_search_by(|worker| worker.spec.id.cmp(&old.spec.id));
        match found {
            Ok(index) => {
                self.workers[index].used = old.used;
                self.workers[index].tasks = old.tasks;
            }
            Err(index) => {
                old.spec.is_schedulable = false;
                self.workers.insert(index, old);
            }
        }
    }

    /// Rebuilds everything that refers to workers by position.
    fn reindex_all(&mut self) {
        for index in 0..self.workers.len() {
            for job in self.workers[index].tasks.clone() {
                if let Some(task) = self.find_task(&job) {
                    self.tasks[task].worker = index;
                }
            }
            self.workers[index].indexed = None;
            self.reindex(index);
        }
        let taking = self.workers.iter().filter(|worker| worker.spec.is_schedulable);
        self.whole = taking.fold(Size::default(), |sum, w| sum.plus(&w.spec.capacity));
        self.growth.add_all();
    }

    /// Brings the index up to date with what a worker has free.
    fn reindex(&mut self, index: WorkerIndex) {
        let is_held = self.holds.iter().any(|hold| hold.worker == index);
        let worker = &mut self.workers[index];
        let free = worker.free();
        let wanted = (worker.spec.is_schedulable && !is_held).then_some(free);
        if wanted == worker.indexed {
            return;
        }
        let before = std::mem::replace(&mut worker.indexed, wanted);
        if let Some(before) = &before {
            self.free[worker.zone].remove(index, before);
        }
        if let Some(free) = &wanted {
            self.free[worker.zone].insert(index, free);
        }
        if let Some(free) = wanted
            && before.is_none_or(|before| !free.fits_in(&before))
        {
            self.growth.add(free);
        }
    }

    fn find_worker(&self, worker: &HostId) -> Option<WorkerIndex> {
        self.workers.binary_search_by(|other| other.spec.id.cmp(worker)).ok()
    }

    fn find_task(&self, job: &JobId) -> Option<usize> {
        self.tasks.binary_search_by(|task| task.pending.job.id.cmp(job)).ok()
    }

    fn peaks_mut(&mut self, kind: &KindId) -> &mut Peaks {
        let index = match self.kinds.binary_search_by(|(other, _)| other.cmp(kind)) {
            Ok(index) => index,
            Err(index) => {
                self.kinds.insert(index, (kind.clone(), Peaks::default()));
                index
            }
        };
        &mut self.kinds[index].1
    }
}

/// Position of a name in a list that only grows.
fn position<T: PartialEq + Clone>(names: &mut Vec<T>, name: &T) -> usize {
    if let Some(position) = names.iter().position(|other| other == name) {
        return position;
    }
    names.push(name.clone());
    names.len() - 1
}
