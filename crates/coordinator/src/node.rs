//! A node follows the configuration, serves callers and peers, and takes over the scheduling when
//! the election says so.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use inbound::Budget;
use inbound::Limits;
use rand::RngExt;
use scheduler::Settings;
use scheduler::ShardIndex;
use telemetry::Telemetry;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::clock;
use crate::election::Election;
use crate::election::NextStep;
use crate::election::OwnerReply;
use crate::election::POLL_PERIOD;
use crate::election::Reason;
use crate::election::Verdict;
use crate::http::Client;
use crate::http::Server;
use crate::layout;
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
use crate::shared::HeldOwnership;
use crate::shared::NodeState;
use crate::shared::OperatorState;
use crate::shared::OwnerRequest;
use crate::shared::Shards;
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
    /// What other nodes may hold in this process.
    pub peer_limits: Limits,
    /// Processor time that the process may use, in thousandths of a core.
    pub cpu_millis: u64,
    /// Largest age of the configuration at which the node accepts keys.
    pub key_age_max: Duration,
    /// Time limit for a submission to the owner if it runs in this process.
    pub local_write_timeout: Duration,
    /// Number of hosts that one owner should schedule; decides the number of shards when the first
    /// node of a fleet starts.
    pub hosts_per_shard: usize,
    /// Times and limits of the scheduler.
    pub scheduling: Settings,
}

