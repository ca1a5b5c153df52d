//! Runs that end without a completion, because their worker has ended or is silent.
//!
//! A unit can crash each worker that starts it. A crashed worker lists no completion, so the crash
//! is seen only once another incarnation, or another process, replies at its address. It counts
//! against the units that the worker had just started, and most against the last ones, since one of
//! them may have caused it. These suspects are started apart from each other and from as many other
//! runs as possible, so that the next crash shows which of them it was.

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::live_jobs::FinishState;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::live_jobs::Unit;
use crate::messages::Action;
use crate::progress::CrashedRun;
use crate::progress::StartOrder;
use crate::run_end::RunEnd;
use crate::state::Scheduler;
use crate::worker::Worker;

/// Number of crashes at which the job of a unit fails, if the unit was among the last ones to start
/// each time, and the only one the last time.
const CRASHES_MAX_AS_LAST: usize = 3;
/// Number of crashes at which the job of a unit fails whatever else they hit, unless another unit
/// is known to have started later; those included that are not certain.
const CRASHES_MAX: usize = 5;
/// Number of certain crashes without which a job does not fail.
const CERTAIN_CRASHES_MIN: usize = 2;
/// Maximum time between the start of a run and the last start on its worker for it to be among the
/// last ones.
const LAST_STARTS_SPAN: Duration = Duration::from_millis(150);
/// Time for which reports have to list a run to show that its unit doesn't crash its worker as it starts.
const CLEARED_AFTER: Duration = Duration::from_secs(2);
/// Time before and after the start of a strong suspect in which its worker starts nothing else.
pub(crate) const QUIET_TIME: Duration = Duration::from_millis(300);
/// Time for which a strong suspect waits, after the lease of its silent worker has expired, for the
/// worker to return.
const EVIDENCE_WAIT: Duration = Duration::from_millis(1_500);
/// Age from which a run is not suspected of a crash: a unit that crashes its worker does so as it
/// starts. Leaves time for the owner to send the start and to notice the crash.
const SUSPECT_AGE_MAX: Duration = Duration::from_millis(300);
/// Age from which the unit of a run is not kept apart after a crash.
const LATE_SUSPECT_AGE_MAX: Duration = Duration::from_secs(10);

/// How likely it is that a unit crashes the worker that starts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// No worker has crashed under it, or its run has lasted.
    #[default]
    None,
    /// A worker has crashed under it.
    Weak,
    /// At the next crash, its job may have to fail.
    Strong,
}

impl Unit {
    /// Returns how likely it is that the unit crashes its worker.
    pub(crate) fn suspicion(&self, now: Moment) -> Suspicion {
        let has_lasted = |run: &Run| now.saturating_sub(run.started_at(now)) > SUSPECT_AGE_MAX;
        if self.crashed_runs.is_empty() || self.run.as_ref().is_some_and(has_lasted) {
            return Suspicion::None;
        }
        let is_strong = self.crashes_when_last() + 1 >= CRASHES_MAX_AS_LAST
            || self.possible_crashes() + 1 >= CRASHES_MAX;
        if is_strong { Suspicion::Strong } else { Suspicion::Weak }
    }

    /// Returns true if crashes count against the unit although its run has shown that it doesn't crash its
    /// worker as it starts.
    pub(crate) fn may_be_cleared(&self) -> bool {
        let has_lasted =
            |run: &Run| run.listed_at.saturating_sub(run.first_listed_at) >= CLEARED_AFTER;
        self.crashed_runs.iter().any(CrashedRun::may_be_cause)
            && self.run.as_ref().is_some_and(has_lasted)
    }

    /// Returns the number of certain crashes for which the unit was among the last ones to start.
    fn crashes_when_last(&self) -> usize {
        let is_last = |run: &&CrashedRun| run.start_order == StartOrder::Last && run.is_certain;
        self.crashed_runs.iter().filter(is_last).count()
    }

    /// Returns the number of crashes, those included that are not certain, before which no other
    /// unit is known to have started later.
    fn possible_crashes(&self) -> usize {
        self.crashed_runs.iter().filter(|run| run.may_be_cause()).count()
    }
}

impl CrashedRun {
    /// Returns true unless another unit is known to have started later.
    fn may_be_cause(&self) -> bool {
        self.start_order != StartOrder::Earlier
    }
}

impl Scheduler {
    /// Handles the end of a worker that another incarnation or another process has replaced.
    /// Nothing of it is running any more.
    pub(crate) fn handle_worker_end(&mut self, id: &str, end: RunEnd, now: Moment) {
        let mut suspects = self.suspects_on(id);
        suspects.extend(self.silent_suspects.remove(id).unwrap_or_default());
        for (_, run) in &mut suspects {
            run.is_certain = true;
        }
        self.remove_runs_on(id, end, now);
        self.count_crash(&suspects, now);
    }

