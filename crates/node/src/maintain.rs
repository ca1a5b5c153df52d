//! Carries hosts through their life cycle: gathers evidence, decides, and commits the steps.
//!
//! Every node reports the draining hosts that it runs nothing on; the node whose duty a pool is
//! takes the steps of its hosts and its wave. A step is a change of the configuration under the
//! duty's row, so that of two nodes that take the same step one loses, and a node that dies in the
//! middle leaves everything that another needs in the host's row.

mod evidence;
mod lending;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;
use std::time::SystemTime;

use control::ChangeError;
use duties::Duty;
use events::EventKind;
use gateway::NodeContext;
use maintenance::Moment;
use maintenance::RowChanges;
use model::Config;
use model::ConfigVersion;
use model::HostRow;
use model::PoolId;
use rand::RngExt;
use services::Precondition;

use self::evidence::EvidenceCollector;
use self::lending::Lending;
use crate::duty::maintenance_duty;
use crate::follower::poll_once;
use crate::shared::Shared;

pub use evidence::unavailable_in_service;

/// Tries of a change that loses against others.
const CHANGE_TRIES: usize = 5;

/// Runs for as long as the node does.
pub async fn run(shared: Arc<Shared>) {
    let mut collector = EvidenceCollector::default();
    let mut lending = Lending::default();
    loop {
        let wait = shared.settings.poll_interval.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::time::sleep(wait).await;
        tick(&shared, &mut collector).await;
        let fence = |pool: &PoolId| {
            let duty = shared.duty(&maintenance_duty(pool), Instant::now())?;
            Some(duty.precondition())
        };
        lending.tick(&shared, fence).await;
    }
}

/// Reports what is idle here, and takes every step that there is evidence for in the pools whose
/// maintenance is this node's duty.
async fn tick(shared: &Shared, collector: &mut EvidenceCollector) {
    let config = shared.config();
    collector.report_idle(shared, &config).await;
    let duties = held_duties(shared, &config);
    if duties.is_empty() {
        return;
    }
    let is_mine = |pool: &PoolId| duties.binary_search_by(|duty| duty.pool.cmp(pool)).is_ok();
    let mut evidence = collector.gather(shared, &config, &is_mine).await;
    let planned = maintenance::advance_all(&config, &evidence, is_mine, moment(&config));
    evidence.unresponsive = evidence::unresponsive_in_services(&config, planned.drains()).await;
    let decide = |config: &Config| {
        let changes = maintenance::advance_all(config, &evidence, is_mine, moment(config));
        let is_probed = |row: &HostRow| planned.drains().any(|other| other.id() == row.id());
        if changes.is_empty() || !changes.drains().all(is_probed) {
            let reason = "the configuration changed meanwhile".to_owned();
            return Err(ChangeError::Invalid { reason });
        }
        Ok(changes)
    };
    let Ok(changes) = decide(&config) else {
        return;
    };
    let fences = duties.iter().filter(|duty| changes_pool(&changes, &duty.pool));
    let fences = fences.map(|duty| duty.duty.precondition()).collect();
    match commit_change_if(shared, fences, decide).await {
        Ok(_) | Err(ChangeError::Invalid { .. }) => {}
        Err(ChangeError::Conflict) => shared.telemetry.count("maintenance.conflict"),
        Err(_) => shared.telemetry.count("maintenance.step-failed"),
    }
}

/// A pool whose maintenance is this node's duty.
struct PoolDuty {
    pool: PoolId,
    duty: Duty,
}

/// Pools whose maintenance is this node's duty, sorted.
fn held_duties(shared: &Shared, config: &Config) -> Vec<PoolDuty> {
    let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
    let held = pools.filter_map(|pool| {
        let duty = shared.duty(&maintenance_duty(&pool.name), Instant::now())?;
        Some(PoolDuty { pool: pool.name.clone(), duty })
    });
    let mut held: Vec<PoolDuty> = held.collect();
    held.sort_by(|a, b| a.pool.cmp(&b.pool));
    held
}

fn changes_pool(changes: &RowChanges, pool: &PoolId) -> bool {
    changes.hosts.iter().any(|row| row.spec.pool == *pool)
        || changes.waves.iter().any(|wave| wave.pool == *pool)
}

/// Version and time of a change that follows `config`.
pub fn moment(config: &Config) -> Moment {
    Moment { version: config.version + 1, now: SystemTime::now() }
}

/// Commits the step that `decide` makes of the latest configuration; decides anew after a conflict,
/// so that checks always hold for the configuration that the change follows.
pub async fn commit_change(
    shared: &Shared,
    decide: impl Fn(&Config) -> Result<RowChanges, ChangeError>,
) -> Result<ConfigVersion, ChangeError> {
    commit_change_if(shared, Vec::new(), decide).await
}

/// Like [`commit_change`], and only while `fences` hold.
async fn commit_change_if(
    shared: &Shared,
    fences: Vec<Precondition>,
    decide: impl Fn(&Config) -> Result<RowChanges, ChangeError>,
) -> Result<ConfigVersion, ChangeError> {
    let table = &*shared.platform.table;
    let mut tried = 0;
    loop {
        tried += 1;
        let decided = Mutex::new(RowChanges::default());
        let decide_rows = |config: &Config| {
            let changes = decide(config)?;
            let rows = changes.rows();
            *decided.lock().expect("lock is never poisoned") = changes;
            Ok(rows)
        };
        match shared.writer.change_if(table, None, fences.clone(), decide_rows).await {
            Ok(version) => {
                record_changes(shared, &decided.into_inner().expect("lock is never poisoned"));
                poll_once(shared).await;
                return Ok(version);
            }
            Err(ChangeError::Conflict) if tried < CHANGE_TRIES => {
                poll_once(shared).await;
            }
            Err(error) => return Err(error),
        }
    }
}

fn record_changes(shared: &Shared, changes: &RowChanges) {
    for host in &changes.hosts {
        shared.telemetry.count(&format!("host.{}", host.state));
        let kind = EventKind::HostStep {
            host: host.id().clone(),
            state: host.state,
            pool: host.spec.pool.clone(),
        };
        shared.events.record(kind, SystemTime::now());
    }
    for wave in &changes.waves {
        let reason = format!("round {}", wave.round);
        let kind =
            EventKind::WaveStep { wave: wave.id.clone(), state: wave.state.to_string(), reason };
        shared.events.record(kind, SystemTime::now());
    }
}
