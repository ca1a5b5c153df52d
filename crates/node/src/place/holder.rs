//! Holder of one pool's placement: updates the pool's state, stores its decisions, and sends the
//! resulting commands to the workers.
//!
//! The lease of a task is stored before its worker is told to start it, and every write carries the
//! duty's precondition. After a takeover, the table rejects the writes of an earlier holder that
//! was paused, and the workers reject its calls, because they know the new epoch.

mod exchange;
mod store;
mod takeover;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use duties::Duty;
use gateway::NodeContext;
use limits::LimitKey;
use model::HostId;
use model::PoolId;
use placement::Job;
use placement::JobId;
use placement::Pool;
use placement::PoolSettings;
use placement::Size;
use placement::WorkerSpec;
use placement::task::TaskId;

use crate::place::SharedInbox;
use crate::place::holder::store::Store;
use crate::place::rows::InboxMessage;
use crate::place::rows::StoredJob;
use crate::place::rows::decode_message;
use crate::place::workers::Workers;
use crate::shared::Shared;

/// Time between rounds of decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between renewals of the leases.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a task's lease after its renewal.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time by which a worker's clock may lag over the duration of one lease.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time between attempts of a takeover.
const TAKEOVER_RETRY: Duration = Duration::from_secs(1);
/// Maximum number of tasks that are placed in one round.
const PLACEMENTS_MAX: usize = 64;
/// Time between checks whether tasks that a successor took over have ended.
const HANDED_OVER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A live job of the pool.
struct JobEntry {
    stored: StoredJob,
    /// Current lease of the job; `None` while it waits.
    lease: Option<Lease>,
    /// True if the job uses a token of its team's limit at this node.
    has_token: bool,
}

/// Lease of a task by a worker.
struct Lease {
    worker: HostId,
    task: TaskId,
    /// Boot number of the worker when the lease was planned; a different number in a later report
    /// shows that the worker has restarted.
    boot: u64,
}

/// State of a worker as its replies have shown it.
struct WorkerState {
    worker: HostId,
    address: SocketAddr,
    /// Last boot number that the worker reported; 0 before the first report.
    boot: u64,
    /// When the last call that the worker replied to was sent.
    last_contact_at: Option<Instant>,
    /// Tasks whose outcomes are stored, so that the worker may forget them.
    acknowledged: Vec<TaskId>,
}

/// Holder of one pool's placement.
struct Holder {
    shared: Arc<Shared>,
    workers: Arc<dyn Workers>,
    pool_name: PoolId,
    duty: Duty,
    pool: Pool,
    /// Sorted by job.
    entries: Vec<JobEntry>,
    /// Sorted by worker.
    worker_states: Vec<WorkerState>,
    store: Store,
    took_over_at: Instant,
    /// Jobs that were received and whose messages are still in the inbox, sorted.
    received_jobs: Vec<JobId>,
    last_renewal_at: Option<Instant>,
}

