//! Life cycle of a request: received, admitted, queued, dispatched, answered.
//!
//! Each step consumes the one before it, so that a request cannot be sent before it was admitted,
//! or twice. Each way out before the dispatch is a [`Refusal`] that says "not run".

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
use routing::AdmissionError;
use routing::Admitted;
use routing::Deadline;
use shares::Class;
use shares::Entry;
use shares::Reason;

use crate::answer::Refusal;
use crate::handler::RETRY_AFTER;
use crate::header::CLASS;
use crate::header::bearer;
use crate::header::bearer_value;
use crate::header::deadline;
use crate::routes::Routes;
use crate::settings::GatewaySettings;
use crate::tokens::Held;
use crate::waiting::Line;
use crate::waiting::Lines;
use crate::waiting::Place;
use crate::waiting::WaitEnd;

/// A request at one step of its life.
pub struct Work<S> {
    /// Id.
    pub id: RequestId,
    /// Step, with what the step needs.
    pub step: S,
}

/// Its head has been read.
pub struct Received {
    /// When.
    pub at: Instant,
}

/// What was admitted; stays the same through all later steps.
#[derive(Clone)]
pub struct Order {
    /// Team, queue and service.
    pub admitted: Admitted,
    /// Line of the queue.
    pub line: Arc<Line>,
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
    pub order: Order,
    place: Place,
}

/// It has its tokens and is sent.
pub struct Dispatched {
    /// What was admitted.
    pub order: Order,
    /// Tokens.
    pub held: Held,
}

/// Whether a request waits.
pub enum Start {
    /// It has its tokens.
    Now(Work<Dispatched>),
    /// It waits for them.
    Later(Work<Queued>),
}

/// Its end, if that is an answer of a backend server.
pub struct Answered {
    /// Id of the request that the answer belongs to.
    pub id: RequestId,
    /// Outcome.
    pub outcome: Outcome,
    /// The answer.
    pub response: Response<Body>,
}

impl Work<Received> {
    /// Admits the request to `queue_name`, or refuses it.
    pub fn admit(
        self,
        config: &Config,
        routes: &Routes,
        settings: &GatewaySettings,
        queue_name: &str,
        headers: &HeaderMap,
    ) -> Result<Work<Order>, Refusal> {
        let admitted = admit(config, queue_name, bearer(headers))?;
        let wait = deadline(headers).map_err(|text| {
            let detail = format!("Savorypitch-Deadline-Ms is not a count of milliseconds: {text}");
            Refusal::not_run(StatusCode::BAD_REQUEST, detail)
        })?;
        let line = routes.line(queue_name).ok_or_else(|| refuse_denied(AdmissionError::NoQueue))?;
        let is_urgent = headers.get(CLASS).is_some_and(|class| class == "urgent");
        let order = Order {
            line: line.clone(),
            deadline: Deadline::new(self.step.at, wait, settings.request_timeout),
            class: if is_urgent { Class::Urgent } else { Class::Normal },
            share_weight: config.team(&admitted.team).map_or(1, |team| team.share_weight),
            authorization: headers.get(header::AUTHORIZATION).cloned(),
            version: config.version,
            admitted,
        };
        Ok(Work { id: self.id, step: order })
    }
}

impl Work<Order> {
    /// Queues the request, or refuses it if it could not start in time.
    pub fn enqueue(self, lines: &Arc<Lines>, now: Instant) -> Result<Work<Queued>, Refusal> {
        let order = self.step;
        let entry = Entry {
            team: order.admitted.team.clone(),
            share_weight: order.share_weight,
            class: order.class,
            deadline: order.deadline.at,
        };
        let place = lines.enter(&order.line, entry, now).map_err(|refused| {
            let status = match refused.reason {
                Reason::Full => StatusCode::TOO_MANY_REQUESTS,
                Reason::Deadline => StatusCode::SERVICE_UNAVAILABLE,
            };
            Refusal::retry(status, refused.reason, refused.retry_after)
        })?;
        Ok(Work { id: self.id, step: Queued { order, place } })
    }
}

impl Work<Queued> {
    /// The next step, if the tokens came without waiting.
    pub fn dispatch_now(mut self) -> Start {
        match self.step.place.granted_now() {
            Some(Ok(held)) => {
                let step = Dispatched { order: self.step.order, held };
                Start::Now(Work { id: self.id, step })
            }
            Some(Err(_)) | None => Start::Later(self),
        }
    }

    /// Leaves the line.
    pub fn leave(self) -> Work<Order> {
        Work { id: self.id, step: self.step.order }
    }

    /// Waits for the tokens.
    pub async fn dispatch(self, now: Instant) -> Result<Work<Dispatched>, Refusal> {
        let Queued { order, mut place } = self.step;
        let until = order.deadline.within(now, order.line.bounds.wait_max);
        match place.granted(until).await {
            Ok(held) => Ok(Work { id: self.id, step: Dispatched { order, held } }),
            Err(end) => Err(refuse_wait(end)),
        }
    }
}

impl Order {
    /// Checks the key and its right again, if the configuration has changed meanwhile.
    pub fn check_again(&self, config: &Config) -> Result<(), Refusal> {
        if self.version == config.version {
            return Ok(());
        }
        let secret = self.authorization.as_ref().and_then(bearer_value);
        admit(config, &self.admitted.queue, secret).map(|_| ())
    }
}

fn admit(config: &Config, queue_name: &str, secret: Option<&str>) -> Result<Admitted, Refusal> {
    routing::admit(config, queue_name, secret).map_err(refuse_denied)
}

fn refuse_denied(denied: AdmissionError) -> Refusal {
    let status = match denied {
        AdmissionError::NoQueue => StatusCode::NOT_FOUND,
        AdmissionError::NoKey | AdmissionError::BadKey => StatusCode::UNAUTHORIZED,
        AdmissionError::NoPermission => StatusCode::FORBIDDEN,
    };
    Refusal::not_run(status, denied)
}

fn refuse_wait(end: WaitEnd) -> Refusal {
    let (status, detail) = match end {
        WaitEnd::Expired => (StatusCode::SERVICE_UNAVAILABLE, "no slot became free in time"),
        WaitEnd::Displaced => (StatusCode::TOO_MANY_REQUESTS, "the queue is full"),
        WaitEnd::TeamLimit => (StatusCode::TOO_MANY_REQUESTS, "the team has reached its limit"),
    };
    Refusal::retry(status, detail, RETRY_AFTER)
}
