//! The operators' configuration as a node uses it: routes, keys, queues, pools and teams.

use std::sync::Arc;
use std::time::Duration;

use scheduler::Config;
use scheduler::QueueName;
use scheduler::SortedMap;
use scheduler::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// One version of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CallerConfig {
    /// Rises with each change by operators.
    pub version: u64,
    /// Maps requests of callers to queues.
    pub routes: Vec<Route>,
    /// Team of each API key.
    pub keys: SortedMap<Arc<str>, TeamName>,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Limits of callers' connections.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// The scheduler's part: queues, pools and teams.
    pub scheduling: Arc<Config>,
}

/// Limits of callers' connections; the node has a default for each that is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the head of a request, in bytes.
    pub head_bytes_max: Option<usize>,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Option<Duration>,
    /// Maximum time without progress of a body or a response.
    pub idle_timeout: Option<Duration>,
}

/// Maps a host name and a path prefix to a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in the request, without a port; compared without regard to case.
    pub host: String,
    /// Prefix that the path of a request must have.
    pub path_prefix: String,
    /// Queue that receives the jobs of these requests.
    pub queue: QueueName,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl CallerConfig {
    /// Returns the route with the longest path prefix that matches a request. The port in `host` is
    /// ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len())
    }
}
