//! A node follows the configuration, serves callers and peers, and takes over the scheduling when
//! the election says so.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use scheduler::Settings;
use telemetry::Telemetry;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::clock;
use crate::election::Election;
use crate::election::NextStep;
use crate::election::OwnerReply;
use crate::election::POLL_PERIOD;
use crate::election::Reason;
use crate::election::Verdict;
use crate::http::Client;
use crate::http::Server;
use crate::metrics::METRICS;
use crate::operator_changes;
use crate::owner;
use crate::owner::AcquiredOwnership;
use crate::peers;
use crate::peers::OwnerClient;
use crate::peers::Ping;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::RowVersion;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::ports::WriteOutcome;
use crate::rows;
use crate::rows::OWNER_KEY;
use crate::rows::OwnerRow;
use crate::shared::OperatorState;
use crate::shared::OwnerLocation;
use crate::shared::OwnerRequest;
use crate::shared::Shared;

/// Time limit for releasing the ownership when the node stops.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper end of the random time that is added to [`POLL_PERIOD`], in milliseconds.
const POLL_JITTER_MS: u64 = 100;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Unique name of the node.
    pub name: String,
    /// Unique number of this process.
    pub incarnation: u64,
    /// Address for other nodes; port 0 stands for any free port.
    pub peer_address: SocketAddr,
    /// Processor time that the process may use, in thousandths of a core.
    pub cpu_millis: u64,
    /// Largest age of the configuration at which the node accepts keys.
    pub key_age_max: Duration,
    /// Time limit for a submission to the owner if it runs in this process.
    pub local_write_timeout: Duration,
    /// Times and limits of the scheduler.
    pub scheduling: Settings,
}

/// A running node.
pub struct Node<P> {
    pub(crate) shared: Arc<Shared<P>>,
    tasks: Vec<JoinHandle<()>>,
    peers: Mutex<Option<Server>>,
}