    /// Removes runs of a silent worker that have ended with its lease. It may have crashed.
    pub(crate) fn handle_lease_expiry(
        &mut self,
        id: &WorkerId,
        ended: &[(UnitKey, RunEnd)],
        now: Moment,
    ) {
        let mut suspects = self.suspects_on(id);
        suspects.retain(|(key, _)| ended.iter().any(|(unit, _)| unit == key));
        if !suspects.is_empty() {
            let silent = self.silent_suspects.entry_or(id.clone(), Vec::new);
            silent.extend(suspects.iter().cloned());
        }
        self.remove_lost_runs(id, ended, now);
        self.count_crash(&suspects, now);
    }

    /// Handles the reply of a worker that was silent and has not crashed.
    pub(crate) fn handle_worker_return(&mut self, id: &str) {
        for (key, run) in self.silent_suspects.remove(id).unwrap_or_default() {
            if let Some(unit) = self.open_unit_mut(&key) {
                unit.crashed_runs.retain(|other| other.number != run.number);
                self.mark_dirty(&key.job);
            }
        }
    }

    /// Forgets the crashes that may have come from a unit as it started. It stays apart from others
    /// after crashes that came later.
    pub(crate) fn clear_suspect(&mut self, id: &WorkerId, key: &UnitKey) {
        let Some(unit) = self.open_unit_mut(key) else {
            return;
        };
        unit.crashed_runs.retain(|run| !run.may_be_cause());
        let is_suspect = !unit.crashed_runs.is_empty();
        if let Some(worker) = self.workers.get_mut(id).filter(|_| !is_suspect) {
            worker.suspects.retain(|suspect| suspect != key);
        }
        self.mark_dirty(&key.job);
        self.log_decision("unit cleared", key, format!("worker={id}"));
    }

    /// Removes all runs on a worker, which have ended.
    pub(crate) fn remove_runs_on(&mut self, id: &str, end: RunEnd, now: Moment) {
        let units = self.workers.get(id).map(|worker| worker.runs.as_slice()).unwrap_or_default();
        let ended: Vec<(UnitKey, RunEnd)> = units.iter().map(|key| (key.clone(), end)).collect();
        self.remove_lost_runs(id, &ended, now);
    }

    /// Removes runs of a worker that have ended without a completion.
    pub(crate) fn remove_lost_runs(&mut self, id: &str, ended: &[(UnitKey, RunEnd)], now: Moment) {
        let mut runs = Vec::with_capacity(ended.len());
        for (key, end) in ended {
            if let Some(run) = self.remove_run(key, id, *end, now) {
                self.keep_checkpoint(key, &run);
                runs.push((key.clone(), run.number, end.evidence()));
            }
            self.remove_finished(&key.job, now);
        }
        if !runs.is_empty() {
            self.actions.push(Action::LogLostRuns { worker: WorkerId::from(id), runs });
        }
    }

    /// Lets the next run of a unit resume from the last checkpoint that reports of a lost run have
    /// listed.
    fn keep_checkpoint(&mut self, key: &UnitKey, run: &Run) {
        if run.checkpoint.is_empty() {
            return;
        }
        if let Some(unit) = self.open_unit_mut(key) {
            unit.checkpoint.clone_from(&run.checkpoint);
            self.mark_dirty(&key.job);
        }
    }

