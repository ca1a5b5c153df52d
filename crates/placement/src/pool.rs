//! Placement in one pool: its workers, waiting jobs and running tasks.
//!
//! [`Pool`] is plain state without input, output or clock. The code that uses it reports events and
//! carries out its decisions. A decision examines only a few workers, which [`FreeIndex`] finds, so
//! that its cost grows more slowly than the number of workers.

mod choose;
mod holds;
mod outcomes;
mod pressure;

use std::time::Duration;
use std::time::Instant;

use model::HostId;
use model::RackId;
use model::TeamRef;
use model::ZoneId;

use crate::backlog::Backlog;
use crate::failure_history::FailureHistory;
use crate::failure_history::Trust;
use crate::growth::CapacityGrowth;
use crate::index::FreeIndex;
use crate::index::WorkerIndex;
use crate::job::JobId;
use crate::job::KindId;
use crate::job::PendingJob;
use crate::losses::WorkerLosses;
use crate::peaks::PeakHistory;
use crate::size::Size;
use crate::spread::RackIndex;
use crate::spread::Spread;
use crate::spread::ZoneIndex;

pub use outcomes::Cancelled;
pub use outcomes::Disposition;
pub use outcomes::JobOutcome;
pub use outcomes::TaskOutcome;
pub use pressure::Action;
pub use pressure::Usage;

/// Settings of a pool's placement.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Maximum number of waiting jobs.
    pub waiting_max: usize,
    /// Percentage of the pool up to which urgent jobs take precedence over others.
    pub urgent_percent: u32,
    /// Time after which a worker is held for a normal job that fits on no worker.
    pub hold_after: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self { waiting_max: 20_000, urgent_percent: 30, hold_after: Duration::from_secs(20) }
    }
}

/// A configured worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Id of its host.
    pub id: HostId,
    /// Availability zone of its host.
    pub zone: ZoneId,
    /// Rack of its host.
    pub rack: RackId,
    /// Its total capacity.
    pub capacity: Size,
    /// True if new tasks may be placed on it.
    pub is_schedulable: bool,
}

/// A decision to start a task.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The job; its counts include the new attempt.
    pub pending: PendingJob,
    /// The worker that is to run the task.
    pub worker: HostId,
    /// Capacity that is reserved on the worker.
    pub size: Size,
}

/// The pool has reached [`PoolSettings::waiting_max`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many jobs wait for the pool")]
pub struct BacklogFull;

#[derive(Clone, Debug)]
struct Worker {
    spec: WorkerSpec,
    zone: ZoneIndex,
    rack: RackIndex,
    /// Sum of the reservations of its tasks.
    used: Size,
    /// Jobs of its running tasks, sorted.
    tasks: Vec<JobId>,
    /// Free capacity under which it is in the index; `None` if it isn't there.
    indexed: Option<Size>,
}

impl Worker {
    fn free(&self) -> Size {
        self.spec.capacity.minus(&self.used)
    }
}

/// A running task.
#[derive(Clone, Debug)]
struct RunningTask {
    pending: PendingJob,
    worker: WorkerIndex,
    reserved: Size,
    started_at: Instant,
    /// Highest reported usage of each resource.
    peak: Size,
    last_usage: Option<Size>,
    /// Time at which `last_usage` was measured.
    measured_at: Option<Instant>,
    /// Set while the task is being slowed down or stopped.
    escalation: Option<pressure::Escalation>,
    /// True once a checkpoint was stored.
    is_checkpointed: bool,
    /// True once the caller has cancelled the job.
    is_cancelled: bool,
}

/// A worker that is held for one job: other jobs are not placed on it.
#[derive(Clone, Debug)]
struct Hold {
    job: JobId,
    team: TeamRef,
    worker: WorkerIndex,
    /// Time at which the hold expires.
    until: Instant,
}

/// State of the placement in one pool.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    settings: PoolSettings,
    /// Sorted by id. A worker that was removed from the configuration stays until its tasks have
    /// ended.
    workers: Vec<Worker>,
    /// Zones of all workers so far; a zone keeps its position.
    zones: Vec<ZoneId>,
    /// Racks of all workers so far; a rack keeps its position.
    racks: Vec<RackId>,
    /// Schedulable workers without a hold by free capacity; one index for each zone.
    free_index: Vec<FreeIndex>,
    /// Sum of the capacities of the schedulable workers.
    total_capacity: Size,
    backlog: Backlog,
    /// Sorted by job.
    #[expect(clippy::vec_box, reason = "an insertion moves pointers instead of whole tasks")]
    tasks: Vec<Box<RunningTask>>,
    /// Sorted by kind.
    kinds: Vec<(KindId, PeakHistory)>,
    spread: Spread,
    failure_history: FailureHistory,
    losses: WorkerLosses,
    holds: Vec<Hold>,
    /// Time before which no further hold is tried, after no suitable worker was found.
    no_hold_until: Option<Instant>,
    /// Sum of the reservations of the running urgent tasks.
    urgent_running: Size,
    growth: CapacityGrowth,
    /// Actions that were decided and not yet returned.
    actions: Vec<Action>,
    /// Position of the worker at which the next search for a hold starts.
    next_examined: usize,
}

