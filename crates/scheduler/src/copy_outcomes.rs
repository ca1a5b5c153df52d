//! How copies end, and what they cost: the first success of a unit counts, and what the run beside
//! it has done was done twice.

use crate::Moment;
use crate::job::UnitKey;
use crate::live_jobs::FinishState;
use crate::live_jobs::Run;
use crate::state::Scheduler;

/// Numbers of copies, and the work that was done twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Copies that were started.
    pub started: u64,
    /// Copies that finished their unit.
    pub won: u64,
    /// Copies that ended, or were stopped, without finishing their unit.
    pub lost: u64,
    /// Core-milliseconds of runs beside the one that finished their unit.
    pub duplicate_core_ms: u64,
}

impl Scheduler {
    /// Records the first success of a unit. `run` is the run that has ended with it, which is
    /// removed already; its copy, or the run that it copies, is not.
    pub(crate) fn record_first_success(&mut self, key: &UnitKey, run: Option<&Run>, now: Moment) {
        let Some(run) = run else {
            return;
        };
        self.record_duration(key, run, now);
        let other = self.unit(key).and_then(|unit| unit.run.as_ref());
        let has_copy = other.is_some_and(|other| other.beside == Some(run.number));
        if run.beside.is_none() && !has_copy {
            return;
        }
        let duplicate_core_ms = other.map_or(0, |other| core_ms(other, now));
        let why =
            format!("run={} worker={} twice_core_ms={duplicate_core_ms}", run.number, run.worker);
        self.counts.copies.duplicate_core_ms += duplicate_core_ms;
        if has_copy {
            self.counts.copies.lost += 1;
            self.log_decision("copy lost", key, format!("finished_by {why}"));
        } else {
            self.counts.copies.won += 1;
            self.log_decision("copy won", key, why);
        }
    }

    /// Records that a run has ended without finishing its unit, if it was a copy.
    pub(crate) fn record_copy_end(&mut self, key: &UnitKey, run: &Run, now: Moment) {
        let Some(unit) = self.unit(key) else {
            return;
        };
        if run.beside.is_none() || unit.finish_state != FinishState::Unfinished {
            return;
        }
        let duplicate_core_ms = if unit.run.is_some() { core_ms(run, now) } else { 0 };
        self.counts.copies.lost += 1;
        self.counts.copies.duplicate_core_ms += duplicate_core_ms;
        let (number, worker) = (run.number, &run.worker);
        let why = format!("run={number} worker={worker} twice_core_ms={duplicate_core_ms}");
        self.log_decision("copy lost", key, why);
    }
}

/// Returns the core-milliseconds that a run has taken so far.
fn core_ms(run: &Run, now: Moment) -> u64 {
    let age_ms = now.saturating_sub(run.started_at(now)).as_millis() as u64;
    age_ms * run.requested.cpu_millis / 1_000
}
