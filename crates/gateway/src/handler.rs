//! Takes requests of callers through their life.

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

use crate::answer::Refusal;
use crate::answer::mark;
use crate::backends::HealthKeeper;
use crate::body::BodyBounds;
use crate::body::OutboundBody;
use crate::claims::Claims;
use crate::doubt::Doubts;
use crate::exchange::Outbound;
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
use crate::life::Answered;
use crate::life::Dispatched;
use crate::life::Order;
use crate::life::Received;
use crate::life::Start;
use crate::life::Work;
use crate::node_context::NodeContext;
use crate::probe::Prober;
use crate::routes::Routes;
use crate::settings::GatewaySettings;
use crate::waiting::Lines;
use crate::waiting::QueueShares;
use crate::waiting::WaitingCount;

/// Path under which queues are served.
const QUEUE_PREFIX: &str = "/q/";
/// When a caller may try again after a refusal that passes by itself.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time between two rounds of upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks at what still runs.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a gateway needs of its node.
pub struct Dependencies {
    /// Configuration and right to act.
    pub node: Arc<dyn NodeContext>,
    /// Limits.
    pub limits: Arc<LimitTable>,
    /// Events.
    pub events: Arc<Recorder>,
    /// Metrics.
    pub telemetry: Telemetry,
    /// Table, for idempotency keys.
    pub table: Arc<dyn Table>,
    /// Object store, for first answers.
    pub objects: Arc<dyn Objects>,
    /// Bounds.
    pub settings: GatewaySettings,
}

/// Carries requests of callers to backend servers.
pub struct Gateway {
    pub(crate) node: Arc<dyn NodeContext>,
    pub(crate) events: Arc<Recorder>,
    pub(crate) telemetry: Telemetry,
    pub(crate) settings: GatewaySettings,
    pub(crate) lines: Arc<Lines>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) prober: Prober,
    pub(crate) health: HealthKeeper,
    pub(crate) peers: PeerConnections,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    /// Cloned by each task that carries a request without its caller.
    pub(crate) running: Arc<()>,
    routes: RwLock<Arc<Routes>>,
    stopping: AtomicBool,
}

/// A request that has its tokens.
pub(crate) struct Ready {
    /// The request's life.
    pub work: Work<Dispatched>,
    /// The request.
    pub request: Request<OutboundBody>,
}

/// End of a request that was not sent from here.
pub(crate) type Ended = Box<Result<Answered, Refusal>>;

impl Gateway {
    /// Starts the gateway of one node; its tasks end with the last reference.
    pub fn start(parts: Dependencies) -> Arc<Self> {
        let Dependencies { node, limits, events, telemetry, table, objects, settings } = parts;
        let doubts = Doubts::new(events.clone(), telemetry.clone(), settings.probe_interval);
        let (patience, retention) = (settings.claim_timeout, settings.claim_retention);
        let gateway = Arc::new(Self {
            lines: Arc::new(Lines::new(limits.clone(), Arc::new(doubts))),
            claims: Claims::start(table, objects, patience, retention),
            prober: Prober { limits, timeout: settings.connect_timeout },
            health: HealthKeeper {
                events: events.clone(),
                telemetry: telemetry.clone(),
                ejecting: Mutex::default(),
            },
            peers: PeerConnections::default(),
            retry_budget: Mutex::default(),
            running: Arc::default(),
            routes: RwLock::default(),
            stopping: AtomicBool::new(false),
            node,
            events,
            telemetry,
            settings,
        });
        let lines = Arc::downgrade(&gateway.lines);
        gateway.lines.limits.set_listener(move || {
            if let Some(lines) = lines.upgrade() {
                lines.serve_all(Instant::now());
            }
        });
        tokio::spawn(upkeep(Arc::downgrade(&gateway)));
        tokio::spawn(resolve_doubts(Arc::downgrade(&gateway)));
        tokio::spawn(sweep(Arc::downgrade(&gateway)));
        gateway
    }

