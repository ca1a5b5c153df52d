//! The gateway of a node: handles requests of callers and runs the background tasks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use axum::body::Body;
use events::Recorder;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http::uri::PathAndQuery;
use limits::LimitTable;
use model::Config;
use model::Outcome;
use model::QueueId;
use model::RequestId;
use model::ids::random_id;
use routing::RetryBudget;
use services::Objects;
use services::Table;
use shares::PeerCounts;
use telemetry::Telemetry;

use crate::backends::HealthTracker;
use crate::claims::Claims;
use crate::error_response::GatewayError;
use crate::error_response::set_outcome_headers;
use crate::exchange::OutboundRequest;
use crate::forward::Forwarded;
use crate::forward::PeerConnections;
use crate::forward::forwarded_id;
use crate::header::CLASS;
use crate::header::DISPATCHER;
use crate::header::FORWARDED;
use crate::header::IDEMPOTENCY_KEY;
use crate::header::OUTCOME;
use crate::header::REQUEST_ID;
use crate::header::TEAM;
use crate::header::remove_hop_by_hop;
use crate::in_doubt::InDoubtRequests;
use crate::lifecycle::AdmittedRequest;
use crate::lifecycle::DispatchNow;
use crate::lifecycle::Dispatched;
use crate::lifecycle::Received;
use crate::lifecycle::RelayedResponse;
use crate::lifecycle::StagedRequest;
use crate::node_context::NodeContext;
use crate::probe::Prober;
use crate::request_body::BodyLimits;
use crate::request_body::OutboundBody;
use crate::routes::Routes;
use crate::settings::GatewaySettings;
use crate::wait_queue::QueueShares;
use crate::wait_queue::WaitQueues;
use crate::wait_queue::WaitingCount;

/// Path prefix of requests to queues, followed by the name of the queue.
const QUEUE_PREFIX: &str = "/q/";
/// Value of the `Retry-After` header of temporary errors.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks for detached requests while the node stops.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Services of the node that a gateway uses, and its settings.
pub struct Dependencies {
    /// Configuration, permission to take work, and peers.
    pub node: Arc<dyn NodeContext>,
    /// Limits from which the tokens of requests and connections are taken.
    pub limits: Arc<LimitTable>,
    /// Recorder of the node's events.
    pub events: Arc<Recorder>,
    /// Metrics of the node.
    pub telemetry: Telemetry,
    /// Table that stores the claims of idempotency keys.
    pub table: Arc<dyn Table>,
    /// Object store that keeps the responses for repeats.
    pub objects: Arc<dyn Objects>,
    /// Limits and timeouts.
    pub settings: GatewaySettings,
}

/// Forwards requests of callers to backend servers and relays the responses.
pub struct Gateway {
    pub(crate) node: Arc<dyn NodeContext>,
    pub(crate) events: Arc<Recorder>,
    pub(crate) telemetry: Telemetry,
    pub(crate) settings: GatewaySettings,
    pub(crate) wait_queues: Arc<WaitQueues>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) prober: Prober,
    pub(crate) health: HealthTracker,
    pub(crate) peers: PeerConnections,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    /// Counts detached requests: the task of each holds a clone.
    pub(crate) detached: Arc<()>,
    routes: RwLock<Arc<Routes>>,
    is_stopping: AtomicBool,
}

/// A request that has its tokens and can be sent to a backend server.
pub(crate) struct ReadyRequest {
    /// Life cycle data of the request, with its tokens.
    pub staged: StagedRequest<Dispatched>,
    /// HTTP request as received from the caller.
    pub request: Request<OutboundBody>,
}

/// Result of a request that this node does not send to a backend server: an error, or the response
/// of the node that it was forwarded to.
pub(crate) type EarlyResult = Box<Result<RelayedResponse, GatewayError>>;

