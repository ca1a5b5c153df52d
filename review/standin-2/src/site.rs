//! A small site: a store, a list of machines, executors of one service, and node processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::client::Reply;
use crate::node::Node;
use crate::node::Services;
use crate::store::Store;
use crate::worker::Capacity;
use crate::worker::StepShape;
use crate::worker::Workers;

/// The service that runs all queues' jobs.
const SERVICE: &str = "service-1";
/// Time between two pings of an executor.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Number of node processes.
const NODES: usize = 3;
/// Time within which all nodes have to serve clients.
const READY_TIME_MAX: Duration = Duration::from_secs(15);

/// A queue of the config.
#[derive(Clone, Copy)]
pub struct Queue {
    pub name: &'static str,
    pub path_prefix: &'static str,
    pub attempts: u32,
}

/// A running site. Its processes end when it is dropped.
pub struct Site {
    pub store: Store,
    pub workers: Workers,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    capacity: Capacity,
    version: u64,
}

impl Site {
    /// Starts a site and waits until all nodes serve clients.
    pub async fn start(
        executors: usize,
        capacity: Capacity,
        queues: &[Queue],
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (store, workers) = (Store::default(), Workers::default());
        workers.start(executors).await;
        let services = Services {
            store: store.serve().await,
            cloud: serve_cloud(workers.clone(), capacity).await,
        };
        let mut site = Self { store, workers, nodes: Vec::new(), folder, capacity, version: 0 };
        site.ping();
        site.put_config(queues);
        for index in 0..NODES {
            let node = Node::start(index, &site.folder, services).await;
            site.nodes.push(node.map_err(|error| error.to_string())?);
        }
        site.wait_ready(queues[0]).await?;
        Ok(site)
    }

    /// Keeps the entries of the executors fresh.
    fn ping(&self) {
        self.register();
        let (store, workers, capacity) = (self.store.clone(), self.workers.clone(), self.capacity);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                put_entries(&store, &workers, capacity);
            }
        });
    }

    /// Writes the entries of the executors.
    pub fn register(&self) {
        put_entries(&self.store, &self.workers, self.capacity);
    }

    /// Writes the next version of the config, with these queues.
    pub fn put_config(&mut self, queues: &[Queue]) {
        self.version += 3;
        let route = |queue: &Queue| {
            json!({
                "name": queue.name, "host": client::HOST, "pathPrefix": queue.path_prefix,
                "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 0,
                "service": SERVICE, "attempts": queue.attempts, "stretch": 1.6, "public": false,
            })
        };
        let config = json!({
            "version": self.version,
            "routes": queues.iter().map(route).collect::<Vec<Value>>(),
            "services": [{ "name": SERVICE, "healthPath": "/health", "maxConns": 64,
                "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false }],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262_144,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
            "tenants": [{ "name": "tenant-1", "apiKeys": [client::KEY], "priority": 1,
                "weight": 1000, "upperBound": { "cpu": 702_185, "memMb": 1_172_161, "gpu": 0 } }],
        });
        let names: Vec<&str> = queues.iter().map(|queue| queue.name).collect();
        let is_written = self.store.put("op", "config", &config);
        let version = self.version;
        crate::record::line(&format!(
            "operator: config {version}, queues {names:?}, acknowledged: {is_written}"
        ));
    }

    async fn wait_ready(&self, queue: Queue) -> Result<(), String> {
        let until = tokio::time::Instant::now() + READY_TIME_MAX;
        for node in &self.nodes {
            loop {
                let reply = client::send(node.front, "GET", queue.path_prefix, "").await;
                if reply.status == 200 {
                    break;
                }
                if tokio::time::Instant::now() > until {
                    return Err(format!("{} does not serve clients", node.name));
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        // The executors are known by now, and have seen the owner.
        tokio::time::sleep(Duration::from_secs(2)).await;
        Ok(())
    }

    /// Returns the address of a node for clients.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.nodes[index % self.nodes.len()].front
    }

    /// Submits a job, again at other nodes as long as it is not accepted; returns whether it was.
    pub async fn submit(&self, queue: Queue, id: &str, spec: &str, steps: &Value) -> bool {
        let shape = |step: &Value| StepShape {
            count: step["count"].as_u64().unwrap_or(1) as usize,
            is_gang: step["gang"] == true,
        };
        let shapes = steps.as_array().map(|steps| steps.iter().map(shape).collect());
        self.workers.declare(id, shapes.unwrap_or_default());
        let body = json!({ "spec": spec, "steps": steps }).to_string();
        for attempt in 0..4 {
            let path = format!("{}{id}", queue.path_prefix);
            let reply = client::send(self.front(attempt), "POST", &path, &body).await;
            if reply.status / 100 == 2 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        false
    }

    /// Requests the state of a job, of each node in turn until one answers with 200 or 410.
    pub async fn state(&self, queue: Queue, id: &str) -> Reply {
        let mut last = Reply { status: 0, body: String::new() };
        for attempt in 0..6 {
            let path = format!("{}{id}", queue.path_prefix);
            last = client::send(self.front(attempt), "GET", &path, "").await;
            if matches!(last.status, 200 | 410) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        last
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn put_entries(store: &Store, workers: &Workers, capacity: Capacity) {
    for (id, entry) in workers.entries(SERVICE, capacity) {
        store.put("servers", &id, &entry);
    }
}

/// Serves the list of machines. There is one pool, so no machine moves, and no wave, so none goes
/// down.
async fn serve_cloud(workers: Workers, capacity: Capacity) -> SocketAddr {
    let list = move || {
        let machines = workers.machines(SERVICE, capacity);
        async move { Json(machines) }
    };
    let refuse = || async { axum::http::StatusCode::BAD_REQUEST };
    let router = Router::new()
        .route("/v1/machines", get(list))
        .route("/v1/machine-move", post(refuse))
        .route("/v1/machine-upkeep", post(refuse));
    crate::serve(router).await
}
