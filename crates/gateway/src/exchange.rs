//! Sends a request to one backend server after another, until one has answered or none may.

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
use model::Outcome;
use model::RequestId;
use routing::Attempt;
use routing::AttemptFailure;
use routing::Deadline;

use crate::answer::Refusal;
use crate::answer_body::AnswerBody;
use crate::answer_body::Origin;
use crate::backends::Backend;
use crate::backends::Service;
use crate::body::BodyWatch;
use crate::body::OutboundBody;
use crate::connection::Connection;
use crate::connection::ExchangeError;
use crate::handler::Gateway;
use crate::handler::RETRY_AFTER;
use crate::header::DEADLINE_MS;
use crate::header::OUTCOME;
use crate::header::remove_hop_by_hop;
use crate::life::Order;
use crate::probe::ProbeResult;
use crate::tokens::ConnectionToken;
use crate::tokens::Held;
use crate::tokens::InFlight;

/// Answers of a backend server that count as its own failure.
const FAILURE_STATUSES: [StatusCode; 4] = [
    StatusCode::INTERNAL_SERVER_ERROR,
    StatusCode::BAD_GATEWAY,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];
/// Reports in a row that a request is not running after which its silent connection is given up.
const QUIET_REPORTS: u32 = 2;

/// A request that goes to a backend server.
pub struct Outbound {
    /// Id.
    pub id: RequestId,
    /// What was admitted.
    pub order: Order,
    /// The request.
    pub request: Request<OutboundBody>,
}

/// An attempt that brought no answer for the caller.
struct Failed {
    failure: AttemptFailure,
    refusal: Refusal,
    /// The request, if none of it was sent.
    request: Option<Box<Request<OutboundBody>>>,
    /// Its tokens, if it has not run.
    held: Option<Held>,
    /// True if no other attempt can end otherwise.
    is_final: bool,
}

/// Why a request that has its tokens and its connection is not sent.
enum Stop {
    /// The host takes no new work; another may.
    HostLeaves,
    /// Nobody may send it.
    Refused(Refusal),
}

/// Why no head of an answer came.
enum NoHead {
    Exchange(ExchangeError),
    Late,
    Silent,
}

/// What is needed to send a request again.
struct Replay {
    parts: Parts,
    body: Bytes,
}

