//! Evacuation of availability zones.
//!
//! Load: an operator evacuates one or several zones for a while. No run starts there from the
//! moment the owner knows of it, including runs that were already planned and stored. Finite units
//! finish. Long-running units are moved out one after another, within the disruption budgets of
//! their steps and only while a worker elsewhere has room for them.
//!
//! A node that cannot read the operators' rows may have missed an evacuation. An owner whose last
//! confirmed read is older than a part of [`Settings::evacuation_bound`] therefore starts nothing,
//! and no start command is valid for longer than the bound.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::ZoneName;
use crate::candidates::Candidates;
use crate::job::Step;
use crate::job::UnitKey;
use crate::messages::Action;
use crate::messages::EvacuationState;
use crate::messages::ZoneRuns;
use crate::settings::Settings;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::worker::Worker;

/// Part of the bound of an evacuation up to which a read of the operators' rows permits starts, in
/// percent. The rest is for commands that are on their way.
const READ_AGE_PERCENT: u32 = 80;
/// Minimum time between two decisions on which units move.
const PLAN_PERIOD: Duration = Duration::from_millis(80);

/// Zones that operators evacuate, and when the owner's node last read the operators' rows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: SortedMap<ZoneName, Evacuation>,
    /// When the last read was sent that has confirmed `zones`.
    rows_read_at: Option<Moment>,
    /// When it was last decided which units move.
    planned_at: Moment,
    /// The last read was too old at the last review.
    is_withholding: bool,
    /// All workers were in evacuated zones at the last review.
    has_no_zone_left: bool,
}

/// An evacuated zone.
#[derive(Clone, Copy, Debug, Default)]
struct Evacuation {
    /// Nothing ran there at the last review.
    is_empty: bool,
}

impl Settings {
    /// Returns true if the last confirmed read of the operators' rows is recent enough to start
    /// runs.
    pub fn permits_starts(&self, rows_read_at: Option<Moment>, now: Moment) -> bool {
        self.evacuation_bound.is_none_or(|bound| {
            let age_max = bound * READ_AGE_PERCENT / 100;
            rows_read_at.is_some_and(|read_at| now.saturating_sub(read_at) <= age_max)
        })
    }
}

impl Scheduler {
    /// Records when the last read of the operators' rows was sent that has confirmed the evacuated
    /// zones.
    pub fn confirm_operator_rows(&mut self, rows_read_at: Option<Moment>) {
        self.evacuations.rows_read_at = self.evacuations.rows_read_at.max(rows_read_at);
    }

    /// Replaces the set of evacuated zones.
    pub fn set_evacuated_zones(&mut self, zones: &[ZoneName]) {
        let known = self.evacuations.zones.iter().map(|(zone, _)| zone.clone());
        let known: Vec<ZoneName> = known.collect();
        for zone in known.iter().filter(|zone| !zones.contains(*zone)) {
            self.evacuations.zones.remove(zone);
            self.log_evacuation(zone, EvacuationState::Returned);
            self.needs_placement = true;
        }
        for zone in zones {
            if !self.evacuations.zones.contains(zone) {
                self.evacuations.zones.insert(zone.clone(), Evacuation::default());
                self.log_evacuation(zone, EvacuationState::Evacuating);
            }
        }
    }

