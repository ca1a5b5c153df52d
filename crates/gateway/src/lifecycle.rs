//! Life cycle of a request: received, admitted, queued, dispatched, responded to.
//!
//! Each stage consumes the previous one, so that a request cannot be sent before it was admitted,
//! and cannot be sent twice. Every error before the dispatch is a [`GatewayError`] with the outcome
//! "not run".

use std::sync::Arc;
use std::time::Instant;

use axum::body::Body;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use model::Config;
use model::ConfigVersion;
use model::Outcome;
use model::RequestId;
use routing::Admission;
use routing::AdmissionError;
use routing::Deadline;
use shares::Class;
use shares::Entry;
use shares::Reason;

use crate::error_response::GatewayError;
use crate::handler::RETRY_AFTER;
use crate::header::CLASS;
use crate::header::bearer;
use crate::header::bearer_value;
use crate::header::deadline;
use crate::routes::Routes;
use crate::settings::GatewaySettings;
use crate::tokens::HeldTokens;
use crate::wait_queue::EnqueueError;
use crate::wait_queue::WaitError;
use crate::wait_queue::WaitHandle;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::WaitQueues;

/// A request at one stage of its life cycle.
pub struct StagedRequest<S> {
    /// ID that the gateway gave the request.
    pub id: RequestId,
    /// Stage, with the data that the stage needs.
    pub stage: S,
}

/// Stage of a request whose head has been received.
pub struct Received {
    /// Time at which the head was received.
    pub at: Instant,
}

/// Stage of an admitted request. All later stages keep this data unchanged.
#[derive(Clone)]
pub struct AdmittedRequest {
    /// Team, queue and service of the request.
    pub admission: Admission,
    /// Wait queue of the request's queue.
    pub wait_queue: Arc<WaitQueue>,
    /// Time at which the caller stops waiting.
    pub deadline: Deadline,
    class: Class,
    share_weight: u32,
    authorization: Option<HeaderValue>,
    version: ConfigVersion,
}

/// Stage of a request that waits for tokens.
pub struct Queued {
    /// Data of the admitted request.
    pub admitted: AdmittedRequest,
    wait_handle: WaitHandle,
}

/// Stage of a request that has its tokens and can be sent.
pub struct Dispatched {
    /// Data of the admitted request.
    pub admitted: AdmittedRequest,
    /// Tokens of a backend server and of the team.
    pub held: HeldTokens,
}

/// Result of an attempt to dispatch a request without waiting.
pub enum DispatchNow {
    /// The request has its tokens.
    Dispatched(StagedRequest<Dispatched>),
    /// The request still waits for tokens.
    Queued(StagedRequest<Queued>),
}

/// Response that the gateway relays to the caller: of a backend server, of another node, or the
/// stored response to an earlier request with the same idempotency key.
pub struct RelayedResponse {
    /// ID of the request that the response belongs to; for a stored response, of the earlier
    /// request.
    pub id: RequestId,
    /// Outcome that the response states.
    pub outcome: Outcome,
    /// Head and body for the caller.
    pub response: Response<Body>,
}

impl StagedRequest<Received> {
    /// Admits the request to the queue `queue_name`, or refuses it.
    pub fn admit(
        self,
        config: &Config,
        routes: &Routes,
        settings: &GatewaySettings,
        queue_name: &str,
        headers: &HeaderMap,
    ) -> Result<StagedRequest<AdmittedRequest>, GatewayError> {
        let admission = admit(config, queue_name, bearer(headers))?;
        let time_limit = deadline(headers).map_err(|text| {
            let detail = format!("Savorypitch-Deadline-Ms is not a count of milliseconds: {text}");
            GatewayError::not_run(StatusCode::BAD_REQUEST, detail)
        })?;
        let wait_queue = routes
            .wait_queue(queue_name)
            .ok_or_else(|| admission_error(AdmissionError::NoQueue))?;
        let is_urgent = headers.get(CLASS).is_some_and(|class| class == "urgent");
        let admitted = AdmittedRequest {
            wait_queue: wait_queue.clone(),
            deadline: Deadline::new(self.stage.at, time_limit, settings.request_timeout),
            class: if is_urgent { Class::Urgent } else { Class::Normal },
            share_weight: config.team(&admission.team).map_or(1, |team| team.share_weight),
            authorization: headers.get(header::AUTHORIZATION).cloned(),
            version: config.version,
            admission,
        };
        Ok(StagedRequest { id: self.id, stage: admitted })
    }
}

