//! Backend servers as this node sees them, and the choice of one for a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use events::EventKind;
use events::Recorder;
use http::HeaderValue;
use limits::LimitKey;
use limits::LimitTable;
use model::HostId;
use rand::Rng;
use routing::Health;
use routing::Observation;
use telemetry::Telemetry;

use crate::connection::IdleConnections;

/// A backend server with its connections and its health.
pub struct Backend {
    /// Host on which it runs.
    pub host: HostId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Value of the `Host` header of requests to it.
    pub host_header: HeaderValue,
    /// Key of the limit on requests that run on it at a time.
    pub slots: LimitKey,
    /// Key of the limit on open connections to it.
    pub connections: LimitKey,
    /// Open connections that carry no request.
    pub idle: IdleConnections,
    health: Mutex<Health>,
}

impl Backend {
    /// Creates a backend server without connections and with no recorded health.
    pub fn new(host: HostId, address: SocketAddr) -> Self {
        let authority = address.to_string();
        let host_header =
            HeaderValue::from_str(&authority).expect("a socket address is a valid header value");
        Self {
            host_header,
            slots: LimitKey::Slots(host.clone()),
            connections: LimitKey::Connections(host.clone()),
            host,
            address,
            idle: IdleConnections::default(),
            health: Mutex::default(),
        }
    }

    /// Returns true while it gets no requests because of its failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health().is_ejected(now)
    }

    /// Returns the cost of sending it one more request. Returns `None` if it has no spare slot, or
    /// if it is ejected and `includes_ejected` is false.
    fn cost(&self, limits: &LimitTable, includes_ejected: bool, now: Instant) -> Option<f64> {
        let slots = limits.get(&self.slots)?;
        if slots.spare() == 0 {
            return None;
        }
        let health = self.health();
        let is_excluded = health.is_ejected(now) && !includes_ejected;
        (!is_excluded).then(|| health.cost(slots.running, now))
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().expect("lock is never poisoned")
    }
}

/// Backend servers of one service.
#[derive(Default)]
pub struct ServiceBackends {
    /// Backend servers on hosts that take work, ejected ones included.
    pub backends: Vec<Arc<Backend>>,
    /// Number of hosts of the service that take no work by their state in the configuration.
    pub unavailable: u32,
    /// Availability budget: number of hosts of the service that may be unavailable at a time.
    pub unavailable_max: u32,
}

impl ServiceBackends {
    /// Chooses a backend server with a spare slot that is not on one of `excluded_hosts`. Chooses
    /// an ejected one only if no other has a slot and more hosts are unavailable than the
    /// availability budget allows.
    pub fn choose(
        &self,
        limits: &LimitTable,
        rng: &mut impl Rng,
        excluded_hosts: &[HostId],
        now: Instant,
    ) -> Option<&Arc<Backend>> {
        let mut choose = |includes_ejected| {
            routing::choose(self.backends.len(), rng, |index| {
                let backend = &self.backends[index];
                if excluded_hosts.contains(&backend.host) {
                    return None;
                }
                backend.cost(limits, includes_ejected, now)
            })
        };
        let chosen = match choose(false) {
            Some(chosen) => chosen,
            // An ejection keeps to the budget, but other hosts may have become unavailable since.
            None if self.unavailable_hosts(now) > self.unavailable_max => choose(true)?,
            None => return None,
        };
        Some(&self.backends[chosen])
    }

    /// Returns the number of hosts that get no requests of this node, by their state or by an
    /// ejection.
    fn unavailable_hosts(&self, now: Instant) -> u32 {
        let ejected = self.backends.iter().filter(|backend| backend.is_ejected(now)).count();
        self.unavailable + ejected as u32
    }
}

/// Records the results of requests to backend servers and ejects servers that fail too often.
pub struct HealthTracker {
    /// Gets an event when a backend server is ejected or restored.
    pub events: Arc<Recorder>,
    /// Counts ejections, and ejections that the availability budget prevented.
    pub telemetry: Telemetry,
    /// Held while an ejection is decided, so that two concurrent ones stay within the availability
    /// budget.
    pub ejection_lock: Mutex<()>,
}

impl HealthTracker {
    /// Records that `backend` responded without a failure.
    pub fn record_success(&self, backend: &Backend, latency: Duration, now: Instant) {
        let is_restored = {
            let mut health = backend.health();
            let is_restored = health.is_on_probation() && !health.is_ejected(now);
            health.observe(Observation::Success { latency });
            is_restored
        };
        if is_restored {
            let kind = EventKind::BackendRestored { host: backend.host.clone() };
            self.events.record(kind, SystemTime::now());
        }
    }

    /// Records a failure of `backend`, and ejects it if it has failed too often and the
    /// availability budget allows it.
    pub fn record_failure(&self, service: &ServiceBackends, backend: &Backend, now: Instant) {
        let needs_ejection = {
            let mut health = backend.health();
            health.observe(Observation::Failure);
            health.needs_ejection(now)
        };
        if !needs_ejection {
            return;
        }
        let _guard = self.ejection_lock.lock().expect("lock is never poisoned");
        if !routing::may_eject(service.unavailable_hosts(now), service.unavailable_max) {
            self.telemetry.count("backend.kept");
            return;
        }
        backend.health().eject(now);
        self.telemetry.count("backend.ejected");
        let kind = EventKind::BackendEjected { host: backend.host.clone() };
        self.events.record(kind, SystemTime::now());
    }
}
