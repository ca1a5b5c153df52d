//! A backend server that echoes, counts what it runs, and can be told to fail.
//!
//! Every request is counted by its `Savorypitch-Request-Id` and, if the caller sent one, by its
//! `Standin-Job` header, so that a test can see what ran twice. `Standin-Delay-Ms` sets how long the
//! work takes, and `Standin-Fault` how it fails; see [`Fault`]. The body is echoed as it comes, or
//! after its end if the request has a `Standin-Collect` header.
//!
//! It answers probes for running requests. A request id that it has reported as not running is
//! remembered, and refused if the request still comes.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::response::Response;
use axum::routing::get;
use http_body_util::BodyExt;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tower::ServiceExt;

use crate::fault::Fault;
use crate::fault::FaultyBody;

/// Path below which a backend server tells whether a request id is running.
pub const RUNNING_PATH: &str = "/.savorypitch/running/";

/// Path below which a backend server tells whether it is running any request of a dispatcher.
pub const DISPATCHED_PATH: &str = "/.savorypitch/dispatched/";

/// Runs of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRuns {
    /// `Standin-Job` header.
    pub job: String,
    /// Times that it was run.
    pub count: u32,
}

/// What a backend server has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStats {
    /// Runs, sorted by job.
    pub runs: Vec<JobRuns>,
    /// Runs of any request.
    pub run_count: u64,
    /// Request ids that run now, sorted.
    pub running: Vec<String>,
    /// Most requests that ran at once.
    pub running_peak: usize,
    /// Connections that are open now.
    pub connections: u32,
    /// Most connections that were open at once.
    pub connections_peak: u32,
    /// Request ids that were reported as not running, sorted.
    #[serde(default)]
    pub fenced: Vec<String>,
    /// Dispatchers of the running requests, sorted; one entry for each request.
    #[serde(default)]
    pub dispatchers: Vec<String>,
    /// Dispatchers of which nothing was reported as running, sorted.
    #[serde(default)]
    pub fenced_dispatchers: Vec<String>,
    /// Last `Savorypitch-Deadline-Ms`.
    #[serde(default)]
    pub last_deadline_ms: Option<u64>,
}

/// State of a stand-in backend server.
#[derive(Default)]
pub struct StandinBackend {
    seen: Mutex<BackendStats>,
    failing: AtomicBool,
}

impl StandinBackend {
    /// What it has seen so far.
    pub fn stats(&self) -> BackendStats {
        self.lock().clone()
    }

    /// Times that `job` was run.
    pub fn runs_of(&self, job: &str) -> u32 {
        let seen = self.lock();
        let found = seen.runs.binary_search_by(|runs| runs.job.as_str().cmp(job));
        found.map_or(0, |index| seen.runs[index].count)
    }

    /// Makes every request fail at once, or not any more.
    pub fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::Relaxed);
    }

    fn begin(&self, job: Option<&str>, request_id: &str, dispatcher: &str) -> bool {
        let mut seen = self.lock();
        if contains(&seen.fenced, request_id) || contains(&seen.fenced_dispatchers, dispatcher) {
            return false;
        }
        let index = seen.dispatchers.partition_point(|other| other.as_str() < dispatcher);
        seen.dispatchers.insert(index, dispatcher.to_owned());
        if let Some(job) = job {
            match seen.runs.binary_search_by(|runs| runs.job.as_str().cmp(job)) {
                Ok(index) => seen.runs[index].count += 1,
                Err(index) => seen.runs.insert(index, JobRuns { job: job.to_owned(), count: 1 }),
            }
        }
        seen.run_count += 1;
        let index = seen.running.partition_point(|id| id.as_str() < request_id);
        seen.running.insert(index, request_id.to_owned());
        seen.running_peak = seen.running_peak.max(seen.running.len());
        true
    }

    fn end(&self, request_id: &str, dispatcher: &str) {
        let mut seen = self.lock();
        if let Ok(index) = seen.dispatchers.binary_search_by(|d| d.as_str().cmp(dispatcher)) {
            seen.dispatchers.remove(index);
        }
        if let Ok(index) = seen.running.binary_search_by(|id| id.as_str().cmp(request_id)) {
            seen.running.remove(index);
        }
    }

    fn report(&self, request_id: &str) -> bool {
        let mut seen = self.lock();
        if seen.running.binary_search_by(|id| id.as_str().cmp(request_id)).is_ok() {
            return true;
        }
        if let Err(index) = seen.fenced.binary_search_by(|id| id.as_str().cmp(request_id)) {
            seen.fenced.insert(index, request_id.to_owned());
        }
        false
    }

    fn report_dispatcher(&self, dispatcher: &str) -> bool {
        let mut seen = self.lock();
        if contains(&seen.dispatchers, dispatcher) {
            return true;
        }
        let fenced = &mut seen.fenced_dispatchers;
        if let Err(index) = fenced.binary_search_by(|other| other.as_str().cmp(dispatcher)) {
            fenced.insert(index, dispatcher.to_owned());
        }
        false
    }

    fn connected(&self) {
        let mut seen = self.lock();
        seen.connections += 1;
        seen.connections_peak = seen.connections_peak.max(seen.connections);
    }

    fn disconnected(&self) {
        self.lock().connections -= 1;
    }

    fn lock(&self) -> MutexGuard<'_, BackendStats> {
        self.seen.lock().expect("no holder panics")
    }
}

