//! Moves hosts through their life cycle: gathers evidence, decides, and commits the transitions.
//!
//! Every node reports the draining hosts on which it runs nothing. The node that holds the
//! maintenance duty of a pool commits the transitions of the pool's hosts and of its wave. A
//! transition is a change of the configuration with the duty's row as a precondition, so that only
//! one of two concurrent transitions is committed. The host's row contains all that another node
//! needs to continue if the holder dies in the middle.

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

/// Maximum number of attempts of a change that conflicts with other changes.
const CHANGE_ATTEMPTS_MAX: usize = 5;

/// Runs the maintenance and lending of pools, as long as the node runs.
pub async fn run(shared: Arc<Shared>) {
    let mut collector = EvidenceCollector::default();
    let mut lending = Lending::default();
    loop {
        let wait = shared.settings.poll_interval.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::time::sleep(wait).await;
        tick(&shared, &mut collector).await;
        let precondition = |pool: &PoolId| {
            let duty = shared.duty(&maintenance_duty(pool), Instant::now())?;
            Some(duty.precondition())
        };
        lending.tick(&shared, precondition).await;
    }
}

/// Reports the hosts that are idle at this node. Commits every transition that is due in the pools
/// whose maintenance is this node's duty.
async fn tick(shared: &Shared, collector: &mut EvidenceCollector) {
    let config = shared.config();
    collector.report_idle(shared, &config).await;
    let duties = held_duties(shared, &config);
    if duties.is_empty() {
        return;
    }
    let is_own_duty = |pool: &PoolId| duties.binary_search_by(|duty| duty.pool.cmp(pool)).is_ok();
    let mut evidence = collector.gather(shared, &config, &is_own_duty).await;
    let planned = maintenance::advance_all(&config, &evidence, is_own_duty, moment(&config));
    evidence.unresponsive = evidence::unresponsive_in_services(&config, planned.drains()).await;
    let decide = |config: &Config| {
        let changes = maintenance::advance_all(config, &evidence, is_own_duty, moment(config));
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
    let preconditions = duties.iter().filter(|duty| changes_pool(&changes, &duty.pool));
    let preconditions = preconditions.map(|duty| duty.duty.precondition()).collect();
    match commit_change_if(shared, preconditions, decide).await {
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

/// Returns the pools whose maintenance is this node's duty, sorted by pool.
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

/// Returns the version and time of a change that is based on `config`.
pub fn moment(config: &Config) -> Moment {
    Moment { version: config.version + 1, now: SystemTime::now() }
}

/// Commits the changes that `decide` returns for the latest configuration. After a conflict it
/// calls `decide` again, so that its checks always apply to the configuration that is changed.
pub async fn commit_change(
    shared: &Shared,
    decide: impl Fn(&Config) -> Result<RowChanges, ChangeError>,
) -> Result<ConfigVersion, ChangeError> {
    commit_change_if(shared, Vec::new(), decide).await
}

/// Like [`commit_change`], but commits only if `preconditions` hold.
async fn commit_change_if(
    shared: &Shared,
    preconditions: Vec<Precondition>,
    decide: impl Fn(&Config) -> Result<RowChanges, ChangeError>,
) -> Result<ConfigVersion, ChangeError> {
    let table = &*shared.platform.table;
    let mut attempts = 0;
    loop {
        attempts += 1;
        let decided = Mutex::new(RowChanges::default());
        let decide_rows = |config: &Config| {
            let changes = decide(config)?;
            let rows = changes.rows();
            *decided.lock().expect("lock is never poisoned") = changes;
            Ok(rows)
        };
        match shared.writer.change_if(table, None, preconditions.clone(), decide_rows).await {
            Ok(version) => {
                record_changes(shared, &decided.into_inner().expect("lock is never poisoned"));
                poll_once(shared).await;
                return Ok(version);
            }
            Err(ChangeError::Conflict) if attempts < CHANGE_ATTEMPTS_MAX => {
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
