//! A stand-in backend server that echoes request bodies, counts its runs and can inject faults.
//!
//! Running requests are listed by `Savorypitch-Request-Id`, and runs are counted by the
//! `Standin-Job` header if the caller sends one, so that a test can detect jobs that ran twice.
//! `Standin-Delay-Ms` sets how long a request runs, and `Standin-Fault` how it fails; see
//! [`Fault`]. The body is echoed as it arrives, or, if the request has a `Standin-Collect` header,
//! once it has arrived completely.
//!
//! The server also replies to probes for running requests. A request id that a probe has reported
//! as not running is fenced: a request that arrives with it later is refused.

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

/// Path prefix of the probe that replies whether the request with an id is running.
pub const RUNNING_PATH: &str = "/.savorypitch/running/";

/// Path prefix of the probe that replies whether any request of a dispatcher is running.
pub const DISPATCHED_PATH: &str = "/.savorypitch/dispatched/";

/// How often one job ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRuns {
    /// Value of the `Standin-Job` header.
    pub job: String,
    /// Number of runs that were started.
    pub count: u32,
}

/// Counters and running requests of a backend server, as returned by `/standin/seen`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStats {
    /// Runs of each job, sorted by job.
    pub runs: Vec<JobRuns>,
    /// Runs of all requests, including those without a `Standin-Job` header.
    pub run_count: u64,
    /// Ids of the running requests, sorted.
    pub running: Vec<String>,
    /// Highest number of requests that ran at the same time.
    pub running_peak: usize,
    /// Number of open connections.
    pub connections: u32,
    /// Highest number of connections that were open at the same time.
    pub connections_peak: u32,
    /// Request ids that probes reported as not running, sorted; requests with these are refused.
    #[serde(default)]
    pub fenced: Vec<String>,
    /// Dispatchers of the running requests, sorted; one entry per request.
    #[serde(default)]
    pub dispatchers: Vec<String>,
    /// Dispatchers that probes reported as running nothing, sorted; their requests are refused.
    #[serde(default)]
    pub fenced_dispatchers: Vec<String>,
    /// `Savorypitch-Deadline-Ms` of the last request: time until its deadline, in milliseconds; `None`
    /// if it had no such header.
    #[serde(default)]
    pub last_deadline_ms: Option<u64>,
}

/// A stand-in backend server; [`serve`] makes it reachable.
#[derive(Default)]
pub struct StandinBackend {
    stats: Mutex<BackendStats>,
    is_failing: AtomicBool,
}

impl StandinBackend {
    /// Returns a copy of the counters and the running requests.
    pub fn stats(&self) -> BackendStats {
        self.lock().clone()
    }

    /// Returns how often `job` ran.
    pub fn runs_of(&self, job: &str) -> u32 {
        let stats = self.lock();
        let found = stats.runs.binary_search_by(|runs| runs.job.as_str().cmp(job));
        found.map_or(0, |index| stats.runs[index].count)
    }

    /// Makes every request without a `Standin-Fault` header fail with status 500, or succeed again.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::Relaxed);
    }

    /// Records the start of a request; returns false if its id or dispatcher is fenced.
    fn start_request(&self, job: Option<&str>, request_id: &str, dispatcher: &str) -> bool {
        let mut stats = self.lock();
        if contains_sorted(&stats.fenced, request_id)
            || contains_sorted(&stats.fenced_dispatchers, dispatcher)
        {
            return false;
        }
        let index = stats.dispatchers.partition_point(|other| other.as_str() < dispatcher);
        stats.dispatchers.insert(index, dispatcher.to_owned());
        if let Some(job) = job {
            match stats.runs.binary_search_by(|runs| runs.job.as_str().cmp(job)) {
                Ok(index) => stats.runs[index].count += 1,
                Err(index) => stats.runs.insert(index, JobRuns { job: job.to_owned(), count: 1 }),
            }
        }
        stats.run_count += 1;
        let index = stats.running.partition_point(|id| id.as_str() < request_id);
        stats.running.insert(index, request_id.to_owned());
        stats.running_peak = stats.running_peak.max(stats.running.len());
        true
    }

    fn finish_request(&self, request_id: &str, dispatcher: &str) {
        let mut stats = self.lock();
        if let Ok(index) = stats.dispatchers.binary_search_by(|d| d.as_str().cmp(dispatcher)) {
            stats.dispatchers.remove(index);
        }
        if let Ok(index) = stats.running.binary_search_by(|id| id.as_str().cmp(request_id)) {
            stats.running.remove(index);
        }
    }

    /// Returns whether the request is running; fences its id if it is not.
    fn probe_request(&self, request_id: &str) -> bool {
        let mut stats = self.lock();
        if stats.running.binary_search_by(|id| id.as_str().cmp(request_id)).is_ok() {
            return true;
        }
        if let Err(index) = stats.fenced.binary_search_by(|id| id.as_str().cmp(request_id)) {
            stats.fenced.insert(index, request_id.to_owned());
        }
        false
    }

    /// Returns whether any request of the dispatcher is running; fences the dispatcher if none is.
    fn probe_dispatcher(&self, dispatcher: &str) -> bool {
        let mut stats = self.lock();
        if contains_sorted(&stats.dispatchers, dispatcher) {
            return true;
        }
        let fenced = &mut stats.fenced_dispatchers;
        if let Err(index) = fenced.binary_search_by(|other| other.as_str().cmp(dispatcher)) {
            fenced.insert(index, dispatcher.to_owned());
        }
        false
    }

    fn record_connect(&self) {
        let mut stats = self.lock();
        stats.connections += 1;
        stats.connections_peak = stats.connections_peak.max(stats.connections);
    }

    fn record_disconnect(&self) {
        self.lock().connections -= 1;
    }

    fn lock(&self) -> MutexGuard<'_, BackendStats> {
        self.stats.lock().expect("lock is never poisoned")
    }
}

