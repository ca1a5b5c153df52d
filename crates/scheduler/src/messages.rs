//! Messages from and to workers, hosts and the advisor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::FencingToken;
use crate::HostName;
use crate::Moment;
use crate::PoolName;
use crate::WaveId;
use crate::WorkerId;
use crate::ZoneName;
use crate::job::Resources;
use crate::job::UnitKey;
use crate::live_jobs::Phase;
use crate::live_jobs::Run;
use crate::own_clock::OwnClock;
use crate::run_end::EndEvidence;
use crate::run_end::EndedRun;

/// What a worker has registered about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRegistration {
    /// Identifier of the worker process.
    pub id: WorkerId,
    /// Unix time in milliseconds at which this incarnation of the worker started; 0 if unknown.
    pub incarnation_started_ms: u64,
    /// Pool that its host belongs to.
    pub pool: PoolName,
    /// Address of the interface that starts and stops its runs.
    pub address: SocketAddr,
    /// Availability zone of its host.
    pub zone: ZoneName,
    /// Labels; the first is the kind of worker, the second its rack.
    pub labels: Arc<[String]>,
    /// Resources that it offers to runs.
    pub capacity: Resources,
    /// The worker is leaving: it gets no new runs and its runs are drained.
    pub is_draining: bool,
    /// How much longer the worker is slow after its start; zero if it is warm.
    pub cold_left: Duration,
    /// Monotonic clock of the worker at the registration, in milliseconds.
    pub clock_ms: u64,
    /// Host on which it runs, if it reported one.
    pub host: Option<HostName>,
}

/// A run that a worker reports as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Unit that runs.
    pub unit: UnitKey,
    /// Number of the run, counted up for each unit.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress of the run in percent. For a long-running unit, the part of it that is available.
    pub progress_percent: u32,
    /// Tail latency in milliseconds for serving units, processors in use for others.
    pub load: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The unit succeeded.
    Done,
    /// It failed, through a fault of its own or of the worker.
    Failed,
    /// It was stopped by a command.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another unit of its gang ended.
    Broken,
    /// It waited too long for the other units of its gang to start.
    Alone,
}

/// How a poll of a worker has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The connection broke off before the worker had to reply, as it does when the process ends.
    BrokenOff,
    /// No reply came in time, or nothing listens at the worker's address.
    NoReply,
}

/// Why a run counts as ended although no completion shows how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// A later incarnation of the worker has replied.
    WorkerRestarted,
    /// Another worker process replies at the worker's address.
    WorkerReplaced,
    /// The worker is silent and its lease has expired.
    LeaseExpired,
    /// The worker does not list the run.
    NotListed,
    /// A command to the host has ended the worker.
    HostCommanded,
}

/// The run that the owner knows of a unit.
#[derive(Clone, Debug, PartialEq)]
pub struct AssignedRun {
    /// Worker that the unit is assigned to.
    pub worker: WorkerId,
    /// Number of the run.
    pub number: u32,
    /// What the owner knows about the run.
    pub phase: Phase,
}

impl AssignedRun {
    pub(crate) fn of(run: &Run) -> Self {
        Self { worker: run.worker.clone(), number: run.number, phase: run.phase }
    }
}

/// A worker's report that a run has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Number of the completion in this incarnation of the worker.
    pub number: u64,
    /// Unit whose run has ended.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// What a poll carried to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPoll {
    /// Its fencing token.
    pub token: FencingToken,
    /// Completions up to this number were acknowledged; 0 if none were.
    pub acknowledged_completion: u64,
    /// Completions were to be acknowledged, but not on the connection that it was sent on.
    pub is_acknowledgement_withheld: bool,
    /// When it was sent.
    pub sent_at: Moment,
}

/// Completions that a worker lists, ordered by number.
///
/// A worker lists only so many in one report. What is beyond them shows once they are acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionList {
    /// All that have not been acknowledged.
    Complete(Vec<Completion>),
    /// The first ones. Others may follow.
    Partial(Vec<Completion>),
}

