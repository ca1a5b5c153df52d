//! HTTP/1.1 server that, when it stops, closes each connection after the request in progress.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time limit for the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// A running server.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address and serves the router.
    pub async fn start(address: SocketAddr, router: Router) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address).await?, router)
    }

    /// Serves the router on an existing listener.
    pub fn serve(listener: TcpListener, router: Router) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, router, stopped));
        Ok(Self { address, stop, task })
    }

    /// Stops accepting connections, closes the open ones after the request in progress, and waits
    /// up to `grace` for that.
    pub async fn stop(self, grace: Duration) {
        // Sending fails only if the task has ended because of its listener.
        let _ = self.stop.send(true);
        let _ = tokio::time::timeout(grace, self.task).await;
    }
}

async fn serve(listener: TcpListener, router: Router, mut stopped: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: other connections must close first.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let service = TowerToHyperService::new(router.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that closes the connection early is no error of the node.
            let _ = watched.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
