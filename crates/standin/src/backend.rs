//! A backend server that echoes, counts what it runs, and can be told to fail.
//!
//! Every request is counted by its `Savorypitch-Request-Id` and, if the caller sent one, by its
//! `Standin-Job` header, so that a test can see what ran twice. `Standin-Delay-Ms` sets how long the
//! work takes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::Response;
use axum::routing::get;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;

/// Path below which a backend server tells whether a request id is running.
pub const RUNNING_PATH: &str = "/.savorypitch/running/";

/// Runs of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// `Standin-Job` header.
    pub job: String,
    /// Times that it was run.
    pub count: u32,
}

/// What a backend server has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Runs, sorted by job.
    pub runs: Vec<Runs>,
    /// Request ids that run now, sorted.
    pub running: Vec<String>,
    /// Most requests that ran at once.
    pub running_peak: usize,
}

/// State of a stand-in backend server.
#[derive(Default)]
pub struct StandinBackend {
    seen: Mutex<Seen>,
}

impl StandinBackend {
    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        self.seen.lock().expect("no holder panics").clone()
    }

    fn begin(&self, job: Option<&str>, request_id: &str) {
        let mut seen = self.seen.lock().expect("no holder panics");
        if let Some(job) = job {
            match seen.runs.binary_search_by(|runs| runs.job.as_str().cmp(job)) {
                Ok(index) => seen.runs[index].count += 1,
                Err(index) => seen.runs.insert(index, Runs { job: job.to_owned(), count: 1 }),
            }
        }
        let index = seen.running.partition_point(|id| id.as_str() < request_id);
        seen.running.insert(index, request_id.to_owned());
        seen.running_peak = seen.running_peak.max(seen.running.len());
    }

    fn end(&self, request_id: &str) {
        let mut seen = self.seen.lock().expect("no holder panics");
        if let Ok(index) = seen.running.binary_search_by(|id| id.as_str().cmp(request_id)) {
            seen.running.remove(index);
        }
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
        .fallback(work)
        .with_state(backend);
    let task = tokio::spawn(async move {
        // Serves until the process or the test ends.
        let _ = axum::serve(listener, router).await;
    });
    Ok((address, task))
}

type Shared = State<Arc<StandinBackend>>;

async fn seen(State(backend): Shared) -> Json<Seen> {
    Json(backend.seen())
}

async fn running(State(backend): Shared, Path(id): Path<String>) -> Json<bool> {
    Json(backend.seen().running.contains(&id))
}

async fn work(State(backend): Shared, request: Request) -> Response {
    let headers = request.headers();
    let request_id = text(headers, "savorypitch-request-id").unwrap_or_default().to_owned();
    let delay_ms = text(headers, "standin-delay-ms").and_then(|text| text.parse().ok());
    backend.begin(text(headers, "standin-job"), &request_id);
    // Runs to its end also when the caller goes away.
    let waited = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(delay_ms.unwrap_or(0))).await;
        backend.end(&request_id);
    });
    let _ = waited.await;
    Response::new(Body::new(request.into_body()))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