impl CompletionList {
    /// Creates the list of a report that has room for `count_max` completions. A full one may lack
    /// some.
    pub fn of_report(mut completions: Vec<Completion>, count_max: usize) -> Self {
        completions.sort_by_key(|completion| completion.number);
        match completions.len() < count_max {
            true => Self::Complete(completions),
            false => Self::Partial(completions),
        }
    }

    /// Returns the completions in the list.
    pub fn listed(&self) -> &[Completion] {
        match self {
            Self::Complete(completions) | Self::Partial(completions) => completions,
        }
    }

    /// Returns true if the worker may have completions that are not in the list.
    pub fn is_partial(&self) -> bool {
        matches!(self, Self::Partial(_))
    }
}

impl Default for CompletionList {
    fn default() -> Self {
        Self::Complete(Vec::new())
    }
}

/// Runs and completions that a worker lists in reply to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Unix time in milliseconds at which this incarnation of the worker started.
    pub incarnation_started_ms: u64,
    /// Monotonic clock of the worker in milliseconds.
    pub clock_ms: u64,
    /// Runs that have not ended.
    pub running: Vec<RunStatus>,
    /// Completions that have not been acknowledged.
    pub completions: CompletionList,
}

/// Command to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCommand {
    /// Worker that is to run the unit.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token.
    pub token: FencingToken,
    /// Unit to start.
    pub unit: UnitKey,
    /// Number of the run; the worker refuses a number that is too low ([`StartReply::OldRun`]).
    pub run: u32,
    /// Text that is passed to the unit.
    pub spec: Arc<str>,
    /// Time of the worker's clock, in milliseconds, after which the command has no effect.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the advisor, if the queue needs advice.
    pub ticket: Option<Arc<str>>,
    /// Clock of the incarnation that it is meant for.
    pub own_clock: OwnClock,
}

/// Result of a start command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, or had before.
    Started {
        /// Clock of the worker at the reply, in milliseconds; 0 if the reply doesn't tell it.
        clock_ms: u64,
    },
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The number of the run is too low.
    OldRun,
    /// The deadline had passed when the command arrived.
    TooLate,
    /// The worker does not have enough free capacity.
    NoRoom,
    /// The worker did not accept the ticket.
    BadTicket,
    /// The worker refused the command and did nothing.
    Refused,
    /// Another worker process replies at this address.
    OtherInstance,
    /// The command was not sent.
    NotSent,
    /// The command was not sent, since the zone of the worker is evacuated, or may be, or since the
    /// ownership has expired.
    Withheld,
    /// No reply: the command may have taken effect, or may still do so.
    Unknown,
    /// No reply, and no later incarnation than the known one can have got the command.
    UnansweredByKnown,
}

/// State of a host, as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// In service.
    Up,
    /// Moving to another pool.
    Moving,
    /// Under maintenance.
    InMaintenance,
    /// Out of service.
    Down,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Name of the host.
    pub name: HostName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// State of the host.
    pub state: HostState,
    /// Worker on the host, if one is running.
    pub worker: Option<WorkerId>,
}

impl HostEntry {
    /// Creates the entry of a host of which only the name is known.
    pub fn unlisted(name: HostName) -> Self {
        Self { name, pool: "".into(), state: HostState::Down, worker: None }
    }
}

/// Result of a command to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// The command was carried out, now or before.
    Accepted,
    /// Another owner has used a higher fencing token.
    Fenced,
    /// The host is not in service, or its worker is draining.
    Busy,
    /// The host is not part of the wave, or the host or the pool does not exist.
    Invalid,
    /// The command was not carried out and can be retried.
    Refused,
    /// No reply: the command may have been carried out, or may still be.
    Unknown,
}

/// A maintenance wave as operators have requested it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Number of the wave.
    pub id: WaveId,
    /// Names of the hosts to maintain, sorted.
    pub hosts: Vec<HostName>,
    /// Time within which all hosts should be maintained, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of hosts that may be unavailable for the wave at a time.
    pub unavailable_hosts_max: usize,
}

