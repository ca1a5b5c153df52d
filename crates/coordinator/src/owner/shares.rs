//! Publishes what teams use in the shard, and logs their shares.

use scheduler::Moment;
use scheduler::ShardIndex;
use scheduler::TeamShare;
use serde_json::Value;
use serde_json::json;

use super::Owner;
use crate::clock;
use crate::ports::Platform;
use crate::team_uses::TeamUsesRow;

impl<P: Platform> Owner<P> {
    /// Publishes what teams use in the shard if that is due; there is nobody to tell if the fleet
    /// has a single shard.
    pub(super) fn publish_team_uses(&mut self, now: Moment) {
        if self.is_only_shard() || !self.team_uses.is_period_over(now) {
            return;
        }
        let Some(pools) = self.scheduler.team_uses(now) else {
            return;
        };
        if !self.team_uses.is_due(&pools, now) {
            return;
        }
        let row = TeamUsesRow { at_ms: clock::unix_now_ms(), pools };
        if let Some(change) = self.divisions.plan_team_uses(&row) {
            self.team_uses.record(row.pools, now);
            self.send_change(change);
        }
    }

    /// Passes what teams use in another shard to the scheduler.
    pub(super) fn apply_team_uses(&mut self, shard: ShardIndex) {
        if let Some(row) = self.divisions.foreign_team_uses(shard) {
            self.scheduler.set_foreign_team_uses(shard, row.pools.clone(), row.at_ms);
        }
    }

    /// Passes what teams use in all other shards to the scheduler.
    pub(super) fn apply_all_team_uses(&mut self) {
        for shard in self.divisions.shards_with_team_uses().collect::<Vec<_>>() {
            self.apply_team_uses(shard);
        }
    }

    /// Logs the shares of teams in full pools.
    pub(super) fn log_team_shares(&self) {
        for (pool, shares) in self.scheduler.team_shares() {
            let row = |share: &TeamShare| {
                json!([share.team.as_deref(), share.share_permille, share.use_permille])
            };
            telemetry::log::line("team-shares")
                .field("shard", self.shared.shard)
                .field("pool", &**pool)
                .field("teams", shares.iter().map(row).collect::<Vec<Value>>())
                .write();
        }
    }
}
