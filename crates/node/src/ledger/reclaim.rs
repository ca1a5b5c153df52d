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
const ASKED_MAX: usize = 32;
/// Time between two questions to the same backend server.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Transactions of one look; the rest follows in the next look.
const WRITES_MAX: usize = 4;

/// Take-overs that this node has begun.
pub struct Reclaim {
    prober: Prober,
    /// Sorted by holder.
    begun: Vec<TakeOver>,
}

struct TakeOver {
    gone: Holder,
    /// Hosts that run nothing of it, sorted.
    quiet: Vec<HostId>,
    asked: JoinSet<(HostId, ProbeResult)>,
    next_ask: Instant,
    is_done: bool,
}

impl Reclaim {
    /// Nothing begun.
    pub fn new(prober: Prober) -> Self {
        Self { prober, begun: Vec::new() }
    }

    /// Goes one step on with the take-overs that this node has to do.
    pub async fn look(
        &mut self,
        shared: &Shared,
        ledger: &mut Ledger,
        view: &ClusterView<'_>,
    ) -> Result<(), Unavailable> {
        let now = Instant::now();
        let holders = ledger.holders();
        let gone_holders = gone_holders(shared, ledger, &holders);
        self.begun.retain(|take_over| gone_holders.binary_search(&take_over.gone).is_ok());
        for gone in gone_holders {
            if !shared.may_admit(now) || !is_mine(shared, &gone) {
                continue;
            }
            match self.begun.binary_search_by(|other| other.gone.cmp(&gone)) {
                // Tokens that were on their way to it when it went.
                Ok(index) => self.begun[index].is_done &= holders.binary_search(&gone).is_err(),
                Err(index) => {
                    // Its rows may have changed up to its end.
                    ledger.reload(&*shared.platform.table, &*shared.limits, view).await?;
                    self.begun.insert(index, TakeOver::new(gone, now));
                }
            }
        }
        for take_over in self.begun.iter_mut().filter(|take_over| !take_over.is_done) {
            take_over.hear();
            if now >= take_over.next_ask {
                take_over.ask(shared, &self.prober, ledger);
                take_over.next_ask = now + ASK_INTERVAL;
            }
            take_over.write(shared, ledger, view).await?;
        }
        Ok(())
    }
}

impl TakeOver {
    fn new(gone: Holder, now: Instant) -> Self {
        let asked = JoinSet::new();
        Self { gone, quiet: Vec::new(), asked, next_ask: now, is_done: false }
    }

    /// Takes in the answers that have come.
    fn hear(&mut self) {
        while let Some(answered) = self.asked.try_join_next() {
            let Ok((host, ProbeResult::NotRunning)) = answered else {
                continue;
            };
            if let Err(index) = self.quiet.binary_search(&host) {
                self.quiet.insert(index, host);
            }
        }
    }

    fn ask(&mut self, shared: &Shared, prober: &Prober, ledger: &Ledger) {
        let config = shared.config();
        let dispatcher = dispatcher(&self.gone.node, self.gone.incarnation);
        let hosts = ledger.hosts_held_by(&self.gone);
        let open = hosts.into_iter().filter(|host| self.quiet.binary_search(host).is_err());
        let free = ASKED_MAX.saturating_sub(self.asked.len());
        for host in open.take(free) {
            let Some(row) = config.host(&host) else {
                // Only a host that runs nothing can leave the configuration.
                self.asked.spawn(async move { (host, ProbeResult::NotRunning) });
                continue;
            };
            let (prober, address) = (prober.clone(), row.spec.address);
            let dispatcher = dispatcher.clone();
            self.asked.spawn(async move {
                let report = prober.probe_dispatcher(address, &dispatcher).await;
                (host, report)
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
            let reclaimed = ledger.reclaim(table, tokens, view, &self.gone, &self.quiet).await?;
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

fn is_mine(shared: &Shared, gone: &Holder) -> bool {
    let members = shared.members();
    let live: Vec<NodeId> =
        members.iter().filter(|member| member.is_alive).map(|member| member.node.clone()).collect();
    let name = format!("reclaim/{}", dispatcher(&gone.node, gone.incarnation));
    duties::preferred_holder(&name, &live) == Some(&shared.settings.node)
}
