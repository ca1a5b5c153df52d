//! What workers, hosts and advisors say, and what they are told.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::HostName;
use crate::PoolName;
use crate::WaveId;
use crate::WorkerId;
use crate::job::Resources;
use crate::job::UnitKey;

/// What a worker has registered about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerRegistration {
    /// Id.
    pub id: WorkerId,
    /// When this life of the worker began, in milliseconds since the Unix epoch; 0 if unknown.
    pub incarnation_started_ms: u64,
    /// Pool.
    pub pool: PoolName,
    /// Address of its task interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Its labels; its rack is one of them.
    pub labels: Arc<[String]>,
    /// What it has.
    pub capacity: Resources,
    /// True if it is leaving.
    pub is_draining: bool,
    /// Its steady clock, in milliseconds, when it registered.
    pub clock_ms: u64,
    /// Host on which it runs, if it said so.
    pub host: Option<HostName>,
}

/// A unit at work.
#[derive(Clone, Debug, PartialEq)]
pub struct RunStatus {
    /// Unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: u32,
    /// State that it has saved; empty if none.
    pub checkpoint: String,
    /// How far it is, or how much of it is at work, in percent.
    pub progress_percent: u32,
    /// Tail of its response times in milliseconds if it serves, processors in use otherwise.
    pub load: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It did what it should.
    Done,
    /// It failed, by its own or its worker's fault.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The lease of its worker lapsed.
    Lapsed,
    /// Another unit of its gang ended.
    Broken,
    /// It waited in vain for the others of its gang.
    Alone,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// Unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub outcome: RunOutcome,
    /// State that it has saved; empty if none.
    pub checkpoint: String,
}

/// What a worker runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// When this life of the worker began, in milliseconds since the Unix epoch.
    pub incarnation_started_ms: u64,
    /// The worker's steady clock in milliseconds.
    pub clock_ms: u64,
    /// Units at work.
    pub running: Vec<RunStatus>,
    /// Ends that are not acknowledged yet, in order.
    pub completions: Vec<Completion>,
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCommand {
    /// Worker.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Unit.
    pub unit: UnitKey,
    /// Number of the run.
    pub run: u32,
    /// Text that the unit is started with.
    pub spec: Arc<str>,
    /// Time of the worker's clock, in milliseconds, after which the order has no effect.
    pub deadline_ms: u64,
    /// State to resume from; empty if none.
    pub checkpoint: String,
    /// Ticket of the advisor.
    pub ticket: Option<Arc<str>>,
}

/// What became of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The number of the run is too low.
    OldRun,
    /// The deadline had passed.
    TooLate,
    /// The worker has no room.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// The worker did nothing.
    Refused,
    /// Another life of a worker answers at this address.
    OtherInstance,
    /// The order was not sent.
    NotSent,
    /// No answer; the order may have been or may yet be carried out.
    Unknown,
}

/// State of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// Works.
    Up,
    /// On its way to another pool.
    Moving,
    /// Being maintained.
    InMaintenance,
    /// Does not work.
    Down,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Name.
    pub name: HostName,
    /// Pool.
    pub pool: PoolName,
    /// State.
    pub state: HostState,
    /// Its worker, if it has one.
    pub worker: Option<WorkerId>,
}

/// What became of an order to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// It is done, or was done already.
    Accepted,
    /// Another holder has used a higher fencing token.
    Fenced,
    /// The host is not up, or its worker is leaving.
    Busy,
    /// The host is not one of this wave, or there is no such host or pool.
    Invalid,
    /// Not carried out; may be tried again.
    Refused,
    /// No answer; it may have been or may yet be carried out.
    Unknown,
}

/// A maintenance wave as operators ask for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Number.
    pub id: WaveId,
    /// Hosts to be maintained, sorted.
    pub hosts: Vec<HostName>,
    /// Time in which all should be maintained, in milliseconds.
    pub duration_ms: u64,
    /// Hosts that may be down for it at a time.
    pub unavailable_hosts_max: usize,
}

impl Wave {
    /// True if a host is to be maintained for it.
    pub(crate) fn holds(&self, host: &HostName) -> bool {
        self.hosts.binary_search(host).is_ok()
    }
}

/// State of a wave as it is told to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    /// Hosts are still to be maintained.
    Running,
    /// All hosts have been maintained.
    Completed,
}

/// What the owner has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a run.
    Start(StartCommand),
    /// Stop a run.
    Stop {
        /// Worker.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// Unit.
        unit: UnitKey,
        /// Number of the run.
        run: u32,
    },
    /// Let a run work at a share of its speed.
    LimitSpeed {
        /// Worker.
        worker: WorkerId,
        /// Address of the worker.
        address: SocketAddr,
        /// Unit.
        unit: UnitKey,
        /// Number of the run.
        run: u32,
        /// Share, in percent.
        percent: u32,
    },
    /// Ask the advisor which workers may run a step.
    RequestAdvice {
        /// A unit of the step.
        unit: UnitKey,
        /// Workers to ask about.
        workers: Vec<WorkerId>,
    },
    /// Move a host to another pool.
    MoveHost {
        /// Host.
        host: HostName,
        /// Pool.
        pool: PoolName,
    },
    /// Maintain a host.
    MaintainHost {
        /// Host.
        host: HostName,
        /// Wave.
        wave: WaveId,
    },
    /// Tell operators the state of a wave.
    WaveStatus {
        /// Wave.
        wave: WaveId,
        /// State.
        state: WaveState,
    },
    /// A decision worth a log line.
    LogDecision {
        /// What was decided, in a few words.
        what: &'static str,
        /// About what: a unit, worker or host.
        subject: String,
        /// The inputs that decided it.
        why: String,
    },
}
