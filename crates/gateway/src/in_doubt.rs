//! Requests whose tokens are in doubt, and the evidence that releases the tokens.
//!
//! Tokens are in doubt if their request was sent but no complete response was received: because of
//! a timeout, a response that was cut, or a caller that disconnected. The connection of the request
//! is closed before its tokens are marked as in doubt. One of two kinds of evidence releases them:
//!
//! - The backend server reports, on connections that were opened afterwards, that it is not running
//!   the request: [`NOT_RUNNING_REPORTS`] times, a probe interval apart. One report is not enough,
//!   because the server may have received bytes of the closed connection that it has not read yet.
//! - The configuration has shown the host as rebooting and later as running again.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use events::EventKind;
use events::Recorder;
use limits::LimitKey;
use model::Config;
use model::HostState;
use model::RequestId;
use telemetry::Telemetry;
use tokio::task::JoinSet;

use crate::backends::Backend;
use crate::probe::ProbeResult;
use crate::probe::Prober;
use crate::wait_queue::WaitQueues;

/// Number of consecutive [`ProbeResult::NotRunning`] results after which the tokens of a request are
/// released.
pub const NOT_RUNNING_REPORTS: u32 = 2;
/// Maximum time between two probes for the same request.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(30);

/// A request whose tokens are in doubt.
#[derive(Clone)]
struct InDoubtRequest {
    request: RequestId,
    backend: Arc<Backend>,
    team_limit: LimitKey,
    not_running_reports: u32,
    probes: u32,
    next_probe: Instant,
    is_reboot_seen: bool,
}

/// Result of a probe of one backend server for one request.
struct ProbedRequest {
    request: RequestId,
    backend: Arc<Backend>,
    result: ProbeResult,
}

/// All requests of this node whose tokens are in doubt.
pub struct InDoubtRequests {
    list: Mutex<Vec<InDoubtRequest>>,
    events: Arc<Recorder>,
    telemetry: Telemetry,
    probe_interval: Duration,
}

impl InDoubtRequests {
    /// Creates an empty list.
    pub fn new(events: Arc<Recorder>, telemetry: Telemetry, probe_interval: Duration) -> Self {
        Self { list: Mutex::default(), events, telemetry, probe_interval }
    }

    /// Returns the number of requests whose tokens are in doubt.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Adds a request, after its connection was closed.
    pub fn add(
        &self,
        request: RequestId,
        backend: Arc<Backend>,
        team_limit: LimitKey,
        now: Instant,
    ) {
        self.telemetry.count("token.doubted");
        let kind = EventKind::TokenInDoubt { request: request.clone(), host: backend.host.clone() };
        self.events.record(kind, SystemTime::now());
        self.lock().push(InDoubtRequest {
            request,
            backend,
            team_limit,
            not_running_reports: 0,
            probes: 0,
            next_probe: now,
            is_reboot_seen: false,
        });
    }

    /// Sends all probes that are due, and releases the tokens for which there is evidence.
    pub async fn resolve(&self, wait_queues: &Arc<WaitQueues>, prober: &Prober, config: &Config) {
        let now = Instant::now();
        self.release_rebooted(wait_queues, config);
        let mut tasks = JoinSet::new();
        for due in self.due_by_backend(now) {
            let prober = prober.clone();
            tasks.spawn(async move { probe_all(&prober, due).await });
        }
        while let Some(joined) = tasks.join_next().await {
            for probed in joined.unwrap_or_default() {
                self.handle_result(wait_queues, &probed, Instant::now());
            }
        }
    }

    fn release_rebooted(&self, wait_queues: &Arc<WaitQueues>, config: &Config) {
        let mut released = Vec::new();
        self.lock().retain_mut(|entry| {
            let state = config.host(&entry.backend.host).map(|host| host.state);
            entry.is_reboot_seen |= state == Some(HostState::Rebooting);
            let is_up = matches!(state, Some(HostState::Returning | HostState::Serving));
            let is_rebooted = entry.is_reboot_seen && is_up;
            if is_rebooted {
                released.push(entry.clone());
            }
            !is_rebooted
        });
        released.into_iter().for_each(|entry| self.release(wait_queues, entry));
    }

    fn due_by_backend(&self, now: Instant) -> Vec<(Arc<Backend>, Vec<RequestId>)> {
        let mut groups: Vec<(Arc<Backend>, Vec<RequestId>)> = Vec::new();
        let list = self.lock();
        for entry in list.iter().filter(|entry| entry.next_probe <= now) {
            match groups.iter_mut().find(|(backend, _)| Arc::ptr_eq(backend, &entry.backend)) {
                Some((_, requests)) => requests.push(entry.request.clone()),
                None => groups.push((entry.backend.clone(), vec![entry.request.clone()])),
            }
        }
        groups
    }

    fn handle_result(&self, wait_queues: &Arc<WaitQueues>, probed: &ProbedRequest, now: Instant) {
        let released = {
            let mut list = self.lock();
            // Attempts of one request on several backend servers have entries with the same ID.
            let is_probed = |entry: &InDoubtRequest| {
                entry.request == probed.request && Arc::ptr_eq(&entry.backend, &probed.backend)
            };
            let Some(index) = list.iter().position(is_probed) else {
                return;
            };
            let entry = &mut list[index];
            entry.probes += 1;
            entry.not_running_reports = match probed.result {
                ProbeResult::NotRunning => entry.not_running_reports + 1,
                ProbeResult::Running | ProbeResult::Unreachable => 0,
            };
            entry.next_probe = now + self.probe_interval_of(entry);
            (entry.not_running_reports >= NOT_RUNNING_REPORTS).then(|| list.swap_remove(index))
        };
        if let Some(entry) = released {
            self.release(wait_queues, entry);
        }
    }

    /// Returns the time until the next probe of a request: the probe interval after a report that it
    /// is not running, else a time that doubles after every four probes, up to
    /// [`PROBE_INTERVAL_MAX`], so that a request that keeps running is probed less often.
    fn probe_interval_of(&self, entry: &InDoubtRequest) -> Duration {
        if entry.not_running_reports > 0 {
            return self.probe_interval;
        }
        let doublings = (entry.probes / 4).min(8);
        (self.probe_interval * 2_u32.pow(doublings)).min(PROBE_INTERVAL_MAX)
    }

    fn release(&self, wait_queues: &Arc<WaitQueues>, entry: InDoubtRequest) {
        wait_queues.limits.release_in_doubt(&entry.backend.slots);
        wait_queues.limits.release_in_doubt(&entry.team_limit);
        self.telemetry.count("token.freed");
        let host = entry.backend.host.clone();
        let kind = EventKind::TokenFreed { request: entry.request, host };
        self.events.record(kind, SystemTime::now());
        wait_queues.grant_all(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<InDoubtRequest>> {
        self.list.lock().expect("lock is never poisoned")
    }
}

async fn probe_all(
    prober: &Prober,
    (backend, requests): (Arc<Backend>, Vec<RequestId>),
) -> Vec<ProbedRequest> {
    let mut results = Vec::with_capacity(requests.len());
    for request in requests {
        let result = prober.probe_request(&backend, &request).await;
        results.push(ProbedRequest { request, backend: backend.clone(), result });
        if result == ProbeResult::Unreachable {
            break;
        }
    }
    results
}