impl Gateway {
    /// Starts the gateway of a node. Its background tasks stop when the last reference is dropped.
    pub fn start(dependencies: Dependencies) -> Arc<Self> {
        let Dependencies { node, limits, events, telemetry, table, objects, settings } =
            dependencies;
        let in_doubt =
            InDoubtRequests::new(events.clone(), telemetry.clone(), settings.probe_interval);
        let (timeout, retention) = (settings.claim_timeout, settings.claim_retention);
        let gateway = Arc::new(Self {
            wait_queues: Arc::new(WaitQueues::new(limits.clone(), Arc::new(in_doubt))),
            claims: Claims::start(table, objects, timeout, retention),
            prober: Prober { limits, timeout: settings.connect_timeout },
            health: HealthTracker {
                events: events.clone(),
                telemetry: telemetry.clone(),
                ejection_lock: Mutex::default(),
            },
            peers: PeerConnections::default(),
            retry_budget: Mutex::default(),
            detached: Arc::default(),
            routes: RwLock::default(),
            is_stopping: AtomicBool::new(false),
            node,
            events,
            telemetry,
            settings,
        });
        let wait_queues = Arc::downgrade(&gateway.wait_queues);
        gateway.wait_queues.limits.set_listener(move || {
            if let Some(wait_queues) = wait_queues.upgrade() {
                wait_queues.grant_all(Instant::now());
            }
        });
        tokio::spawn(housekeeping_loop(Arc::downgrade(&gateway)));
        tokio::spawn(resolve_in_doubt_loop(Arc::downgrade(&gateway)));
        tokio::spawn(sweep_loop(Arc::downgrade(&gateway)));
        gateway
    }