impl<P: Platform> Node<P> {
    /// Starts a node; fails if it can't listen on its peer address.
    pub async fn start(
        mut settings: NodeSettings,
        platform: P,
        client: Client,
        telemetry: Telemetry,
    ) -> io::Result<Self> {
        telemetry.declare(METRICS);
        let listener = TcpListener::bind(settings.peer_address).await?;
        settings.peer_address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            strongest_cpu_millis: AtomicU64::new(settings.cpu_millis),
            settings,
            platform,
            client,
            operator_state: watch::Sender::new(OperatorState::default()),
            owner_location: Mutex::new(OwnerLocation::default()),
            owner: Mutex::new(None),
            is_stopping: watch::Sender::new(false),
            is_store_up: AtomicBool::new(true),
            followers: Mutex::default(),
            poll_now: Notify::new(),
            is_takeover_requested: AtomicBool::new(false),
            started_at: clock::now(),
            telemetry,
        });
        let router = peers::router(shared.clone());
        let peers = Server::serve(listener, router)?;
        let tasks = vec![
            tokio::spawn(operator_changes::run(shared.clone())),
            tokio::spawn(run_election(shared.clone())),
        ];
        Ok(Self { shared, tasks, peers: Mutex::new(Some(peers)) })
    }

    /// Returns whether the node can serve callers: its configuration is recent, and it is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        let config = self.shared.config(clock::now());
        let is_fresh = config.is_some_and(|(_, age)| age <= self.shared.settings.key_age_max);
        is_fresh && !self.shared.is_stopping()
    }

    /// Returns the metrics of the node.
    pub fn telemetry(&self) -> &Telemetry {
        &self.shared.telemetry
    }

    /// Releases the ownership if the node holds it, and makes the node not ready. Callers are still
    /// served.
    pub async fn start_shutdown(&self) {
        self.shared.is_stopping.send_replace(true);
        let Some(ownership) = self.shared.held_ownership() else {
            return;
        };
        let (reply, released) = oneshot::channel();
        if ownership.requests.send(OwnerRequest::Release { reply }).await.is_err() {
            return;
        }
        if tokio::time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
            telemetry::log::line("release-late").field("epoch", ownership.epoch).write();
        }
    }

    /// Stops serving peers, with up to `grace` for calls in progress, and ends the node's tasks.
    pub async fn shut_down(&self, grace: Duration) {
        let peers = self.peers.lock().expect("lock is never poisoned").take();
        if let Some(peers) = peers {
            peers.stop(grace).await;
        }
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Polls the owner for as long as the process runs, and takes over when necessary.
async fn run_election<P: Platform>(shared: Arc<Shared<P>>) {
    let mut election = Election::default();
    loop {
        if shared.is_stopping() {
            return;
        }
        if let Some(acquired) = check_owner(&shared, &mut election).await {
            owner::run(shared.clone(), acquired).await;
            election = Election::default();
        }
        let jitter = Duration::from_millis(rand::rng().random_range(0..POLL_JITTER_MS));
        tokio::select! {
            () = tokio::time::sleep(POLL_PERIOD + jitter) => {}
            () = shared.poll_now.notified() => {}
        }
    }
}

/// Polls the owner and, unless it is working, reads its row; takes over if the election says so.
async fn check_owner<P: Platform>(
    shared: &Shared<P>,
    election: &mut Election,
) -> Option<AcquiredOwnership> {
    let mut location = shared.owner_location();
    if location.row.address.is_none()
        && let Ok(Some((row, version))) = read_owner(shared).await
    {
        shared.set_owner_row(row, version);
        location = shared.owner_location();
    }
    let is_requested = shared.is_takeover_requested.swap(false, Ordering::Relaxed);
    if let Some(address) = location.row.address {
        let reply = match location.row.incarnation == shared.settings.incarnation {
            // The row names this process, which has lost or released the ownership.
            true => OwnerReply::Silent,
            false => poll_owner(shared, address).await,
        };
        let step = election.handle_reply(&location.row, reply);
        if is_requested {
            election.handle_takeover_request(&location.row);
        } else if step == NextStep::Wait {
            return None;
        }
    }
    let found = match read_owner(shared).await {
        Ok(found) => found,
        Err(error) => {
            telemetry::log::line("owner-row-not-read").text("why", error).write();
            return None;
        }
    };
    if let Some((row, version)) = &found {
        shared.set_owner_row(row.clone(), *version);
    }
    match election.handle_row(
        found.as_ref().map(|(row, _)| row),
        shared.takeover_timing(),
        clock::now(),
    ) {
        Verdict::Wait => None,
        Verdict::TakeOver(reason) => take_over(shared, found, reason).await,
    }
}

/// Polls the owner, and applies the age and version of the configuration that it reports.
async fn poll_owner<P: Platform>(shared: &Shared<P>, address: SocketAddr) -> OwnerReply {
    let owner = OwnerClient { client: &shared.client, address };
    let sent_at = clock::now();
    let uptime = sent_at.saturating_sub(shared.started_at);
    let ping = Ping {
        address: shared.settings.peer_address,
        uptime_ms: uptime.as_millis() as u64,
        cpu_millis: shared.settings.cpu_millis,
        is_store_up: shared.is_store_up(),
    };
    let (reply, info) = owner.ping(&ping).await;
    let Some(info) = info else {
        return reply;
    };
    if matches!(reply, OwnerReply::Owner { .. }) {
        shared.record_strongest(info.strongest_cpu_millis);
    }
    let reported = info.config;
    if reported.version == 0 {
        return reply;
    }
    let confirmed_at = sent_at.saturating_sub(reported.age);
    let known = shared.config(sent_at).map_or(0, |(config, _)| config.version);
    // The platform delivers newer configurations sooner, so only a node that can't reach the store
    // fetches them from the owner.
    let config = match reported.version > known && !shared.is_store_up() {
        true => owner.config().await.ok().map(Arc::new),
        false => None,
    };
    shared.set_config(config, reported.version, confirmed_at);
    reply
}

async fn read_owner<P: Platform>(
    shared: &Shared<P>,
) -> Result<Option<(OwnerRow, RowVersion)>, ReadError> {
    let Some(found) = shared.platform.get(Table::Owner, OWNER_KEY).await? else {
        return Ok(None);
    };
    let row = rows::decode(&found.key, &found.value);
    let row = row.map_err(|error| ReadError::Malformed(error.to_string()))?;
    Ok(Some((row, found.version)))
}

async fn take_over<P: Platform>(
    shared: &Shared<P>,
    found: Option<(OwnerRow, RowVersion)>,
    reason: Reason,
) -> Option<AcquiredOwnership> {
    let (previous, version) = found.unwrap_or_default();
    let row = OwnerRow {
        epoch: previous.epoch + 1,
        sequence: previous.sequence + 1,
        node: shared.settings.name.clone(),
        incarnation: shared.settings.incarnation,
        address: Some(shared.settings.peer_address),
        is_released: false,
    };
    let sent_at = clock::now();
    let transaction = Transaction {
        preconditions: vec![(Table::Owner, OWNER_KEY.to_owned(), version)],
        puts: vec![(Table::Owner, OWNER_KEY.to_owned(), rows::encode(&row))],
        ..Transaction::default()
    };
    let written = shared.platform.write(transaction).await;
    let version = match written {
        WriteOutcome::Committed(version) => version,
        // The owner's row shows whether the transaction was committed. If it can't be read, the
        // next poll reads it.
        WriteOutcome::Unknown(_) => match read_owner(shared).await {
            Ok(Some((found, version))) if found == row => version,
            _ => return None,
        },
        WriteOutcome::Conflict(_) | WriteOutcome::Refused(_) => return None,
    };
    shared.set_owner_row(row.clone(), version);
    telemetry::log::line("ownership-taken")
        .field("epoch", row.epoch)
        .text("reason", format!("{reason:?}"))
        .field("before", previous.node.as_str())
        .write();
    Some(AcquiredOwnership { row, version, sent_at, reason })
}
