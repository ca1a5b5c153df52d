//! Reservations of workers for wide steps.
//!
//! The load: a gang, or a step with several large units, waits in a stream of small units. Each
//! time a little capacity becomes free, a small unit takes it, so that there is never enough of it
//! at once. The step then gets a reservation: the workers that will be free first are held for it.
//! Other units start there only if they are expected to end before the reservation starts.
//!
//! A pool has at most one reservation, of at most a quarter of the workers that could run the
//! step. Long-running units and units of more urgent queues are not held back by it.

use std::time::Duration;

use crate::Moment;
use crate::PoolName;
use crate::WorkerId;
use crate::job::Step;
use crate::job::UnitKey;
use crate::plan::Placement;
use crate::plan::WaitingStep;
use crate::policies::Policy;
use crate::sorted_map::SortedMap;
use crate::state::Scheduler;
use crate::worker_slots::BusyWorker;
use crate::worker_slots::FirstWorkers;
use crate::worker_slots::WorkerSlots;
use crate::worker_slots::choose_workers;

/// Time for which a step must have waited for capacity.
const WAITED_MIN: Duration = Duration::from_millis(500);
/// Minimum number of waiting units of a step that is not a gang.
const UNITS_MIN: usize = 4;
/// A reservation takes at most one worker out of this many.
const WORKERS_DIVISOR: usize = 4;
/// Minimum time between two attempts to make a reservation in a pool, which bounds their cost.
const ATTEMPT_PERIOD: Duration = Duration::from_millis(250);
/// Maximum number of steps for which an attempt looks for workers.
const STEPS_TRIED_MAX: usize = 4;
/// The step should start within this multiple of the longest expected run in the pool, counted from
/// the reservation. If it has not after twice that time, the reservation ends.
const WAIT_FACTOR: u32 = 2;
/// Maximum number of steps in a pool whose waiting time is known, the first ones in order.
const WAITING_STEPS_MAX: usize = 16;

/// Workers that are held for a step.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Unit 0 of the step.
    first_unit: UnitKey,
    /// Priority number of its queue.
    queue_priority: u32,
    /// Workers that are held, sorted.
    workers: Vec<WorkerId>,
    /// When they are expected to have enough capacity.
    starts_at: Moment,
    /// When the reservation was made.
    made_at: Moment,
    /// When it ends if the step has not started.
    ends_at: Moment,
}

/// A wide step that waits for capacity.
#[derive(Clone, Debug)]
struct StarvedStep {
    first_unit: UnitKey,
    since: Moment,
    /// Units behind it in the order have started meanwhile.
    is_passed: bool,
}

/// Reservations of a pool, and the steps that may get one.
#[derive(Clone, Debug, Default)]
struct PoolReservations {
    current: Option<Reservation>,
    /// Wide steps without capacity, in the order of placement.
    starved: Vec<StarvedStep>,
    attempted_at: Moment,
    /// Step whose reservation has ended before the step could start, and until when others get
    /// their turn.
    expired: Option<(UnitKey, Moment)>,
}

/// Reservations of all pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    pools: SortedMap<PoolName, PoolReservations>,
}

/// Results of placing the steps of a pool, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementResults<'a> {
    /// Steps that lack capacity, with their positions in the order.
    without_capacity: Vec<(usize, &'a WaitingStep)>,
    /// Position of the last step whose units were all placed.
    last_placed: usize,
    count: usize,
}

impl<'a> PlacementResults<'a> {
    /// Records the result for the next step in the order.
    pub fn push(&mut self, step: &'a WaitingStep, placement: Placement) {
        self.count += 1;
        match placement {
            Placement::All | Placement::Yielded => self.last_placed = self.count,
            Placement::NoCapacity => self.without_capacity.push((self.count, step)),
            Placement::Blocked => {}
        }
    }

    /// Returns the step with this unit 0 if it lacks capacity.
    fn without_capacity(&self, first_unit: &UnitKey) -> Option<&'a WaitingStep> {
        let found = self.without_capacity.iter().find(|(_, step)| step.first_unit == *first_unit);
        found.map(|(_, step)| *step)
    }
}

impl Reservation {
    /// Returns true if the worker is held.
    fn holds(&self, worker: &WorkerId) -> bool {
        self.workers.binary_search(worker).is_ok()
    }

    fn is_for(&self, key: &UnitKey) -> bool {
        is_same_step(&self.first_unit, key)
    }
}

