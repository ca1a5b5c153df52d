//! Takes over what gone nodes held, on evidence.
//!
//! One live node does it for each gone one; a hash prefers it. It asks every backend server where the
//! gone node held slots whether it is running any request of it. A server that says no refuses
//! whatever of the gone node might still come, so its answer stays true. A server that cannot be
//! reached is asked again, and what the gone node held there stays held until it answers.

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

/// Backend servers that are asked at once.
const PROBES_MAX: usize = 32;
/// Time between two questions to the same backend server.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Transactions of one look; the rest follows in the next look.
const WRITES_MAX: usize = 4;

/// Take-overs that this node has begun.
pub struct Reclaim {
    prober: Prober,
    /// Sorted by holder.
    takeovers: Vec<Takeover>,
}

struct Takeover {
    gone: Holder,
    /// Hosts that run nothing of it, sorted.
    cleared_hosts: Vec<HostId>,
    probes: JoinSet<(HostId, ProbeResult)>,
    next_probe_at: Instant,
    is_done: bool,
}

impl Reclaim {
    /// Nothing begun.
    pub fn new(prober: Prober) -> Self {
        Self { prober, takeovers: Vec::new() }
    }

    /// Goes one step on with the take-overs that this node has to do.
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
                // Tokens that were on their way to it when it went.
                Ok(index) => self.takeovers[index].is_done &= holders.binary_search(&gone).is_err(),
                Err(index) => {
                    // Its rows may have changed up to its end.
                    ledger.reload(&*shared.platform.table, &*shared.limits, view).await?;
                    self.takeovers.insert(index, Takeover::new(gone, now));
                }
            }
        }
        for takeover in self.takeovers.iter_mut().filter(|takeover| !takeover.is_done) {
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
        Self { gone, cleared_hosts: Vec::new(), probes, next_probe_at: now, is_done: false }
    }

    /// Takes in the answers that have come.
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
        let open = hosts.into_iter().filter(|host| self.cleared_hosts.binary_search(host).is_err());
        let free = PROBES_MAX.saturating_sub(self.probes.len());
        for host in open.take(free) {
            let Some(row) = config.host(&host) else {
                // Only a host that runs nothing can leave the configuration.
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
                self.is_done = true;
                shared.telemetry.count("ledger.reclaimed");
            }
            shared.telemetry.gauge("ledger.tokens_of_gone_nodes", reclaimed.remaining);
            if self.is_done || !matches!(reclaimed.tick, TickOutcome::Written { .. }) {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Name of a run of a node's process, as backend servers know it.
pub fn dispatcher(node: &NodeId, incarnation: Incarnation) -> String {
    format!("{node}.{incarnation:x}")
}

/// Holders that are gone for certain, as far as this node knows.
fn gone_holders(shared: &Shared, ledger: &Ledger, holders: &[Holder]) -> Vec<Holder> {
    let mut holders = holders.to_vec();
    let members = shared.members();
    let silent = members.iter().filter(|member| !member.is_alive);
    holders.extend(silent.map(|m| Holder::new(m.node.clone(), m.incarnation)));
    holders.sort();
    holders.dedup();
    holders.retain(|holder| {
        holder != ledger.me() && shared.is_member_gone(&holder.node, holder.incarnation)
    });
    holders
}

fn is_preferred(shared: &Shared, gone: &Holder) -> bool {
    let members = shared.members();
    let live: Vec<NodeId> =
        members.iter().filter(|member| member.is_alive).map(|member| member.node.clone()).collect();
    let name = format!("reclaim/{}", dispatcher(&gone.node, gone.incarnation));
    duties::preferred_holder(&name, &live) == Some(&shared.settings.node)
}