impl StagedRequest<AdmittedRequest> {
    /// Adds the request to its wait queue. Refuses it if the queue is full, or if the request could
    /// not start before its deadline.
    pub fn enqueue(
        self,
        wait_queues: &Arc<WaitQueues>,
        now: Instant,
    ) -> Result<StagedRequest<Queued>, GatewayError> {
        let mut admitted = self.stage;
        let entry = Entry {
            team: admitted.admission.team.clone(),
            share_weight: admitted.share_weight,
            class: admitted.class,
            deadline: admitted.deadline.at,
        };
        let enqueued = wait_queues.enqueue(&admitted.admission.queue, entry, now);
        let wait_handle = enqueued.map_err(enqueue_error)?;
        // It may have been replaced since the request was admitted.
        admitted.wait_queue = wait_handle.wait_queue().clone();
        Ok(StagedRequest { id: self.id, stage: Queued { admitted, wait_handle } })
    }
}

impl StagedRequest<Queued> {
    /// Dispatches the request if its tokens were granted immediately.
    pub fn dispatch_now(mut self) -> DispatchNow {
        match self.stage.wait_handle.try_granted() {
            Some(held) => {
                let stage = Dispatched { admitted: self.stage.admitted, held };
                DispatchNow::Dispatched(StagedRequest { id: self.id, stage })
            }
            None => DispatchNow::Queued(self),
        }
    }

    /// Removes the request from its wait queue.
    pub fn leave_queue(self) -> StagedRequest<AdmittedRequest> {
        StagedRequest { id: self.id, stage: self.stage.admitted }
    }

    /// Waits for the tokens, until the deadline or the maximum waiting time of the queue.
    pub async fn dispatch(self, now: Instant) -> Result<StagedRequest<Dispatched>, GatewayError> {
        let Queued { admitted, mut wait_handle } = self.stage;
        let until = admitted.deadline.wait_end(now, admitted.wait_queue.queue_limits.wait_max);
        match wait_handle.granted(until).await {
            Ok(held) => Ok(StagedRequest { id: self.id, stage: Dispatched { admitted, held } }),
            Err(error) => Err(wait_error(error)),
        }
    }
}

impl AdmittedRequest {
    /// Checks the API key and its access to the queue again, if the configuration has changed since
    /// the request was admitted.
    pub fn recheck_access(&self, config: &Config) -> Result<(), GatewayError> {
        if self.version == config.version {
            return Ok(());
        }
        let secret = self.authorization.as_ref().and_then(bearer_value);
        admit(config, &self.admission.queue, secret).map(|_| ())
    }
}

fn admit(
    config: &Config,
    queue_name: &str,
    secret: Option<&str>,
) -> Result<Admission, GatewayError> {
    routing::admit(config, queue_name, secret).map_err(admission_error)
}

fn admission_error(error: AdmissionError) -> GatewayError {
    let status = match error {
        AdmissionError::NoQueue => StatusCode::NOT_FOUND,
        AdmissionError::NoKey | AdmissionError::BadKey => StatusCode::UNAUTHORIZED,
        AdmissionError::NoPermission => StatusCode::FORBIDDEN,
    };
    GatewayError::not_run(status, error)
}

fn enqueue_error(error: EnqueueError) -> GatewayError {
    let EnqueueError::Refused(refused) = error else {
        return admission_error(AdmissionError::NoQueue);
    };
    let status = match refused.reason {
        Reason::Full => StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline => StatusCode::SERVICE_UNAVAILABLE,
    };
    GatewayError::retryable(status, refused.reason, refused.retry_after)
}

fn wait_error(error: WaitError) -> GatewayError {
    let (status, detail) = match error {
        WaitError::Expired => (StatusCode::SERVICE_UNAVAILABLE, "no slot became free in time"),
        WaitError::Dropped => (StatusCode::TOO_MANY_REQUESTS, "the queue is full"),
        WaitError::TeamLimit => (StatusCode::TOO_MANY_REQUESTS, "the team has reached its limit"),
        WaitError::Removed => return admission_error(AdmissionError::NoQueue),
    };
    GatewayError::retryable(status, detail, RETRY_AFTER)
}
