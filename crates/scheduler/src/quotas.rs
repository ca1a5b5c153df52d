//! Quotas of teams: how much of a quota the runs of this shard may request, and how much more of it
//! the waiting units need.

use crate::TeamName;
use crate::job::JobRecord;
use crate::job::Step;
use crate::portions::Portion;
use crate::portions::WHOLE;
use crate::portions::initial_portion;
use crate::portions::portion_of;
use crate::state::Scheduler;

impl Scheduler {
    /// Sets the number of shards that divide the quotas and rate shares of teams.
    pub fn set_shard_count(&mut self, shard_count: usize) {
        self.shard_count = shard_count;
    }

    /// Sets the portion of a team's quota that this shard may use.
    pub fn set_quota_portion(&mut self, team: &TeamName, portion: Portion) {
        let before = self.quota_portion(team);
        self.quota_portions.insert(team.clone(), portion);
        self.needs_placement |= portion > before;
    }

    /// Returns the portion of a team's quota that this shard may use.
    pub fn quota_portion(&self, team: &str) -> Portion {
        let initial = initial_portion(self.shard_count);
        self.quota_portions.get(team).copied().unwrap_or(initial)
    }

    /// Returns the portion of a team's quota that the runs of this shard use.
    pub fn quota_portion_in_use(&self, team: &str) -> Portion {
        let quota = self.config.teams.get(team).map(|team| team.quota).unwrap_or_default();
        portion_of(&self.team_usage(team), &quota)
    }

    /// Returns the portions that teams with waiting units need beyond what this shard may use, as
    /// of the last placement.
    pub fn quota_needs(&self) -> impl Iterator<Item = (&TeamName, Portion)> {
        self.quota_needs.iter().map(|(team, portion)| (team, *portion))
    }

    /// Returns true if `count` more units of a step fit into this shard's portion of the team's
    /// quota. Otherwise records the portion that `waiting` units would need, of which at least
    /// `count` have to start together.
    pub(crate) fn is_within_quota(
        &mut self,
        record: &JobRecord,
        step: &Step,
        count: u64,
        waiting: u64,
    ) -> bool {
        let Some(team) = &record.team else {
            return true;
        };
        let Some(quota) = self.config.teams.get(team).map(|team| team.quota) else {
            return true;
        };
        let used = self.team_usage(team);
        let with = |count: u64| portion_of(&used.plus(&step.requested.times(count)), &quota);
        let needed_min = with(count);
        if needed_min <= self.quota_portion(team) {
            return true;
        }
        // Beyond the whole quota, the units have to wait for runs of their team to end.
        if needed_min <= WHOLE && self.shard_count > 1 && !self.quota_needs.contains(team) {
            let needed = with(waiting.max(count)).min(WHOLE);
            self.quota_needs.insert(team.clone(), needed);
        }
        false
    }
}
