//! Jobs that wait for a worker, by team.

use std::collections::VecDeque;

use model::TeamRef;

use crate::growth::Generation;
use crate::job::Class;
use crate::job::JobId;
use crate::job::PendingJob;
use crate::size::Size;

/// Jobs of one team.
#[derive(Clone, Debug)]
pub struct TeamBacklog {
    /// Team.
    pub team: TeamRef,
    /// Share weight.
    pub share_weight: u32,
    /// Sum of the sizes of the team's running tasks.
    pub running: Size,
    /// Running tasks.
    pub tasks: u32,
    urgent: VecDeque<PendingJob>,
    normal: VecDeque<PendingJob>,
}

impl TeamBacklog {
    /// Waiting jobs of a class, oldest first.
    pub fn lane(&self, class: Class) -> &VecDeque<PendingJob> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Normal => &self.normal,
        }
    }

    fn lane_mut(&mut self, class: Class) -> &mut VecDeque<PendingJob> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Normal => &mut self.normal,
        }
    }

    fn is_idle(&self) -> bool {
        self.tasks == 0 && self.urgent.is_empty() && self.normal.is_empty()
    }
}

/// Waiting jobs of one pool.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Sorted by team.
    teams: Vec<TeamBacklog>,
    waiting: usize,
}

impl Backlog {
    /// Teams with waiting jobs or running tasks, sorted.
    pub fn teams(&self) -> &[TeamBacklog] {
        &self.teams
    }

    /// Waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Adds a job at the end of its lane.
    pub fn push(&mut self, pending: PendingJob) {
        self.waiting += 1;
        let class = pending.job.class;
        self.team_mut(&pending.job.team, Some(pending.share_weight))
            .lane_mut(class)
            .push_back(pending);
    }

    /// Puts a job back at the front of its lane.
    pub fn push_front(&mut self, pending: PendingJob) {
        self.waiting += 1;
        let class = pending.job.class;
        self.team_mut(&pending.job.team, Some(pending.share_weight))
            .lane_mut(class)
            .push_front(pending);
    }

    /// Takes a job by its place.
    pub fn take(&mut self, team: usize, class: Class, position: usize) -> Option<PendingJob> {
        let taken = self.teams[team].lane_mut(class).remove(position)?;
        self.waiting -= 1;
        Some(taken)
    }

    /// Notes that a job fitted nowhere.
    pub fn set_tried(&mut self, (team, class, position): (usize, Class, usize), tried: Generation) {
        if let Some(pending) = self.teams[team].lane_mut(class).get_mut(position) {
            pending.tried = Some(tried);
        }
    }

    /// Place of a waiting job of a team.
    pub fn find(&self, team: &TeamRef, job: &JobId) -> Option<(usize, Class, usize)> {
        let index = self.teams.binary_search_by(|backlog| backlog.team.cmp(team)).ok()?;
        [Class::Urgent, Class::Normal].into_iter().find_map(|class| {
            let lane = self.teams[index].lane(class);
            let position = lane.iter().position(|pending| pending.job.id == *job)?;
            Some((index, class, position))
        })
    }

    /// Removes all waiting jobs whose ids are in `jobs`, which is sorted; one pass for all.
    pub fn remove_all(&mut self, jobs: &[JobId]) -> Vec<PendingJob> {
        let mut removed = Vec::new();
        for team in &mut self.teams {
            for class in [Class::Urgent, Class::Normal] {
                let lane = team.lane_mut(class);
                let is_removed = |p: &PendingJob| jobs.binary_search(&p.job.id).is_ok();
                if !lane.iter().any(is_removed) {
                    continue;
                }
                let (gone, kept): (Vec<_>, Vec<_>) =
                    std::mem::take(lane).into_iter().partition(is_removed);
                *lane = kept.into();
                removed.extend(gone);
            }
        }
        self.waiting -= removed.len();
        self.teams.retain(|team| !team.is_idle());
        removed
    }

    /// A task of a team starts.
    pub fn started(&mut self, team: &TeamRef, size: &Size) {
        let backlog = self.team_mut(team, None);
        backlog.running = backlog.running.plus(size);
        backlog.tasks += 1;
    }

    /// The size of a running task has changed.
    pub fn resized(&mut self, team: &TeamRef, from: &Size, to: &Size) {
        let backlog = self.team_mut(team, None);
        backlog.running = backlog.running.minus(from).plus(to);
    }

    /// A task of a team has ended.
    pub fn ended(&mut self, team: &TeamRef, size: &Size) {
        let backlog = self.team_mut(team, None);
        backlog.running = backlog.running.minus(size);
        backlog.tasks = backlog.tasks.saturating_sub(1);
        if backlog.is_idle() {
            self.teams.retain(|other| other.team != *team);
        }
    }

    fn team_mut(&mut self, team: &TeamRef, share_weight: Option<u32>) -> &mut TeamBacklog {
        let index = match self.teams.binary_search_by(|backlog| backlog.team.cmp(team)) {
            Ok(index) => index,
            Err(index) => {
                let backlog = TeamBacklog {
                    team: team.clone(),
                    share_weight: 1,
                    running: Size::default(),
                    tasks: 0,
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
