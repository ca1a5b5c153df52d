//! HTTP/1 server with timeouts, a budget for its callers, and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::response::Response;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tower::ServiceExt;

use crate::bounded_body::TrackedBody;
use crate::bounded_body::TrackedResponse;
use crate::budget::Budget;
use crate::budget::BudgetLimits;
use crate::budget::ConnectionBudget;
use crate::stream::CallerStream;
use crate::stream::READ_BUFFER_MAX_BYTES;

/// Default for [`Timeouts::header_read`].
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Default for [`Timeouts::write`].
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 100;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeouts of connections from callers. A caller that exceeds one is disconnected.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Maximum time to receive the head of a request; also how long an idle connection stays open.
    pub header_read: Duration,
    /// Maximum time that a write may block because the caller does not read.
    pub write: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { header_read: HEADER_TIMEOUT, write: WRITE_TIMEOUT }
    }
}

/// A listening server. Closes the listener and all its connections when dropped.
pub struct Server {
    /// Address that it listens on, with the actual port.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Stops accepting connections and waits at most `grace` for running requests to finish.
    /// Returns true if all finished; closes the connections of the others.
    pub async fn stop(mut self, grace: Duration) -> bool {
        // Sending fails only if the task, which holds the receiver, has already ended.
        let _ = self.stop.send(true);
        tokio::time::timeout(grace, &mut self.task).await.is_ok()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `router` on `address` with the default timeouts and a budget of its own.
pub async fn serve(address: SocketAddr, router: Router) -> io::Result<Server> {
    serve_with_timeouts(address, router, Timeouts::default()).await
}

/// Serves `router` on `address` with the given timeouts and a budget of its own.
pub async fn serve_with_timeouts(
    address: SocketAddr,
    router: Router,
    timeouts: Timeouts,
) -> io::Result<Server> {
    let budget = Budget::new(BudgetLimits::default(), None);
    serve_within_budget(address, router, timeouts, budget).await
}

/// Serves `router` on `address`; what its callers hold is taken from `budget`.
pub async fn serve_within_budget(
    address: SocketAddr,
    router: Router,
    timeouts: Timeouts,
    budget: Arc<Budget>,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let acceptor = Acceptor { builder: Arc::new(connection_builder(timeouts)), router, timeouts };
    let task = tokio::spawn(accept_loop(listener, acceptor, budget, stopped));
    Ok(Server { address, stop, task })
}

/// Serves connections; clones share the settings.
#[derive(Clone)]
struct Acceptor {
    builder: Arc<http1::Builder>,
    router: Router,
    timeouts: Timeouts,
}

fn connection_builder(timeouts: Timeouts) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(timeouts.header_read)
        .max_headers(HEADERS_MAX)
        .max_buf_size(READ_BUFFER_MAX_BYTES);
    builder
}

async fn accept_loop(
    listener: TcpListener,
    acceptor: Acceptor,
    budget: Arc<Budget>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    // Aborts the connections when this task ends, so that none outlives the server.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stopped.changed() => break,
        };
        let Ok((stream, _)) = accepted else {
            budget.close_stalest(Instant::now());
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without room, dropping the stream closes the connection.
        if let Ok(connection_budget) = budget.connect(Instant::now()) {
            connections.spawn(acceptor.serve(stream, connection_budget, &graceful));
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

impl Acceptor {
    /// Serves one connection until it ends or is closed in favor of others.
    fn serve(
        &self,
        stream: TcpStream,
        budget: ConnectionBudget,
        graceful: &GracefulShutdown,
    ) -> impl Future<Output = ()> + Send + use<> {
        // Latency matters more than the number of packets. A failure is harmless.
        let _ = stream.set_nodelay(true);
        let stream = CallerStream::new(stream, self.timeouts.write, Some(budget.clone()));
        let (router, request_budget) = (self.router.clone(), budget.clone());
        let service = hyper::service::service_fn(move |request| {
            handle(router.clone(), request, request_budget.clone())
        });
        let connection = self.builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        async move {
            tokio::select! {
                _ = connection => {}
                () = budget.closed() => {}
            }
        }
    }
}

async fn handle(
    router: Router,
    request: http::Request<hyper::body::Incoming>,
    budget: ConnectionBudget,
) -> Result<Response, std::convert::Infallible> {
    let mut request: Request =
        request.map(|body| TrackedBody::wrap(Body::new(body), budget.clone()));
    request.extensions_mut().insert(budget.clone());
    let response = router.oneshot(request).await?;
    Ok(response.map(|body| TrackedResponse::wrap(body, budget)))
}
