//! Workers that accept new runs, and how well each suits a unit.

use std::sync::Arc;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::job::Resources;
use crate::job::Step;
use crate::job::UnitKey;
use crate::live_jobs::UnitKind;
use crate::lost_runs::QUIET_TIME;
use crate::lost_runs::Suspicion;
use crate::state::Scheduler;
use crate::worker::Worker;

/// A worker that accepts new runs, as it is during one round of placement.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub id: WorkerId,
    pub free_capacity: Resources,
    is_cold: bool,
    rack: Option<Arc<str>>,
    labels: Arc<[String]>,
    /// Units whose runs are there.
    units: Vec<UnitKey>,
    serving_runs: usize,
    best_effort_runs: usize,
    long_running_runs: usize,
    /// Number of its runs whose units may crash it.
    suspect_runs: usize,
    /// Number of runs for which its assignment row has room.
    assignable_runs: usize,
    /// It starts nothing else for a moment, so that a crash shows whether a strong suspect that it
    /// has just started, or is about to start, is at fault.
    is_reserved: bool,
    is_reliable: bool,
}

/// What earlier runs of a unit tell about where to run it next.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnitHistory<'a> {
    /// Workers on which it failed or stalled.
    pub excluded_workers: &'a [WorkerId],
    /// How likely it is that it crashes its worker.
    pub suspicion: Suspicion,
}

/// How well a worker suits a unit; the lowest value suits best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fit {
    /// An earlier run of the unit has failed or stalled there.
    is_excluded: bool,
    /// The worker is slow, since it has just started.
    is_cold: bool,
    /// The worker is not on the rack that stores the unit's input data.
    is_remote: bool,
    is_unreliable: bool,
    /// Number of units there that may crash the worker.
    suspect_runs: usize,
    /// Number of runs there that the unit may end by crashing the worker.
    endangered_runs: usize,
    /// Number of runs there that the unit would slow down, or that would slow it down.
    interfering_runs: usize,
    /// Long-running units are packed onto few hosts, so that the other hosts can be moved freely.
    lacks_long_running: bool,
    cpu_left_millis: u64,
}

/// Workers of a pool that accept new runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Candidates {
    workers: Vec<Candidate>,
    /// Reservations that fit on no worker. Within a round, free capacity only shrinks, so that
    /// larger ones do not fit either.
    unfit_reservations: Vec<Resources>,
    /// Reservations that fit on no warm worker, as far as units that wait for one have
    /// shown.
    unfit_on_warm: Vec<Resources>,
    /// Some workers are cold.
    pub has_cold: bool,
    /// The units that are placed now wait rather than run on a cold worker.
    pub avoids_cold: bool,
}

impl Candidates {
    /// Returns the workers in no particular order.
    pub fn workers(&self) -> &[Candidate] {
        &self.workers
    }

    /// Records that a unit of `step` fits on no worker. Only a step that may run on any worker
    /// shows that others do not fit either.
    pub fn record_unfit(&mut self, step: &Step) {
        if step.label.is_none() && step.per_worker_max == 0 {
            self.unfit_reservations.push(step.reservation());
        }
    }

    /// Returns true if it is already known that a unit of `step` fits on no worker.
    pub fn is_known_unfit(&self, step: &Step) -> bool {
        let reservation = step.reservation();
        self.unfit_reservations.iter().any(|unfit| unfit.fits_in(&reservation))
    }

    /// Returns the index of the best worker for a unit of `step`, on `rack` if one is given; `None`
    /// if the unit fits on no worker.
    pub fn choose(
        &self,
        key: &UnitKey,
        step: &Step,
        history: UnitHistory<'_>,
        rack: Option<&str>,
        may_run: impl Fn(&WorkerId) -> bool,
    ) -> Option<usize> {
        let fitting = self.workers.iter().enumerate().filter(|(_, worker)| {
            self.allows(worker)
                && worker.can_run(key, step)
                && rack.is_none_or(|rack| worker.rack.as_deref() == Some(rack))
                && may_run(&worker.id)
        });
        fitting.min_by_key(|(_, worker)| worker.fit(step, history)).map(|(index, _)| index)
    }

