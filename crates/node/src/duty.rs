//! Duties of this node: for each pool its maintenance and its placement, and the compaction of
//! events.

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

/// Time between refreshes of the duties.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Name of the duty of compacting events.
pub const COMPACT_EVENTS: &str = "events/compact";

/// Returns the name of the duty of planning the maintenance of `pool`.
pub fn maintenance_duty(pool: &str) -> DutyName {
    format!("maintenance/{pool}")
}

/// Returns the name of the duty of placing tasks in `pool`.
pub fn placement_duty(pool: &str) -> DutyName {
    format!("placement/{pool}")
}

/// Refreshes the duties at each interval, as long as the node runs and may act.
pub async fn run(shared: Arc<Shared>) {
    loop {
        if !shared.is_stopping() && shared.may_admit(Instant::now()) {
            let names = duty_names(&shared.config());
            if shared.duties.refresh(&names, &*shared).await.is_err() {
                shared.telemetry.count("duty.refresh_failed");
            }
        }
        tokio::time::sleep(REFRESH_INTERVAL).await;
    }
}

impl Shared {
    /// Returns the duty if this node holds it and may act on it at `now`.
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

/// Returns the names of all duties of `config`.
fn duty_names(config: &Config) -> Vec<DutyName> {
    let pools = || config.contracts.iter().flat_map(|contract| &contract.pools);
    let mut names: Vec<DutyName> = pools().map(|pool| maintenance_duty(&pool.name)).collect();
    names.extend(pools().map(|pool| placement_duty(&pool.name)));
    names.push(COMPACT_EVENTS.to_owned());
    names
}
