//! Answers to callers, at any node: by the owner if it can be reached, from the store otherwise.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use scheduler::JobRecord;
use scheduler::JobView;
use scheduler::Moment;
use scheduler::Progress;
use scheduler::QueueName;
use scheduler::TeamName;

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
use crate::shared::StateReply;
use crate::shared::SubmitReply;

/// Age of the configuration up to which a caller is told that there is no such queue or key.
const DENIAL_AGE_MAX: Duration = Duration::from_millis(1_700);
/// Time for which calls go to the store after the owner did not answer one.
const OWNER_BYPASS_TIME: Duration = Duration::from_millis(600);
/// Pause between two writes of which the first may have been carried out.
const INBOX_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest time after which a caller may try again while the store is away, in seconds.
const OUTAGE_RETRY_MAX_S: u64 = 2;
/// Time after which a caller may try again while the node knows no configuration of late.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a request is about and who sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Access {
    /// Queue.
    pub queue: QueueName,
    /// Team of the key; none on a queue that is open to all.
    pub team: Option<TeamName>,
    /// Rest of the path after the queue's prefix.
    pub rest: String,
    /// Largest body, in bytes.
    pub body_bytes_max: usize,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is no such queue.
    #[error("no queue has this host name and path")]
    NoQueue,
    /// The key is not known.
    #[error("the key is missing, unknown or withdrawn")]
    UnknownKey,
    /// The node cannot tell which configuration is in force.
    #[error("this node does not know the newest configuration; nothing was done")]
    Stale {
        /// When to try again.
        retry_after: Duration,
    },
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// It is not stored and never runs.
    NotStored {
        /// When to try again.
        retry_after: Duration,
    },
    /// It may be stored.
    Unknown,
}

/// What is known of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// Its state.
    Found(JobView),
    /// There is no such job.
    NoJob,
    /// It is another team's.
    OtherTeam,
    /// It cannot be told now.
    Unknown,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled, or had ended before.
    Done,
    /// There is no such job.
    NoJob,
    /// It is another team's.
    OtherTeam,
    /// It cannot be told now.
    Unknown,
}

impl<P: Platform> Node<P> {
    /// Finds the queue of a request and checks its key.
    pub fn access(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
        now: Moment,
    ) -> Result<Access, Refusal> {
        let stale = Refusal::Stale { retry_after: STALE_RETRY_AFTER };
        let (config, age) = self.shared.config(now).ok_or(stale)?;
        let is_sure = age <= DENIAL_AGE_MAX;
        let deny = |refusal| if is_sure { refusal } else { stale };
        let route = config.route(host, path).ok_or_else(|| deny(Refusal::NoQueue))?;
        let rest = path[route.path_prefix.len()..].to_owned();
        let access = |team| Access {
            queue: route.queue.clone(),
            team,
            rest: rest.clone(),
            body_bytes_max: config.body_bytes_max,
        };
        if route.is_open {
            return Ok(access(None));
        }
        let team = team_of(&config, key).ok_or_else(|| deny(Refusal::UnknownKey))?;
        // A withdrawn key must not work for longer than its bound.
        if age > self.shared.settings.key_age_max {
            return Err(stale);
        }
        Ok(access(Some(team)))
    }

    /// The configuration in force at this node.
    pub fn config(&self) -> Option<Arc<CallerConfig>> {
        self.shared.config(clock::now()).map(|(config, _)| config)
    }

    /// Accepts a job: it is stored once this says so. What is not known at `deadline` stays unknown.
    pub async fn submit(&self, record: JobRecord, deadline: Moment) -> SubmitOutcome {
        let record = Arc::new(record);
        let by_owner = self.owner().submit(&record).await;
        match by_owner {
            Ok(SubmitReply::Accepted) => SubmitOutcome::Accepted,
            Ok(SubmitReply::NotStored) => self.submit_through_inbox(&record, false, deadline).await,
            Ok(SubmitReply::Unknown) => self.submit_through_inbox(&record, true, deadline).await,
            Err(error) => {
                let may_be_stored = matches!(error, PeerError::NoReply(_));
                self.bypass_owner(&error);
                self.submit_through_inbox(&record, may_be_stored, deadline).await
            }
        }
    }

    /// State of a job.
    pub async fn job(&self, id: &str, team: Option<&TeamName>) -> JobLookup {
        let reply = self.owner().state(id, team).await;
        match reply {
            Ok(StateReply::Found(view)) => JobLookup::Found(view),
            Ok(StateReply::OtherTeam) => JobLookup::OtherTeam,
            Ok(StateReply::NoJob) => self.job_from_store(id, team).await,
            Err(error) => {
                self.bypass_owner(&error);
                self.job_from_store(id, team).await
            }
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &str, team: Option<&TeamName>) -> CancelOutcome {
        let reply = self.owner().cancel(id, team).await;
        match reply {
            Ok(CancelReply::Done) => CancelOutcome::Done,
            Ok(CancelReply::OtherTeam) => CancelOutcome::OtherTeam,
            Ok(CancelReply::NoJob | CancelReply::Unknown) => {
                self.cancel_through_inbox(id, team).await
            }
            Err(error) => {
                self.bypass_owner(&error);
                self.cancel_through_inbox(id, team).await
            }
        }
    }

    /// Number of jobs of a queue that wait; none if the owner does not answer.
    pub async fn waiting(&self, queue: &QueueName) -> Option<usize> {
        match self.owner().waiting(queue).await {
            Ok(count) => Some(count),
            Err(error) => {
                self.bypass_owner(&error);
                None
            }
        }
    }

    /// The owner, as this node reaches it now.
    fn owner(&self) -> OwnerLink<'_, P> {
        if self.shared.held_ownership().is_some_and(|ownership| ownership.is_ready) {
            return OwnerLink::Local(&self.shared);
        }
        let location = self.shared.owner_location();
        let is_own = location.row.incarnation == self.shared.settings.incarnation;
        let is_usable =
            !is_own && !location.row.is_released && clock::now() >= location.bypassed_until;
        match location.row.address.filter(|_| is_usable) {
            Some(address) => {
                OwnerLink::Remote(OwnerClient { client: &self.shared.client, address })
            }
            None => OwnerLink::Unreachable,
        }
    }

