//! Serves callers' requests at any node: through the owner of the job's shard if it can be reached,
//! else through the store.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Moment;
use scheduler::Progress;
use scheduler::Queue;
use scheduler::QueueName;
use scheduler::ShardIndex;
use scheduler::TeamName;
use scheduler::UnstorableJob;

use crate::clock;
use crate::config::CallerConfig;
use crate::node::Node;
use crate::owner_link::OwnerLink;
use crate::peers::OwnerClient;
use crate::peers::PeerError;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::ports::WriteOutcome;
use crate::rows;
use crate::rows::InboxRow;
use crate::shared::CancelReply;
use crate::shared::Shared;
use crate::shared::StateReply;
use crate::shared::SubmitReply;

/// Largest age of the configuration at which a node may tell a caller that a queue or key doesn't
/// exist.
const DENIAL_AGE_MAX: Duration = Duration::from_millis(1_700);
/// Time for which calls bypass the owner and go to the store, after the owner did not reply to one.
const OWNER_BYPASS_TIME: Duration = Duration::from_millis(600);
/// Pause before a write to the inbox that may have been committed is repeated.
const INBOX_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Upper end of the random retry time that callers get while the store is unavailable, in seconds.
const OUTAGE_RETRY_MAX_S: u64 = 2;
/// Retry time that callers get while the node has no recent configuration.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The queue that a request belongs to, and who sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Access {
    /// Queue that the request's host name and path lead to.
    pub queue: QueueName,
    /// Settings of the queue.
    pub queue_settings: Queue,
    /// Team of the key; none on a queue that is open to all.
    pub team: Option<TeamName>,
    /// Rest of the path after the queue's prefix.
    pub rest: String,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: usize,
}