    /// Returns the units one of which has crashed the worker if it has ended.
    fn suspects_on(&self, id: &str) -> Vec<(UnitKey, CrashedRun)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        // A worker that leaves ends without a fault of its runs.
        if worker.registration.is_draining {
            return Vec::new();
        }
        let suspects = self.suspects_up_to(worker, SUSPECT_AGE_MAX);
        match suspects.is_empty() {
            true => self.suspects_up_to(worker, LATE_SUSPECT_AGE_MAX),
            false => suspects,
        }
    }

    /// Returns the units whose runs on a worker were at most `age_max` old when it last showed that it
    /// was alive.
    fn suspects_up_to(&self, worker: &Worker, age_max: Duration) -> Vec<(UnitKey, CrashedRun)> {
        let last_start = self.last_confirmed_start(worker);
        let crashed_run = |run: &Run| CrashedRun {
            number: run.number,
            start_order: match start_order(run, last_start) {
                StartOrder::Last if age_max > SUSPECT_AGE_MAX => StartOrder::Earlier,
                order => order,
            },
            is_certain: false,
        };
        let runs = self.runs_on(worker).filter(|(_, run)| may_have_crashed(run, worker, age_max));
        runs.map(|(key, run)| (key.clone(), crashed_run(run))).collect()
    }

    /// Returns the start of the last run of a worker that has confirmed it.
    pub(crate) fn last_confirmed_start(&self, worker: &Worker) -> Moment {
        let confirmed = self.runs_on(worker).filter(|(_, run)| has_known_start(run));
        confirmed.map(|(_, run)| run.since).max().unwrap_or_default()
    }

    /// Returns when a worker has last started one of its runs; now if one is about to start.
    pub(crate) fn last_start_on(&self, id: &str, now: Moment) -> Moment {
        let runs = self.workers.get(id).into_iter().flat_map(|worker| self.runs_on(worker));
        runs.map(|(_, run)| run.started_at(now)).max().unwrap_or_default()
    }

    pub(crate) fn runs_on<'a>(
        &'a self,
        worker: &'a Worker,
    ) -> impl Iterator<Item = (&'a UnitKey, &'a Run)> {
        let id = &worker.registration.id;
        worker.runs.iter().filter_map(|key| Some((key, self.run_on(key, id)?)))
    }

    /// Returns true if a unit has to wait until it is known whether its last workers have crashed:
    /// if they have, it must not be started any more.
    pub(crate) fn awaits_crash_evidence(&self, key: &UnitKey, unit: &Unit, now: Moment) -> bool {
        let mut silent_suspects = self.silent_suspects.values().flatten();
        let waited = now.saturating_sub(unit.last_unavailable_at);
        let must_wait = unit.possible_crashes() >= CRASHES_MAX
            || (unit.suspicion(now) == Suspicion::Strong && waited < EVIDENCE_WAIT);
        must_wait && silent_suspects.any(|(suspect, _)| suspect == key)
    }

    /// Counts a crash, or what may be one, against the units that may have caused it.
    fn count_crash(&mut self, suspects: &[(UnitKey, CrashedRun)], now: Moment) {
        for (key, run) in suspects {
            if let Some(unit) = self.open_unit_mut(key) {
                unit.crashed_runs.retain(|other| other.number != run.number);
                unit.crashed_runs.push(*run);
                let excess = unit.crashed_runs.len().saturating_sub(CRASHES_MAX);
                unit.crashed_runs.drain(..excess);
                self.mark_dirty(&key.job);
            }
        }
        let last_starts = suspects.iter().filter(|(_, run)| run.start_order == StartOrder::Last);
        let has_single_last_start = last_starts.count() == 1;
        for (key, run) in suspects {
            let is_only_last = has_single_last_start && run.start_order == StartOrder::Last;
            self.give_up_if_harmful(key, is_only_last, now);
        }
    }

    /// Returns a unit that has not finished, of a job that has not ended.
    fn open_unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        self.jobs.get(&key.job).filter(|job| job.final_state.is_none())?;
        self.unit_mut(key).filter(|unit| unit.finish_state == FinishState::Unfinished)
    }

    /// Fails the job of a unit if enough crashes count against it. `is_only_last` tells that no
    /// other unit was among the last starts before the latest crash.
    fn give_up_if_harmful(&mut self, key: &UnitKey, is_only_last: bool, now: Moment) {
        // A long-running unit has to be started again however it ends.
        if self.is_long_running(key) {
            return;
        }
        let Some(unit) = self.open_unit_mut(key) else {
            return;
        };
        let last = unit.crashes_when_last();
        let crashes = unit.possible_crashes();
        let certain = unit.crashed_runs.iter().filter(|run| run.is_certain).count();
        let is_proven = is_only_last && last >= CRASHES_MAX_AS_LAST;
        if is_proven || (crashes >= CRASHES_MAX && certain >= CERTAIN_CRASHES_MIN) {
            let why = format!("crashed_workers={crashes} certain={certain} last={last}");
            self.fail_job(key, why, now);
        }
    }
}

/// Returns when a run was started, compared with the last start that its worker has confirmed.
fn start_order(run: &Run, last_confirmed_start: Moment) -> StartOrder {
    if precedes(run, last_confirmed_start) {
        StartOrder::Earlier
    } else if has_known_start(run) {
        StartOrder::Last
    } else {
        StartOrder::Unknown
    }
}

/// Returns true if the worker of a run has confirmed others that were started after it.
pub(crate) fn precedes(run: &Run, last_confirmed_start: Moment) -> bool {
    // A planned run will be started after all others.
    let is_older =
        run.phase != Phase::Planned && run.since + LAST_STARTS_SPAN < last_confirmed_start;
    run.precedes_others || is_older
}

/// Returns true if it is known that the run has started, and when: the start command of a run in
/// doubt may have been sent only after a crash.
fn has_known_start(run: &Run) -> bool {
    let is_confirmed = matches!(run.phase, Phase::Confirmed(_) | Phase::Reported);
    is_confirmed && run.deadline_ms != 0
}

/// Returns true if the run may have crashed its worker, should the worker have ended, and was at
/// most `age_max` old then.
fn may_have_crashed(run: &Run, worker: &Worker, age_max: Duration) -> bool {
    let has_started = match run.phase {
        // A command that is still unanswered was sent long after the crash.
        Phase::Planned | Phase::Commanded => false,
        Phase::Confirmed(_) | Phase::Reported | Phase::InDoubt => true,
    };
    let age = worker.last_alive_at().map_or(Duration::ZERO, |at| at.saturating_sub(run.since));
    has_started && age <= age_max
}
