//! Wait queues. Each queue of the configuration has one, which starts the waiting requests
//! according to the fair shares of their teams.
//!
//! Every request passes through its wait queue, even if a slot is free immediately, so that the
//! wait queue accounts for everything that a team gets. Lock order: [`WaitQueues::grant_rng`], the
//! state of a wait queue, then the limit table and the health of backend servers. Tokens are never
//! dropped while one of these locks is held, because a drop acquires the locks again.

mod handle;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use limits::LimitKey;
use limits::LimitTable;
use model::HostId;
use model::QueueId;
use model::TeamRef;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shares::Entry;
use shares::FairQueue;
use shares::PeerCounts;
use shares::Refused;
use shares::TeamCounts;
use shares::Ticket;
use tokio::sync::oneshot;

use crate::backends::Backend;
use crate::backends::ServiceBackends;
use crate::in_doubt::InDoubtRequests;
use crate::tokens::HeldTokens;
use crate::tokens::StartedEntry;

pub use handle::WaitHandle;

/// Maximum percentage of starts in which urgent requests take precedence over others.
const URGENT_PERCENT: u32 = 20;

/// Limits of a wait queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitQueueLimits {
    /// Maximum number of waiting requests.
    pub waiting_max: u32,
    /// Maximum time that a request waits.
    pub wait_max: Duration,
}

/// Number of waiting requests of one team in one queue at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingCount {
    /// Queue in which the requests wait.
    pub queue: QueueId,
    /// Team that sent the requests.
    pub team: TeamRef,
    /// Number of requests, at least one.
    pub count: u32,
}

/// Running and waiting requests, and the slot time used so far, of each team in one queue at this
/// node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueShares {
    /// Queue that the counts refer to.
    pub queue: QueueId,
    /// Counts of each team, sorted by team.
    pub teams: Vec<TeamCounts>,
}

/// Reason why a waiting request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitError {
    /// It waited for the maximum time or until its deadline.
    Expired,
    /// The full queue dropped it in favour of a team with fewer requests.
    Dropped,
    /// The team has reached its limit of running requests.
    TeamLimit,
    /// The configuration no longer has the queue.
    Removed,
}

/// Reason why a request was not added to a wait queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EnqueueError {
    /// The queue is full, or the deadline cannot be met.
    Refused(Refused),
    /// The configuration no longer has the queue.
    Removed,
}

/// Waiting requests of one queue, and the backend servers that they can run on.
pub struct WaitQueue {
    /// Queue of the configuration.
    pub queue: QueueId,
    /// Maximum length and waiting time.
    pub queue_limits: WaitQueueLimits,
    service: RwLock<Arc<ServiceBackends>>,
    state: Mutex<WaitQueueState>,
}

struct WaitQueueState {
    fair: FairQueue,
    /// Waiting requests, sorted by ticket.
    waiters: Vec<Waiter>,
}

struct Waiter {
    ticket: Ticket,
    team_limit: LimitKey,
    granted: oneshot::Sender<Result<HeldTokens, WaitError>>,
}

/// All wait queues of a node, and what they need to start a request.
pub struct WaitQueues {
    /// Limits from which the tokens of requests are taken.
    pub limits: Arc<LimitTable>,
    /// Requests whose tokens are in doubt.
    pub in_doubt: Arc<InDoubtRequests>,
    wait_queues: RwLock<Vec<Arc<WaitQueue>>>,
    waiting: AtomicUsize,
    /// Random generator for the choice of backend servers. Locked while tokens are granted.
    grant_rng: Mutex<SmallRng>,
}

impl WaitQueue {
    /// Creates an empty wait queue for requests to `service`.
    pub fn new(
        queue: QueueId,
        queue_limits: WaitQueueLimits,
        service: Arc<ServiceBackends>,
    ) -> Self {
        let settings = shares::Settings {
            waiting_max: queue_limits.waiting_max as usize,
            wait_max: queue_limits.wait_max,
            urgent_percent: URGENT_PERCENT,
        };
        let state = WaitQueueState { fair: FairQueue::new(settings), waiters: Vec::new() };
        Self { queue, queue_limits, service: RwLock::new(service), state: Mutex::new(state) }
    }

