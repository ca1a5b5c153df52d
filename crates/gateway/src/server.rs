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

/// Time that a caller may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Headers of a request at most.
const HEADERS_MAX: usize = 100;
/// Size of the head of a request at most, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Wait after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening server.
pub struct Server {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Takes no more connections and waits at most `grace` for running requests; true if all ended.
    pub async fn stop(self, grace: Duration) -> bool {
        // The task holds a receiver for as long as it runs.
        let _ = self.stop.send(true);
        tokio::time::timeout(grace, self.task).await.is_ok()
    }
}

/// Serves `router` on `address`.
pub async fn serve(address: SocketAddr, router: Router) -> io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(accept(listener, router, stopped));
    Ok(Server { address, stop, task })
}

async fn accept(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(HEADERS_MAX)
        .max_buf_size(HEAD_MAX_BYTES);
    let builder = Arc::new(builder);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Latency matters more than the number of packets; a failure here is harmless.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}
