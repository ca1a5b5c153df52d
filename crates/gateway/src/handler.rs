//! Carries one request from its caller to a backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use axum::body::Body;
use events::EventKind;
use events::Recorder;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use limits::LimitKey;
use limits::LimitTable;
use model::Config;
use model::Outcome;
use model::RequestId;
use model::ids::random_id;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use routing::Admitted;
use routing::Candidate;
use routing::Denied;
use telemetry::Telemetry;
use tokio::sync::Notify;

use crate::answer::Refusal;
use crate::answer::mark;
use crate::authority::Authority;
use crate::backend::Connection;
use crate::backend::Connections;
use crate::backend::ExchangeError;
use crate::header::REQUEST_ID;
use crate::header::TEAM;
use crate::header::bearer;
use crate::header::deadline;
use crate::header::remove_hop_by_hop;
use crate::settings::GatewaySettings;
use crate::tokens::AnswerBody;
use crate::tokens::Tokens;

/// Path under which queues are served.
const QUEUE_PREFIX: &str = "/q/";
/// When a caller may try again after a refusal that passes by itself.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Carries requests of callers to backend servers.
pub struct Gateway {
    pub(crate) authority: Arc<dyn Authority>,
    pub(crate) limits: Arc<LimitTable>,
    pub(crate) events: Arc<Recorder>,
    pub(crate) telemetry: Telemetry,
    pub(crate) settings: GatewaySettings,
    connections: Arc<Connections>,
    freed: Arc<Notify>,
    rng: Mutex<SmallRng>,
}

impl Gateway {
    /// Gateway of one node.
    pub fn new(
        authority: Arc<dyn Authority>,
        limits: Arc<LimitTable>,
        events: Arc<Recorder>,
        telemetry: Telemetry,
        settings: GatewaySettings,
    ) -> Self {
        let freed = Arc::new(Notify::new());
        let waiting = freed.clone();
        limits.listen(move || waiting.notify_waiters());
        Self {
            authority,
            limits,
            events,
            telemetry,
            settings,
            connections: Arc::default(),
            freed,
            rng: Mutex::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Body>) -> Response<Body> {
        let request_id: RequestId = random_id();
        match self.carry(request, &request_id).await {
            Ok(mut response) => {
                self.telemetry.count("request.complete");
                mark(&mut response, Outcome::Complete, &request_id);
                response
            }
            Err(refusal) => {
                self.telemetry.count(&format!("request.{}", refusal.outcome));
                refusal.into_response(&request_id)
            }
        }
    }

    async fn carry(
        &self,
        request: Request<Body>,
        request_id: &RequestId,
    ) -> Result<Response<Body>, Refusal> {
        let now = Instant::now();
        let config = self.authority.config();
        let (queue_name, target) = split_target(request.uri())?;
        let wait = deadline(request.headers()).map_err(|text| {
            let detail = format!("Savorypitch-Deadline-Ms is not a count of milliseconds: {text}");
            Refusal::not_run(StatusCode::BAD_REQUEST, detail)
        })?;
        let secret = bearer(request.headers()).map(str::to_owned);
        let admitted = admit(&config, &queue_name, secret.as_deref())?;
        if !self.authority.may_admit(now) {
            let detail = "this node may not take work now";
            return Err(Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER));
        }
        let deadline = now + wait.unwrap_or(self.settings.request_timeout);
        let (candidate, tokens) = self.wait_for_slot(&queue_name, &admitted, deadline).await?;
        // The key may have been withdrawn while the request was waiting.
        admit(&self.authority.config(), &queue_name, secret.as_deref())?;
        let outbound = outbound(request, &target, &candidate, &admitted, request_id)?;
        self.exchange(outbound, candidate, tokens, &admitted, request_id, deadline).await
    }

    async fn wait_for_slot(
        &self,
        queue_name: &str,
        admitted: &Admitted,
        deadline: Instant,
    ) -> Result<(Candidate, Tokens), Refusal> {
        loop {
            let freed = self.freed.notified();
            let config = self.authority.config();
            if let Some(found) = self.try_slot(&config, admitted) {
                return Ok(found);
            }
            let queue_wait = config.queue(queue_name).map_or(0, |(_, queue)| queue.wait_max_ms);
            let until = deadline.min(Instant::now() + Duration::from_millis(queue_wait));
            if tokio::time::timeout_at(until.into(), freed).await.is_err() {
                let detail = "no slot became free in time";
                return Err(Refusal::retry(StatusCode::TOO_MANY_REQUESTS, detail, RETRY_AFTER));
            }
        }
    }