    /// Returns the index of a worker for a unit that is strongly suspected to crash it: the one
    /// that has started nothing for the longest time. If that is too short, reserves the worker and
    /// returns `None`.
    pub fn choose_for_strong_suspect(
        &mut self,
        key: &UnitKey,
        step: &Step,
        may_run: impl Fn(&WorkerId) -> bool,
        last_start: impl Fn(&WorkerId) -> Moment,
        now: Moment,
    ) -> Option<usize> {
        let fitting = self.workers.iter().enumerate();
        let fitting = fitting.filter(|(_, worker)| {
            self.allows(worker) && worker.can_run(key, step) && may_run(&worker.id)
        });
        let last_starts = fitting.map(|(index, worker)| (last_start(&worker.id), index));
        let (last_start_at, index) = last_starts.min()?;
        if now.saturating_sub(last_start_at) >= QUIET_TIME {
            return Some(index);
        }
        self.workers[index].is_reserved = true;
        None
    }

    /// Returns true if a unit of `step` that fits on no warm worker waits for one, although it fits
    /// on a cold one.
    pub fn waits_for_warm(&self, key: &UnitKey, step: &Step) -> bool {
        self.avoids_cold
            && self.workers.iter().any(|worker| worker.is_cold && worker.can_run(key, step))
    }

    /// Records that a unit of `step` fits on no warm worker; see [`Candidates::record_unfit`].
    pub fn record_unfit_on_warm(&mut self, step: &Step) {
        if step.label.is_none() && step.per_worker_max == 0 {
            self.unfit_on_warm.push(step.reservation());
        }
    }

    /// Returns true if it is already known that a unit of `step` waits for a warm worker.
    pub fn is_known_to_wait(&self, step: &Step) -> bool {
        let reservation = step.reservation();
        self.avoids_cold && self.unfit_on_warm.iter().any(|unfit| unfit.fits_in(&reservation))
    }

    /// Returns true if the units that are placed now may run on a worker.
    fn allows(&self, worker: &Candidate) -> bool {
        !(self.avoids_cold && worker.is_cold)
    }

    /// Returns true if a unit of `step` would fit on a worker that is reserved.
    pub fn fits_on_reserved(&self, key: &UnitKey, step: &Step) -> bool {
        self.workers.iter().any(|worker| worker.is_reserved && worker.fits(key, step))
    }

    /// Records that a unit was placed on a worker.
    pub fn place(&mut self, index: usize, key: &UnitKey, step: &Step, suspicion: Suspicion) {
        let worker = &mut self.workers[index];
        worker.suspect_runs += usize::from(suspicion > Suspicion::None);
        worker.is_reserved |= suspicion == Suspicion::Strong;
        worker.free_capacity -= step.reservation();
        worker.units.push(key.clone());
        worker.assignable_runs = worker.assignable_runs.saturating_sub(1);
        let kind = UnitKind::of(step);
        worker.serving_runs += usize::from(kind.is_serving);
        worker.best_effort_runs += usize::from(kind.is_best_effort);
        worker.long_running_runs += usize::from(kind.is_long_running);
    }

    /// Returns the racks of the workers, sorted and without duplicates.
    pub fn racks(&self) -> Vec<Arc<str>> {
        let mut racks: Vec<Arc<str>> =
            self.workers.iter().filter_map(|worker| worker.rack.clone()).collect();
        racks.sort();
        racks.dedup();
        racks
    }
}

impl Candidate {
    /// Returns true if a unit of `step` fits on the worker. The advisor may still reject the
    /// worker.
    pub fn can_run(&self, key: &UnitKey, step: &Step) -> bool {
        !self.is_reserved && self.fits(key, step)
    }

    /// Returns true if a unit of `step` fits on the worker, whether it is reserved or not.
    fn fits(&self, key: &UnitKey, step: &Step) -> bool {
        self.assignable_runs > 0
            && step.reservation().fits_in(&self.free_capacity)
            && self.allows(key, step)
    }

