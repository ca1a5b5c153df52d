//! The configuration as a node uses it: routes, keys, queues, pools and teams.

use std::sync::Arc;

use scheduler::Config;
use scheduler::QueueName;
use scheduler::SortedMap;
use scheduler::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// One version of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CallerConfig {
    /// Version.
    pub version: u64,
    /// Which requests belong to which queue.
    pub routes: Vec<Route>,
    /// Team of each key.
    pub keys: SortedMap<Arc<str>, TeamName>,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// What the scheduler needs.
    pub scheduling: Arc<Config>,
}

/// Requests that belong to a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Host name in the request.
    pub host: String,
    /// What the path begins with.
    pub path_prefix: String,
    /// Queue.
    pub queue: QueueName,
    /// True if no key is needed.
    pub is_open: bool,
}

impl CallerConfig {
    /// The route with the longest prefix that fits a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let fits = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len())
    }
}