impl Wave {
    /// Returns true if the wave maintains this host.
    pub(crate) fn contains_host(&self, host: &HostName) -> bool {
        self.hosts.binary_search(host).is_ok()
    }
}

/// State of a wave as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    /// Some hosts still have to be maintained.
    Running,
    /// All hosts have been maintained.
    Completed,
}

/// What has become of the evacuation of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationState {
    /// It has begun: nothing starts in the zone.
    Evacuating,
    /// Nothing runs in the zone any more.
    Evacuated,
    /// It has ended.
    Returned,
}

/// Workers of a zone, and what runs there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneRuns {
    /// Registered workers.
    pub workers: usize,
    /// Runs of long-running units.
    pub long_running: usize,
    /// Runs of finite units.
    pub finite: usize,
}

impl ZoneRuns {
    /// Returns true if nothing runs in the zone.
    pub fn is_empty(&self) -> bool {
        self.long_running + self.finite == 0
    }
}

/// A decision that the owner has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts a run.
    Start(StartCommand),
    /// Stops a run.
    Stop {
        /// Worker that has the run.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// Fencing token.
        token: FencingToken,
        /// Unit to stop.
        unit: UnitKey,
        /// Number of the run.
        run: u32,
    },
    /// Limits the speed of a run.
    LimitSpeed {
        /// Worker that has the run.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// Fencing token.
        token: FencingToken,
        /// Unit to slow down or speed up.
        unit: UnitKey,
        /// Number of the run.
        run: u32,
        /// Speed limit in percent; 100 is full speed.
        percent: u32,
    },
    /// Asks the advisor which workers may run a step.
    RequestAdvice {
        /// Any unit of the step.
        unit: UnitKey,
        /// Workers to ask about.
        workers: Vec<WorkerId>,
    },
    /// Moves a host to another pool.
    MoveHost {
        /// Host to move.
        host: HostName,
        /// Pool to move it to.
        pool: PoolName,
    },
    /// Starts the maintenance of a host.
    MaintainHost {
        /// Host to maintain.
        host: HostName,
        /// Wave that the maintenance belongs to.
        wave: WaveId,
    },
    /// Reports the state of a wave to operators.
    WaveStatus {
        /// Number of the wave.
        wave: WaveId,
        /// State to report.
        state: WaveState,
    },
    /// Writes a log line about runs that count as ended although no completion shows how.
    LogLostRuns {
        /// Worker that had the runs.
        worker: WorkerId,
        /// Unit and number of each run, and what shows that it has ended.
        runs: Vec<(UnitKey, u32, EndEvidence)>,
    },
    /// Writes log lines about runs whose completions a worker has listed.
    LogEndedRuns {
        /// Worker that had the runs.
        worker: WorkerId,
        /// Unit, number and outcome of each run.
        runs: Vec<(UnitKey, u32, RunOutcome)>,
    },
    /// Writes a log line about a unit that is started again.
    LogRestartedUnit {
        /// Worker that is to run the unit.
        worker: WorkerId,
        /// The unit.
        unit: UnitKey,
        /// Number of the new run.
        run: u32,
        /// The run before.
        ended: EndedRun,
        /// Time since the owner learned that the run before had ended.
        since_end: Duration,
    },
    /// Writes a log line about a run that should not be on the worker that lists it.
    LogUnexpectedRun {
        /// Worker that lists the run.
        worker: WorkerId,
        /// Unit of the run.
        unit: UnitKey,
        /// Number of the run.
        run: u32,
        /// The run that the unit is known to have; `None` if the unit is not known.
        assigned: Option<AssignedRun>,
    },
    /// Writes a log line about the evacuation of a zone.
    LogEvacuation {
        /// The zone.
        zone: ZoneName,
        /// What has become of its evacuation.
        state: EvacuationState,
        /// What is left there.
        runs: ZoneRuns,
    },
    /// Writes a log line about a decision.
    LogDecision {
        /// What was decided, one of a few fixed texts.
        what: &'static str,
        /// Unit, worker or host that the decision is about.
        subject: String,
        /// Inputs that led to the decision.
        why: String,
    },
}