impl Pool {
    /// Creates a pool without workers.
    pub fn new(settings: PoolSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Sets the configured workers; running tasks stay on workers that are removed or not
    /// schedulable.
    pub fn set_workers(&mut self, mut specs: Vec<WorkerSpec>) {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        let is_unchanged = specs.len() == self.workers.len()
            && specs.iter().zip(&self.workers).all(|(spec, worker)| *spec == worker.spec);
        if is_unchanged {
            return;
        }
        let previous = std::mem::take(&mut self.workers);
        self.free_index.iter_mut().for_each(|index| *index = FreeIndex::default());
        self.holds.clear();
        self.workers = specs.into_iter().map(|spec| self.new_worker(spec)).collect();
        for old in previous.into_iter().filter(|old| !old.tasks.is_empty()) {
            self.carry_over_tasks(old);
        }
        self.reindex_all();
    }

    /// Adds a waiting job.
    pub fn submit(&mut self, pending: PendingJob) -> Result<(), BacklogFull> {
        if self.backlog.len() >= self.settings.waiting_max {
            return Err(BacklogFull);
        }
        self.backlog.push(pending);
        Ok(())
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the jobs that run on a worker, sorted.
    pub fn tasks_on(&self, worker: &HostId) -> &[JobId] {
        self.find_worker(worker).map_or(&[], |index| &self.workers[index].tasks)
    }

    /// Returns the free capacity of each worker, sorted by worker.
    pub fn free(&self) -> Vec<(HostId, Size)> {
        self.workers.iter().map(|worker| (worker.spec.id.clone(), worker.free())).collect()
    }

    /// Returns the size with which the next task of a kind would be placed.
    pub fn expected_size(&self, kind: &KindId, declared: &Size) -> Size {
        match self.kinds.binary_search_by(|(other, _)| other.cmp(kind)) {
            Ok(index) => self.kinds[index].1.expected_size(declared),
            Err(_) => *declared,
        }
    }

    /// Returns the trust in a worker.
    pub fn trust(&self, worker: &HostId, now: Instant) -> Trust {
        self.failure_history.trust(worker, now)
    }

    /// Adds a task that is already running, for instance after a takeover of the placement.
    pub fn adopt(&mut self, pending: PendingJob, worker: &HostId, reserved: Size, now: Instant) {
        if let Some(index) = self.find_worker(worker) {
            self.start(pending, index, reserved, now);
        }
    }

    /// Adds a running task and reserves its capacity.
    fn start(&mut self, pending: PendingJob, index: WorkerIndex, reserved: Size, now: Instant) {
        let job = &pending.job;
        let (zone, rack) = (self.workers[index].zone, self.workers[index].rack);
        self.spread.add(job, zone, rack);
        self.backlog.record_start(&job.team, &reserved);
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
        let task = RunningTask {
            pending,
            worker: index,
            reserved,
            started_at: now,
            peak: Size::default(),
            last_usage: None,
            measured_at: None,
            escalation: None,
            is_checkpointed: false,
            is_cancelled: false,
        };
        self.tasks.insert(position, Box::new(task));
    }

    fn new_worker(&mut self, spec: WorkerSpec) -> Worker {
        let zone = intern(&mut self.zones, &spec.zone);
        let rack = intern(&mut self.racks, &spec.rack);
        self.free_index.resize(self.zones.len(), FreeIndex::default());
        Worker { spec, zone, rack, used: Size::default(), tasks: Vec::new(), indexed: None }
    }

    /// Moves the tasks of a worker to its new entry, or keeps a removed worker until they end.
    fn carry_over_tasks(&mut self, mut old: Worker) {
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

    /// Updates all positions of workers and everything that is derived from the list of workers.
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
        let schedulable = self.workers.iter().filter(|worker| worker.spec.is_schedulable);
        self.total_capacity =
            schedulable.fold(Size::default(), |sum, w| sum.plus(&w.spec.capacity));
        self.growth.invalidate_all();
    }

    /// Updates the index after a change of a worker, and records a growth of its free capacity.
    fn reindex(&mut self, index: WorkerIndex) {
        let is_held = self.holds.iter().any(|hold| hold.worker == index);
        let worker = &mut self.workers[index];
        let free = worker.free();
        let new_indexed = (worker.spec.is_schedulable && !is_held).then_some(free);
        if new_indexed == worker.indexed {
            return;
        }
        let previous = std::mem::replace(&mut worker.indexed, new_indexed);
        if let Some(previous) = &previous {
            self.free_index[worker.zone].remove(index, previous);
        }
        if let Some(free) = &new_indexed {
            self.free_index[worker.zone].insert(index, free);
        }
        if let Some(free) = new_indexed
            && previous.is_none_or(|previous| !free.fits_in(&previous))
        {
            self.growth.record(free);
        }
    }

    fn find_worker(&self, worker: &HostId) -> Option<WorkerIndex> {
        self.workers.binary_search_by(|other| other.spec.id.cmp(worker)).ok()
    }

    fn find_task(&self, job: &JobId) -> Option<usize> {
        self.tasks.binary_search_by(|task| task.pending.job.id.cmp(job)).ok()
    }

    fn peak_history_mut(&mut self, kind: &KindId) -> &mut PeakHistory {
        let index = match self.kinds.binary_search_by(|(other, _)| other.cmp(kind)) {
            Ok(index) => index,
            Err(index) => {
                self.kinds.insert(index, (kind.clone(), PeakHistory::default()));
                index
            }
        };
        &mut self.kinds[index].1
    }
}

/// Returns the position of a name in a list, to which it is appended if it is new.
fn intern<T: PartialEq + Clone>(names: &mut Vec<T>, name: &T) -> usize {
    if let Some(position) = names.iter().position(|other| other == name) {
        return position;
    }
    names.push(name.clone());
    names.len() - 1
}
