//! Waiting requests: one line for each queue, served in the order of shares.
//!
//! Every request goes through its line, also when a slot is free at once, so that the line knows
//! what each team has had. Lock order: [`Lines::granting`], the state of a line, then the limit table
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
use shares::PeerCounts;
use shares::Refused;
use shares::TeamCounts;
use shares::Ticket;
use tokio::sync::oneshot;

use crate::backends::Backend;
use crate::backends::Service;
use crate::doubt::Doubts;
use crate::tokens::Held;
use crate::tokens::Start;

/// Portion of the starts that urgent requests may take before others, in percent.
const URGENT_PERCENT: u32 = 20;

/// Bounds of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineBounds {
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
pub enum WaitEnd {
    /// Its time in the line is over.
    Expired,
    /// It lost its place to a team that has less.
    Displaced,
    /// The team has as much running as it may.
    TeamLimit,
}

/// Waiting requests of one queue.
pub struct Line {
    /// Queue.
    pub queue: QueueId,
    /// Bounds.
    pub bounds: LineBounds,
    service: RwLock<Arc<Service>>,
    state: Mutex<LineState>,
}

struct LineState {
    fair: FairQueue,
    /// Waiting requests, sorted by ticket.
    waiters: Vec<Waiter>,
}

struct Waiter {
    ticket: Ticket,
    running: LimitKey,
    granted: oneshot::Sender<Result<Held, WaitEnd>>,
}

/// All lines of a node, and what they need to start a request.
pub struct Lines {
    /// Limits.
    pub limits: Arc<LimitTable>,
    /// Tokens in doubt.
    pub doubts: Arc<Doubts>,
    lines: RwLock<Vec<Arc<Line>>>,
    waiting: AtomicUsize,
    /// Held while tokens are given to waiting requests.
    granting: Mutex<SmallRng>,
}

/// A request's place in its line; dropping it leaves the line.
pub struct Place {
    lines: Arc<Lines>,
    line: Arc<Line>,
    ticket: Ticket,
    running: LimitKey,
    granted: oneshot::Receiver<Result<Held, WaitEnd>>,
}

impl Line {
    /// Empty line.
    pub fn new(queue: QueueId, bounds: LineBounds, service: Arc<Service>) -> Self {
        let settings = shares::Settings {
            waiting_max: bounds.waiting_max as usize,
            wait_max: bounds.wait_max,
            urgent_percent: URGENT_PERCENT,
        };
        let state = LineState { fair: FairQueue::new(settings), waiters: Vec::new() };
        Self { queue, bounds, service: RwLock::new(service), state: Mutex::new(state) }
    }

    /// Backend servers of the queue's service.
    pub fn service(&self) -> Arc<Service> {
        self.service.read().expect("no holder panics").clone()
    }

    /// Replaces the backend servers.
    pub fn set_service(&self, service: Arc<Service>) {
        *self.service.write().expect("no holder panics") = service;
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.lock().waiters.len()
    }

    /// A started request has ended.
    pub fn finished(&self, ticket: Ticket, now: Instant) {
        self.lock().fair.finish(ticket, now);
    }

    fn lock(&self) -> MutexGuard<'_, LineState> {
        self.state.lock().expect("no holder panics")
    }
}

impl LineState {
    fn take_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        let index = self.waiters.binary_search_by_key(&ticket, |waiter| waiter.ticket).ok()?;
        Some(self.waiters.remove(index))
    }
}

