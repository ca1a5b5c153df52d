//! Sends a request to a backend server, and retries it on others as long as that is allowed.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use axum::body::Body;
use bytes::Bytes;
use events::EventKind;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use limits::LimitKey;
use model::HostId;
use model::Outcome;
use model::RequestId;
use routing::AttemptFailure;
use routing::Deadline;
use routing::FailedAttempt;

use crate::backends::Backend;
use crate::backends::ServiceBackends;
use crate::connection::Connection;
use crate::connection::ExchangeError;
use crate::error_response::GatewayError;
use crate::handler::Gateway;
use crate::handler::RETRY_AFTER;
use crate::header::DEADLINE_MS;
use crate::header::OUTCOME;
use crate::header::remove_hop_by_hop;
use crate::lifecycle::AdmittedRequest;
use crate::probe::ProbeResult;
use crate::request_body::BodyMonitor;
use crate::request_body::OutboundBody;
use crate::response_body::Origin;
use crate::response_body::ResponseBody;
use crate::tokens::ConnectionToken;
use crate::tokens::HeldTokens;
use crate::tokens::InFlightTokens;

/// Response statuses that count as a failure of the backend server.
const FAILURE_STATUSES: [StatusCode; 4] = [
    StatusCode::INTERNAL_SERVER_ERROR,
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// Number of consecutive [`ProbeResult::NotRunning`] results after which the gateway stops waiting
/// for the response.
const NOT_RUNNING_REPORTS: u32 = 2;

/// A request to be sent to a backend server.
pub struct OutboundRequest {
    /// ID that the backend server gets in a header, and under which it can be probed.
    pub id: RequestId,
    /// Data of the admitted request.
    pub admitted: AdmittedRequest,
    /// HTTP request with the target and the headers for the backend server.
    pub request: Request<OutboundBody>,
}

/// Error of an attempt that gave no response for the caller.
struct AttemptError {
    failure: AttemptFailure,
    error: GatewayError,
    /// The request, if no byte of it was sent.
    request: Option<Box<Request<OutboundBody>>>,
    /// Tokens of the request, if it did not run.
    held: Option<HeldTokens>,
    /// True if a retry would fail in the same way.
    is_final: bool,
}

/// Reason why a request that has its tokens and a connection must not be sent.
enum SendBlocked {
    /// The host takes no new work; another host may.
    HostUnavailable,
    /// The node may not send work, or the request is no longer admitted.
    Rejected(GatewayError),
}

/// Reason why no head of a response was received.
enum HeadError {
    Exchange(ExchangeError),
    DeadlinePassed,
    /// The backend server sent nothing and reports that it is not running the request.
    Unresponsive,
}

/// Copy of a request that can be sent again.
struct Replay {
    parts: Parts,
    body: Bytes,
}

impl Gateway {
    /// Sends a request to a backend server, and retries on others while that is safe and within the
    /// retry budget.
    pub(crate) async fn send(
        &self,
        outbound: OutboundRequest,
        mut held: HeldTokens,
    ) -> Result<Response<Body>, GatewayError> {
        let OutboundRequest { id, admitted, mut request } = outbound;
        let is_idempotent = routing::is_idempotent(request.method());
        let mut attempts = 0;
        // The last error of an attempt that may have run; it holds for the whole request.
        let mut unknown = None;
        // Hosts on which an earlier attempt may have run. Probes for it fence the request ID there,
        // so these hosts would refuse another attempt.
        let mut doubtful_hosts: Vec<HostId> = Vec::new();
        loop {
            attempts += 1;
            let replay = Replay::of(&request);
            let service = admitted.wait_queue.service();
            let backend = held.backend().clone();
            let failed = match self.attempt(&id, &admitted, &service, request, held).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            let mut excluded_hosts = doubtful_hosts.clone();
            excluded_hosts.push(backend.host.clone());
            if failed.failure == AttemptFailure::NoResponse {
                unknown = Some(failed.error.clone());
                doubtful_hosts.push(backend.host.clone());
            }
            let error = unknown.clone().unwrap_or(failed.error);
            if failed.is_final {
                return Err(error);
            }
            let Some(next) =
                failed.request.map(|request| *request).or_else(|| replay.map(Replay::into_request))
            else {
                return Err(error);
            };
            let failure = failed.failure;
            let attempt = FailedAttempt { failure, attempts, is_idempotent, is_replayable: true };
            if admitted.deadline.has_passed(Instant::now()) || !self.may_retry(attempt) {
                return Err(error);
            }
            let service = admitted.wait_queue.service();
            let Some(tokens) = self.retry_tokens(&admitted, &service, &excluded_hosts, failed.held)
            else {
                return Err(error);
            };
            self.telemetry.count("request.retried");
            (request, held) = (next, tokens);
        }
    }

    fn may_retry(&self, attempt: FailedAttempt) -> bool {
        let mut budget = self.retry_budget.lock().expect("lock is never poisoned");
        routing::may_retry(attempt, &mut budget)
    }

    fn retry_tokens(
        &self,
        admitted: &AdmittedRequest,
        service: &ServiceBackends,
        excluded_hosts: &[HostId],
        held: Option<HeldTokens>,
    ) -> Option<HeldTokens> {
        let now = Instant::now();
        let wait_queues = &self.wait_queues;
        match held {
            Some(mut held) => {
                wait_queues.move_slot(&mut held, service, excluded_hosts, now).then_some(held)
            }
            None => {
                let team_limit = LimitKey::Running(admitted.admission.team.clone());
                wait_queues.try_acquire_for_retry(service, &team_limit, excluded_hosts, now)
            }
        }
    }

    async fn attempt(
        &self,
        id: &RequestId,
        admitted: &AdmittedRequest,
        service: &ServiceBackends,
        request: Request<OutboundBody>,
        held: HeldTokens,
    ) -> Result<Response<Body>, Box<AttemptError>> {
        let backend = held.backend().clone();
        let connection = match self.connection_to(&backend, service, admitted.deadline).await {
            Ok(connection) => connection,
            Err(reason) => return Err(AttemptError::not_sent(reason, Box::new(request), held)),
        };
        let started = Instant::now();
        match self.check_before_send(admitted, &backend, started) {
            Ok(()) => {}
            Err(SendBlocked::HostUnavailable) => {
                let reason = "the host takes no new work";
                return Err(AttemptError::not_sent(reason, Box::new(request), held));
            }
            Err(SendBlocked::Rejected(error)) => return Err(AttemptError::rejected(error, held)),
        }
        let request = match set_backend_headers(&backend, request, admitted.deadline, started) {
            Ok(request) => request,
            Err((request, reason)) => return Err(AttemptError::not_sent(reason, request, held)),
        };
        let body_monitor = request.body().monitor();
        let mut in_flight = InFlightRequest { connection, tokens: held.dispatch(id.clone()) };
        let head = self
            .wait_for_head(&mut in_flight.connection, request, id, &backend, admitted.deadline)
            .await;
        let now = Instant::now();
        match head {
            Ok(response) => {
                self.handle_response(in_flight, response, body_monitor, service, &backend, started)
            }
            Err(HeadError::Exchange(ExchangeError::NotSent { request, reason })) => {
                let reason = format!("the connection was closed: {reason}");
                Err(AttemptError::not_sent(reason, request, in_flight.tokens.into_held()))
            }
            Err(head_error) => {
                // A failure on the caller's side must not count against the backend server.
                if body_monitor.state().failure().is_none() {
                    self.health.record_failure(service, &backend, now);
                }
                self.record_unknown(id, admitted, &backend, &head_error);
                drop(in_flight);
                Err(AttemptError::no_response(&head_error, &body_monitor))
            }
        }
    }

    /// Checks, just before the first byte is sent, that the node may still send work, that the API
    /// key still has access, and that the host still takes work.
    fn check_before_send(
        &self,
        admitted: &AdmittedRequest,
        backend: &Backend,
        now: Instant,
    ) -> Result<(), SendBlocked> {
        if !self.node.may_admit(now) {
            let detail = "this node may no longer send work";
            let error =
                GatewayError::retryable(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER);
            return Err(SendBlocked::Rejected(error));
        }
        let config = self.node.config();
        admitted.recheck_access(&config).map_err(SendBlocked::Rejected)?;
        let is_schedulable =
            config.host(&backend.host).is_some_and(|host| host.state.is_schedulable());
        if !is_schedulable {
            // Updates the routes, so that the retry chooses among the hosts that take work now.
            self.routes(&config);
            return Err(SendBlocked::HostUnavailable);
        }
        Ok(())
    }

    async fn connection_to(
        &self,
        backend: &Backend,
        service: &ServiceBackends,
        deadline: Deadline,
    ) -> Result<Connection, String> {
        if let Some(connection) = backend.idle.take().await {
            return Ok(connection);
        }
        let token = ConnectionToken::try_acquire(&self.wait_queues.limits, &backend.connections)
            .ok_or("this node may open no more connections to the backend server")?;
        let timeout = self.settings.connect_timeout.min(deadline.remaining(Instant::now()));
        let opened = Connection::open(backend.address, timeout, Some(token)).await;
        opened.map_err(|error| {
            // A deadline that leaves too little time to connect must not count against the backend
            // server.
            let is_cut_short = timeout < self.settings.connect_timeout;
            if !is_cut_short || error.kind() != io::ErrorKind::TimedOut {
                self.health.record_failure(service, backend, Instant::now());
            }
            format!("the backend server could not be reached: {error}")
        })
    }

    /// Sends the request and waits for the head of the response. If none arrives for a while,
    /// probes on a new connection whether the backend server is still running the request.
    async fn wait_for_head(
        &self,
        connection: &mut Connection,
        request: Request<OutboundBody>,
        id: &RequestId,
        backend: &Backend,
        deadline: Deadline,
    ) -> Result<Response<Incoming>, HeadError> {
        let mut exchange = pin!(connection.exchange(request));
        let mut probe_after = self.settings.backend_idle_timeout;
        let mut not_running_reports = 0;
        loop {
            let until = deadline.wait_end(Instant::now(), probe_after);
            tokio::select! {
                biased;
                head = &mut exchange => return head.map_err(HeadError::Exchange),
                () = tokio::time::sleep_until(until.into()) => {}
            }
            if deadline.has_passed(Instant::now()) {
                return Err(HeadError::DeadlinePassed);
            }
            let result = tokio::select! {
                biased;
                head = &mut exchange => return head.map_err(HeadError::Exchange),
                result = self.prober.probe_request(backend, id) => result,
            };
            (not_running_reports, probe_after) = match result {
                ProbeResult::NotRunning => (not_running_reports + 1, self.settings.probe_interval),
                ProbeResult::Running | ProbeResult::Unreachable => {
                    (0, self.settings.backend_idle_timeout)
                }
            };
            if not_running_reports >= NOT_RUNNING_REPORTS {
                return Err(HeadError::Unresponsive);
            }
        }
    }

    fn handle_response(
        &self,
        in_flight: InFlightRequest,
        response: Response<Incoming>,
        body_monitor: BodyMonitor,
        service: &ServiceBackends,
        backend: &Arc<Backend>,
        started: Instant,
    ) -> Result<Response<Body>, Box<AttemptError>> {
        let now = Instant::now();
        if FAILURE_STATUSES.contains(&response.status()) {
            self.health.record_failure(service, backend, now);
        } else {
            self.health.record_success(backend, now - started, now);
        }
        let InFlightRequest { connection, tokens } = in_flight;
        if reports_not_run(&response) {
            drop(connection);
            return Err(AttemptError::not_run(tokens.into_held()));
        }
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let origin = Origin::Backend(backend.clone(), tokens);
        let idle_timeout = self.settings.backend_idle_timeout;
        let body = ResponseBody::new(body, connection, origin, body_monitor, idle_timeout);
        Ok(Response::from_parts(parts, Body::new(body)))
    }

    fn record_unknown(
        &self,
        id: &RequestId,
        admitted: &AdmittedRequest,
        backend: &Backend,
        head_error: &HeadError,
    ) {
        let now = SystemTime::now();
        let host = backend.host.clone();
        if matches!(head_error, HeadError::Unresponsive) {
            self.telemetry.count("backend.silent");
            self.events.record(EventKind::BackendSilent { host: host.clone() }, now);
        }
        if matches!(head_error, HeadError::DeadlinePassed) {
            // The connection is closed now, so a response that still arrives is discarded.
            self.telemetry.count("answer.late_dropped");
        }
        let team = admitted.admission.team.clone();
        self.events.record(EventKind::RequestUnknown { request: id.clone(), team, host }, now);
    }
}

/// Connection and tokens of a request that is being sent. The field order matters: the connection
/// is dropped, and so closed, before the tokens are marked as in doubt.
struct InFlightRequest {
    connection: Connection,
    tokens: InFlightTokens,
}

impl AttemptError {
    fn not_sent(
        reason: impl ToString,
        request: Box<Request<OutboundBody>>,
        held: HeldTokens,
    ) -> Box<Self> {
        Box::new(Self {
            failure: AttemptFailure::NotSent,
            error: GatewayError::retryable(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER),
            request: Some(request),
            held: Some(held),
            is_final: false,
        })
    }

    fn rejected(error: GatewayError, held: HeldTokens) -> Box<Self> {
        Box::new(Self {
            failure: AttemptFailure::NotSent,
            error,
            request: None,
            held: Some(held),
            is_final: true,
        })
    }

    fn not_run(held: HeldTokens) -> Box<Self> {
        let detail = "the backend server did not run the request";
        Box::new(Self {
            failure: AttemptFailure::NotRun,
            error: GatewayError::retryable(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER),
            request: None,
            held: Some(held),
            is_final: false,
        })
    }

    fn no_response(head_error: &HeadError, body_monitor: &BodyMonitor) -> Box<Self> {
        let (status, detail) = match (body_monitor.state().failure(), head_error) {
            (Some((status, detail)), _) => (status, detail.to_owned()),
            (None, HeadError::DeadlinePassed) => {
                (StatusCode::GATEWAY_TIMEOUT, "no answer came in time".to_owned())
            }
            (None, HeadError::Unresponsive) => {
                let detail = "the connection went silent and the request is no longer running";
                (StatusCode::BAD_GATEWAY, detail.to_owned())
            }
            (None, HeadError::Exchange(error)) => (StatusCode::BAD_GATEWAY, error.to_string()),
        };
        Box::new(Self {
            failure: AttemptFailure::NoResponse,
            error: GatewayError::unknown(status, detail),
            request: None,
            held: None,
            is_final: false,
        })
    }
}

impl Replay {
    fn of(request: &Request<OutboundBody>) -> Option<Self> {
        let body = request.body().replay()?;
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.method = request.method().clone();
        parts.uri = request.uri().clone();
        parts.headers = request.headers().clone();
        Some(Self { parts, body })
    }

    fn into_request(self) -> Request<OutboundBody> {
        Request::from_parts(self.parts, OutboundBody::buffered(self.body))
    }
}

/// Returns true if the response states explicitly that the request did not run.
pub fn reports_not_run(response: &Response<Incoming>) -> bool {
    response.headers().get(OUTCOME).is_some_and(|outcome| outcome == Outcome::NotRun.as_str())
}

type UnsentRequest = (Box<Request<OutboundBody>>, String);

fn set_backend_headers(
    backend: &Backend,
    mut request: Request<OutboundBody>,
    deadline: Deadline,
    now: Instant,
) -> Result<Request<OutboundBody>, UnsentRequest> {
    let remaining_ms = deadline.remaining_ms(now);
    if remaining_ms == 0 {
        return Err((Box::new(request), "the deadline has passed".to_owned()));
    }
    let headers = request.headers_mut();
    headers.insert(header::HOST, backend.host_header.clone());
    headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
    Ok(request)
}
