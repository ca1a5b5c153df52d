//! Accepts connections over HTTP/1 and ends them gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::stream::CallerStream;

/// Time that a caller may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a caller may take to read what is ready for it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Headers of a request at most.
const HEADERS_MAX: usize = 100;
/// Size of the head of a request at most, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Wait after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time that callers may take.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// To send the head of a request; also how long an idle connection is kept.
    pub header_read: Duration,
    /// To read what is ready for them.
    pub write: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self { header_read: HEADER_TIMEOUT, write: WRITE_TIMEOUT }
    }
}

/// A listening server; dropping it cuts its connections.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Takes no more connections and waits at most `grace` for running requests; true if all ended.
    /// What has not ended by then is cut.
    pub async fn stop(mut self, grace: Duration) -> bool {
        // The task holds a receiver for as long as it runs.
        let _ = self.stop.send(true);
        tokio::time::timeout(grace, &mut self.task).await.is_ok()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `router` on `address`.
pub async fn serve(address: SocketAddr, router: Router) -> io::Result<Server> {
    serve_with_timeouts(address, router, Timeouts::default()).await
}

/// Serves `router` on `address`, with other timeouts than the usual ones.
pub async fn serve_with_timeouts(
    address: SocketAddr,
    router: Router,
    timeouts: Timeouts,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept_loop(listener, router, timeouts, stopped));
    Ok(Server { address, stop, task })
}

async fn accept_loop(
    listener: TcpListener,
    router: Router,
    timeouts: Timeouts,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(timeouts.header_read)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_MAX_BYTES);
    let builder = Arc::new(builder);
    // Ends with this task, so that no connection outlives the server.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stopped.changed() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Latency matters more than the number of packets; a failure here is harmless.
        let _ = stream.set_nodelay(true);
        let stream = CallerStream::new(stream, timeouts.write);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        connections.spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}
