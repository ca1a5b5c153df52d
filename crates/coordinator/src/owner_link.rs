//! Passes requests to the owner, which may run in this process, at another node, or be unreachable.

use std::sync::Arc;

use scheduler::JobRecord;
use scheduler::QueueName;
use scheduler::TeamName;

use crate::peers::OwnerClient;
use crate::peers::PeerError;
use crate::ports::Platform;
use crate::shared::CancelReply;
use crate::shared::OwnerRequest;
use crate::shared::OwnerRequestError;
use crate::shared::Shared;
use crate::shared::StateReply;
use crate::shared::SubmitReply;

/// How a node reaches the owner.
pub(crate) enum OwnerLink<'a, P> {
    /// The owner runs in this process.
    Local(&'a Shared<P>),
    /// The owner runs at another node.
    Remote(OwnerClient<'a>),
    /// The owner is unknown, or did not reply recently.
    Unreachable,
}

impl<P: Platform> OwnerLink<'_, P> {
    /// Submits a job to the owner.
    pub async fn submit(&self, record: &Arc<JobRecord>) -> Result<SubmitReply, PeerError> {
        match self {
            Self::Local(shared) => {
                let time_limit = shared.node.settings.local_write_timeout;
                let record = record.clone();
                let request = shared.request_owner(|reply| OwnerRequest::Submit { record, reply });
                match tokio::time::timeout(time_limit, request).await {
                    Ok(Ok(reply)) => Ok(reply),
                    // The owner may have sent the transaction before it lost the ownership.
                    Ok(Err(OwnerRequestError::OwnershipLost)) => Ok(SubmitReply::Unknown),
                    Ok(Err(error)) => Err(error.into()),
                    Err(_) => Err(PeerError::NoReply(
                        "this node's writes to the store are late".to_owned(),
                    )),
                }
            }
            Self::Remote(owner) => owner.submit(record).await,
            Self::Unreachable => Err(no_owner()),
        }
    }

    /// Requests the state of a job.
    pub async fn state(&self, id: &str, team: Option<&TeamName>) -> Result<StateReply, PeerError> {
        match self {
            Self::Local(shared) => {
                let (job, requester) = (id.to_owned(), team.cloned());
                let request =
                    shared.request_owner(|reply| OwnerRequest::State { job, requester, reply });
                request.await.map_err(PeerError::from)
            }
            Self::Remote(owner) => owner.state(id, team.map(|team| &**team)).await,
            Self::Unreachable => Err(no_owner()),
        }
    }

    /// Cancels a job.
    pub async fn cancel(
        &self,
        id: &str,
        team: Option<&TeamName>,
    ) -> Result<CancelReply, PeerError> {
        match self {
            Self::Local(shared) => {
                let (job, requester) = (id.to_owned(), team.cloned());
                let request =
                    shared.request_owner(|reply| OwnerRequest::Cancel { job, requester, reply });
                request.await.map_err(PeerError::from)
            }
            Self::Remote(owner) => owner.cancel(id, team.map(|team| &**team)).await,
            Self::Unreachable => Err(no_owner()),
        }
    }

    /// Requests the number of jobs of a queue that have not started.
    pub async fn waiting(&self, queue: &QueueName) -> Result<usize, PeerError> {
        match self {
            Self::Local(shared) => {
                let queue = queue.clone();
                let request =
                    shared.request_owner(|reply| OwnerRequest::CountWaiting { queue, reply });
                request.await.map_err(PeerError::from)
            }
            Self::Remote(owner) => owner.waiting(queue).await,
            Self::Unreachable => Err(no_owner()),
        }
    }
}

fn no_owner() -> PeerError {
    PeerError::NotExecuted("no owner is known".to_owned())
}

impl From<OwnerRequestError> for PeerError {
    fn from(error: OwnerRequestError) -> Self {
        Self::NotExecuted(error.to_string())
    }
}
