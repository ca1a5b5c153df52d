//! Jobs that wait for a worker, and the sums of the running tasks, by team.

use std::collections::VecDeque;

use model::TeamRef;

use crate::growth::Generation;
use crate::job::Class;
use crate::job::JobId;
use crate::job::PendingJob;
use crate::size::Size;

/// Waiting jobs and running tasks of one team.
#[derive(Clone, Debug)]
pub struct TeamBacklog {
    /// The team that the jobs belong to.
    pub team: TeamRef,
    /// Share weight of the team's latest job; at least 1.
    pub share_weight: u32,
    /// Sum of the reservations of the team's running tasks.
    pub running_size: Size,
    /// Number of running tasks.
    pub running_tasks: u32,
    urgent: VecDeque<PendingJob>,
    normal: VecDeque<PendingJob>,
}

impl TeamBacklog {
    /// Returns the waiting jobs of a class in the order in which they are tried.
    pub fn class_queue(&self, class: Class) -> &VecDeque<PendingJob> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut VecDeque<PendingJob> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    fn is_idle(&self) -> bool {
        self.running_tasks == 0 && self.urgent.is_empty() && self.normal.is_empty()
    }
}

/// Waiting jobs and running tasks of one pool, by team.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Sorted by team.
    teams: Vec<TeamBacklog>,
    /// Number of waiting jobs of all teams.
    waiting: usize,
}

impl Backlog {
    /// Returns the teams with waiting jobs or running tasks, sorted by team.
    pub fn teams(&self) -> &[TeamBacklog] {
        &self.teams
    }

    /// Returns the number of waiting jobs of all teams.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Adds a job at the end of the queue of its team and class.
    pub fn push(&mut self, pending: PendingJob) {
        self.waiting += 1;
        let class = pending.job.class;
        self.team_mut(&pending.job.team, Some(pending.share_weight))
            .class_queue_mut(class)
            .push_back(pending);
    }

    /// Puts a job back at the front of the queue of its team and class.
    pub fn push_front(&mut self, pending: PendingJob) {
        self.waiting += 1;
        let class = pending.job.class;
        self.team_mut(&pending.job.team, Some(pending.share_weight))
            .class_queue_mut(class)
            .push_front(pending);
    }

    /// Removes and returns the job at a position.
    pub fn remove(&mut self, team: usize, class: Class, position: usize) -> Option<PendingJob> {
        let removed = self.teams[team].class_queue_mut(class).remove(position)?;
        self.waiting -= 1;
        Some(removed)
    }

    /// Records that a job fitted on no worker at the generation `unplaceable_at`.
    pub fn set_unplaceable_at(
        &mut self,
        (team, class, position): (usize, Class, usize),
        unplaceable_at: Generation,
    ) {
        if let Some(pending) = self.teams[team].class_queue_mut(class).get_mut(position) {
            pending.unplaceable_at = Some(unplaceable_at);
        }
    }

    /// Returns the position of a waiting job: team, class, and index in the class queue.
    pub fn find(&self, team: &TeamRef, job: &JobId) -> Option<(usize, Class, usize)> {
        let index = self.teams.binary_search_by(|backlog| backlog.team.cmp(team)).ok()?;
        [Class::Urgent, Class::Normal].into_iter().find_map(|class| {
            let class_queue = self.teams[index].class_queue(class);
            let position = class_queue.iter().position(|pending| pending.job.id == *job)?;
            Some((index, class, position))
        })
    }

    /// Removes all waiting jobs whose ids are in `jobs`, which is sorted, in one pass.
    pub fn remove_all(&mut self, jobs: &[JobId]) -> Vec<PendingJob> {
        let mut removed = Vec::new();
        for team in &mut self.teams {
            for class in [Class::Urgent, Class::Normal] {
                let class_queue = team.class_queue_mut(class);
                let is_removed = |p: &PendingJob| jobs.binary_search(&p.job.id).is_ok();
                if !class_queue.iter().any(is_removed) {
                    continue;
                }
                let (gone, kept): (Vec<_>, Vec<_>) =
                    std::mem::take(class_queue).into_iter().partition(is_removed);
                *class_queue = kept.into();
                removed.extend(gone);
            }
        }
        self.waiting -= removed.len();
        self.teams.retain(|team| !team.is_idle());
        removed
    }

    /// Records the start of a task.
    pub fn record_start(&mut self, team: &TeamRef, size: &Size) {
        let backlog = self.team_mut(team, None);
        backlog.running_size = backlog.running_size.plus(size);
        backlog.running_tasks += 1;
    }

    /// Records that the reservation of a running task has changed.
    pub fn record_resize(&mut self, team: &TeamRef, from: &Size, to: &Size) {
        let backlog = self.team_mut(team, None);
        backlog.running_size = backlog.running_size.minus(from).plus(to);
    }

    /// Records the end of a task.
    pub fn record_end(&mut self, team: &TeamRef, size: &Size) {
        let backlog = self.team_mut(team, None);
        backlog.running_size = backlog.running_size.minus(size);
        backlog.running_tasks = backlog.running_tasks.saturating_sub(1);
        if backlog.is_idle() {
            self.teams.retain(|other| other.team != *team);
        }
    }

    /// Returns a team, which is added if it is new, and updates its weight if one is given.
    fn team_mut(&mut self, team: &TeamRef, share_weight: Option<u32>) -> &mut TeamBacklog {
        let index = match self.teams.binary_search_by(|backlog| backlog.team.cmp(team)) {
            Ok(index) => index,
            Err(index) => {
                let backlog = TeamBacklog {
                    team: team.clone(),
                    share_weight: 1,
                    running_size: Size::default(),
                    running_tasks: 0,
                    urgent: VecDeque::new(),
                    normal: VecDeque::new(),
                };
                self.teams.insert(index, backlog);
                index
            }
        };
        let backlog = &mut self.teams[index];
        backlog.share_weight = share_weight.unwrap_or(backlog.share_weight).max(1);
        backlog
    }
}