    fn allows(&self, key: &UnitKey, step: &Step) -> bool {
        let runs_max = step.per_worker_max as usize;
        step.label.as_ref().is_none_or(|label| self.labels.contains(label))
            && (runs_max == 0 || self.runs_of_step(key) < runs_max)
    }

    fn runs_of_step(&self, key: &UnitKey) -> usize {
        let is_same_step = |unit: &&UnitKey| {
            unit.job == key.job && unit.occurrence == key.occurrence && unit.step == key.step
        };
        self.units.iter().filter(is_same_step).count()
    }

    fn fit(&self, step: &Step, history: UnitHistory<'_>) -> Fit {
        let is_serving = step.tail_latency_target_ms > 0;
        let interfering_runs = if step.is_best_effort {
            self.serving_runs
        } else if is_serving {
            self.best_effort_runs
        } else {
            0
        };
        let near = step.near_rack.as_deref();
        Fit {
            is_excluded: history.excluded_workers.contains(&self.id),
            is_cold: self.is_cold,
            is_remote: near.is_some() && self.rack.as_deref() != near,
            is_unreliable: !self.is_reliable,
            suspect_runs: self.suspect_runs,
            endangered_runs: match history.suspicion {
                Suspicion::None => 0,
                Suspicion::Weak | Suspicion::Strong => self.units.len(),
            },
            interfering_runs,
            lacks_long_running: step.is_long_running && self.long_running_runs == 0,
            cpu_left_millis: self.free_capacity.minus(&step.reservation()).cpu_millis,
        }
    }
}

impl Scheduler {
    /// Returns the workers of a pool that accept new runs.
    pub(crate) fn candidates(&self, pool: &PoolName, now: Moment) -> Candidates {
        let workers = self.workers.values().filter(|worker| worker.registration.pool == *pool);
        let accepting = workers.filter(|worker| self.accepts_runs(worker, now));
        let workers: Vec<Candidate> = accepting.map(|worker| self.candidate(worker, now)).collect();
        let has_cold = workers.iter().any(|worker| worker.is_cold);
        Candidates { workers, has_cold, ..Candidates::default() }
    }

    /// Returns true if the worker accepts new runs.
    pub(crate) fn accepts_runs(&self, worker: &Worker, now: Moment) -> bool {
        worker.is_registered
            && !worker.registration.is_draining
            && !worker.is_cordoned
            && worker.is_token_seen
            && !self.is_evacuated(&worker.registration.zone)
            // The resources that an unexpected run takes are not always known.
            && worker.unexpected_runs == 0
            && now >= worker.backoff_until
            && worker.is_in_contact(self.settings.contact_max, now)
            && !self.failure_history.is_quarantined(&worker.registration.id, now)
    }

    fn candidate(&self, worker: &Worker, now: Moment) -> Candidate {
        let (mut suspect_runs, mut is_reserved) = (0, false);
        for unit in worker.suspects.iter().filter_map(|key| self.unit(key)) {
            let suspicion = unit.suspicion(now);
            let has_just_started = unit
                .run_on(&worker.registration.id)
                .is_some_and(|run| now.saturating_sub(run.started_at(now)) < QUIET_TIME);
            suspect_runs += usize::from(suspicion > Suspicion::None);
            is_reserved |= suspicion == Suspicion::Strong && has_just_started;
        }
        Candidate {
            id: worker.registration.id.clone(),
            free_capacity: worker.free_usable_capacity(now),
            is_cold: worker.is_cold(now),
            rack: worker.rack.clone(),
            labels: worker.registration.labels.clone(),
            units: worker.runs.clone(),
            serving_runs: worker.serving_runs,
            best_effort_runs: worker.best_effort_runs,
            long_running_runs: worker.long_running_runs,
            suspect_runs,
            assignable_runs: self.assignable_runs(worker),
            is_reserved,
            is_reliable: !self.failure_history.has_recent_failure(&worker.registration.id, now),
        }
    }
}
