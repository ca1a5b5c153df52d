//! Loads the stored state and the registry of workers after a takeover.

use std::sync::Arc;
use std::time::Duration;

use scheduler::JobId;
use scheduler::JobRecord;
use scheduler::Progress;
use scheduler::Scheduler;
use scheduler::SortedMap;
use scheduler::WaveRow;
use tokio::task::JoinSet;

use super::AcquiredOwnership;
use super::pipeline::Pipeline;
use crate::clock;
use crate::divisions::Divisions;
use crate::election::lease_remaining;
use crate::metrics;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::WriteOutcome;
use crate::rows;
use crate::rows::BASELINE_HOSTS_KEY;
use crate::rows::DURATIONS_KEY;
use crate::rows::HOST_COMMANDS_KEY;
use crate::shared::Shared;

/// Time for which failed reads are retried before the owner stops.
const LOAD_TIME_MAX: Duration = Duration::from_secs(6);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The state with which a new owner starts.
pub(super) struct LoadedState {
    /// Jobs, workers and hosts.
    pub scheduler: Scheduler,
    /// Transactions, starting from that of the takeover.
    pub pipeline: Pipeline,
    /// Requests that nodes have stored, to be handled before any decision.
    pub inbox: Vec<Row>,
    /// Divisions among shards.
    pub divisions: Divisions,
    /// Version up to which the divisions were read.
    pub divisions_version: RowVersion,
}

