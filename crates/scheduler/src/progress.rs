//! What has been stored about a job beside its record.

use serde::Deserialize;
use serde::Serialize;

/// Position of a unit in its job: occurrence, step, index.
pub type UnitPosition = (u32, usize, usize);

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalState {
    /// All units ended as done.
    Completed,
    /// A unit failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// How it ended; none while it is live.
    #[serde(rename = "x", skip_serializing_if = "Option::is_none")]
    pub final_state: Option<FinalState>,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(rename = "at", skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Queue and team, so that an ended job is found without its record.
    #[serde(rename = "q")]
    pub queue: String,
    /// Team.
    #[serde(rename = "t", skip_serializing_if = "Option::is_none")]
    pub team: Option<String>,
    /// Steps of which all units are done: occurrence and step.
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub steps_done: Vec<(u32, usize)>,
    /// Units that are done, of the other steps.
    #[serde(rename = "d", skip_serializing_if = "Vec::is_empty")]
    pub units_done: Vec<UnitPosition>,
    /// Numbers of the failed runs of units.
    #[serde(rename = "f", skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<(UnitPosition, Vec<u32>)>,
    /// State that units have saved.
    #[serde(rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub checkpoints: Vec<(UnitPosition, String)>,
}