    fn try_slot(&self, config: &Config, admitted: &Admitted) -> Option<(Candidate, Tokens)> {
        let contract = config.contract(&admitted.customer)?;
        let candidates: Vec<Candidate> = config
            .hosts_of(contract, &admitted.service)
            .filter(|host| host.state.takes_work())
            .filter_map(|host| {
                let slots = self.limits.get(&LimitKey::Slots(host.id().clone()))?;
                (slots.spare() > 0).then(|| Candidate {
                    host: host.id().clone(),
                    address: host.spec.address,
                    running: slots.running,
                })
            })
            .collect();
        let chosen = {
            let mut rng = self.rng.lock().expect("no holder panics");
            routing::choose(&candidates, &mut *rng)?
        };
        let candidate = candidates[chosen].clone();
        let keys =
            vec![LimitKey::Running(admitted.team.clone()), LimitKey::Slots(candidate.host.clone())];
        let tokens = Tokens::take(&self.limits, &self.freed, keys)?;
        Some((candidate, tokens))
    }

    async fn exchange(
        &self,
        request: Request<Body>,
        candidate: Candidate,
        tokens: Tokens,
        admitted: &Admitted,
        request_id: &RequestId,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let timeout = self.settings.connect_timeout;
        let mut connection =
            self.connections.get(candidate.address, timeout).await.map_err(|error| {
                let detail = format!("the backend server could not be reached: {error}");
                Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER)
            })?;
        let answer = tokio::time::timeout_at(deadline.into(), connection.exchange(request)).await;
        let (status, detail) = match answer {
            Ok(Ok(response)) => {
                self.keep_when_finished(connection);
                let (mut parts, body) = response.into_parts();
                remove_hop_by_hop(&mut parts.headers);
                return Ok(Response::from_parts(parts, Body::new(AnswerBody::new(body, tokens))));
            }
            Ok(Err(ExchangeError::NotSent(reason))) => {
                let detail = format!("the request was not sent: {reason}");
                return Err(Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER));
            }
            Ok(Err(ExchangeError::NoAnswer(error))) => {
                (StatusCode::BAD_GATEWAY, format!("the backend server gave no answer: {error}"))
            }
            Err(_) => (StatusCode::GATEWAY_TIMEOUT, "no answer came in time".to_owned()),
        };
        tokens.doubt();
        let kind = EventKind::RequestUnknown {
            request: request_id.clone(),
            team: admitted.team.clone(),
            host: candidate.host,
        };
        self.events.record(kind, std::time::SystemTime::now());
        Err(Refusal::unknown(status, detail))
    }

    fn keep_when_finished(&self, mut connection: Connection) {
        let connections = self.connections.clone();
        tokio::spawn(async move {
            if connection.finished().await.is_ok() {
                connections.put(connection);
            }
        });
    }
}

fn admit(config: &Config, queue_name: &str, secret: Option<&str>) -> Result<Admitted, Refusal> {
    routing::admit(config, queue_name, secret).map_err(|denied| {
        let status = match denied {
            Denied::NoQueue => StatusCode::NOT_FOUND,
            Denied::NoKey | Denied::BadKey => StatusCode::UNAUTHORIZED,
            Denied::NoRight => StatusCode::FORBIDDEN,
        };
        Refusal::not_run(status, denied)
    })
}

/// Queue name, and path and query as the backend server sees them.
fn split_target(uri: &Uri) -> Result<(String, String), Refusal> {
    let rest = uri.path().strip_prefix(QUEUE_PREFIX).ok_or_else(|| {
        Refusal::not_run(StatusCode::NOT_FOUND, "requests go to /q/{queue}/{path}")
    })?;
    let (queue_name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let target = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((queue_name.to_owned(), target))
}

fn outbound(
    request: Request<Body>,
    target: &str,
    candidate: &Candidate,
    admitted: &Admitted,
    request_id: &RequestId,
) -> Result<Request<Body>, Refusal> {
    let (mut parts, body) = request.into_parts();
    let malformed =
        |error: &dyn std::error::Error| Refusal::not_run(StatusCode::BAD_REQUEST, error);
    parts.uri = target.parse().map_err(|error| malformed(&error))?;
    let headers = &mut parts.headers;
    remove_hop_by_hop(headers);
    headers.remove(header::AUTHORIZATION);
    let host =
        HeaderValue::from_str(&candidate.address.to_string()).map_err(|error| malformed(&error))?;
    headers.insert(header::HOST, host);
    let id = HeaderValue::from_str(request_id).map_err(|error| malformed(&error))?;
    headers.insert(REQUEST_ID, id);
    let team =
        HeaderValue::from_str(&admitted.team.to_string()).map_err(|error| malformed(&error))?;
    headers.insert(TEAM, team);
    Ok(Request::from_parts(parts, body))
}
