//! The owner as a node reaches it: in this process, at another node, or not at all.

use std::sync::Arc;

use scheduler::JobRecord;
use scheduler::QueueName;
use scheduler::TeamName;

use crate::peers::OwnerClient;
use crate::peers::PeerError;
use crate::ports::Platform;
use crate::shared::CancelReply;
use crate::shared::NotAsked;
use crate::shared::OwnerRequest;
use crate::shared::Shared;
use crate::shared::StateReply;
use crate::shared::SubmitReply;

/// Where the owner is.
pub(crate) enum OwnerLink<'a, P> {
    /// In this process.
    Here(&'a Shared<P>),
    /// At another node.
    There(OwnerClient<'a>),
    /// Not known, or it did not answer of late.
    Nowhere,
}

impl<P: Platform> OwnerLink<'_, P> {
    /// Hands a job to the owner.
    pub async fn submit(&self, record: &Arc<JobRecord>) -> Result<SubmitReply, PeerError> {
        match self {
            Self::Here(shared) => {
                let limit = shared.settings.own_write_timeout;
                let record = record.clone();
                let asked = shared.ask_owner(|reply| OwnerRequest::Submit { record, reply });
                match tokio::time::timeout(limit, asked).await {
                    Ok(Ok(reply)) => Ok(reply),
                    // The owner may have sent the transaction before it gave up.
                    Ok(Err(NotAsked::GaveUp)) => Ok(SubmitReply::Unknown),
                    Ok(Err(error)) => Err(error.into()),
                    Err(_) => {
                        Err(PeerError::NoAnswer("this node's store writes are late".to_owned()))
                    }
                }
            }
            Self::There(owner) => owner.submit(record).await,
            Self::Nowhere => Err(nowhere()),
        }
    }

    /// Asks for the state of a job.
    pub async fn state(&self, id: &str, team: Option<&TeamName>) -> Result<StateReply, PeerError> {
        match self {
            Self::Here(shared) => {
                let (job, asker) = (id.to_owned(), team.cloned());
                let asked = shared.ask_owner(|reply| OwnerRequest::State { job, asker, reply });
                asked.await.map_err(PeerError::from)
            }
            Self::There(owner) => owner.state(id, team.map(|team| &**team)).await,
            Self::Nowhere => Err(nowhere()),
        }
    }

    /// Cancels a job.
    pub async fn cancel(
        &self,
        id: &str,
        team: Option<&TeamName>,
    ) -> Result<CancelReply, PeerError> {
        match self {
            Self::Here(shared) => {
                let (job, asker) = (id.to_owned(), team.cloned());
                let asked = shared.ask_owner(|reply| OwnerRequest::Cancel { job, asker, reply });
                asked.await.map_err(PeerError::from)
            }
            Self::There(owner) => owner.cancel(id, team.map(|team| &**team)).await,
            Self::Nowhere => Err(nowhere()),
        }
    }

    /// Asks how many jobs of a queue wait.
    pub async fn waiting(&self, queue: &QueueName) -> Result<usize, PeerError> {
        match self {
            Self::Here(shared) => {
                let queue = queue.clone();
                let asked = shared.ask_owner(|reply| OwnerRequest::Waiting { queue, reply });
                asked.await.map_err(PeerError::from)
            }
            Self::There(owner) => owner.waiting(queue).await,
            Self::Nowhere => Err(nowhere()),
        }
    }
}

fn nowhere() -> PeerError {
    PeerError::NotTaken("no owner is known".to_owned())
}

impl From<NotAsked> for PeerError {
    fn from(error: NotAsked) -> Self {
        Self::NotTaken(error.to_string())
    }
}
