//! Workers whose registered capacity has fallen below what runs there.
//!
//! Guards against a part of the fleet that shrinks in the middle of a peak: such workers are slowed
//! down or end runs of their own choice, and pools that are planned with the largest capacity of
//! any worker get too few hosts. Runs are stopped until the rest fits, those that lose least first:
//! best-effort units, units with a checkpoint, and then the youngest. Gangs, which are stopped only
//! as a whole, come after these, and serving and long-running units come last and within the
//! disruption budgets of their steps. A stop is not a failure, and the units run elsewhere.

use std::cmp::Reverse;
use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::capacity::PoolLoads;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::live_jobs::FULL_PERCENT;
use crate::live_jobs::Phase;
use crate::policies::Policy;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::worker::Worker;

/// Time within which an excess may end by itself, counted from when it was first seen.
const ENDS_BY_ITSELF_MAX: Duration = Duration::from_secs(1);

/// Workers that have shrunk below what runs there.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShrunkWorkers {
    /// When the excess of each was first seen.
    since: SortedMap<WorkerId, Moment>,
}

/// How much is lost if a run is stopped; the lowest value is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    /// The start command has not been sent yet.
    Nothing,
    BestEffort,
    Checkpoint,
    Work,
    Gang,
    Serving,
    LongRunning,
}

/// A run that may be stopped.
#[derive(Clone, Debug)]
struct Victim {
    loss: Loss,
    since: Moment,
    unit: UnitKey,
    reservation: Resources,
}

impl Scheduler {
    /// Stops runs on workers whose capacity has shrunk below them.
    pub(crate) fn relieve_shrunk_workers(&mut self, now: Moment) {
        if !self.settings.policies.enables(Policy::ShrunkWorkers) {
            return;
        }
        // An unregistered worker has no known capacity.
        let is_shrunk = |worker: &&Worker| {
            worker.is_registered && !worker.reserved.fits_in(&worker.registration.capacity)
        };
        let shrunk = self.workers.values().filter(is_shrunk);
        let shrunk: Vec<WorkerId> = shrunk.map(|worker| worker.registration.id.clone()).collect();
        self.shrunk_workers.since.retain(|id, _| shrunk.contains(id));
        for id in shrunk {
            let since = *self.shrunk_workers.since.entry_or(id.clone(), || now);
            self.relieve_worker(&id, since, now);
        }
    }

    fn relieve_worker(&mut self, id: &WorkerId, since: Moment, now: Moment) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let capacity = worker.registration.capacity;
        let time_left = (since + ENDS_BY_ITSELF_MAX).saturating_sub(now);
        let mut remaining = worker.reserved;
        let mut remaining_soon = worker.reserved;
        for key in &worker.runs {
            let Some(reservation) = self.reservation_of(id, key) else {
                continue;
            };
            if self.is_stopping(id, key) {
                remaining -= reservation;
                remaining_soon -= reservation;
            } else if !time_left.is_zero() && self.ends_within(id, key, time_left) {
                remaining_soon -= reservation;
            }
        }
        if remaining_soon.fits_in(&capacity) {
            return;
        }
        let mut victims: Vec<Victim> =
            worker.runs.iter().filter_map(|key| self.victim(id, key)).collect();
        // The youngest of those that lose alike come first.
        victims.sort_by_key(|victim| (victim.loss, Reverse(victim.since)));
        for victim in victims {
            if remaining.fits_in(&capacity) {
                return;
            }
            if relieves(&victim.reservation, &remaining, &capacity)
                && self.stop_victim(id, &victim, now)
            {
                remaining -= victim.reservation;
            }
        }
    }

    /// Stops a run if the disruption budget of its step allows it. Returns true if it is stopped.
    fn stop_victim(&mut self, id: &WorkerId, victim: &Victim, now: Moment) -> bool {
        let key = &victim.unit;
        if victim.loss == Loss::LongRunning && !self.may_be_unavailable(key, now) {
            return false;
        }
        self.log_decision("run moved", key, format!("worker={id} cause=shrunk"));
        self.counts.moved_runs += 1;
        if victim.loss == Loss::Gang {
            for member in self.units_finishing_with(key, true) {
                self.request_stop(&member, now);
            }
        } else {
            self.request_stop_on(id, key, now);
        }
        true
    }

    fn is_stopping(&self, worker: &WorkerId, key: &UnitKey) -> bool {
        let run = self.run_on(key, worker);
        run.is_some_and(|run| run.stop.is_some())
    }

    fn reservation_of(&self, worker: &WorkerId, key: &UnitKey) -> Option<Resources> {
        Some(self.run_on(key, worker)?.reservation)
    }

    /// Returns true if a run is expected to end within a time.
    fn ends_within(&self, worker: &WorkerId, key: &UnitKey, time: Duration) -> bool {
        let (Some(run), Some(job)) = (self.run_on(key, worker), self.jobs.get(&key.job)) else {
            return false;
        };
        let Some(step) = job.record.steps.get(key.step) else {
            return false;
        };
        let expected = self.durations.expected(&job.record, step);
        let left_percent = FULL_PERCENT.saturating_sub(run.progress_percent);
        !step.is_long_running && expected * left_percent / FULL_PERCENT <= time
    }

    /// Returns what is lost if the run of a unit is stopped; `None` if it is being stopped.
    fn victim(&self, worker: &WorkerId, key: &UnitKey) -> Option<Victim> {
        let run = self.run_on(key, worker).filter(|run| run.stop.is_none())?;
        let step = self.jobs.get(&key.job)?.record.steps.get(key.step)?;
        let loss = if step.is_long_running {
            Loss::LongRunning
        } else if step.tail_latency_target_ms > 0 {
            Loss::Serving
        } else if step.is_gang {
            Loss::Gang
        } else if run.phase == Phase::Planned {
            Loss::Nothing
        } else if step.is_best_effort {
            Loss::BestEffort
        } else if step.has_checkpoints {
            Loss::Checkpoint
        } else {
            Loss::Work
        };
        Some(Victim { loss, since: run.since, unit: key.clone(), reservation: run.reservation })
    }

    /// Replaces the largest capacity of any worker of a pool by the mean of those that the pool
    /// has now.
    pub(crate) fn use_present_capacity(&self, loads: &mut PoolLoads) {
        if !self.settings.policies.enables(Policy::ShrunkWorkers) {
            return;
        }
        for (name, load) in loads.iter_mut() {
            let in_pool = |worker: &&Worker| {
                worker.is_registered
                    && worker.registration.pool == *name
                    && !self.is_evacuated(&worker.registration.zone)
            };
            let (mut total, mut count) = (Resources::default(), 0);
            for worker in self.workers.values().filter(in_pool) {
                total += worker.registration.capacity;
                count += 1;
            }
            let mean = |amount: u64| amount.checked_div(count);
            if let (Some(cpu_millis), Some(memory_mb)) =
                (mean(total.cpu_millis), mean(total.memory_mb))
            {
                load.host_capacity = Resources { cpu_millis, memory_mb, ..load.host_capacity };
            }
        }
    }
}

/// Returns true if a reservation has a part in a resource of which more than the capacity is
/// reserved.
fn relieves(reservation: &Resources, reserved: &Resources, capacity: &Resources) -> bool {
    let helps = |amount: u64, reserved: u64, capacity: u64| amount > 0 && reserved > capacity;
    helps(reservation.cpu_millis, reserved.cpu_millis, capacity.cpu_millis)
        || helps(reservation.memory_mb, reserved.memory_mb, capacity.memory_mb)
        || helps(reservation.gpus, reserved.gpus, capacity.gpus)
}
