//! Counts the tasks of each group by zone and rack, so that placement can spread them.

use model::TeamRef;

use crate::job::Job;
use crate::job::KindId;

/// Position of a zone in the pool's list of zones.
pub type ZoneIndex = usize;
/// Position of a rack in the pool's list of racks.
pub type RackIndex = usize;

/// Counts of one group: the running tasks of one team and one kind.
#[derive(Clone, Debug)]
struct Group {
    team: TeamRef,
    kind: KindId,
    /// Number of tasks by zone.
    zones: Vec<u32>,
    /// Number of tasks by rack, sorted by rack; none is zero.
    racks: Vec<(RackIndex, u32)>,
}

/// Counts of all groups.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Sorted by team and kind.
    groups: Vec<Group>,
}

/// Read access to the counts of one group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// `None` if the group has no running tasks.
    group: Option<&'a Group>,
}

impl Spread {
    /// Returns the group of a job.
    pub fn group(&self, job: &Job) -> GroupView<'_> {
        let index = self.find(job).ok();
        GroupView { group: index.map(|index| &self.groups[index]) }
    }

    /// Records the start of a task.
    pub fn add(&mut self, job: &Job, zone: ZoneIndex, rack: RackIndex) {
        let index = match self.find(job) {
            Ok(index) => index,
            Err(index) => {
                let (team, kind) = (job.team.clone(), job.kind.clone());
                let group = Group { team, kind, zones: Vec::new(), racks: Vec::new() };
                self.groups.insert(index, group);
                index
            }
        };
        let group = &mut self.groups[index];
        if group.zones.len() <= zone {
            group.zones.resize(zone + 1, 0);
        }
        group.zones[zone] += 1;
        match group.racks.binary_search_by_key(&rack, |(rack, _)| *rack) {
            Ok(position) => group.racks[position].1 += 1,
            Err(position) => group.racks.insert(position, (rack, 1)),
        }
    }

    /// Records the end of a task.
    pub fn remove(&mut self, job: &Job, zone: ZoneIndex, rack: RackIndex) {
        let Ok(index) = self.find(job) else {
            return;
        };
        let group = &mut self.groups[index];
        if let Some(count) = group.zones.get_mut(zone) {
            *count = count.saturating_sub(1);
        }
        if let Ok(position) = group.racks.binary_search_by_key(&rack, |(rack, _)| *rack) {
            group.racks[position].1 -= 1;
            if group.racks[position].1 == 0 {
                group.racks.remove(position);
            }
        }
        if group.racks.is_empty() {
            self.groups.remove(index);
        }
    }

    fn find(&self, job: &Job) -> Result<usize, usize> {
        self.groups
            .binary_search_by(|group| (&group.team, &group.kind).cmp(&(&job.team, &job.kind)))
    }
}

impl GroupView<'_> {
    /// Returns the number of the group's tasks in a zone.
    pub fn in_zone(&self, zone: ZoneIndex) -> u32 {
        self.group.and_then(|group| group.zones.get(zone)).copied().unwrap_or(0)
    }

    /// Returns the number of the group's tasks in a rack.
    pub fn in_rack(&self, rack: RackIndex) -> u32 {
        let Some(group) = self.group else {
            return 0;
        };
        let found = group.racks.binary_search_by_key(&rack, |(rack, _)| *rack);
        found.map_or(0, |position| group.racks[position].1)
    }
}
