//! Backend servers as this node sees them, and the choice among those of a service.

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

/// A backend server.
pub struct Backend {
    /// Host.
    pub host: HostId,
    /// Address.
    pub address: SocketAddr,
    /// Value of the `Host` header.
    pub host_header: HeaderValue,
    /// Limit of its slots.
    pub slots: LimitKey,
    /// Limit of its connections.
    pub connections: LimitKey,
    /// Idle connections.
    pub idle: IdleConnections,
    health: Mutex<Health>,
}

impl Backend {
    /// Backend server of which nothing is known yet.
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

    /// True while it gets no work because of its failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.health().is_ejected(now)
    }

    /// Cost of one more request; `None` if it has no slot, or is ejected and `allow_ejected` is not
    /// set.
    fn cost(&self, limits: &LimitTable, allow_ejected: bool, now: Instant) -> Option<f64> {
        let slots = limits.get(&self.slots)?;
        if slots.spare() == 0 {
            return None;
        }
        let health = self.health();
        let is_excluded = health.is_ejected(now) && !allow_ejected;
        (!is_excluded).then(|| health.cost(slots.running, now))
    }

    fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().expect("lock is never poisoned")
    }
}

/// Backend servers of one service.
#[derive(Default)]
pub struct ServiceBackends {
    /// Those that take work.
    pub backends: Vec<Arc<Backend>>,
    /// Hosts of the service that take none.
    pub unavailable: u32,
    /// Hosts of the service that may be unavailable at once.
    pub unavailable_max: u32,
}

impl ServiceBackends {
    /// Chooses a backend server with a spare slot, other than `excluded_host`. One that is ejected is
    /// taken only if no other has a slot, and more hosts are out than the service may lack.
    pub fn choose(
        &self,
        limits: &LimitTable,
        rng: &mut impl Rng,
        excluded_host: Option<&HostId>,
        now: Instant,
    ) -> Option<&Arc<Backend>> {
        let mut choose = |allow_ejected| {
            routing::choose(self.backends.len(), rng, |index| {
                let backend = &self.backends[index];
                if excluded_host == Some(&backend.host) {
                    return None;
                }
                backend.cost(limits, allow_ejected, now)
            })
        };
        let chosen = match choose(false) {
            Some(chosen) => chosen,
            // Hosts may have left for other reasons after an ejection.
            None if self.unavailable_hosts(now) > self.unavailable_max => choose(true)?,
            None => return None,
        };
        Some(&self.backends[chosen])
    }

    /// Hosts of the service that take no work here, for whatever reason.
    fn unavailable_hosts(&self, now: Instant) -> u32 {
        let ejected = self.backends.iter().filter(|backend| backend.is_ejected(now)).count();
        self.unavailable + ejected as u32
    }
}

/// Takes note of how an exchange ended, and ejects a server that fails too often.
pub struct HealthTracker {
    /// Events.
    pub events: Arc<Recorder>,
    /// Metrics.
    pub telemetry: Telemetry,
    /// Held while an ejection is decided, so that two at once keep the floor.
    pub ejection_lock: Mutex<()>,
}

impl HealthTracker {
    /// An exchange with `backend` succeeded.
    pub fn record_success(&self, backend: &Backend, latency: Duration, now: Instant) {
        let restored = {
            let mut health = backend.health();
            let restored = health.is_on_probation() && !health.is_ejected(now);
            health.observe(Observation::Success { latency });
            restored
        };
        if restored {
            let kind = EventKind::BackendRestored { host: backend.host.clone() };
            self.events.record(kind, SystemTime::now());
        }
    }

    /// An exchange with `backend` failed.
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
