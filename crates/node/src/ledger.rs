//! This node's part in the ledger of limits: moves tokens to the nodes that need them.

mod counts;
mod reclaim;

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use gateway::NodeContext;
use gateway::Prober;
use limits::ClusterView;
use limits::Holder;
use limits::Ledger;
use limits::Limit;
use limits::SmoothedDemands;
use limits::TickOutcome;
use limits::limits_of;
use model::ConfigVersion;
use rand::RngExt;
use services::Unavailable;

use crate::ledger::reclaim::Reclaim;
use crate::shared::Shared;

pub use counts::peers_with_spare_tokens;
pub use reclaim::dispatcher;

/// Time between two ledger ticks of a node, for each live node of the fleet. The combined rate of
/// the ticks, and so of the transactions, does not depend on the number of nodes.
const TICK_PER_NODE: Duration = Duration::from_millis(100);
/// Minimum time between two ledger ticks of a node.
const TICK_MIN: Duration = Duration::from_millis(200);
/// Time between two publications of the running, waiting and spare counts.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of ticks in which a stopping node releases its tokens.
const RELEASE_TICKS_MAX: usize = 64;
/// Longest time in which a stopping node tries to release its tokens.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Publishes counts and ticks the ledger, as long as the node runs.
pub async fn run(shared: Arc<Shared>, prober: Prober) {
    tokio::join!(publish(&shared), keep_ticking(&shared, prober));
}

/// Publishes this node's counts, also while the table is unavailable.
async fn publish(shared: &Shared) {
    loop {
        counts::publish(shared, &shared.config());
        tokio::time::sleep(PUBLISH_INTERVAL).await;
    }
}

async fn keep_ticking(shared: &Arc<Shared>, prober: Prober) {
    let mut state = LedgerState { reclaim: Some(Reclaim::new(prober)), ..LedgerState::default() };
    loop {
        if state.tick(shared, false).await.is_err() {
            shared.telemetry.count("ledger.unavailable");
        }
        tokio::select! {
            () = tokio::time::sleep(tick_interval(shared)) => {}
            () = shared.ledger_tick_now.notified() => {}
        }
    }
}

/// Releases the tokens of a node that stops. Tokens in doubt stay held.
pub async fn release_tokens(shared: &Arc<Shared>) {
    let mut state = LedgerState::default();
    let released = async {
        for _ in 0..RELEASE_TICKS_MAX {
            match state.tick(shared, true).await {
                Ok(TickOutcome::Idle) => return,
                Ok(_) => {}
                Err(_) => tokio::time::sleep(TICK_MIN).await,
            }
        }
    };
    // Tokens that could not be released are taken over like those of a failed node.
    let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
}

/// State of a node between ledger ticks.
#[derive(Default)]
struct LedgerState {
    ledger: Option<Ledger>,
    smoothed_demands: SmoothedDemands,
    limits: Vec<Limit>,
    /// Version of the configuration that `limits` were derived from.
    limits_version: ConfigVersion,
    /// `None` while the node stops.
    reclaim: Option<Reclaim>,
}

impl LedgerState {
    async fn tick(
        &mut self,
        shared: &Arc<Shared>,
        is_leaving: bool,
    ) -> Result<TickOutcome, Unavailable> {
        let Some(own_holder) = own_holder(shared) else {
            return Ok(TickOutcome::Idle);
        };
        let config = shared.config();
        if self.limits_version != config.version {
            self.limits = limits_of(&config);
            self.limits_version = config.version;
        }
        if shared.members().len() == 1 && shared.settings.node_count > 1 {
            self.grant_equal_shares(shared);
            shared.ledger_version.send_replace(config.version);
            return Ok(TickOutcome::Idle);
        }
        self.smoothed_demands.observe(counts::demands(&shared.members()));
        let tokens = &*shared.limits;
        // The tokens of an earlier incarnation were taken over, whatever the local copy contains.
        if self.ledger.as_ref().is_some_and(|ledger| *ledger.me() != own_holder) {
            limits::Tokens::revoke_all(tokens);
            self.ledger = None;
        }
        let ledger = self.ledger.get_or_insert_with(|| Ledger::new(own_holder));
        let view = ClusterView {
            limits: &self.limits,
            config_version: config.version,
            members: self.smoothed_demands.members(),
            now: SystemTime::now(),
            is_leaving,
        };
        let table = &*shared.platform.table;
        let tick = ledger.tick(table, tokens, &view).await?;
        count_tick(shared, tick);
        if let Some(reclaim) = &mut self.reclaim {
            reclaim.advance(shared, ledger, &view).await?;
        }
        shared.ledger_version.send_replace(config.version);
        Ok(tick)
    }

    /// Grants this node an equal part of each limit, while it knows of no other member.
    fn grant_equal_shares(&self, shared: &Shared) {
        for limit in &self.limits {
            shared.limits.grant(&limit.key, limit.count / shared.settings.node_count);
            limits::Tokens::unfreeze(&*shared.limits, &limit.key, self.limits_version);
        }
    }
}

fn own_holder(shared: &Shared) -> Option<Holder> {
    let members = shared.members();
    let index = members.binary_search_by(|member| member.node.cmp(&shared.settings.node)).ok()?;
    Some(Holder::new(members[index].node.clone(), members[index].incarnation))
}

fn tick_interval(shared: &Shared) -> Duration {
    let nodes = shared.members().iter().filter(|member| member.is_alive).count() as u32;
    let interval = (TICK_PER_NODE * nodes).max(TICK_MIN);
    // Jitter keeps the nodes from writing at the same moment.
    interval.mul_f64(rand::rng().random_range(0.75..1.25))
}

fn count_tick(shared: &Shared, tick: TickOutcome) {
    let name = match tick {
        TickOutcome::Idle => return,
        TickOutcome::Written { .. } => "ledger.written",
        TickOutcome::Conflict => "ledger.conflict",
        TickOutcome::Refused => "ledger.refused",
        TickOutcome::Unknown => "ledger.unknown",
    };
    shared.telemetry.count(name);
}
