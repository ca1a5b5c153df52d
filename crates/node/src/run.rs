//! Start and shutdown of a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::routing::get;
use events::EventKind;
use events::Recorder;
use gateway::Budget;
use gateway::BudgetLimits;
use gateway::Gateway;
use gateway::NodeContext;
use gateway::Server;
use gateway::Timeouts;
use http::StatusCode;
use membership::MemberView;
use model::ConfigVersion;
use model::Incarnation;
use telemetry::Telemetry;
use tokio::task::JoinHandle;

use crate::admin;
use crate::compact;
use crate::duty;
use crate::follower;
use crate::ledger;
use crate::maintain;
use crate::members;
use crate::members::MembershipTask;
use crate::peer_shares;
use crate::place;
use crate::place::workers::HttpWorkers;
use crate::settings::Platform;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::ship;

/// Reason why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The listener for peers could not be opened.
    #[error(transparent)]
    Peers(#[from] wire::LinkError),
    /// The sender of metrics could not be set up.
    #[error("cannot send metrics: {0}")]
    Metrics(std::io::Error),
}

/// Result of [`Node::stop`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOutcome {
    /// True if every running request finished within the grace period.
    pub is_graceful: bool,
}

/// A running node.
pub struct Node {
    /// Bound address of the callers' interface, which differs from the setting if its port is 0.
    pub caller_address: SocketAddr,
    /// Bound address of the operators' interface.
    pub admin_address: SocketAddr,
    shared: Arc<Shared>,
    gateway: Arc<Gateway>,
    caller_server: Server,
    admin_server: Server,
    members: Option<MembershipTask>,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node. It is ready once it may admit work and has a configuration.
    pub async fn start(settings: Settings, platform: Platform) -> Result<Self, StartError> {
        let started_at = SystemTime::now();
        let since_epoch = started_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        let listener = members::listen(&settings)?;
        let wall_ms = since_epoch.as_millis() as u64;
        let incarnation = members::allocate_incarnation(&settings, &platform, wall_ms).await;
        let events = Arc::new(Recorder::new(settings.node.clone(), incarnation));
        let telemetry = Telemetry::new(settings.metrics_address).map_err(StartError::Metrics)?;
        events.record(EventKind::NodeStarted, started_at);
        let shared = Arc::new(Shared::new(settings, platform, events, telemetry, incarnation));
        follower::poll_once(&shared).await;

        let gateway = start_gateway(&shared);
        let waiting = Arc::downgrade(&gateway);
        shared.set_waiting(move || waiting.upgrade().map_or_else(Vec::new, |g| g.waiting()));
        let settings = &shared.settings;
        let router = caller_router(&shared, &gateway);
        let caller_server =
            listen(&shared, settings.caller_address, settings.gateway.caller_limits, router)
                .await?;
        let router = admin::router(shared.clone());
        let admin_server =
            listen(&shared, settings.admin_address, settings.gateway.admin_limits, router).await?;
        let own = MemberView {
            node: settings.node.clone(),
            incarnation,
            zone: settings.zone.clone(),
            caller_address: caller_server.address,
            admin_address: admin_server.address,
            config_version: shared.config().version,
            is_alive: true,
            counts: shared.counts(),
        };
        shared.set_members(vec![own.clone()]);
        let members = match (listener, settings.peering.clone()) {
            (Some(listener), Some(peering)) => Some(listener.start(shared.clone(), peering, own)),
            _ => None,
        };
        let tasks = vec![
            tokio::spawn(compact::run(shared.clone())),
            tokio::spawn(duty::run(shared.clone())),
            tokio::spawn(peer_shares::run(shared.clone(), Arc::downgrade(&gateway))),
            tokio::spawn(follower::follow(shared.clone())),
            tokio::spawn(ledger::run(shared.clone(), gateway.prober())),
            tokio::spawn(maintain::run(shared.clone())),
            tokio::spawn(place::run(shared.clone(), Arc::new(HttpWorkers))),
            tokio::spawn(ship::ship(shared.clone())),
        ];
        Ok(Self {
            caller_address: caller_server.address,
            admin_address: admin_server.address,
            shared,
            gateway,
            caller_server,
            admin_server,
            members,
            tasks,
        })
    }

    /// Returns the version of the active configuration; 0 before the first one.
    pub fn config_version(&self) -> ConfigVersion {
        self.shared.config().version
    }

    /// Polls for a newer configuration now instead of at the next interval.
    pub async fn poll_config(&self) {
        follower::poll_once(&self.shared).await;
    }

    /// Returns true if the resources held by an incarnation of another node may be taken over.
    pub fn is_member_gone(&self, node: &str, incarnation: Incarnation) -> bool {
        self.shared.is_member_gone(&node.into(), incarnation)
    }

    /// Ends at once without leaving the cluster or shipping events, as a crashed process does.
    pub async fn fail(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        if let Some(members) = self.members {
            members.abort();
        }
        self.admin_server.stop(Duration::ZERO).await;
        self.caller_server.stop(Duration::ZERO).await;
    }

    /// Stops the node gracefully.
    ///
    /// Turns readiness off, keeps serving for `notice` so that the load balancer can react, closes
    /// the listener, and waits at most `grace` for open connections, then again at most `grace` for
    /// requests that run on without their caller.
    pub async fn stop(self, notice: Duration, grace: Duration) -> StopOutcome {
        let record = |kind| self.shared.events.record(kind, SystemTime::now());
        self.shared.start_shutdown();
        self.gateway.start_shutdown();
        record(EventKind::NodeStopping { running: 0 });
        tokio::time::sleep(notice).await;
        let has_drained = self.caller_server.stop(grace).await;
        let is_graceful = self.gateway.wait_for_detached_requests(grace).await && has_drained;
        record(EventKind::NodeStopped { cut: u32::from(!is_graceful) });
        self.admin_server.stop(Duration::ZERO).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        ledger::release_tokens(&self.shared).await;
        if let Some(members) = self.members {
            members.leave().await;
        }
        ship::ship_remaining(&self.shared).await;
        StopOutcome { is_graceful }
    }
}

async fn listen(
    shared: &Shared,
    address: SocketAddr,
    limits: BudgetLimits,
    router: Router,
) -> Result<Server, StartError> {
    let budget = Budget::new(limits, Some(shared.telemetry.clone()));
    let server = gateway::serve_within_budget(address, router, Timeouts::default(), budget);
    server.await.map_err(|source| StartError::Listen { address, source })
}

fn start_gateway(shared: &Arc<Shared>) -> Arc<Gateway> {
    Gateway::start(gateway::Dependencies {
        node: shared.clone(),
        limits: shared.limits.clone(),
        events: shared.events.clone(),
        telemetry: shared.telemetry.clone(),
        table: shared.platform.table.clone(),
        objects: shared.platform.objects.clone(),
        settings: shared.settings.gateway.clone(),
    })
}

fn caller_router(shared: &Arc<Shared>, gateway: &Arc<Gateway>) -> Router {
    let gateway = gateway.clone();
    Router::new()
        .merge(place::jobs::router(shared.clone()))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready).with_state(shared.clone()))
        .fallback(move |request: Request| gateway.clone().handle(request))
}

async fn ready(State(shared): State<Arc<Shared>>) -> StatusCode {
    let admits = shared.may_admit(Instant::now());
    let ready = !shared.is_stopping() && admits && shared.config().version > 0;
    if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
