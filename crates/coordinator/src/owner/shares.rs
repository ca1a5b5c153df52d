//! Publishes what teams use in the shard, logs their shares and counts preemptions.

use scheduler::Moment;
use scheduler::ShardIndex;
use scheduler::TeamShare;
use serde_json::Value;
use serde_json::json;

use super::Owner;
use crate::clock;
use crate::metrics;
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

    /// Counts the units that were preempted, and what they lost.
    pub(super) fn count_preemptions(&mut self) {
        let counts = self.scheduler.take_preemption_counts();
        let telemetry = &self.shared.node.telemetry;
        telemetry.count_many(metrics::RUNS_PREEMPTED, counts.units);
        telemetry.count_many(metrics::PREEMPTED_WORK, counts.work_lost_core_ms);
    }

    /// Logs the shares of teams in full pools, and counts what was placed because of them.
    pub(super) fn log_team_shares(&mut self) {
        let units_ahead = self.scheduler.take_units_ahead_by_share();
        self.shared.node.telemetry.count_many(metrics::UNITS_AHEAD_BY_SHARE, units_ahead);
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