    fn bypass_owner(&self, error: &PeerError) {
        if matches!(error, PeerError::NoReply(_)) {
            self.shared.bypass_owner(clock::now() + OWNER_BYPASS_TIME);
        }
    }

    /// Stores a job for the owner to find. While it may be stored already, the write is repeated, since
    /// only a write that is committed tells the caller what is so.
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
            if !is_unsure && !self.shared.is_store_up() {
                return retry;
            }
            let transaction = Transaction {
                puts: vec![(Table::Inbox, key.clone(), value.clone())],
                ..Transaction::default()
            };
            match self.shared.platform.write(transaction).await {
                WriteOutcome::Committed(_) => {
                    self.shared.record_store_reply(true);
                    return SubmitOutcome::Accepted;
                }
                WriteOutcome::Unknown(_) => is_unsure = true,
                WriteOutcome::Conflict(_) | WriteOutcome::Refused(_) if !is_unsure => return retry,
                WriteOutcome::Conflict(_) | WriteOutcome::Refused(_) => {}
            }
            self.shared.record_store_reply(false);
            if clock::now() + INBOX_RETRY_PAUSE >= deadline {
                return SubmitOutcome::Unknown;
            }
            tokio::time::sleep(INBOX_RETRY_PAUSE).await;
        }
    }

    /// Reads the state of a job that the owner does not know, or that it cannot be asked about.
    async fn job_from_store(&self, id: &str, team: Option<&TeamName>) -> JobLookup {
        match self.find_stored(id).await {
            Ok(Some((view, job_team))) => match is_allowed(job_team.as_ref(), team) {
                true => JobLookup::Found(view),
                false => JobLookup::OtherTeam,
            },
            Ok(None) => JobLookup::NoJob,
            Err(error) => {
                telemetry::log::line("job-not-read").text("job", id).text("why", error).write();
                JobLookup::Unknown
            }
        }
    }

    /// Stores a cancellation for the owner to find.
    async fn cancel_through_inbox(&self, id: &str, team: Option<&TeamName>) -> CancelOutcome {
        match self.job_from_store(id, team).await {
            JobLookup::Found(JobView::Ended(_)) => return CancelOutcome::Done,
            JobLookup::Found(_) => {}
            JobLookup::NoJob => return CancelOutcome::NoJob,
            JobLookup::OtherTeam => return CancelOutcome::OtherTeam,
            JobLookup::Unknown => return CancelOutcome::Unknown,
        }
        let value = rows::encode(&InboxRow::Cancel { job: id.to_owned() });
        let transaction = Transaction {
            puts: vec![(Table::Inbox, inbox_key("cancel", id), value)],
            ..Transaction::default()
        };
        match self.shared.platform.write(transaction).await {
            WriteOutcome::Committed(_) => CancelOutcome::Done,
            _ => CancelOutcome::Unknown,
        }
    }

    async fn find_stored(
        &self,
        id: &str,
    ) -> Result<Option<(JobView, Option<TeamName>)>, ReadError> {
        let platform = &self.shared.platform;
        // A job leaves the inbox once its record is written, and its record goes once how it ended is
        // written; read in this order, it is found at one of the places.
        let inbox = platform.get(Table::Inbox, &inbox_key("submit", id)).await?;
        let record = platform.get(Table::Jobs, id).await?;
        let progress = platform.get(Table::Progress, id).await?;
        let progress: Option<Progress> = progress.as_ref().and_then(rows::decode_or_log);
        if let Some(state) = progress.as_ref().and_then(|progress| progress.ended) {
            let team = progress.and_then(|progress| progress.team).map(Into::into);
            return Ok(Some((JobView::Ended(state), team)));
        }
        if let Some(record) = record.as_ref().and_then(rows::decode_or_log::<JobRecord>) {
            let view = if progress.is_some() { JobView::Running } else { JobView::Queued };
            return Ok(Some((view, record.team)));
        }
        match inbox.as_ref().and_then(rows::decode_or_log) {
            Some(InboxRow::Submit(record)) => Ok(Some((JobView::Queued, record.team))),
            _ => Ok(None),
        }
    }
}

/// Time after which a caller may try again while the store is away; spread, so that not all return at
/// the same moment.
fn outage_retry_after() -> Duration {
    Duration::from_secs(rand::rng().random_range(1..=OUTAGE_RETRY_MAX_S))
}

/// Key of a row in the inbox.
pub(crate) fn inbox_key(kind: &str, job: &str) -> String {
    format!("{kind}/{job}")
}

/// True if a job of `owner` may be seen by `requester`.
pub(crate) fn is_allowed(job_team: Option<&TeamName>, requester: Option<&TeamName>) -> bool {
    job_team.is_none() || job_team == requester
}

fn team_of(config: &CallerConfig, key: Option<&str>) -> Option<TeamName> {
    config.keys.get(key?).cloned()
}
