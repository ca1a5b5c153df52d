//! Nodes on the platform in memory, and their configuration.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordinator::CallerConfig;
use coordinator::CallerLimits;
use coordinator::Node;
use coordinator::NodeSettings;
use coordinator::Route;
use coordinator::http::Client;
use scheduler::Config;
use scheduler::Policy;
use scheduler::Pool;
use scheduler::Queue;
use scheduler::Settings;
use scheduler::Team;
use telemetry::Telemetry;

use super::Memory;

/// Next incarnation number for a node of a test.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

/// Number of hosts that one owner schedules.
const HOSTS_PER_SHARD: usize = 1;

/// Default processor time of a node, in thousandths of a core.
const CPU_MILLIS: u64 = 250;

/// Returns a configuration with one queue, pool and team.
pub fn config() -> CallerConfig {
    let queue = Queue {
        pool: "p".into(),
        priority: 0,
        attempts_max: 3,
        stretch: 1.6,
        deadline_slack: Duration::from_millis(600),
        advice: None,
    };
    let scheduling = Config {
        version: 1,
        queues: [("q".into(), queue)].into_iter().collect(),
        pools: [("p".into(), Pool::default())].into_iter().collect(),
        teams: [("t".into(), Team::default())].into_iter().collect(),
    };
    CallerConfig {
        version: 1,
        routes: vec![Route {
            host: "jobs.example".to_owned(),
            path_prefix: "/q/".to_owned(),
            queue: "q".into(),
            is_open: false,
        }],
        keys: [("key".into(), "t".into())].into_iter().collect(),
        body_bytes_max: 10_000,
        caller_limits: CallerLimits::default(),
        scheduling: Arc::new(scheduling),
    }
}

impl Memory {
    /// Enables only these policies, before any node has started.
    pub fn with_policies(mut self, policies: &[Policy]) -> Self {
        self.policies = policies.iter().copied().collect();
        self
    }
}

impl Memory {
    /// Sets the bound of evacuations, before any node has started.
    pub fn with_evacuation_bound(self, bound: Duration) -> Self {
        Self { evacuation_bound: Some(bound), ..self }
    }
}

/// Starts a node with default processor time on a free port.
pub async fn start_node(name: &str, memory: &Memory) -> Node<Memory> {
    start_node_with_cpu(name, CPU_MILLIS, memory).await
}

/// Starts a node with `cpu_millis` of processor time, in thousandths of a core, on a free port.
pub async fn start_node_with_cpu(name: &str, cpu_millis: u64, memory: &Memory) -> Node<Memory> {
    let settings = NodeSettings {
        name: name.to_owned(),
        incarnation: INCARNATIONS.fetch_add(1, Ordering::Relaxed),
        peer_address: "127.0.0.1:0".parse().unwrap(),
        peer_limits: inbound::Limits::default(),
        cpu_millis,
        key_age_max: Duration::from_secs(4),
        local_write_timeout: Duration::from_secs(2),
        hosts_per_shard: HOSTS_PER_SHARD,
        scheduling: Settings {
            policies: memory.policies.clone(),
            evacuation_bound: memory.evacuation_bound,
            ..Settings::default()
        },
    };
    let telemetry = Telemetry::new(None).unwrap();
    Node::start(settings, memory.clone(), Client::default(), telemetry).await.unwrap()
}
