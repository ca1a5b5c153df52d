//! HTTP/1.1 server that, when it stops, closes each connection after the request in progress.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use inbound::Budget;
use inbound::Limits;
use telemetry::Telemetry;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A running server.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address and serves the router to callers within a budget.
    pub async fn start(
        address: SocketAddr,
        router: Router,
        budget: Arc<Budget>,
    ) -> io::Result<Self> {
        Self::serve_within(TcpListener::bind(address).await?, router, budget)
    }

    /// Serves the router on an existing listener with the default limits.
    pub fn serve(listener: TcpListener, router: Router) -> io::Result<Self> {
        let budget = Budget::new("server", Limits::default(), Telemetry::new(None)?);
        Self::serve_within(listener, router, budget)
    }

    /// Serves the router on an existing listener to callers within a budget.
    pub fn serve_within(
        listener: TcpListener,
        router: Router,
        budget: Arc<Budget>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(inbound::serve(listener, router, budget, stopped));
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
