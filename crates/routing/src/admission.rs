//! Who may put work on which queue.

use model::Config;
use model::CustomerId;
use model::QueueId;
use model::ServiceId;
use model::TeamRef;
use model::contract::Access;
use model::key::KeyHolder;

/// Work that its key and queue allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Team that the work counts for.
    pub team: TeamRef,
    /// Queue.
    pub queue: QueueId,
    /// Customer that the service belongs to.
    pub customer: CustomerId,
    /// Service that runs the work.
    pub service: ServiceId,
}

/// Why work is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// No such queue.
    #[error("no such queue")]
    NoQueue,
    /// The queue needs a key and none came.
    #[error("this queue needs a key: send it as `Authorization: Bearer KEY`")]
    NoKey,
    /// The key is unknown or withdrawn.
    #[error("the key is unknown or was withdrawn")]
    BadKey,
    /// The key's team may not use the queue.
    #[error("the key's team has no right to this queue")]
    NoPermission,
}

/// Decides whether work with `secret` may go on `queue_name`.
pub fn admit(
    config: &Config,
    queue_name: &str,
    secret: Option<&str>,
) -> Result<Admitted, AdmissionError> {
    let (contract, queue) = config.queue(queue_name).ok_or(AdmissionError::NoQueue)?;
    let team = match (secret, &queue.access) {
        (Some(secret), _) => {
            let key = config.granted_key(secret).ok_or(AdmissionError::BadKey)?;
            let KeyHolder::Team(team) = &key.holder else {
                return Err(AdmissionError::NoPermission);
            };
            if team.customer != contract.customer || !queue.allows(&team.team) {
                return Err(AdmissionError::NoPermission);
            }
            team.clone()
        }
        (None, Access::Teams(_)) => return Err(AdmissionError::NoKey),
        (None, Access::Open) => {
            let team = queue.open_team.clone().ok_or(AdmissionError::NoKey)?;
            TeamRef { customer: contract.customer.clone(), team }
        }
    };
    Ok(Admitted {
        team,
        queue: queue.name.clone(),
        customer: contract.customer.clone(),
        service: queue.service.clone(),
    })
}
