//! The stored state of a job, apart from its record.

use serde::Deserialize;
use serde::Serialize;

use crate::unit_set::UnitSet;

/// Position of a unit in its job: occurrence, step, index.
pub type UnitPosition = (u32, usize, usize);

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalState {
    /// All units succeeded.
    Completed,
    /// A unit failed too often.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// When a run was started, compared with the other runs that its worker had started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartOrder {
    /// It was among the last ones.
    #[serde(rename = "l")]
    Last,
    /// Others were started after it.
    #[serde(rename = "e")]
    Earlier,
    /// An earlier owner started it, or it is unknown whether it has started.
    #[serde(rename = "u")]
    Unknown,
}

/// A run whose worker has or may have crashed, which the run may have caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Number of the run.
    #[serde(rename = "n")]
    pub number: u32,
    /// When the run was started: a unit that crashes its worker as it starts is among the last.
    #[serde(rename = "o")]
    pub start_order: StartOrder,
    /// The worker has crashed. Otherwise it fell silent, and its lease has expired.
    #[serde(rename = "c", default)]
    pub is_certain: bool,
}

/// Progress of a job, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// How the job ended; `None` while it has not.
    #[serde(rename = "x", skip_serializing_if = "Option::is_none")]
    pub final_state: Option<FinalState>,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(rename = "at", skip_serializing_if = "Option::is_none")]
    pub finished_ms: Option<u64>,
    /// Queue, stored here so that it is known after the job's record was removed.
    #[serde(rename = "q")]
    pub queue: String,
    /// Team, stored here for the same reason.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Steps of which all units have succeeded: occurrence and step.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub finished_steps: Vec<(u32, usize)>,
    /// Units of other steps that have succeeded.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub finished_units: Vec<UnitPosition>,
    /// The same as bitmaps, by occurrence and step, where the list would be too long. Earlier
    /// versions don't read it.
    #[serde(rename = "u", skip_serializing_if = "Vec::is_empty")]
    pub finished_unit_sets: Vec<((u32, usize), UnitSet)>,
    /// Ranges of occurrences that have finished, the last one included, where the list of their
    /// steps would be too long. Earlier versions don't read it.
    #[serde(rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub finished_occurrences: Vec<(u32, u32)>,
    /// Numbers of the failed runs, by unit; for a gang, those of all units, at the first one.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<(UnitPosition, Vec<u32>)>,
    /// Runs whose worker has or may have crashed, by unit.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub crashed_runs: Vec<(UnitPosition, Vec<CrashedRun>)>,
    /// Checkpoints of unfinished units.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(UnitPosition, String)>,
}

impl Progress {
    /// Returns the units of unfinished steps that have succeeded, in whichever form they are stored.
    pub(crate) fn all_finished_units(&self) -> impl Iterator<Item = UnitPosition> {
        let of_sets = self.finished_unit_sets.iter().flat_map(|((occurrence, step), set)| {
            set.iter().map(|index| (*occurrence, *step, index))
        });
        self.finished_units.iter().copied().chain(of_sets)
    }

    /// Returns the number of occurrences that were created, as far as their progress shows.
    pub(crate) fn created_occurrences(&self) -> u32 {
        let units = self.finished_units.iter().map(|(occurrence, ..)| *occurrence);
        let sets = self.finished_unit_sets.iter().map(|((occurrence, _), _)| *occurrence);
        let ranges = self.finished_occurrences.iter().map(|(_, last)| *last);
        let last = self
            .finished_steps
            .iter()
            .map(|(occurrence, _)| *occurrence)
            .chain(units)
            .chain(sets)
            .chain(ranges)
            .chain(self.failed_runs.iter().map(|((occurrence, ..), _)| *occurrence))
            .chain(self.crashed_runs.iter().map(|((occurrence, ..), _)| *occurrence))
            .chain(self.checkpoints.iter().map(|((occurrence, ..), _)| *occurrence))
            .max();
        last.map_or(0, |last| last.saturating_add(1))
    }
}
