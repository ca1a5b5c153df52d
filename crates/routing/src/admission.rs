//! Admission: checks that the API key of a request gives access to its queue.

use model::Config;
use model::CustomerId;
use model::QueueId;
use model::ServiceId;
use model::TeamRef;
use model::contract::Access;
use model::key::KeyHolder;

/// Identity under which an admitted request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Team whose limits and shares the request counts against.
    pub team: TeamRef,
    /// Queue that the request was sent to.
    pub queue: QueueId,
    /// Customer that the queue and its service belong to.
    pub customer: CustomerId,
    /// Service whose backend servers run the request.
    pub service: ServiceId,
}

/// Reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The configuration has no queue of this name.
    #[error("no such queue")]
    NoQueue,
    /// The queue needs a key and the request has none.
    #[error("this queue needs a key: send it as `Authorization: Bearer KEY`")]
    NoKey,
    /// The key is unknown or was withdrawn.
    #[error("the key is unknown or was withdrawn")]
    BadKey,
    /// The key belongs to an operator, or to a team that may not use the queue.
    #[error("the key's team has no right to this queue")]
    NoPermission,
}

/// Admits a request that carries the API key `secret` to the queue `queue_name`.
pub fn admit(
    config: &Config,
    queue_name: &str,
    secret: Option<&str>,
) -> Result<Admission, AdmissionError> {
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
    Ok(Admission {
        team,
        queue: queue.name.clone(),
        customer: contract.customer.clone(),
        service: queue.service.clone(),
    })
}