/// Loads the state for a new owner; returns none if the reads fail for [`LOAD_TIME_MAX`].
pub(super) async fn load<P: Platform>(
    shared: &Arc<Shared<P>>,
    acquired: AcquiredOwnership,
) -> Option<LoadedState> {
    let started_at = clock::now();
    loop {
        match read_state(shared, &acquired).await {
            Ok(loaded) => {
                let took = clock::now().saturating_sub(started_at);
                shared.node.telemetry.count(metrics::OWNERSHIP_TAKEN);
                shared.node.telemetry.time(metrics::OWNERSHIP_LOAD, took);
                telemetry::log::line("ownership-loaded")
                    .field("shard", shared.shard)
                    .field("epoch", acquired.row.epoch)
                    .field("jobs", loaded.scheduler.live_jobs())
                    .field("workers", loaded.scheduler.workers().count())
                    .field("took_ms", took.as_millis() as u64)
                    .write();
                return Some(loaded);
            }
            Err(error) => {
                telemetry::log::line("ownership-not-loaded").text("why", error).write();
            }
        }
        if clock::now().saturating_sub(started_at) > LOAD_TIME_MAX {
            return None;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn read_state<P: Platform>(
    shared: &Arc<Shared<P>>,
    acquired: &AcquiredOwnership,
) -> Result<LoadedState, ReadError> {
    let settings = shared.node.settings.scheduling.clone();
    let lease = settings.lease;
    // A job moves from the inbox to the table of jobs. The inbox is read first, so that each job is
    // found in at least one of them.
    let inbox = shared.node.platform.read_all(shared.shard, Table::Inbox).await?.changed;
    let (jobs, progress, assignments, host_commands, baseline_hosts, durations) = tokio::try_join!(
        shared.node.platform.read_all(shared.shard, Table::Jobs),
        shared.node.platform.read_all(shared.shard, Table::Progress),
        shared.node.platform.read_all(shared.shard, Table::Assignments),
        shared.node.platform.get(shared.shard, Table::Owner, HOST_COMMANDS_KEY),
        shared.node.platform.get(shared.shard, Table::Owner, BASELINE_HOSTS_KEY),
        shared.node.platform.get(shared.shard, Table::Owner, DURATIONS_KEY),
    )?;
    let mut workers = shared.node.platform.registrations(None, Duration::ZERO).await?;
    workers.changed.retain(|registration| shared.has_worker(registration));
    let (divisions, divisions_version) = read_divisions(shared, acquired).await?;
    let now = clock::now();
    let mut scheduler = Scheduler::new(settings, acquired.row.epoch, clock::unix_now_ms(), now);
    scheduler.set_shard_count(shared.layout().shard_count);
    if let Some((config, _)) = shared.node.config(now) {
        scheduler.set_config(config.scheduling.clone());
    }
    let lease_remaining = lease_remaining(acquired.reason, acquired.previous_held, lease);
    scheduler.set_workers(workers.changed, lease_remaining, now);
    if let Some(commands) = host_commands.as_ref().and_then(rows::decode_or_log) {
        scheduler.restore_host_commands(commands, now);
    }
    if let Some(baseline_hosts) = baseline_hosts.as_ref().and_then(rows::decode_or_log) {
        scheduler.restore_baseline_hosts(baseline_hosts);
    }
    if let Some(durations) = durations.as_ref().and_then(rows::decode_or_log) {
        scheduler.restore_durations(durations, now);
    }
    let (waves, progress): (Vec<Row>, Vec<Row>) =
        progress.changed.into_iter().partition(|row| row.key.starts_with(rows::WAVE_KEY_PREFIX));
    for (key, row) in decode_rows::<String, WaveRow>(waves).iter() {
        if let Ok(wave) = key[rows::WAVE_KEY_PREFIX.len()..].parse() {
            scheduler.restore_wave(wave, row.clone());
        }
    }
    let mut progress: SortedMap<JobId, Progress> = decode_rows(progress);
    for (id, record) in decode_rows::<JobId, Arc<JobRecord>>(jobs.changed).iter() {
        let known = progress.remove(id).unwrap_or_default();
        scheduler.restore_job(record.clone(), &known, now);
    }
    for (id, known) in progress.iter() {
        scheduler.restore_finished_job(id.clone(), known, now);
    }
    scheduler.restore_assignments(decode_rows(assignments.changed), lease_remaining, now);
    for team in divisions.teams() {
        scheduler.set_quota_portion(team, divisions.portion(team));
    }
    let pipeline = Pipeline::new(acquired.row.clone(), acquired.version, acquired.sent_at);
    Ok(LoadedState { scheduler, pipeline, inbox, divisions, divisions_version })
}

/// Writes the owner's epoch and reads the divisions among shards; there are none if the fleet has a
/// single shard.
async fn read_divisions<P: Platform>(
    shared: &Arc<Shared<P>>,
    acquired: &AcquiredOwnership,
) -> Result<(Divisions, RowVersion), ReadError> {
    let shard_count = shared.layout().shard_count;
    let mut divisions = Divisions::new(shared.shard, shard_count, acquired.row.epoch);
    if shard_count <= 1 {
        return Ok((divisions, 0));
    }
    let platform = &shared.node.platform;
    let found = platform.read_all(shared.shard, Table::Divisions).await?;
    divisions.apply(&found.changed, clock::now());
    let mut writes = JoinSet::new();
    for transaction in divisions.epoch_writes() {
        let shared = shared.clone();
        writes.spawn(async move { shared.node.platform.write(transaction).await });
    }
    for outcome in writes.join_all().await {
        if !matches!(outcome, WriteOutcome::Committed(_)) {
            // The next attempt reads which epochs are written.
            return Err(ReadError::Refused(format!("epoch of a group not written: {outcome:?}")));
        }
    }
    // The previous owner can no longer change any row.
    let found = platform.read_all(shared.shard, Table::Divisions).await?;
    divisions.apply(&found.changed, clock::now());
    if divisions.is_superseded() {
        return Err(ReadError::Refused("another node has taken over the shard".to_owned()));
    }
    Ok((divisions, found.version))
}

/// Decodes rows into a map by key; rows that can't be decoded are logged and left out.
fn decode_rows<K, T>(rows: Vec<Row>) -> SortedMap<K, T>
where
    K: From<String> + Ord,
    T: serde::de::DeserializeOwned,
{
    let read = |row: Row| rows::decode_or_log(&row).map(|value| (K::from(row.key), value));
    rows.into_iter().filter_map(read).collect()
}
