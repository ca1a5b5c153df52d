//! Accepts connections within a budget and serves a router on them.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tower::ServiceExt;

use crate::budget::Budget;
use crate::connection::Connection;
use crate::ledger::Phase;
use crate::metrics;
use crate::stream::TrackedStream;

/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 100;
/// Smallest read buffer that the HTTP library supports, in bytes.
const READ_BUFFER_BYTES_MIN: usize = 8_192;
/// Time between two checks for connections that are late.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves `router` on a listener until `stopped` changes, then until the requests in progress have
/// been answered. Closes all connections when dropped.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    budget: Arc<Budget>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    let mut next_check = Instant::now() + CHECK_PERIOD;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = tokio::time::sleep_until(next_check), if !connections.is_empty() => {
                next_check = Instant::now() + CHECK_PERIOD;
                budget.close_late(Instant::now());
                continue;
            }
            _ = stopped.changed() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            // The caller has closed the connection before it was accepted.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(_) => {
                // Out of file descriptors: another connection must close first.
                budget.count(metrics::ACCEPT_FAILED);
                budget.close_slowest();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let Some(connection) = budget.open(Instant::now()) else {
            continue;
        };
        let served = graceful.watch(serve_connection(stream, router.clone(), connection.clone()));
        connections.spawn(async move {
            tokio::select! {
                result = served => report(&connection.budget, result),
                () = connection.closed() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Counts a head over the limit. Any other error is no error of the node.
fn report(budget: &Budget, result: hyper::Result<()>) {
    if result.is_err_and(|error| error.is_parse_too_large()) {
        budget.count(metrics::HEADS_TOO_LARGE);
        telemetry::log::line("head-too-large").field("port", budget.port()).write();
    }
}

type Served<S> = http1::Connection<TokioIo<TrackedStream<TcpStream>>, S>;

fn serve_connection(
    stream: TcpStream,
    router: Router,
    connection: Arc<Connection>,
) -> Served<impl Service<Request<Incoming>, Response = Response, Error = Infallible, Future: Send>>
{
    let head_bytes_max = connection.budget.limits().head_bytes_max;
    let stream = TrackedStream::new(stream, connection.clone());
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (router, connection) = (router.clone(), connection.clone());
        connection.enter(Phase::Serving);
        request.extensions_mut().insert(connection.clone());
        async move {
            let response = router.oneshot(request.map(Body::new)).await;
            connection.enter(Phase::Idle);
            response
        }
    });
    http1::Builder::new()
        .max_headers(HEADERS_MAX)
        .max_buf_size(head_bytes_max.max(READ_BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service)
}
