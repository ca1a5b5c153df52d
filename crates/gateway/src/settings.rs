//! Settings of the gateway.

use std::time::Duration;

use crate::budget::BudgetLimits;

/// Limits and timeouts of the gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// What callers may hold in the process.
    pub caller_limits: BudgetLimits,
    /// What operators' calls may hold in the process.
    pub admin_limits: BudgetLimits,
    /// Maximum time to open a connection to a backend server or another node; also the timeout of a
    /// probe.
    pub connect_timeout: Duration,
    /// Maximum time from receiving a request to its deadline. Callers can set an earlier deadline.
    pub request_timeout: Duration,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: u64,
    /// Maximum size of the body of a request with an idempotency key, which is buffered in memory,
    /// in bytes.
    pub buffered_body_max_bytes: u64,
    /// Maximum time without data from a caller that is sending the body of a request.
    pub caller_idle_timeout: Duration,
    /// Maximum time without data from a backend server that is sending the body of a response.
    /// Before the head of the response, the time after which the server is probed for the request.
    pub backend_idle_timeout: Duration,
    /// Time between two probes of a backend server for a request that it may no longer be running.
    pub probe_interval: Duration,
    /// Maximum size of a response body that is stored for repeats of an idempotency key, in bytes.
    pub stored_response_max_bytes: usize,
    /// Time for which the claim of an idempotency key is kept; must be longer than any request
    /// takes.
    pub claim_retention: Duration,
    /// Mean time between two sweeps that remove old claims.
    pub sweep_interval: Duration,
    /// Timeout of a read or write of a claim, and of storing a response. If a claim cannot be
    /// written in this time, its request is refused.
    pub claim_timeout: Duration,
    /// Secret that all nodes of the cluster share. Without it, no request is forwarded to another
    /// node.
    pub cluster_secret: Option<[u8; 32]>,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            caller_limits: BudgetLimits::default(),
            admin_limits: BudgetLimits { connections_max: 128, memory_max_bytes: 48 << 20 },
            connect_timeout: Duration::from_secs(2),
            request_timeout: Duration::from_secs(60),
            body_max_bytes: 1 << 30,
            buffered_body_max_bytes: 1 << 20,
            caller_idle_timeout: Duration::from_secs(30),
            backend_idle_timeout: Duration::from_secs(30),
            probe_interval: Duration::from_secs(1),
            stored_response_max_bytes: 1 << 20,
            claim_retention: Duration::from_secs(24 * 60 * 60),
            sweep_interval: Duration::from_secs(60),
            claim_timeout: Duration::from_secs(2),
            cluster_secret: None,
        }
    }
}