    /// Returns true if operators evacuate a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.zones.contains(zone)
    }

    /// Returns true if the owner may start runs: it cannot have missed an evacuation.
    pub(crate) fn may_start_runs(&self, now: Moment) -> bool {
        self.settings.permits_starts(self.evacuations.rows_read_at, now)
    }

    /// Returns true if a run that was planned on a worker, and is now stored, may still start
    /// there.
    pub(crate) fn can_start_planned(&self, worker: &Worker, now: Moment) -> bool {
        worker.can_start_planned()
            && !self.is_evacuated(&worker.registration.zone)
            && self.may_start_runs(now)
    }

    /// Counts a planned run that is withdrawn for an evacuation or for an old read.
    pub(crate) fn count_withheld(&mut self, worker: &str, now: Moment) {
        let zone = self.workers.get(worker).map(|worker| &worker.registration.zone);
        let is_evacuated = zone.is_some_and(|zone| self.is_evacuated(zone));
        let is_withheld = is_evacuated || !self.may_start_runs(now);
        self.counts.starts_withheld += u64::from(is_withheld);
    }

    /// Returns the time for which a start command that is sent now is valid. It ends with the bound
    /// of an evacuation that the owner may not know of, also if the command is late.
    pub(crate) fn start_validity(&self, now: Moment) -> Duration {
        let start_valid = self.settings.start_valid;
        match (self.settings.evacuation_bound, self.evacuations.rows_read_at) {
            (Some(bound), Some(read_at)) => start_valid.min((read_at + bound).saturating_sub(now)),
            _ => start_valid,
        }
    }

    /// Moves long-running units out of evacuated zones. Follows a placement, so that units that
    /// wait have taken the room that is theirs.
    pub(crate) fn plan_evacuations(&mut self, now: Moment) {
        let is_due = now.saturating_sub(self.evacuations.planned_at) >= PLAN_PERIOD;
        if !self.evacuations.zones.is_empty() && is_due {
            self.evacuations.planned_at = now;
            self.move_long_running_units(now);
        }
    }

    /// Logs what has become of evacuations.
    pub(crate) fn review_evacuations(&mut self, now: Moment) {
        self.review_withholding(now);
        if self.evacuations.zones.is_empty() {
            self.evacuations.has_no_zone_left = false;
            return;
        }
        self.log_empty_zones();
        self.log_no_zone_left();
    }

    fn review_withholding(&mut self, now: Moment) {
        let is_withholding = !self.may_start_runs(now);
        if is_withholding == std::mem::replace(&mut self.evacuations.is_withholding, is_withholding)
        {
            return;
        }
        let what = if is_withholding { "starts withheld" } else { "starts resumed" };
        let age = self.evacuations.rows_read_at.map(|read_at| now.saturating_sub(read_at));
        let age_ms = age.map_or_else(|| "none".to_owned(), |age| age.as_millis().to_string());
        self.log_decision(what, "operators' rows", format!("read_age_ms={age_ms}"));
    }

    /// Stops long-running units in evacuated zones, as far as the disruption budgets of their steps
    /// allow and other workers have room for them.
    fn move_long_running_units(&mut self, now: Moment) {
        for (pool, units) in self.long_running_units_in_evacuated_zones(now).iter() {
            let mut candidates = self.candidates(pool, now);
            let is_stopping = |key: &&UnitKey| {
                self.unit(key).and_then(|unit| unit.run.as_ref()).is_some_and(|r| r.stop.is_some())
            };
            let (stopping, running): (Vec<&UnitKey>, Vec<&UnitKey>) =
                units.iter().partition(is_stopping);
            // Units that are about to stop take their room elsewhere soon.
            if !stopping.iter().all(|key| self.reserve_elsewhere(key, &mut candidates, now)) {
                continue;
            }
            for key in running {
                if self.may_move_unit(key, now) && self.reserve_elsewhere(key, &mut candidates, now)
                {
                    self.move_unit(key, now);
                }
            }
        }
    }

    /// Returns the long-running units that run in evacuated zones, by pool.
    fn long_running_units_in_evacuated_zones(
        &self,
        now: Moment,
    ) -> SortedMap<PoolName, Vec<UnitKey>> {
        let mut units = SortedMap::default();
        // A silent worker does not carry out a stop command.
        let contact_max = self.settings.contact_max;
        let workers = self.workers.values().filter(|worker| {
            self.is_evacuated(&worker.registration.zone) && worker.is_in_contact(contact_max, now)
        });
        for key in workers.flat_map(|worker| &worker.runs) {
            if let Some(job) = self.jobs.get(&key.job).filter(|_| self.is_long_running(key)) {
                units.entry_or(self.pool_of(&job.record), Vec::new).push(key.clone());
            }
        }
        units
    }

    /// Returns true if the disruption budget of its step allows a long-running unit to be moved
    /// now. A gang ends as a whole, so the budget must allow for all its units.
    fn may_move_unit(&self, key: &UnitKey, now: Moment) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.record.steps.get(key.step));
        let is_within_budget =
            step.is_some_and(|step| !step.is_gang || step.count <= step.unavailable_max.max(1));
        is_within_budget && self.may_be_unavailable(key, now)
    }

    /// Reserves room on a candidate for a unit, or for all units of its gang. Returns false if
    /// there is not enough.
    fn reserve_elsewhere(&self, key: &UnitKey, candidates: &mut Candidates, now: Moment) -> bool {
        let Some(step) = self.jobs.get(&key.job).map(|job| &job.record.steps[key.step]) else {
            return true;
        };
        if !step.is_gang {
            return self.reserve_for_unit(key, step, candidates, now);
        }
        let mut remaining = candidates.clone();
        let members = self.units_finishing_with(key, true);
        let has_room =
            members.iter().all(|member| self.reserve_for_unit(member, step, &mut remaining, now));
        if has_room {
            *candidates = remaining;
        }
        has_room
    }

    fn reserve_for_unit(
        &self,
        key: &UnitKey,
        step: &Step,
        candidates: &mut Candidates,
        now: Moment,
    ) -> bool {
        let history = self.history(key, now);
        let Some(chosen) = candidates.choose(key, step, history, None, |_| true) else {
            return false;
        };
        candidates.place(chosen, key, step, history.suspicion);
        true
    }

    fn move_unit(&mut self, key: &UnitKey, now: Moment) {
        let run = self.unit(key).and_then(|unit| unit.run.as_ref());
        let Some((worker, number)) = run.map(|run| (run.worker.clone(), run.number)) else {
            return;
        };
        let zone = self.workers.get(&worker).map(|worker| worker.registration.zone.clone());
        let zone = zone.unwrap_or_default();
        let why = format!("cause=evacuation zone={zone} worker={worker} run={number}");
        self.log_decision("unit moved", key, why);
        self.counts.units_evacuated += 1;
        self.request_stop(key, now);
    }

    fn log_empty_zones(&mut self) {
        let zones = self.evacuations.zones.iter().map(|(zone, _)| zone.clone());
        for zone in zones.collect::<Vec<ZoneName>>() {
            let is_empty = self.zone_runs(&zone).is_empty();
            let Some(evacuation) = self.evacuations.zones.get_mut(&zone) else {
                continue;
            };
            let was_empty = std::mem::replace(&mut evacuation.is_empty, is_empty);
            if is_empty && !was_empty {
                self.log_evacuation(&zone, EvacuationState::Evacuated);
            }
        }
    }

    fn log_no_zone_left(&mut self) {
        let registered = || self.workers.values().filter(|worker| worker.is_registered);
        let has_no_zone_left = registered().next().is_some()
            && registered().all(|worker| self.is_evacuated(&worker.registration.zone));
        let had_no_zone_left =
            std::mem::replace(&mut self.evacuations.has_no_zone_left, has_no_zone_left);
        if has_no_zone_left && !had_no_zone_left {
            let zones = self.evacuations.zones.iter().map(|(zone, _)| zone.to_string());
            let why = "every worker is in an evacuated zone, so nothing can start".to_owned();
            self.log_decision("no zone left", zones.collect::<Vec<String>>().join(","), why);
        }
    }

    fn log_evacuation(&mut self, zone: &ZoneName, state: EvacuationState) {
        let runs = self.zone_runs(zone);
        self.actions.push(Action::LogEvacuation { zone: zone.clone(), state, runs });
    }

    /// Returns the workers of a zone and their runs.
    fn zone_runs(&self, zone: &str) -> ZoneRuns {
        let mut runs = ZoneRuns::default();
        for worker in self.workers.values().filter(|w| *w.registration.zone == *zone) {
            runs.workers += usize::from(worker.is_registered);
            let long_running = worker.runs.iter().filter(|key| self.is_long_running(key)).count();
            runs.long_running += long_running;
            runs.finite += worker.runs.len() - long_running;
        }
        runs
    }
}
