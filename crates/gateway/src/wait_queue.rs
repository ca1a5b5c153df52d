//! Waiting requests: one line for each queue, served in the order of shares.
//!
//! Every request goes through its line, also when a slot is free at once, so that the line knows
//! what each team has had. Lock order: [`WaitQueues::grant_rng`], the state of a line, then the limit table
//! and the health of backend servers. No tokens are dropped while one of these locks is held.

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
use shares::FleetCounts;
use shares::Refused;
use shares::TeamCounts;
use shares::Ticket;
use tokio::sync::oneshot;

use crate::backends::Backend;
use crate::backends::ServiceBackends;
use crate::in_doubt::InDoubtRequests;
use crate::tokens::HeldTokens;
use crate::tokens::StartedEntry;

/// Portion of the starts that urgent requests may take before others, in percent.
const URGENT_PERCENT: u32 = 20;

/// Bounds of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitQueueLimits {
    /// Requests that wait at most.
    pub waiting_max: u32,
    /// Time that a request waits at most.
    pub wait_max: Duration,
}

/// Waiting requests of one team in one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingCount {
    /// Queue.
    pub queue: QueueId,
    /// Team.
    pub team: TeamRef,
    /// Requests.
    pub count: u32,
}

/// What each team has in one queue at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueShares {
    /// Queue.
    pub queue: QueueId,
    /// Teams, sorted.
    pub teams: Vec<TeamCounts>,
}

/// Why a waiting request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitError {
    /// Its time in the line is over.
    Expired,
    /// It lost its place to a team that has less.
    Displaced,
    /// The team has as much running as it may.
    TeamLimit,
}

/// Waiting requests of one queue.
pub struct WaitQueue {
    /// Queue.
    pub queue: QueueId,
    /// Bounds.
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
    running: LimitKey,
    granted: oneshot::Sender<Result<HeldTokens, WaitError>>,
}

/// All lines of a node, and what they need to start a request.
pub struct WaitQueues {
    /// Limits.
    pub limits: Arc<LimitTable>,
    /// Tokens in doubt.
    pub in_doubt: Arc<InDoubtRequests>,
    wait_queues: RwLock<Vec<Arc<WaitQueue>>>,
    waiting: AtomicUsize,
    /// Held while tokens are given to waiting requests.
    grant_rng: Mutex<SmallRng>,
}

/// A request's place in its line; dropping it leaves the line.
pub struct WaitHandle {
    wait_queues: Arc<WaitQueues>,
    wait_queue: Arc<WaitQueue>,
    ticket: Ticket,
    running: LimitKey,
    granted: oneshot::Receiver<Result<HeldTokens, WaitError>>,
}

impl WaitQueue {
    /// Empty line.
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

    /// Backend servers of the queue's service.
    pub fn service(&self) -> Arc<ServiceBackends> {
        self.service.read().expect("lock is never poisoned").clone()
    }

    /// Replaces the backend servers.
    pub fn set_service(&self, service: Arc<ServiceBackends>) {
        *self.service.write().expect("lock is never poisoned") = service;
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.lock().waiters.len()
    }

    /// A started request has ended.
    pub fn finished(&self, ticket: Ticket, now: Instant) {
        self.lock().fair.finished(ticket, now);
    }

    fn lock(&self) -> MutexGuard<'_, WaitQueueState> {
        self.state.lock().expect("lock is never poisoned")
    }
}

impl WaitQueueState {
    fn remove_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        let index = self.waiters.binary_search_by_key(&ticket, |waiter| waiter.ticket).ok()?;
        Some(self.waiters.remove(index))
    }
}

