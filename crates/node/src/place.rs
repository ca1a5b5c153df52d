//! Placement of jobs: the callers' interface, and the pools whose placement duty this node holds.
//!
//! A job can be submitted through any node. That node writes the job's row and a message in the
//! inbox of its pool, from which the holder of the pool's placement duty picks it up.

pub mod jobs;
pub mod workers;

mod holder;
mod rows;

use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use duties::Duty;
use gateway::NodeContext;
use model::PoolId;
use services::Row;
use services::Scan;
use tokio::task::JoinHandle;

use crate::duty::placement_duty;
use crate::place::workers::Workers;
use crate::shared::Shared;

/// Time between reads of the inbox.
const INBOX_INTERVAL: Duration = Duration::from_millis(250);

/// Inbox of all pools as last read.
#[derive(Clone)]
pub struct Inbox {
    /// When the read started.
    pub read_at: Instant,
    /// Rows of the inbox.
    pub rows: Arc<Vec<Row>>,
}

/// Inbox that the placement holders of this node share; `None` before the first read.
pub type SharedInbox = Arc<RwLock<Option<Inbox>>>;

/// A pool whose placement this node holds, and the task that runs it.
struct HeldPool {
    pool: PoolId,
    duty: Duty,
    task: JoinHandle<()>,
}

impl Drop for HeldPool {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Places the jobs of the pools whose placement this node holds, as long as the node runs.
pub async fn run(shared: Arc<Shared>, workers: Arc<dyn Workers>) {
    let inbox = SharedInbox::default();
    let mut held_pools: Vec<HeldPool> = Vec::new();
    loop {
        let read_at = Instant::now();
        let scan = Scan::prefix(rows::INBOX_PREFIX);
        match shared.platform.table.scan(scan).await {
            Ok(rows) => {
                let latest = Inbox { read_at, rows: Arc::new(rows) };
                *inbox.write().expect("lock is never poisoned") = Some(latest);
            }
            Err(_) => shared.telemetry.count("placement.inbox_unavailable"),
        }
        held_pools.retain(|held| !held.task.is_finished());
        let config = shared.config();
        let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
        for pool in pools.filter(|pool| pool.service.is_some()) {
            let name = placement_duty(&pool.name);
            let Some(duty) = shared.duty(&name, Instant::now()) else {
                continue;
            };
            if held_pools.iter().any(|held| held.pool == pool.name) {
                continue;
            }
            let (shared, workers) = (shared.clone(), workers.clone());
            let placement =
                holder::run(shared, workers, pool.name.clone(), duty.clone(), inbox.clone());
            held_pools.push(HeldPool {
                pool: pool.name.clone(),
                duty,
                task: tokio::spawn(placement),
            });
        }
        shared.telemetry.gauge("placement.pools", held_pools.len() as u64);
        held_pools.sort_by(|a, b| a.duty.name.cmp(&b.duty.name));
        tokio::time::sleep(INBOX_INTERVAL).await;
    }
}
