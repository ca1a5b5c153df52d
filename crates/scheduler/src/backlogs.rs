//! What waits in a pool, as sums along the order of placement, and what of it is ahead of a new
//! job.

use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::PoolName;
use crate::TeamName;
use crate::job::Resources;
use crate::priority::SchedulingPriority;
use crate::priority::ShareRank;
use crate::sorted_map::SortedMap;
use crate::work::CumulativeWork;
use crate::work::OrderKey;
use crate::work::Work;

/// A new job, as far as its forecast depends on it.
#[derive(Clone, Debug)]
pub(crate) struct NewJob {
    pub id: JobId,
    pub pool: PoolName,
    pub team: Option<TeamName>,
    pub priority: SchedulingPriority,
    /// Work of all its steps.
    pub work: Work,
    /// Resources of the units that could start at once.
    pub first_units: Resources,
    /// Length of its critical path.
    pub critical_path: Duration,
    pub deadline: Moment,
    /// Its caller was refused and has returned in time.
    pub has_returned: bool,
}

/// Where a new job stands among what waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub key: OrderKey,
    /// It waits for all late work of its team, also for what comes later in the order: that was
    /// accepted earlier and is still to be done.
    pub waits_for_own_late: bool,
}

/// A job that was accepted after the last record.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedJob {
    pub job: NewJob,
    pub accepted_at: Moment,
}

/// Work that waits in a pool for the units of one team.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamBacklog {
    pub queue: CumulativeWork,
    /// The part of `queue` that is late.
    pub late: CumulativeWork,
    /// The quota of the team keeps some of it waiting.
    pub is_at_quota: bool,
}

/// What waits in a pool, and the capacity that will do it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolBacklog {
    /// Waiting work of all teams that have not used up their quotas.
    pub queue: CumulativeWork,
    pub teams: SortedMap<Option<TeamName>, TeamBacklog>,
    pub accepted: Vec<AcceptedJob>,
    /// Capacity for finite work of the workers that the pool has now.
    pub capacity: Resources,
    /// The part of it that no run reserves.
    pub free: Resources,
    /// Some units fitted on no worker.
    pub is_starved: bool,
    /// Teams of a full pool that use more than their shares.
    pub share_ranks: SortedMap<Option<TeamName>, ShareRank>,
}

impl PoolBacklog {
    /// Returns true if the pool can start everything that waits there, apart from units of teams at
    /// their quotas, and the first units of one more job.
    pub fn has_free_capacity(&self, job: &NewJob) -> bool {
        let accepted = self.accepted.iter().map(|accepted| accepted.job.first_units);
        let wanted = accepted.fold(job.first_units, |sum, units| sum.plus(&units));
        !self.is_starved && wanted.fits_in(&self.free)
    }

    /// Returns true if the quota of a team keeps some of its work waiting.
    pub fn is_at_quota(&self, team: &Option<TeamName>) -> bool {
        self.teams.get(team).is_some_and(|team| team.is_at_quota)
    }

    /// Returns the place of a team's work among that of all teams.
    pub fn key_of(&self, team: &Option<TeamName>, priority: SchedulingPriority) -> OrderKey {
        let share = self.share_ranks.get(team).copied().unwrap_or_default();
        OrderKey { queue_priority: priority.queue_priority, share, priority }
    }

    /// Returns the work ahead of a job at its place in the order.
    pub fn work_ahead(&self, job: &NewJob, place: &Place) -> Work {
        let is_ahead = |accepted: &&AcceptedJob| {
            self.key_of(&accepted.job.team, accepted.job.priority) <= place.key
                && !self.is_at_quota(&accepted.job.team)
        };
        let accepted = self.accepted.iter().filter(is_ahead);
        let accepted = accepted.map(|accepted| accepted.job.work);
        let own_late =
            self.teams.get(&job.team).map_or_else(Work::default, |team| team.late_behind(place));
        accepted.fold(self.queue.sum_through(&place.key) + own_late, |sum, work| sum + work)
    }

    /// Returns the work of the job's own team that is ahead of it; `None` if nothing of the team
    /// waits.
    pub fn own_work_ahead(&self, job: &NewJob, place: &Place) -> Option<Work> {
        let team = self.teams.get(&job.team)?;
        let is_ahead = |accepted: &&AcceptedJob| {
            accepted.job.team == job.team && accepted.job.priority <= place.key.priority
        };
        let accepted = self.accepted.iter().filter(is_ahead).map(|accepted| accepted.job.work);
        let ahead = team.queue.sum_through(&place.key) + team.late_behind(place);
        Some(accepted.fold(ahead, |sum, work| sum + work))
    }
}

impl TeamBacklog {
    /// Returns the late work behind a place, if a job there waits for it all the same.
    fn late_behind(&self, place: &Place) -> Work {
        match place.waits_for_own_late {
            true => self.late.sum_between(&place.key, place.key.queue_priority),
            false => Work::default(),
        }
    }
}