    /// Handles one request and returns the response for the caller.
    pub async fn handle(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let secret = self.settings.cluster_secret.as_ref();
        let forwarded = forwarded_id(secret, request.headers(), request.uri());
        let may_forward = forwarded.is_none();
        let id = forwarded.unwrap_or_else(random_id);
        let received_at = Instant::now();
        let staged = StagedRequest { id: id.clone(), stage: Received { at: received_at } };
        let mut response = match self.process(staged, request, may_forward).await {
            Ok(RelayedResponse { id, outcome, mut response }) => {
                self.telemetry.count(outcome_metric(outcome));
                set_outcome_headers(&mut response, outcome, &id);
                response
            }
            Err(error) => {
                self.telemetry.count(outcome_metric(error.outcome));
                self.telemetry.count(&format!("refusal.{}", error.status.as_u16()));
                error.into_response(&id)
            }
        };
        self.telemetry.time("request.time_to_head", received_at.elapsed());
        if self.is_stopping.load(Ordering::Relaxed) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Returns the client that probes backend servers for running requests.
    pub fn prober(&self) -> Prober {
        self.prober.clone()
    }

    /// Returns the numbers of waiting requests, sorted by queue and team.
    pub fn waiting(&self) -> Vec<WaitingCount> {
        self.wait_queues.waiting_by_team()
    }

    /// Returns the counts of each team in each queue at this node.
    pub fn shares(&self, now: Instant) -> Vec<QueueShares> {
        self.wait_queues.shares(now)
    }

    /// Updates a queue with the counts of its teams at the other nodes, so that its shares hold for
    /// the whole cluster.
    pub fn observe_peers(&self, queue: &QueueId, counts: &[PeerCounts], now: Instant) {
        self.wait_queues.observe_peers(queue, counts, now);
    }

    /// Starts the shutdown: from now on, responses ask callers to close their connections. Requests
    /// are still handled.
    pub fn start_shutdown(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Waits until all detached requests have finished, which run on even if their caller
    /// disconnects. Returns false if some have not finished after `grace`.
    pub async fn wait_for_detached_requests(&self, grace: Duration) -> bool {
        let until = Instant::now() + grace;
        while Arc::strong_count(&self.detached) > 1 {
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        true
    }

    async fn process(
        self: &Arc<Self>,
        staged: StagedRequest<Received>,
        request: Request<Body>,
        may_forward: bool,
    ) -> Result<RelayedResponse, GatewayError> {
        let config = self.node.config();
        let routes = self.routes(&config);
        let queue = queue_name(request.uri())?;
        let staged = staged.admit(&config, &routes, &self.settings, queue, request.headers())?;
        if !self.node.may_admit(Instant::now()) {
            let detail = "this node may not take work now";
            return Err(GatewayError::retryable(
                StatusCode::SERVICE_UNAVAILABLE,
                detail,
                RETRY_AFTER,
            ));
        }
        check_framing(&request)?;
        let key = request.headers().get(IDEMPOTENCY_KEY).cloned();
        let mut request = self.limit_body(request, key.is_some())?;
        if may_forward {
            request.headers_mut().remove(FORWARDED);
        }
        if let Some(key) = key {
            return self.process_idempotent(staged, request, &key).await;
        }
        match self.acquire_tokens(staged, request).await {
            Ok(ready) => self.dispatch(ready).await,
            Err(early) => *early,
        }
    }

    /// Acquires tokens for a request. If none are spare, first tries to forward the request to
    /// another node, then waits.
    pub(crate) async fn acquire_tokens(
        self: &Arc<Self>,
        staged: StagedRequest<AdmittedRequest>,
        mut request: Request<OutboundBody>,
    ) -> Result<ReadyRequest, EarlyResult> {
        self.retry_budget.lock().expect("lock is never poisoned").deposit();
        let queued = staged.enqueue(&self.wait_queues, Instant::now()).map_err(early_error)?;
        let mut queued = match queued.dispatch_now() {
            DispatchNow::Dispatched(staged) => return Ok(ReadyRequest { staged, request }),
            DispatchNow::Queued(queued) => queued,
        };
        if self.settings.cluster_secret.is_some() && !request.headers().contains_key(FORWARDED) {
            let staged = queued.leave_queue();
            match self.forward(&staged.id, &staged.stage, request).await {
                Forwarded::Final(result) => return Err(Box::new(result)),
                Forwarded::NotRun(unsent) => request = unsent,
            }
            queued = staged.enqueue(&self.wait_queues, Instant::now()).map_err(early_error)?;
        }
        let staged = queued.dispatch(Instant::now()).await.map_err(early_error)?;
        Ok(ReadyRequest { staged, request })
    }

    /// Sends a request that has its tokens to a backend server and returns the response.
    pub(crate) async fn dispatch(
        &self,
        ready: ReadyRequest,
    ) -> Result<RelayedResponse, GatewayError> {
        let StagedRequest { id, stage: Dispatched { admitted, held } } = ready.staged;
        let request =
            backend_request(ready.request, &admitted, &id, self.node.dispatcher().as_deref())?;
        let outbound = OutboundRequest { id: id.clone(), admitted, request };
        let response = self.send(outbound, held).await?;
        Ok(RelayedResponse { id, outcome: Outcome::Complete, response })
    }

    /// Returns the routes of `config`, or of a later version if they have been built already.
    pub(crate) fn routes(&self, config: &Config) -> Arc<Routes> {
        let routes = self.routes.read().expect("lock is never poisoned").clone();
        if routes.version == config.version {
            return routes;
        }
        let routes = {
            let mut current = self.routes.write().expect("lock is never poisoned");
            if current.version < config.version {
                *current = Arc::new(Routes::build(config, &current));
                self.wait_queues.set_wait_queues(current.wait_queues.clone());
            }
            current.clone()
        };
        self.wait_queues.grant_all(Instant::now());
        routes
    }

    fn limit_body(
        &self,
        request: Request<Body>,
        is_buffered: bool,
    ) -> Result<Request<OutboundBody>, GatewayError> {
        let settings = &self.settings;
        let buffered_max_bytes = settings.buffered_body_max_bytes.min(settings.body_max_bytes);
        let max_bytes = if is_buffered { buffered_max_bytes } else { settings.body_max_bytes };
        let length = http_body::Body::size_hint(request.body()).lower();
        if length > max_bytes {
            let detail = format!("the body may have at most {max_bytes} bytes");
            return Err(GatewayError::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail));
        }
        let limits = BodyLimits { max_bytes, idle_timeout: settings.caller_idle_timeout };
        Ok(request.map(|body| OutboundBody::streamed(body, limits)))
    }

    fn run_housekeeping(&self) {
        let config = self.node.config();
        let routes = self.routes(&config);
        let now = Instant::now();
        for backend in &routes.backends {
            let close_all =
                config.host(&backend.host).is_none_or(|host| !host.state.is_schedulable());
            backend.idle.close_expired(now, close_all);
        }
        self.peers.close_expired(now);
        self.telemetry.gauge("requests.waiting", self.wait_queues.waiting() as u64);
        self.telemetry.gauge("tokens.in-doubt", self.wait_queues.in_doubt.len() as u64);
        self.wait_queues.grant_all(Instant::now());
    }
}

/// Regularly closes expired connections, updates gauges and grants tokens to waiting requests.
async fn housekeeping_loop(gateway: Weak<Gateway>) {
    loop {
        let Some(gateway) = gateway.upgrade() else { return };
        gateway.run_housekeeping();
        drop(gateway);
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
    }
}

/// Regularly looks for evidence that releases tokens in doubt. A task of its own, because a backend
/// server that does not respond blocks it for a while.
async fn resolve_in_doubt_loop(gateway: Weak<Gateway>) {
    loop {
        let Some(gateway) = gateway.upgrade() else { return };
        let config = gateway.node.config();
        gateway.wait_queues.in_doubt.resolve(&gateway.wait_queues, &gateway.prober, &config).await;
        let interval = gateway.settings.probe_interval.min(HOUSEKEEPING_INTERVAL);
        drop(gateway);
        tokio::time::sleep(interval).await;
    }
}

async fn sweep_loop(gateway: Weak<Gateway>) {
    while let Some(interval) = gateway.upgrade().map(|gateway| gateway.settings.sweep_interval) {
        // Jitter prevents the nodes from sweeping the same rows at the same time.
        tokio::time::sleep(interval.mul_f64(0.5 + rand::random::<f64>())).await;
        let Some(gateway) = gateway.upgrade() else { return };
        gateway.claims.sweep(SystemTime::now()).await;
    }
}

fn early_error(error: GatewayError) -> EarlyResult {
    Box::new(Err(error))
}

fn outcome_metric(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "request.complete",
        Outcome::NotRun => "request.not-run",
        Outcome::Unknown => "request.unknown",
    }
}

/// Refuses a request whose body length is ambiguous, because that allows request smuggling.
fn check_framing(request: &Request<Body>) -> Result<(), GatewayError> {
    let headers = request.headers();
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    if has_length && headers.contains_key(header::TRANSFER_ENCODING) {
        let detail = "a request has a Content-Length or a Transfer-Encoding, not both";
        return Err(GatewayError::not_run(StatusCode::BAD_REQUEST, detail));
    }
    Ok(())
}

fn queue_name(uri: &Uri) -> Result<&str, GatewayError> {
    let rest = uri.path().strip_prefix(QUEUE_PREFIX).ok_or_else(|| {
        GatewayError::not_run(StatusCode::NOT_FOUND, "requests go to /q/{queue}/{path}")
    })?;
    Ok(rest.split_once('/').map_or(rest, |(queue, _)| queue))
}

/// Returns the path and query for the backend server: those of the caller without `/q/{queue}`.
fn backend_target(uri: &Uri) -> Option<Uri> {
    let path = uri.path().strip_prefix(QUEUE_PREFIX)?;
    let rest = path.find('/').map_or("/", |slash| &path[slash..]);
    let target = match uri.query() {
        Some(query) => PathAndQuery::try_from(format!("{rest}?{query}")),
        None => PathAndQuery::try_from(rest),
    };
    Some(Uri::from(target.ok()?))
}

/// Converts a caller's request into the one for the backend server: removes the headers that are
/// not for the backend server, and adds the request ID, the team and the dispatcher.
fn backend_request(
    mut request: Request<OutboundBody>,
    admitted: &AdmittedRequest,
    id: &RequestId,
    dispatcher: Option<&str>,
) -> Result<Request<OutboundBody>, GatewayError> {
    let malformed = || GatewayError::not_run(StatusCode::BAD_REQUEST, "the target is malformed");
    *request.uri_mut() = backend_target(request.uri()).ok_or_else(malformed)?;
    let id = HeaderValue::from_str(id).map_err(|_| malformed())?;
    let team =
        HeaderValue::from_str(&admitted.admission.team.to_string()).map_err(|_| malformed())?;
    let headers = request.headers_mut();
    remove_hop_by_hop(headers);
    let internal =
        [&header::AUTHORIZATION, &header::EXPECT, &FORWARDED, &OUTCOME, &CLASS, &DISPATCHER];
    for name in internal {
        headers.remove(name);
    }
    if let Some(dispatcher) = dispatcher {
        let dispatcher = HeaderValue::from_str(dispatcher).map_err(|_| malformed())?;
        headers.insert(DISPATCHER, dispatcher);
    }
    headers.insert(REQUEST_ID, id);
    headers.insert(TEAM, team);
    Ok(request)
}