/// Serves a backend server on `address`; returns the address and the task.
pub async fn serve(
    backend: Arc<StandinBackend>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route("/standin/seen", get(seen))
        .route(&format!("{RUNNING_PATH}{{id}}"), get(running))
        .route(&format!("{DISPATCHED_PATH}{{dispatcher}}"), get(dispatched))
        .fallback(work)
        .with_state(backend.clone());
    let task = tokio::spawn(async move {
        // Serves until the process or the test ends.
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(backend.clone(), router.clone(), stream));
        }
    });
    Ok((address, task))
}

async fn serve_connection(backend: Arc<StandinBackend>, router: Router, stream: TcpStream) {
    backend.connected();
    // Latency matters more than the number of packets; a failure here is harmless.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request: http::Request<_>| {
        let router = router.clone();
        async move {
            let response = router.oneshot(request.map(Body::new)).await;
            let Ok(response) = response.map_err(|error: Infallible| match error {});
            if response.extensions().get::<Fault>() == Some(&Fault::CutHead) {
                // An error instead of an answer closes the connection.
                return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
            }
            Ok(response)
        }
    });
    // Cut connections are what this server is for.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    backend.disconnected();
}

type Shared = State<Arc<StandinBackend>>;

async fn seen(State(backend): Shared) -> Json<BackendStats> {
    Json(backend.stats())
}

async fn running(State(backend): Shared, Path(id): Path<String>) -> Json<bool> {
    Json(backend.report(&id))
}

async fn dispatched(State(backend): Shared, Path(dispatcher): Path<String>) -> Json<bool> {
    Json(backend.report_dispatcher(&dispatcher))
}

async fn work(State(backend): Shared, request: Request) -> Response {
    let headers = request.headers();
    let request_id = text(headers, "savorypitch-request-id").unwrap_or_default().to_owned();
    let delay_ms = text(headers, "standin-delay-ms").and_then(|text| text.parse().ok());
    let fault = text(headers, "standin-fault").and_then(Fault::parse);
    let deadline_ms = text(headers, "savorypitch-deadline-ms").and_then(|text| text.parse().ok());
    backend.lock().last_deadline_ms = deadline_ms;
    let dispatcher = text(headers, "savorypitch-dispatcher").unwrap_or_default().to_owned();
    let job = text(headers, "standin-job");
    if fault == Some(Fault::NotRun) || !backend.begin(job, &request_id, &dispatcher) {
        return not_run();
    }
    // Runs to its end also when the caller goes away.
    let worker = backend.clone();
    let waited = tokio::spawn(async move {
        if let Some(delay_ms) = delay_ms {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        worker.end(&request_id, &dispatcher);
    });
    let _ = waited.await;
    let is_failing = backend.failing.load(Ordering::Relaxed);
    match fault.or(is_failing.then_some(Fault::Fail)) {
        None if request.headers().contains_key("standin-collect") => collected(request).await,
        None => Response::new(Body::new(request.into_body())),
        Some(fault) => answer_with(fault, request).await,
    }
}

async fn collected(request: Request) -> Response {
    match request.into_body().collect().await {
        Ok(body) => Response::new(Body::from(body.to_bytes())),
        Err(_) => std::future::pending().await,
    }
}

async fn answer_with(fault: Fault, request: Request) -> Response {
    if fault == Fault::Silent {
        return std::future::pending().await;
    }
    let mut response = Response::new(Body::empty());
    if fault == Fault::Fail {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return response;
    }
    let body = request.into_body().collect().await.map(|body| body.to_bytes());
    let body = FaultyBody::new(fault, body.unwrap_or_default());
    if let Some(length) = body.announced_length() {
        response.headers_mut().insert("content-length", HeaderValue::from(length));
    }
    *response.body_mut() = Body::new(body);
    response.extensions_mut().insert(fault);
    response
}

fn not_run() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let outcome = HeaderValue::from_static("not-run");
    response.headers_mut().insert("savorypitch-outcome", outcome);
    response
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn contains(sorted: &[String], wanted: &str) -> bool {
    sorted.binary_search_by(|other| other.as_str().cmp(wanted)).is_ok()
}