/// Serves `backend` on `address`; returns the bound address and the server task.
pub async fn serve(
    backend: Arc<StandinBackend>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route("/standin/seen", get(get_stats))
        .route(&format!("{RUNNING_PATH}{{id}}"), get(get_running))
        .route(&format!("{DISPATCHED_PATH}{{dispatcher}}"), get(get_dispatched))
        .fallback(run_request)
        .with_state(backend.clone());
    let task = tokio::spawn(async move {
        // Runs until the process or the test ends.
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(backend.clone(), router.clone(), stream));
        }
    });
    Ok((address, task))
}

async fn serve_connection(backend: Arc<StandinBackend>, router: Router, stream: TcpStream) {
    backend.record_connect();
    // Low latency matters more than the number of packets; an error here costs only latency.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request: http::Request<_>| {
        let router = router.clone();
        async move {
            let response = router.oneshot(request.map(Body::new)).await;
            let Ok(response) = response.map_err(|error: Infallible| match error {});
            if response.extensions().get::<Fault>() == Some(&Fault::CutHead) {
                // Returning an error closes the connection without a response.
                return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
            }
            Ok(response)
        }
    });
    // Errors are expected: faults cut connections on purpose.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    backend.record_disconnect();
}

type Shared = State<Arc<StandinBackend>>;

async fn get_stats(State(backend): Shared) -> Json<BackendStats> {
    Json(backend.stats())
}

async fn get_running(State(backend): Shared, Path(id): Path<String>) -> Json<bool> {
    Json(backend.probe_request(&id))
}

async fn get_dispatched(State(backend): Shared, Path(dispatcher): Path<String>) -> Json<bool> {
    Json(backend.probe_dispatcher(&dispatcher))
}

async fn run_request(State(backend): Shared, request: Request) -> Response {
    let headers = request.headers();
    let request_id = header_text(headers, "savorypitch-request-id").unwrap_or_default().to_owned();
    let delay_ms = header_text(headers, "standin-delay-ms").and_then(|text| text.parse().ok());
    let fault = header_text(headers, "standin-fault").and_then(Fault::parse);
    let deadline_ms =
        header_text(headers, "savorypitch-deadline-ms").and_then(|text| text.parse().ok());
    backend.lock().last_deadline_ms = deadline_ms;
    let dispatcher = header_text(headers, "savorypitch-dispatcher").unwrap_or_default().to_owned();
    let job = header_text(headers, "standin-job");
    if fault == Some(Fault::NotRun) || !backend.start_request(job, &request_id, &dispatcher) {
        return not_run_response();
    }
    // Runs to completion even if the caller disconnects.
    let task_backend = backend.clone();
    let finished = tokio::spawn(async move {
        if let Some(delay_ms) = delay_ms {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        task_backend.finish_request(&request_id, &dispatcher);
    });
    let _ = finished.await;
    let is_failing = backend.is_failing.load(Ordering::Relaxed);
    match fault.or(is_failing.then_some(Fault::Fail)) {
        None if request.headers().contains_key("standin-collect") => echo_collected(request).await,
        None => Response::new(Body::new(request.into_body())),
        Some(fault) => respond_with_fault(fault, request).await,
    }
}

async fn echo_collected(request: Request) -> Response {
    match request.into_body().collect().await {
        Ok(body) => Response::new(Body::from(body.to_bytes())),
        Err(_) => std::future::pending().await,
    }
}

async fn respond_with_fault(fault: Fault, request: Request) -> Response {
    if fault == Fault::Unresponsive {
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

fn not_run_response() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let outcome = HeaderValue::from_static("not-run");
    response.headers_mut().insert("savorypitch-outcome", outcome);
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn contains_sorted(sorted: &[String], wanted: &str) -> bool {
    sorted.binary_search_by(|other| other.as_str().cmp(wanted)).is_ok()
}