impl Lines {
    /// No lines yet.
    pub fn new(limits: Arc<LimitTable>, doubts: Arc<Doubts>) -> Self {
        Self {
            limits,
            doubts,
            lines: RwLock::default(),
            waiting: AtomicUsize::new(0),
            granting: Mutex::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Replaces the lines; one that is left out is served on until it is empty.
    pub fn set_lines(&self, mut next: Vec<Arc<Line>>) {
        let mut lines = self.lines.write().expect("no holder panics");
        for line in lines.iter() {
            let is_kept = next.iter().any(|other| Arc::ptr_eq(other, line));
            if !is_kept && line.waiting() > 0 {
                next.push(line.clone());
            }
        }
        *lines = next;
    }

    /// Requests that wait in all lines.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Requests that wait, by queue and team; sorted.
    pub fn waiting_by_team(&self) -> Vec<WaitingCount> {
        let mut counts: Vec<WaitingCount> = Vec::new();
        for line in self.lines.read().expect("no holder panics").iter() {
            for waiter in &line.lock().waiters {
                count_waiter(&mut counts, &line.queue, &waiter.running);
            }
        }
        counts
    }

    /// What each team has in each line.
    pub fn shares(&self, now: Instant) -> Vec<QueueShares> {
        let lines = self.lines.read().expect("no holder panics").clone();
        let shares = lines.iter().map(|line| QueueShares {
            queue: line.queue.clone(),
            teams: line.lock().fair.counts(now),
        });
        shares.collect()
    }

    /// Tells the lines of a queue what the other nodes have.
    pub fn observe_peers(&self, queue: &QueueId, counts: &[PeerCounts], now: Instant) {
        let lines = self.lines.read().expect("no holder panics").clone();
        for line in lines.iter().filter(|line| line.queue == *queue) {
            line.lock().fair.observe_peers(counts, now);
        }
    }

    /// Queues a request, or says when to come back.
    pub fn enter(
        self: &Arc<Self>,
        line: &Arc<Line>,
        entry: Entry,
        now: Instant,
    ) -> Result<Place, Refused> {
        let running = LimitKey::Running(entry.team.clone());
        let (sender, granted) = oneshot::channel();
        let (ticket, displaced) = {
            let mut state = line.lock();
            let ticket = state.fair.push(entry, now)?;
            let waiter = Waiter { ticket, running: running.clone(), granted: sender };
            state.waiters.push(waiter);
            self.waiting.fetch_add(1, Ordering::SeqCst);
            (ticket, self.expire(&mut state, now))
        };
        for waiter in displaced {
            // A caller that has gone needs no answer.
            let _ = waiter.granted.send(Err(WaitEnd::Displaced));
        }
        self.serve(line, now);
        Ok(Place { lines: self.clone(), line: line.clone(), ticket, running, granted })
    }

    /// Starts whatever can start in any line.
    pub fn serve_all(self: &Arc<Self>, now: Instant) {
        if self.waiting() == 0 {
            return;
        }
        let lines = self.lines.read().expect("no holder panics").clone();
        for line in lines.iter().filter(|line| line.waiting() > 0) {
            self.serve(line, now);
        }
    }

    /// Exchanges the slot of a request of which nothing was sent for one elsewhere.
    pub fn move_elsewhere(&self, held: &mut Held, service: &Service, now: Instant) -> bool {
        let host = held.backend().host.clone();
        let Some(backend) = self.take_slot(service, Some(&host), now) else {
            return false;
        };
        held.move_to(backend);
        true
    }

    /// Takes tokens at once for a request that is sent again.
    pub fn take_again(
        self: &Arc<Self>,
        service: &Service,
        running: &LimitKey,
        not_this: &HostId,
        now: Instant,
    ) -> Option<Held> {
        if !self.limits.try_acquire(running) {
            return None;
        }
        let Some(backend) = self.take_slot(service, Some(not_this), now) else {
            self.limits.release(running);
            return None;
        };
        Some(Held::new(self.clone(), None, running.clone(), backend))
    }

    fn take_slot(
        &self,
        service: &Service,
        not_this: Option<&HostId>,
        now: Instant,
    ) -> Option<Arc<Backend>> {
        let mut rng = self.granting.lock().expect("no holder panics");
        self.take_slot_with(&mut rng, service, not_this, now)
    }

    fn take_slot_with(
        &self,
        rng: &mut SmallRng,
        service: &Service,
        not_this: Option<&HostId>,
        now: Instant,
    ) -> Option<Arc<Backend>> {
        let backend = service.choose(&self.limits, rng, not_this, now)?;
        self.limits.try_acquire(&backend.slots).then(|| backend.clone())
    }

    fn serve(self: &Arc<Self>, line: &Arc<Line>, now: Instant) {
        let mut grants = Vec::new();
        {
            let mut rng = self.granting.lock().expect("no holder panics");
            let mut state = line.lock();
            let service = line.service();
            while let Some(grant) = self.next_grant(&mut rng, line, &mut state, &service, now) {
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
        line: &Arc<Line>,
        state: &mut LineState,
        service: &Service,
        now: Instant,
    ) -> Option<(Waiter, Result<Held, WaitEnd>)> {
        if state.waiters.is_empty() {
            return None;
        }
        let backend = self.take_slot_with(rng, service, None, now)?;
        let may_run = |team: &TeamRef| {
            let running = LimitKey::Running(team.clone());
            self.limits.get(&running).is_some_and(|allocation| allocation.spare() > 0)
        };
        let popped = state.fair.pop(now, may_run);
        let Some(waiter) = popped.and_then(|ticket| state.take_waiter(ticket)) else {
            self.limits.release(&backend.slots);
            return None;
        };
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        // The ledger may have taken the token back since it was seen.
        if !self.limits.try_acquire(&waiter.running) {
            self.limits.release(&backend.slots);
            state.fair.finish(waiter.ticket, now);
            return Some((waiter, Err(WaitEnd::TeamLimit)));
        }
        let start = Start { line: line.clone(), ticket: waiter.ticket };
        let held = Held::new(self.clone(), Some(start), waiter.running.clone(), backend);
        Some((waiter, Ok(held)))
    }

    fn expire(&self, state: &mut LineState, now: Instant) -> Vec<Waiter> {
        let tickets = state.fair.expire(now);
        let gone: Vec<Waiter> =
            tickets.into_iter().filter_map(|ticket| state.take_waiter(ticket)).collect();
        self.waiting.fetch_sub(gone.len(), Ordering::SeqCst);
        gone
    }

    fn leave(&self, line: &Line, ticket: Ticket) {
        let mut state = line.lock();
        if state.take_waiter(ticket).is_some() {
            state.fair.remove(ticket);
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Place {
    /// Tokens, if they came without waiting.
    pub fn granted_now(&mut self) -> Option<Result<Held, WaitEnd>> {
        self.granted.try_recv().ok()
    }

    /// Waits for tokens until `until`.
    pub async fn granted(&mut self, until: Instant) -> Result<Held, WaitEnd> {
        match tokio::time::timeout_at(until.into(), &mut self.granted).await {
            Ok(Ok(granted)) => granted,
            Ok(Err(_)) | Err(_) => Err(self.why_not()),
        }
    }

    fn why_not(&self) -> WaitEnd {
        let running = self.lines.limits.get(&self.running);
        let is_at_limit = running.is_none_or(|allocation| allocation.spare() == 0);
        if is_at_limit { WaitEnd::TeamLimit } else { WaitEnd::Expired }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.lines.leave(&self.line, self.ticket);
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
