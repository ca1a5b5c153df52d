//! Bounds of the caller interface.

use std::time::Duration;

/// Bounds of the caller interface.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Time that a connection to a backend server may take to open.
    pub connect_timeout: Duration,
    /// Longest time of a request without a deadline of its own.
    pub request_timeout: Duration,
    /// Largest request body, in bytes.
    pub body_max_bytes: u64,
    /// Largest request body that is held in memory, for requests with an idempotency key, in bytes.
    pub buffered_body_max_bytes: u64,
    /// Silence of a caller within a body, or while it reads its answer, after which it is cut.
    pub caller_idle_timeout: Duration,
    /// Silence of a backend server within an answer's body after which it is cut.
    pub backend_idle_timeout: Duration,
    /// Time between two questions to a backend server about a request in doubt.
    pub probe_interval: Duration,
    /// Largest answer that is kept for repeats of an idempotency key, in bytes.
    pub stored_response_max_bytes: usize,
    /// Time for which the claim of an idempotency key is kept; longer than any request may take.
    pub claim_retention: Duration,
    /// Mean time between two sweeps of old claims.
    pub sweep_interval: Duration,
    /// Time for one write of a claim before the request is refused.
    pub claim_timeout: Duration,
    /// Secret that all nodes share; without it no request is forwarded to another node.
    pub cluster_secret: Option<[u8; 32]>,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
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