    /// Returns the backend servers of the queue's service.
    pub fn service(&self) -> Arc<ServiceBackends> {
        self.service.read().expect("lock is never poisoned").clone()
    }

    /// Replaces the backend servers of the queue's service.
    pub fn set_service(&self, service: Arc<ServiceBackends>) {
        *self.service.write().expect("lock is never poisoned") = service;
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lock().waiters.len()
    }

    /// Records that a started request has ended, or that its tokens are in doubt.
    pub fn finish(&self, ticket: Ticket, now: Instant) {
        self.lock().fair.finish(ticket, now);
    }

    fn lock(&self) -> MutexGuard<'_, WaitQueueState> {
        self.state.lock().expect("lock is never poisoned")
    }
}

impl Waiter {
    fn refuse(self, error: WaitError) {
        // Sending fails only if the caller has disconnected.
        let _ = self.granted.send(Err(error));
    }
}

impl WaitQueueState {
    fn remove_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        let index = self.waiters.binary_search_by_key(&ticket, |waiter| waiter.ticket).ok()?;
        Some(self.waiters.remove(index))
    }
}

impl WaitQueues {
    /// Creates the set without any wait queue.
    pub fn new(limits: Arc<LimitTable>, in_doubt: Arc<InDoubtRequests>) -> Self {
        Self {
            limits,
            in_doubt,
            wait_queues: RwLock::default(),
            waiting: AtomicUsize::new(0),
            grant_rng: Mutex::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Replaces the wait queues; `next` is sorted by queue. A wait queue that was replaced by one
    /// with other limits is kept while requests wait in it, and they start on the present backend
    /// servers. Requests to a queue that no longer exists are refused.
    pub fn set_wait_queues(&self, next: Vec<Arc<WaitQueue>>) {
        let mut wait_queues = self.wait_queues.write().expect("lock is never poisoned");
        let mut kept = Vec::new();
        for wait_queue in wait_queues.iter().filter(|wait_queue| wait_queue.waiting() > 0) {
            match next.binary_search_by(|other| other.queue.cmp(&wait_queue.queue)) {
                Ok(index) if Arc::ptr_eq(&next[index], wait_queue) => {}
                Ok(index) => {
                    wait_queue.set_service(next[index].service());
                    kept.push(wait_queue.clone());
                }
                Err(_) => self.refuse_waiting(wait_queue),
            }
        }
        *wait_queues = next;
        wait_queues.extend(kept);
        // The sort is stable, so the present queue of each name comes first.
        wait_queues.sort_by(|a, b| a.queue.cmp(&b.queue));
    }

    /// Returns the number of waiting requests in all wait queues.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Returns the numbers of waiting requests, sorted by queue and team.
    pub fn waiting_by_team(&self) -> Vec<WaitingCount> {
        let mut counts: Vec<WaitingCount> = Vec::new();
        for wait_queue in self.wait_queues.read().expect("lock is never poisoned").iter() {
            for waiter in &wait_queue.lock().waiters {
                count_waiter(&mut counts, &wait_queue.queue, &waiter.team_limit);
            }
        }
        counts
    }

    /// Returns the counts of each team in each queue.
    pub fn shares(&self, now: Instant) -> Vec<QueueShares> {
        let wait_queues = self.wait_queues.read().expect("lock is never poisoned").clone();
        let shares = wait_queues.iter().map(|wait_queue| QueueShares {
            queue: wait_queue.queue.clone(),
            teams: wait_queue.lock().fair.counts(now),
        });
        shares.collect()
    }

    /// Passes the counts of the other nodes to the wait queues of `queue`.
    pub fn observe_peers(&self, queue: &QueueId, counts: &[PeerCounts], now: Instant) {
        let wait_queues = self.wait_queues.read().expect("lock is never poisoned").clone();
        for wait_queue in wait_queues.iter().filter(|wait_queue| wait_queue.queue == *queue) {
            wait_queue.lock().fair.observe_peers(counts, now);
        }
    }

    /// Adds a request to the wait queue of `queue`, or refuses it.
    pub fn enqueue(
        self: &Arc<Self>,
        queue: &QueueId,
        entry: Entry,
        now: Instant,
    ) -> Result<WaitHandle, EnqueueError> {
        let team_limit = LimitKey::Running(entry.team.clone());
        let (sender, granted) = oneshot::channel();
        let (wait_queue, pushed, expired) = {
            // Held until the request waits, so that a queue that is replaced now is kept.
            let wait_queues = self.wait_queues.read().expect("lock is never poisoned");
            let index = wait_queues.partition_point(|other| other.queue < *queue);
            let wait_queue = wait_queues.get(index).filter(|other| other.queue == *queue);
            let wait_queue = wait_queue.ok_or(EnqueueError::Removed)?.clone();
            let mut state = wait_queue.lock();
            // Entries that have waited too long must not make the queue full.
            let expired = self.expire(&mut state, now);
            let pushed = state.fair.push(entry, now);
            if let Ok(ticket) = pushed {
                let waiter = Waiter { ticket, team_limit: team_limit.clone(), granted: sender };
                state.waiters.push(waiter);
                self.waiting.fetch_add(1, Ordering::SeqCst);
            }
            drop(state);
            (wait_queue, pushed, expired)
        };
        for waiter in expired {
            waiter.refuse(WaitError::Expired);
        }
        let ticket = pushed.map_err(EnqueueError::Refused)?;
        // Comes before the entries expire again, so that a queue in which requests may not wait
        // starts those that find a slot.
        self.grant_waiting(&wait_queue, now);
        let removed = self.expire(&mut wait_queue.lock(), now);
        for waiter in removed {
            let is_own = waiter.ticket == ticket;
            waiter.refuse(if is_own { WaitError::Expired } else { WaitError::Dropped });
        }
        Ok(WaitHandle {
            wait_queues: self.clone(),
            wait_queue,
            ticket,
            team_limit,
            granted,
            error: None,
        })
    }

    /// Grants tokens to all requests that can start, in all wait queues.
    pub fn grant_all(self: &Arc<Self>, now: Instant) {
        if self.waiting() == 0 {
            return;
        }
        let wait_queues = self.wait_queues.read().expect("lock is never poisoned").clone();
        for wait_queue in wait_queues.iter().filter(|wait_queue| wait_queue.waiting() > 0) {
            self.grant_waiting(wait_queue, now);
        }
    }

    /// Replaces the slot in `held` by one on a host that is not in `excluded_hosts`; returns false
    /// if none is spare.
    pub fn move_slot(
        &self,
        held: &mut HeldTokens,
        service: &ServiceBackends,
        excluded_hosts: &[HostId],
        now: Instant,
    ) -> bool {
        let Some(backend) = self.try_acquire_slot(service, excluded_hosts, now) else {
            return false;
        };
        held.switch_backend(backend);
        true
    }

    /// Takes tokens for a retry of a request without waiting, on a host that is not in
    /// `excluded_hosts`.
    pub fn try_acquire_for_retry(
        self: &Arc<Self>,
        service: &ServiceBackends,
        team_limit: &LimitKey,
        excluded_hosts: &[HostId],
        now: Instant,
    ) -> Option<HeldTokens> {
        if !self.limits.try_acquire(team_limit) {
            return None;
        }
        let Some(backend) = self.try_acquire_slot(service, excluded_hosts, now) else {
            self.limits.release(team_limit);
            return None;
        };
        Some(HeldTokens::new(self.clone(), None, team_limit.clone(), backend))
    }

    fn try_acquire_slot(
        &self,
        service: &ServiceBackends,
        excluded_hosts: &[HostId],
        now: Instant,
    ) -> Option<Arc<Backend>> {
        let mut rng = self.grant_rng.lock().expect("lock is never poisoned");
        self.try_acquire_slot_with(&mut rng, service, excluded_hosts, now)
    }

    fn try_acquire_slot_with(
        &self,
        rng: &mut SmallRng,
        service: &ServiceBackends,
        excluded_hosts: &[HostId],
        now: Instant,
    ) -> Option<Arc<Backend>> {
        let backend = service.choose(&self.limits, rng, excluded_hosts, now)?;
        self.limits.try_acquire(&backend.slots).then(|| backend.clone())
    }

    fn grant_waiting(self: &Arc<Self>, wait_queue: &Arc<WaitQueue>, now: Instant) {
        let mut grants = Vec::new();
        {
            let mut rng = self.grant_rng.lock().expect("lock is never poisoned");
            let mut state = wait_queue.lock();
            let service = wait_queue.service();
            while let Some(grant) = self.next_grant(&mut rng, wait_queue, &mut state, &service, now)
            {
                grants.push(grant);
            }
        }
        for (waiter, grant) in grants {
            // If the caller has disconnected, the tokens are returned by `send` and released here.
            drop(waiter.granted.send(grant));
        }
    }

    fn next_grant(
        self: &Arc<Self>,
        rng: &mut SmallRng,
        wait_queue: &Arc<WaitQueue>,
        state: &mut WaitQueueState,
        service: &ServiceBackends,
        now: Instant,
    ) -> Option<(Waiter, Result<HeldTokens, WaitError>)> {
        if state.waiters.is_empty() {
            return None;
        }
        let backend = self.try_acquire_slot_with(rng, service, &[], now)?;
        let may_run = |team: &TeamRef| {
            let team_limit = LimitKey::Running(team.clone());
            self.limits.get(&team_limit).is_some_and(|allocation| allocation.spare() > 0)
        };
        let popped = state.fair.pop(now, may_run);
        let Some(waiter) = popped.and_then(|ticket| state.remove_waiter(ticket)) else {
            self.limits.release(&backend.slots);
            return None;
        };
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        // The ledger may have withdrawn the team's token since `may_run` saw it.
        if !self.limits.try_acquire(&waiter.team_limit) {
            self.limits.release(&backend.slots);
            state.fair.finish(waiter.ticket, now);
            return Some((waiter, Err(WaitError::TeamLimit)));
        }
        let started_entry = StartedEntry { wait_queue: wait_queue.clone(), ticket: waiter.ticket };
        let held =
            HeldTokens::new(self.clone(), Some(started_entry), waiter.team_limit.clone(), backend);
        Some((waiter, Ok(held)))
    }

    fn expire(&self, state: &mut WaitQueueState, now: Instant) -> Vec<Waiter> {
        let tickets = state.fair.expire(now);
        let expired: Vec<Waiter> =
            tickets.into_iter().filter_map(|ticket| state.remove_waiter(ticket)).collect();
        self.waiting.fetch_sub(expired.len(), Ordering::SeqCst);
        expired
    }

    /// Refuses all waiting requests of a queue that was removed.
    fn refuse_waiting(&self, wait_queue: &WaitQueue) {
        let waiters = {
            let mut state = wait_queue.lock();
            let waiters = std::mem::take(&mut state.waiters);
            for waiter in &waiters {
                state.fair.remove(waiter.ticket);
            }
            waiters
        };
        self.waiting.fetch_sub(waiters.len(), Ordering::SeqCst);
        for waiter in waiters {
            waiter.refuse(WaitError::Removed);
        }
    }

    fn remove(&self, wait_queue: &WaitQueue, ticket: Ticket) {
        let mut state = wait_queue.lock();
        if state.remove_waiter(ticket).is_some() {
            state.fair.remove(ticket);
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

fn count_waiter(counts: &mut Vec<WaitingCount>, queue: &QueueId, team_limit: &LimitKey) {
    let LimitKey::Running(team) = team_limit else {
        return;
    };
    let found = counts.binary_search_by(|other| (&other.queue, &other.team).cmp(&(queue, team)));
    match found {
        Ok(index) => counts[index].count += 1,
        Err(index) => {
            let waiting = WaitingCount { queue: queue.clone(), team: team.clone(), count: 1 };
            counts.insert(index, waiting);
        }
    }
}