/// Places the jobs of a pool, as long as this node holds the placement duty.
pub async fn run(
    shared: Arc<Shared>,
    workers: Arc<dyn Workers>,
    pool_name: PoolId,
    duty: Duty,
    inbox: SharedInbox,
) {
    let mut holder = Holder {
        shared,
        workers,
        pool_name,
        duty,
        pool: Pool::new(PoolSettings::default()),
        entries: Vec::new(),
        worker_states: Vec::new(),
        store: Store::default(),
        took_over_at: Instant::now(),
        received_jobs: Vec::new(),
        last_renewal_at: None,
    };
    while holder.is_held() && !holder.take_over().await {
        tokio::time::sleep(TAKEOVER_RETRY).await;
    }
    while holder.is_held() && holder.round(&inbox).await {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    holder.hand_over();
}

impl Holder {
    /// Returns true while this node holds the duty in the epoch that the holder was started with.
    fn is_held(&self) -> bool {
        let duty = self.shared.duty(&self.duty.name, Instant::now());
        duty.is_some_and(|duty| duty == self.duty)
    }

    /// Runs one round of decisions. Returns false if the duty is lost.
    async fn round(&mut self, inbox: &SharedInbox) -> bool {
        self.update_workers();
        let is_due = self.last_renewal_at.is_none_or(|at| at.elapsed() >= RENEW_INTERVAL);
        if is_due && self.needs_worker_calls() {
            self.last_renewal_at = Some(Instant::now());
            self.renew().await;
        }
        self.handle_inbox(inbox);
        self.send_commands().await;
        if self.store.is_settled() {
            self.place();
        }
        self.flush().await
    }

    /// Returns true if there are jobs, or tasks to acknowledge. Otherwise no worker is called.
    fn needs_worker_calls(&self) -> bool {
        !self.entries.is_empty()
            || self.worker_states.iter().any(|state| !state.acknowledged.is_empty())
    }

    /// Updates the pool's workers from the configuration and from their last contacts.
    fn update_workers(&mut self) {
        let config = self.shared.config();
        let now = Instant::now();
        let in_pool = config.hosts.iter().filter(|host| host.spec.pool == self.pool_name);
        let mut worker_states = Vec::new();
        let mut specs = Vec::new();
        for host in in_pool {
            let previous = self.worker_states.iter().position(|state| state.worker == *host.id());
            let mut state = match previous {
                Some(index) => self.worker_states.swap_remove(index),
                None => WorkerState::new(host.id().clone(), host.spec.address),
            };
            state.address = host.spec.address;
            specs.push(WorkerSpec {
                id: host.id().clone(),
                zone: host.spec.zone.clone(),
                rack: host.spec.rack.clone(),
                capacity: Size::of_cores(
                    host.spec.processors,
                    host.spec.memory_mib,
                    host.spec.accelerators,
                ),
                is_schedulable: host.state.is_schedulable() && state.is_fresh(now),
            });
            worker_states.push(state);
        }
        // A worker that has left the pool is called until its tasks have ended.
        let has_leases = |worker: &HostId| {
            self.entries.iter().filter_map(|e| e.lease.as_ref()).any(|l| l.worker == *worker)
        };
        worker_states.extend(
            std::mem::take(&mut self.worker_states)
                .into_iter()
                .filter(|state| has_leases(&state.worker)),
        );
        worker_states.sort_by(|a, b| a.worker.cmp(&b.worker));
        self.worker_states = worker_states;
        self.pool.set_workers(specs);
    }

    /// Handles the new jobs and cancellations in the inbox.
    fn handle_inbox(&mut self, inbox: &SharedInbox) {
        let Some(inbox) = inbox.read().expect("lock is never poisoned").clone() else {
            return;
        };
        // An inbox that was read before the takeover may contain jobs that have finished since.
        if inbox.read_at <= self.took_over_at {
            return;
        }
        let messages: Vec<InboxMessage> =
            inbox.rows.iter().filter_map(|row| decode_message(row, &self.pool_name)).collect();
        let is_in_inbox = |job: &JobId| {
            messages
                .iter()
                .any(|message| matches!(message, InboxMessage::New(s) if s.job().id == *job))
        };
        self.received_jobs.retain(is_in_inbox);
        let mut cancelled = Vec::new();
        for message in messages {
            match message {
                InboxMessage::New(stored) => self.handle_submission(*stored),
                InboxMessage::Cancel(job) => cancelled.push(job),
            }
        }
        if !cancelled.is_empty() {
            self.handle_cancellations(cancelled);
        }
    }

    fn handle_submission(&mut self, stored: StoredJob) {
        let job = stored.job().id.clone();
        let Err(position) = self.received_jobs.binary_search(&job) else {
            return;
        };
        self.received_jobs.insert(position, job.clone());
        self.store.remove_submission(&job);
        if let Err(position) = self.find(&job) {
            let Some(pending) = takeover::to_pending_job(&stored) else {
                return;
            };
            if self.pool.submit(pending).is_ok() {
                self.entries.insert(position, JobEntry { stored, lease: None, has_token: false });
            } else {
                // The submission is retried when the message is read again.
                self.received_jobs.retain(|other| *other != job);
            }
        }
    }

    fn handle_cancellations(&mut self, jobs: Vec<JobId>) {
        for job in &jobs {
            self.store.remove_cancellation(job);
        }
        let cancelled = self.pool.cancel(jobs, Instant::now());
        for pending in cancelled.waiting {
            self.finish_job(&pending, placement::JobOutcome::Cancelled);
        }
    }

    /// Places waiting jobs that fit on a worker, and plans the writes of their leases.
    fn place(&mut self) {
        for _ in 0..PLACEMENTS_MAX {
            let limits = &self.shared.limits;
            let placed = self.pool.place_next(Instant::now(), |team| {
                let key = LimitKey::Running(team.clone());
                limits.get(&key).is_some_and(|allocation| allocation.spare() > 0)
            });
            let Some(placed) = placed else {
                return;
            };
            let job = &placed.pending.job;
            if !limits.try_acquire(&LimitKey::Running(job.team.clone())) {
                self.pool.requeue_unstarted(&job.id.clone());
                return;
            }
            self.plan_lease(placed);
        }
    }

    fn find(&self, job: &JobId) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.stored.job().id.cmp(job))
    }

    fn find_worker(&self, worker: &HostId) -> Option<usize> {
        self.worker_states.binary_search_by(|state| state.worker.cmp(worker)).ok()
    }

    fn release_token(&self, job: &Job) {
        self.shared.limits.release(&LimitKey::Running(job.team.clone()));
    }

    /// Keeps the tokens of tasks that continue under the next holder, until their rows show that
    /// they have ended.
    fn hand_over(self) {
        let shared = self.shared;
        let mut remaining: Vec<Job> = self
            .entries
            .into_iter()
            .filter(|entry| entry.has_token)
            .map(|entry| entry.stored.job().clone())
            .collect();
        tokio::spawn(async move {
            while !remaining.is_empty() {
                tokio::time::sleep(HANDED_OVER_POLL_INTERVAL).await;
                let mut running = Vec::new();
                for job in remaining {
                    if store::may_run(&shared, &job.id).await {
                        running.push(job);
                    } else {
                        shared.limits.release(&LimitKey::Running(job.team.clone()));
                    }
                }
                remaining = running;
            }
        });
    }
}

impl WorkerState {
    fn new(worker: HostId, address: SocketAddr) -> Self {
        Self { worker, address, boot: 0, last_contact_at: None, acknowledged: Vec::new() }
    }

    /// Returns true if the last contact is recent enough for the worker to get new tasks.
    fn is_fresh(&self, now: Instant) -> bool {
        self.last_contact_at
            .is_some_and(|at| now.saturating_duration_since(at) < LEASE_DURATION / 2)
    }
}