    /// Answers one request.
    pub async fn handle(self: Arc<Self>, request: Request<Body>) -> Response<Body> {
        let secret = self.settings.cluster_secret.as_ref();
        let forwarded = forwarded_id(secret, request.headers(), request.uri());
        let may_forward = forwarded.is_none();
        let id = forwarded.unwrap_or_else(random_id);
        let received_at = Instant::now();
        let work = Work { id: id.clone(), step: Received { at: received_at } };
        let mut response = match self.carry(work, request, may_forward).await {
            Ok(Answered { id, outcome, mut response }) => {
                self.telemetry.count(counter(outcome));
                mark(&mut response, outcome, &id);
                response
            }
            Err(refusal) => {
                self.telemetry.count(counter(refusal.outcome));
                self.telemetry.count(&format!("refusal.{}", refusal.status.as_u16()));
                refusal.into_response(&id)
            }
        };
        self.telemetry.time("request.time_to_head", received_at.elapsed());
        if self.stopping.load(Ordering::Relaxed) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// What asks backend servers what they are running.
    pub fn prober(&self) -> Prober {
        self.prober.clone()
    }

    /// Requests that wait, by queue and team; sorted.
    pub fn waiting(&self) -> Vec<WaitingCount> {
        self.lines.waiting_by_team()
    }

    /// What each team has in each queue at this node.
    pub fn shares(&self, now: Instant) -> Vec<QueueShares> {
        self.lines.shares(now)
    }

    /// Tells a queue what the other nodes have given its teams.
    pub fn observe_peers(&self, queue: &QueueId, counts: &[PeerCounts], now: Instant) {
        self.lines.observe_peers(queue, counts, now);
    }

    /// Tells callers from now on to use other connections.
    pub fn start_shutdown(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Waits until all requests have ended that run without their caller; false after `grace`.
    pub async fn wait_for_detached_requests(&self, grace: Duration) -> bool {
        let until = Instant::now() + grace;
        while Arc::strong_count(&self.running) > 1 {
            if Instant::now() >= until {
                return false;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        true
    }

    async fn carry(
        self: &Arc<Self>,
        work: Work<Received>,
        request: Request<Body>,
        may_forward: bool,
    ) -> Result<Answered, Refusal> {
        let config = self.node.config();
        let routes = self.routes(&config);
        let queue = queue_name(request.uri())?;
        let work = work.admit(&config, &routes, &self.settings, queue, request.headers())?;
        if !self.node.may_admit(Instant::now()) {
            let detail = "this node may not take work now";
            return Err(Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER));
        }
        check_framing(&request)?;
        let key = request.headers().get(IDEMPOTENCY_KEY).cloned();
        let mut request = self.bound(request, key.is_some())?;
        if may_forward {
            request.headers_mut().remove(FORWARDED);
        }
        if let Some(key) = key {
            return self.carry_keyed(work, request, &key).await;
        }
        match self.ready(work, request).await {
            Ok(ready) => self.finish(ready).await,
            Err(ended) => *ended,
        }
    }

    /// Gets tokens for a request: at once, else at another node, else by waiting.
    pub(crate) async fn ready(
        self: &Arc<Self>,
        work: Work<Order>,
        mut request: Request<OutboundBody>,
    ) -> Result<Ready, Ended> {
        self.retry_budget.lock().expect("no holder panics").deposit();
        let queued = work.enqueue(&self.lines, Instant::now()).map_err(refused)?;
        let mut queued = match queued.dispatch_now() {
            Start::Now(work) => return Ok(Ready { work, request }),
            Start::Later(queued) => queued,
        };
        if self.settings.cluster_secret.is_some() && !request.headers().contains_key(FORWARDED) {
            let work = queued.leave();
            match self.forward(&work.id, &work.step, request).await {
                Forwarded::Ended(end) => return Err(Box::new(end)),
                Forwarded::NotRun(unsent) => request = unsent,
            }
            queued = work.enqueue(&self.lines, Instant::now()).map_err(refused)?;
        }
        let work = queued.dispatch(Instant::now()).await.map_err(refused)?;
        Ok(Ready { work, request })
    }

    /// Sends a request that has its tokens.
    pub(crate) async fn finish(&self, ready: Ready) -> Result<Answered, Refusal> {
        let Work { id, step: Dispatched { order, held } } = ready.work;
        let request = to_backend(ready.request, &order, &id, self.node.dispatcher().as_deref())?;
        let outbound = Outbound { id: id.clone(), order, request };
        let response = self.send(outbound, held).await?;
        Ok(Answered { id, outcome: Outcome::Complete, response })
    }

    /// Routes of `config`, or of a later version.
    pub(crate) fn routes(&self, config: &Config) -> Arc<Routes> {
        let routes = self.routes.read().expect("no holder panics").clone();
        if routes.version == config.version {
            return routes;
        }
        let routes = {
            let mut held = self.routes.write().expect("no holder panics");
            if held.version < config.version {
                *held = Arc::new(Routes::build(config, &held));
                self.lines.set_lines(held.lines.clone());
            }
            held.clone()
        };
        self.lines.serve_all(Instant::now());
        routes
    }

    fn bound(
        &self,
        request: Request<Body>,
        is_held: bool,
    ) -> Result<Request<OutboundBody>, Refusal> {
        let settings = &self.settings;
        let held_max_bytes = settings.buffered_body_max_bytes.min(settings.body_max_bytes);
        let max_bytes = if is_held { held_max_bytes } else { settings.body_max_bytes };
        let length = http_body::Body::size_hint(request.body()).lower();
        if length > max_bytes {
            let detail = format!("the body may have at most {max_bytes} bytes");
            return Err(Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, detail));
        }
        let bounds = BodyBounds { max_bytes, silence: settings.caller_idle_timeout };
        Ok(request.map(|body| OutboundBody::streamed(body, bounds)))
    }

    fn keep_up(&self) {
        let config = self.node.config();
        let routes = self.routes(&config);
        let now = Instant::now();
        for backend in &routes.backends {
            let all = config.host(&backend.host).is_none_or(|host| !host.state.takes_work());
            backend.idle.close_old(now, all);
        }
        self.peers.close_old(now);
        self.telemetry.gauge("requests.waiting", self.lines.waiting() as u64);
        self.telemetry.gauge("tokens.in-doubt", self.lines.doubts.len() as u64);
        self.lines.serve_all(Instant::now());
    }
}

/// Closes old connections and serves the lines.
async fn upkeep(gateway: Weak<Gateway>) {
    loop {
        let Some(gateway) = gateway.upgrade() else { return };
        gateway.keep_up();
        drop(gateway);
        tokio::time::sleep(UPKEEP_INTERVAL).await;
    }
}

/// Looks for evidence about tokens in doubt; a server that does not answer delays only this task.
async fn resolve_doubts(gateway: Weak<Gateway>) {
    loop {
        let Some(gateway) = gateway.upgrade() else { return };
        let config = gateway.node.config();
        gateway.lines.doubts.resolve(&gateway.lines, &gateway.prober, &config).await;
        let interval = gateway.settings.probe_interval.min(UPKEEP_INTERVAL);
        drop(gateway);
        tokio::time::sleep(interval).await;
    }
}

async fn sweep(gateway: Weak<Gateway>) {
    while let Some(interval) = gateway.upgrade().map(|gateway| gateway.settings.sweep_interval) {
        // Jitter keeps the nodes from sweeping the same rows at once.
        tokio::time::sleep(interval.mul_f64(0.5 + rand::random::<f64>())).await;
        let Some(gateway) = gateway.upgrade() else { return };
        gateway.claims.sweep(SystemTime::now()).await;
    }
}

fn refused(refusal: Refusal) -> Ended {
    Box::new(Err(refusal))
}

fn counter(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "request.complete",
        Outcome::NotRun => "request.not-run",
        Outcome::Unknown => "request.unknown",
    }
}

/// Refuses a request whose end could be read in two ways.
fn check_framing(request: &Request<Body>) -> Result<(), Refusal> {
    let headers = request.headers();
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    if has_length && headers.contains_key(header::TRANSFER_ENCODING) {
        let detail = "a request has a Content-Length or a Transfer-Encoding, not both";
        return Err(Refusal::not_run(StatusCode::BAD_REQUEST, detail));
    }
    Ok(())
}

fn queue_name(uri: &Uri) -> Result<&str, Refusal> {
    let rest = uri.path().strip_prefix(QUEUE_PREFIX).ok_or_else(|| {
        Refusal::not_run(StatusCode::NOT_FOUND, "requests go to /q/{queue}/{path}")
    })?;
    Ok(rest.split_once('/').map_or(rest, |(queue, _)| queue))
}

/// Path and query as the backend server sees them.
fn backend_target(uri: &Uri) -> Option<Uri> {
    let path = uri.path().strip_prefix(QUEUE_PREFIX)?;
    let rest = path.find('/').map_or("/", |slash| &path[slash..]);
    let target = match uri.query() {
        Some(query) => PathAndQuery::try_from(format!("{rest}?{query}")),
        None => PathAndQuery::try_from(rest),
    };
    Some(Uri::from(target.ok()?))
}

/// The request as the backend server gets it.
fn to_backend(
    mut request: Request<OutboundBody>,
    order: &Order,
    id: &RequestId,
    dispatcher: Option<&str>,
) -> Result<Request<OutboundBody>, Refusal> {
    let malformed = || Refusal::not_run(StatusCode::BAD_REQUEST, "the target is malformed");
    *request.uri_mut() = backend_target(request.uri()).ok_or_else(malformed)?;
    let id = HeaderValue::from_str(id).map_err(|_| malformed())?;
    let team = HeaderValue::from_str(&order.admitted.team.to_string()).map_err(|_| malformed())?;
    let headers = request.headers_mut();
    remove_hop_by_hop(headers);
    let private =
        [&header::AUTHORIZATION, &header::EXPECT, &FORWARDED, &OUTCOME, &CLASS, &DISPATCHER];
    for name in private {
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
