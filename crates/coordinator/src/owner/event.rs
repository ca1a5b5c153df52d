//! What becomes of the calls that an owner makes.

use std::sync::Arc;

use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::Moment;
use scheduler::PoolName;
use scheduler::Report;
use scheduler::StartReply;
use scheduler::UnitKey;
use scheduler::WaveId;
use scheduler::WaveState;
use scheduler::WorkerEntry;
use scheduler::WorkerId;

use crate::ports::Changes;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::WorkerError;
use crate::ports::WriteOutcome;

/// What became of a call.
#[derive(Debug)]
pub(super) enum Event {
    /// A worker was asked what it runs.
    Reported { worker: WorkerId, sent_at: Moment, result: Result<Report, WorkerError> },
    /// A run was ordered to start.
    Started { worker: WorkerId, unit: UnitKey, run: u32, reply: StartReply },
    /// A run was ordered to stop.
    Stopped { worker: WorkerId, unit: UnitKey, run: u32, is_answered: bool },
    /// The pace of a run was set.
    SpeedLimited { unit: UnitKey, run: u32, percent: u32, is_answered: bool },
    /// The advisor was asked.
    Advised {
        unit: UnitKey,
        candidates: Vec<WorkerId>,
        requested_at: Moment,
        result: Result<Vec<(WorkerId, Arc<str>)>, ReadError>,
    },
    /// A transaction was sent.
    TransactionDone { outcome: WriteOutcome },
    /// Rows of the inbox were to be removed.
    InboxRemoved { keys: Vec<String>, outcome: WriteOutcome },
    /// The registry of workers has changed.
    RegistryChanged { changes: Changes<WorkerEntry> },
    /// Nodes have stored requests.
    InboxChanged { rows: Vec<Row> },
    /// The hosts were listed.
    HostsListed { result: Result<Vec<HostEntry>, ReadError> },
    /// A host was ordered to move or to be maintained.
    HostCommanded { host: HostName, command: HostCommand, reply: HostReply },
    /// Operators were told of a wave.
    WaveReported { wave: WaveId, state: WaveState, outcome: WriteOutcome },
}

/// What was ordered of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HostCommand {
    /// To move to a pool.
    Move(PoolName),
    /// To be maintained for a wave.
    Maintain(WaveId),
}
