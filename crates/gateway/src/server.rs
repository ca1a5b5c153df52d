//! HTTP/1 server with timeouts and graceful shutdown.

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

/// Default for [`Timeouts::header_read`].
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Default for [`Timeouts::write`].
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of headers of a request.
const HEADERS_MAX: usize = 100;
/// Size of the read buffer of a connection, which limits the head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;
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

/// Serves `router` on `address` with the default timeouts.
pub async fn serve(address: SocketAddr, router: Router) -> io::Result<Server> {
    serve_with_timeouts(address, router, Timeouts::default()).await
}

/// Serves `router` on `address` with the given timeouts.
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
    // Aborts the connections when this task ends, so that none outlives the server.
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
        // Latency matters more than the number of packets. A failure is harmless.
        let _ = stream.set_nodelay(true);
        let stream = CallerStream::new(stream, timeouts.write);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        connections.spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}