impl Gateway {
    /// Sends a request to a backend server, and to others as far as that is safe.
    pub(crate) async fn send(
        &self,
        outbound: Outbound,
        mut held: Held,
    ) -> Result<Response<Body>, Refusal> {
        let Outbound { id, order, mut request } = outbound;
        let idempotent = routing::is_idempotent(request.method());
        let mut may_have_run = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let replay = Replay::of(&request);
            let service = order.line.service();
            let backend = held.backend().clone();
            let failed = match self.attempt(&id, &order, &service, request, held).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            may_have_run |= failed.failure == AttemptFailure::NoAnswer;
            let refusal = truthful(failed.refusal, may_have_run);
            if failed.is_final {
                return Err(refusal);
            }
            let Some(next) =
                failed.request.map(|request| *request).or_else(|| replay.map(Replay::into_request))
            else {
                return Err(refusal);
            };
            let failure = failed.failure;
            let attempt = Attempt { failure, attempts, idempotent, replayable: true };
            if order.deadline.has_passed(Instant::now()) || !self.may_retry(attempt) {
                return Err(refusal);
            }
            let service = order.line.service();
            let Some(tokens) = self.tokens_elsewhere(&order, &service, &backend, failed.held)
            else {
                return Err(refusal);
            };
            self.telemetry.count("request.retried");
            (request, held) = (next, tokens);
        }
    }

    fn may_retry(&self, attempt: Attempt) -> bool {
        let mut budget = self.retry_budget.lock().expect("no holder panics");
        routing::may_retry(attempt, &mut budget)
    }

    fn tokens_elsewhere(
        &self,
        order: &Order,
        service: &Service,
        last: &Backend,
        held: Option<Held>,
    ) -> Option<Held> {
        let now = Instant::now();
        match held {
            Some(mut held) => self.lines.move_elsewhere(&mut held, service, now).then_some(held),
            None => {
                let running = LimitKey::Running(order.admitted.team.clone());
                self.lines.take_again(service, &running, &last.host, now)
            }
        }
    }

    async fn attempt(
        &self,
        id: &RequestId,
        order: &Order,
        service: &Service,
        request: Request<OutboundBody>,
        held: Held,
    ) -> Result<Response<Body>, Box<Failed>> {
        let backend = held.backend().clone();
        let connection = match self.connection_to(&backend, service, order.deadline).await {
            Ok(connection) => connection,
            Err(reason) => return Err(Failed::not_sent(reason, Box::new(request), held)),
        };
        let started = Instant::now();
        match self.check_before_send(order, &backend, started) {
            Ok(()) => {}
            Err(Stop::HostLeaves) => {
                let reason = "the host takes no new work";
                return Err(Failed::not_sent(reason, Box::new(request), held));
            }
            Err(Stop::Refused(refusal)) => return Err(Failed::refused(refusal, held)),
        }
        let request = match address_to(&backend, request, order.deadline, started) {
            Ok(request) => request,
            Err((request, reason)) => return Err(Failed::not_sent(reason, request, held)),
        };
        let watch = request.body().watch();
        let mut flight = Flight { connection, tokens: held.dispatch(id.clone()) };
        let head = self.head(&mut flight.connection, request, id, &backend, order.deadline).await;
        let now = Instant::now();
        match head {
            Ok(response) => self.answered(flight, response, watch, service, &backend, started),
            Err(NoHead::Exchange(ExchangeError::NotSent { request, reason })) => {
                let reason = format!("the connection was closed: {reason}");
                Err(Failed::not_sent(reason, request, flight.tokens.unsent()))
            }
            Err(no_head) => {
                // A fault of the caller's side says nothing about the server.
                if watch.state().failure().is_none() {
                    self.health.failed(service, &backend, now);
                }
                self.record_unknown(id, order, &backend, &no_head);
                drop(flight);
                Err(Failed::no_answer(&no_head, &watch))
            }
        }
    }

    /// The last look at the node's right, the key and the host before the first byte.
    fn check_before_send(
        &self,
        order: &Order,
        backend: &Backend,
        now: Instant,
    ) -> Result<(), Stop> {
        if !self.node.may_admit(now) {
            let detail = "this node may no longer send work";
            let refusal = Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER);
            return Err(Stop::Refused(refusal));
        }
        let config = self.node.config();
        order.check_again(&config).map_err(Stop::Refused)?;
        let takes_work = config.host(&backend.host).is_some_and(|host| host.state.takes_work());
        if !takes_work {
            // The next choice is among those that take work in this version.
            self.routes(&config);
            return Err(Stop::HostLeaves);
        }
        Ok(())
    }

    async fn connection_to(
        &self,
        backend: &Backend,
        service: &Service,
        deadline: Deadline,
    ) -> Result<Connection, String> {
        if let Some(connection) = backend.idle.take().await {
            return Ok(connection);
        }
        let token = ConnectionToken::take(&self.lines.limits, &backend.connections)
            .ok_or("this node may open no more connections to the backend server")?;
        let timeout = self.settings.connect_timeout.min(deadline.left(Instant::now()));
        let opened = Connection::open(backend.address, timeout, Some(token)).await;
        opened.map_err(|error| {
            self.health.failed(service, backend, Instant::now());
            format!("the backend server could not be reached: {error}")
        })
    }

    /// Waits for the head of the answer; a silent connection is checked by asking on a new one.
    async fn head(
        &self,
        connection: &mut Connection,
        request: Request<OutboundBody>,
        id: &RequestId,
        backend: &Backend,
        deadline: Deadline,
    ) -> Result<Response<Incoming>, NoHead> {
        let mut exchange = pin!(connection.exchange(request));
        let mut silence = self.settings.backend_idle_timeout;
        let mut quiet_reports = 0;
        loop {
            let until = deadline.within(Instant::now(), silence);
            tokio::select! {
                biased;
                head = &mut exchange => return head.map_err(NoHead::Exchange),
                () = tokio::time::sleep_until(until.into()) => {}
            }
            if deadline.has_passed(Instant::now()) {
                return Err(NoHead::Late);
            }
            let report = tokio::select! {
                biased;
                head = &mut exchange => return head.map_err(NoHead::Exchange),
                report = self.prober.ask(backend, id) => report,
            };
            (quiet_reports, silence) = match report {
                ProbeResult::NotRunning => (quiet_reports + 1, self.settings.probe_interval),
                ProbeResult::Running | ProbeResult::Unreachable => {
                    (0, self.settings.backend_idle_timeout)
                }
            };
            if quiet_reports >= QUIET_REPORTS {
                return Err(NoHead::Silent);
            }
        }
    }

    fn answered(
        &self,
        flight: Flight,
        response: Response<Incoming>,
        watch: BodyWatch,
        service: &Service,
        backend: &Arc<Backend>,
        started: Instant,
    ) -> Result<Response<Body>, Box<Failed>> {
        let now = Instant::now();
        if FAILURE_STATUSES.contains(&response.status()) {
            self.health.failed(service, backend, now);
        } else {
            self.health.succeeded(backend, now - started, now);
        }
        let Flight { connection, tokens } = flight;
        if says_not_run(&response) {
            drop(connection);
            return Err(Failed::not_run(tokens.unsent()));
        }
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let origin = Origin::Backend(backend.clone(), tokens);
        let silence = self.settings.backend_idle_timeout;
        let body = AnswerBody::new(body, connection, origin, watch, silence);
        Ok(Response::from_parts(parts, Body::new(body)))
    }

    fn record_unknown(&self, id: &RequestId, order: &Order, backend: &Backend, no_head: &NoHead) {
        let now = SystemTime::now();
        let host = backend.host.clone();
        if matches!(no_head, NoHead::Silent) {
            self.telemetry.count("backend.silent");
            self.events.record(EventKind::BackendSilent { host: host.clone() }, now);
        }
        if matches!(no_head, NoHead::Late) {
            // The connection is closed with the request, so an answer that still comes is dropped.
            self.telemetry.count("answer.late_dropped");
        }
        let team = order.admitted.team.clone();
        self.events.record(EventKind::RequestUnknown { request: id.clone(), team, host }, now);
    }
}