impl Scheduler {
    /// Returns a function that tells whether a unit may start on a worker: the advisor allows it,
    /// and the worker is not held for another step.
    pub(crate) fn worker_filter<'a>(
        &'a self,
        key: &'a UnitKey,
        now: Moment,
    ) -> impl Fn(&WorkerId) -> bool + 'a {
        let is_advised = self.advice_filter(key, now);
        let reservation = self.reservation_against(key, now);
        move |worker| is_advised(worker) && !reservation.is_some_and(|held| held.holds(worker))
    }

    /// Returns true if a unit must leave the workers alone that are held for another step.
    pub(crate) fn is_held_back(&self, key: &UnitKey, now: Moment) -> bool {
        self.reservation_against(key, now).is_some()
    }

    /// Returns the reservation that a unit must leave alone; `None` if there is none, or if the
    /// unit is expected to end before it starts.
    fn reservation_against(&self, key: &UnitKey, now: Moment) -> Option<&Reservation> {
        if self.reservations.pools.is_empty() {
            return None;
        }
        let job = self.jobs.get(&key.job)?;
        let step = job.record.steps.get(key.step)?;
        let pool = self.reservations.pools.get(&self.pool_of(job))?;
        let reservation = pool.current.as_ref()?;
        let is_exempt = reservation.is_for(key)
            || step.is_long_running
            || self.queue_priority(&job.record.queue) < reservation.queue_priority;
        let end_at = now + self.durations.expected(&job.record, step);
        (!is_exempt && end_at > reservation.starts_at).then_some(reservation)
    }

    /// Updates the reservation of a pool after a placement there.
    pub(crate) fn update_reservation(
        &mut self,
        pool: &PoolName,
        results: &PlacementResults<'_>,
        now: Moment,
    ) {
        if !self.settings.policies.enables(Policy::WideSteps) {
            return;
        }
        let mut state = self.reservations.pools.remove(pool).unwrap_or_default();
        state.starved = self.starved_steps(&state.starved, results, now);
        if let Some(reservation) = state.current.take() {
            state.current = self.keep_reservation(reservation, pool, results, &mut state, now);
        }
        let is_due = now.saturating_sub(state.attempted_at) >= ATTEMPT_PERIOD;
        if state.current.is_none() && is_due {
            state.attempted_at = now;
            state.current = self.make_reservation(pool, &state, results, now);
        }
        if state.current.is_some() || !state.starved.is_empty() || state.expired.is_some() {
            self.reservations.pools.insert(pool.clone(), state);
        }
    }

    /// Ends the reservations of pools in which nothing waits.
    pub(crate) fn end_reservations(&mut self, is_waiting: impl Fn(&PoolName) -> bool) {
        let pools = self.reservations.pools.iter().filter(|(pool, _)| !is_waiting(pool));
        let ended: Vec<PoolName> = pools.map(|(pool, _)| pool.clone()).collect();
        for pool in ended {
            let state = self.reservations.pools.remove(&pool);
            if let Some(reservation) = state.and_then(|state| state.current) {
                self.log_end(&reservation, &pool, "nothing waits");
            }
        }
    }

    /// Returns the first wide steps in order that lack capacity.
    fn starved_steps(
        &self,
        previous: &[StarvedStep],
        results: &PlacementResults<'_>,
        now: Moment,
    ) -> Vec<StarvedStep> {
        let wide = results.without_capacity.iter().filter(|(_, waiting)| self.is_wide(waiting));
        let starved = wide.take(WAITING_STEPS_MAX).map(|(position, waiting)| {
            let known = previous.iter().find(|step| step.first_unit == waiting.first_unit);
            StarvedStep {
                first_unit: waiting.first_unit.clone(),
                since: known.map_or(now, |step| step.since),
                is_passed: results.last_placed > *position
                    || known.is_some_and(|step| step.is_passed),
            }
        });
        starved.collect()
    }

    fn is_wide(&self, waiting: &WaitingStep) -> bool {
        self.step_of(&waiting.first_unit).is_some_and(|step| {
            !step.is_long_running && (step.is_gang || waiting.units.len() >= UNITS_MIN)
        })
    }

    /// Returns the reservation if it goes on, with other workers if one was lost.
    fn keep_reservation(
        &mut self,
        reservation: Reservation,
        pool: &PoolName,
        results: &PlacementResults<'_>,
        state: &mut PoolReservations,
        now: Moment,
    ) -> Option<Reservation> {
        let Some(waiting) = results.without_capacity(&reservation.first_unit) else {
            self.log_end(&reservation, pool, "the step has started or no longer lacks capacity");
            return None;
        };
        if now >= reservation.ends_at {
            self.log_end(&reservation, pool, "its time is over");
            let pause = reservation.ends_at - reservation.made_at;
            state.expired = Some((reservation.first_unit, now + pause));
            return None;
        }
        let is_lost = |id: &WorkerId| {
            self.workers.get(id).is_none_or(|worker| !self.is_dependable(worker, now))
        };
        if !reservation.workers.iter().any(is_lost) {
            return Some(reservation);
        }
        let first = self.workers_free_first(&self.busy_workers(pool, now), waiting, now);
        let Some(FirstWorkers { workers, starts_at }) = first else {
            self.log_end(&reservation, pool, "too few workers are left");
            return None;
        };
        let reservation = Reservation { workers, starts_at, ..reservation };
        self.log_reserved(&reservation, pool, now);
        Some(reservation)
    }

    /// Makes a reservation for the first step in order that is entitled to one and could use it.
    fn make_reservation(
        &mut self,
        pool: &PoolName,
        state: &PoolReservations,
        results: &PlacementResults<'_>,
        now: Moment,
    ) -> Option<Reservation> {
        let has_expired = |key: &UnitKey| {
            state.expired.as_ref().is_some_and(|(expired, until)| expired == key && now < *until)
        };
        let entitled = state.starved.iter().filter(|step| {
            step.is_passed
                && now.saturating_sub(step.since) >= WAITED_MIN
                && !has_expired(&step.first_unit)
        });
        let mut entitled = entitled.take(STEPS_TRIED_MAX).peekable();
        entitled.peek()?;
        let busy_workers = self.busy_workers(pool, now);
        // Without any run that ends, no capacity will become free.
        let longest_run = busy_workers.iter().map(BusyWorker::longest_run).max()?;
        if longest_run.is_zero() {
            return None;
        }
        let reservation = entitled.find_map(|step| {
            let waiting = results.without_capacity(&step.first_unit)?;
            let first = self.workers_free_first(&busy_workers, waiting, now)?;
            let FirstWorkers { workers, starts_at } = first;
            Some(Reservation {
                first_unit: waiting.first_unit.clone(),
                queue_priority: waiting.priority.queue_priority,
                workers,
                starts_at,
                made_at: now,
                ends_at: now + longest_run * WAIT_FACTOR * 2,
            })
        })?;
        self.log_reserved(&reservation, pool, now);
        Some(reservation)
    }

    /// Returns the workers that will be the first to have capacity for the waiting units of a step;
    /// `None` if the step needs too many workers.
    fn workers_free_first(
        &self,
        busy_workers: &[BusyWorker<'_>],
        waiting: &WaitingStep,
        now: Moment,
    ) -> Option<FirstWorkers> {
        let key = &waiting.first_unit;
        let step = self.step_of(key)?;
        let is_waiting = |index: &&usize| {
            let unit = self.unit(&UnitKey { index: **index, ..key.clone() });
            unit.is_some_and(|unit| unit.run.is_none())
        };
        let count = waiting.units.iter().filter(is_waiting).count();
        let slots = busy_workers.iter().filter_map(|worker| worker.slots(key, step, now));
        let slots: Vec<WorkerSlots<'_>> = slots.collect();
        choose_workers(&slots, count, slots.len() / WORKERS_DIVISOR)
    }

    fn step_of(&self, key: &UnitKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.record.steps.get(key.step)
    }

    fn queue_priority(&self, queue: &str) -> u32 {
        self.config.queues.get(queue).map_or(u32::MAX, |queue| queue.priority)
    }

    fn log_reserved(&mut self, reservation: &Reservation, pool: &PoolName, now: Moment) {
        let workers: Vec<&str> = reservation.workers.iter().map(|id| &**id).collect();
        let why = format!(
            "pool={pool} workers={} starts_in_ms={} ends_in_ms={}",
            workers.join(","),
            reservation.starts_at.saturating_sub(now).as_millis(),
            reservation.ends_at.saturating_sub(now).as_millis()
        );
        self.log_decision("workers reserved", &reservation.first_unit, why);
    }

    fn log_end(&mut self, reservation: &Reservation, pool: &PoolName, cause: &str) {
        let why = format!("pool={pool} cause={cause}");
        self.log_decision("reservation ended", &reservation.first_unit, why);
    }
}

pub(crate) fn is_same_step(key: &UnitKey, other: &UnitKey) -> bool {
    key.job == other.job && key.occurrence == other.occurrence && key.step == other.step
}
