//! Evidence that a run has ended, or never began.
//!
//! A unit is started again only once its earlier run has ended, and each way in which the owner can
//! know that has a constructor here. Only these make a [`RunEnd`], without which no run can be
//! removed ([`Scheduler::remove_run`](crate::Scheduler)). The evidence is kept until the unit's next
//! run starts, and logged with it.
//!
//! That a report leaves a run out shows something only if the report is complete: a worker lists a
//! limited number of completions at a time, and a run that has ended may be beyond them. Such
//! evidence takes an [`AbsentRun`], which only a complete report gives.

use std::time::Duration;

use crate::Moment;
use crate::WorkerId;
use crate::job::UnitKey;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::messages::Completion;
use crate::messages::LossCause;
use crate::messages::RunOutcome;
use crate::messages::StartReply;
use crate::messages::WorkerReport;
use crate::worker::Worker;

/// What shows that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// The worker has listed a completion of this run, or of a later one of the unit.
    Completion(RunOutcome),
    /// The start command was not sent and won't be.
    NotSent,
    /// The worker has refused the start command, or it was withheld.
    NotStarted(StartReply),
    /// A complete report that was requested after the start was confirmed leaves the run out.
    AbsentAfterStart,
    /// A complete report that was requested after the reply to a stop command leaves the run out.
    /// Since that reply, the worker refuses the start.
    AbsentAfterStop,
    /// A complete report leaves the run out, and the worker's clock was past the deadline of the
    /// start.
    AbsentAfterDeadline,
    /// A complete report to a later owner leaves the run out. Since that poll, the worker refuses the
    /// start commands of earlier owners.
    AbsentAtTakeover,
    /// A worker lists a run of the unit with a higher number, which was assigned after this one had
    /// ended.
    LaterRun,
    /// The lease of the silent worker has expired.
    LeaseExpired,
    /// A later incarnation of the worker has replied or registered.
    WorkerRestarted,
    /// Another worker replies at the address.
    WorkerReplaced,
    /// The host has accepted a command that terminates the worker.
    HostCommanded,
}

/// Proof that a run has ended or never began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RunEnd {
    evidence: EndEvidence,
}

/// A run that a complete report of its worker leaves out, whose completions have been handled.
pub(crate) struct AbsentRun<'a> {
    run: &'a Run,
}

impl<'a> AbsentRun<'a> {
    /// Returns the run of a unit if the report shows that it is absent.
    pub fn find(report: &WorkerReport, unit: &UnitKey, run: &'a Run) -> Option<Self> {
        let is_complete = !report.completions.is_partial();
        let is_running = report.running.iter().any(|running| running.unit == *unit);
        (is_complete && !is_running).then_some(Self { run })
    }
}

/// The last run of a unit that has ended, and what shows that.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the run.
    pub number: u32,
    /// Worker that it was assigned to.
    pub worker: WorkerId,
    /// What shows that it has ended.
    pub evidence: EndEvidence,
    /// When the owner learned of it.
    pub at: Moment,
}

impl RunEnd {
    /// Returns the end of a run whose completion its worker has listed.
    pub fn listed(run: &Run, completion: &Completion) -> Option<Self> {
        let is_current = run.number <= completion.run;
        is_current.then_some(Self { evidence: EndEvidence::Completion(completion.outcome) })
    }

    /// Returns the end of a run whose start command has not been sent.
    pub fn not_sent(run: &Run) -> Option<Self> {
        (run.phase == Phase::Planned).then_some(Self { evidence: EndEvidence::NotSent })
    }

    /// Returns the end of a run whose start command was not carried out, as the reply to it says.
    pub fn not_started(reply: StartReply) -> Option<Self> {
        match reply {
            StartReply::Started { .. } | StartReply::Unknown | StartReply::UnansweredByKnown => {
                None
            }
            _ => Some(Self { evidence: EndEvidence::NotStarted(reply) }),
        }
    }

