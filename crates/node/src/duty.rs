//! Keeps the duties of this node: one of each kind a pool, and one that compacts events.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use duties::Duty;
use duties::DutyName;
use duties::Holder;
use duties::Members;
use gateway::NodeContext;
use model::Config;
use model::NodeId;

use crate::shared::Shared;

/// Time between refreshes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Duty of the node that compacts events.
pub const COMPACT_EVENTS: &str = "events/compact";

/// Duty of planning the maintenance of `pool`.
pub fn maintenance_duty(pool: &str) -> DutyName {
    format!("maintenance/{pool}")
}

/// Duty of placing tasks in `pool`.
pub fn placement_duty(pool: &str) -> DutyName {
    format!("placement/{pool}")
}

/// Refreshes for as long as the node runs.
pub async fn keep(shared: Arc<Shared>) {
    loop {
        if !shared.is_stopping() && shared.may_admit(Instant::now()) {
            let wanted = wanted(&shared.config());
            if shared.duties.refresh(&wanted, &*shared).await.is_err() {
                shared.telemetry.count("duty.refresh_failed");
            }
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

impl Shared {
    /// The duty, if this node holds it and may act on it at `now`.
    pub fn duty(&self, name: &str, now: Instant) -> Option<Duty> {
        self.duties.held(name, self, now)
    }
}

impl Members for Shared {
    fn live(&self) -> Vec<NodeId> {
        let members = self.members();
        members.iter().filter(|member| member.is_alive).map(|member| member.node.clone()).collect()
    }

    fn is_gone(&self, holder: &Holder) -> bool {
        self.is_member_gone(&holder.node, holder.incarnation)
    }

    fn may_act(&self, now: Instant) -> bool {
        self.may_admit(now)
    }
}

/// Names of all duties of `config`.
fn wanted(config: &Config) -> Vec<DutyName> {
    let pools = || config.contracts.iter().flat_map(|contract| &contract.pools);
    let mut names: Vec<DutyName> = pools().map(|pool| maintenance_duty(&pool.name)).collect();
    names.extend(pools().map(|pool| placement_duty(&pool.name)));
    names.push(COMPACT_EVENTS.to_owned());
    names
}