/// A running node.
pub struct Node<P> {
    pub(crate) node: Arc<NodeState<P>>,
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
        let peer_budget = Budget::new("peers", settings.peer_limits, telemetry.clone());
        let listener = TcpListener::bind(settings.peer_address).await?;
        settings.peer_address = listener.local_addr()?;
        let node = Arc::new(NodeState {
            settings,
            platform,
            client,
            operator_state: watch::Sender::new(OperatorState::default()),
            is_stopping: watch::Sender::new(false),
            is_store_up: AtomicBool::new(true),
            started_at: clock::now(),
            telemetry,
            shards: OnceLock::new(),
        });
        let router = peers::router(node.clone());
        let peers = Server::serve_within(listener, router, peer_budget)?;
        let tasks = vec![
            tokio::spawn(operator_changes::run(node.clone())),
            tokio::spawn(run_elections(node.clone())),
        ];
        Ok(Self { node, tasks, peers: Mutex::new(Some(peers)) })
    }

    /// Returns whether the node can serve callers: it knows the shards, its configuration is
    /// recent, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let config = self.node.config(clock::now());
        let is_fresh = config.is_some_and(|(_, age)| age <= self.node.settings.key_age_max);
        is_fresh && self.node.shards.get().is_some() && !self.node.is_stopping()
    }

    /// Returns the metrics of the node.
    pub fn telemetry(&self) -> &Telemetry {
        &self.node.telemetry
    }

    /// Releases the ownerships that the node holds, and makes the node not ready. Callers are still
    /// served.
    pub async fn start_shutdown(&self) {
        self.node.is_stopping.send_replace(true);
        let states = self.node.shards.get().map_or(&[][..], |shards| &shards.states);
        let mut releases = JoinSet::new();
        for ownership in states.iter().filter_map(|shared| shared.held_ownership()) {
            releases.spawn(release(ownership));
        }
        releases.join_all().await;
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

/// Requests the owner in this process to release its ownership, and waits until it has.
async fn release(ownership: HeldOwnership) {
    let (reply, released) = oneshot::channel();
    if ownership.requests.send(OwnerRequest::Release { reply }).await.is_err() {
        return;
    }
    if tokio::time::timeout(RELEASE_TIMEOUT, released).await.is_err() {
        telemetry::log::line("release-late").field("epoch", ownership.epoch).write();
    }
}

/// Finds out the layout, and runs the election of each shard for as long as the process runs.
async fn run_elections<P: Platform>(node: Arc<NodeState<P>>) {
    let layout = layout::read_or_store(&node).await;
    let indices = 0..layout.shard_count as ShardIndex;
    let states = indices.map(|shard| Arc::new(Shared::new(node.clone(), shard))).collect();
    let shards = node.shards.get_or_init(|| Shards { layout, states });
    let mut elections = JoinSet::new();
    for shared in &shards.states {
        elections.spawn(keep_election(shared.clone()));
    }
    elections.join_all().await;
}

/// Runs the election of a shard, again after a fault of the program has ended it, so that the fault
/// costs neither the other shards of this node nor this one's later turns as the owner.
async fn keep_election<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        // Dropping the set ends the election with this task.
        let mut election = JoinSet::new();
        election.spawn(run_election(shared.clone()));
        let Some(Err(error)) = election.join_next().await else {
            return;
        };
        shared.forget_ownership();
        telemetry::log::line("election-failed")
            .field("shard", shared.shard)
            .text("why", error)
            .write();
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Polls the owner for as long as the process runs, and takes over when necessary.
async fn run_election<P: Platform>(shared: Arc<Shared<P>>) {
    let mut election = Election::default();
    loop {
        if shared.node.is_stopping() {
            return;
        }
        if let Some(acquired) = check_owner(&shared, &mut election).await {
            owner::run(shared.clone(), acquired).await;
            election = Election::default();
        }
        let period = match election.is_suspicious() {
            true => POLL_PERIOD,
            false => shared.poll_period(),
        };
        let jitter = Duration::from_millis(rand::rng().random_range(0..POLL_JITTER_MS));
        tokio::select! {
            () = tokio::time::sleep(period + jitter) => {}
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
        let reply = match location.row.incarnation == shared.node.settings.incarnation {
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
    let owner = OwnerClient { client: &shared.node.client, address, shard: shared.shard };
    let sent_at = clock::now();
    let uptime = sent_at.saturating_sub(shared.node.started_at);
    let ping = Ping {
        address: shared.node.settings.peer_address,
        uptime_ms: uptime.as_millis() as u64,
        cpu_millis: shared.node.spare_cpu_millis(),
        is_store_up: shared.node.is_store_up(),
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
    let known = shared.node.config(sent_at).map_or(0, |(config, _)| config.version);
    // The platform delivers newer configurations sooner, so only a node that can't reach the store
    // fetches them from the owner.
    let config = match reported.version > known && !shared.node.is_store_up() {
        true => owner.config().await.ok().map(Arc::new),
        false => None,
    };
    shared.node.set_config(config, reported.version, confirmed_at);
    reply
}

async fn read_owner<P: Platform>(
    shared: &Shared<P>,
) -> Result<Option<(OwnerRow, RowVersion)>, ReadError> {
    let Some(found) = shared.node.platform.get(shared.shard, Table::Owner, OWNER_KEY).await? else {
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
        node: shared.node.settings.name.clone(),
        incarnation: shared.node.settings.incarnation,
        address: Some(shared.node.settings.peer_address),
        is_released: false,
        held_ms: 0,
    };
    let sent_at = clock::now();
    let transaction = Transaction {
        shard: shared.shard,
        preconditions: vec![(Table::Owner, OWNER_KEY.to_owned(), version)],
        puts: vec![(Table::Owner, OWNER_KEY.to_owned(), rows::encode(&row))],
        removals: Vec::new(),
    };
    let written = shared.node.platform.write(transaction).await;
    let version = match written {
        WriteOutcome::Committed(version) => version,
        // The owner's row shows whether the transaction was committed. If it can't be read, the
        // next poll reads it.
        WriteOutcome::Unknown(_) => match read_owner(shared).await {
            Ok(Some((found, version))) if found == row => version,
            _ => return None,
        },
        WriteOutcome::Conflict(_) | WriteOutcome::Refused(_) | WriteOutcome::Rejected(_) => {
            return None;
        }
    };
    shared.set_owner_row(row.clone(), version);
    telemetry::log::line("ownership-taken")
        .field("shard", shared.shard)
        .field("epoch", row.epoch)
        .text("reason", format!("{reason:?}"))
        .field("before", previous.node.as_str())
        .write();
    let previous_held = Duration::from_millis(previous.held_ms);
    Some(AcquiredOwnership { row, version, sent_at, reason, previous_held })
}
