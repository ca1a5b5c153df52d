//! What becomes of the calls that an owner makes.

use std::sync::Arc;

use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::Moment;
use scheduler::PoolName;
use scheduler::StartReply;
use scheduler::UnitKey;
use scheduler::WaveId;
use scheduler::WaveState;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use scheduler::WorkerReport;

use crate::ports::Changes;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::WorkerError;
use crate::ports::Written;

/// What became of a call.
#[derive(Debug)]
pub(super) enum Event {
    /// A worker was asked what it runs.
    Reported { worker: WorkerId, sent_at: Moment, result: Result<WorkerReport, WorkerError> },
    /// A run was ordered to start.
    Started { worker: WorkerId, unit: UnitKey, run: u32, reply: StartReply },
    /// A run was ordered to stop.
    Stopped { worker: WorkerId, unit: UnitKey, run: u32, is_answered: bool },
    /// The pace of a run was set.
    Paced { unit: UnitKey, run: u32, percent: u32, is_answered: bool },
    /// The advisor was asked.
    Advised {
        unit: UnitKey,
        asked: Vec<WorkerId>,
        asked_at: Moment,
        result: Result<Vec<(WorkerId, Arc<str>)>, ReadError>,
    },
    /// A transaction was sent.
    Written { outcome: Written },
    /// Rows of the inbox were to be removed.
    InboxRemoved { keys: Vec<String>, outcome: Written },
    /// The registry of workers has changed.
    Registered { changes: Changes<WorkerRegistration> },
    /// Nodes have stored requests.
    Inbox { rows: Vec<Row> },
    /// The hosts were listed.
    Hosts { result: Result<Vec<HostEntry>, ReadError> },
    /// A host was ordered to move or to be maintained.
    HostOrdered { host: HostName, order: HostOrder, reply: HostReply },
    /// Operators were told of a wave.
    WaveTold { wave: WaveId, state: WaveState, outcome: Written },
}

/// What was ordered of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HostOrder {
    /// To move to a pool.
    Move(PoolName),
    /// To be maintained for a wave.
    Maintain(WaveId),
}
