//! Jobs that were refused a moment ago, so that their callers return in order and go before new
//! ones of their team.
//!
//! The memory is bounded in size and time, and it is not stored: after a change of the owner,
//! callers that return count as new.

use std::collections::VecDeque;
use std::time::Duration;

use crate::JobId;
use crate::Moment;
use crate::PoolName;
use crate::TeamName;
use crate::sorted_map::SortedMap;
use crate::work::Work;

/// Maximum number of jobs that are remembered.
const JOBS_MAX: usize = 4_096;
/// Time for which a job is remembered.
const KEPT: Duration = Duration::from_secs(60);
/// Time after which a caller that was told to return is no longer expected: the request, and the
/// caller's own timer, may be late.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Number of callers from which the older ones count half.
const CALLERS_COUNTED_MAX: u32 = 64;

/// Position of a refused job among all refused ones; a lower one was refused earlier.
pub(crate) type RefusalNumber = u64;

/// Callers of one team that want capacity of one pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallerGroup {
    pub pool: PoolName,
    pub team: Option<TeamName>,
}

/// A job that was refused.
#[derive(Clone, Debug)]
struct RefusedJob {
    number: RefusalNumber,
    work: Work,
    /// When the caller was told to return.
    return_at: Moment,
    /// Time of the refused submission, in milliseconds since the Unix epoch.
    submitted_ms: u64,
    /// The caller has not returned in time.
    has_missed: bool,
}

/// The refused jobs of a group, and whether its callers return.
#[derive(Clone, Debug, Default)]
struct RefusedGroup {
    /// Jobs, sorted by number.
    jobs: Vec<RefusedJob>,
    /// Number of callers that have returned in time.
    returned: u32,
    /// Number of callers that have not.
    missed: u32,
}

/// Where a refused job is found.
#[derive(Clone, Debug)]
struct RefusalLocation {
    group: CallerGroup,
    number: RefusalNumber,
}

/// The jobs that were refused a moment ago.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedJobs {
    groups: SortedMap<CallerGroup, RefusedGroup>,
    locations: SortedMap<JobId, RefusalLocation>,
    /// When each job was first refused, oldest first. Jobs that have been accepted since may be
    /// among them.
    first_refused: VecDeque<(Moment, JobId, RefusalNumber)>,
    last_number: RefusalNumber,
}

impl RefusedGroup {
    fn count(&mut self, has_returned: bool) {
        if self.returned + self.missed >= CALLERS_COUNTED_MAX {
            self.returned /= 2;
            self.missed /= 2;
        }
        self.returned += u32::from(has_returned);
        self.missed += u32::from(!has_returned);
    }
}

impl RefusedJobs {
    /// Returns the number of a refused job whose caller is still expected.
    pub fn expected_number(&self, id: &JobId, now: Moment) -> Option<RefusalNumber> {
        let job = self.job(id)?;
        is_expected(job, now).then_some(job.number)
    }

    /// Returns the work of the group's jobs whose callers are expected until `until`; with a
    /// `number`, only of those before it.
    pub fn expected_work(
        &self,
        group: &CallerGroup,
        number: Option<RefusalNumber>,
        until: Moment,
        now: Moment,
    ) -> Work {
        let jobs = self.groups.get(group).map_or(&[][..], |group| &group.jobs);
        let is_before = |job: &&RefusedJob| number.is_none_or(|number| job.number < number);
        let expected = jobs.iter().take_while(is_before);
        let expected = expected.filter(|job| is_expected(job, now) && job.return_at <= until);
        expected.fold(Work::default(), |sum, job| sum + job.work)
    }

    /// Returns the part of the group's callers that return in time, from 0 to 1; 0 until the first
    /// one has.
    pub fn return_ratio(&self, group: &CallerGroup) -> f64 {
        let counts = self.groups.get(group).map(|group| (group.returned, group.missed));
        let (returned, missed) = counts.unwrap_or_default();
        f64::from(returned) / f64::from((returned + missed).max(1))
    }

    /// Counts a caller that submits a job again, if it is expected.
    pub fn record_return(&mut self, id: &JobId, now: Moment) {
        if self.expected_number(id, now).is_some()
            && let Some(location) = self.locations.get(id)
            && let Some(group) = self.groups.get_mut(&location.group)
        {
            group.count(true);
        }
    }

    /// Remembers a refused job. A job that was refused before keeps its number.
    pub fn insert(
        &mut self,
        id: JobId,
        group: CallerGroup,
        work: Work,
        submitted_ms: u64,
        return_at: Moment,
        now: Moment,
    ) {
        if self.expected_number(&id, now).is_some()
            && let Some(job) = self.job_mut(&id)
        {
            job.return_at = return_at;
            job.submitted_ms = submitted_ms;
            return;
        }
        self.remove(&id);
        self.last_number += 1;
        let number = self.last_number;
        let job = RefusedJob { number, work, return_at, submitted_ms, has_missed: false };
        self.groups.entry_or(group.clone(), RefusedGroup::default).jobs.push(job);
        self.locations.insert(id.clone(), RefusalLocation { group, number });
        self.first_refused.push_back((now, id, number));
        if self.first_refused.len() > JOBS_MAX {
            self.remove_oldest();
        }
    }

    /// Forgets a job, since it was accepted.
    pub fn remove(&mut self, id: &JobId) {
        let Some(location) = self.locations.remove(id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&location.group) {
            group.jobs.retain(|job| job.number != location.number);
            if group.jobs.is_empty() {
                self.groups.remove(&location.group);
            }
        }
    }

    /// Returns true if a later submission of the same job was refused.
    pub fn is_refused_after(&self, id: &JobId, submitted_ms: u64) -> bool {
        self.job(id).is_some_and(|job| submitted_ms < job.submitted_ms)
    }

    /// Forgets the jobs that were refused too long ago, and counts the callers that have not
    /// returned.
    pub fn review(&mut self, now: Moment) {
        while self.first_refused.front().is_some_and(|(at, ..)| now.saturating_sub(*at) > KEPT) {
            self.remove_oldest();
        }
        for group in self.groups.values_mut() {
            let has_missed = |job: &&mut RefusedJob| !job.has_missed && !is_expected(job, now);
            let missed = group.jobs.iter_mut().filter(has_missed);
            let missed = missed.map(|job| job.has_missed = true).count();
            for _ in 0..missed {
                group.count(false);
            }
        }
    }

    fn remove_oldest(&mut self) {
        let Some((_, id, number)) = self.first_refused.pop_front() else {
            return;
        };
        if self.locations.get(&id).is_some_and(|location| location.number == number) {
            self.remove(&id);
        }
    }

    fn job(&self, id: &JobId) -> Option<&RefusedJob> {
        let location = self.locations.get(id)?;
        let jobs = &self.groups.get(&location.group)?.jobs;
        let index = jobs.binary_search_by_key(&location.number, |job| job.number).ok()?;
        jobs.get(index)
    }

    fn job_mut(&mut self, id: &JobId) -> Option<&mut RefusedJob> {
        let location = self.locations.get(id)?;
        let jobs = &mut self.groups.get_mut(&location.group)?.jobs;
        let index = jobs.binary_search_by_key(&location.number, |job| job.number).ok()?;
        jobs.get_mut(index)
    }
}

fn is_expected(job: &RefusedJob, now: Moment) -> bool {
    now <= job.return_at + RETURN_GRACE
}
