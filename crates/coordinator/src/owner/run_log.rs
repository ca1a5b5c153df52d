//! Log lines about runs: what was commanded, how they have ended, and why a unit is started again.

use scheduler::Action;
use scheduler::AssignedRun;
use scheduler::EndEvidence;
use scheduler::EndedRun;
use scheduler::JobId;
use scheduler::RunOutcome;
use scheduler::SortedMap;
use scheduler::StartReply;
use scheduler::UnitKey;
use scheduler::WorkerId;
use serde_json::Value;
use serde_json::json;

use super::Owner;
use crate::job_log::job_line;
use crate::metrics;
use crate::ports::Platform;

impl<P: Platform> Owner<P> {
    /// Logs the runs that are about to start, one line per job.
    pub(super) fn log_starts(&self, actions: &[Action]) {
        let starts = actions.iter().filter_map(|action| match action {
            Action::Start(command) => Some(command),
            _ => None,
        });
        let runs = starts.map(|command| {
            let run = json!([command.unit.to_string(), command.run, &*command.worker]);
            (&command.unit.job, run)
        });
        self.log_runs_by_job("runs-ordered", runs);
    }

    /// Logs the result of a start command that was not carried out, or may not have been.
    pub(super) fn log_not_started(
        &self,
        worker: &WorkerId,
        unit: &UnitKey,
        run: u32,
        reply: StartReply,
    ) {
        let line = job_line("run-not-started", &unit.job)
            .text("unit", unit)
            .field("run", run)
            .field("worker", &**worker)
            .field("epoch", self.epoch)
            .text("reply", format!("{reply:?}"));
        match reply {
            StartReply::Unknown | StartReply::UnansweredByKnown => line.decisive().write(),
            _ => line.write(),
        }
    }

    /// Logs the result of a stop command.
    pub(super) fn log_stopped(
        &self,
        worker: &WorkerId,
        unit: &UnitKey,
        run: u32,
        is_answered: bool,
    ) {
        let line = job_line("run-stopped", &unit.job)
            .text("unit", unit)
            .field("run", run)
            .field("worker", &**worker)
            .field("epoch", self.epoch)
            .field("is_answered", is_answered);
        match is_answered {
            true => line.write(),
            false => line.decisive().write(),
        }
    }

    /// Logs runs whose completions a worker has listed, one line per job.
    pub(super) fn log_ended_runs(&self, worker: &WorkerId, runs: &[(UnitKey, u32, RunOutcome)]) {
        let runs = runs.iter().map(|(unit, number, outcome)| {
            let run = json!([unit.to_string(), number, &**worker, format!("{outcome:?}")]);
            (&unit.job, run)
        });
        self.log_runs_by_job("runs-ended", runs);
    }

    /// Logs runs of a worker that have ended without a completion.
    pub(super) fn log_lost_runs(&self, worker: &WorkerId, runs: &[(UnitKey, u32, EndEvidence)]) {
        self.shared.node.telemetry.count_many(metrics::RUNS_LOST, runs.len() as u64);
        let cause = runs.first().and_then(|(.., evidence)| evidence.loss_cause());
        let rows = runs.iter().map(|(unit, number, evidence)| {
            json!([unit.to_string(), number, &**worker, format!("{evidence:?}")])
        });
        telemetry::log::line("runs-lost")
            .decisive()
            .field("worker", &**worker)
            .text("cause", cause.map(|cause| format!("{cause:?}")).unwrap_or_default())
            .field("runs", rows.collect::<Vec<Value>>())
            .field("epoch", self.epoch)
            .write();
    }

    /// Logs what showed that the run of a unit had ended, as the unit is started again.
    pub(super) fn log_restarted_unit(
        &self,
        worker: &WorkerId,
        unit: &UnitKey,
        run: u32,
        ended: &EndedRun,
        since_end_ms: u64,
    ) {
        job_line("unit-restarted", &unit.job)
            .decisive()
            .text("unit", unit)
            .field("run", run)
            .field("worker", &**worker)
            .field("epoch", self.epoch)
            .field("run_before", ended.number)
            .field("worker_before", &*ended.worker)
            .text("evidence", format!("{:?}", ended.evidence))
            .field("since_end_ms", since_end_ms)
            .write();
    }

    /// Logs a run that should not be on the worker that lists it.
    pub(super) fn log_unexpected_run(
        &self,
        worker: &WorkerId,
        unit: &UnitKey,
        run: u32,
        assigned: Option<&AssignedRun>,
    ) {
        let mut line = job_line("run-unexpected", &unit.job)
            .decisive()
            .text("unit", unit)
            .field("run", run)
            .field("worker", &**worker)
            .field("epoch", self.epoch);
        if let Some(assigned) = assigned {
            line = line
                .field("run_assigned", assigned.number)
                .field("worker_assigned", &*assigned.worker)
                .text("phase", format!("{:?}", assigned.phase));
        }
        line.write();
    }

    /// Logs runs, one line per job.
    fn log_runs_by_job<'a>(
        &self,
        kind: &'static str,
        runs: impl Iterator<Item = (&'a JobId, Value)>,
    ) {
        let mut runs_by_job: SortedMap<JobId, Vec<Value>> = SortedMap::default();
        for (job, run) in runs {
            runs_by_job.entry_or(job.clone(), Vec::new).push(run);
        }
        for (job, runs) in runs_by_job.iter() {
            job_line(kind, job)
                .field("job", &**job)
                .field("runs", runs.clone())
                .field("epoch", self.epoch)
                .write();
        }
    }
}
