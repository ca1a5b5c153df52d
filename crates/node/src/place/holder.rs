//! Holder of one pool's placement: feeds the pool's state, stores its decisions, carries them out.
//!
//! The lease of a task is stored before its worker is asked to start it, and every write carries the
//! duty's precondition. A holder that was paused finds its writes refused by the table and its calls
//! refused by the workers, who have heard of the next epoch.

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

/// Time between decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time of a lease from its renewal.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time by which a worker's clock may be slower over one lease.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Time between tries of a take-over.
const TAKEOVER_RETRY: Duration = Duration::from_secs(1);
/// Tasks that one round places at most.
const PLACEMENTS_MAX: usize = 64;
/// Time between looks for the ends of tasks that another holder took over.
const HANDED_OVER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A job that this holder looks after.
struct JobEntry {
    stored: StoredJob,
    /// Worker and task, while it is leased.
    lease: Option<Lease>,
    /// True if it counts against the team's upper limit at this node.
    has_token: bool,
}

struct Lease {
    worker: HostId,
    task: TaskId,
    /// Number of the worker's start when the lease was stored.
    boot: u64,
}

/// A worker as this holder has heard it.
struct WorkerState {
    worker: HostId,
    address: SocketAddr,
    boot: u64,
    /// When the last call that it answered was sent.
    last_contact_at: Option<Instant>,
    /// Tasks whose ends are stored and that it may forget.
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
    /// Jobs whose letters are still in the inbox, sorted.
    received_jobs: Vec<JobId>,
    renewed_at: Option<Instant>,
}

/// Places the jobs of a pool for as long as this node holds its placement.
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
        renewed_at: None,
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
    /// True while this node may act on the duty that it was started with.
    fn is_held(&self) -> bool {
        let duty = self.shared.duty(&self.duty.name, Instant::now());
        duty.is_some_and(|duty| duty == self.duty)
    }

    /// One round; false if the duty is lost.
    async fn round(&mut self, inbox: &SharedInbox) -> bool {
        self.update_workers();
        let is_due = self.renewed_at.is_none_or(|at| at.elapsed() >= RENEW_INTERVAL);
        if is_due && self.needs_worker_calls() {
            self.renewed_at = Some(Instant::now());
            self.renew().await;
        }
        self.handle_inbox(inbox);
        self.send_commands().await;
        if self.store.has_capacity() {
            self.place();
        }
        self.flush().await
    }

    /// True if there are jobs, or workers that may forget some; otherwise no worker is called.
    fn needs_worker_calls(&self) -> bool {
        !self.entries.is_empty()
            || self.worker_states.iter().any(|state| !state.acknowledged.is_empty())
    }

    /// Brings the pool's workers up to date with the configuration and with what was heard.
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
                is_schedulable: host.state.takes_work() && state.is_fresh(now),
            });
            worker_states.push(state);
        }
        // A worker that left the pool is heard until its tasks have ended.
        let leased = |worker: &HostId| {
            self.entries.iter().filter_map(|e| e.lease.as_ref()).any(|l| l.worker == *worker)
        };
        worker_states.extend(
            std::mem::take(&mut self.worker_states).into_iter().filter(|h| leased(&h.worker)),
        );
        worker_states.sort_by(|a, b| a.worker.cmp(&b.worker));
        self.worker_states = worker_states;
        self.pool.set_workers(specs);
    }

    /// Takes in new jobs and cancellations.
    fn handle_inbox(&mut self, inbox: &SharedInbox) {
        let Some(inbox) = inbox.read().expect("lock is never poisoned").clone() else {
            return;
        };
        // An inbox from before the take-over may still hold jobs that have ended since.
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
                // Tried again when the letter is read next.
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

    /// Places what fits, and plans the leases to be stored.
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
            self.lease(placed);
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

    /// Keeps the tokens of tasks that go on under the next holder, until their rows say that they
    /// have ended.
    fn hand_over(self) {
        let shared = self.shared;
        let mut kept: Vec<Job> = self
            .entries
            .into_iter()
            .filter(|entry| entry.has_token)
            .map(|entry| entry.stored.job().clone())
            .collect();
        tokio::spawn(async move {
            while !kept.is_empty() {
                tokio::time::sleep(HANDED_OVER_POLL_INTERVAL).await;
                let mut running = Vec::new();
                for job in kept {
                    if store::may_run(&shared, &job.id).await {
                        running.push(job);
                    } else {
                        shared.limits.release(&LimitKey::Running(job.team.clone()));
                    }
                }
                kept = running;
            }
        });
    }
}

impl WorkerState {
    fn new(worker: HostId, address: SocketAddr) -> Self {
        Self { worker, address, boot: 0, last_contact_at: None, acknowledged: Vec::new() }
    }

    /// True while the worker answers often enough to be given tasks.
    fn is_fresh(&self, now: Instant) -> bool {
        self.last_contact_at
            .is_some_and(|at| now.saturating_duration_since(at) < LEASE_DURATION / 2)
    }
}