impl Access {
    /// Completes the record of a job that the request submits. The job keeps the settings of the queue
    /// beyond versions of the configuration that drop it.
    pub fn accept(&self, record: JobRecord, accepted_ms: u64) -> JobRecord {
        JobRecord {
            queue: self.queue.clone(),
            pool: self.queue_settings.pool.clone(),
            queue_settings: Some(Box::new(self.queue_settings.clone())),
            team: self.team.clone(),
            accepted_ms,
            ..record
        }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No queue has the request's host name and path.
    #[error("no queue has this host name and path")]
    NoQueue,
    /// The queue requires a key, and the request has no valid one.
    #[error("the key is missing, unknown or withdrawn")]
    UnknownKey,
    /// The node's configuration may be outdated, so that it can neither accept nor deny the
    /// request.
    #[error("this node does not know the newest configuration; nothing was done")]
    Stale {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job is not stored and never runs.
    NotStored {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The job can't be stored, and submitting it again is of no use.
    Unstorable(Unstorable),
    /// The job may be stored; the caller may submit it again.
    Unknown,
}

/// Why a job can't be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unstorable {
    /// The job is larger than a row.
    #[error("the stored form of the job has {bytes} bytes; at most {bytes_max} fit")]
    Record {
        /// Size of its record.
        bytes: usize,
        /// Largest value of a row.
        bytes_max: usize,
    },
    /// Its progress may become larger than a row.
    #[error(transparent)]
    Progress(#[from] UnstorableJob),
}

/// Result of a request for the state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The job's state.
    Found(JobView),
    /// No such job exists.
    NoJob,
    /// The job belongs to another team.
    OtherTeam,
    /// The state can't be read now.
    Unknown,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The job is cancelled, or had already finished.
    Done,
    /// No such job exists.
    NoJob,
    /// The job belongs to another team.
    OtherTeam,
    /// The cancellation may be stored; the caller may send it again.
    Unknown,
}

/// A job as the store has it.
struct StoredJob {
    view: JobView,
    team: Option<TeamName>,
    shard: ShardIndex,
}

impl<P: Platform> Node<P> {
    /// Finds the queue of a request and checks its key.
    ///
    /// A configuration older than `DENIAL_AGE_MAX` denies nothing: the queue or key may have been
    /// added since.
    pub fn access(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: Moment,
    ) -> Result<Access, Refusal> {
        let stale = Refusal::Stale { retry_after: STALE_RETRY_AFTER };
        let (config, age) = self.node.config(now).ok_or(stale)?;
        let is_recent = age <= DENIAL_AGE_MAX;
        let deny = |refusal| if is_recent { refusal } else { stale };
        let route = config.route(host, path).ok_or_else(|| deny(Refusal::NoQueue))?;
        let rest = path[route.path_prefix.len()..].to_owned();
        let queue_settings = config.scheduling.queues.get(&route.queue);
        let queue_settings = queue_settings.ok_or_else(|| deny(Refusal::NoQueue))?;
        let access = |team| Access {
            queue: route.queue.clone(),
            queue_settings: queue_settings.clone(),
            team,
            rest: rest.clone(),
            body_bytes_max: config.body_bytes_max,
        };
        if route.is_open {
            return Ok(access(None));
        }
        let team = team_of(&config, key).ok_or_else(|| deny(Refusal::UnknownKey))?;
        // A withdrawn key must not be accepted for longer than the configured bound.
        if age > self.node.settings.key_age_max {
            return Err(stale);
        }
        Ok(access(Some(team)))
    }

    /// Returns the active configuration of this node; none before the first was read.
    pub fn config(&self) -> Option<Arc<CallerConfig>> {
        self.node.config(clock::now()).map(|(config, _)| config)
    }

    /// Waits for a configuration newer than `version`.
    pub async fn newer_config(&self, version: u64) -> Arc<CallerConfig> {
        let mut states = self.node.operator_state.subscribe();
        loop {
            let config = states.borrow_and_update().config.clone();
            if let Some(config) = config.filter(|config| config.version > version) {
                return config;
            }
            // The sender lives as long as the node.
            let _ = states.changed().await;
        }
    }

    /// Submits a job, which is stored before it is reported as accepted. A submission whose result
    /// is not known at `deadline` is reported as unknown.
    pub async fn submit(&self, record: JobRecord, deadline: Moment) -> SubmitOutcome {
        if let Err(unstorable) = self.check_storable(&record) {
            return SubmitOutcome::Unstorable(unstorable);
        }
        let record = Arc::new(record);
        let shared = self.node.shard_of_job(&record);
        let by_owner = self.owner(shared).submit(&record).await;
        match by_owner {
            Ok(SubmitReply::Accepted) => SubmitOutcome::Accepted,
            Ok(SubmitReply::NotStored) => self.submit_through_inbox(&record, false, deadline).await,
            Ok(SubmitReply::Unknown) => self.submit_through_inbox(&record, true, deadline).await,
            Err(error) => {
                let may_be_stored = matches!(error, PeerError::NoReply(_));
                handle_failed_call(shared, &error);
                self.submit_through_inbox(&record, may_be_stored, deadline).await
            }
        }
    }

    /// Checks that the job and its progress fit into rows of the store.
    fn check_storable(&self, record: &JobRecord) -> Result<(), Unstorable> {
        let bytes_max = self.node.settings.scheduling.row_bytes_max;
        record.check_storable(bytes_max)?;
        let bytes = rows::encode(&InboxRow::Submit(record.clone())).len();
        match bytes > bytes_max {
            true => Err(Unstorable::Record { bytes, bytes_max }),
            false => Ok(()),
        }
    }

    /// Returns the state of a job of a queue.
    pub async fn job(&self, queue: &str, id: &str, team: Option<&TeamName>) -> JobLookup {
        for shared in self.node.shards_of_job(queue, id).unwrap_or_default() {
            match self.owner(Some(shared)).state(id, team).await {
                Ok(StateReply::Found(view)) => return JobLookup::Found(view),
                Ok(StateReply::OtherTeam) => return JobLookup::OtherTeam,
                Ok(StateReply::NoJob) => {}
                Err(error) => handle_failed_call(Some(shared), &error),
            }
        }
        self.job_from_store(queue, id, team).await.0
    }

    /// Cancels a job of a queue.
    pub async fn cancel(&self, queue: &str, id: &str, team: Option<&TeamName>) -> CancelResult {
        for shared in self.node.shards_of_job(queue, id).unwrap_or_default() {
            match self.owner(Some(shared)).cancel(id, team).await {
                Ok(CancelReply::Done) => return CancelResult::Done,
                Ok(CancelReply::OtherTeam) => return CancelResult::OtherTeam,
                Ok(CancelReply::NoJob) => {}
                // The job is there; the store tells whether it is cancelled.
                Ok(CancelReply::Unknown) => break,
                Err(error) => handle_failed_call(Some(shared), &error),
            }
        }
        self.cancel_through_inbox(queue, id, team).await
    }

    /// Returns the number of jobs of a queue that have not started; none if an owner doesn't reply.
    pub async fn waiting(&self, queue: &QueueName) -> Option<usize> {
        let mut waiting = 0;
        for shared in &self.node.shards.get()?.states {
            match self.owner(Some(shared)).waiting(queue).await {
                Ok(count) => waiting += count,
                Err(error) => {
                    handle_failed_call(Some(shared), &error);
                    return None;
                }
            }
        }
        Some(waiting)
    }

    /// Returns how this node reaches the owner of a shard now.
    fn owner<'a>(&'a self, shared: Option<&'a Arc<Shared<P>>>) -> OwnerLink<'a, P> {
        let Some(shared) = shared else {
            return OwnerLink::Unreachable;
        };
        if shared.held_ownership().is_some_and(|ownership| ownership.is_ready) {
            return OwnerLink::Local(shared);
        }
        let location = shared.owner_location();
        let is_own = location.row.incarnation == self.node.settings.incarnation;
        let is_usable =
            !is_own && !location.row.is_released && clock::now() >= location.bypassed_until;
        let shard = shared.shard;
        match location.row.address.filter(|_| is_usable) {
            Some(address) => {
                OwnerLink::Remote(OwnerClient { client: &self.node.client, address, shard })
            }
            None => OwnerLink::Unreachable,
        }
    }

    /// Stores a job in the inbox, where the owner finds it.
    ///
    /// `is_unsure` says that the job may be stored already. The write is then repeated until it is
    /// committed, since only a committed write allows a definite reply to the caller.
    async fn submit_through_inbox(
        &self,
        record: &JobRecord,
        mut is_unsure: bool,
        deadline: Moment,
    ) -> SubmitOutcome {
        let key = inbox_key("submit", &record.id);
        let value = rows::encode(&InboxRow::Submit(record.clone()));
        loop {
            let retry = SubmitOutcome::NotStored { retry_after: outage_retry_after() };
            if !is_unsure && !self.node.is_store_up() {
                return retry;
            }
            let transaction = Transaction {
                puts: vec![(Table::Inbox, key.clone(), value.clone())],
                ..Transaction::default()
            };
            match self.node.platform.write(transaction).await {
                WriteOutcome::Committed(_) => {
                    self.node.record_store_reply(true);
                    return SubmitOutcome::Accepted;
                }
                WriteOutcome::Unknown(_) => is_unsure = true,
                WriteOutcome::Conflict(_)
                | WriteOutcome::Refused(_)
                | WriteOutcome::Rejected(_)
                    if !is_unsure =>
                {
                    return retry;
                }
                WriteOutcome::Conflict(_)
                | WriteOutcome::Refused(_)
                | WriteOutcome::Rejected(_) => {}
            }
            self.node.record_store_reply(false);
            if clock::now() + INBOX_RETRY_PAUSE >= deadline {
                return SubmitOutcome::Unknown;
            }
            tokio::time::sleep(INBOX_RETRY_PAUSE).await;
        }
    }

    /// Reads the state of a job, and the shard that has it, from the store, if the owners don't
    /// know the job or can't be reached.
    async fn job_from_store(
        &self,
        queue: &str,
        id: &str,
        team: Option<&TeamName>,
    ) -> (JobLookup, ShardIndex) {
        match self.find_stored(queue, id).await {
            Ok(Some(stored)) => match is_allowed(stored.team.as_ref(), team) {
                true => (JobLookup::Found(stored.view), stored.shard),
                false => (JobLookup::OtherTeam, stored.shard),
            },
            Ok(None) => (JobLookup::NoJob, 0),
            Err(error) => {
                telemetry::log::line("job-not-read").text("job", id).text("why", error).write();
                (JobLookup::Unknown, 0)
            }
        }
    }

    /// Stores a cancellation in the inbox, where the owner finds it.
    async fn cancel_through_inbox(
        &self,
        queue: &str,
        id: &str,
        team: Option<&TeamName>,
    ) -> CancelResult {
        let (found, shard) = self.job_from_store(queue, id, team).await;
        match found {
            JobLookup::Found(JobView::Ended(_)) => return CancelResult::Done,
            JobLookup::Found(_) => {}
            JobLookup::NoJob => return CancelResult::NoJob,
            JobLookup::OtherTeam => return CancelResult::OtherTeam,
            JobLookup::Unknown => return CancelResult::Unknown,
        }
        let value = rows::encode(&InboxRow::Cancel { job: id.to_owned(), shard });
        let transaction = Transaction {
            puts: vec![(Table::Inbox, inbox_key("cancel", id), value)],
            ..Transaction::default()
        };
        match self.node.platform.write(transaction).await {
            WriteOutcome::Committed(_) => CancelResult::Done,
            _ => CancelResult::Unknown,
        }
    }

    async fn find_stored(&self, queue: &str, id: &str) -> Result<Option<StoredJob>, ReadError> {
        let shards = self.node.shards_of_job(queue, id);
        let shards =
            shards.ok_or_else(|| ReadError::Refused("the shards are not known yet".to_owned()))?;
        // A job leaves the inbox only after its record is written, and its record is removed only
        // after its final state is written. Reading in this order, a job is found in at least one
        // place.
        let inbox = self.node.platform.get(0, Table::Inbox, &inbox_key("submit", id)).await?;
        for shared in shards {
            if let Some(stored) = self.find_stored_in(shared.shard, id).await? {
                return Ok(Some(stored));
            }
        }
        let Some(InboxRow::Submit(record)) = inbox.as_ref().and_then(rows::decode_or_log) else {
            return Ok(None);
        };
        let shard = self.node.shard_of_job(&record).map_or(0, |shared| shared.shard);
        Ok(Some(StoredJob { view: JobView::Queued, team: record.team, shard }))
    }

    async fn find_stored_in(
        &self,
        shard: ShardIndex,
        id: &str,
    ) -> Result<Option<StoredJob>, ReadError> {
        let platform = &self.node.platform;
        let record = platform.get(shard, Table::Jobs, id).await?;
        let progress = platform.get(shard, Table::Progress, id).await?;
        let progress: Option<Progress> = progress.as_ref().and_then(rows::decode_or_log);
        if let Some(state) = progress.as_ref().and_then(|progress| progress.final_state) {
            let team = progress.and_then(|progress| progress.team).map(Into::into);
            return Ok(Some(StoredJob { view: JobView::Ended(state), team, shard }));
        }
        let Some(record) = record.as_ref().and_then(rows::decode_or_log::<JobRecord>) else {
            return Ok(None);
        };
        let view = if progress.is_some() { JobView::Running } else { JobView::Queued };
        Ok(Some(StoredJob { view, team: record.team, shard }))
    }
}

/// Makes calls bypass an owner that did not reply, and looks for the owner if it is another node.
fn handle_failed_call<P>(shared: Option<&Arc<Shared<P>>>, error: &PeerError) {
    let Some(shared) = shared else {
        return;
    };
    match error {
        PeerError::NoReply(_) => shared.bypass_owner(clock::now() + OWNER_BYPASS_TIME),
        PeerError::NotExecuted(_) => shared.poll_now.notify_one(),
    }
}

/// Returns the time after which a caller may retry while the store is unavailable. It is random, so
/// that callers don't all return at the same moment.
fn outage_retry_after() -> Duration {
    Duration::from_secs(rand::rng().random_range(1..=OUTAGE_RETRY_MAX_S))
}

/// Returns the key of a row in the inbox; `kind` is `submit` or `cancel`.
pub(crate) fn inbox_key(kind: &str, job: &str) -> String {
    format!("{kind}/{job}")
}

/// Returns whether `requester` may see and cancel a job of `job_team`. Everybody may if the job has
/// no team.
pub(crate) fn is_allowed(job_team: Option<&TeamName>, requester: Option<&TeamName>) -> bool {
    job_team.is_none() || job_team == requester
}

fn team_of(config: &CallerConfig, key: Option<&str>) -> Option<TeamName> {
    config.keys.get(key?).cloned()
}
