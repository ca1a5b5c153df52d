//! Life cycle of a request: received, admitted, queued, dispatched, answered.
//!
//! Each step consumes the one before it, so that a request cannot be sent before it was admitted,
//! or twice. Each way out before the dispatch is a [`GatewayError`] that says "not run".

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
use crate::wait_queue::WaitError;
use crate::wait_queue::WaitHandle;
use crate::wait_queue::WaitQueue;
use crate::wait_queue::WaitQueues;

/// A request at one step of its life.
pub struct StagedRequest<S> {
    /// Id.
    pub id: RequestId,
    /// Step, with what the step needs.
    pub stage: S,
}

/// Its head has been read.
pub struct Received {
    /// When.
    pub at: Instant,
}

/// What was admitted; stays the same through all later steps.
#[derive(Clone)]
pub struct AdmittedRequest {
    /// Team, queue and service.
    pub admission: Admission,
    /// Line of the queue.
    pub wait_queue: Arc<WaitQueue>,
    /// When the caller gives up.
    pub deadline: Deadline,
    class: Class,
    share_weight: u32,
    authorization: Option<HeaderValue>,
    version: ConfigVersion,
}

/// It waits for tokens.
pub struct Queued {
    /// What was admitted.
    pub admitted: AdmittedRequest,
    wait_handle: WaitHandle,
}

/// It has its tokens and is sent.
pub struct Dispatched {
    /// What was admitted.
    pub admitted: AdmittedRequest,
    /// Tokens.
    pub held: HeldTokens,
}

/// Whether a request waits.
pub enum DispatchNow {
    /// It has its tokens.
    Dispatched(StagedRequest<Dispatched>),
    /// It waits for them.
    Queued(StagedRequest<Queued>),
}

/// Its end, if that is an answer of a backend server.
pub struct RelayedResponse {
    /// Id of the request that the answer belongs to.
    pub id: RequestId,
    /// Outcome.
    pub outcome: Outcome,
    /// The answer.
    pub response: Response<Body>,
}

impl StagedRequest<Received> {
    /// Admits the request to `queue_name`, or refuses it.
    pub fn admit(
        self,
        config: &Config,
        routes: &Routes,
        settings: &GatewaySettings,
        queue_name: &str,
        headers: &HeaderMap,
    ) -> Result<StagedRequest<AdmittedRequest>, GatewayError> {
        let admission = admit(config, queue_name, bearer(headers))?;
        let wait = deadline(headers).map_err(|text| {
            let detail = format!("Savorypitch-Deadline-Ms is not a count of milliseconds: {text}");
            GatewayError::not_run(StatusCode::BAD_REQUEST, detail)
        })?;
        let wait_queue = routes
            .wait_queue(queue_name)
            .ok_or_else(|| admission_error(AdmissionError::NoQueue))?;
        let is_urgent = headers.get(CLASS).is_some_and(|class| class == "urgent");
        let admitted = AdmittedRequest {
            wait_queue: wait_queue.clone(),
            deadline: Deadline::new(self.stage.at, wait, settings.request_timeout),
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
    /// Queues the request, or refuses it if it could not start in time.
    pub fn enqueue(
        self,
        wait_queues: &Arc<WaitQueues>,
        now: Instant,
    ) -> Result<StagedRequest<Queued>, GatewayError> {
        let admitted = self.stage;
        let entry = Entry {
            team: admitted.admission.team.clone(),
            share_weight: admitted.share_weight,
            class: admitted.class,
            deadline: admitted.deadline.at,
        };
        let wait_handle =
            wait_queues.enqueue(&admitted.wait_queue, entry, now).map_err(|refused| {
                let status = match refused.reason {
                    Reason::Full => StatusCode::TOO_MANY_REQUESTS,
                    Reason::Deadline => StatusCode::SERVICE_UNAVAILABLE,
                };
                GatewayError::retryable(status, refused.reason, refused.retry_after)
            })?;
        Ok(StagedRequest { id: self.id, stage: Queued { admitted, wait_handle } })
    }
}

impl StagedRequest<Queued> {
    /// The next step, if the tokens came without waiting.
    pub fn dispatch_now(mut self) -> DispatchNow {
        match self.stage.wait_handle.try_granted() {
            Some(Ok(held)) => {
                let stage = Dispatched { admitted: self.stage.admitted, held };
                DispatchNow::Dispatched(StagedRequest { id: self.id, stage })
            }
            Some(Err(_)) | None => DispatchNow::Queued(self),
        }
    }

    /// Leaves the line.
    pub fn leave_queue(self) -> StagedRequest<AdmittedRequest> {
        StagedRequest { id: self.id, stage: self.stage.admitted }
    }

    /// Waits for the tokens.
    pub async fn dispatch(self, now: Instant) -> Result<StagedRequest<Dispatched>, GatewayError> {
        let Queued { admitted, mut wait_handle } = self.stage;
        let until = admitted.deadline.wait_end(now, admitted.wait_queue.queue_limits.wait_max);
        match wait_handle.granted(until).await {
            Ok(held) => Ok(StagedRequest { id: self.id, stage: Dispatched { admitted, held } }),
            Err(end) => Err(wait_error(end)),
        }
    }
}

impl AdmittedRequest {
    /// Checks the key and its right again, if the configuration has changed meanwhile.
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

fn wait_error(end: WaitError) -> GatewayError {
    let (status, detail) = match end {
        WaitError::Expired => (StatusCode::SERVICE_UNAVAILABLE, "no slot became free in time"),
        WaitError::Dropped => (StatusCode::TOO_MANY_REQUESTS, "the queue is full"),
        WaitError::TeamLimit => (StatusCode::TOO_MANY_REQUESTS, "the team has reached its limit"),
    };
    GatewayError::retryable(status, detail, RETRY_AFTER)
}