impl WaitQueues {
    /// No lines yet.
    pub fn new(limits: Arc<LimitTable>, in_doubt: Arc<InDoubtRequests>) -> Self {
        Self {
            limits,
            in_doubt,
            wait_queues: RwLock::default(),
            waiting: AtomicUsize::new(0),
            grant_rng: Mutex::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Replaces the lines; one that is left out is served on until it is empty.
    pub fn set_wait_queues(&self, mut next: Vec<Arc<WaitQueue>>) {
        let mut wait_queues = self.wait_queues.write().expect("lock is never poisoned");
        for wait_queue in wait_queues.iter() {
            let is_kept = next.iter().any(|other| Arc::ptr_eq(other, wait_queue));
            if !is_kept && wait_queue.waiting() > 0 {
                next.push(wait_queue.clone());
            }
        }
        *wait_queues = next;
    }

    /// Requests that wait in all lines.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Requests that wait, by queue and team; sorted.
    pub fn waiting_by_team(&self) -> Vec<WaitingCount> {
        let mut counts: Vec<WaitingCount> = Vec::new();
        for wait_queue in self.wait_queues.read().expect("lock is never poisoned").iter() {
            for waiter in &wait_queue.lock().waiters {
                count_waiter(&mut counts, &wait_queue.queue, &waiter.running);
            }
        }
        counts
    }

    /// What each team has in each line.
    pub fn shares(&self, now: Instant) -> Vec<QueueShares> {
        let wait_queues = self.wait_queues.read().expect("lock is never poisoned").clone();
        let shares = wait_queues.iter().map(|wait_queue| QueueShares {
            queue: wait_queue.queue.clone(),
            teams: wait_queue.lock().fair.counts(now),
        });
        shares.collect()
    }

    /// Tells the lines of a queue what the other nodes have.
    pub fn observe_fleet(&self, queue: &QueueId, counts: &[FleetCounts], now: Instant) {
        let wait_queues = self.wait_queues.read().expect("lock is never poisoned").clone();
        for wait_queue in wait_queues.iter().filter(|wait_queue| wait_queue.queue == *queue) {
            wait_queue.lock().fair.observe_fleet(counts, now);
        }
    }

    /// Queues a request, or says when to come back.
    pub fn enqueue(
        self: &Arc<Self>,
        wait_queue: &Arc<WaitQueue>,
        entry: Entry,
        now: Instant,
    ) -> Result<WaitHandle, Refused> {
        let running = LimitKey::Running(entry.team.clone());
        let (sender, granted) = oneshot::channel();
        let (ticket, displaced) = {
            let mut state = wait_queue.lock();
            let ticket = state.fair.push(entry, now)?;
            let waiter = Waiter { ticket, running: running.clone(), granted: sender };
            state.waiters.push(waiter);
            self.waiting.fetch_add(1, Ordering::SeqCst);
            (ticket, self.expire(&mut state, now))
        };
        for waiter in displaced {
            // A caller that has gone needs no answer.
            let _ = waiter.granted.send(Err(WaitError::Displaced));
        }
        self.grant_waiting(wait_queue, now);
        Ok(WaitHandle {
            wait_queues: self.clone(),
            wait_queue: wait_queue.clone(),
            ticket,
            running,
            granted,
        })
    }

    /// Starts whatever can start in any line.
    pub fn grant_all(self: &Arc<Self>, now: Instant) {
        if self.waiting() == 0 {
            return;
        }
        let wait_queues = self.wait_queues.read().expect("lock is never poisoned").clone();
        for wait_queue in wait_queues.iter().filter(|wait_queue| wait_queue.waiting() > 0) {
            self.grant_waiting(wait_queue, now);
        }
    }

    /// Exchanges the slot of a request of which nothing was sent for one elsewhere.
    pub fn move_slot(
        &self,
        held: &mut HeldTokens,
        service: &ServiceBackends,
        now: Instant,
    ) -> bool {
        let host = held.backend().host.clone();
        let Some(backend) = self.take_slot(service, Some(&host), now) else {
            return false;
        };
        held.switch_backend(backend);
        true
    }

    /// Takes tokens at once for a request that is sent again.
    pub fn take_tokens_for_retry(
        self: &Arc<Self>,
        service: &ServiceBackends,
        running: &LimitKey,
        excluded_host: &HostId,
        now: Instant,
    ) -> Option<HeldTokens> {
        if !self.limits.take(running) {
            return None;
        }
        let Some(backend) = self.take_slot(service, Some(excluded_host), now) else {
            self.limits.release(running);
            return None;
        };
        Some(HeldTokens::new(self.clone(), None, running.clone(), backend))
    }

    fn take_slot(
        &self,
        service: &ServiceBackends,
        excluded_host: Option<&HostId>,
        now: Instant,
    ) -> Option<Arc<Backend>> {
        let mut rng = self.grant_rng.lock().expect("lock is never poisoned");
        self.take_slot_with(&mut rng, service, excluded_host, now)
    }

    fn take_slot_with(
        &self,
        rng: &mut SmallRng,
        service: &ServiceBackends,
        excluded_host: Option<&HostId>,
        now: Instant,
    ) -> Option<Arc<Backend>> {
        let backend = service.choose(&self.limits, rng, excluded_host, now)?;
        self.limits.take(&backend.slots).then(|| backend.clone())
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
            // If the caller has gone, the tokens come back here and are released.
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
        let backend = self.take_slot_with(rng, service, None, now)?;
        let may_run = |team: &TeamRef| {
            let running = LimitKey::Running(team.clone());
            self.limits.get(&running).is_some_and(|allocation| allocation.spare() > 0)
        };
        let popped = state.fair.pop(now, may_run);
        let Some(waiter) = popped.and_then(|ticket| state.remove_waiter(ticket)) else {
            self.limits.release(&backend.slots);
            return None;
        };
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        // The ledger may have taken the token back since it was seen.
        if !self.limits.take(&waiter.running) {
            self.limits.release(&backend.slots);
            state.fair.finished(waiter.ticket, now);
            return Some((waiter, Err(WaitError::TeamLimit)));
        }
        let started_entry = StartedEntry { wait_queue: wait_queue.clone(), ticket: waiter.ticket };
        let held =
            HeldTokens::new(self.clone(), Some(started_entry), waiter.running.clone(), backend);
        Some((waiter, Ok(held)))
    }

    fn expire(&self, state: &mut WaitQueueState, now: Instant) -> Vec<Waiter> {
        let tickets = state.fair.expire(now);
        let expired: Vec<Waiter> =
            tickets.into_iter().filter_map(|ticket| state.remove_waiter(ticket)).collect();
        self.waiting.fetch_sub(expired.len(), Ordering::SeqCst);
        expired
    }

    fn remove(&self, wait_queue: &WaitQueue, ticket: Ticket) {
        let mut state = wait_queue.lock();
        if state.remove_waiter(ticket).is_some() {
            state.fair.remove(ticket);
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl WaitHandle {
    /// Tokens, if they came without waiting.
    pub fn try_granted(&mut self) -> Option<Result<HeldTokens, WaitError>> {
        self.granted.try_recv().ok()
    }

    /// Waits for tokens until `until`.
    pub async fn granted(&mut self, until: Instant) -> Result<HeldTokens, WaitError> {
        match tokio::time::timeout_at(until.into(), &mut self.granted).await {
            Ok(Ok(granted)) => granted,
            Ok(Err(_)) | Err(_) => Err(self.timeout_reason()),
        }
    }

    fn timeout_reason(&self) -> WaitError {
        let running = self.wait_queues.limits.get(&self.running);
        let is_at_limit = running.is_none_or(|allocation| allocation.spare() == 0);
        if is_at_limit { WaitError::TeamLimit } else { WaitError::Expired }
    }
}

impl Drop for WaitHandle {
    fn drop(&mut self) {
        self.wait_queues.remove(&self.wait_queue, self.ticket);
    }
}

fn count_waiter(counts: &mut Vec<WaitingCount>, queue: &QueueId, running: &LimitKey) {
    let LimitKey::Running(team) = running else {
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