/// A request on its way; the connection is dropped before the tokens.
struct Flight {
    connection: Connection,
    tokens: InFlight,
}

impl Failed {
    fn not_sent(
        reason: impl ToString,
        request: Box<Request<OutboundBody>>,
        held: Held,
    ) -> Box<Self> {
        Box::new(Self {
            failure: AttemptFailure::NotSent,
            refusal: Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER),
            request: Some(request),
            held: Some(held),
            is_final: false,
        })
    }

    fn refused(refusal: Refusal, held: Held) -> Box<Self> {
        Box::new(Self {
            failure: AttemptFailure::NotSent,
            refusal,
            request: None,
            held: Some(held),
            is_final: true,
        })
    }

    fn not_run(held: Held) -> Box<Self> {
        let detail = "the backend server did not run the request";
        Box::new(Self {
            failure: AttemptFailure::NotRun,
            refusal: Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER),
            request: None,
            held: Some(held),
            is_final: false,
        })
    }

    fn no_answer(no_head: &NoHead, watch: &BodyWatch) -> Box<Self> {
        let (status, detail) = match (watch.state().failure(), no_head) {
            (Some((status, detail)), _) => (status, detail.to_owned()),
            (None, NoHead::Late) => {
                (StatusCode::GATEWAY_TIMEOUT, "no answer came in time".to_owned())
            }
            (None, NoHead::Silent) => {
                let detail = "the connection went silent and the request is no longer running";
                (StatusCode::BAD_GATEWAY, detail.to_owned())
            }
            (None, NoHead::Exchange(error)) => (StatusCode::BAD_GATEWAY, error.to_string()),
        };
        Box::new(Self {
            failure: AttemptFailure::NoAnswer,
            refusal: Refusal::unknown(status, detail),
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
        Request::from_parts(self.parts, OutboundBody::held(self.body))
    }
}

/// The refusal of the last attempt, with an outcome that is true of all attempts.
fn truthful(refusal: Refusal, may_have_run: bool) -> Refusal {
    if !may_have_run || refusal.outcome == Outcome::Unknown {
        return refusal;
    }
    Refusal { retry_after: None, ..Refusal::unknown(StatusCode::BAD_GATEWAY, refusal.detail) }
}

/// True if the answer says explicitly that the request was not run.
pub fn says_not_run(response: &Response<Incoming>) -> bool {
    response.headers().get(OUTCOME).is_some_and(|outcome| outcome == Outcome::NotRun.as_str())
}

type Unaddressed = (Box<Request<OutboundBody>>, String);

fn address_to(
    backend: &Backend,
    mut request: Request<OutboundBody>,
    deadline: Deadline,
    now: Instant,
) -> Result<Request<OutboundBody>, Unaddressed> {
    let left_ms = deadline.left_ms(now);
    if left_ms == 0 {
        return Err((Box::new(request), "the deadline has passed".to_owned()));
    }
    let headers = request.headers_mut();
    headers.insert(header::HOST, backend.host_header.clone());
    headers.insert(DEADLINE_MS, HeaderValue::from(left_ms));
    Ok(request)
}
