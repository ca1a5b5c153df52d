//! Taking over: reads what is stored and asks all workers what they run.

use std::sync::Arc;
use std::time::Duration;

use scheduler::JobId;
use scheduler::JobRecord;
use scheduler::Progress;
use scheduler::Scheduler;
use scheduler::SortedMap;
use scheduler::WaveRow;

use super::VALIDITY;
use super::Won;
use super::pipeline::Pipeline;
use crate::clock;
use crate::election::REFUSED_MAX;
use crate::election::Reason;
use crate::metrics;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::Table;
use crate::rows;
use crate::rows::HOST_ORDERS_KEY;
use crate::rows::OWN_HOSTS_KEY;
use crate::shared::Shared;

/// Time for which the reads are tried before the ownership is given up.
const LOAD_MAX: Duration = Duration::from_secs(6);
/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time that is added to a lease for clocks that run slow.
const LEASE_SLACK: Duration = Duration::from_millis(250);

/// What a new owner has read.
pub(super) struct Loaded {
    /// Jobs, workers and hosts.
    pub scheduler: Scheduler,
    /// Transactions.
    pub pipeline: Pipeline,
    /// Requests that nodes have stored; they come before any decision.
    pub inbox: Vec<Row>,
}

/// The state of a new owner; none if the store does not answer for long.
pub(super) async fn load<P: Platform>(shared: &Arc<Shared<P>>, won: Won) -> Option<Loaded> {
    let began_at = clock::now();
    loop {
        match read_all(shared, &won).await {
            Ok((scheduler, inbox)) => {
                let took = clock::now().saturating_sub(began_at);
                shared.telemetry.count(metrics::OWNERSHIP_TAKEN);
                shared.telemetry.time(metrics::OWNERSHIP_LOAD, took);
                telemetry::log::line("ownership-loaded")
                    .field("epoch", won.row.epoch)
                    .field("jobs", scheduler.live_jobs())
                    .field("workers", scheduler.workers().count())
                    .field("took_ms", took.as_millis() as u64)
                    .write();
                let pipeline = Pipeline::new(won.row, won.version, won.sent_at);
                return Some(Loaded { scheduler, pipeline, inbox });
            }
            Err(error) => {
                telemetry::log::line("ownership-not-loaded").text("why", error).write();
            }
        }
        if clock::now().saturating_sub(began_at) > LOAD_MAX {
            return None;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn read_all<P: Platform>(
    shared: &Shared<P>,
    won: &Won,
) -> Result<(Scheduler, Vec<Row>), ReadError> {
    let settings = shared.settings.scheduling.clone();
    let lease = settings.lease;
    // A job leaves the inbox for the table of jobs, so that it is found in one of them in this order.
    let inbox = shared.platform.read_whole(Table::Inbox).await?.changed;
    let (jobs, progress, assignments, host_commands, baseline_hosts) = tokio::try_join!(
        shared.platform.read_whole(Table::Jobs),
        shared.platform.read_whole(Table::Progress),
        shared.platform.read_whole(Table::Assignments),
        shared.platform.get(Table::Owner, HOST_ORDERS_KEY),
        shared.platform.get(Table::Owner, OWN_HOSTS_KEY),
    )?;
    let workers = shared.platform.registered(None, Duration::ZERO).await?;
    let now = clock::now();
    let mut scheduler = Scheduler::new(settings, won.row.epoch, clock::unix_now_ms(), now);
    if let Some((config, _)) = shared.config(now) {
        scheduler.set_config(config.scheduling.clone());
    }
    let lease_left = lease_left(won, lease);
    scheduler.set_workers(workers.changed, lease_left, now);
    if let Some(orders) = host_commands.as_ref().and_then(rows::read) {
        scheduler.restore_host_commands(orders, now);
    }
    if let Some(baseline_hosts) = baseline_hosts.as_ref().and_then(rows::read) {
        scheduler.restore_baseline_hosts(baseline_hosts);
    }
    let (waves, progress): (Vec<Row>, Vec<Row>) =
        progress.changed.into_iter().partition(|row| row.key.starts_with(rows::WAVE_PREFIX));
    for (key, row) in read_all_of::<String, WaveRow>(waves).iter() {
        if let Ok(wave) = key[rows::WAVE_PREFIX.len()..].parse() {
            scheduler.restore_wave(wave, row.clone());
        }
    }
    let mut progress: SortedMap<JobId, Progress> = read_all_of(progress);
    for (id, record) in read_all_of::<JobId, Arc<JobRecord>>(jobs.changed).iter() {
        let known = progress.remove(id).unwrap_or_default();
        scheduler.restore_job(record.clone(), &known, now);
    }
    for (id, known) in progress.iter() {
        scheduler.restore_finished_job(id.clone(), known, now);
    }
    scheduler.restore_assignments(read_all_of(assignments.changed), lease_left, now);
    Ok((scheduler, inbox))
}

/// Longest time for which a lease that the owner before has asked for may last.
fn lease_left(won: &Won, lease: Duration) -> Duration {
    let longest = lease + lease / 40 + LEASE_SLACK;
    match won.reason {
        Reason::First => Duration::ZERO,
        // It has ended, so it renews no lease any more.
        Reason::Released | Reason::Ended => longest,
        // It may have renewed leases for as long as its last transaction let it.
        Reason::Silent => longest + VALIDITY - REFUSED_MAX,
        Reason::Stuck => longest + VALIDITY,
    }
}

/// Rows by key, without those that cannot be read.
fn read_all_of<K, T>(rows: Vec<Row>) -> SortedMap<K, T>
where
    K: From<String> + Ord,
    T: serde::de::DeserializeOwned,
{
    let read = |row: Row| rows::read(&row).map(|value| (K::from(row.key), value));
    rows.into_iter().filter_map(read).collect()
}
