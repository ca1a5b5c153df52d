//! Takes over the tokens of gone nodes, once there is evidence that they are unused.
//!
//! For each gone node, one live node, chosen by hash, does the takeover. It probes every backend
//! server on which the gone node held slots, to learn whether the server is running a request of
//! that node. A server that replies that it is not also rejects all later requests of the gone
//! node, so that its reply stays true. A server that cannot be reached is probed again, and the
//! slots that the gone node held there stay held until it replies.

use std::time::Duration;
use std::time::Instant;

use gateway::NodeContext;
use gateway::ProbeResult;
use gateway::Prober;
use limits::ClusterView;
use limits::Holder;
use limits::Ledger;
use limits::TickOutcome;
use model::HostId;
use model::Incarnation;
use model::NodeId;
use services::Unavailable;
use tokio::task::JoinSet;

use crate::shared::Shared;

/// Maximum number of concurrent probes for one takeover.
const PROBES_MAX: usize = 32;
/// Time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of transactions for one takeover in one ledger tick; the others follow in the
/// next tick.
const WRITES_MAX: usize = 4;

/// Takeovers by this node.
pub struct Reclaim {
    prober: Prober,
    /// Takeovers that were started, sorted by gone holder.
    takeovers: Vec<Takeover>,
}

struct Takeover {
    gone: Holder,
    /// Hosts whose backend servers run nothing of the gone holder, sorted.
    cleared_hosts: Vec<HostId>,
    probes: JoinSet<(HostId, ProbeResult)>,
    next_probe_at: Instant,
    is_finished: bool,
}

impl Reclaim {
    /// Returns the state without any takeover.
    pub fn new(prober: Prober) -> Self {
        Self { prober, takeovers: Vec::new() }
    }

    /// Starts and advances the takeovers that this node is responsible for.
    pub async fn advance(
        &mut self,
        shared: &Shared,
        ledger: &mut Ledger,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let now = Instant::now();
        let holders = ledger.holders();
        let gone_holders = gone_holders(shared, ledger, &holders);
        self.takeovers.retain(|takeover| gone_holders.binary_search(&takeover.gone).is_ok());
        for gone in gone_holders {
            if !shared.may_admit(now) || !is_preferred(shared, &gone) {
                continue;
            }
            match self.takeovers.binary_search_by(|other| other.gone.cmp(&gone)) {
                // Tokens that were still being granted to the holder reopen its takeover.
                Ok(index) => {
                    self.takeovers[index].is_finished &= holders.binary_search(&gone).is_err()
                }
                Err(index) => {
                    // The holder may have changed rows until it was gone, so the copy may be stale.
                    ledger.reload(&*shared.platform.table, &*shared.limits, view).await?;
                    self.takeovers.insert(index, Takeover::new(gone, now));
                }
            }
        }
        for takeover in self.takeovers.iter_mut().filter(|takeover| !takeover.is_finished) {
            takeover.collect_results();
            if now >= takeover.next_probe_at {
                takeover.probe_hosts(shared, &self.prober, ledger);
                takeover.next_probe_at = now + PROBE_INTERVAL;
            }
            takeover.write(shared, ledger, view).await?;
        }
        Ok(())
    }
}

impl Takeover {
    fn new(gone: Holder, now: Instant) -> Self {
        let probes = JoinSet::new();
        Self { gone, cleared_hosts: Vec::new(), probes, next_probe_at: now, is_finished: false }
    }

    /// Collects the results of probes that have ended.
    fn collect_results(&mut self) {
        while let Some(probed) = self.probes.try_join_next() {
            let Ok((host, ProbeResult::NotRunning)) = probed else {
                continue;
            };
            if let Err(index) = self.cleared_hosts.binary_search(&host) {
                self.cleared_hosts.insert(index, host);
            }
        }
    }

    fn probe_hosts(&mut self, shared: &Shared, prober: &Prober, ledger: &Ledger) {
        let config = shared.config();
        let dispatcher = dispatcher(&self.gone.node, self.gone.incarnation);
        let hosts = ledger.hosts_held_by(&self.gone);
        let pending =
            hosts.into_iter().filter(|host| self.cleared_hosts.binary_search(host).is_err());
        let capacity = PROBES_MAX.saturating_sub(self.probes.len());
        for host in pending.take(capacity) {
            let Some(row) = config.host(&host) else {
                // A host leaves the configuration only when it runs nothing.
                self.probes.spawn(async move { (host, ProbeResult::NotRunning) });
                continue;
            };
            let (prober, address) = (prober.clone(), row.spec.address);
            let dispatcher = dispatcher.clone();
            self.probes.spawn(async move {
                let result = prober.probe_dispatcher(address, &dispatcher).await;
                (host, result)
            });
        }
    }

    async fn write(
        &mut self,
        shared: &Shared,
        ledger: &mut Ledger,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let (table, tokens) = (&*shared.platform.table, &*shared.limits);
        for _ in 0..WRITES_MAX {
            let reclaimed =
                ledger.reclaim(table, tokens, view, &self.gone, &self.cleared_hosts).await?;
            if reclaimed.remaining == 0 {
                self.is_finished = true;
                shared.telemetry.count("ledger.reclaimed");
            }
            shared.telemetry.gauge("ledger.tokens_of_gone_nodes", reclaimed.remaining);
            if self.is_finished || !matches!(reclaimed.tick, TickOutcome::Written { .. }) {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Returns the name by which backend servers know an incarnation of a node.
pub fn dispatcher(node: &NodeId, incarnation: Incarnation) -> String {
    format!("{node}.{incarnation:x}")
}

/// Returns the holders that this node knows to be gone, sorted.
fn gone_holders(shared: &Shared, ledger: &Ledger, holders: &[Holder]) -> Vec<Holder> {
    let mut holders = holders.to_vec();
    let members = shared.members();
    let not_alive = members.iter().filter(|member| !member.is_alive);
    holders.extend(not_alive.map(|m| Holder::new(m.node.clone(), m.incarnation)));
    holders.sort();
    holders.dedup();
    holders.retain(|holder| {
        holder != ledger.me() && shared.is_member_gone(&holder.node, holder.incarnation)
    });
    holders
}

/// Returns true if this node is the one that takes over the tokens of `gone`.
fn is_preferred(shared: &Shared, gone: &Holder) -> bool {
    let members = shared.members();
    let live: Vec<NodeId> =
        members.iter().filter(|member| member.is_alive).map(|member| member.node.clone()).collect();
    let name = format!("reclaim/{}", dispatcher(&gone.node, gone.incarnation));
    duties::preferred_holder(&name, &live) == Some(&shared.settings.node)
}