    /// Returns the end of a run that is absent from a report of its worker; `None` if it may appear
    /// there later. The poll was sent at `sent_at`.
    pub fn absent(absent: &AbsentRun<'_>, worker: &Worker, sent_at: Moment) -> Option<Self> {
        let run = absent.run;
        let is_stopped = run.stop.and_then(|stop| stop.replied_at).is_some_and(|at| at <= sent_at);
        let has_missed_deadline =
            run.deadline_ms != 0 && worker.is_deadline_past(run.deadline_ms, sent_at);
        let evidence = match run.phase {
            _ if is_stopped => EndEvidence::AbsentAfterStop,
            Phase::Confirmed(at) if at <= sent_at => EndEvidence::AbsentAfterStart,
            Phase::Reported if run.since <= sent_at => EndEvidence::AbsentAfterStart,
            Phase::InDoubt if run.deadline_ms == 0 => EndEvidence::AbsentAtTakeover,
            Phase::InDoubt if has_missed_deadline => EndEvidence::AbsentAfterDeadline,
            _ => return None,
        };
        Some(Self { evidence })
    }

    /// Returns the end of a run in doubt, as a worker lists a run of its unit with the number
    /// `listed`.
    pub fn superseded(run: &Run, listed: u32) -> Option<Self> {
        let is_earlier = run.phase == Phase::InDoubt && run.number < listed;
        is_earlier.then_some(Self { evidence: EndEvidence::LaterRun })
    }

    /// Returns the end of a run on a silent worker whose lease has expired; `lease_max` is the
    /// longest one that it grants.
    pub fn lease_expired(
        run: &Run,
        worker: &Worker,
        lease_max: Duration,
        now: Moment,
    ) -> Option<Self> {
        let over_at = match run.may_be_of_later_incarnation() {
            true => worker.longest_lease_over_at(lease_max),
            false => worker.lease_over_at(),
        };
        let is_expired = now >= over_at;
        is_expired.then_some(Self { evidence: EndEvidence::LeaseExpired })
    }

    /// Returns the end of all runs of an incarnation of a worker that started before `later_ms`, the
    /// start of one that has replied or registered.
    pub fn worker_restarted(started_ms: u64, later_ms: u64) -> Option<Self> {
        let is_later = started_ms != 0 && started_ms < later_ms;
        is_later.then_some(Self { evidence: EndEvidence::WorkerRestarted })
    }

    /// Returns the end of all runs of a worker at whose address another one replies.
    pub fn worker_replaced() -> Self {
        Self { evidence: EndEvidence::WorkerReplaced }
    }

    /// Returns the end of all runs of a worker whose host has accepted a command.
    pub fn host_commanded() -> Self {
        Self { evidence: EndEvidence::HostCommanded }
    }

    /// Returns what shows that the run has ended.
    pub fn evidence(self) -> EndEvidence {
        self.evidence
    }
}

impl EndEvidence {
    /// Returns true if the run may have begun.
    pub(crate) fn may_have_begun(self) -> bool {
        !matches!(self, Self::NotSent | Self::NotStarted(_))
    }

    /// Returns why a run that has no completion was lost; `None` if it was not lost.
    pub fn loss_cause(self) -> Option<LossCause> {
        match self {
            Self::AbsentAfterStart
            | Self::AbsentAfterStop
            | Self::AbsentAfterDeadline
            | Self::AbsentAtTakeover => Some(LossCause::NotListed),
            Self::LeaseExpired => Some(LossCause::LeaseExpired),
            Self::WorkerRestarted => Some(LossCause::WorkerRestarted),
            Self::WorkerReplaced => Some(LossCause::WorkerReplaced),
            Self::HostCommanded => Some(LossCause::HostCommanded),
            Self::Completion(_) | Self::NotSent | Self::NotStarted(_) | Self::LaterRun => None,
        }
    }
}
